//! Publishes the tables of all services to the proxies whose primary is this controller.

use crate::hosted_service::{HostedService, ServedProxy};
use crate::published_table::table_revision;
use crate::registry::{Instance, Registry};
use crate::service::Service;
use rookpulley::interface::{ProxyId, ZoneId};
use rookpulley_protocol::{LoadReport, TableEntry};
use std::collections::BTreeMap;

/// Maximum number of proxies with an id. Beyond this, the id of the proxy that disconnected first is reused.
const MAX_PROXIES: usize = 4_096;
/// Zones beyond this number share one id.
const MAX_ZONES: usize = 1_024;
/// Request rate assumed for proxies that report none.
const DEFAULT_REQUESTS_PER_S: f64 = 1.0;

/// Actions for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum PublisherOutput {
    /// Send a complete table that replaces the previous one. The proxy acknowledges it by sequence number.
    Table {
        /// Name of the proxy.
        proxy: String,
        /// Name of the service.
        service: String,
        /// Hash of the entries.
        revision: u64,
        /// Increases with each table of this publisher.
        sequence: u64,
        /// Instances that may get requests.
        entries: Vec<TableEntry>,
    },
    /// Write a log line.
    Log {
        /// Name of the service.
        service: String,
        /// The message.
        text: String,
    },
}

/// Status of a proxy's table, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct TableStatus {
    /// Name of the service.
    pub service: String,
    /// Name of the proxy.
    pub proxy: String,
    /// Current revision.
    pub revision: u64,
    /// Number of recorded revisions.
    pub revisions: usize,
    /// Number of entries last sent.
    pub entries: usize,
    /// Sequence number that they were sent with.
    pub sequence: u64,
}

struct KnownProxy {
    served: ServedProxy,
    is_connected: bool,
    /// Time of the last connect or disconnect.
    changed_ms: f64,
}

/// Zone ids, assigned in the order of first use.
#[derive(Default)]
struct Zones(BTreeMap<String, ZoneId>);

impl Zones {
    fn id(&mut self, name: &str) -> ZoneId {
        if let Some(id) = self.0.get(name) {
            return *id;
        }
        let count = self.0.len();
        // At most `MAX_ZONES`, so the cast is lossless.
        let id = count.min(MAX_ZONES) as ZoneId;
        if count < MAX_ZONES {
            self.0.insert(name.into(), id);
        }
        id
    }
}

/// Publishes tables to the proxies whose primary is this controller.
pub struct TablePublisher {
    seed: u64,
    /// Known number of proxies in the cluster.
    proxy_count: u32,
    services: BTreeMap<String, HostedService>,
    proxies: BTreeMap<String, KnownProxy>,
    zones: Zones,
    last_sequence: u64,
    /// Number of services added so far.
    services_added: usize,
    /// Registry version of the last sync.
    registry_version: Option<u64>,
    is_settling: bool,
}

impl TablePublisher {
    /// Creates a publisher without services and proxies.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            proxy_count: 0,
            services: BTreeMap::new(),
            proxies: BTreeMap::new(),
            zones: Zones::default(),
            last_sequence: 0,
            services_added: 0,
            registry_version: None,
            is_settling: true,
        }
    }

    /// Replaces the services; those not listed are removed.
    pub fn set_services(&mut self, services: &[Service]) {
        let is_listed = |name: &str| services.iter().any(|service| service.name == name);
        self.services.retain(|name, _| is_listed(name));
        for service in services {
            match self.services.get_mut(&service.name) {
                Some(hosted) => hosted.set_service(service),
                None => self.add_service(service),
            }
        }
    }

    fn add_service(&mut self, service: &Service) {
        let mut hosted = HostedService::new(self.seed, self.services_added, service.clone());
        self.services_added += 1;
        for proxy in self.served_proxies() {
            hosted.proxy_connected(proxy);
        }
        self.services.insert(service.name.clone(), hosted);
        self.registry_version = None;
    }

    /// Sets the number of proxies in the cluster, which determines the table sizes.
    pub fn set_proxy_count(&mut self, count: u32) {
        self.proxy_count = count;
    }

    /// Starts publishing tables to a proxy. `has_tables`: the proxy already holds tables.
    pub fn proxy_connected(
        &mut self,
        now: f64,
        name: &str,
        zone: &str,
        requests_per_s: f64,
        has_tables: bool,
    ) {
        self.proxy_disconnected(now, name);
        let is_valid = requests_per_s.is_finite() && requests_per_s > 0.0;
        let requests_per_s = if is_valid {
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

    /// Stops publishing tables to a proxy.
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

    /// The known id of a proxy, or a free one. `None` if no id is available.
    fn proxy_id(&mut self, name: &str) -> Option<ProxyId> {
        if let Some(known) = self.proxies.get(name) {
            return Some(known.served.proxy);
        }
        let count = self.proxies.len();
        if count < MAX_PROXIES {
            // Ids are consecutive, and an entry is removed only when its id is reused, so the count is a free id.
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

    /// Adds a load report of a proxy.
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

    /// Handles a proxy's acknowledgement of all tables up to sequence number `up_to`.
    pub fn tables_applied(&mut self, name: &str, up_to: u64) {
        let Some(proxy) = self.served_proxy(name) else {
            return;
        };
        for hosted in self.services.values_mut() {
            hosted.tables_applied(proxy.proxy, up_to);
        }
    }

    /// Synchronises with the registry. Draining instances are removed from the tables by the next tick.
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

    /// Runs due work. Returns the tables to send and lines to log.
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

    /// Status of all tables, for operators.
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
