//! Several sources at once, and the list that the module is told.
//!
//! The file is trusted for which servers there are and for their weights, discovery for nothing but what it sees of
//! them: a drain or a start that it tells counts, whatever the file says. A drain from either counts at once. A
//! source that falls silent or offers what is refused leaves its last good list in force.

use crate::candidate::{Candidate, Entry, Facts, Reason, Refused, check_against, check_alone};
use crate::membership::{Cue, Effect, Member, State};
use rookpulley::interface::{ListScope, Stage};
use std::collections::{BTreeMap, BTreeSet};

/// Remembered names, those listed included; of more the oldest drains of unlisted ones are given up.
const REMEMBERED_MOST: usize = 50_000;

/// A server is told as gone within this part of the grace after it.
const LOOKS: f64 = 8.0;

/// A server as the module is to be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub entry: Entry,
    pub stage: Stage,
}

/// The lists held, and what is remembered of every server.
#[derive(Clone, Debug, PartialEq)]
pub struct Lists {
    facts: Facts,
    /// A drain is kept so long before the server counts as gone.
    grace_ms: f64,
    held: Option<Candidate>,
    accepted_ms: f64,
    members: BTreeMap<String, Member>,
    /// Servers as they were last named, for as long as they drain.
    leaving: BTreeMap<String, Entry>,
    /// Drains that discovery tells of, by name, with the start that it knows.
    seen_draining: BTreeMap<String, f64>,
}

/// Whether discovery sees a server draining that has not started since.
fn seen(seen_draining: &BTreeMap<String, f64>, entry: &Entry) -> bool {
    seen_draining
        .get(&entry.name)
        .is_some_and(|started| entry.started_ms <= *started)
}

