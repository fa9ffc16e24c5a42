//! Which task a request goes to.

use rookpulley_balancer::{AttemptOutcome, EndpointPicker, Pick, RequestAttempts};
use rookpulley_protocol::TableEntry;
use rookpulley_routes::RouteKind;
use rookpulley_samples::run_cases;
use std::collections::BTreeSet;

fn line(incarnation: &str, zone: &str) -> TableEntry {
    TableEntry {
        incarnation: incarnation.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.to_owned(),
        weight: 1.0,
        slots: 4,
    }
}

fn attempts(kind: RouteKind) -> RequestAttempts {
    RequestAttempts::new(kind, 3, 1e9, 0.5)
}

#[test]
fn what_is_gone_or_tried_or_in_no_table_is_never_picked_and_all_else_is_found() {
    run_cases(60, 1 << 14, |u| {
        let mut picker = EndpointPicker::new("a", 1);
        let mut now_ms = 0.0;
        let (mut gone, mut listed) = (BTreeSet::new(), [BTreeSet::new(), BTreeSet::new()]);
        let mut in_flight: Vec<(usize, Pick)> = Vec::new();
        let most = *u.choose(&[6, 150])?;
        for _ in 0..60 {
            now_ms += f64::from(u.int_in_range(0..=500u32)?);
            let table = u.choose_index(2)?;
            let service = ["s0", "s1"][table];
            // Some stand in both tables, which the module wouldn't order: nothing may get lost or mixed up by it.
            let incarnation = |number: u32| match number % 3 {
                0 => format!("both-{number}"),
                _ => format!("{service}-{number}"),
            };
            match u.int_in_range(0..=5)? {
                0 => {
                    let incarnations: BTreeSet<String> = (0..most)
                        .filter(|_| u.ratio(1, 2).unwrap_or(true))
                        .map(incarnation)
                        .collect();
                    let left = picker.replace_table(
                        service,
                        incarnations
                            .iter()
                            .map(|incarnation| line(incarnation, "a"))
                            .collect(),
                    );
                    let want = listed[table]
                        .difference(&incarnations)
                        .filter(|incarnation| !listed[1 - table].contains(*incarnation));
                    assert_eq!(left.iter().collect::<BTreeSet<_>>(), want.collect());
                    listed[table] = incarnations;
                }
                1 => {
                    let incarnation = incarnation(u.int_in_range(0..=most - 1)?);
                    assert_eq!(
                        picker
                            .mark_gone(vec![incarnation.clone()], now_ms)
                            .is_empty(),
                        !gone.insert(incarnation)
                    );
                }
                2 if !in_flight.is_empty() => {
                    let (table, pick) = in_flight.swap_remove(u.choose_index(in_flight.len())?);
                    let outcomes = [
                        AttemptOutcome::Answered(200),
                        AttemptOutcome::Interrupted,
                        AttemptOutcome::Unsent,
                        AttemptOutcome::NotExecuted,
                        AttemptOutcome::TimedOut,
                    ];
                    match u.int_in_range(0..=7)? {
                        5 => picker.record_connection_limit(pick, now_ms),
                        6 => picker.record_wrong_instance(pick, now_ms),
                        7 => picker.cancel(pick),
                        other => {
                            picker.record(["s0", "s1"][table], pick, outcomes[other], 10.0, now_ms)
                        }
                    }
                }
                _ => {
                    let mut attempts =
                        attempts(*u.choose(&[RouteKind::ReadOnly, RouteKind::Mutating])?);
                    for _ in 0..4 {
                        let open = listed[table].iter().any(|incarnation| {
                            !gone.contains(incarnation) && !attempts.tried().contains(incarnation)
                        });
                        assert_eq!(picker.has_untried(service, &attempts), open);
                        let Some(pick) =
                            picker.pick(service, &attempts, RouteKind::ReadOnly, now_ms)
                        else {
                            assert!(!open);
                            break;
                        };
                        assert!(
                            listed[table].contains(&pick.entry.incarnation)
                                && !gone.contains(&pick.entry.incarnation)
                        );
                        assert!(!attempts.tried().contains(&pick.entry.incarnation));
                        attempts.begin(&pick.entry.incarnation);
                        in_flight.push((table, pick));
                    }
                }
            }
            let any = listed
                .iter()
                .flatten()
                .any(|incarnation| !gone.contains(incarnation));
            assert_eq!(picker.has_endpoints(), any);
        }
        Ok(())
    });
}

