//! Cutting and applying deltas against whole tables, and judging dispatchers against a plain map of what was
//! told last. `cargo bench -p rookpulley-versions`

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
    group.bench_function("cut a delta", |bench| {
        bench.iter(|| Delta::between(black_box(&a), &b))
    });
    group.bench_function("apply a delta, checked", |bench| {
        bench.iter(|| delta.apply(black_box(&a)).unwrap())
    });
    group.bench_function("make the whole table, checked", |bench| {
        bench.iter(|| {
            Table::from_lines(black_box(&lines).iter().cloned())
                .unwrap()
                .digest()
        });
    });
    group.bench_function("replace a map of lines, unchecked", |bench| {
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

fn book() -> VersionManager {
    let issuer = Issuer {
        assigner: "n0".into(),
        start: 1,
    };
    let patience = AckTimeouts::for_transit(400.0);
    let mut book = VersionManager::new(
        issuer,
        1,
        RetentionLimits {
            per_table: 4,
            bytes: 256 << 20,
        },
        patience,
    );
    let lines = table(SERVERS, 0);
    for who in 0..DISPATCHERS {
        book.join(0.0, who, None);
        book.issue(0.0, who, lines.clone());
        book.bind(0.0, who, 1, who);
        book.record_sent(0.0, who, &[who], Some(0));
        book.acknowledge(1.0, who, 0, &BTreeMap::new());
    }
    book
}

/// One change of a server at every table, written and answered, and the look for who is late.
fn judging(c: &mut Criterion) {
    let changed = table(SERVERS, 7);
    let nothing = BTreeMap::new();
    let mut group = c.benchmark_group("1600 dispatchers by 120 servers");
    group.sample_size(20);
    group.bench_function("the book: issue, tell, confirm, judge", |bench| {
        bench.iter_batched_ref(
            book,
            |book| {
                for who in 0..DISPATCHERS {
                    book.issue(2.0, who, changed.clone());
                    book.record_sent(2.0, who, &[who], Some(1));
                }
                (0..DISPATCHERS).for_each(|who| book.acknowledge(3.0, who, 1, &nothing));
                assert!(book.due_resends(4.0).is_empty() && book.all_in_sync());
            },
            BatchSize::LargeInput,
        );
    });
    group.bench_function("the look alone", |bench| {
        let mut book = book();
        bench.iter(|| book.due_resends(black_box(4.0)).len());
    });
    group.bench_function("a plain map of last told", |bench| {
        let lines: BTreeMap<Name, f64> = changed.lines().map(|(n, w)| (n.clone(), w)).collect();
        let told = || {
            (0..DISPATCHERS)
                .map(|who| (who, lines.clone()))
                .collect::<BTreeMap<_, _>>()
        };
        bench.iter_batched_ref(
            told,
            |told| (0..DISPATCHERS).for_each(|who| _ = told.insert(who, lines.clone())),
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, deltas, judging);
criterion_main!(benches);
