//! Storage of rows of any length as short `sled` rows.
//!
//! `sled` writes whole pages of up to seventeen rows. A page of more than a quarter of a segment (128 KiB) goes to a
//! separate blob file that is never synced, so a power loss can leave a store that refers to a missing file. Long
//! values are therefore split into chunks, written in the same batch, and the row holds the list of chunks.

use crate::chunks::{
    CHUNK_PREFIX, ChunkList, ChunkStore, Digest, MAX_CHUNK_BYTES, digest_of, numbers,
    split_into_chunks,
};
use crate::database::corrupted;
use rookpulley_chain::Record;
use std::collections::{BTreeMap, HashMap};

/// Keys and values as the users of the store see them, with long values reassembled.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// Longer values are split into chunks. Seventeen rows of this length stay well below the blob threshold of a page.
const MAX_ROW_BYTES: usize = MAX_CHUNK_BYTES;
/// Key prefix of a list of chunks, followed by the key of its row.
const LIST_PREFIX: u8 = 0xfd;
/// Key prefix of the continuation of a long list, or of a long row written by an older build, followed by the key of
/// the row and the number of the piece. Row keys must not start with any of the three prefixes.
const PIECE_PREFIX: u8 = 0xff;

/// Written along with the first list. A build without support for lists reads this key as an invalid view and rejects
/// the store as corrupted, instead of continuing without the chunked rows.
const LISTS_MARKER: &[u8] = b"v: rows by chunks";

fn list_key(key: &[u8]) -> Vec<u8> {
    [&[LIST_PREFIX], key].concat()
}

fn piece_key(key: &[u8], piece: u32) -> Vec<u8> {
    [&[PIECE_PREFIX], key, &piece.to_be_bytes()[..]].concat()
}

/// Writes the rows of one tree, and tracks their pieces, lists and chunks.
#[derive(Default)]
pub struct RowWriter {
    /// The number of pieces beyond the first, by the key of the row.
    pieces: BTreeMap<Vec<u8>, u32>,
    lists: BTreeMap<Vec<u8>, ChunkList>,
    chunks: ChunkStore,
    has_marker: bool,
}

impl RowWriter {
    /// Adds a record to a batch, with its list and chunks, and removes those of the value that it replaces.
    pub fn write(&mut self, record: Record, batch: &mut sled::Batch) {
        let (key, value) = match record {
            Record::Put { key, value } => (key, Some(value)),
            Record::Delete { key } => (key, None),
        };
        let is_long = |value: &&[u8]| value.len() > MAX_ROW_BYTES;
        let chunks = value.as_deref().filter(is_long).map(split_into_chunks);
        let old_list = self.lists.remove(&key);
        // Retains shared chunks before the old list is released, so that only unshared ones are deleted. The release
        // must come before `add`, which may reuse their numbers.
        let retained = chunks
            .as_ref()
            .map(|chunks| self.chunks.retain_existing(chunks));
        if let Some(list) = &old_list {
            self.chunks.release(list, batch);
        }
        let list = chunks.map(|chunks| self.chunks.add(&chunks, batch));
        if let Some(list) = &retained {
            self.chunks.release(list, batch);
        }
        let had_list = old_list.is_some();
        match list {
            Some(list) => {
                self.put_marker(batch);
                if !had_list {
                    self.put_pieces(key.clone(), None, batch);
                }
                let encoded = postcard::to_allocvec(&list).ok();
                self.put_pieces(list_key(&key), encoded, batch);
                self.lists.insert(key, list);
            }
            None => {
                if had_list {
                    self.put_pieces(list_key(&key), None, batch);
                }
                self.put_pieces(key, value, batch);
            }
        }
    }

    fn put_marker(&mut self, batch: &mut sled::Batch) {
        if !self.has_marker {
            self.has_marker = true;
            batch.insert(LISTS_MARKER, &[]);
        }
    }

    /// Returns and resets the number of chunk bytes written since the last call.
    pub fn take_written_bytes(&mut self) -> usize {
        self.chunks.take_written_bytes()
    }

    /// Writes or removes a row, split into pieces if it is long, and removes leftover pieces of its previous value.
    fn put_pieces(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, batch: &mut sled::Batch) {
        let length = value.as_ref().map_or(0, Vec::len);
        let continuations = length.div_ceil(MAX_ROW_BYTES).saturating_sub(1) as u32;
        let previous = if continuations > 0 {
            self.pieces.insert(key.clone(), continuations)
        } else {
            self.pieces.remove(&key)
        };
        for piece in continuations..previous.unwrap_or(0) {
            batch.remove(piece_key(&key, piece));
        }
        match value {
            Some(value) if continuations > 0 => {
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

    /// Reads all rows of a tree, reassembles long ones, and returns a writer with the state of the tree.
    pub fn read(tree: &sled::Tree) -> Result<(Rows, Self), sled::Error> {
        let incomplete = || corrupted("a long row is incomplete");
        let mut writer = Self::default();
        let mut tree_rows = TreeRows::default();
        for row in tree.iter() {
            let (key, value) = row?;
            tree_rows.add(&key, value, &mut writer.pieces);
        }
        let TreeRows { mut rows, chunks } = tree_rows;
        writer.has_marker = rows.remove(LISTS_MARKER).is_some();
        for (key, list) in rows.split_off(&vec![LIST_PREFIX]) {
            let list: ChunkList = postcard::from_bytes(&list).map_err(|_| incomplete())?;
            let mut value = Vec::new();
            for number in numbers(&list) {
                let (digest, bytes) = chunks.get(&number).ok_or_else(incomplete)?;
                value.extend_from_slice(bytes);
                writer.chunks.add_reference(number, *digest);
            }
            let key = key[1..].to_vec();
            rows.insert(key.clone(), value);
            writer.lists.insert(key, list);
        }
        if !writer.chunks.rebuild_free_numbers() {
            return Err(incomplete());
        }
        Ok((rows.into_iter().collect(), writer))
    }
}

/// The content of a tree, with chunks separated from other rows.
#[derive(Default)]
struct TreeRows {
    rows: BTreeMap<Vec<u8>, Vec<u8>>,
    chunks: HashMap<u64, (Digest, sled::IVec)>,
}

impl TreeRows {
    /// Adds a row. Rows must be added in key order: first pieces precede all continuations, and those of a row are in
    /// order.
    fn add(&mut self, key: &[u8], value: sled::IVec, pieces: &mut BTreeMap<Vec<u8>, u32>) {
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
