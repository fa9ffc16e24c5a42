//! Applications: they take a lock from each other, ask for numbers, put small keys and watch them.

use crate::caller::{Caller, Reply, SILENCE};
use crate::record::{Moment, Record};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::time::{Instant, sleep};

/// So long a call is sent again before it counts as not answered.
const PATIENCE: Duration = Duration::from_secs(6);
const HOLD: Duration = Duration::from_millis(700);
const WATCHES: Duration = Duration::from_millis(400);
const BETWEEN: Duration = Duration::from_millis(60);
/// Each of that many holds is not given back: its holder sleeps over it.
const SLEEPS: usize = 4;
const GROUP: &str = "trial.";
const KEYS: [&str; 2] = ["trial.first", "trial.second"];

#[derive(Clone, Debug, PartialEq)]
pub struct Number {
    pub sent: Moment,
    pub got: Moment,
    pub value: u64,
}

/// The time in which a caller counted itself holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    pub holder: usize,
    pub fence: u64,
    pub sent: Moment,
    pub from: Moment,
    pub until: Moment,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// The last put to the key, acknowledged before the read was sent.
    pub put: Put,
    pub value: Option<String>,
    pub revision: u64,
}

/// All that the applications saw.
#[derive(Default)]
pub struct Told {
    pub numbers: RefCell<Vec<Number>>,
    pub holds: RefCell<Vec<Hold>>,
    pub puts: RefCell<Vec<Put>>,
    pub reads: RefCell<Vec<Read>>,
    pub events: RefCell<Vec<Put>>,
    /// The revision from which on the group was watched.
    pub watched_from: Cell<u64>,
    /// Puts that named a revision left behind, and how many of them were turned away.
    pub stale: Cell<(usize, usize)>,
    /// Puts that got no clear answer: they may have taken effect.
    pub unclear: RefCell<Vec<(String, String)>>,
    /// Calls that got no clear answer, or one that has no place there.
    pub odd: RefCell<Vec<String>>,
}

pub struct Applications {
    controllers: Vec<SocketAddrV4>,
    record: Rc<Record>,
    pub told: Told,
    pub over: Cell<bool>,
    puts_over: Cell<bool>,
    /// Who got the lock last.
    taker: Cell<usize>,
}

impl Applications {
    pub fn new(controllers: Vec<SocketAddrV4>, record: Rc<Record>) -> Self {
        Self {
            controllers,
            record,
            told: Told::default(),
            over: Cell::new(false),
            puts_over: Cell::new(false),
            taker: Cell::new(0),
        }
    }

    /// Until it is over; the last put is still waited for.
    pub async fn run(&self) {
        let puts = async {
            self.put().await;
            self.puts_over.set(true);
        };
        tokio::join!(
            self.number(0),
            self.number(1),
            self.hold(0),
            self.hold(1),
            puts,
            self.watch()
        );
    }

    fn caller(&self, first: usize) -> Caller {
        Caller::new(self.controllers.clone(), first, self.record.clone())
    }

    fn odd(&self, what: String) {
        self.told.odd.borrow_mut().push(what);
    }

    /// Notes what is neither expected nor a refusal.
    async fn call(
        &self,
        caller: &Caller,
        method: &str,
        path: &str,
        body: &str,
        fine: &[u16],
    ) -> Option<Reply> {
        let reply = caller
            .call(method, path, body, Instant::now() + PATIENCE)
            .await;
        match reply {
            Some(reply) if fine.contains(&reply.status) => return Some(reply),
            Some(reply) => {
                let said = String::from_utf8_lossy(&reply.body).into_owned();
                self.odd(format!("{method} {path} {body}: {} {said}", reply.status));
            }
            None => self.odd(format!(
                "{method} {path} {body}: no clear answer within {} s",
                PATIENCE.as_secs()
            )),
        }
        None
    }

    async fn number(&self, first: usize) {
        let caller = self.caller(first);
        while !self.over.get() {
            let reply = self
                .call(&caller, "POST", "/rookpulley/numbers/trial", "{}", &[200])
                .await;
            if let Some(reply) = reply {
                let value = reply.number("value").unwrap_or_default();
                self.told.numbers.borrow_mut().push(Number {
                    sent: reply.sent,
                    got: reply.got,
                    value,
                });
            }
            sleep(BETWEEN).await;
        }
    }

