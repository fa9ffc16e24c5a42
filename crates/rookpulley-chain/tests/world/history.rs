//! Checks that call histories are linearizable for each name, independently of the chain.
//!
//! Every update of a name gets the next revision, so each answer determines its position: an update at its revision, a
//! read or a failed swap right after it. The checker verifies that no answer contradicts real time, that every value
//! read was written at that revision, and that each revision missing from the answers fits a call without an answer.

use super::names::{Operation, Reply};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Call {
    pub name: u8,
    pub operation: Operation,
    /// Positions in one global sequence of calls and answers.
    pub called_at: u64,
    pub answered: Option<(u64, Reply)>,
    pub refused: bool,
}

/// Twice the revision for an update, plus one for an operation that only observed it.
fn position(call: &Call) -> Option<u64> {
    let (_, reply) = call.answered?;
    Some(2 * reply.revision + u64::from(!reply.succeeded || call.operation == Operation::Read))
}

fn value(operation: Operation) -> Option<u64> {
    match operation {
        Operation::Put { value } | Operation::Swap { value, .. } => Some(value),
        Operation::Read => None,
    }
}

pub fn check(calls: &[Call]) -> Result<(), String> {
    let mut names: BTreeMap<u8, Vec<&Call>> = BTreeMap::new();
    calls
        .iter()
        .for_each(|call| names.entry(call.name).or_default().push(call));
    names.into_iter().try_for_each(|(name, calls)| {
        check_name(&calls).map_err(|why| format!("name {name}: {why}"))
    })
}

fn check_name(calls: &[&Call]) -> Result<(), String> {
    // Real-time order: a call follows everything that was answered before it was made.
    let mut events: Vec<(u64, bool, &Call)> = Vec::new();
    for call in calls {
        if let Some((at, _)) = call.answered {
            events.extend([(call.called_at, false, *call), (at, true, *call)]);
        }
    }
    events.sort_by_key(|(at, ..)| *at);
    let (mut lower_bound, mut lower_bounds) = (0, BTreeMap::new());
    for (_, answer, call) in &events {
        let at = position(call).unwrap_or(0);
        if !answer {
            lower_bounds.insert(call.called_at, lower_bound);
        } else {
            let least = lower_bounds[&call.called_at];
            if at < least {
                return Err(format!(
                    "{call:?} is ordered before position {least}, which was answered earlier"
                ));
            }
            lower_bound = lower_bound.max(at);
        }
    }
    // Each revision belongs to one update, and reads at that revision return its value.
    let mut by_revision: BTreeMap<u64, &Call> = BTreeMap::new();
    for call in calls {
        let Some((_, reply)) = call
            .answered
            .filter(|(_, r)| r.succeeded && call.operation != Operation::Read)
        else {
            continue;
        };
        if let Operation::Swap { expected, .. } = call.operation
            && reply.revision != expected + 1
        {
            return Err(format!(
                "{call:?} succeeded at a revision other than {expected} + 1"
            ));
        }
        if let Some(other) = by_revision.insert(reply.revision, call) {
            return Err(format!(
                "revision {} is assigned to both {call:?} and {other:?}",
                reply.revision
            ));
        }
    }
    let by_value: BTreeMap<u64, &Call> = calls
        .iter()
        .filter_map(|call| Some((value(call.operation)?, *call)))
        .collect();
    let mut last_revision: u64 = 0;
    for call in calls {
        let Some((at, reply)) = call.answered else {
            continue;
        };
        last_revision = last_revision.max(reply.revision);
        if call.operation != Operation::Read || reply.revision == 0 {
            continue;
        }
        let Some(put) = by_value.get(&reply.value) else {
            return Err(format!("{call:?} reads a value that was never written"));
        };
        if put.refused || put.called_at > at || put.answered.is_some_and(|(_, r)| !r.succeeded) {
            return Err(format!("{call:?} reads the value of {put:?}"));
        }
        match by_revision.insert(reply.revision, put) {
            Some(other) if value(other.operation) != Some(reply.value) => {
                return Err(format!(
                    "{call:?} reads a value other than that of {other:?} at the same revision"
                ));
            }
            _ => {}
        }
    }
    let applied_values: BTreeSet<u64> = by_revision
        .values()
        .filter_map(|call| value(call.operation))
        .collect();
    if applied_values.len() != by_revision.len() {
        return Err("one value has two revisions".into());
    }
    // Assign the remaining revisions to calls without an answer, made before any later revision was answered.
    let mut unanswered: Vec<&Call> = calls
        .iter()
        .copied()
        .filter(|c| c.answered.is_none() && !c.refused)
        .filter(|c| value(c.operation).is_some_and(|v| !applied_values.contains(&v)))
        .collect();
    unanswered.sort_by_key(|c| c.called_at);
    let mut firsts: BTreeMap<u64, u64> = BTreeMap::new();
    for call in calls {
        if let (Some((at, _)), Some(position)) = (call.answered, position(call)) {
            let first = firsts.entry(position).or_insert(at);
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
    for (revision, call) in &by_revision {
        if call.answered.is_none() && call.called_at > before(*revision) {
            return Err(format!(
                "{call:?} got revision {revision}, which precedes the call"
            ));
        }
    }
    for revision in (1..=last_revision).filter(|r| !by_revision.contains_key(r)) {
        let until = before(revision);
        let fits = |c: &&Call| {
            c.called_at < until
                && !matches!(c.operation, Operation::Swap { expected, .. } if expected + 1 != revision)
        };
        // A swap fits only one revision, so swaps are assigned first; then the earliest put that fits.
        let swap = unanswered
            .iter()
            .position(|c| matches!(c.operation, Operation::Swap { .. }) && fits(c));
        match swap.or_else(|| unanswered.iter().position(fits)) {
            Some(at) => _ = unanswered.remove(at),
            None => return Err(format!("revision {revision} matches no call")),
        }
    }
    Ok(())
}
