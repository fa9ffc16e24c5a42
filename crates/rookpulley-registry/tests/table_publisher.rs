//! Property and scenario tests of a registry with a table publisher.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_protocol::{InstanceLoad, LoadReport, ServiceLoad, TableEntry};
use rookpulley_registry::{
    Heartbeat, InstanceStatus, PublisherOutput, Registry, Service, TablePublisher,
};
use rookpulley_samples::run_sized_cases;
use std::collections::{BTreeMap, BTreeSet};

const HEARTBEAT_MS: f64 = 1_500.0;
const STEP_MS: f64 = 100.0;

#[derive(Clone)]
struct Instance {
    heartbeat: Heartbeat,
    due_ms: f64,
}

/// The table of a service that a proxy holds.
#[derive(Clone, Default)]
struct HeldTable {
    entries: Vec<TableEntry>,
    received_ms: f64,
}

struct Cluster {
    now: f64,
    registry: Registry,
    publisher: TablePublisher,
    instances: Vec<Instance>,
    proxies: BTreeSet<String>,
    held: BTreeMap<(String, String), HeldTable>,
    incarnations: usize,
    log: Vec<String>,
}

impl Cluster {
    fn new(services: &[&str], max_connections: u32) -> Self {
        let mut publisher = TablePublisher::new(7);
        let service = |name: &&str| Service {
            name: name.to_string(),
            max_connections,
            latency_target_ms: 250.0,
        };
        publisher.set_services(&services.iter().map(service).collect::<Vec<_>>());
        Self {
            now: 0.0,
            registry: Registry::new(0.0, HEARTBEAT_MS, 2_500.0),
            publisher,
            instances: Vec::new(),
            proxies: BTreeSet::new(),
            held: BTreeMap::new(),
            incarnations: 0,
            log: Vec::new(),
        }
    }

    fn start(&mut self, service: &str, index: usize, warm_up_ms: f64) -> String {
        self.incarnations += 1;
        let incarnation = format!("i-{}", self.incarnations);
        let address = format!("10.0.{}.{}:80", index / 200, index % 200 + 1)
            .parse()
            .unwrap();
        // A new incarnation at an address implies that the previous one has ended.
        self.instances
            .retain(|instance| instance.heartbeat.address != address);
        let heartbeat = Heartbeat {
            incarnation: incarnation.clone(),
            service: service.into(),
            address,
            zone: format!("z{}", index % 3),
            software_version: "v1".into(),
            slots: 4 + (index % 3) as u16,
            draining: false,
            warm_up_ms,
            sequence: 0,
        };
        self.instances.push(Instance {
            heartbeat,
            due_ms: self.now,
        });
        incarnation
    }

    fn drain(&mut self, incarnation: &str) {
        for instance in self
            .instances
            .iter_mut()
            .filter(|instance| instance.heartbeat.incarnation == incarnation)
        {
            (instance.heartbeat.draining, instance.due_ms) = (true, self.now);
        }
    }

    fn proxy_connected(&mut self, name: &str) {
        self.proxy_in_zone(name, "z0");
    }

    fn proxy_in_zone(&mut self, name: &str, zone: &str) {
        self.proxies.insert(name.into());
        self.held.retain(|(proxy, _), _| proxy != name);
        self.publisher
            .proxy_connected(self.now, name, zone, 1.0, false);
        self.publisher.set_proxy_count(self.proxies.len() as u32);
    }

