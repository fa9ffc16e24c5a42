//! Carries requests from clients to tasks, by the tables and the configuration that controllers tell.
//!
//! `state` is what the parts share, `links` are the lines to controllers. A request passes `listener`, `check`, `carry`
//! (its tries), `attempt` (one try) and `head` (what an answer is worth); `wires` keeps connections to tasks, `bodies`
//! carries bytes both ways. `ear` stands between a client's connection and the parser, `sieve` between a task's and
//! the parser, `span` tells both where a body ends. `ending` hears the platform, `readiness` tells it. What is decided, is decided in the satchel.

mod answers;
mod attempt;
mod bodies;
mod carry;
mod check;
mod ear;
mod ending;
mod head;
mod links;
mod listener;
mod readiness;
mod sieve;
mod span;
mod state;
mod wires;

pub use ending::{Signal, Signals};
pub use state::ProxyContext;

use rookpulley_proxy_core::Satchel;
use rookpulley_runtime::connection;
use rookpulley_settings::Node;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CannotRun {
    #[error("proxy: the system refuses what every program needs: {0}")]
    #[diagnostic(help("look at the limits of the process: descriptors, memory"))]
    System(std::io::Error),
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

/// The addresses that a proxy serves, taken.
pub struct Bound {
    front: TcpListener,
    readiness: TcpListener,
}

impl Bound {
    pub fn new(node: &Node) -> Result<Bound, CannotRun> {
        let listen = |at: Option<SocketAddrV4>, name, backlog| {
            let at = at.ok_or(CannotRun::NoAddress(name))?;
            connection::listen(SocketAddr::V4(at), backlog)
                .map_err(|why| CannotRun::Listen { at, why })
        };
        Ok(Bound {
            front: listen(node.listen.front, "frontHttp", 4_096)?,
            readiness: listen(node.listen.readiness, "readiness", 64)?,
        })
    }

    /// Of clients, and of who asks whether they should come.
    pub fn addresses(&self) -> std::io::Result<(SocketAddr, SocketAddr)> {
        Ok((self.front.local_addr()?, self.readiness.local_addr()?))
    }
}

/// Runs until the platform ends it, inside a `LocalSet`. `path`: the settings file, read again when it changes.
pub async fn run(proxy: Rc<ProxyContext>, bound: Bound, path: Option<PathBuf>, signals: Signals) {
    tracing::info!("proxy: {} begins", proxy.node.name);
    tokio::task::spawn_local(readiness::serve(proxy.clone(), bound.readiness));
    tokio::task::spawn_local(listener::serve(proxy.clone(), bound.front));
    proxy.with(Satchel::tend);
    ending::attend(proxy, path, signals).await;
}
