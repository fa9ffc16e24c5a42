//! Values cut into chunks, each of which is kept once, whichever values have it.
//!
//! A chunk ends where its own bytes say so, wherever they stand. So a configuration that differs in a line from the one
//! before, and a snapshot that holds it, have most of their chunks in common, and only what differs is written.
//! `docs/formats/chain-store.md` describes the rows.

use std::collections::{BTreeSet, HashMap};

/// No chunk is longer.
pub const MAX_CHUNK_BYTES: usize = 4 << 10;
/// A chunk has so many bytes at least, and a KiB more on average. Of these only the last `WINDOW_BYTES` are looked at.
const MIN_CHUNK_BYTES: usize = 2 << 10;
const MEAN_BITS: u32 = 10;
const WINDOW_BYTES: usize = 64;
/// No store has so many chunks.
const MAX_CHUNKS: u64 = 1 << 22;
/// Begins the key of a chunk, before its number.
pub const CHUNK_PREFIX: u8 = 0xfe;

/// A BLAKE3 digest.
pub type Digest = [u8; 32];

/// Consecutive numbers of chunks: the first one, and how many.
pub type Run = (u64, u32);

/// The chunks of a value, in their order.
pub type ChunkList = Vec<Run>;

/// The key of a chunk.
pub fn chunk_key(number: u64) -> Vec<u8> {
    [&[CHUNK_PREFIX][..], &number.to_be_bytes()].concat()
}

/// The numbers of the chunks in a list.
pub fn numbers(list: &[Run]) -> impl Iterator<Item = u64> {
    list.iter().flat_map(|(first, count)| {
        let end = first.saturating_add(u64::from(*count));
        *first..end
    })
}

pub fn digest_of(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

/// With which weight a byte counts for the end of a chunk: drawn by the mixer of SplitMix64.
const WEIGHTS: [u64; 256] = {
    let mut weights = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        let seed = (byte as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        weights[byte] = mixed ^ (mixed >> 31);
        byte += 1;
    }
    weights
};

/// Where the first chunk ends: by the 64 bytes before, so that what was put in or taken out further ahead moves few of
/// the ends behind it.
fn first_chunk_end(bytes: &[u8]) -> usize {
    let bytes = &bytes[..bytes.len().min(MAX_CHUNK_BYTES)];
    let window = bytes.get(MIN_CHUNK_BYTES - WINDOW_BYTES..MIN_CHUNK_BYTES);
    let (Some(window), Some(rest)) = (window, bytes.get(MIN_CHUNK_BYTES..)) else {
        return bytes.len();
    };
    let add = |sum: u64, byte: &u8| (sum << 1).wrapping_add(WEIGHTS[usize::from(*byte)]);
    let mut sum = window.iter().fold(0, add);
    for (offset, byte) in rest.iter().enumerate() {
        if sum < 1 << (64 - MEAN_BITS) {
            return MIN_CHUNK_BYTES + offset;
        }
        sum = add(sum, byte);
    }
    bytes.len()
}

/// A part of a value.
pub struct Chunk<'a> {
    digest: Digest,
    bytes: &'a [u8],
}

/// Cuts a value.
pub fn cut(value: &[u8]) -> Vec<Chunk<'_>> {
    let mut chunks = Vec::new();
    let mut rest = value;
    while !rest.is_empty() {
        let (bytes, behind) = rest.split_at(first_chunk_end(rest));
        let digest = digest_of(bytes);
        chunks.push(Chunk { digest, bytes });
        rest = behind;
    }
    chunks
}

struct StoredChunk {
    digest: Digest,
    /// How many lists name it.
    references: u32,
}

/// Which chunks there are, and how often they are named. It is counted anew at each opening.
#[derive(Default)]
pub struct ChunkStore {
    by_digest: HashMap<Digest, u64>,
    by_number: HashMap<u64, StoredChunk>,
    /// Numbers below `next` that nothing has. A row that is written over costs less than one that goes and one that comes.
    free: BTreeSet<u64>,
    next: u64,
    /// Bytes of chunks that were written since they were last asked for.
    written_bytes: usize,
}

impl ChunkStore {
    /// Names those of these chunks that are there, so that they stay for now.
    pub fn hold(&mut self, chunks: &[Chunk]) -> ChunkList {
        let known = chunks.iter();
        let known = known.filter_map(|chunk| {
            let number = self.by_digest.get(&chunk.digest)?;
            Some((*number, chunk.digest))
        });
        let known: Vec<(u64, Digest)> = known.collect();
        for (number, digest) in &known {
            self.add_reference(*number, *digest);
        }
        known.into_iter().map(|(number, _)| (number, 1)).collect()
    }

    /// Names all of these chunks, and writes those that aren't there yet.
    pub fn add(&mut self, chunks: &[Chunk], batch: &mut sled::Batch) -> ChunkList {
        let mut list = ChunkList::new();
        for Chunk { digest, bytes } in chunks {
            let number = match self.by_digest.get(digest) {
                Some(number) => *number,
                None => {
                    let number = self.free.first().copied().unwrap_or(self.next);
                    batch.insert(chunk_key(number), *bytes);
                    self.written_bytes += bytes.len();
                    number
                }
            };
            self.add_reference(number, *digest);
            match list.last_mut() {
                Some((first, count)) if *first + u64::from(*count) == number => *count += 1,
                _ => list.push((number, 1)),
            }
        }
        list
    }

    pub fn add_reference(&mut self, number: u64, digest: Digest) {
        self.by_digest.insert(digest, number);
        let new = StoredChunk {
            digest,
            references: 0,
        };
        self.by_number.entry(number).or_insert(new).references += 1;
        self.free.remove(&number);
        self.next = self.next.max(number.saturating_add(1));
    }

    /// A list is gone. Chunks that nothing names any more go.
    pub fn release(&mut self, list: &[Run], batch: &mut sled::Batch) {
        for number in numbers(list) {
            let Some(stored) = self.by_number.get_mut(&number) else {
                continue;
            };
            stored.references -= 1;
            if stored.references == 0 {
                self.by_digest.remove(&stored.digest);
                self.by_number.remove(&number);
                self.free.insert(number);
                batch.remove(chunk_key(number));
            }
        }
    }

    /// After all lists were read: finds the numbers that are free. False: a list names a chunk that no store can have.
    /// The lowest free number is always taken, so none is above the most chunks that there ever were.
    pub fn find_free(&mut self) -> bool {
        if self.next > MAX_CHUNKS {
            return false;
        }
        let is_free = |number: &u64| !self.by_number.contains_key(number);
        self.free = (0..self.next).filter(is_free).collect();
        true
    }

    /// Bytes of chunks that were written since this was last asked.
    pub fn take_written_bytes(&mut self) -> usize {
        std::mem::take(&mut self.written_bytes)
    }

    /// How many chunks there are.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.by_number.len()
    }
}
