//! From the operator's bytes to the snapshot, or to all that is wrong with them.

use crate::faults::CONFIGURATION;
use crate::json::{MAX_BYTES, parse, parse_rule, unread};
use crate::route::{Route, RouteKind};
use crate::route_table::{Limits, RouteTable, Service};
use crate::split::split;
use crate::values::Value;
use rookpulley_diagnostics::{Faults, JsonError};
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::ops::Range;
use std::sync::Arc;

/// No request is held longer, whatever a route says.
const DAY_MS: f64 = 86_400_000.0;
const ABOVE_0: &str = "a number of milliseconds above 0";
const WEIGHT: &str = "a number from 0 on";

impl RouteTable {
    /// The operator's configuration as it was sent. Nothing of the bytes is kept.
    pub fn read(bytes: &[u8]) -> Result<Self, Faults> {
        Self::read_after(bytes, None)
    }

    /// The same after an earlier one, with the bytes that it was read from: routes whose rules have not changed are
    /// shared with it, so that a change costs what it changes.
    pub fn read_after(bytes: &[u8], earlier: Option<(&[u8], &RouteTable)>) -> Result<Self, Faults> {
        // What is faulty is read whole, to be told of with all that is wrong with it.
        match read_by_rule(bytes, earlier) {
            Ok(table) => Ok(table),
            Err(found) => read_whole(bytes, found),
        }
    }
}

/// `found`: what is known to be wrong with it, where it is too much to be built at once.
fn read_whole(bytes: &[u8], found: Faults) -> Result<RouteTable, Faults> {
    let json = match parse(bytes) {
        Ok(json) => json,
        Err(JsonError::TooManyValues { .. }) if !found.is_empty() => return Err(found),
        Err(why) => return Err(unread(bytes, why)),
    };
    let faults = RefCell::new(Faults::new(&CONFIGURATION));
    let table = table(Value::top(&json, &faults));
    let faults = faults.into_inner();
    match table {
        Some(table) if faults.is_empty() => Ok(table),
        _ => Err(faults),
    }
}

/// Rules of an earlier configuration with their hosts, and the routes that came of them.
type KnownRules<'a> = HashMap<(&'a str, &'a [u8]), &'a Arc<Route>>;

fn known_rules<'a>(
    services: &[Service],
    earlier: Option<(&'a [u8], &'a RouteTable)>,
) -> KnownRules<'a> {
    let Some((bytes, table)) = earlier else {
        return KnownRules::new();
    };
    // Routes name services by their places.
    let names = |services: &'a [Service]| services.iter().map(|service| service.name.as_str());
    if !names(&table.services).eq(services.iter().map(|service| service.name.as_str())) {
        return KnownRules::new();
    }
    let known = table.rules.iter().filter_map(|(at, route)| {
        let rule = bytes.get(at.clone())?;
        Some(((route.host.as_str(), rule), route))
    });
    known.collect()
}

/// What is wrong with it as far as that was found: nothing, where it must be read whole to tell.
fn read_by_rule(bytes: &[u8], earlier: Option<(&[u8], &RouteTable)>) -> Result<RouteTable, Faults> {
    let faults = RefCell::new(Faults::new(&CONFIGURATION));
    let short = Some(bytes).filter(|bytes| bytes.len() <= MAX_BYTES);
    let rest = short
        .and_then(split)
        .and_then(|split| Some((parse(&split.rest).ok()?, split.rules)));
    let table = rest.and_then(|(json, rules)| {
        let text = RuleText { bytes, rules };
        table_by_rule(Value::top(&json, &faults), &text, earlier)
    });
    let faults = faults.into_inner();
    table.filter(|_| faults.is_empty()).ok_or(faults)
}

struct RuleText<'a> {
    bytes: &'a [u8],
    rules: Vec<Range<usize>>,
}

impl RuleText<'_> {
    /// The rule that this value stands in for.
    fn of(&self, stand_in: &Value) -> Option<(Range<usize>, &[u8])> {
        let number = stand_in.field("").whole(0, "a number")?;
        let at = self.rules.get(usize::try_from(number).ok()?)?;
        Some((at.clone(), self.bytes.get(at.clone())?))
    }
}

