//! Whatever is asked, a ledger stays small enough for one frame, and says so before it breaks a promise.

use super::{configure, give_back, number, put, renew, take};
use rookpulley_state::{Answer, Limits, StateMachine, Usage, WatchResult};

#[test]
fn ten_thousand_updates_of_a_day_leave_only_what_stands_and_two_minutes_of_history() {
    let mut state = StateMachine::default();
    for n in 0..10_000u64 {
        let at = n * 100;
        match n % 5 {
            0 => {
                _ = take(
                    &mut state,
                    at,
                    &format!("l{}", n % 400),
                    &format!("a{n}"),
                    500,
                )
            }
            1 => _ = number(&mut state, at, &format!("n{}", n % 40)),
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
    // 4 puts a second in all, kept for 120 s and the 10 s of a sweep; locks that nobody asks for any more are gone.
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
fn a_full_ledger_refuses_what_is_new_goes_on_with_what_it_has_and_fits_one_frame() {
    let mut state = StateMachine::default();
    let body = vec![b'c'; Limits::default().configuration_bytes];
    configure(&mut state, 0, 1, &body);
    let long = "n".repeat(240);
    assert!(matches!(
        take(&mut state, 0, "l", "a", 600_000),
        Answer::Acquired(_)
    ));
    let taken = (0..)
        .take_while(|n| number(&mut state, 1, &format!("{n}{long}")) != Answer::CapacityExceeded)
        .count();
    assert!(taken > 10_000);
    assert_eq!(take(&mut state, 2, &long, "a", 1), Answer::CapacityExceeded);
    assert_eq!(
        put(&mut state, 2, "g.k", &long, None),
        Answer::CapacityExceeded
    );
    assert_eq!(
        number(&mut state, 3, &format!("0{long}")),
        Answer::Number(2)
    );
    assert_eq!(renew(&mut state, 3, "l", "a", 1, 600_000), Answer::Renewed);
    assert_eq!(give_back(&mut state, 4, "l", "a", 1), Answer::Released);
    assert!(state.snapshot().len() < 16 << 20);
    let full = state.usage();
    assert_eq!(number(&mut state, 5, &"n".repeat(257)), Answer::TooLong);
    assert_eq!(
        configure(&mut state, 5, 2, &[body, vec![0]].concat()),
        Answer::TooLong
    );
    assert_eq!(state.usage(), Usage { ..full });
}

#[test]
fn more_locks_and_cells_than_there_may_be_are_refused_until_some_are_over() {
    let mut state = StateMachine::new(Limits {
        names: 3,
        ..Limits::default()
    });
    for n in 0..3 {
        take(&mut state, 0, &format!("l{n}"), "a", 1_000);
        put(&mut state, 0, &format!("g{n}.k"), &format!("{n}"), None);
    }
    assert_eq!(
        take(&mut state, 1_049, "l3", "a", 1_000),
        Answer::CapacityExceeded
    );
    assert_eq!(
        take(&mut state, 1_050, "l3", "a", 1_000),
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
fn history_that_is_promised_stays_and_the_put_that_has_no_room_is_refused() {
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
        "an answer has its bound too"
    );
    assert_eq!(
        put(&mut state, 60_001, "g.k", &value(n), None),
        Answer::CapacityExceeded
    );
    // One at a time, the oldest are over now.
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
