//! What pays for further sends of requests to one service.

/// A bucket of tokens. The first try of each request puts in a part of a token, a further send takes a whole one.
///
/// The users allow a service, over all proxies and in any window, `ratio` further sends a request and `slack` more.
/// A bucket starts empty, so a restart adds nothing. What one bucket pays in a window is at most what it held at
/// its start plus what came in during it: the first is bounded by a share of 0.7 of the slack, the second is
/// 0.8 of `ratio` for each request, and both add up over proxies to less than what is allowed. The rest
/// is left for sends that arrive in a later window than they were paid in, and for proxies not counted yet.
/// Where a share is less than one token, up to two can still be saved, so that one is left when a try has ended, but
/// what is above the share leaks away within seconds: it is then backed by requests of the same window.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    deposit: f64,
    slack: f64,
    /// Nothing is paid before the number of proxies is known.
    share: Option<f64>,
    leaked_ms: f64,
}

/// How fast tokens above the share are lost: by a factor of e in so many ms.
const LEAK_MS: f64 = 2_000.0;
/// With one token at most, the leak left less than one to any try that took time: nothing was ever paid.
const SAVED: f64 = 2.0;

impl Budget {
    /// `ratio` and `slack` as the users state them for all proxies together.
    pub fn new(ratio: f64, slack: f64) -> Budget {
        let sane = |value: f64| {
            if value.is_finite() {
                value.max(0.0)
            } else {
                0.0
            }
        };
        Budget {
            tokens: 0.0,
            deposit: 0.8 * sane(ratio),
            slack: 0.7 * sane(slack),
            share: None,
            leaked_ms: 0.0,
        }
    }

    /// How many proxies share the slack.
    pub fn shared_by(&mut self, proxies: u32) {
        self.share = Some(self.slack / f64::from(proxies.max(1)));
        self.bound();
    }

    /// A request has come.
    pub fn request(&mut self, now_ms: f64) {
        self.leak(now_ms);
        self.tokens += self.deposit;
        self.bound();
    }

    /// Whether a further send could be paid.
    pub fn has(&mut self, now_ms: f64) -> bool {
        self.leak(now_ms);
        self.share.is_some() && self.tokens >= 1.0
    }

    /// Pays for a further send, or doesn't.
    pub fn take(&mut self, now_ms: f64) -> bool {
        let has = self.has(now_ms);
        if has {
            self.tokens -= 1.0;
        }
        has
    }

    /// A send that was paid didn't leave.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
        self.bound();
    }

    fn bound(&mut self) {
        self.tokens = self
            .tokens
            .min(self.share.filter(|share| *share >= 1.0).unwrap_or(SAVED));
    }

    fn leak(&mut self, now_ms: f64) {
        let gone_ms = (now_ms - self.leaked_ms).max(0.0);
        self.leaked_ms = self.leaked_ms.max(now_ms);
        let above = self.tokens - self.share.unwrap_or(0.0);
        if above > 0.0 && self.share.is_none_or(|share| share < 1.0) {
            self.tokens -= above * (1.0 - (-gone_ms / LEAK_MS).exp());
        }
    }
}