fn table_by_rule(
    top: Value,
    rules: &RuleText,
    earlier: Option<(&[u8], &RouteTable)>,
) -> Option<RouteTable> {
    if !top.is_object() {
        return None;
    }
    let version = top
        .field("configVersion")
        .whole_needed(1, "a whole number from 1 to 9007199254740991")?;
    let limits = limits(top.field("limits"));
    let (services, indices) = services(top.field("services"));
    let known = known_rules(&services, earlier);
    let (mut routes, mut read) = (Vec::new(), Vec::with_capacity(rules.rules.len()));
    for host in top.field("hostnames").items() {
        let name = host
            .field("hostname")
            .text_needed("the host that these rules are for")?;
        let name = name.to_ascii_lowercase();
        for rule in host.field("pathRules").items() {
            let Some((at, text)) = rules.of(&rule) else {
                routes.push(Arc::new(route(rule, &name, &indices)?));
                continue;
            };
            let route = match known.get(&(name.as_str(), text)) {
                Some(route) => Arc::clone(route),
                None => Arc::new(route(rule.with(&parse_rule(text)?), &name, &indices)?),
            };
            read.push((at, route.clone()));
            routes.push(route);
        }
    }
    routes.sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
    let alike = |pair: &[Arc<Route>]| matches!(pair, [one, next] if (&one.host, &one.prefix) == (&next.host, &next.prefix));
    if routes.windows(2).any(alike) {
        return None;
    }
    let mut table = RouteTable::new(version, limits, services, indices, routes);
    table.rules = read;
    Some(table)
}

/// Goes on after a fault, so that all are noted.
fn table(top: Value) -> Option<RouteTable> {
    if !top.is_object() {
        return None;
    }
    let version = top
        .field("configVersion")
        .whole_needed(1, "a whole number from 1 to 9007199254740991");
    let limits = limits(top.field("limits"));
    let (services, indices) = services(top.field("services"));
    let mut routes = Routes::default();
    for (at, host) in top
        .field("hostnames")
        .items()
        .enumerate()
        .filter(|(_, host)| host.is_object())
    {
        routes.add_host(at, host, &indices);
    }
    let mut routes = routes.routes;
    routes.sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
    let routes = routes.into_iter().map(Arc::new).collect();
    Some(RouteTable::new(version?, limits, services, indices, routes))
}

fn limits(limits: Value) -> Limits {
    if !limits.present() || !limits.is_object() {
        return Limits::default();
    }
    let whole = |field: &'static str, otherwise: u64| {
        limits
            .field(field)
            .whole(1, "a whole number above 0")
            .unwrap_or(otherwise)
    };
    let usual = Limits::default();
    Limits {
        header_bytes: whole("maxHeaderBytes", usual.header_bytes as u64) as usize,
        body_bytes: whole("maxBodyBytes", usual.body_bytes),
        header_ms: whole("headerTimeoutMs", usual.header_ms),
        idle_ms: whole("idleTimeoutMs", usual.idle_ms),
    }
}

