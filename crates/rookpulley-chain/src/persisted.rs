//! Encoding and decoding of the chain's rows on disk.
//!
//! `docs/formats/chain-store.md` describes the rows. They are encoded with `postcard` by position: field names are not
//! part of the format.

use crate::message::Entry;
use crate::view::{Ballot, View};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use twox_hash::XxHash64;

/// A change to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Insert or replace the row with this key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The encoded row.
        value: Vec<u8>,
    },
    /// Remove the row with this key, if it exists.
    Delete {
        /// The key.
        key: Vec<u8>,
    },
}

/// Row kinds: the first byte of each key.
pub(crate) mod kind {
    /// The incarnation that started last.
    pub const INCARNATION: u8 = b'b';
    /// The commit position of the log.
    pub const COMMITTED: u8 = b'c';
    /// A log entry; the key contains its sequence number.
    pub const ENTRY: u8 = b'e';
    /// The number of the installed view.
    pub const INSTALLED: u8 = b'i';
    /// Views up to this number will not be installed.
    pub const ABANDONED: u8 = b'n';
    /// The acceptor's promise and accepted view.
    pub const ACCEPTOR: u8 = b'p';
    /// A snapshot chunk; the key contains its index.
    pub const SNAPSHOT_CHUNK: u8 = b's';
    /// The snapshot header.
    pub const SNAPSHOT_HEADER: u8 = b'S';
    /// A decided view; the key contains its number.
    pub const VIEW: u8 = b'v';
}

/// The size of a snapshot chunk. Large chunks keep the number of boundaries low across which bytes move when the state
/// grows or shrinks.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;
/// The number of decided views retained. A view that never became active can be skipped only while it is retained.
pub const MAX_RETAINED_VIEWS: usize = 32;

/// The acceptor's promise and accepted view for one view number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    pub number: u64,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, View)>,
}

/// The header of a snapshot on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// The last entry applied.
    pub seq: u64,
    /// The replicated time.
    pub at_ms: u64,
    pub chunks: u32,
    pub length: u64,
    /// XXH64 of all chunks concatenated, with seed 0.
    pub checksum: u64,
}

/// The commit position of the log, regardless of the view of its entries, and a lower bound of the replicated time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedUpTo {
    pub seq: u64,
    pub at_ms: u64,
}

/// The chain's data on a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    pub(crate) installed: u64,
    pub(crate) abandoned: u64,
    pub(crate) acceptor: AcceptorState,
    pub(crate) views: Vec<View>,
    pub(crate) snapshot: Option<(SnapshotHeader, Vec<u8>)>,
    pub(crate) log: Vec<Entry>,
    pub(crate) committed: CommittedUpTo,
    /// The range of entries on disk, regardless of their view.
    pub(crate) entry_range: Option<RangeInclusive<u64>>,
    pub(crate) corrupted: bool,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

fn numbered_key(kind: u8, number: u64) -> Vec<u8> {
    [&[kind][..], &number.to_be_bytes()].concat()
}

fn put<T: Serialize>(key: Vec<u8>, value: &T) -> Record {
    Record::Put {
        key,
        value: encode(value),
    }
}

