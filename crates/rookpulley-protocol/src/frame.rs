//! A frame: four bytes of length, little end first, then a value encoded by `postcard`.

use serde::{Serialize, de::DeserializeOwned};

/// No frame is longer. A snapshot of the replicated state fits.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
const LENGTH_BYTES: usize = 4;
/// So much that was taken is kept before what follows it is moved to the front.
const MAX_TAKEN_BYTES: usize = 64 << 10;

/// Why a frame can't be taken.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FrameError {
    /// It announces more bytes than a frame may have.
    #[error("a frame of {0} bytes is announced; {MAX_FRAME_BYTES} is the most")]
    TooLong(usize),
    /// Its bytes are no value of the expected type.
    #[error("a frame can't be read as a message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a value as a frame.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let head = vec![0; LENGTH_BYTES];
    let mut bytes = postcard::to_extend(value, head).unwrap_or_default();
    let length = bytes.len().saturating_sub(LENGTH_BYTES) as u32;
    if let Some(head) = bytes.first_chunk_mut::<LENGTH_BYTES>() {
        *head = length.to_le_bytes();
    }
    bytes
}

/// Takes frames out of bytes, however those are cut on their way.
#[derive(Default)]
pub struct Frames {
    bytes: Vec<u8>,
    /// How many of them were taken.
    taken: usize,
}

impl Frames {
    /// More bytes have come.
    pub fn push(&mut self, more: &[u8]) {
        if self.taken > 0 && self.taken == self.bytes.len() {
            self.bytes = Vec::new();
            self.taken = 0;
        } else if self.taken > MAX_TAKEN_BYTES {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Takes the next value. None: more bytes are to come first.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.taken..];
        let Some((head, rest)) = rest.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let value = postcard::from_bytes(body)?;
        self.taken += LENGTH_BYTES + length;
        Ok(Some(value))
    }
}

#[cfg(test)]
mod tests;
