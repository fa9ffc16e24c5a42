//! The design's decision module for one service: its clock and alarms, and the tables that it orders.
//!
//! The module (package `rookpulley`) decides which servers each proxy's table has. This file gives it what it starts
//! with, calls it, and carries its orders out on tables in memory.

use crate::server_list::{EPOCH_MS, WARM_UP_MS};
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use rookpulley::state::{ServerWeights, revision_hash};
use std::collections::{BTreeMap, BTreeSet};

/// The module waits so long after its start before it acts in haste; ours starts with all it needs.
const HASTE_AFTER_MS: f64 = 2_000.0;
/// Modules of different services act at different times, so many milliseconds apart.
const STAGGER_MS: f64 = 100.0;
const STAGGER_STEPS: usize = 10;
/// Tables aren't paced by their length: a whole one has a few KB, once a second.
const LINES_PER_S: f64 = 1e6;
/// The table of an average proxy has so many entries at most. With more, a proxy that is one of many sends each instance
/// so little that it knows nothing of it, and opens a connection for nearly every request. The module has a bound for it
/// by what may wait for all proxies: a fifth of it, less one entry each.
const MAX_ENTRIES: f64 = 32.0;
const BACKLOG_SHARE: f64 = 5.0;
/// What a request that goes to another zone costs: a part of its value. The module keeps arcs in their proxies' zone as
/// far as that has capacity.
const CROSS_ZONE_PRICE: f64 = 0.03;
/// Traffic between zones is planned in so many steps. With eighths, as where tables are dear, a zone with a tenth more
/// traffic than it has capacity for would keep all of it.
const FLOW_STEPS: f64 = 32.0;
/// How many revisions of a table are counted: as many as the module itself keeps.
const MAX_REVISIONS: usize = 10;
/// Before a client gives up, by its latency target.
const CLIENT_TIMEOUT_TARGETS: f64 = 4.0;

/// What a module starts with.
pub struct ModuleParameters {
    /// Of its pseudo-random numbers.
    pub seed: u64,
    /// How many proxies there are in the whole system.
    pub proxies: u32,
    /// How many connections an instance accepts. 0: not known.
    pub max_connections: u32,
    pub latency_target_ms: f64,
    /// Which of the services it is, from 0.
    pub number: usize,
}

/// The table that the module has ordered for a proxy.
#[derive(Default)]
pub struct OrderedTable {
    pub weights: ServerWeights,
    /// The revisions that were ordered, the newest last.
    pub revisions: Vec<u64>,
}

/// What came of one call of the module.
#[derive(Default)]
pub struct ModuleOutput {
    /// Proxies whose tables may have changed.
    pub touched: BTreeSet<ProxyId>,
    /// What the module wants to hear of once the touched tables are in use.
    pub mark: Option<u64>,
    pub log: Vec<String>,
}

/// An alarm that the module has set.
struct Alarm {
    at_ms: f64,
    name: u64,
}

/// The module of one service, and the tables by its orders.
pub struct DecisionModule {
    controller: Controller,
    alarms: Vec<Alarm>,
    /// Added to the first alarm.
    stagger_ms: f64,
    tables: BTreeMap<TableId, OrderedTable>,
    bound: BTreeMap<ProxyId, TableId>,
    withdrawn: BTreeSet<ServerId>,
    /// How many proxies it was made for.
    pub proxies: u32,
}

/// A table's revision: the hash of its entries as proxies get them.
pub fn revision_of(weights: impl Iterator<Item = (ServerId, f32)>) -> u64 {
    let weights = weights.map(|(server, weight)| (server, f64::from(weight)));
    revision_hash(&weights.collect())
}

/// All requests for a service are of one kind to the module.
fn request_kind(latency_target_ms: f64) -> RequestKind {
    RequestKind {
        name: "any".into(),
        response_target_ms: latency_target_ms,
        client_timeout_ms: CLIENT_TIMEOUT_TARGETS * latency_target_ms,
        value: 1.0,
        late_value_share: 0.1,
        repeat: RepeatSafety::Replayable,
        writes: false,
        zones: Vec::new(),
        machines: Vec::new(),
        own_zone: false,
    }
}

fn start_facts(parameters: &ModuleParameters) -> Start {
    let connections = f64::from(parameters.max_connections);
    let proxies = parameters.proxies;
    Start {
        seed: parameters.seed,
        topology: Topology {
            controllers: 1,
            proxies,
            ..Topology::default()
        },
        kinds: vec![request_kind(parameters.latency_target_ms)],
        bounds: SafetyBounds {
            max_unbound_ms: 3_000.0,
            drain_grace_ms: 2_500.0,
            cold_share: 0.5,
            warm_up_ms: WARM_UP_MS,
            fall_multiple: 2.0,
            overload_ms: 2_000.0,
            soft_removal: false,
        },
        channel: ChannelLimits {
            lines_per_s: LINES_PER_S,
            header_lines: 1.0,
            bind_lines: 1.0,
            backlog_lines: BACKLOG_SHARE * (MAX_ENTRIES + 1.0) * f64::from(proxies),
            messages_most: 0,
            message_window_ms: 10_000.0,
            transit_ms: 50.0,
            max_transit_ms: 300.0,
        },
        proxy_behavior: ProxyBehavior {
            levels: AdmissionMode::Unsupported,
            ..ProxyBehavior::default()
        },
        list: ListSettings::default(),
        capabilities: Capabilities {
            report_period_ms: 1_000.0,
            min_connections: if connections > 0.0 {
                connections
            } else {
                f64::INFINITY
            },
            cross_zone_price: CROSS_ZONE_PRICE,
            flow_steps: FLOW_STEPS,
            // An instance that enters makes a revision a second until it is warm, so no single one of a release is ever
            // judged.
            shared_verdicts: true,
            ..Capabilities::default()
        },
        load_fields: Vec::new(),
    }
}

