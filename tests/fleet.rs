//! Scale tests: one controller with thousands of simulated proxies behind a channel of limited rate. Proxies apply and
//! acknowledge what the channel delivers.

#[allow(dead_code)]
mod harness;

use harness::start;
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TRANSIT_MS: f64 = 240.0;

fn server(n: u16) -> ServerId {
    let [low, high] = n.to_le_bytes();
    [10, 0, high, low, 80, 0]
}

fn listed(n: u16, stage: Stage, started_ms: f64) -> ServerEntry {
    let (zone, weight) = (n % 3, 2.0);
    ServerEntry {
        server: server(n),
        zone,
        machine: 0,
        bay: zone,
        stage,
        weight,
        started_ms,
    }
}

/// Tables and withdrawals that a proxy has applied.
#[derive(Default)]
struct Held {
    /// Bound table per request kind; a kind without one is served by another controller's table.
    bound: BTreeMap<KindId, TableId>,
    tables: BTreeMap<TableId, BTreeSet<ServerId>>,
    shut: BTreeSet<ServerId>,
}

#[derive(Clone, Default)]
struct Message {
    orders: Vec<Effect>,
    lines: f64,
    mark: u64,
}

struct Simulation {
    controller: Controller,
    pace: ChannelLimits,
    grace_ms: f64,
    kinds: usize,
    now: f64,
    alarms: Vec<(f64, u64)>,
    tables: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    users: BTreeMap<TableId, ProxyId>,
    proxies: BTreeMap<ProxyId, Held>,
    channel: VecDeque<(ProxyId, Message)>,
    sent_part: f64,
    in_transit: VecDeque<(f64, ProxyId, Message)>,
    /// When the controller learned that a server drains.
    drain_told_ms: BTreeMap<ServerId, f64>,
    joined_ms: BTreeMap<ProxyId, f64>,
    first_table_ms: BTreeMap<ProxyId, f64>,
    messages: usize,
    lines: f64,
    max_backlog: f64,
}

impl Simulation {
    fn new(proxies: u32, servers: u16) -> Self {
        let mut start = start();
        start.kinds = ["view", "submit"]
            .map(|name| harness::kind(name, 1.0, RepeatSafety::Replayable))
            .to_vec();
        (start.topology.proxies, start.topology.controllers) = (proxies, 5);
        start.topology.zones = ["a", "b", "c"].map(String::from).to_vec();
        start.bounds.drain_grace_ms = 10_400.0;
        start.proxy_behavior.levels = AdmissionMode::Unsupported;
        (
            start.capabilities.cross_zone_price,
            start.capabilities.min_connections,
        ) = (0.08, 170.0);
        start.channel = ChannelLimits {
            lines_per_s: 5_200.0,
            header_lines: 6.0,
            bind_lines: 2.0,
            backlog_lines: 59_300.0,
            messages_most: 0,
            message_window_ms: 10_000.0,
            transit_ms: 100.0,
            max_transit_ms: TRANSIT_MS,
        };
        let (pace, grace_ms, kinds) = (
            start.channel,
            start.bounds.drain_grace_ms,
            start.kinds.len(),
        );
        let now = 100_000.0;
        let mut sim = Self {
            controller: Controller::new(now, start),
            pace,
            grace_ms,
            kinds,
            now,
            alarms: vec![],
            tables: BTreeMap::new(),
            users: BTreeMap::new(),
            proxies: BTreeMap::new(),
            channel: VecDeque::new(),
            sent_part: 0.0,
            in_transit: VecDeque::new(),
            drain_told_ms: BTreeMap::new(),
            joined_ms: BTreeMap::new(),
            first_table_ms: BTreeMap::new(),
            messages: 0,
            lines: 0.0,
            max_backlog: 0.0,
        };
        let lines = (1..=servers)
            .map(|n| listed(n, Stage::Ready, 0.0))
            .collect();
        sim.handle(vec![Input::List {
            scope: ListScope::Cached,
            version: 1,
            lines,
        }]);
        sim
    }

    fn join(&mut self, proxies: impl Iterator<Item = ProxyId>, fresh: bool) {
        let of = |proxy| Input::ProxyJoined {
            proxy,
            zone: proxy % 3,
            usual_per_s: 0.5,
            fresh,
        };
        let inputs: Vec<Input> = proxies.map(of).collect();
        for input in &inputs {
            if let Input::ProxyJoined { proxy, .. } = input {
                self.proxies.insert(*proxy, Held::default());
                self.joined_ms.insert(*proxy, self.now);
                self.first_table_ms.remove(proxy);
            }
        }
        self.handle(inputs);
    }

    fn list(&mut self, lines: Vec<ServerEntry>) {
        for line in lines.iter().filter(|l| l.stage != Stage::Ready) {
            self.drain_told_ms.entry(line.server).or_insert(self.now);
        }
        self.handle(vec![Input::List {
            scope: ListScope::Changes,
            version: 2,
            lines,
        }]);
    }

    fn drain(&mut self, servers: impl Iterator<Item = u16>) {
        self.list(servers.map(|n| listed(n, Stage::Draining, 0.0)).collect());
    }

