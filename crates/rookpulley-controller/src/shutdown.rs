//! Signals: SIGHUP and a changed settings file bring new seeds; SIGTERM ends the process in order.

use crate::server::Server;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How often the settings file is looked at.
const CHECK_SETTINGS: Duration = Duration::from_secs(2);
/// The others repair the chain while this controller is still there, so that nobody waits for what has gone.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_200);
const LEAVE_CHECK: Duration = Duration::from_millis(20);
/// Calls at work get the grace period less a second, within these bounds.
const CLOSE_MARGIN_S: f64 = 1.0;
const MIN_CLOSE_S: f64 = 0.5;
const MAX_CLOSE: Duration = Duration::from_secs(2);

/// The signals of this process. They are taken once: one that comes between two waits is not lost.
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Returns when the process is to end. Seeds that the settings name anew are handed to `take_seeds` meanwhile.
    pub async fn wait(&mut self, mut file: SettingsFile, take_seeds: impl Fn(&[SocketAddrV4])) {
        loop {
            let node: Option<Node> = tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => file.read(),
                () = tokio::time::sleep(CHECK_SETTINGS) => file.read_if_changed(),
            };
            if let Some(node) = node {
                take_seeds(&node.seeds);
            }
        }
    }
}

/// Leaves the chain, lets calls at work be answered, and returns when the process may end.
pub async fn leave_and_close(server: &Rc<Server>, stop: watch::Sender<bool>, api: JoinHandle<()>) {
    tracing::info!("ending: {}", server.summary());
    server.begin_shutdown();
    let left = async {
        while !server.leave_chain() {
            tokio::time::sleep(LEAVE_CHECK).await;
        }
    };
    // Whoever can't leave in time ends all the same.
    _ = tokio::time::timeout(LEAVE_TIMEOUT, left).await;
    close(&server.node, stop, api).await;
}

/// Lets calls at work be answered, as far as there is time.
pub async fn close(node: &Node, stop: watch::Sender<bool>, api: JoinHandle<()>) {
    // An error says that the calls have ended already.
    _ = stop.send(true);
    let grace_s = (node.bounds.grace_period_s - CLOSE_MARGIN_S).max(MIN_CLOSE_S);
    let within = Duration::from_secs_f64(grace_s).min(MAX_CLOSE);
    _ = tokio::time::timeout(within, api).await;
    tracing::info!("ending: done");
}
