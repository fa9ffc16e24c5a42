//! One route: where its requests go and how long they may take.

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run twice at no harm.
    ReadOnly,
    /// Runs once at most.
    Mutating,
    /// Large answers, otherwise as `ReadOnly`.
    Download,
}

impl RouteKind {
    /// Whether a request may run twice at no harm.
    pub fn is_idempotent(self) -> bool {
        self != Self::Mutating
    }
}

/// One rule of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that the operator gave it.
    pub name: String,
    /// In lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Above 0 and a day at most, so that it can be turned into any form of time.
    pub timeout_ms: f64,
    /// Within it, an answer earns its full value.
    pub latency_target_ms: f64,
    /// 0 is the highest.
    pub priority: u32,
    /// How many instances one request may be sent to, at least 1.
    pub attempts: u32,
    /// Indices of `RouteTable::services`, each with its weight. No weight is below 0, and their sum is above it.
    pub targets: Vec<(usize, f64)>,
}

impl Route {
    /// The index of a service, drawn by weight. `random` is even over 0 to 1, without 1. A service of weight 0 is
    /// never drawn, whatever `random` is.
    pub fn draw(&self, random: f64) -> Option<usize> {
        let sum: f64 = self.targets.iter().map(|(_, weight)| weight).sum();
        let (mut left, mut drawn) = (random * sum, None);
        for (service, weight) in self.targets.iter().filter(|(_, weight)| *weight > 0.0) {
            drawn = Some(*service);
            if left < *weight {
                break;
            }
            left -= weight;
        }
        drawn
    }
}
