//! Parses and validates a configuration, and reports all faults.

use crate::faults::CONFIGURATION;
use crate::json::{MAX_BYTES, parse, parse_fault, parse_rule};
use crate::route::{Route, RouteKind};
use crate::route_table::{Limits, RouteTable, Service};
use crate::split::split;
use crate::tenants::tenants;
use crate::values::Value;
use rookpulley_diagnostics::{Faults, JsonError};
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::ops::Range;
use std::sync::Arc;

/// Upper limit of configured times.
const DAY_MS: f64 = 86_400_000.0;
const POSITIVE_MS: &str = "a number of milliseconds above 0";
const WEIGHT: &str = "a number from 0 on";

impl RouteTable {
    /// Parses a configuration. Does not retain `bytes`.
    pub fn read(bytes: &[u8]) -> Result<Self, Faults> {
        Self::read_incremental(bytes, None)
    }

    /// Parses a configuration, sharing the routes of unchanged rules with an earlier one. `earlier` is the text of that
    /// configuration and its table.
    pub fn read_incremental(
        bytes: &[u8],
        earlier: Option<(&[u8], &RouteTable)>,
    ) -> Result<Self, Faults> {
        // An invalid configuration is parsed again as a whole, to report all faults.
        match read_by_rule(bytes, earlier) {
            Ok(table) => Ok(table),
            Err(faults) => read_complete(bytes, faults),
        }
    }
}

/// Parses a configuration as a whole. If it has too many values for that, returns the faults already `known`.
fn read_complete(bytes: &[u8], known: Faults) -> Result<RouteTable, Faults> {
    let json = match parse(bytes) {
        Ok(json) => json,
        Err(JsonError::TooManyValues { .. }) if !known.is_empty() => return Err(known),
        Err(error) => return Err(parse_fault(bytes, error)),
    };
    let faults = RefCell::new(Faults::new(&CONFIGURATION));
    let table = table(Value::root(&json, &faults));
    let faults = faults.into_inner();
    match table {
        Some(table) if faults.is_empty() => Ok(table),
        _ => Err(faults),
    }
}

/// Routes of an earlier configuration by host and rule text.
type RuleCache<'a> = HashMap<(&'a str, &'a [u8]), &'a Arc<Route>>;

fn cached_rules<'a>(
    services: &[Service],
    earlier: Option<(&'a [u8], &'a RouteTable)>,
) -> RuleCache<'a> {
    let Some((bytes, table)) = earlier else {
        return RuleCache::new();
    };
    // Routes refer to services by index, so they can be shared only if the services are the same.
    let names = |services: &'a [Service]| services.iter().map(|service| service.name.as_str());
    if !names(&table.services).eq(services.iter().map(|service| service.name.as_str())) {
        return RuleCache::new();
    }
    let known = table.rules.iter().filter_map(|(at, route)| {
        let rule = bytes.get(at.clone())?;
        Some(((route.host.as_str(), rule), route))
    });
    known.collect()
}

/// Parses the rules one by one. On failure, returns the faults found so far, which may be none.
fn read_by_rule(bytes: &[u8], earlier: Option<(&[u8], &RouteTable)>) -> Result<RouteTable, Faults> {
    let faults = RefCell::new(Faults::new(&CONFIGURATION));
    let within_limit = Some(bytes).filter(|bytes| bytes.len() <= MAX_BYTES);
    let rest = within_limit
        .and_then(split)
        .and_then(|split| Some((parse(&split.rest).ok()?, split.rules)));
    let table = rest.and_then(|(json, rules)| {
        let text = SplitRules { bytes, rules };
        table_by_rule(Value::root(&json, &faults), &text, earlier)
    });
    let faults = faults.into_inner();
    table.filter(|_| faults.is_empty()).ok_or(faults)
}

struct SplitRules<'a> {
    bytes: &'a [u8],
    rules: Vec<Range<usize>>,
}

impl SplitRules<'_> {
    /// The rule that a placeholder refers to.
    fn resolve(&self, placeholder: &Value) -> Option<(Range<usize>, &[u8])> {
        let number = placeholder.field("").integer(0, "a number")?;
        let at = self.rules.get(usize::try_from(number).ok()?)?;
        Some((at.clone(), self.bytes.get(at.clone())?))
    }
}