fn services(list: Value) -> (Vec<Service>, HashMap<String, usize>) {
    let (mut services, mut indices) = (Vec::new(), HashMap::new());
    for one in list.items().filter(|one| one.is_object()) {
        let name = one.field("name").text_needed("the service's name");
        let health = one.field("healthCheckPath");
        let health_path = health
            .text()
            .filter(|path| !path.is_empty())
            .unwrap_or("/health");
        if !health_path.starts_with('/') {
            health.note(format!("{health_path:?}"), "a path that begins with \"/\"");
        }
        let connections = one
            .field("maxConnections")
            .whole(0, "a whole number from 0 on")
            .unwrap_or(0);
        let Some(name) = name else { continue };
        match indices.entry(name.to_string()) {
            Entry::Occupied(before) => one.field("name").note(
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
    /// Where each host and prefix was seen: two that are alike would leave it open which one holds.
    seen: HashMap<(String, String), (usize, usize)>,
}

impl Routes {
    fn add_host(&mut self, at: usize, host: Value, indices: &HashMap<String, usize>) {
        let name = host
            .field("hostname")
            .text_needed("the host that these rules are for");
        let name = name.unwrap_or_default().to_ascii_lowercase();
        for (rule_at, rule) in host.field("pathRules").items().enumerate() {
            if rule.is_object()
                && let Some(route) = route(rule, &name, indices)
            {
                match self.seen.entry((name.clone(), route.prefix.clone())) {
                    Entry::Occupied(before) => {
                        let (host, before) = before.get();
                        rule.field("pathPrefix").note(
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
        .text_needed("a path that begins and ends with \"/\"")
        .filter(|text| {
            let fits = text.starts_with('/') && text.ends_with('/');
            if !fits {
                prefix.note(
                    format!("{text:?}"),
                    "a path that begins and ends with \"/\"",
                );
            }
            fits
        });
    let name = rule.field("name").text().filter(|name| !name.is_empty());
    let kind = kind(rule.field("routeKind"));
    let timeout = rule
        .field("timeoutMs")
        .number_needed(ABOVE_0, |ms| ms > 0.0);
    let aim = rule
        .field("targetLatencyMs")
        .number("a number of milliseconds", |ms| ms >= 0.0);
    let priority = rule
        .field("priority")
        .whole(0, "a whole number, 0 for the highest")
        .unwrap_or(0);
    let attempts = rule
        .field("maxAttempts")
        .whole_needed(1, "a whole number of tasks, at least 1");
    let targets = targets(rule, indices);

    let (prefix, timeout) = (prefix?, timeout?.min(DAY_MS));
    Some(Route {
        name: name.map_or_else(|| format!("{host}{prefix}"), String::from),
        host: host.into(),
        prefix: prefix.into(),
        kind: kind?,
        timeout_ms: timeout,
        latency_target_ms: aim
            .filter(|ms| *ms > 0.0)
            .map_or(timeout, |ms| ms.min(DAY_MS)),
        priority: u32::try_from(priority).unwrap_or(u32::MAX),
        attempts: u32::try_from(attempts?).unwrap_or(u32::MAX),
        targets: targets?,
    })
}

fn kind(kind: Value) -> Option<RouteKind> {
    let instead = "\"read_only\", \"mutating\" or \"download\"";
    match kind.text_needed(instead)? {
        "read_only" => Some(RouteKind::ReadOnly),
        "mutating" => Some(RouteKind::Mutating),
        "download" => Some(RouteKind::Download),
        other => {
            kind.note(format!("{other:?}"), instead);
            None
        }
    }
}

/// The services that a rule names, with their weights: one by `targetService`, or several by `trafficSplit`. The
/// one that isn't meant may also stand there empty.
fn targets(rule: Value, indices: &HashMap<String, usize>) -> Option<Vec<(usize, f64)>> {
    let (single, split) = (rule.field("targetService"), rule.field("trafficSplit"));
    let named = match single.text() {
        None if single.present() => return None,
        named => named.filter(|name| !name.is_empty()),
    };
    let shares = if split.present() {
        split.items().collect()
    } else {
        Vec::new()
    };
    if named.is_some() && shares.is_empty() {
        return Some(vec![(service(single, indices)?, 1.0)]);
    }
    if named.is_some() {
        split.note("there beside targetService", "one of the two");
    }
    if shares.is_empty() {
        single.note(
            "missing, and trafficSplit names no service",
            "the name of a service, or fill trafficSplit",
        );
        return None;
    }
    weighed(split, &shares, indices)
}

fn weighed(
    split: Value,
    shares: &[Value],
    indices: &HashMap<String, usize>,
) -> Option<Vec<(usize, f64)>> {
    let shares = shares
        .iter()
        .filter(|share| share.is_object())
        .map(|share| {
            let weight = share
                .field("weight")
                .number_needed(WEIGHT, |weight| weight >= 0.0);
            let service = service(share.field("targetService"), indices);
            Some((service?, weight?))
        });
    // All are looked at before the first that is faulty ends it.
    let shares: Vec<Option<(usize, f64)>> = shares.collect();
    let shares: Vec<(usize, f64)> = shares.into_iter().collect::<Option<_>>()?;
    let sum: f64 = shares.iter().map(|(_, weight)| weight).sum();
    if sum > 0.0 && sum.is_finite() {
        Some(shares)
    } else {
        split.note(
            format!("a list of weights that add up to {sum}"),
            "weights with a sum above 0",
        );
        None
    }
}

fn service(name: Value, indices: &HashMap<String, usize>) -> Option<usize> {
    let text = name.text_needed("the name of a service")?;
    let place = indices.get(text).copied();
    if place.is_none() {
        name.note(
            format!("{text:?}, which is no service"),
            "a name that stands under services",
        );
    }
    place
}
