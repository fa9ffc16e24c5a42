//! Merges the server file with service discovery into updates for the decision module.
//!
//! The file determines which servers exist and their weights. Discovery contributes only observed drains and
//! starts, which take precedence over the file. A drain from either source takes effect at once. If a source
//! fails or offers an invalid list, its last accepted list stays in force.

use crate::candidate::{
    Candidate, Deployment, Entry, Reason, Rejection, validate_change, validate_list,
};
use crate::membership::{Effect, Member, MemberEvent, State};
use rookpulley::interface::{ListScope, Stage};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of remembered servers. Beyond it, unlisted servers with the oldest drains are forgotten.
const MAX_REMEMBERED_SERVERS: usize = 50_000;

/// The number of checks for expired drains per grace period.
const CHECKS_PER_GRACE: f64 = 8.0;

/// The state of a server to report to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerUpdate {
    pub entry: Entry,
    pub stage: Stage,
}

/// The accepted list and the remembered state of every server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLists {
    deployment: Deployment,
    /// How long a server drains before it is reported as gone.
    grace_ms: f64,
    held: Option<Candidate>,
    accepted_ms: f64,
    members: BTreeMap<String, Member>,
    /// The last listed entries of draining servers.
    draining: BTreeMap<String, Entry>,
    /// Drains observed by discovery: server name and its start at that time.
    discovered_drains: BTreeMap<String, f64>,
}

/// Whether discovery reported the server as draining and the entry has no later start.
fn is_discovered_draining(discovered_drains: &BTreeMap<String, f64>, entry: &Entry) -> bool {
    discovered_drains
        .get(&entry.name)
        .is_some_and(|started| entry.started_ms <= *started)
}

