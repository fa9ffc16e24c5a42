//! Several registries, each told a part, in orders of chance.

use rookpulley_registry::{
    Heartbeat, InstanceStatus, InstanceUpdate, Propagation, Registry, UpdateOutcome,
};
use rookpulley_samples::run_sized_cases;
use std::collections::BTreeSet;

const HEARTBEAT_MS: f64 = 1_500.0;
const CONTROLLERS: usize = 3;
const INCARNATIONS: usize = 8;

fn heartbeat(incarnation: usize, sequence: u64, draining: bool) -> Heartbeat {
    // Two incarnations share each address, and some of these pairs are of different services.
    let address = format!("10.0.0.{}:80", incarnation / 2 + 1)
        .parse()
        .unwrap();
    let service = if incarnation.is_multiple_of(3) {
        "a"
    } else {
        "b"
    };
    Heartbeat {
        incarnation: format!("i-{incarnation}"),
        service: service.into(),
        address,
        zone: "z".into(),
        software_version: "v1".into(),
        slots: 4,
        draining,
        warm_up_ms: 0.0,
        sequence,
    }
}

fn listed(registry: &Registry) -> BTreeSet<String> {
    let both = registry
        .live_instances("a")
        .chain(registry.live_instances("b"));
    both.map(|heartbeat| heartbeat.incarnation.clone())
        .collect()
}

fn aged(news: &InstanceUpdate, by_ms: f64) -> InstanceUpdate {
    let mut news = news.clone();
    match &mut news {
        InstanceUpdate::Heartbeat { age_ms, .. } | InstanceUpdate::Gone { age_ms, .. } => {
            *age_ms += by_ms
        }
        InstanceUpdate::Refreshed { incarnations } => incarnations
            .iter_mut()
            .for_each(|still| still.age_ms += by_ms),
    }
    news
}

enum Way {
    Heartbeat(Heartbeat),
    Leave(String),
    InstanceUpdate(InstanceUpdate, f64),
}

struct World {
    now: f64,
    controllers: Vec<Registry>,
    on_the_way: Vec<(usize, Way)>,
    /// By controller, the incarnations that it has been told drain or are gone.
    gone: Vec<BTreeSet<String>>,
}

impl World {
    fn deliver(&mut self, at: usize) {
        let (to, way) = self.on_the_way.swap_remove(at);
        let (now, controller) = (self.now, &mut self.controllers[to]);
        let (
            incarnation,
            UpdateOutcome {
                propagation: word,
                newly_draining,
            },
        ) = match way {
            Way::Heartbeat(heartbeat) => {
                let gone = heartbeat.draining.then(|| heartbeat.incarnation.clone());
                (gone, controller.heartbeat(now, heartbeat))
            }
            Way::Leave(incarnation) => {
                let outcome = controller.leave(now, &incarnation);
                (Some(incarnation), outcome)
            }
            Way::InstanceUpdate(news, sent_ms) => {
                let gone = match &news {
                    InstanceUpdate::Heartbeat { heartbeat, .. } => {
                        heartbeat.draining.then(|| heartbeat.incarnation.clone())
                    }
                    InstanceUpdate::Gone { incarnation, .. } => Some(incarnation.clone()),
                    InstanceUpdate::Refreshed { .. } => None,
                };
                (
                    gone,
                    controller.apply_update(now, &aged(&news, now - sent_ms)),
                )
            }
        };
        assert_eq!(
            newly_draining.is_some(),
            incarnation.is_some_and(|incarnation| self.gone[to].insert(incarnation))
        );
        if let Propagation::Immediate(news) = word {
            self.spread(to, &news);
        }
    }

    fn spread(&mut self, from: usize, news: &InstanceUpdate) {
        let others = (0..CONTROLLERS).filter(|to| *to != from);
        self.on_the_way
            .extend(others.map(|to| (to, Way::InstanceUpdate(news.clone(), self.now))));
    }

    fn check(&self) {
        for (controller, gone) in self.controllers.iter().zip(&self.gone) {
            let listed = listed(controller);
            assert!(
                listed.is_disjoint(gone),
                "a gone life is listed: {listed:?}, {gone:?}"
            );
            let kept: BTreeSet<String> = controller.gone_incarnations().into_iter().collect();
            assert_eq!(kept, *gone);
            let places = controller
                .live_instances("a")
                .chain(controller.live_instances("b"))
                .map(|heartbeat| heartbeat.address);
            assert_eq!(
                places.collect::<BTreeSet<_>>().len(),
                listed.len(),
                "one address, two incarnations"
            );
        }
    }
}

/// Longer and longer runs.
fn longer(n: u32) -> u32 {
    64 + n % 100 * 24
}

