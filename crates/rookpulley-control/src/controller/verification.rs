//! Answers to proxies that ask for the newest acknowledged configuration version.
//!
//! Invariant: a question is answered only by a read through the chain that was submitted after the question came, so the
//! answer is no older than the question.

use super::Controller;
use crate::effect::Effect;
use crate::pending_request::{InternalPurpose, PendingRequest};
use rookpulley_chain::{Outcome, RequestKind};
use rookpulley_protocol::{ControllerToProxy, Verification, VerificationRequest, encode_frame};
use rookpulley_state::{Answer, Query};
use std::collections::BTreeMap;

/// Questions beyond this number are dropped, and their proxies ask again.
const MAX_WAITING_QUESTIONS: usize = 4_096;

/// Shortest time between the beginnings of two reads, so that one read answers the questions of many proxies. Short
/// compared with the time for which an answer can be relied upon.
const MIN_READ_INTERVAL_MS: f64 = 100.0;

/// Questions, and the one read at a time that answers them.
#[derive(Default)]
pub(super) struct VerificationQueue {
    /// Questions that wait for the next read: the time at which the proxy asked, by connection.
    waiting: BTreeMap<u64, f64>,
    /// Questions that came before the read in progress was submitted, if there is one.
    reading: Option<BTreeMap<u64, f64>>,
    /// When the last read began.
    last_read_ms: Option<f64>,
}

impl VerificationQueue {
    /// Adds a question. Of several questions of one connection, the latest is answered.
    fn add(&mut self, connection: u64, sent_ms: f64) {
        let is_known = self.waiting.contains_key(&connection);
        if is_known || self.waiting.len() < MAX_WAITING_QUESTIONS {
            self.waiting.insert(connection, sent_ms);
        }
    }

    /// Removes the questions of a closed connection.
    pub(super) fn remove(&mut self, connection: u64) {
        self.waiting.remove(&connection);
        if let Some(reading) = &mut self.reading {
            reading.remove(&connection);
        }
    }

    /// Returns whether a read is due, which then answers all questions that wait now.
    fn begin_read(&mut self, now: f64) -> bool {
        let is_allowed = self
            .last_read_ms
            .is_none_or(|last_ms| now - last_ms >= MIN_READ_INTERVAL_MS);
        let is_due = is_allowed && self.reading.is_none() && !self.waiting.is_empty();
        if is_due {
            self.last_read_ms = Some(now);
            self.reading = Some(std::mem::take(&mut self.waiting));
        }
        is_due
    }

    /// Ends the read in progress and returns the questions that it answers.
    fn end_read(&mut self) -> BTreeMap<u64, f64> {
        self.reading.take().unwrap_or_default()
    }
}

impl Controller {
    /// Handles a question of a proxy, which is answered by the next read.
    pub(super) fn handle_verification_request(
        &mut self,
        now: f64,
        node: &str,
        connection: u64,
        request: VerificationRequest,
    ) {
        self.clock.heard(now, node.into(), now, request.unix_ms);
        self.verifications.add(connection, request.sent_ms);
        self.read_version_if_due(now);
    }

    /// Begins a read for the questions that wait, unless one is in progress or the last one began recently.
    pub(super) fn read_version_if_due(&mut self, now: f64) {
        if !self.verifications.begin_read(now) {
            return;
        }
        let token = self.next_number();
        let pending = PendingRequest::Internal(InternalPurpose::Verification);
        let body = Query::ConfigurationVersion.encode();
        self.submit_to_chain(now, token, pending, RequestKind::Read, body);
    }

    /// Answers the questions of the read that has ended. Without its result they are dropped: the proxies ask again.
    pub(super) fn handle_verification_read(&mut self, now: f64, outcome: Outcome) {
        let questions = self.verifications.end_read();
        if let Some(version) = version_of(outcome) {
            let unix_ms = self.clock.unix_ms(now);
            for (connection, sent_ms) in questions {
                let frame = encode_frame(&ControllerToProxy::ConfigurationVerified(Verification {
                    sent_ms,
                    version,
                    unix_ms,
                }));
                self.effects.push(Effect::SendToProxy { connection, frame });
            }
        }
        self.read_version_if_due(now);
    }
}

/// The version that a read has returned, or None if it did not complete.
fn version_of(outcome: Outcome) -> Option<u64> {
    let Outcome::Completed(bytes) = outcome else {
        return None;
    };
    match Answer::decode(&bytes) {
        Ok(Answer::Configured { version }) => Some(version),
        _ => None,
    }
}