impl Lists {
    pub fn new(facts: Facts, grace_ms: f64) -> Self {
        let (members, leaving, seen_draining) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            facts,
            grace_ms,
            held: None,
            accepted_ms: 0.0,
            members,
            leaving,
            seen_draining,
        }
    }

    pub fn held(&self) -> Option<&Candidate> {
        self.held.as_ref()
    }

    /// When the list held was accepted.
    pub fn accepted_ms(&self) -> f64 {
        self.accepted_ms
    }

    /// All the reasons against a candidate; none: it would be taken. Nothing changes.
    pub fn judge(&self, now: f64, offered: &Candidate) -> Result<(), Refused> {
        let mut refused = Refused::default();
        // Who is seen draining serves nobody, whatever the list says.
        let mut as_seen = offered.clone();
        as_seen
            .entries
            .iter_mut()
            .for_each(|e| e.drains |= seen(&self.seen_draining, e));
        check_alone(now, &as_seen, &self.facts, &mut refused);
        if let Some(held) = &self.held {
            check_against(offered, held, &mut refused);
        }
        for entry in offered.entries.iter().filter(|e| !e.drains) {
            let Some(member) = self.members.get(&entry.name) else {
                continue;
            };
            let drained = matches!(member.state, State::Draining | State::Drained);
            // What discovery sees draining is drained without the list having to say so.
            if drained
                && member.named(entry.started_ms) == Cue::Named
                && !seen(&self.seen_draining, entry)
            {
                let least_ms = member.drained_ms.max(member.started_ms).floor() + 1.0;
                refused.add(
                    entry.place,
                    Reason::Drained {
                        name: entry.name.clone(),
                        least_ms,
                    },
                );
            }
        }
        if refused.is_empty() {
            Ok(())
        } else {
            Err(refused)
        }
    }

    /// Takes a candidate entirely, or refuses it and changes nothing. Gives what the module is to be told.
    pub fn offer(&mut self, now: f64, offered: Candidate) -> Result<Vec<Told>, Refused> {
        self.judge(now, &offered)?;
        let named: BTreeSet<&str> = offered.entries.iter().map(|e| e.name.as_str()).collect();
        let before = self.held.take().map(|h| h.entries).unwrap_or_default();
        let mut changed = BTreeSet::new();
        for entry in before.iter().filter(|e| !named.contains(e.name.as_str())) {
            self.step(now, entry, Cue::Dropped, &mut changed);
        }
        for entry in &offered.entries {
            let member = self.members.entry(entry.name.clone()).or_default();
            let seen = seen(&self.seen_draining, entry);
            let cue = if entry.drains || seen {
                Cue::Drains
            } else {
                member.named(entry.started_ms)
            };
            self.step(now, entry, cue, &mut changed);
        }
        let was: BTreeMap<&str, &Entry> = before.iter().map(|e| (e.name.as_str(), e)).collect();
        let differs = |e: &&Entry| {
            was.get(e.name.as_str())
                .is_none_or(|w| w.weight != e.weight || w.zone != e.zone)
        };
        changed.extend(
            offered
                .entries
                .iter()
                .filter(differs)
                .map(|e| e.name.clone()),
        );
        (self.held, self.accepted_ms) = (Some(offered), now);
        self.remember();
        Ok(self.tell(&changed))
    }

    /// Takes a candidate as `offer` does. The first one takes the place of whatever discovery told: it is told as
    /// a whole list.
    pub fn take(
        &mut self,
        now: f64,
        offered: Candidate,
    ) -> Result<(ListScope, Vec<Told>), Refused> {
        let first = self.held.is_none();
        let changes = self.offer(now, offered)?;
        Ok(if first {
            (ListScope::Full, self.whole())
        } else {
            (ListScope::Changes, changes)
        })
    }

    /// A list of discovery's, by name, stage and start. None: no file was taken yet, and the list itself counts.
    /// What discovery merely drops says nothing of a server that the file lists.
    pub fn seen_list<'a>(
        &mut self,
        now: f64,
        list: impl Iterator<Item = (&'a str, Stage, f64)>,
    ) -> Option<Vec<Told>> {
        let mut told = Vec::new();
        for (name, stage, started_ms) in list.filter(|(_, stage, _)| *stage != Stage::Gone) {
            told.extend(self.seen_by_discovery(now, name, stage == Stage::Draining, started_ms));
        }
        self.held.is_some().then_some(told)
    }

    /// What discovery sees of a server: counted where a drain or a start is news, for servers of the file.
    pub fn seen_by_discovery(
        &mut self,
        now: f64,
        name: &str,
        drains: bool,
        started_ms: f64,
    ) -> Vec<Told> {
        let mut changed = BTreeSet::new();
        let entry = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .find(|e| e.name == name)
            .cloned();
        if drains {
            self.seen_draining.insert(name.to_string(), started_ms);
        } else if self
            .seen_draining
            .get(name)
            .is_some_and(|known| started_ms > *known)
        {
            self.seen_draining.remove(name);
        }
        if let Some(mut entry) = entry {
            let member = self.members.entry(entry.name.clone()).or_default();
            entry.started_ms = entry.started_ms.max(started_ms);
            let cue = match drains {
                true => Cue::Drains,
                // A start that discovery saw makes it usable; its word that all is well does not.
                false if !entry.drains => member.named(started_ms),
                false => return Vec::new(),
            };
            self.step(now, &entry, cue, &mut changed);
        }
        self.tell(&changed)
    }

    /// So often it is worth while to ask whose grace is over.
    pub fn look_ms(&self) -> f64 {
        self.grace_ms / LOOKS
    }

    /// Time passes: whose grace is over.
    pub fn pass(&mut self, now: f64) -> Vec<Told> {
        let over = |m: &Member| m.state == State::Draining && now - m.drained_ms >= self.grace_ms;
        let over: Vec<String> = self
            .members
            .iter()
            .filter(|(_, m)| over(m))
            .map(|(n, _)| n.clone())
            .collect();
        let mut changed = BTreeSet::new();
        for name in over {
            if let Some(entry) = self.leaving.get(&name).cloned() {
                self.step(now, &entry, Cue::GraceEnds, &mut changed);
            }
        }
        let told = self.tell(&changed);
        self.leaving.retain(|name, _| {
            self.members
                .get(name)
                .is_some_and(|m| m.state == State::Draining)
        });
        told
    }

    fn step(&mut self, now: f64, entry: &Entry, cue: Cue, changed: &mut BTreeSet<String>) {
        let member = self.members.entry(entry.name.clone()).or_default();
        let effect = member.step(now, cue, entry.started_ms);
        // While it drains it stands as it was last named.
        match member.state {
            State::Draining => _ = self.leaving.insert(entry.name.clone(), entry.clone()),
            State::Serving => _ = self.leaving.remove(&entry.name),
            State::Unknown | State::Drained => {}
        }
        if !matches!(effect, Effect::Keep | Effect::Refuse) {
            changed.insert(entry.name.clone());
        }
    }

    /// Drains of servers that nothing names are remembered up to a bound.
    fn remember(&mut self) {
        let over = self.members.len().saturating_sub(REMEMBERED_MOST);
        let named: BTreeSet<&String> = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .map(|e| &e.name)
            .collect();
        let mut old: Vec<(f64, String)> = self
            .members
            .iter()
            .filter(|(n, _)| !named.contains(n))
            .map(|(n, m)| (m.drained_ms, n.clone()))
            .collect();
        old.sort_by(|a, b| a.0.total_cmp(&b.0));
        old.into_iter()
            .take(over)
            .for_each(|(_, name)| _ = self.members.remove(&name));
    }

    /// These servers as they stand now.
    fn tell(&self, changed: &BTreeSet<String>) -> Vec<Told> {
        let named = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .filter(|e| changed.contains(&e.name));
        let named: BTreeMap<&str, &Entry> = named.map(|e| (e.name.as_str(), e)).collect();
        let told = changed.iter().filter_map(|name| {
            let entry = named
                .get(name.as_str())
                .copied()
                .or_else(|| self.leaving.get(name))?;
            let gone = || {
                Some(Told {
                    entry: self.leaving.get(name)?.clone(),
                    stage: Stage::Gone,
                })
            };
            self.told(entry).or_else(gone)
        });
        told.collect()
    }

    /// A server as it stands; None: it is not told of any more.
    fn told(&self, entry: &Entry) -> Option<Told> {
        let member = self.members.get(&entry.name)?;
        let stage = match member.state {
            State::Serving if entry.weight > 0.0 => Stage::Ready,
            State::Serving | State::Draining => Stage::Draining,
            State::Drained | State::Unknown => return None,
        };
        let started_ms = member.started_ms.max(entry.started_ms);
        Some(Told {
            entry: Entry {
                started_ms,
                ..entry.clone()
            },
            stage,
        })
    }

    /// Every server that the module is to know, with its stage and its start as it is known best.
    pub fn whole(&self) -> Vec<Told> {
        let entries = self.held.iter().flat_map(|h| &h.entries);
        let mut all: BTreeMap<&str, &Entry> =
            self.leaving.iter().map(|(n, e)| (n.as_str(), e)).collect();
        all.extend(entries.map(|e| (e.name.as_str(), e)));
        all.into_values()
            .filter_map(|entry| self.told(entry))
            .collect()
    }
}
