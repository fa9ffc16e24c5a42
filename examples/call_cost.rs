//! Measures the duration of single controller calls by fleet size, in microseconds: the median of five runs with
//! simulated inputs. All proxies are joined to one controller.

#[allow(dead_code)]
#[path = "../tests/harness/mod.rs"]
mod harness;

use rookpulley::interface::*;
use rookpulley::rules::Controller;
use std::time::Instant;

/// Settings with two request kinds, three zones and a channel without effective limits.
fn start(proxies: u32) -> Start {
    let mut start = harness::start();
    start.kinds = ["view", "submit"]
        .map(|name| harness::kind(name, 1.0, RepeatSafety::Replayable))
        .to_vec();
    (start.topology.proxies, start.topology.controllers) = (proxies, 5);
    start.topology.zones = ["a", "b", "c"].map(String::from).to_vec();
    start.proxy_behavior = ProxyBehavior::default();
    (
        start.capabilities.cross_zone_price,
        start.capabilities.min_connections,
    ) = (0.08, 150.0);
    (
        start.channel.lines_per_s,
        start.channel.backlog_lines,
        start.channel.bind_lines,
    ) = (1e9, 1e9, 2.0);
    start
}

fn listed(n: u16, stage: Stage) -> ServerEntry {
    let [low, high] = n.to_le_bytes();
    let (server, zone) = ([10, 0, high, low, 80, 0], n % 3);
    ServerEntry {
        server,
        zone,
        machine: 0,
        bay: zone,
        stage,
        weight: 2.0,
        started_ms: 0.0,
    }
}

fn change(lines: Vec<ServerEntry>) -> Vec<Input> {
    vec![Input::List {
        scope: ListScope::Changes,
        version: 2,
        lines,
    }]
}

/// Returns the cost of a mass join, an idle round, one changed server, one drain, and replacing 60 % of the servers.
fn play(proxies: u16, servers: u16) -> [f64; 5] {
    let mut now = 100_000.0;
    let mut controller = Controller::new(now, start(u32::from(proxies)));
    let lines = (0..servers).map(|n| listed(n, Stage::Ready)).collect();
    let mut call = |after_ms: f64, mut inputs: Vec<Input>, name: u64| {
        now += after_ms;
        inputs.push(Input::TimerFired { name });
        let from = Instant::now();
        std::hint::black_box(controller.handle(now, &inputs));
        from.elapsed().as_secs_f64() * 1e6
    };
    let (round, flush) = (1, 3);
    call(
        0.0,
        vec![Input::List {
            scope: ListScope::Cached,
            version: 1,
            lines,
        }],
        flush,
    );
    (0..3).for_each(|_| _ = call(1_000.0, vec![], round));
    let join = |proxy| Input::ProxyJoined {
        proxy,
        zone: proxy % 3,
        usual_per_s: 0.5,
        fresh: false,
    };
    let joined = call(300.0, (0..proxies).map(join).collect(), flush);
    (0..9).for_each(|_| _ = call(1_000.0, vec![], round));
    let idle = call(1_000.0, vec![], round);
    let one = call(
        300.0,
        change(vec![ServerEntry {
            weight: 1.0,
            ..listed(3, Stage::Ready)
        }]),
        flush,
    );
    let drain = call(300.0, change(vec![listed(7, Stage::Draining)]), flush);
    let most = servers * 6 / 10;
    let all = (0..most).map(|n| listed(n, Stage::Draining));
    let all = call(
        300.0,
        change(
            all.chain((0..most).map(|n| listed(servers + n, Stage::Ready)))
                .collect(),
        ),
        flush,
    );
    [joined, idle, one, drain, all]
}

fn main() {
    println!("proxies servers mass_join idle_round one_changed one_drain six_in_ten (us)");
    for (proxies, servers) in [(150, 30), (500, 120), (2_400, 200)] {
        let plays: Vec<[f64; 5]> = (0..5).map(|_| play(proxies, servers)).collect();
        let medians = (0..5).map(|k| {
            let mut of: Vec<f64> = plays.iter().map(|p| p[k]).collect();
            of.sort_by(f64::total_cmp);
            format!("{:.0}", of[2])
        });
        println!(
            "{proxies} {servers} {}",
            medians.collect::<Vec<_>>().join(" ")
        );
    }
}
