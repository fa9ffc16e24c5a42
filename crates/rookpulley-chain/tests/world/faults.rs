//! Injected catch-up faults, applied to messages and to writes.

use rookpulley_chain::{CatchUpData, Entry, Message, Record};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

type Route = (usize, usize);
type Chunks = Vec<Vec<u8>>;

/// State and entries transferred between controllers.
#[derive(Default)]
pub struct Transfers {
    /// Recent entries that each controller sent or received, committed or not, by controller ID.
    held: BTreeMap<u64, BTreeMap<u64, Entry>>,
    /// Snapshots in transfer by route: the sequence number and the chunks sent so far.
    current: BTreeMap<Route, (u64, Chunks)>,
    previous: BTreeMap<Route, Chunks>,
}

impl Transfers {
    /// Records the entries of a message that `who` sent or received.
    pub fn record(&mut self, who: u64, message: &Message) {
        if let Message::Append { entries, .. } | Message::Install { log: entries, .. } = message {
            let held = self.held.entry(who).or_default();
            held.extend(entries.iter().map(|entry| (entry.seq, entry.clone())));
            while held.len() > 64 {
                held.pop_first();
            }
        }
    }

    /// Appends the sender's uncommitted entries to a catch-up reply.
    pub fn append_uncommitted(&mut self, from: u64, message: &mut Message) {
        if let Message::CatchUpReply {
            data: CatchUpData::Updates { entries, .. },
            ..
        } = message
            && let Some(last) = entries.last().map(|e| e.seq)
            && let Some(held) = self.held.get(&from)
        {
            entries.extend((last + 1..).map_while(|seq| held.get(&seq).cloned()));
        }
    }

    /// Replaces all chunks but the last of a restarted snapshot transfer with those of the previous snapshot, and
    /// recomputes the checksum.
    pub fn mix_chunks(&mut self, route: Route, message: &mut Message) {
        let Message::CatchUpReply {
            data:
                CatchUpData::SnapshotChunk {
                    seq,
                    chunk,
                    chunks,
                    checksum,
                    bytes,
                    ..
                },
            ..
        } = message
        else {
            return;
        };
        let current = self.current.entry(route).or_default();
        if current.0 != *seq {
            self.previous.insert(route, std::mem::take(&mut current.1));
            current.0 = *seq;
        }
        let other = self
            .previous
            .get(&route)
            .and_then(|before| before.get(*chunk as usize));
        if let Some(other) =
            other.filter(|other| *chunk + 1 < *chunks && other.len() == bytes.len())
        {
            *bytes = other.clone();
        }
        current.1.truncate(*chunk as usize);
        current.1.push(bytes.clone());
        if current.1.len() == *chunks as usize {
            *checksum = XxHash64::oneshot(0, &current.1.concat());
        }
    }
}

/// Advances the stored commit position to the last entry of the write.
pub fn mark_all_committed(records: &mut [Record]) {
    let entry_seq = |record: &Record| match record {
        Record::Put { key, .. } if key[0] == b'e' => {
            key[1..].try_into().ok().map(u64::from_be_bytes)
        }
        _ => None,
    };
    let Some(last) = records.iter().filter_map(entry_seq).max() else {
        return;
    };
    for record in records {
        if let Record::Put { key, value } = record
            && key[..] == *b"c"
        {
            let (seq, at_ms): (u64, u64) = postcard::from_bytes(value).unwrap();
            *value = postcard::to_allocvec(&(seq.max(last), at_ms)).unwrap();
        }
    }
}

/// Whether the write stores catch-up data without installing a view.
pub fn is_catch_up_write(records: &[Record]) -> bool {
    let puts = |kind: u8| {
        records
            .iter()
            .any(|r| matches!(r, Record::Put { key, .. } if key[0] == kind))
    };
    let agreed =
        |r: &Record| matches!(r, Record::Put { key, value } if key[0] == b'e' && value[0] == 0);
    puts(b'c') && !puts(b'i') && (puts(b'S') || records.iter().any(agreed))
}
