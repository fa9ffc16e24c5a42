//! One incarnation of a controller with a disk: from the opening of its store until the process is to end or the store
//! can't be used any more.

use crate::ending::{self, Signals};
use crate::hub::{Hub, StoreFailure};
use crate::{calls, peers, proxy_sessions};
use miette::{IntoDiagnostic, WrapErr};
use rookpulley_control::Founding;
use rookpulley_runtime::{File, line};
use rookpulley_settings::Node;
use rookpulley_store::{Store, StoreError};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;
const TICK: Duration = Duration::from_millis(50);
/// So often it says in the log how it stands, in ticks.
const STATUS_TICKS: u64 = 200;

/// Why an incarnation is over.
pub enum Ended {
    /// The process is to end.
    Stopped,
    /// The other controllers hold something else; the store begins anew, filled by them.
    StoreGivenUp,
    StoreLost(StoreLoss),
}

/// A store that can't be used, and who else may take calls meanwhile.
pub struct StoreLoss {
    pub why: String,
    /// Members of the last view that was known.
    pub others: Vec<SocketAddrV4>,
}

/// For calls, proxies and other controllers.
pub fn listen(node: &Node, control: SocketAddrV4) -> miette::Result<[TcpListener; 3]> {
    let inner = |more| SocketAddrV4::new(node.ip, node.inner_ports.0 + more);
    Ok([
        listen_at(control)?,
        listen_at(inner(0))?,
        listen_at(inner(1))?,
    ])
}

pub fn listen_at(at: SocketAddrV4) -> miette::Result<TcpListener> {
    let listener = line::listen(SocketAddr::V4(at), BACKLOG).into_diagnostic();
    listener.wrap_err_with(|| format!("controller: {at} can't be listened at"))
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    folder: &Path,
    path: PathBuf,
    signals: &mut Signals,
) -> miette::Result<Ended> {
    // Before the store is opened: who dials meanwhile waits, and isn't refused. At a start proxies that reach all
    // controllers at once choose the same primary.
    let [counter, for_proxies, for_peers] = listen(node, control)?;
    let (said, heard) = tokio::sync::mpsc::unbounded_channel();
    let founding = node
        .first_start
        .then(|| Founding::new(node.ip, &node.seeds).mark());
    let mut store = match Store::open(folder, rand::random(), founding.as_deref(), said) {
        Ok(store) => store,
        Err(why @ (StoreError::Folder(..) | StoreError::InUse(..))) => {
            return Ok(Ended::StoreLost(StoreLoss {
                why: why.to_string(),
                others: Vec::new(),
            }));
        }
        Err(why) => return Err(why.into()),
    };
    let kept = std::mem::take(&mut store.held);
    let fresh = store.new;
    let hub = Hub::new(node.clone(), store, kept, rand::random());
    tracing::info!(
        "controller: {} begins{}",
        node.name,
        if fresh { " with an empty disk" } else { "" }
    );

    let (stop, stopped) = tokio::sync::watch::channel(false);
    let counter = calls::Calls::new(hub.clone())?.serve(counter, stopped);
    tokio::task::spawn_local(proxy_sessions::listen(hub.clone(), for_proxies));
    tokio::task::spawn_local(peers::listen(hub.clone(), for_peers));
    hub.hear_store(heard);
    tokio::task::spawn_local(dial_peers(hub.clone()));
    tokio::task::spawn_local(tick(hub.clone()));
    let failure = tokio::select! {
        () = signals.wait(File::new(path), |seeds| hub.meet_seeds(seeds)) => None,
        failure = hub.store_failure() => Some(failure),
    };
    match failure {
        None => {
            ending::finish(&hub, stop, counter).await;
            Ok(Ended::Stopped)
        }
        Some(StoreFailure::GivenUp) => Ok(Ended::StoreGivenUp),
        Some(StoreFailure::Write(why)) => Ok(Ended::StoreLost(StoreLoss {
            why,
            others: hub.other_members(),
        })),
    }
}

async fn dial_peers(hub: Rc<Hub>) {
    loop {
        for ip in hub.to_dial() {
            tokio::task::spawn_local(peers::keep_dialing(hub.clone(), ip));
        }
        hub.dial.notified().await;
    }
}

async fn tick(hub: Rc<Hub>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for round in 0u64.. {
        ticks.tick().await;
        hub.tick(round);
        if round.is_multiple_of(STATUS_TICKS) {
            tracing::info!("controller: {}", hub.status());
        }
    }
}
