//! Key-value store with a history of recent puts, which serves watches and detects repeated puts.
//!
//! Keys are grouped by name prefix. Invariant: each put increments the revision of its group by one, so the retained
//! events of a group have consecutive revisions that end at the current one.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits};
use crate::requests::Answer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Size limit of the events returned by one watch. A single larger event is still returned.
const MAX_WATCH_BYTES: usize = 1 << 20;

/// A put as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub name: String,
    /// The value that was put.
    pub value: String,
    /// The revision assigned to the put.
    pub revision: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Puts above `after`, at least one.
    Events {
        /// Events in revision order.
        events: Vec<Event>,
        /// Revision of the last event.
        revision: u64,
    },
    /// The current revision without events, returned if `after` is 0.
    CurrentRevision {
        /// Current revision of the group.
        revision: u64,
    },
    /// There are no puts above `after` yet.
    NoEvents {
        /// Equal to `after`, so that a lagging controller never moves a watcher backwards.
        revision: u64,
    },
    /// Some of the puts above `after` are no longer retained (410).
    TooOld,
}

/// A requested put.
pub(crate) struct Put<'a> {
    pub name: &'a str,
    pub value: &'a str,
    /// Required current revision of the key, or 0 if the key must not exist. None for an unconditional put.
    pub expected: Option<u64>,
}

/// Returns the group of a key: its name up to and including the first dot, or the whole name if it has no dot.
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
    /// Revisions of this key's retained events, in ascending order.
    #[serde(skip)]
    recent: VecDeque<u64>,
}

/// A retained event. Its revision follows from its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RetainedEvent {
    name: String,
    value: String,
    at_ms: u64,
}

impl RetainedEvent {
    fn size(&self) -> usize {
        size_of(&self.name, &self.value)
    }
}

/// The keys of one group and their retained events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Group {
    /// Current revision. It is kept after all events have expired; groups are never removed.
    revision: u64,
    events: VecDeque<RetainedEvent>,
    keys: BTreeMap<String, KeyValue>,
}

impl Group {
    /// Revision of the oldest retained event, or one above the current revision if none is retained.
    fn first_revision(&self) -> u64 {
        (self.revision + 1).saturating_sub(self.events.len() as u64)
    }

    fn event(&self, revision: u64) -> Option<&RetainedEvent> {
        let position = revision.checked_sub(self.first_revision())?;
        self.events.get(usize::try_from(position).ok()?)
    }

    /// Returns the revision of an earlier identical put. Callers use unique values, so an equal value identifies a
    /// repeated put, even if the key has been overwritten since.
    fn find_repeat(&self, key: &KeyValue, value: &str) -> Option<u64> {
        if key.value == value {
            return Some(key.revision);
        }
        let is_same = |revision: &&u64| {
            self.event(**revision)
                .is_some_and(|event| event.value == value)
        };
        key.recent.iter().rev().find(is_same).copied()
    }

    /// Removes the oldest event and returns its size.
    fn remove_oldest_event(&mut self) -> usize {
        let Some(oldest) = self.events.pop_front() else {
            return 0;
        };
        if let Some(key) = self.keys.get_mut(&oldest.name) {
            key.recent.pop_front();
        }
        oldest.size()
    }

    /// Whether the oldest event is older than `retention_ms`.
    fn has_event_older_than(&self, retention_ms: u64, now_ms: u64) -> bool {
        let oldest = self.events.front();
        oldest.is_some_and(|event| event.at_ms.saturating_add(retention_ms) < now_ms)
    }

    /// Rebuilds the fields that a snapshot omits. Returns false if the group is inconsistent.
    fn rebuild(&mut self, name: &str) -> bool {
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
            // The current value belongs to the key's last retained event, or predates all retained events.
            let is_consistent = match key.recent.back() {
                Some(last) => {
                    let event = self.event(*last);
                    *last == key.revision && event.is_some_and(|e| e.value == key.value)
                }
                None => (1..first).contains(&key.revision),
            };
            is_consistent && group_of(key_name) == name
        })
    }

    /// Accounted size of the group: its keys and its name.
    fn state_size(&self, name: &str) -> usize {
        let keys = self.keys.iter();
        let keys: usize = keys.map(|(name, key)| size_of(name, &key.value)).sum();
        keys + size_of(name, "")
    }
}

/// All groups of keys, with their accounted sizes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyValueStore {
    groups: BTreeMap<String, Group>,
    keys: usize,
    events: usize,
    state_bytes: usize,
    history_bytes: usize,
}

