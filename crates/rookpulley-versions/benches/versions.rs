//! Computing and applying deltas compared with whole tables, and delivery tracking compared with a plain map of
//! sent tables. Run with `cargo bench -p rookpulley-versions`.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use rookpulley_versions::*;
use std::collections::BTreeMap;
use std::hint::black_box;

fn table(lines: u32, changed: u32) -> Table {
    let line = |n| {
        (
            Name::from(format!("s-{n:08x}")),
            if n == changed { 0.25 } else { 1.5 },
        )
    };
    Table::from_lines((0..lines).map(line)).unwrap()
}

fn deltas(c: &mut Criterion) {
    let (a, b) = (table(400, 0), table(400, 7));
    let delta = Delta::between(&a, &b);
    let lines: Vec<(Name, f64)> = b.lines().map(|(n, w)| (n.clone(), w)).collect();
    let mut group = c.benchmark_group("400 lines, two changed");
    group.bench_function("compute a delta", |bench| {
        bench.iter(|| Delta::between(black_box(&a), &b))
    });
    group.bench_function("apply and verify a delta", |bench| {
        bench.iter(|| delta.apply(black_box(&a)).unwrap())
    });
    group.bench_function("build and verify the whole table", |bench| {
        bench.iter(|| {
            Table::from_lines(black_box(&lines).iter().cloned())
                .unwrap()
                .digest()
        });
    });
    group.bench_function("build a map of lines without verification", |bench| {
        bench.iter(|| {
            black_box(&lines)
                .iter()
                .cloned()
                .collect::<BTreeMap<Name, f64>>()
        });
    });
    group.finish();
}

const DISPATCHERS: u16 = 1_600;
const SERVERS: u32 = 120;

fn manager() -> VersionManager {
    let issuer = Issuer {
        assigner: "n0".into(),
        start: 1,
    };
    let timeouts = AckTimeouts::for_transit(400.0);
    let mut manager = VersionManager::new(
        issuer,
        1,
        RetentionLimits {
            per_table: 4,
            bytes: 256 << 20,
        },
        timeouts,
    );
    let lines = table(SERVERS, 0);
    for id in 0..DISPATCHERS {
        manager.join(0.0, id, None);
        manager.issue(0.0, id, lines.clone());
        manager.bind(0.0, id, 1, id);
        manager.record_sent(0.0, id, &[id], Some(0));
        manager.acknowledge(1.0, id, 0, &BTreeMap::new());
    }
    manager
}

/// Issues, sends and confirms one change in every table and checks for resends.
fn tracking(c: &mut Criterion) {
    let changed = table(SERVERS, 7);
    let nothing = BTreeMap::new();
    let mut group = c.benchmark_group("1600 dispatchers by 120 servers");
    group.sample_size(20);
    group.bench_function("issue, send, confirm, check", |bench| {
        bench.iter_batched_ref(
            manager,
            |manager| {
                for id in 0..DISPATCHERS {
                    manager.issue(2.0, id, changed.clone());
                    manager.record_sent(2.0, id, &[id], Some(1));
                }
                (0..DISPATCHERS).for_each(|id| manager.acknowledge(3.0, id, 1, &nothing));
                assert!(manager.due_resends(4.0).is_empty() && manager.all_in_sync());
            },
            BatchSize::LargeInput,
        );
    });
    group.bench_function("check for resends", |bench| {
        let mut manager = manager();
        bench.iter(|| manager.due_resends(black_box(4.0)).len());
    });
    group.bench_function("plain map of sent tables", |bench| {
        let lines: BTreeMap<Name, f64> = changed.lines().map(|(n, w)| (n.clone(), w)).collect();
        let sent = || {
            (0..DISPATCHERS)
                .map(|id| (id, lines.clone()))
                .collect::<BTreeMap<_, _>>()
        };
        bench.iter_batched_ref(
            sent,
            |sent| (0..DISPATCHERS).for_each(|id| _ = sent.insert(id, lines.clone())),
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, deltas, tracking);
criterion_main!(benches);
