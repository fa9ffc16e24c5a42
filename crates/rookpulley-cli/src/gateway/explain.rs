//! Explains which route of a configuration matches a request.

use super::check::{invalid_file, read};
use crate::show::table;
use rookpulley_diagnostics::pluralize;
use rookpulley_routes::{Route, RouteKind, RouteTable};
use serde_json::{Value, json};
use std::path::Path;

/// Maximum number of hosts or prefixes listed when no route matches.
const MAX_NAMES: usize = 12;

/// The route that matches a request, and the routes with shorter matching prefixes, longest first.
struct RouteMatch<'a> {
    matched: Option<&'a Route>,
    shadowed: Vec<&'a Route>,
}

fn match_route<'a>(route_table: &'a RouteTable, host: &str, path: &str) -> RouteMatch<'a> {
    let matched = route_table.route(host, path);
    let is_prefix =
        |route: &&Route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix);
    let mut shadowed: Vec<&Route> = route_table.routes().filter(is_prefix).collect();
    shadowed.retain(|route| matched.is_none_or(|matched| matched.prefix != route.prefix));
    shadowed.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    RouteMatch { matched, shadowed }
}

/// Strips the port from the host and the query from the path, as proxies do.
fn normalize_request<'a>(host: &'a str, path: &'a str) -> (&'a str, &'a str) {
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    (host, path.split(['?', '#']).next().unwrap_or_default())
}

fn describe_kind(kind: RouteKind) -> (&'static str, &'static str) {
    match kind {
        RouteKind::ReadOnly => ("read_only", "may run more than once"),
        RouteKind::Mutating => ("mutating", "runs at most once"),
        RouteKind::Download => ("download", "may run more than once, responses are large"),
    }
}

/// Target services with their share of the requests.
fn traffic_shares(route_table: &RouteTable, route: &Route) -> Vec<(String, f64)> {
    let sum: f64 = route.targets.iter().map(|(_, weight)| weight).sum();
    let name = |at: usize| {
        route_table
            .service(at)
            .map_or_else(String::new, |service| service.name.clone())
    };
    route
        .targets
        .iter()
        .map(|(at, weight)| (name(*at), weight / sum))
        .collect()
}

/// Why no route matches a request, and the existing hosts or prefixes.
fn explain_mismatch(route_table: &RouteTable, host: &str, path: &str) -> (String, Vec<String>) {
    let host_routes: Vec<&Route> = route_table
        .routes()
        .filter(|r| r.host.eq_ignore_ascii_case(host))
        .collect();
    if host_routes.is_empty() {
        let mut hosts: Vec<String> = route_table
            .routes()
            .map(|route| route.host.clone())
            .collect();
        hosts.dedup();
        return (format!("unknown host {host}; known hosts:"), hosts);
    }
    if !path.starts_with('/') {
        return (
            "the path does not start with a slash; known prefixes:".into(),
            prefixes(&host_routes),
        );
    }
    let without_slash = host_routes
        .iter()
        .find(|route| route.prefix.strip_suffix('/') == Some(path));
    let why = match without_slash {
        Some(route) => {
            format!(
                "{} lacks the trailing slash of the prefix {}; known prefixes:",
                path, route.prefix
            )
        }
        None => format!("no prefix of {host} matches {path}; known prefixes:"),
    };
    (why, prefixes(&host_routes))
}

fn prefixes(routes: &[&Route]) -> Vec<String> {
    routes.iter().map(|route| route.prefix.clone()).collect()
}

fn join_names(names: &[String]) -> String {
    let shown: Vec<&str> = names.iter().take(MAX_NAMES).map(String::as_str).collect();
    let more = names.len().saturating_sub(MAX_NAMES);
    let more = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    if shown.is_empty() {
        "none".into()
    } else {
        shown.join(" ") + &more
    }
}

fn route_json(route_table: &RouteTable, route: &Route) -> Value {
    let services = traffic_shares(route_table, route);
    let services: Vec<Value> = services
        .iter()
        .map(|(name, share)| json!({"name": name, "share": share}))
        .collect();
    json!({"name": route.name, "prefix": route.prefix, "kind": describe_kind(route.kind).0, "services": services,
        "timeoutMs": route.timeout_ms, "targetLatencyMs": route.latency_target_ms, "priority": route.priority,
        "maxAttempts": route.max_attempts})
}

