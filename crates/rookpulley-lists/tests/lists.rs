//! Edge cases of list validation and merging, and properties over random sequences of lists.

use proptest::prelude::*;
use rookpulley::interface::Stage;
use rookpulley_lists::membership::Effect;
use rookpulley_lists::*;
use std::collections::BTreeMap;

const NOW: f64 = 1e12;
const GRACE_MS: f64 = 2_000.0;

fn deployment() -> Deployment {
    let kind = |name: &str, zones: &[&str], own_zone| Kind {
        name: name.into(),
        zones: zones.iter().map(|z| z.to_string()).collect(),
        machines: Vec::new(),
        own_zone,
    };
    Deployment {
        zones: vec!["a".into(), "b".into()],
        machines: vec!["m".into()],
        kinds: vec![kind("view", &[], false), kind("book", &["a"], false)],
    }
}

fn entry(n: usize, zone: &str, weight: f64) -> Entry {
    Entry {
        name: format!("s-{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: zone.into(),
        machine: "m".into(),
        weight,
        place: Some((n + 1, 1)),
        ..Entry::default()
    }
}

fn four_servers(generation: u64) -> Candidate {
    let entries = (1..=4)
        .map(|n| entry(n, if n < 3 { "a" } else { "b" }, 1.0))
        .collect();
    Candidate {
        generation,
        loss: None,
        entries,
    }
}

fn accepted_list() -> ServerLists {
    let mut accepted_list = ServerLists::new(deployment(), GRACE_MS);
    accepted_list.apply(NOW, four_servers(1)).unwrap();
    accepted_list
}

fn changed_list(generation: u64, change: impl Fn(&mut Candidate)) -> Candidate {
    let mut candidate = four_servers(generation);
    change(&mut candidate);
    candidate
}

#[test]
fn invalid_lists_are_rejected_with_position_and_remedy_and_change_nothing() {
    let cases: Vec<(Candidate, &str)> = vec![
        (changed_list(2, |c| c.entries.clear()), "it names no server"),
        (
            changed_list(2, |c| c.entries.iter_mut().for_each(|e| e.weight = 0.0)),
            "every weight is 0",
        ),
        (
            changed_list(2, |c| {
                c.entries[2..].iter_mut().for_each(|e| e.weight = 0.0)
            }),
            "every weight of zone \"b\" is 0",
        ),
        (
            changed_list(2, |c| c.entries[1].weight = -1.0),
            "3:1: \"s-2\" has the weight -1; write a figure from 0",
        ),
        (
            changed_list(2, |c| c.entries[1].weight = f64::NAN),
            "has the weight NaN",
        ),
        (
            changed_list(2, |c| c.entries[1].weight = f64::INFINITY),
            "has the weight inf",
        ),
        (
            changed_list(2, |c| c.entries[1].weight = 1e9),
            "has the weight 1000000000",
        ),
        (
            changed_list(2, |c| c.entries[1].name = "s-1".into()),
            "3:1: \"s-1\" stands twice, first at line 2",
        ),
        (
            changed_list(2, |c| c.entries[1].address = "10.0.0.1:80".into()),
            "has the address 10.0.0.1:80 of \"s-1\"",
        ),
        (
            changed_list(2, |c| c.entries[1].address = "nowhere".into()),
            "has the address \"nowhere\"; write one such as",
        ),
        (
            changed_list(2, |c| c.entries[1].zone = "z".into()),
            "write one of \"a\", \"b\"",
        ),
        (
            changed_list(2, |c| c.entries[1].machine = "x".into()),
            "write one of \"m\"",
        ),
        (
            changed_list(2, |c| c.entries[1].name = "s 2".into()),
            "is no name",
        ),
        (
            changed_list(2, |c| c.entries[1].started_ms = NOW * 2.0),
            "which is to come",
        ),
        (
            changed_list(2, |c| _ = c.entries.drain(..2)),
            "no server is left for book",
        ),
        (
            changed_list(2, |c| _ = c.entries.drain(1..)),
            "takes away 0.75 of the capacity at once, 0.50 are allowed; write loss(0.75)",
        ),
        (
            changed_list(2, |c| c.loss = Some(7.0)),
            "loss(7) is no part",
        ),
        (
            changed_list(0, |_| ()),
            "generation 0 is older than 1, which is held; write generation(2)",
        ),
        (
            changed_list(1, |c| c.entries[0].weight = 2.0),
            "generation 1 was taken with other lines; write generation(2)",
        ),
    ];
    let accepted_list = accepted_list();
    for (candidate, expected) in cases {
        let mut copy = accepted_list.clone();
        let rejection = copy
            .apply(NOW + 1.0, candidate)
            .expect_err(expected)
            .to_string();
        assert!(rejection.contains(expected), "{rejection}");
        assert_eq!(copy, accepted_list, "{expected}: something changed");
    }
    let mut own_zone_only = deployment();
    own_zone_only.kinds[0].own_zone = true;
    let only_a = changed_list(1, |c| _ = c.entries.drain(2..));
    let rejection = ServerLists::new(own_zone_only, GRACE_MS)
        .apply(NOW, only_a)
        .unwrap_err()
        .to_string();
    assert!(
        rejection.contains("no server is left for view from zone \"b\""),
        "{rejection}"
    );
}

#[test]
fn declared_capacity_loss_is_accepted() {
    let mut accepted_list = accepted_list();
    let candidate = changed_list(2, |c| {
        _ = c.entries.drain(1..);
        c.loss = Some(0.75);
    });
    let updates = accepted_list.apply(NOW, candidate).unwrap();
    assert!(
        updates.iter().all(|t| t.stage == Stage::Draining) && updates.len() == 3,
        "drained before it is gone"
    );
}

#[test]
fn dropped_server_returns_only_after_a_later_start() {
    let mut accepted_list = accepted_list();
    let updates = accepted_list
        .apply(NOW, changed_list(2, |c| _ = c.entries.remove(1)))
        .unwrap();
    assert_eq!(
        (
            updates.len(),
            updates[0].entry.name.as_str(),
            updates[0].stage
        ),
        (1, "s-2", Stage::Draining)
    );
    let rejection = accepted_list
        .apply(NOW + 500.0, four_servers(3))
        .unwrap_err()
        .to_string();
    assert!(
        rejection.contains("3:1: \"s-2\" was drained; write started = 1000000000001 or later"),
        "{rejection}"
    );
    // After the grace period it is gone, and the old list is still rejected.
    let updates = accepted_list.expire_drains(NOW + GRACE_MS);
    assert_eq!((updates.len(), updates[0].stage), (1, Stage::Gone));
    assert!(accepted_list.expire_drains(NOW + 9e9).is_empty());
    assert!(
        accepted_list.apply(NOW + 9e9, four_servers(3)).is_err(),
        "the drain is remembered"
    );
    let started = changed_list(3, |c| c.entries[1].started_ms = NOW + 600.0);
    let updates = accepted_list.apply(NOW + 9e9, started).unwrap();
    assert_eq!(
        (
            updates[0].entry.name.as_str(),
            updates[0].stage,
            updates[0].entry.started_ms
        ),
        ("s-2", Stage::Ready, NOW + 600.0)
    );
}

#[test]
fn drains_and_starts_from_discovery_override_the_file() {
    let mut accepted_list = accepted_list();
    let updates = accepted_list.observe(NOW, "s-2", true, 0.0);
    assert_eq!(
        (updates[0].entry.name.as_str(), updates[0].stage),
        ("s-2", Stage::Draining)
    );
    // A file that still lists the server as serving is accepted, but does not end the drain.
    let updates = accepted_list
        .apply(NOW + 100.0, changed_list(2, |c| c.entries[0].weight = 2.0))
        .unwrap();
    assert!(updates.iter().all(|t| t.entry.name == "s-1"), "{updates:?}");
    assert!(
        accepted_list
            .observe(NOW + 200.0, "s-2", false, 0.0)
            .is_empty(),
        "no later start"
    );
    let updates = accepted_list.observe(NOW + 300.0, "s-2", false, NOW + 250.0);
    assert_eq!(
        updates[0].stage,
        Stage::Ready,
        "a start reported by discovery"
    );
    assert!(
        accepted_list
            .observe(NOW + 300.0, "s-77", true, 0.0)
            .is_empty(),
        "not listed in the file"
    );
    // If discovery reports all servers of a kind as draining, a list that relies on them is rejected.
    accepted_list.observe(NOW + 400.0, "s-1", true, 0.0);
    accepted_list.observe(NOW + 400.0, "s-2", true, NOW + 260.0);
    let rejection = accepted_list
        .apply(NOW + 500.0, changed_list(3, |_| ()))
        .unwrap_err()
        .to_string();
    assert!(
        rejection.contains("no server is left for book"),
        "{rejection}"
    );
}

#[test]
fn repeated_generation_causes_no_updates() {
    let mut accepted_list = accepted_list();
    assert_eq!(accepted_list.apply(NOW, four_servers(1)), Ok(Vec::new()));
}

#[test]
fn membership_transitions_are_unique_and_only_a_restart_ends_a_drain() {
    let mut rows: Vec<_> = MEMBERSHIP.iter().map(|row| (row.0, row.1)).collect();
    rows.sort();
    rows.dedup();
    assert_eq!(rows.len(), MEMBERSHIP.len());
    let back =
        |r: &&(State, MemberEvent, State, Effect)| r.0 >= State::Draining && r.2 == State::Serving;
    assert!(
        MEMBERSHIP
            .iter()
            .filter(back)
            .all(|row| row.1 == MemberEvent::Restarted),
        "only a restart ends a drain"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        generation: u64,
        loss: Option<f64>,
        lines: Vec<(usize, u8, u8, u32)>,
    },
    Seen {
        n: usize,
        drains: bool,
        started: u32,
    },
    Pass,
}

fn step() -> impl Strategy<Value = Step> {
    let line = (
        1_usize..7,
        0_u8..4,
        0_u8..6,
        prop_oneof![3 => Just(0_u32), 1 => 1_u32..60],
    );
    let lines = prop::collection::vec(line, 0..8);
    let loss = prop_oneof![Just(None), Just(Some(1.0))];
    prop_oneof![
        6 => (0_u64..40, loss, lines).prop_map(|(generation, loss, lines)| Step::Offer { generation, loss, lines }),
        2 => (1_usize..7, any::<bool>(), 0_u32..60).prop_map(|(n, drains, started)| Step::Seen { n, drains, started }),
        1 => Just(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn no_sequence_of_lists_leaves_a_kind_unserved_or_returns_a_drained_server(steps in prop::collection::vec(step(), 1..40)) {
        let mut accepted_list = ServerLists::new(deployment(), GRACE_MS);
        // The last update of each server, and when its drain was reported.
        let mut updates: BTreeMap<String, (Stage, Entry)> = BTreeMap::new();
        let mut drained: BTreeMap<String, f64> = BTreeMap::new();
        // Weight 0 is reported as draining but is not a drain; a drain that follows shows once the server is gone.
        let mut zero_weight: BTreeMap<String, f64> = BTreeMap::new();
        let (mut now, mut generation) = (NOW, 0);
        for step in steps {
            now += 700.0;
            let before = accepted_list.clone();
            let (changes, accepted) = match step {
                Step::Offer { generation: more, loss, lines } => {
                    generation += more / 4;
                    let entries = lines.iter().map(|(n, kind, weight, started)| Entry {
                        drains: *kind == 3,
                        started_ms: if *started == 0 { 0.0 } else { NOW + f64::from(*started) * 500.0 },
                        ..entry(*n, if n % 2 == 0 { "a" } else { "b" }, f64::from(*weight) / 2.0)
                    });
                    let candidate = Candidate { generation, loss, entries: entries.collect() };
                    match accepted_list.apply(now, candidate.clone()) {
                        Ok(changes) => (changes, Some(candidate)),
                        Err(rejection) => {
                            prop_assert!(!rejection.is_empty());
                            prop_assert_eq!(&accepted_list, &before, "a rejected candidate changes nothing");
                            (Vec::new(), None)
                        }
                    }
                }
                Step::Seen { n, drains, started } => {
                    let started = f64::from(started).mul_add(500.0, NOW).min(now);
                    (accepted_list.observe(now, &format!("s-{n}"), drains, started), None)
                }
                Step::Pass => (accepted_list.expire_drains(now), None),
            };
            for t in changes {
                let name = t.entry.name.clone();
                if t.stage == Stage::Ready {
                    let since = drained.remove(&name);
                    zero_weight.remove(&name);
                    prop_assert!(since.is_none_or(|at| t.entry.started_ms > at), "{name} returned without a restart");
                } else if t.entry.weight > 0.0 || t.stage == Stage::Gone {
                    drained.entry(name.clone()).or_insert(zero_weight.get(&name).copied().unwrap_or(now));
                } else {
                    zero_weight.entry(name.clone()).or_insert(now);
                }
                updates.insert(name, (t.stage, t.entry));
            }
            if let Some(candidate) = accepted {
                for kind in deployment().kinds {
                    let serves = updates.values().any(|(stage, e)| *stage == Stage::Ready && kind.allows(e));
                    prop_assert!(serves, "{} is not served after {candidate:?}", kind.name);
                }
                // Only servers of the accepted list are ready.
                let named: Vec<&String> = candidate.entries.iter().map(|e| &e.name).collect();
                let unlisted = updates.iter().find(|(n, (stage, _))| *stage == Stage::Ready && !named.contains(n));
                prop_assert!(unlisted.is_none(), "{unlisted:?}");
            }
            // The incremental updates agree with the snapshot.
            for t in accepted_list.snapshot() {
                prop_assert_eq!(updates.get(&t.entry.name).map(|(stage, e)| (*stage, e.weight)), Some((t.stage, t.entry.weight)));
            }
        }
    }
}
