//! Checks the externally visible record of a simulation against the rules. It has no access to internal state.

mod apps;
mod duties;
mod requests;

pub use duties::{Reporting, TenantWindow};

use crate::day::Day;
use crate::record::Record;
use crate::{MS, S, Us};
use std::collections::BTreeMap;
use std::fmt;

/// The rule that was violated. The variant names appear in the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Mixed,
    Unasked,
    Twice,
    Refused,
    Denied,
    Route,
    Drain,
    Lost,
    Config,
    Budget,
    One,
    Order,
    Stale,
    /// A valid configuration change was rejected or never acknowledged.
    Acks,
    /// Too few requests succeed after the last fault.
    Recover,
    Fault,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at_ms: u64,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = format!("{:?}", self.rule).to_uppercase();
        write!(f, "{rule} at {} ms: {}", self.at_ms, self.what)
    }
}

/// How long a machine must be free of faults and partitions to count as in contact.
pub const CONTACT_TIMEOUT: Us = 3 * S;
/// Time allowed to apply an acknowledged configuration.
pub const APPLY_LIMIT: Us = 2_500 * MS;
/// Time during which a proxy may still use an older configuration than it used before.
pub const DOWNGRADE_SLACK: Us = 250 * MS;
/// Limits the reported breaches of each rule.
const MAX_REPORTS_PER_RULE: usize = 4;

pub(crate) struct RuleChecker<'a> {
    record: &'a Record,
    day: &'a Day,
    breaches: Vec<Breach>,
    report_counts: BTreeMap<Rule, usize>,
    core: Vec<Us>,
}

/// Checks all rules and returns the breaches.
pub fn judge(record: &Record, day: &Day) -> Vec<Breach> {
    let mut core = record.faults.core.clone();
    core.sort_unstable();
    let mut checker = RuleChecker {
        record,
        day,
        breaches: Vec::new(),
        report_counts: BTreeMap::new(),
        core,
    };
    checker.check_requests();
    checker.check_drains();
    checker.check_configurations();
    checker.check_revocations();
    checker.check_configuration_reads();
    checker.check_retry_budget();
    checker.check_shutdown_losses();
    checker.check_recovery();
    checker.check_locks();
    checker.check_numbers();
    checker.check_keys();
    checker.check_watches();
    checker.check_duties();
    for fault in &record.program_faults {
        checker.breach(Rule::Fault, 0, || fault.clone());
    }
    checker.breaches
}

impl RuleChecker<'_> {
    /// Reports a breach, unless its rule has reached the limit.
    pub(crate) fn breach(&mut self, rule: Rule, at: Us, what: impl FnOnce() -> String) {
        let count = self.report_counts.entry(rule).or_default();
        *count += 1;
        if *count <= MAX_REPORTS_PER_RULE {
            self.breaches.push(Breach {
                rule,
                at_ms: at / MS,
                what: what(),
            });
        }
    }

    /// Whether no controller fault occurred within the contact timeout before `at`.
    fn core_is_stable(&self, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT_TIMEOUT);
        let first = self.core.partition_point(|moment| *moment < since);
        self.core.get(first).is_none_or(|moment| *moment > at)
    }

    fn is_core(&self, machine: usize) -> bool {
        // Replacement machines have the highest indexes and also run controllers.
        machine < self.day.controllers || machine >= self.day.proxies.max(self.day.controllers)
    }

    /// Whether `machine` could reach a majority of the controllers throughout the contact timeout before `at`.
    fn reaches_core_majority(&self, machine: usize, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT_TIMEOUT);
        let away = (0..self.day.controllers)
            .filter(|other| *other != machine && self.was_partitioned(machine, *other, since, at));
        (self.day.controllers - away.count()) * 2 > self.day.controllers
    }

    /// Whether a partition between the machines overlaps the interval.
    fn was_partitioned(&self, a: usize, b: usize, since: Us, at: Us) -> bool {
        self.record.faults.cuts.iter().any(|(x, y, from, until)| {
            ((*x, *y) == (a, b) || (*x, *y) == (b, a)) && *from <= at && *until >= since
        })
    }

    /// Whether `machine` had no fault and could reach the controllers throughout the contact timeout before `at`.
    pub(crate) fn in_contact(&self, machine: usize, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT_TIMEOUT);
        let undisturbed = !self
            .record
            .faults
            .machine
            .iter()
            .any(|(of, from, until)| *of == machine && *from <= at && *until >= since);
        undisturbed
            && self.core_is_stable(at)
            && (0..self.day.controllers).all(|core| {
                core == machine
                    || !self.was_partitioned(machine, core, since, at)
                    || !self.reaches_core_majority(core, at)
            })
            && (!self.is_core(machine) || self.reaches_core_majority(machine, at))
    }
}
