//! Operator rollbacks: snapshot tests and a randomized property test.

#[expect(dead_code, reason = "other tests use more of it")]
mod harness;

use harness::{Harness, kind, listed, server, start};
use insta::assert_snapshot;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use std::collections::{BTreeMap, BTreeSet};

/// Two proxies on four warm servers, after the first round, with all updates acknowledged.
fn settled() -> Harness {
    let mut harness = Harness::new(start(), (1..=4).map(|n| listed(n, 0)).collect());
    harness.join(0, 0);
    harness.join(1, 0);
    harness.advance(1_500.0, |d| d.answer());
    harness
}

trait Operator {
    /// Pins a table to these entries.
    fn rollback(&mut self, table: TableId, lines: &[(u8, f64)]);
    fn release(&mut self, table: TableId);
}

impl Operator for Harness {
    fn rollback(&mut self, table: TableId, lines: &[(u8, f64)]) {
        let lines = lines
            .iter()
            .map(|(n, weight)| (server(*n), *weight))
            .collect();
        self.handle(vec![Input::Rollback { table, lines }]);
    }

    fn release(&mut self, table: TableId) {
        self.handle(vec![Input::ReleaseRollback { table }]);
    }
}

fn calm(harness: &mut Harness) {
    harness.answer();
    (1..=5).for_each(|n| harness.report(n, 10.0, 0.0, 100.0));
}

const OLD: &[(u8, f64)] = &[(1, 2.0), (2, 2.0), (3, 1.0)];

#[test]
fn rollback_persists_across_lists_until_released() {
    let mut harness = settled();
    harness.heading("back to three servers; the other table stays");
    harness.rollback(0, OLD);
    harness.advance(1_500.0, calm);
    harness.heading("a new server comes: t1 takes it in, t0 does not");
    harness.change(5, Stage::Ready, 0.0);
    harness.advance(3_000.0, calm);
    harness.heading("another rollback replaces it");
    harness.rollback(0, &[(1, 1.0), (4, 1.0)]);
    harness.advance(1_500.0, calm);
    harness.heading("released; and once more, which is refused");
    harness.release(0);
    harness.advance(1_500.0, calm);
    harness.release(0);
    assert_snapshot!(harness.trace);
}

