//! Measures endpoint picks and table revisions by cluster size: median microseconds and allocations.
//!
//!     cargo run --release -p rookpulley-registry --example pick_cost
//!
//! A pick includes recording its outcome, on the table published to one proxy. The baseline is a power-of-two-choices
//! pick over all instances. A revise is the publisher's work after one instance is added and one drained, until all
//! changed tables are published.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_balancer::{AttemptOutcome, EndpointPicker, RequestAttempts};
use rookpulley_protocol::TableEntry;
use rookpulley_registry::{Heartbeat, PublisherOutput, Registry, Service, TablePublisher};
use rookpulley_routes::RouteKind;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 31;
/// Small enough for a round to fit into a scheduler time slice.
const PICKS: usize = 400;
const MAX_IN_FLIGHT: usize = 16;

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Runs an operation. Returns its duration in microseconds and its allocations.
fn measure(operation: impl FnOnce()) -> (f64, f64) {
    let (start, region) = (Instant::now(), Region::new(ALLOCATOR));
    operation();
    let us = start.elapsed().as_nanos() as f64 / 1e3;
    (us, region.change().allocations as f64)
}

struct Cluster {
    now: f64,
    registry: Registry,
    publisher: TablePublisher,
    instances: VecDeque<Heartbeat>,
    started: usize,
    tables: BTreeMap<String, Vec<TableEntry>>,
}

impl Cluster {
    fn new(instance_count: usize, proxies: usize) -> Cluster {
        let mut publisher = TablePublisher::new(7);
        publisher.set_services(&[Service {
            name: "a".into(),
            max_connections: 610,
            latency_target_ms: 250.0,
        }]);
        let registry = Registry::new(0.0, 1_500.0, 2_500.0);
        let (instances, tables) = (VecDeque::new(), BTreeMap::new());
        let mut cluster = Cluster {
            now: 0.0,
            registry,
            publisher,
            instances,
            started: 0,
            tables,
        };
        (0..instance_count).for_each(|_| cluster.start());
        cluster.publisher.set_proxy_count(proxies as u32);
        for proxy in 0..proxies {
            let zone = format!("z{}", proxy % 3);
            cluster
                .publisher
                .proxy_connected(0.0, &format!("c{proxy}"), &zone, 10.0, false);
        }
        cluster.advance(12_000.0);
        cluster
    }

    fn start(&mut self) {
        let index = self.started;
        self.started += 1;
        let heartbeat = Heartbeat {
            incarnation: format!("i-{index}"),
            service: "a".into(),
            address: format!(
                "10.{}.{}.{}:80",
                index / 40_000,
                index / 200 % 200,
                index % 200 + 1
            )
            .parse()
            .unwrap(),
            zone: format!("z{}", index % 3),
            software_version: "v1".into(),
            slots: 4,
            draining: false,
            warm_up_ms: 0.0,
            sequence: 1,
        };
        self.registry.heartbeat(self.now, heartbeat.clone());
        self.instances.push_back(heartbeat);
    }

    /// Runs the work due now. Returns the number of tables published.
    fn run_due(&mut self) -> usize {
        self.registry.tick(self.now);
        self.publisher.sync(self.now, &self.registry);
        let mut published = 0;
        for output in self.publisher.tick(self.now) {
            if let PublisherOutput::Table {
                proxy,
                sequence,
                entries,
                ..
            } = output
            {
                self.publisher.tables_applied(&proxy, sequence);
                self.tables.insert(proxy, entries);
                published += 1;
            }
        }
        published
    }

