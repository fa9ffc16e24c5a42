//! Limits: a snapshot fits into one frame, and requests beyond a limit are rejected.

use super::{acquire, configure, next_number, put, release, renew};
use rookpulley_state::{Answer, Limits, StateMachine, Usage, WatchResult};

#[test]
fn expired_leases_and_events_are_removed() {
    let mut state = StateMachine::default();
    for n in 0..10_000u64 {
        let at = n * 100;
        match n % 5 {
            0 => {
                _ = acquire(
                    &mut state,
                    at,
                    &format!("l{}", n % 400),
                    &format!("a{n}"),
                    500,
                )
            }
            1 => _ = next_number(&mut state, at, &format!("n{}", n % 40)),
            2 => _ = configure(&mut state, at, n, &vec![b'x'; 20_000]),
            _ => {
                _ = put(
                    &mut state,
                    at,
                    &format!("g{}.{}", n % 3, n % 30),
                    &format!("{n:016x}"),
                    None,
                )
            }
        }
    }
    let usage = state.usage();
    // 4 puts/s, retained for 120 s plus the sweep interval of 10 s. Expired locks are removed.
    assert!(usage.events <= 4 * 131, "{usage:?}");
    assert!(
        usage.locks <= 80 && usage.counters <= 40 && usage.keys <= 30,
        "{usage:?}"
    );
    assert!(
        state.snapshot().len() < 64_000,
        "{}",
        state.snapshot().len()
    );
}

#[test]
fn full_state_rejects_new_entries_but_keeps_serving_existing_ones() {
    let mut state = StateMachine::default();
    let body = vec![b'c'; Limits::default().configuration_bytes];
    configure(&mut state, 0, 1, &body);
    let long = "n".repeat(240);
    assert!(matches!(
        acquire(&mut state, 0, "l", "a", 600_000),
        Answer::Acquired(_)
    ));
    let created = (0..)
        .take_while(|n| {
            next_number(&mut state, 1, &format!("{n}{long}")) != Answer::CapacityExceeded
        })
        .count();
    assert!(created > 10_000);
    assert_eq!(
        acquire(&mut state, 2, &long, "a", 1),
        Answer::CapacityExceeded
    );
    assert_eq!(
        put(&mut state, 2, "g.k", &long, None),
        Answer::CapacityExceeded
    );
    assert_eq!(
        next_number(&mut state, 3, &format!("0{long}")),
        Answer::Number(2)
    );
    assert_eq!(renew(&mut state, 3, "l", "a", 1, 600_000), Answer::Renewed);
    assert_eq!(release(&mut state, 4, "l", "a", 1), Answer::Released);
    assert!(state.snapshot().len() < 16 << 20);
    let full = state.usage();
    assert_eq!(
        next_number(&mut state, 5, &"n".repeat(257)),
        Answer::TooLong
    );
    assert_eq!(
        configure(&mut state, 5, 2, &[body, vec![0]].concat()),
        Answer::TooLong
    );
    assert_eq!(state.usage(), Usage { ..full });
}

#[test]
fn locks_and_keys_are_limited_and_expired_locks_make_room() {
    let mut state = StateMachine::new(Limits {
        names: 3,
        ..Limits::default()
    });
    for n in 0..3 {
        acquire(&mut state, 0, &format!("l{n}"), "a", 1_000);
        put(&mut state, 0, &format!("g{n}.k"), &format!("{n}"), None);
    }
    assert_eq!(
        acquire(&mut state, 1_049, "l3", "a", 1_000),
        Answer::CapacityExceeded
    );
    assert_eq!(
        acquire(&mut state, 1_050, "l3", "a", 1_000),
        Answer::Acquired(4)
    );
    assert_eq!(
        put(&mut state, 2_000, "g3.k", "new", None),
        Answer::CapacityExceeded
    );
    assert_eq!(
        put(&mut state, 2_000, "g2.k", "new", None),
        Answer::Revision(2)
    );
}

#[test]
fn puts_are_rejected_rather_than_removing_recent_events() {
    let mut state = StateMachine::default();
    let value = |n: u64| format!("{n:0>60000}");
    let (mut n, mut answer) = (0, Answer::Revision(1));
    while answer != Answer::CapacityExceeded {
        n += 1;
        answer = put(&mut state, n, "g.k", &value(n), None);
    }
    assert!(n > 40 && state.usage().history_bytes <= Limits::default().history_bytes);
    let WatchResult::Events { events, revision } = state.watch("g.", 1, 1_000) else {
        panic!("no events")
    };
    assert!(
        revision < n - 1 && events.len() as u64 == revision - 1,
        "the size of a watch result must be limited"
    );
    assert_eq!(
        put(&mut state, 60_001, "g.k", &value(n), None),
        Answer::CapacityExceeded
    );
    // The oldest event is now past its minimum retention.
    assert_eq!(
        put(&mut state, 60_003, "g.k", &value(n), None),
        Answer::Revision(n)
    );
    assert_eq!(state.watch("g.", 1, 1_000), WatchResult::TooOld);
    assert!(matches!(
        state.watch("g.", 2, 1_000),
        WatchResult::Events { .. }
    ));
}
