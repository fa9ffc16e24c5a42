//! Where a configuration sends a request, and why there.

use super::check::{read, refused};
use crate::show::table;
use rookpulley_diagnostics::pluralize;
use rookpulley_routes::{Route, RouteKind, RouteTable};
use serde_json::{Value, json};
use std::path::Path;

/// So many hosts or prefixes are named where none fits.
const NAMED: usize = 12;

/// The route that takes a request, and those with shorter prefixes that also begin the path, longest first.
struct Found<'a> {
    taken: Option<&'a Route>,
    lost: Vec<&'a Route>,
}

fn found<'a>(book: &'a RouteTable, host: &str, path: &str) -> Found<'a> {
    let taken = book.route(host, path);
    let begins =
        |route: &&Route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix);
    let mut lost: Vec<&Route> = book.routes().filter(begins).collect();
    lost.retain(|route| taken.is_none_or(|taken| taken.prefix != route.prefix));
    lost.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    Found { taken, lost }
}

/// The host without its port, the path without its query, as proxies take them.
fn asked<'a>(host: &'a str, path: &'a str) -> (&'a str, &'a str) {
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    (host, path.split(['?', '#']).next().unwrap_or_default())
}

fn kind(kind: RouteKind) -> (&'static str, &'static str) {
    match kind {
        RouteKind::ReadOnly => ("read_only", "may run more than once"),
        RouteKind::Mutating => ("mutating", "runs once at most"),
        RouteKind::Download => ("download", "may run more than once, answers are large"),
    }
}

/// Services with their part of the requests.
fn shares(book: &RouteTable, route: &Route) -> Vec<(String, f64)> {
    let sum: f64 = route.targets.iter().map(|(_, weight)| weight).sum();
    let name = |at: usize| {
        book.service(at)
            .map_or_else(String::new, |service| service.name.clone())
    };
    route
        .targets
        .iter()
        .map(|(at, weight)| (name(*at), weight / sum))
        .collect()
}

/// Why no route takes a request, and what there is.
fn why_none(book: &RouteTable, host: &str, path: &str) -> (String, Vec<String>) {
    let of_host: Vec<&Route> = book
        .routes()
        .filter(|r| r.host.eq_ignore_ascii_case(host))
        .collect();
    if of_host.is_empty() {
        let mut hosts: Vec<String> = book.routes().map(|route| route.host.clone()).collect();
        hosts.dedup();
        return (format!("no host is named {host}; there are"), hosts);
    }
    if !path.starts_with('/') {
        return (
            "the path begins with no slash; prefixes are".into(),
            prefixes(&of_host),
        );
    }
    let lacks = of_host
        .iter()
        .find(|route| route.prefix.strip_suffix('/') == Some(path));
    let why = match lacks {
        Some(route) => {
            format!(
                "{} lacks the slash that the prefix {} ends with; prefixes are",
                path, route.prefix
            )
        }
        None => format!("no prefix of {host} begins {path}; there are"),
    };
    (why, prefixes(&of_host))
}

fn prefixes(routes: &[&Route]) -> Vec<String> {
    routes.iter().map(|route| route.prefix.clone()).collect()
}

fn listed(names: &[String]) -> String {
    let shown: Vec<&str> = names.iter().take(NAMED).map(String::as_str).collect();
    let more = names.len().saturating_sub(NAMED);
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

fn as_json(book: &RouteTable, route: &Route) -> Value {
    let services = shares(book, route);
    let services: Vec<Value> = services
        .iter()
        .map(|(name, share)| json!({"name": name, "share": share}))
        .collect();
    json!({"name": route.name, "prefix": route.prefix, "kind": kind(route.kind).0, "services": services,
        "timeoutMs": route.timeout_ms, "targetLatencyMs": route.latency_target_ms, "priority": route.priority,
        "maxAttempts": route.max_attempts})
}

/// What is printed, and whether a route takes the request.
pub fn explained(json: bool, file: &Path, host: &str, path: &str) -> (String, bool) {
    let book = match read(file) {
        Ok(book) => book,
        Err(faults) => return refused(file, faults).told(json),
    };
    let (host, path) = asked(host, path);
    let Found { taken, lost } = found(&book, host, path);
    if json {
        let lost: Vec<Value> = lost
            .iter()
            .map(|r| json!({"name": r.name, "prefix": r.prefix}))
            .collect();
        let route = taken.map(|route| as_json(&book, route));
        let why = taken
            .is_none()
            .then(|| why_none(&book, host, path))
            .map(|(why, there)| json!([why, there]));
        let said = json!({"configVersion": book.version, "host": host, "path": path, "route": route,
            "lost": lost, "why": why});
        return (said.to_string() + "\n", taken.is_some());
    }
    let Some(route) = taken else {
        let (why, there) = why_none(&book, host, path);
        return (
            format!("version {}: 404: {why} {}\n", book.version, listed(&there)),
            false,
        );
    };
    let (kind, means) = kind(route.kind);
    let rows = shares(&book, route)
        .into_iter()
        .map(|(name, share)| [name, format!("{:.1}%", 100.0 * share)]);
    let mut said = format!(
        "version {}: {} takes it, by the prefix {}\n{kind}: {means}\nat most {} a try and {} ms; aim {} ms; priority {}\n{}",
        book.version,
        route.name,
        route.prefix,
        pluralize(route.max_attempts as usize, "task"),
        route.timeout_ms,
        route.latency_target_ms,
        route.priority,
        table(["service", "share"], rows),
    );
    for route in lost {
        said += &format!(
            "lost: {}, by the shorter prefix {}\n",
            route.name, route.prefix
        );
    }
    (said, true)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_prefix_takes_a_request_and_all_others_that_begin_it_lose() {
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
            let book = RouteTable::read(text.to_string().as_bytes()).unwrap();
            for _ in 0..8 {
                let path = format!(
                    "/{}{}",
                    u.choose(&parts)?,
                    u.choose(&["", "/", "/a", "/x", "a/"])?
                );
                let mut begin: Vec<&str> = prefixes
                    .iter()
                    .map(String::as_str)
                    .filter(|prefix| path.starts_with(prefix))
                    .collect();
                begin.sort_by_key(|prefix| std::cmp::Reverse(prefix.len()));
                let found = found(&book, "POST.example", &path);
                let order = found
                    .taken
                    .iter()
                    .chain(&found.lost)
                    .map(|route| route.prefix.as_str());
                assert_eq!(order.collect::<Vec<_>>(), begin, "{path}");
                if found.taken.is_none() {
                    assert!(!why_none(&book, "post.example", &path).0.is_empty());
                }
            }
            Ok(())
        };
        rookpulley_samples::run_cases(300, 64, property);
    }

    #[test]
    fn a_host_goes_without_port_and_a_path_without_query() {
        assert_eq!(
            asked("post.example:8161", "/a/b?c=/d/"),
            ("post.example", "/a/b")
        );
        assert_eq!(asked("post.example", "/"), ("post.example", "/"));
    }
}
