//! Rules of the calls to the platform, and how well usage was reported.

use super::{Rule, RuleChecker};
use crate::day::Day;
use crate::platform::{LEASE_MS, ORIGIN_UNIX_MS, REPORT_DUE_MS, window_length};
use crate::record::{Record, Report, ReportOutcome};
use crate::{MS, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Largest relative error of a reported count.
const USAGE_TOLERANCE: f64 = 0.05;

/// The usage of one tenant in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantWindow {
    pub window: u64,
    pub tenant: String,
    /// Requests that tasks began.
    pub began: u64,
    /// The accepted count. None if no report of the window was accepted; 0 if it doesn't contain the tenant.
    pub reported: Option<u64>,
    /// How long after the end of the window the report was accepted.
    pub after_ms: Option<f64>,
}

impl TenantWindow {
    /// Whether the report came in time and is close enough to the truth.
    pub fn is_met(&self) -> bool {
        let is_near = |reported: u64| {
            reported.abs_diff(self.began) as f64 <= USAGE_TOLERANCE * self.began as f64
        };
        self.after_ms.is_some_and(|ms| ms <= REPORT_DUE_MS) && self.reported.is_some_and(is_near)
    }
}

/// The calls to the platform and the windows that were due within the scenario.
#[derive(Clone, Debug, Default)]
pub struct Reporting {
    pub due: Vec<TenantWindow>,
    pub reports: Vec<Report>,
}

impl Reporting {
    pub(crate) fn of(record: &Record, day: &Day) -> Self {
        let reports = record.reports.clone();
        let due = match day.shape.usage {
            true => due_windows(record),
            false => Vec::new(),
        };
        Self { due, reports }
    }

    /// The share of due counts that came in time and close enough to the truth.
    pub fn share(&self) -> f64 {
        let met = self.due.iter().filter(|of| of.is_met());
        met.count() as f64 / self.due.len().max(1) as f64
    }

    pub fn count(&self, outcome: ReportOutcome) -> usize {
        let of = self.reports.iter().filter(|of| of.outcome == outcome);
        of.count()
    }

    /// The holders whose calls were accepted.
    pub fn holders(&self) -> BTreeSet<&str> {
        let accepted = self.reports.iter().filter(|of| is_accepted(of));
        accepted.map(|of| of.holder.as_str()).collect()
    }
}

fn is_accepted(report: &Report) -> bool {
    report.outcome == ReportOutcome::Accepted
}

fn unix_ms(at: Us) -> f64 {
    ORIGIN_UNIX_MS + at as f64 / 1e3
}

fn due_windows(record: &Record) -> Vec<TenantWindow> {
    let Some(length) = window_length() else {
        return Vec::new();
    };
    let is_due = |window| length.end_ms(window) + REPORT_DUE_MS <= unix_ms(record.end);
    // A request that ran again counts once.
    let mut counted = BTreeSet::new();
    let mut began: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    for arrival in &record.arrivals {
        let (Some(run), Some(tenant)) = (&arrival.ran, &arrival.tenant) else {
            continue;
        };
        let window = length.window_at(unix_ms(run.begun));
        if counted.insert(arrival.request) && is_due(window) {
            *began.entry((window.0, tenant)).or_default() += 1;
        }
    }
    let mut accepted: BTreeMap<u64, &Report> = BTreeMap::new();
    for report in record.reports.iter().filter(|of| is_accepted(of)) {
        accepted.entry(report.window).or_insert(report);
    }
    for (window, report) in &accepted {
        if is_due(rookpulley_control::Window(*window)) {
            let tenants = report.counts.keys();
            tenants.for_each(|tenant| _ = began.entry((*window, tenant)).or_default());
        }
    }
    let tenant_windows = began.into_iter().map(|((window, tenant), began)| {
        let report = accepted.get(&window);
        let end_ms = length.end_ms(rookpulley_control::Window(window));
        TenantWindow {
            window,
            tenant: tenant.into(),
            began,
            reported: report.map(|of| of.counts.get(tenant).copied().unwrap_or(0)),
            after_ms: report.map(|of| unix_ms(of.at) - end_ms),
        }
    });
    tenant_windows.collect()
}

impl RuleChecker<'_> {
    /// ONE at the platform.
    pub(super) fn check_duties(&mut self) {
        let record = self.record;
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, &Report> = BTreeMap::new();
        for report in &record.reports {
            let (fence, window) = (report.fence, report.window);
            let first = *holders.entry(fence).or_insert(&report.holder);
            if first != report.holder {
                let other = &report.holder;
                self.breach(Rule::One, report.at, || {
                    format!("{first} and {other} call the platform with token {fence}")
                });
            }
            if !is_accepted(report) {
                continue;
            }
            let first = *accepted.entry(window).or_insert(report);
            if first.counts != report.counts {
                self.breach(Rule::One, report.at, || {
                    let (before, after) = (&first.counts, &report.counts);
                    format!("window {window} is reported as {before:?} and as {after:?}")
                });
            }
        }
        self.check_alternation();
    }

    /// A holder that acts, then another, then the first again within a lease, in contact or not. A call with a lower
    /// token than an earlier one is no act, whatever the platform answers.
    fn check_alternation(&mut self) {
        let mut highest_fence = 0;
        let mut acts: Vec<&Report> = Vec::new();
        for report in &self.record.reports {
            if report.fence >= highest_fence {
                highest_fence = report.fence;
                acts.push(report);
            }
        }
        for (index, act) in acts.iter().enumerate() {
            let since = act.at.saturating_sub(LEASE_MS as Us * MS);
            let recent = acts[..index].iter().rev();
            let mut recent = recent.take_while(|of| of.at >= since);
            let has_other = recent.any(|of| of.holder != act.holder);
            if has_other && recent.any(|of| of.holder == act.holder) {
                self.breach(Rule::One, act.at, || {
                    format!("{} acts after another holder within a lease", act.holder)
                });
            }
        }
    }
}
