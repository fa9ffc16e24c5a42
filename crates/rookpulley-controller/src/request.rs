//! The routes of the controller's HTTP API.

use rookpulley_api::{Router, RouterError};
use rookpulley_control::Endpoint;

/// The request that a route stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApiRequest {
    /// A call of the gateway.
    Call(Endpoint),
    /// A read-only inspection of this controller.
    Inspect(Section),
}

/// A part of the controller that can be inspected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Section {
    /// The chain's members and progress.
    View,
    /// The registered instances.
    Instances,
    /// The routing tables of the proxies that have this controller as their primary.
    Tables,
    /// The connected proxies.
    Proxies,
    /// The size of the replicated state.
    State,
    /// Leases of duties, and usage that is not reported yet.
    Duties,
    /// Counters and gauges in the Prometheus text format.
    Metrics,
}

/// Builds the router of all requests.
pub fn request_router() -> Result<Router<ApiRequest>, RouterError> {
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
        ("GET /rookpulley/show/duties", inspect(Section::Duties)),
        ("GET /rookpulley/show/counters", inspect(Section::Metrics)),
    ])
}
