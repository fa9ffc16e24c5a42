//! Checks of locks, number sequences, keys and watches.

use super::{Rule, RuleChecker};
use crate::Us;
use crate::record::{AppCall, Asked, Got};
use std::collections::{BTreeMap, BTreeSet};

fn group_of(name: &str) -> &str {
    name.split_inclusive('.').next().unwrap_or(name)
}

/// An acknowledged put and its revision.
struct AcknowledgedPut<'a> {
    call: &'a AppCall,
    value: &'a str,
    active: Option<u64>,
    revision: u64,
    done: Us,
}

impl<'a> RuleChecker<'a> {
    pub fn check_locks(&mut self) {
        let holds = &self.record.holds;
        for (at, hold) in holds.iter().enumerate() {
            for other in holds.iter().skip(at + 1) {
                if other.lock != hold.lock || other.app == hold.app {
                    continue;
                }
                let (from, until) = (hold.from.max(other.from), hold.until.min(other.until));
                if from < until {
                    self.breach(Rule::One, from, || {
                        format!(
                            "apps {} and {} hold lock {} at the same time",
                            hold.app, other.app, hold.lock
                        )
                    });
                }
                let (first, second) = if hold.from <= other.asked {
                    (hold, other)
                } else {
                    (other, hold)
                };
                let before = first.from < second.asked && second.fence <= first.fence;
                if before || first.fence == second.fence {
                    self.breach(Rule::One, second.from, || {
                        format!(
                            "fence {} of lock {} was issued after {}",
                            second.fence, hold.lock, first.fence
                        )
                    });
                }
            }
        }
    }

    /// Checks that values are unique and that each exceeds all values returned before its call was sent.
    fn check_increasing(&mut self, what: &str, given: &[(Us, Us, u64)]) {
        let mut unique = BTreeSet::new();
        for (sent, done, value) in given {
            if !unique.insert(*value) {
                self.breach(Rule::Order, *done, || {
                    format!("{what}: value {value} was returned twice")
                });
            }
            let before = given
                .iter()
                .filter(|(_, earlier, _)| earlier < sent)
                .map(|(.., v)| *v)
                .max();
            if before.is_some_and(|before| before >= *value) {
                self.breach(Rule::Order, *done, || {
                    format!("{what}: value {value} was returned after {before:?}")
                });
            }
        }
    }

    pub fn check_numbers(&mut self) {
        let mut given: BTreeMap<&str, Vec<(Us, Us, u64)>> = BTreeMap::new();
        for call in &self.record.calls {
            if let (Got::Number(value), Some(done)) = (&call.got, call.done) {
                given
                    .entry(&call.name)
                    .or_default()
                    .push((call.sent, done, *value));
            }
        }
        for (name, given) in given {
            self.check_increasing(name, &given);
        }
        for number in &self.record.last {
            let call = &self.record.calls[*number];
            if matches!(call.got, Got::Nothing | Got::No(_)) {
                let at = self.record.end;
                self.breach(Rule::Lost, at, || {
                    format!(
                        "{:?} of {} did not succeed by the end: {:?}",
                        call.asked, call.name, call.got
                    )
                });
            }
        }
    }

