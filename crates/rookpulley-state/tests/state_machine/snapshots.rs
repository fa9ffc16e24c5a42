//! Snapshots that earlier builds wrote.

use super::{acquire, configure, next_number, put, release};
use rookpulley_state::{StateMachine, Update};
use rookpulley_usage::{ProxyUsage, TenantUsage, Window, WindowUsage};

/// Written by the build before usage and duties were added to the state, from the updates of `earlier_state`.
const FORMAT_1: &str = include_str!("snapshot_format_1.hex");

/// Written by the build that added usage and duties, from the updates of `state_with_usage_and_duties`.
const FORMAT_2: &str = include_str!("snapshot_format_2.hex");

/// Written by the build that added reacquisitions of locks, from the updates of `state_with_reacquired_lock`.
const FORMAT_3: &str = include_str!("snapshot_format_3.hex");

/// A state with something in each part that format 1 has.
fn earlier_state() -> StateMachine {
    let mut state = StateMachine::default();
    configure(&mut state, 1_000, 17, b"{\"services\":{}}");
    acquire(&mut state, 1_100, "door", "a", 5_000);
    acquire(&mut state, 1_200, "gate", "b", 300);
    release(&mut state, 1_250, "gate", "b", 2);
    acquire(&mut state, 1_300, "gate", "c", 70_000);
    next_number(&mut state, 1_400, "tickets");
    next_number(&mut state, 1_500, "tickets");
    put(&mut state, 1_600, "lots.1", "one", None);
    put(&mut state, 1_700, "lots.2", "two", Some(0));
    put(&mut state, 12_000, "lots.1", "three", Some(1));
    put(&mut state, 12_100, "plain", "four", None);
    state
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    let bytes = digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8);
    bytes.collect()
}

#[test]
fn without_usage_and_duties_a_snapshot_has_the_bytes_of_earlier_builds() {
    assert_eq!(hex(&earlier_state().snapshot()), FORMAT_1.trim());
}

#[test]
fn a_snapshot_of_an_earlier_build_is_restored() {
    let mut state = StateMachine::default();
    state.restore(&unhex(FORMAT_1)).expect("format 1");
    assert!(state == earlier_state());
}

#[test]
fn a_format_of_a_later_build_is_refused_and_changes_nothing() {
    let mut state = earlier_state();
    let mut bytes = state.snapshot();
    bytes[0] = 4;
    let error = state.restore(&bytes).expect_err("format 4");
    let text = "unsupported snapshot format 4; this build supports formats 1 to 3";
    assert_eq!(error.to_string(), text);
    assert!(state == earlier_state());
}

/// Each part that format 2 adds.
fn state_with_usage_and_duties() -> StateMachine {
    let mut state = earlier_state();
    let counts = |incarnation, window, requests| ProxyUsage {
        incarnation,
        windows: vec![WindowUsage {
            window: Window(window),
            tenants: vec![TenantUsage {
                tenant: "kaje80".into(),
                requests,
            }],
        }],
    };
    let proxies = vec![counts(77, 7, 3), counts(78, 7, 400), counts(77, 9, 5)];
    let window = Window(8);
    let acquire = |duty: &str, holder: &str| Update::AcquireDuty {
        duty: duty.into(),
        holder: holder.into(),
        lease_ms: 3_000,
        above: 11,
    };
    let release = Update::ReleaseDuty {
        duty: "usage_reporting".into(),
        holder: "a".into(),
        fence: 12,
    };
    for update in [
        Update::RecordUsage { proxies },
        Update::CloseUsage { window },
        acquire("usage_reporting", "a"),
        release,
        acquire("usage_reporting", "b"),
        acquire("other", "b"),
    ] {
        state.apply(13_000, &update);
    }
    state
}

#[test]
fn a_snapshot_with_usage_and_duties_keeps_its_bytes() {
    let state = state_with_usage_and_duties();
    assert_eq!(hex(&state.snapshot()), FORMAT_2.trim());
    let mut restored = StateMachine::default();
    restored.restore(&unhex(FORMAT_2)).expect("format 2");
    assert!(restored == state);
}

#[test]
fn with_usage_or_duties_a_snapshot_has_format_2() {
    let duty = Update::AcquireDuty {
        duty: "usage_reporting".into(),
        holder: "a".into(),
        lease_ms: 3_000,
        above: 0,
    };
    let window = Window(7);
    for update in [duty, Update::CloseUsage { window }] {
        let mut state = earlier_state();
        assert_eq!(state.snapshot()[0], 1);
        state.apply(13_000, &update);
        assert_eq!(state.snapshot()[0], 2);
        super::restored_copy(&state);
    }
}

/// A state in which the holder of one of three locks has acquired it again.
fn state_with_reacquired_lock() -> StateMachine {
    let mut state = state_with_usage_and_duties();
    acquire(&mut state, 13_100, "window", "d", 4_000);
    acquire(&mut state, 13_200, "window", "d", 4_000);
    state
}

#[test]
fn a_snapshot_with_a_reacquired_lock_has_format_3_and_keeps_its_bytes() {
    let state = state_with_reacquired_lock();
    assert_eq!(hex(&state.snapshot()), FORMAT_3.trim());
    let mut restored = StateMachine::default();
    restored.restore(&unhex(FORMAT_3)).expect("format 3");
    assert!(restored == state);
}

#[test]
fn a_snapshot_returns_to_format_2_once_no_release_can_be_stale() {
    let mut state = state_with_reacquired_lock();
    next_number(&mut state, 25_000, "tickets");
    assert_eq!(state.snapshot()[0], 2);
}

#[test]
fn reacquisitions_that_do_not_match_the_locks_are_refused() {
    let mut state = state_with_reacquired_lock();
    let mut bytes = state.snapshot();
    let mut without_reacquisitions = state_with_usage_and_duties();
    acquire(&mut without_reacquisitions, 13_100, "window", "d", 4_000);
    let length = without_reacquisitions.snapshot().len();
    bytes.truncate(length);
    // One entry, for three locks.
    bytes.extend([1, 0]);
    let error = state.restore(&bytes).expect_err("too few reacquisitions");
    assert_eq!(
        error.to_string(),
        "the locks in the snapshot are inconsistent"
    );
    assert!(state == state_with_reacquired_lock());
}
