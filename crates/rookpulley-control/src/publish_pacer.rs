//! Rate limit for publishing configurations to proxies.
//!
//! An isolated change is published immediately. Of a burst, only the newest configuration of each interval is published,
//! because a proxy's parsing time grows with the size of the configuration and competes with forwarding requests: a proxy
//! may have a tenth of a core.

/// The interval after a configuration is one millisecond per this many bytes.
const BYTES_PER_MS: f64 = 512.0;
/// Upper bound of the interval; leaves time to apply a change within its deadline.
const MAX_INTERVAL_MS: f64 = 700.0;

/// Limits the rate of published configurations by their size.
#[derive(Default)]
pub struct PublishPacer {
    next_ms: f64,
}

impl PublishPacer {
    /// Whether the next configuration may be published.
    pub fn is_due(&self, now_ms: f64) -> bool {
        now_ms >= self.next_ms
    }

    /// Records that a configuration of `bytes` bytes was published.
    pub fn published(&mut self, now_ms: f64, bytes: usize) {
        let interval_ms = bytes as f64 / BYTES_PER_MS;
        self.next_ms = now_ms + interval_ms.min(MAX_INTERVAL_MS);
    }
}

#[cfg(test)]
mod tests;
