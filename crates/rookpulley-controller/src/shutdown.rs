//! Signal handling and graceful shutdown. SIGHUP or a changed settings file reloads the seeds; SIGTERM shuts down.

use crate::server::Server;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Interval of the checks whether the settings file has changed.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Limit of the wait until the other controllers have removed this one from the chain.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_200);
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Calls in progress get the grace period less this margin, within the bounds below.
const CLOSE_MARGIN_S: f64 = 1.0;
const MIN_CLOSE_S: f64 = 0.5;
const MAX_CLOSE: Duration = Duration::from_secs(2);
/// How long callers are given to receive that a call has no reply.
const DROPPED_CALLS_TIME: Duration = Duration::from_millis(300);

/// The signal handlers of the process. They stay installed, so a signal between two waits is not lost.
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

    /// Waits for SIGTERM. Passes the seeds to `on_seeds` whenever the settings are reloaded.
    pub async fn wait(&mut self, mut file: SettingsFile, on_seeds: impl Fn(&[SocketAddrV4])) {
        loop {
            let node: Option<Node> = tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => file.read(),
                () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => file.read_if_changed(),
            };
            if let Some(node) = node {
                on_seeds(&node.seeds);
            }
        }
    }
}

/// Leaves the chain, and waits for the calls in progress.
pub async fn leave_and_close(server: &Rc<Server>, stop: watch::Sender<bool>, api: JoinHandle<()>) {
    tracing::info!("shutting down: {}", server.summary());
    let started = Instant::now();
    server.begin_shutdown();
    let left = async {
        while !server.leave_chain() {
            tokio::time::sleep(LEAVE_CHECK_INTERVAL).await;
        }
    };
    // Shuts down even if the chain was not left in time.
    _ = tokio::time::timeout(LEAVE_TIMEOUT, left).await;
    let time = close_time(&server.node, started.elapsed());
    close_server(server, stop, api, time.saturating_sub(DROPPED_CALLS_TIME)).await;
    tracing::info!("shut down");
}

/// Closes the API of a controller whose store is unusable: calls in progress are answered at once, since they can't be
/// completed.
pub async fn close_without_store(
    server: &Rc<Server>,
    stop: watch::Sender<bool>,
    api: JoinHandle<()>,
) {
    close_server(server, stop, api, Duration::ZERO).await;
}

/// Stops accepting calls, and waits this long for those in progress. Callers of the rest are told that their calls may or
/// may not have taken effect.
async fn close_server(
    server: &Server,
    stop: watch::Sender<bool>,
    mut api: JoinHandle<()>,
    time: Duration,
) {
    // An error means that the API has already stopped.
    _ = stop.send(true);
    if tokio::time::timeout(time, &mut api).await.is_err() {
        server.drop_calls();
        _ = tokio::time::timeout(DROPPED_CALLS_TIME, api).await;
    }
}

/// How long calls in progress may take, `elapsed` after the shutdown started.
fn close_time(node: &Node, elapsed: Duration) -> Duration {
    let left_s = node.bounds.grace_period_s - CLOSE_MARGIN_S - elapsed.as_secs_f64();
    Duration::from_secs_f64(left_s.max(MIN_CLOSE_S)).min(MAX_CLOSE)
}

/// Stops accepting calls, and waits for those in progress within the grace period.
pub async fn close(node: &Node, stop: watch::Sender<bool>, api: JoinHandle<()>) {
    // An error means that the server has already stopped.
    _ = stop.send(true);
    _ = tokio::time::timeout(close_time(node, Duration::ZERO), api).await;
    tracing::info!("shut down");
}

#[cfg(test)]
mod tests;
