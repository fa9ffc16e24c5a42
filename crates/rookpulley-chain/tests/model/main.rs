//! The view's protocol as a small model, and all states that it can reach within bounds. `docs/design/chain.md`, "The
//! model", says what it holds and what it leaves out. What it says of views it asks of the real `View`.
//!
//! `cargo test --release -p rookpulley-chain --test model -- --ignored --nocapture` goes further than every build does.

mod rules;
mod search;
mod state;

use rules::{Bounds, Broken, Fault, Model, Seen};
use search::search;
use std::time::Instant;

/// Three members, three views, one update; nobody dies.
const CALM: Bounds = Bounds {
    first: 3,
    losses: 1,
    ballots: [1, 1],
    updates: 1,
    crashes: 0,
    wipes: 0,
    reads: false,
    voters: false,
    one_each: false,
};
const CALM_WITH_READS: Bounds = Bounds {
    reads: true,
    ..CALM
};
const CRASH: Bounds = Bounds { crashes: 1, ..CALM };
/// Two members and a newcomer, so that the one that is left when a disk is lost must decide alone.
const LOST_DISK: Bounds = Bounds {
    first: 2,
    wipes: 1,
    reads: true,
    voters: true,
    ..CALM
};
/// The same, and once the chain is mended another disk.
const SECOND_LOST_DISK: Bounds = Bounds {
    wipes: 2,
    reads: false,
    ..LOST_DISK
};
/// The agreement alone: several ballots for the second view, and nothing in it.
const VOTES: Bounds = Bounds {
    ballots: [2, 0],
    updates: 0,
    crashes: 1,
    wipes: 1,
    one_each: true,
    ..CALM
};
const VOTES_OF_TWO: Bounds = Bounds {
    first: 2,
    ballots: [3, 0],
    ..VOTES
};
/// One controller that may not acknowledge alone.
const LONELY: Bounds = Bounds {
    first: 1,
    reads: true,
    ..CALM
};

/// More than this is not meant to be looked through.
const MOST: usize = 100_000_000;

/// Looks through all there is: no rule is broken, and there are at least so many states.
fn holds(name: &str, bounds: Bounds, tidies: bool, least: usize) -> Seen {
    let (began, model) = (Instant::now(), Model::new(bounds, None, tidies));
    let found = search(&model, MOST);
    let (states, steps, longest, took) = (
        found.states,
        found.steps,
        found.longest,
        began.elapsed().as_secs_f64(),
    );
    println!("{name}: {states} states, {steps} steps, the longest way {longest}, {took:.1} s");
    assert_eq!(found.broken, None, "{name}");
    assert!(
        states >= least,
        "{name}: {states} states are too few to show anything"
    );
    found.seen
}

/// A fault breaks a rule, whether or not states are put together. The tests above show that without it nothing breaks
/// within the same bounds.
fn caught(fault: Fault, bounds: Bounds, rule: Broken) {
    for tidies in [true, false] {
        let found = search(&Model::new(bounds, Some(fault), tidies), MOST);
        let (broken, way) = found
            .broken
            .unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!(
            "{fault:?}: {broken:?} after {} states, by {} steps: {way:?}",
            found.states,
            way.len()
        );
        assert_eq!(broken, rule, "{fault:?}: {way:?}");
    }
}

#[test]
fn rules_hold_whoever_crashes_and_whichever_view_is_dead() {
    let seen = holds("a crash", CRASH, true, 300_000);
    assert!(seen.third_view_holds_what_the_first_acknowledged);
    assert!(seen.dead_view_passed_over);
    assert!(seen.unfinished_update_carried_on);
    assert!(seen.view_at_work_after_a_later_one);
}

#[test]
fn rules_hold_whichever_disk_is_lost_and_reads_see_all_that_was_acknowledged() {
    let seen = holds("a lost disk", LOST_DISK, true, 200_000);
    assert!(seen.third_view_holds_what_the_first_acknowledged);
    assert!(seen.decided_by_all_that_are_left);
    assert!(seen.newcomer_at_work);
    assert!(seen.read_in_a_later_view);
}

#[test]
fn rules_hold_whichever_disk_is_lost_after_the_chain_is_mended() {
    let seen = holds("a second lost disk", SECOND_LOST_DISK, true, 10_000);
    assert!(seen.at_work_after_a_second_loss && seen.third_view_holds_what_the_first_acknowledged);
}

#[test]
fn one_view_a_number_whoever_proposes_crashes_and_loses_its_disk() {
    let three = holds("two ballots of three", VOTES, true, 80_000);
    let two = holds("three ballots of two", VOTES_OF_TWO, true, 180_000);
    assert!(three.higher_ballot_bound_by_a_lower && two.higher_ballot_bound_by_a_lower);
    assert!(two.decided_by_all_that_are_left);
}

