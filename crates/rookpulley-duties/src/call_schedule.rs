//! When the next call to the platform may start: a rate limit, and a back-off with jitter after failures.

/// First back-off after a failure; it doubles with each further one.
const MIN_BACKOFF_MS: f64 = 100.0;
const MAX_BACKOFF_MS: f64 = 1_600.0;
/// Share of the platform's rate that one holder uses, so that the holders before and after a change stay below it together.
const RATE_SHARE: f64 = 0.5;

/// Limits the calls of one holder.
#[derive(Debug)]
pub(crate) struct CallSchedule {
    interval_ms: f64,
    backoff_ms: f64,
    next_ms: f64,
}

impl CallSchedule {
    /// `calls_per_s`: what the platform accepts from all controllers together.
    pub fn new(calls_per_s: f64) -> Self {
        let rate = (calls_per_s * RATE_SHARE).max(f64::MIN_POSITIVE);
        Self {
            interval_ms: 1e3 / rate,
            backoff_ms: MIN_BACKOFF_MS,
            next_ms: 0.0,
        }
    }

    /// Whether a call may start.
    pub fn is_due(&self, now_ms: f64) -> bool {
        now_ms >= self.next_ms
    }

    /// Records that a call starts.
    pub fn started(&mut self, now_ms: f64) {
        self.next_ms = now_ms + self.interval_ms;
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.backoff_ms = MIN_BACKOFF_MS;
    }

    /// Records that a call failed. `random` is uniformly distributed in `[0, 1)`.
    pub fn failed(&mut self, now_ms: f64, random: f64) {
        let pause_ms = self.backoff_ms * (0.5 + random / 2.0);
        self.next_ms = self.next_ms.max(now_ms + pause_ms);
        self.backoff_ms = (self.backoff_ms * 2.0).min(MAX_BACKOFF_MS);
    }
}
