//! Recent configuration versions, sent to proxies as deltas against the version that each proxy holds.

use rookpulley_protocol::{ControllerToProxy, encode_frame, pack};
use std::collections::{BTreeMap, VecDeque};

/// Limits on the versions retained as delta bases. Controllers may publish different versions during frequent changes,
/// so a proxy may hold a version that this controller skipped.
const MAX_VERSIONS: usize = 24;
const MAX_BYTES: usize = 4 << 20;
/// Retained regardless of size: the published version and the next one.
const MIN_VERSIONS: usize = 2;
/// Base version of a frame that holds the complete configuration.
const NO_BASE: u64 = 0;

struct Configuration {
    version: u64,
    body: Vec<u8>,
}

/// Retained configuration versions and the published one.
#[derive(Default)]
pub struct ConfigurationHistory {
    /// In ascending order.
    versions: VecDeque<Configuration>,
    /// 0 if none.
    published: u64,
    /// Encoded frames of the published version, by base version.
    frames: BTreeMap<u64, Vec<u8>>,
}

impl ConfigurationHistory {
    /// The published version; 0 if none.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// The body of the published version, as the operator sent it.
    pub fn published_body(&self) -> Option<&[u8]> {
        self.body(self.published)
    }

    fn body(&self, version: u64) -> Option<&[u8]> {
        let mut versions = self.versions.iter();
        let found = versions.find(|retained| retained.version == version);
        found.map(|retained| retained.body.as_slice())
    }

    /// Adds a version without publishing it. Ignored unless it is newer than all others.
    pub fn add(&mut self, version: u64, body: &[u8]) {
        if self.newest().is_some_and(|newest| version <= newest) {
            return;
        }
        let body = body.to_vec();
        self.versions.push_back(Configuration { version, body });
        while self.exceeds_limits() {
            // Evicts the oldest unpublished version; the newest is never evicted.
            let oldest = self.versions.front();
            let is_published = oldest.is_some_and(|oldest| oldest.version == self.published);
            self.versions.remove(usize::from(is_published));
        }
    }

    fn newest(&self) -> Option<u64> {
        self.versions.back().map(|newest| newest.version)
    }

    fn exceeds_limits(&self) -> bool {
        let bytes: usize = self
            .versions
            .iter()
            .map(|retained| retained.body.len())
            .sum();
        let count = self.versions.len();
        count > MIN_VERSIONS && (count > MAX_VERSIONS || bytes > MAX_BYTES)
    }

    /// Publishes the newest version.
    pub fn publish(&mut self) {
        self.published = self.newest().unwrap_or(0);
        self.frames.clear();
    }

    /// The frame for a proxy that holds version `held`. `None` if the proxy is up to date or nothing is published.
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
