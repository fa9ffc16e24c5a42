//! One service: its decision module, the module's inputs and the published tables.
//!
//! The module is created when the first proxy connects. It is recreated when the number of proxies or instances has
//! changed considerably, or the connection limit has changed.

use crate::decision_module::{DecisionModule, ModuleParameters};
use crate::published_table::{NextTable, PublishedTable};
use crate::server_list::ServerList;
use crate::service::Service;
use rookpulley::interface::*;
use rookpulley_protocol::{ServiceLoad, TableEntry};
use std::collections::BTreeMap;

/// Hysteresis of the proxy count that tables are sized for, since every change rebuilds all tables: the ratio between
/// the counts and how long it must persist. Growth takes effect sooner because oversized tables exhaust the connections
/// of instances.
const PROXY_GROWTH_RATIO: f64 = 1.5;
const PROXY_GROWTH_DELAY_MS: f64 = 2_000.0;
const PROXY_SHRINK_RATIO: f64 = 2.5;
const PROXY_SHRINK_DELAY_MS: f64 = 10_000.0;
/// Instances added after the module was created appear in few tables, because assignments keep their positions. All
/// tables are rebuilt after growth by this fraction for `INSTANCE_GROWTH_DELAY_MS`, or by a smaller fraction for a
/// proportionally longer time, but never for growth of `MIN_INSTANCE_GROWTH` or less.
const INSTANCE_GROWTH: f64 = 0.3;
const MIN_INSTANCE_GROWTH: f64 = 0.03;
const INSTANCE_GROWTH_DELAY_MS: f64 = 1e3;
/// Default and limits of the latency target passed to the module.
const DEFAULT_LATENCY_TARGET_MS: f64 = 500.0;
const MIN_LATENCY_TARGET_MS: f64 = 20.0;
const MAX_LATENCY_TARGET_MS: f64 = 60_000.0;
/// Minimum interval between announcements of new instances to the module.
const ENTRY_INTERVAL_MS: f64 = 1_000.0;
const SETTLING_ENTRY_INTERVAL_MS: f64 = 300.0;
/// Maximum number of unacknowledged tables tracked for each proxy; older ones are dropped.
const MAX_UNACKNOWLEDGED: usize = 64;
/// Time span that each report passed to the module covers.
const REPORT_SPAN_MS: f64 = 1_000.0;

/// A proxy whose primary is this controller.
#[derive(Clone, Copy)]
pub struct ServedProxy {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub requests_per_s: f64,
    /// The proxy holds tables from before it connected, which are more complete than ours while the registry settles.
    pub has_tables: bool,
}

impl ServedProxy {
    fn joined(&self) -> Input {
        Input::ProxyJoined {
            proxy: self.proxy,
            zone: self.zone,
            usual_per_s: self.requests_per_s,
            fresh: !self.has_tables,
        }
    }
}

/// A table for a proxy.
pub struct TableUpdate {
    pub proxy: ProxyId,
    pub entries: Vec<TableEntry>,
    pub sequence: u64,
}

/// A table that was sent but not acknowledged yet.
struct UnacknowledgedTable {
    sequence: u64,
    /// Generation of the module that the marks belong to.
    module_generation: u64,
    /// Marks reported to the module on acknowledgement.
    marks: Vec<u64>,
}

/// Attempts sent to one server from one zone.
#[derive(Default)]
struct ServerLoad {
    attempts: f64,
    failed: f64,
    time_ms: f64,
}

/// Requests received by one proxy.
#[derive(Default)]
struct ProxyLoad {
    received: f64,
    failed: f64,
}

/// Load reported by proxies since the last call of the module.
#[derive(Default)]
struct Reports {
    servers: BTreeMap<(ServerId, ZoneId), ServerLoad>,
    proxies: BTreeMap<ProxyId, ProxyLoad>,
}

impl Reports {
    fn into_inputs(self) -> impl Iterator<Item = Input> {
        let server_inputs = self.servers.into_iter();
        let server_inputs = server_inputs.map(|((server, zone), load)| Input::ServerReport {
            zone,
            server,
            tries: load.attempts,
            bad: load.failed,
            mean_ms: load.time_ms / (load.attempts - load.failed).max(1.0),
            span_ms: REPORT_SPAN_MS,
            load: Vec::new(),
        });
        let usage = self.proxies.into_iter();
        let usage = usage.map(|(proxy, load)| Input::ProxyUsage {
            proxy,
            kind: 0,
            came: load.received,
            bad: load.failed,
            span_ms: REPORT_SPAN_MS,
        });
        server_inputs.chain(usage)
    }
}

