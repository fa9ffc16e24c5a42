//! One service: its decision module, what the module is told, and what proxies were sent.
//!
//! The module is made with the first proxy, and made anew where what it was made for has changed: another order of
//! magnitude of proxies, many more instances, or another limit of connections.

use crate::decision_module::{DecisionModule, ModuleParameters};
use crate::published_table::{NextTable, PublishedTable};
use crate::server_list::ServerList;
use crate::service::Service;
use rookpulley::interface::*;
use rookpulley_protocol::{ServiceLoad, TableEntry};
use std::collections::BTreeMap;

/// The number of proxies that tables are sized for is held until there are so many times more, or less, for so long:
/// another one lays every arc anew. Too few put too much on an instance's connections, so they bind sooner.
const MORE_PROXIES: f64 = 1.5;
const MORE_PROXIES_FOR_MS: f64 = 2_000.0;
const FEWER_PROXIES: f64 = 2.5;
const FEWER_PROXIES_FOR_MS: f64 = 10_000.0;
/// Arcs keep the positions where they were laid, so instances that came since are in few of them. All are laid anew once
/// there are more instances by so large a part for a second, or by a smaller part for as much longer; not for less than
/// the least.
const MORE_INSTANCES: f64 = 0.3;
const MORE_INSTANCES_LEAST: f64 = 0.03;
const MORE_INSTANCES_FOR_MS: f64 = 1e3;
/// Where the configuration gives no latency target, and the bounds of what the module is given.
const DEFAULT_LATENCY_TARGET_MS: f64 = 500.0;
const MIN_LATENCY_TARGET_MS: f64 = 20.0;
const MAX_LATENCY_TARGET_MS: f64 = 60_000.0;
/// The module is told of new instances so often.
const ENTER_INTERVAL_MS: f64 = 1_000.0;
const SETTLING_ENTER_INTERVAL_MS: f64 = 300.0;
/// So many tables of one proxy wait for its answer; the oldest are given up.
const MAX_UNANSWERED: usize = 64;
/// The time that a report is of, for the module.
const REPORT_SPAN_MS: f64 = 1_000.0;

