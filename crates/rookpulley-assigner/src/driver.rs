//! The event loop around the decision module: it batches events into inputs, keeps the module's clock
//! and timers, and executes the effects that the module returns.

use crate::close_reason::CloseReason;
use crate::connections::{ConnId, Connections};
use crate::counters::Counters;
use crate::list_client::ListClient;
use crate::log::Log;
use crate::log_event;
use crate::messages::{Codec, HeldVersions, List, UNKNOWN_INDEX, server_id};
use crate::operators::Rollbacks;
use crate::orders::{Names, Orders};
use crate::outbox::Outbox;
use crate::peers::PeerSocket;
use crate::server_file::ServerFile;
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

/// Events from connections, discovery, peers and operators.
pub enum Event {
    Joined(JoinedProxy),
    ProxyInput {
        conn: ConnId,
        proxy: ProxyId,
        input: Input,
        holds: HeldVersions,
    },
    Refused {
        conn: ConnId,
        proxy: ProxyId,
        kinds: Kinds,
        holds: Option<Claim>,
    },
    Disconnected {
        conn: ConnId,
        proxy: ProxyId,
        reason: CloseReason,
    },
    Report(Input),
    List {
        scope: ListScope,
        list: List,
    },
    ListFailed,
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    OperatorRequest(PendingRequest),
    ServerFile(Found),
}

/// A proxy that has joined on a new stream.
pub struct JoinedProxy {
    pub conn: ConnId,
    pub outbox: Rc<Outbox>,
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub usual_per_s: f64,
    pub fresh: bool,
    pub holds: Option<HeldVersions>,
}

/// State shared by all tasks.
pub struct Context {
    pub log: Log,
    pub counters: Counters,
    pub codec: Codec,
    pub conns: Connections,
    pub events: mpsc::Sender<Event>,
}

impl Context {
    pub async fn send(&self, event: Event) {
        // The receiver is dropped at shutdown.
        _ = self.events.send(event).await;
    }

    /// Logs all counters, including the peak resident memory.
    pub fn log_counters(&self) {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let peak_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next());
        self.counters.record_max(
            "most memory kB",
            peak_kb.and_then(|kb| kb.parse().ok()).unwrap_or(0),
        );
        self.counters
            .lines()
            .iter()
            .for_each(|line| log_event!(self.log, "count", "{line}"));
    }
}

/// Unix time in milliseconds from the system clock.
pub fn unix_ms() -> f64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_secs_f64() * 1e3
}

/// A monotonic clock in milliseconds of Unix time. It ignores later adjustments of the system clock.
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

    fn instant_at(&self, ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64((ms - self.origin_ms).max(0.0) / 1e3)
    }
}

/// Maximum inputs per call of the module; further events stay in the channel.
const MAX_INPUTS: usize = 100_000;

struct Stream {
    conn: ConnId,
    outbox: Rc<Outbox>,
}

/// Features enabled by the operators file.
#[derive(Default)]
pub struct OptionalParts {
    pub manager: Option<VersionManager>,
    pub server_file: Option<ServerFile>,
}

pub struct Driver {
    ctx: Rc<Context>,
    clock: Clock,
    tick_ms: f64,
    controller: Controller,
    orders: Orders,
    names: Names,
    /// Server ids by the text that the module's log lines use for them.
    ids_by_text: BTreeMap<String, ServerId>,
    streams: BTreeMap<ProxyId, Stream>,
    /// Ordered by due time in microseconds, then by the order in which they were set.
    timers: BTreeMap<(u64, u64), u64>,
    timer_seq: u64,
    inputs: Vec<Input>,
    peers: Option<Rc<PeerSocket>>,
    list_client: Rc<ListClient>,
    rollbacks: Rollbacks,
    /// Set if a file lists the servers.
    server_file: Option<ServerFile>,
}

impl Driver {
    /// Starts the module and calls it with the last known server list.
    pub fn start(
        ctx: Rc<Context>,
        start: Start,
        cached_list: List,
        tick_ms: f64,
        peers: Option<Rc<PeerSocket>>,
        list_client: Rc<ListClient>,
        optional: OptionalParts,
    ) -> Self {
        let OptionalParts {
            manager,
            server_file,
        } = optional;
        let clock = Clock::start();
        let mut driver = Self {
            tick_ms,
            orders: Orders::new(ctx.codec.kinds.clone(), manager),
            controller: Controller::new(clock.now_ms(), start),
            names: Names::new(),
            ids_by_text: BTreeMap::new(),
            streams: BTreeMap::new(),
            timers: BTreeMap::new(),
            timer_seq: 0,
            inputs: Vec::new(),
            ctx,
            clock,
            peers,
            list_client,
            rollbacks: Rollbacks::default(),
            server_file,
        };
        driver.handle_event(Event::List {
            scope: ListScope::Cached,
            list: cached_list,
        });
        driver.call_controller();
        driver
    }

