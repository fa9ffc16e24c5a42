//! The duty of reporting usage: connects its decisions to the replicated state, the chain and the platform.

use super::Controller;
use crate::effect::Effect;
use crate::pending_request::{InternalPurpose, PendingRequest};
use rookpulley_chain::{Outcome, RequestKind};
use rookpulley_duties::{
    Action, LeaseAnswer, PlatformAnswer, ReplicatedLease, Snapshot, UsageReporter, rank,
};
use rookpulley_state::{Answer, Update};

/// Name of the duty in the replicated state. All windows are one subject at the platform, so they have one lease.
const USAGE_REPORTING: &str = "usage_reporting";
/// Oldest unreported windows that are considered at once.
const MAX_REPORTS: usize = 64;

impl Controller {
    /// Decides what the duty requires now.
    pub(super) fn tick_duties(&mut self, now: f64) {
        if self.usage_reporter.is_none() {
            return;
        }
        let rank = self.duty_rank(now);
        let unix_ms = self.clock.unix_ms(now);
        let Some(reporter) = &mut self.usage_reporter else {
            return;
        };
        let state = &self.chain.state().machine;
        let ledger = state.usage_ledger();
        // A released lease is free at once.
        let lease = state.duty(USAGE_REPORTING);
        let lease = lease.filter(|lease| lease.until_ms > 0);
        let snapshot = Snapshot {
            rank,
            unix_ms,
            lease: lease.map(|lease| ReplicatedLease {
                holder: lease.holder,
                fence: lease.fence,
                until_ms: lease.until_ms,
            }),
            closed_through: ledger.closed_through(),
            first_open: ledger.open_windows().next(),
            reports: ledger.reports().take(MAX_REPORTS).collect(),
        };
        let actions = reporter.tick(now, &snapshot);
        self.perform_duty_actions(now, actions);
    }

    /// Handles the answer of the platform to a call. `random` is uniformly distributed in `[0, 1)`.
    pub fn platform_answered(&mut self, now: f64, call: u64, answer: PlatformAnswer, random: f64) {
        let Some(reporter) = &mut self.usage_reporter else {
            return;
        };
        let actions = reporter.call_answered(now, call, answer, random);
        self.perform_duty_actions(now, actions);
    }

    /// Whether a call with this fencing token may still be sent.
    pub fn may_call_platform(&self, now: f64, fence: u64) -> bool {
        let reporter = self.usage_reporter.as_ref();
        reporter.is_some_and(|reporter| reporter.fence(now) == Some(fence))
    }

    /// The reporter of usage, if the deployment has that duty.
    pub fn usage_reporter(&self) -> Option<&UsageReporter> {
        self.usage_reporter.as_ref()
    }

    /// Handles the outcome of a request for the lease.
    pub(super) fn handle_lease_outcome(&mut self, outcome: Outcome) {
        let answer = match outcome {
            Outcome::Completed(bytes) => match Answer::decode(&bytes) {
                Ok(Answer::Acquired(fence)) => LeaseAnswer::Acquired(fence),
                Ok(_) => LeaseAnswer::Held,
                Err(_) => LeaseAnswer::Unknown,
            },
            Outcome::Rejected | Outcome::Unknown => LeaseAnswer::Unknown,
        };
        if let Some(reporter) = &mut self.usage_reporter {
            reporter.lease_answered(answer);
        }
    }

    /// Position of this controller among the members of the view, if it may hold a duty.
    fn duty_rank(&self, now: f64) -> Option<usize> {
        if !self.is_serving(now) || self.is_shutting_down {
            return None;
        }
        let members = &self.chain.view()?.members;
        let candidates: Vec<u64> = members.iter().map(|member| member.id).collect();
        rank(USAGE_REPORTING, self.me.id, &candidates)
    }

    fn perform_duty_actions(&mut self, now: f64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::AcquireLease { above } => self.acquire_duty(now, above),
                Action::ReleaseLease { fence } => self.release_duty(now, fence),
                Action::CloseWindow(window) => {
                    self.submit_duty_update(now, &Update::CloseUsage { window });
                }
                Action::RemoveReport(window) => {
                    self.submit_duty_update(now, &Update::UsageReported { window });
                }
                Action::Call(call) => self.effects.push(Effect::CallPlatform(call)),
                Action::Log(line) => self.log(line),
            }
        }
    }

    fn acquire_duty(&mut self, now: f64, above: u64) {
        let Some(reporter) = &self.usage_reporter else {
            return;
        };
        let settings = reporter.settings();
        let update = Update::AcquireDuty {
            duty: USAGE_REPORTING.into(),
            holder: settings.holder.clone(),
            lease_ms: settings.lease_ms as u64,
            above,
        };
        self.submit_internal(now, InternalPurpose::DutyLease, &update);
    }

    fn release_duty(&mut self, now: f64, fence: u64) {
        let Some(reporter) = &self.usage_reporter else {
            return;
        };
        let holder = reporter.settings().holder.clone();
        let duty = USAGE_REPORTING.into();
        self.submit_duty_update(
            now,
            &Update::ReleaseDuty {
                duty,
                holder,
                fence,
            },
        );
    }

    /// Submits an update whose outcome shows in the replicated state.
    fn submit_duty_update(&mut self, now: f64, update: &Update) {
        self.submit_internal(now, InternalPurpose::DutyUpdate, update);
    }

    fn submit_internal(&mut self, now: f64, purpose: InternalPurpose, update: &Update) {
        let token = self.next_number();
        let pending = PendingRequest::Internal(purpose);
        self.submit_to_chain(now, token, pending, RequestKind::Update, update.encode());
    }
}
