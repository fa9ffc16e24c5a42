//! The phases of a shutdown, and which requests may begin in each. Times are durations since SIGTERM was received.

use std::time::Duration;

/// How long new requests are accepted, because clients are still routed here. Half the grace period if that is less.
const MAX_DRAIN: Duration = Duration::from_secs(3);
/// A task may be at work at the end only for a request that was sent up to 3 s after SIGTERM (rule LOST). As SIGTERM may
/// have been received late, requests that are read later than this must be able to end in time.
const MAY_OUTLAST_UNTIL: Duration = Duration::from_millis(2_500);
/// How long before the end of the grace period the process ends. Less in a short grace period: in its last sixth, and
/// not before, a request may be broken off (rule LOST).
const KILL_MARGIN: Duration = Duration::from_millis(700);
const KILL_MARGIN_DIVISOR: u32 = 8;
/// How long before the end the last attempt may start: longer than a connect, so that each request has either been sent
/// to an instance or is answered before the process ends.
const ATTEMPT_MARGIN: Duration = Duration::from_millis(400);
const MAX_GRACE_S: f64 = 3_600.0;

/// What a proxy does during its shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShutdownPhase {
    /// Accepts connections and requests.
    Draining,
    /// Finishes requests in flight and reads no new ones.
    Finishing,
    /// As before, and no attempt starts: requests that no instance works on are answered.
    Answering,
    /// The process ends.
    Ended,
}

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    drain: Duration,
    end: Duration,
}

impl ShutdownSchedule {
    pub fn new(grace_period_s: f64) -> Self {
        let grace = Duration::from_secs_f64(grace_period_s.clamp(0.0, MAX_GRACE_S));
        let kill_margin = KILL_MARGIN.min(grace / KILL_MARGIN_DIVISOR);
        Self {
            drain: MAX_DRAIN.min(grace / 2),
            end: grace - kill_margin,
        }
    }

    pub fn phase(&self, elapsed: Duration) -> ShutdownPhase {
        if elapsed < self.drain {
            ShutdownPhase::Draining
        } else if elapsed + ATTEMPT_MARGIN < self.end {
            ShutdownPhase::Finishing
        } else if elapsed < self.end {
            ShutdownPhase::Answering
        } else {
            ShutdownPhase::Ended
        }
    }

    /// Whether a request that was read at this time may begin. `remaining` is the time until its deadline.
    pub fn may_begin(&self, elapsed: Duration, remaining: Duration) -> bool {
        let may_outlast = elapsed < MAY_OUTLAST_UNTIL;
        let is_draining = self.phase(elapsed) == ShutdownPhase::Draining;
        is_draining && (may_outlast || self.ends_in_time(elapsed, remaining))
    }

    /// Whether a request that began while draining may be sent to an instance now, when its body is complete.
    pub fn may_send(&self, elapsed: Duration, remaining: Duration) -> bool {
        self.phase(elapsed) == ShutdownPhase::Draining || self.ends_in_time(elapsed, remaining)
    }

    fn ends_in_time(&self, elapsed: Duration, remaining: Duration) -> bool {
        elapsed.saturating_add(remaining) <= self.end
    }
}

#[cfg(test)]
mod tests;
