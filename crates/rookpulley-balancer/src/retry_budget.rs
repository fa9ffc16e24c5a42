//! Token bucket that limits the retries of one service.

/// Time constant of the exponential decay of tokens above the share.
const DECAY_MS: f64 = 2_000.0;
/// Bucket capacity when the share is less than one token. It is above one so that a whole token is left after the decay
/// during an attempt: with a capacity of one, any attempt that took time left less, and no retry was ever allowed.
const SMALL_SHARE_CAPACITY: f64 = 2.0;
/// Used fraction of the allowed ratio. The rest covers retries that arrive in a later window than their withdrawal.
const RATIO_FRACTION: f64 = 0.8;
/// Used fraction of the allowed slack. The rest covers proxies that are not counted yet.
const SLACK_FRACTION: f64 = 0.7;

/// A token bucket: each request deposits a fraction of a token, each retry withdraws a whole one.
///
/// In any window, all proxies together may send `ratio` retries per request plus `slack`. A bucket starts empty, so a
/// restart adds no retries. Withdrawals in a window are bounded by the balance at its start plus the deposits during it.
/// The balance is limited to this proxy's share of the slack; summed over all proxies both terms stay within the limit.
///
/// If the share is less than one token, the bucket can hold more than its share, but the excess decays within seconds,
/// so that it is always backed by recent requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    deposit: f64,
    slack: f64,
    /// This proxy's part of the slack. None until the number of proxies is known; no retry is allowed before.
    share: Option<f64>,
    decayed_ms: f64,
}

impl RetryBudget {
    /// Creates an empty bucket. `ratio` and `slack` are the limits for all proxies together.
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            tokens: 0.0,
            deposit: RATIO_FRACTION * finite_or_zero(ratio),
            slack: SLACK_FRACTION * finite_or_zero(slack),
            share: None,
            decayed_ms: 0.0,
        }
    }

    /// Sets the number of proxies that share the slack.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.share = Some(self.slack / f64::from(proxies.max(1)));
        self.cap_tokens();
    }

    /// Deposits the tokens for one request.
    pub fn record_request(&mut self, now_ms: f64) {
        self.decay(now_ms);
        self.tokens += self.deposit;
        self.cap_tokens();
    }

    /// Whether a token for a retry is available.
    pub fn has_token(&mut self, now_ms: f64) -> bool {
        self.decay(now_ms);
        self.share.is_some() && self.tokens >= 1.0
    }

    /// Withdraws a token for a retry. Returns false if none is available and the retry must not be sent.
    pub fn withdraw(&mut self, now_ms: f64) -> bool {
        let has_token = self.has_token(now_ms);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the token of a retry that was not sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.cap_tokens();
    }

    fn cap_tokens(&mut self) {
        let share = self.share.filter(|share| *share >= 1.0);
        self.tokens = self.tokens.min(share.unwrap_or(SMALL_SHARE_CAPACITY));
    }

    fn decay(&mut self, now_ms: f64) {
        let elapsed_ms = (now_ms - self.decayed_ms).max(0.0);
        self.decayed_ms = self.decayed_ms.max(now_ms);
        let excess = self.tokens - self.share.unwrap_or(0.0);
        if excess > 0.0 && self.share.is_none_or(|share| share < 1.0) {
            self.tokens -= excess * (1.0 - (-elapsed_ms / DECAY_MS).exp());
        }
    }
}

fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
