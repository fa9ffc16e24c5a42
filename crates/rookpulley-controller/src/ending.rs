//! Signals: SIGHUP and a changed file bring new seeds; SIGTERM ends in order.

use crate::hub::Hub;
use rookpulley_runtime::File;
use rookpulley_settings::Node;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

const LOOK_EVERY: Duration = Duration::from_secs(2);

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

    /// Returns when the process is to end.
    pub async fn wait(&mut self, mut file: File, take_seeds: impl Fn(&[SocketAddrV4])) {
        loop {
            let node = tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => file.read(),
                () = tokio::time::sleep(LOOK_EVERY) => file.look(),
            };
            node.into_iter().for_each(|node| take_seeds(&node.seeds));
        }
    }
}

/// The others mend the chain while this controller is still there, so that nobody waits for what has gone.
const LEAVE_WITHIN: Duration = Duration::from_millis(1_200);
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// The chain is left, calls at work are answered, then the process ends.
pub async fn finish(
    hub: &Rc<Hub>,
    stop: tokio::sync::watch::Sender<bool>,
    counter: tokio::task::JoinHandle<()>,
) {
    tracing::info!("ending: {}", hub.status());
    hub.end();
    let left = async {
        while !hub.left_the_chain() {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    };
    _ = tokio::time::timeout(LEAVE_WITHIN, left).await;
    close(&hub.node, stop, counter).await;
}

/// Calls at work are answered, as far as there is time.
pub async fn close(
    node: &Node,
    stop: tokio::sync::watch::Sender<bool>,
    counter: tokio::task::JoinHandle<()>,
) {
    _ = stop.send(true);
    let most = Duration::from_secs_f64((node.bounds.grace_period_s - 1.0).max(0.5))
        .min(Duration::from_secs(2));
    _ = tokio::time::timeout(most, counter).await;
    tracing::info!("ending: done");
}
