//! Tracks how many other controllers have persisted a drain before it is acknowledged.

use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};

/// How long a confirmed drain is remembered.
const RETENTION_MS: f64 = 60_000.0;

struct DrainQuery {
    confirmed_by: BTreeSet<u64>,
    required: usize,
}

/// Counts confirmations of drains.
///
/// Invariant: a drain is confirmed only after `tolerated_losses` other controllers, or all if there are fewer, have
/// persisted it. It then reaches all connected proxies even if this controller fails.
pub struct DrainTracker {
    tolerated_losses: usize,
    /// Pending queries by id.
    queries: BTreeMap<u64, DrainQuery>,
    /// When each drain was confirmed.
    confirmed_ms: BTreeMap<IncarnationId, f64>,
}

impl DrainTracker {
    /// `tolerated_losses`: how many controllers may fail at once; values below 1 count as 1.
    pub fn new(tolerated_losses: usize) -> Self {
        Self {
            tolerated_losses: tolerated_losses.max(1),
            queries: BTreeMap::new(),
            confirmed_ms: BTreeMap::new(),
        }
    }

    /// Whether the drain is confirmed, so that no further query is needed.
    pub fn is_confirmed(&self, incarnation: &str) -> bool {
        self.confirmed_ms.contains_key(incarnation)
    }

    /// Marks a drain as confirmed.
    pub fn confirm(&mut self, now: f64, incarnation: IncarnationId) {
        self.confirmed_ms.retain(|_, at| now - *at < RETENTION_MS);
        self.confirmed_ms.insert(incarnation, now);
    }

    /// Starts a query to `others` controllers. Returns false if no confirmation is required.
    pub fn start_query(&mut self, query: u64, others: usize) -> bool {
        let required = others.min(self.tolerated_losses);
        if required == 0 {
            return false;
        }
        let confirmed_by = BTreeSet::new();
        let pending = DrainQuery {
            confirmed_by,
            required,
        };
        self.queries.insert(query, pending);
        true
    }

    /// Records that a controller has persisted the drain. Returns true once enough controllers have.
    pub fn record_confirmation(&mut self, query: u64, controller: u64) -> bool {
        self.queries.get_mut(&query).is_some_and(|pending| {
            pending.confirmed_by.insert(controller);
            pending.confirmed_by.len() >= pending.required
        })
    }

    /// Removes a query, whatever its result.
    pub fn finish_query(&mut self, query: u64) {
        self.queries.remove(&query);
    }
}

#[cfg(test)]
mod tests;
