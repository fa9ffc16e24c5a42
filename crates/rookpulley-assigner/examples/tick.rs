//! Measures one call of the decision module and the encoding of its effects, without sockets, over
//! twenty simulated seconds with 400 dispatchers and 120 servers. `tools/tick-against COMMIT` compares
//! it with an earlier commit, which is built with `--cfg earlier`.

#[expect(dead_code, reason = "the harness's tests use more of it")]
#[path = "../../../tests/harness/mod.rs"]
mod harness;

use harness::{kind, listed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley::interface::*;
use rookpulley::rules::Controller;
use rookpulley_assigner::messages::server_id;
use rookpulley_assigner::orders::{Names, Orders};
use std::time::Instant;

#[cfg(earlier)]
mod api {
    use super::*;

    pub fn new(kinds: Vec<String>, _: bool) -> Orders {
        Orders::new(kinds)
    }

    pub fn join(orders: &mut Orders, _: f64, proxy: ProxyId) {
        orders.join(proxy, true);
    }

    pub fn answered(orders: &mut Orders, _: f64, proxy: ProxyId, mark: u64) {
        orders.answered(proxy, mark);
    }

    pub fn carry_out(
        orders: &mut Orders,
        _: f64,
        effects: &[Effect],
        names: &Names,
    ) -> Vec<(ProxyId, usize)> {
        orders
            .carry_out(effects, names)
            .into_iter()
            .map(|w| (w.proxy, w.bytes.len()))
            .collect()
    }
}

#[cfg(not(earlier))]
mod api {
    use super::*;
    use rookpulley_assigner::messages::HeldVersions;
    use rookpulley_versions::{AckTimeouts, Issuer, RetentionLimits, VersionManager};

    pub fn new(kinds: Vec<String>, versions: bool) -> Orders {
        let issuer = Issuer {
            assigner: "n0".into(),
            start: 1,
        };
        let bounds = RetentionLimits {
            per_table: 8,
            bytes: 16 << 20,
        };
        Orders::new(
            kinds,
            versions
                .then(|| VersionManager::new(issuer, 1, bounds, AckTimeouts::for_transit(400.0))),
        )
    }

    pub fn join(orders: &mut Orders, now: f64, proxy: ProxyId) {
        orders.join(now, proxy, true, None);
    }

    pub fn answered(orders: &mut Orders, now: f64, proxy: ProxyId, mark: u64) {
        orders.acknowledge(now, proxy, mark, &HeldVersions::new());
    }

    pub fn carry_out(
        orders: &mut Orders,
        now: f64,
        effects: &[Effect],
        names: &Names,
    ) -> Vec<(ProxyId, usize)> {
        if let Some(manager) = &mut orders.manager {
            assert!(manager.poll_due(now).is_empty() && manager.take_uncounted().is_empty());
        }
        orders
            .carry_out(now, effects, names)
            .into_iter()
            .map(|w| (w.proxy, w.bytes.len()))
            .collect()
    }
}

const PROXIES: ProxyId = 400;
const SERVERS: usize = 120;

fn server(n: usize, stage: Stage, started_ms: f64) -> ServerEntry {
    let zone = (n % 3) as ZoneId;
    ServerEntry {
        server: server_id(&format!("s-{n}")),
        stage,
        weight: 1.0,
        started_ms,
        ..listed(0, zone)
    }
}

fn start() -> Start {
    let mut start = harness::start();
    start.topology.zones.push("c".into());
    start.topology.proxies = u32::from(PROXIES);
    start
        .kinds
        .push(kind("book", 1.0, RepeatSafety::Replayable));
    start.channel.lines_per_s = 50_000.0;
    start.channel.bind_lines = 2.0;
    start.channel.backlog_lines = 100_000.0;
    start.proxy_behavior = ProxyBehavior::default();
    start
}

fn main() {
    let versions = std::env::args().nth(1).is_some_and(|a| a == "versions");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let names: Names = (0..SERVERS)
        .map(|n| (server_id(&format!("s-{n}")), format!("s-{n}")))
        .collect();
    let mut controller = Controller::new(0.0, start());
    let mut orders = api::new(vec!["view".into(), "book".into()], versions);
    let lines = (0..SERVERS).map(|n| server(n, Stage::Ready, 0.0)).collect();
    let mut inputs = vec![Input::List {
        scope: ListScope::Cached,
        version: 1,
        lines,
    }];
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut answers: Vec<(f64, ProxyId, u64)> = Vec::new();
    let (mut took, mut calls, mut bytes, mut messages) = (0.0, 0, 0, 0);
    for tick in 0..4_000_u32 {
        let now = f64::from(tick) * 5.0;
        if tick < u32::from(PROXIES) {
            let proxy = tick as ProxyId;
            api::join(&mut orders, now, proxy);
            inputs.push(Input::ProxyJoined {
                proxy,
                zone: proxy % 3,
                usual_per_s: 10.0,
                fresh: true,
            });
        }
        for _ in 0..3 {
            let server = server_id(&format!("s-{}", rng.random_range(0..SERVERS)));
            let (zone, load) = (rng.random_range(0..3), Vec::new());
            inputs.push(Input::ServerReport {
                zone,
                server,
                tries: 9.0,
                bad: 0.0,
                mean_ms: 90.0,
                span_ms: 1e3,
                load,
            });
            let (proxy, kind) = (rng.random_range(0..PROXIES), rng.random_range(0..2));
            inputs.push(Input::ProxyUsage {
                proxy,
                kind,
                came: 10.0,
                bad: 0.0,
                span_ms: 1e3,
            });
        }
        if tick % 200 == 199 {
            let n = rng.random_range(0..SERVERS);
            let stage = if rng.random_range(0..2) == 0 {
                Stage::Draining
            } else {
                Stage::Ready
            };
            let lines = vec![server(n, stage, now)];
            inputs.push(Input::List {
                scope: ListScope::Changes,
                version: 2,
                lines,
            });
        }
        timers.retain(|(due, name)| {
            _ = (*due <= now).then(|| inputs.push(Input::TimerFired { name: *name }));
            *due > now
        });
        let due: Vec<_> = answers.extract_if(.., |(due, ..)| *due <= now).collect();
        let from = Instant::now();
        for (_, proxy, mark) in due {
            api::answered(&mut orders, now, proxy, mark);
            inputs.push(Input::Acknowledged {
                proxy,
                mark,
                took_ms: 90.0,
            });
        }
        let effects = controller.handle(now, &inputs);
        let written = api::carry_out(&mut orders, now, &effects, &names);
        took += from.elapsed().as_secs_f64();
        calls += 1;
        inputs.clear();
        let mark = effects.iter().find_map(|e| {
            if let Effect::RequestAck { mark, .. } = e {
                Some(*mark)
            } else {
                None
            }
        });
        for (proxy, size) in written {
            (bytes, messages) = (bytes + size, messages + 1);
            answers.extend(mark.map(|mark| (now + 90.0, proxy, mark)));
        }
        for effect in effects {
            if let Effect::SetTimer { in_ms, name } = effect {
                timers.push((now + in_ms, name));
            }
        }
    }
    println!(
        "{:.3} us a call, {calls} calls, {messages} messages, {bytes} bytes",
        took / f64::from(calls) * 1e6
    );
}
