//! The driver: owns the controller, its clock and its alarms, and calls it with all that came.

use crate::counters::Counters;
use crate::ending::Ending;
use crate::log::Log;
use crate::messages::{ELSEWHERE, Holds, List, Words, server_id};
use crate::operators::WaysBack;
use crate::orders::{Names, Orders};
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::roster::Roster;
use crate::say;
use crate::servers::Servers;
use crate::streams::{ConnId, Conns};
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use rookpulley_files::watch::Found;
use rookpulley_operators::PendingRequest;
use rookpulley_versions::{Claim, Kinds, VersionManager};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// What connections, the list and peers tell the driver.
pub enum Event {
    Joined(Joined),
    OnStream {
        conn: ConnId,
        proxy: ProxyId,
        input: Input,
        holds: Holds,
    },
    Refused {
        conn: ConnId,
        proxy: ProxyId,
        kinds: Kinds,
        holds: Option<Claim>,
    },
    Ended {
        conn: ConnId,
        proxy: ProxyId,
        ending: Ending,
    },
    Report(Input),
    List {
        scope: ListScope,
        list: List,
    },
    ListFailed,
    Note {
        from: u16,
        bytes: Vec<u8>,
    },
    Asked(PendingRequest),
    File(Found),
}

/// A proxy's joining.
pub struct Joined {
    pub conn: ConnId,
    pub outbox: Rc<Outbox>,
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub usual_per_s: f64,
    pub fresh: bool,
    pub holds: Option<Holds>,
}

/// What every task has at hand.
pub struct Front {
    pub log: Log,
    pub counters: Counters,
    pub words: Words,
    pub conns: Conns,
    pub events: mpsc::Sender<Event>,
}

impl Front {
    pub async fn tell(&self, event: Event) {
        // Nobody listens any more once the assigner ends.
        _ = self.events.send(event).await;
    }

    /// Prints the counters, and the most memory that the system says was held.
    pub fn print(&self) {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let most = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
        self.counters.most(
            "most memory kB",
            most.and_then(|kb| kb.parse().ok()).unwrap_or(0),
        );
        self.counters
            .lines()
            .iter()
            .for_each(|line| say!(self.log, "count", "{line}"));
    }
}

/// Unix time in milliseconds, by the system's clock.
pub fn unix_ms() -> f64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_secs_f64() * 1e3
}

/// Milliseconds of Unix time, as the list has them, but never set back or forward.
pub struct Clock {
    origin_ms: f64,
    origin: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            origin_ms: unix_ms(),
            origin: Instant::now(),
        }
    }

    pub fn now_ms(&self) -> f64 {
        self.ms_at(Instant::now())
    }

    fn ms_at(&self, at: Instant) -> f64 {
        self.origin_ms + (at - self.origin).as_secs_f64() * 1e3
    }

    fn at_ms(&self, ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64((ms - self.origin_ms).max(0.0) / 1e3)
    }
}

/// So many inputs wait for one call at most; more wait where they came in.
const INPUTS_MOST: usize = 100_000;

struct Stream {
    conn: ConnId,
    outbox: Rc<Outbox>,
}

/// What the operators' file switched on.
#[derive(Default)]
pub struct Switched {
    pub book: Option<VersionManager>,
    pub servers: Option<Servers>,
}

pub struct Driver {
    front: Rc<Front>,
    clock: Clock,
    tick_ms: f64,
    controller: Controller,
    orders: Orders,
    names: Names,
    /// Ids as the module's log shows them.
    shown: BTreeMap<String, ServerId>,
    streams: BTreeMap<ProxyId, Stream>,
    /// By the time when they are due (in whole microseconds) and the order in which they were set.
    alarms: BTreeMap<(u64, u64), u64>,
    alarms_set: u64,
    inputs: Vec<Input>,
    peers: Option<Rc<Peers>>,
    roster: Rc<Roster>,
    ways_back: WaysBack,
    /// Where a file lists the servers.
    servers: Option<Servers>,
}

impl Driver {
    /// Starts the module and calls it with the list as it was last known.
    pub fn start(
        front: Rc<Front>,
        start: Start,
        known: List,
        tick_ms: f64,
        peers: Option<Rc<Peers>>,
        roster: Rc<Roster>,
        switched: Switched,
    ) -> Self {
        let Switched { book, servers } = switched;
        let clock = Clock::start();
        let mut driver = Self {
            tick_ms,
            orders: Orders::new(front.words.kinds.clone(), book),
            controller: Controller::new(clock.now_ms(), start),
            names: Names::new(),
            shown: BTreeMap::new(),
            streams: BTreeMap::new(),
            alarms: BTreeMap::new(),
            alarms_set: 0,
            inputs: Vec::new(),
            front,
            clock,
            peers,
            roster,
            ways_back: WaysBack::default(),
            servers,
        };
        driver.take(Event::List {
            scope: ListScope::Cached,
            list: known,
        });
        driver.call();
        driver
    }

