//! The configuration on its way to proxies: each gets what differs from the version that it has.

use rookpulley_protocol::{ControllerToProxy, encode_frame, pack};
use std::collections::{BTreeMap, VecDeque};

/// How many versions are remembered for others to differ from, and how many of their bytes. While changes storm,
/// controllers publish different ones: what a proxy has from one is to be known to another.
const MAX_VERSIONS: usize = 24;
const MAX_BYTES: usize = 4 << 20;
/// So many are remembered however long they are: the one that is published, and the one to be published next.
const MIN_VERSIONS: usize = 2;
/// What a difference stands on where the proxy has no version that is remembered.
const NO_BASE: u64 = 0;

struct Configuration {
    version: u64,
    body: Vec<u8>,
}

/// The versions that are remembered, and the one that proxies are told of.
#[derive(Default)]
pub struct ConfigurationHistory {
    /// The newest last.
    versions: VecDeque<Configuration>,
    /// 0: none.
    published: u64,
    /// The published version as a frame, by the version that it is compressed against.
    frames: BTreeMap<u64, Vec<u8>>,
}

impl ConfigurationHistory {
    /// The version that proxies are told of. 0: none.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Its bytes, as the operator sent them.
    pub fn published_body(&self) -> Option<&[u8]> {
        self.body(self.published)
    }

    fn body(&self, version: u64) -> Option<&[u8]> {
        let mut versions = self.versions.iter();
        let found = versions.find(|known| known.version == version);
        found.map(|known| known.body.as_slice())
    }

    /// Remembers a version, if it is newer than all others. Proxies aren't told of it yet.
    pub fn add(&mut self, version: u64, body: &[u8]) {
        if self.newest().is_some_and(|newest| version <= newest) {
            return;
        }
        let body = body.to_vec();
        self.versions.push_back(Configuration { version, body });
        while self.is_too_much() {
            // Neither the one that is published nor the newest.
            let oldest = self.versions.front();
            let is_published = oldest.is_some_and(|oldest| oldest.version == self.published);
            self.versions.remove(usize::from(is_published));
        }
    }

    fn newest(&self) -> Option<u64> {
        self.versions.back().map(|newest| newest.version)
    }

    fn is_too_much(&self) -> bool {
        let bytes: usize = self.versions.iter().map(|known| known.body.len()).sum();
        let count = self.versions.len();
        count > MIN_VERSIONS && (count > MAX_VERSIONS || bytes > MAX_BYTES)
    }

    /// From now on proxies are told of the newest version.
    pub fn publish(&mut self) {
        self.published = self.newest().unwrap_or(0);
        self.frames.clear();
    }

    /// The frame for a proxy that has the version `held`. None: it has the published one, or there is none.
    pub fn frame_for(&mut self, held: u64) -> Option<Vec<u8>> {
        if self.published <= held {
            return None;
        }
        let version = self.published;
        let body = self.body(version)?;
        let (base, base_body) = match self.body(held) {
            Some(base_body) => (held, base_body),
            None => (NO_BASE, &[][..]),
        };
        if let Some(frame) = self.frames.get(&base) {
            return Some(frame.clone());
        }
        let message = ControllerToProxy::Configuration {
            version,
            base,
            length: u32::try_from(body.len()).ok()?,
            packed: pack(body, base_body).ok()?,
        };
        let frame = encode_frame(&message);
        self.frames.insert(base, frame.clone());
        Some(frame)
    }
}

#[cfg(test)]
mod tests;
