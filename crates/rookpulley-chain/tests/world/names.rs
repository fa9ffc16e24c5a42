//! The replicated state of the simulated chain: values with revisions by name, changed by put and compare-and-swap.

use rookpulley_chain::State;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Put {
        value: u64,
    },
    /// Succeeds if the name is at the expected revision.
    Swap {
        expected: u64,
        value: u64,
    },
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    pub succeeded: bool,
    pub revision: u64,
    pub value: u64,
    /// The replicated time at which the update was applied.
    pub stamp: u64,
}

impl Reply {
    pub fn read(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            succeeded: bytes[0] == 1,
            revision: word(1),
            value: word(9),
            stamp: word(17),
        }
    }

    fn bytes(self) -> Vec<u8> {
        [
            &[u8::from(self.succeeded)][..],
            &self.revision.to_le_bytes(),
            &self.value.to_le_bytes(),
            &self.stamp.to_le_bytes(),
        ]
        .concat()
    }
}

pub fn body(name: u8, operation: Operation) -> Vec<u8> {
    let (kind, expected, value) = match operation {
        Operation::Put { value } => (0, 0, value),
        Operation::Swap { expected, value } => (1, expected, value),
        Operation::Read => (2, 0, 0),
    };
    [
        &[name, kind][..],
        &u64::to_le_bytes(expected),
        &u64::to_le_bytes(value),
    ]
    .concat()
}

/// The value written by an update.
pub fn value(body: &[u8]) -> u64 {
    u64::from_le_bytes(body[10..18].try_into().unwrap())
}

/// A successful update with its replicated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedUpdate {
    pub name: u8,
    pub value: u64,
    pub stamp: u64,
}

/// All successful updates in order, which reveals lost, duplicated, reordered and resurrected updates.
#[derive(Clone, Default)]
pub struct Names {
    pub applied: Vec<AppliedUpdate>,
    present: BTreeMap<u8, (u64, u64)>,
    stamp: u64,
    /// Extra 64-bit words in each snapshot, which make the state large.
    pub padding: usize,
    /// Nonzero once this replica is silently corrupted.
    pub corruption: Rc<Cell<u64>>,
}

impl Names {
    pub fn with_padding(padding: usize) -> Self {
        Self {
            padding,
            ..Self::default()
        }
    }

    fn record_update(&mut self, name: u8, value: u64, stamp: u64) -> u64 {
        self.applied.push(AppliedUpdate { name, value, stamp });
        let present = self.present.entry(name).or_default();
        *present = (present.0 + 1, value);
        present.0
    }

    fn at(&self, name: u8) -> (u64, u64) {
        self.present.get(&name).copied().unwrap_or_default()
    }
}

impl State for Names {
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8> {
        assert!(
            at_ms >= self.stamp,
            "the replicated time goes back from {} to {at_ms}",
            self.stamp
        );
        self.stamp = at_ms;
        let word = |at: usize| u64::from_le_bytes(entry[at..at + 8].try_into().unwrap());
        let (name, swaps, expected, value) = (entry[0], entry[1] == 1, word(2), word(10));
        let (revision, _) = self.at(name);
        if swaps && revision != expected {
            return Reply {
                succeeded: false,
                revision,
                value: 0,
                stamp: at_ms,
            }
            .bytes();
        }
        Reply {
            succeeded: true,
            revision: self.record_update(name, value, at_ms),
            value,
            stamp: at_ms,
        }
        .bytes()
    }

    fn read(&self, operation: &[u8]) -> Vec<u8> {
        let (revision, value) = self.at(operation[0]);
        Reply {
            succeeded: true,
            revision,
            value,
            stamp: 0,
        }
        .bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let rows = self
            .applied
            .iter()
            .flat_map(|g| [u64::from(g.name), g.value, g.stamp]);
        let padding = (0..self.padding as u64).map(|n| n ^ self.corruption.get());
        let head = [self.stamp, self.padding as u64 ^ self.corruption.get()];
        head.into_iter()
            .chain(padding)
            .chain(rows)
            .flat_map(u64::to_le_bytes)
            .collect()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        let mut words = bytes
            .chunks_exact(8)
            .map(|c| u64::from_le_bytes(c.try_into().unwrap()));
        let (stamp, padding) = (
            words.next().unwrap_or(0),
            words.next().unwrap_or(0) as usize,
        );
        *self = Self {
            stamp,
            padding,
            corruption: self.corruption.clone(),
            ..Self::default()
        };
        if padding > 0 && words.nth(padding - 1) != Some(padding as u64 - 1) {
            return false;
        }
        while let (Some(name), Some(value), Some(stamp)) =
            (words.next(), words.next(), words.next())
        {
            self.record_update(name as u8, value, stamp);
        }
        true
    }
}
