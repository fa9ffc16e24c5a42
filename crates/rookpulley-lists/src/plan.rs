//! The differences between two server lists.

use crate::candidate::{Candidate, Entry, capacity};
use std::collections::BTreeMap;

/// The change of a server between two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Added,
    /// Removed while serving; it is drained first.
    DroppedServing,
    /// Removed while not serving.
    Dropped,
    Drained,
    Restarted,
    Reweighted,
    /// Zone, machine or address changed.
    Moved,
}

/// A changed server with its weight and its share of the capacity, before and after.
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

/// Lists the changed servers: first those of `before`, then the added ones.
pub fn plan(before: &Candidate, after: &Candidate) -> Vec<Planned> {
    let by_name = |list: &Candidate| -> BTreeMap<String, Entry> {
        list.entries
            .iter()
            .map(|e| (e.name.clone(), e.clone()))
            .collect()
    };
    let (old, new) = (by_name(before), by_name(after));
    let capacities = [
        capacity(before.entries.iter()),
        capacity(after.entries.iter()),
    ];
    let share = |entry: Option<&Entry>, capacity: f64| {
        let serving = entry.filter(|e| e.serves()).map_or(0.0, |e| e.weight);
        if capacity > 0.0 {
            serving / capacity
        } else {
            0.0
        }
    };
    let names = old
        .keys()
        .chain(new.keys().filter(|n| !old.contains_key(*n)));
    let planned = names.filter_map(|name| {
        let (a, b) = (old.get(name), new.get(name));
        let weights = [a.map(|e| e.weight), b.map(|e| e.weight)];
        let shares = [share(a, capacities[0]), share(b, capacities[1])];
        Some(Planned {
            name: name.clone(),
            change: change(a, b)?,
            weights,
            shares,
        })
    });
    planned.collect()
}
