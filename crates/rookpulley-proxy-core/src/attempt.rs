//! How one attempt ended, and whether it can be resent immediately.

use crate::Verdict;
use rookpulley_balancer::AttemptOutcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The attempt ended with an outcome attributed to the instance.
    Outcome(AttemptOutcome),
    /// The connection limit was reached and nothing was sent.
    ConnectionLimit,
    /// A different instance answered and reported that it did not execute the request.
    WrongInstance,
    /// The client failed while sending its body and gets this status. It is not attributed to the instance.
    ClientFailed(u16),
}

impl AttemptEnd {
    /// Returns how an attempt ends after a response head, or None if its body has to be read.
    pub fn from_verdict(verdict: Verdict) -> Option<Self> {
        match verdict {
            Verdict::Valid => None,
            Verdict::NotExecuted => Some(Self::Outcome(AttemptOutcome::NotExecuted)),
            Verdict::WrongInstance => Some(Self::WrongInstance),
            Verdict::UnconfirmedRejection => Some(Self::Outcome(AttemptOutcome::Interrupted)),
            Verdict::Invalid => Some(Self::Outcome(AttemptOutcome::InvalidResponse)),
        }
    }

    /// Returns how an aborted attempt ends. `is_sent` tells whether bytes of the request may have been sent, and
    /// `waits_for_client` whether the attempt was waiting for the client's body.
    pub fn from_abort(is_sent: bool, waits_for_client: bool) -> Self {
        match (is_sent, waits_for_client) {
            (true, true) => Self::ClientFailed(504),
            (true, false) => Self::Outcome(AttemptOutcome::TimedOut),
            (false, _) => Self::Outcome(AttemptOutcome::Unsent),
        }
    }
}

/// Decides whether a request can be resent immediately, since the instance may have closed an idle connection.
#[derive(Default)]
pub struct Resend {
    has_failed: bool,
}

/// Reaction to a connection that failed before a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendFailure {
    /// Resend on a new connection.
    Resend,
    /// Nothing was sent.
    Unsent,
    /// The request was sent, and the instance may have executed it.
    Interrupted,
}

impl Resend {
    /// Whether the request must be sent on a new connection.
    pub fn needs_new_connection(&self) -> bool {
        self.has_failed
    }

    /// Processes a connection failure. `is_unsent` tells whether nothing of the request was written, `was_idle` whether
    /// the connection had been used before, and `has_body` whether the body is available.
    pub fn send_failed(&mut self, is_unsent: bool, was_idle: bool, has_body: bool) -> SendFailure {
        if !is_unsent {
            return SendFailure::Interrupted;
        }
        let may_resend = has_body && was_idle && !self.has_failed;
        self.has_failed = true;
        if may_resend {
            SendFailure::Resend
        } else {
            SendFailure::Unsent
        }
    }
}