impl ServerLists {
    pub fn new(deployment: Deployment, grace_ms: f64) -> Self {
        let (members, draining, discovered_drains) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            deployment,
            grace_ms,
            held: None,
            accepted_ms: 0.0,
            members,
            draining,
            discovered_drains,
        }
    }

    pub fn held(&self) -> Option<&Candidate> {
        self.held.as_ref()
    }

    /// When the current list was accepted.
    pub fn accepted_ms(&self) -> f64 {
        self.accepted_ms
    }

    /// Validates a candidate without applying it and collects all reasons against it.
    pub fn validate(&self, now: f64, offered: &Candidate) -> Result<(), Rejection> {
        let mut rejection = Rejection::default();
        // Servers that discovery reports as draining provide no capacity.
        let mut effective = offered.clone();
        effective
            .entries
            .iter_mut()
            .for_each(|e| e.drains |= is_discovered_draining(&self.discovered_drains, e));
        validate_list(now, &effective, &self.deployment, &mut rejection);
        if let Some(held) = &self.held {
            validate_change(offered, held, &mut rejection);
        }
        for entry in offered.entries.iter().filter(|e| !e.drains) {
            let Some(member) = self.members.get(&entry.name) else {
                continue;
            };
            let drained = matches!(member.state, State::Draining | State::Drained);
            // The list need not mark drains that discovery reports.
            if drained
                && member.listing_event(entry.started_ms) == MemberEvent::Listed
                && !is_discovered_draining(&self.discovered_drains, entry)
            {
                let least_ms = member.drained_ms.max(member.started_ms).floor() + 1.0;
                rejection.add(
                    entry.place,
                    Reason::AlreadyDrained {
                        name: entry.name.clone(),
                        least_ms,
                    },
                );
            }
        }
        if rejection.is_empty() {
            Ok(())
        } else {
            Err(rejection)
        }
    }

    /// Applies a candidate as a whole, or rejects it without changes. Returns the updates for the module.
    pub fn apply(&mut self, now: f64, offered: Candidate) -> Result<Vec<ServerUpdate>, Rejection> {
        self.validate(now, &offered)?;
        let listed: BTreeSet<&str> = offered.entries.iter().map(|e| e.name.as_str()).collect();
        let before = self.held.take().map(|h| h.entries).unwrap_or_default();
        let mut changed = BTreeSet::new();
        for entry in before.iter().filter(|e| !listed.contains(e.name.as_str())) {
            self.step(now, entry, MemberEvent::Dropped, &mut changed);
        }
        for entry in &offered.entries {
            let member = self.members.entry(entry.name.clone()).or_default();
            let is_discovered_draining = is_discovered_draining(&self.discovered_drains, entry);
            let event = if entry.drains || is_discovered_draining {
                MemberEvent::Drains
            } else {
                member.listing_event(entry.started_ms)
            };
            self.step(now, entry, event, &mut changed);
        }
        let previous: BTreeMap<&str, &Entry> =
            before.iter().map(|e| (e.name.as_str(), e)).collect();
        let differs = |e: &&Entry| {
            previous
                .get(e.name.as_str())
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
        self.prune_members();
        Ok(self.updates_for(&changed))
    }

    /// Like `apply`, but the first accepted candidate replaces the list of discovery and is returned as a full
    /// list.
    pub fn accept(
        &mut self,
        now: f64,
        offered: Candidate,
    ) -> Result<(ListScope, Vec<ServerUpdate>), Rejection> {
        let first = self.held.is_none();
        let changes = self.apply(now, offered)?;
        Ok(if first {
            (ListScope::Full, self.snapshot())
        } else {
            (ListScope::Changes, changes)
        })
    }

    /// Applies a list of discovery: name, stage and start of each server. Returns `None` while no file has been
    /// accepted; the list of discovery is then used itself. Servers missing from it keep their state.
    pub fn apply_discovery_list<'a>(
        &mut self,
        now: f64,
        list: impl Iterator<Item = (&'a str, Stage, f64)>,
    ) -> Option<Vec<ServerUpdate>> {
        let mut updates = Vec::new();
        for (name, stage, started_ms) in list.filter(|(_, stage, _)| *stage != Stage::Gone) {
            updates.extend(self.observe(now, name, stage == Stage::Draining, started_ms));
        }
        self.held.is_some().then_some(updates)
    }

    /// Applies the state of one server observed by discovery. Only new drains and starts of listed servers have an
    /// effect.
    pub fn observe(
        &mut self,
        now: f64,
        name: &str,
        drains: bool,
        started_ms: f64,
    ) -> Vec<ServerUpdate> {
        let mut changed = BTreeSet::new();
        let entry = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .find(|e| e.name == name)
            .cloned();
        if drains {
            self.discovered_drains.insert(name.to_string(), started_ms);
        } else if self
            .discovered_drains
            .get(name)
            .is_some_and(|known| started_ms > *known)
        {
            self.discovered_drains.remove(name);
        }
        if let Some(mut entry) = entry {
            let member = self.members.entry(entry.name.clone()).or_default();
            entry.started_ms = entry.started_ms.max(started_ms);
            let event = match drains {
                true => MemberEvent::Drains,
                // Only a later start returns the server to service, not the state alone.
                false if !entry.drains => member.listing_event(started_ms),
                false => return Vec::new(),
            };
            self.step(now, &entry, event, &mut changed);
        }
        self.updates_for(&changed)
    }

    /// The interval at which `expire_drains` should be called.
    pub fn check_interval_ms(&self) -> f64 {
        self.grace_ms / CHECKS_PER_GRACE
    }

    /// Reports servers as gone whose drain grace period has expired.
    pub fn expire_drains(&mut self, now: f64) -> Vec<ServerUpdate> {
        let expired =
            |m: &Member| m.state == State::Draining && now - m.drained_ms >= self.grace_ms;
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, m)| expired(m))
            .map(|(n, _)| n.clone())
            .collect();
        let mut changed = BTreeSet::new();
        for name in expired {
            if let Some(entry) = self.draining.get(&name).cloned() {
                self.step(now, &entry, MemberEvent::GraceExpired, &mut changed);
            }
        }
        let updates = self.updates_for(&changed);
        self.draining.retain(|name, _| {
            self.members
                .get(name)
                .is_some_and(|m| m.state == State::Draining)
        });
        updates
    }

    fn step(
        &mut self,
        now: f64,
        entry: &Entry,
        event: MemberEvent,
        changed: &mut BTreeSet<String>,
    ) {
        let member = self.members.entry(entry.name.clone()).or_default();
        let effect = member.step(now, event, entry.started_ms);
        // Keeps the last listed entry while the server drains.
        match member.state {
            State::Draining => _ = self.draining.insert(entry.name.clone(), entry.clone()),
            State::Serving => _ = self.draining.remove(&entry.name),
            State::Unknown | State::Drained => {}
        }
        if !matches!(effect, Effect::Keep | Effect::Reject) {
            changed.insert(entry.name.clone());
        }
    }

    /// Forgets the oldest drains of unlisted servers beyond `MAX_REMEMBERED_SERVERS`.
    fn prune_members(&mut self) {
        let excess = self.members.len().saturating_sub(MAX_REMEMBERED_SERVERS);
        let listed: BTreeSet<&String> = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .map(|e| &e.name)
            .collect();
        let mut old: Vec<(f64, String)> = self
            .members
            .iter()
            .filter(|(n, _)| !listed.contains(n))
            .map(|(n, m)| (m.drained_ms, n.clone()))
            .collect();
        old.sort_by(|a, b| a.0.total_cmp(&b.0));
        old.into_iter()
            .take(excess)
            .for_each(|(_, name)| _ = self.members.remove(&name));
    }

    /// The current state of these servers.
    fn updates_for(&self, changed: &BTreeSet<String>) -> Vec<ServerUpdate> {
        let listed = self
            .held
            .iter()
            .flat_map(|h| &h.entries)
            .filter(|e| changed.contains(&e.name));
        let listed: BTreeMap<&str, &Entry> = listed.map(|e| (e.name.as_str(), e)).collect();
        let updates = changed.iter().filter_map(|name| {
            let entry = listed
                .get(name.as_str())
                .copied()
                .or_else(|| self.draining.get(name))?;
            let gone = || {
                Some(ServerUpdate {
                    entry: self.draining.get(name)?.clone(),
                    stage: Stage::Gone,
                })
            };
            self.update_for(entry).or_else(gone)
        });
        updates.collect()
    }

    /// The current state of a server; `None` if it is no longer reported.
    fn update_for(&self, entry: &Entry) -> Option<ServerUpdate> {
        let member = self.members.get(&entry.name)?;
        let stage = match member.state {
            State::Serving if entry.weight > 0.0 => Stage::Ready,
            State::Serving | State::Draining => Stage::Draining,
            State::Drained | State::Unknown => return None,
        };
        let started_ms = member.started_ms.max(entry.started_ms);
        Some(ServerUpdate {
            entry: Entry {
                started_ms,
                ..entry.clone()
            },
            stage,
        })
    }

    /// All servers to report to the module, each with its stage and latest known start.
    pub fn snapshot(&self) -> Vec<ServerUpdate> {
        let entries = self.held.iter().flat_map(|h| &h.entries);
        let mut all: BTreeMap<&str, &Entry> =
            self.draining.iter().map(|(n, e)| (n.as_str(), e)).collect();
        all.extend(entries.map(|e| (e.name.as_str(), e)));
        all.into_values()
            .filter_map(|entry| self.update_for(entry))
            .collect()
    }
}