/// A service with its decision module.
pub struct HostedService {
    service: Service,
    /// Index of the service.
    index: usize,
    seed: u64,
    pub servers: ServerList,
    module: Option<DecisionModule>,
    /// Incremented for each new module; marks of earlier modules are invalid.
    module_generation: u64,
    inputs: Vec<Input>,
    /// Calls the module at the next tick even if no alarm is due.
    is_urgent: bool,
    reports: Reports,
    published: BTreeMap<ProxyId, PublishedTable>,
    unacknowledged: BTreeMap<ProxyId, Vec<UnacknowledgedTable>>,
    last_entry_ms: f64,
    /// When the proxy count first differed too much from the one that the module was created for.
    proxy_count_off_since_ms: Option<f64>,
    /// Number of live instances when the module was created.
    instances: usize,
    /// When the number of live instances first exceeded it considerably.
    instance_growth_since_ms: Option<f64>,
    pub log: Vec<String>,
}

impl HostedService {
    /// Creates a service without a module.
    pub fn new(seed: u64, index: usize, service: Service) -> Self {
        Self {
            service,
            index,
            seed,
            servers: ServerList::default(),
            module: None,
            module_generation: 0,
            inputs: Vec::new(),
            is_urgent: false,
            reports: Reports::default(),
            published: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            last_entry_ms: f64::NEG_INFINITY,
            proxy_count_off_since_ms: None,
            instances: 0,
            instance_growth_since_ms: None,
            log: Vec::new(),
        }
    }

    /// Replaces the settings of the service. Discards the module if the connection limit has changed.
    pub fn set_service(&mut self, service: &Service) {
        if service.max_connections != self.service.max_connections {
            self.module = None;
        }
        self.service = service.clone();
    }

    /// Starts publishing tables to a proxy.
    pub fn proxy_connected(&mut self, proxy: ServedProxy) {
        self.unacknowledged.remove(&proxy.proxy);
        self.published.insert(proxy.proxy, PublishedTable::new());
        if let Some(module) = &mut self.module {
            module.unbind(proxy.proxy);
            self.inputs.push(proxy.joined());
            self.is_urgent = true;
        }
    }

