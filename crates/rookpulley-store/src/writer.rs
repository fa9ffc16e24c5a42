//! The thread that applies batches to `sled`, syncs them and reports the result.
//!
//! `flush` of sled 0.34 does not sync its file, so the last writes would be lost on a power loss. The thread therefore
//! syncs the file after each flush.

use crate::database::SWEEP;
use crate::rows::RowWriter;
use rookpulley_chain::Record;
use std::fs::File;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// The result of one or several writes.
#[derive(Debug)]
pub enum StoreEvent {
    /// All writes up to these tickets are synced. A ticket is None if nothing was written to that tree.
    Synced {
        /// The highest ticket of the chain.
        chain: Option<u64>,
        /// The highest ticket of the instances.
        instances: Option<u64>,
        /// The duration of writing and syncing.
        took: Duration,
    },
    /// A write failed with this error. It is the last event.
    Failed(String),
}

/// The tree that a write goes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreTree {
    /// The chain's records.
    Chain,
    /// The records of instances.
    Instances,
}

/// Records to be written atomically.
pub struct WriteRequest {
    pub tree: StoreTree,
    pub ticket: u64,
    pub records: Vec<Record>,
}

/// `sled` rewrites a page after this many changes to it, and moves one page out of a sparsely used segment each time. That
/// is too seldom if few rows of each page change, so the writer triggers it by dummy writes to the tree `sweep`. The
/// alternative, `sled`'s flush timer, is a separate thread that syncs on its own.
const CHANGES_PER_PAGE: u64 = 10;
/// One page is moved per this many bytes of written chunks.
const CHUNK_BYTES_PER_PAGE: usize = 2 << 10;
/// Limit of the pages moved along with one write, which bounds the duration of a write.
const MAX_PAGES_PER_WRITE: usize = 8;
/// Limit of the backlog of pages to move. Beyond it `sled` rewrites enough pages to move others on its own.
const MAX_PENDING_PAGES: usize = 1024;

/// A tree with the writer of its rows.
pub struct TreeWriter {
    pub tree: sled::Tree,
    pub rows: RowWriter,
}

/// Records collected into one batch, with their highest ticket.
#[derive(Default)]
struct PendingBatch {
    batch: sled::Batch,
    ticket: Option<u64>,
}

impl TreeWriter {
    fn add(&mut self, ticket: u64, records: Vec<Record>, pending: &mut PendingBatch) {
        // A disk probe has ticket 0 and may follow higher tickets.
        pending.ticket = pending.ticket.max(Some(ticket));
        for record in records {
            self.rows.write(record, &mut pending.batch);
        }
    }
}

/// The state of the writer thread.
pub struct Writer {
    pub db: sled::Db,
    /// The file in which `sled` keeps its pages.
    pub pages: File,
    pub chain: TreeWriter,
    pub instances: TreeWriter,
    sweep: sled::Tree,
    pending_pages: usize,
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
            pending_pages: 0,
        })
    }

    /// Carries out requests until the sender is dropped or a write fails. All queued requests are written as one batch
    /// per tree.
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
            let started = Instant::now();
            let tickets = (chain.ticket, instances.ticket);
            let event = match self.write(chain.batch, instances.batch) {
                Ok(()) => StoreEvent::Synced {
                    chain: tickets.0,
                    instances: tickets.1,
                    took: started.elapsed(),
                },
                Err(error) => StoreEvent::Failed(error),
            };
            let has_failed = matches!(event, StoreEvent::Failed(_));
            if events.send(event).is_err() || has_failed {
                return;
            }
        }
    }

    fn write(&mut self, chain: sled::Batch, instances: sled::Batch) -> Result<(), String> {
        self.write_unsynced(chain, instances)
            .map_err(|error| error.to_string())?;
        self.pages.sync_data().map_err(|error| error.to_string())
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

    /// Makes `sled` move pages in proportion to the bytes written.
    fn move_pages(&mut self) -> Result<(), sled::Error> {
        let chain_bytes = self.chain.rows.take_written_bytes();
        let written = chain_bytes + self.instances.rows.take_written_bytes();
        self.pending_pages =
            (self.pending_pages + written / CHUNK_BYTES_PER_PAGE).min(MAX_PENDING_PAGES);
        let pages = self.pending_pages.min(MAX_PAGES_PER_WRITE);
        self.pending_pages -= pages;
        for change in 0..CHANGES_PER_PAGE * pages as u64 {
            self.sweep.insert(SWEEP, &change.to_le_bytes())?;
        }
        Ok(())
    }
}
