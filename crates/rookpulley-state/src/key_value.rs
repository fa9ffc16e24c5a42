//! Keys with values, and what was put lately: for watches, and to know a put that comes again.
//!
//! Keys stand in groups, by what their names begin with. Invariant: each revision of a group is one put, so what is kept
//! of its past is an unbroken run up to the present revision.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits};
use crate::requests::Answer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An answer to a watch grows to about this, however many events are asked for.
const MAX_WATCH_BYTES: usize = 1 << 20;

/// One put, as a watch shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub name: String,
    /// The value that was put.
    pub value: String,
    /// The revision that it got.
    pub revision: u64,
}

/// What a watch gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// At once: all puts above `after` up to this revision, at least one.
    Events {
        /// In their order.
        events: Vec<Event>,
        /// That of the last one.
        revision: u64,
    },
    /// At once and without events: `after` was 0, which asks for the present revision only.
    Present {
        /// The present one.
        revision: u64,
    },
    /// There is nothing yet.
    Nothing {
        /// The watch's own `after`: a controller that lags behind takes nobody back.
        revision: u64,
    },
    /// Some of the puts above `after` are no longer kept (410).
    TooOld,
}

/// A put that is asked for.
pub(crate) struct Put<'a> {
    pub name: &'a str,
    pub value: &'a str,
    /// The revision that the key must have, 0 for none. None: whatever it has.
    pub expected: Option<u64>,
}

/// A key's group: what it begins with, up to and including the first dot. Without a dot a key is its own group.
pub fn group_of(name: &str) -> &str {
    name.split_inclusive('.').next().unwrap_or(name)
}

fn size_of(name: &str, value: &str) -> usize {
    name.len() + value.len() + ENTRY_OVERHEAD_BYTES
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct KeyValue {
    value: String,
    revision: u64,
    /// The revisions that this key got among the events kept, rising.
    #[serde(skip)]
    recent: VecDeque<u64>,
}

/// An event that is kept. Its revision follows from its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PastEvent {
    name: String,
    value: String,
    at_ms: u64,
}

impl PastEvent {
    fn size(&self) -> usize {
        size_of(&self.name, &self.value)
    }
}

/// The keys whose names begin alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Group {
    /// The present one. It outlives all events, and a group never goes.
    revision: u64,
    events: VecDeque<PastEvent>,
    keys: BTreeMap<String, KeyValue>,
}

impl Group {
    /// The revision of the oldest event kept; one above the present where none is.
    fn first_revision(&self) -> u64 {
        (self.revision + 1).saturating_sub(self.events.len() as u64)
    }

    fn event(&self, revision: u64) -> Option<&PastEvent> {
        let position = revision.checked_sub(self.first_revision())?;
        self.events.get(usize::try_from(position).ok()?)
    }

    /// The revision that this very put got when it came before. Values are unique, so the same value is the same put,
    /// and it stays one when another put has replaced it since.
    fn repeat(&self, key: &KeyValue, value: &str) -> Option<u64> {
        if key.value == value {
            return Some(key.revision);
        }
        let is_same = |revision: &&u64| {
            self.event(**revision)
                .is_some_and(|event| event.value == value)
        };
        key.recent.iter().rev().find(is_same).copied()
    }

    /// Forgets the oldest event and returns its size.
    fn forget_oldest(&mut self) -> usize {
        let Some(oldest) = self.events.pop_front() else {
            return 0;
        };
        if let Some(key) = self.keys.get_mut(&oldest.name) {
            key.recent.pop_front();
        }
        oldest.size()
    }

    /// Whether the oldest event is older than this.
    fn has_older_than(&self, kept_ms: u64, now_ms: u64) -> bool {
        let oldest = self.events.front();
        oldest.is_some_and(|event| event.at_ms.saturating_add(kept_ms) < now_ms)
    }

    /// After reading a snapshot: fills in what isn't written. False: the rest contradicts itself.
    fn complete(&mut self, name: &str) -> bool {
        if self.events.len() as u64 > self.revision || self.revision == u64::MAX {
            return false;
        }
        let first = self.first_revision();
        for (revision, event) in (first..).zip(&self.events) {
            let Some(key) = self.keys.get_mut(&event.name) else {
                return false;
            };
            key.recent.push_back(revision);
        }
        self.keys.iter().all(|(key_name, key)| {
            // The present value is among the events, or it was put before the first of them.
            let is_explained = match key.recent.back() {
                Some(last) => {
                    let event = self.event(*last);
                    *last == key.revision && event.is_some_and(|e| e.value == key.value)
                }
                None => (1..first).contains(&key.revision),
            };
            is_explained && group_of(key_name) == name
        })
    }

    /// What the group is counted with: its keys and its name.
    fn state_size(&self, name: &str) -> usize {
        let keys = self.keys.iter();
        let keys: usize = keys.map(|(name, key)| size_of(name, &key.value)).sum();
        keys + size_of(name, "")
    }
}

/// All keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyValueStore {
    groups: BTreeMap<String, Group>,
    keys: usize,
    events: usize,
    state_bytes: usize,
    history_bytes: usize,
}

