//! Service settings that affect tables.

/// Settings of a service, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that each instance accepts from all proxies together; 0 if unknown.
    pub max_connections: u32,
    /// Smallest latency target of its routes, in milliseconds; 0 if unknown.
    pub latency_target_ms: f64,
}
