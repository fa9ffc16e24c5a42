//! Estimate of the channel's backlog: acknowledgements confirm what was delivered; unconfirmed lines drain at a reduced
//! rate, further reduced while an acknowledgement is overdue.

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

/// Backlog allowed for non-urgent updates: enough to keep the channel busy until the next round. The queue is FIFO, so
/// a longer backlog would delay drains, as the tables of a mass join did.
pub(super) fn room(pace: &ChannelLimits) -> f64 {
    let busy_ms = ROUND_MS + 2.0 * pace.max_transit_ms;
    pace.backlog_lines.min(pace.lines_per_s * busy_ms / 1e3)
}
