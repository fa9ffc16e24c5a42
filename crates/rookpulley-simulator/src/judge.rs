//! Holds what those outside saw against the rules. It knows nothing of what went on inside.

mod apps;
mod requests;

use crate::day::Day;
use crate::record::Record;
use crate::{MS, S, Us};
use std::collections::BTreeMap;
use std::fmt;

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
    /// An order of the operator that was never acknowledged, or a proper one refused.
    Acks,
    /// After the last fault requests are served again.
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

pub const CONTACT: Us = 3 * S;
pub const APPLY: Us = 2_500 * MS;
pub const DOWNGRADE: Us = 250 * MS;
/// Of each rule so many breaches are told.
const TOLD: usize = 4;

pub(crate) struct Judge<'a> {
    record: &'a Record,
    day: &'a Day,
    breaches: Vec<Breach>,
    told: BTreeMap<Rule, usize>,
    core: Vec<Us>,
}

pub fn judge(record: &Record, day: &Day) -> Vec<Breach> {
    let mut core = record.faults.core.clone();
    core.sort_unstable();
    let mut judge = Judge {
        record,
        day,
        breaches: Vec::new(),
        told: BTreeMap::new(),
        core,
    };
    judge.requests();
    judge.drains();
    judge.configurations();
    judge.configuration_reads();
    judge.budget();
    judge.losses();
    judge.recovery();
    judge.locks();
    judge.numbers();
    judge.cells();
    judge.watches();
    for fault in &record.program_faults {
        judge.breach(Rule::Fault, 0, || fault.clone());
    }
    judge.breaches
}

impl Judge<'_> {
    pub(crate) fn breach(&mut self, rule: Rule, at: Us, what: impl FnOnce() -> String) {
        let told = self.told.entry(rule).or_default();
        *told += 1;
        if *told <= TOLD {
            self.breaches.push(Breach {
                rule,
                at_ms: at / MS,
                what: what(),
            });
        }
    }

    /// The core was settled all the while up to this moment.
    fn settled(&self, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT);
        let first = self.core.partition_point(|moment| *moment < since);
        self.core.get(first).is_none_or(|moment| *moment > at)
    }

    fn is_core(&self, machine: usize) -> bool {
        // Who came later in the place of another is of the core, too.
        machine < self.day.controllers || machine >= self.day.proxies.max(self.day.controllers)
    }

    /// A machine of the core that reaches more than half of it, at this moment.
    fn reaches_most(&self, machine: usize, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT);
        let away = (0..self.day.controllers)
            .filter(|other| *other != machine && self.cut(machine, *other, since, at));
        (self.day.controllers - away.count()) * 2 > self.day.controllers
    }

    fn cut(&self, a: usize, b: usize, since: Us, at: Us) -> bool {
        self.record.faults.cuts.iter().any(|(x, y, from, until)| {
            ((*x, *y) == (a, b) || (*x, *y) == (b, a)) && *from <= at && *until >= since
        })
    }

    pub(crate) fn in_touch(&self, machine: usize, at: Us) -> bool {
        let since = at.saturating_sub(CONTACT);
        let calm = !self
            .record
            .faults
            .machine
            .iter()
            .any(|(of, from, until)| *of == machine && *from <= at && *until >= since);
        calm && self.settled(at)
            && (0..self.day.controllers).all(|core| {
                core == machine
                    || !self.cut(machine, core, since, at)
                    || !self.reaches_most(core, at)
            })
            && (!self.is_core(machine) || self.reaches_most(machine, at))
    }
}
