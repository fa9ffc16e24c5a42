//! What a pick and a revision cost by the size of the fleet: microseconds and allocations, medians of rounds.
//!
//!     cargo run --release -p rookpulley-registry --example pick_cost
//!
//! A pick is measured with its end, on the tables that a desk cuts for one proxy; beside it, in the same rounds, the
//! least busy of two tasks drawn from the whole fleet. A revision is what one task more and one less cost the desk,
//! until all tables that change are cut.

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
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 31;
/// Few enough for a round to pass between two turns of a busy processor.
const PICKS: usize = 400;
const UNDER_WAY: usize = 16;

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

/// Microseconds and allocations.
fn measured(what: impl FnOnce()) -> (f64, f64) {
    let (begun, region) = (Instant::now(), Region::new(COUNTED));
    what();
    let us = begun.elapsed().as_nanos() as f64 / 1e3;
    (us, region.change().allocations as f64)
}

struct Site {
    now: f64,
    registry: Registry,
    publisher: TablePublisher,
    tasks: VecDeque<Heartbeat>,
    born: usize,
    tables: BTreeMap<String, Vec<TableEntry>>,
}

impl Site {
    fn new(tasks: usize, proxies: usize) -> Site {
        let mut publisher = TablePublisher::new(7);
        publisher.set_services(&[Service {
            name: "a".into(),
            max_connections: 610,
            latency_target_ms: 250.0,
        }]);
        let registry = Registry::new(0.0, 1_500.0, 2_500.0);
        let (tasks_there, tables) = (VecDeque::new(), BTreeMap::new());
        let mut site = Site {
            now: 0.0,
            registry,
            publisher,
            tasks: tasks_there,
            born: 0,
            tables,
        };
        (0..tasks).for_each(|_| site.start());
        site.publisher.set_proxy_count(proxies as u32);
        for proxy in 0..proxies {
            let zone = format!("z{}", proxy % 3);
            site.publisher
                .proxy_connected(0.0, &format!("c{proxy}"), &zone, 10.0, false);
        }
        site.passes(12_000.0);
        site
    }

    fn start(&mut self) {
        let place = self.born;
        self.born += 1;
        let heartbeat = Heartbeat {
            incarnation: format!("i-{place}"),
            service: "a".into(),
            address: format!(
                "10.{}.{}.{}:80",
                place / 40_000,
                place / 200 % 200,
                place % 200 + 1
            )
            .parse()
            .unwrap(),
            zone: format!("z{}", place % 3),
            software_version: "v1".into(),
            slots: 4,
            draining: false,
            warm_up_ms: 0.0,
            sequence: 1,
        };
        self.registry.heartbeat(self.now, heartbeat.clone());
        self.tasks.push_back(heartbeat);
    }

    /// All that is due at this moment; gives how many tables were cut.
    fn due(&mut self) -> usize {
        self.registry.tick(self.now);
        self.publisher.sync(self.now, &self.registry);
        let mut cut = 0;
        for out in self.publisher.tick(self.now) {
            if let PublisherOutput::Table {
                proxy,
                sequence: mark,
                entries: lines,
                ..
            } = out
            {
                self.publisher.tables_applied(&proxy, mark);
                self.tables.insert(proxy, lines);
                cut += 1;
            }
        }
        cut
    }

    fn passes(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100.0;
            if (self.now as u64).is_multiple_of(1_000) {
                for heartbeat in &mut self.tasks {
                    heartbeat.sequence += 1;
                    self.registry.heartbeat(self.now, heartbeat.clone());
                }
            }
            self.due();
        }
    }

    /// One task more and one less, until their tables are cut: what was cut, and what the dearest moment and all cost.
    fn revision(&mut self) -> (usize, f64, f64, f64) {
        self.passes(5_000.0);
        self.start();
        if let Some(mut oldest) = self.tasks.pop_front() {
            (oldest.draining, oldest.sequence) = (true, oldest.sequence + 1);
            self.registry.heartbeat(self.now, oldest);
        }
        let (mut cut, mut all_us, mut dearest_us, mut allocations) = (0, 0.0, 0.0, 0.0);
        for _ in 0..12 {
            self.now += 100.0;
            let (us, count) = measured(|| cut += self.due());
            all_us += us;
            dearest_us = f64::max(dearest_us, us);
            allocations += count;
        }
        (cut, all_us, dearest_us, allocations)
    }
}

/// Picks one after the other, so many under way all the time.
fn picks(picker: &mut EndpointPicker, now_ms: &mut f64) {
    let mut flying = VecDeque::new();
    for _ in 0..PICKS {
        *now_ms += 2.0;
        let attempts = RequestAttempts::new(RouteKind::ReadOnly, 3, *now_ms + 1_000.0, 0.5);
        flying.extend(picker.pick("a", &attempts, RouteKind::ReadOnly, *now_ms));
        if flying.len() > UNDER_WAY
            && let Some(pick) = flying.pop_front()
        {
            picker.record("a", pick, AttemptOutcome::Answered(200), 32.0, *now_ms);
        }
    }
    flying.into_iter().for_each(|pick| picker.cancel(pick));
}

/// The same by the least busy of two, of all tasks.
fn plain(waiting: &mut [u32], chance: &mut ChaCha8Rng) {
    let mut flying = VecDeque::new();
    for _ in 0..PICKS {
        let two = [
            chance.random_range(0..waiting.len()),
            chance.random_range(0..waiting.len()),
        ];
        let [one, other] = two;
        let at = if waiting[other] < waiting[one] {
            other
        } else {
            one
        };
        waiting[at] += 1;
        flying.push_back(black_box(at));
        if flying.len() > UNDER_WAY
            && let Some(at) = flying.pop_front()
        {
            waiting[at] -= 1;
        }
    }
    flying.into_iter().for_each(|at| waiting[at] -= 1);
}

fn main() {
    println!(
        "tasks proxies | lines | pick us, allocations | least of two us | revision us, at most at once, tables, allocations"
    );
    for (tasks, proxies) in [(33, 12), (33, 91), (450, 12), (450, 91)] {
        let mut site = Site::new(tasks, proxies);
        let lines = site.tables.get("c0").cloned().unwrap_or_default();
        let held: usize = site.tables.values().map(Vec::len).sum();
        let mut picker = EndpointPicker::new("z0", 1);
        picker.replace_table("a", lines);
        let (mut now_ms, mut chance) = (0.0, ChaCha8Rng::seed_from_u64(1));
        let mut waiting = vec![0; tasks];
        let (mut pick_us, mut pick_allocations, mut plain_us) =
            (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let (us, count) = measured(|| picks(&mut picker, &mut now_ms));
            pick_us.push(us / PICKS as f64);
            pick_allocations.push(count / PICKS as f64);
            plain_us.push(measured(|| plain(&mut waiting, &mut chance)).0 / PICKS as f64);
        }
        let revisions: Vec<_> = (0..ROUNDS).map(|_| site.revision()).collect();
        println!(
            "{tasks:>5} {proxies:>8} | {:>5.1} | {:.3}, {:.2} | {:.3} | {:.0}, {:.0}, {:.0}, {:.0}",
            held as f64 / proxies as f64,
            median(pick_us),
            median(pick_allocations),
            median(plain_us),
            median(revisions.iter().map(|of| of.1).collect()),
            median(revisions.iter().map(|of| of.2).collect()),
            median(revisions.iter().map(|of| of.0 as f64).collect()),
            median(revisions.iter().map(|of| of.3).collect()),
        );
    }
}
