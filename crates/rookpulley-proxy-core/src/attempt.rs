//! One attempt: how it ended, and whether it may be sent again at once.

use crate::Verdict;
use rookpulley_balancer::AttemptOutcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// As the instance let it end.
    Outcome(AttemptOutcome),
    /// There was no room for another connection: nothing was sent.
    ConnectionLimit,
    /// Another instance answered, and said that it didn't run the request.
    WrongInstance,
    /// The client failed amid its body, and gets this status: it says nothing about the instance.
    ClientFailed(u16),
}

impl AttemptEnd {
    /// By the head of an answer. None: its body is to be read.
    pub fn of_verdict(verdict: Verdict) -> Option<Self> {
        match verdict {
            Verdict::Valid => None,
            Verdict::NotExecuted => Some(Self::Outcome(AttemptOutcome::NotExecuted)),
            Verdict::WrongInstance => Some(Self::WrongInstance),
            Verdict::UnconfirmedRejection => Some(Self::Outcome(AttemptOutcome::Interrupted)),
            Verdict::Invalid => Some(Self::Outcome(AttemptOutcome::InvalidResponse)),
        }
    }

    /// Of an attempt that was broken off. `is_sent`: bytes of the request may have been sent; `waits_for_client`: its
    /// client is the one who was waited for.
    pub fn of_broken_off(is_sent: bool, waits_for_client: bool) -> Self {
        match (is_sent, waits_for_client) {
            (true, true) => Self::ClientFailed(504),
            (true, false) => Self::Outcome(AttemptOutcome::TimedOut),
            (false, _) => Self::Outcome(AttemptOutcome::Unsent),
        }
    }
}

/// Whether an attempt may be sent again at once: connections that were idle may have been closed by the instance.
#[derive(Default)]
pub struct Resend {
    has_failed: bool,
}

/// What follows where a connection failed before an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendFailure {
    /// Send again, on a new connection.
    SendAgain,
    /// Nothing was sent.
    Unsent,
    /// It was sent: the instance may have run it.
    Interrupted,
}

impl Resend {
    /// Only a connection that is new will do.
    pub fn needs_new_connection(&self) -> bool {
        self.has_failed
    }

    /// `is_unsent`: nothing of the request was written; `was_idle`: the connection had been used before;
    /// `has_body`: the body is at hand.
    pub fn send_failed(&mut self, is_unsent: bool, was_idle: bool, has_body: bool) -> SendFailure {
        if !is_unsent {
            return SendFailure::Interrupted;
        }
        let may_send_again = has_body && was_idle && !self.has_failed;
        self.has_failed = true;
        if may_send_again {
            SendFailure::SendAgain
        } else {
            SendFailure::Unsent
        }
    }
}