#[test]
fn controllers_that_heard_the_same_in_any_order_agree_and_list_no_gone_incarnation() {
    run_sized_cases(300, longer, |u| {
        let controllers = (0..CONTROLLERS)
            .map(|_| Registry::new(0.0, HEARTBEAT_MS, 2_500.0))
            .collect();
        let gone = vec![BTreeSet::new(); CONTROLLERS];
        let mut world = World {
            now: 0.0,
            controllers,
            on_the_way: Vec::new(),
            gone,
        };
        let (mut sequence, mut draining) = ([0; INCARNATIONS], [false; INCARNATIONS]);
        for _ in 0..u.int_in_range(10..=120)? {
            world.now += f64::from(u.int_in_range(1..=400)?);
            let incarnation = u.choose_index(INCARNATIONS)?;
            let to = u.choose_index(CONTROLLERS)?;
            match u.int_in_range(0..=9)? {
                0 => draining[incarnation] = true,
                1 if sequence[incarnation] > 0 => world
                    .on_the_way
                    .push((to, Way::Leave(format!("i-{incarnation}")))),
                2 => {
                    let news = world.controllers[to].take_refreshes(world.now);
                    news.iter().for_each(|news| world.spread(to, news));
                }
                3..=5 => {
                    sequence[incarnation] += 1;
                    world.on_the_way.push((
                        to,
                        Way::Heartbeat(heartbeat(
                            incarnation,
                            sequence[incarnation],
                            draining[incarnation],
                        )),
                    ));
                }
                _ if !world.on_the_way.is_empty() => {
                    let at = u.choose_index(world.on_the_way.len())?;
                    world.deliver(at);
                }
                _ => {}
            }
            let now = world.now;
            world
                .controllers
                .iter_mut()
                .for_each(|controller| _ = controller.tick(now));
            world.check();
        }
        while !world.on_the_way.is_empty() {
            let at = u.choose_index(world.on_the_way.len()).unwrap_or(0);
            world.deliver(at);
        }
        for from in 0..CONTROLLERS {
            let now = world.now;
            let news = world.controllers[from].take_refreshes(now);
            let all = world.controllers[from].all_updates(now);
            news.iter()
                .chain(&all)
                .for_each(|news| world.spread(from, news));
            while !world.on_the_way.is_empty() {
                world.deliver(0);
            }
        }
        let now = world.now;
        world
            .controllers
            .iter_mut()
            .for_each(|controller| _ = controller.tick(now));
        world.check();
        assert_eq!(listed(&world.controllers[0]), listed(&world.controllers[1]));
        assert_eq!(listed(&world.controllers[0]), listed(&world.controllers[2]));
        Ok(())
    });
}

#[test]
fn a_silent_incarnation_leaves_and_comes_back_and_nobody_is_silent_to_one_that_settles_or_slept() {
    let mut controller = Registry::new(0.0, HEARTBEAT_MS, 2_500.0);
    let old = InstanceUpdate::Heartbeat {
        heartbeat: heartbeat(1, 1, false),
        age_ms: 9_000.0,
    };
    assert!(matches!(
        controller.apply_update(0.0, &old).propagation,
        Propagation::Immediate(_)
    ));
    let pass = |controller: &mut Registry, from: u32, to: u32| {
        (from..to)
            .step_by(100)
            .flat_map(|at| controller.tick(f64::from(at)))
            .collect::<Vec<_>>()
    };
    assert_eq!(pass(&mut controller, 100, 3_000), [""; 0]);
    assert!(controller.is_settling(2_999.0) && listed(&controller).len() == 1);
    assert_eq!(pass(&mut controller, 3_000, 3_200), ["i-1"]);
    assert_eq!(controller.status("i-1"), InstanceStatus::Silent);
    assert!(matches!(
        controller
            .heartbeat(3_200.0, heartbeat(1, 2, false))
            .propagation,
        Propagation::Immediate(_)
    ));
    assert_eq!(listed(&controller).len(), 1);
    assert_eq!(pass(&mut controller, 3_300, 8_200), [""; 0]);
    // It sleeps, and the heartbeats of that time wait for it.
    assert_eq!(controller.tick(12_000.0), [""; 0]);
    assert!(controller.is_settling(12_000.0));
    assert_eq!(pass(&mut controller, 12_100, 15_000), [""; 0]);
    assert_eq!(pass(&mut controller, 15_000, 15_200), ["i-1"]);
}

#[test]
fn what_a_proxy_knows_to_be_gone_is_never_listed_by_a_controller_that_starts_anew() {
    let mut controller = Registry::new(0.0, HEARTBEAT_MS, 2_500.0);
    let gone = ["i-1".to_string(), "i-2".to_string()];
    assert_eq!(controller.apply_gone(0.0, &gone), gone);
    assert_eq!(controller.apply_gone(1.0, &gone), [""; 0]);
    assert_eq!(
        controller
            .heartbeat(2.0, heartbeat(1, 7, false))
            .propagation,
        Propagation::Stale
    );
    assert!(listed(&controller).is_empty());
}

#[test]
fn a_controller_out_of_touch_takes_heartbeats_only_for_a_while_after_it_has_settled() {
    let mut registry = Registry::new(0.0, 1_000.0, 2_500.0);
    registry.set_in_touch(1_900.0, false);
    assert!(registry.accepts_heartbeats(3_400.0));
    registry.set_in_touch(2_100.0, false);
    assert!(!registry.accepts_heartbeats(3_401.0));
    registry.set_in_touch(3_402.0, true);
    assert!(registry.accepts_heartbeats(3_403.0));
}
