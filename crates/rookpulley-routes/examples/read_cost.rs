//! What it costs to read a configuration by its number of routes: `cargo run --release -p rookpulley-routes --example read_cost`.

use rookpulley_routes::RouteTable;
use std::fmt::Write;
use std::time::Instant;

const PLAYS: usize = 9;
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

fn median(mut took: Vec<f64>) -> f64 {
    took.sort_by(f64::total_cmp);
    took[took.len() / 2]
}

fn main() {
    println!(
        "routes, bytes, ms to read alone, and after one that differs in a route (medians of {PLAYS})"
    );
    for routes in [100, 700, 2_000, 5_000, 15_000, 35_000] {
        let (mut alone, mut after, mut bytes) = (Vec::new(), Vec::new(), 0);
        for play in 0..PLAYS {
            let (first, second) = (body(routes, play + 1), body(routes, play + 2));
            bytes = first.len();
            let begun = Instant::now();
            let book = RouteTable::read(first.as_bytes()).unwrap();
            alone.push(begun.elapsed().as_secs_f64() * 1e3);
            let begun = Instant::now();
            let next = RouteTable::read_after(second.as_bytes(), Some((first.as_bytes(), &book)));
            after.push(begun.elapsed().as_secs_f64() * 1e3);
            assert!(next.is_ok());
        }
        println!(
            "{routes}, {bytes}, {:.2}, {:.2}",
            median(alone),
            median(after)
        );
    }
}