    fn handle(&mut self, inputs: Vec<Input>) {
        let effects = self.controller.handle(self.now, &inputs);
        let mut drafts: BTreeMap<ProxyId, Message> = BTreeMap::new();
        let mut mark = 0;
        for effect in effects {
            let mut to = |proxy: ProxyId, lines: f64| {
                let draft = drafts.entry(proxy).or_default();
                draft.orders.push(effect.clone());
                draft.lines += lines;
            };
            match &effect {
                Effect::SetTimer { in_ms, name } => self.alarms.push((self.now + in_ms, *name)),
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    let lines = self.tables.entry(*table).or_default();
                    match *weight > 0.0 {
                        true => _ = lines.insert(*server, *weight),
                        false => _ = lines.remove(server),
                    }
                    _ = self.users.get(table).map(|proxy| to(*proxy, 1.0));
                }
                Effect::BindTable {
                    proxy,
                    table,
                    kinds,
                } => {
                    self.users.insert(*table, *proxy);
                    let lines = &self.tables[table];
                    let whole = Effect::BindTable {
                        proxy: *proxy,
                        table: *table,
                        kinds: *kinds,
                    };
                    let draft = drafts.entry(*proxy).or_default();
                    let brings = lines.iter().map(|(server, weight)| Effect::SetWeight {
                        table: *table,
                        server: *server,
                        weight: *weight,
                    });
                    draft.lines += 1.0 + 2.0 * lines.len() as f64;
                    draft.orders.push(whole);
                    draft.orders.extend(brings);
                }
                Effect::WithdrawServer { server, .. } => {
                    let bound: BTreeSet<&ProxyId> = self.users.values().collect();
                    let naming = self
                        .tables
                        .iter()
                        .filter(|(_, lines)| lines.contains_key(server));
                    let known: BTreeSet<&ProxyId> =
                        naming.filter_map(|(t, _)| self.users.get(t)).collect();
                    let unknown = self.proxies.keys().filter(|p| !bound.contains(p));
                    unknown.chain(known).for_each(|proxy| to(*proxy, 1.0));
                }
                Effect::SetAdmission { .. } => {
                    self.proxies.keys().for_each(|proxy| to(*proxy, 1.0))
                }
                Effect::RequestAck { mark: number, .. } => mark = *number,
                _ => {}
            }
        }
        for (proxy, draft) in drafts {
            let message = Message {
                lines: draft.lines + 1.0 + self.pace.header_lines,
                mark,
                ..draft
            };
            (self.messages, self.lines) = (self.messages + 1, self.lines + message.lines);
            self.channel.push_back((proxy, message));
        }
        let waiting = self.channel.iter().map(|(_, m)| m.lines).sum::<f64>() - self.sent_part;
        self.max_backlog = self.max_backlog.max(waiting);
        assert!(
            waiting <= self.pace.backlog_lines,
            "{waiting} lines wait at {}",
            self.now - 100_000.0
        );
    }

    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 20.0;
            self.sent_part += self.pace.lines_per_s * 0.020;
            while let Some((proxy, message)) = self
                .channel
                .pop_front_if(|(_, m)| m.lines <= self.sent_part)
            {
                self.sent_part -= message.lines;
                self.in_transit
                    .push_back((self.now + TRANSIT_MS, proxy, message));
            }
            if self.channel.is_empty() {
                self.sent_part = 0.0;
            }
            let mut inputs = Vec::new();
            while let Some((_, proxy, message)) =
                self.in_transit.pop_front_if(|(at, ..)| *at <= self.now)
            {
                self.apply(proxy, &message);
                inputs.push(Input::Acknowledged {
                    proxy,
                    mark: message.mark,
                    took_ms: 100.0,
                });
            }
            self.alarms.retain(|(at, name)| {
                let due = *at <= self.now;
                inputs.extend(due.then_some(Input::TimerFired { name: *name }));
                !due
            });
            if !inputs.is_empty() {
                self.handle(inputs);
            }
            if self.now % 100.0 == 0.0 {
                self.check_drains();
            }
        }
    }

    fn apply(&mut self, proxy: ProxyId, message: &Message) {
        let Some(held) = self.proxies.get_mut(&proxy) else {
            return;
        };
        for order in &message.orders {
            match order {
                Effect::BindTable { table, kinds, .. } => {
                    self.first_table_ms.entry(proxy).or_insert(self.now);
                    held.tables.insert(*table, BTreeSet::new());
                    (0..self.kinds)
                        .filter(|k| kinds >> k & 1 == 1)
                        .for_each(|k| _ = held.bound.insert(k, *table));
                }
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => match *weight > 0.0 {
                    true => _ = held.tables.entry(*table).or_default().insert(*server),
                    false => _ = held.tables.entry(*table).or_default().remove(server),
                },
                Effect::WithdrawServer { server, out: true } => _ = held.shut.insert(*server),
                Effect::WithdrawServer { server, out: false } => _ = held.shut.remove(server),
                _ => {}
            }
        }
    }

    /// Asserts that no joined proxy sends to a draining server after the grace period.
    fn check_drains(&mut self) {
        let late = |at: &f64, joined: f64| self.now - at.max(joined) > self.grace_ms;
        for (proxy, held) in &self.proxies {
            let joined = self.joined_ms[proxy];
            for (server, _) in self.drain_told_ms.iter().filter(|(_, at)| late(at, joined)) {
                let bound_to = |k| {
                    held.bound
                        .get(&k)
                        .map(|t| held.tables[t].contains(server))
                        .unwrap_or(true)
                };
                let sends = !held.shut.contains(server) && (0..self.kinds).any(bound_to);
                assert!(
                    !sends,
                    "p{proxy} still sends to {server:?} at {} ms",
                    self.now - 100_000.0
                );
            }
        }
    }

    fn bound(&self) -> usize {
        self.proxies
            .values()
            .filter(|h| h.bound.len() == self.kinds)
            .count()
    }
}

