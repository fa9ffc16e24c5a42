//! Rows of any length, kept as short ones, and what several of them hold kept once.
//!
//! `sled` writes a page whole, and a page holds up to seventeen rows. One that grows over a quarter of a segment
//! (128 KiB) goes to a file of its own, which nobody syncs: after a loss of power the store names a file that isn't
//! there, and can't be read any more. So no row is long. What is goes into chunks, in the same batch, and the row is a
//! list of them. A chunk ends where its own bytes say so, wherever they stand: a configuration that differs in a line
//! from the one before, and a state that holds it, name the chunks that are there, and only what differs is written.

use rookpulley_chain::Record;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub(crate) type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// Seventeen of these and their keys are far below what makes a page too long.
const PIECE: usize = 4 << 10;
/// A chunk has so many bytes at least, and a KiB more on average, up to a piece. No byte of the least is looked at but the
/// last ones.
const LEAST: usize = 2 << 10;
const MEAN_BITS: u32 = 10;
/// No store has so many chunks.
const MOST: u64 = 1 << 22;
/// Begins the key of a list of chunks, before the key of its row; of a chunk, before its number; of what follows the
/// first piece of a long list, or of a long row that an older build wrote. No other key begins so.
const LIST: u8 = 0xfd;
const CHUNK: u8 = 0xfe;
const MORE: u8 = 0xff;

/// Stands beside the first list. A build that knows no lists takes it for a view that it can't read, and the disk for
/// spoilt: it must not go on without the rows that it doesn't see.
const MARK: &[u8] = b"v: rows by chunks";

/// Chunks by their numbers: how many from which on.
type List = Vec<(u64, u32)>;

fn list_of(key: &[u8]) -> Vec<u8> {
    [&[LIST], key].concat()
}

fn chunk(number: u64) -> Vec<u8> {
    [&[CHUNK][..], &number.to_be_bytes()].concat()
}

fn more(key: &[u8], piece: u32) -> Vec<u8> {
    [&[MORE], key, &piece.to_be_bytes()[..]].concat()
}

fn numbers(list: &[(u64, u32)]) -> impl Iterator<Item = u64> {
    list.iter()
        .flat_map(|(from, count)| *from..from.saturating_add(u64::from(*count)))
}

