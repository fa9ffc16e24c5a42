//! Named event counters, logged on SIGUSR1 and at shutdown.

use std::cell::RefCell;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<String, u64>>,
}

impl Counters {
    pub fn add(&self, name: &str, amount: u64) {
        let mut counts = self.counts.borrow_mut();
        match counts.get_mut(name) {
            Some(count) => *count += amount,
            None => _ = counts.insert(name.to_string(), amount),
        }
    }

    pub fn inc(&self, name: &str) {
        self.add(name, 1);
    }

    /// Keeps the maximum of the recorded values.
    pub fn record_max(&self, name: &str, value: u64) {
        let mut counts = self.counts.borrow_mut();
        let max = counts.entry(name.to_string()).or_default();
        *max = (*max).max(value);
    }

    pub fn get(&self, name: &str) -> u64 {
        self.counts.borrow().get(name).copied().unwrap_or(0)
    }

    /// Formats each counter as `name value`.
    pub fn lines(&self) -> Vec<String> {
        self.counts
            .borrow()
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect()
    }
}
