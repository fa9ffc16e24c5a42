//! Rows of any length, kept as short ones.
//!
//! `sled` writes a page whole, and a page holds up to seventeen rows. One that grows over a quarter of a segment
//! (128 KiB) goes to a file of its own, which nobody syncs: after a loss of power the store names a file that isn't
//! there, and can't be read any more. So no row is long: what is, goes on under further keys, in the same batch.

use rookpulley_chain::Record;
use std::collections::BTreeMap;

pub(crate) type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// Seventeen of these and their keys are far below what makes a page too long.
const PIECE: usize = 4 << 10;
/// Begins the key of what follows a first piece; no other key does.
const MORE: u8 = 0xff;

fn more(key: &[u8], piece: u32) -> Vec<u8> {
    [&[MORE], key, &piece.to_be_bytes()[..]].concat()
}

/// How many further pieces there are, by the key of the first.
#[derive(Default)]
pub(crate) struct Long(BTreeMap<Vec<u8>, u32>);

impl Long {
    /// Puts a record into a batch, piece by piece, and takes away what the one before had beyond.
    pub fn write(&mut self, record: Record, batch: &mut sled::Batch) {
        let (key, pieces) = match &record {
            Record::Put { key, value } => (key, value.len().div_ceil(PIECE).saturating_sub(1) as u32),
            Record::Delete { key } => (key, 0),
        };
        let before = if pieces > 0 { self.0.insert(key.clone(), pieces) } else { self.0.remove(key) };
        (pieces..before.unwrap_or(0)).for_each(|piece| batch.remove(more(key, piece)));
        match record {
            Record::Put { key, value } if pieces > 0 => {
                let mut all = value.chunks(PIECE);
                batch.insert(key.as_slice(), all.next().unwrap_or_default());
                (0..).zip(all).for_each(|(piece, bytes)| batch.insert(more(&key, piece), bytes));
            }
            Record::Put { key, value } => batch.insert(key, value),
            Record::Delete { key } => batch.remove(key),
        }
    }

    /// The rows of a tree as they were before they were cut.
    pub fn read(tree: &sled::Tree) -> Result<(Rows, Self), sled::Error> {
        let (mut rows, mut long) = (BTreeMap::<Vec<u8>, Vec<u8>>::new(), Self::default());
        // All first pieces come before all others, and those of one row in their order.
        for row in tree.iter() {
            let (key, value) = row?;
            match key.strip_prefix(&[MORE]).and_then(|rest| rest.split_last_chunk::<4>()) {
                Some((first, _)) => {
                    *long.0.entry(first.to_vec()).or_default() += 1;
                    rows.entry(first.to_vec()).or_default().extend_from_slice(&value);
                }
                None => _ = rows.insert(key.to_vec(), value.to_vec()),
            }
        }
        Ok((rows.into_iter().collect(), long))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_rows_come_back_whole_and_leave_nothing_behind_when_they_shrink_or_go() {
        let db = sled::Config::new().temporary(true).open().unwrap();
        let mut long = Long::default();
        let mut put = |key: &[u8], length: usize| {
            let mut batch = sled::Batch::default();
            let value: Vec<u8> = (0..length).map(|n| (n / PIECE) as u8 ^ n as u8).collect();
            long.write(Record::Put { key: key.to_vec(), value: value.clone() }, &mut batch);
            db.apply_batch(batch).unwrap();
            value
        };
        put(b"e1", 20 * PIECE);
        put(b"e10", 3 * PIECE + 1);
        let (short, shrunk) = (put(b"e2", PIECE), put(b"e1", 2 * PIECE));
        let long_one = put(b"e3", 40 * PIECE + 7);
        let (rows, mut long) = Long::read(&db).unwrap();
        let find = |key: &[u8]| rows.iter().find(|(k, _)| k == key).map(|(_, value)| value.clone());
        assert_eq!(rows.len(), 4);
        assert_eq!((find(b"e1"), find(b"e2"), find(b"e3")), (Some(shrunk), Some(short), Some(long_one)));
        let mut batch = sled::Batch::default();
        for (key, _) in rows {
            long.write(Record::Delete { key }, &mut batch);
        }
        db.apply_batch(batch).unwrap();
        assert!(db.is_empty());
    }
}
