//! The thread that applies batches to `sled` and says which are synced.
//!
//! `flush` of sled 0.34 does not sync (measured: the last puts are lost with the power), so its file is synced after each
//! flush.

use crate::database::SWEEP;
use crate::rows::RowWriter;
use rookpulley_chain::Record;
use std::fs::File;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// What the store says.
#[derive(Debug)]
pub enum StoreEvent {
    /// All writes up to these tickets are on the disk, as far as there were any of each kind.
    Synced {
        /// Of the chain.
        chain: Option<u64>,
        /// Of instances.
        instances: Option<u64>,
        /// How long writing and syncing took.
        took: Duration,
    },
    /// A write failed; why. The store says nothing after that.
    Failed(String),
}

/// What a write belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreTree {
    /// The chain's records.
    Chain,
    /// What is known of instances.
    Instances,
}

/// Records that are to be written as one.
pub struct WriteRequest {
    pub tree: StoreTree,
    pub ticket: u64,
    pub records: Vec<Record>,
}

/// `sled` moves pages out of segments of which little is in use where it writes a page anew, once for each, which is
/// after ten changes of that page. That is too seldom where few rows of each page change, and what it has for that apart
/// is a thread with a timer and syncs of its own. So rows that mean nothing are written to the tree `sweep`: so many
/// changes for each page that is to be moved.
const CHANGES_PER_PAGE: u64 = 10;
/// A page is moved for so many bytes of chunks that are written.
const SWEEP_BYTES: usize = 2 << 10;
/// So many pages are moved with one write, so that none of them takes long.
const MAX_PAGES_AT_ONCE: usize = 8;
/// What is owed beyond this is forgotten, as sled moves pages by itself where many are written anew.
const MAX_PAGES_OWED: usize = 1024;

/// One tree, and how its rows are written.
pub struct TreeWriter {
    pub tree: sled::Tree,
    pub rows: RowWriter,
}

/// What is written at once, and up to which ticket.
#[derive(Default)]
struct PendingBatch {
    batch: sled::Batch,
    ticket: Option<u64>,
}

impl TreeWriter {
    fn add(&mut self, ticket: u64, records: Vec<Record>, pending: &mut PendingBatch) {
        // A probe of the disk has ticket 0, and may come behind others.
        pending.ticket = pending.ticket.max(Some(ticket));
        for record in records {
            self.rows.write(record, &mut pending.batch);
        }
    }
}

/// The thread's work.
pub struct Writer {
    pub db: sled::Db,
    /// The file in which `sled` has its pages.
    pub pages: File,
    pub chain: TreeWriter,
    pub instances: TreeWriter,
    sweep: sled::Tree,
    pages_owed: usize,
}

impl Writer {
    pub fn new(
        db: sled::Db,
        pages: File,
        chain: TreeWriter,
        instances: TreeWriter,
    ) -> Result<Self, sled::Error> {
        let sweep = db.open_tree(SWEEP)?;
        Ok(Self {
            db,
            pages,
            chain,
            instances,
            sweep,
            pages_owed: 0,
        })
    }

    /// Writes what is asked for until nobody can ask any more, or a write fails. All that waits is written at once.
    pub fn run(mut self, requests: &Receiver<WriteRequest>, events: &UnboundedSender<StoreEvent>) {
        while let Ok(first) = requests.recv() {
            let mut chain = PendingBatch::default();
            let mut instances = PendingBatch::default();
            let others = std::iter::from_fn(|| requests.try_recv().ok());
            for request in std::iter::once(first).chain(others) {
                let WriteRequest {
                    tree,
                    ticket,
                    records,
                } = request;
                match tree {
                    StoreTree::Chain => self.chain.add(ticket, records, &mut chain),
                    StoreTree::Instances => self.instances.add(ticket, records, &mut instances),
                }
            }
            let begun = Instant::now();
            let tickets = (chain.ticket, instances.ticket);
            let event = match self.write(chain.batch, instances.batch) {
                Ok(()) => StoreEvent::Synced {
                    chain: tickets.0,
                    instances: tickets.1,
                    took: begun.elapsed(),
                },
                Err(why) => StoreEvent::Failed(why),
            };
            let has_failed = matches!(event, StoreEvent::Failed(_));
            if events.send(event).is_err() || has_failed {
                return;
            }
        }
    }

    fn write(&mut self, chain: sled::Batch, instances: sled::Batch) -> Result<(), String> {
        self.write_unsynced(chain, instances)
            .map_err(|why| why.to_string())?;
        self.pages.sync_data().map_err(|why| why.to_string())
    }

    fn write_unsynced(
        &mut self,
        chain: sled::Batch,
        instances: sled::Batch,
    ) -> Result<(), sled::Error> {
        self.chain.tree.apply_batch(chain)?;
        self.instances.tree.apply_batch(instances)?;
        self.move_pages()?;
        self.db.flush()?;
        Ok(())
    }

    fn move_pages(&mut self) -> Result<(), sled::Error> {
        let chain_bytes = self.chain.rows.take_written_bytes();
        let written = chain_bytes + self.instances.rows.take_written_bytes();
        self.pages_owed = (self.pages_owed + written / SWEEP_BYTES).min(MAX_PAGES_OWED);
        let pages = self.pages_owed.min(MAX_PAGES_AT_ONCE);
        self.pages_owed -= pages;
        for change in 0..CHANGES_PER_PAGE * pages as u64 {
            self.sweep.insert(SWEEP, &change.to_le_bytes())?;
        }
        Ok(())
    }
}