    fn advance(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100.0;
            if (self.now as u64).is_multiple_of(1_000) {
                for heartbeat in &mut self.instances {
                    heartbeat.sequence += 1;
                    self.registry.heartbeat(self.now, heartbeat.clone());
                }
            }
            self.run_due();
        }
    }

    /// Adds one instance and drains one. Returns the tables published, the total and the longest tick in microseconds,
    /// and the allocations.
    fn revise(&mut self) -> (usize, f64, f64, f64) {
        self.advance(5_000.0);
        self.start();
        if let Some(mut oldest) = self.instances.pop_front() {
            (oldest.draining, oldest.sequence) = (true, oldest.sequence + 1);
            self.registry.heartbeat(self.now, oldest);
        }
        let (mut published, mut all_us, mut max_us, mut allocations) = (0, 0.0, 0.0, 0.0);
        for _ in 0..12 {
            self.now += 100.0;
            let (us, count) = measure(|| published += self.run_due());
            all_us += us;
            max_us = f64::max(max_us, us);
            allocations += count;
        }
        (published, all_us, max_us, allocations)
    }
}

/// Picks endpoints with up to `MAX_IN_FLIGHT` requests in flight.
fn picks(picker: &mut EndpointPicker, now_ms: &mut f64) {
    let mut in_flight = VecDeque::new();
    for _ in 0..PICKS {
        *now_ms += 2.0;
        let attempts = RequestAttempts::new(RouteKind::ReadOnly, 3, *now_ms + 1_000.0, 0.5);
        in_flight.extend(picker.pick("a", &attempts, RouteKind::ReadOnly, *now_ms));
        if in_flight.len() > MAX_IN_FLIGHT
            && let Some(pick) = in_flight.pop_front()
        {
            picker.record("a", pick, AttemptOutcome::Answered(200), 32.0, *now_ms);
        }
    }
    in_flight.into_iter().for_each(|pick| picker.cancel(pick));
}

/// Baseline: the less loaded of two random instances.
fn power_of_two_picks(pending: &mut [u32], rng: &mut ChaCha8Rng) {
    let mut in_flight = VecDeque::new();
    for _ in 0..PICKS {
        let candidates = [
            rng.random_range(0..pending.len()),
            rng.random_range(0..pending.len()),
        ];
        let [first, second] = candidates;
        let at = if pending[second] < pending[first] {
            second
        } else {
            first
        };
        pending[at] += 1;
        in_flight.push_back(black_box(at));
        if in_flight.len() > MAX_IN_FLIGHT
            && let Some(at) = in_flight.pop_front()
        {
            pending[at] -= 1;
        }
    }
    in_flight.into_iter().for_each(|at| pending[at] -= 1);
}

fn main() {
    println!(
        "instances proxies | entries | pick us, allocations | two choices us | revision us, longest tick us, tables, allocations"
    );
    for (instances, proxies) in [(33, 12), (33, 91), (450, 12), (450, 91)] {
        let mut cluster = Cluster::new(instances, proxies);
        let entries = cluster.tables.get("c0").cloned().unwrap_or_default();
        let total_entries: usize = cluster.tables.values().map(Vec::len).sum();
        let mut picker = EndpointPicker::new("z0", 1);
        picker.replace_table("a", entries);
        let (mut now_ms, mut rng) = (0.0, ChaCha8Rng::seed_from_u64(1));
        let mut pending = vec![0; instances];
        let (mut pick_us, mut pick_allocations, mut baseline_us) =
            (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let (us, count) = measure(|| picks(&mut picker, &mut now_ms));
            pick_us.push(us / PICKS as f64);
            pick_allocations.push(count / PICKS as f64);
            baseline_us
                .push(measure(|| power_of_two_picks(&mut pending, &mut rng)).0 / PICKS as f64);
        }
        let revisions: Vec<_> = (0..ROUNDS).map(|_| cluster.revise()).collect();
        println!(
            "{instances:>5} {proxies:>8} | {:>5.1} | {:.3}, {:.2} | {:.3} | {:.0}, {:.0}, {:.0}, {:.0}",
            total_entries as f64 / proxies as f64,
            median(pick_us),
            median(pick_allocations),
            median(baseline_us),
            median(revisions.iter().map(|r| r.1).collect()),
            median(revisions.iter().map(|r| r.2).collect()),
            median(revisions.iter().map(|r| r.0 as f64).collect()),
            median(revisions.iter().map(|r| r.3).collect()),
        );
    }
}
