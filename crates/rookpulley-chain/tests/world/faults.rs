//! Faults of a filling, put in on purpose: into what is said and into what is written.

use rookpulley_chain::{CatchUpData, Entry, Message, Record};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

type Way = (usize, usize);
type Pieces = Vec<Vec<u8>>;

/// What went from controller to controller.
#[derive(Default)]
pub struct Handed {
    /// By its identity: what a controller has said that it holds, whether that is agreed on or not.
    held: BTreeMap<u64, BTreeMap<u64, Entry>>,
    /// The states that are handed out, by who asked whom: up to which update, and what was handed out as its pieces.
    now: BTreeMap<Way, (u64, Pieces)>,
    before: BTreeMap<Way, Pieces>,
}

impl Handed {
    /// Whoever says or hears this holds what is in it.
    pub fn holds(&mut self, who: u64, message: &Message) {
        if let Message::Append { entries, .. } | Message::Install { log: entries, .. } = message {
            let held = self.held.entry(who).or_default();
            held.extend(entries.iter().map(|entry| (entry.seq, entry.clone())));
            while held.len() > 64 {
                held.pop_first();
            }
        }
    }

    /// Behind the updates that are agreed on goes what else the sender holds.
    pub fn beyond(&mut self, from: u64, message: &mut Message) {
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

    /// Where a state is asked for anew because the one before can't be followed any more, its last piece is joined to
    /// those of that one.
    pub fn mix(&mut self, way: Way, message: &mut Message) {
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
        let now = self.now.entry(way).or_default();
        if now.0 != *seq {
            self.before.insert(way, std::mem::take(&mut now.1));
            now.0 = *seq;
        }
        let other = self
            .before
            .get(&way)
            .and_then(|before| before.get(*chunk as usize));
        if let Some(other) =
            other.filter(|other| *chunk + 1 < *chunks && other.len() == bytes.len())
        {
            *bytes = other.clone();
        }
        now.1.truncate(*chunk as usize);
        now.1.push(bytes.clone());
        if now.1.len() == *chunks as usize {
            *checksum = XxHash64::oneshot(0, &now.1.concat());
        }
    }
}

/// All that a write holds counts as agreed on.
pub fn agree_ahead(records: &mut [Record]) {
    let place = |record: &Record| match record {
        Record::Put { key, .. } if key[0] == b'e' => {
            key[1..].try_into().ok().map(u64::from_be_bytes)
        }
        _ => None,
    };
    let Some(last) = records.iter().filter_map(place).max() else {
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

/// What another controller was filled with: without the view that follows it.
pub fn is_a_part(records: &[Record]) -> bool {
    let puts = |kind: u8| {
        records
            .iter()
            .any(|r| matches!(r, Record::Put { key, .. } if key[0] == kind))
    };
    let agreed =
        |r: &Record| matches!(r, Record::Put { key, value } if key[0] == b'e' && value[0] == 0);
    puts(b'c') && !puts(b'i') && (puts(b'S') || records.iter().any(agreed))
}
