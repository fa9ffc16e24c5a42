//! Scripted scenarios with severe faults, one for each guarantee in `docs/design/control.md`. Each runs with several seeds
//! and must detect the given mutations.

mod common;

use common::case;
use rookpulley_simulator::{BadTask, Closing, Day, Event, Mutation, Played, play};

/// Five controllers that tolerate two losses, with applications.
fn five_controllers(seed: u64) -> Day {
    let mut day = Day::calm(seed);
    (day.controllers, day.losses, day.proxies, day.zones) = (5, 2, 12, 3);
    (day.services, day.tasks, day.apps, day.rate) = (2, 16, 6, 120);
    day.length_ms = 46_000;
    day
}

fn with(mut day: Day, events: Vec<(u64, Event)>) -> Day {
    day.events.extend(events);
    day.events.sort_by_key(|(at, _)| *at);
    day
}

/// Repeats an event at a fixed interval.
fn repeat(from_ms: u64, to_ms: u64, pause_ms: u64, event: &Event) -> Vec<(u64, Event)> {
    (from_ms..to_ms)
        .step_by(pause_ms as usize)
        .map(|at| (at, event.clone()))
        .collect()
}

/// Two controllers that depend on the seed.
fn two_controllers(seed: u64) -> Vec<usize> {
    vec![(seed % 5) as usize, ((seed + 2) % 5) as usize]
}

fn check_served(played: &Played) -> Option<String> {
    let (served, requests) = (played.served, played.requests);
    (served * 10 < requests * 8).then(|| format!("{served} of {requests} requests are served"))
}

/// Fails if fewer than `least` application calls were made.
fn check_calls(played: &Played, least: usize) -> Option<String> {
    (played.calls < least).then(|| format!("{} calls were answered", played.calls))
}

#[test]
fn a_controller_cut_off_for_twenty_seconds_from_the_others_alone_answers_nothing_old() {
    fn day(seed: u64) -> Day {
        let cut = Event::CutCore {
            machines: two_controllers(seed),
            ms: 20_000,
        };
        let day = with(five_controllers(seed), vec![(8_000, cut)]);
        let day = with(day, repeat(5_000, 33_000, 1_300, &Event::Change));
        with(
            day,
            repeat(9_500, 30_000, 6_000, &Event::DrainTasks { share: 1 }),
        )
    }
    fn check(played: &Played) -> Option<String> {
        check_served(played).or(check_calls(played, 1_000))
    }
    case(
        day,
        check,
        &[
            Mutation::AssumeHomeInContact,
            Mutation::LocalReads,
            Mutation::IgnoreDrains,
        ],
    );
}

#[test]
fn a_controller_cut_off_from_all_or_frozen_for_twenty_seconds_begins_again_with_the_newest_state() {
    fn day(seed: u64) -> Day {
        let first = two_controllers(seed)[0];
        let mut day = five_controllers(seed);
        day.length_ms = 70_000;
        let both = Event::Cut {
            machines: two_controllers(seed),
            both: true,
            ms: 20_000,
        };
        let deaf = Event::Deaf {
            machines: vec![first],
            ms: 4_000,
        };
        let day = with(
            day,
            vec![
                (6_000, both),
                (
                    29_000,
                    Event::Freeze {
                        machine: first,
                        ms: 20_000,
                    },
                ),
            ],
        );
        // Partition it again before it has caught up.
        let day = with(day, vec![(49_400, deaf)]);
        with(day, repeat(5_000, 54_000, 900, &Event::Change))
    }
    fn check(played: &Played) -> Option<String> {
        check_calls(played, 1_000)
    }
    case(day, check, &[Mutation::LocalReads]);
}

#[test]
fn an_order_sent_again_after_lost_answers_failovers_and_wipes_is_acknowledged_and_two_at_once_leave_one()
 {
    fn day(seed: u64) -> Day {
        let machine = two_controllers(seed)[0];
        let day = with(
            five_controllers(seed),
            repeat(5_000, 36_000, 1_700, &Event::Race),
        );
        let day = with(day, repeat(5_800, 36_000, 2_300, &Event::Again));
        let day = with(
            day,
            repeat(6_100, 36_000, 3_100, &Event::Storm { count: 8 }),
        );
        let day = with(day, repeat(6_600, 36_000, 4_700, &Event::Invalid));
        with(
            day,
            vec![
                (4_500, Event::LoseAnswers { ms: 33_000 }),
                (
                    9_000,
                    Event::KillOne {
                        machine,
                        controller: true,
                        down_ms: 900,
                    },
                ),
                (
                    16_000,
                    Event::Wipe {
                        machine,
                        down_ms: 800,
                    },
                ),
                (
                    27_000,
                    Event::Herd {
                        power: true,
                        down_ms: 700,
                    },
                ),
            ],
        )
    }
    fn check(played: &Played) -> Option<String> {
        check_calls(played, 1_000)
    }
    case(
        day,
        check,
        &[
            Mutation::RejectRepeatedConfiguration,
            Mutation::SkipSync,
            Mutation::AcceptInvalidConfiguration,
        ],
    );
}