    pub fn knows_servers(&self) -> bool {
        !self.names.is_empty()
    }

    /// Waits for an event or a timer, collects events until the next tick, then calls the module.
    pub async fn run_once(&mut self, events: &mut mpsc::Receiver<Event>) {
        let next_tick = Instant::now() + Duration::from_secs_f64(self.tick_ms / 1e3);
        let due = self
            .timers
            .keys()
            .next()
            .map(|(us, _)| self.clock.instant_at(*us as f64 / 1e3));
        let idle = self
            .orders
            .manager
            .as_ref()
            .map_or(3_600_000.0, VersionManager::check_interval_ms);
        let idle = Duration::from_secs_f64(idle / 1e3);
        let due = due
            .unwrap_or_else(|| Instant::now() + idle)
            .min(Instant::now() + idle);
        if self.inputs.is_empty() {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                () = tokio::time::sleep_until(due) => {}
            }
        }
        while self.inputs.len() < MAX_INPUTS {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(next_tick) => break,
                Some(event) = events.recv() => self.handle_event(event),
            }
        }
        self.call_controller();
    }

    /// Converts an event into inputs for the module.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Joined(JoinedProxy {
                conn,
                outbox,
                proxy,
                zone,
                usual_per_s,
                fresh,
                holds,
            }) => {
                if let Some(old) = self.streams.insert(proxy, Stream { conn, outbox }) {
                    old.outbox.close(CloseReason::Replaced);
                    self.inputs.extend(CloseReason::Replaced.input(proxy));
                }
                self.orders.join(self.clock.now_ms(), proxy, fresh, holds);
                self.ctx
                    .counters
                    .record_max("most proxies joined", self.streams.len() as u64);
                self.inputs.push(Input::ProxyJoined {
                    proxy,
                    zone,
                    usual_per_s,
                    fresh,
                });
            }
            Event::ProxyInput {
                conn,
                proxy,
                input,
                holds,
            } => match self.streams.get(&proxy) {
                Some(stream) if stream.conn == conn => match input {
                    Input::Acknowledged { mark, .. }
                        if !self
                            .orders
                            .acknowledge(self.clock.now_ms(), proxy, mark, &holds) =>
                    {
                        self.ctx.counters.inc("bad input: mark not asked for");
                        log_event!(
                            self.ctx.log,
                            "bad input",
                            "proxy {proxy} acknowledged mark {mark}, which is not pending"
                        );
                    }
                    input => self.inputs.push(input),
                },
                _ => self.ctx.counters.inc("late input of old streams"),
            },
            Event::Refused {
                conn,
                proxy,
                kinds,
                holds,
            } => match (self.streams.get(&proxy), &mut self.orders.manager) {
                (Some(stream), Some(manager)) if stream.conn == conn => {
                    log_event!(
                        self.ctx.log,
                        "version",
                        "proxy {proxy} refused an update and holds {holds:?}"
                    );
                    manager.record_refusal(self.clock.now_ms(), proxy, kinds, holds);
                }
                _ => self.ctx.counters.inc("late input of old streams"),
            },
            Event::OperatorRequest(request) => {
                let (now, server_file) = (self.clock.now_ms(), self.server_file.as_ref());
                let inputs = self
                    .rollbacks
                    .handle(now, request, &self.orders, server_file);
                self.inputs.extend(inputs);
            }
            Event::Disconnected {
                conn,
                proxy,
                reason,
            } => {
                if self.streams.get(&proxy).is_some_and(|s| s.conn == conn) {
                    self.streams.remove(&proxy);
                    self.orders.leave(self.clock.now_ms(), proxy);
                    self.inputs.extend(reason.input(proxy));
                }
            }
            Event::Report(input) => match &input {
                Input::ServerReport { server, .. } if !self.names.contains_key(server) => {
                    self.ctx.counters.inc("bad input: unknown server");
                    log_event!(
                        self.ctx.log,
                        "bad input",
                        "a collector reported an unknown server"
                    );
                }
                _ => self.inputs.push(input),
            },
            Event::List { scope, list } => {
                let now = self.clock.now_ms();
                let (scope, list) = match &mut self.server_file {
                    Some(server_file) => server_file.merge_discovery(now, scope, list, &self.ctx),
                    None => (scope, list),
                };
                self.apply_list(scope, list);
            }
            Event::ServerFile(found) => {
                let now = self.clock.now_ms();
                let update = self
                    .server_file
                    .as_mut()
                    .and_then(|s| s.accept(now, found, &self.ctx));
                if let Some((scope, list)) = update {
                    self.apply_list(scope, list);
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
            Event::Peer { from, bytes } => self.inputs.push(Input::PeerMessage { from, bytes }),
        }
    }

    /// Reports tables to the module that a proxy did not receive or does not hold as sent.
    fn report_lost_tables(&mut self, now: f64) {
        let Some(manager) = &mut self.orders.manager else {
            return;
        };
        let mut lost = manager.take_uncounted();
        for (proxy, table) in manager.poll_due(now) {
            log_event!(
                self.ctx.log,
                "version",
                "proxy {proxy} does not hold table {table} as sent; sending it again"
            );
            lost.insert(table);
        }
        self.ctx.counters.add("tables owed", lost.len() as u64);
        self.inputs
            .extend(lost.into_iter().map(|table| Input::TableLost { table }));
    }

    /// Passes a server list to the module and records the server names.
    fn apply_list(&mut self, scope: ListScope, list: List) {
        for (line, name) in list.lines.iter().zip(list.names) {
            if line.zone == UNKNOWN_INDEX || line.machine == UNKNOWN_INDEX {
                self.ctx.counters.inc("servers of unknown zone or machine");
                log_event!(
                    self.ctx.log,
                    "list",
                    "server {name} has a zone or machine type that the settings do not define"
                );
            }
            debug_assert_eq!(line.server, server_id(&name));
            self.ids_by_text
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

    /// Calls the module with the collected inputs and expired timers, then executes its effects.
    fn call_controller(&mut self) {
        let now = self.clock.now_ms();
        let due = (now * 1e3) as u64;
        while let Some(timer) = self.timers.first_entry().filter(|a| a.key().0 <= due) {
            self.inputs.push(Input::TimerFired {
                name: timer.remove(),
            });
        }
        self.report_lost_tables(now);
        if let Some((scope, list)) = self
            .server_file
            .as_mut()
            .and_then(|s| s.expire_drains(now, &self.ctx))
        {
            self.apply_list(scope, list);
        }
        if self.inputs.is_empty() {
            return;
        }
        let effects = self.controller.handle(now, &self.inputs);
        self.inputs.clear();
        self.ctx.counters.inc("calls of the module");
        for message in self.orders.carry_out(now, &effects, &self.names) {
            self.ctx.counters.inc("out messages");
            self.ctx.counters.add("out lines", message.lines as u64);
            self.ctx
                .counters
                .add("out bytes", message.bytes.len() as u64);
            if let Some(stream) = self.streams.get(&message.proxy) {
                stream.outbox.push(message.bytes);
            }
        }
        for effect in effects {
            match effect {
                Effect::SetTimer { in_ms, name } => {
                    self.timer_seq += 1;
                    self.timers
                        .insert((due + (in_ms * 1e3) as u64, self.timer_seq), name);
                }
                Effect::Log(text) => {
                    log_event!(self.ctx.log, "module", "{}", self.with_server_names(&text));
                }
                Effect::PeerMessage { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &bytes, &self.ctx);
                    }
                }
                // The module has removed the server: no list, table or proxy refers to it.
                Effect::WithdrawServer { server, out: false }
                    if !self.controller.knows(&server) =>
                {
                    self.names.remove(&server);
                    self.ids_by_text
                        .remove(&rookpulley::state::format_server(server));
                    self.orders.forget_server(&server);
                    self.ctx.counters.inc("servers forgotten");
                }
                Effect::RollbackStatus { table, what } => {
                    log_event!(self.ctx.log, "way back", "table {table}: {what:?}");
                    self.rollbacks.record_status(table, &what);
                }
                Effect::WatchList { on } => self.list_client.set_watch(on),
                Effect::FetchList => self.list_client.fetch(),
                // The assigner cannot probe servers.
                Effect::ProbeServer { server } => {
                    self.ctx.counters.inc("probes not possible");
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

    /// Replaces server ids in a log line of the module by server names.
    fn with_server_names(&self, text: &str) -> String {
        let name = |word| {
            self.ids_by_text
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
