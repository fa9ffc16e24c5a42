//! What one list would change against another.

use crate::candidate::{Candidate, Entry, capacity};
use std::collections::BTreeMap;

/// What becomes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Added,
    /// It served: it is drained before it goes.
    DroppedServing,
    Dropped,
    Drained,
    Restarted,
    Reweighted,
    Moved,
}

/// A server that changes: its weights, and its shares of the capacity, before and after.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub name: String,
    pub change: Change,
    pub weights: [Option<f64>; 2],
    pub shares: [f64; 2],
}

fn change(before: Option<&Entry>, after: Option<&Entry>) -> Option<Change> {
    Some(match (before, after) {
        (None, Some(_)) => Change::Added,
        (Some(a), None) if a.serves() => Change::DroppedServing,
        (Some(_), None) => Change::Dropped,
        (Some(a), Some(b)) if a.serves() && b.drains => Change::Drained,
        (Some(a), Some(b)) if b.started_ms > a.started_ms => Change::Restarted,
        (Some(a), Some(b)) if a.weight != b.weight => Change::Reweighted,
        (Some(a), Some(b))
            if a.zone != b.zone || a.machine != b.machine || a.address != b.address =>
        {
            Change::Moved
        }
        _ => return None,
    })
}

/// The servers that change, those of the list before first.
pub fn plan(before: &Candidate, after: &Candidate) -> Vec<Planned> {
    let by_name = |list: &Candidate| -> BTreeMap<String, Entry> {
        list.entries
            .iter()
            .map(|e| (e.name.clone(), e.clone()))
            .collect()
    };
    let (was, is) = (by_name(before), by_name(after));
    let all = [
        capacity(before.entries.iter()),
        capacity(after.entries.iter()),
    ];
    let share = |entry: Option<&Entry>, all: f64| {
        let serving = entry.filter(|e| e.serves()).map_or(0.0, |e| e.weight);
        if all > 0.0 { serving / all } else { 0.0 }
    };
    let names = was
        .keys()
        .chain(is.keys().filter(|n| !was.contains_key(*n)));
    let planned = names.filter_map(|name| {
        let (a, b) = (was.get(name), is.get(name));
        let weights = [a.map(|e| e.weight), b.map(|e| e.weight)];
        let shares = [share(a, all[0]), share(b, all[1])];
        Some(Planned {
            name: name.clone(),
            change: change(a, b)?,
            weights,
            shares,
        })
    });
    planned.collect()
}