fn table_by_rule(
    root: Value,
    rules: &SplitRules,
    earlier: Option<(&[u8], &RouteTable)>,
) -> Option<RouteTable> {
    if !root.require_object() {
        return None;
    }
    let version = root
        .field("configVersion")
        .required_integer(1, "a whole number from 1 to 9007199254740991")?;
    let limits = limits(root.field("limits"));
    let (services, indices) = services(root.field("services"));
    let known = cached_rules(&services, earlier);
    let (mut routes, mut parsed_rules) = (Vec::new(), Vec::with_capacity(rules.rules.len()));
    for host in root.field("hostnames").items() {
        let name = host
            .field("hostname")
            .required_string("the host that these rules are for")?;
        let name = name.to_ascii_lowercase();
        for rule in host.field("pathRules").items() {
            let Some((at, text)) = rules.resolve(&rule) else {
                routes.push(Arc::new(route(rule, &name, &indices)?));
                continue;
            };
            let route = match known.get(&(name.as_str(), text)) {
                Some(route) => Arc::clone(route),
                None => Arc::new(route(rule.with(&parse_rule(text)?), &name, &indices)?),
            };
            parsed_rules.push((at, route.clone()));
            routes.push(route);
        }
    }
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let is_duplicate = |pair: &[Arc<Route>]| matches!(pair, [a, b] if (&a.host, &a.prefix) == (&b.host, &b.prefix));
    if routes.windows(2).any(is_duplicate) {
        return None;
    }
    let mut table = RouteTable::new(version, limits, services, indices, routes);
    table.tenants = tenants(root.field("tenants"));
    table.rules = parsed_rules;
    Some(table)
}

/// Builds the table. Continues after a fault, so that all are recorded.
fn table(root: Value) -> Option<RouteTable> {
    if !root.require_object() {
        return None;
    }
    let version = root
        .field("configVersion")
        .required_integer(1, "a whole number from 1 to 9007199254740991");
    let limits = limits(root.field("limits"));
    let (services, indices) = services(root.field("services"));
    let mut routes = Routes::default();
    for (at, host) in root
        .field("hostnames")
        .items()
        .enumerate()
        .filter(|(_, host)| host.require_object())
    {
        routes.add_host(at, host, &indices);
    }
    let mut routes = routes.routes;
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let routes = routes.into_iter().map(Arc::new).collect();
    let tenants = tenants(root.field("tenants"));
    let mut table = RouteTable::new(version?, limits, services, indices, routes);
    table.tenants = tenants;
    Some(table)
}

fn limits(limits: Value) -> Limits {
    if !limits.is_present() || !limits.require_object() {
        return Limits::default();
    }
    let integer = |field: &'static str, default: u64| {
        limits
            .field(field)
            .integer(1, "a whole number above 0")
            .unwrap_or(default)
    };
    let defaults = Limits::default();
    Limits {
        max_header_bytes: integer("maxHeaderBytes", defaults.max_header_bytes as u64) as usize,
        max_body_bytes: integer("maxBodyBytes", defaults.max_body_bytes),
        header_timeout_ms: integer("headerTimeoutMs", defaults.header_timeout_ms),
        idle_timeout_ms: integer("idleTimeoutMs", defaults.idle_timeout_ms),
    }
}

fn services(list: Value) -> (Vec<Service>, HashMap<String, usize>) {
    let (mut services, mut indices) = (Vec::new(), HashMap::new());
    for service in list.items().filter(|service| service.require_object()) {
        let name = service.field("name").required_string("the service's name");
        let health = service.field("healthCheckPath");
        let health_path = health
            .string()
            .filter(|path| !path.is_empty())
            .unwrap_or("/health");
        if !health_path.starts_with('/') {
            health.record_fault(format!("{health_path:?}"), "a path that begins with \"/\"");
        }
        let connections = service
            .field("maxConnections")
            .integer(0, "a whole number from 0 on")
            .unwrap_or(0);
        let Some(name) = name else { continue };
        match indices.entry(name.to_string()) {
            Entry::Occupied(before) => service.field("name").record_fault(
                format!("{name:?}, as is services[{}].name", before.get()),
                "each service once, under a name of its own",
            ),
            Entry::Vacant(place) => _ = place.insert(services.len()),
        }
        services.push(Service {
            name: name.into(),
            health_path: health_path.into(),
            max_connections: u32::try_from(connections).unwrap_or(u32::MAX),
        });
    }
    (services, indices)
}

#[derive(Default)]
struct Routes {
    routes: Vec<Route>,
    /// Position of each host and prefix, to detect duplicates, which would leave open which of the two routes applies.
    seen: HashMap<(String, String), (usize, usize)>,
}

impl Routes {
    fn add_host(&mut self, at: usize, host: Value, indices: &HashMap<String, usize>) {
        let name = host
            .field("hostname")
            .required_string("the host that these rules are for");
        let name = name.unwrap_or_default().to_ascii_lowercase();
        for (rule_at, rule) in host.field("pathRules").items().enumerate() {
            if rule.require_object()
                && let Some(route) = route(rule, &name, indices)
            {
                match self.seen.entry((name.clone(), route.prefix.clone())) {
                    Entry::Occupied(before) => {
                        let (host, before) = before.get();
                        rule.field("pathPrefix").record_fault(
                            format!(
                                "{:?}, as it is in hostnames[{host}].pathRules[{before}]",
                                route.prefix
                            ),
                            "each prefix of a host once",
                        );
                    }
                    Entry::Vacant(place) => _ = place.insert((at, rule_at)),
                }
                self.routes.push(route);
            }
        }
    }
}

