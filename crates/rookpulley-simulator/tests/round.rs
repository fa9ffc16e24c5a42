//! Scripted scenarios for request routing: concurrency limits, retries, outlier detection and overload across proxies.
//! Besides the rules, each scenario checks an observable effect, and its mutations must make that check fail.

mod common;

use common::case;
use rookpulley_routes::RouteKind;
use rookpulley_simulator::{BadTask, Day, Event, Mutation, Played, Seen, TaskArrival};

/// Returns the message of the first condition that does not hold.
fn first_failure<const N: usize>(all: [(bool, String); N]) -> Option<String> {
    all.into_iter().find_map(|(so, what)| (!so).then_some(what))
}

fn at_least_share(what: &str, share: f64, least: f64) -> (bool, String) {
    (
        share >= least,
        format!("{what}: {share:.3}, less than {least}"),
    )
}

fn at_most(what: &str, count: usize, most: usize) -> (bool, String) {
    (count <= most, format!("{what}: {count}, more than {most}"))
}

fn at_least_one(what: &str, count: usize) -> (bool, String) {
    (count > 0, format!("{what}: none"))
}

fn any(seen: &Seen, from_ms: u64, to_ms: u64) -> f64 {
    seen.share(from_ms, to_ms, |_| true)
}

fn count_arrivals(
    seen: &Seen,
    from_ms: u64,
    to_ms: u64,
    fits: impl Fn(&TaskArrival) -> bool,
) -> usize {
    seen.came(from_ms, to_ms).filter(|of| fits(of)).count()
}

/// The times in milliseconds of log lines that contain the text.
fn log_times<'a>(played: &'a Played, what: &'a str) -> impl Iterator<Item = u64> + 'a {
    let lines = played.log.iter().filter(move |line| line.contains(what));
    lines.filter_map(|line| {
        Some((line.split_whitespace().next()?.parse::<f64>().ok()? * 1e3) as u64)
    })
}

/// One service with equal tasks at about 40% load.
fn uniform_service(seed: u64) -> Day {
    let mut day = Day::calm(seed);
    (day.rate, day.zones) = (400, 1);
    (day.shape.work_ms, day.shape.slots) = (Some((25, 35)), Some(4));
    day
}

#[test]
fn quick_errors_of_one_task_dont_make_a_sound_revision_look_bad() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        day.events = vec![
            (
                6_000,
                Event::Release {
                    service: 0,
                    count: 1,
                    pause_ms: 0,
                    bad: None,
                },
            ),
            (
                6_500,
                Event::BadPlaces {
                    places: vec![3],
                    how: BadTask::Quick,
                    ms: 5_000,
                },
            ),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        first_failure([
            at_most("revisions tainted", log_times(played, "tainted").count(), 0),
            at_most(
                "attempts at the bad one 4 s later",
                count_arrivals(seen, 10_500, 11_400, |of| of.place == 3),
                0,
            ),
            at_least_share("served", any(seen, 6_500, 11_500), 0.97),
            at_least_share("served after it", any(seen, 12_000, 14_000), 0.99),
        ])
    }
    case(
        day,
        check,
        &[
            Mutation::OmitFailureReports,
            Mutation::SpreadFailures,
            Mutation::IgnoreOutcomes,
        ],
    );
}

#[test]
fn a_bad_revision_is_tainted_though_a_release_goes_on() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.tasks, day.length_ms, day.shape.warm) = (10, 24_000, true);
        let release = |count, bad| Event::Release {
            service: 0,
            count,
            pause_ms: 0,
            bad,
        };
        day.events = vec![
            (8_000, release(5, Some(BadTask::Errs))),
            (14_500, release(1, None)),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let bad = |of: &TaskArrival| (10..15).contains(&of.place);
        let tainted = log_times(played, "tainted, rolled back")
            .next()
            .unwrap_or(24_000);
        first_failure([
            // Covers one report, 3 s of evidence and one evaluation.
            at_most("tainted after ms", tainted as usize, 13_500),
            at_most(
                "attempts at the bad ones after that",
                count_arrivals(seen, tainted + 500, 14_400, bad),
                0,
            ),
            at_least_one(
                "attempts at them before",
                count_arrivals(seen, 9_000, tainted, bad),
            ),
            at_least_share("served while they are used", any(seen, 8_000, tainted), 0.9),
            at_least_share(
                "served once the sound revision is back",
                any(seen, tainted + 200, 14_400),
                0.985,
            ),
            at_least_one(
                "attempts at the next task of the release",
                count_arrivals(seen, 15_000, 24_000, |of| of.place == 15),
            ),
        ])
    }
    case(
        day,
        check,
        &[Mutation::OmitFailureReports, Mutation::SkipTables],
    );
}

