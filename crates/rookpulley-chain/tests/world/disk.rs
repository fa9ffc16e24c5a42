//! A simulated disk: batches that are whole, and any of those not yet synced may be missing after a loss of power.

use super::faults::is_a_part;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::Record;
use std::collections::{BTreeMap, VecDeque};

pub type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskTrouble {
    /// Thirty times slower.
    Slow,
    Hangs,
    /// Nothing can be written, nor can the store be opened.
    Refuses,
    /// The store can be opened, but nothing more is written.
    Full,
}

struct Batch {
    begun: u64,
    when: u64,
    ticket: u64,
    records: Vec<Record>,
}

/// A row, what it was before, and what it became.
type Part = (Vec<u8>, Option<Vec<u8>>, Option<Vec<u8>>);

pub struct Disk {
    pub rows: Rows,
    pub trouble: Option<DiskTrouble>,
    /// It says of everything at once that it is synced, long before it is.
    pub lies: bool,
    /// It says of what its owner is filled with that it is synced, long before it is.
    pub lies_of_parts: bool,
    /// Till when such parts may still be lost, with what they took the place of.
    parts: Vec<(u64, Vec<Part>)>,
    writing: VecDeque<Batch>,
    /// What its owner makes of it: as the controller does, by how long writes take.
    pub slow: bool,
    quick: u32,
    judged: u64,
}

impl Disk {
    pub fn new() -> Self {
        Self {
            rows: Rows::new(),
            trouble: None,
            lies: false,
            lies_of_parts: false,
            parts: Vec::new(),
            writing: VecDeque::new(),
            slow: false,
            quick: 0,
            judged: 0,
        }
    }

    /// A new process opens it.
    pub fn open(&mut self) {
        self.writing.clear();
        (self.slow, self.quick) = (false, 0);
    }

    pub fn refuses(&self) -> bool {
        matches!(self.trouble, Some(DiskTrouble::Refuses | DiskTrouble::Full))
    }

    pub fn write(&mut self, now: u64, ticket: u64, records: Vec<Record>) {
        let takes = if self.trouble == Some(DiskTrouble::Slow) {
            150
        } else {
            5
        };
        let takes = if self.lies { 400 } else { takes };
        // What waits while one sync is under way goes along with the next.
        let when = match self.writing.front() {
            Some(first) if first.when > now => {
                let next = self.writing.iter().find(|b| b.when > first.when);
                next.map_or(first.when + takes, |b| b.when)
            }
            _ => now + takes,
        };
        self.writing.push_back(Batch {
            begun: now,
            when,
            ticket,
            records,
        });
    }

    /// The next ticket that is synced by now.
    pub fn synced(&mut self, now: u64) -> Option<u64> {
        if self.trouble == Some(DiskTrouble::Hangs)
            || self.writing.front().is_none_or(|b| b.when > now)
        {
            return None;
        }
        let batch = self.writing.pop_front()?;
        self.quick = if now - batch.begun < 35 {
            self.quick + 1
        } else {
            0
        };
        if self.lies_of_parts && is_a_part(&batch.records) {
            let row = |record: &Record| match record {
                Record::Put { key, value } => (
                    key.clone(),
                    self.rows.get(key).cloned(),
                    Some(value.clone()),
                ),
                Record::Delete { key } => (key.clone(), self.rows.get(key).cloned(), None),
            };
            self.parts
                .push((now + 400, batch.records.iter().map(row).collect()));
        }
        self.apply(batch.records);
        self.parts.retain(|(until, _)| *until > now);
        Some(batch.ticket)
    }

    fn apply(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Put { key, value } => _ = self.rows.insert(key, value),
                Record::Delete { key } => _ = self.rows.remove(&key),
            }
        }
    }

    /// Whether its owner's view of it changes. One that is slow and idle is probed.
    pub fn judge(&mut self, now: u64) -> Option<bool> {
        if now > self.judged + 100 {
            // Its owner was held up itself: that tells nothing of the disk.
            self.writing.iter_mut().for_each(|b| b.begun = now);
        }
        self.judged = now;
        let waits = self.writing.front().is_some_and(|b| now - b.begun > 60) && !self.lies;
        if waits {
            self.quick = 0;
        }
        if self.slow && self.writing.is_empty() {
            self.write(now, 0, Vec::new());
        }
        let slow = if self.slow { self.quick < 4 } else { waits };
        (slow != self.slow).then(|| {
            self.slow = slow;
            slow
        })
    }

    /// The process dies: what it had handed to its thread may be written up to any point.
    pub fn dies(&mut self, rng: &mut ChaCha8Rng) {
        let kept = rng.random_range(0..=self.writing.len());
        for batch in std::mem::take(&mut self.writing).into_iter().take(kept) {
            self.apply(batch.records);
        }
    }

    /// Each later write is there or is missing; at times all are gone.
    pub fn loses_power(&mut self, rng: &mut ChaCha8Rng) {
        for (_, part) in std::mem::take(&mut self.parts) {
            for (key, before, after) in part {
                match before {
                    _ if self.rows.get(&key) != after.as_ref() => {}
                    Some(value) => _ = self.rows.insert(key, value),
                    None => _ = self.rows.remove(&key),
                }
            }
        }
        let all_gone = rng.random_range(0..3u32) == 0;
        for batch in std::mem::take(&mut self.writing) {
            if !all_gone && rng.random_range(0..2u32) == 0 {
                self.apply(batch.records);
            }
        }
    }
}
