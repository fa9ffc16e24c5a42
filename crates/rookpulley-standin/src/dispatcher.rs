//! A simulated dispatcher: joins an assigner, applies its tables, acknowledges messages and routes requests. It either
//! reports the versions it holds or, like the platform's proxies, only acknowledges.

use crate::checker::Observation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_versions::{Delta, Holder, Kinds, Name, Order, Outcome, Table, Update, Version};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A connection that receives nothing for this long is closed and reopened.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    /// Versioned tables, keyed by request kinds; used if it reports versions.
    holders: BTreeMap<Kinds, Holder>,
    /// Weights by server for each request kind; used if it does not report versions.
    unversioned: BTreeMap<usize, BTreeMap<String, f64>>,
    out: BTreeSet<String>,
    fresh: bool,
}

pub struct Dispatcher {
    pub id: u64,
    zone: String,
    kinds: Vec<String>,
    reports_versions: bool,
    state: RefCell<State>,
    rng: RefCell<ChaCha8Rng>,
    /// The assigners to connect to, in order; the first is next.
    assigners: RefCell<Vec<SocketAddr>>,
    streams: Cell<u64>,
    observer: Rc<dyn Fn(Observation)>,
    pub refused: Cell<u64>,
    stays: Cell<bool>,
}

impl Dispatcher {
    pub fn new(
        id: u64,
        zone: &str,
        kinds: &[&str],
        reports_versions: bool,
        seed: u64,
        observer: Rc<dyn Fn(Observation)>,
    ) -> Rc<Self> {
        Rc::new(Self {
            id,
            zone: zone.into(),
            kinds: kinds.iter().map(|k| k.to_string()).collect(),
            reports_versions,
            state: RefCell::new(State {
                fresh: true,
                ..State::default()
            }),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ id << 32)),
            assigners: RefCell::default(),
            streams: Cell::new(0),
            observer,
            refused: Cell::new(0),
            stays: Cell::new(false),
        })
    }

    /// Sets the assigners' addresses. Each disconnect moves on to the next address.
    pub fn set_assigners(&self, assigners: &[SocketAddr]) {
        *self.assigners.borrow_mut() = assigners.to_vec();
    }

    /// From now on, reconnects to the same assigner instead of moving on to the next.
    pub fn stay_on_assigner(&self) {
        self.stays.set(true);
    }

    /// Connects and processes messages in the background, reconnecting after each disconnect.
    pub fn run(self: &Rc<Self>) {
        let this = self.clone();
        spawn_local(async move {
            loop {
                let address = this.assigners.borrow()[0];
                if let Ok(socket) = TcpStream::connect(address).await {
                    this.process_stream(socket).await;
                }
                if !this.stays.get() {
                    this.assigners.borrow_mut().rotate_left(1);
                }
                let pause = this.rng.borrow_mut().random_range(2..40);
                sleep(Duration::from_millis(pause)).await;
            }
        });
    }

    /// Routes a request of each kind at the given interval and reports the chosen server.
    pub fn route_requests(self: &Rc<Self>, every_ms: u64) {
        let this = self.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(every_ms)).await;
                for kind in 0..this.kinds.len() {
                    if let Some(server) = this.select_server(kind) {
                        (this.observer)(Observation::Routed {
                            dispatcher: this.id,
                            server,
                        });
                    }
                }
            }
        });
    }

    /// Chooses a server for a request of this kind at random by weight.
    pub fn select_server(&self, kind: usize) -> Option<String> {
        let state = self.state.borrow();
        let lines: Vec<(String, f64)> = self.lines(&state, kind);
        let usable: Vec<_> = lines
            .into_iter()
            .filter(|(s, _)| !state.out.contains(s))
            .collect();
        let total: f64 = usable.iter().map(|(_, w)| w).sum();
        let mut remaining = self.rng.borrow_mut().random_range(0.0..1.0) * total;
        let last = usable.last().map(|(s, _)| s.clone());
        let chosen = usable.into_iter().find(|(_, w)| {
            remaining -= w;
            remaining < 0.0
        });
        chosen.map(|(s, _)| s).or(last)
    }

    fn lines(&self, state: &State, kind: usize) -> Vec<(String, f64)> {
        let holder = state
            .holders
            .iter()
            .find(|(kinds, _)| *kinds >> kind & 1 == 1)
            .map(|(_, h)| h);
        match holder.and_then(Holder::table) {
            Some(table) => table.lines().map(|(n, w)| (n.to_string(), w)).collect(),
            None => state
                .unversioned
                .get(&kind)
                .into_iter()
                .flatten()
                .map(|(s, w)| (s.clone(), *w))
                .collect(),
        }
    }

    /// The tables it holds, by request kind.
    pub fn tables(&self) -> BTreeMap<String, BTreeMap<String, f64>> {
        let state = self.state.borrow();
        let named = self.kinds.iter().enumerate();
        named
            .map(|(k, name)| (name.clone(), self.lines(&state, k).into_iter().collect()))
            .collect()
    }

    /// The version it holds for each of its request kinds.
    pub fn versions(&self) -> BTreeMap<Kinds, String> {
        let state = self.state.borrow();
        state
            .holders
            .iter()
            .filter_map(|(k, h)| Some((*k, h.version()?.to_string())))
            .collect()
    }

    fn names(&self, kinds: Kinds) -> Vec<&str> {
        let named = self
            .kinds
            .iter()
            .enumerate()
            .filter(|(k, _)| kinds >> k & 1 == 1);
        named.map(|(_, name)| name.as_str()).collect()
    }

    fn holdings(&self, state: &State) -> Value {
        let describe = |(kinds, holder): (&Kinds, &Holder)| {
            let (version, digest) = (holder.version()?.to_string(), holder.digest()?.to_string());
            Some(json!({"classes": self.names(*kinds), "version": version, "digest": digest}))
        };
        state.holders.iter().filter_map(describe).collect()
    }

    async fn process_stream(&self, socket: TcpStream) {
        _ = socket.set_nodelay(true);
        let stream = self.streams.replace(self.streams.get() + 1) + 1;
        let (from, mut to) = socket.into_split();
        let join_message = {
            let mut state = self.state.borrow_mut();
            state
                .holders
                .values_mut()
                .for_each(|h| h.follow_stream(stream));
            let mut join_message = json!({"msg": "attach", "proxy": self.id, "zone": self.zone, "weight": 9.5,
                "fresh": state.fresh});
            if self.reports_versions {
                join_message["holds"] = self.holdings(&state);
            }
            join_message
        };
        if to
            .write_all(format!("{join_message}\n").as_bytes())
            .await
            .is_err()
        {
            return;
        }
        let (mut from, mut line, mut parts) = (BufReader::new(from), String::new(), Vec::new());
        while timeout(IDLE_TIMEOUT, from.read_line(&mut line))
            .await
            .is_ok_and(|r| r.is_ok_and(|n| n > 0))
        {
            let Ok(part) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            line.clear();
            let more = part["more"] == true;
            parts.push(part);
            if more {
                continue;
            }
            let replies = self.apply_message(stream, &std::mem::take(&mut parts));
            for answer in replies {
                if to
                    .write_all(format!("{answer}\n").as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
        }
    }

    fn mask(&self, part: &Value) -> Kinds {
        let every_kind = (1_u32 << self.kinds.len()) as Kinds - 1;
        let index = |name: &Value| self.kinds.iter().position(|k| name == k.as_str());
        let named = part["classes"].as_array();
        named.map_or(every_kind, |names| {
            names.iter().filter_map(index).fold(0, |m, k| m | 1 << k)
        })
    }

    /// Applies one message, given as all its parts, and returns the replies.
    fn apply_message(&self, stream: u64, parts: &[Value]) -> Vec<Value> {
        let mut state = self.state.borrow_mut();
        let (mut replies, mut all_applied) = (Vec::new(), true);
        let names = |part: &Value, field: &str| -> Vec<String> {
            let list = part[field].as_array().into_iter().flatten();
            list.filter_map(|s| s.as_str().map(String::from)).collect()
        };
        let lines = |part: &Value| -> Vec<(Name, f64)> {
            let list = part["lines"].as_array().into_iter().flatten();
            list.filter_map(|l| Some((Name::from(l[0].as_str()?), l[1].as_f64()?)))
                .collect()
        };
        for (index, part) in parts.iter().enumerate() {
            state.out.extend(names(part, "out"));
            names(part, "back")
                .iter()
                .for_each(|s| _ = state.out.remove(s));
            let kinds = self.mask(part);
            if !self.reports_versions {
                for kind in (0..self.kinds.len()).filter(|k| kinds >> k & 1 == 1) {
                    let table = state.unversioned.entry(kind).or_default();
                    if part["whole"] == true {
                        table.clear();
                    }
                    for (name, weight) in lines(part) {
                        table.insert(name.to_string(), weight);
                    }
                    table.retain(|_, weight| *weight > 0.0);
                }
                continue;
            }
            let (Some(version), Some(digest)) = (part["version"].as_str(), part["to"].as_str())
            else {
                continue;
            };
            // A long table continues in the following parts.
            let continues = |p: &&Value| {
                p["lines"].is_array() && p["version"].is_null() && self.mask(p) == kinds
            };
            let rest = parts[index + 1..]
                .iter()
                .take_while(continues)
                .flat_map(lines);
            let changes: Vec<_> = lines(part).into_iter().chain(rest).collect();
            let of = state.holders.get(&kinds).and_then(Holder::version).cloned();
            let (version, to) = (
                Version::parse_relative(version, of.as_ref()),
                digest.parse(),
            );
            let (Ok(version), Ok(to)) = (version, to) else {
                // The message that named the issuer was lost.
                all_applied = false;
                let classes = self.names(kinds);
                replies.push(json!({"msg": "refused", "proxy": self.id, "classes": classes}));
                continue;
            };
            let update = match part["from"].as_str().and_then(|f| f.parse().ok()) {
                Some(from) => Some(Update::Delta(Delta { from, to, changes })),
                None if part["whole"] == true => {
                    let table = Table::from_lines(changes).ok().filter(|t| t.digest() == to);
                    table.map(|t| Update::Whole(Arc::new(t)))
                }
                None => Some(Update::Unchanged(to)),
            };
            let holder = state.holders.entry(kinds).or_insert_with(|| {
                let mut holder = Holder::default();
                holder.follow_stream(stream);
                holder
            });
            let outcome = update.map_or(Outcome::Refused, |update| {
                holder.handle(stream, &Order { version, update })
            });
            match outcome {
                Outcome::Applied | Outcome::VersionUpdated => {}
                Outcome::Ignored => all_applied = false,
                Outcome::Refused => {
                    all_applied = false;
                    self.refused.set(self.refused.get() + 1);
                    let (version, digest) =
                        (holder.version().map(|v| v.to_string()), holder.digest());
                    let classes = self.names(kinds);
                    replies.push(
                        json!({"msg": "refused", "proxy": self.id, "classes": classes,
                        "version": version, "digest": digest.map(|d| d.to_string())}),
                    );
                }
            }
        }
        state.fresh = false;
        if let Some(mark) = parts
            .last()
            .and_then(|p| p["ticket"].as_u64())
            .filter(|_| all_applied)
        {
            let mut done = json!({"msg": "done", "proxy": self.id, "mark": mark, "took_ms": 1.5});
            if self.reports_versions {
                done["holds"] = self.holdings(&state);
            }
            replies.push(done);
        }
        replies
    }
}
