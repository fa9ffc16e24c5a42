//! What one call of the module costs by the size of the fleet, in microseconds of processor time: the median of
//! five plays. All proxies are joined to this one controller. Simulated inputs, seed 7; no bench is needed.

use rookpulley::facts::*;
use rookpulley::rules::Controller;
use std::time::Instant;

fn start(proxies: u32) -> Start {
    let kind = |name: &str, response_target_ms: f64| ReqKind {
        name: name.into(),
        response_target_ms,
        client_timeout_ms: 4_000.0,
        value: 1.0,
        late_value_share: 0.1,
        repeat: Repeat::Replayable,
        writes: false,
        zones: vec![],
        machines: vec![],
        own_zone: false,
    };
    Start {
        seed: 7,
        place: Place {
            controllers: 5,
            zones: ["a", "b", "c"].map(String::from).to_vec(),
            proxies,
            ..Place::default()
        },
        kinds: vec![kind("view", 1_200.0), kind("submit", 400.0)],
        bounds: RuleBounds {
            bare_ms: 11_000.0,
            drain_grace_ms: 8_000.0,
            cold_share: 0.31,
            cold_ms: 18_000.0,
            fall_multiple: 3.0,
            fall_ms: 1_500.0,
            only_draining_binds: false,
        },
        channel: ChannelFacts {
            lines_per_s: 1e9,
            head_lines: 6.0,
            bind_lines: 2.0,
            backlog_lines: 1e9,
            messages_over_ms: 10_000.0,
            transit_ms: 100.0,
            transit_most_ms: 250.0,
            ..ChannelFacts::default()
        },
        habits: ProxyHabits::default(),
        list: ListFacts::default(),
        means: Means {
            cross_zone_price: 0.08,
            report_period_ms: 1e3,
            conns_least: 150.0,
            ..Means::default()
        },
        load_fields: vec![],
    }
}

fn listed(n: u16, stage: Stage) -> Listed {
    let [low, high] = n.to_le_bytes();
    let (server, zone) = ([10, 0, high, low, 80, 0], n % 3);
    Listed { server, zone, machine: 0, bay: zone, stage, weight: 2.0, started_ms: 0.0 }
}

fn change(lines: Vec<Listed>) -> Vec<Input> {
    vec![Input::List { scope: ListScope::Changes, version: 2, lines }]
}

/// Mass join, idle round, one server changed, one drain, six in ten servers replaced, each with its calls.
fn play(proxies: u16, servers: u16) -> [f64; 5] {
    let mut now = 100_000.0;
    let mut controller = Controller::new(now, start(u32::from(proxies)));
    let lines = (0..servers).map(|n| listed(n, Stage::Ready)).collect();
    let mut call = |after_ms: f64, mut inputs: Vec<Input>, name: u64| {
        now += after_ms;
        inputs.push(Input::Alarm { name });
        let from = Instant::now();
        std::hint::black_box(controller.handle(now, &inputs));
        from.elapsed().as_secs_f64() * 1e6
    };
    let (round, beat) = (1, 3);
    call(0.0, vec![Input::List { scope: ListScope::Cached, version: 1, lines }], beat);
    (0..3).for_each(|_| _ = call(1_000.0, vec![], round));
    let join = |proxy| Input::Joined { proxy, zone: proxy % 3, usual_per_s: 0.5, fresh: false };
    let joined = call(300.0, (0..proxies).map(join).collect(), beat);
    (0..9).for_each(|_| _ = call(1_000.0, vec![], round));
    let idle = call(1_000.0, vec![], round);
    let one = call(300.0, change(vec![Listed { weight: 1.0, ..listed(3, Stage::Ready) }]), beat);
    let drain = call(300.0, change(vec![listed(7, Stage::Draining)]), beat);
    let most = servers * 6 / 10;
    let all = (0..most).map(|n| listed(n, Stage::Draining));
    let all =
        call(300.0, change(all.chain((0..most).map(|n| listed(servers + n, Stage::Ready))).collect()), beat);
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
        println!("{proxies} {servers} {}", medians.collect::<Vec<_>>().join(" "));
    }
}