#[test]
fn rules_hold_in_calm_and_a_lonely_controller_waits_for_others() {
    let calm = holds("calm", CALM_WITH_READS, true, 50_000);
    assert!(calm.read_in_a_later_view && calm.dead_view_passed_over);
    let lonely = holds("a lonely controller", LONELY, true, 4_000);
    assert!(lonely.read_in_a_later_view);
}

#[test]
fn a_wiped_controller_under_its_old_identity_is_caught_where_a_second_disk_is_lost() {
    let rule = Broken::ViewAtWorkWithoutWhatWasAcknowledged;
    caught(Fault::WipedUnderItsOldIdentity, SECOND_LOST_DISK, rule);
}

#[test]
fn votes_forgotten_at_a_restart_are_caught() {
    caught(
        Fault::VotesForgotten,
        Bounds { wipes: 0, ..VOTES },
        Broken::TwoViewsOfANumber,
    );
}

#[test]
fn a_wiped_controller_that_votes_under_its_old_identity_is_caught() {
    caught(
        Fault::WipedUnderItsOldIdentity,
        Bounds {
            crashes: 0,
            ..VOTES
        },
        Broken::TwoViewsOfANumber,
    );
}

#[test]
fn a_next_view_decided_by_any_group_is_caught() {
    caught(Fault::AnyGroupDecides, VOTES, Broken::TwoViewsOfANumber);
}

#[test]
fn a_source_that_has_not_installed_the_view_before_is_caught() {
    caught(
        Fault::SourceWithoutTheViewBefore,
        CALM,
        Broken::ViewAtWorkWithoutWhatWasAcknowledged,
    );
}

#[test]
fn a_view_taken_for_dead_without_a_promise_is_caught() {
    caught(
        Fault::DeadWithoutAPromise,
        CALM,
        Broken::ViewAtWorkWithoutWhatWasAcknowledged,
    );
}

#[test]
fn an_update_acknowledged_before_all_have_synced_it_is_caught() {
    let bounds = Bounds {
        ballots: [1, 0],
        ..CRASH
    };
    caught(
        Fault::AcknowledgedBeforeAllHaveSynced,
        bounds,
        Broken::ViewAtWorkWithoutWhatWasAcknowledged,
    );
}

#[test]
fn a_member_that_takes_entries_of_a_view_it_has_left_is_caught() {
    caught(
        Fault::LeftAndStillTaking,
        CALM,
        Broken::AcknowledgedByAViewThatIsOver,
    );
}

#[test]
fn a_tail_that_reads_alone_is_caught() {
    caught(
        Fault::TailReadsAlone,
        CALM_WITH_READS,
        Broken::ReadWithoutWhatWasAcknowledged,
    );
}

#[test]
fn a_source_that_applies_what_is_not_committed_is_caught() {
    caught(
        Fault::SourceAppliesAtOnce,
        CALM,
        Broken::AppliedAndNotAgreed,
    );
}

#[test]
fn a_view_of_too_few_that_acknowledges_is_caught() {
    caught(
        Fault::TooFewAcknowledge,
        LONELY,
        Broken::AcknowledgedByTooFew,
    );
}

#[test]
#[ignore = "six minutes and up to 6 GB in release"]
fn rules_hold_within_wide_bounds() {
    let both = Bounds {
        wipes: 1,
        reads: true,
        voters: true,
        ..CRASH
    };
    holds("a crash, states as they are", CRASH, false, 3_000_000);
    let seen = holds("a crash and a lost disk", both, true, 6_000_000);
    let all = Seen {
        higher_ballot_bound_by_a_lower: true,
        ..seen
    };
    let whole = Seen {
        third_view_holds_what_the_first_acknowledged: true,
        dead_view_passed_over: true,
        unfinished_update_carried_on: true,
        decided_by_all_that_are_left: true,
        read_in_a_later_view: true,
        newcomer_at_work: true,
        // One disk is lost here; `rules_hold_whichever_disk_is_lost_after_the_chain_is_mended` has two.
        at_work_after_a_second_loss: false,
        view_at_work_after_a_later_one: true,
        higher_ballot_bound_by_a_lower: true,
    };
    assert_eq!(all, whole);
    holds(
        "the same of two members",
        Bounds { first: 2, ..both },
        true,
        2_000_000,
    );
    holds(
        "three ballots",
        Bounds {
            ballots: [3, 0],
            ..VOTES
        },
        true,
        9_000_000,
    );
    holds(
        "two ballots for two views",
        Bounds {
            ballots: [2, 2],
            ..VOTES
        },
        true,
        13_000_000,
    );
    holds(
        "two updates",
        Bounds { updates: 2, ..both },
        true,
        40_000_000,
    );
}
