//! Recovery time after all members lose power: a majority must activate a view without waiting for the other members.

mod world;

use rand::RngExt;
use world::{Fault, World};

/// Limit from the start of the member that completes a majority until a view is decided. Messages take 1 to 7 ms and
/// syncs 5 ms: three messages for contact, two for statuses, then two ballots of two messages and a sync each, repeated
/// if the other members are not yet in contact with each other.
const MAX_DECISION_MS: u64 = 120;
/// Limit until an update is answered.
const MAX_ANSWER_MS: u64 = 200;

/// The number of seeds, from `CHAIN_CASES` or 12.
fn seeds() -> u64 {
    std::env::var("CHAIN_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(12)
}

/// Times since a majority was running.
struct Recovery {
    decided_ms: u64,
    answered_ms: u64,
}

/// Cuts the power of all members and restarts a majority in random order, `gaps` apart. The others stay stopped.
fn recover_with_a_majority(seed: u64, gaps: std::ops::Range<u64>) -> Recovery {
    let controllers = 3 + (seed % 4) as usize;
    let losses = if controllers > 4 { 2 } else { 1 };
    let mut world = World::new(seed, controllers, losses);
    (world.max_delay_ms, world.call_interval_ms) = (6, 4);
    world.run(3_000);
    let view_before = world.view_number();
    world.inject(Fault::KillAll { power: true });
    world.run(700);
    let mut stopped = world.nodes();
    for _ in 0..controllers / 2 + 1 {
        let gap = world.rng.random_range(gaps.clone());
        world.run(gap);
        let next = world.rng.random_range(0..stopped.len());
        world.restart(stopped.swap_remove(next));
    }
    let since = world.now;
    while world.view_number() == view_before && world.now < since + 3_000 {
        world.run(1);
    }
    let decided_ms = world.now - since;
    let answers_before = world.took.len();
    while world.took.len() == answers_before && world.now < since + 3_000 {
        world.run(1);
    }
    let answered_ms = world.now - since;
    world.heal();
    world.run(3_000);
    world.assert_updates_complete();
    Recovery {
        decided_ms,
        answered_ms,
    }
}

fn assert_recovery_within_limits(gaps: &std::ops::Range<u64>) {
    let mut late = Vec::new();
    let mut worst = (0, 0);
    for seed in 0..seeds() {
        let recovery = recover_with_a_majority(seed, gaps.clone());
        worst.0 = worst.0.max(recovery.decided_ms);
        worst.1 = worst.1.max(recovery.answered_ms);
        if recovery.decided_ms > MAX_DECISION_MS || recovery.answered_ms > MAX_ANSWER_MS {
            late.push((seed, recovery.decided_ms, recovery.answered_ms));
        }
    }
    println!("gaps {gaps:?}: worst decision and answer {worst:?} ms");
    assert!(late.is_empty(), "(seed, decided, answered): {late:?}");
}

#[test]
fn a_majority_restarted_one_by_one_decides_a_view_promptly() {
    assert_recovery_within_limits(&(30..300));
}

#[test]
fn a_majority_restarted_together_decides_a_view_promptly() {
    assert_recovery_within_limits(&(0..20));
}