/// 480 joined proxies on 200 servers, all bound, with no pending updates.
fn bound_fleet() -> Simulation {
    let mut sim = Simulation::new(2_400, 200);
    sim.join(0..480, true);
    sim.advance(9_000.0);
    assert_eq!(sim.bound(), 480);
    sim
}

#[test]
fn a_mass_join_in_the_middle_of_a_drain_keeps_queue_and_grace() {
    let mut sim = bound_fleet();
    sim.drain(1..=30);
    sim.advance(300.0);
    // All proxies of four failed controllers join at once, with tables unknown to this one.
    sim.join(480..2_300, false);
    for step in 1_u16..=3 {
        sim.advance(1_300.0);
        sim.drain(step * 30 + 1..=step * 30 + 30);
    }
    sim.advance(20_000.0);
    assert_eq!(sim.bound(), 2_300, "all are bound in the end");
    assert!(
        sim.max_backlog < 3.0 * 5_200.0,
        "{} lines waited",
        sim.max_backlog
    );
}

#[test]
fn proxies_without_a_table_are_served_first() {
    let mut sim = bound_fleet();
    let joined = sim.now;
    sim.join(480..2_200, false);
    sim.join(2_200..2_300, true);
    sim.advance(2_500.0);
    let late: Vec<ProxyId> = (2_200..2_300)
        .filter(|p| !sim.first_table_ms.contains_key(p))
        .collect();
    assert!(
        late.is_empty(),
        "{late:?} wait still, {} ms after they joined",
        sim.now - joined
    );
    assert!(sim.bound() < 2_000, "the others are still being bound");
    sim.advance(15_000.0);
    assert_eq!(sim.bound(), 2_300);
}

#[test]
fn six_in_ten_servers_replaced_within_seven_seconds_keeps_queue_and_grace() {
    let mut sim = bound_fleet();
    for step in 0_u16..6 {
        let (now, first) = (sim.now, step * 20 + 1);
        let new = (first + 200..first + 220).map(|n| listed(n, Stage::Ready, now));
        sim.list(new.collect());
        sim.advance(600.0);
        sim.drain(first..first + 20);
        sim.advance(600.0);
    }
    sim.advance(15_000.0);
}

#[test]
fn a_release_told_late_and_all_at_once_keeps_queue_and_grace() {
    let mut sim = bound_fleet();
    sim.join(480..1_400, false);
    // After an outage of discovery, one list change contains the whole release.
    let now = sim.now;
    let new = (201..=290).map(|n| listed(n, Stage::Ready, now - 5_000.0));
    sim.list(
        (1..=90)
            .map(|n| listed(n, Stage::Draining, 0.0))
            .chain(new)
            .collect(),
    );
    sim.advance(20_000.0);
    assert_eq!(sim.bound(), 1_400);
}

#[test]
fn removing_a_server_costs_only_the_proxies_that_use_it() {
    for (proxies, servers) in [(150, 30), (500, 120), (2_400, 200)] {
        let mut sim = Simulation::new(proxies, servers);
        sim.join(0..proxies as ProxyId / 5, true);
        sim.advance(9_000.0);
        let holder_count = |sim: &Simulation| {
            let holds = |h: &Held| h.tables.values().any(|t| t.contains(&server(7)));
            sim.proxies.values().filter(|h| holds(h)).count()
        };
        let holders = holder_count(&sim);
        (sim.messages, sim.lines) = (0, 0.0);
        sim.drain(7..=7);
        sim.advance(700.0);
        assert!(
            holders > 0 && sim.messages <= holders,
            "{} messages, {holders} held it",
            sim.messages
        );
        // The header, the acknowledgement request, the removed entry and its replacements.
        assert!(
            sim.lines <= 11.0 * holders as f64,
            "{} lines to {holders} proxies",
            sim.lines
        );
        sim.advance(1_000.0);
        assert_eq!(holder_count(&sim), 0);
        // Without changes nothing is written.
        (sim.messages, sim.lines) = (0, 0.0);
        sim.advance(3_000.0);
        assert!(sim.messages == 0, "{} messages at rest", sim.messages);
    }
}