#[test]
fn with_all_revisions_tainted_the_newest_serves_on_until_new_lines_come() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        day.events = vec![
            (
                1_200,
                Event::BadTasks {
                    service: 0,
                    how: BadTask::Errs,
                    ms: 8_000,
                },
            ),
            (
                9_500,
                Event::Release {
                    service: 0,
                    count: 1,
                    pause_ms: 0,
                    bad: None,
                },
            ),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        first_failure([
            at_least_one(
                "tables all of whose revisions are tainted",
                log_times(played, "all tainted, keeps").count(),
            ),
            at_least_share("served while all fail", any(seen, 3_500, 9_000), 0.78),
            at_least_share("served as new lines come", any(seen, 9_500, 14_000), 0.985),
            at_least_one(
                "attempts at the new task",
                count_arrivals(seen, 9_500, 15_000, |of| of.place == 8),
            ),
        ])
    }
    case(
        day,
        check,
        &[
            Mutation::OmitFailureReports,
            Mutation::OmitTaintedRows,
            Mutation::SkipTables,
        ],
    );
}

#[test]
fn answers_lost_at_half_of_the_tasks_are_mended_at_the_other_half() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        let bad = |places, how| Event::BadPlaces {
            places,
            how,
            ms: 6_000,
        };
        day.events = vec![
            (6_000, bad(vec![0, 2], BadTask::Mute)),
            (6_000, bad(vec![4, 6], BadTask::Cuts)),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let silent = |of: &TaskArrival| of.place < 8 && of.place.is_multiple_of(2);
        first_failure([
            at_least_share(
                "reads served",
                seen.share(6_000, 12_000, |of| of.kind != RouteKind::Mutating),
                0.98,
            ),
            at_least_share(
                "writes served",
                seen.share(6_000, 12_000, |of| of.kind == RouteKind::Mutating),
                0.93,
            ),
            at_most(
                "attempts at silent tasks later",
                count_arrivals(seen, 9_500, 11_900, silent),
                30,
            ),
            at_least_share("served after it", any(seen, 13_000, 14_000), 0.93),
        ])
    }
    case(
        day,
        check,
        &[
            Mutation::IgnoreOutcomes,
            Mutation::IgnoreOutcomesAndLoad,
            Mutation::BrokenAsUnsent,
        ],
    );
}

#[test]
fn tasks_are_replaced_one_after_the_other_while_the_load_doubles() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.rate, day.length_ms) = (250, 22_000);
        day.events = vec![
            (
                6_000,
                Event::Release {
                    service: 0,
                    count: 8,
                    pause_ms: 900,
                    bad: None,
                },
            ),
            (
                8_000,
                Event::Burst {
                    times: 2,
                    ms: 10_000,
                },
            ),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        first_failure([
            at_least_share("served meanwhile", any(seen, 6_000, 14_500), 0.99),
            at_least_share("served by new tasks alone", any(seen, 14_500, 18_000), 0.99),
            at_most("rejections", seen.refused.len(), 200),
            at_most(
                "attempts at old tasks",
                count_arrivals(seen, 16_000, 22_000, |of| of.place < 8),
                0,
            ),
        ])
    }
    case(day, check, &[Mutation::IgnoreDrains, Mutation::SkipTables]);
}

#[test]
fn addresses_that_pass_to_another_service_at_once_run_nothing_of_the_old_one() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.services, day.tasks) = (2, 16);
        let passes = |turn: u64| Event::PassOn {
            places: (0..16)
                .filter(|p| (p + turn as usize).is_multiple_of(3))
                .collect(),
        };
        day.events = (0..6)
            .map(|turn| (6_000 + 1_200 * turn, passes(turn)))
            .collect();
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let strangers = |of: &TaskArrival| of.misdirected;
        first_failure([
            at_least_share("served", any(seen, 6_000, 13_500), 0.97),
            // Only proxies that have not yet learned of the end of an incarnation send to its address.
            at_most(
                "attempts that reach another incarnation",
                count_arrivals(seen, 0, 16_000, strangers),
                60,
            ),
        ])
    }
    case(
        day,
        check,
        &[Mutation::OmitTargetInstance, Mutation::IgnoreDrains],
    );
}

