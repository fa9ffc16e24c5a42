//! The duty of reporting usage: closes windows, and sends each fixed report until the platform accepts it.

use crate::call_schedule::CallSchedule;
use crate::lease::{LeaseAnswer, OwnLease};
use rookpulley_usage::{TenantUsage, Window, WindowLength};
use std::collections::BTreeMap;

/// Share of the time until a report is due after which its window is closed. The last counts of a window come a few seconds
/// after its end; the rest of the time is left to send the report.
const SETTLE_SHARE: f64 = 0.6;
/// The lease is asked for again after this share of it.
const RENEWAL_SHARE: f64 = 0.25;
/// Added per rank to the time after which a silent lease counts as free.
const RANK_DELAY_MS: f64 = 250.0;
/// Time after its end at which a lease in the replicated state counts as free.
const FREE_AFTER_MS: f64 = 100.0;
/// Pause between requests that are refused.
const RETRY_LEASE_MS: f64 = 300.0;
/// A first call for a window without an answer is given up after this time; it doubles with each further one.
const CALL_TIMEOUT_MS: f64 = 2_500.0;
const MAX_CALL_TIMEOUT_MS: f64 = 5_000.0;
/// Calls in flight, for a window each, so that a slow answer delays no other window.
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// Windows whose calls are remembered.
const MAX_REMEMBERED_WINDOWS: usize = 256;
/// A request to close or remove a window is repeated after this time.
const REPEAT_UPDATE_MS: f64 = 500.0;

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Name of this controller's machine, which the platform is told.
    pub holder: String,
    /// Duration of the lease.
    pub lease_ms: f64,
    /// How long a process may have been frozen between a check and the call that follows it.
    pub thaw_slack_ms: f64,
    /// Length of a window.
    pub window: WindowLength,
    /// How long after the end of a window its report is due.
    pub report_due_ms: f64,
    /// Calls per second that the platform accepts from all controllers together.
    pub calls_per_s: f64,
}

/// The lease as this controller's replica of the state has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicatedLease<'a> {
    /// Name of the holder.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// End of the lease by the replicated time. Only its changes matter.
    pub until_ms: u64,
}

/// What a decision is made on.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<'a> {
    /// Position among the controllers that may hold the duty; None if this one may not.
    pub rank: Option<usize>,
    /// The time of day, in milliseconds since the start of 1970.
    pub unix_ms: f64,
    /// The lease in the replicated state.
    pub lease: Option<ReplicatedLease<'a>>,
    /// The last closed window.
    pub closed_through: Option<Window>,
    /// The first window with counts that is not closed.
    pub first_open: Option<Window>,
    /// The fixed reports that the platform is not known to have accepted, oldest first.
    pub reports: Vec<(Window, &'a [TenantUsage])>,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformCall {
    /// Number of the call, which its answer carries.
    pub number: u64,
    /// Name of the holder.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// The reported window.
    pub window: Window,
    /// Requests by tenant.
    pub counts: Vec<TenantUsage>,
    /// How long to wait for the answer.
    pub timeout_ms: f64,
}

/// How the platform answered a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// 2xx.
    Accepted,
    /// 409: a higher token was seen.
    Fenced,
    /// 429: too many calls.
    RateLimited,
    /// Any other answer, a closed connection or none in time: the call may or may not have been accepted.
    Failed,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the chain for the lease, with a token above this one.
    AcquireLease {
        /// The highest token that the platform has refused.
        above: u64,
    },
    /// Release the lease.
    ReleaseLease {
        /// Its token.
        fence: u64,
    },
    /// Close this window and all earlier ones.
    CloseWindow(Window),
    /// Call the platform.
    Call(PlatformCall),
    /// Remove the report of a window, which the platform has accepted.
    RemoveReport(Window),
    /// Log a message.
    Log(String),
}

/// What is known of the lease in the replicated state.
#[derive(Debug, Default)]
struct ObservedLease {
    fence: u64,
    until_ms: u64,
    /// When it was last seen to change.
    changed_ms: f64,
}

/// A call without an answer.
#[derive(Debug)]
struct CallInFlight {
    number: u64,
    fence: u64,
    window: Window,
}

/// The calls of this controller for one window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowCalls {
    calls: u32,
    last_ms: f64,
    is_accepted: bool,
}

/// An update of the replicated state that was requested for a window.
#[derive(Debug, Default)]
struct RequestedUpdate {
    window: Option<Window>,
    at_ms: f64,
}

