//! What the ledger promises, checked from outside: by callers, by a model that never forgets, and one by one.

mod bounds;
mod callers;
mod model;
mod named;

use rookpulley_samples::plays;
use rookpulley_state::{Answer, Ledger, Update};

fn take(ledger: &mut Ledger, at_ms: u64, name: &str, holder: &str, hold_ms: u64) -> Answer {
    ledger.apply(
        at_ms,
        &Update::TakeLock {
            name: name.into(),
            holder: holder.into(),
            hold_ms,
        },
    )
}

fn renew(
    ledger: &mut Ledger,
    at_ms: u64,
    name: &str,
    holder: &str,
    fence: u64,
    hold_ms: u64,
) -> Answer {
    ledger.apply(
        at_ms,
        &Update::RenewLock {
            name: name.into(),
            holder: holder.into(),
            fence,
            hold_ms,
        },
    )
}

fn give_back(ledger: &mut Ledger, at_ms: u64, name: &str, holder: &str, fence: u64) -> Answer {
    ledger.apply(
        at_ms,
        &Update::DropLock {
            name: name.into(),
            holder: holder.into(),
            fence,
        },
    )
}

fn number(ledger: &mut Ledger, at_ms: u64, name: &str) -> Answer {
    ledger.apply(at_ms, &Update::NextNumber { name: name.into() })
}

fn put(ledger: &mut Ledger, at_ms: u64, name: &str, value: &str, active: Option<u64>) -> Answer {
    ledger.apply(
        at_ms,
        &Update::PutCell {
            name: name.into(),
            value: value.into(),
            active,
        },
    )
}

fn configure(ledger: &mut Ledger, at_ms: u64, version: u64, body: &[u8]) -> Answer {
    ledger.apply(
        at_ms,
        &Update::PutConfiguration {
            version,
            body: body.to_vec(),
        },
    )
}

/// The same ledger after a move to another controller.
fn moved(ledger: &Ledger) -> Ledger {
    let mut other = ledger.clone();
    other.apply(
        u64::MAX,
        &Update::NextNumber {
            name: "of another past".into(),
        },
    );
    other.restore(&ledger.snapshot()).expect("its own snapshot");
    assert!(other == *ledger && other.digest() == ledger.digest());
    other
}
