//! The log of one member, and how far it is applied, synced and sent.

use crate::message::{Entry, ReadRequest};
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// What an entry is counted with beyond its body.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// So much of what was applied is kept in memory, for replicas that lack it.
const MAX_APPLIED_ENTRIES: usize = 4_096;
const MAX_APPLIED_BYTES: usize = 2 << 20;

/// The replicated time that stood at a moment of our own clock.
#[derive(Clone, Copy, Default)]
struct ClockBase {
    replicated_ms: u64,
    local_ms: u64,
}

/// Sequence numbers of the entries that the disk may hold.
#[derive(Clone, Copy, Default)]
struct DiskEntries {
    first: u64,
    last: u64,
}

/// What a member of the chain holds of the log.
///
/// Invariant: `committed <= sent_to <= last`, and the entries behind `committed` are those in `log`, without gaps.
#[derive(Default)]
pub struct ReplicationState {
    /// Entries that are not applied yet, in order.
    pub log: VecDeque<Entry>,
    /// What was applied last, in order, up to `committed`.
    recently_applied: VecDeque<Entry>,
    recently_applied_bytes: usize,
    /// The last entry held.
    pub last: u64,
    /// No entry is stamped with a replicated time below this any more.
    pub last_at_ms: u64,
    /// The last entry that is applied. All entries up to it are committed.
    pub committed: u64,
    /// The last entry that is on the disk here.
    pub synced_here: u64,
    /// The last entry that is on the disks of all members before this one.
    pub synced_upstream: u64,
    /// The last entry that was sent to the successor.
    pub sent_to: u64,
    /// What the successor was last told of `synced_upstream`.
    pub sent_synced_up_to: u64,
    /// What the successor last said of its last entry, where that was behind `sent_to`.
    pub successor_reported: Option<u64>,
    /// Reads that wait to be handed on.
    pub reads: Vec<ReadRequest>,
    /// The newest view whose installation was written, synced or not.
    pub installing: u64,
    /// When the successor was last sent its `Install`.
    pub install_sent_ms: u64,
    clock_base: ClockBase,
    disk_entries: DiskEntries,
    /// The size of what was applied since the snapshot on the disk.
    bytes_after_snapshot: usize,
    uncommitted_bytes: usize,
}

impl ReplicationState {
    /// Goes on from a snapshot on the disk that holds all entries up to `seq`.
    pub fn start_from_snapshot(&mut self, seq: u64, at_ms: u64, now: u64) {
        *self = Self {
            last: seq,
            committed: seq,
            installing: self.installing,
            disk_entries: DiskEntries {
                first: seq + 1,
                last: self.disk_entries.last.max(seq),
            },
            ..Self::default()
        };
        self.resume_with_log(at_ms, now, Vec::new());
    }

    /// Goes on from what is applied, with this log in place of the one before. The log is on the disk.
    pub fn resume_with_log(&mut self, at_ms: u64, now: u64, log: Vec<Entry>) {
        self.discard_uncommitted();
        self.last_at_ms = at_ms;
        self.clock_base = ClockBase {
            replicated_ms: at_ms,
            local_ms: now,
        };
        self.successor_reported = None;
        self.reads.clear();
        for entry in log {
            self.append(entry);
        }
        self.last_at_ms = self.last_at_ms.max(at_ms);
        self.synced_here = self.last;
        self.synced_upstream = self.last;
        self.sent_to = self.last;
        self.sent_synced_up_to = self.last;
    }

    /// Gives up all entries that are not applied.
    pub fn discard_uncommitted(&mut self) {
        self.log.clear();
        self.last = self.committed;
        self.uncommitted_bytes = 0;
    }

    /// Lets the replicated time go on from the last stamp.
    pub fn restart_clock(&mut self, now: u64) {
        self.clock_base = ClockBase {
            replicated_ms: self.last_at_ms,
            local_ms: now,
        };
    }

