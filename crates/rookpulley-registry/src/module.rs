//! One controller of the module, its clock and alarms, and the tables by its orders.

use crate::list::{COLD_MS, EPOCH_MS};
use rookpulley::facts::*;
use rookpulley::rules::Controller;
use rookpulley::state::{Lines, name_of};
use std::collections::{BTreeMap, BTreeSet};

/// A controller waits so long after its start before it acts in haste; ours starts with all it needs at hand.
const HASTE_AFTER_MS: f64 = 2_000.0;
/// Rounds of different services come at different times, so many ms apart.
const STAGGER_MS: f64 = 100.0;
/// No pace is kept to: a whole table is a few KB, once a second.
const LINES_PER_S: f64 = 1e6;
/// A mean proxy's arc has so many lines at most. With more, a proxy that is one of many sends each task so little
/// that it knows nothing of it, and opens a connection for nearly every request. The module has a bound for it by what
/// may wait for all proxies: a fifth of it, less one line each.
const LINES_MOST: f64 = 32.0;
/// What a request that goes to another zone costs: a part of its worth. The module keeps arcs in their proxies' zone as
/// far as it has room.
const CROSS_ZONE_PRICE: f64 = 0.03;
/// In eighths, as where tables are dear, a zone with a tenth more than it has room for keeps all of it.
const FLOW_STEPS: f64 = 32.0;
/// As many revisions as the module itself keeps.
const REVISIONS: usize = 10;

/// What a controller starts with.
pub struct Facts {
    pub seed: u64,
    pub proxies: u32,
    pub max_connections: u32,
    pub aim_ms: f64,
    pub number: usize,
}

/// The table that the module has ordered for a proxy.
#[derive(Default)]
pub struct Ordered {
    pub lines: Lines,
    /// The names of the lines that it was ordered to hold, the newest last.
    pub names: Vec<u64>,
}

/// What one call of the module has brought.
#[derive(Default)]
pub struct Brought {
    /// Proxies whose tables were touched.
    pub touched: BTreeSet<ProxyId>,
    pub mark: Option<u64>,
    pub log: Vec<String>,
}

pub struct Module {
    controller: Controller,
    alarms: Vec<(f64, u64)>,
    /// Added to the first alarm.
    stagger_ms: f64,
    tables: BTreeMap<TableId, Ordered>,
    bound: BTreeMap<ProxyId, TableId>,
    shut: BTreeSet<ServerId>,
    pub made_for: u32,
}

/// A table's name, by its lines as proxies get them.
pub fn name_as_sent(lines: impl Iterator<Item = (ServerId, f32)>) -> u64 {
    name_of(
        &lines
            .map(|(server, weight)| (server, f64::from(weight)))
            .collect(),
    )
}

fn start(facts: &Facts) -> Start {
    let kind = ReqKind {
        name: "any".into(),
        response_target_ms: facts.aim_ms,
        client_timeout_ms: 4.0 * facts.aim_ms,
        value: 1.0,
        late_value_share: 0.1,
        repeat: Repeat::Replayable,
        writes: false,
        zones: Vec::new(),
        machines: Vec::new(),
        own_zone: false,
    };
    let most = f64::from(facts.max_connections);
    Start {
        seed: facts.seed,
        place: Place {
            controllers: 1,
            proxies: facts.proxies,
            ..Place::default()
        },
        kinds: vec![kind],
        bounds: RuleBounds {
            bare_ms: 3_000.0,
            drain_grace_ms: 2_500.0,
            cold_share: 0.5,
            cold_ms: COLD_MS,
            fall_multiple: 2.0,
            fall_ms: 2_000.0,
            only_draining_binds: false,
        },
        channel: ChannelFacts {
            lines_per_s: LINES_PER_S,
            head_lines: 1.0,
            bind_lines: 1.0,
            backlog_lines: 5.0 * (LINES_MOST + 1.0) * f64::from(facts.proxies),
            messages_most: 0,
            messages_over_ms: 10_000.0,
            transit_ms: 50.0,
            transit_most_ms: 300.0,
        },
        habits: ProxyHabits {
            levels: Levels::Ignored,
            ..ProxyHabits::default()
        },
        list: ListFacts::default(),
        means: Means {
            report_period_ms: 1_000.0,
            conns_least: if most > 0.0 { most } else { f64::INFINITY },
            cross_zone_price: CROSS_ZONE_PRICE,
            flow_steps: FLOW_STEPS,
            // A task that enters makes a revision a second till it is warm, so none of a release is ever judged.
            verdicts_shared: true,
            ..Means::default()
        },
        load_fields: Vec::new(),
    }
}

