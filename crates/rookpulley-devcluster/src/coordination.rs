//! Applications that use the coordination API: they contend for a lock, request numbers, and write and watch keys.

use crate::control_client::{ControlClient, REPLY_TIMEOUT, Reply};
use crate::record::{Moment, Record};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::time::{Instant, sleep};

/// How long a call is retried before it counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const HOLD_TIME: Duration = Duration::from_millis(700);
const WATCH_WAIT: Duration = Duration::from_millis(400);
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// One hold in this many is left to expire instead of being released.
const EXPIRE_EVERY: usize = 4;
const GROUP: &str = "trial.";
const KEYS: [&str; 2] = ["trial.first", "trial.second"];

/// A number from a sequence and when it was requested and received.
#[derive(Clone, Debug, PartialEq)]
pub struct Number {
    pub sent: Moment,
    pub received: Moment,
    pub value: u64,
}

/// The period during which a client considered itself the lock holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    pub holder: usize,
    pub fence: u64,
    pub sent: Moment,
    pub from: Moment,
    pub until: Moment,
}

/// An acknowledged put or a watch event.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// The last put to the key that was acknowledged before the read was sent.
    pub put: Put,
    pub value: Option<String>,
    pub revision: u64,
}

/// Everything that the applications observed.
#[derive(Default)]
pub struct Observations {
    pub numbers: RefCell<Vec<Number>>,
    pub holds: RefCell<Vec<Hold>>,
    pub puts: RefCell<Vec<Put>>,
    pub reads: RefCell<Vec<Read>>,
    pub events: RefCell<Vec<Put>>,
    /// The revision after which the watch started.
    pub watched_from: Cell<u64>,
    /// Puts sent with an outdated revision, and how many of them were rejected.
    pub stale: Cell<(usize, usize)>,
    /// Puts without a conclusive answer, which may have taken effect.
    pub unconfirmed: RefCell<Vec<(String, String)>>,
    /// Calls with an unexpected answer or no conclusive one.
    pub unexpected: RefCell<Vec<String>>,
}

pub struct Applications {
    controllers: Vec<SocketAddrV4>,
    record: Rc<Record>,
    pub observations: Observations,
    pub stopped: Cell<bool>,
    puts_done: Cell<bool>,
    /// The client that acquired the lock last.
    last_holder: Cell<usize>,
}

impl Applications {
    pub fn new(controllers: Vec<SocketAddrV4>, record: Rc<Record>) -> Self {
        Self {
            controllers,
            record,
            observations: Observations::default(),
            stopped: Cell::new(false),
            puts_done: Cell::new(false),
            last_holder: Cell::new(0),
        }
    }

    /// Runs until stopped and until the watch has delivered the last put.
    pub async fn run(&self) {
        let puts = async {
            self.put_keys().await;
            self.puts_done.set(true);
        };
        tokio::join!(
            self.request_numbers(0),
            self.request_numbers(1),
            self.contend_for_lock(0),
            self.contend_for_lock(1),
            puts,
            self.watch_keys()
        );
    }

    fn client(&self, first: usize) -> ControlClient {
        ControlClient::new(self.controllers.clone(), first, self.record.clone())
    }

    fn unexpected(&self, what: String) {
        self.observations.unexpected.borrow_mut().push(what);
    }

    /// Returns the reply if its status is expected and records anything else.
    async fn call(
        &self,
        client: &ControlClient,
        method: &str,
        path: &str,
        body: &str,
        expected: &[u16],
    ) -> Option<Reply> {
        let reply = client
            .call(method, path, body, Instant::now() + CALL_TIMEOUT)
            .await;
        match reply {
            Some(reply) if expected.contains(&reply.status) => return Some(reply),
            Some(reply) => {
                let answer = String::from_utf8_lossy(&reply.body).into_owned();
                self.unexpected(format!("{method} {path} {body}: {} {answer}", reply.status));
            }
            None => self.unexpected(format!(
                "{method} {path} {body}: no conclusive answer within {} s",
                CALL_TIMEOUT.as_secs()
            )),
        }
        None
    }

    async fn request_numbers(&self, first: usize) {
        let client = self.client(first);
        while !self.stopped.get() {
            let reply = self
                .call(&client, "POST", "/rookpulley/numbers/trial", "{}", &[200])
                .await;
            if let Some(reply) = reply {
                let value = reply.number("value").unwrap_or_default();
                self.observations.numbers.borrow_mut().push(Number {
                    sent: reply.sent,
                    received: reply.received,
                    value,
                });
            }
            sleep(CALL_INTERVAL).await;
        }
    }

