//! Endpoint selection.

use rookpulley_balancer::{AttemptOutcome, EndpointPicker, Pick, RequestAttempts};
use rookpulley_protocol::TableEntry;
use rookpulley_routes::RouteKind;
use rookpulley_samples::run_cases;
use std::collections::BTreeSet;

fn entry(incarnation: &str, zone: &str) -> TableEntry {
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
fn picks_only_listed_untried_instances_that_are_not_gone() {
    run_cases(60, 1 << 14, |u| {
        let mut picker = EndpointPicker::new("a", 1);
        let mut now_ms = 0.0;
        let (mut gone, mut listed_incarnations) =
            (BTreeSet::new(), [BTreeSet::new(), BTreeSet::new()]);
        let mut in_flight: Vec<(usize, Pick)> = Vec::new();
        let pool_size = *u.choose(&[6, 150])?;
        for _ in 0..60 {
            now_ms += f64::from(u.int_in_range(0..=500u32)?);
            let table = u.choose_index(2)?;
            let service = ["s0", "s1"][table];
            // Some incarnations are in both tables, which the decision module never publishes.
            let incarnation = |number: u32| match number % 3 {
                0 => format!("both-{number}"),
                _ => format!("{service}-{number}"),
            };
            match u.int_in_range(0..=5)? {
                0 => {
                    let incarnations: BTreeSet<String> = (0..pool_size)
                        .filter(|_| u.ratio(1, 2).unwrap_or(true))
                        .map(incarnation)
                        .collect();
                    let removed = picker.replace_table(
                        service,
                        incarnations
                            .iter()
                            .map(|incarnation| entry(incarnation, "a"))
                            .collect(),
                    );
                    let expected = listed_incarnations[table].difference(&incarnations).filter(
                        |incarnation| !listed_incarnations[1 - table].contains(*incarnation),
                    );
                    assert_eq!(removed.iter().collect::<BTreeSet<_>>(), expected.collect());
                    listed_incarnations[table] = incarnations;
                }
                1 => {
                    let incarnation = incarnation(u.int_in_range(0..=pool_size - 1)?);
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
                        let has_eligible = listed_incarnations[table].iter().any(|incarnation| {
                            !gone.contains(incarnation) && !attempts.tried().contains(incarnation)
                        });
                        assert_eq!(picker.has_untried(service, &attempts), has_eligible);
                        let Some(pick) =
                            picker.pick(service, &attempts, RouteKind::ReadOnly, now_ms)
                        else {
                            assert!(!has_eligible);
                            break;
                        };
                        assert!(
                            listed_incarnations[table].contains(&pick.entry.incarnation)
                                && !gone.contains(&pick.entry.incarnation)
                        );
                        assert!(!attempts.tried().contains(&pick.entry.incarnation));
                        attempts.begin(&pick.entry.incarnation);
                        in_flight.push((table, pick));
                    }
                }
            }
            let any = listed_incarnations
                .iter()
                .flatten()
                .any(|incarnation| !gone.contains(incarnation));
            assert_eq!(picker.has_endpoints(), any);
        }
        Ok(())
    });
}

/// Sends `count` sequential requests and returns the number that each incarnation received.
fn send_requests(
    picker: &mut EndpointPicker,
    count: usize,
    kind: RouteKind,
    respond: impl Fn(&str, f64) -> (AttemptOutcome, f64),
) -> Vec<usize> {
    let mut received = vec![0; 4];
    for request in 0..count {
        let now_ms = 25.0 * request as f64;
        let pick = picker.pick("s", &attempts(kind), kind, now_ms).unwrap();
        let incarnation = pick.entry.incarnation.clone();
        received[incarnation[1..].parse::<usize>().unwrap()] += 1;
        let (outcome, took_ms) = respond(&incarnation, now_ms);
        picker.record("s", pick, outcome, took_ms, now_ms + 1.0);
    }
    received
}

#[test]
fn failing_instance_is_ejected_with_backoff_and_readmitted_after_recovery() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..4)
            .map(|number| entry(&format!("t{number}"), "a"))
            .collect(),
    );
    let received = send_requests(
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
    assert!((150..=400).contains(&received[0]), "{received:?}");
    let received = send_requests(&mut picker, 400, RouteKind::ReadOnly, |incarnation, _| {
        if incarnation == "t0" {
            (AttemptOutcome::Unsent, 1.0)
        } else {
            (AttemptOutcome::Answered(200), 10.0)
        }
    });
    assert!(received[0] <= 6, "{received:?}");
}

#[test]
fn local_zone_is_preferred_until_it_is_loaded() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..4)
            .map(|number| entry(&format!("t{number}"), if number < 2 { "a" } else { "b" }))
            .collect(),
    );
    let received = send_requests(&mut picker, 200, RouteKind::Download, |_, _| {
        (AttemptOutcome::Answered(200), 10.0)
    });
    assert_eq!(received[0] + received[1], 200, "{received:?}");
    // With 16 attempts in flight, the other zone receives a part of them.
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
    let remote = picks.iter().filter(|pick| pick.entry.zone == "b").count();
    assert!((4..=8).contains(&remote), "{remote}");
}

#[test]
fn faster_instances_receive_more_requests() {
    let mut picker = EndpointPicker::new("a", 1);
    picker.replace_table(
        "s",
        (0..2)
            .map(|number| entry(&format!("t{number}"), "a"))
            .collect(),
    );
    let mut in_flight: Vec<(f64, Pick)> = Vec::new();
    let mut received = [0, 0];
    for request in 0..2_000 {
        let now_ms = 5.0 * f64::from(request);
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
        let is_fast = pick.entry.incarnation == "t0";
        received[usize::from(!is_fast)] += 1;
        in_flight.push((now_ms + if is_fast { 20.0 } else { 60.0 }, pick));
    }
    assert!(
        received[0] > 2 * received[1] && received[1] > 50,
        "{received:?}"
    );
}

/// Each evaluated entry draws a random number, so the number of draws bounds the entries that a pick evaluates.
#[test]
fn pick_evaluates_only_its_own_table_and_samples_a_long_one() {
    for (entries, pool_size) in [(3, 3), (24, 24), (32, 32), (64, 64), (110, 40), (2_000, 40)] {
        let (mut picker, seed) = (EndpointPicker::new("a", 9), 9);
        // Tables of other services must not add to the work.
        for other in 0..40 {
            let of = |number: usize| entry(&format!("o{other}-{number}"), "b");
            picker.replace_table(&format!("other{other}"), (0..50).map(of).collect());
        }
        picker.replace_table(
            "s",
            (0..entries)
                .map(|number| entry(&format!("t{number}"), "a"))
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
        let mut reference = EndpointPicker::new("a", seed);
        let draws = (0..=2 * pool_size).position(|_| reference.random() == next);
        assert!(
            draws.is_some_and(|draws| draws <= pool_size && draws >= pool_size.min(8)),
            "{entries}: {draws:?}"
        );
    }
}