    /// Advances time by one step: delivers due heartbeats, ticks, and applies the published tables.
    fn step(&mut self) {
        self.now += STEP_MS;
        for instance in self
            .instances
            .iter_mut()
            .filter(|instance| instance.due_ms <= self.now)
        {
            instance.due_ms = self.now + HEARTBEAT_MS;
            instance.heartbeat.sequence += 1;
            self.registry
                .heartbeat(self.now, instance.heartbeat.clone());
            instance.heartbeat.warm_up_ms = (instance.heartbeat.warm_up_ms - HEARTBEAT_MS).max(0.0);
        }
        self.registry.tick(self.now);
        self.publisher.sync(self.now, &self.registry);
        for out in self.publisher.tick(self.now) {
            match out {
                PublisherOutput::Table {
                    proxy,
                    service,
                    sequence,
                    entries,
                    ..
                } => {
                    self.check_sent(&proxy, &service, &entries);
                    self.publisher.tables_applied(&proxy, sequence);
                    self.held.insert(
                        (proxy, service),
                        HeldTable {
                            entries,
                            received_ms: self.now,
                        },
                    );
                }
                PublisherOutput::Log { text, .. } => self.log.push(text),
            }
        }
        self.check_held();
    }

    fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    fn is_gone(&self, entry: &TableEntry) -> bool {
        !matches!(
            self.registry.status(&entry.incarnation),
            InstanceStatus::Live | InstanceStatus::Silent
        )
    }

    fn check_sent(&self, proxy: &str, service: &str, entries: &[TableEntry]) {
        assert!(
            self.proxies.contains(proxy),
            "table sent to a disconnected proxy"
        );
        let live: BTreeMap<_, _> = self
            .registry
            .live_instances(service)
            .map(|b| (&b.incarnation, b.address))
            .collect();
        let distinct: BTreeSet<_> = entries.iter().map(|entry| &entry.incarnation).collect();
        assert_eq!(distinct.len(), entries.len());
        let before = self.held_incarnations(proxy, service);
        for entry in entries {
            // A silent instance may be retained but never added.
            let silent = self.registry.status(&entry.incarnation) == InstanceStatus::Silent;
            let retained = silent && before.contains(&entry.incarnation);
            assert!(
                live.get(&entry.incarnation) == Some(&entry.address) || retained,
                "{entry:?} is not live"
            );
            assert!(entry.weight > 0.0);
        }
        if let Some(held) = self.held.get(&(proxy.into(), service.into())) {
            let urgent =
                held.entries.is_empty() || held.entries.iter().any(|entry| self.is_gone(entry));
            let interval_ms = if self.registry.is_settling(self.now) {
                300.0
            } else {
                1_000.0
            };
            assert!(
                urgent || self.now - held.received_ms >= interval_ms - 1.0,
                "table updated before the minimum interval"
            );
            assert_ne!(held.entries, entries, "unchanged table sent again");
        }
    }

    fn check_held(&self) {
        for (key, held) in &self.held {
            let gone: Vec<_> = held
                .entries
                .iter()
                .filter(|entry| self.is_gone(entry))
                .collect();
            // While settling, a table whose entries are all gone may stay.
            let settling = self.registry.is_settling(self.now) && gone.len() == held.entries.len();
            assert!(gone.is_empty() || settling, "{key:?} still holds {gone:?}");
        }
    }

    /// Each proxy reports this many attempts and failures for every entry that it holds.
    fn report(&mut self, attempts: u32, failed: u32) {
        self.report_with(attempts, |_| failed);
    }

    fn report_with(&mut self, attempts: u32, failed: impl Fn(&str) -> u32) {
        for ((proxy, service), held) in &self.held {
            let mean_ms = 20.0;
            let instance = |entry: &TableEntry| InstanceLoad {
                incarnation: entry.incarnation.clone(),
                attempts,
                failed: failed(&entry.incarnation),
                mean_ms,
            };
            let instances: Vec<_> = held.entries.iter().map(instance).collect();
            let received = attempts * instances.len() as u32;
            let load = ServiceLoad {
                service: service.clone(),
                received,
                failed: 0,
                instances,
            };
            self.publisher.report(
                proxy,
                &LoadReport {
                    span_ms: 1_000,
                    services: vec![load],
                },
            );
        }
    }

    fn held_incarnations(&self, proxy: &str, service: &str) -> BTreeSet<String> {
        let held = self.held.get(&(proxy.into(), service.into()));
        held.into_iter()
            .flat_map(|h| &h.entries)
            .map(|entry| entry.incarnation.clone())
            .collect()
    }

