//! Length-prefixed framing: a 4-byte little-endian length, followed by a value encoded with `postcard`.

use serde::{Serialize, de::DeserializeOwned};

/// Maximum length of a frame body. It is large enough for a snapshot of the replicated state.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
const LENGTH_BYTES: usize = 4;
/// Number of consumed bytes beyond which the remaining bytes are moved to the front of the buffer.
const COMPACTION_THRESHOLD_BYTES: usize = 64 << 10;

/// Error decoding a frame.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FrameError {
    /// The length prefix exceeds the maximum.
    #[error("frame length {0} exceeds the maximum of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The body is not a valid encoding of the expected type.
    #[error("cannot decode the frame body: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a value as a frame.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let head = vec![0; LENGTH_BYTES];
    let mut bytes = postcard::to_extend(value, head).unwrap_or_default();
    let length = bytes.len().saturating_sub(LENGTH_BYTES) as u32;
    if let Some(head) = bytes.first_chunk_mut::<LENGTH_BYTES>() {
        *head = length.to_le_bytes();
    }
    bytes
}

/// Reassembles frames from a byte stream that arrives in arbitrary pieces.
#[derive(Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// Number of bytes already consumed.
    consumed: usize,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, more: &[u8]) {
        if self.consumed > 0 && self.consumed == self.bytes.len() {
            self.bytes = Vec::new();
            self.consumed = 0;
        } else if self.consumed > COMPACTION_THRESHOLD_BYTES {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Decodes the next value. Returns None if its frame is incomplete.
    pub fn decode_next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.consumed..];
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
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(value))
    }
}

#[cfg(test)]
mod tests;
