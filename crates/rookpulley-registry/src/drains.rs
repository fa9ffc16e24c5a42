//! Drains that are to be acknowledged, and who else knows of them.

use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};

/// A confirmed drain is remembered so long.
const KNOWN_MS: f64 = 60_000.0;

struct Asked {
    by: BTreeSet<u64>,
    wanted: usize,
}

/// A drain or an end may be acknowledged once as many others know as may be lost: then the word reaches every proxy
/// in touch, whatever becomes of this controller.
pub struct Drains {
    losses: usize,
    asked: BTreeMap<u64, Asked>,
    /// Incarnations that others know to be draining, and since when.
    known: BTreeMap<IncarnationId, f64>,
}

impl Drains {
    pub fn new(losses: usize) -> Self {
        Self {
            losses: losses.max(1),
            asked: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Once that is known elsewhere it need not be asked about again.
    pub fn is_known(&self, incarnation: &str) -> bool {
        self.known.contains_key(incarnation)
    }

    pub fn known(&mut self, now: f64, incarnation: IncarnationId) {
        self.known.retain(|_, at| now - *at < KNOWN_MS);
        self.known.insert(incarnation, now);
    }

    /// The others, so many of them, are asked under this number; false where there is nobody to wait for.
    pub fn ask(&mut self, number: u64, others: usize) -> bool {
        let wanted = others.min(self.losses);
        if wanted > 0 {
            self.asked.insert(
                number,
                Asked {
                    by: BTreeSet::new(),
                    wanted,
                },
            );
        }
        wanted > 0
    }

    /// Aother controller has it on its disk; true once that are enough.
    pub fn took(&mut self, number: u64, controller: u64) -> bool {
        self.asked.get_mut(&number).is_some_and(|asked| {
            asked.by.insert(controller);
            asked.by.len() >= asked.wanted
        })
    }

    /// It is over, whatever came of it.
    pub fn over(&mut self, number: u64) {
        self.asked.remove(&number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn as_many_others_must_know_as_may_be_lost_and_each_counts_once() {
        let mut drains = Drains::new(2);
        assert!(!drains.ask(1, 0));
        assert!(drains.ask(2, 4));
        assert_eq!(
            [7, 7, 8].map(|controller| drains.took(2, controller)),
            [false, false, true]
        );
        drains.over(2);
        assert!(!drains.took(2, 9));
        drains.known(0.0, "i-1".into());
        drains.known(70_000.0, "i-2".into());
        assert!(!drains.is_known("i-1") && drains.is_known("i-2"));
    }
}
