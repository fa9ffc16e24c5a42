//! Decodes chunked bodies.
//!
//! Stricter than the proxy's `span`, which has to find the same end of a body as hyper and accepts whatever hyper does.

use crate::head::MAX_HEADERS;
use crate::rejection::Rejection;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size { digits: u8, size: usize },
    Extension { size: usize },
    SizeEnd { size: usize },
    Data { remaining: usize },
    DataReturn,
    DataEnd,
    Trailer,
}

/// Decodes one chunked body incrementally. Extensions and trailers are validated, bounded and discarded.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: State,
    max_bytes: usize,
    /// The number of bytes that extensions may still take.
    max_extra_bytes: usize,
    trailer: Vec<u8>,
    max_trailer_bytes: usize,
}

impl ChunkDecoder {
    /// Accepts a body of up to `max_bytes`, and up to `max_extra_bytes` each of extensions and of trailers.
    pub fn new(max_bytes: usize, max_extra_bytes: usize) -> ChunkDecoder {
        let state = State::Size { digits: 0, size: 0 };
        ChunkDecoder {
            state,
            max_bytes,
            max_extra_bytes,
            trailer: Vec::new(),
            max_trailer_bytes: max_extra_bytes,
        }
    }

    /// Decodes `bytes` into `body`. Returns how many were consumed, and whether the body is complete.
    pub fn read(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(usize, bool), Rejection> {
        let mut consumed = 0;
        while let Some(rest) = bytes.get(consumed..).filter(|rest| !rest.is_empty()) {
            if let State::Data { remaining } = self.state {
                let data = rest.get(..remaining).unwrap_or(rest);
                body.extend_from_slice(data);
                consumed += data.len();
                let remaining = remaining - data.len();
                self.state = if remaining == 0 {
                    State::DataReturn
                } else {
                    State::Data { remaining }
                };
                continue;
            }
            let Some(byte) = rest.first() else { break };
            consumed += 1;
            if self.step(*byte, body.len())? {
                return Ok((consumed, true));
            }
        }
        Ok((consumed, false))
    }

    fn step(&mut self, byte: u8, body_length: usize) -> Result<bool, Rejection> {
        self.state = match (self.state, byte) {
            (State::Size { digits, size }, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default() as usize;
                let size = size
                    .checked_mul(16)
                    .and_then(|size| size.checked_add(digit))
                    .ok_or(Rejection::BodyTooLong)?;
                if size > self.max_bytes.saturating_sub(body_length) {
                    return Err(Rejection::BodyTooLong);
                }
                // Bounds the number of leading zeros.
                State::Size {
                    digits: digits
                        .checked_add(1)
                        .filter(|digits| *digits <= 16)
                        .ok_or(Rejection::InvalidChunk)?,
                    size,
                }
            }
            (State::Size { digits: 1.., size }, b'\r') => State::SizeEnd { size },
            (State::Size { digits: 1.., size }, b';') => State::Extension { size },
            (State::Extension { size }, b'\r') => State::SizeEnd { size },
            (State::Extension { size }, b'\t' | b' '..=b'~') => {
                self.max_extra_bytes = self
                    .max_extra_bytes
                    .checked_sub(1)
                    .ok_or(Rejection::HeadTooLong)?;
                State::Extension { size }
            }
            (State::SizeEnd { size: 0 }, b'\n') => State::Trailer,
            (State::SizeEnd { size }, b'\n') => State::Data { remaining: size },
            (State::DataReturn, b'\r') => State::DataEnd,
            (State::DataEnd, b'\n') => State::Size { digits: 0, size: 0 },
            (State::Trailer, _) => return self.trailer(byte),
            _ => return Err(Rejection::InvalidChunk),
        };
        Ok(false)
    }

    fn trailer(&mut self, byte: u8) -> Result<bool, Rejection> {
        if self.trailer.len() >= self.max_trailer_bytes {
            return Err(Rejection::HeadTooLong);
        }
        self.trailer.push(byte);
        if self.trailer == b"\r\n" {
            return Ok(true);
        }
        if !self.trailer.ends_with(b"\r\n\r\n") {
            return Ok(false);
        }
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(&self.trailer, &mut lines) {
            Ok(httparse::Status::Complete((length, _))) if length == self.trailer.len() => Ok(true),
            _ => Err(Rejection::InvalidChunk),
        }
    }
}
