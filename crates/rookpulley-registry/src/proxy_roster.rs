//! Counts the proxies of the cluster.

use std::collections::BTreeMap;

/// How long a disconnected proxy is still counted, so that its share of the retry budget is not assigned twice.
const DISCONNECT_GRACE_MS: f64 = 12_000.0;

/// Connected and recently disconnected proxies.
#[derive(Default)]
pub struct ProxyRoster {
    /// Disconnect time by proxy name; `None` while connected.
    disconnected_ms: BTreeMap<String, Option<f64>>,
}

impl ProxyRoster {
    /// Records that a proxy connected.
    pub fn connected(&mut self, proxy: &str) {
        self.disconnected_ms.insert(proxy.into(), None);
    }

    /// Records that a proxy disconnected at `now`, in milliseconds.
    pub fn disconnected(&mut self, now: f64, proxy: &str) {
        self.disconnected_ms.insert(proxy.into(), Some(now));
    }

    /// Removes proxies whose grace period has expired.
    pub fn expire(&mut self, now: f64) {
        let is_within_grace = |at: f64| now - at < DISCONNECT_GRACE_MS;
        self.disconnected_ms
            .retain(|_, at| at.is_none_or(is_within_grace));
    }

    /// Number of connected and recently disconnected proxies.
    pub fn count(&self) -> u32 {
        u32::try_from(self.disconnected_ms.len()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
