//! Monotonic named counters.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits};
use crate::requests::Answer;
use std::collections::BTreeMap;

/// All counters. A counter is never removed, since recreating it would issue its numbers again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    values: BTreeMap<String, u64>,
    bytes: usize,
}

fn size_of(name: &str) -> usize {
    name.len() + ENTRY_OVERHEAD_BYTES
}

impl Counters {
    /// Returns the next number of a counter. A repeated request gets a new number: gaps are harmless, duplicates are not.
    pub fn next(&mut self, name: &str, available_bytes: usize, limits: &Limits) -> Answer {
        if let Some(last) = self.values.get_mut(name) {
            return match last.checked_add(1) {
                Some(next) => {
                    *last = next;
                    Answer::Number(next)
                }
                None => Answer::CapacityExceeded,
            };
        }
        let size = size_of(name);
        if self.values.len() >= limits.names || size > available_bytes {
            return Answer::CapacityExceeded;
        }
        self.bytes += size;
        self.values.insert(name.to_owned(), 1);
        Answer::Number(1)
    }

    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Last number of each counter, for a snapshot.
    pub fn values(&self) -> &BTreeMap<String, u64> {
        &self.values
    }

    /// Restores the counters from a snapshot.
    pub fn from_values(values: BTreeMap<String, u64>) -> Self {
        let bytes = values.keys().map(|name| size_of(name)).sum();
        Self { values, bytes }
    }
}
