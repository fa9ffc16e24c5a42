//! Content-defined chunking of long values, with each distinct chunk stored once.
//!
//! Chunk boundaries depend only on the preceding bytes, so similar values share most of their chunks and an update
//! writes only the chunks that differ. `docs/formats/chain-store.md` describes the rows.

use std::collections::{BTreeSet, HashMap};

/// Maximum length of a chunk.
pub const MAX_CHUNK_BYTES: usize = 4 << 10;
/// Minimum length of a chunk; the rolling hash starts `WINDOW_BYTES` before it.
const MIN_CHUNK_BYTES: usize = 2 << 10;
/// A boundary is expected once every `2^BOUNDARY_BITS` bytes beyond the minimum length.
const BOUNDARY_BITS: u32 = 10;
/// The rolling hash covers this many bytes: older ones are shifted out of its 64 bits.
const WINDOW_BYTES: usize = 64;
/// Maximum number of chunks in a store; a list that exceeds it is corrupted.
const MAX_CHUNKS: u64 = 1 << 22;
/// Key prefix of a chunk, followed by its number.
pub const CHUNK_PREFIX: u8 = 0xfe;

/// A BLAKE3 digest.
pub type Digest = [u8; 32];

/// A range of consecutive chunk numbers: the first number and the count.
pub type Run = (u64, u32);

/// The chunks of a value, in order.
pub type ChunkList = Vec<Run>;

/// Returns the key under which a chunk is stored.
pub fn chunk_key(number: u64) -> Vec<u8> {
    [&[CHUNK_PREFIX][..], &number.to_be_bytes()].concat()
}

/// Iterates over the chunk numbers in a list.
pub fn numbers(list: &[Run]) -> impl Iterator<Item = u64> {
    list.iter().flat_map(|(first, count)| {
        let end = first.saturating_add(u64::from(*count));
        *first..end
    })
}

pub fn digest_of(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

/// Gear table of the rolling hash: one 64-bit value per byte, generated with SplitMix64.
const GEAR: [u64; 256] = {
    let mut table = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        let seed = (byte as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[byte] = mixed ^ (mixed >> 31);
        byte += 1;
    }
    table
};

/// Returns the length of the first chunk. A boundary depends only on the preceding `WINDOW_BYTES`, so boundaries realign
/// soon after an insertion or deletion.
fn first_chunk_end(bytes: &[u8]) -> usize {
    let bytes = &bytes[..bytes.len().min(MAX_CHUNK_BYTES)];
    let window = bytes.get(MIN_CHUNK_BYTES - WINDOW_BYTES..MIN_CHUNK_BYTES);
    let (Some(window), Some(rest)) = (window, bytes.get(MIN_CHUNK_BYTES..)) else {
        return bytes.len();
    };
    let add = |sum: u64, byte: &u8| (sum << 1).wrapping_add(GEAR[usize::from(*byte)]);
    let mut sum = window.iter().fold(0, add);
    for (offset, byte) in rest.iter().enumerate() {
        if sum < 1 << (64 - BOUNDARY_BITS) {
            return MIN_CHUNK_BYTES + offset;
        }
        sum = add(sum, byte);
    }
    bytes.len()
}

/// One chunk of a value, with its digest.
pub struct Chunk<'a> {
    digest: Digest,
    bytes: &'a [u8],
}

/// Splits a value into chunks.
pub fn split_into_chunks(value: &[u8]) -> Vec<Chunk<'_>> {
    let mut chunks = Vec::new();
    let mut rest = value;
    while !rest.is_empty() {
        let (bytes, remainder) = rest.split_at(first_chunk_end(rest));
        let digest = digest_of(bytes);
        chunks.push(Chunk { digest, bytes });
        rest = remainder;
    }
    chunks
}

struct StoredChunk {
    digest: Digest,
    /// The number of list entries that refer to the chunk.
    references: u32,
}

/// Index and reference counts of the stored chunks. It is rebuilt whenever a store is opened.
#[derive(Default)]
pub struct ChunkStore {
    by_digest: HashMap<Digest, u64>,
    by_number: HashMap<u64, StoredChunk>,
    /// Unused numbers below `next`. They are reused first, as overwriting a row costs less than a delete and an insert.
    free: BTreeSet<u64>,
    next: u64,
    /// Bytes of chunks written since the last call of `take_written_bytes`.
    written_bytes: usize,
}

impl ChunkStore {
    /// Adds a reference to each of these chunks that is already stored, and returns their list.
    pub fn retain_existing(&mut self, chunks: &[Chunk]) -> ChunkList {
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

    /// Adds a reference to each of these chunks, and writes those that aren't stored yet.
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

    /// Adds a reference to a chunk, and indexes it if it is new.
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

    /// Drops the references of a list, and deletes chunks that are no longer referenced.
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

    /// Rebuilds the set of unused numbers after all lists were read. Returns false if a chunk number is out of range:
    /// the lowest unused number is always assigned first, so numbers never exceed the peak number of chunks.
    pub fn rebuild_free_numbers(&mut self) -> bool {
        if self.next > MAX_CHUNKS {
            return false;
        }
        let is_free = |number: &u64| !self.by_number.contains_key(number);
        self.free = (0..self.next).filter(is_free).collect();
        true
    }

    /// Returns and resets the number of chunk bytes written since the last call.
    pub fn take_written_bytes(&mut self) -> usize {
        std::mem::take(&mut self.written_bytes)
    }

    /// The number of stored chunks.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.by_number.len()
    }
}