/// Drawn by the mixer of SplitMix64: with which weight a byte counts for the end of a chunk.
const WEIGHTS: [u64; 256] = {
    let (mut all, mut at) = ([0; 256], 0);
    while at < 256 {
        let seed = (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        all[at] = mixed ^ (mixed >> 31);
        at += 1;
    }
    all
};

/// Where the first chunk ends: by the bytes before, at most 64, so that what was put in or taken out further ahead moves
/// few of the ends behind it.
fn end(bytes: &[u8]) -> usize {
    let bytes = &bytes[..bytes.len().min(PIECE)];
    let (Some(before), Some(behind)) = (bytes.get(LEAST - 64..LEAST), bytes.get(LEAST..)) else {
        return bytes.len();
    };
    let add = |sum: u64, byte: &u8| (sum << 1).wrapping_add(WEIGHTS[usize::from(*byte)]);
    let mut sum = before.iter().fold(0, add);
    for (at, byte) in behind.iter().enumerate() {
        if sum < 1 << (64 - MEAN_BITS) {
            return LEAST + at;
        }
        sum = add(sum, byte);
    }
    bytes.len()
}

/// What chunks there are, and how often they are named.
#[derive(Default)]
struct Chunks {
    /// By the digest of what they hold.
    numbers: HashMap<[u8; 32], u64>,
    named: HashMap<u64, (u32, [u8; 32])>,
    /// Numbers below `next` that nothing has. A row that is written over costs less than one that goes and one that comes.
    free: BTreeSet<u64>,
    next: u64,
    /// Bytes of chunks that were written since they were last asked for.
    written: usize,
}

/// The chunks that a value is made of, with their digests.
fn cut(value: &[u8]) -> Vec<([u8; 32], &[u8])> {
    let mut rest = value;
    let first = || {
        let (bytes, behind) = rest.split_at(end(rest));
        rest = behind;
        (!bytes.is_empty()).then(|| (*blake3::hash(bytes).as_bytes(), bytes))
    };
    std::iter::from_fn(first).collect()
}

impl Chunks {
    /// Names those that are there.
    fn hold(&mut self, chunks: &[([u8; 32], &[u8])]) -> List {
        let held: Vec<_> = chunks
            .iter()
            .filter_map(|(d, _)| Some((*self.numbers.get(d)?, *d)))
            .collect();
        held.iter()
            .for_each(|(number, digest)| self.name(*number, *digest));
        held.into_iter().map(|(number, _)| (number, 1)).collect()
    }

    /// Names all of them, and writes what isn't there yet.
    fn take(&mut self, chunks: &[([u8; 32], &[u8])], batch: &mut sled::Batch) -> List {
        let mut list = List::new();
        for (digest, bytes) in chunks {
            let number = self.numbers.get(digest).copied().unwrap_or_else(|| {
                let number = self.free.first().copied().unwrap_or(self.next);
                batch.insert(chunk(number), *bytes);
                self.written += bytes.len();
                number
            });
            self.name(number, *digest);
            match list.last_mut() {
                Some((from, count)) if *from + u64::from(*count) == number => *count += 1,
                _ => list.push((number, 1)),
            }
        }
        list
    }

    fn name(&mut self, number: u64, digest: [u8; 32]) {
        self.numbers.insert(digest, number);
        self.named.entry(number).or_insert((0, digest)).0 += 1;
        self.free.remove(&number);
        self.next = self.next.max(number.saturating_add(1));
    }

    /// What nothing names any more goes.
    fn let_go(&mut self, list: &[(u64, u32)], batch: &mut sled::Batch) {
        for number in numbers(list) {
            let Some((named, digest)) = self.named.get_mut(&number) else {
                continue;
            };
            *named -= 1;
            if *named == 0 {
                self.numbers.remove(digest);
                self.named.remove(&number);
                self.free.insert(number);
                batch.remove(chunk(number));
            }
        }
    }
}

/// What a tree holds of long rows.
#[derive(Default)]
pub(crate) struct Long {
    /// How many further pieces there are, by the key of the first.
    pieces: BTreeMap<Vec<u8>, u32>,
    lists: BTreeMap<Vec<u8>, List>,
    chunks: Chunks,
    marked: bool,
}

impl Long {
    /// Puts a record into a batch, with what it needs beside its row, and takes away what the one before had.
    pub fn write(&mut self, record: Record, batch: &mut sled::Batch) {
        let (key, value) = match record {
            Record::Put { key, value } => (key, Some(value)),
            Record::Delete { key } => (key, None),
        };
        let chunks = value
            .as_deref()
            .filter(|value| value.len() > PIECE)
            .map(cut);
        let before = self.lists.remove(&key);
        // What both name stays; the rest gives way before its numbers are taken again.
        let held = chunks.as_ref().map(|chunks| self.chunks.hold(chunks));
        before
            .iter()
            .for_each(|list| self.chunks.let_go(list, batch));
        let list = chunks.map(|chunks| self.chunks.take(&chunks, batch));
        held.iter().for_each(|list| self.chunks.let_go(list, batch));
        match list {
            Some(list) => {
                if !std::mem::replace(&mut self.marked, true) {
                    batch.insert(MARK, &[]);
                }
                if before.is_none() {
                    self.put(key.clone(), None, batch);
                }
                self.put(list_of(&key), postcard::to_allocvec(&list).ok(), batch);
                self.lists.insert(key, list);
            }
            None => {
                if before.is_some() {
                    self.put(list_of(&key), None, batch);
                }
                self.put(key, value, batch);
            }
        }
    }

    /// Bytes of chunks that were written since this was last asked.
    pub fn written(&mut self) -> usize {
        std::mem::take(&mut self.chunks.written)
    }

    /// Piece by piece.
    fn put(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, batch: &mut sled::Batch) {
        let pieces = value
            .as_ref()
            .map_or(0, |v| v.len().div_ceil(PIECE).saturating_sub(1) as u32);
        let before = if pieces > 0 {
            self.pieces.insert(key.clone(), pieces)
        } else {
            self.pieces.remove(&key)
        };
        (pieces..before.unwrap_or(0)).for_each(|piece| batch.remove(more(&key, piece)));
        match value {
            Some(value) if pieces > 0 => {
                let mut all = value.chunks(PIECE);
                batch.insert(key.as_slice(), all.next().unwrap_or_default());
                (0..)
                    .zip(all)
                    .for_each(|(piece, bytes)| batch.insert(more(&key, piece), bytes));
            }
            Some(value) => batch.insert(key, value),
            None => batch.remove(key),
        }
    }

    /// The rows of a tree as they were before they were cut.
    pub fn read(tree: &sled::Tree) -> Result<(Rows, Self), sled::Error> {
        let (mut rows, mut long) = (BTreeMap::<Vec<u8>, Vec<u8>>::new(), Self::default());
        let mut chunks = HashMap::new();
        // All first pieces come before all others, and those of one row in their order.
        for row in tree.iter() {
            let (key, value) = row?;
            if let Some(number) = key
                .strip_prefix(&[CHUNK])
                .and_then(|rest| rest.try_into().ok())
            {
                chunks.insert(
                    u64::from_be_bytes(number),
                    (*blake3::hash(&value).as_bytes(), value),
                );
                continue;
            }
            match key
                .strip_prefix(&[MORE])
                .and_then(|rest| rest.split_last_chunk::<4>())
            {
                Some((first, _)) => {
                    *long.pieces.entry(first.to_vec()).or_default() += 1;
                    rows.entry(first.to_vec())
                        .or_default()
                        .extend_from_slice(&value);
                }
                None => _ = rows.insert(key.to_vec(), value.to_vec()),
            }
        }
        long.marked = rows.remove(MARK).is_some();
        let torn = || sled::Error::ReportableBug("a long row is torn".into());
        for (key, list) in rows.split_off(&vec![LIST]) {
            let list: List = postcard::from_bytes(&list).map_err(|_| torn())?;
            let mut value = Vec::new();
            for number in numbers(&list) {
                let (digest, bytes) = chunks.get(&number).ok_or_else(torn)?;
                value.extend_from_slice(bytes);
                long.chunks.name(number, *digest);
            }
            rows.insert(key[1..].to_vec(), value);
            long.lists.insert(key[1..].to_vec(), list);
        }
        let named = &long.chunks.named;
        // The lowest that is free is taken, so none is above the most chunks that there ever were.
        if long.chunks.next > MOST {
            return Err(torn());
        }
        long.chunks.free = (0..long.chunks.next)
            .filter(|number| !named.contains_key(number))
            .collect();
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
            long.write(
                Record::Put {
                    key: key.to_vec(),
                    value: value.clone(),
                },
                &mut batch,
            );
            db.apply_batch(batch).unwrap();
            value
        };
        put(b"e1", 20 * PIECE);
        put(b"e10", 3 * PIECE + 1);
        let (short, shrunk) = (put(b"e2", PIECE), put(b"e1", 2 * PIECE));
        let long_one = put(b"e3", 40 * PIECE + 7);
        let (rows, mut long) = Long::read(&db).unwrap();
        let find = |key: &[u8]| {
            rows.iter()
                .find(|(k, _)| k == key)
                .map(|(_, value)| value.clone())
        };
        assert_eq!(rows.len(), 4);
        assert_eq!(
            (find(b"e1"), find(b"e2"), find(b"e3")),
            (Some(shrunk), Some(short), Some(long_one))
        );
        let mut batch = sled::Batch::default();
        for (key, _) in rows {
            long.write(Record::Delete { key }, &mut batch);
        }
        db.apply_batch(batch).unwrap();
        assert!(db.iter().keys().all(|key| key.unwrap() == MARK));
    }

    fn keys(db: &sled::Db, kind: u8) -> usize {
        db.scan_prefix([kind]).count()
    }

    /// Bytes that repeat themselves nowhere.
    fn drawn(length: usize, seed: u64) -> Vec<u8> {
        let words = (0..length.div_ceil(8) as u64)
            .map(|n| (n + seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 3);
        words
            .flat_map(|word| {
                (word ^ (word >> 31))
                    .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                    .to_le_bytes()
            })
            .take(length)
            .collect()
    }

    #[test]
    fn a_change_in_a_long_row_and_its_second_copy_write_little() {
        let (db, mut long) = (
            sled::Config::new().temporary(true).open().unwrap(),
            Long::default(),
        );
        let mut put = |key: &[u8], value: &[u8]| {
            let mut batch = sled::Batch::default();
            long.write(
                Record::Put {
                    key: key.to_vec(),
                    value: value.to_vec(),
                },
                &mut batch,
            );
            db.apply_batch(batch).unwrap();
            long.written()
        };
        let mut value = drawn(1 << 20, 7);
        assert_eq!(put(b"e1", &value), 1 << 20);
        value.splice(0..10, *b"another number");
        value.insert(600_000, 7);
        assert!(put(b"e2", &value) <= 8 * PIECE);
        // As a part of the state: with other bytes around it.
        assert!(put(b"s1", &[b"before", value.as_slice(), b"behind"].concat()) <= 4 * PIECE);
        let bytes: usize = db.iter().map(|row| row.unwrap().1.len()).sum();
        assert!(bytes < (1 << 20) + 20 * PIECE, "{bytes} bytes");
    }

    /// Rows that are put, changed and dropped, read back now and then: they are what was put, and nothing else is kept.
    #[test]
    fn rows_that_share_what_they_hold_come_back_as_they_were_put() {
        arbtest::arbtest(|u| {
            let (db, mut long) = (
                sled::Config::new().temporary(true).open().unwrap(),
                Long::default(),
            );
            let (mut rows, mut value) = (BTreeMap::new(), drawn(40 << 10, 7));
            for _ in 0..u.int_in_range(1..=24)? {
                let mut batch = sled::Batch::default();
                for _ in 0..u.int_in_range(1..=3)? {
                    let key = vec![b'e', u.int_in_range(0..=4)?];
                    let at = u.choose_index(value.len())?;
                    let record = match u.int_in_range(0..=4)? {
                        0 => Record::Delete { key },
                        1 => Record::Put {
                            key,
                            value: value[..u.choose_index(2 * PIECE)?.min(value.len())].to_vec(),
                        },
                        2 => {
                            value.splice(
                                at..(at + 100).min(value.len()),
                                drawn(at % 300 + 1, u.arbitrary()?),
                            );
                            Record::Put {
                                key,
                                value: value.clone(),
                            }
                        }
                        3 => Record::Put {
                            key,
                            value: [&value[at..], &value[..at]].concat(),
                        },
                        _ => Record::Put {
                            key,
                            value: value.clone(),
                        },
                    };
                    match record.clone() {
                        Record::Put { key, value } => _ = rows.insert(key, value),
                        Record::Delete { key } => _ = rows.remove(&key),
                    }
                    long.write(record, &mut batch);
                }
                db.apply_batch(batch).unwrap();
                if u.ratio(1, 3)? {
                    let (read, again) = Long::read(&db).unwrap();
                    assert_eq!(read, rows.clone().into_iter().collect::<Rows>());
                    assert_eq!(
                        (keys(&db, LIST), keys(&db, CHUNK)),
                        (again.lists.len(), again.chunks.named.len())
                    );
                    long = again;
                }
            }
            for key in rows.into_keys() {
                let mut batch = sled::Batch::default();
                long.write(Record::Delete { key }, &mut batch);
                db.apply_batch(batch).unwrap();
            }
            assert!(db.iter().keys().all(|key| key.unwrap() == MARK));
            Ok(())
        })
        .budget_ms(1_500);
    }

    #[test]
    fn what_an_older_build_wrote_is_read_and_taken_away_and_a_list_without_its_chunk_is_not() {
        let (db, mut older) = (
            sled::Config::new().temporary(true).open().unwrap(),
            Long::default(),
        );
        let value = drawn(9 * PIECE, 7);
        let mut batch = sled::Batch::default();
        older.put(b"e1".to_vec(), Some(value.clone()), &mut batch);
        older.put(b"e2".to_vec(), Some(value.clone()), &mut batch);
        db.apply_batch(batch).unwrap();
        assert_eq!(keys(&db, MORE), 16);
        let (rows, mut long) = Long::read(&db).unwrap();
        assert_eq!(
            rows,
            vec![
                (b"e1".to_vec(), value.clone()),
                (b"e2".to_vec(), value.clone())
            ]
        );
        let mut batch = sled::Batch::default();
        long.write(
            Record::Put {
                key: b"e1".to_vec(),
                value: value.clone(),
            },
            &mut batch,
        );
        long.write(
            Record::Delete {
                key: b"e2".to_vec(),
            },
            &mut batch,
        );
        db.apply_batch(batch).unwrap();
        assert_eq!(keys(&db, MORE), 0);
        let seen_by_older = db
            .iter()
            .map(|row| row.unwrap())
            .map(|(key, value)| (key.to_vec(), value.to_vec()));
        assert!(
            !rookpulley_chain::PersistedState::read(seen_by_older.filter(|(key, _)| key != b"e1"))
                .is_sound()
        );
        assert_eq!(Long::read(&db).unwrap().0, vec![(b"e1".to_vec(), value)]);
        db.remove(chunk(3)).unwrap();
        assert!(Long::read(&db).is_err());
    }
}
