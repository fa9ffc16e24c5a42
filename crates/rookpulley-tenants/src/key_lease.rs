//! The time up to which the held keys are known to contain no revoked one.
//!
//! A proxy asks controllers again and again which configuration version was the newest acknowledged one at some moment
//! after the question. If it holds that version, its keys were current at the time at which it *asked*: every
//! acknowledgement of a newer version comes later. A key that is accepted up to `max_age_ms` after that time was
//! revoked less than `max_age_ms` ago, or not at all. All times are those of the proxy's own steady clock, so neither
//! the clocks of other machines nor the time of day matter, and a proxy that was frozen or cut off refuses by itself.

use std::collections::VecDeque;

/// Subtracted from the configured time, for the drift of the steady clock and for rounding.
const CLOCK_MARGIN_MS: f64 = 50.0;
/// Answers that may wait for their configuration; more would mean that none arrives.
const MAX_AWAITING: usize = 16;

/// An answer that names a version that is not held yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Awaiting {
    asked_ms: f64,
    version: u64,
}

/// Tracks for how long the held keys may be relied upon.
#[derive(Debug)]
pub struct KeyLease {
    max_age_ms: f64,
    /// The latest time at which the held keys are known to have been current.
    current_at_ms: Option<f64>,
    awaiting: VecDeque<Awaiting>,
}

impl KeyLease {
    /// Creates an expired lease. `revoke_ms`: how long after its revocation a key may still be accepted.
    pub fn new(revoke_ms: f64) -> Self {
        Self {
            max_age_ms: (revoke_ms - CLOCK_MARGIN_MS).max(0.0),
            current_at_ms: None,
            awaiting: VecDeque::new(),
        }
    }

    /// Processes an answer: `newest` was the newest acknowledged version at some time after `asked_ms`. `held` is the
    /// version of the held configuration.
    pub fn verified(&mut self, asked_ms: f64, newest: u64, held: u64) {
        if held >= newest {
            return self.extend(asked_ms);
        }
        if self.awaiting.len() >= MAX_AWAITING {
            self.awaiting.pop_front();
        }
        let version = newest;
        self.awaiting.push_back(Awaiting { asked_ms, version });
    }

    /// Processes a change of the held configuration to version `held`.
    pub fn configuration_applied(&mut self, held: u64) {
        let (satisfied, awaiting) = std::mem::take(&mut self.awaiting)
            .into_iter()
            .partition(|answer| answer.version <= held);
        self.awaiting = awaiting;
        let satisfied: VecDeque<Awaiting> = satisfied;
        for answer in satisfied {
            self.extend(answer.asked_ms);
        }
    }

    /// Whether a key of the held configuration may be accepted now.
    pub fn is_valid(&self, now_ms: f64) -> bool {
        self.current_at_ms
            .is_some_and(|at_ms| now_ms - at_ms <= self.max_age_ms)
    }

    /// Whether a version that is not held yet is known to have been acknowledged.
    pub fn awaits_newer(&self) -> bool {
        !self.awaiting.is_empty()
    }

    /// Time left until the lease expires, or 0 if it has expired.
    pub fn remaining_ms(&self, now_ms: f64) -> f64 {
        let expires_ms = self.current_at_ms.map(|at_ms| at_ms + self.max_age_ms);
        expires_ms.map_or(0.0, |expires_ms| (expires_ms - now_ms).max(0.0))
    }

    fn extend(&mut self, asked_ms: f64) {
        let current_at_ms = self.current_at_ms.unwrap_or(asked_ms);
        self.current_at_ms = Some(current_at_ms.max(asked_ms));
    }
}
