//! Simulates a day of server changes and compares the bytes sent as deltas with whole tables; also reports the
//! memory use of delivery tracking per dispatcher.
//! Run with `cargo run --release -p rookpulley-versions --example day [SEED]`.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_versions::*;
use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::BTreeMap;
use std::sync::Arc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The length of an order as the assigner encodes it.
fn message_len(order: &Order, mark: u64) -> usize {
    let lines = |lines: &mut dyn Iterator<Item = (&Name, f64)>| -> Vec<_> {
        lines.map(|(n, w)| json!([&**n, w])).collect()
    };
    let mut message = json!({"msg": "assign", "version": order.version.to_string(),
        "to": order.update.digest().to_string(), "ticket": mark});
    match &order.update {
        Update::Unchanged(_) => {}
        Update::Delta(delta) => {
            message["version"] = json!(order.version.short());
            message["from"] = json!(delta.from.to_string());
            message["lines"] = lines(&mut delta.changes.iter().map(|(n, w)| (n, *w))).into();
        }
        Update::Whole(table) => {
            message["whole"] = json!(true);
            message["lines"] = lines(&mut table.lines()).into();
        }
    }
    message.to_string().len() + 1
}

fn simulate_day(seed: u64, size: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let issuer = Issuer {
        assigner: "n0".into(),
        start: 1 << 60 | 1,
    };
    let mut manager = VersionManager::new(
        issuer,
        1,
        RetentionLimits {
            per_table: 8,
            bytes: 64 << 20,
        },
        AckTimeouts::for_transit(400.0),
    );
    let mut lines: BTreeMap<Name, f64> = (0..size)
        .map(|n| (Name::from(format!("s-{:08x}", n * 40_503)), 1.0))
        .collect();
    let names: Vec<Name> = lines.keys().cloned().collect();
    manager.join(0.0, 0, Some(BTreeMap::new()));
    let (mut deltas, mut whole, mut largest_single, mut changes) = (0, 0, 0, 0_u64);
    // One change per minute: a server is removed, added or gets another weight in steps of 1/8.
    for minute in 0..1_440 {
        let now = f64::from(minute) * 60_000.0;
        let name = &names[rng.random_range(0..names.len())];
        let count = if rng.random_range(0..20) == 0 { 8 } else { 1 };
        for _ in 0..count {
            match rng.random_range(0..6) {
                0 => _ = lines.remove(name),
                _ => _ = lines.insert(name.clone(), f64::from(rng.random_range(1..=8_u8)) / 8.0),
            }
        }
        let table = Table::from_lines(lines.iter().map(|(n, w)| (n.clone(), *w))).unwrap();
        if manager.issue(now, 0, table).is_none() {
            continue;
        }
        changes += 1;
        if minute == 0 {
            manager.bind(now, 0, 1, 0);
        }
        let order = manager.order(0, 0).unwrap();
        let newest = manager.history.newest(0).unwrap();
        let whole_order = Order {
            version: order.version.clone(),
            update: Update::Whole(newest.table.clone()),
        };
        if let Update::Delta(delta) = &order.update {
            largest_single = largest_single.max(if delta.changes.len() == 1 {
                message_len(&order, changes)
            } else {
                0
            });
        }
        (deltas, whole) = (
            deltas + message_len(&order, changes),
            whole + message_len(&whole_order, changes),
        );
        manager.record_sent(now, 0, &[0], Some(changes));
        let claim = Claim {
            version: Some(order.version.clone()),
            digest: order.update.digest(),
        };
        manager.acknowledge(now + 90.0, 0, changes, &BTreeMap::from([(1, claim)]));
    }
    let mean = whole / changes as usize;
    println!(
        "{size:>5} lines: {changes} changes, {deltas} bytes by delta, {whole} whole: {:.4}; one server {largest_single} bytes of {mean}: {:.4}",
        deltas as f64 / whole as f64,
        largest_single as f64 / mean as f64,
    );
}

fn memory() {
    let table = Arc::new(
        Table::from_lines((0..120).map(|n| (Name::from(format!("s-{n:08x}")), 1.0))).unwrap(),
    );
    let issuer = Issuer {
        assigner: "n0".into(),
        start: 1,
    };
    for (marks, what) in [(0_u64, "settled"), (256, "256 pending marks")] {
        let mut manager = VersionManager::new(
            issuer.clone(),
            1,
            RetentionLimits {
                per_table: 2,
                bytes: 1 << 30,
            },
            AckTimeouts::for_transit(400.0),
        );
        for id in 0..1_600 {
            manager.issue(0.0, id, (*table).clone());
        }
        let region = Region::new(ALLOCATOR);
        for dispatcher in 0..1_600 {
            manager.join(0.0, dispatcher, None);
            manager.bind(0.0, dispatcher, 1, dispatcher);
            manager.record_sent(0.0, dispatcher, &[dispatcher], Some(0));
            manager.acknowledge(1.0, dispatcher, 0, &BTreeMap::new());
            (1..=marks).for_each(|m| manager.record_sent(2.0, dispatcher, &[dispatcher], Some(m)));
        }
        let change = region.change();
        let held = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
        println!(
            "delivery tracking, {what}: {} bytes per dispatcher",
            held / 1_600
        );
    }
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(7);
    println!("seed {seed}");
    [20, 120, 400]
        .into_iter()
        .for_each(|size| simulate_day(seed, size));
    memory();
}
