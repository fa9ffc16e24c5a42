//! How many proxies there are, and the share of one of them.

/// For so long a number is believed against smaller ones: a partition must not make shares larger.
const BELIEVED_MS: f64 = 60_000.0;
/// Connections to an instance that doesn't say how many it takes.
const DEFAULT_CONNECTIONS: usize = 16;
/// The fewest connections that one proxy may have to an instance.
const MIN_CONNECTIONS: usize = 4;

/// The number of proxies, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    proxies: u32,
    updated_ms: f64,
}

impl FleetSize {
    /// The number of proxies. 0: not known yet.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// A controller says how many there are. True: the number has changed.
    pub fn update(&mut self, now_ms: f64, proxies: u32) -> bool {
        let before = self.proxies;
        if proxies >= before || now_ms - self.updated_ms > BELIEVED_MS {
            self.proxies = proxies;
            self.updated_ms = now_ms;
        }
        self.proxies != before
    }

    /// How many connections this proxy may have to one instance, which accepts so many from all. 0: it doesn't say.
    pub fn connection_limit(&self, max_connections: u32) -> usize {
        if max_connections == 0 {
            return DEFAULT_CONNECTIONS;
        }
        let share = max_connections.div_ceil(self.proxies.max(1)) as usize;
        share.max(MIN_CONNECTIONS)
    }
}
