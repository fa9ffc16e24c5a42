//! Single sequences that once were, or easily would be, got wrong.

use super::{give_back, moved, number, put, renew, take};
use rookpulley_state::{Answer, Query, StateMachine, Update, WatchResult};

#[test]
fn a_lock_goes_to_another_only_after_the_hold_and_its_spare_time_and_under_a_higher_fence() {
    let mut state = StateMachine::default();
    assert_eq!(take(&mut state, 0, "l", "a", 1_000), Answer::Acquired(1));
    assert_eq!(
        take(&mut state, 0, "other", "b", 1_000),
        Answer::Acquired(2)
    );
    assert_eq!(take(&mut state, 1_049, "l", "b", 1_000), Answer::LockHeld);
    assert_eq!(
        take(&mut state, 1_050, "l", "b", 1_000),
        Answer::Acquired(3)
    );
    assert_eq!(
        renew(&mut state, 1_060, "l", "a", 1, 9_000),
        Answer::LockHeld
    );
    assert_eq!(give_back(&mut state, 1_070, "l", "a", 1), Answer::Released);
    assert_eq!(take(&mut state, 1_080, "l", "c", 1_000), Answer::LockHeld);
    // After its own time, too, a hold is a new one; and a stamp that goes back takes no time away.
    assert_eq!(
        take(&mut state, 2_200, "l", "b", 1_000),
        Answer::Acquired(4)
    );
    assert_eq!(take(&mut state, 0, "new", "a", 1_000), Answer::Acquired(5));
    assert_eq!(take(&mut state, 3_249, "new", "b", 1_000), Answer::LockHeld);
}

#[test]
fn a_holder_that_asks_again_keeps_its_fence_and_never_gets_less_time() {
    let mut state = StateMachine::default();
    take(&mut state, 0, "l", "a", 5_000);
    assert_eq!(take(&mut state, 100, "l", "a", 10), Answer::Acquired(1));
    assert_eq!(renew(&mut state, 200, "l", "a", 1, 10), Answer::Renewed);
    assert_eq!(take(&mut state, 5_049, "l", "b", 10), Answer::LockHeld);
    // Its time is over, but nobody has it: it isn't lost.
    assert_eq!(
        renew(&mut state, 6_000, "l", "a", 1, 1_000),
        Answer::Renewed
    );
    assert_eq!(take(&mut state, 6_500, "l", "b", 10), Answer::LockHeld);
}

#[test]
fn a_renewal_or_a_drop_from_before_a_drop_does_nothing_after_it() {
    let mut state = StateMachine::default();
    take(&mut state, 0, "l", "a", 5_000);
    give_back(&mut state, 10, "l", "a", 1);
    assert_eq!(renew(&mut state, 20, "l", "a", 1, 5_000), Answer::LockHeld);
    assert_eq!(take(&mut state, 30, "l", "a", 5_000), Answer::Acquired(2));
    assert_eq!(give_back(&mut state, 40, "l", "a", 1), Answer::Released);
    assert_eq!(renew(&mut state, 45, "l", "a", 1, 90_000), Answer::LockHeld);
    assert_eq!(renew(&mut state, 46, "l", "b", 2, 90_000), Answer::LockHeld);
    assert_eq!(take(&mut state, 50, "l", "b", 5_000), Answer::LockHeld);
}

#[test]
fn fences_and_numbers_go_on_after_a_move_though_nothing_is_held() {
    let mut state = StateMachine::default();
    take(&mut state, 0, "l", "a", 1);
    give_back(&mut state, 1, "l", "a", 1);
    assert_eq!(number(&mut state, 2, "n"), Answer::Number(1));
    let mut state = moved(&state);
    assert_eq!(state.usage().locks, 0);
    assert_eq!(take(&mut state, 3, "l", "b", 1), Answer::Acquired(2));
    assert_eq!(number(&mut state, 4, "n"), Answer::Number(2));
}

#[test]
fn a_put_that_comes_again_gets_its_first_revision_also_where_its_condition_no_longer_holds() {
    let mut state = StateMachine::default();
    assert_eq!(
        put(&mut state, 0, "g.k", "one", Some(0)),
        Answer::Revision(1)
    );
    assert_eq!(
        put(&mut state, 1, "g.k", "one", Some(0)),
        Answer::Revision(1)
    );
    assert_eq!(
        put(&mut state, 2, "g.other", "x", None),
        Answer::Revision(2)
    );
    assert_eq!(
        put(&mut state, 3, "g.k", "two", Some(1)),
        Answer::Revision(3)
    );
    assert_eq!(
        put(&mut state, 4, "g.k", "one", Some(0)),
        Answer::Revision(1)
    );
    assert_eq!(
        put(&mut state, 5, "g.k", "three", Some(1)),
        Answer::Conflict { revision: 3 }
    );
    assert_eq!(
        put(&mut state, 6, "g.none", "y", Some(3)),
        Answer::Conflict { revision: 0 }
    );
    let now = Answer::Value {
        value: "two".into(),
        revision: 3,
    };
    assert_eq!(state.read(&Query::Key { name: "g.k".into() }), now);
    // Long after, the present value is still known as what it is.
    assert_eq!(
        put(&mut state, 1_000_000, "g.other", "z", None),
        Answer::Revision(4)
    );
    assert_eq!(
        put(&mut state, 1_000_001, "g.k", "two", Some(1)),
        Answer::Revision(3)
    );
    assert_eq!(state.watch("g.", 2, 10), WatchResult::TooOld);
    assert_eq!(
        state.watch("g.", 9, 10),
        WatchResult::Nothing { revision: 9 }
    );
}

#[test]
fn calls_come_back_from_their_bytes_and_other_bytes_do_no_harm() {
    super::run_cases(300, 3_000, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let mut state = StateMachine::default();
        put(&mut state, 5, "g.k", "v", None);
        take(&mut state, 6, "l", "a", 9);
        let whole = state.snapshot();
        let (cut, at, flip) = (
            u.choose_index(whole.len())?,
            u.choose_index(whole.len())?,
            u.int_in_range(1..=255)?,
        );
        assert!(state.clone().restore(&whole[..cut]).is_err());
        let mut spoilt = whole.clone();
        spoilt[at] ^= flip;
        for bytes in [&bytes, &spoilt] {
            let mut other = state.clone();
            if other.restore(bytes).is_err() {
                assert_eq!(other.snapshot(), whole);
            }
            // Whatever was taken in goes on working.
            put(&mut other, 7, "g.k", "w", None);
            take(&mut other, 8, "l", "b", 9);
            other.watch("g.", 1, 10);
            other.apply(u64::MAX, &Update::NextNumber { name: "n".into() });
            moved(&other);
        }
        if let Ok(update) = Update::decode(&bytes) {
            assert_eq!(update.encode(), bytes);
        }
        let answer = state.apply_bytes(9, &bytes);
        assert!(Answer::decode(&answer).is_ok());
        assert!(Answer::decode(&state.read_bytes(&bytes)).is_ok());
        Ok(())
    });
}