impl RequestedUpdate {
    /// Whether to request it, for the first time or again. Records the request.
    fn is_due(&mut self, now_ms: f64, window: Window) -> bool {
        let is_new = self.window != Some(window);
        if !is_new && now_ms - self.at_ms < REPEAT_UPDATE_MS {
            return false;
        }
        *self = Self {
            window: Some(window),
            at_ms: now_ms,
        };
        true
    }
}

/// Decides for one controller.
#[derive(Debug)]
pub struct UsageReporter {
    settings: DutySettings,
    lease: OwnLease,
    observed: ObservedLease,
    schedule: CallSchedule,
    in_flight: Vec<CallInFlight>,
    windows: BTreeMap<Window, WindowCalls>,
    closing: RequestedUpdate,
    removing: RequestedUpdate,
    last_call: u64,
    was_holder: bool,
    is_shutting_down: bool,
}

impl UsageReporter {
    /// Starts without a lease.
    pub fn new(settings: DutySettings) -> Self {
        let schedule = CallSchedule::new(settings.calls_per_s);
        Self {
            settings,
            lease: OwnLease::default(),
            observed: ObservedLease::default(),
            schedule,
            in_flight: Vec::new(),
            windows: BTreeMap::new(),
            closing: RequestedUpdate::default(),
            removing: RequestedUpdate::default(),
            last_call: 0,
            was_holder: false,
            is_shutting_down: false,
        }
    }

    /// The settings of the duty.
    pub fn settings(&self) -> &DutySettings {
        &self.settings
    }

    /// Decides what to do now. Must be called several times a second.
    pub fn tick(&mut self, now_ms: f64, snapshot: &Snapshot) -> Vec<Action> {
        self.observe(now_ms, snapshot.lease);
        let mut actions = Vec::new();
        if self.is_shutting_down {
            self.release(&mut actions);
            return actions;
        }
        if self.has_work(snapshot) && self.should_ask(now_ms, snapshot) {
            let above = self.lease.ask(now_ms);
            actions.push(Action::AcquireLease { above });
        }
        self.log_change(now_ms, &mut actions);
        if let Some(fence) = self.fence(now_ms) {
            self.close_window(now_ms, snapshot, &mut actions);
            self.report(now_ms, fence, snapshot, &mut actions);
        }
        actions
    }

    /// Processes the answer to `Action::AcquireLease`.
    pub fn lease_answered(&mut self, answer: LeaseAnswer) {
        self.lease.answered(answer);
    }

    /// Processes the answer to `Action::Call`. `random` is uniformly distributed in `[0, 1)`.
    pub fn call_answered(
        &mut self,
        now_ms: f64,
        number: u64,
        answer: PlatformAnswer,
        random: f64,
    ) -> Vec<Action> {
        let position = self.in_flight.iter().position(|call| call.number == number);
        let Some(call) = position.map(|position| self.in_flight.swap_remove(position)) else {
            return Vec::new();
        };
        let Window(window) = call.window;
        match answer {
            PlatformAnswer::Accepted => {
                self.schedule.succeeded();
                self.windows.entry(call.window).or_default().is_accepted = true;
                let line = format!("duties: usage of window {window} reported");
                return vec![Action::Log(line)];
            }
            PlatformAnswer::Fenced => self.lease.refused(call.fence),
            PlatformAnswer::RateLimited | PlatformAnswer::Failed => {}
        }
        self.schedule.failed(now_ms, random);
        let fence = call.fence;
        let line = format!("duties: report of window {window} with token {fence}: {answer:?}");
        vec![Action::Log(line)]
    }

    /// Starts shutting down: no further call starts, and the lease is released.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// The token of the own lease, if a call may start now.
    pub fn fence(&self, now_ms: f64) -> Option<u64> {
        let margin_ms = self.settings.thaw_slack_ms;
        self.lease.fence(now_ms, self.settings.lease_ms, margin_ms)
    }

    fn observe(&mut self, now_ms: f64, lease: Option<ReplicatedLease>) {
        let (fence, until_ms) = lease.map_or((0, 0), |lease| (lease.fence, lease.until_ms));
        if (self.observed.fence, self.observed.until_ms) != (fence, until_ms) {
            self.observed = ObservedLease {
                fence,
                until_ms,
                changed_ms: now_ms,
            };
        }
    }

    /// A deployment without usage asks for no lease.
    fn has_work(&self, snapshot: &Snapshot) -> bool {
        snapshot.closed_through.is_some()
            || snapshot.first_open.is_some()
            || !snapshot.reports.is_empty()
    }

