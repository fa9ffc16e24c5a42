//! What stands on the disk, key by key, and how it is read back. `docs/formats/chain-store.md` is the page on it.

use crate::message::Entry;
use crate::view::{Ballot, View};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    Put { key: Vec<u8>, value: Vec<u8> },
    Delete { key: Vec<u8> },
}

/// A row of the snapshot is so long. The fewer of them, the fewer borders that move what stands behind a change.
const PIECE: usize = 1 << 20;
/// Decided views that are remembered. One that never came to work can only be passed over while it is.
pub const VIEWS: usize = 32;

/// What an acceptor has promised and accepted for one view number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    pub number: u64,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, View)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    pub seq: u64,
    pub at_ms: u64,
    pub pieces: u32,
    pub length: u64,
    pub sum: u64,
}

/// All that a disk held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    pub(crate) installed: u64,
    pub(crate) never: u64,
    pub(crate) vote: AcceptorState,
    pub(crate) views: Vec<View>,
    pub(crate) snapshot: Option<(SnapshotHeader, Vec<u8>)>,
    pub(crate) log: Vec<Entry>,
    /// Up to here the log is agreed on, and the ledger's time was at least that.
    pub(crate) agreed: (u64, u64),
    /// The places of all entries on the disk, of whichever view: they are dropped together.
    pub(crate) places: Option<(u64, u64)>,
    pub(crate) spoilt: bool,
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

fn keyed(kind: u8, number: u64) -> Vec<u8> {
    [&[kind][..], &number.to_be_bytes()].concat()
}

fn sum(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// The first write of each incarnation: that it succeeds is all that it is for.
pub fn put_begun(incarnation: u64) -> Record {
    Record::Put {
        key: vec![b'b'],
        value: bytes(&incarnation),
    }
}

pub fn put_installed(number: u64) -> Record {
    Record::Put {
        key: vec![b'i'],
        value: bytes(&number),
    }
}

pub fn put_never(number: u64) -> Record {
    Record::Put {
        key: vec![b'n'],
        value: bytes(&number),
    }
}

pub fn put_vote(vote: &AcceptorState) -> Record {
    Record::Put {
        key: vec![b'p'],
        value: bytes(vote),
    }
}

pub fn put_view(view: &View) -> Record {
    Record::Put {
        key: keyed(b'v', view.number),
        value: bytes(view),
    }
}

pub fn drop_view(number: u64) -> Record {
    Record::Delete {
        key: keyed(b'v', number),
    }
}

/// With the view that it came in: what another one left behind its snapshot is no part of this one's log.
pub fn put_entry(view: u64, entry: &Entry) -> Record {
    Record::Put {
        key: keyed(b'e', entry.seq),
        value: bytes(&(view, entry)),
    }
}

/// All entries up to here are agreed on, whichever view they came in.
pub fn put_agreed(seq: u64, at_ms: u64) -> Record {
    Record::Put {
        key: vec![b'c'],
        value: bytes(&(seq, at_ms)),
    }
}

pub fn drop_entry(seq: u64) -> Record {
    Record::Delete {
        key: keyed(b'e', seq),
    }
}

/// A snapshot in the place of the one before, which had so many pieces.
pub fn put_snapshot(
    seq: u64,
    at_ms: u64,
    snapshot: &[u8],
    pieces_before: u32,
) -> (Vec<Record>, u32) {
    let pieces: Vec<&[u8]> = snapshot.chunks(PIECE).collect();
    let length = snapshot.len() as u64;
    let head = SnapshotHeader {
        seq,
        at_ms,
        pieces: pieces.len() as u32,
        length,
        sum: sum(snapshot),
    };
    let put = |(n, piece): (usize, &&[u8])| Record::Put {
        key: keyed(b's', n as u64),
        value: piece.to_vec(),
    };
    let mut records: Vec<Record> = pieces.iter().enumerate().map(put).collect();
    records.extend((head.pieces..pieces_before).map(|n| Record::Delete {
        key: keyed(b's', n.into()),
    }));
    records.push(Record::Put {
        key: vec![b'S'],
        value: bytes(&head),
    });
    (records, head.pieces)
}

impl PersistedState {
    /// Rebuilds what was kept from the store's rows, in any order. Batches of the store are whole, and any of those
    /// that weren't synced may be missing.
    pub fn read(rows: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>) -> Self {
        fn value<T: DeserializeOwned>(bytes: &[u8], spoilt: &mut bool) -> Option<T> {
            let value = postcard::from_bytes(bytes).ok();
            *spoilt |= value.is_none();
            value
        }
        let (mut kept, mut pieces, mut head) =
            (Self::default(), BTreeMap::new(), None::<SnapshotHeader>);
        let mut log: Vec<(u64, Entry)> = Vec::new();
        let bad = &mut false;
        for (key, row) in rows {
            match key.first() {
                Some(b'c') => kept.agreed = value(&row, bad).unwrap_or_default(),
                Some(b'i') => kept.installed = value(&row, bad).unwrap_or(0),
                Some(b'n') => kept.never = value(&row, bad).unwrap_or(0),
                Some(b'p') => kept.vote = value(&row, bad).unwrap_or_default(),
                Some(b'v') => kept.views.extend(value::<View>(&row, bad)),
                Some(b'e') => log.extend(value(&row, bad)),
                Some(b'S') => head = value(&row, bad),
                Some(b's') => _ = pieces.insert(key, row),
                _ => {}
            }
        }
        kept.views.sort_by_key(|v| v.number);
        kept.places = log
            .iter()
            .map(|(_, e)| e.seq)
            .min()
            .zip(log.iter().map(|(_, e)| e.seq).max());
        let counts = |view: u64, seq: u64| view == kept.installed || seq <= kept.agreed.0;
        let log = log
            .into_iter()
            .filter(|(view, e)| counts(*view, e.seq))
            .map(|(_, e)| e);
        kept.log = log.collect();
        kept.log.sort_by_key(|e| e.seq);
        if let Some(head) = head {
            let whole: Vec<u8> = pieces
                .into_values()
                .take(head.pieces as usize)
                .flatten()
                .collect();
            if whole.len() as u64 == head.length && sum(&whole) == head.sum {
                let mut next = head.seq + 1;
                kept.log.retain(|e| {
                    let follows = e.seq == next;
                    next += u64::from(follows);
                    follows
                });
                if next <= kept.agreed.0 {
                    // A write before the last one is missing: none of them was synced, and nobody was told of them.
                    (kept.installed, kept.agreed.0) = (0, next - 1);
                }
                kept.snapshot = Some((head, whole));
            }
        }
        kept.spoilt = *bad || (kept.installed > 0 && kept.snapshot.is_none());
        kept
    }

    /// Whether it is all there. If not, the disk has lost what was synced, perhaps votes too: take it for empty and
    /// mint a new identity.
    pub fn sound(&self) -> bool {
        !self.spoilt
    }
}
