//! Regression tests of single sequences.

use super::{acquire, next_number, put, release, renew, restored_copy};
use rookpulley_state::{Answer, Query, StateMachine, Update, WatchResult};
use rookpulley_usage::{ProxyUsage, TenantUsage, Window, WindowUsage};

#[test]
fn lock_is_reacquired_only_after_lease_and_grace_time_with_a_higher_token() {
    let mut state = StateMachine::default();
    assert_eq!(acquire(&mut state, 0, "l", "a", 1_000), Answer::Acquired(1));
    assert_eq!(
        acquire(&mut state, 0, "other", "b", 1_000),
        Answer::Acquired(2)
    );
    assert_eq!(
        acquire(&mut state, 1_049, "l", "b", 1_000),
        Answer::LockHeld
    );
    assert_eq!(
        acquire(&mut state, 1_050, "l", "b", 1_000),
        Answer::Acquired(3)
    );
    assert_eq!(
        renew(&mut state, 1_060, "l", "a", 1, 9_000),
        Answer::LockHeld
    );
    assert_eq!(release(&mut state, 1_070, "l", "a", 1), Answer::Released);
    assert_eq!(
        acquire(&mut state, 1_080, "l", "c", 1_000),
        Answer::LockHeld
    );
    // Acquiring after expiry starts a new lease, also for the same holder; an earlier timestamp shortens no lease.
    assert_eq!(
        acquire(&mut state, 2_200, "l", "b", 1_000),
        Answer::Acquired(4)
    );
    assert_eq!(
        acquire(&mut state, 0, "new", "a", 1_000),
        Answer::Acquired(5)
    );
    assert_eq!(
        acquire(&mut state, 3_249, "new", "b", 1_000),
        Answer::LockHeld
    );
}

#[test]
fn repeated_acquire_keeps_the_token_and_never_shortens_the_lease() {
    let mut state = StateMachine::default();
    acquire(&mut state, 0, "l", "a", 5_000);
    assert_eq!(acquire(&mut state, 100, "l", "a", 10), Answer::Acquired(1));
    assert_eq!(renew(&mut state, 200, "l", "a", 1, 10), Answer::Renewed);
    assert_eq!(acquire(&mut state, 5_049, "l", "b", 10), Answer::LockHeld);
    // The lease has expired, but nobody else acquired the lock.
    assert_eq!(
        renew(&mut state, 6_000, "l", "a", 1, 1_000),
        Answer::Renewed
    );
    assert_eq!(acquire(&mut state, 6_500, "l", "b", 10), Answer::LockHeld);
}

#[test]
fn delayed_renewals_and_releases_have_no_effect_after_a_release() {
    let mut state = StateMachine::default();
    acquire(&mut state, 0, "l", "a", 5_000);
    release(&mut state, 10, "l", "a", 1);
    assert_eq!(renew(&mut state, 20, "l", "a", 1, 5_000), Answer::LockHeld);
    assert_eq!(
        acquire(&mut state, 30, "l", "a", 5_000),
        Answer::Acquired(2)
    );
    assert_eq!(release(&mut state, 40, "l", "a", 1), Answer::Released);
    assert_eq!(renew(&mut state, 45, "l", "a", 1, 90_000), Answer::LockHeld);
    assert_eq!(renew(&mut state, 46, "l", "b", 2, 90_000), Answer::LockHeld);
    assert_eq!(acquire(&mut state, 50, "l", "b", 5_000), Answer::LockHeld);
}

/// Guards against two holders: a holder that dies while its release is on its way acquires the lock again with the same
/// token, which the release then names as well.
#[test]
fn release_sent_before_the_holder_acquired_the_lock_again_does_not_free_it() {
    let mut state = StateMachine::default();
    acquire(&mut state, 0, "l", "a", 3_000);
    assert_eq!(
        acquire(&mut state, 900, "l", "a", 3_000),
        Answer::Acquired(1)
    );
    assert_eq!(
        release(&mut state, 901, "l", "a", 1),
        Answer::ReleaseMayBeStale
    );
    // Whether a release is refused survives a restart and a transfer to another replica.
    let mut state = restored_copy(&state);
    assert_eq!(
        release(&mut state, 2_649, "l", "a", 1),
        Answer::ReleaseMayBeStale
    );
    assert_eq!(acquire(&mut state, 2_649, "l", "b", 10), Answer::LockHeld);
    assert_eq!(release(&mut state, 2_650, "l", "a", 1), Answer::Released);
    assert_eq!(
        acquire(&mut state, 2_650, "l", "b", 10),
        Answer::Acquired(2)
    );
}

