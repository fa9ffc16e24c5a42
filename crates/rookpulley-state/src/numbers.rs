//! Counts that only rise, one for each name.

use crate::bounds::{Bounds, ENTRY};
use crate::call::Answer;
use std::collections::BTreeMap;

/// A name stays for good: forgetting it would hand out its numbers again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Numbers {
    last: BTreeMap<String, u64>,
    bytes: usize,
}

impl Numbers {
    /// A call that comes twice gets two numbers: gaps do no harm, and a number given twice would.
    pub fn next(&mut self, name: &str, room: usize, bounds: &Bounds) -> Answer {
        if let Some(last) = self.last.get_mut(name) {
            return match last.checked_add(1) {
                Some(next) => {
                    *last = next;
                    Answer::Number(next)
                }
                None => Answer::Full,
            };
        }
        let weight = name.len() + ENTRY;
        if self.last.len() >= bounds.names || weight > room {
            return Answer::Full;
        }
        self.bytes += weight;
        self.last.insert(name.to_owned(), 1);
        Answer::Number(1)
    }

    pub fn len(&self) -> usize {
        self.last.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn all(&self) -> &BTreeMap<String, u64> {
        &self.last
    }

    pub fn of(last: BTreeMap<String, u64>) -> Self {
        let bytes = last.keys().map(|name| name.len() + ENTRY).sum();
        Self { last, bytes }
    }
}
