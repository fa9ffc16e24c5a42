//! Lists by their hard cases, and by properties over random sequences of candidates.

use proptest::prelude::*;
use rookpulley::interface::Stage;
use rookpulley_lists::membership::Effect;
use rookpulley_lists::*;
use std::collections::BTreeMap;

const NOW: f64 = 1e12;
const GRACE_MS: f64 = 2_000.0;

fn facts() -> Facts {
    let kind = |name: &str, zones: &[&str], own_zone| Kind {
        name: name.into(),
        zones: zones.iter().map(|z| z.to_string()).collect(),
        machines: Vec::new(),
        own_zone,
    };
    Facts {
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

fn four(generation: u64) -> Candidate {
    let entries = (1..=4)
        .map(|n| entry(n, if n < 3 { "a" } else { "b" }, 1.0))
        .collect();
    Candidate {
        generation,
        loss: None,
        entries,
    }
}

fn lists() -> Lists {
    let mut lists = Lists::new(facts(), GRACE_MS);
    lists.offer(NOW, four(1)).unwrap();
    lists
}

fn with(generation: u64, change: impl Fn(&mut Candidate)) -> Candidate {
    let mut candidate = four(generation);
    change(&mut candidate);
    candidate
}

#[test]
fn every_bad_list_is_refused_with_place_and_remedy_and_changes_nothing() {
    let cases: Vec<(Candidate, &str)> = vec![
        (with(2, |c| c.entries.clear()), "it names no server"),
        (
            with(2, |c| c.entries.iter_mut().for_each(|e| e.weight = 0.0)),
            "every weight is 0",
        ),
        (
            with(2, |c| {
                c.entries[2..].iter_mut().for_each(|e| e.weight = 0.0)
            }),
            "every weight of zone \"b\" is 0",
        ),
        (
            with(2, |c| c.entries[1].weight = -1.0),
            "3:1: \"s-2\" has the weight -1; write a figure from 0",
        ),
        (
            with(2, |c| c.entries[1].weight = f64::NAN),
            "has the weight NaN",
        ),
        (
            with(2, |c| c.entries[1].weight = f64::INFINITY),
            "has the weight inf",
        ),
        (
            with(2, |c| c.entries[1].weight = 1e9),
            "has the weight 1000000000",
        ),
        (
            with(2, |c| c.entries[1].name = "s-1".into()),
            "3:1: \"s-1\" stands twice, first at line 2",
        ),
        (
            with(2, |c| c.entries[1].address = "10.0.0.1:80".into()),
            "has the address 10.0.0.1:80 of \"s-1\"",
        ),
        (
            with(2, |c| c.entries[1].address = "nowhere".into()),
            "write one such as",
        ),
        (
            with(2, |c| c.entries[1].zone = "z".into()),
            "write one of \"a\", \"b\"",
        ),
        (
            with(2, |c| c.entries[1].machine = "x".into()),
            "write one of \"m\"",
        ),
        (with(2, |c| c.entries[1].name = "s 2".into()), "is no name"),
        (
            with(2, |c| c.entries[1].started_ms = NOW * 2.0),
            "which is to come",
        ),
        (
            with(2, |c| _ = c.entries.drain(..2)),
            "no server is left for book",
        ),
        (
            with(2, |c| _ = c.entries.drain(1..)),
            "takes away 0.75 of the capacity at once, 0.50 are allowed; write loss(0.75)",
        ),
        (with(2, |c| c.loss = Some(7.0)), "loss(7) is no part"),
        (
            with(0, |_| ()),
            "generation 0 is older than 1, which is held; write generation(2)",
        ),
        (
            with(1, |c| c.entries[0].weight = 2.0),
            "generation 1 was taken with other lines; write generation(2)",
        ),
    ];
    let lists = lists();
    for (candidate, wanted) in cases {
        let mut tried = lists.clone();
        let refused = tried
            .offer(NOW + 1.0, candidate)
            .expect_err(wanted)
            .to_string();
        assert!(refused.contains(wanted), "{refused}");
        assert_eq!(tried, lists, "{wanted}: something changed");
    }
    let mut own = facts();
    own.kinds[0].own_zone = true;
    let only_a = with(1, |c| _ = c.entries.drain(2..));
    let refused = Lists::new(own, GRACE_MS)
        .offer(NOW, only_a)
        .unwrap_err()
        .to_string();
    assert!(
        refused.contains("no server is left for view from zone \"b\""),
        "{refused}"
    );
}

#[test]
fn a_great_loss_is_taken_where_it_is_said_aloud() {
    let mut lists = lists();
    let candidate = with(2, |c| {
        _ = c.entries.drain(1..);
        c.loss = Some(0.75);
    });
    let told = lists.offer(NOW, candidate).unwrap();
    assert!(
        told.iter().all(|t| t.stage == Stage::Draining) && told.len() == 3,
        "drained first, not gone"
    );
}

#[test]
fn a_server_dropped_drained_and_put_back_within_the_grace_comes_back_only_by_a_start() {
    let mut lists = lists();
    let told = lists
        .offer(NOW, with(2, |c| _ = c.entries.remove(1)))
        .unwrap();
    assert_eq!(
        (told.len(), told[0].entry.name.as_str(), told[0].stage),
        (1, "s-2", Stage::Draining)
    );
    let refused = lists.offer(NOW + 500.0, four(3)).unwrap_err().to_string();
    assert!(
        refused.contains("3:1: \"s-2\" was drained; write started = 1000000000001 or later"),
        "{refused}"
    );
    // Gone after its grace, and the old file is no better then.
    let told = lists.pass(NOW + GRACE_MS);
    assert_eq!((told.len(), told[0].stage), (1, Stage::Gone));
    assert!(lists.pass(NOW + 9e9).is_empty());
    assert!(
        lists.offer(NOW + 9e9, four(3)).is_err(),
        "remembered for as long as it takes"
    );
    let started = with(3, |c| c.entries[1].started_ms = NOW + 600.0);
    let told = lists.offer(NOW + 9e9, started).unwrap();
    assert_eq!(
        (
            told[0].entry.name.as_str(),
            told[0].stage,
            told[0].entry.started_ms
        ),
        ("s-2", Stage::Ready, NOW + 600.0)
    );
}

#[test]
fn file_and_discovery_that_disagree_on_a_draining_server() {
    let mut lists = lists();
    let told = lists.seen_by_discovery(NOW, "s-2", true, 0.0);
    assert_eq!(
        (told[0].entry.name.as_str(), told[0].stage),
        ("s-2", Stage::Draining)
    );
    // The file still says that it serves: no fault of the file, and no word that counts.
    let told = lists
        .offer(NOW + 100.0, with(2, |c| c.entries[0].weight = 2.0))
        .unwrap();
    assert!(told.iter().all(|t| t.entry.name == "s-1"), "{told:?}");
    assert!(
        lists
            .seen_by_discovery(NOW + 200.0, "s-2", false, 0.0)
            .is_empty(),
        "its word that all is well"
    );
    let told = lists.seen_by_discovery(NOW + 300.0, "s-2", false, NOW + 250.0);
    assert_eq!(told[0].stage, Stage::Ready, "a start that discovery saw");
    assert!(
        lists
            .seen_by_discovery(NOW + 300.0, "s-77", true, 0.0)
            .is_empty(),
        "not of the file: nobody's"
    );
    // Where all that serves a kind is seen draining, no list that relies on them is taken.
    lists.seen_by_discovery(NOW + 400.0, "s-1", true, 0.0);
    lists.seen_by_discovery(NOW + 400.0, "s-2", true, NOW + 260.0);
    let refused = lists
        .offer(NOW + 500.0, with(3, |_| ()))
        .unwrap_err()
        .to_string();
    assert!(refused.contains("no server is left for book"), "{refused}");
}

#[test]
fn the_same_generation_again_is_no_news() {
    let mut lists = lists();
    assert_eq!(lists.offer(NOW, four(1)), Ok(Vec::new()));
}

#[test]
fn the_table_of_membership_has_one_row_for_a_state_and_a_cue() {
    let mut rows: Vec<_> = MEMBERSHIP.iter().map(|row| (row.0, row.1)).collect();
    rows.sort();
    rows.dedup();
    assert_eq!(rows.len(), MEMBERSHIP.len());
    let back =
        |row: &&(State, Cue, State, Effect)| row.0 >= State::Draining && row.2 == State::Serving;
    assert!(
        MEMBERSHIP
            .iter()
            .filter(back)
            .all(|row| row.1 == Cue::Starts),
        "only a start brings one back"
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
    fn no_sequence_of_candidates_empties_a_kind_or_brings_a_drained_server_back(steps in prop::collection::vec(step(), 1..40)) {
        let mut lists = Lists::new(facts(), GRACE_MS);
        // What the module has been told; and of each server the latest start, and when it was told to drain.
        let mut told: BTreeMap<String, (Stage, Entry)> = BTreeMap::new();
        let mut drained: BTreeMap<String, f64> = BTreeMap::new();
        // A weight of 0 is told like a drain and is none; one that follows it shows once the server is gone.
        let mut idle: BTreeMap<String, f64> = BTreeMap::new();
        let (mut now, mut generation) = (NOW, 0);
        for step in steps {
            now += 700.0;
            let before = lists.clone();
            let (news, accepted) = match step {
                Step::Offer { generation: more, loss, lines } => {
                    generation += more / 4;
                    let entries = lines.iter().map(|(n, kind, weight, started)| Entry {
                        drains: *kind == 3,
                        started_ms: if *started == 0 { 0.0 } else { NOW + f64::from(*started) * 500.0 },
                        ..entry(*n, if n % 2 == 0 { "a" } else { "b" }, f64::from(*weight) / 2.0)
                    });
                    let candidate = Candidate { generation, loss, entries: entries.collect() };
                    match lists.offer(now, candidate.clone()) {
                        Ok(news) => (news, Some(candidate)),
                        Err(refused) => {
                            prop_assert!(!refused.is_empty());
                            prop_assert_eq!(&lists, &before, "a refused candidate changes nothing at all");
                            (Vec::new(), None)
                        }
                    }
                }
                Step::Seen { n, drains, started } => {
                    let started = f64::from(started).mul_add(500.0, NOW).min(now);
                    (lists.seen_by_discovery(now, &format!("s-{n}"), drains, started), None)
                }
                Step::Pass => (lists.pass(now), None),
            };
            for t in news {
                let name = t.entry.name.clone();
                if t.stage == Stage::Ready {
                    let since = drained.remove(&name);
                    idle.remove(&name);
                    prop_assert!(since.is_none_or(|at| t.entry.started_ms > at), "{name} came back without a start");
                } else if t.entry.weight > 0.0 || t.stage == Stage::Gone {
                    drained.entry(name.clone()).or_insert(idle.get(&name).copied().unwrap_or(now));
                } else {
                    idle.entry(name.clone()).or_insert(now);
                }
                told.insert(name, (t.stage, t.entry));
            }
            if let Some(candidate) = accepted {
                for kind in facts().kinds {
                    let serves = told.values().any(|(stage, e)| *stage == Stage::Ready && kind.open(e));
                    prop_assert!(serves, "{} is bare after {candidate:?}", kind.name);
                }
                // Exactly this generation: all that it says serve, and nobody else.
                let named: Vec<&String> = candidate.entries.iter().map(|e| &e.name).collect();
                let strange = told.iter().find(|(n, (stage, _))| *stage == Stage::Ready && !named.contains(n));
                prop_assert!(strange.is_none(), "{strange:?}");
            }
            // What was told piece by piece is what is told as a whole.
            for t in lists.whole() {
                prop_assert_eq!(told.get(&t.entry.name).map(|(stage, e)| (*stage, e.weight)), Some((t.stage, t.entry.weight)));
            }
        }
    }
}
