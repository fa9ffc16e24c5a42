//! Retry policy of one request, and its final response.
//!
//! Invariant: a 503 guarantees that the request was not and will not be executed, so it is returned only if no attempt
//! may have been executed. A non-idempotent request is retried only under the same condition.

use crate::RetryBudget;
use rookpulley_protocol::IncarnationId;
use rookpulley_routes::RouteKind;

/// Maximum number of attempts that end before any byte of the request is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Minimum time before the deadline for a retry to be attempted.
const MIN_RETRY_MS: f64 = 8.0;
/// Base of the retry-after delay of a rejected request, and the jitter that is added to it.
const RETRY_AFTER_MS: f64 = 80.0;
const RETRY_AFTER_SPREAD_MS: f64 = 60.0;
/// An attempt is slow after this fraction of the latency target or this multiple of the expected latency, whichever is
/// longer.
const SLOW_TARGET_FRACTION: f64 = 0.8;
const SLOW_EXPECTED_FACTOR: f64 = 4.0;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// No byte was sent: the instance was unreachable, or its connection limit was reached.
    Unsent,
    /// The instance reported that it did not execute the request.
    NotExecuted,
    /// A complete response with this status.
    Answered(u16),
    /// The request was sent but the response is incomplete: it may have been executed.
    Interrupted,
    /// The response does not belong to this request: it may have been executed.
    InvalidResponse,
    /// The request was sent and no response arrived in time: it may have been executed.
    TimedOut,
}

/// Next action after an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// Retry on an instance that has not been tried.
    Retry,
    /// Forward the instance's response to the client.
    Forward,
    /// Return 503: the request was not and will not be executed.
    Reject {
        /// Retry-after delay.
        retry_after_ms: f64,
    },
    /// Return 502.
    BadGateway,
    /// Return 504.
    GatewayTimeout,
}

/// Tracks the attempts of one request.
#[derive(Clone, Debug)]
pub struct RequestAttempts {
    kind: RouteKind,
    max_sends: u32,
    deadline_ms: f64,
    retry_after_ms: f64,
    tried: Vec<IncarnationId>,
    sends: u32,
    unsent_attempts: u32,
    may_have_executed: bool,
    /// A token was withdrawn for a retry that has not been sent yet.
    has_retry_token: bool,
}

impl RequestAttempts {
    /// Starts tracking a request with the given deadline. `random`, from 0 to 1, sets the jitter of the retry-after delay.
    pub fn new(kind: RouteKind, max_sends: u32, deadline_ms: f64, random: f64) -> Self {
        Self {
            kind,
            max_sends,
            deadline_ms,
            retry_after_ms: RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * random,
            tried: Vec::new(),
            sends: 0,
            unsent_attempts: 0,
            may_have_executed: false,
            has_retry_token: false,
        }
    }

    /// Incarnations already tried, which retries must avoid.
    pub fn tried(&self) -> &[IncarnationId] {
        &self.tried
    }

    /// Whether the request can safely be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self.kind, RouteKind::Mutating)
    }

    /// Limits the request to one send, for a body that cannot be replayed.
    pub fn disable_retries(&mut self) {
        self.max_sends = self.max_sends.min(1);
    }

    /// Records the start of an attempt on this incarnation.
    pub fn begin(&mut self, incarnation: &IncarnationId) {
        self.tried.push(incarnation.clone());
    }

    /// When to abandon a slow attempt in favor of a retry. None if a retry is not allowed or would miss the deadline.
    pub fn abandon_at_ms(
        &self,
        now_ms: f64,
        latency_target_ms: f64,
        expected_ms: f64,
    ) -> Option<f64> {
        let may_retry = self.is_idempotent() && self.sends + 1 < self.max_sends;
        let slow_ms =
            (SLOW_TARGET_FRACTION * latency_target_ms).max(SLOW_EXPECTED_FACTOR * expected_ms);
        let abandon_at_ms = now_ms + slow_ms;
        let ends_in_time = abandon_at_ms + expected_ms.max(MIN_RETRY_MS) < self.deadline_ms;
        (may_retry && ends_in_time).then_some(abandon_at_ms)
    }

    /// Records the outcome of an attempt. `has_untried` tells whether an untried instance is available.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        now_ms: f64,
        has_untried: bool,
        budget: &mut RetryBudget,
    ) -> NextAction {
        if outcome == AttemptOutcome::Unsent {
            self.unsent_attempts += 1;
        } else {
            self.sends += 1;
            self.has_retry_token = false;
        }
        // Never reset: one possibly executed attempt rules out a 503.
        if !matches!(
            outcome,
            AttemptOutcome::Unsent | AttemptOutcome::NotExecuted
        ) {
            self.may_have_executed = true;
        }
        let is_failure = match outcome {
            AttemptOutcome::Answered(status) => status >= 500,
            _ => true,
        };
        if is_failure && has_untried && self.may_retry(now_ms, budget) {
            return NextAction::Retry;
        }
        self.refund(budget);
        match outcome {
            AttemptOutcome::Answered(_) => NextAction::Forward,
            _ => self.give_up(now_ms),
        }
    }

    /// Ends the request because no endpoint is available.
    pub fn no_endpoint(&mut self, now_ms: f64, budget: &mut RetryBudget) -> NextAction {
        self.refund(budget);
        self.give_up(now_ms)
    }

    /// Checks idempotency, attempt limits and the deadline, and withdraws a retry token if the request was sent before.
    fn may_retry(&mut self, now_ms: f64, budget: &mut RetryBudget) -> bool {
        let is_safe = self.is_idempotent() || !self.may_have_executed;
        let is_within_limits =
            self.sends < self.max_sends && self.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        if !is_safe || !is_within_limits || self.deadline_ms - now_ms < MIN_RETRY_MS {
            return false;
        }
        if self.sends > 0 && !self.has_retry_token {
            self.has_retry_token = budget.withdraw(now_ms);
            return self.has_retry_token;
        }
        true
    }

    fn refund(&mut self, budget: &mut RetryBudget) {
        if std::mem::take(&mut self.has_retry_token) {
            budget.refund();
        }
    }

    /// Rejects with 503 only if no attempt may have been executed.
    fn give_up(&self, now_ms: f64) -> NextAction {
        if !self.may_have_executed {
            return NextAction::Reject {
                retry_after_ms: self.retry_after_ms,
            };
        }
        if now_ms + 1.0 >= self.deadline_ms {
            NextAction::GatewayTimeout
        } else {
            NextAction::BadGateway
        }
    }
}
