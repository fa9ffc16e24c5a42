//! The log of one member, and how far it is applied, synced and sent.

use crate::message::{Entry, ReadRequest};
use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// The accounted size of an entry in addition to its body.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// Limits on the applied entries kept in memory for lagging replicas.
const MAX_APPLIED_ENTRIES: usize = 4_096;
const MAX_APPLIED_BYTES: usize = 2 << 20;

/// A replicated time and the local time to which it corresponds.
#[derive(Clone, Copy, Default)]
struct ClockBase {
    replicated_ms: u64,
    local_ms: u64,
}

/// The sequence numbers of the entries that may be on disk.
#[derive(Clone, Copy, Default)]
struct DiskEntries {
    first: u64,
    last: u64,
}

/// The log as held by one member.
///
/// Invariant: `committed <= sent_to <= last`, and `log` contains exactly the entries after `committed`, without gaps.
#[derive(Default)]
pub struct ReplicationState {
    /// Entries that are not applied yet, in order.
    pub log: VecDeque<Entry>,
    /// The most recently applied entries, in order, up to `committed`.
    recently_applied: VecDeque<Entry>,
    recently_applied_bytes: usize,
    /// The last entry held.
    pub last: u64,
    /// Lower bound for the replicated time of new entries.
    pub last_at_ms: u64,
    /// The last applied entry. All entries up to it are committed.
    pub committed: u64,
    /// The last entry synced on this disk.
    pub synced_locally: u64,
    /// The last entry synced by all predecessors.
    pub synced_upstream: u64,
    /// The last entry that was sent to the successor.
    pub sent_to: u64,
    /// The position last sent to the successor as `synced_up_to`.
    pub sent_synced_up_to: u64,
    /// The last entry in the successor's latest heartbeat, unless entries were resent since.
    pub successor_reported: Option<u64>,
    /// Reads to be forwarded to the successor, or to be answered by the tail.
    pub reads: Vec<ReadRequest>,
    /// The newest view whose installation was written, whether synced or not.
    pub installing: u64,
    /// When `Install` was last sent to the successor.
    pub install_sent_ms: u64,
    clock_base: ClockBase,
    disk_entries: DiskEntries,
    /// The size of the entries applied since the snapshot on disk.
    bytes_after_snapshot: usize,
    uncommitted_bytes: usize,
}

impl ReplicationState {
    /// Resets to a snapshot on disk that contains all entries up to `seq`.
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

    /// Replaces the unapplied entries with `log`, which is already on disk.
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
        self.synced_locally = self.last;
        self.synced_upstream = self.last;
        self.sent_to = self.last;
        self.sent_synced_up_to = self.last;
    }

    /// Discards all entries that are not applied.
    pub fn discard_uncommitted(&mut self) {
        self.log.clear();
        self.last = self.committed;
        self.uncommitted_bytes = 0;
    }

    /// Restarts the replicated clock from the last timestamp.
    pub fn restart_clock(&mut self, now: u64) {
        self.clock_base = ClockBase {
            replicated_ms: self.last_at_ms,
            local_ms: now,
        };
    }

    /// The replicated time if this member is the head. It advances with the local clock and never decreases.
    pub fn clock_now(&self, now: u64) -> u64 {
        let passed_ms = now.saturating_sub(self.clock_base.local_ms);
        (self.clock_base.replicated_ms + passed_ms).max(self.last_at_ms)
    }

    /// The entries that may be on disk, regardless of their view.
    pub fn entries_on_disk(&self) -> RangeInclusive<u64> {
        self.disk_entries.first..=self.disk_entries.last
    }

    /// Adds entries that were found on disk, including those that are not part of the log.
    pub fn include_disk_entries(&mut self, found: &RangeInclusive<u64>) {
        self.disk_entries.first = self.disk_entries.first.min(*found.start());
        self.disk_entries.last = self.disk_entries.last.max(*found.end());
    }

    /// Appends the next entry to the log.
    pub fn append(&mut self, entry: Entry) {
        self.last = entry.seq;
        self.last_at_ms = entry.at_ms;
        self.disk_entries.last = self.disk_entries.last.max(entry.seq);
        self.uncommitted_bytes += entry.body.len();
        self.log.push_back(entry);
    }

    /// Moves the first entry of the log, which was applied, to the applied entries.
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

    /// Whether all entries applied after `seq` are still in memory.
    pub fn has_entries_after(&self, seq: u64) -> bool {
        let first = self.recently_applied.front();
        seq >= self.committed || first.is_some_and(|first| first.seq <= seq + 1)
    }

    /// The entries applied after `seq`, up to `max_bytes`, but at least one if there is any.
    pub fn applied_after(&self, seq: u64, max_bytes: usize) -> Vec<Entry> {
        let next = self
            .recently_applied
            .partition_point(|entry| entry.seq <= seq);
        take_up_to(self.recently_applied.range(next..), max_bytes)
    }

    /// The log entries not sent to the successor yet, up to `max_bytes`, but at least one if there is any.
    pub fn unsent(&self, max_bytes: usize) -> Vec<Entry> {
        let unsent = self
            .log
            .iter()
            .skip_while(|entry| entry.seq <= self.sent_to);
        take_up_to(unsent, max_bytes)
    }

    /// The total body size of the unapplied entries.
    pub fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }

    /// The number and total size of the entries applied since the snapshot on disk.
    pub fn applied_after_snapshot(&self) -> (u64, usize) {
        let entries = (self.committed + 1).saturating_sub(self.disk_entries.first);
        (entries, self.bytes_after_snapshot)
    }

    /// Records that a snapshot up to `committed` was written. Returns the entries on disk that it covers.
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

/// The first entries up to `max_bytes`. A first entry that exceeds the limit is returned alone.
fn take_up_to<'a>(entries: impl Iterator<Item = &'a Entry>, max_bytes: usize) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        let is_first = bytes == 0;
        bytes += size_of_entry(entry);
        is_first || bytes <= max_bytes
    };
    entries.take_while(fits).cloned().collect()
}
