//! Updates for the ledger as the state of a chain: the same in each run.

#![allow(dead_code)]

use rookpulley_state::{Answer, Update};
use std::fmt::Write;

/// Drawn by a seed, spread by the mixer of SplitMix64.
pub fn drawn(seed: u64) -> u64 {
    let mixed = (seed.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ (seed >> 30))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

pub enum Load {
    /// Configurations of so many routes, each with one route changed.
    Routes(u64),
    /// The same, each with all routes changed.
    All(u64),
    /// Puts into so many cells of a hundred groups, with values of 16 to 200 bytes.
    Cells(u64),
    /// A configuration close to the longest after each 99 puts into cells that fill what may stand.
    Longest,
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
            Load::Cells(cells) => {
                let cell = drawn(n) % cells;
                let value = format!("{:016x}", drawn(!n)).repeat(1 + (drawn(n << 1) % 12) as usize);
                Update::PutKey {
                    name: format!("group{}.cell{cell}", cell % 100),
                    value,
                    expected: None,
                }
            }
            Load::Longest if n.is_multiple_of(100) => Load::Routes(45_000).update(n),
            Load::Longest => Load::Cells(22_000).update(n),
        }
    }

    /// Whether the update was taken.
    pub fn took(&self, n: u64, answer: &Answer) -> bool {
        match self {
            Load::Cells(_) => matches!(answer, Answer::Revision(_)),
            Load::Longest if !n.is_multiple_of(100) => matches!(answer, Answer::Revision(_)),
            _ => *answer == Answer::Configured { version: n },
        }
    }
}

/// Ten routes a host; route `n` modulo their number was changed last.
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
        // How often it was changed so far.
        let times = (n + routes - 1 - route) / routes;
        let timeout = 500 + drawn(route << 20 | times) % 2_500;
        _ = write!(
            text,
            "{{\"name\":\"route-{route}\",\"pathPrefix\":\"/part-{route}/\",\"routeKind\":\"read_only\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":120,\"priority\":1,\"targetService\":\"service-{}\",\
             \"maxAttempts\":2}}",
            drawn(route) % routes.div_ceil(10)
        );
    }
    text.push_str("]}]}");
    text.into_bytes()
}
