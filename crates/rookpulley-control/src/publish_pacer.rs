//! How soon after one configuration the next goes out to proxies.
//!
//! A change that comes alone goes out at once. While changes storm, only the newest of each interval does: reading a
//! configuration costs a proxy time by its length, and a proxy has a tenth of a core and requests to forward.

/// The next one waits a millisecond for so many bytes of the one before.
const BYTES_PER_MS: f64 = 512.0;
/// Well below the time in which a change must be in force.
const MAX_INTERVAL_MS: f64 = 700.0;

/// Spaces configurations in time.
#[derive(Default)]
pub struct PublishPacer {
    next_ms: f64,
}

impl PublishPacer {
    /// Whether the next one may go out.
    pub fn is_due(&self, now_ms: f64) -> bool {
        now_ms >= self.next_ms
    }

    /// One of so many bytes went out.
    pub fn published(&mut self, now_ms: f64, bytes: usize) {
        let interval_ms = bytes as f64 / BYTES_PER_MS;
        self.next_ms = now_ms + interval_ms.min(MAX_INTERVAL_MS);
    }
}

#[cfg(test)]
mod tests;