    async fn hold(&self, holder: usize) {
        let caller = self.caller(holder);
        let path = "/rookpulley/locks/trial";
        let hold_ms = HOLD.as_millis();
        let take = format!(r#"{{"holder":"holder-{holder}","holdMs":{hold_ms}}}"#);
        for turn in 1.. {
            let taken = loop {
                if self.over.get() {
                    return;
                }
                let reply = self.call(&caller, "POST", path, &take, &[200, 409]).await;
                if let Some(reply) = reply.filter(Reply::good) {
                    break reply;
                }
                sleep(BETWEEN).await;
            };
            self.taker.set(holder);
            let fence = taken.number("fence").unwrap_or_default();
            let mut hold = Hold {
                holder,
                fence,
                sent: taken.sent,
                from: taken.got,
                until: taken.sent + HOLD,
            };
            let renew =
                format!(r#"{{"holder":"holder-{holder}","fence":{fence},"holdMs":{hold_ms}}}"#);
            if let Some(reply) = self.call(&caller, "PUT", path, &renew, &[200, 409]).await
                && reply.good()
                && reply.got < hold.until
            {
                hold.until = reply.sent + HOLD;
            }
            sleep(BETWEEN).await;
            if turn % SLEEPS == 0 {
                let rest = hold.until.saturating_sub(self.record.now());
                self.told.holds.borrow_mut().push(hold);
                sleep(rest + BETWEEN).await;
                continue;
            }
            hold.until = hold.until.min(self.record.now());
            self.told.holds.borrow_mut().push(hold);
            let drop = format!(r#"{{"holder":"holder-{holder}","fence":{fence}}}"#);
            self.call(&caller, "DELETE", path, &drop, &[200]).await;
            // Nobody promises that who has waited comes first, so it is let pass.
            let patience = Instant::now() + HOLD;
            while self.taker.get() == holder && !self.over.get() && Instant::now() < patience {
                sleep(BETWEEN).await;
            }
        }
    }

    async fn put(&self) {
        let caller = self.caller(1);
        let mut last: HashMap<&str, Put> = HashMap::new();
        for turn in 0.. {
            let Some(name) = KEYS.get(turn % KEYS.len()).copied() else {
                return;
            };
            if self.over.get() && last.len() == KEYS.len() {
                return;
            }
            let path = format!("/rookpulley/cells/{name}");
            let value = format!("value-{turn}");
            let active = last.get(name).map_or(0, |put| put.revision);
            if turn % 5 == 4 {
                let behind = format!(
                    r#"{{"value":"never-{turn}","active":{}}}"#,
                    active.saturating_sub(1)
                );
                if let Some(reply) = self.call(&caller, "PUT", &path, &behind, &[412]).await {
                    let (sent, away) = self.told.stale.get();
                    let named = reply.number("revision") == Some(active);
                    self.told.stale.set((sent + 1, away + usize::from(named)));
                }
            }
            let body = format!(r#"{{"value":"{value}","active":{active}}}"#);
            let Some(reply) = self.call(&caller, "PUT", &path, &body, &[200]).await else {
                return self.told.unclear.borrow_mut().push((name.into(), value));
            };
            let put = Put {
                name: name.into(),
                value,
                revision: reply.number("revision").unwrap_or_default(),
            };
            self.told.puts.borrow_mut().push(put.clone());
            last.insert(name, put.clone());
            if let Some(reply) = self.call(&caller, "GET", &path, "", &[200]).await {
                let (value, revision) = (
                    reply.text("value"),
                    reply.number("revision").unwrap_or_default(),
                );
                self.told.reads.borrow_mut().push(Read {
                    put,
                    value,
                    revision,
                });
            }
            sleep(BETWEEN).await;
        }
    }

    fn last_revision(&self) -> u64 {
        self.told.puts.borrow().last().map_or(0, |put| put.revision)
    }

    async fn watch(&self) {
        let caller = self.caller(2);
        // A watch begins behind some put: the revision 0 asks for the present one.
        let mut after = 0;
        while after == 0 && !self.over.get() {
            let path = format!("/rookpulley/watch/{GROUP}?after=0&waitMs=0");
            let reply = self.call(&caller, "GET", &path, "", &[200]).await;
            after = reply
                .and_then(|reply| reply.number("revision"))
                .unwrap_or_default();
            sleep(BETWEEN).await;
        }
        self.told.watched_from.set(after);
        let mut given_up = None;
        while !self.puts_over.get() || after < self.last_revision() {
            // When it is over, the last put must still come in time.
            if self.puts_over.get()
                && Instant::now() > *given_up.get_or_insert(Instant::now() + PATIENCE)
            {
                return self.odd(format!(
                    "the watch stays at {after} of {}",
                    self.last_revision()
                ));
            }
            let path = format!(
                "/rookpulley/watch/{GROUP}?after={after}&waitMs={}",
                WATCHES.as_millis()
            );
            let until = Instant::now() + PATIENCE;
            let silence = WATCHES + SILENCE;
            let Some(reply) = caller.call_within("GET", &path, "", silence, until).await else {
                self.odd(format!("GET {path}: no clear answer"));
                continue;
            };
            if !reply.good() {
                return self.odd(format!("GET {path}: {}", reply.status));
            }
            let events = reply.list("events").unwrap_or_default();
            self.told
                .events
                .borrow_mut()
                .extend(events.iter().filter_map(event));
            after = reply.number("revision").unwrap_or(after);
        }
    }
}

fn event(value: &JsonValue) -> Option<Put> {
    let fields: &HashMap<String, JsonValue> = value.get()?;
    let text = |name: &str| fields.get(name)?.get::<String>().cloned();
    let revision = *fields.get("revision")?.get::<f64>()? as u64;
    Some(Put {
        name: text("name")?,
        value: text("value")?,
        revision,
    })
}
