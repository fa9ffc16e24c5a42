//! Reports attempts to the endpoint picker.

use crate::context::ProxyContext;
use rookpulley_balancer::{AttemptOutcome, Pick};
use rookpulley_proxy_core::AttemptEnd;
use std::rc::Rc;

/// An attempt in progress. Dropping it without an outcome cancels it.
pub struct TrackedAttempt {
    proxy: Rc<ProxyContext>,
    service: Rc<str>,
    pick: Option<Pick>,
    start_ms: f64,
}

impl TrackedAttempt {
    pub fn new(proxy: &Rc<ProxyContext>, service: &Rc<str>, pick: Pick) -> Self {
        Self {
            start_ms: proxy.now_ms(),
            proxy: proxy.clone(),
            service: service.clone(),
            pick: Some(pick),
        }
    }

    pub fn end_with_outcome(self, outcome: AttemptOutcome) {
        self.end(AttemptEnd::Outcome(outcome));
    }

    pub fn end(mut self, end: AttemptEnd) {
        let Some(pick) = self.pick.take() else {
            return;
        };
        let incarnation = pick.entry.incarnation.clone();
        let is_wrong_instance = self
            .proxy
            .step(|state, now| state.record_attempt(&self.service, pick, end, self.start_ms, now));
        if is_wrong_instance {
            self.proxy.upstreams.close(&incarnation);
        }
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            self.proxy.step(|state, _| state.endpoints.cancel(pick));
        }
    }
}
