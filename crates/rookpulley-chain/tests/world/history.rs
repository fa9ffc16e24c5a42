//! What callers saw, checked to be linearizable name by name. It knows nothing of the chain.
//!
//! Every update of a name gets its next revision, so each answer tells its place: an update at its revision, a read or
//! a refused swap right behind it. It remains to be shown that no answer contradicts real time, that a value read was
//! put there, and that for each revision which no answer names there is a call without an answer that may have got it.

use super::names::{Ask, Reply};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Call {
    pub name: u8,
    pub ask: Ask,
    /// Places in one count of all calls and answers.
    pub asked: u64,
    pub answered: Option<(u64, Reply)>,
    pub refused: bool,
}

/// Twice the revision for an update, one more for what saw it.
fn place(call: &Call) -> Option<u64> {
    let (_, reply) = call.answered?;
    Some(2 * reply.revision + u64::from(!reply.went || call.ask == Ask::Read))
}

fn value(ask: Ask) -> Option<u64> {
    match ask {
        Ask::Put { value } | Ask::Swap { value, .. } => Some(value),
        Ask::Read => None,
    }
}

pub fn check(calls: &[Call]) -> Result<(), String> {
    let mut names: BTreeMap<u8, Vec<&Call>> = BTreeMap::new();
    calls
        .iter()
        .for_each(|call| names.entry(call.name).or_default().push(call));
    names
        .into_iter()
        .try_for_each(|(name, calls)| one(&calls).map_err(|why| format!("name {name}: {why}")))
}

fn one(calls: &[&Call]) -> Result<(), String> {
    // In real time: whatever was answered before a call was made stands before it.
    let mut events: Vec<(u64, bool, &Call)> = Vec::new();
    for call in calls {
        if let Some((at, _)) = call.answered {
            events.extend([(call.asked, false, *call), (at, true, *call)]);
        }
    }
    events.sort_by_key(|(at, ..)| *at);
    let (mut floor, mut floors) = (0, BTreeMap::new());
    for (_, answer, call) in &events {
        let at = place(call).unwrap_or(0);
        if !answer {
            floors.insert(call.asked, floor);
        } else {
            let least = floors[&call.asked];
            if at < least {
                return Err(format!(
                    "{call:?} stands before what was answered at place {least}"
                ));
            }
            floor = floor.max(at);
        }
    }
    // Each revision has one update, and what is read there is its value.
    let mut given: BTreeMap<u64, &Call> = BTreeMap::new();
    for call in calls {
        let Some((_, reply)) = call
            .answered
            .filter(|(_, r)| r.went && call.ask != Ask::Read)
        else {
            continue;
        };
        if let Ask::Swap { expected, .. } = call.ask
            && reply.revision != expected + 1
        {
            return Err(format!(
                "{call:?} went through elsewhere than behind {expected}"
            ));
        }
        if let Some(other) = given.insert(reply.revision, call) {
            return Err(format!(
                "revision {} is given to {call:?} and to {other:?}",
                reply.revision
            ));
        }
    }
    let by_value: BTreeMap<u64, &Call> = calls
        .iter()
        .filter_map(|call| Some((value(call.ask)?, *call)))
        .collect();
    let mut seen_last: u64 = 0;
    for call in calls {
        let Some((at, reply)) = call.answered else {
            continue;
        };
        seen_last = seen_last.max(reply.revision);
        if call.ask != Ask::Read || reply.revision == 0 {
            continue;
        }
        let Some(put) = by_value.get(&reply.value) else {
            return Err(format!("{call:?} reads what nobody put"));
        };
        if put.refused || put.asked > at || put.answered.is_some_and(|(_, r)| !r.went) {
            return Err(format!("{call:?} reads {put:?}"));
        }
        match given.insert(reply.revision, put) {
            Some(other) if value(other.ask) != Some(reply.value) => {
                return Err(format!("{call:?} reads a value where {other:?} was given"));
            }
            _ => {}
        }
    }
    let placed: BTreeSet<u64> = given.values().filter_map(|call| value(call.ask)).collect();
    if placed.len() != given.len() {
        return Err("one value stands at two revisions".into());
    }
    // What nobody was told of goes to calls without an answer, made before anything behind it was answered.
    let mut free: Vec<&Call> = calls
        .iter()
        .copied()
        .filter(|c| c.answered.is_none() && !c.refused)
        .filter(|c| value(c.ask).is_some_and(|v| !placed.contains(&v)))
        .collect();
    free.sort_by_key(|c| c.asked);
    let mut firsts: BTreeMap<u64, u64> = BTreeMap::new();
    for call in calls {
        if let (Some((at, _)), Some(place)) = (call.answered, place(call)) {
            let first = firsts.entry(place).or_insert(at);
            *first = (*first).min(at);
        }
    }
    let before = |revision: u64| {
        firsts
            .range(2 * revision..)
            .map(|(_, at)| *at)
            .min()
            .unwrap_or(u64::MAX)
    };
    for (revision, call) in &given {
        if call.answered.is_none() && call.asked > before(*revision) {
            return Err(format!(
                "{call:?} got revision {revision}, which was behind it"
            ));
        }
    }
    for revision in (1..=seen_last).filter(|r| !given.contains_key(r)) {
        let until = before(revision);
        let fits = |c: &&Call| {
            c.asked < until
                && !matches!(c.ask, Ask::Swap { expected, .. } if expected + 1 != revision)
        };
        // A swap fits one revision only, so it goes first; of the puts, the latest that is early enough.
        let swap = free
            .iter()
            .position(|c| matches!(c.ask, Ask::Swap { .. }) && fits(c));
        match swap.or_else(|| free.iter().position(fits)) {
            Some(at) => _ = free.remove(at),
            None => return Err(format!("revision {revision} was given to no call")),
        }
    }
    Ok(())
}