#[test]
fn drain_before_a_rollback_is_acknowledged_acts_at_once() {
    let mut harness = settled();
    harness.rollback(0, OLD);
    harness
        .heading("no answer yet; s2 drains, and comes back without a later start only as a ramp");
    harness.change(2, Stage::Draining, 0.0);
    harness.advance(700.0, |_| ());
    harness.advance(2_000.0, calm);
    harness.heading("s2 starts anew: usable again, cold");
    let started = harness.now();
    harness.change(2, Stage::Ready, started);
    harness.advance(3_000.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn rollback_skips_removed_servers() {
    let mut harness = settled();
    harness.change(3, Stage::Gone, 0.0);
    harness.advance(1_500.0, calm);
    harness.heading("s3 and s9 are gone: they are left out");
    harness.rollback(0, &[(1, 2.0), (3, 2.0), (9, 2.0)]);
    harness.advance(1_500.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn rollback_without_usable_servers_is_refused() {
    let mut harness = settled();
    harness.change(1, Stage::Draining, 0.0);
    harness.change(2, Stage::Draining, 0.0);
    harness.advance(1_500.0, calm);
    harness.heading("refused with the reason; the present table stays");
    harness.rollback(0, &[(1, 2.0), (2, 2.0)]);
    harness.rollback(77, &[(3, 2.0)]);
    harness.advance(1_500.0, calm);
    harness.heading("in effect, then its last server drains: it ends, and no table is left empty");
    harness.rollback(0, &[(3, 2.0)]);
    harness.advance(1_500.0, calm);
    harness.change(3, Stage::Draining, 0.0);
    harness.advance(1_500.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn rollback_gives_cold_servers_no_extra_weight() {
    let mut harness = settled();
    let started = harness.now();
    harness.change(1, Stage::Ready, started);
    harness.advance(1_500.0, calm);
    harness.heading("s1 is cold: it was one of two entries, and has no weight yet");
    harness.rollback(0, &[(1, 2.0), (2, 2.0)]);
    harness.advance(1_500.0, calm);
    harness.heading("a rollback to cold servers only is refused");
    harness.rollback(1, &[(1, 2.0)]);
    assert_snapshot!(harness.trace);
}

#[test]
fn rollback_ends_when_it_is_tainted() {
    let mut harness = settled();
    harness.advance(6_000.0, calm);
    harness.heading("failures at its servers after the push");
    harness.rollback(0, OLD);
    let some_bad = |harness: &mut Harness| {
        harness.answer();
        (1..=4).for_each(|n| harness.report(n, 20.0, 3.0, 100.0));
    };
    harness.advance(6_000.0, some_bad);
    assert_snapshot!(harness.trace);
}

#[test]
fn rollback_applies_to_proxies_that_rejoin() {
    let mut harness = settled();
    harness.heading("both leave, the operator rolls back, both rejoin");
    harness.handle(vec![
        Input::ProxyLeft { proxy: 0 },
        Input::ProxyLeft { proxy: 1 },
    ]);
    harness.rollback(0, OLD);
    harness.join(0, 0);
    harness.join(1, 0);
    harness.advance(1_500.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn lost_table_is_sent_again() {
    let mut harness = settled();
    harness.heading("t1 was lost in transit");
    harness.handle(vec![Input::TableLost { table: 1 }]);
    harness.advance(700.0, calm);
    assert_snapshot!(harness.trace);
}

/// State reconstructed from the effects and the server lists.
#[derive(Default)]
struct Seen {
    tables: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    bound: BTreeMap<TableId, ProxyId>,
    drained: BTreeSet<ServerId>,
    held: BTreeSet<TableId>,
}

/// Guards against weights for drained servers, and against empty bound tables while a ready server is listed, under
/// random lists, failures and rollbacks.
#[test]
fn random_rollbacks_use_no_drained_server_and_leave_no_table_empty() {
    let (mut held, mut refused, mut ended) = (0, 0, 0);
    for seed in 0..60_u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut told = start();
        told.kinds = vec![
            kind("view", 1.0, RepeatSafety::Replayable),
            kind("book", 2.0, RepeatSafety::NonReplayable),
        ];
        let mut now = 1e5;
        let mut controller = Controller::new(now, told);
        let mut seen = Seen::default();
        let (mut alarms, mut mark, mut old) = (Vec::new(), None, Vec::new());
        let lines = (1..=8).map(|n| listed(n, 0)).collect();
        let mut inputs = vec![Input::List {
            scope: ListScope::Cached,
            version: 1,
            lines,
        }];
        inputs.extend((0..3).map(|proxy| Input::ProxyJoined {
            proxy,
            zone: 0,
            usual_per_s: 9.0,
            fresh: true,
        }));
        for step in 0..400 {
            let who = format!("seed {seed}, step {step}");
            for input in &inputs {
                if let Input::List { lines, .. } = input {
                    for l in lines {
                        match l.stage {
                            Stage::Ready => _ = seen.drained.remove(&l.server),
                            _ => _ = seen.drained.insert(l.server),
                        }
                    }
                }
            }
            for effect in controller.handle(now, &inputs) {
                match effect {
                    Effect::SetTimer { in_ms, name } => alarms.push((now + in_ms, name)),
                    Effect::SetWeight {
                        table,
                        server,
                        weight,
                    } => {
                        let lines = seen.tables.entry(table).or_default();
                        if weight > 0.0 {
                            assert!(
                                !seen.drained.contains(&server),
                                "{who}: a drained server is written"
                            );
                            lines.insert(server, weight);
                        } else {
                            lines.remove(&server);
                        }
                    }
                    Effect::BindTable { proxy, table, .. } => _ = seen.bound.insert(table, proxy),
                    Effect::RequestAck { mark: m, .. } => mark = Some(m),
                    Effect::RollbackStatus { table, what } => match what {
                        RollbackStatus::Held { lines, of } => {
                            assert!(lines > 0 && lines <= of, "{who}");
                            (held, _) = (held + 1, seen.held.insert(table));
                        }
                        RollbackStatus::Refused(_) => refused += 1,
                        RollbackStatus::Ended(_) => {
                            (ended, _) = (ended + 1, seen.held.remove(&table))
                        }
                    },
                    _ => {}
                }
            }
            let ready = 8 - seen.drained.len();
            for (table, lines) in seen
                .tables
                .iter()
                .filter(|(t, _)| seen.bound.contains_key(t) && ready > 0)
            {
                assert!(!lines.is_empty(), "{who}: table {table} is bare");
            }
            old.push(seen.tables.clone());
            now += rng.random_range(50.0..400.0);
            inputs.clear();
            alarms.retain(|(due, name)| {
                let later = *due > now;
                _ = (!later).then(|| inputs.push(Input::TimerFired { name: *name }));
                later
            });
            inputs.extend(mark.take().into_iter().flat_map(|mark| {
                (0..3).map(move |proxy| Input::Acknowledged {
                    proxy,
                    mark,
                    took_ms: 90.0,
                })
            }));
            let n = rng.random_range(1..=8_u8);
            match rng.random_range(0..12) {
                0 | 1 if seen.drained.len() < 6 => {
                    let line = ServerEntry {
                        stage: Stage::Draining,
                        ..listed(n, 0)
                    };
                    inputs.push(Input::List {
                        scope: ListScope::Changes,
                        version: 2,
                        lines: vec![line],
                    });
                }
                2 => {
                    let line = ServerEntry {
                        started_ms: now,
                        ..listed(n, 0)
                    };
                    inputs.push(Input::List {
                        scope: ListScope::Changes,
                        version: 2,
                        lines: vec![line],
                    });
                }
                3..=5 => {
                    let then: &BTreeMap<_, _> = &old[rng.random_range(0..old.len())];
                    let table = rng.random_range(0..3);
                    let lines = then
                        .get(&table)
                        .cloned()
                        .unwrap_or_default()
                        .into_iter()
                        .collect();
                    inputs.push(Input::Rollback { table, lines });
                }
                6 => inputs.push(Input::ReleaseRollback {
                    table: rng.random_range(0..3),
                }),
                7 => inputs.push(Input::TableLost {
                    table: rng.random_range(0..3),
                }),
                _ => {
                    let bad = if rng.random_range(0..6) == 0 {
                        15.0
                    } else {
                        0.0
                    };
                    let (tries, mean_ms, span_ms, load) = (20.0, 90.0, 1_000.0, Vec::new());
                    let server = server(n);
                    inputs.push(Input::ServerReport {
                        zone: 0,
                        server,
                        tries,
                        bad,
                        mean_ms,
                        span_ms,
                        load,
                    });
                }
            }
        }
    }
    assert!(
        held > 500 && refused > 50 && ended > 300,
        "held {held}, refused {refused}, ended {ended}"
    );
}
