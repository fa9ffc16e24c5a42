//! The proxy process: forwards client requests to instances, using the instance tables and the configuration that
//! controllers publish.
//!
//! Decisions are made in `rookpulley-proxy-core`; this crate does the I/O. A request passes these phases:
//!
//! | phase | modules |
//! | --- | --- |
//! | accept the connection; close it when idle or slow | `listener`, `client_registry`, `connection_monitor` |
//! | separate pipelined requests | `client_connection`, `head_scanner`, `body_length` |
//! | validate, route, attempt and retry | `forward`, `request_check`, `headers`, `request_guard` |
//! | make one attempt at one instance | `attempt`, `tracked_attempt` |
//! | connect to the instance; discard stale responses | `upstream_pool`, `response_filter`, `response_head` |
//! | evaluate the response, and the end of one without a length | `response_check`, `response_end`, `request_tail` |
//! | transfer bodies | `body`, `request_body`, `response_body`, `memory` |
//! | respond locally | `local_response` |
//!
//! `context` holds the shared state, `controller_connections` connects to controllers, `shutdown` handles signals and
//! periodic work, `shutdown_schedule` decides what a shutdown lets begin, and `readiness` reports to the platform.

mod attempt;
mod body;
mod body_length;
mod client_connection;
mod client_registry;
mod connection_monitor;
mod context;
mod controller_connections;
mod forward;
mod head_scanner;
mod headers;
mod listener;
mod local_response;
mod memory;
mod readiness;
mod request_body;
mod request_check;
mod request_guard;
mod request_tail;
mod response_body;
mod response_check;
mod response_end;
mod response_filter;
mod response_head;
mod shutdown;
mod shutdown_schedule;
mod tracked_attempt;
mod upstream_pool;

pub use context::ProxyContext;
pub use shutdown::{Signal, Signals};

use rookpulley_proxy_core::ProxyState;
use rookpulley_runtime::connection;
use rookpulley_settings::Node;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const CLIENT_BACKLOG: u32 = 4_096;
const READINESS_BACKLOG: u32 = 64;

/// Why a proxy cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    #[error("proxy: cannot initialize the process: {0}")]
    #[diagnostic(help("check the limits of the process on file descriptors and memory"))]
    System(#[source] std::io::Error),
    #[error("proxy: the settings contain no address for `{0}`")]
    #[diagnostic(help("add \"edge\" to `serves` and set both addresses under `listenAddresses`"))]
    NoAddress(&'static str),
    #[error("proxy: cannot listen on {address}: {reason}")]
    #[diagnostic(help("use an address of this machine and a port that is not in use"))]
    Listen {
        address: SocketAddrV4,
        reason: std::io::Error,
    },
}

/// The listening sockets of a proxy.
pub struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
}

/// The addresses that a proxy listens on.
pub struct ListenAddresses {
    /// Serves client requests.
    pub clients: SocketAddr,
    /// Serves readiness checks.
    pub readiness: SocketAddr,
}

impl Listeners {
    /// Binds the addresses given in the settings.
    pub fn bind(node: &Node) -> Result<Self, StartError> {
        let listen = |address: Option<SocketAddrV4>, name, backlog| {
            let address = address.ok_or(StartError::NoAddress(name))?;
            connection::listen(SocketAddr::V4(address), backlog)
                .map_err(|reason| StartError::Listen { address, reason })
        };
        Ok(Self {
            clients: listen(node.listen.front, "frontHttp", CLIENT_BACKLOG)?,
            readiness: listen(node.listen.readiness, "readiness", READINESS_BACKLOG)?,
        })
    }

    /// The bound addresses.
    pub fn addresses(&self) -> std::io::Result<ListenAddresses> {
        Ok(ListenAddresses {
            clients: self.clients.local_addr()?,
            readiness: self.readiness.local_addr()?,
        })
    }
}

/// Runs the proxy until it is told to shut down. Must be called inside a `LocalSet`. The settings
/// file is reloaded when it changes.
pub async fn run(
    proxy: Rc<ProxyContext>,
    listeners: Listeners,
    settings_file: Option<PathBuf>,
    signals: Signals,
) {
    tracing::info!("proxy: {} is starting", proxy.node.name);
    tokio::task::spawn_local(readiness::serve(proxy.clone(), listeners.readiness));
    let accepting = tokio::task::spawn_local(listener::serve(proxy.clone(), listeners.clients));
    proxy.step(ProxyState::tick);
    shutdown::run_until_shutdown(proxy, settings_file, signals, accepting).await;
}
