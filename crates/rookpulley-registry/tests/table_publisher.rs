//! A registry and a desk with tasks and proxies of chance.

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
struct Task {
    heartbeat: Heartbeat,
    due_ms: f64,
}

/// What a proxy holds of a service.
#[derive(Clone, Default)]
struct Held {
    lines: Vec<TableEntry>,
    at_ms: f64,
}

struct World {
    now: f64,
    registry: Registry,
    publisher: TablePublisher,
    tasks: Vec<Task>,
    proxies: BTreeSet<String>,
    held: BTreeMap<(String, String), Held>,
    incarnations: usize,
    log: Vec<String>,
}

impl World {
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
            tasks: Vec::new(),
            proxies: BTreeSet::new(),
            held: BTreeMap::new(),
            incarnations: 0,
            log: Vec::new(),
        }
    }

    fn start(&mut self, service: &str, place: usize, warm_up_ms: f64) -> String {
        self.incarnations += 1;
        let incarnation = format!("i-{}", self.incarnations);
        let address = format!("10.0.{}.{}:80", place / 200, place % 200 + 1)
            .parse()
            .unwrap();
        // A new incarnation at a place means that the one before has ended.
        self.tasks.retain(|task| task.heartbeat.address != address);
        let heartbeat = Heartbeat {
            incarnation: incarnation.clone(),
            service: service.into(),
            address,
            zone: format!("z{}", place % 3),
            software_version: "v1".into(),
            slots: 4 + (place % 3) as u16,
            draining: false,
            warm_up_ms,
            sequence: 0,
        };
        self.tasks.push(Task {
            heartbeat,
            due_ms: self.now,
        });
        incarnation
    }

    fn drain(&mut self, incarnation: &str) {
        for task in self
            .tasks
            .iter_mut()
            .filter(|task| task.heartbeat.incarnation == incarnation)
        {
            (task.heartbeat.draining, task.due_ms) = (true, self.now);
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

    /// One step of time: heartbeats that are due, a tick, and what goes out is taken.
    fn step(&mut self) {
        self.now += STEP_MS;
        for task in self.tasks.iter_mut().filter(|task| task.due_ms <= self.now) {
            task.due_ms = self.now + HEARTBEAT_MS;
            task.heartbeat.sequence += 1;
            self.registry.heartbeat(self.now, task.heartbeat.clone());
            task.heartbeat.warm_up_ms = (task.heartbeat.warm_up_ms - HEARTBEAT_MS).max(0.0);
        }
        self.registry.tick(self.now);
        self.publisher.sync(self.now, &self.registry);
        for out in self.publisher.tick(self.now) {
            match out {
                PublisherOutput::Table {
                    proxy,
                    service,
                    sequence: mark,
                    entries: lines,
                    ..
                } => {
                    self.check_sent(&proxy, &service, &lines);
                    self.publisher.tables_applied(&proxy, mark);
                    self.held.insert(
                        (proxy, service),
                        Held {
                            lines,
                            at_ms: self.now,
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

    fn gone(&self, line: &TableEntry) -> bool {
        !matches!(
            self.registry.status(&line.incarnation),
            InstanceStatus::Live | InstanceStatus::Silent
        )
    }

    fn check_sent(&self, proxy: &str, service: &str, lines: &[TableEntry]) {
        assert!(
            self.proxies.contains(proxy),
            "a table for a proxy that is out"
        );
        let live: BTreeMap<_, _> = self
            .registry
            .live_instances(service)
            .map(|b| (&b.incarnation, b.address))
            .collect();
        let named: BTreeSet<_> = lines.iter().map(|line| &line.incarnation).collect();
        assert_eq!(named.len(), lines.len());
        let before = self.incarnations_held(proxy, service);
        for line in lines {
            // One that is merely silent may stay where there is nothing better, and is never new.
            let silent = self.registry.status(&line.incarnation) == InstanceStatus::Silent;
            let kept = silent && before.contains(&line.incarnation);
            assert!(
                live.get(&line.incarnation) == Some(&line.address) || kept,
                "{line:?} is not live"
            );
            assert!(line.weight > 0.0);
        }
        if let Some(held) = self.held.get(&(proxy.into(), service.into())) {
            let urgent = held.lines.is_empty() || held.lines.iter().any(|line| self.gone(line));
            let pace_ms = if self.registry.is_settling(self.now) {
                300.0
            } else {
                1_000.0
            };
            assert!(
                urgent || self.now - held.at_ms >= pace_ms - 1.0,
                "tables change too often"
            );
            assert_ne!(held.lines, lines, "the same table again");
        }
    }

    fn check_held(&self) {
        for (of, held) in &self.held {
            let gone: Vec<_> = held.lines.iter().filter(|line| self.gone(line)).collect();
            // Lines of which none is any good are as bad as no lines.
            let settling = self.registry.is_settling(self.now) && gone.len() == held.lines.len();
            assert!(gone.is_empty() || settling, "{of:?} still holds {gone:?}");
        }
    }

    /// Each proxy reports tries at all that it holds.
    fn report(&mut self, tries: u32, bad: u32) {
        self.report_of(tries, |_| bad);
    }

    fn report_of(&mut self, tries: u32, bad: impl Fn(&str) -> u32) {
        for ((proxy, service), held) in &self.held {
            let mean_ms = 20.0;
            let task = |l: &TableEntry| InstanceLoad {
                incarnation: l.incarnation.clone(),
                attempts: tries,
                failed: bad(&l.incarnation),
                mean_ms,
            };
            let tasks: Vec<_> = held.lines.iter().map(task).collect();
            let came = tries * tasks.len() as u32;
            let of = ServiceLoad {
                service: service.clone(),
                received: came,
                failed: 0,
                instances: tasks,
            };
            self.publisher.report(
                proxy,
                &LoadReport {
                    span_ms: 1_000,
                    services: vec![of],
                },
            );
        }
    }

    fn incarnations_held(&self, proxy: &str, service: &str) -> BTreeSet<String> {
        let held = self.held.get(&(proxy.into(), service.into()));
        held.into_iter()
            .flat_map(|h| &h.lines)
            .map(|line| line.incarnation.clone())
            .collect()
    }

    fn act(&mut self, u: &mut Unstructured) -> Result<()> {
        let some = if self.tasks.is_empty() {
            None
        } else {
            Some(u.choose_index(self.tasks.len())?)
        };
        match (u.int_in_range(0..=11)?, some) {
            (0..=2, _) => {
                let service = *u.choose(&["a", "b"])?;
                let place = u.choose_index(12)?;
                let cold_ms = *u.choose(&[0.0, 2_000.0, 8_000.0])?;
                self.start(service, place, cold_ms);
            }
            (3, Some(at)) => {
                let incarnation = self.tasks[at].heartbeat.incarnation.clone();
                self.drain(&incarnation);
            }
            (4, Some(at)) => {
                let task = self.tasks.swap_remove(at);
                self.registry.leave(self.now, &task.heartbeat.incarnation);
            }
            // Its heartbeats stop for a while, or for good.
            (5, Some(at)) => {
                self.tasks[at].due_ms = self.now + f64::from(u.int_in_range(1..=9)?) * 1e3
            }
            (6, Some(at)) => _ = self.tasks.swap_remove(at),
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
                let bad = u.int_in_range(0..=10)?;
                self.report(10, bad);
            }
        }
        Ok(())
    }
}

/// Longer and longer runs.
fn longer(n: u32) -> u32 {
    64 + n % 100 * 24
}

#[test]
fn tables_name_live_tasks_alone_and_lose_a_drained_one_with_the_next_tick() {
    run_sized_cases(60, longer, |u| {
        let mut world = World::new(&["a", "b"], 130);
        for _ in 0..u.int_in_range(5..=60)? {
            world.act(u)?;
            world.steps(u.int_in_range(1..=8)?);
        }
        // Once all is calm for longer than anybody is held out, every task is in a table of somebody.
        world.proxy_connected("c9");
        (0..40).for_each(|_| {
            world.report(10, 0);
            world.steps(10);
        });
        for service in ["a", "b"] {
            let live: BTreeSet<String> = world
                .registry
                .live_instances(service)
                .map(|b| b.incarnation.clone())
                .collect();
            let held: BTreeSet<String> = world
                .proxies
                .iter()
                .flat_map(|proxy| world.incarnations_held(proxy, service))
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
fn a_small_zone_is_open_to_all_its_proxies_and_a_large_one_in_parts() {
    for (tasks, proxies, most, least) in [(25, 12, 130, 8), (419, 91, 610, 24)] {
        let mut world = World::new(&["a"], most);
        (0..tasks).for_each(|place| _ = world.start("a", place, 0.0));
        (0..proxies).for_each(|n| world.proxy_in_zone(&format!("c{n}"), &format!("z{}", n % 3)));
        world.steps(100);
        let mut reach = BTreeMap::<String, usize>::new();
        for held in world.held.values() {
            let count = held.lines.len();
            assert!((least..=110).contains(&count), "{count} lines of {tasks}");
            held.lines
                .iter()
                .for_each(|line| *reach.entry(line.incarnation.clone()).or_default() += 1);
        }
        assert_eq!((world.held.len(), reach.len()), (proxies, tasks));
        let mean = reach.values().sum::<usize>() / tasks;
        assert!(
            reach.values().all(|count| *count >= mean / 2),
            "{mean}: {reach:?}"
        );
    }
}

/// What each zone's proxies send where, as shares of what all bring, where each brings as much.
fn flows(world: &World) -> BTreeMap<(String, String), f64> {
    let mut flows = BTreeMap::new();
    for ((proxy, _), held) in &world.held {
        let from = format!("z{}", proxy.rsplit('z').next().unwrap());
        let all: f64 = held.lines.iter().map(|line| f64::from(line.weight)).sum();
        for line in &held.lines {
            *flows
                .entry((from.clone(), line.zone.clone()))
                .or_insert(0.0) += f64::from(line.weight) / all / world.held.len() as f64;
        }
    }
    flows
}

#[test]
fn arcs_stay_in_their_proxies_zone_as_far_as_it_has_room_and_the_rest_goes_where_room_is() {
    // Proxies by zone; tasks stand evenly in z0, z1 and z2.
    for (proxies, home) in [
        ([4, 4, 4], [0.33, 0.33, 0.33]),
        ([9, 3, 0], [0.33, 0.25, 0.0]),
    ] {
        let mut world = World::new(&["a"], 610);
        (0..90).for_each(|place| _ = world.start("a", place, 0.0));
        for (zone, count) in proxies.iter().enumerate() {
            (0..*count)
                .for_each(|n| world.proxy_in_zone(&format!("c{n}z{zone}"), &format!("z{zone}")));
        }
        world.steps(100);
        let flows = flows(&world);
        let into = |zone: &str| -> f64 {
            flows
                .iter()
                .filter(|((_, to), _)| to == zone)
                .map(|(_, f)| f)
                .sum()
        };
        for (zone, wanted) in home.iter().enumerate() {
            let zone = format!("z{zone}");
            let stays = flows
                .get(&(zone.clone(), zone.clone()))
                .copied()
                .unwrap_or(0.0);
            assert!(
                (stays - wanted).abs() < 0.08,
                "{proxies:?}: {stays} of {zone} stay, of {flows:?}"
            );
            assert!(
                (0.2..0.5).contains(&into(&zone)),
                "{proxies:?}: {} go to {zone}",
                into(&zone)
            );
        }
    }
}

/// As it is at a start: proxies call before most tasks have been heard of.
#[test]
fn tasks_that_come_after_the_proxies_are_in_as_many_tables_as_those_that_came_before() {
    for (tasks, proxies) in [(29, 91), (419, 91), (25, 12)] {
        let mut world = World::new(&["a"], 610);
        (0..proxies).for_each(|n| world.proxy_connected(&format!("c{n}")));
        for place in 0..tasks {
            world.start("a", place, 0.0);
            if place % (tasks / 15 + 1) == 0 {
                world.step();
            }
        }
        world.steps(140);
        let mut reach = BTreeMap::<String, usize>::new();
        let lines = world.held.values().flat_map(|held| &held.lines);
        lines.for_each(|line| *reach.entry(line.incarnation.clone()).or_default() += 1);
        let mean = reach.values().sum::<usize>() / tasks;
        assert_eq!(reach.len(), tasks, "{reach:?}");
        assert!(
            reach
                .values()
                .all(|count| (mean / 3..=3 * mean).contains(count)),
            "{mean}: {reach:?}"
        );
    }
}

#[test]
fn a_table_that_fails_is_tainted_and_the_one_before_comes_back_without_what_drains() {
    let mut world = World::new(&["a"], 130);
    let incarnations: Vec<String> = (0..4).map(|place| world.start("a", place, 0.0)).collect();
    world.proxy_connected("c0");
    for _ in 0..10 {
        world.report(20, 0);
        world.steps(10);
    }
    assert_eq!(world.incarnations_held("c0", "a").len(), 4);
    let before = world.publisher.tables()[0].revision;
    let new = world.start("a", 4, 0.0);
    world.drain(&incarnations[0]);
    world.steps(15);
    let held = world.incarnations_held("c0", "a");
    assert!(
        held.contains(&new) && !held.contains(&incarnations[0]) && held.len() == 4,
        "{held:?}"
    );
    assert_ne!(world.publisher.tables()[0].revision, before);
    for _ in 0..10 {
        world.report(20, 3);
        world.steps(10);
    }
    let held = world.incarnations_held("c0", "a");
    assert_eq!(
        held.iter().collect::<Vec<_>>(),
        [&incarnations[1], &incarnations[2], &incarnations[3]],
        "{:?}",
        world.log
    );
    assert!(
        world
            .log
            .iter()
            .any(|text| text.contains("tainted, rolled back")),
        "{:?}",
        world.log
    );
}

#[test]
fn revisions_that_follow_each_other_faster_than_any_is_judged_are_tainted_together() {
    let mut world = World::new(&["a"], 130);
    let incarnations: Vec<String> = (0..12).map(|place| world.start("a", place, 0.0)).collect();
    world.proxy_connected("c0");
    for _ in 0..10 {
        world.report(20, 0);
        world.steps(10);
    }
    let mut bad = BTreeSet::new();
    for (place, oldest) in incarnations.iter().enumerate().take(3) {
        bad.insert(world.start("a", 12 + place, 0.0));
        world.drain(oldest);
        world.steps(10);
        world.report_of(
            20,
            |incarnation| if bad.contains(incarnation) { 8 } else { 0 },
        );
    }
    let released = world.incarnations_held("c0", "a");
    assert!(
        bad.is_subset(&released) && released.len() == 12,
        "{released:?}"
    );
    for _ in 0..4 {
        world.steps(10);
        world.report_of(
            20,
            |incarnation| if bad.contains(incarnation) { 8 } else { 0 },
        );
    }
    let held = world.incarnations_held("c0", "a");
    assert_eq!(
        held,
        incarnations[3..].iter().cloned().collect(),
        "{:?}",
        world.log
    );
    assert!(
        world
            .log
            .iter()
            .any(|text| text.contains("tainted, rolled back")),
        "{:?}",
        world.log
    );
}

#[test]
fn one_that_holds_tables_gets_none_from_a_controller_that_is_still_settling() {
    let mut world = World::new(&["a"], 130);
    world.start("a", 0, 0.0);
    world.publisher.proxy_connected(0.0, "old", "z0", 1.0, true);
    world.proxies.insert("old".into());
    world.proxy_connected("new");
    world.steps(25);
    assert_eq!(world.incarnations_held("new", "a").len(), 1);
    assert_eq!(world.incarnations_held("old", "a").len(), 0);
    world.steps(10);
    assert_eq!(world.incarnations_held("old", "a").len(), 1);
}

#[test]
fn the_last_known_tasks_stay_while_they_are_merely_silent() {
    let mut world = World::new(&["a"], 130);
    let incarnation = world.start("a", 0, 0.0);
    world.proxy_connected("c0");
    world.steps(40);
    world.tasks.clear();
    world.steps(100);
    assert_eq!(world.registry.status(&incarnation), InstanceStatus::Silent);
    assert_eq!(world.incarnations_held("c0", "a").len(), 1);
    world.registry.leave(world.now, &incarnation);
    world.step();
    assert_eq!(world.incarnations_held("c0", "a").len(), 0);
}
