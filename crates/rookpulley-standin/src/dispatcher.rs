//! A dispatcher: joins an assigner, follows its tables, answers marks and routes reqs by what it holds. It
//! speaks of versions, or not, as the platform's proxies don't.

use crate::checker::Seen;
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

/// A stream that brings nothing for so long is dialled anew.
const SILENT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Held {
    /// By request kinds, where it speaks of versions.
    holders: BTreeMap<Kinds, Holder>,
    /// By request kind, where it does not.
    plain: BTreeMap<usize, BTreeMap<String, f64>>,
    out: BTreeSet<String>,
    fresh: bool,
}

pub struct Dispatcher {
    pub id: u64,
    zone: String,
    kinds: Vec<String>,
    speaks: bool,
    held: RefCell<Held>,
    rng: RefCell<ChaCha8Rng>,
    /// Where to dial, in turn.
    places: RefCell<Vec<SocketAddr>>,
    streams: Cell<u64>,
    seen: Rc<dyn Fn(Seen)>,
    pub refused: Cell<u64>,
    resting: Cell<bool>,
}

impl Dispatcher {
    pub fn new(
        id: u64,
        zone: &str,
        kinds: &[&str],
        speaks: bool,
        seed: u64,
        seen: Rc<dyn Fn(Seen)>,
    ) -> Rc<Self> {
        Rc::new(Self {
            id,
            zone: zone.into(),
            kinds: kinds.iter().map(|k| k.to_string()).collect(),
            speaks,
            held: RefCell::new(Held {
                fresh: true,
                ..Held::default()
            }),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ id << 32)),
            places: RefCell::default(),
            streams: Cell::new(0),
            seen,
            refused: Cell::new(0),
            resting: Cell::new(false),
        })
    }

    /// The places of the assigners; the first is dialled first, and each break goes on to the next.
    pub fn dial(&self, places: &[SocketAddr]) {
        *self.places.borrow_mut() = places.to_vec();
    }

    /// Stays where it is from now on, for as long as that stream lives; goes back to it afterwards.
    pub fn rest(&self) {
        self.resting.set(true);
    }

    /// Joins, follows and joins again, for as long as the test runs.
    pub fn run(self: &Rc<Self>) {
        let here = self.clone();
        spawn_local(async move {
            loop {
                let place = here.places.borrow()[0];
                if let Ok(socket) = TcpStream::connect(place).await {
                    here.follow(socket).await;
                }
                if !here.resting.get() {
                    here.places.borrow_mut().rotate_left(1);
                }
                let pause = here.rng.borrow_mut().random_range(2..40);
                sleep(Duration::from_millis(pause)).await;
            }
        });
    }

    /// Routes a req every few milliseconds, and tells which server it went to.
    pub fn route(self: &Rc<Self>, every_ms: u64) {
        let here = self.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(every_ms)).await;
                for kind in 0..here.kinds.len() {
                    if let Some(server) = here.pick(kind) {
                        (here.seen)(Seen::Routed {
                            dispatcher: here.id,
                            server,
                        });
                    }
                }
            }
        });
    }

    /// A server for a req of this kind, by weight.
    pub fn pick(&self, kind: usize) -> Option<String> {
        let held = self.held.borrow();
        let lines: Vec<(String, f64)> = self.lines(&held, kind);
        let usable: Vec<_> = lines
            .into_iter()
            .filter(|(s, _)| !held.out.contains(s))
            .collect();
        let all: f64 = usable.iter().map(|(_, w)| w).sum();
        let mut at = self.rng.borrow_mut().random_range(0.0..1.0) * all;
        let last = usable.last().map(|(s, _)| s.clone());
        let found = usable.into_iter().find(|(_, w)| {
            at -= w;
            at < 0.0
        });
        found.map(|(s, _)| s).or(last)
    }

    fn lines(&self, held: &Held, kind: usize) -> Vec<(String, f64)> {
        let holder = held
            .holders
            .iter()
            .find(|(kinds, _)| *kinds >> kind & 1 == 1)
            .map(|(_, h)| h);
        match holder.and_then(Holder::table) {
            Some(table) => table.lines().map(|(n, w)| (n.to_string(), w)).collect(),
            None => held
                .plain
                .get(&kind)
                .into_iter()
                .flatten()
                .map(|(s, w)| (s.clone(), *w))
                .collect(),
        }
    }

    /// Its tables, by request kind.
    pub fn tables(&self) -> BTreeMap<String, BTreeMap<String, f64>> {
        let held = self.held.borrow();
        let named = self.kinds.iter().enumerate();
        named
            .map(|(k, name)| (name.clone(), self.lines(&held, k).into_iter().collect()))
            .collect()
    }

    /// The version it holds for each of its request kinds.
    pub fn versions(&self) -> BTreeMap<Kinds, String> {
        let held = self.held.borrow();
        held.holders
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

    fn holds(&self, held: &Held) -> Value {
        let claim = |(kinds, holder): (&Kinds, &Holder)| {
            let (version, digest) = (holder.version()?.to_string(), holder.digest()?.to_string());
            Some(json!({"classes": self.names(*kinds), "version": version, "digest": digest}))
        };
        held.holders.iter().filter_map(claim).collect()
    }

    async fn follow(&self, socket: TcpStream) {
        _ = socket.set_nodelay(true);
        let stream = self.streams.replace(self.streams.get() + 1) + 1;
        let (from, mut to) = socket.into_split();
        let joining = {
            let mut held = self.held.borrow_mut();
            held.holders
                .values_mut()
                .for_each(|h| h.follow_stream(stream));
            let mut joining = json!({"msg": "attach", "proxy": self.id, "zone": self.zone, "weight": 9.5,
                "fresh": held.fresh});
            if self.speaks {
                joining["holds"] = self.holds(&held);
            }
            joining
        };
        if to
            .write_all(format!("{joining}\n").as_bytes())
            .await
            .is_err()
        {
            return;
        }
        let (mut from, mut line, mut parts) = (BufReader::new(from), String::new(), Vec::new());
        while timeout(SILENT, from.read_line(&mut line))
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
            let said = self.take(stream, &std::mem::take(&mut parts));
            for answer in said {
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
        let all = (1_u32 << self.kinds.len()) as Kinds - 1;
        let place = |name: &Value| self.kinds.iter().position(|k| name == k.as_str());
        let named = part["classes"].as_array();
        named.map_or(all, |names| {
            names.iter().filter_map(place).fold(0, |m, k| m | 1 << k)
        })
    }

    /// Takes one message, all its parts; gives what is said in answer.
    fn take(&self, stream: u64, parts: &[Value]) -> Vec<Value> {
        let mut held = self.held.borrow_mut();
        let (mut said, mut all) = (Vec::new(), true);
        let names = |part: &Value, field: &str| -> Vec<String> {
            let list = part[field].as_array().into_iter().flatten();
            list.filter_map(|s| s.as_str().map(String::from)).collect()
        };
        let lines = |part: &Value| -> Vec<(Name, f64)> {
            let list = part["lines"].as_array().into_iter().flatten();
            list.filter_map(|l| Some((Name::from(l[0].as_str()?), l[1].as_f64()?)))
                .collect()
        };
        for (at, part) in parts.iter().enumerate() {
            held.out.extend(names(part, "out"));
            names(part, "back")
                .iter()
                .for_each(|s| _ = held.out.remove(s));
            let kinds = self.mask(part);
            if !self.speaks {
                for kind in (0..self.kinds.len()).filter(|k| kinds >> k & 1 == 1) {
                    let table = held.plain.entry(kind).or_default();
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
            // A long table goes on in the next parts.
            let goes_on = |p: &&Value| {
                p["lines"].is_array() && p["version"].is_null() && self.mask(p) == kinds
            };
            let rest = parts[at + 1..].iter().take_while(goes_on).flat_map(lines);
            let changes: Vec<_> = lines(part).into_iter().chain(rest).collect();
            let of = held.holders.get(&kinds).and_then(Holder::version).cloned();
            let (version, to) = (
                Version::parse_relative(version, of.as_ref()),
                digest.parse(),
            );
            let (Ok(version), Ok(to)) = (version, to) else {
                // The order that would have named the issuer was lost.
                all = false;
                let classes = self.names(kinds);
                said.push(json!({"msg": "refused", "proxy": self.id, "classes": classes}));
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
            let holder = held.holders.entry(kinds).or_insert_with(|| {
                let mut holder = Holder::default();
                holder.follow_stream(stream);
                holder
            });
            let verdict = update.map_or(Outcome::Refused, |update| {
                holder.handle(stream, &Order { version, update })
            });
            match verdict {
                Outcome::Applied | Outcome::VersionUpdated => {}
                Outcome::Ignored => all = false,
                Outcome::Refused => {
                    all = false;
                    self.refused.set(self.refused.get() + 1);
                    let (version, digest) =
                        (holder.version().map(|v| v.to_string()), holder.digest());
                    let classes = self.names(kinds);
                    said.push(
                        json!({"msg": "refused", "proxy": self.id, "classes": classes,
                        "version": version, "digest": digest.map(|d| d.to_string())}),
                    );
                }
            }
        }
        held.fresh = false;
        if let Some(mark) = parts
            .last()
            .and_then(|p| p["ticket"].as_u64())
            .filter(|_| all)
        {
            let mut done = json!({"msg": "done", "proxy": self.id, "mark": mark, "took_ms": 1.5});
            if self.speaks {
                done["holds"] = self.holds(&held);
            }
            said.push(done);
        }
        said
    }
}
