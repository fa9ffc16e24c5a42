//! What may be asked of a controller over HTTP, by method and path.

use rookpulley_api::{Router, RouterError};
use rookpulley_control::Endpoint;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApiRequest {
    /// Something of the gateway.
    Call(Endpoint),
    /// A look at this controller alone. Nothing is changed by it.
    Inspect(Section),
}

/// A part of a controller that can be looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Section {
    /// The chain.
    View,
    /// The instances.
    Instances,
    /// The tables of the proxies that it is primary for.
    Tables,
    /// The proxies that are connected.
    Proxies,
    /// The replicated state.
    State,
    /// Counters and gauges for collectors.
    Metrics,
}

/// All that may be asked for, by method and path.
pub fn request_tree() -> Result<Router<ApiRequest>, RouterError> {
    let call = ApiRequest::Call;
    let inspect = ApiRequest::Inspect;
    Router::new(&[
        ("PUT /rookpulley/instances/{}", call(Endpoint::Heartbeat)),
        ("DELETE /rookpulley/instances/{}", call(Endpoint::Leave)),
        (
            "PUT /rookpulley/configuration",
            call(Endpoint::PutConfiguration),
        ),
        (
            "GET /rookpulley/configuration",
            call(Endpoint::GetConfiguration),
        ),
        ("POST /rookpulley/locks/{}", call(Endpoint::AcquireLock)),
        ("PUT /rookpulley/locks/{}", call(Endpoint::RenewLock)),
        ("DELETE /rookpulley/locks/{}", call(Endpoint::ReleaseLock)),
        ("POST /rookpulley/numbers/{}", call(Endpoint::NextNumber)),
        ("PUT /rookpulley/cells/{}", call(Endpoint::PutKey)),
        ("GET /rookpulley/cells/{}", call(Endpoint::GetKey)),
        ("GET /rookpulley/watch/{}", call(Endpoint::Watch)),
        ("GET /rookpulley/show/view", inspect(Section::View)),
        ("GET /rookpulley/show/tasks", inspect(Section::Instances)),
        ("GET /rookpulley/show/tasks/{}", inspect(Section::Instances)),
        ("GET /rookpulley/show/tables", inspect(Section::Tables)),
        ("GET /rookpulley/show/tables/{}", inspect(Section::Tables)),
        ("GET /rookpulley/show/couriers", inspect(Section::Proxies)),
        ("GET /rookpulley/show/ledger", inspect(Section::State)),
        ("GET /rookpulley/show/counters", inspect(Section::Metrics)),
    ])
}