    fn random_action(&mut self, u: &mut Unstructured) -> Result<()> {
        let some = if self.instances.is_empty() {
            None
        } else {
            Some(u.choose_index(self.instances.len())?)
        };
        match (u.int_in_range(0..=11)?, some) {
            (0..=2, _) => {
                let service = *u.choose(&["a", "b"])?;
                let index = u.choose_index(12)?;
                let warm_up_ms = *u.choose(&[0.0, 2_000.0, 8_000.0])?;
                self.start(service, index, warm_up_ms);
            }
            (3, Some(at)) => {
                let incarnation = self.instances[at].heartbeat.incarnation.clone();
                self.drain(&incarnation);
            }
            (4, Some(at)) => {
                let instance = self.instances.swap_remove(at);
                self.registry
                    .leave(self.now, &instance.heartbeat.incarnation);
            }
            // Heartbeats stop for a while, or permanently.
            (5, Some(at)) => {
                self.instances[at].due_ms = self.now + f64::from(u.int_in_range(1..=9)?) * 1e3
            }
            (6, Some(at)) => _ = self.instances.swap_remove(at),
            (7 | 8, _) => {
                let name = format!("c{}", u.choose_index(4)?);
                self.proxy_connected(&name);
            }
            (9, _) => {
                let name = format!("c{}", u.choose_index(4)?);
                self.proxies.remove(&name);
                self.held.retain(|(proxy, _), _| *proxy != name);
                self.publisher.proxy_disconnected(self.now, &name);
            }
            _ => {
                let failed = u.int_in_range(0..=10)?;
                self.report(10, failed);
            }
        }
        Ok(())
    }
}

/// Input length in bytes by run number.
fn input_length(n: u32) -> u32 {
    64 + n % 100 * 24
}

#[test]
fn tables_contain_only_live_instances_and_drop_a_drained_one_in_the_next_tick() {
    run_sized_cases(60, input_length, |u| {
        let mut cluster = Cluster::new(&["a", "b"], 130);
        for _ in 0..u.int_in_range(5..=60)? {
            cluster.random_action(u)?;
            cluster.steps(u.int_in_range(1..=8)?);
        }
        // After a quiet period longer than any exclusion, every live instance is in some table.
        cluster.proxy_connected("c9");
        (0..40).for_each(|_| {
            cluster.report(10, 0);
            cluster.steps(10);
        });
        for service in ["a", "b"] {
            let live: BTreeSet<String> = cluster
                .registry
                .live_instances(service)
                .map(|b| b.incarnation.clone())
                .collect();
            let held: BTreeSet<String> = cluster
                .proxies
                .iter()
                .flat_map(|proxy| cluster.held_incarnations(proxy, service))
                .collect();
            assert!(
                live.is_subset(&held),
                "{service}: {live:?} are live, in tables {held:?}"
            );
        }
        Ok(())
    });
}

#[test]
fn table_size_is_bounded_and_instances_are_spread_evenly_across_tables() {
    for (instances, proxies, max_connections, min_entries) in [(25, 12, 130, 8), (419, 91, 610, 24)]
    {
        let mut cluster = Cluster::new(&["a"], max_connections);
        (0..instances).for_each(|index| _ = cluster.start("a", index, 0.0));
        (0..proxies).for_each(|n| cluster.proxy_in_zone(&format!("c{n}"), &format!("z{}", n % 3)));
        cluster.steps(100);
        let mut table_counts = BTreeMap::<String, usize>::new();
        for held in cluster.held.values() {
            let count = held.entries.len();
            assert!(
                (min_entries..=110).contains(&count),
                "{count} entries for {instances} instances"
            );
            held.entries
                .iter()
                .for_each(|entry| *table_counts.entry(entry.incarnation.clone()).or_default() += 1);
        }
        assert_eq!(
            (cluster.held.len(), table_counts.len()),
            (proxies, instances)
        );
        let mean = table_counts.values().sum::<usize>() / instances;
        assert!(
            table_counts.values().all(|count| *count >= mean / 2),
            "{mean}: {table_counts:?}"
        );
    }
}

