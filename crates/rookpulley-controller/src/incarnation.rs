//! One incarnation of a controller with a disk: from the opening of its store until the process is to end, or the store
//! can't be used any more.

use crate::api::Api;
use crate::server::{Server, StoreFailure};
use crate::shutdown::{self, Signals};
use crate::{peers, proxy_sessions};
use miette::{IntoDiagnostic, WrapErr};
use rookpulley_control::Bootstrap;
use rookpulley_runtime::{SettingsFile, connection};
use rookpulley_settings::Node;
use rookpulley_store::{Store, StoreError};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;
const TICK: Duration = Duration::from_millis(50);
/// How often the log says how it stands, in ticks.
const SUMMARY_TICKS: u64 = 200;

/// Why an incarnation is over.
pub enum Ended {
    /// The process is to end.
    Stopped,
    /// The other controllers hold something else; the store begins anew, and catches up from them.
    StoreDiscarded,
    /// The store can't be used.
    StoreLost(StoreLoss),
}

/// A store that can't be used, and who else may take calls meanwhile.
pub struct StoreLoss {
    /// For the log.
    pub why: String,
    /// Members of the last view that was known.
    pub others: Vec<SocketAddrV4>,
}

/// Where a controller is called, and connected to.
pub struct Listeners {
    pub api: TcpListener,
    pub proxies: TcpListener,
    pub peers: TcpListener,
}

/// Listens for calls, proxies and other controllers.
pub fn listen(node: &Node, control: SocketAddrV4) -> miette::Result<Listeners> {
    let internal = |offset| SocketAddrV4::new(node.ip, node.internal_ports.0 + offset);
    Ok(Listeners {
        api: listen_at(control)?,
        proxies: listen_at(internal(0))?,
        peers: listen_at(internal(1))?,
    })
}

/// Listens at one address.
pub fn listen_at(at: SocketAddrV4) -> miette::Result<TcpListener> {
    let listener = connection::listen(SocketAddr::V4(at), BACKLOG).into_diagnostic();
    listener.wrap_err_with(|| format!("controller: {at} can't be listened at"))
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    folder: &Path,
    settings_file: PathBuf,
    signals: &mut Signals,
) -> miette::Result<Ended> {
    // Before the store is opened: who connects meanwhile waits, and isn't refused. At a start proxies that reach all
    // controllers at once choose the same primary.
    let listeners = listen(node, control)?;
    let (sender, events) = tokio::sync::mpsc::unbounded_channel();
    let bootstrap = node
        .first_start
        .then(|| Bootstrap::new(node.ip, &node.seeds).encode());
    let opening = Instant::now();
    let opened = Store::open(folder, rand::random(), bootstrap.as_deref(), sender);
    let mut store = match opened {
        Ok(store) => store,
        Err(why @ (StoreError::Folder(..) | StoreError::InUse(..))) => {
            let why = why.to_string();
            let others = Vec::new();
            return Ok(Ended::StoreLost(StoreLoss { why, others }));
        }
        Err(why) => return Err(why.into()),
    };
    let chain_rows = std::mem::take(&mut store.chain_rows);
    let disk = if store.is_new {
        " with an empty disk"
    } else {
        ""
    };
    let open_ms = opening.elapsed().as_millis();
    let server = Server::new(node.clone(), store, chain_rows, rand::random());
    tracing::info!(
        "controller: {} begins{disk}; its store was opened in {open_ms} ms",
        node.name
    );

    let (stop, stopped) = tokio::sync::watch::channel(false);
    let api = Api::new(server.clone())?.serve(listeners.api, stopped);
    tokio::task::spawn_local(proxy_sessions::listen(server.clone(), listeners.proxies));
    tokio::task::spawn_local(peers::listen(server.clone(), listeners.peers));
    server.hear_store(events);
    tokio::task::spawn_local(connect_to_peers(server.clone()));
    tokio::task::spawn_local(tick(server.clone()));
    let take_seeds = |seeds: &[SocketAddrV4]| server.discover_seeds(seeds);
    let failure = tokio::select! {
        () = signals.wait(SettingsFile::new(settings_file), take_seeds) => None,
        failure = server.store_failure() => Some(failure),
    };
    match failure {
        None => {
            shutdown::leave_and_close(&server, stop, api).await;
            Ok(Ended::Stopped)
        }
        Some(StoreFailure::Discarded) => Ok(Ended::StoreDiscarded),
        Some(StoreFailure::Write(why)) => {
            let others = server.other_members();
            Ok(Ended::StoreLost(StoreLoss { why, others }))
        }
    }
}

async fn connect_to_peers(server: Rc<Server>) {
    loop {
        for ip in server.take_to_connect() {
            tokio::task::spawn_local(peers::keep_connected(server.clone(), ip));
        }
        server.connect.notified().await;
    }
}

async fn tick(server: Rc<Server>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick in 0u64.. {
        ticks.tick().await;
        server.tick(tick);
        if tick.is_multiple_of(SUMMARY_TICKS) {
            tracing::info!("controller: {}", server.summary());
        }
    }
}
