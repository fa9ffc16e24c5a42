//! Whole gateways with tenants: keys that are added, revoked and passed on, with and without faults.

use rookpulley_simulator::{Breach, Day, Event, Mutation, Played, play};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

const SEEDS: Range<u64> = 0..16;
/// Drawn days take longer.
const DRAWN_SEEDS: Range<u64> = 0..8;
const THREADS: usize = 2;
const TENANTS: u32 = 6;

fn with_tenants(mut day: Day) -> Day {
    (day.shape.tenants, day.shape.revocation_strict) = (TENANTS, true);
    day
}

fn with(mut day: Day, events: impl IntoIterator<Item = (u64, Event)>) -> Day {
    day.events.extend(events);
    day.events.sort_by_key(|(at, _)| *at);
    day
}

/// Repeats an event at a fixed interval.
fn repeat(range_ms: Range<u64>, pause_ms: u64, event: &Event) -> Vec<(u64, Event)> {
    range_ms
        .step_by(pause_ms as usize)
        .map(|at| (at, event.clone()))
        .collect()
}

/// Keys are revoked, one by one and all of a tenant, passed on and added.
fn changing_keys(day: Day, range_ms: Range<u64>) -> Day {
    let (from, to) = (range_ms.start, range_ms.end);
    let day = with(day, repeat(from..to, 2_100, &Event::Revoke { last: false }));
    let day = with(
        day,
        repeat(from + 900..to, 5_300, &Event::Revoke { last: true }),
    );
    let day = with(day, repeat(from + 400..to, 3_100, &Event::PassKey));
    with(day, repeat(from + 200..to, 1_700, &Event::Change))
}

fn calm_day(seed: u64) -> Day {
    let mut day = with_tenants(Day::calm(seed));
    day.shape.revocation_strict = false;
    (day.services, day.rate, day.length_ms) = (2, 80, 20_000);
    let day = changing_keys(day, 4_000..15_000);
    with(day, repeat(5_000..15_000, 2_300, &Event::Invalid))
}

fn strict_calm_day(seed: u64) -> Day {
    let mut day = calm_day(seed);
    day.shape.revocation_strict = true;
    day
}

/// Keys are revoked while some machines without a controller have these faults, from 6 s on.
fn revocations_during(seed: u64, faults: impl IntoIterator<Item = Event>) -> Day {
    let mut day = with_tenants(Day::calm(seed));
    (day.services, day.rate, day.length_ms) = (2, 60, 26_000);
    let day = with(
        day,
        repeat(5_000..18_000, 900, &Event::Revoke { last: false }),
    );
    let day = with(day, repeat(5_500..18_000, 1_300, &Event::Change));
    let day = with(
        day,
        repeat(6_400..18_000, 5_000, &Event::Revoke { last: true }),
    );
    with(day, faults.into_iter().map(|fault| (6_000, fault)))
}

/// Most machines of a zone, so that clients are not sent elsewhere; none has a controller.
const MOST_OF_A_ZONE: [usize; 3] = [3, 5, 7];
const FAULT_MS: u64 = 12_000;

fn cut_off_day(seed: u64) -> Day {
    let (machines, ms) = (MOST_OF_A_ZONE.to_vec(), FAULT_MS);
    revocations_during(seed, [Event::CutControllers { machines, ms }])
}

/// Machines are cut off with the first configuration, which has no tenants, before keys come and are revoked.
fn cut_off_before_tenants_day(seed: u64) -> Day {
    let (machines, ms) = (MOST_OF_A_ZONE.to_vec(), FAULT_MS);
    let cut = Event::CutControllers { machines, ms };
    let mut day = with(revocations_during(seed, []), [(4_500, cut)]);
    day.shape.tenants_come_later = true;
    day
}

fn deaf_day(seed: u64) -> Day {
    let (machines, ms) = (MOST_OF_A_ZONE.to_vec(), FAULT_MS);
    revocations_during(seed, [Event::DeafToMachines { machines, ms }])
}

