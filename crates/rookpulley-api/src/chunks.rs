//! Makes a chunked body plain, byte by byte where lines are, slice by slice where data is.
//!
//! Stricter than the proxy's `span`, which must end a body where hyper does and so takes what hyper takes.

use crate::head::MAX_HEADERS;
use crate::refusal::Refusal;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size { digits: u8, size: usize },
    Extension { size: usize },
    SizeEnd { size: usize },
    Data { left: usize },
    DataReturn,
    DataEnd,
    Trailer,
}

/// A body on its way. What stands beside the data (extensions, trailers) is checked, bounded and left out.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: State,
    max_bytes: usize,
    /// What extensions may still take.
    max_beside_bytes: usize,
    trailer: Vec<u8>,
    max_trailer_bytes: usize,
}

impl ChunkDecoder {
    /// For a body of `max_bytes` bytes, with as much as a head may take beside it.
    pub fn new(max_bytes: usize, max_beside_bytes: usize) -> ChunkDecoder {
        let state = State::Size { digits: 0, size: 0 };
        ChunkDecoder {
            state,
            max_bytes,
            max_beside_bytes,
            trailer: Vec::new(),
            max_trailer_bytes: max_beside_bytes,
        }
    }

    /// Reads on: how many bytes were used, and whether the body is whole. What isn't used belongs to what follows.
    pub fn read(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(usize, bool), Refusal> {
        let mut used = 0;
        while let Some(rest) = bytes.get(used..).filter(|rest| !rest.is_empty()) {
            if let State::Data { left } = self.state {
                let data = rest.get(..left).unwrap_or(rest);
                body.extend_from_slice(data);
                used += data.len();
                let left = left - data.len();
                self.state = if left == 0 {
                    State::DataReturn
                } else {
                    State::Data { left }
                };
                continue;
            }
            let Some(byte) = rest.first() else { break };
            used += 1;
            if self.step(*byte, body.len())? {
                return Ok((used, true));
            }
        }
        Ok((used, false))
    }

    fn step(&mut self, byte: u8, held: usize) -> Result<bool, Refusal> {
        self.state = match (self.state, byte) {
            (State::Size { digits, size }, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                let digit = char::from(byte).to_digit(16).unwrap_or_default() as usize;
                let size = size
                    .checked_mul(16)
                    .and_then(|size| size.checked_add(digit))
                    .ok_or(Refusal::LongBody)?;
                if size > self.max_bytes.saturating_sub(held) {
                    return Err(Refusal::LongBody);
                }
                // Leading zeros could go on for ever.
                State::Size {
                    digits: digits
                        .checked_add(1)
                        .filter(|digits| *digits <= 16)
                        .ok_or(Refusal::Chunk)?,
                    size,
                }
            }
            (State::Size { digits: 1.., size }, b'\r') => State::SizeEnd { size },
            (State::Size { digits: 1.., size }, b';') => State::Extension { size },
            (State::Extension { size }, b'\r') => State::SizeEnd { size },
            (State::Extension { size }, b'\t' | b' '..=b'~') => {
                self.max_beside_bytes = self
                    .max_beside_bytes
                    .checked_sub(1)
                    .ok_or(Refusal::LongHead)?;
                State::Extension { size }
            }
            (State::SizeEnd { size: 0 }, b'\n') => State::Trailer,
            (State::SizeEnd { size }, b'\n') => State::Data { left: size },
            (State::DataReturn, b'\r') => State::DataEnd,
            (State::DataEnd, b'\n') => State::Size { digits: 0, size: 0 },
            (State::Trailer, _) => return self.trailer(byte),
            _ => return Err(Refusal::Chunk),
        };
        Ok(false)
    }

    fn trailer(&mut self, byte: u8) -> Result<bool, Refusal> {
        if self.trailer.len() >= self.max_trailer_bytes {
            return Err(Refusal::LongHead);
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
            _ => Err(Refusal::Chunk),
        }
    }
}