    /// Stops publishing tables to a proxy.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.unacknowledged.remove(&proxy);
        self.published.remove(&proxy);
        self.reports.proxies.remove(&proxy);
        if let Some(module) = &mut self.module {
            module.unbind(proxy);
            self.inputs.push(Input::ProxyLeft { proxy });
        }
    }

    /// Adds a load report of a proxy.
    pub fn report(&mut self, proxy: ServedProxy, load: &ServiceLoad) {
        let proxy_load = self.reports.proxies.entry(proxy.proxy).or_default();
        proxy_load.received += f64::from(load.received);
        proxy_load.failed += f64::from(load.failed);
        for instance in &load.instances {
            let Some(server) = self.servers.server_of(&instance.incarnation) else {
                continue;
            };
            let attempts = f64::from(instance.attempts);
            let failed = f64::from(instance.failed.min(instance.attempts));
            let is_finite = instance.mean_ms.is_finite();
            let mean_ms = if is_finite {
                instance.mean_ms.max(0.0)
            } else {
                0.0
            };
            let key = (server, proxy.zone);
            let server_load = self.reports.servers.entry(key).or_default();
            server_load.attempts += attempts;
            server_load.failed += failed;
            server_load.time_ms += f64::from(mean_ms) * (attempts - failed);
        }
    }

    /// Handles the acknowledgement of all tables up to sequence number `up_to`.
    pub fn tables_applied(&mut self, proxy: ProxyId, up_to: u64) {
        let Some(unacknowledged) = self.unacknowledged.get_mut(&proxy) else {
            return;
        };
        let acknowledged = unacknowledged.extract_if(.., |table| table.sequence <= up_to);
        for table in acknowledged {
            if table.module_generation == self.module_generation {
                self.inputs.extend(applied_inputs(proxy, table.marks));
            }
        }
    }

    /// Updates the module's server list, and creates or recreates the module if necessary.
    pub fn sync(
        &mut self,
        now: f64,
        instances_changed: bool,
        proxy_count: u32,
        proxies: &[ServedProxy],
        is_settling: bool,
    ) {
        if instances_changed {
            let published = self.published.values_mut();
            published.for_each(|table| table.is_stale = true);
        }
        if proxies.is_empty() && self.module.is_none() {
            return;
        }
        // Both are evaluated because each records when its condition began.
        let is_proxy_count_off = self.is_proxy_count_off(now, f64::from(proxy_count.max(1)));
        let has_instance_growth = self.has_instance_growth(now);
        if self.module.is_none() || is_proxy_count_off || has_instance_growth {
            self.create_module(now, proxy_count, proxies);
            return;
        }
        let mut lines = self.servers.take_leaving();
        self.is_urgent |= !lines.is_empty();
        lines.extend(self.take_entering(now, is_settling));
        if !lines.is_empty() {
            self.inputs.push(Input::List {
                scope: ListScope::Changes,
                version: 0,
                lines,
            });
        }
    }

    /// Whether the proxy count has differed too much from the configured one for long enough.
    fn is_proxy_count_off(&mut self, now: f64, proxy_count: f64) -> bool {
        let configured = self.module.as_ref().map_or(0.0, |m| f64::from(m.proxies));
        let delay_ms = if proxy_count > configured * PROXY_GROWTH_RATIO {
            PROXY_GROWTH_DELAY_MS
        } else if proxy_count * PROXY_SHRINK_RATIO < configured {
            PROXY_SHRINK_DELAY_MS
        } else {
            self.proxy_count_off_since_ms = None;
            return false;
        };
        let since_ms = *self.proxy_count_off_since_ms.get_or_insert(now);
        now - since_ms >= delay_ms
    }

    /// Whether the number of live instances has been larger than at creation for long enough.
    fn has_instance_growth(&mut self, now: f64) -> bool {
        let live = self.servers.live_count() as f64;
        let growth = live / self.instances.max(1) as f64 - 1.0;
        if growth <= MIN_INSTANCE_GROWTH {
            self.instance_growth_since_ms = None;
            return false;
        }
        let since_ms = *self.instance_growth_since_ms.get_or_insert(now);
        let weighted_ms = growth.min(INSTANCE_GROWTH) * (now - since_ms);
        weighted_ms >= INSTANCE_GROWTH * INSTANCE_GROWTH_DELAY_MS
    }

    fn take_entering(&mut self, now: f64, is_settling: bool) -> Vec<ServerEntry> {
        let interval_ms = if is_settling {
            SETTLING_ENTRY_INTERVAL_MS
        } else {
            ENTRY_INTERVAL_MS
        };
        let is_empty = |table: &PublishedTable| table.entries.as_ref().is_none_or(Vec::is_empty);
        let any_is_empty = self.published.values().any(is_empty);
        if !any_is_empty && now - self.last_entry_ms < interval_ms {
            return Vec::new();
        }
        let lines = self.servers.take_entering(now);
        if !lines.is_empty() {
            self.last_entry_ms = now;
            self.is_urgent = true;
        }
        lines
    }

    fn create_module(&mut self, now: f64, proxy_count: u32, proxies: &[ServedProxy]) {
        let target_ms = self.service.latency_target_ms;
        let target_ms = if target_ms > 0.0 {
            target_ms
        } else {
            DEFAULT_LATENCY_TARGET_MS
        };
        let parameters = ModuleParameters {
            seed: self.seed,
            proxies: proxy_count.max(1),
            max_connections: self.service.max_connections,
            latency_target_ms: target_ms.clamp(MIN_LATENCY_TARGET_MS, MAX_LATENCY_TARGET_MS),
            service_index: self.index,
        };
        self.instances = self.servers.live_count();
        self.instance_growth_since_ms = None;
        self.proxy_count_off_since_ms = None;
        self.log.push(format!(
            "rebuilding tables for {proxy_count} proxies and {} instances",
            self.instances
        ));
        self.module = Some(DecisionModule::new(now, &parameters));
        self.module_generation += 1;
        self.last_entry_ms = now;
        self.is_urgent = true;
        self.reports = Reports::default();
        let published = self.published.values_mut();
        published.for_each(|table| table.marks.clear());
        let list = Input::List {
            scope: ListScope::Cached,
            version: 0,
            lines: self.servers.first_list(now),
        };
        self.inputs = vec![list];
        self.inputs.extend(proxies.iter().map(ServedProxy::joined));
    }

    /// Calls the module if an alarm is due or a change is urgent. Returns the tables to send now; each gets the next
    /// sequence number after `last_sequence`.
    pub fn tick(
        &mut self,
        now: f64,
        proxies: &[ServedProxy],
        is_settling: bool,
        last_sequence: &mut u64,
    ) -> Vec<TableUpdate> {
        let Some(module) = &mut self.module else {
            return Vec::new();
        };
        let has_alarm = module.take_alarms(now, &mut self.inputs);
        if std::mem::take(&mut self.is_urgent) || has_alarm {
            self.call_module(now);
        }
        let mut updates = Vec::new();
        for proxy in proxies {
            updates.extend(self.next_table_update(now, proxy, is_settling, last_sequence));
        }
        updates
    }

    fn call_module(&mut self, now: f64) {
        let Some(module) = &mut self.module else {
            return;
        };
        // The module evaluates reports when an alarm fires, so they must precede the alarms.
        let is_no_alarm = |input: &mut Input| !matches!(input, Input::TimerFired { .. });
        let mut inputs: Vec<Input> = self.inputs.extract_if(.., is_no_alarm).collect();
        inputs.extend(std::mem::take(&mut self.reports).into_inputs());
        inputs.append(&mut self.inputs);
        let output = module.call(now, &inputs);
        self.log.extend(output.log);
        for proxy in output.touched {
            if let Some(table) = self.published.get_mut(&proxy) {
                table.is_stale = true;
                table.marks.extend(output.mark);
            }
        }
        self.servers.forget(|server| module.knows(server));
    }

    /// The table to send to a proxy now, if any.
    fn next_table_update(
        &mut self,
        now: f64,
        proxy: &ServedProxy,
        is_settling: bool,
        last_sequence: &mut u64,
    ) -> Option<TableUpdate> {
        let module = self.module.as_ref()?;
        let has_tables = proxy.has_tables;
        let proxy = proxy.proxy;
        let table = self.published.get_mut(&proxy)?;
        if table.entries.is_none() && has_tables && is_settling {
            return None;
        }
        match table.next(now, &self.servers, module, proxy, is_settling) {
            NextTable::Wait => None,
            NextTable::Unchanged => {
                // The proxy already holds this table.
                table.is_stale = false;
                let marks = std::mem::take(&mut table.marks);
                self.inputs.extend(applied_inputs(proxy, marks));
                None
            }
            NextTable::Send(entries) => {
                *last_sequence += 1;
                let sequence = *last_sequence;
                let marks = table.record_sent(now, sequence, entries.clone());
                self.track_unacknowledged(proxy, sequence, marks);
                Some(TableUpdate {
                    proxy,
                    entries,
                    sequence,
                })
            }
        }
    }

    fn track_unacknowledged(&mut self, proxy: ProxyId, sequence: u64, marks: Vec<u64>) {
        let unacknowledged = self.unacknowledged.entry(proxy).or_default();
        let excess = (unacknowledged.len() + 1).saturating_sub(MAX_UNACKNOWLEDGED);
        unacknowledged.drain(..excess);
        unacknowledged.push(UnacknowledgedTable {
            sequence,
            module_generation: self.module_generation,
            marks,
        });
    }

    /// Summary of a proxy's table, for operators.
    pub fn table_summary(&self, proxy: ProxyId) -> Option<TableSummary> {
        let assigned = self.module.as_ref()?.assigned(proxy)?;
        let published = self.published.get(&proxy)?;
        Some(TableSummary {
            revision: assigned.revisions.last().copied().unwrap_or(0),
            revisions: assigned.revisions.len(),
            entries: published.entries.as_ref().map_or(0, Vec::len),
            sequence: published.sequence,
        })
    }
}

/// Summary of a proxy's table.
pub struct TableSummary {
    /// Current revision.
    pub revision: u64,
    /// Number of recorded revisions.
    pub revisions: usize,
    /// Number of entries last sent.
    pub entries: usize,
    /// Sequence number that they were sent with.
    pub sequence: u64,
}

/// Inputs that report marks of applied tables to the module.
fn applied_inputs(proxy: ProxyId, marks: Vec<u64>) -> impl Iterator<Item = Input> {
    let marks = marks.into_iter();
    marks.map(move |mark| Input::Acknowledged {
        proxy,
        mark,
        took_ms: 0.0,
    })
}
