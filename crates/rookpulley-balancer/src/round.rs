//! What may still be done for one request, and what its client is told in the end.

use crate::Budget;
use rookpulley_protocol::IncarnationId;
use rookpulley_routes::RouteKind;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// No byte of it left: the task couldn't be reached, or had no room for a connection.
    Unsent,
    /// The task said that it didn't run it.
    NotExecuted,
    /// A whole answer of the task, with this status.
    Answered(u16),
    /// It left and ended without a whole answer: it may have run.
    Broken,
    /// What came back can't be the answer to it: it may have run.
    Spoilt,
    /// It left and no answer came in time: it may have run.
    TimedOut,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Another task; none of `tried`.
    Try,
    /// The task's answer goes to the client.
    Pass,
    /// 503: the promise that it hasn't run and won't.
    Refuse { retry_after_ms: f64 },
    /// 502.
    BadGateway,
    /// 504.
    TimedOut,
}

/// Tries that never left may be followed by so many others.
const UNSENT: u32 = 4;
/// With less time left than this a further try can't come to anything.
const USEFUL_MS: f64 = 8.0;

/// The course of one request.
#[derive(Clone, Debug)]
pub struct Round {
    kind: RouteKind,
    attempts: u32,
    until_ms: f64,
    retry_after_ms: f64,
    tried: Vec<IncarnationId>,
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    /// A token was taken for a further send that hasn't left yet.
    paid: bool,
}

impl Round {
    /// A request that came, to be done by `until_ms`. `unit` (0 to 1) spreads the returns of those refused.
    pub fn new(kind: RouteKind, attempts: u32, until_ms: f64, unit: f64) -> Round {
        let retry_after_ms = 80.0 + 60.0 * unit;
        Round {
            kind,
            attempts,
            until_ms,
            retry_after_ms,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
            paid: false,
        }
    }

    pub fn until_ms(&self) -> f64 {
        self.until_ms
    }

    /// The incarnations that a next try must not go to.
    pub fn tried(&self) -> &[IncarnationId] {
        &self.tried
    }

    /// What may run again at no harm.
    pub fn repeatable(&self) -> bool {
        !matches!(self.kind, RouteKind::Mutating)
    }

    /// The body can't be had a second time: nothing follows the first send.
    pub fn only_once(&mut self) {
        self.attempts = self.attempts.min(1);
    }

    /// A try goes to this incarnation.
    pub fn goes_to(&mut self, incarnation: &IncarnationId) {
        self.tried.push(incarnation.clone());
    }

    /// When to turn from a task that is slow beyond its habit to another one, if ever.
    pub fn patience_ms(&self, now_ms: f64, latency_target_ms: f64, habit_ms: f64) -> Option<f64> {
        let elsewhere = self.repeatable() && self.sends + 1 < self.attempts;
        let at_ms = now_ms + (0.8 * latency_target_ms).max(4.0 * habit_ms);
        (elsewhere && at_ms + habit_ms.max(USEFUL_MS) < self.until_ms).then_some(at_ms)
    }

    /// A try ended so. `another`: there is a task that wasn't tried.
    pub fn settle(&mut self, fate: Fate, now_ms: f64, another: bool, budget: &mut Budget) -> Next {
        match fate {
            Fate::Unsent => self.unsent += 1,
            _ => {
                self.sends += 1;
                self.paid = false;
            }
        }
        // Whatever isn't known not to have run may have run, for good.
        if !matches!(fate, Fate::Unsent | Fate::NotExecuted) {
            self.may_have_run = true;
        }
        let worth_another = match fate {
            Fate::Answered(status) => status >= 500,
            _ => true,
        };
        if worth_another && another && self.may_go_again(now_ms, budget) {
            return Next::Try;
        }
        self.end(budget);
        match fate {
            Fate::Answered(_) => Next::Pass,
            _ => self.give_up(now_ms),
        }
    }

    /// There is no task to try (any more).
    pub fn no_task(&mut self, now_ms: f64, budget: &mut Budget) -> Next {
        self.end(budget);
        self.give_up(now_ms)
    }

    /// A second send of what may run once needs to know that nothing ran; any second send needs to be paid.
    fn may_go_again(&mut self, now_ms: f64, budget: &mut Budget) -> bool {
        let harmless = self.repeatable() || !self.may_have_run;
        let bounded = self.sends < self.attempts && self.unsent < UNSENT;
        if !harmless || !bounded || self.until_ms - now_ms < USEFUL_MS {
            return false;
        }
        if self.sends > 0 && !self.paid {
            self.paid = budget.take(now_ms);
            return self.paid;
        }
        true
    }

    fn end(&mut self, budget: &mut Budget) {
        if std::mem::take(&mut self.paid) {
            budget.give_back();
        }
    }

    /// A promise is made only where no task can have begun.
    fn give_up(&self, now_ms: f64) -> Next {
        match (self.may_have_run, now_ms + 1.0 >= self.until_ms) {
            (false, _) => Next::Refuse {
                retry_after_ms: self.retry_after_ms,
            },
            (true, true) => Next::TimedOut,
            (true, false) => Next::BadGateway,
        }
    }
}
