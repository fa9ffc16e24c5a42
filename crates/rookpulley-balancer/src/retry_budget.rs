//! What pays for the retries of requests to one service.

/// How fast tokens above the share are lost: by a factor of e in so many milliseconds.
const LEAK_MS: f64 = 2_000.0;
/// How many tokens may be saved where the share is less than one. With one at most, the leak left less than one to any
/// attempt that took time: nothing was ever paid.
const MAX_SAVED_TOKENS: f64 = 2.0;
/// What part of the allowed ratio is used. The rest is for retries that arrive in a later window than they were paid in.
const USED_RATIO: f64 = 0.8;
/// What part of the allowed slack is used. The rest is for proxies that aren't counted yet.
const USED_SLACK: f64 = 0.7;

/// A token bucket: the first attempt of each request puts in a part of a token, a retry takes a whole one.
///
/// The users allow a service, over all proxies and in any window, `ratio` retries a request and `slack` more (RULES,
/// retries). A bucket starts empty, so a restart adds nothing. What one bucket pays in a window is at most what it held
/// at its start plus what came in during it: the first is bounded by a share of 0.7 of the slack, the second is 0.8 of
/// `ratio` for each request, and both add up over all proxies to less than what is allowed.
///
/// Where a share is less than one token, up to two can still be saved, so that one is left when an attempt has ended;
/// but what is above the share leaks away within seconds: it is then backed by requests of the same window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    deposit: f64,
    slack: f64,
    /// This proxy's part of the slack. Nothing is paid before the number of proxies is known.
    share: Option<f64>,
    leaked_ms: f64,
}

impl RetryBudget {
    /// An empty bucket. `ratio` and `slack` are what the users allow to all proxies together.
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            tokens: 0.0,
            deposit: USED_RATIO * finite_or_zero(ratio),
            slack: USED_SLACK * finite_or_zero(slack),
            share: None,
            leaked_ms: 0.0,
        }
    }

    /// So many proxies share the slack.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.share = Some(self.slack / f64::from(proxies.max(1)));
        self.limit();
    }

    /// A request has come.
    pub fn record_request(&mut self, now_ms: f64) {
        self.leak(now_ms);
        self.tokens += self.deposit;
        self.limit();
    }

    /// Whether a retry could be paid.
    pub fn can_pay(&mut self, now_ms: f64) -> bool {
        self.leak(now_ms);
        self.share.is_some() && self.tokens >= 1.0
    }

    /// Pays for a retry. False: it can't, and there must be none.
    pub fn withdraw(&mut self, now_ms: f64) -> bool {
        let can_pay = self.can_pay(now_ms);
        if can_pay {
            self.tokens -= 1.0;
        }
        can_pay
    }

    /// A retry that was paid for wasn't sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.limit();
    }

    fn limit(&mut self) {
        let share = self.share.filter(|share| *share >= 1.0);
        self.tokens = self.tokens.min(share.unwrap_or(MAX_SAVED_TOKENS));
    }

    fn leak(&mut self, now_ms: f64) {
        let passed_ms = (now_ms - self.leaked_ms).max(0.0);
        self.leaked_ms = self.leaked_ms.max(now_ms);
        let above = self.tokens - self.share.unwrap_or(0.0);
        if above > 0.0 && self.share.is_none_or(|share| share < 1.0) {
            self.tokens -= above * (1.0 - (-passed_ms / LEAK_MS).exp());
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
