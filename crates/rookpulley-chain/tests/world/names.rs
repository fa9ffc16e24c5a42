//! The state that the simulated chain keeps: names with a value and a revision, put or compared and put.

use rookpulley_chain::State;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Put {
        value: u64,
    },
    /// Goes through where the name has this revision.
    Swap {
        expected: u64,
        value: u64,
    },
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    pub went: bool,
    pub revision: u64,
    pub value: u64,
    /// The ledger's time of an update.
    pub stamp: u64,
}

impl Reply {
    pub fn read(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            went: bytes[0] == 1,
            revision: word(1),
            value: word(9),
            stamp: word(17),
        }
    }

    fn bytes(self) -> Vec<u8> {
        [
            &[u8::from(self.went)][..],
            &self.revision.to_le_bytes(),
            &self.value.to_le_bytes(),
            &self.stamp.to_le_bytes(),
        ]
        .concat()
    }
}

pub fn body(name: u8, ask: Ask) -> Vec<u8> {
    let (kind, expected, value) = match ask {
        Ask::Put { value } => (0, 0, value),
        Ask::Swap { expected, value } => (1, expected, value),
        Ask::Read => (2, 0, 0),
    };
    [
        &[name, kind][..],
        &u64::to_le_bytes(expected),
        &u64::to_le_bytes(value),
    ]
    .concat()
}

/// The value that an update puts.
pub fn value(body: &[u8]) -> u64 {
    u64::from_le_bytes(body[10..18].try_into().unwrap())
}

/// An update that went through, with the ledger's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    pub name: u8,
    pub value: u64,
    pub stamp: u64,
}

/// All that went through, in order: enough to tell lost, doubled, reordered and revived updates.
#[derive(Clone, Default)]
pub struct Names {
    pub given: Vec<Given>,
    present: BTreeMap<u8, (u64, u64)>,
    stamp: u64,
    /// So many words beside all that, to make the state long.
    pub bulk: usize,
    /// What has changed here and nowhere else, without anybody's doing.
    pub rot: Rc<Cell<u64>>,
}

impl Names {
    pub fn long(bulk: usize) -> Self {
        Self {
            bulk,
            ..Self::default()
        }
    }

    fn give(&mut self, name: u8, value: u64, stamp: u64) -> u64 {
        self.given.push(Given { name, value, stamp });
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
            "the ledger's time falls from {} to {at_ms}",
            self.stamp
        );
        self.stamp = at_ms;
        let word = |at: usize| u64::from_le_bytes(entry[at..at + 8].try_into().unwrap());
        let (name, swaps, expected, value) = (entry[0], entry[1] == 1, word(2), word(10));
        let (revision, _) = self.at(name);
        if swaps && revision != expected {
            return Reply {
                went: false,
                revision,
                value: 0,
                stamp: at_ms,
            }
            .bytes();
        }
        Reply {
            went: true,
            revision: self.give(name, value, at_ms),
            value,
            stamp: at_ms,
        }
        .bytes()
    }

    fn read(&self, ask: &[u8]) -> Vec<u8> {
        let (revision, value) = self.at(ask[0]);
        Reply {
            went: true,
            revision,
            value,
            stamp: 0,
        }
        .bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let rows = self
            .given
            .iter()
            .flat_map(|g| [u64::from(g.name), g.value, g.stamp]);
        let bulk = (0..self.bulk as u64).map(|n| n ^ self.rot.get());
        let head = [self.stamp, self.bulk as u64 ^ self.rot.get()];
        head.into_iter()
            .chain(bulk)
            .chain(rows)
            .flat_map(u64::to_le_bytes)
            .collect()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        let mut words = bytes
            .chunks_exact(8)
            .map(|c| u64::from_le_bytes(c.try_into().unwrap()));
        let (stamp, bulk) = (
            words.next().unwrap_or(0),
            words.next().unwrap_or(0) as usize,
        );
        *self = Self {
            stamp,
            bulk,
            rot: self.rot.clone(),
            ..Self::default()
        };
        if bulk > 0 && words.nth(bulk - 1) != Some(bulk as u64 - 1) {
            return false;
        }
        while let (Some(name), Some(value), Some(stamp)) =
            (words.next(), words.next(), words.next())
        {
            self.give(name as u8, value, stamp);
        }
        true
    }
}
