//! The time of day, tolerating clocks that step.
//!
//! Every process reads its own time of day once, at its start, and goes on with its steady clock, so a step during its life
//! changes nothing. A process that starts while its clock is wrong is outvoted: the clock used is the median of those that
//! were heard from.

use std::collections::BTreeMap;

/// A clock that was heard from longer ago than this no longer counts.
const MAX_AGE_MS: f64 = 10_000.0;

#[derive(Clone, Copy, Debug)]
struct Sample {
    heard_ms: f64,
    /// Time of day at time 0 of the own steady clock, in milliseconds since the start of 1970.
    origin_ms: f64,
}

/// The median of the own clock and those of others, by their key.
#[derive(Debug)]
pub struct MedianClock<K> {
    own_origin_ms: f64,
    others: BTreeMap<K, Sample>,
}

impl<K: Ord> MedianClock<K> {
    /// `origin_ms`: the time of day at time 0 of the own steady clock, in milliseconds since the start of 1970.
    pub fn new(origin_ms: f64) -> Self {
        Self {
            own_origin_ms: origin_ms,
            others: BTreeMap::new(),
        }
    }

    /// The time of day by the own clock alone, which is what others are told.
    pub fn own_unix_ms(&self, now_ms: f64) -> f64 {
        self.own_origin_ms + now_ms
    }

    /// Processes the time of day of another process, as of `at_ms` of the own steady clock.
    pub fn heard(&mut self, now_ms: f64, from: K, at_ms: f64, unix_ms: f64) {
        if !unix_ms.is_finite() {
            return;
        }
        self.others
            .retain(|_, sample| now_ms - sample.heard_ms <= MAX_AGE_MS);
        let sample = Sample {
            heard_ms: now_ms,
            origin_ms: unix_ms - at_ms,
        };
        self.others.insert(from, sample);
    }

    /// The median time of day, in milliseconds since the start of 1970.
    pub fn unix_ms(&self, now_ms: f64) -> f64 {
        let others = self.others.values();
        let fresh = others.filter(|sample| now_ms - sample.heard_ms <= MAX_AGE_MS);
        let mut origins: Vec<f64> = fresh.map(|sample| sample.origin_ms).collect();
        origins.push(self.own_origin_ms);
        origins.sort_by(f64::total_cmp);
        // Of two, the earlier one: windows that are closed too early lose counts for good.
        let middle = origins.get((origins.len() - 1) / 2);
        middle.copied().unwrap_or(self.own_origin_ms) + now_ms
    }
}
