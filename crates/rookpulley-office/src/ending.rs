//! Signals: SIGHUP and a changed file bring new seeds; SIGTERM ends in order.

use crate::hub::Hub;
use rookpulley_settings::Node;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

const LOOK_EVERY: Duration = Duration::from_secs(2);

fn changed(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Returns when the process is to end.
pub async fn wait(hub: &Rc<Hub>, path: &Path) {
    let (Ok(mut term), Ok(mut hup)) = (signal(SignalKind::terminate()), signal(SignalKind::hangup())) else {
        tracing::error!("ending: signals can't be heard");
        return;
    };
    let mut known = changed(path);
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = hup.recv() => {}
            () = tokio::time::sleep(LOOK_EVERY) => {
                let now = changed(path);
                if now == known {
                    continue;
                }
                known = now;
            }
        }
        match Node::read(path) {
            Ok(node) => {
                tracing::info!("settings: read again, {} seeds", node.seeds.len());
                hub.meet_seeds(&node.seeds);
            }
            Err(why) => tracing::error!("settings: left as they were: {why}"),
        }
    }
}

/// The others mend the chain while this office is still there, so that nobody waits for what has gone.
const LEAVE_WITHIN: Duration = Duration::from_millis(1_200);
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// The chain is left, calls at work are answered, then the process ends.
pub async fn finish(
    hub: &Rc<Hub>,
    stop: tokio::sync::watch::Sender<bool>,
    counter: tokio::task::JoinHandle<()>,
) {
    tracing::info!("ending: {}", hub.status());
    hub.ending.set(true);
    let left = async {
        while !hub.left_the_chain() {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    };
    _ = tokio::time::timeout(LEAVE_WITHIN, left).await;
    _ = stop.send(true);
    let most =
        Duration::from_secs_f64((hub.node.bounds.grace_period_s - 1.0).max(0.5)).min(Duration::from_secs(2));
    _ = tokio::time::timeout(most, counter).await;
    tracing::info!("ending: done");
}
