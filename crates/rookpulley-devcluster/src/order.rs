//! Judges what the applications were told: locks, numbers, small keys and their watch.

use crate::coordination::{Hold, Number, Put, Told};
use crate::judge::Check;
use std::collections::HashMap;

pub fn checks(told: &Told) -> Vec<Check> {
    vec![
        numbers(&told.numbers.borrow()),
        holds(&told.holds.borrow()),
        reads(told),
        stale(told),
        watch(told),
        answered(told),
    ]
}

fn numbers(numbers: &[Number]) -> Check {
    let mut check = Check::new("each number is above all given before it was asked for");
    for one in numbers {
        let before = numbers.iter().filter(|other| other.got <= one.sent);
        let most = before.map(|other| other.value).max();
        let twice = numbers
            .iter()
            .filter(|other| other.value == one.value)
            .count()
            > 1;
        check.look(!twice && most.is_none_or(|most| most < one.value), || {
            format!("{} after {}", one.value, most.unwrap_or_default())
        });
    }
    check
}

fn holds(holds: &[Hold]) -> Check {
    let mut check = Check::new("a lock has one holder at a time, and its fences rise");
    for one in holds {
        let against = holds.iter().filter(|other| other.holder != one.holder);
        let fault = against.into_iter().find(|other| {
            let together = one.from < other.until && other.from < one.until;
            let falls = other.from <= one.sent && other.fence >= one.fence;
            together || falls || other.fence == one.fence
        });
        check.look(fault.is_none(), || format!("{one:?} against {fault:?}"));
    }
    if holds.iter().all(|one| one.holder == 0) || holds.iter().all(|one| one.holder == 1) {
        check.fault(format!(
            "of two who asked, one alone ever held it, {} times",
            holds.len()
        ));
    }
    check
}

fn reads(told: &Told) -> Check {
    let mut check = Check::new("a small key reads back as it was last put");
    for read in told.reads.borrow().iter() {
        let fine =
            read.value.as_ref() == Some(&read.put.value) && read.revision == read.put.revision;
        check.look(fine, || {
            format!("{:?} for {:?}", (&read.value, read.revision), read.put)
        });
    }
    check
}

fn stale(told: &Told) -> Check {
    let mut check = Check::new("a put over a revision left behind is turned away");
    let (sent, away) = told.stale.get();
    (0..sent).for_each(|at| {
        check.look(at < away, || {
            "one was taken, or told another revision".into()
        })
    });
    check
}

fn watch(told: &Told) -> Check {
    let (puts, events, from) = (
        told.puts.borrow(),
        told.events.borrow(),
        told.watched_from.get(),
    );
    let unclear = told.unclear.borrow();
    let mut check = Check::new("the watch shows every put once, in order");
    let rises = events
        .windows(2)
        .all(|pair| matches!(pair, [one, next] if one.revision < next.revision));
    if !rises {
        check.fault("its revisions don't rise".into());
    }
    let shown: HashMap<u64, &Put> = events.iter().map(|event| (event.revision, event)).collect();
    for put in puts.iter().filter(|put| put.revision > from) {
        let event = shown.get(&put.revision);
        check.look(event == Some(&put), || {
            format!("{put:?} is shown as {event:?}")
        });
    }
    let put = |event: &Put| {
        puts.contains(event)
            || unclear
                .iter()
                .any(|(name, value)| (name, value) == (&event.name, &event.value))
    };
    for event in events.iter().filter(|event| !put(event)) {
        check.fault(format!("{event:?} was put by no one"));
    }
    check
}

fn answered(told: &Told) -> Check {
    let mut check = Check::new("every call of an application gets the answer that it must");
    check.looked =
        told.numbers.borrow().len() + told.holds.borrow().len() + told.puts.borrow().len();
    told.odd
        .borrow()
        .iter()
        .for_each(|odd| check.fault(odd.clone()));
    check
}