/// Sends so many requests one after the other; each task answers by its rule. Returns how many each incarnation got.
fn play(
    picker: &mut EndpointPicker,
    count: usize,
    kind: RouteKind,
    answer: impl Fn(&str, f64) -> (AttemptOutcome, f64),
) -> Vec<usize> {
    let mut got = vec![0; 4];
    for turn in 0..count {
        let now_ms = 25.0 * turn as f64;
        let pick = picker.pick("s", &attempts(kind), kind, now_ms).unwrap();
        let incarnation = pick.entry.incarnation.clone();
        got[incarnation[1..].parse::<usize>().unwrap()] += 1;
        let (outcome, took_ms) = answer(&incarnation, now_ms);
        picker.record("s", pick, outcome, took_ms, now_ms + 1.0);
    }
    got
}

#[test]
fn a_task_that_fails_is_left_alone_for_longer_and_longer_and_comes_back_once_it_works() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..4)
            .map(|number| line(&format!("t{number}"), "a"))
            .collect(),
    );
    let got = play(
        &mut picker,
        2_000,
        RouteKind::ReadOnly,
        |incarnation, now_ms| {
            if incarnation == "t0" && now_ms < 25_000.0 {
                (AttemptOutcome::Interrupted, 1.0)
            } else {
                (AttemptOutcome::Answered(200), 10.0)
            }
        },
    );
    assert!((150..=400).contains(&got[0]), "{got:?}");
    let got = play(&mut picker, 400, RouteKind::ReadOnly, |incarnation, _| {
        if incarnation == "t0" {
            (AttemptOutcome::Unsent, 1.0)
        } else {
            (AttemptOutcome::Answered(200), 10.0)
        }
    });
    assert!(got[0] <= 6, "{got:?}");
}

#[test]
fn the_own_zone_is_taken_until_it_is_busy() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..4)
            .map(|number| line(&format!("t{number}"), if number < 2 { "a" } else { "b" }))
            .collect(),
    );
    let got = play(&mut picker, 200, RouteKind::Download, |_, _| {
        (AttemptOutcome::Answered(200), 10.0)
    });
    assert_eq!(got[0] + got[1], 200, "{got:?}");
    // With all that was sent still under way, the other zone gets its part.
    let picks: Vec<Pick> = (0..16)
        .filter_map(|_| {
            picker.pick(
                "s",
                &attempts(RouteKind::ReadOnly),
                RouteKind::ReadOnly,
                5_000.0,
            )
        })
        .collect();
    let far = picks.iter().filter(|pick| pick.entry.zone == "b").count();
    assert!((4..=8).contains(&far), "{far}");
}

#[test]
fn faster_tasks_get_more() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..2)
            .map(|number| line(&format!("t{number}"), "a"))
            .collect(),
    );
    let mut in_flight: Vec<(f64, Pick)> = Vec::new();
    let mut got = [0, 0];
    for turn in 0..2_000 {
        let now_ms = 5.0 * f64::from(turn);
        while let Some(at) = in_flight.iter().position(|(end_ms, _)| *end_ms <= now_ms) {
            let (end_ms, pick) = in_flight.swap_remove(at);
            let took_ms = if pick.entry.incarnation == "t0" {
                20.0
            } else {
                60.0
            };
            picker.record("s", pick, AttemptOutcome::Answered(200), took_ms, end_ms);
        }
        let pick = picker
            .pick(
                "s",
                &attempts(RouteKind::ReadOnly),
                RouteKind::ReadOnly,
                now_ms,
            )
            .unwrap();
        let fast = pick.entry.incarnation == "t0";
        got[usize::from(!fast)] += 1;
        in_flight.push((now_ms + if fast { 20.0 } else { 60.0 }, pick));
    }
    assert!(got[0] > 2 * got[1] && got[1] > 50, "{got:?}");
}

/// Each line that is looked at draws one number, so what was drawn tells the steps of a pick.
#[test]
fn a_pick_looks_at_the_lines_of_its_table_alone_and_at_a_few_of_a_long_one() {
    for (lines, most) in [(3, 3), (24, 24), (32, 32), (64, 64), (110, 40), (2_000, 40)] {
        let (mut picker, seed) = (EndpointPicker::new("a", 9), 9);
        // Whatever else is known changes nothing.
        for other in 0..40 {
            let of = |number: usize| line(&format!("o{other}-{number}"), "b");
            picker.replace_table(&format!("other{other}"), (0..50).map(of).collect());
        }
        picker.replace_table(
            "s",
            (0..lines)
                .map(|number| line(&format!("t{number}"), "a"))
                .collect(),
        );
        let pick = picker
            .pick(
                "s",
                &attempts(RouteKind::ReadOnly),
                RouteKind::ReadOnly,
                1.0,
            )
            .unwrap();
        picker.cancel(pick);
        let next = picker.random();
        let mut drawn = EndpointPicker::new("a", seed);
        let steps = (0..=2 * most).position(|_| drawn.random() == next);
        assert!(
            steps.is_some_and(|steps| steps <= most && steps >= most.min(8)),
            "{lines}: {steps:?}"
        );
    }
}
