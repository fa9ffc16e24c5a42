//! Drains that wait to be acknowledged, and which other controllers have them on their disks.

use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};

/// A confirmed drain is remembered for so long.
const REMEMBER_MS: f64 = 60_000.0;

struct DrainQuery {
    confirmed_by: BTreeSet<u64>,
    wanted: usize,
}

/// Counts confirmations of drains.
///
/// Invariant: a drain is confirmed only once as many other controllers have it on their disks as may be lost. Then all
/// proxies in touch get to know of it, whatever becomes of this controller, and it may be acknowledged.
pub struct DrainTracker {
    tolerated_losses: usize,
    /// By the number of the question.
    queries: BTreeMap<u64, DrainQuery>,
    /// When each was confirmed.
    confirmed_ms: BTreeMap<IncarnationId, f64>,
}

impl DrainTracker {
    /// `tolerated_losses`: how many controllers may be lost at once. At least one is reckoned with.
    pub fn new(tolerated_losses: usize) -> Self {
        Self {
            tolerated_losses: tolerated_losses.max(1),
            queries: BTreeMap::new(),
            confirmed_ms: BTreeMap::new(),
        }
    }

    /// Whether enough others know of the drain: then they need not be asked again.
    pub fn is_confirmed(&self, incarnation: &str) -> bool {
        self.confirmed_ms.contains_key(incarnation)
    }

    /// Enough others know of the drain.
    pub fn confirm(&mut self, now: f64, incarnation: IncarnationId) {
        self.confirmed_ms.retain(|_, at| now - *at < REMEMBER_MS);
        self.confirmed_ms.insert(incarnation, now);
    }

    /// The `others` are asked under this number. False: there is nobody to wait for.
    pub fn begin(&mut self, query: u64, others: usize) -> bool {
        let wanted = others.min(self.tolerated_losses);
        if wanted == 0 {
            return false;
        }
        let confirmed_by = BTreeSet::new();
        let pending = DrainQuery {
            confirmed_by,
            wanted,
        };
        self.queries.insert(query, pending);
        true
    }

    /// Another controller has it on its disk. True: enough have.
    pub fn confirmed_by(&mut self, query: u64, controller: u64) -> bool {
        self.queries.get_mut(&query).is_some_and(|pending| {
            pending.confirmed_by.insert(controller);
            pending.confirmed_by.len() >= pending.wanted
        })
    }

    /// The question is over, whatever came of it.
    pub fn finish(&mut self, query: u64) {
        self.queries.remove(&query);
    }
}

#[cfg(test)]
mod tests;