fn frozen_day(seed: u64) -> Day {
    let ms = FAULT_MS;
    revocations_during(
        seed,
        MOST_OF_A_ZONE.map(|machine| Event::Freeze { machine, ms }),
    )
}

/// Frozen, and once awake still deaf to all controllers.
fn frozen_and_deaf_day(seed: u64) -> Day {
    let deaf = Event::DeafToMachines {
        machines: MOST_OF_A_ZONE.to_vec(),
        ms: FAULT_MS + 3_000,
    };
    with(frozen_day(seed), [(6_100, deaf)])
}

fn power_loss_day(seed: u64) -> Day {
    let (day, down_ms) = (revocations_during(seed, []), 800);
    let power = true;
    let events = [
        (7_000, Event::Dark { down_ms }),
        (12_000, Event::Herd { power, down_ms }),
        (
            16_000,
            Event::Kill {
                machine: 5,
                power,
                down_ms,
            },
        ),
    ];
    with(day, events)
}

/// A drawn day with faults of any kind.
fn drawn_day(seed: u64) -> Day {
    changing_keys(with_tenants(Day::draw(seed)), 4_000..19_000)
}

/// Plays a day of each seed on a few threads. Returns the results by seed.
fn play_all(
    seeds: Range<u64>,
    day: fn(u64) -> Day,
    mutation: Option<Mutation>,
) -> Vec<(Day, Played)> {
    let next = AtomicU64::new(seeds.start);
    let mut all: Vec<(Day, Played)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    let mut played = Vec::new();
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= seeds.end {
                            return played;
                        }
                        let day = day(seed);
                        let result = play(&day, mutation);
                        played.push((day, result));
                    }
                })
            })
            .collect();
        let results = workers.into_iter().map(|worker| worker.join().unwrap());
        results.flatten().collect()
    });
    all.sort_by_key(|(day, _)| day.seed);
    all
}

/// Asserts that no day breaks a rule, and that its clients met accepted and rejected keys. `least_share`: the share of
/// requests with a known key that must be served.
fn assert_kept(day: fn(u64) -> Day, least_share: f64) {
    assert_kept_for(SEEDS, day, least_share);
}

fn assert_kept_for(seeds: Range<u64>, day: fn(u64) -> Day, least_share: f64) {
    for (day, played) in play_all(seeds, day, None) {
        let told: Vec<String> = played.breaches.iter().map(ToString::to_string).collect();
        assert!(told.is_empty(), "{}\n{day}", told.join("\n"));
        let share = played.seen.share(3_000, day.length_ms, |_| true);
        assert!(share >= least_share, "{share:.3} served\n{day}");
        let rejected = played.seen.asked.iter().filter(|of| of.unauthorized);
        assert!(rejected.count() > 20, "few keys were rejected\n{day}");
    }
}

/// Asserts that some seed's day breaks the rule that a mutation targets.
fn assert_caught(day: fn(u64) -> Day, mutation: Mutation) {
    let rule = mutation.breaks().unwrap();
    let breaches = |seed| play(&day(seed), Some(mutation)).breaches;
    let found = (0..4)
        .flat_map(breaches)
        .find(|breach: &Breach| breach.rule == rule);
    println!("{mutation:?}: {found:?}");
    assert!(found.is_some(), "{mutation:?} does not break {rule:?}");
}

// Tasks got keys and wrong tenants, and ran requests with unknown and revoked keys (UNASKED, ROUTE, CONFIG).
#[test]
fn calm_days_with_changing_keys_break_no_rule() {
    assert_kept_for(0..8, calm_day, 0.97);
}

// The lease on the keys refuses requests on calm days (CONFIG, and 503 without need).
#[test]
fn calm_days_with_changing_keys_and_leases_break_no_rule() {
    assert_kept(strict_calm_day, 0.97);
}

// Machines that are cut off go on with revoked keys (CONFIG).
#[test]
fn days_with_machines_cut_off_from_all_controllers_break_no_rule() {
    assert_kept(cut_off_day, 0.9);
}