pub(crate) fn checksum(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// The first write of each incarnation. It only verifies that the disk accepts writes.
pub fn put_incarnation(incarnation: u64) -> Record {
    put(vec![kind::INCARNATION], &incarnation)
}

pub fn put_installed(number: u64) -> Record {
    put(vec![kind::INSTALLED], &number)
}

pub fn put_abandoned(number: u64) -> Record {
    put(vec![kind::ABANDONED], &number)
}

pub fn put_acceptor(acceptor: &AcceptorState) -> Record {
    put(vec![kind::ACCEPTOR], acceptor)
}

pub fn put_view(view: &View) -> Record {
    put(numbered_key(kind::VIEW, view.number), view)
}

pub fn delete_view(number: u64) -> Record {
    Record::Delete {
        key: numbered_key(kind::VIEW, number),
    }
}

/// A log entry with the view in which it was appended. Uncommitted entries of other views are not part of the log.
pub fn put_entry(view: u64, entry: &Entry) -> Record {
    put(numbered_key(kind::ENTRY, entry.seq), &(view, entry))
}

pub fn delete_entry(seq: u64) -> Record {
    Record::Delete {
        key: numbered_key(kind::ENTRY, seq),
    }
}

/// Records that all entries up to `seq` are committed, regardless of their view.
pub fn put_committed(seq: u64, at_ms: u64) -> Record {
    put(vec![kind::COMMITTED], &CommittedUpTo { seq, at_ms })
}

/// The records that replace the previous snapshot, which had `chunks_before` chunks, and the number of new chunks.
pub fn put_snapshot(
    seq: u64,
    at_ms: u64,
    snapshot: &[u8],
    chunks_before: u32,
) -> (Vec<Record>, u32) {
    let chunks: Vec<&[u8]> = snapshot.chunks(SNAPSHOT_CHUNK_BYTES).collect();
    let header = SnapshotHeader {
        seq,
        at_ms,
        chunks: chunks.len() as u32,
        length: snapshot.len() as u64,
        checksum: checksum(snapshot),
    };
    let put_chunk = |(number, chunk): (u64, &&[u8])| Record::Put {
        key: numbered_key(kind::SNAPSHOT_CHUNK, number),
        value: chunk.to_vec(),
    };
    let delete_chunk = |number: u32| Record::Delete {
        key: numbered_key(kind::SNAPSHOT_CHUNK, number.into()),
    };
    let mut records: Vec<Record> = (0..).zip(&chunks).map(put_chunk).collect();
    records.extend((header.chunks..chunks_before).map(delete_chunk));
    records.push(put(vec![kind::SNAPSHOT_HEADER], &header));
    (records, header.chunks)
}

/// Decodes rows and records whether any of them failed to decode.
#[derive(Default)]
struct RowReader {
    corrupted: bool,
}

impl RowReader {
    fn decode<T: DeserializeOwned>(&mut self, row: &[u8]) -> Option<T> {
        let value = postcard::from_bytes(row).ok();
        self.corrupted |= value.is_none();
        value
    }
}

impl PersistedState {
    /// Reads the rows of a store, in any order. Each batch is complete or absent, and unsynced batches may be missing.
    pub fn read(rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>) -> Self {
        let mut state = Self::default();
        let mut reader = RowReader::default();
        let mut chunks = BTreeMap::new();
        let mut header: Option<SnapshotHeader> = None;
        let mut entries: Vec<(u64, Entry)> = Vec::new();
        for (key, row) in rows {
            match key.first().copied() {
                Some(kind::COMMITTED) => state.committed = reader.decode(&row).unwrap_or_default(),
                Some(kind::INSTALLED) => state.installed = reader.decode(&row).unwrap_or(0),
                Some(kind::ABANDONED) => state.abandoned = reader.decode(&row).unwrap_or(0),
                Some(kind::ACCEPTOR) => state.acceptor = reader.decode(&row).unwrap_or_default(),
                Some(kind::VIEW) => state.views.extend(reader.decode::<View>(&row)),
                Some(kind::ENTRY) => entries.extend(reader.decode::<(u64, Entry)>(&row)),
                Some(kind::SNAPSHOT_HEADER) => header = reader.decode(&row),
                Some(kind::SNAPSHOT_CHUNK) => _ = chunks.insert(key, row),
                _ => {}
            }
        }
        state.views.sort_by_key(|view| view.number);
        state.load_entries(entries);
        if let Some(header) = header {
            let chunks = chunks.into_values().take(header.chunks as usize);
            state.load_snapshot(header, chunks.flatten().collect());
        }
        state.corrupted = reader.corrupted || (state.installed > 0 && state.snapshot.is_none());
        state
    }

    /// Loads the log: the entries of the installed view and all committed ones.
    fn load_entries(&mut self, entries: Vec<(u64, Entry)>) {
        let positions = entries.iter().map(|(_, entry)| entry.seq);
        let first = positions.clone().min();
        self.entry_range = first.zip(positions.max()).map(|(first, last)| first..=last);
        let is_part_of_log =
            |view: u64, seq: u64| view == self.installed || seq <= self.committed.seq;
        let mut log: Vec<Entry> = entries
            .into_iter()
            .filter(|(view, entry)| is_part_of_log(*view, entry.seq))
            .map(|(_, entry)| entry)
            .collect();
        log.sort_by_key(|entry| entry.seq);
        self.log = log;
    }

    /// Loads the snapshot if it is intact, and drops entries that do not follow it without a gap.
    fn load_snapshot(&mut self, header: SnapshotHeader, bytes: Vec<u8>) {
        if bytes.len() as u64 != header.length || checksum(&bytes) != header.checksum {
            return;
        }
        let mut next = header.seq + 1;
        self.log.retain(|entry| {
            let follows = entry.seq == next;
            next += u64::from(follows);
            follows
        });
        if next <= self.committed.seq {
            // An earlier batch is missing, so it and all later ones were unsynced and never acknowledged.
            self.installed = 0;
            self.committed.seq = next - 1;
        }
        self.snapshot = Some((header, bytes));
    }

    /// Whether the store is intact. If not, the disk has lost synced data, possibly promises of the acceptor: the store
    /// must be treated as empty and get a new identity.
    pub fn is_sound(&self) -> bool {
        !self.corrupted
    }
}