    pub fn knows_servers(&self) -> bool {
        !self.names.is_empty()
    }

    /// One turn: waits for something to come, gathers all up to the next tick, calls the module.
    pub async fn turn(&mut self, events: &mut mpsc::Receiver<Event>) {
        let next_tick = Instant::now() + Duration::from_secs_f64(self.tick_ms / 1e3);
        let due = self
            .alarms
            .keys()
            .next()
            .map(|(us, _)| self.clock.at_ms(*us as f64 / 1e3));
        let idle = self
            .orders
            .book
            .as_ref()
            .map_or(3_600_000.0, VersionManager::check_interval_ms);
        let idle = Duration::from_secs_f64(idle / 1e3);
        let due = due
            .unwrap_or_else(|| Instant::now() + idle)
            .min(Instant::now() + idle);
        if self.inputs.is_empty() {
            tokio::select! {
                Some(event) = events.recv() => self.take(event),
                () = tokio::time::sleep_until(due) => {}
            }
        }
        while self.inputs.len() < INPUTS_MOST {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(next_tick) => break,
                Some(event) = events.recv() => self.take(event),
            }
        }
        self.call();
    }

    /// Turns what came into the module's input.
    fn take(&mut self, event: Event) {
        match event {
            Event::Joined(Joined {
                conn,
                outbox,
                proxy,
                zone,
                usual_per_s,
                fresh,
                holds,
            }) => {
                if let Some(before) = self.streams.insert(proxy, Stream { conn, outbox }) {
                    before.outbox.end(Ending::Replaced);
                    self.inputs.extend(Ending::Replaced.input(proxy));
                }
                self.orders.join(self.clock.now_ms(), proxy, fresh, holds);
                self.front
                    .counters
                    .most("most proxies joined", self.streams.len() as u64);
                self.inputs.push(Input::ProxyJoined {
                    proxy,
                    zone,
                    usual_per_s,
                    fresh,
                });
            }
            Event::OnStream {
                conn,
                proxy,
                input,
                holds,
            } => match self.streams.get(&proxy) {
                Some(stream) if stream.conn == conn => match input {
                    Input::Acknowledged { mark, .. }
                        if !self
                            .orders
                            .answered(self.clock.now_ms(), proxy, mark, &holds) =>
                    {
                        self.front.counters.one("bad input: mark not asked for");
                        say!(
                            self.front.log,
                            "bad input",
                            "from proxy {proxy}: mark {mark} not asked for"
                        );
                    }
                    input => self.inputs.push(input),
                },
                _ => self.front.counters.one("late input of old streams"),
            },
            Event::Refused {
                conn,
                proxy,
                kinds,
                holds,
            } => match (self.streams.get(&proxy), &mut self.orders.book) {
                (Some(stream), Some(book)) if stream.conn == conn => {
                    say!(
                        self.front.log,
                        "version",
                        "proxy {proxy} refused an order, it holds {holds:?}"
                    );
                    book.record_refusal(self.clock.now_ms(), proxy, kinds, holds);
                }
                _ => self.front.counters.one("late input of old streams"),
            },
            Event::Asked(asked) => {
                let (now, servers) = (self.clock.now_ms(), self.servers.as_ref());
                let inputs = self.ways_back.take(now, asked, &self.orders, servers);
                self.inputs.extend(inputs);
            }
            Event::Ended {
                conn,
                proxy,
                ending,
            } => {
                if self.streams.get(&proxy).is_some_and(|s| s.conn == conn) {
                    self.streams.remove(&proxy);
                    self.orders.leave(self.clock.now_ms(), proxy);
                    self.inputs.extend(ending.input(proxy));
                }
            }
            Event::Report(input) => match &input {
                Input::ServerReport { server, .. } if !self.names.contains_key(server) => {
                    self.front.counters.one("bad input: unknown server");
                    say!(
                        self.front.log,
                        "bad input",
                        "from a collector: a server that was never listed"
                    );
                }
                _ => self.inputs.push(input),
            },
            Event::List { scope, list } => {
                let now = self.clock.now_ms();
                let (scope, list) = match &mut self.servers {
                    Some(servers) => servers.seen(now, scope, list, &self.front),
                    None => (scope, list),
                };
                self.list(scope, list);
            }
            Event::File(found) => {
                let now = self.clock.now_ms();
                let taken = self
                    .servers
                    .as_mut()
                    .and_then(|s| s.take(now, found, &self.front));
                if let Some((scope, list)) = taken {
                    self.list(scope, list);
                }
            }
            Event::ListFailed => {
                let (scope, version, lines) = (ListScope::Failed, 0, Vec::new());
                self.inputs.push(Input::List {
                    scope,
                    version,
                    lines,
                });
            }
            Event::Note { from, bytes } => self.inputs.push(Input::PeerMessage { from, bytes }),
        }
    }

    /// Tells the module of tables that did not reach their proxy, or that it holds otherwise.
    fn owed(&mut self, now: f64) {
        let Some(book) = &mut self.orders.book else {
            return;
        };
        let mut owed = book.take_uncounted();
        for (proxy, table) in book.poll_due(now) {
            say!(
                self.front.log,
                "version",
                "proxy {proxy} does not hold table {table} as told: written anew"
            );
            owed.insert(table);
        }
        self.front.counters.add("tables owed", owed.len() as u64);
        self.inputs
            .extend(owed.into_iter().map(|table| Input::TableLost { table }));
    }

    /// A list for the module; names are learnt from it.
    fn list(&mut self, scope: ListScope, list: List) {
        for (line, name) in list.lines.iter().zip(list.names) {
            if line.zone == ELSEWHERE || line.machine == ELSEWHERE {
                self.front
                    .counters
                    .one("servers of unknown zone or machine");
                say!(
                    self.front.log,
                    "list",
                    "{name} is of a zone or machine that the settings don't name"
                );
            }
            debug_assert_eq!(line.server, server_id(&name));
            self.shown
                .entry(rookpulley::state::format_server(line.server))
                .or_insert(line.server);
            self.names.entry(line.server).or_insert(name);
        }
        self.inputs.push(Input::List {
            scope,
            version: list.version,
            lines: list.lines,
        });
    }

    /// Calls the module with what came and the alarms that are due, and carries out what it orders.
    fn call(&mut self) {
        let now = self.clock.now_ms();
        let due = (now * 1e3) as u64;
        while let Some(alarm) = self.alarms.first_entry().filter(|a| a.key().0 <= due) {
            self.inputs.push(Input::TimerFired {
                name: alarm.remove(),
            });
        }
        self.owed(now);
        if let Some((scope, list)) = self.servers.as_mut().and_then(|s| s.pass(now, &self.front)) {
            self.list(scope, list);
        }
        if self.inputs.is_empty() {
            return;
        }
        let effects = self.controller.handle(now, &self.inputs);
        self.inputs.clear();
        self.front.counters.one("calls of the module");
        for written in self.orders.carry_out(now, &effects, &self.names) {
            self.front.counters.one("out messages");
            self.front.counters.add("out lines", written.lines as u64);
            self.front
                .counters
                .add("out bytes", written.bytes.len() as u64);
            if let Some(stream) = self.streams.get(&written.proxy) {
                stream.outbox.put(written.bytes);
            }
        }
        for effect in effects {
            match effect {
                Effect::SetTimer { in_ms, name } => {
                    self.alarms_set += 1;
                    self.alarms
                        .insert((due + (in_ms * 1e3) as u64, self.alarms_set), name);
                }
                Effect::Log(text) => {
                    say!(self.front.log, "module", "{}", self.named(&text));
                }
                Effect::PeerMessage { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &bytes, &self.front);
                    }
                }
                // Lifted for good: no list, table or proxy of ours names it any more.
                Effect::WithdrawServer { server, out: false }
                    if !self.controller.knows(&server) =>
                {
                    self.names.remove(&server);
                    self.shown.remove(&rookpulley::state::format_server(server));
                    self.orders.forget(&server);
                    self.front.counters.one("servers forgotten");
                }
                Effect::RollbackStatus { table, what } => {
                    say!(self.front.log, "way back", "table {table}: {what:?}");
                    self.ways_back.hear(table, &what);
                }
                Effect::WatchList { on } => self.roster.set_watch(on),
                Effect::FetchList => self.roster.fetch(),
                // On sockets there is no way to probe.
                Effect::ProbeServer { server } => {
                    self.front.counters.one("probes not possible");
                    let (answer, took_ms, load) = (ProbeOutcome::Void, 0.0, Vec::new());
                    self.inputs.push(Input::ProbeCompleted {
                        server,
                        answer,
                        took_ms,
                        load,
                    });
                }
                _ => {}
            }
        }
    }

    /// The module's line, with servers by their names.
    fn named(&self, text: &str) -> String {
        let name = |word| {
            self.shown
                .get(word)
                .and_then(|id| self.names.get(id))
                .map(String::as_str)
        };
        text.split(' ')
            .map(|word| name(word).unwrap_or(word))
            .collect::<Vec<_>>()
            .join(" ")
    }
}
