//! Checks what the applications observed: locks, numbers, keys and their watch.

use crate::coordination::{Hold, Number, Observations, Put};
use crate::request_checks::Check;
use std::collections::HashMap;

pub fn checks(observations: &Observations) -> Vec<Check> {
    vec![
        numbers(&observations.numbers.borrow()),
        holds(&observations.holds.borrow()),
        reads(observations),
        stale(observations),
        watch(observations),
        expected_answers(observations),
    ]
}

fn numbers(numbers: &[Number]) -> Check {
    let mut check = Check::new("each number exceeds all numbers received before its request");
    for one in numbers {
        let before = numbers.iter().filter(|other| other.received <= one.sent);
        let highest = before.map(|other| other.value).max();
        let duplicate = numbers
            .iter()
            .filter(|other| other.value == one.value)
            .count()
            > 1;
        check.examine(
            !duplicate && highest.is_none_or(|highest| highest < one.value),
            || format!("{} after {}", one.value, highest.unwrap_or_default()),
        );
    }
    check
}

/// Checks the holds of one lock by any number of holders.
pub fn exclusive_holds(holds: &[Hold]) -> Check {
    let mut check = Check::new("a lock has one holder at a time and its fences increase");
    for one in holds {
        let others = holds.iter().filter(|other| other.holder != one.holder);
        let fault = others.into_iter().find(|other| {
            let overlaps = one.from < other.until && other.from < one.until;
            let fence_regresses = other.from <= one.sent && other.fence >= one.fence;
            overlaps || fence_regresses || other.fence == one.fence
        });
        check.examine(fault.is_none(), || {
            format!("{one:?} conflicts with {fault:?}")
        });
    }
    check
}

fn holds(holds: &[Hold]) -> Check {
    let mut check = exclusive_holds(holds);
    if holds.iter().all(|one| one.holder == 0) || holds.iter().all(|one| one.holder == 1) {
        check.add_fault(format!(
            "only one of the two clients ever held the lock, {} times",
            holds.len()
        ));
    }
    check
}

fn reads(observations: &Observations) -> Check {
    let mut check = Check::new("a key reads back as it was last put");
    for read in observations.reads.borrow().iter() {
        let valid =
            read.value.as_ref() == Some(&read.put.value) && read.revision == read.put.revision;
        check.examine(valid, || {
            format!(
                "read {:?} after {:?}",
                (&read.value, read.revision),
                read.put
            )
        });
    }
    check
}

fn stale(observations: &Observations) -> Check {
    let mut check = Check::new("a put with an outdated revision is rejected");
    let (sent, rejected) = observations.stale.get();
    (0..sent).for_each(|at| {
        check.examine(at < rejected, || {
            "a put was accepted, or rejected with another revision".into()
        })
    });
    check
}

fn watch(observations: &Observations) -> Check {
    let (puts, events, from) = (
        observations.puts.borrow(),
        observations.events.borrow(),
        observations.watched_from.get(),
    );
    let unconfirmed = observations.unconfirmed.borrow();
    let mut check = Check::new("the watch delivers every put once and in order");
    let increasing = events
        .windows(2)
        .all(|pair| matches!(pair, [one, next] if one.revision < next.revision));
    if !increasing {
        check.add_fault("the revisions do not increase".into());
    }
    let delivered: HashMap<u64, &Put> =
        events.iter().map(|event| (event.revision, event)).collect();
    for put in puts.iter().filter(|put| put.revision > from) {
        let event = delivered.get(&put.revision);
        check.examine(event == Some(&put), || {
            format!("{put:?} was delivered as {event:?}")
        });
    }
    let put = |event: &Put| {
        puts.contains(event)
            || unconfirmed
                .iter()
                .any(|(name, value)| (name, value) == (&event.name, &event.value))
    };
    for event in events.iter().filter(|event| !put(event)) {
        check.add_fault(format!("{event:?} matches no put"));
    }
    check
}

fn expected_answers(observations: &Observations) -> Check {
    let mut check = Check::new("every application call gets an expected answer");
    check.examined = observations.numbers.borrow().len()
        + observations.holds.borrow().len()
        + observations.puts.borrow().len();
    observations
        .unexpected
        .borrow()
        .iter()
        .for_each(|unexpected| check.add_fault(unexpected.clone()));
    check
}
