//! Counts of what a controller has met since it began.

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Of tasks that are available, of those that drain.
    pub heartbeats: [u64; 2],
    /// Incarnations that were told to the proxies to get nothing more.
    pub drains: u64,
    /// The newest view that is known, and how many there were.
    pub view: u64,
    pub views: u64,
    pub syncs: u64,
    pub sync_us: u64,
    pub news_told: u64,
    pub news_heard: u64,
}

impl Tally {
    pub(crate) fn heartbeat(&mut self, draining: bool) {
        let [available, drains] = &mut self.heartbeats;
        *if draining { drains } else { available } += 1;
    }

    pub(crate) fn view(&mut self, number: u64) {
        if std::mem::replace(&mut self.view, number) != number {
            self.views += 1;
        }
    }

    pub(crate) fn sync(&mut self, took_ms: f64) {
        self.syncs += 1;
        self.sync_us += (took_ms * 1e3) as u64;
    }
}
