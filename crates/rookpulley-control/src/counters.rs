//! Metrics of a controller since its start.

/// Monotonic counters and the number of the latest view.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Heartbeats received from available instances.
    pub available_heartbeats: u64,
    /// Heartbeats received from draining instances.
    pub draining_heartbeats: u64,
    /// Incarnations announced to proxies as draining or gone.
    pub drains: u64,
    /// Number of the latest known view.
    pub view: u64,
    /// Number of view changes.
    pub views: u64,
    /// Number of store syncs.
    pub syncs: u64,
    /// Total duration of store syncs, in microseconds.
    pub sync_us: u64,
    /// Broadcasts of instance updates to the other controllers.
    pub updates_sent: u64,
    /// Instance updates received from other controllers.
    pub updates_received: u64,
}

impl Counters {
    pub(crate) fn heartbeat(&mut self, is_draining: bool) {
        if is_draining {
            self.draining_heartbeats += 1;
        } else {
            self.available_heartbeats += 1;
        }
    }

    pub(crate) fn view(&mut self, number: u64) {
        if self.view != number {
            self.view = number;
            self.views += 1;
        }
    }

    pub(crate) fn sync(&mut self, took_ms: f64) {
        self.syncs += 1;
        self.sync_us += (took_ms * 1e3) as u64;
    }
}
