//! Server lists in discovery's format, and an assigner configuration for tests.

use serde_json::{Value, json};
use std::net::SocketAddr;

pub fn server(n: u32, status: &str, since_ms: f64) -> Value {
    json!({"name": format!("s-{n}"), "address": format!("10.0.0.{n}:80"), "zone": "a", "type": "m",
        "group": 0, "status": status, "weight": 1.0, "since_ms": since_ms})
}

pub fn list(index: u64, whole: bool, servers: &[Value]) -> String {
    json!({"index": index, "snapshot": whole, "endpoints": servers}).to_string() + "\n"
}

pub fn serving(servers: std::ops::RangeInclusive<u32>) -> Vec<Value> {
    servers.map(|n| server(n, "SERVING", 0.0)).collect()
}

/// An assigner configuration with two zones, two request kinds, four proxies and the servers s-1 to s-3.
pub fn assigner_config(discovery: SocketAddr) -> Value {
    let kind = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window_us": 600_000, "aim_us": 500_000,
            "hard_limit_us": 2_000_000, "worth": 1.0})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "00000000000000a7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
        "peer_listen": "127.0.0.1:0", "peers": [], "peers_all": "127.0.0.1:9",
        "known": {"index": 7, "snapshot": true, "endpoints": serving(1..=3)},
        "settings": {
            "self_index": 0, "balancers": 2, "locality": 0, "areas": ["a", "b"], "kinds": ["m"],
            "tick_us": 5_000, "registry_mode": "pushed", "load_info": {"fields": ["load_share", "depth"]},
            "categories": [kind("read", "pure"), kind("write", "token")],
            "limits": {"peers": true},
            "family_info": {"agents": 4, "admission": "none", "usual_how": 1, "empty_for_us": 3_000_000,
                "lines_per_s": 5_000, "envelope": 6, "backlog": 8_000, "transit_us": 90_000,
                "push_delay_max_us": 400_000, "reports_per_s": 300},
            "rules": {"drain_grace_us": 1_500_000, "cold_share": 0.3, "ramp_time_us": 9_000_000,
                "fall_multiple": 3, "tip_after_us": 1_500_000}}})
}