// Machines that are cut off while they hold a configuration without tenants run requests with revoked keys (CONFIG).
#[test]
fn days_with_machines_cut_off_before_there_are_tenants_break_no_rule() {
    assert_kept(cut_off_before_tenants_day, 0.9);
}

// Machines that send but hear nothing go on with revoked keys (CONFIG).
#[test]
fn days_with_machines_cut_off_one_way_break_no_rule() {
    assert_kept(deaf_day, 0.9);
}

// Machines that wake up go on with keys that were revoked meanwhile (CONFIG).
#[test]
fn days_with_frozen_machines_break_no_rule() {
    assert_kept(frozen_day, 0.7);
}

// Machines that wake up and hear nothing go on with keys that were revoked meanwhile (CONFIG).
#[test]
fn days_with_frozen_machines_that_then_hear_nothing_break_no_rule() {
    assert_kept(frozen_and_deaf_day, 0.7);
}

// Machines that start again hold keys of an older configuration (CONFIG).
#[test]
fn days_with_power_losses_break_no_rule() {
    assert_kept(power_loss_day, 0.8);
}

// Faults of any kind, overlapping (UNASKED, ROUTE, CONFIG).
#[test]
fn drawn_days_with_tenants_break_no_rule() {
    assert_kept_for(DRAWN_SEEDS, drawn_day, 0.75);
}

#[test]
#[ignore = "long: DRILL_SEEDS=8..400 cargo test --release -p rookpulley-simulator --test tenants -- --ignored many"]
fn many_drawn_days_with_tenants_break_no_rule() {
    let text = std::env::var("DRILL_SEEDS").unwrap_or_default();
    let (from, to) = text.split_once("..").unwrap_or(("8", "108"));
    // The share that is served is not checked: some drawn days have little calm time.
    assert_kept_for(from.parse().unwrap()..to.parse().unwrap(), drawn_day, 0.0);
}

#[test]
fn revoked_key_on_a_machine_that_is_cut_off_is_caught() {
    assert_caught(cut_off_day, Mutation::IgnoreKeyLease);
}

#[test]
fn revoked_key_on_a_machine_that_was_cut_off_before_there_were_tenants_is_caught() {
    assert_caught(cut_off_before_tenants_day, Mutation::IgnoreKeyLease);
}

#[test]
fn revoked_key_on_a_machine_that_is_cut_off_one_way_is_caught() {
    assert_caught(deaf_day, Mutation::IgnoreKeyLease);
}

#[test]
fn revoked_key_on_a_machine_that_was_frozen_is_caught() {
    assert_caught(frozen_day, Mutation::IgnoreKeyLease);
    assert_caught(frozen_and_deaf_day, Mutation::IgnoreKeyLease);
}

#[test]
fn lease_that_survives_a_freeze_is_caught() {
    assert_caught(frozen_and_deaf_day, Mutation::ClockStopsWhileFrozen);
}

#[test]
fn forwarded_key_is_caught() {
    assert_caught(calm_day, Mutation::ForwardKey);
}

#[test]
fn claimed_tenant_that_is_kept_is_caught() {
    assert_caught(calm_day, Mutation::KeepClaimedTenant);
}

#[test]
fn unknown_key_that_is_accepted_is_caught() {
    assert_caught(calm_day, Mutation::AcceptUnknownKeys);
}

#[test]
fn known_key_that_is_rejected_is_caught() {
    assert_caught(calm_day, Mutation::RejectKnownKeys);
}

// A proxy that misses the configurations goes on with the keys of an older one (CONFIG).
#[test]
fn proxies_that_miss_configurations_are_caught() {
    assert_caught(calm_day, Mutation::SkipConfigurations);
}

// Half of the invalid configurations give one key to two tenants (CONFIG).
#[test]
fn invalid_configuration_that_is_taken_is_caught() {
    assert_caught(calm_day, Mutation::AcceptInvalidConfiguration);
}
