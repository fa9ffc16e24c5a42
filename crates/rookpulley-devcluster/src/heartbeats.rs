//! Reports a task's lifecycle to the controllers: heartbeats, draining and leaving.

use crate::control_client::{REPLY_TIMEOUT, field, send_once};
use crate::node_settings::{DRAIN_MS, HEARTBEAT_MS};
use crate::record::{Drain, digest};
use crate::task::{self, Stage, Task};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MAX_ACKNOWLEDGEMENT_BYTES: usize = 4 << 10;
/// How long a task waits for an acknowledgement of its draining or leaving before it stops anyway.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a task serves beyond the drain period, so that late requests are detected.
const LINGER: Duration = Duration::from_millis(900);
const RETRY_DELAY: Duration = Duration::from_millis(50);

struct HeartbeatSender {
    task: Rc<Task>,
    controllers: Vec<SocketAddrV4>,
    next: usize,
    /// The endpoint that a controller requested for further heartbeats; dropped when a heartbeat to it fails.
    endpoint: Option<SocketAddrV4>,
    sequence: u64,
}

impl HeartbeatSender {
    fn path(&self) -> String {
        format!("/rookpulley/instances/{}", self.task.incarnation)
    }

    fn body(&self) -> String {
        let task = &self.task;
        let state = if task.stage() == Stage::Available {
            "available"
        } else {
            "draining"
        };
        format!(
            r#"{{"address":"{}","nodeInfo":{{"targetService":"{}","configVersion":"v1","zone":"{}","capacitySlots":{}}},"currentStatus":{{"lifecycleState":"{state}","callSequence":{},"coldRemainingMs":{}}}}}"#,
            task.address,
            task.service,
            task.zone,
            task.slots,
            self.sequence,
            task.cold_remaining().as_millis(),
        )
    }

    /// Sends one heartbeat, trying the controllers in turn.
    async fn heartbeat(&mut self) -> bool {
        let path = self.path();
        for _ in 0..=self.controllers.len() {
            self.sequence += 1;
            let preferred = self.endpoint.take();
            let listed = self
                .controllers
                .get(self.next % self.controllers.len().max(1))
                .copied();
            let Some(controller) = preferred.or(listed) else {
                return false;
            };
            match send_once(controller, "PUT", &path, &self.body(), REPLY_TIMEOUT).await {
                Some((200..=299, answer)) if answer.len() <= MAX_ACKNOWLEDGEMENT_BYTES => {
                    self.endpoint = endpoint(&answer).or(preferred);
                    return true;
                }
                _ if preferred.is_some() => {}
                _ => self.next += 1,
            }
        }
        false
    }

    async fn leave(&self) -> bool {
        let path = self.path();
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        for controller in self.controllers.iter().cycle().skip(self.next) {
            if let Some((200..=299, _)) =
                send_once(*controller, "DELETE", &path, "", REPLY_TIMEOUT).await
            {
                return true;
            }
            if Instant::now() > deadline {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        false
    }
}

fn endpoint(answer: &[u8]) -> Option<SocketAddrV4> {
    field(answer, "heartbeatEndpoint")?
        .get::<String>()?
        .parse()
        .ok()
}

/// Reports one incarnation of a task from its start until it has left.
pub async fn run(task: Rc<Task>, controllers: Vec<SocketAddrV4>) {
    let next = digest(&task.incarnation) as usize % controllers.len().max(1);
    let mut heartbeats = HeartbeatSender {
        task: task.clone(),
        controllers,
        next,
        endpoint: None,
        sequence: 0,
    };
    let mut stage = task.stage.subscribe();
    while *stage.borrow_and_update() == Stage::Available {
        let delay = if heartbeats.heartbeat().await {
            Duration::from_millis(HEARTBEAT_MS)
        } else {
            RETRY_DELAY
        };
        // A stage change is reported at once.
        _ = timeout(delay, stage.changed()).await;
    }
    let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
    let acknowledged = loop {
        if heartbeats.heartbeat().await {
            let (incarnation, now) = (task.incarnation.clone(), task.record.now());
            task.record.drains.borrow_mut().push(Drain {
                incarnation,
                acknowledged: now,
            });
            break true;
        }
        if Instant::now() > deadline {
            break false;
        }
        sleep(RETRY_DELAY).await;
    };
    let serves_until = Instant::now() + Duration::from_millis(DRAIN_MS) + LINGER;
    while acknowledged && Instant::now() < serves_until {
        let next = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        sleep_until(next.min(serves_until)).await;
        heartbeats.heartbeat().await;
    }
    if !heartbeats.leave().await {
        task.record
            .unacknowledged
            .borrow_mut()
            .push(task.incarnation.clone());
    }
    task.stage.send_replace(Stage::Gone);
}

/// Spawns a task's server and its heartbeats.
pub fn spawn_task(task: &Rc<Task>, listener: TcpListener, controllers: Vec<SocketAddrV4>) {
    spawn_local(task::serve(task.clone(), listener));
    spawn_local(run(task.clone(), controllers));
}