impl KeyValueStore {
    pub fn put(
        &mut self,
        now_ms: u64,
        put: Put,
        available_bytes: usize,
        limits: &Limits,
    ) -> Answer {
        let Put {
            name,
            value,
            expected,
        } = put;
        let group_name = group_of(name);
        let group = self.groups.get(group_name);
        let key = group.and_then(|group| group.keys.get(name));
        // Repeats are detected before the condition is checked: an applied put must not conflict with itself or with a
        // later put.
        if let (Some(group), Some(key)) = (group, key)
            && let Some(revision) = group.find_repeat(key, value)
        {
            return Answer::Revision(revision);
        }
        // A put rejected here cannot succeed later, since revisions only increase.
        let current = key.map_or(0, |key| key.revision);
        if expected.is_some_and(|expected| expected != current) {
            return Answer::Conflict { revision: current };
        }
        let size_before = key.map_or(0, |key| size_of(name, &key.value));
        let size = size_of(name, value);
        let group_size = group.map_or_else(|| size_of(group_name, ""), |_| 0);
        let is_full = key.is_none() && self.keys >= limits.names;
        let is_exhausted = group.is_some_and(|group| group.revision >= u64::MAX - 1);
        let needed_bytes = (size + group_size).saturating_sub(size_before);
        if is_full || is_exhausted || needed_bytes > available_bytes {
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
        group.events.push_back(RetainedEvent {
            name: name.to_owned(),
            value: value.to_owned(),
            at_ms: now_ms,
        });
        Answer::Revision(group.revision)
    }

    /// Removes expired events to make room for one of this size. Returns false if the remaining events are too recent to
    /// be removed.
    fn make_room_for_event(
        &mut self,
        now_ms: u64,
        group: &str,
        size: usize,
        limits: &Limits,
    ) -> bool {
        if let Some(group) = self.groups.get_mut(group) {
            let is_full = |group: &Group| group.events.len() >= limits.group_events;
            while group.has_event_older_than(limits.retention_ms, now_ms)
                || is_full(group) && group.has_event_older_than(limits.min_retention_ms, now_ms)
            {
                self.events -= 1;
                self.history_bytes -= group.remove_oldest_event();
            }
            if is_full(group) {
                return false;
            }
        }
        if self.history_bytes + size > limits.history_bytes {
            self.remove_expired(now_ms, limits.min_retention_ms);
        }
        self.history_bytes + size <= limits.history_bytes
    }

    /// Removes the events that are older than `retention_ms`.
    pub fn remove_expired(&mut self, now_ms: u64, retention_ms: u64) {
        for group in self.groups.values_mut() {
            while group.has_event_older_than(retention_ms, now_ms) {
                self.events -= 1;
                self.history_bytes -= group.remove_oldest_event();
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

    /// Current revision of a group, or 0 if it does not exist.
    pub fn revision(&self, group: &str) -> u64 {
        self.groups.get(group).map_or(0, |group| group.revision)
    }

    pub fn watch(&self, group: &str, after: u64, max_events: usize) -> WatchResult {
        let current = self.revision(group);
        if after == 0 {
            return WatchResult::CurrentRevision { revision: current };
        }
        let Some(group) = self.groups.get(group).filter(|_| after < current) else {
            return WatchResult::NoEvents { revision: after };
        };
        let Some(skipped) = (after + 1).checked_sub(group.first_revision()) else {
            return WatchResult::TooOld;
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut events = Vec::new();
        let mut bytes = 0;
        let remaining = group.events.iter().skip(skipped);
        for (revision, event) in (after + 1..).zip(remaining).take(max_events.max(1)) {
            bytes += event.size();
            if bytes > MAX_WATCH_BYTES && !events.is_empty() {
                break;
            }
            events.push(Event {
                name: event.name.clone(),
                value: event.value.clone(),
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

    /// All groups, for a snapshot.
    pub fn groups(&self) -> &BTreeMap<String, Group> {
        &self.groups
    }

    /// Restores the store from a snapshot. Returns None if a group is inconsistent.
    pub fn from_groups(mut groups: BTreeMap<String, Group>) -> Option<Self> {
        if !groups.iter_mut().all(|(name, group)| group.rebuild(name)) {
            return None;
        }
        let events = groups.values().flat_map(|group| &group.events);
        let history_bytes = events.map(RetainedEvent::size).sum();
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
