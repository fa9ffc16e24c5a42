//! Reproducible updates of the replicated state, for benchmarks and tests.

#![allow(dead_code)]

use rookpulley_state::{Answer, Update};
use std::fmt::Write;

/// Pseudo-random number of a seed, by the mixing function of SplitMix64.
pub fn random(seed: u64) -> u64 {
    let mixed = (seed.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ (seed >> 30))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

pub enum Load {
    /// Configurations with this number of routes. Each update changes one route.
    Routes(u64),
    /// Configurations with this number of routes. Each update changes all of them.
    All(u64),
    /// Writes to this number of keys in a hundred groups, with values of 16 to 200 bytes.
    Keys(u64),
    /// Writes to enough keys to fill the state, with a configuration of nearly maximum size as every 100th update.
    Largest,
}

impl Load {
    pub fn update(&self, n: u64) -> Update {
        match self {
            Load::Routes(routes) => Update::PutConfiguration {
                version: n,
                body: configuration(*routes, n),
            },
            Load::All(routes) => Update::PutConfiguration {
                version: n,
                body: configuration(*routes, n * routes),
            },
            Load::Keys(keys) => {
                let key = random(n) % keys;
                let value =
                    format!("{:016x}", random(!n)).repeat(1 + (random(n << 1) % 12) as usize);
                Update::PutKey {
                    name: format!("group{}.cell{key}", key % 100),
                    value,
                    expected: None,
                }
            }
            Load::Largest if n.is_multiple_of(100) => Load::Routes(45_000).update(n),
            Load::Largest => Load::Keys(22_000).update(n),
        }
    }

    /// Returns whether the answer means that update `n` was applied.
    pub fn is_applied(&self, n: u64, answer: &Answer) -> bool {
        match self {
            Load::Keys(_) => matches!(answer, Answer::Revision(_)),
            Load::Largest if !n.is_multiple_of(100) => matches!(answer, Answer::Revision(_)),
            _ => *answer == Answer::Configured { version: n },
        }
    }
}

/// Builds a configuration with ten routes per host, in which the changes up to number `n` were made route by route.
pub fn configuration(routes: u64, n: u64) -> Vec<u8> {
    let mut text = format!("{{\"configVersion\":{n},\"services\":[");
    for service in 0..routes.div_ceil(10) {
        let comma = if service > 0 { "," } else { "" };
        _ = write!(
            text,
            "{comma}{{\"name\":\"service-{service}\",\"healthCheckPath\":\"/health\",\"maxConnections\":40}}"
        );
    }
    text.push_str("],\"hostnames\":[");
    for route in 0..routes {
        if route % 10 == 0 {
            let comma = if route > 0 { "]}," } else { "" };
            _ = write!(
                text,
                "{comma}{{\"hostname\":\"host-{}.example\",\"pathRules\":[",
                route / 10
            );
        } else {
            text.push(',');
        }
        // The number of changes to this route so far.
        let changes = (n + routes - 1 - route) / routes;
        let timeout = 500 + random(route << 20 | changes) % 2_500;
        _ = write!(
            text,
            "{{\"name\":\"route-{route}\",\"pathPrefix\":\"/part-{route}/\",\"routeKind\":\"read_only\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":120,\"priority\":1,\"targetService\":\"service-{}\",\
             \"maxAttempts\":2}}",
            random(route) % routes.div_ceil(10)
        );
    }
    text.push_str("]}]}");
    text.into_bytes()
}
