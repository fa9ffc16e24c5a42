//! A simulated disk with atomic batches. After a power loss, any batch that was not yet synced may be missing.

use super::faults::is_catch_up_write;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::Record;
use std::collections::{BTreeMap, VecDeque};

pub type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Writes take thirty times as long.
    Slow,
    Hangs,
    /// Writes fail, and so does opening the store.
    RejectsWrites,
    /// The store opens, but writes fail.
    Full,
}

struct Batch {
    submitted_at: u64,
    completes_at: u64,
    ticket: u64,
    records: Vec<Record>,
}

/// The key of a row, its previous value and its new value.
type RowChange = (Vec<u8>, Option<Vec<u8>>, Option<Vec<u8>>);

pub struct Disk {
    pub rows: Rows,
    pub fault: Option<DiskFault>,
    /// Acknowledges every write immediately, long before it is synced.
    pub acks_early: bool,
    /// Acknowledges catch-up writes long before they are synced.
    pub acks_catch_up_early: bool,
    /// Catch-up writes that a power loss still undoes, each with the time until which that holds.
    unsynced_catch_up: Vec<(u64, Vec<RowChange>)>,
    writing: VecDeque<Batch>,
    /// The health that the controller infers from write latency.
    pub slow: bool,
    quick: u32,
    judged: u64,
}

impl Disk {
    pub fn new() -> Self {
        Self {
            rows: Rows::new(),
            fault: None,
            acks_early: false,
            acks_catch_up_early: false,
            unsynced_catch_up: Vec::new(),
            writing: VecDeque::new(),
            slow: false,
            quick: 0,
            judged: 0,
        }
    }

    /// Opens the disk in a new process.
    pub fn open(&mut self) {
        self.writing.clear();
        (self.slow, self.quick) = (false, 0);
    }

    pub fn rejects_writes(&self) -> bool {
        matches!(self.fault, Some(DiskFault::RejectsWrites | DiskFault::Full))
    }

    pub fn write(&mut self, now: u64, ticket: u64, records: Vec<Record>) {
        let duration = if self.fault == Some(DiskFault::Slow) {
            150
        } else {
            5
        };
        let duration = if self.acks_early { 400 } else { duration };
        // Writes submitted during a sync share the next one.
        let completes_at = match self.writing.front() {
            Some(first) if first.completes_at > now => {
                let next = self
                    .writing
                    .iter()
                    .find(|b| b.completes_at > first.completes_at);
                next.map_or(first.completes_at + duration, |b| b.completes_at)
            }
            _ => now + duration,
        };
        self.writing.push_back(Batch {
            submitted_at: now,
            completes_at,
            ticket,
            records,
        });
    }

    /// Applies the next batch that is synced by `now` and returns its ticket.
    pub fn synced(&mut self, now: u64) -> Option<u64> {
        if self.fault == Some(DiskFault::Hangs)
            || self.writing.front().is_none_or(|b| b.completes_at > now)
        {
            return None;
        }
        let batch = self.writing.pop_front()?;
        self.quick = if now - batch.submitted_at < 35 {
            self.quick + 1
        } else {
            0
        };
        if self.acks_catch_up_early && is_catch_up_write(&batch.records) {
            let row = |record: &Record| match record {
                Record::Put { key, value } => (
                    key.clone(),
                    self.rows.get(key).cloned(),
                    Some(value.clone()),
                ),
                Record::Delete { key } => (key.clone(), self.rows.get(key).cloned(), None),
            };
            self.unsynced_catch_up
                .push((now + 400, batch.records.iter().map(row).collect()));
        }
        self.apply(batch.records);
        self.unsynced_catch_up.retain(|(until, _)| *until > now);
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

    /// Returns whether the disk is slow, if that changed. Probes the disk when it is slow and idle.
    pub fn check_latency(&mut self, now: u64) -> Option<bool> {
        if now > self.judged + 100 {
            // The process itself was stalled, so the elapsed time says nothing about the disk.
            self.writing.iter_mut().for_each(|b| b.submitted_at = now);
        }
        self.judged = now;
        let waits = self
            .writing
            .front()
            .is_some_and(|b| now - b.submitted_at > 60)
            && !self.acks_early;
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

    /// Ends the process: a random prefix of the pending batches is written.
    pub fn crash(&mut self, rng: &mut ChaCha8Rng) {
        let kept = rng.random_range(0..=self.writing.len());
        for batch in std::mem::take(&mut self.writing).into_iter().take(kept) {
            self.apply(batch.records);
        }
    }

    /// Cuts the power: each pending batch is written or lost independently, and sometimes all are lost.
    pub fn lose_power(&mut self, rng: &mut ChaCha8Rng) {
        for (_, changes) in std::mem::take(&mut self.unsynced_catch_up) {
            for (key, before, after) in changes {
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
