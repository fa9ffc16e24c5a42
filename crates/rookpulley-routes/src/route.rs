//! A route: the targets, timeout and retry limits of its requests.

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent; may be sent more than once.
    ReadOnly,
    /// Must be executed at most once.
    Mutating,
    /// Idempotent with large responses.
    Download,
}

impl RouteKind {
    /// Whether a request may safely be executed more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Mutating
    }
}

/// A routing rule of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Configured name, or host and prefix if none is configured.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// How its requests may be retried.
    pub kind: RouteKind,
    /// Request timeout, greater than 0 and at most one day, so that it fits any representation of time.
    pub timeout_ms: f64,
    /// Target response time.
    pub latency_target_ms: f64,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether requests need no API key although the configuration has tenants.
    pub is_public: bool,
    /// Maximum number of instances that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// Indices into `RouteTable::services` with their weights. No weight is negative, and the sum is positive.
    pub targets: Vec<(usize, f64)>,
}

impl Route {
    /// Selects a service by weight and returns its index. `random` is uniformly distributed in `[0, 1)`. A service of
    /// weight 0 is never selected, even for values outside that range.
    pub fn select_target(&self, random: f64) -> Option<usize> {
        let sum: f64 = self.targets.iter().map(|(_, weight)| weight).sum();
        let (mut remaining, mut selected) = (random * sum, None);
        for (service, weight) in self.targets.iter().filter(|(_, weight)| *weight > 0.0) {
            selected = Some(*service);
            if remaining < *weight {
                break;
            }
            remaining -= weight;
        }
        selected
    }
}
