//! One incarnation of a controller with a disk: from opening its store until the process shuts down or the store becomes
//! unusable.

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

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 512;
const TICK: Duration = Duration::from_millis(50);
/// Interval of the summaries in the log, in ticks.
const SUMMARY_TICKS: u64 = 200;

/// Why an incarnation ended.
pub enum IncarnationEnded {
    /// The process shuts down.
    Stopped,
    /// The store diverged from the other controllers and is replaced by an empty one, which catches up from them.
    StoreDiscarded,
    /// The store is unusable.
    StoreLost(StoreLoss),
}

/// Why a store is unusable, and which controllers can take its calls.
pub struct StoreLoss {
    /// The error, for the log.
    pub reason: String,
    /// The other members of the last known view.
    pub others: Vec<SocketAddrV4>,
}

/// The listening sockets of a controller.
pub struct Listeners {
    pub api: TcpListener,
    pub proxies: TcpListener,
    pub peers: TcpListener,
}

/// Opens the sockets for API calls, proxies and other controllers.
pub fn listen(node: &Node, control: SocketAddrV4) -> miette::Result<Listeners> {
    let internal = |offset| SocketAddrV4::new(node.ip, node.internal_ports.0 + offset);
    Ok(Listeners {
        api: listen_at(control)?,
        proxies: listen_at(internal(0))?,
        peers: listen_at(internal(1))?,
    })
}

/// Opens a listening socket.
pub fn listen_at(at: SocketAddrV4) -> miette::Result<TcpListener> {
    let listener = connection::listen(SocketAddr::V4(at), BACKLOG).into_diagnostic();
    listener.wrap_err_with(|| format!("controller: can't listen at {at}"))
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    folder: &Path,
    settings_file: PathBuf,
    signals: &mut Signals,
) -> miette::Result<IncarnationEnded> {
    // Listens before the store is opened, so that early connections wait instead of being refused. Proxies that reach all
    // controllers at startup choose the same primary.
    let listeners = listen(node, control)?;
    let (sender, events) = tokio::sync::mpsc::unbounded_channel();
    let bootstrap = node
        .first_start
        .then(|| Bootstrap::new(node.ip, &node.seeds).encode());
    let opening_started = Instant::now();
    let opened = Store::open(folder, rand::random(), bootstrap.as_deref(), sender);
    let mut store = match opened {
        Ok(store) => store,
        Err(error @ (StoreError::Folder(..) | StoreError::InUse(..))) => {
            let reason = error.to_string();
            let others = Vec::new();
            return Ok(IncarnationEnded::StoreLost(StoreLoss { reason, others }));
        }
        Err(error) => return Err(error.into()),
    };
    let chain_rows = std::mem::take(&mut store.chain_rows);
    let store_note = if store.is_new {
        " with an empty store"
    } else {
        ""
    };
    let open_ms = opening_started.elapsed().as_millis();
    let (platform_calls, pending_calls) = tokio::sync::mpsc::unbounded_channel();
    let seed = rand::random();
    let server = Server::new(node.clone(), store, chain_rows, seed, platform_calls);
    tracing::info!(
        "controller: {} started{store_note}; store opened in {open_ms} ms",
        node.name
    );

    let (stop, stopped) = tokio::sync::watch::channel(false);
    let api = Api::new(server.clone())?.serve(listeners.api, stopped);
    tokio::task::spawn_local(proxy_sessions::listen(server.clone(), listeners.proxies));
    tokio::task::spawn_local(peers::listen(server.clone(), listeners.peers));
    server.process_store_events(events);
    tokio::task::spawn_local(connect_to_peers(server.clone()));
    tokio::task::spawn_local(server.clone().make_platform_calls(pending_calls));
    tokio::task::spawn_local(tick(server.clone()));
    let on_seeds = |seeds: &[SocketAddrV4]| server.discover_seeds(seeds);
    let failure = tokio::select! {
        () = signals.wait(SettingsFile::new(settings_file), on_seeds) => None,
        failure = server.store_failure() => Some(failure),
    };
    let Some(failure) = failure else {
        shutdown::leave_and_close(&server, stop, api).await;
        return Ok(IncarnationEnded::Stopped);
    };
    shutdown::close_without_store(&server, stop, api).await;
    match failure {
        StoreFailure::Discarded => Ok(IncarnationEnded::StoreDiscarded),
        StoreFailure::Write(reason) => {
            let others = server.other_members();
            Ok(IncarnationEnded::StoreLost(StoreLoss { reason, others }))
        }
    }
}

async fn connect_to_peers(server: Rc<Server>) {
    loop {
        for ip in server.take_pending_connects() {
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
