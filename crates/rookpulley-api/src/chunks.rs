//! Makes a chunked body plain, byte by byte where lines are, slice by slice where data is.
//!
//! Stricter than the proxy's `span`, which must end a body where hyper does and so takes what hyper takes.

use crate::head::LINES;
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
pub struct Chunks {
    state: State,
    most: usize,
    /// What extensions may still take.
    beside: usize,
    trailer: Vec<u8>,
    trailer_most: usize,
}

impl Chunks {
    /// For a body of `most` bytes, with as much as a head may take beside it.
    pub fn new(most: usize, beside: usize) -> Chunks {
        let state = State::Size { digits: 0, size: 0 };
        Chunks {
            state,
            most,
            beside,
            trailer: Vec::new(),
            trailer_most: beside,
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
                if size > self.most.saturating_sub(held) {
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
                self.beside = self.beside.checked_sub(1).ok_or(Refusal::LongHead)?;
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
        if self.trailer.len() >= self.trailer_most {
            return Err(Refusal::LongHead);
        }
        self.trailer.push(byte);
        if self.trailer == b"\r\n" {
            return Ok(true);
        }
        if !self.trailer.ends_with(b"\r\n\r\n") {
            return Ok(false);
        }
        let mut lines = [httparse::EMPTY_HEADER; LINES];
        match httparse::parse_headers(&self.trailer, &mut lines) {
            Ok(httparse::Status::Complete((length, _))) if length == self.trailer.len() => Ok(true),
            _ => Err(Refusal::Chunk),
        }
    }
}