/// Traffic between zones as fractions of the total, if all proxies have the same load.
fn flows(cluster: &Cluster) -> BTreeMap<(String, String), f64> {
    let mut flows = BTreeMap::new();
    for ((proxy, _), held) in &cluster.held {
        let from = format!("z{}", proxy.rsplit('z').next().unwrap());
        let all: f64 = held
            .entries
            .iter()
            .map(|entry| f64::from(entry.weight))
            .sum();
        for entry in &held.entries {
            *flows
                .entry((from.clone(), entry.zone.clone()))
                .or_insert(0.0) += f64::from(entry.weight) / all / cluster.held.len() as f64;
        }
    }
    flows
}

#[test]
fn traffic_stays_in_the_proxy_zone_up_to_its_capacity_and_the_rest_goes_to_other_zones() {
    // Proxies by zone; instances are spread evenly over z0, z1 and z2.
    for (proxies, expected_local) in [
        ([4, 4, 4], [0.33, 0.33, 0.33]),
        ([9, 3, 0], [0.33, 0.25, 0.0]),
    ] {
        let mut cluster = Cluster::new(&["a"], 610);
        (0..90).for_each(|index| _ = cluster.start("a", index, 0.0));
        for (zone, count) in proxies.iter().enumerate() {
            (0..*count)
                .for_each(|n| cluster.proxy_in_zone(&format!("c{n}z{zone}"), &format!("z{zone}")));
        }
        cluster.steps(100);
        let flows = flows(&cluster);
        let into = |zone: &str| -> f64 {
            flows
                .iter()
                .filter(|((_, to), _)| to == zone)
                .map(|(_, f)| f)
                .sum()
        };
        for (zone, expected) in expected_local.iter().enumerate() {
            let zone = format!("z{zone}");
            let local = flows
                .get(&(zone.clone(), zone.clone()))
                .copied()
                .unwrap_or(0.0);
            assert!(
                (local - expected).abs() < 0.08,
                "{proxies:?}: {local} of the traffic stays in {zone}: {flows:?}"
            );
            assert!(
                (0.2..0.5).contains(&into(&zone)),
                "{proxies:?}: {} go to {zone}",
                into(&zone)
            );
        }
    }
}

/// At startup, proxies connect before most instances have sent a heartbeat.
#[test]
fn instances_registered_after_the_proxies_connect_are_in_as_many_tables_as_earlier_ones() {
    for (instances, proxies) in [(29, 91), (419, 91), (25, 12)] {
        let mut cluster = Cluster::new(&["a"], 610);
        (0..proxies).for_each(|n| cluster.proxy_connected(&format!("c{n}")));
        for index in 0..instances {
            cluster.start("a", index, 0.0);
            if index % (instances / 15 + 1) == 0 {
                cluster.step();
            }
        }
        cluster.steps(140);
        let mut table_counts = BTreeMap::<String, usize>::new();
        let entries = cluster.held.values().flat_map(|held| &held.entries);
        entries.for_each(|entry| *table_counts.entry(entry.incarnation.clone()).or_default() += 1);
        let mean = table_counts.values().sum::<usize>() / instances;
        assert_eq!(table_counts.len(), instances, "{table_counts:?}");
        assert!(
            table_counts
                .values()
                .all(|count| (mean / 3..=3 * mean).contains(count)),
            "{mean}: {table_counts:?}"
        );
    }
}

