//! The operator's configuration in the form that requests are routed by.

use crate::route::Route;
use std::borrow::Cow;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// A configuration. It never changes: a newer one is a new value, and takes its place at once.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Its version, as the operator gave it.
    pub version: u64,
    /// What clients may send.
    pub limits: Limits,
    /// The services, in the order of the configuration.
    pub services: Vec<Service>,
    /// Their indices, by name.
    indices: HashMap<String, usize>,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    hosts: HashMap<String, Host>,
    /// By service: the least latency target of its routes.
    least_latency_targets_ms: Vec<Option<f64>>,
    /// Where rules stand in the bytes that it was read from, and the routes that came of them.
    pub(crate) rules: Vec<(Range<usize>, Arc<Route>)>,
}

/// A service that routes go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// The connections that one of its instances accepts from all callers together. 0: not known.
    pub max_connections: u32,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The longest head.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: u64,
    /// How long a head may take.
    pub header_ms: u64,
    /// How long a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 64 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Host {
    /// Its routes among all.
    routes: Range<usize>,
    /// The length of its longest prefix: no longer beginning of a path is looked up.
    longest_prefix: usize,
}

impl RouteTable {
    /// `routes` are sorted by host and prefix, and no two are alike in both.
    pub(crate) fn new(
        version: u64,
        limits: Limits,
        services: Vec<Service>,
        indices: HashMap<String, usize>,
        routes: Vec<Arc<Route>>,
    ) -> Self {
        let (mut hosts, mut from) = (HashMap::new(), 0);
        for of_host in routes.chunk_by(|one, next| one.host == next.host) {
            let Some(first) = of_host.first() else {
                continue;
            };
            let prefixes = of_host.iter().map(|route| route.prefix.len());
            let host = Host {
                routes: from..from + of_host.len(),
                longest_prefix: prefixes.max().unwrap_or(0),
            };
            hosts.insert(first.host.clone(), host);
            from += of_host.len();
        }
        let mut least_latency_targets_ms = vec![None; services.len()];
        for (service, latency_target_ms) in routes
            .iter()
            .flat_map(|r| r.targets.iter().map(|(at, _)| (*at, r.latency_target_ms)))
        {
            if let Some(least) = least_latency_targets_ms.get_mut(service) {
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
            least_latency_targets_ms,
            rules: Vec::new(),
        }
    }

    /// The least latency target of the routes that may go to this service. None: no route does.
    pub fn least_latency_target_ms(&self, service: usize) -> Option<f64> {
        self.least_latency_targets_ms
            .get(service)
            .copied()
            .flatten()
    }

    /// The route of a request: of the host's routes, the one with the longest prefix that begins the path. The
    /// host comes without port and in any case, the path without query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let lower = match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            true => Cow::Owned(host.to_ascii_lowercase()),
            false => Cow::Borrowed(host),
        };
        let host = self.hosts.get(lower.as_ref())?;
        let routes = self.routes.get(host.routes.clone())?;
        let bytes = path.as_bytes();
        let mut end = bytes.len().min(host.longest_prefix);
        // From the last slash that can end a prefix back to the first: the longest prefix is found first.
        while let Some(slash) = bytes.get(..end)?.iter().rposition(|byte| *byte == b'/') {
            let beginning = bytes.get(..=slash)?;
            if let Ok(at) = routes.binary_search_by(|route| route.prefix.as_bytes().cmp(beginning))
            {
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

    /// The service with this index.
    pub fn service(&self, index: usize) -> Option<&Service> {
        self.services.get(index)
    }

    /// The index of a service in `services`.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }
}