#[test]
fn routes_that_are_added_again_and_again_are_served_as_the_first_ones_are() {
    fn day(seed: u64) -> Day {
        let machine = two_controllers(seed)[0];
        let mut day = with(
            five_controllers(seed),
            repeat(5_000, 36_000, 500, &Event::Change),
        );
        day.rate = 240;
        let killed = Event::KillOne {
            machine,
            controller: true,
            down_ms: 900,
        };
        with(
            day,
            vec![
                (12_000, killed),
                (20_000, Event::Freeze { machine, ms: 3_000 }),
            ],
        )
    }
    case(
        day,
        check_served,
        &[Mutation::FailLaterRoutes, Mutation::SkipConfigurations],
    );
}

#[test]
fn a_second_loss_after_a_repair_loses_nothing_that_was_acknowledged() {
    fn day(seed: u64) -> Day {
        let (first, second) = (two_controllers(seed)[0], two_controllers(seed)[1]);
        let mut day = five_controllers(seed);
        day.length_ms = 80_000;
        let day = with(day, repeat(5_000, 62_000, 800, &Event::Change));
        with(
            day,
            vec![
                // Two controllers fail together and recover from the rest; then one of the rest and the first fail.
                (
                    8_000,
                    Event::Wipe {
                        machine: first,
                        down_ms: 600,
                    },
                ),
                (
                    8_100,
                    Event::Wipe {
                        machine: second,
                        down_ms: 900,
                    },
                ),
                (
                    20_000,
                    Event::Wipe {
                        machine: (first + 1) % 5,
                        down_ms: 600,
                    },
                ),
                (
                    20_200,
                    Event::Wipe {
                        machine: first,
                        down_ms: 600,
                    },
                ),
                // One controller is replaced in order; all lose power while another has an empty disk.
                (
                    32_000,
                    Event::Replace {
                        machine: (first + 1) % 5,
                        orderly: true,
                    },
                ),
                (
                    44_000,
                    Event::Wipe {
                        machine: second,
                        down_ms: 500,
                    },
                ),
                (44_300, Event::Dark { down_ms: 700 }),
                (
                    60_000,
                    Event::Closing {
                        how: Closing::Disks { others: true },
                    },
                ),
            ],
        )
    }
    fn check(played: &Played) -> Option<String> {
        check_calls(played, 1_000)
    }
    case(day, check, &[Mutation::SkipSync]);
}

#[test]
fn a_controller_that_missed_hundreds_of_changes_catches_up_while_they_go_on_and_then_answers() {
    fn day(seed: u64) -> Day {
        let machine = two_controllers(seed)[0];
        let mut day = five_controllers(seed);
        (day.length_ms, day.apps) = (60_000, 24);
        let day = with(day, repeat(5_000, 45_000, 160, &Event::Storm { count: 2 }));
        with(
            day,
            vec![
                (
                    7_000,
                    Event::KillOne {
                        machine,
                        controller: true,
                        down_ms: 20_000,
                    },
                ),
                // Interrupt the likely source of its catch-up.
                (
                    27_150,
                    Event::Kill {
                        machine: (machine + 1) % 5,
                        power: true,
                        down_ms: 700,
                    },
                ),
                (34_000, Event::RollingRestart { pause_ms: 1_500 }),
            ],
        )
    }
    fn check(played: &Played) -> Option<String> {
        let views = played
            .log
            .iter()
            .filter(|line| line.contains("is active"))
            .count();
        check_served(played).or((views == 0).then(|| "no view became active".into()))
    }
    case(
        day,
        check,
        &[
            Mutation::LocalReads,
            Mutation::SkipConfigurations,
            Mutation::RevertConfiguration,
        ],
    );
}