impl DecisionModule {
    /// A module that starts at the time `now`.
    pub fn new(now: f64, parameters: &ModuleParameters) -> Self {
        let start_ms = now + EPOCH_MS - HASTE_AFTER_MS;
        Self {
            controller: Controller::new(start_ms, start_facts(parameters)),
            alarms: Vec::new(),
            stagger_ms: (parameters.number % STAGGER_STEPS) as f64 * STAGGER_MS,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            proxies: parameters.proxies,
        }
    }

    /// Whether the module still knows of a server.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.controller.knows(server)
    }

    /// Moves the alarms that are due to the inputs. True: there were any.
    pub fn take_alarms(&mut self, now: f64, inputs: &mut Vec<Input>) -> bool {
        let due = self.alarms.extract_if(.., |alarm| alarm.at_ms <= now);
        let before = inputs.len();
        inputs.extend(due.map(|alarm| Input::TimerFired { name: alarm.name }));
        inputs.len() > before
    }

    /// Calls the module and carries out what it orders.
    pub fn call(&mut self, now: f64, inputs: &[Input]) -> ModuleOutput {
        let mut output = ModuleOutput::default();
        let bound = self.bound.iter();
        let proxies: BTreeMap<TableId, ProxyId> = bound.map(|(p, table)| (*table, *p)).collect();
        let mut changed = BTreeSet::new();
        for effect in self.controller.handle(now + EPOCH_MS, inputs) {
            match effect {
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    changed.insert(table);
                    output.touched.extend(proxies.get(&table));
                    self.set_weight(table, server, weight);
                }
                Effect::BindTable { proxy, table, .. } => {
                    changed.insert(table);
                    self.bound.insert(proxy, table);
                    output.touched.insert(proxy);
                }
                Effect::WithdrawServer { server, out } => {
                    if out {
                        self.withdrawn.insert(server);
                    } else {
                        self.withdrawn.remove(&server);
                    }
                    output.touched.extend(self.proxies_with(server));
                }
                Effect::RequestAck { mark, .. } => output.mark = Some(mark),
                Effect::SetTimer { in_ms, name } => {
                    let at_ms = now + in_ms + std::mem::take(&mut self.stagger_ms);
                    self.alarms.push(Alarm { at_ms, name });
                }
                Effect::Log(text) => output.log.push(text),
                // Levels, peers, probes and questions for the list are not for proxies.
                _ => {}
            }
        }
        for table in changed {
            if let Some(ordered) = self.tables.get_mut(&table) {
                ordered.note_revision();
            }
        }
        output
    }

    /// A weight of 0 takes the server out of the table.
    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 {
            weights.insert(server, weight);
        } else {
            weights.remove(&server);
        }
    }

    /// The proxies whose tables have a server.
    fn proxies_with(&self, server: ServerId) -> impl Iterator<Item = ProxyId> {
        let has_server = move |table: &TableId| {
            let ordered = self.tables.get(table);
            ordered.is_some_and(|ordered| ordered.weights.contains_key(&server))
        };
        let bound = self.bound.iter();
        let with = bound.filter(move |(_, table)| has_server(table));
        with.map(|(proxy, _)| *proxy)
    }

    /// The proxy has no table of ours any more.
    pub fn unbind(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    /// The table that was last ordered for a proxy.
    pub fn ordered(&self, proxy: ProxyId) -> Option<&OrderedTable> {
        let table = self.bound.get(&proxy)?;
        self.tables.get(table)
    }

    /// The servers that a proxy's table is to have with their weights, but for those that are withdrawn.
    pub fn weights(&self, proxy: ProxyId) -> impl Iterator<Item = (&ServerId, f64)> {
        let ordered = self.ordered(proxy).into_iter();
        let weights = ordered.flat_map(|ordered| &ordered.weights);
        weights
            .filter(|(server, _)| !self.withdrawn.contains(*server))
            .map(|(server, weight)| (server, *weight))
    }
}

impl OrderedTable {
    /// The table was ordered anew. A revision that was there before becomes the newest.
    fn note_revision(&mut self) {
        let weights = self.weights.iter();
        let revision = revision_of(weights.map(|(server, weight)| (*server, *weight as f32)));
        self.revisions.retain(|known| *known != revision);
        self.revisions.push(revision);
        let superfluous = self.revisions.len().saturating_sub(MAX_REVISIONS);
        self.revisions.drain(..superfluous);
    }
}
