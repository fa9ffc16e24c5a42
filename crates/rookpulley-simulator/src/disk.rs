//! Simulated controller disk: batches are atomic, and a crash keeps or loses the batch being written.

use crate::{MS, Us};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rookpulley_chain::Record;
use std::collections::BTreeMap;

pub type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFault {
    Slow,
    Hangs,
}

struct Job {
    of_chain: bool,
    ticket: u64,
    records: Vec<Record>,
}

/// The completion of a synced batch.
pub struct Synced {
    pub chain: Option<u64>,
    pub instances: Option<u64>,
    pub took: Us,
}

#[derive(Default)]
pub struct Disk {
    pub identity: Option<u64>,
    pub bootstrap: Option<rookpulley_control::Bootstrap>,
    pub chain: Rows,
    pub instances: Rows,
    pub fault: Option<DiskFault>,
    /// Reports writes as synced immediately.
    pub lies: bool,
    waiting: Vec<Job>,
    under_way: Option<(Us, Vec<Job>)>,
}

fn apply(rows: &mut Rows, records: Vec<Record>) {
    for record in records {
        match record {
            Record::Put { key, value } => _ = rows.insert(key, value),
            Record::Delete { key } => _ = rows.remove(&key),
        }
    }
}

impl Disk {
    pub fn new(lies: bool) -> Disk {
        Disk {
            lies,
            ..Disk::default()
        }
    }

    pub fn write(&mut self, of_chain: bool, ticket: u64, records: Vec<Record>) {
        self.waiting.push(Job {
            of_chain,
            ticket,
            records,
        });
    }

    /// Starts writing the pending batch if the disk is idle, and returns the write time.
    pub fn begin(&mut self, now: Us) -> Option<Us> {
        if self.under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.under_way = Some((now, std::mem::take(&mut self.waiting)));
        Some(match self.fault {
            Some(DiskFault::Slow) => 150 * MS,
            Some(DiskFault::Hangs) => 900 * MS,
            None => 4 * MS,
        })
    }

    pub fn done(&mut self, now: Us) -> Option<Synced> {
        let (begun, jobs) = self.under_way.take()?;
        let mut synced = Synced {
            chain: None,
            instances: None,
            took: now - begun,
        };
        for job in jobs {
            let (rows, ticket) = match job.of_chain {
                true => (&mut self.chain, &mut synced.chain),
                false => (&mut self.instances, &mut synced.instances),
            };
            apply(rows, job.records);
            *ticket = (*ticket).max(Some(job.ticket));
        }
        Some(synced)
    }

    /// Handles the end of the process or a power loss: drops pending writes and keeps or loses the current ones.
    pub fn ends(&mut self, rng: &mut ChaCha8Rng) {
        self.waiting.clear();
        let there = [
            rng.random_range(0..2u32) == 0,
            rng.random_range(0..2u32) == 0,
        ];
        for job in self.under_way.take().into_iter().flat_map(|(_, jobs)| jobs) {
            let rows = if job.of_chain {
                &mut self.chain
            } else {
                &mut self.instances
            };
            if there[usize::from(job.of_chain)] {
                apply(rows, job.records);
            }
        }
    }

    pub fn wipe(&mut self) {
        *self = Disk::new(self.lies);
    }
}
