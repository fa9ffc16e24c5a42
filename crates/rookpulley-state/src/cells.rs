//! Keys with values, and what was put lately: for watches, and to know a put that comes again.
//!
//! A group's every revision is one put, so what is kept of its past is an unbroken run up to the present revision.

use crate::bounds::{Bounds, ENTRY};
use crate::call::Answer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An answer to a watch grows to about this, however many events are asked for.
const ANSWER_BYTES: usize = 1 << 20;

/// One put, as a watch shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

/// What a watch gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// At once: all puts above `after` up to this revision, at least one.
    Events { events: Vec<Event>, revision: u64 },
    /// At once and without events: `after` was 0, which asks for the present revision only.
    Present { revision: u64 },
    /// There is nothing yet. Who has waited long enough is told its own `after` again: a controller that lags behind
    /// takes nobody back.
    Nothing { revision: u64 },
    /// Some of the puts above `after` are no longer kept (410).
    TooOld,
}

/// A key's group: what it begins with, up to and including the first dot. Without a dot a key is its own group.
pub fn group_of(name: &str) -> &str {
    name.split_inclusive('.').next().unwrap_or(name)
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Cell {
    value: String,
    revision: u64,
    /// The revisions that this key got among the events kept, rising.
    #[serde(skip)]
    recent: VecDeque<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Past {
    name: String,
    value: String,
    at_ms: u64,
}

impl Past {
    fn weight(&self) -> usize {
        self.name.len() + self.value.len() + ENTRY
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Group {
    /// The present one. It outlives all events, and a group never goes.
    revision: u64,
    events: VecDeque<Past>,
    cells: BTreeMap<String, Cell>,
}

impl Group {
    /// The revision of the oldest event kept; one above the present where none is.
    fn first(&self) -> u64 {
        (self.revision + 1).saturating_sub(self.events.len() as u64)
    }

    fn event(&self, revision: u64) -> Option<&Past> {
        let place = revision.checked_sub(self.first())?;
        self.events.get(usize::try_from(place).ok()?)
    }

    /// The revision that this very put got when it came before. Values are unique, so the same value is the same
    /// put, and it stays one when another put has gone over it since.
    fn repeat(&self, cell: &Cell, value: &str) -> Option<u64> {
        if cell.value == value {
            return Some(cell.revision);
        }
        let same = |revision: &&u64| {
            self.event(**revision)
                .is_some_and(|event| event.value == value)
        };
        cell.recent.iter().rev().find(same).copied()
    }

    /// Forgets the oldest event and gives back its weight.
    fn forget_one(&mut self) -> usize {
        let Some(gone) = self.events.pop_front() else {
            return 0;
        };
        if let Some(cell) = self.cells.get_mut(&gone.name) {
            cell.recent.pop_front();
        }
        gone.weight()
    }

    fn older_than(&self, kept_ms: u64, now_ms: u64) -> bool {
        self.events
            .front()
            .is_some_and(|event| event.at_ms.saturating_add(kept_ms) < now_ms)
    }

    /// After reading a snapshot: fills what isn't written, and says whether the rest fits together.
    fn complete(&mut self, name: &str) -> bool {
        let count = self.events.len() as u64;
        if count > self.revision || self.revision == u64::MAX {
            return false;
        }
        let first = self.first();
        for (revision, event) in (first..).zip(&self.events) {
            let Some(cell) = self.cells.get_mut(&event.name) else {
                return false;
            };
            cell.recent.push_back(revision);
        }
        self.cells.iter().all(|(key, cell)| {
            // The present value is among the events, or it was put before the first of them.
            let shown = match cell.recent.back() {
                Some(last) => {
                    *last == cell.revision
                        && self.event(*last).is_some_and(|e| e.value == cell.value)
                }
                None => (1..first).contains(&cell.revision),
            };
            shown && group_of(key) == name
        })
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cells {
    groups: BTreeMap<String, Group>,
    cells: usize,
    events: usize,
    standing_bytes: usize,
    history_bytes: usize,
}

impl Cells {
    pub fn put(
        &mut self,
        now_ms: u64,
        name: &str,
        value: &str,
        active: Option<u64>,
        room: usize,
        bounds: &Bounds,
    ) -> Answer {
        let group_name = group_of(name);
        let group = self.groups.get(group_name);
        let cell = group.and_then(|group| group.cells.get(name));
        // The repeat comes before the condition: a put that went through must not be told that it conflicts with
        // itself or with what came after it.
        if let (Some(group), Some(cell)) = (group, cell)
            && let Some(revision) = group.repeat(cell, value)
        {
            return Answer::Revision(revision);
        }
        // Told once that it conflicts, a put never goes through: revisions rise, so a key never gets back to one.
        let present = cell.map_or(0, |cell| cell.revision);
        if active.is_some_and(|active| active != present) {
            return Answer::Conflict { revision: present };
        }

        let before = cell.map_or(0, |cell| name.len() + cell.value.len() + ENTRY);
        let after = name.len() + value.len() + ENTRY;
        let founding = if group.is_none() {
            group_name.len() + ENTRY
        } else {
            0
        };
        let too_many = cell.is_none() && self.cells >= bounds.names;
        let spent = group.is_some_and(|group| group.revision >= u64::MAX - 1);
        if too_many || spent || (after + founding).saturating_sub(before) > room {
            return Answer::Full;
        }
        if !self.make_way(now_ms, group_name, after, bounds) {
            return Answer::Full;
        }

        self.cells += usize::from(before == 0);
        self.standing_bytes = self.standing_bytes - before + after + founding;
        self.history_bytes += after;
        self.events += 1;
        let group = self.groups.entry(group_name.to_owned()).or_default();
        group.revision += 1;
        let cell = group.cells.entry(name.to_owned()).or_default();
        cell.value = value.to_owned();
        cell.revision = group.revision;
        cell.recent.push_back(group.revision);
        group.events.push_back(Past {
            name: name.to_owned(),
            value: value.to_owned(),
            at_ms: now_ms,
        });
        Answer::Revision(group.revision)
    }

    /// Room for one more event of this weight. What is too young to be dropped stays, and the put has to wait.
    fn make_way(&mut self, now_ms: u64, group: &str, weight: usize, bounds: &Bounds) -> bool {
        if let Some(group) = self.groups.get_mut(group) {
            while group.older_than(bounds.keep_ms, now_ms)
                || group.events.len() >= bounds.group_events
                    && group.older_than(bounds.promised_ms, now_ms)
            {
                self.events -= 1;
                self.history_bytes -= group.forget_one();
            }
            if group.events.len() >= bounds.group_events {
                return false;
            }
        }
        if self.history_bytes + weight > bounds.history_bytes {
            self.forget(now_ms, bounds.promised_ms);
        }
        self.history_bytes + weight <= bounds.history_bytes
    }

    /// Drops the events that are older.
    pub fn forget(&mut self, now_ms: u64, kept_ms: u64) {
        for group in self.groups.values_mut() {
            while group.older_than(kept_ms, now_ms) {
                self.events -= 1;
                self.history_bytes -= group.forget_one();
            }
        }
    }

    pub fn get(&self, name: &str) -> Answer {
        match self
            .groups
            .get(group_of(name))
            .and_then(|group| group.cells.get(name))
        {
            Some(cell) => Answer::Cell {
                value: cell.value.clone(),
                revision: cell.revision,
            },
            None => Answer::Nothing,
        }
    }

    pub fn revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    pub fn watch(&self, group: &str, after: u64, most: usize) -> Watched {
        let present = self.revision(group);
        if after == 0 {
            return Watched::Present { revision: present };
        }
        let Some(group) = self.groups.get(group).filter(|_| after < present) else {
            return Watched::Nothing { revision: after };
        };
        let Some(skipped) = (after + 1).checked_sub(group.first()) else {
            return Watched::TooOld;
        };
        let (mut events, mut bytes) = (Vec::new(), 0);
        let wanted = group
            .events
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX));
        for (revision, past) in (after + 1..).zip(wanted).take(most.max(1)) {
            bytes += past.weight();
            if bytes > ANSWER_BYTES && !events.is_empty() {
                break;
            }
            events.push(Event {
                name: past.name.clone(),
                value: past.value.clone(),
                revision,
            });
        }
        let revision = events.last().map_or(after, |event| event.revision);
        Watched::Events { events, revision }
    }

    pub fn len(&self) -> usize {
        self.cells
    }

    pub fn groups(&self) -> usize {
        self.groups.len()
    }

    pub fn events(&self) -> usize {
        self.events
    }

    pub fn standing_bytes(&self) -> usize {
        self.standing_bytes
    }

    pub fn history_bytes(&self) -> usize {
        self.history_bytes
    }

    pub fn all(&self) -> &BTreeMap<String, Group> {
        &self.groups
    }

    /// None: the parts of a group don't fit together.
    pub fn of(mut groups: BTreeMap<String, Group>) -> Option<Self> {
        if !groups.iter_mut().all(|(name, group)| group.complete(name)) {
            return None;
        }
        let cells = groups.values().map(|group| group.cells.len()).sum();
        let events = groups.values().map(|group| group.events.len()).sum();
        let history_bytes = groups
            .values()
            .flat_map(|group| &group.events)
            .map(Past::weight)
            .sum();
        let weight = |(name, cell): (&String, &Cell)| name.len() + cell.value.len() + ENTRY;
        let one = |(name, group): (&String, &Group)| {
            name.len() + ENTRY + group.cells.iter().map(weight).sum::<usize>()
        };
        let standing_bytes = groups.iter().map(one).sum();
        Some(Self {
            groups,
            cells,
            events,
            standing_bytes,
            history_bytes,
        })
    }
}
