//! Measures the time to parse a configuration, by number of routes.
//!
//!     cargo run --release -p rookpulley-routes --example read_cost

use rookpulley_routes::RouteTable;
use std::fmt::Write;
use std::time::Instant;

const ROUNDS: usize = 9;
const HOSTS: usize = 200;

fn body(routes: usize, version: usize) -> String {
    let mut text = format!(
        "{{\"configVersion\":{version},\"services\":[{{\"name\":\"svc\",\"maxConnections\":130}}],\"limits\":{{}},\"hostnames\":["
    );
    for host in 0..HOSTS.min(routes) {
        let comma = if host > 0 { "," } else { "" };
        _ = write!(
            text,
            "{comma}{{\"hostname\":\"host{host}.example\",\"pathRules\":["
        );
        for (at, route) in (host..routes).step_by(HOSTS).enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let timeout_ms = if route == version { 1_600 } else { 1_500 };
            _ = write!(
                text,
                "{comma}{{\"name\":\"route{route}\",\"pathPrefix\":\"/p{route}/\",\"routeKind\":\"read_only\",\
                 \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":250,\"priority\":2,\"targetService\":\"svc\",\"maxAttempts\":2}}"
            );
        }
        text.push_str("]}");
    }
    text + "]}"
}

fn median(mut durations: Vec<f64>) -> f64 {
    durations.sort_by(f64::total_cmp);
    durations[durations.len() / 2]
}

fn main() {
    println!(
        "routes, bytes, ms to parse, ms to parse incrementally after a change of one route (medians of {ROUNDS})"
    );
    for routes in [100, 700, 2_000, 5_000, 15_000, 35_000] {
        let (mut full, mut incremental, mut bytes) = (Vec::new(), Vec::new(), 0);
        for round in 0..ROUNDS {
            let (first, second) = (body(routes, round + 1), body(routes, round + 2));
            bytes = first.len();
            let start = Instant::now();
            let table = RouteTable::read(first.as_bytes()).unwrap();
            full.push(start.elapsed().as_secs_f64() * 1e3);
            let start = Instant::now();
            let next =
                RouteTable::read_incremental(second.as_bytes(), Some((first.as_bytes(), &table)));
            incremental.push(start.elapsed().as_secs_f64() * 1e3);
            assert!(next.is_ok());
        }
        println!(
            "{routes}, {bytes}, {:.2}, {:.2}",
            median(full),
            median(incremental)
        );
    }
}