#[test]
fn failing_revision_is_rolled_back_without_restoring_draining_instances() {
    let mut cluster = Cluster::new(&["a"], 130);
    let incarnations: Vec<String> = (0..4).map(|index| cluster.start("a", index, 0.0)).collect();
    cluster.proxy_connected("c0");
    for _ in 0..10 {
        cluster.report(20, 0);
        cluster.steps(10);
    }
    assert_eq!(cluster.held_incarnations("c0", "a").len(), 4);
    let before = cluster.publisher.tables()[0].revision;
    let new = cluster.start("a", 4, 0.0);
    cluster.drain(&incarnations[0]);
    cluster.steps(15);
    let held = cluster.held_incarnations("c0", "a");
    assert!(
        held.contains(&new) && !held.contains(&incarnations[0]) && held.len() == 4,
        "{held:?}"
    );
    assert_ne!(cluster.publisher.tables()[0].revision, before);
    for _ in 0..10 {
        cluster.report(20, 3);
        cluster.steps(10);
    }
    let held = cluster.held_incarnations("c0", "a");
    assert_eq!(
        held.iter().collect::<Vec<_>>(),
        [&incarnations[1], &incarnations[2], &incarnations[3]],
        "{:?}",
        cluster.log
    );
    assert!(
        cluster
            .log
            .iter()
            .any(|text| text.contains("tainted, rolled back")),
        "{:?}",
        cluster.log
    );
}

#[test]
fn revisions_too_frequent_to_judge_individually_are_rolled_back_together() {
    let mut cluster = Cluster::new(&["a"], 130);
    let incarnations: Vec<String> = (0..12)
        .map(|index| cluster.start("a", index, 0.0))
        .collect();
    cluster.proxy_connected("c0");
    for _ in 0..10 {
        cluster.report(20, 0);
        cluster.steps(10);
    }
    let mut failed = BTreeSet::new();
    for (index, oldest) in incarnations.iter().enumerate().take(3) {
        failed.insert(cluster.start("a", 12 + index, 0.0));
        cluster.drain(oldest);
        cluster.steps(10);
        cluster.report_with(
            20,
            |incarnation| if failed.contains(incarnation) { 8 } else { 0 },
        );
    }
    let released = cluster.held_incarnations("c0", "a");
    assert!(
        failed.is_subset(&released) && released.len() == 12,
        "{released:?}"
    );
    for _ in 0..4 {
        cluster.steps(10);
        cluster.report_with(
            20,
            |incarnation| if failed.contains(incarnation) { 8 } else { 0 },
        );
    }
    let held = cluster.held_incarnations("c0", "a");
    assert_eq!(
        held,
        incarnations[3..].iter().cloned().collect(),
        "{:?}",
        cluster.log
    );
    assert!(
        cluster
            .log
            .iter()
            .any(|text| text.contains("tainted, rolled back")),
        "{:?}",
        cluster.log
    );
}

#[test]
fn proxy_with_tables_gets_none_while_the_controller_is_settling() {
    let mut cluster = Cluster::new(&["a"], 130);
    cluster.start("a", 0, 0.0);
    cluster
        .publisher
        .proxy_connected(0.0, "old", "z0", 1.0, true);
    cluster.proxies.insert("old".into());
    cluster.proxy_connected("new");
    cluster.steps(25);
    assert_eq!(cluster.held_incarnations("new", "a").len(), 1);
    assert_eq!(cluster.held_incarnations("old", "a").len(), 0);
    cluster.steps(10);
    assert_eq!(cluster.held_incarnations("old", "a").len(), 1);
}

#[test]
fn silent_instances_stay_in_the_table_when_no_instance_is_live() {
    let mut cluster = Cluster::new(&["a"], 130);
    let incarnation = cluster.start("a", 0, 0.0);
    cluster.proxy_connected("c0");
    cluster.steps(40);
    cluster.instances.clear();
    cluster.steps(100);
    assert_eq!(
        cluster.registry.status(&incarnation),
        InstanceStatus::Silent
    );
    assert_eq!(cluster.held_incarnations("c0", "a").len(), 1);
    cluster.registry.leave(cluster.now, &incarnation);
    cluster.step();
    assert_eq!(cluster.held_incarnations("c0", "a").len(), 0);
}