    fn acknowledged_puts(&self) -> Vec<AcknowledgedPut<'a>> {
        let one = |call: &'a AppCall| match (&call.asked, &call.got, call.done) {
            (Asked::Put { value, active }, Got::Revision(revision), Some(done)) => {
                Some(AcknowledgedPut {
                    call,
                    value,
                    active: *active,
                    revision: *revision,
                    done,
                })
            }
            _ => None,
        };
        self.record.calls.iter().filter_map(one).collect()
    }

    /// Lists the values observed by reads and watches: time, key, value and revision.
    fn observed_values(&self) -> Vec<(Us, String, String, u64)> {
        let mut shown = Vec::new();
        for call in &self.record.calls {
            if let (Got::Read(Some((value, revision))), Some(done)) = (&call.got, call.done) {
                shown.push((done, call.name.clone(), value.clone(), *revision));
            }
        }
        for part in &self.record.watches {
            let events = part.events.iter();
            shown.extend(events.map(|(name, value, revision)| {
                (part.sent, name.clone(), value.clone(), *revision)
            }));
        }
        shown
    }

    pub fn check_keys(&mut self) {
        let puts = self.acknowledged_puts();
        let mut groups: BTreeMap<&str, Vec<(Us, Us, u64)>> = BTreeMap::new();
        for put in &puts {
            let group = groups.entry(group_of(&put.call.name)).or_default();
            group.push((put.call.sent, put.done, put.revision));
        }
        for (group, given) in groups {
            self.check_increasing(group, &given);
        }
        for put in &puts {
            let Some(active) = put.active else { continue };
            let between = puts.iter().find(|other| {
                other.call.name == put.call.name
                    && other.revision > active
                    && other.revision < put.revision
            });
            if let Some(other) = between {
                self.breach(Rule::Order, put.done, || {
                    format!(
                        "revision {} expected revision {} but overwrote {} of key {}",
                        put.revision, active, other.revision, put.call.name
                    )
                });
            }
        }
        for call in &self.record.calls {
            let (Got::Read(read), Some(done)) = (&call.got, call.done) else {
                continue;
            };
            let revision = read.as_ref().map_or(0, |(_, revision)| *revision);
            let its = puts
                .iter()
                .filter(|put| put.call.name == call.name && put.done < call.sent);
            let newest = its.map(|put| put.revision).max().unwrap_or(0);
            if revision < newest {
                self.breach(Rule::Stale, done, || {
                    format!(
                        "key {} was read at revision {revision} after revision {newest} was acknowledged",
                        call.name
                    )
                });
            }
        }
        self.check_values(&puts);
    }

    fn check_values(&mut self, acknowledged: &[AcknowledgedPut]) {
        let mut puts: BTreeMap<&str, &AppCall> = BTreeMap::new();
        for call in &self.record.calls {
            if let Asked::Put { value, .. } = &call.asked {
                puts.insert(value, call);
            }
        }
        let mut revisions: BTreeMap<String, u64> = acknowledged
            .iter()
            .map(|put| (put.value.to_string(), put.revision))
            .collect();
        for (at, name, value, revision) in self.observed_values() {
            let Some(put) = puts.get(value.as_str()).filter(|put| put.name == name) else {
                self.breach(Rule::Mixed, at, || {
                    format!("key {name} has value {value}, which was never written to it")
                });
                continue;
            };
            let known = *revisions.entry(value.clone()).or_insert(revision);
            if known != revision {
                self.breach(Rule::Mixed, at, || {
                    format!("value {value} was reported with revisions {known} and {revision}")
                });
            }
            let turned_away = matches!(put.got, Got::Conflict(_) | Got::No(_) | Got::Nothing)
                && put.done.is_some()
                && !put.indeterminate;
            if turned_away {
                let got = put.got.clone();
                self.breach(Rule::Refused, at, || {
                    format!("key {name} has value {value}, but its put returned {got:?}")
                });
            }
        }
        for call in &self.record.calls {
            let (Got::Conflict(revision), Some(done)) = (&call.got, call.done) else {
                continue;
            };
            let its = self.record.calls.iter().filter(|put| {
                put.name == call.name && matches!(put.asked, Asked::Put { .. }) && put.sent <= done
            });
            let known = *revision == 0
                || its.clone().any(|put| put.got == Got::Revision(*revision))
                || its
                    .clone()
                    .any(|put| put.indeterminate || put.done.is_none());
            if !known {
                self.breach(Rule::Mixed, done, || {
                    format!(
                        "put of key {} conflicts with unknown revision {revision}",
                        call.name
                    )
                });
            }
        }
    }

    pub fn check_watches(&mut self) {
        let puts = self.acknowledged_puts();
        for part in &self.record.watches {
            if part.status != 200 {
                if part.status == 410 {
                    self.breach(Rule::Lost, part.sent, || {
                        format!("watch of group {} returned 410", part.group)
                    });
                }
                continue;
            }
            let rising = part.events.windows(2).all(|pair| pair[0].2 < pair[1].2);
            let inside = part
                .events
                .iter()
                .all(|event| event.2 > part.after && event.2 <= part.revision);
            if !rising || !inside || part.revision < part.after {
                self.breach(Rule::Order, part.sent, || {
                    format!(
                        "watch of group {} returned events out of order or out of range",
                        part.group
                    )
                });
            }
            if part.after == 0 {
                let its = puts
                    .iter()
                    .filter(|put| group_of(&put.call.name) == part.group);
                let before = its
                    .filter(|put| put.done < part.sent)
                    .map(|put| put.revision)
                    .max();
                if before.is_some_and(|before| before > part.revision) {
                    self.breach(Rule::Stale, part.sent, || {
                        format!("watch of group {} started at a stale revision", part.group)
                    });
                }
                continue;
            }
            let its = puts.iter().filter(|put| {
                group_of(&put.call.name) == part.group
                    && put.revision > part.after
                    && put.revision <= part.revision
            });
            let skipped =
                its.filter(|put| !part.events.iter().any(|event| event.2 == put.revision));
            if let Some(put) = skipped.take(1).next() {
                self.breach(Rule::Order, part.sent, || {
                    format!(
                        "watch of group {} skipped revision {} between {} and {}",
                        part.group, put.revision, part.after, part.revision
                    )
                });
            }
        }
    }
}
