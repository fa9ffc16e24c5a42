//! Carries requests from clients to instances, by the tables and the configuration that controllers publish.
//!
//! What is decided is decided in `rookpulley-proxy-core`. A request passes these phases:
//!
//! | phase | file |
//! | --- | --- |
//! | its connection is taken, and closed where it is idle or slow | `listener`, `client_registry`, `connection_monitor` |
//! | its bytes are cut from those of the next one | `client_connection`, `head_scanner`, `body_length` |
//! | it is checked, routed and attempted as often as it may be | `forward`, `request_check`, `headers` |
//! | one attempt at one instance | `attempt`, `tracked_attempt` |
//! | a connection to the instance | `upstream_pool`, `response_filter` |
//! | the response is judged | `response_check` |
//! | bodies both ways | `body`, `request_body`, `response_body`, `memory` |
//! | the proxy answers itself | `local_response` |
//!
//! `context` is what the parts share, `controller_connections` are the connections to controllers, `shutdown` hears the
//! platform and `readiness` tells it.

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
mod response_body;
mod response_check;
mod response_filter;
mod shutdown;
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

/// Why a proxy can't run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    #[error("proxy: the system refuses what every program needs: {0}")]
    #[diagnostic(help("look at the limits of the process: descriptors, memory"))]
    System(#[source] std::io::Error),
    #[error("proxy: the settings give no {0}")]
    #[diagnostic(help("write \"edge\" under `serves` and both addresses under `listenAddresses`"))]
    NoAddress(&'static str),
    #[error("proxy: {at} can't be listened at: {why}")]
    #[diagnostic(help("write an address of this machine, with a port that no other program has"))]
    Listen {
        at: SocketAddrV4,
        why: std::io::Error,
    },
}

/// The addresses that a proxy serves.
pub struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
}

/// Where a proxy listens.
pub struct ListenAddresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For whoever asks whether clients should come.
    pub readiness: SocketAddr,
}

impl Listeners {
    /// Listens at the addresses of the settings.
    pub fn bind(node: &Node) -> Result<Self, StartError> {
        let listen = |at: Option<SocketAddrV4>, name, backlog| {
            let at = at.ok_or(StartError::NoAddress(name))?;
            connection::listen(SocketAddr::V4(at), backlog)
                .map_err(|why| StartError::Listen { at, why })
        };
        Ok(Self {
            clients: listen(node.listen.front, "frontHttp", CLIENT_BACKLOG)?,
            readiness: listen(node.listen.readiness, "readiness", READINESS_BACKLOG)?,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> std::io::Result<ListenAddresses> {
        Ok(ListenAddresses {
            clients: self.clients.local_addr()?,
            readiness: self.readiness.local_addr()?,
        })
    }
}

/// Runs until the platform ends it, inside a `LocalSet`. The settings file is read again when it changes.
pub async fn run(
    proxy: Rc<ProxyContext>,
    listeners: Listeners,
    settings_file: Option<PathBuf>,
    signals: Signals,
) {
    tracing::info!("proxy: {} begins", proxy.node.name);
    tokio::task::spawn_local(readiness::serve(proxy.clone(), listeners.readiness));
    tokio::task::spawn_local(listener::serve(proxy.clone(), listeners.clients));
    proxy.step(ProxyState::tick);
    shutdown::run_until_end(proxy, settings_file, signals).await;
}
