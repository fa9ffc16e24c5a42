//! The operator's configuration at a size. Two versions differ in one route's time-out.

use crate::Sizes;
use std::fmt::Write;

const HOSTS: usize = 200;
const ROUTE_TIMEOUT_MS: u64 = 1_500;

pub fn service(number: usize) -> String {
    format!("svc{number:04}")
}

pub fn body(sizes: &Sizes, version: u64) -> String {
    let mut text = format!("{{\"configVersion\":{version},\"services\":[");
    for number in 0..sizes.services {
        let comma = if number > 0 { "," } else { "" };
        let name = service(number);
        _ = write!(
            text,
            "{comma}{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":600,\
             \"protocol\":\"h1\",\"tlsEnabled\":false}}"
        );
    }
    text.push_str(
        "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000},\"hostnames\":[",
    );
    let hosts = HOSTS.min(sizes.routes);
    for host in 0..hosts {
        let comma = if host > 0 { "," } else { "" };
        _ = write!(
            text,
            "{comma}{{\"hostname\":\"host{host}.example\",\"pathRules\":["
        );
        for (at, route) in (host..sizes.routes).step_by(hosts).enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let changed = route as u64 == version % sizes.routes as u64;
            let timeout_ms = if changed {
                ROUTE_TIMEOUT_MS + version
            } else {
                ROUTE_TIMEOUT_MS
            };
            let target = service(route % sizes.services);
            _ = write!(
                text,
                "{comma}{{\"name\":\"route{route}\",\"pathPrefix\":\"/p{route}/\",\"routeKind\":\"read_only\",\
                 \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":250,\"priority\":2,\
                 \"targetService\":\"{target}\",\"maxAttempts\":2}}"
            );
        }
        text.push_str("]}");
    }
    text.push_str("]}");
    text
}