/// A proxy that has this controller as its primary.
#[derive(Clone, Copy)]
pub struct ServedProxy {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub requests_per_s: f64,
    /// It came with tables of its own: while instances are still being heard of, those count for more than ours.
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

/// A table that was sent and isn't answered yet.
struct Unanswered {
    sequence: u64,
    /// Of the module that had ordered it.
    generation: u64,
    /// The module's marks that the answer answers.
    marks: Vec<u64>,
}

/// The attempts that went to one server.
#[derive(Default)]
struct ServerLoad {
    attempts: f64,
    failed: f64,
    time_ms: f64,
}

/// The requests that came to one proxy.
#[derive(Default)]
struct ProxyLoad {
    received: f64,
    failed: f64,
}

/// What proxies have reported since the module was last called.
#[derive(Default)]
struct Reports {
    servers: BTreeMap<(ServerId, ZoneId), ServerLoad>,
    proxies: BTreeMap<ProxyId, ProxyLoad>,
}

impl Reports {
    fn into_inputs(self) -> impl Iterator<Item = Input> {
        let heard = self.servers.into_iter();
        let heard = heard.map(|((server, zone), load)| Input::ServerReport {
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
        heard.chain(usage)
    }
}

/// One service, as its controller hosts it.
pub struct HostedService {
    service: Service,
    /// Which of the services it is, from 0.
    number: usize,
    seed: u64,
    pub servers: ServerList,
    module: Option<DecisionModule>,
    /// Another one for each module: marks of an earlier one mean nothing.
    generation: u64,
    inputs: Vec<Input>,
    /// The module is to be called at the next tick, whether an alarm is due or not.
    is_urgent: bool,
    reports: Reports,
    published: BTreeMap<ProxyId, PublishedTable>,
    unanswered: BTreeMap<ProxyId, Vec<Unanswered>>,
    entered_ms: f64,
    /// Since when there are many more, or fewer, proxies than the module was made for.
    proxies_off_since_ms: Option<f64>,
    /// How many instances there were when the module was made, and since when there are more.
    instances: usize,
    more_instances_since_ms: Option<f64>,
    pub log: Vec<String>,
}

impl HostedService {
    /// A service without a module yet.
    pub fn new(seed: u64, number: usize, service: Service) -> Self {
        Self {
            service,
            number,
            seed,
            servers: ServerList::default(),
            module: None,
            generation: 0,
            inputs: Vec::new(),
            is_urgent: false,
            reports: Reports::default(),
            published: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            entered_ms: f64::NEG_INFINITY,
            proxies_off_since_ms: None,
            instances: 0,
            more_instances_since_ms: None,
            log: Vec::new(),
        }
    }

    /// Takes other facts of the service. The module starts over where tables depend on them.
    pub fn set_service(&mut self, service: &Service) {
        if service.max_connections != self.service.max_connections {
            self.module = None;
        }
        self.service = service.clone();
    }

    /// This controller is a proxy's primary from now on.
    pub fn proxy_connected(&mut self, proxy: ServedProxy) {
        self.unanswered.remove(&proxy.proxy);
        self.published.insert(proxy.proxy, PublishedTable::new());
        if let Some(module) = &mut self.module {
            module.unbind(proxy.proxy);
            self.inputs.push(proxy.joined());
            self.is_urgent = true;
        }
    }

    /// It is no longer.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.unanswered.remove(&proxy);
        self.published.remove(&proxy);
        self.reports.proxies.remove(&proxy);
        if let Some(module) = &mut self.module {
            module.unbind(proxy);
            self.inputs.push(Input::ProxyLeft { proxy });
        }
    }

    /// A proxy has reported.
    pub fn report(&mut self, proxy: ServedProxy, load: &ServiceLoad) {
        let of_proxy = self.reports.proxies.entry(proxy.proxy).or_default();
        of_proxy.received += f64::from(load.received);
        of_proxy.failed += f64::from(load.failed);
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
            let of_server = self.reports.servers.entry(key).or_default();
            of_server.attempts += attempts;
            of_server.failed += failed;
            of_server.time_ms += f64::from(mean_ms) * (attempts - failed);
        }
    }

    /// A proxy uses its tables up to this one.
    pub fn tables_applied(&mut self, proxy: ProxyId, up_to: u64) {
        let Some(unanswered) = self.unanswered.get_mut(&proxy) else {
            return;
        };
        let answered = unanswered.extract_if(.., |table| table.sequence <= up_to);
        for table in answered {
            if table.generation == self.generation {
                self.inputs.extend(applied(proxy, table.marks));
            }
        }
    }

