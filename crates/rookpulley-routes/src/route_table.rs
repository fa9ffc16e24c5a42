//! The snapshot: a configuration that holds, as the data path asks it.

use crate::route::Route;
use std::borrow::Cow;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// A configuration. It never changes: a newer one is a new value, swapped in whole.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub version: u64,
    pub limits: Limits,
    pub services: Vec<Service>,
    places: HashMap<String, usize>,
    /// Sorted by host, then by prefix.
    routes: Vec<Arc<Route>>,
    hosts: HashMap<String, Host>,
    /// By service: the shortest aim of its routes.
    least_latency_targets_ms: Vec<Option<f64>>,
    /// Where rules stand in the bytes that it was read from, and the routes that came of them.
    pub(crate) rules: Vec<(Range<usize>, Arc<Route>)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    /// The connections that one of its tasks accepts from all callers together. 0: not known.
    pub max_connections: u32,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: u64,
    pub header_ms: u64,
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
    longest: usize,
}

impl RouteTable {
    /// `routes` are sorted by host and prefix, and no two are alike in both.
    pub(crate) fn bound(
        version: u64,
        limits: Limits,
        services: Vec<Service>,
        places: HashMap<String, usize>,
        routes: Vec<Arc<Route>>,
    ) -> Self {
        let (mut hosts, mut from) = (HashMap::new(), 0);
        for of_host in routes.chunk_by(|one, next| one.host == next.host) {
            let Some(first) = of_host.first() else {
                continue;
            };
            let longest = of_host
                .iter()
                .map(|route| route.prefix.len())
                .max()
                .unwrap_or(0);
            hosts.insert(
                first.host.clone(),
                Host {
                    routes: from..from + of_host.len(),
                    longest,
                },
            );
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
            places,
            routes,
            hosts,
            least_latency_targets_ms,
            rules: Vec::new(),
        }
    }

    /// The shortest aim of the routes that may go to this service; none: no route does.
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
        let mut end = bytes.len().min(host.longest);
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

    pub fn service(&self, place: usize) -> Option<&Service> {
        self.services.get(place)
    }

    /// Where a service stands in `services`.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.places.get(name).copied()
    }
}
