//! The configuration as it goes out to proxies: to each what differs from the one that it holds.

use rookpulley_protocol::{Down, frame, pack};
use std::collections::{BTreeMap, VecDeque};

/// So many versions are remembered as what others differ from, and so many of their bytes. In a storm controllers tell of
/// different ones: what a proxy has from one is to be known to another.
const VERSIONS: usize = 24;
const BYTES: usize = 4 << 20;
/// So many are remembered however long they are: what is told, and what is to be told next.
const FEWEST: usize = 2;

#[derive(Default)]
pub struct Editions {
    /// The newest last.
    held: VecDeque<(u64, Vec<u8>)>,
    /// The version that proxies are told of.
    told: u64,
    /// It as a frame, by the version that it is packed on.
    frames: BTreeMap<u64, Vec<u8>>,
}

impl Editions {
    /// The version that proxies are told of; 0: there is none.
    pub fn newest(&self) -> u64 {
        self.told
    }

    /// Its bytes.
    pub fn newest_body(&self) -> Option<&[u8]> {
        self.body(self.told)
    }

    fn body(&self, version: u64) -> Option<&[u8]> {
        self.held
            .iter()
            .find(|(held, _)| *held == version)
            .map(|(_, body)| body.as_slice())
    }

    /// A newer one than those held. Proxies aren't told of it yet.
    pub fn take(&mut self, version: u64, body: &[u8]) {
        if self
            .held
            .back()
            .is_some_and(|(newest, _)| version <= *newest)
        {
            return;
        }
        self.held.push_back((version, body.to_vec()));
        while self.held.len() > FEWEST && (self.held.len() > VERSIONS || self.bytes() > BYTES) {
            // Neither the one that proxies are told of now nor the newest.
            let told = self
                .held
                .front()
                .is_some_and(|(version, _)| *version == self.told);
            self.held.remove(usize::from(told));
        }
    }

    fn bytes(&self) -> usize {
        self.held.iter().map(|(_, body)| body.len()).sum()
    }

    /// From now on proxies are told of the newest.
    pub fn tell(&mut self) {
        self.told = self.held.back().map_or(0, |(version, _)| *version);
        self.frames.clear();
    }

    /// The frame for a proxy that holds this version; None: it holds the newest, or there is none.
    pub fn frame_for(&mut self, have: u64) -> Option<Vec<u8>> {
        let version = Some(self.told).filter(|told| *told > have)?;
        let body = self.body(version)?;
        let (base, bytes) = self.body(have).map_or((0, &[][..]), |body| (have, body));
        if let Some(frame) = self.frames.get(&base) {
            return Some(frame.clone());
        }
        let length = body.len() as u32;
        let packed = pack(body, bytes).ok()?;
        let framed = frame(&Down::Config {
            version,
            base,
            length,
            packed,
        });
        self.frames.insert(base, framed.clone());
        Some(framed)
    }
}

#[cfg(test)]
mod tests;