/// Guards against locks that stay held: a release that names the lease's only acquisition can't be older than it.
#[test]
fn lock_acquired_once_is_released_at_once() {
    let mut state = StateMachine::default();
    for fence in 1..=3 {
        let now_ms = fence * 10;
        assert_eq!(
            acquire(&mut state, now_ms, "l", "a", 3_000),
            Answer::Acquired(fence)
        );
        renew(&mut state, now_ms + 1, "l", "a", fence, 3_000);
        assert_eq!(
            release(&mut state, now_ms + 2, "l", "a", fence),
            Answer::Released
        );
    }
    assert_eq!(acquire(&mut state, 33, "l", "b", 10), Answer::Acquired(4));
}

#[test]
fn tokens_and_counters_continue_after_a_restore() {
    let mut state = StateMachine::default();
    acquire(&mut state, 0, "l", "a", 1);
    release(&mut state, 1, "l", "a", 1);
    assert_eq!(next_number(&mut state, 2, "n"), Answer::Number(1));
    let mut state = restored_copy(&state);
    assert_eq!(state.usage().locks, 0);
    assert_eq!(acquire(&mut state, 3, "l", "b", 1), Answer::Acquired(2));
    assert_eq!(next_number(&mut state, 4, "n"), Answer::Number(2));
}

#[test]
fn repeated_put_returns_its_first_revision_even_if_its_condition_fails() {
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
    // The current value is recognized as a repeat even after its event has expired.
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
        WatchResult::NoEvents { revision: 9 }
    );
}

/// Sends updates of usage and duties, whatever is answered.
fn use_usage_and_duties(state: &mut StateMachine) {
    let tenants = vec![TenantUsage {
        tenant: "t".into(),
        requests: 3,
    }];
    for window in [7, 8].map(Window) {
        let tenants = tenants.clone();
        let windows = vec![WindowUsage { window, tenants }];
        let incarnation = 5;
        let proxies = vec![ProxyUsage {
            incarnation,
            windows,
        }];
        state.apply(7, &Update::RecordUsage { proxies });
    }
    let window = Window(7);
    state.apply(7, &Update::CloseUsage { window });
    for holder in ["a", "b"] {
        let request = Update::AcquireDuty {
            duty: "d".into(),
            holder: holder.into(),
            lease_ms: 9,
            above: 0,
        };
        state.apply(80, &request);
    }
}

#[test]
fn updates_round_trip_and_arbitrary_bytes_are_harmless() {
    super::run_cases(300, 3_000, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let mut state = StateMachine::default();
        put(&mut state, 5, "g.k", "v", None);
        acquire(&mut state, 6, "l", "a", 9);
        if u.ratio(1, 2)? {
            use_usage_and_duties(&mut state);
        }
        let whole = state.snapshot();
        let (cut, at, flip) = (
            u.choose_index(whole.len())?,
            u.choose_index(whole.len())?,
            u.int_in_range(1..=255)?,
        );
        assert!(state.clone().restore(&whole[..cut]).is_err());
        let mut corrupted = whole.clone();
        corrupted[at] ^= flip;
        for bytes in [&bytes, &corrupted] {
            let mut other = state.clone();
            if other.restore(bytes).is_err() {
                assert_eq!(other.snapshot(), whole);
            }
            // A restored state remains usable.
            put(&mut other, 7, "g.k", "w", None);
            acquire(&mut other, 8, "l", "b", 9);
            use_usage_and_duties(&mut other);
            other.watch("g.", 1, 10);
            other.apply(u64::MAX, &Update::NextNumber { name: "n".into() });
            restored_copy(&other);
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
