//! What tables need to know of a service.

/// A service as the configuration has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How many connections one of its instances accepts from all proxies together. 0: not known.
    pub max_connections: u32,
    /// The shortest latency target of its routes, in milliseconds. 0: not known.
    pub latency_target_ms: f64,
}