    fn should_ask(&self, now_ms: f64, snapshot: &Snapshot) -> bool {
        let Some(rank) = snapshot.rank else {
            return false;
        };
        if self.lease.is_asking() {
            return false;
        }
        if self.fence(now_ms).is_some() {
            let interval_ms = self.settings.lease_ms * RENEWAL_SHARE;
            return self.lease.asked_before(now_ms, interval_ms);
        }
        if !self.lease.asked_before(now_ms, RETRY_LEASE_MS) {
            return false;
        }
        let delay_ms = rank as f64 * RANK_DELAY_MS;
        match snapshot.lease {
            Some(lease) if lease.holder == self.settings.holder => true,
            Some(_) => {
                let free_ms = self.observed.changed_ms + self.settings.lease_ms + FREE_AFTER_MS;
                now_ms >= free_ms + delay_ms
            }
            None => now_ms >= self.observed.changed_ms + delay_ms,
        }
    }

    fn close_window(&mut self, now_ms: f64, snapshot: &Snapshot, actions: &mut Vec<Action>) {
        let window = self.settings.window;
        let settle_ms = self.settings.report_due_ms * SETTLE_SHARE;
        // The window before the one that contains this time has ended and settled.
        let Window(unsettled) = window.window_at(snapshot.unix_ms - settle_ms);
        let Some(due) = unsettled.checked_sub(1).map(Window) else {
            return;
        };
        let is_open = match (snapshot.closed_through, snapshot.first_open) {
            (Some(closed), _) => closed < due,
            (None, Some(first)) => first <= due,
            (None, None) => false,
        };
        if is_open && self.closing.is_due(now_ms, due) {
            actions.push(Action::CloseWindow(due));
        }
    }

    fn report(&mut self, now_ms: f64, fence: u64, snapshot: &Snapshot, actions: &mut Vec<Action>) {
        let is_accepted = |window: &Window| {
            let calls = self.windows.get(window);
            calls.is_some_and(|calls| calls.is_accepted)
        };
        let windows = snapshot.reports.iter().map(|(window, _)| *window);
        let accepted = windows.clone().find(is_accepted);
        if let Some(window) = accepted
            && self.removing.is_due(now_ms, window)
        {
            actions.push(Action::RemoveReport(window));
        }
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT || !self.schedule.is_due(now_ms) {
            return;
        }
        if let Some((window, counts)) = self.next_report(snapshot) {
            actions.push(Action::Call(self.call(now_ms, fence, window, counts)));
        }
    }

    /// The report to send next: one that was never sent, else the one that was sent longest ago.
    fn next_report<'a>(&self, snapshot: &Snapshot<'a>) -> Option<(Window, &'a [TenantUsage])> {
        let is_in_flight = |window: Window| self.in_flight.iter().any(|call| call.window == window);
        let calls = |window: Window| self.windows.get(&window).copied().unwrap_or_default();
        let reports = snapshot.reports.iter().copied();
        let unsent =
            reports.filter(|(window, _)| !is_in_flight(*window) && !calls(*window).is_accepted);
        unsent.min_by(|(a, _), (b, _)| {
            let (a, b) = (calls(*a), calls(*b));
            let never_sent = (a.calls > 0).cmp(&(b.calls > 0));
            never_sent.then(a.last_ms.total_cmp(&b.last_ms))
        })
    }

    fn call(
        &mut self,
        now_ms: f64,
        fence: u64,
        window: Window,
        counts: &[TenantUsage],
    ) -> PlatformCall {
        self.schedule.started(now_ms);
        self.last_call += 1;
        let number = self.last_call;
        self.in_flight.push(CallInFlight {
            number,
            fence,
            window,
        });
        let calls = self.windows.entry(window).or_default();
        let timeout_ms = CALL_TIMEOUT_MS * f64::from(calls.calls).exp2();
        calls.calls = calls.calls.saturating_add(1);
        calls.last_ms = now_ms;
        while self.windows.len() > MAX_REMEMBERED_WINDOWS {
            self.windows.pop_first();
        }
        PlatformCall {
            number,
            holder: self.settings.holder.clone(),
            fence,
            window,
            counts: counts.to_vec(),
            timeout_ms: timeout_ms.min(MAX_CALL_TIMEOUT_MS),
        }
    }

    fn release(&mut self, actions: &mut Vec<Action>) {
        // A call in flight may still reach the platform: the lease ends by itself then.
        if self.in_flight.is_empty()
            && let Some(fence) = self.lease.release()
        {
            actions.push(Action::ReleaseLease { fence });
        }
    }

    fn log_change(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let fence = self.fence(now_ms);
        if std::mem::replace(&mut self.was_holder, fence.is_some()) == fence.is_some() {
            return;
        }
        actions.push(Action::Log(match fence {
            Some(fence) => format!("duties: usage reporting is held with token {fence}"),
            None => "duties: usage reporting is no longer held".into(),
        }));
    }
}