impl Module {
    pub fn new(now: f64, facts: &Facts) -> Self {
        Self {
            controller: Controller::new(now + EPOCH_MS - HASTE_AFTER_MS, start(facts)),
            alarms: Vec::new(),
            stagger_ms: (facts.number % 10) as f64 * STAGGER_MS,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            shut: BTreeSet::new(),
            made_for: facts.proxies,
        }
    }

    pub fn knows(&self, server: &ServerId) -> bool {
        self.controller.knows(server)
    }

    /// Moves the alarms that are due to the inputs; true if there were any.
    pub fn ring(&mut self, now: f64, inputs: &mut Vec<Input>) -> bool {
        let due = self.alarms.extract_if(.., |(at, _)| *at <= now);
        let before = inputs.len();
        inputs.extend(due.map(|(_, name)| Input::Alarm { name }));
        inputs.len() > before
    }

    /// Calls the module and carries out what it orders.
    pub fn call(&mut self, now: f64, inputs: &[Input]) -> Brought {
        let mut brought = Brought::default();
        let proxies: BTreeMap<TableId, ProxyId> =
            self.bound.iter().map(|(p, t)| (*t, *p)).collect();
        let mut tables = BTreeSet::new();
        for effect in self.controller.handle(now + EPOCH_MS, inputs) {
            match effect {
                Effect::Line {
                    table,
                    server,
                    weight,
                } => {
                    tables.insert(table);
                    brought.touched.extend(proxies.get(&table));
                    let lines = &mut self.tables.entry(table).or_default().lines;
                    match weight > 0.0 {
                        true => _ = lines.insert(server, weight),
                        false => _ = lines.remove(&server),
                    }
                }
                Effect::Bind { proxy, table, .. } => {
                    tables.insert(table);
                    self.bound.insert(proxy, table);
                    brought.touched.insert(proxy);
                }
                Effect::Withdraw { server, out } => {
                    match out {
                        true => self.shut.insert(server),
                        false => self.shut.remove(&server),
                    };
                    let holds = |t: &TableId| {
                        self.tables
                            .get(t)
                            .is_some_and(|t| t.lines.contains_key(&server))
                    };
                    let holders = self.bound.iter().filter(|(_, t)| holds(t)).map(|(p, _)| *p);
                    brought.touched.extend(holders);
                }
                Effect::Mark { mark, .. } => brought.mark = Some(mark),
                Effect::Alarm { in_ms, name } => {
                    self.alarms
                        .push((now + in_ms + std::mem::take(&mut self.stagger_ms), name));
                }
                Effect::Log(text) => brought.log.push(text),
                // Levels, peers, probes and questions for the list are not for proxies.
                _ => {}
            }
        }
        for (_, ordered) in self.tables.iter_mut().filter(|(id, _)| tables.contains(id)) {
            let name = name_as_sent(
                ordered
                    .lines
                    .iter()
                    .map(|(server, weight)| (*server, *weight as f32)),
            );
            ordered.names.retain(|n| *n != name);
            ordered.names.push(name);
            let over = ordered.names.len().saturating_sub(REVISIONS);
            ordered.names.drain(..over);
        }
        brought
    }

    /// The proxy holds nothing of ours any more.
    pub fn unbind(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    pub fn ordered(&self, proxy: ProxyId) -> Option<&Ordered> {
        self.bound
            .get(&proxy)
            .and_then(|table| self.tables.get(table))
    }

    /// The lines that a proxy is to hold, but for servers that are shut out.
    pub fn lines(&self, proxy: ProxyId) -> impl Iterator<Item = (&ServerId, f64)> {
        let lines = self
            .ordered(proxy)
            .into_iter()
            .flat_map(|ordered| &ordered.lines);
        lines
            .filter(|(server, _)| !self.shut.contains(*server))
            .map(|(server, weight)| (server, *weight))
    }
}
