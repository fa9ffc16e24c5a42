//! The platform that usage is reported to, as an external party: it refuses lower fencing tokens, limits the rate of calls,
//! and can be down, slow or lose its answers. Also a controller's side of a call, which replaces the program's client.

use crate::event::{HolderFault, PlatformFault, ReportStage};
use crate::net::Host;
use crate::record::{Report, ReportOutcome};
use crate::world::{Mutation, What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_control::{DutySettings, PlatformAnswer, PlatformCall, WindowLength};
use rookpulley_proxy_core::UsageStart;

/// The simulated time of day at the start of a scenario, in milliseconds since the start of 1970.
pub const ORIGIN_UNIX_MS: f64 = 1_780_000_001_300.0;
pub const WINDOW_S: f64 = 5.0;
/// How long after the end of a window its report is due.
pub const REPORT_DUE_MS: f64 = 10_000.0;
pub const LEASE_MS: f64 = 3_000.0;
const THAW_SLACK_MS: f64 = 300.0;
/// Calls that the platform accepts within a second.
const CALLS_PER_S: usize = 50;
/// Time between the last check of the lease and the write to the connection.
const WRITE_DELAY: Us = 20;

/// The state of the platform and of its faults.
#[derive(Default)]
pub struct Platform {
    highest_fence: u64,
    call_times: Vec<Us>,
    /// The fault and when it ends.
    fault: Option<(PlatformFault, Us)>,
    /// The fault of the holder to apply at this stage of the next report.
    pending: Option<(ReportStage, HolderFault)>,
}

/// A report on its way to the platform.
#[derive(Clone, Debug)]
pub struct SentReport {
    from: (usize, u32),
    call: PlatformCall,
}

/// Length of the windows.
pub fn window_length() -> Option<WindowLength> {
    WindowLength::from_seconds(WINDOW_S)
}

/// Settings of processes.
impl World {
    /// The time of day that a process of this machine reads at its start.
    pub fn origin_unix_ms(&self, machine: usize) -> f64 {
        let running_ms = self.now as f64 / 1e3;
        match self.day.shape.usage {
            true => ORIGIN_UNIX_MS + running_ms + self.machines[machine].clock_error_ms,
            false => running_ms,
        }
    }

    pub fn usage_duty(&self, machine: usize) -> Option<DutySettings> {
        if !self.day.shape.usage {
            return None;
        }
        Some(DutySettings {
            holder: format!("edge-{machine}"),
            lease_ms: LEASE_MS,
            thaw_slack_ms: THAW_SLACK_MS,
            window: window_length()?,
            report_due_ms: REPORT_DUE_MS,
            calls_per_s: CALLS_PER_S as f64,
        })
    }

    pub fn usage_start(&mut self) -> Option<UsageStart> {
        if !self.day.shape.usage {
            return None;
        }
        Some(UsageStart {
            window: window_length()?,
            incarnation: self.rng.random(),
        })
    }
}

/// A controller's calls.
impl World {
    /// Opens a connection to the platform for a call.
    pub fn call_platform(&mut self, process: usize, call: PlatformCall) {
        let me = self.address(process);
        let (number, timeout_ms) = (call.number, call.timeout_ms);
        self.after((timeout_ms * 1e3) as Us, me, What::PlatformLate(number));
        let from = self.host_of(process);
        if !self.net.cut_either(from, Host::Platform) && self.platform_fault().is_none_or(connects)
        {
            let us = self.delay(from, Host::Platform) + self.delay(Host::Platform, from);
            self.after(us, me, What::PlatformConnected(number));
        }
        if let Some(of) = self.controller(process) {
            of.platform_calls.insert(number, call);
        }
        self.fault_holder(process, ReportStage::Connecting);
    }

    /// The connection is open: the lease is checked for the last time.
    pub fn platform_connected(&mut self, process: usize, number: u64) {
        let (me, clock) = (self.address(process), self.clock(process));
        if self.mutation == Some(Mutation::SkipLeaseCheck) {
            return self.write_report(process, number);
        }
        let Some(of) = self.controller(process) else {
            return;
        };
        let Some(call) = of.platform_calls.get(&number) else {
            return;
        };
        if !of.controller.may_call_platform(clock, call.fence) {
            self.say(|| format!("call {number} isn't sent: its lease has ended"));
            return self.platform_answers(process, number, PlatformAnswer::Failed);
        }
        self.after(WRITE_DELAY, me, What::PlatformWrite(number));
        self.fault_holder(process, ReportStage::Checked);
    }

    /// The report is written to the connection.
    pub fn write_report(&mut self, process: usize, number: u64) {
        let (Some(from), host) = (self.address(process), self.host_of(process)) else {
            return;
        };
        let call = self
            .controller(process)
            .and_then(|of| of.platform_calls.get(&number).cloned());
        let Some(mut call) = call else {
            return;
        };
        self.spoil_call(&mut call);
        let report = SentReport { from, call };
        if self.mutation == Some(Mutation::RepeatAfterLease) {
            // The same call with the same token, although the lease may have ended.
            let again = What::PlatformArrival(report.clone());
            self.after((LEASE_MS * 2e3) as Us, None, again);
        }
        self.post(host, Host::Platform, None, What::PlatformArrival(report));
    }

    /// Passes an answer on, unless the call has ended before.
    pub fn platform_answers(&mut self, process: usize, number: u64, answer: PlatformAnswer) {
        let random = self.rng.random();
        let call = self
            .controller(process)
            .and_then(|of| of.platform_calls.remove(&number));
        if call.is_some() {
            self.with_controller(process, |controller, now| {
                controller.platform_answered(now, number, answer, random);
            });
        }
    }

    fn spoil_call(&self, call: &mut PlatformCall) {
        match self.mutation {
            Some(Mutation::ConstantFence) => call.fence = 1,
            Some(Mutation::AlternateHolders) => {
                call.fence = call.number;
                if call.number.is_multiple_of(2) {
                    call.holder = "edge-other".into();
                }
            }
            Some(Mutation::RecountReports) => {
                let first = call.counts.first_mut();
                first
                    .into_iter()
                    .for_each(|count| count.requests += call.fence);
            }
            _ => {}
        }
    }
}

/// The platform.
impl World {
    pub fn begin_platform_fault(&mut self, fault: PlatformFault, ms: u64) {
        self.platform.fault = Some((fault, self.now + ms * MS));
    }

    /// Arms a fault of the machine that makes the next report.
    pub fn arm_holder_fault(&mut self, stage: ReportStage, fault: HolderFault) {
        self.platform.pending = Some((stage, fault));
    }

    pub fn report_arrives(&mut self, sent: SentReport) {
        match self.platform_fault() {
            Some(PlatformFault::Silent) => {}
            Some(PlatformFault::Resets) => self.answer_report(&sent, PlatformAnswer::Failed),
            Some(PlatformFault::Busy) => {
                self.record_report(&sent, ReportOutcome::Busy);
                self.answer_report(&sent, PlatformAnswer::Failed);
            }
            Some(PlatformFault::Slow { by_ms }) => {
                self.after(by_ms * MS, None, What::PlatformHandles(sent));
            }
            Some(PlatformFault::LosesAnswers) | None => self.handle_report(sent),
        }
    }

    pub fn handle_report(&mut self, sent: SentReport) {
        let outcome = self.decide_report(sent.call.fence);
        self.record_report(&sent, outcome);
        if outcome == ReportOutcome::Accepted {
            self.fault_holder(sent.from.0, ReportStage::Accepted);
        }
        if self.platform_fault() != Some(PlatformFault::LosesAnswers) {
            let answer = match outcome {
                ReportOutcome::Accepted => PlatformAnswer::Accepted,
                ReportOutcome::Fenced => PlatformAnswer::Fenced,
                ReportOutcome::RateLimited => PlatformAnswer::RateLimited,
                ReportOutcome::Busy => PlatformAnswer::Failed,
            };
            self.answer_report(&sent, answer);
        }
    }

    fn decide_report(&mut self, fence: u64) -> ReportOutcome {
        let now = self.now;
        let of = &mut self.platform;
        of.call_times.retain(|at| now - at < S);
        of.call_times.push(now);
        if of.call_times.len() > CALLS_PER_S {
            return ReportOutcome::RateLimited;
        }
        if fence < of.highest_fence {
            return ReportOutcome::Fenced;
        }
        of.highest_fence = fence;
        ReportOutcome::Accepted
    }

    fn record_report(&mut self, sent: &SentReport, outcome: ReportOutcome) {
        let call = &sent.call;
        let (window, fence, holder) = (call.window.0, call.fence, call.holder.clone());
        self.say(|| format!("platform: window {window} of {holder}, token {fence}: {outcome:?}"));
        let counts = call.counts.iter();
        self.record.reports.push(Report {
            at: self.now,
            holder: call.holder.clone(),
            fence,
            window,
            counts: counts
                .map(|count| (count.tenant.clone(), count.requests))
                .collect(),
            outcome,
        });
    }

    fn answer_report(&mut self, sent: &SentReport, answer: PlatformAnswer) {
        let to = self.host_of(sent.from.0);
        let number = sent.call.number;
        let what = What::PlatformAnswered { number, answer };
        self.post(Host::Platform, to, Some(sent.from), what);
    }

    fn platform_fault(&self) -> Option<PlatformFault> {
        let (fault, until) = self.platform.fault?;
        (self.now < until).then_some(fault)
    }

    fn fault_holder(&mut self, process: usize, stage: ReportStage) {
        let armed = self.platform.pending.take_if(|(at, _)| *at == stage);
        if let Some((_, fault)) = armed {
            let machine = self.processes[process].machine;
            self.after(0, None, What::Immediate(fault.at(machine)));
        }
    }
}

/// Whether connections can be opened during a fault.
fn connects(fault: PlatformFault) -> bool {
    fault != PlatformFault::Silent
}
