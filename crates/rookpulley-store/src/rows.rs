//! Rows of any length, kept as short ones.
//!
//! `sled` writes a page whole, and a page holds up to seventeen rows. One that grows over a quarter of a segment
//! (128 KiB) goes to a file of its own, which nobody syncs: after a loss of power the store names a file that isn't
//! there, and can't be read any more. So no row is long. A long value goes into chunks, in the same batch, and the row
//! is a list of them.

use crate::chunks::{
    CHUNK_PREFIX, ChunkList, ChunkStore, Digest, MAX_CHUNK_BYTES, cut, digest_of, numbers,
};
use crate::database::corrupted;
use rookpulley_chain::Record;
use std::collections::{BTreeMap, HashMap};

/// Keys with their values, as those above the store see them.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// A longer value is cut. Seventeen rows of this length and their keys are far below what makes a page too long.
const MAX_ROW_BYTES: usize = MAX_CHUNK_BYTES;
/// Begins the key of a list of chunks, before the key of its row.
const LIST_PREFIX: u8 = 0xfd;
/// Begins the key of what follows the first piece of a long list, or of a long row that an older build wrote: then come
/// the key and the number of the piece. No other key begins with this or the other two.
const PIECE_PREFIX: u8 = 0xff;

/// Stands beside the first list. A build that knows no lists takes it for a view that it can't read, and the store for
/// corrupted: it must not go on without the rows that it doesn't see.
const LISTS_MARKER: &[u8] = b"v: rows by chunks";

fn list_key(key: &[u8]) -> Vec<u8> {
    [&[LIST_PREFIX], key].concat()
}

fn piece_key(key: &[u8], piece: u32) -> Vec<u8> {
    [&[PIECE_PREFIX], key, &piece.to_be_bytes()[..]].concat()
}

/// Writes the rows of one tree, and knows what stands there beside them.
#[derive(Default)]
pub struct RowWriter {
    /// How many further pieces there are, by the key of the first.
    pieces: BTreeMap<Vec<u8>, u32>,
    lists: BTreeMap<Vec<u8>, ChunkList>,
    chunks: ChunkStore,
    has_marker: bool,
}

impl RowWriter {
    /// Puts a record into a batch, with what it needs beside its row, and takes away what the one before had.
    pub fn write(&mut self, record: Record, batch: &mut sled::Batch) {
        let (key, value) = match record {
            Record::Put { key, value } => (key, Some(value)),
            Record::Delete { key } => (key, None),
        };
        let is_long = |value: &&[u8]| value.len() > MAX_ROW_BYTES;
        let chunks = value.as_deref().filter(is_long).map(cut);
        let before = self.lists.remove(&key);
        // Chunks that both have stay; the others go before their numbers are taken again.
        let held = chunks.as_ref().map(|chunks| self.chunks.hold(chunks));
        if let Some(list) = &before {
            self.chunks.release(list, batch);
        }
        let list = chunks.map(|chunks| self.chunks.add(&chunks, batch));
        if let Some(list) = &held {
            self.chunks.release(list, batch);
        }
        let had_list = before.is_some();
        match list {
            Some(list) => {
                self.put_marker(batch);
                if !had_list {
                    self.put(key.clone(), None, batch);
                }
                let encoded = postcard::to_allocvec(&list).ok();
                self.put(list_key(&key), encoded, batch);
                self.lists.insert(key, list);
            }
            None => {
                if had_list {
                    self.put(list_key(&key), None, batch);
                }
                self.put(key, value, batch);
            }
        }
    }

    fn put_marker(&mut self, batch: &mut sled::Batch) {
        if !self.has_marker {
            self.has_marker = true;
            batch.insert(LISTS_MARKER, &[]);
        }
    }

    /// Bytes of chunks that were written since this was last asked.
    pub fn take_written_bytes(&mut self) -> usize {
        self.chunks.take_written_bytes()
    }

    /// Puts a row piece by piece, and removes the pieces that the one before had beyond.
    fn put(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, batch: &mut sled::Batch) {
        let length = value.as_ref().map_or(0, Vec::len);
        let further = length.div_ceil(MAX_ROW_BYTES).saturating_sub(1) as u32;
        let before = if further > 0 {
            self.pieces.insert(key.clone(), further)
        } else {
            self.pieces.remove(&key)
        };
        for piece in further..before.unwrap_or(0) {
            batch.remove(piece_key(&key, piece));
        }
        match value {
            Some(value) if further > 0 => {
                let mut pieces = value.chunks(MAX_ROW_BYTES);
                batch.insert(key.as_slice(), pieces.next().unwrap_or_default());
                for (piece, bytes) in (0..).zip(pieces) {
                    batch.insert(piece_key(&key, piece), bytes);
                }
            }
            Some(value) => batch.insert(key, value),
            None => batch.remove(key),
        }
    }

    /// Reads the rows of a tree as they were before they were cut, and what stands there beside them.
    pub fn read(tree: &sled::Tree) -> Result<(Rows, Self), sled::Error> {
        let torn = || corrupted("a long row is torn");
        let mut writer = Self::default();
        let mut tree_rows = TreeRows::default();
        for row in tree.iter() {
            let (key, value) = row?;
            tree_rows.take(&key, value, &mut writer.pieces);
        }
        let TreeRows { mut rows, chunks } = tree_rows;
        writer.has_marker = rows.remove(LISTS_MARKER).is_some();
        for (key, list) in rows.split_off(&vec![LIST_PREFIX]) {
            let list: ChunkList = postcard::from_bytes(&list).map_err(|_| torn())?;
            let mut value = Vec::new();
            for number in numbers(&list) {
                let (digest, bytes) = chunks.get(&number).ok_or_else(torn)?;
                value.extend_from_slice(bytes);
                writer.chunks.add_reference(number, *digest);
            }
            let key = key[1..].to_vec();
            rows.insert(key.clone(), value);
            writer.lists.insert(key, list);
        }
        if !writer.chunks.find_free() {
            return Err(torn());
        }
        Ok((rows.into_iter().collect(), writer))
    }
}

/// What a tree holds, sorted by kind.
#[derive(Default)]
struct TreeRows {
    rows: BTreeMap<Vec<u8>, Vec<u8>>,
    chunks: HashMap<u64, (Digest, sled::IVec)>,
}

impl TreeRows {
    /// Rows come in the order of their keys: all first pieces before all others, and those of one row in their order.
    fn take(&mut self, key: &[u8], value: sled::IVec, pieces: &mut BTreeMap<Vec<u8>, u32>) {
        let chunk = key.strip_prefix(&[CHUNK_PREFIX]);
        if let Some(number) = chunk.and_then(|rest| rest.try_into().ok()) {
            let digest = digest_of(&value);
            self.chunks
                .insert(u64::from_be_bytes(number), (digest, value));
            return;
        }
        let piece = key.strip_prefix(&[PIECE_PREFIX]);
        match piece.and_then(|rest| rest.split_last_chunk::<4>()) {
            Some((first, _)) => {
                *pieces.entry(first.to_vec()).or_default() += 1;
                let row = self.rows.entry(first.to_vec()).or_default();
                row.extend_from_slice(&value);
            }
            None => _ = self.rows.insert(key.to_vec(), value.to_vec()),
        }
    }
}

#[cfg(test)]
mod tests;
