//! What a task tells the controllers: that it lives, that it drains, that it has left.

use crate::caller::{SILENCE, field, once};
use crate::record::{Drain, digest};
use crate::sheet::{DRAIN_MS, HEARTBEAT_MS};
use crate::task::{self, Stage, Task};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const ACKNOWLEDGEMENT_MOST: usize = 4 << 10;
/// A task that nobody acknowledges ends all the same.
const UNHEARD: Duration = Duration::from_secs(5);
/// How long a task serves beyond what it must: whoever still sends there then is seen.
const LINGER: Duration = Duration::from_millis(900);
const PAUSE: Duration = Duration::from_millis(50);

struct Heartbeats {
    task: Rc<Task>,
    controllers: Vec<SocketAddrV4>,
    next: usize,
    /// Where a controller asked for later heartbeats, until one to it fails.
    endpoint: Option<SocketAddrV4>,
    sequence: u64,
}

impl Heartbeats {
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
            task.cold().as_millis(),
        )
    }

    /// One heartbeat, to one controller after another.
    async fn heartbeat(&mut self) -> bool {
        let path = self.path();
        for _ in 0..=self.controllers.len() {
            self.sequence += 1;
            let asked = self.endpoint.take();
            let listed = self
                .controllers
                .get(self.next % self.controllers.len().max(1))
                .copied();
            let Some(controller) = asked.or(listed) else {
                return false;
            };
            match once(controller, "PUT", &path, &self.body(), SILENCE).await {
                Some((200..=299, answer)) if answer.len() <= ACKNOWLEDGEMENT_MOST => {
                    self.endpoint = endpoint(&answer).or(asked);
                    return true;
                }
                _ if asked.is_some() => {}
                _ => self.next += 1,
            }
        }
        false
    }

    async fn leave(&self) -> bool {
        let path = self.path();
        let given_up = Instant::now() + UNHEARD;
        for controller in self.controllers.iter().cycle().skip(self.next) {
            if let Some((200..=299, _)) = once(*controller, "DELETE", &path, "", SILENCE).await {
                return true;
            }
            if Instant::now() > given_up {
                break;
            }
            sleep(PAUSE).await;
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

/// A task's whole incarnation as the controllers hear of it.
pub async fn live(task: Rc<Task>, controllers: Vec<SocketAddrV4>) {
    let next = digest(&task.incarnation) as usize % controllers.len().max(1);
    let mut heartbeats = Heartbeats {
        task: task.clone(),
        controllers,
        next,
        endpoint: None,
        sequence: 0,
    };
    let mut stage = task.stage.subscribe();
    while *stage.borrow_and_update() == Stage::Available {
        let pause = if heartbeats.heartbeat().await {
            Duration::from_millis(HEARTBEAT_MS)
        } else {
            PAUSE
        };
        // A word that it is to drain is passed on at once.
        _ = timeout(pause, stage.changed()).await;
    }
    let given_up = Instant::now() + UNHEARD;
    let acknowledged = loop {
        if heartbeats.heartbeat().await {
            let (incarnation, now) = (task.incarnation.clone(), task.record.now());
            task.record.drains.borrow_mut().push(Drain {
                incarnation,
                acknowledged: now,
            });
            break true;
        }
        if Instant::now() > given_up {
            break false;
        }
        sleep(PAUSE).await;
    };
    let serves_until = Instant::now() + Duration::from_millis(DRAIN_MS) + LINGER;
    while acknowledged && Instant::now() < serves_until {
        let next = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        sleep_until(next.min(serves_until)).await;
        heartbeats.heartbeat().await;
    }
    if !heartbeats.leave().await {
        task.record
            .unheard
            .borrow_mut()
            .push(task.incarnation.clone());
    }
    task.stage.send_replace(Stage::Gone);
}

/// Runs a task: its server, and what it tells the controllers.
pub fn begin(task: &Rc<Task>, listener: TcpListener, controllers: Vec<SocketAddrV4>) {
    spawn_local(task::serve(task.clone(), listener));
    spawn_local(live(task.clone(), controllers));
}