    async fn contend_for_lock(&self, holder: usize) {
        let client = self.client(holder);
        let path = "/rookpulley/locks/trial";
        let hold_ms = HOLD_TIME.as_millis();
        let acquire = format!(r#"{{"holder":"holder-{holder}","holdMs":{hold_ms}}}"#);
        for round in 1.. {
            let acquired = loop {
                if self.stopped.get() {
                    return;
                }
                let reply = self
                    .call(&client, "POST", path, &acquire, &[200, 409])
                    .await;
                if let Some(reply) = reply.filter(Reply::is_success) {
                    break reply;
                }
                sleep(CALL_INTERVAL).await;
            };
            self.last_holder.set(holder);
            let fence = acquired.number("fence").unwrap_or_default();
            let mut hold = Hold {
                holder,
                fence,
                sent: acquired.sent,
                from: acquired.received,
                until: acquired.sent + HOLD_TIME,
            };
            let renew =
                format!(r#"{{"holder":"holder-{holder}","fence":{fence},"holdMs":{hold_ms}}}"#);
            if let Some(reply) = self.call(&client, "PUT", path, &renew, &[200, 409]).await
                && reply.is_success()
                && reply.received < hold.until
            {
                hold.until = reply.sent + HOLD_TIME;
            }
            sleep(CALL_INTERVAL).await;
            if round % EXPIRE_EVERY == 0 {
                let remaining = hold.until.saturating_sub(self.record.now());
                self.observations.holds.borrow_mut().push(hold);
                sleep(remaining + CALL_INTERVAL).await;
                continue;
            }
            hold.until = hold.until.min(self.record.now());
            self.observations.holds.borrow_mut().push(hold);
            let release = format!(r#"{{"holder":"holder-{holder}","fence":{fence}}}"#);
            self.call(&client, "DELETE", path, &release, &[200]).await;
            // Locks are not fair, so the other client gets a chance to acquire it first.
            let deadline = Instant::now() + HOLD_TIME;
            while self.last_holder.get() == holder
                && !self.stopped.get()
                && Instant::now() < deadline
            {
                sleep(CALL_INTERVAL).await;
            }
        }
    }

    async fn put_keys(&self) {
        let client = self.client(1);
        let mut last: HashMap<&str, Put> = HashMap::new();
        for round in 0.. {
            let Some(name) = KEYS.get(round % KEYS.len()).copied() else {
                return;
            };
            if self.stopped.get() && last.len() == KEYS.len() {
                return;
            }
            let path = format!("/rookpulley/cells/{name}");
            let value = format!("value-{round}");
            let active = last.get(name).map_or(0, |put| put.revision);
            if round % 5 == 4 {
                let stale = format!(
                    r#"{{"value":"never-{round}","active":{}}}"#,
                    active.saturating_sub(1)
                );
                if let Some(reply) = self.call(&client, "PUT", &path, &stale, &[412]).await {
                    let (sent, rejected) = self.observations.stale.get();
                    let reports_active = reply.number("revision") == Some(active);
                    self.observations
                        .stale
                        .set((sent + 1, rejected + usize::from(reports_active)));
                }
            }
            let body = format!(r#"{{"value":"{value}","active":{active}}}"#);
            let Some(reply) = self.call(&client, "PUT", &path, &body, &[200]).await else {
                return self
                    .observations
                    .unconfirmed
                    .borrow_mut()
                    .push((name.into(), value));
            };
            let put = Put {
                name: name.into(),
                value,
                revision: reply.number("revision").unwrap_or_default(),
            };
            self.observations.puts.borrow_mut().push(put.clone());
            last.insert(name, put.clone());
            if let Some(reply) = self.call(&client, "GET", &path, "", &[200]).await {
                let (value, revision) = (
                    reply.text("value"),
                    reply.number("revision").unwrap_or_default(),
                );
                self.observations.reads.borrow_mut().push(Read {
                    put,
                    value,
                    revision,
                });
            }
            sleep(CALL_INTERVAL).await;
        }
    }

    fn last_revision(&self) -> u64 {
        self.observations
            .puts
            .borrow()
            .last()
            .map_or(0, |put| put.revision)
    }

    async fn watch_keys(&self) {
        let client = self.client(2);
        // Waits for the first put; revision 0 requests the current revision.
        let mut after = 0;
        while after == 0 && !self.stopped.get() {
            let path = format!("/rookpulley/watch/{GROUP}?after=0&waitMs=0");
            let reply = self.call(&client, "GET", &path, "", &[200]).await;
            after = reply
                .and_then(|reply| reply.number("revision"))
                .unwrap_or_default();
            sleep(CALL_INTERVAL).await;
        }
        self.observations.watched_from.set(after);
        let mut last_event_deadline = None;
        while !self.puts_done.get() || after < self.last_revision() {
            // After the last put, its event must arrive before the timeout.
            if self.puts_done.get()
                && Instant::now()
                    > *last_event_deadline.get_or_insert(Instant::now() + CALL_TIMEOUT)
            {
                return self.unexpected(format!(
                    "the watch stopped at revision {after} of {}",
                    self.last_revision()
                ));
            }
            let path = format!(
                "/rookpulley/watch/{GROUP}?after={after}&waitMs={}",
                WATCH_WAIT.as_millis()
            );
            let deadline = Instant::now() + CALL_TIMEOUT;
            let timeout = WATCH_WAIT + REPLY_TIMEOUT;
            let Some(reply) = client
                .call_with_timeout("GET", &path, "", timeout, deadline)
                .await
            else {
                self.unexpected(format!("GET {path}: no conclusive answer"));
                continue;
            };
            if !reply.is_success() {
                return self.unexpected(format!("GET {path}: {}", reply.status));
            }
            let events = reply.list("events").unwrap_or_default();
            self.observations
                .events
                .borrow_mut()
                .extend(events.iter().filter_map(parse_event));
            after = reply.number("revision").unwrap_or(after);
        }
    }
}

fn parse_event(value: &JsonValue) -> Option<Put> {
    let fields: &HashMap<String, JsonValue> = value.get()?;
    let text = |name: &str| fields.get(name)?.get::<String>().cloned();
    let revision = *fields.get("revision")?.get::<f64>()? as u64;
    Some(Put {
        name: text("name")?,
        value: text("value")?,
        revision,
    })
}
