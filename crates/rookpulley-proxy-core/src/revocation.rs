//! Revocation: whether the held configuration, and so its API keys, is known to be no older than `revokeMs`. This is also
//! needed under a configuration without tenants, since a newer one may have brought keys and revoked some.
//!
//! The proxy asks every connected controller about once a second for the newest acknowledged configuration version. The
//! lease that an answer grants counts from its question (`rookpulley_tenants::KeyLease`). The answers also tell the time of
//! day, so a proxy that counts usage asks even if keys need no lease.

use rookpulley_protocol::Verification;
use rookpulley_tenants::KeyLease;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

/// Interval of the questions to each controller.
const QUESTION_INTERVAL_MS: f64 = 1_000.0;

/// The lease on the key set, and the questions that extend it.
pub(crate) struct Revocation {
    /// None if keys need no lease.
    lease: Option<KeyLease>,
    /// Name of the proxy, which staggers its questions against those of other proxies.
    name: String,
    /// When to ask each connected controller next.
    next_question_ms: BTreeMap<Ipv4Addr, f64>,
    availability: Availability,
}

/// Whether requests with keys are served, as last seen by `Revocation::check`.
enum Availability {
    /// The lease isn't needed.
    NotNeeded,
    /// The lease was valid at this time.
    Valid { seen_ms: f64 },
    /// The lease is missing since this time.
    Missing { since_ms: f64 },
}

/// A change of whether requests with keys are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LeaseChange {
    /// The lease has expired, or there is none yet.
    Lost,
    /// The lease is valid after it was missing for this long.
    Regained {
        /// Time without a lease.
        missing_ms: f64,
    },
}

impl Revocation {
    /// `revoke_ms`: how long after its revocation a key may still be accepted. None if keys need no lease.
    pub fn new(name: &str, revoke_ms: Option<f64>) -> Self {
        Self {
            lease: revoke_ms.map(KeyLease::new),
            name: name.into(),
            next_question_ms: BTreeMap::new(),
            availability: Availability::NotNeeded,
        }
    }

    /// Processes a new connection to a controller, which is asked at once.
    pub fn connected(&mut self, now: f64, controller: Ipv4Addr) {
        self.next_question_ms.insert(controller, now);
    }

    /// Processes the loss of the connection to a controller.
    pub fn disconnected(&mut self, controller: Ipv4Addr) {
        self.next_question_ms.remove(&controller);
    }

    /// Returns the controllers to ask now, and schedules their next questions.
    pub fn take_due_questions(&mut self, now: f64) -> Vec<Ipv4Addr> {
        let mut due = Vec::new();
        for (&controller, next_ms) in &mut self.next_question_ms {
            if now >= *next_ms {
                *next_ms = next_question_ms(now, phase_ms(&self.name, controller));
                due.push(controller);
            }
        }
        due
    }

    /// Processes an answer. `held` is the version of the held configuration.
    pub fn verified(&mut self, now: f64, answer: Verification, held: u64) {
        let Verification {
            sent_ms, version, ..
        } = answer;
        // A question can't have been sent in the future.
        if sent_ms <= now
            && let Some(lease) = &mut self.lease
        {
            lease.verified(sent_ms, version, held);
        }
    }

    /// Processes a change of the held configuration to version `held`.
    pub fn configuration_applied(&mut self, held: u64) {
        if let Some(lease) = &mut self.lease {
            lease.configuration_applied(held);
        }
    }

    /// Whether a key of the held configuration may be accepted now.
    pub fn may_accept_keys(&self, now: f64) -> bool {
        self.lease.as_ref().is_none_or(|lease| lease.is_valid(now))
    }

    /// Whether a version that is not held yet is known to have been acknowledged.
    pub fn awaits_newer_keys(&self) -> bool {
        self.lease.as_ref().is_some_and(KeyLease::awaits_newer)
    }

    /// Returns a change of the lease since the last call. `is_needed`: whether a configuration is held.
    pub fn check(&mut self, now: f64, is_needed: bool) -> Option<LeaseChange> {
        let Some(lease) = self.lease.as_ref().filter(|_| is_needed) else {
            self.availability = Availability::NotNeeded;
            return None;
        };
        let is_valid = lease.is_valid(now);
        let (next, change) = match (&self.availability, is_valid) {
            (Availability::Missing { since_ms }, true) => {
                let missing_ms = now - since_ms;
                let regained = LeaseChange::Regained { missing_ms };
                (Availability::Valid { seen_ms: now }, Some(regained))
            }
            (_, true) => (Availability::Valid { seen_ms: now }, None),
            (Availability::Missing { .. }, false) => return None,
            (Availability::Valid { seen_ms }, false) => {
                let since_ms = *seen_ms;
                (Availability::Missing { since_ms }, Some(LeaseChange::Lost))
            }
            (Availability::NotNeeded, false) => {
                let since_ms = now;
                (Availability::Missing { since_ms }, Some(LeaseChange::Lost))
            }
        };
        self.availability = next;
        change
    }
}

/// The time of a controller's questions within each interval.
fn phase_ms(name: &str, controller: Ipv4Addr) -> f64 {
    let mut hasher = DefaultHasher::new();
    (name, controller).hash(&mut hasher);
    (hasher.finish() % QUESTION_INTERVAL_MS as u64) as f64
}

/// The first time after `now` that has this phase.
fn next_question_ms(now: f64, phase_ms: f64) -> f64 {
    let intervals = ((now - phase_ms) / QUESTION_INTERVAL_MS).floor() + 1.0;
    phase_ms + intervals * QUESTION_INTERVAL_MS
}
