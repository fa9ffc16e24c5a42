//! Number of proxies in the fleet, and the connection limit derived from it.

/// How long a smaller count is ignored, so that a partition does not increase the shares.
const DECREASE_DELAY_MS: f64 = 60_000.0;
/// Connection limit for an instance that does not specify a maximum.
const DEFAULT_CONNECTIONS: usize = 16;
/// Lower bound of the connection limit of one proxy.
const MIN_CONNECTIONS: usize = 4;

/// Number of proxies in the fleet, as reported by controllers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    proxies: u32,
    updated_ms: f64,
}

impl FleetSize {
    /// Number of proxies. 0 until it is known.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Processes a count reported by a controller. Returns true if the number has changed.
    pub fn update(&mut self, now_ms: f64, proxies: u32) -> bool {
        let before = self.proxies;
        if proxies >= before || now_ms - self.updated_ms > DECREASE_DELAY_MS {
            self.proxies = proxies;
            self.updated_ms = now_ms;
        }
        self.proxies != before
    }

    /// Connection limit of this proxy to one instance. `max_connections` is the instance's limit for all proxies, or 0 if
    /// it specifies none.
    pub fn connection_limit(&self, max_connections: u32) -> usize {
        if max_connections == 0 {
            return DEFAULT_CONNECTIONS;
        }
        let share = max_connections.div_ceil(self.proxies.max(1)) as usize;
        share.max(MIN_CONNECTIONS)
    }
}