#[test]
fn half_of_the_proxies_cut_off_from_all_controllers_keep_to_their_part_of_the_budget() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.rate, day.proxies, day.length_ms) = (200, 12, 36_000);
        (day.retry_ratio, day.retry_slack) = (0.2, 48.0);
        (day.shape.attempts, day.shape.once) = (Some(3), true);
        day.events = vec![
            (
                3_000,
                Event::CutControllers {
                    machines: (6..12).collect(),
                    ms: 15_000,
                },
            ),
            (
                16_000,
                Event::BadTasks {
                    service: 0,
                    how: BadTask::Fails,
                    ms: 12_000,
                },
            ),
        ];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let (cut, others) = (
            |of: &TaskArrival| of.further && of.machine >= 6,
            |of: &TaskArrival| of.further && of.machine < 6,
        );
        first_failure([
            at_least_one(
                "further tries of those cut off",
                count_arrivals(seen, 16_000, 18_000, cut),
            ),
            at_least_one(
                "further tries of the others",
                count_arrivals(seen, 16_000, 18_000, others),
            ),
            at_least_one(
                "further tries once they are back",
                count_arrivals(seen, 20_000, 28_000, cut),
            ),
            at_least_share("served before tasks fail", any(seen, 4_000, 15_500), 0.99),
        ])
    }
    case(
        day,
        check,
        &[
            Mutation::FullSlackWithoutContact,
            Mutation::UnlimitedRetries,
        ],
    );
}

#[test]
fn proxies_that_all_begin_anew_within_a_second_dont_herd() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        day.rate = 600;
        let kill = |machine| Event::KillOne {
            machine,
            controller: false,
            down_ms: 300,
        };
        day.events = (0..8)
            .map(|machine| (6_000 + 110 * machine as u64, kill(machine)))
            .collect();
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let turned = count_arrivals(seen, 7_200, 9_200, |of| !of.ran && !of.misdirected);
        first_failure([
            at_least_share("served while they begin", any(seen, 6_000, 7_200), 0.93),
            at_least_share("served right after", any(seen, 7_200, 9_200), 0.985),
            at_most("turned away in 2 s", turned, 50),
        ])
    }
    case(day, check, &[Mutation::IgnoreOutcomesAndLoad]);
}

#[test]
fn a_burst_of_clients_that_dont_wait_is_refused_at_once_and_costs_no_work() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.rate, day.tasks, day.shape.impatient) = (250, 4, true);
        day.events = vec![(
            6_000,
            Event::Burst {
                times: 4,
                ms: 1_500,
            },
        )];
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let late = seen.refused.iter().filter(|of| of.took_ms > 300).count();
        let untold = seen
            .refused
            .iter()
            .filter(|of| of.retry_after_ms.is_none_or(|ms| ms < 50.0))
            .count();
        first_failure([
            at_least_one("rejections", seen.refused.len()),
            at_most("rejections that took over 300 ms", late, 0),
            at_most("rejections without a retry delay", untold, 0),
            // Four tasks with four slots and about 30 ms per request: about 13 slots are busy.
            (
                count_arrivals(seen, 6_500, 7_500, |of| of.status == 200) >= 325,
                "tasks idle amid a burst".into(),
            ),
            at_least_share("served half a second after", any(seen, 8_000, 12_000), 0.99),
        ])
    }
    case(
        day,
        check,
        &[Mutation::LateRejections, Mutation::OmitRetryAfter],
    );
}

#[test]
fn a_download_route_whose_targets_move_again_and_again_is_served_all_the_while() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.services, day.tasks) = (3, 12);
        let moves = || Event::Retarget {
            kind: RouteKind::Download,
        };
        day.events = (0..5).map(|turn| (6_000 + 1_300 * turn, moves())).collect();
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        first_failure([
            at_least_share(
                "downloads served",
                seen.share(6_000, 14_000, |of| of.kind == RouteKind::Download),
                0.99,
            ),
            at_least_share("served", any(seen, 6_000, 14_000), 0.99),
        ])
    }
    case(
        day,
        check,
        &[Mutation::SkipConfigurations, Mutation::RevertConfiguration],
    );
}

#[test]
fn a_zone_with_a_third_of_the_clients_and_a_tenth_of_the_tasks_is_served_by_all() {
    fn day(seed: u64) -> Day {
        let mut day = uniform_service(seed);
        (day.zones, day.proxies, day.tasks, day.rate) = (3, 9, 20, 900);
        (day.shape.uneven_zones, day.length_ms) = (true, 14_000);
        day
    }
    fn check(played: &Played) -> Option<String> {
        let seen = &played.seen;
        let few = count_arrivals(seen, 5_000, 10_000, |of| of.place.is_multiple_of(10));
        let all = count_arrivals(seen, 5_000, 10_000, |_| true);
        first_failure([
            at_least_share(
                "served in that zone",
                seen.share(5_000, 10_000, |of| of.zone == 0),
                0.985,
            ),
            at_least_share("served", any(seen, 5_000, 10_000), 0.985),
            // An even share would be a tenth.
            at_most("attempts at its two tasks", few, all / 4),
        ])
    }
    case(
        day,
        check,
        &[Mutation::LocalZoneOnly, Mutation::IgnoreOutcomesAndLoad],
    );
}
