//! Measures authentication by number of tenants, with two keys each: medians of nanoseconds a request, and the memory
//! of the tenant table.
//!
//!     cargo run --release -p rookpulley-proxy-core --example authentication_cost
//!
//! The lookup is that of the table alone, with known keys in random order. A request is the whole routing decision, with
//! a known and with an unknown key; the first line, without tenants, is its base.

use rookpulley_proxy_core::{Credentials, ProxyStart, ProxyState, RouteRequest};
use rookpulley_routes::RouteTable;
use rookpulley_tenants::{TenantTable, TenantTableBuilder};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 15;
const REQUESTS: usize = 20_000;
const KEYS_PER_TENANT: usize = 2;
/// Odd and larger than most tables, so that consecutive requests use distant keys.
const STRIDE: usize = 7_919;

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The median nanoseconds of an operation, called with 0, 1, 2 and so on.
fn nanoseconds(mut operation: impl FnMut(usize)) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        (0..REQUESTS).for_each(&mut operation);
        start.elapsed().as_nanos() as f64 / REQUESTS as f64
    });
    median(rounds.collect())
}

fn key(number: usize) -> String {
    format!("k{number:031x}")
}

/// Keys in the order in which they are requested.
fn requested_keys(tenants: usize) -> Vec<String> {
    let keys = (tenants * KEYS_PER_TENANT).max(1);
    (0..REQUESTS).map(|at| key(at * STRIDE % keys)).collect()
}

/// Builds a table and returns the bytes that it keeps allocated.
fn build_table(tenants: usize) -> (TenantTable, usize) {
    let region = Region::new(ALLOCATOR);
    let mut builder = TenantTableBuilder::default();
    for tenant in 0..tenants {
        let index = builder.add_tenant(&format!("tenant-{tenant}"), None);
        let index = index.expect("a new name");
        for number in 0..KEYS_PER_TENANT {
            let key = key(tenant * KEYS_PER_TENANT + number);
            builder.add_key(index, &key).expect("a new key");
        }
    }
    let table = builder.build();
    let change = region.change();
    let bytes = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    (table, bytes)
}

/// A configuration with one route and this many tenants, or without any.
fn configuration(tenants: Option<usize>) -> String {
    let mut text = String::from(
        r#"{"configVersion":1,"services":[{"name":"s"}],"hostnames":[{"hostname":"h","pathRules":[
        {"pathPrefix":"/x/","routeKind":"read_only","timeoutMs":900,"targetService":"s","maxAttempts":1}]}]"#,
    );
    if let Some(tenants) = tenants {
        text.push_str(",\"tenants\":[");
        for tenant in 0..tenants {
            let comma = if tenant > 0 { "," } else { "" };
            let first = tenant * KEYS_PER_TENANT;
            let (one, two) = (key(first), key(first + 1));
            _ = write!(
                text,
                r#"{comma}{{"name":"tenant-{tenant}","apiKeys":["{one}","{two}"]}}"#
            );
        }
        text.push(']');
    }
    text + "}"
}

/// Nanoseconds of the routing decision with known and with unknown keys, or why the configuration is rejected.
fn measure_requests(tenants: Option<usize>) -> Result<(f64, f64, f64), String> {
    let body = configuration(tenants);
    let start = Instant::now();
    let table = RouteTable::read(body.as_bytes()).map_err(|faults| faults.to_string())?;
    let read_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut state = ProxyState::new(ProxyStart {
        name: "one",
        zone: "east",
        seeds: Vec::new(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        revoke_ms: None,
        origin_unix_ms: 0.0,
        usage: None,
        seed: 7,
    });
    state.apply_configuration(table, body.into_bytes());
    let known = requested_keys(tenants.unwrap_or(0));
    let unknown: Vec<String> = known.iter().map(|key| format!("x{key}")).collect();
    let mut request_ns = |keys: &[String]| {
        nanoseconds(|at| {
            let request = RouteRequest {
                host: "h",
                path: "/x/1",
                client_wait_ms: None,
                credentials: Credentials::Bearer(&keys[at]),
            };
            _ = black_box(state.route(0.0, request));
        })
    };
    Ok((request_ns(&known), request_ns(&unknown), read_ms))
}

fn main() {
    println!(
        "tenants, ns a lookup, ns a request with a known key, with an unknown key, MB of the table, ms to read the \
         configuration"
    );
    for tenants in [None, Some(100), Some(10_000), Some(40_000), Some(110_000)] {
        let (table, bytes) = build_table(tenants.unwrap_or(0));
        let keys = requested_keys(tenants.unwrap_or(0));
        let lookup_ns = nanoseconds(|at| _ = black_box(table.authenticate(&keys[at])));
        let label = tenants.map_or("none".into(), |tenants| tenants.to_string());
        let megabytes = bytes as f64 / 1e6;
        match measure_requests(tenants) {
            Ok((known_ns, unknown_ns, read_ms)) => println!(
                "{label}, {lookup_ns:.0}, {known_ns:.0}, {unknown_ns:.0}, {megabytes:.2}, {read_ms:.1}"
            ),
            Err(faults) => println!("{label}, {lookup_ns:.0}, -, -, {megabytes:.2}, {faults}"),
        }
    }
}
