//! The validated configuration and route lookup.

use crate::route::Route;
use rookpulley_tenants::TenantTable;
use std::borrow::Cow;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// An immutable configuration. A newer configuration replaces it as a whole.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version assigned by the operator.
    pub version: u64,
    /// Limits on client requests.
    pub limits: Limits,
    /// Services in configuration order.
    pub services: Vec<Service>,
    /// Indices into `services` by name.
    indices: HashMap<String, usize>,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    hosts: HashMap<String, Host>,
    /// Smallest latency target of the routes to each service.
    min_latency_targets_ms: Vec<Option<f64>>,
    /// None if the configuration has no tenants, so that requests need no API key.
    pub(crate) tenants: Option<TenantTable>,
    /// Byte ranges of the rules in the source text, with the resulting routes.
    pub(crate) rules: Vec<(Range<usize>, Arc<Route>)>,
}

/// A service that routes can target.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that each instance accepts from all clients together; 0 if unknown.
    pub max_connections: u32,
}

/// Size and time limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of the request header.
    pub max_header_bytes: usize,
    /// Maximum size of the request body.
    pub max_body_bytes: u64,
    /// Timeout for receiving the request header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of idle connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Host {
    /// Range of its routes in `RouteTable::routes`.
    routes: Range<usize>,
    /// Length of its longest prefix, an upper bound for lookups.
    longest_prefix: usize,
}

impl RouteTable {
    /// `routes` must be sorted by host and prefix, without duplicates.
    pub(crate) fn new(
        version: u64,
        limits: Limits,
        services: Vec<Service>,
        indices: HashMap<String, usize>,
        routes: Vec<Arc<Route>>,
    ) -> Self {
        let (mut hosts, mut from) = (HashMap::new(), 0);
        for host_routes in routes.chunk_by(|a, b| a.host == b.host) {
            let Some(first) = host_routes.first() else {
                continue;
            };
            let prefixes = host_routes.iter().map(|route| route.prefix.len());
            let host = Host {
                routes: from..from + host_routes.len(),
                longest_prefix: prefixes.max().unwrap_or(0),
            };
            hosts.insert(first.host.clone(), host);
            from += host_routes.len();
        }
        let mut min_latency_targets_ms = vec![None; services.len()];
        for (service, latency_target_ms) in routes
            .iter()
            .flat_map(|r| r.targets.iter().map(|(at, _)| (*at, r.latency_target_ms)))
        {
            if let Some(least) = min_latency_targets_ms.get_mut(service) {
                *least = Some(
                    least.map_or(latency_target_ms, |least: f64| least.min(latency_target_ms)),
                );
            }
        }
        Self {
            version,
            limits,
            services,
            indices,
            routes,
            hosts,
            min_latency_targets_ms,
            tenants: None,
            rules: Vec::new(),
        }
    }

    /// The smallest latency target of the routes to a service. `None` if no route targets it.
    pub fn min_latency_target_ms(&self, service: usize) -> Option<f64> {
        self.min_latency_targets_ms.get(service).copied().flatten()
    }

    /// Looks up the route with the longest matching prefix. The host is case-insensitive and has no port; the path has
    /// no query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let lower = match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            true => Cow::Owned(host.to_ascii_lowercase()),
            false => Cow::Borrowed(host),
        };
        let host = self.hosts.get(lower.as_ref())?;
        let routes = self.routes.get(host.routes.clone())?;
        let bytes = path.as_bytes();
        let mut end = bytes.len().min(host.longest_prefix);
        // Tries prefixes from longest to shortest, ending at each slash.
        while let Some(slash) = bytes.get(..end)?.iter().rposition(|byte| *byte == b'/') {
            let prefix = bytes.get(..=slash)?;
            if let Ok(at) = routes.binary_search_by(|route| route.prefix.as_bytes().cmp(prefix)) {
                return routes.get(at).map(Arc::as_ref);
            }
            end = slash;
        }
        None
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Route> {
        self.routes.iter().map(Arc::as_ref)
    }

    /// The service at an index.
    pub fn service(&self, index: usize) -> Option<&Service> {
        self.services.get(index)
    }

    /// The tenants, or None if requests need no API key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// The index of a service by name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }
}