fn route(rule: Value, host: &str, indices: &HashMap<String, usize>) -> Option<Route> {
    let prefix = rule.field("pathPrefix");
    let prefix = prefix
        .required_string("a path that begins and ends with \"/\"")
        .filter(|text| {
            let fits = text.starts_with('/') && text.ends_with('/');
            if !fits {
                prefix.record_fault(
                    format!("{text:?}"),
                    "a path that begins and ends with \"/\"",
                );
            }
            fits
        });
    let name = rule.field("name").string().filter(|name| !name.is_empty());
    let kind = kind(rule.field("routeKind"));
    let timeout = rule
        .field("timeoutMs")
        .required_number(POSITIVE_MS, |ms| ms > 0.0);
    let latency_target = rule
        .field("targetLatencyMs")
        .number("a number of milliseconds", |ms| ms >= 0.0);
    let priority = rule
        .field("priority")
        .integer(0, "a whole number, 0 for the highest")
        .unwrap_or(0);
    let attempts = rule
        .field("maxAttempts")
        .required_integer(1, "a whole number of tasks, at least 1");
    let is_public = rule.field("publicAccess").boolean().unwrap_or(false);
    let targets = targets(rule, indices);

    let (prefix, timeout) = (prefix?, timeout?.min(DAY_MS));
    Some(Route {
        name: name.map_or_else(|| format!("{host}{prefix}"), String::from),
        host: host.into(),
        prefix: prefix.into(),
        kind: kind?,
        timeout_ms: timeout,
        latency_target_ms: latency_target
            .filter(|ms| *ms > 0.0)
            .map_or(timeout, |ms| ms.min(DAY_MS)),
        priority: u32::try_from(priority).unwrap_or(u32::MAX),
        is_public,
        max_attempts: u32::try_from(attempts?).unwrap_or(u32::MAX),
        targets: targets?,
    })
}

fn kind(kind: Value) -> Option<RouteKind> {
    let expected = "\"read_only\", \"mutating\" or \"download\"";
    match kind.required_string(expected)? {
        "read_only" => Some(RouteKind::ReadOnly),
        "mutating" => Some(RouteKind::Mutating),
        "download" => Some(RouteKind::Download),
        other => {
            kind.record_fault(format!("{other:?}"), expected);
            None
        }
    }
}

/// The target services of a rule with their weights: either `targetService` or the services of `trafficSplit`. The
/// unused field may be absent or empty.
fn targets(rule: Value, indices: &HashMap<String, usize>) -> Option<Vec<(usize, f64)>> {
    let (single, split) = (rule.field("targetService"), rule.field("trafficSplit"));
    let named = match single.string() {
        None if single.is_present() => return None,
        named => named.filter(|name| !name.is_empty()),
    };
    let shares = if split.is_present() {
        split.items().collect()
    } else {
        Vec::new()
    };
    if named.is_some() && shares.is_empty() {
        return Some(vec![(service(single, indices)?, 1.0)]);
    }
    if named.is_some() {
        split.record_fault("there beside targetService", "one of the two");
    }
    if shares.is_empty() {
        single.record_fault(
            "missing, and trafficSplit names no service",
            "the name of a service, or fill trafficSplit",
        );
        return None;
    }
    weighted_targets(split, &shares, indices)
}

fn weighted_targets(
    split: Value,
    shares: &[Value],
    indices: &HashMap<String, usize>,
) -> Option<Vec<(usize, f64)>> {
    let shares = shares
        .iter()
        .filter(|share| share.require_object())
        .map(|share| {
            let weight = share
                .field("weight")
                .required_number(WEIGHT, |weight| weight >= 0.0);
            let service = service(share.field("targetService"), indices);
            Some((service?, weight?))
        });
    // Collected first, so that the faults of all shares are recorded.
    let shares: Vec<Option<(usize, f64)>> = shares.collect();
    let shares: Vec<(usize, f64)> = shares.into_iter().collect::<Option<_>>()?;
    let sum: f64 = shares.iter().map(|(_, weight)| weight).sum();
    if sum > 0.0 && sum.is_finite() {
        Some(shares)
    } else {
        split.record_fault(
            format!("a list of weights that add up to {sum}"),
            "weights with a sum above 0",
        );
        None
    }
}

fn service(name: Value, indices: &HashMap<String, usize>) -> Option<usize> {
    let text = name.required_string("the name of a service")?;
    let index = indices.get(text).copied();
    if index.is_none() {
        name.record_fault(
            format!("{text:?}, which is no service"),
            "a name that stands under services",
        );
    }
    index
}