impl KeyValueStore {
    pub fn put(&mut self, now_ms: u64, put: Put, room: usize, limits: &Limits) -> Answer {
        let Put {
            name,
            value,
            expected,
        } = put;
        let group_name = group_of(name);
        let group = self.groups.get(group_name);
        let key = group.and_then(|group| group.keys.get(name));
        // The repeat comes before the condition: a put that went through must not be told that it conflicts with itself
        // or with what came after it.
        if let (Some(group), Some(key)) = (group, key)
            && let Some(revision) = group.repeat(key, value)
        {
            return Answer::Revision(revision);
        }
        // Told once that it conflicts, a put never goes through: revisions rise, so a key never gets back to one.
        let present = key.map_or(0, |key| key.revision);
        if expected.is_some_and(|expected| expected != present) {
            return Answer::Conflict { revision: present };
        }
        let size_before = key.map_or(0, |key| size_of(name, &key.value));
        let size = size_of(name, value);
        let group_size = group.map_or_else(|| size_of(group_name, ""), |_| 0);
        let is_full = key.is_none() && self.keys >= limits.names;
        let is_spent = group.is_some_and(|group| group.revision >= u64::MAX - 1);
        let needed = (size + group_size).saturating_sub(size_before);
        if is_full || is_spent || needed > room {
            return Answer::CapacityExceeded;
        }
        if !self.make_room_for_event(now_ms, group_name, size, limits) {
            return Answer::CapacityExceeded;
        }
        self.keys += usize::from(size_before == 0);
        self.state_bytes = self.state_bytes - size_before + size + group_size;
        self.history_bytes += size;
        self.events += 1;
        let group = self.groups.entry(group_name.to_owned()).or_default();
        group.revision += 1;
        let key = group.keys.entry(name.to_owned()).or_default();
        key.value = value.to_owned();
        key.revision = group.revision;
        key.recent.push_back(group.revision);
        group.events.push_back(PastEvent {
            name: name.to_owned(),
            value: value.to_owned(),
            at_ms: now_ms,
        });
        Answer::Revision(group.revision)
    }

    /// Makes room for one more event of this size. False: what is there is too young to be dropped, and the put has to
    /// wait.
    fn make_room_for_event(
        &mut self,
        now_ms: u64,
        group: &str,
        size: usize,
        limits: &Limits,
    ) -> bool {
        if let Some(group) = self.groups.get_mut(group) {
            let is_full = |group: &Group| group.events.len() >= limits.group_events;
            while group.has_older_than(limits.keep_ms, now_ms)
                || is_full(group) && group.has_older_than(limits.promised_ms, now_ms)
            {
                self.events -= 1;
                self.history_bytes -= group.forget_oldest();
            }
            if is_full(group) {
                return false;
            }
        }
        if self.history_bytes + size > limits.history_bytes {
            self.forget(now_ms, limits.promised_ms);
        }
        self.history_bytes + size <= limits.history_bytes
    }

    /// Drops the events that are older than this.
    pub fn forget(&mut self, now_ms: u64, kept_ms: u64) {
        for group in self.groups.values_mut() {
            while group.has_older_than(kept_ms, now_ms) {
                self.events -= 1;
                self.history_bytes -= group.forget_oldest();
            }
        }
    }

    pub fn get(&self, name: &str) -> Answer {
        let group = self.groups.get(group_of(name));
        match group.and_then(|group| group.keys.get(name)) {
            Some(key) => Answer::Value {
                value: key.value.clone(),
                revision: key.revision,
            },
            None => Answer::NotFound,
        }
    }

    /// The present revision of a group.
    pub fn revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    pub fn watch(&self, group: &str, after: u64, max_events: usize) -> WatchResult {
        let present = self.revision(group);
        if after == 0 {
            return WatchResult::Present { revision: present };
        }
        let Some(group) = self.groups.get(group).filter(|_| after < present) else {
            return WatchResult::Nothing { revision: after };
        };
        let Some(skipped) = (after + 1).checked_sub(group.first_revision()) else {
            return WatchResult::TooOld;
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut events = Vec::new();
        let mut bytes = 0;
        let wanted = group.events.iter().skip(skipped);
        for (revision, past) in (after + 1..).zip(wanted).take(max_events.max(1)) {
            bytes += past.size();
            if bytes > MAX_WATCH_BYTES && !events.is_empty() {
                break;
            }
            events.push(Event {
                name: past.name.clone(),
                value: past.value.clone(),
                revision,
            });
        }
        let revision = events.last().map_or(after, |event| event.revision);
        WatchResult::Events { events, revision }
    }

    pub fn len(&self) -> usize {
        self.keys
    }

    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    pub fn event_count(&self) -> usize {
        self.events
    }

    pub fn state_bytes(&self) -> usize {
        self.state_bytes
    }

    pub fn history_bytes(&self) -> usize {
        self.history_bytes
    }

    /// For a snapshot.
    pub fn groups(&self) -> &BTreeMap<String, Group> {
        &self.groups
    }

    /// Of a snapshot. None: a group contradicts itself.
    pub fn from_groups(mut groups: BTreeMap<String, Group>) -> Option<Self> {
        if !groups.iter_mut().all(|(name, group)| group.complete(name)) {
            return None;
        }
        let events = groups.values().flat_map(|group| &group.events);
        let history_bytes = events.map(PastEvent::size).sum();
        let sizes = groups.iter();
        let state_bytes = sizes.map(|(name, group)| group.state_size(name)).sum();
        Some(Self {
            keys: groups.values().map(|group| group.keys.len()).sum(),
            events: groups.values().map(|group| group.events.len()).sum(),
            state_bytes,
            history_bytes,
            groups,
        })
    }
}
