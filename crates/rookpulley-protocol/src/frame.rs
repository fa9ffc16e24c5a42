//! A frame: four bytes of length, little end first, then a value by `postcard`.

use serde::{Serialize, de::DeserializeOwned};

/// No frame is longer; a snapshot of the ledger fits.
pub const LONGEST: usize = 16 << 20;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FrameError {
    #[error("a frame of {0} bytes is announced; {LONGEST} is the most")]
    TooLong(usize),
    #[error("a frame can't be read as a message: {0}")]
    Spoilt(#[from] postcard::Error),
}

pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    bytes = postcard::to_extend(value, bytes).unwrap_or_default();
    let length = (bytes.len().saturating_sub(4)) as u32;
    if let Some(head) = bytes.get_mut(..4) {
        head.copy_from_slice(&length.to_le_bytes());
    }
    bytes
}

/// Bytes as they come, handed out frame by frame.
#[derive(Default)]
pub struct Frames {
    bytes: Vec<u8>,
    read: usize,
}

impl Frames {
    pub fn push(&mut self, more: &[u8]) {
        if self.read > 0 && self.read == self.bytes.len() {
            (self.bytes, self.read) = (Vec::new(), 0);
        } else if self.read > 64 << 10 {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.read..];
        let Some(head) = rest.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > LONGEST {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = rest.get(4..4 + length) else {
            return Ok(None);
        };
        let value = postcard::from_bytes(body)?;
        self.read += 4 + length;
        Ok(Some(value))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_come_out_as_they_went_in_however_they_are_cut() {
        rookpulley_samples::plays(200, 256, |u| {
            let values: Vec<Vec<u8>> = u.arbitrary()?;
            let wire: Vec<u8> = values.iter().flat_map(frame).collect();
            let (mut frames, mut out, mut at) = (Frames::default(), Vec::new(), 0);
            while at < wire.len() {
                let cut = u.int_in_range(1..=wire.len() - at)?;
                frames.push(&wire[at..at + cut]);
                at += cut;
                while let Some(value) = frames.take::<Vec<u8>>().unwrap() {
                    out.push(value);
                }
            }
            assert_eq!(out, values);
            Ok(())
        });
    }

    #[test]
    fn a_frame_too_long_is_refused_before_it_is_held() {
        let mut frames = Frames::default();
        frames.push(&u32::MAX.to_le_bytes());
        assert!(matches!(frames.take::<u8>(), Err(FrameError::TooLong(_))));
    }
}
