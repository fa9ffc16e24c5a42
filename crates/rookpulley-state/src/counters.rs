//! Counters that only rise, one for each name.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits};
use crate::requests::Answer;
use std::collections::BTreeMap;

/// All counters. A name stays for good: forgetting it would hand out its numbers again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    last: BTreeMap<String, u64>,
    bytes: usize,
}

fn size_of(name: &str) -> usize {
    name.len() + ENTRY_OVERHEAD_BYTES
}

impl Counters {
    /// The next number of a name. A request that comes twice gets two numbers: gaps do no harm, and a number given twice
    /// would.
    pub fn next(&mut self, name: &str, room: usize, limits: &Limits) -> Answer {
        if let Some(last) = self.last.get_mut(name) {
            return match last.checked_add(1) {
                Some(next) => {
                    *last = next;
                    Answer::Number(next)
                }
                None => Answer::CapacityExceeded,
            };
        }
        let size = size_of(name);
        if self.last.len() >= limits.names || size > room {
            return Answer::CapacityExceeded;
        }
        self.bytes += size;
        self.last.insert(name.to_owned(), 1);
        Answer::Number(1)
    }

    pub fn len(&self) -> usize {
        self.last.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// For a snapshot.
    pub fn last(&self) -> &BTreeMap<String, u64> {
        &self.last
    }

    /// Of a snapshot.
    pub fn from_last(last: BTreeMap<String, u64>) -> Self {
        let bytes = last.keys().map(|name| size_of(name)).sum();
        Self { last, bytes }
    }
}
