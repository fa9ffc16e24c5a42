//! The rules on locks, numbers and small keys.

use super::{Judge, Rule};
use crate::Us;
use crate::record::{AppCall, Asked, Got};
use std::collections::{BTreeMap, BTreeSet};

fn group_of(name: &str) -> &str {
    name.split_inclusive('.').next().unwrap_or(name)
}

/// A put with the revision that it got.
struct Placed<'a> {
    call: &'a AppCall,
    value: &'a str,
    active: Option<u64>,
    revision: u64,
    done: Us,
}

impl<'a> Judge<'a> {
    pub fn locks(&mut self) {
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
                            "apps {} and {} both hold {}",
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
                            "fence {} of {} follows {}",
                            second.fence, hold.lock, first.fence
                        )
                    });
                }
            }
        }
    }

    /// Each is above all that were given before its call was sent.
    fn rises(&mut self, what: &str, given: &[(Us, Us, u64)]) {
        let mut unique = BTreeSet::new();
        for (sent, done, value) in given {
            if !unique.insert(*value) {
                self.breach(Rule::Order, *done, || {
                    format!("{value} of {what} is given twice")
                });
            }
            let before = given
                .iter()
                .filter(|(_, earlier, _)| earlier < sent)
                .map(|(.., v)| *v)
                .max();
            if before.is_some_and(|before| before >= *value) {
                self.breach(Rule::Order, *done, || {
                    format!("{value} of {what} follows {before:?}")
                });
            }
        }
    }

    pub fn numbers(&mut self) {
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
            self.rises(name, &given);
        }
        for number in &self.record.last {
            let call = &self.record.calls[*number];
            if matches!(call.got, Got::Nothing | Got::No(_)) {
                let at = self.record.end;
                self.breach(Rule::Lost, at, || {
                    format!(
                        "{:?} of {} is not answered at the end: {:?}",
                        call.asked, call.name, call.got
                    )
                });
            }
        }
    }

    fn placed(&self) -> Vec<Placed<'a>> {
        let one = |call: &'a AppCall| match (&call.asked, &call.got, call.done) {
            (Asked::Put { value, active }, Got::Revision(revision), Some(done)) => Some(Placed {
                call,
                value,
                active: *active,
                revision: *revision,
                done,
            }),
            _ => None,
        };
        self.record.calls.iter().filter_map(one).collect()
    }

    /// What was shown: by whom, of which key, what value under which revision.
    fn shown(&self) -> Vec<(Us, String, String, u64)> {
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

    pub fn cells(&mut self) {
        let placed = self.placed();
        let mut groups: BTreeMap<&str, Vec<(Us, Us, u64)>> = BTreeMap::new();
        for put in &placed {
            let group = groups.entry(group_of(&put.call.name)).or_default();
            group.push((put.call.sent, put.done, put.revision));
        }
        for (group, given) in groups {
            self.rises(group, &given);
        }
        for put in &placed {
            let Some(active) = put.active else { continue };
            let between = placed.iter().find(|other| {
                other.call.name == put.call.name
                    && other.revision > active
                    && other.revision < put.revision
            });
            if let Some(other) = between {
                self.breach(Rule::Order, put.done, || {
                    format!(
                        "{} at {} goes over {} of {}",
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
            let its = placed
                .iter()
                .filter(|put| put.call.name == call.name && put.done < call.sent);
            let newest = its.map(|put| put.revision).max().unwrap_or(0);
            if revision < newest {
                self.breach(Rule::Stale, done, || {
                    format!(
                        "{} is read at {revision}, {newest} was put before",
                        call.name
                    )
                });
            }
        }
        self.values(&placed);
    }

    fn values(&mut self, placed: &[Placed]) {
        let mut puts: BTreeMap<&str, &AppCall> = BTreeMap::new();
        for call in &self.record.calls {
            if let Asked::Put { value, .. } = &call.asked {
                puts.insert(value, call);
            }
        }
        let mut revisions: BTreeMap<String, u64> = placed
            .iter()
            .map(|put| (put.value.to_string(), put.revision))
            .collect();
        for (at, name, value, revision) in self.shown() {
            let Some(put) = puts.get(value.as_str()).filter(|put| put.name == name) else {
                self.breach(Rule::Mixed, at, || {
                    format!("{name} shows {value}, which nobody put there")
                });
                continue;
            };
            let known = *revisions.entry(value.clone()).or_insert(revision);
            if known != revision {
                self.breach(Rule::Mixed, at, || {
                    format!("{value} stands under {known} and {revision}")
                });
            }
            let turned_away = matches!(put.got, Got::Conflict(_) | Got::No(_) | Got::Nothing)
                && put.done.is_some()
                && !put.unclear;
            if turned_away {
                let got = put.got.clone();
                self.breach(Rule::Refused, at, || {
                    format!("{name} shows {value}, whose put got {got:?}")
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
                || its.clone().any(|put| put.unclear || put.done.is_none());
            if !known {
                self.breach(Rule::Mixed, done, || {
                    format!("{} conflicts with {revision}", call.name)
                });
            }
        }
    }

    pub fn watches(&mut self) {
        let placed = self.placed();
        for part in &self.record.watches {
            if part.status != 200 {
                if part.status == 410 {
                    self.breach(Rule::Lost, part.sent, || {
                        format!("a watch of {} gets 410", part.group)
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
                    format!("a watch of {} goes astray", part.group)
                });
            }
            if part.after == 0 {
                let its = placed
                    .iter()
                    .filter(|put| group_of(&put.call.name) == part.group);
                let before = its
                    .filter(|put| put.done < part.sent)
                    .map(|put| put.revision)
                    .max();
                if before.is_some_and(|before| before > part.revision) {
                    self.breach(Rule::Stale, part.sent, || {
                        format!("a watch of {} begins late", part.group)
                    });
                }
                continue;
            }
            let its = placed.iter().filter(|put| {
                group_of(&put.call.name) == part.group
                    && put.revision > part.after
                    && put.revision <= part.revision
            });
            let skipped =
                its.filter(|put| !part.events.iter().any(|event| event.2 == put.revision));
            if let Some(put) = skipped.take(1).next() {
                self.breach(Rule::Order, part.sent, || {
                    format!(
                        "a watch of {} skips {} between {} and {}",
                        part.group, put.revision, part.after, part.revision
                    )
                });
            }
        }
    }
}
