//! The proxies that this controller is primary for, and a hosted service for each service of the configuration.

use crate::hosted_service::{HostedService, ServedProxy};
use crate::published_table::table_revision;
use crate::registry::{Instance, Registry};
use crate::service::Service;
use rookpulley::interface::{ProxyId, ZoneId};
use rookpulley_protocol::{LoadReport, TableEntry};
use std::collections::BTreeMap;

/// So many proxies are remembered with their ids. Beyond that, the id of one that disconnected long ago is passed on.
const MAX_PROXIES: usize = 4_096;
/// Zones beyond this many count as one.
const MAX_ZONES: usize = 1_024;
/// What a proxy counts with that doesn't say how many requests it gets.
const DEFAULT_REQUESTS_PER_S: f64 = 1.0;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum PublisherOutput {
    /// Send a proxy a whole table in place of the one before. It answers with the sequence.
    Table {
        /// Its name.
        proxy: String,
        /// The service's name.
        service: String,
        /// The hash of the entries.
        revision: u64,
        /// Rises with each table of this publisher.
        sequence: u64,
        /// The instances that requests may go to.
        entries: Vec<TableEntry>,
    },
    /// A line for the log.
    Log {
        /// The service that it is about.
        service: String,
        /// What it says.
        text: String,
    },
}

/// A proxy's table, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct TableStatus {
    /// The service's name.
    pub service: String,
    /// The proxy's name.
    pub proxy: String,
    /// The revision that was last ordered.
    pub revision: u64,
    /// How many revisions are remembered.
    pub revisions: usize,
    /// How many entries were last sent.
    pub entries: usize,
    /// The `sequence` that they were sent with.
    pub sequence: u64,
}

struct KnownProxy {
    served: ServedProxy,
    is_connected: bool,
    /// When it last connected or disconnected.
    changed_ms: f64,
}

/// The ids of zones, in the order in which they were first heard of.
#[derive(Default)]
struct Zones(BTreeMap<String, ZoneId>);

impl Zones {
    fn id(&mut self, name: &str) -> ZoneId {
        if let Some(id) = self.0.get(name) {
            return *id;
        }
        let count = self.0.len();
        // At most `MAX_ZONES`, which fits.
        let id = count.min(MAX_ZONES) as ZoneId;
        if count < MAX_ZONES {
            self.0.insert(name.into(), id);
        }
        id
    }
}

/// Publishes tables to the proxies that have this controller as their primary.
pub struct TablePublisher {
    seed: u64,
    /// How many proxies there are in the whole system, as far as is known.
    proxy_count: u32,
    services: BTreeMap<String, HostedService>,
    proxies: BTreeMap<String, KnownProxy>,
    zones: Zones,
    last_sequence: u64,
    /// How many services were ever hosted.
    hosted: usize,
    /// The registry's version that the lists stand on.
    registry_version: Option<u64>,
    is_settling: bool,
}