    /// Brings the module's list of servers up to date. Makes the module where there is none, or none for so many proxies
    /// and instances.
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
        // Both are looked at: each notes since when it is so.
        let proxies_are_off = self.proxies_are_off(now, f64::from(proxy_count.max(1)));
        let has_more_instances = self.has_more_instances(now);
        if self.module.is_none() || proxies_are_off || has_more_instances {
            self.make_module(now, proxy_count, proxies);
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

    /// Whether the module was made for another number of proxies, and that has long been so.
    fn proxies_are_off(&mut self, now: f64, wanted: f64) -> bool {
        let made_for = self.module.as_ref().map_or(0.0, |m| f64::from(m.proxies));
        let for_ms = if wanted > made_for * MORE_PROXIES {
            MORE_PROXIES_FOR_MS
        } else if wanted * FEWER_PROXIES < made_for {
            FEWER_PROXIES_FOR_MS
        } else {
            self.proxies_off_since_ms = None;
            return false;
        };
        let since_ms = *self.proxies_off_since_ms.get_or_insert(now);
        now - since_ms >= for_ms
    }

    /// Whether there are more instances than the module was made for, and that has long been so.
    fn has_more_instances(&mut self, now: f64) -> bool {
        let live = self.servers.live_count() as f64;
        let more = live / self.instances.max(1) as f64 - 1.0;
        if more <= MORE_INSTANCES_LEAST {
            self.more_instances_since_ms = None;
            return false;
        }
        let since_ms = *self.more_instances_since_ms.get_or_insert(now);
        let excess = more.min(MORE_INSTANCES) * (now - since_ms);
        excess >= MORE_INSTANCES * MORE_INSTANCES_FOR_MS
    }

    fn take_entering(&mut self, now: f64, is_settling: bool) -> Vec<ServerEntry> {
        let interval_ms = if is_settling {
            SETTLING_ENTER_INTERVAL_MS
        } else {
            ENTER_INTERVAL_MS
        };
        let is_bare = |table: &PublishedTable| table.entries.as_ref().is_none_or(Vec::is_empty);
        let some_are_bare = self.published.values().any(is_bare);
        if !some_are_bare && now - self.entered_ms < interval_ms {
            return Vec::new();
        }
        let lines = self.servers.take_entering(now);
        if !lines.is_empty() {
            self.entered_ms = now;
            self.is_urgent = true;
        }
        lines
    }

    fn make_module(&mut self, now: f64, proxy_count: u32, proxies: &[ServedProxy]) {
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
            number: self.number,
        };
        self.instances = self.servers.live_count();
        self.more_instances_since_ms = None;
        self.proxies_off_since_ms = None;
        self.log.push(format!(
            "arcs are cut for {proxy_count} proxies and {} tasks",
            self.instances
        ));
        self.module = Some(DecisionModule::new(now, &parameters));
        self.generation += 1;
        self.entered_ms = now;
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

    /// Calls the module when something is due. Returns the tables that are to be sent now; `last_sequence` is counted on
    /// for each of them.
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
            updates.extend(self.next_update(now, proxy, is_settling, last_sequence));
        }
        updates
    }

    fn call_module(&mut self, now: f64) {
        let Some(module) = &mut self.module else {
            return;
        };
        // Reports go before the alarm by which the module judges them.
        let is_other = |input: &mut Input| !matches!(input, Input::TimerFired { .. });
        let mut inputs: Vec<Input> = self.inputs.extract_if(.., is_other).collect();
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

    /// The table that a proxy is to be sent now, if any.
    fn next_update(
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
                // The proxy has what was ordered already.
                table.is_stale = false;
                let marks = std::mem::take(&mut table.marks);
                self.inputs.extend(applied(proxy, marks));
                None
            }
            NextTable::Send(entries) => {
                *last_sequence += 1;
                let sequence = *last_sequence;
                let marks = table.sent(now, sequence, entries.clone());
                self.wait_for_answer(proxy, sequence, marks);
                Some(TableUpdate {
                    proxy,
                    entries,
                    sequence,
                })
            }
        }
    }

    fn wait_for_answer(&mut self, proxy: ProxyId, sequence: u64, marks: Vec<u64>) {
        let unanswered = self.unanswered.entry(proxy).or_default();
        let superfluous = (unanswered.len() + 1).saturating_sub(MAX_UNANSWERED);
        unanswered.drain(..superfluous);
        unanswered.push(Unanswered {
            sequence,
            generation: self.generation,
            marks,
        });
    }

    /// What operators are shown of a proxy's table.
    pub fn table_summary(&self, proxy: ProxyId) -> Option<TableSummary> {
        let ordered = self.module.as_ref()?.ordered(proxy)?;
        let published = self.published.get(&proxy)?;
        Some(TableSummary {
            revision: ordered.revisions.last().copied().unwrap_or(0),
            revisions: ordered.revisions.len(),
            entries: published.entries.as_ref().map_or(0, Vec::len),
            sequence: published.sequence,
        })
    }
}

/// A proxy's table in numbers.
pub struct TableSummary {
    /// The revision that was last ordered.
    pub revision: u64,
    /// How many revisions are remembered.
    pub revisions: usize,
    /// How many entries were last sent.
    pub entries: usize,
    /// The `sequence` that they were sent with.
    pub sequence: u64,
}

/// What the module is told once a proxy uses its tables.
fn applied(proxy: ProxyId, marks: Vec<u64>) -> impl Iterator<Item = Input> {
    let marks = marks.into_iter();
    marks.map(move |mark| Input::Acknowledged {
        proxy,
        mark,
        took_ms: 0.0,
    })
}
