//! The own lease of a duty. It counts from when it was asked for, so it ends here before it ends in the replicated state.

/// The outcome of a request for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The lease is held with this fencing token.
    Acquired(u64),
    /// Another controller holds it, or may not be followed yet.
    Held,
    /// The request may or may not have taken effect.
    Unknown,
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Held {
    fence: u64,
    asked_ms: f64,
}

/// The lease of this controller.
#[derive(Debug, Default)]
pub(crate) struct OwnLease {
    held: Option<Held>,
    /// When the request without an answer was made.
    pending_since_ms: Option<f64>,
    last_asked_ms: Option<f64>,
    /// Highest token that the platform has refused.
    refused_fence: u64,
}

impl OwnLease {
    /// Records that the lease is asked for now. Returns the token that the new one must be above.
    pub fn ask(&mut self, now_ms: f64) -> u64 {
        self.pending_since_ms = Some(now_ms);
        self.last_asked_ms = Some(now_ms);
        self.refused_fence
    }

    /// Whether a request is without an answer.
    pub fn is_asking(&self) -> bool {
        self.pending_since_ms.is_some()
    }

    /// Whether the last request was made at least this long ago.
    pub fn asked_before(&self, now_ms: f64, interval_ms: f64) -> bool {
        self.last_asked_ms
            .is_none_or(|asked_ms| now_ms - asked_ms >= interval_ms)
    }

    /// Processes the answer to the pending request.
    pub fn answered(&mut self, answer: LeaseAnswer) {
        let Some(asked_ms) = self.pending_since_ms.take() else {
            return;
        };
        match answer {
            LeaseAnswer::Acquired(fence) if fence > self.refused_fence => {
                self.held = Some(Held { fence, asked_ms });
            }
            LeaseAnswer::Acquired(_) | LeaseAnswer::Held => self.held = None,
            LeaseAnswer::Unknown => {}
        }
    }

    /// The token, if the lease still lasts at least `margin_ms` from now on.
    pub fn fence(&self, now_ms: f64, lease_ms: f64, margin_ms: f64) -> Option<u64> {
        let held = self.held?;
        (now_ms + margin_ms < held.asked_ms + lease_ms).then_some(held.fence)
    }

    /// The platform has seen a higher token: this one is never used again.
    pub fn refused(&mut self, fence: u64) {
        self.refused_fence = self.refused_fence.max(fence);
        self.held.take_if(|held| held.fence <= self.refused_fence);
    }

    /// Gives the lease up. Returns its token.
    pub fn release(&mut self) -> Option<u64> {
        self.held.take().map(|held| held.fence)
    }
}
