//! The pause before something that failed is attempted again.

use std::time::Duration;

/// Pauses that double with each failure, up to a bound.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// The first pause, and the longest one.
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            next: min,
        }
    }

    /// How long to wait before the next attempt.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause
    }

    /// An attempt has succeeded: the next pause is the first one again.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}

#[cfg(test)]
mod tests;
