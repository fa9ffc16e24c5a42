//! Figures for operators: what a controller has met since it began.

/// Counts that only rise, and the newest view.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Heartbeats of instances that are available.
    pub available_heartbeats: u64,
    /// Heartbeats of instances that are draining.
    pub draining_heartbeats: u64,
    /// Incarnations that proxies were told to send nothing more to.
    pub drains: u64,
    /// The newest view that is known.
    pub view: u64,
    /// How many views there were.
    pub views: u64,
    /// How many syncs of the store there were.
    pub syncs: u64,
    /// How long they took together, in microseconds.
    pub sync_us: u64,
    /// Messages with instance updates that were sent to all other controllers.
    pub updates_sent: u64,
    /// Instance updates that came from other controllers.
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
