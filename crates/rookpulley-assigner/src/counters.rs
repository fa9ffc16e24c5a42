//! What came in, went out and was answered, by kind; printed on request and at the end.

use std::cell::RefCell;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<String, u64>>,
}

impl Counters {
    pub fn add(&self, what: &str, more: u64) {
        let mut counts = self.counts.borrow_mut();
        match counts.get_mut(what) {
            Some(count) => *count += more,
            None => _ = counts.insert(what.to_string(), more),
        }
    }

    pub fn one(&self, what: &str) {
        self.add(what, 1);
    }

    /// The most that was seen at once.
    pub fn most(&self, what: &str, seen: u64) {
        let mut counts = self.counts.borrow_mut();
        let most = counts.entry(what.to_string()).or_default();
        *most = (*most).max(seen);
    }

    pub fn get(&self, what: &str) -> u64 {
        self.counts.borrow().get(what).copied().unwrap_or(0)
    }

    /// All of them on one line each.
    pub fn lines(&self) -> Vec<String> {
        self.counts
            .borrow()
            .iter()
            .map(|(what, count)| format!("{what} {count}"))
            .collect()
    }
}