impl TablePublisher {
    /// A publisher without services and proxies.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            proxy_count: 0,
            services: BTreeMap::new(),
            proxies: BTreeMap::new(),
            zones: Zones::default(),
            last_sequence: 0,
            hosted: 0,
            registry_version: None,
            is_settling: true,
        }
    }

    /// Takes the services of a configuration. One that it doesn't name is hosted no longer.
    pub fn set_services(&mut self, services: &[Service]) {
        let is_named = |name: &str| services.iter().any(|service| service.name == name);
        self.services.retain(|name, _| is_named(name));
        for service in services {
            match self.services.get_mut(&service.name) {
                Some(hosted) => hosted.set_service(service),
                None => self.host(service),
            }
        }
    }

    fn host(&mut self, service: &Service) {
        let mut hosted = HostedService::new(self.seed, self.hosted, service.clone());
        self.hosted += 1;
        for proxy in self.served_proxies() {
            hosted.proxy_connected(proxy);
        }
        self.services.insert(service.name.clone(), hosted);
        self.registry_version = None;
    }

    /// How many proxies there are in the whole system: tables are sized by that.
    pub fn set_proxy_count(&mut self, count: u32) {
        self.proxy_count = count;
    }

    /// This controller is a proxy's primary from now on. `has_tables`: the proxy has tables from before.
    pub fn proxy_connected(
        &mut self,
        now: f64,
        name: &str,
        zone: &str,
        requests_per_s: f64,
        has_tables: bool,
    ) {
        self.proxy_disconnected(now, name);
        let is_sound = requests_per_s.is_finite() && requests_per_s > 0.0;
        let requests_per_s = if is_sound {
            requests_per_s
        } else {
            DEFAULT_REQUESTS_PER_S
        };
        let Some(proxy) = self.proxy_id(name) else {
            return;
        };
        let served = ServedProxy {
            proxy,
            zone: self.zones.id(zone),
            requests_per_s,
            has_tables,
        };
        let known = KnownProxy {
            served,
            is_connected: true,
            changed_ms: now,
        };
        self.proxies.insert(name.into(), known);
        for hosted in self.services.values_mut() {
            hosted.proxy_connected(served);
        }
    }

    /// It is no longer.
    pub fn proxy_disconnected(&mut self, now: f64, name: &str) {
        let known = self.proxies.get_mut(name);
        let Some(known) = known.filter(|known| known.is_connected) else {
            return;
        };
        known.is_connected = false;
        known.changed_ms = now;
        let proxy = known.served.proxy;
        for hosted in self.services.values_mut() {
            hosted.proxy_disconnected(proxy);
        }
    }

    /// The id that a proxy had, or a free one. None: there is none.
    fn proxy_id(&mut self, name: &str) -> Option<ProxyId> {
        if let Some(known) = self.proxies.get(name) {
            return Some(known.served.proxy);
        }
        let count = self.proxies.len();
        if count < MAX_PROXIES {
            // Ids are given in order and passed on with their names: the count is free.
            return ProxyId::try_from(count).ok();
        }
        let others = self.proxies.iter().filter(|(_, known)| !known.is_connected);
        let oldest = others.min_by(|a, b| a.1.changed_ms.total_cmp(&b.1.changed_ms));
        let oldest = oldest.map(|(name, _)| name.clone())?;
        let known = self.proxies.remove(&oldest)?;
        Some(known.served.proxy)
    }

    fn served_proxy(&self, name: &str) -> Option<ServedProxy> {
        let known = self.proxies.get(name)?;
        known.is_connected.then_some(known.served)
    }

    fn served_proxies(&self) -> Vec<ServedProxy> {
        let connected = self.proxies.values().filter(|known| known.is_connected);
        connected.map(|known| known.served).collect()
    }

    /// A proxy has reported what it has met.
    pub fn report(&mut self, name: &str, report: &LoadReport) {
        let Some(proxy) = self.served_proxy(name) else {
            return;
        };
        for load in &report.services {
            if let Some(hosted) = self.services.get_mut(&load.service) {
                hosted.report(proxy, load);
            }
        }
    }

    /// A proxy uses its tables up to this one.
    pub fn tables_applied(&mut self, name: &str, up_to: u64) {
        let Some(proxy) = self.served_proxy(name) else {
            return;
        };
        for hosted in self.services.values_mut() {
            hosted.tables_applied(proxy.proxy, up_to);
        }
    }

    /// Takes what the registry has. What is draining leaves the tables with the next tick.
    pub fn sync(&mut self, now: f64, registry: &Registry) {
        self.is_settling = registry.is_settling(now);
        let version = Some(registry.version());
        let is_stale = self.registry_version != version;
        self.registry_version = version;
        let mut instances: BTreeMap<&str, Vec<(Instance, ZoneId)>> = BTreeMap::new();
        if is_stale {
            for instance in registry.instances() {
                let service = instance.heartbeat.service.as_str();
                if self.services.contains_key(service) {
                    let zone = self.zones.id(&instance.heartbeat.zone);
                    instances.entry(service).or_default().push((instance, zone));
                }
            }
        }
        let proxies = self.served_proxies();
        let served = u32::try_from(proxies.len()).unwrap_or(u32::MAX);
        let proxy_count = self.proxy_count.max(served);
        for (name, hosted) in &mut self.services {
            let instances = instances.remove(name.as_str()).unwrap_or_default();
            let changed = is_stale && hosted.servers.observe(instances.into_iter());
            hosted.sync(now, changed, proxy_count, &proxies, self.is_settling);
        }
    }

    /// Lets time pass. Returns the tables that are to be sent now.
    pub fn tick(&mut self, now: f64) -> Vec<PublisherOutput> {
        let proxies = self.served_proxies();
        let names = self.proxies.iter();
        let names = names.map(|(name, known)| (known.served.proxy, name));
        let names: BTreeMap<ProxyId, &String> = names.collect();
        let mut output = Vec::new();
        for (service, hosted) in &mut self.services {
            let updates = hosted.tick(now, &proxies, self.is_settling, &mut self.last_sequence);
            let log = hosted.log.drain(..);
            output.extend(log.map(|text| PublisherOutput::Log {
                service: service.clone(),
                text,
            }));
            for update in updates {
                let Some(proxy) = names.get(&update.proxy) else {
                    continue;
                };
                output.push(PublisherOutput::Table {
                    proxy: (*proxy).clone(),
                    service: service.clone(),
                    revision: table_revision(&update.entries),
                    sequence: update.sequence,
                    entries: update.entries,
                });
            }
        }
        output
    }

    /// All tables, for operators.
    pub fn tables(&self) -> Vec<TableStatus> {
        let mut tables = Vec::new();
        for (service, hosted) in &self.services {
            for (proxy, known) in &self.proxies {
                let summary = hosted.table_summary(known.served.proxy);
                let Some(summary) = summary.filter(|_| known.is_connected) else {
                    continue;
                };
                tables.push(TableStatus {
                    service: service.clone(),
                    proxy: proxy.clone(),
                    revision: summary.revision,
                    revisions: summary.revisions,
                    entries: summary.entries,
                    sequence: summary.sequence,
                });
            }
        }
        tables
    }
}
