//! Runs the decision module of one service.
//!
//! The decision module (crate `rookpulley`) decides which servers each proxy's table contains. The wrapper configures
//! and calls it, keeps its alarms, and applies its effects to in-memory tables.

use crate::server_list::{EPOCH_MS, WARM_UP_MS};
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use rookpulley::state::{ServerWeights, revision_hash};
use std::collections::{BTreeMap, BTreeSet};

/// The module delays urgent actions for this long after its start. The wrapper passes a start time in the past to skip
/// the delay, since the first call already provides the complete server list.
const STARTUP_DELAY_MS: f64 = 2_000.0;
/// Offset between the first alarms of different services, so that they don't run in the same tick.
const STAGGER_MS: f64 = 100.0;
const STAGGER_STEPS: usize = 10;
/// High enough not to limit the rate of table entries: tables are a few KB and sent at most once a second.
const LINES_PER_S: f64 = 1e6;
/// Maximum table size of an average proxy. With larger tables, each proxy sends too few requests to each instance to
/// reuse connections and to measure latency. The module has no such setting; it derives the limit from the backlog,
/// `backlog_lines / BACKLOG_SHARE` for all proxies, less one entry for each table.
const MAX_ENTRIES: f64 = 32.0;
const BACKLOG_SHARE: f64 = 5.0;
/// Cost of sending a request to another zone, as a fraction of its value. The module prefers servers in the proxy's
/// zone while that zone has capacity.
const CROSS_ZONE_PRICE: f64 = 0.03;
/// Granularity of the traffic split between zones. With `DEAR_STEPS` (8), a zone that exceeds its capacity by 10% would
/// keep all of its traffic.
const FLOW_STEPS: f64 = 32.0;
/// Number of revisions kept for each table, the same as in the module.
const MAX_REVISIONS: usize = 10;
/// Client timeout as a multiple of the latency target.
const CLIENT_TIMEOUT_TARGETS: f64 = 4.0;

/// Parameters of a decision module.
pub struct ModuleParameters {
    /// Seed of the pseudo-random generator.
    pub seed: u64,
    /// Number of proxies in the cluster.
    pub proxies: u32,
    /// Connections that an instance accepts; 0 if unknown.
    pub max_connections: u32,
    pub latency_target_ms: f64,
    /// Index of the service, used to stagger alarms.
    pub service_index: usize,
}

/// The table that the module assigned to a proxy.
#[derive(Default)]
pub struct AssignedTable {
    pub weights: ServerWeights,
    /// Recent revisions, newest last.
    pub revisions: Vec<u64>,
}

/// Result of one call of the module.
#[derive(Default)]
pub struct ModuleOutput {
    /// Proxies whose tables may have changed.
    pub touched: BTreeSet<ProxyId>,
    /// Mark to report back to the module once the proxies use the touched tables.
    pub mark: Option<u64>,
    pub log: Vec<String>,
}

/// An alarm that the module has set.
struct Alarm {
    at_ms: f64,
    name: u64,
}

/// The decision module of one service and the tables that result from its effects.
pub struct DecisionModule {
    controller: Controller,
    alarms: Vec<Alarm>,
    /// Added to the first alarm, then reset.
    stagger_ms: f64,
    tables: BTreeMap<TableId, AssignedTable>,
    bound: BTreeMap<ProxyId, TableId>,
    withdrawn: BTreeSet<ServerId>,
    /// Number of proxies that it was configured for.
    pub proxies: u32,
}

/// Revision of a table: the hash of its entries, with weights in the precision sent to proxies.
pub fn revision_of(weights: impl Iterator<Item = (ServerId, f32)>) -> u64 {
    let weights = weights.map(|(server, weight)| (server, f64::from(weight)));
    revision_hash(&weights.collect())
}

/// The single request kind that stands for all requests of a service.
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
            // Ramping up a new instance creates a revision every second, too short a time to judge any of them alone.
            shared_verdicts: true,
            ..Capabilities::default()
        },
        load_fields: Vec::new(),
    }
}

impl DecisionModule {
    /// Creates a module that starts at `now`.
    pub fn new(now: f64, parameters: &ModuleParameters) -> Self {
        let start_ms = now + EPOCH_MS - STARTUP_DELAY_MS;
        Self {
            controller: Controller::new(start_ms, start_facts(parameters)),
            alarms: Vec::new(),
            stagger_ms: (parameters.service_index % STAGGER_STEPS) as f64 * STAGGER_MS,
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

    /// Moves due alarms to `inputs`. Returns whether there were any.
    pub fn take_alarms(&mut self, now: f64, inputs: &mut Vec<Input>) -> bool {
        let due = self.alarms.extract_if(.., |alarm| alarm.at_ms <= now);
        let before = inputs.len();
        inputs.extend(due.map(|alarm| Input::TimerFired { name: alarm.name }));
        inputs.len() > before
    }

    /// Calls the module and applies its effects.
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
                // Admission levels, peer messages, probes and list queries are not used.
                _ => {}
            }
        }
        for table in changed {
            if let Some(assigned) = self.tables.get_mut(&table) {
                assigned.record_revision();
            }
        }
        output
    }

    /// Sets the weight of a server; a weight of 0 removes it from the table.
    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 {
            weights.insert(server, weight);
        } else {
            weights.remove(&server);
        }
    }

    /// The proxies whose tables contain a server.
    fn proxies_with(&self, server: ServerId) -> impl Iterator<Item = ProxyId> {
        let has_server = move |table: &TableId| {
            let assigned = self.tables.get(table);
            assigned.is_some_and(|assigned| assigned.weights.contains_key(&server))
        };
        let bound = self.bound.iter();
        let containing = bound.filter(move |(_, table)| has_server(table));
        containing.map(|(proxy, _)| *proxy)
    }

    /// Removes the table assignment of a proxy.
    pub fn unbind(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    /// The table currently assigned to a proxy.
    pub fn assigned(&self, proxy: ProxyId) -> Option<&AssignedTable> {
        let table = self.bound.get(&proxy)?;
        self.tables.get(table)
    }

    /// Servers and weights of a proxy's table, without withdrawn servers.
    pub fn weights(&self, proxy: ProxyId) -> impl Iterator<Item = (&ServerId, f64)> {
        let assigned = self.assigned(proxy).into_iter();
        let weights = assigned.flat_map(|assigned| &assigned.weights);
        weights
            .filter(|(server, _)| !self.withdrawn.contains(*server))
            .map(|(server, weight)| (server, *weight))
    }
}

impl AssignedTable {
    /// Records the current revision. A revision already recorded becomes the newest.
    fn record_revision(&mut self) {
        let weights = self.weights.iter();
        let revision = revision_of(weights.map(|(server, weight)| (*server, *weight as f32)));
        self.revisions.retain(|recorded| *recorded != revision);
        self.revisions.push(revision);
        let excess = self.revisions.len().saturating_sub(MAX_REVISIONS);
        self.revisions.drain(..excess);
    }
}