/// Returns the output and whether a route matches the request.
pub fn explain(json: bool, file: &Path, host: &str, path: &str) -> (String, bool) {
    let route_table = match read(file) {
        Ok(route_table) => route_table,
        Err(faults) => return invalid_file(file, faults).render(json),
    };
    let (host, path) = normalize_request(host, path);
    let RouteMatch { matched, shadowed } = match_route(&route_table, host, path);
    if json {
        let shadowed: Vec<Value> = shadowed
            .iter()
            .map(|r| json!({"name": r.name, "prefix": r.prefix}))
            .collect();
        let route = matched.map(|route| route_json(&route_table, route));
        let why = matched
            .is_none()
            .then(|| explain_mismatch(&route_table, host, path))
            .map(|(why, candidates)| json!([why, candidates]));
        let output = json!({"configVersion": route_table.version, "host": host, "path": path, "route": route,
            "lost": shadowed, "why": why});
        return (output.to_string() + "\n", matched.is_some());
    }
    let Some(route) = matched else {
        let (why, candidates) = explain_mismatch(&route_table, host, path);
        return (
            format!(
                "version {}: 404: {why} {}\n",
                route_table.version,
                join_names(&candidates)
            ),
            false,
        );
    };
    let (kind, description) = describe_kind(route.kind);
    let rows = traffic_shares(&route_table, route)
        .into_iter()
        .map(|(name, share)| [name, format!("{:.1}%", 100.0 * share)]);
    let mut output = format!(
        "version {}: route {} matches by the prefix {}\n{kind}: {description}\nat most {} per request; timeout {} ms; target latency {} ms; priority {}\n{}",
        route_table.version,
        route.name,
        route.prefix,
        pluralize(route.max_attempts as usize, "instance"),
        route.timeout_ms,
        route.latency_target_ms,
        route.priority,
        table(["service", "share"], rows),
    );
    for route in shadowed {
        output += &format!(
            "not used: {}, with the shorter prefix {}\n",
            route.name, route.prefix
        );
    }
    (output, true)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn longest_prefix_matches_and_shorter_ones_are_shadowed() {
        let property = |u: &mut arbtest::arbitrary::Unstructured| {
            let parts = ["", "a", "b", "a/b", "b/a", "a/b/a"];
            let mut rules = Vec::new();
            for part in parts {
                if u.arbitrary()? {
                    let prefix = if part.is_empty() {
                        "/".into()
                    } else {
                        format!("/{part}/")
                    };
                    rules.push(
                        json!({"pathPrefix": prefix, "routeKind": "mutating", "timeoutMs": 9,
                        "targetService": "s", "maxAttempts": 1}),
                    );
                }
            }
            let prefixes: Vec<String> = rules
                .iter()
                .map(|rule| rule["pathPrefix"].as_str().unwrap().to_string())
                .collect();
            let text = json!({"configVersion": 1, "services": [{"name": "s"}],
                "hostnames": [{"hostname": "post.example", "pathRules": rules}]});
            let route_table = RouteTable::read(text.to_string().as_bytes()).unwrap();
            for _ in 0..8 {
                let path = format!(
                    "/{}{}",
                    u.choose(&parts)?,
                    u.choose(&["", "/", "/a", "/x", "a/"])?
                );
                let mut matching: Vec<&str> = prefixes
                    .iter()
                    .map(String::as_str)
                    .filter(|prefix| path.starts_with(prefix))
                    .collect();
                matching.sort_by_key(|prefix| std::cmp::Reverse(prefix.len()));
                let route_match = match_route(&route_table, "POST.example", &path);
                let order = route_match
                    .matched
                    .iter()
                    .chain(&route_match.shadowed)
                    .map(|route| route.prefix.as_str());
                assert_eq!(order.collect::<Vec<_>>(), matching, "{path}");
                if route_match.matched.is_none() {
                    assert!(
                        !explain_mismatch(&route_table, "post.example", &path)
                            .0
                            .is_empty()
                    );
                }
            }
            Ok(())
        };
        rookpulley_samples::run_cases(300, 64, property);
    }

    #[test]
    fn host_port_and_path_query_are_stripped() {
        assert_eq!(
            normalize_request("post.example:8161", "/a/b?c=/d/"),
            ("post.example", "/a/b")
        );
        assert_eq!(
            normalize_request("post.example", "/"),
            ("post.example", "/")
        );
    }
}
