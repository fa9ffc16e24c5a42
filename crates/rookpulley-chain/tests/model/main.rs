//! Explores all reachable states of a bounded model of the view protocol, using the real `View`.
//! `docs/design/chain.md`, "The model", describes what it covers and what it leaves out.
//!
//! `cargo test --release -p rookpulley-chain --test model -- --ignored --nocapture` runs the wide bounds.

mod activation;
mod agreement;
mod canonicalization;
mod failures;
mod replication;
mod rules;
mod search;
mod state;

use rules::{Bounds, Coverage, Fault, Model, Violation, VoterChoice};
use search::search;
use std::time::Instant;

/// Three members, three views and one update, without crashes.
const NO_FAULTS: Bounds = Bounds {
    first: 3,
    losses: 1,
    ballots: [1, 1],
    updates: 1,
    crashes: 0,
    wipes: 0,
    reads: false,
    voters: VoterChoice::None,
    one_view_per_ballot: false,
};
const NO_FAULTS_WITH_READS: Bounds = Bounds {
    reads: true,
    ..NO_FAULTS
};
const CRASH: Bounds = Bounds {
    crashes: 1,
    ..NO_FAULTS
};
/// Two members and one spare machine, so that after a lost disk the remaining member decides alone.
const LOST_DISK: Bounds = Bounds {
    first: 2,
    wipes: 1,
    reads: true,
    voters: VoterChoice::Any,
    ..NO_FAULTS
};
/// As `LOST_DISK`, with a second disk lost once the chain has recovered.
const SECOND_LOST_DISK: Bounds = Bounds {
    wipes: 2,
    reads: false,
    ..LOST_DISK
};
/// Agreement only: several ballots for the second view, without updates.
const VOTES: Bounds = Bounds {
    ballots: [2, 0],
    updates: 0,
    crashes: 1,
    wipes: 1,
    one_view_per_ballot: true,
    ..NO_FAULTS
};
const VOTES_OF_TWO: Bounds = Bounds {
    first: 2,
    ballots: [3, 0],
    ..VOTES
};
/// Three members of which any may leave the chain for any time, and one disk is lost.
const ABSENCES: Bounds = Bounds {
    wipes: 1,
    voters: VoterChoice::Filled,
    ..NO_FAULTS
};
/// One controller that may not acknowledge alone.
const SINGLE_MEMBER: Bounds = Bounds {
    first: 1,
    reads: true,
    ..NO_FAULTS
};

/// Limit on the number of explored states.
const MAX_STATES: usize = 100_000_000;

/// Asserts that no reachable state violates a rule and that at least `min_states` are reachable.
fn explore_without_violation(
    name: &str,
    bounds: Bounds,
    canonicalizes: bool,
    min_states: usize,
) -> Coverage {
    let (started, model) = (Instant::now(), Model::new(bounds, None, canonicalizes));
    let found = search(&model, MAX_STATES);
    let (states, steps, longest, elapsed_s) = (
        found.states,
        found.steps,
        found.longest,
        started.elapsed().as_secs_f64(),
    );
    println!(
        "{name}: {states} states, {steps} steps, the longest path {longest}, {elapsed_s:.1} s"
    );
    assert_eq!(found.violation, None, "{name}");
    assert!(
        states >= min_states,
        "{name}: {states} states are too few for a meaningful search"
    );
    found.coverage
}

/// Asserts that an injected fault violates `rule`, with and without canonicalization of states.
fn assert_detected(fault: Fault, bounds: Bounds, rule: Violation) {
    for canonicalizes in [true, false] {
        let found = search(&Model::new(bounds, Some(fault), canonicalizes), MAX_STATES);
        let (violation, path) = found
            .violation
            .unwrap_or_else(|| panic!("{fault:?} is not detected"));
        println!(
            "{fault:?}: {violation:?} after {} states, by {} steps: {path:?}",
            found.states,
            path.len()
        );
        assert_eq!(violation, rule, "{fault:?}: {path:?}");
    }
}

#[test]
fn rules_hold_with_a_crash_and_abandoned_views() {
    let coverage = explore_without_violation("a crash", CRASH, true, 300_000);
    assert!(coverage.third_view_holds_updates_of_first);
    assert!(coverage.abandoned_view_skipped);
    assert!(coverage.unacknowledged_update_carried_over);
    assert!(coverage.view_active_after_later_one);
}

#[test]
fn rules_hold_with_a_lost_disk_and_reads_are_not_stale() {
    let coverage = explore_without_violation("a lost disk", LOST_DISK, true, 200_000);
    assert!(coverage.third_view_holds_updates_of_first);
    assert!(coverage.decided_by_all_remaining);
    assert!(coverage.new_member_active);
    assert!(coverage.read_in_a_later_view);
}

#[test]
fn rules_hold_when_a_second_disk_is_lost_after_recovery() {
    let coverage = explore_without_violation("a second lost disk", SECOND_LOST_DISK, true, 10_000);
    assert!(coverage.active_after_second_loss && coverage.third_view_holds_updates_of_first);
}

/// Guards against a view without its silent acceptors, which fewer lost disks than tolerated stop for good.
#[test]
fn a_quorum_is_left_when_a_disk_is_lost_while_others_are_away() {
    let coverage = explore_without_violation("absences and a lost disk", ABSENCES, true, 100_000);
    assert!(coverage.lost_disk_in_a_view_with_voters && coverage.new_member_active);
}