    /// The replicated time, if this member is the head: it goes on with our own clock and never falls.
    pub fn clock_now(&self, now: u64) -> u64 {
        let passed_ms = now.saturating_sub(self.clock_base.local_ms);
        (self.clock_base.replicated_ms + passed_ms).max(self.last_at_ms)
    }

    /// The entries that the disk may hold, of whichever view.
    pub fn entries_on_disk(&self) -> RangeInclusive<u64> {
        self.disk_entries.first..=self.disk_entries.last
    }

    /// Rows of entries were found on the disk, also such as are no part of the log.
    pub fn include_disk_entries(&mut self, found: &RangeInclusive<u64>) {
        self.disk_entries.first = self.disk_entries.first.min(*found.start());
        self.disk_entries.last = self.disk_entries.last.max(*found.end());
    }

    /// Adds the next entry to the log.
    pub fn append(&mut self, entry: Entry) {
        self.last = entry.seq;
        self.last_at_ms = entry.at_ms;
        self.disk_entries.last = self.disk_entries.last.max(entry.seq);
        self.uncommitted_bytes += entry.body.len();
        self.log.push_back(entry);
    }

    /// The first entry of the log has been applied.
    pub fn advance_commit(&mut self) {
        let Some(entry) = self.log.pop_front() else {
            return;
        };
        let size = size_of_entry(&entry);
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(entry.body.len());
        self.committed = entry.seq;
        self.recently_applied_bytes += size;
        self.bytes_after_snapshot += size;
        self.recently_applied.push_back(entry);
        while self.recently_applied.len() > MAX_APPLIED_ENTRIES
            || self.recently_applied_bytes > MAX_APPLIED_BYTES
        {
            let Some(old) = self.recently_applied.pop_front() else {
                break;
            };
            self.recently_applied_bytes -= size_of_entry(&old);
        }
    }

    /// Whether all entries that were applied after `seq` are still in memory.
    pub fn covers(&self, seq: u64) -> bool {
        let first = self.recently_applied.front();
        seq >= self.committed || first.is_some_and(|first| first.seq <= seq + 1)
    }

    /// The entries that were applied after `seq`, up to so many bytes, and at least one where there is one.
    pub fn applied_after(&self, seq: u64, max_bytes: usize) -> Vec<Entry> {
        let next = self
            .recently_applied
            .partition_point(|entry| entry.seq <= seq);
        take_up_to(self.recently_applied.range(next..), max_bytes)
    }

    /// The entries of the log that were not sent to the successor yet, up to so many bytes.
    pub fn unsent(&self, max_bytes: usize) -> Vec<Entry> {
        let unsent = self
            .log
            .iter()
            .skip_while(|entry| entry.seq <= self.sent_to);
        take_up_to(unsent, max_bytes)
    }

    /// The size of the log that is not applied.
    pub fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }

    /// How many entries, and how many of their bytes, are applied behind the snapshot on the disk.
    pub fn applied_after_snapshot(&self) -> (u64, usize) {
        let entries = (self.committed + 1).saturating_sub(self.disk_entries.first);
        (entries, self.bytes_after_snapshot)
    }

    /// A snapshot up to `committed` was written. Returns the entries that it makes superfluous on the disk.
    pub fn snapshot_written(&mut self) -> RangeInclusive<u64> {
        let covered = self.disk_entries.first..=self.committed;
        self.disk_entries.first = self.committed + 1;
        self.bytes_after_snapshot = 0;
        covered
    }
}

fn size_of_entry(entry: &Entry) -> usize {
    entry.body.len() + ENTRY_OVERHEAD_BYTES
}

/// Entries from the first on, up to so many bytes; a first entry that is larger goes alone.
fn take_up_to<'a>(entries: impl Iterator<Item = &'a Entry>, max_bytes: usize) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        let is_first = bytes == 0;
        bytes += size_of_entry(entry);
        is_first || bytes <= max_bytes
    };
    entries.take_while(fits).cloned().collect()
}
