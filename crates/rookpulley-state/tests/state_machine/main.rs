//! What the ledger promises, checked from outside: by callers, by a model that never forgets, and one by one.

mod callers;
mod limits;
mod model;
mod named;

use rookpulley_samples::run_cases;
use rookpulley_state::{Answer, StateMachine, Update};

fn take(state: &mut StateMachine, at_ms: u64, name: &str, holder: &str, hold_ms: u64) -> Answer {
    state.apply(
        at_ms,
        &Update::AcquireLock {
            name: name.into(),
            holder: holder.into(),
            lease_ms: hold_ms,
        },
    )
}

fn renew(
    state: &mut StateMachine,
    at_ms: u64,
    name: &str,
    holder: &str,
    fence: u64,
    hold_ms: u64,
) -> Answer {
    state.apply(
        at_ms,
        &Update::RenewLock {
            name: name.into(),
            holder: holder.into(),
            fence,
            lease_ms: hold_ms,
        },
    )
}

fn give_back(state: &mut StateMachine, at_ms: u64, name: &str, holder: &str, fence: u64) -> Answer {
    state.apply(
        at_ms,
        &Update::ReleaseLock {
            name: name.into(),
            holder: holder.into(),
            fence,
        },
    )
}

fn number(state: &mut StateMachine, at_ms: u64, name: &str) -> Answer {
    state.apply(at_ms, &Update::NextNumber { name: name.into() })
}

fn put(
    state: &mut StateMachine,
    at_ms: u64,
    name: &str,
    value: &str,
    active: Option<u64>,
) -> Answer {
    state.apply(
        at_ms,
        &Update::PutKey {
            name: name.into(),
            value: value.into(),
            expected: active,
        },
    )
}

fn configure(state: &mut StateMachine, at_ms: u64, version: u64, body: &[u8]) -> Answer {
    state.apply(
        at_ms,
        &Update::PutConfiguration {
            version,
            body: body.to_vec(),
        },
    )
}

/// The same ledger after a move to another controller.
fn moved(state: &StateMachine) -> StateMachine {
    let mut other = state.clone();
    other.apply(
        u64::MAX,
        &Update::NextNumber {
            name: "of another past".into(),
        },
    );
    other.restore(&state.snapshot()).expect("its own snapshot");
    assert!(other == *state && other.digest() == state.digest());
    other
}