#[test]
fn an_answer_goes_to_its_own_request_and_what_runs_once_leaves_once() {
    fn day(seed: u64) -> Day {
        let mut day = five_controllers(seed);
        day.rate = 300;
        let (service, ms) = (0, 5_000);
        with(
            day,
            vec![
                (
                    5_000,
                    Event::BadTasks {
                        service,
                        how: BadTask::Cuts,
                        ms,
                    },
                ),
                (
                    9_000,
                    Event::PassOn {
                        places: vec![0, 1, 2, 3],
                    },
                ),
                (
                    12_000,
                    Event::BadTasks {
                        service,
                        how: BadTask::Garbles,
                        ms,
                    },
                ),
                (14_000, Event::Reset { machine: 1 }),
                (
                    18_000,
                    Event::PassOn {
                        places: vec![4, 5, 6],
                    },
                ),
                (
                    20_000,
                    Event::BadTasks {
                        service,
                        how: BadTask::Mute,
                        ms,
                    },
                ),
                (22_000, Event::Reset { machine: 6 }),
                (
                    24_000,
                    Event::KillOne {
                        machine: 2,
                        controller: true,
                        down_ms: 700,
                    },
                ),
                (
                    27_000,
                    Event::KillOne {
                        machine: 3,
                        controller: true,
                        down_ms: 700,
                    },
                ),
                (
                    30_000,
                    Event::Herd {
                        power: false,
                        down_ms: 500,
                    },
                ),
            ],
        )
    }
    fn check(played: &Played) -> Option<String> {
        check_calls(played, 1_000)
    }
    let mutations = [
        Mutation::AcceptAnyResponse,
        Mutation::BrokenAsUnsent,
        Mutation::OmitTargetInstance,
        Mutation::AlwaysNotExecuted,
    ];
    case(day, check, &mutations);
}

/// Six controllers serve ninety proxies, lose two disks, are partitioned for long and lose two more.
fn six_controllers_ninety_proxies(seed: u64) {
    let mut day = five_controllers(seed);
    (day.controllers, day.proxies, day.tasks, day.length_ms) = (6, 90, 40, 90_000);
    let machine = (seed % 6) as usize;
    let lost = |by: usize| Event::Wipe {
        machine: (machine + by) % 6,
        down_ms: 600,
    };
    let day = with(day, repeat(5_000, 72_000, 700, &Event::Change));
    let cut = Event::CutCore {
        machines: vec![machine, (machine + 3) % 6],
        ms: 20_000,
    };
    let day = with(
        day,
        vec![
            (8_000, lost(0)),
            (8_100, lost(1)),
            (20_000, cut),
            (52_000, lost(2)),
            (52_050, lost(3)),
        ],
    );
    let played = play(&day, None);
    assert_eq!(played.breaches, [], "seed {seed}: {day}");
    println!(
        "seed {seed}: {} steps, {} calls",
        played.steps, played.calls
    );
}

#[test]
fn six_controllers_before_ninety_proxies_bear_the_loss_of_two_again_and_again() {
    six_controllers_ninety_proxies(0);
}

#[test]
#[ignore = "long, CI plays seed 0: WORST_SEEDS=0..200 cargo test --release -p rookpulley-simulator --test worst_days -- --ignored --nocapture"]
fn six_controllers_before_ninety_proxies_on_many_seeds() {
    let text = std::env::var("WORST_SEEDS").unwrap_or_default();
    let (from, to) = text.split_once("..").unwrap_or(("0", "4"));
    (from.parse::<u64>().unwrap()..to.parse().unwrap()).for_each(six_controllers_ninety_proxies);
}

#[test]
fn the_core_cut_into_halves_and_without_power_twice_in_a_row_shows_no_older_configuration_anywhere()
{
    fn day(seed: u64) -> Day {
        let halves = Event::CutCore {
            machines: two_controllers(seed),
            ms: 7_000,
        };
        let power_lost = Event::Dark { down_ms: 600 };
        let killed = Event::Herd {
            power: false,
            down_ms: 300,
        };
        let faults = vec![
            (8_000, halves),
            (19_000, power_lost.clone()),
            // Repeat before all are in contact, then with a kill.
            (20_300, power_lost),
            (28_000, killed.clone()),
            (28_900, killed),
        ];
        let day = with(five_controllers(seed), faults);
        let day = with(day, repeat(5_000, 34_000, 700, &Event::Change));
        with(day, repeat(5_300, 34_000, 250, &Event::ReadEverywhere))
    }
    fn check(played: &Played) -> Option<String> {
        let few_reads = played.configurations_read < 100;
        let reads = || format!("{} reads show a configuration", played.configurations_read);
        check_calls(played, 1_000).or_else(|| few_reads.then(reads))
    }
    case(day, check, &[Mutation::LocalReads, Mutation::SkipSync]);
}

/// Guards against two holders: a release takes effect after its sender has died, started again and acquired the lock
/// again, because calls wait at different controllers until the chain has a head.
#[test]
fn a_holder_that_crashes_amid_its_release_and_acquires_the_lock_again_is_the_only_one() {
    fn day(seed: u64) -> Day {
        let mut day = five_controllers(seed);
        (day.controllers, day.losses, day.apps) = (3, 1, 8);
        day.shape.holders_crash = true;
        let kills = (4_000..38_000).step_by(2_500).enumerate();
        let kills = kills.map(|(number, at_ms)| {
            let kill = Event::KillOne {
                machine: number % 3,
                controller: true,
                down_ms: 300,
            };
            (at_ms, kill)
        });
        with(day, kills.collect())
    }
    fn check(played: &Played) -> Option<String> {
        check_calls(played, 1_000)
    }
    case(day, check, &[]);
}