#[test]
fn silent_acceptors_dropped_are_detected() {
    assert_detected(
        Fault::SilentAcceptorsDropped,
        ABSENCES,
        Violation::QuorumLostForGood,
    );
}

#[test]
fn one_view_per_number_with_competing_ballots_a_crash_and_a_lost_disk() {
    let three = explore_without_violation("two ballots of three", VOTES, true, 80_000);
    let two = explore_without_violation("three ballots of two", VOTES_OF_TWO, true, 180_000);
    assert!(three.higher_ballot_bound_by_lower && two.higher_ballot_bound_by_lower);
    assert!(two.decided_by_all_remaining);
}

#[test]
fn rules_hold_without_faults_and_with_a_single_initial_member() {
    let no_faults = explore_without_violation("no faults", NO_FAULTS_WITH_READS, true, 50_000);
    assert!(no_faults.read_in_a_later_view && no_faults.abandoned_view_skipped);
    let single = explore_without_violation("a single controller", SINGLE_MEMBER, true, 4_000);
    assert!(single.read_in_a_later_view);
}

#[test]
fn identity_kept_after_a_wipe_is_detected_when_a_second_disk_is_lost() {
    let rule = Violation::ActiveViewMissesAcknowledged;
    assert_detected(Fault::IdentityKeptAfterWipe, SECOND_LOST_DISK, rule);
}

#[test]
fn votes_lost_on_restart_are_detected() {
    assert_detected(
        Fault::VotesNotPersisted,
        Bounds { wipes: 0, ..VOTES },
        Violation::ConflictingDecisions,
    );
}

#[test]
fn a_wiped_controller_that_votes_under_its_old_identity_is_detected() {
    assert_detected(
        Fault::IdentityKeptAfterWipe,
        Bounds {
            crashes: 0,
            ..VOTES
        },
        Violation::ConflictingDecisions,
    );
}

#[test]
fn a_decision_without_a_quorum_is_detected() {
    assert_detected(
        Fault::AnyGroupDecides,
        VOTES,
        Violation::ConflictingDecisions,
    );
}

#[test]
fn a_source_without_the_previous_view_is_detected() {
    assert_detected(
        Fault::SourceWithoutPreviousView,
        NO_FAULTS,
        Violation::ActiveViewMissesAcknowledged,
    );
}

#[test]
fn a_view_abandoned_without_a_promise_is_detected() {
    assert_detected(
        Fault::AbandonedWithoutPromise,
        NO_FAULTS,
        Violation::ActiveViewMissesAcknowledged,
    );
}

#[test]
fn an_update_acknowledged_before_every_sync_is_detected() {
    let bounds = Bounds {
        ballots: [1, 0],
        ..CRASH
    };
    assert_detected(
        Fault::AcknowledgedBeforeSync,
        bounds,
        Violation::ActiveViewMissesAcknowledged,
    );
}

#[test]
fn entries_accepted_from_a_left_view_are_detected() {
    assert_detected(
        Fault::AppendsAcceptedFromLeftView,
        NO_FAULTS,
        Violation::AcknowledgedByObsoleteView,
    );
}

#[test]
fn local_reads_at_the_tail_are_detected() {
    assert_detected(
        Fault::LocalTailReads,
        NO_FAULTS_WITH_READS,
        Violation::StaleRead,
    );
}

#[test]
fn a_source_that_applies_uncommitted_updates_is_detected() {
    assert_detected(
        Fault::SourceAppliesUncommitted,
        NO_FAULTS,
        Violation::AppliedUncommitted,
    );
}

#[test]
fn acknowledgements_by_too_few_members_are_detected() {
    assert_detected(
        Fault::TooFewMembersAcknowledge,
        SINGLE_MEMBER,
        Violation::AcknowledgedByTooFewMembers,
    );
}

#[test]
#[ignore = "six minutes and up to 6 GB in release"]
fn rules_hold_within_wide_bounds() {
    let both = Bounds {
        wipes: 1,
        reads: true,
        voters: VoterChoice::Any,
        ..CRASH
    };
    explore_without_violation("a crash, without canonicalization", CRASH, false, 3_000_000);
    let coverage = explore_without_violation("a crash and a lost disk", both, true, 6_000_000);
    let all = Coverage {
        higher_ballot_bound_by_lower: true,
        ..coverage
    };
    let expected = Coverage {
        third_view_holds_updates_of_first: true,
        abandoned_view_skipped: true,
        unacknowledged_update_carried_over: true,
        decided_by_all_remaining: true,
        read_in_a_later_view: true,
        new_member_active: true,
        // Only one disk is lost here; `rules_hold_when_a_second_disk_is_lost_after_recovery` covers two.
        active_after_second_loss: false,
        view_active_after_later_one: true,
        higher_ballot_bound_by_lower: true,
        lost_disk_in_a_view_with_voters: true,
    };
    assert_eq!(all, expected);
    explore_without_violation(
        "a crash and a lost disk, two members",
        Bounds { first: 2, ..both },
        true,
        2_000_000,
    );
    explore_without_violation(
        "three ballots",
        Bounds {
            ballots: [3, 0],
            ..VOTES
        },
        true,
        9_000_000,
    );
    explore_without_violation(
        "two ballots for two views",
        Bounds {
            ballots: [2, 2],
            ..VOTES
        },
        true,
        13_000_000,
    );
    explore_without_violation(
        "two updates",
        Bounds { updates: 2, ..both },
        true,
        40_000_000,
    );
}
