//! The proxies of the whole system, as this controller sees them connect and disconnect.

use std::collections::BTreeMap;

/// A proxy that has disconnected still counts for so long, so that a retry budget is never dealt out twice.
const STILL_COUNTED_MS: f64 = 12_000.0;

/// Which proxies there are.
#[derive(Default)]
pub struct ProxyRoster {
    /// By name, when each disconnected. None: it is connected.
    disconnected_ms: BTreeMap<String, Option<f64>>,
}

impl ProxyRoster {
    /// A proxy has connected.
    pub fn connected(&mut self, proxy: &str) {
        self.disconnected_ms.insert(proxy.into(), None);
    }

    /// A proxy has disconnected, at the time `now` in milliseconds.
    pub fn disconnected(&mut self, now: f64, proxy: &str) {
        self.disconnected_ms.insert(proxy.into(), Some(now));
    }

    /// Forgets those that disconnected long ago.
    pub fn expire(&mut self, now: f64) {
        let still_counts = |at: f64| now - at < STILL_COUNTED_MS;
        self.disconnected_ms
            .retain(|_, at| at.is_none_or(still_counts));
    }

    /// How many proxies count.
    pub fn count(&self) -> u32 {
        u32::try_from(self.disconnected_ms.len()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
