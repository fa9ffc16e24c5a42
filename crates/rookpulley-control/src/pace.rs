//! How soon after one configuration the next goes out to proxies.
//!
//! A change that comes alone goes out at once. In a storm of changes only the newest of each interval does: reading a
//! configuration costs a proxy time by its length, and a proxy has a tenth of a core and requests to carry.

/// The next one waits a millisecond for so many bytes of the one before.
const BYTES_A_MS: f64 = 512.0;
/// Well below the time in which a change must be in force.
const LONGEST_MS: f64 = 700.0;

#[derive(Default)]
pub struct Pace {
    next_ms: f64,
}

impl Pace {
    pub fn is_due(&self, now_ms: f64) -> bool {
        now_ms >= self.next_ms
    }

    /// One of so many bytes went out.
    pub fn told(&mut self, now_ms: f64, bytes: usize) {
        self.next_ms = now_ms + (bytes as f64 / BYTES_A_MS).min(LONGEST_MS);
    }
}

#[cfg(test)]
mod tests;
