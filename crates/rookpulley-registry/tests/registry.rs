//! Property tests: several registries receive the same updates in random order.

use rookpulley_registry::{
    Heartbeat, InstanceStatus, InstanceUpdate, Propagation, Registry, UpdateOutcome,
};
use rookpulley_samples::run_sized_cases;
use std::collections::BTreeSet;

const HEARTBEAT_MS: f64 = 1_500.0;
const CONTROLLERS: usize = 3;
const INCARNATIONS: usize = 8;

fn heartbeat(incarnation: usize, sequence: u64, draining: bool) -> Heartbeat {
    // Every two incarnations share an address, some of them across services.
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

fn live_incarnations(registry: &Registry) -> BTreeSet<String> {
    let both = registry
        .live_instances("a")
        .chain(registry.live_instances("b"));
    both.map(|heartbeat| heartbeat.incarnation.clone())
        .collect()
}

fn with_added_age(update: &InstanceUpdate, by_ms: f64) -> InstanceUpdate {
    let mut update = update.clone();
    match &mut update {
        InstanceUpdate::Heartbeat { age_ms, .. } | InstanceUpdate::Gone { age_ms, .. } => {
            *age_ms += by_ms
        }
        InstanceUpdate::Refreshed { incarnations } => incarnations
            .iter_mut()
            .for_each(|refresh| refresh.age_ms += by_ms),
    }
    update
}

enum Message {
    Heartbeat(Heartbeat),
    Leave(String),
    InstanceUpdate(InstanceUpdate, f64),
}

struct Cluster {
    now: f64,
    controllers: Vec<Registry>,
    in_transit: Vec<(usize, Message)>,
    /// Incarnations that each controller knows to be draining or gone.
    gone: Vec<BTreeSet<String>>,
}

impl Cluster {
    fn deliver(&mut self, at: usize) {
        let (to, message) = self.in_transit.swap_remove(at);
        let (now, controller) = (self.now, &mut self.controllers[to]);
        let (
            incarnation,
            UpdateOutcome {
                propagation,
                newly_draining,
            },
        ) = match message {
            Message::Heartbeat(heartbeat) => {
                let gone = heartbeat.draining.then(|| heartbeat.incarnation.clone());
                (gone, controller.heartbeat(now, heartbeat))
            }
            Message::Leave(incarnation) => {
                let outcome = controller.leave(now, &incarnation);
                (Some(incarnation), outcome)
            }
            Message::InstanceUpdate(update, sent_ms) => {
                let gone = match &update {
                    InstanceUpdate::Heartbeat { heartbeat, .. } => {
                        heartbeat.draining.then(|| heartbeat.incarnation.clone())
                    }
                    InstanceUpdate::Gone { incarnation, .. } => Some(incarnation.clone()),
                    InstanceUpdate::Refreshed { .. } => None,
                };
                (
                    gone,
                    controller.apply_update(now, &with_added_age(&update, now - sent_ms)),
                )
            }
        };
        assert_eq!(
            newly_draining.is_some(),
            incarnation.is_some_and(|incarnation| self.gone[to].insert(incarnation))
        );
        if let Propagation::Immediate(update) = propagation {
            self.broadcast(to, &update);
        }
    }

    fn broadcast(&mut self, from: usize, update: &InstanceUpdate) {
        let others = (0..CONTROLLERS).filter(|to| *to != from);
        self.in_transit
            .extend(others.map(|to| (to, Message::InstanceUpdate(update.clone(), self.now))));
    }

    fn check(&self) {
        for (controller, gone) in self.controllers.iter().zip(&self.gone) {
            let live = live_incarnations(controller);
            assert!(
                live.is_disjoint(gone),
                "a gone incarnation is live: {live:?}, {gone:?}"
            );
            let reported: BTreeSet<String> = controller.gone_incarnations().into_iter().collect();
            assert_eq!(reported, *gone);
            let addresses = controller
                .live_instances("a")
                .chain(controller.live_instances("b"))
                .map(|heartbeat| heartbeat.address);
            assert_eq!(
                addresses.collect::<BTreeSet<_>>().len(),
                live.len(),
                "two live incarnations share an address"
            );
        }
    }
}

/// Input length in bytes by run number.
fn input_length(n: u32) -> u32 {
    64 + n % 100 * 24
}

#[test]
fn controllers_converge_for_any_message_order_and_never_list_a_gone_incarnation() {
    run_sized_cases(300, input_length, |u| {
        let controllers = (0..CONTROLLERS)
            .map(|_| Registry::new(0.0, HEARTBEAT_MS, 2_500.0))
            .collect();
        let gone = vec![BTreeSet::new(); CONTROLLERS];
        let mut cluster = Cluster {
            now: 0.0,
            controllers,
            in_transit: Vec::new(),
            gone,
        };
        let (mut sequence, mut draining) = ([0; INCARNATIONS], [false; INCARNATIONS]);
        for _ in 0..u.int_in_range(10..=120)? {
            cluster.now += f64::from(u.int_in_range(1..=400)?);
            let incarnation = u.choose_index(INCARNATIONS)?;
            let to = u.choose_index(CONTROLLERS)?;
            match u.int_in_range(0..=9)? {
                0 => draining[incarnation] = true,
                1 if sequence[incarnation] > 0 => cluster
                    .in_transit
                    .push((to, Message::Leave(format!("i-{incarnation}")))),
                2 => {
                    let update = cluster.controllers[to].take_refreshes(cluster.now);
                    update
                        .iter()
                        .for_each(|update| cluster.broadcast(to, update));
                }
                3..=5 => {
                    sequence[incarnation] += 1;
                    cluster.in_transit.push((
                        to,
                        Message::Heartbeat(heartbeat(
                            incarnation,
                            sequence[incarnation],
                            draining[incarnation],
                        )),
                    ));
                }
                _ if !cluster.in_transit.is_empty() => {
                    let at = u.choose_index(cluster.in_transit.len())?;
                    cluster.deliver(at);
                }
                _ => {}
            }
            let now = cluster.now;
            cluster
                .controllers
                .iter_mut()
                .for_each(|controller| _ = controller.tick(now));
            cluster.check();
        }
        while !cluster.in_transit.is_empty() {
            let at = u.choose_index(cluster.in_transit.len()).unwrap_or(0);
            cluster.deliver(at);
        }
        for from in 0..CONTROLLERS {
            let now = cluster.now;
            let update = cluster.controllers[from].take_refreshes(now);
            let all = cluster.controllers[from].all_updates(now);
            update
                .iter()
                .chain(&all)
                .for_each(|update| cluster.broadcast(from, update));
            while !cluster.in_transit.is_empty() {
                cluster.deliver(0);
            }
        }
        let now = cluster.now;
        cluster
            .controllers
            .iter_mut()
            .for_each(|controller| _ = controller.tick(now));
        cluster.check();
        assert_eq!(
            live_incarnations(&cluster.controllers[0]),
            live_incarnations(&cluster.controllers[1])
        );
        assert_eq!(
            live_incarnations(&cluster.controllers[0]),
            live_incarnations(&cluster.controllers[2])
        );
        Ok(())
    });
}

#[test]
fn silent_incarnation_recovers_and_none_is_declared_silent_after_a_start_or_a_stall() {
    let mut controller = Registry::new(0.0, HEARTBEAT_MS, 2_500.0);
    let old = InstanceUpdate::Heartbeat {
        heartbeat: heartbeat(1, 1, false),
        age_ms: 9_000.0,
    };
    assert!(matches!(
        controller.apply_update(0.0, &old).propagation,
        Propagation::Immediate(_)
    ));
    let tick_range = |controller: &mut Registry, from: u32, to: u32| {
        (from..to)
            .step_by(100)
            .flat_map(|at| controller.tick(f64::from(at)))
            .collect::<Vec<_>>()
    };
    assert_eq!(tick_range(&mut controller, 100, 3_000), [""; 0]);
    assert!(controller.is_settling(2_999.0) && live_incarnations(&controller).len() == 1);
    assert_eq!(tick_range(&mut controller, 3_000, 3_200), ["i-1"]);
    assert_eq!(controller.status("i-1"), InstanceStatus::Silent);
    assert!(matches!(
        controller
            .heartbeat(3_200.0, heartbeat(1, 2, false))
            .propagation,
        Propagation::Immediate(_)
    ));
    assert_eq!(live_incarnations(&controller).len(), 1);
    assert_eq!(tick_range(&mut controller, 3_300, 8_200), [""; 0]);
    // The controller stalls; heartbeats of that period are still pending.
    assert_eq!(controller.tick(12_000.0), [""; 0]);
    assert!(controller.is_settling(12_000.0));
    assert_eq!(tick_range(&mut controller, 12_100, 15_000), [""; 0]);
    assert_eq!(tick_range(&mut controller, 15_000, 15_200), ["i-1"]);
}

#[test]
fn incarnation_reported_gone_by_a_proxy_is_never_listed_after_a_restart() {
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
    assert!(live_incarnations(&controller).is_empty());
}

#[test]
fn isolated_controller_rejects_heartbeats_after_settling_and_the_grace_period() {
    let mut registry = Registry::new(0.0, 1_000.0, 2_500.0);
    registry.set_has_majority(1_900.0, false);
    assert!(registry.accepts_heartbeats(3_400.0));
    registry.set_has_majority(2_100.0, false);
    assert!(!registry.accepts_heartbeats(3_401.0));
    registry.set_has_majority(3_402.0, true);
    assert!(registry.accepts_heartbeats(3_403.0));
}
