//! The configuration as it goes out to couriers: to each what differs from the one that it holds.

use rookpulley_waybill::{Down, frame, pack};
use std::collections::{BTreeMap, VecDeque};

/// So many versions are remembered as what others differ from, and so many of their bytes.
const VERSIONS: usize = 6;
const BYTES: usize = 4 << 20;

#[derive(Default)]
pub struct Editions {
    /// The newest last.
    held: VecDeque<(u64, Vec<u8>)>,
    /// The newest as a frame, by the version that it is packed on.
    frames: BTreeMap<u64, Vec<u8>>,
}

impl Editions {
    /// The newest version; 0: there is none.
    pub fn newest(&self) -> u64 {
        self.held.back().map_or(0, |(version, _)| *version)
    }

    /// A newer one than those held.
    pub fn take(&mut self, version: u64, body: Vec<u8>) {
        if version <= self.newest() {
            return;
        }
        self.frames.clear();
        self.held.push_back((version, body));
        let bytes = |held: &VecDeque<(u64, Vec<u8>)>| held.iter().map(|(_, body)| body.len()).sum::<usize>();
        while self.held.len() > VERSIONS || (self.held.len() > 1 && bytes(&self.held) > BYTES) {
            self.held.pop_front();
        }
    }

    /// The frame for a courier that holds this version; None: it holds the newest, or there is none.
    pub fn frame_for(&mut self, have: u64) -> Option<Vec<u8>> {
        let (version, body) = self.held.back().filter(|(version, _)| *version > have)?;
        let base = self.held.iter().find(|(held, _)| *held == have);
        let (base, bytes) = base.map_or((0, &[][..]), |(version, body)| (*version, body.as_slice()));
        if let Some(frame) = self.frames.get(&base) {
            return Some(frame.clone());
        }
        let (version, length) = (*version, body.len() as u32);
        let packed = pack(body, bytes).ok()?;
        let framed = frame(&Down::Config { version, base, length, packed });
        self.frames.insert(base, framed.clone());
        Some(framed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rookpulley_waybill::{Frames, unpack};

    fn body(version: u64) -> Vec<u8> {
        (0..4_000u64).map(|n| n * version % 251).flat_map(u64::to_le_bytes).collect()
    }

    fn read(frame: &[u8], held: &BTreeMap<u64, Vec<u8>>) -> (u64, u64, Vec<u8>) {
        let mut frames = Frames::default();
        frames.push(frame);
        match frames.take().unwrap().unwrap() {
            Down::Config { version, base, length, packed } => {
                let on = held.get(&base).cloned().unwrap_or_default();
                (version, base, unpack(&packed, &on, length as usize, 1 << 20).unwrap())
            }
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn each_courier_gets_the_newest_on_what_it_holds_or_whole() {
        let (mut editions, mut all) = (Editions::default(), BTreeMap::new());
        assert!(editions.frame_for(0).is_none());
        for version in 1..20u64 {
            all.insert(version, body(version));
            editions.take(version, body(version));
            editions.take(version - 1, body(3));
            for have in 0..version {
                let remembered = have + VERSIONS as u64 > version;
                let wanted = (version, if remembered { have } else { 0 }, body(version));
                for _ in 0..2 {
                    assert_eq!(read(&editions.frame_for(have).unwrap(), &all), wanted);
                }
            }
            assert!(editions.frame_for(version).is_none() && editions.frame_for(99).is_none());
        }
    }
}
