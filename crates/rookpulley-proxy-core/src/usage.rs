//! Usage: the requests of each tenant that began to run, by the window of the time of day in which they were sent.
//!
//! A request is counted once, by its first attempt that isn't known not to have been executed. Counts go to the primary
//! about once a second; a controller that becomes the primary, or was connected to anew, gets all that are retained.

use crate::attempt::AttemptEnd;
use crate::state::ProxyState;
use rookpulley_balancer::AttemptOutcome;
use rookpulley_protocol::ProxyToController;
use rookpulley_usage::{ProxyUsage, UsageCounter, Window, WindowLength, WindowUsage};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

/// An attempt counts after this time even if its end isn't known: its client may have left, or it takes long. An
/// instance that doesn't execute a request says so earlier.
const MAX_UNDECIDED_MS: f64 = 2_000.0;

/// Parameters of counting usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageStart {
    /// Length of the windows.
    pub window: WindowLength,
    /// Random number of this process.
    pub incarnation: u64,
}

/// Whether an attempt was executed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Not known yet.
    Undecided,
    /// It was, or may have been: it is counted.
    Counted,
    /// It was not.
    NotExecuted,
}

/// An attempt of a request with a tenant.
#[derive(Debug)]
struct Attempt {
    tenant: Arc<str>,
    window: Window,
    began_ms: f64,
    stage: Cell<Stage>,
}

/// What of one request may count.
#[derive(Debug, Default)]
pub(crate) struct RequestUsage {
    /// The latest attempt, or the one that was counted.
    attempt: Option<Rc<Attempt>>,
}

impl RequestUsage {
    fn is_counted(&self) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.stage.get() == Stage::Counted)
    }
}

/// The counts of this proxy.
pub(crate) struct Usage {
    start: UsageStart,
    counter: UsageCounter,
    /// Attempts in the order in which they began, until they are decided.
    undecided: VecDeque<Rc<Attempt>>,
}

impl Usage {
    pub fn new(start: UsageStart) -> Self {
        Self {
            start,
            counter: UsageCounter::default(),
            undecided: VecDeque::new(),
        }
    }

    fn attempt_began(&mut self, now: f64, unix_ms: f64, tenant: &Arc<str>) -> Rc<Attempt> {
        let attempt = Rc::new(Attempt {
            tenant: tenant.clone(),
            window: self.start.window.window_at(unix_ms),
            began_ms: now,
            stage: Cell::new(Stage::Undecided),
        });
        self.undecided.push_back(attempt.clone());
        attempt
    }

    fn decide(&mut self, attempt: &Attempt, is_executed: bool) {
        if attempt.stage.get() != Stage::Undecided {
            return;
        }
        if is_executed {
            attempt.stage.set(Stage::Counted);
            self.counter.count(attempt.window, &attempt.tenant);
        } else {
            attempt.stage.set(Stage::NotExecuted);
        }
    }

    /// Counts the attempts that have been undecided for this long.
    fn decide_after(&mut self, now: f64, undecided_ms: f64) {
        while let Some(attempt) = self.undecided.front() {
            let is_undecided = attempt.stage.get() == Stage::Undecided;
            if is_undecided && now - attempt.began_ms < undecided_ms {
                return;
            }
            let Some(attempt) = self.undecided.pop_front() else {
                return;
            };
            self.decide(&attempt, true);
        }
    }

    /// The counts that have changed since the last call.
    fn take_changed(&mut self) -> Option<ProxyUsage> {
        let windows: Vec<WindowUsage> = self.counter.take_changed();
        let incarnation = self.start.incarnation;
        (!windows.is_empty()).then_some(ProxyUsage {
            incarnation,
            windows,
        })
    }
}

/// Whether an instance has executed an attempt, or may have.
fn may_be_executed(end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Outcome(AttemptOutcome::Unsent | AttemptOutcome::NotExecuted)
        | AttemptEnd::ConnectionLimit
        | AttemptEnd::WrongInstance => false,
        // A client fails an attempt only after the head of its request was sent.
        AttemptEnd::Outcome(_) | AttemptEnd::ClientFailed(_) => true,
    }
}

impl ProxyState {
    /// Processes the begin of an attempt of a request.
    pub(crate) fn usage_attempt_began(
        &mut self,
        now: f64,
        tenant: Option<&Arc<str>>,
        request: &mut RequestUsage,
    ) {
        let unix_ms = self.unix_ms(now);
        let (Some(usage), Some(tenant)) = (&mut self.usage, tenant) else {
            return;
        };
        if !request.is_counted() {
            request.attempt = Some(usage.attempt_began(now, unix_ms, tenant));
        }
    }

    /// Processes the end of an attempt of a request.
    pub(crate) fn usage_attempt_ended(&mut self, request: &RequestUsage, end: AttemptEnd) {
        if let (Some(usage), Some(attempt)) = (&mut self.usage, &request.attempt) {
            usage.decide(attempt, may_be_executed(end));
        }
    }

    /// Sends the counts that have changed to the primary.
    pub(crate) fn send_usage(&mut self, now: f64) {
        let (is_shutting_down, primary) = (self.is_shutting_down, self.primary());
        let Some(usage) = &mut self.usage else {
            return;
        };
        // This process may end before the attempts do.
        let undecided_ms = if is_shutting_down {
            0.0
        } else {
            MAX_UNDECIDED_MS
        };
        usage.decide_after(now, undecided_ms);
        let Some(primary) = primary else {
            return;
        };
        if let Some(changed) = usage.take_changed() {
            self.send(primary, ProxyToController::Usage(changed));
        }
    }

    /// Sends all retained counts to a controller that is the primary now.
    pub(crate) fn send_all_usage(&mut self, now: f64) {
        if let Some(usage) = &mut self.usage {
            usage.counter.send_all_again();
        }
        self.send_usage(now);
    }
}
