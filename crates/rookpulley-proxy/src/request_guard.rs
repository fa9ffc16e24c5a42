//! Guards that track requests in progress.

use crate::body_length::BodyLength;
use crate::connection_monitor::ConnectionMonitor;
use crate::context::ProxyContext;
use std::rc::Rc;

/// Counts as a request in flight until dropped.
pub struct InFlightGuard(Rc<ProxyContext>);

impl InFlightGuard {
    pub fn new(proxy: &Rc<ProxyContext>) -> Self {
        let in_flight = &proxy.requests_in_flight;
        in_flight.set(in_flight.get() + 1);
        Self(proxy.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = &self.0.requests_in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
    }
}

/// Marks a request as active on its connection until dropped.
pub struct RequestGuard {
    monitor: Rc<ConnectionMonitor>,
    _in_flight: InFlightGuard,
}

impl RequestGuard {
    /// `body` is the remaining request body.
    pub fn new(
        proxy: &Rc<ProxyContext>,
        monitor: &Rc<ConnectionMonitor>,
        body: BodyLength,
    ) -> Self {
        monitor.request_started(body);
        Self {
            monitor: monitor.clone(),
            _in_flight: InFlightGuard::new(proxy),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.monitor.request_ended();
    }
}
