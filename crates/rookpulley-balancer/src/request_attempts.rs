//! What may still be done for one request, and what its client is answered in the end.
//!
//! Invariant: a 503 promises that the request hasn't run and never will (RULES, promises), so it is given only where no
//! attempt may have run. A request that isn't idempotent is sent again only under the same condition.

use crate::RetryBudget;
use rookpulley_protocol::IncarnationId;
use rookpulley_routes::RouteKind;

/// How many attempts may end without a byte of the request having been sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// With less time left than this a retry can't succeed.
const MIN_RETRY_MS: f64 = 8.0;
/// When the client of a rejected request is told to come again, and by how much that is spread.
const RETRY_AFTER_MS: f64 = 80.0;
const RETRY_AFTER_SPREAD_MS: f64 = 60.0;
/// An attempt is slow beyond this part of the latency target, or so many times the expected latency.
const SLOW_TARGET_PART: f64 = 0.8;
const SLOW_EXPECTED_TIMES: f64 = 4.0;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// No byte of it was sent: the instance couldn't be reached, or had no room for a connection.
    Unsent,
    /// The instance says that it didn't run it.
    NotExecuted,
    /// A complete answer of the instance, with this status.
    Answered(u16),
    /// It was sent and ended without a complete answer: it may have run.
    Interrupted,
    /// What came back can't be the answer to it: it may have run.
    InvalidResponse,
    /// It was sent and no answer came in time: it may have run.
    TimedOut,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// An attempt at another instance, none of those tried before.
    Retry,
    /// The instance's answer goes to the client.
    Forward,
    /// 503: the promise that the request hasn't run and won't.
    Reject {
        /// When the client is to come again.
        retry_after_ms: f64,
    },
    /// 502.
    BadGateway,
    /// 504.
    GatewayTimeout,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct RequestAttempts {
    kind: RouteKind,
    max_sends: u32,
    deadline_ms: f64,
    retry_after_ms: f64,
    tried: Vec<IncarnationId>,
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    /// A token was withdrawn for a retry that hasn't been sent yet.
    is_paid: bool,
}

impl RequestAttempts {
    /// A request that came, to be done by `deadline_ms`. `random` (from 0 to 1) spreads the returns of rejected clients.
    pub fn new(kind: RouteKind, max_sends: u32, deadline_ms: f64, random: f64) -> Self {
        Self {
            kind,
            max_sends,
            deadline_ms,
            retry_after_ms: RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * random,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
            is_paid: false,
        }
    }

    /// The incarnations that a retry must not go to.
    pub fn tried(&self) -> &[IncarnationId] {
        &self.tried
    }

    /// Whether the request may run twice at no harm.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self.kind, RouteKind::Mutating)
    }

    /// The body can't be had a second time: nothing follows the first send.
    pub fn disable_retries(&mut self) {
        self.max_sends = self.max_sends.min(1);
    }

    /// An attempt at this incarnation begins.
    pub fn begin(&mut self, incarnation: &IncarnationId) {
        self.tried.push(incarnation.clone());
    }

    /// When to turn from an instance that is slow beyond what is expected of it, if ever.
    pub fn abandon_at_ms(
        &self,
        now_ms: f64,
        latency_target_ms: f64,
        expected_ms: f64,
    ) -> Option<f64> {
        let may_retry = self.is_idempotent() && self.sends + 1 < self.max_sends;
        let slow_ms = (SLOW_TARGET_PART * latency_target_ms).max(SLOW_EXPECTED_TIMES * expected_ms);
        let abandon_at_ms = now_ms + slow_ms;
        let ends_in_time = abandon_at_ms + expected_ms.max(MIN_RETRY_MS) < self.deadline_ms;
        (may_retry && ends_in_time).then_some(abandon_at_ms)
    }

    /// An attempt has ended. `has_untried`: there is an instance that wasn't tried.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        now_ms: f64,
        has_untried: bool,
        budget: &mut RetryBudget,
    ) -> NextAction {
        if outcome == AttemptOutcome::Unsent {
            self.unsent += 1;
        } else {
            self.sends += 1;
            self.is_paid = false;
        }
        // Whatever isn't known not to have run may have run, for good.
        if !matches!(
            outcome,
            AttemptOutcome::Unsent | AttemptOutcome::NotExecuted
        ) {
            self.may_have_run = true;
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

    /// There is no instance to try, or none any more.
    pub fn no_endpoint(&mut self, now_ms: f64, budget: &mut RetryBudget) -> NextAction {
        self.refund(budget);
        self.give_up(now_ms)
    }

    /// Another send of what isn't idempotent needs to know that nothing ran; any second send needs to be paid for.
    fn may_retry(&mut self, now_ms: f64, budget: &mut RetryBudget) -> bool {
        let is_harmless = self.is_idempotent() || !self.may_have_run;
        let is_bounded = self.sends < self.max_sends && self.unsent < MAX_UNSENT_ATTEMPTS;
        if !is_harmless || !is_bounded || self.deadline_ms - now_ms < MIN_RETRY_MS {
            return false;
        }
        if self.sends > 0 && !self.is_paid {
            self.is_paid = budget.withdraw(now_ms);
            return self.is_paid;
        }
        true
    }

    fn refund(&mut self, budget: &mut RetryBudget) {
        if std::mem::take(&mut self.is_paid) {
            budget.refund();
        }
    }

    /// A promise is made only where no instance can have begun.
    fn give_up(&self, now_ms: f64) -> NextAction {
        if !self.may_have_run {
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
