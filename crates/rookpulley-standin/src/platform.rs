//! A stand-in for the platform that takes usage reports. It refuses and remembers as its public description says, and judges
//! the calls that it sees. It shares no code with the gateway.

use std::collections::BTreeMap;

/// A usage report as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// `Duty-Holder`.
    pub holder: String,
    /// `Fence-Token`.
    pub fence: u64,
    /// `windowNumber`.
    pub window: u64,
    /// `counts`.
    pub counts: BTreeMap<String, u64>,
}

/// A rule that the calls have broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two reports of one window carry different counts, and both were accepted.
    DifferentCounts {
        /// The window.
        window: u64,
    },
    /// Two holders have sent the same token.
    SharedFence {
        /// The token.
        fence: u64,
    },
    /// A holder acted, then another, then the first again, within the duration of a lease.
    Alternation {
        /// The holder that came back.
        holder: String,
    },
    /// More calls within a second than the platform accepts.
    RateExceeded,
}

/// A call that was not refused for its token.
#[derive(Clone, Debug)]
struct Act {
    at_ms: f64,
    holder: String,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    lease_ms: f64,
    calls_per_s: f64,
    highest_fence: u64,
    holder_by_fence: BTreeMap<u64, String>,
    accepted: BTreeMap<u64, BTreeMap<String, u64>>,
    acts: Vec<Act>,
    call_times_ms: Vec<f64>,
    violations: Vec<Violation>,
}

const OK: u16 = 200;
const CONFLICT: u16 = 409;
const TOO_MANY_REQUESTS: u16 = 429;

impl Platform {
    /// Creates a platform that has seen no call.
    pub fn new(lease_ms: f64, calls_per_s: f64) -> Self {
        Self {
            lease_ms,
            calls_per_s,
            highest_fence: 0,
            holder_by_fence: BTreeMap::new(),
            accepted: BTreeMap::new(),
            acts: Vec::new(),
            call_times_ms: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Processes a report and returns the status of the answer.
    pub fn report(&mut self, now_ms: f64, report: UsageReport) -> u16 {
        if self.exceeds_rate(now_ms) {
            self.violations.push(Violation::RateExceeded);
            return TOO_MANY_REQUESTS;
        }
        let fence = report.fence;
        let known = self.holder_by_fence.entry(fence);
        if *known.or_insert(report.holder.clone()) != report.holder {
            self.violations.push(Violation::SharedFence { fence });
        }
        if fence < self.highest_fence {
            return CONFLICT;
        }
        self.highest_fence = fence;
        self.record_act(now_ms, &report.holder);
        let window = report.window;
        let accepted = self.accepted.entry(window);
        if *accepted.or_insert(report.counts.clone()) != report.counts {
            self.violations.push(Violation::DifferentCounts { window });
        }
        OK
    }

    /// The accepted counts by window.
    pub fn accepted(&self) -> &BTreeMap<u64, BTreeMap<String, u64>> {
        &self.accepted
    }

    /// The rules that were broken.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Whether more calls came in the last second than are accepted.
    fn exceeds_rate(&mut self, now_ms: f64) -> bool {
        self.call_times_ms.retain(|at_ms| now_ms - at_ms < 1e3);
        self.call_times_ms.push(now_ms);
        self.call_times_ms.len() as f64 > self.calls_per_s
    }

    fn record_act(&mut self, now_ms: f64, holder: &str) {
        let recent = self.acts.iter().rev();
        let mut recent = recent.take_while(|act| now_ms - act.at_ms <= self.lease_ms);
        let has_other = recent.any(|act| act.holder != holder);
        if has_other && recent.any(|act| act.holder == holder) {
            let holder = holder.to_owned();
            self.violations.push(Violation::Alternation { holder });
        }
        self.acts.push(Act {
            at_ms: now_ms,
            holder: holder.to_owned(),
        });
    }
}
