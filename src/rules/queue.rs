//! The channel as it is taken to run: answers show what has left; till then slow, more so while one is late.

use crate::{interface::ChannelLimits, rules::ROUND_MS, state::Channel};

const UNCONFIRMED_RATE_SHARE: f64 = 0.25;
const OVERDUE_RATE_SHARE: f64 = 0.05;
const OVERDUE_TRANSITS: f64 = 2.0;

impl Channel {
    pub(super) fn advance(&mut self, now: f64, lines_per_s: f64, max_transit_ms: f64) {
        let overdue =
            self.waiting() > 0.0 && now - self.moved_ms > OVERDUE_TRANSITS * max_transit_ms;
        let part = if overdue {
            OVERDUE_RATE_SHARE
        } else {
            UNCONFIRMED_RATE_SHARE
        };
        let sent = (now - self.as_of_ms) / 1e3 * lines_per_s * part;
        (self.left, self.as_of_ms) = ((self.left + sent).min(self.written), now);
    }
}

/// How much may wait for what is not urgent. The queue is emptied in order: more than keeps it busy to the
/// next round, and till answers tell, only holds up drains. Tables of a mass join did.
pub(super) fn room(pace: &ChannelLimits) -> f64 {
    let busy_ms = ROUND_MS + 2.0 * pace.max_transit_ms;
    pace.backlog_lines.min(pace.lines_per_s * busy_ms / 1e3)
}
