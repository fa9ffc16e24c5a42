//! Snapshot tests of the controller's decisions.

mod harness;

use harness::{Harness, kind, listed, server, start};
use insta::assert_snapshot;
use rookpulley::interface::*;

fn four() -> Vec<ServerEntry> {
    (1..=4).map(|n| listed(n, 0)).collect()
}

/// Two proxies on four warm servers, after the first round, with all updates acknowledged.
fn settled(start: Start) -> Harness {
    let mut harness = Harness::new(start, four());
    harness.join(0, 0);
    harness.join(1, 0);
    harness.advance(1_500.0, |d| d.answer());
    harness
}

#[test]
fn publish() {
    let mut harness = settled(start());
    harness.heading("nothing changes, nothing goes out");
    harness.advance(3_000.0, |d| d.answer());
    harness.heading("a new server enters at a quarter and grows");
    harness.change(5, Stage::Ready, 0.0);
    harness.advance(31_000.0, |d| d.answer());
    assert_snapshot!(harness.trace);
}

/// All four servers succeed, with enough samples to evaluate them.
fn calm(harness: &mut Harness) {
    harness.answer();
    (1..=4).for_each(|n| harness.report(n, 10.0, 0.0, 100.0));
}

/// 3 of 20 tries at each of the four servers fail in each round.
fn some_bad(harness: &mut Harness) {
    harness.answer();
    (1..=4).for_each(|n| harness.report(n, 20.0, 3.0, 100.0));
}

#[test]
fn taint_rollback_and_clearing() {
    let mut harness = settled(start());
    harness.advance(6_000.0, |d| d.answer());
    harness.heading(
        "a new server: a new revision, then failures at the others: back to the one without it",
    );
    harness.change(5, Stage::Ready, 0.0);
    harness.advance(5_000.0, some_bad);
    harness.heading("s5 grows: new lines, a new revision");
    harness.advance(1_500.0, calm);
    harness.heading("s5 restarts: the lines hash to the tainted revision again, which clears it");
    let started = harness.now();
    harness.change(5, Stage::Ready, started);
    harness.advance(1_000.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn all_tainted_keeps_the_newest() {
    let mut harness = settled(start());
    harness.heading("the only revision fails: tainted, and published still");
    harness.advance(6_000.0, some_bad);
    assert_snapshot!(harness.trace);
}

#[test]
fn drain_and_return() {
    let mut harness = settled(start());
    harness.heading("s2 drains: out at once, not at the next round");
    harness.change(2, Stage::Draining, 0.0);
    harness.advance(700.0, |_| ());
    harness.heading("gone, then restarted cold under the same id");
    harness.change(2, Stage::Gone, 0.0);
    harness.advance(9_000.0, calm);
    let started = harness.now() - 500.0;
    harness.change(2, Stage::Ready, started);
    harness.advance(6_000.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn new_server_gets_its_assured_capacity() {
    let mut soon_warm = start();
    (soon_warm.bounds.cold_share, soon_warm.bounds.warm_up_ms) = (0.85, 1_000.0);
    let mut harness = settled(soon_warm);
    harness.advance(9_000.0, calm);
    harness.heading(
        "s5 starts; it is sure to do 0.85 of its work at once, and all of it after a second",
    );
    let started = harness.now();
    harness.change(5, Stage::Ready, started);
    harness.advance(2_000.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn failures_before_a_restart_are_ignored() {
    let mut harness = settled(start());
    let bad_at_s4 = |d: &mut Harness| {
        d.answer();
        (1..=3).for_each(|n| d.report(n, 10.0, 0.0, 100.0));
        d.report(4, 8.0, 8.0, 0.0);
    };
    harness.advance(9_000.0, calm);
    harness.advance(1_000.0, bad_at_s4);
    let started = harness.now();
    harness.change(4, Stage::Ready, started);
    // Reports that were in transit during the restart.
    harness.advance(2_900.0, bad_at_s4);
    harness.advance(3_000.0, calm);
    assert!(!harness.trace.contains("Failing"), "{}", harness.trace);
    // Later reports count.
    harness.advance(4_000.0, bad_at_s4);
    assert!(
        harness.trace.contains("Ramping -> Ejected on Failing"),
        "{}",
        harness.trace
    );
}

#[test]
fn departed_servers_are_removed_and_state_stays_bounded() {
    let mut harness = settled(start());
    harness.change(4, Stage::Gone, 0.0);
    harness.advance(9_000.0, |d| d.answer());
    assert_eq!(harness.known(), [1, 2, 3, 4], "a proxy may be late");
    harness.advance(2_000.0, |d| d.answer());
    assert_eq!(harness.known(), [1, 2, 3]);
    harness.heading("back under its id: it is used as a new one is");
    harness.change(4, Stage::Ready, 0.0);
    harness.advance(1_000.0, |d| d.answer());
    assert_snapshot!(harness.trace);
    for n in 5..=200 {
        harness.change(n, Stage::Ready, 0.0);
        harness.change(n - 4, Stage::Gone, 0.0);
        harness.advance(2_000.0, |d| d.answer());
        assert!(harness.known().len() <= 4 + 7, "{:?}", harness.known());
    }
}

#[test]
fn failing_server_is_ejected_and_retried() {
    let mut harness = settled(start());
    harness.advance(3_000.0, |_| ());
    harness.heading("s3 gives no good answers; the others do");
    (1..=4).for_each(|n| harness.report(n, 10.0, if n == 3 { 10.0 } else { 0.0 }, 100.0));
    harness.heading("let in again at a quarter, it still fails: held twice as long");
    harness.advance(20_000.0, |d| {
        (1..=4).for_each(|n| d.report(n, 5.0, if n == 3 { 5.0 } else { 0.0 }, 100.0))
    });
    assert_snapshot!(harness.trace);
}

#[test]
fn no_table_is_left_empty() {
    let mut harness = Harness::new(start(), vec![listed(1, 0), listed(2, 0)]);
    harness.join(0, 0);
    harness.advance(5_000.0, |_| ());
    harness.heading("all fail alike: none is ejected");
    harness.advance(2_000.0, |d| {
        (1..=2).for_each(|n| d.report(n, 10.0, 10.0, 0.0))
    });
    harness
        .heading("one is ejected, then the other leaves: the ejected one is used rather than none");
    harness.advance(2_000.0, |d| {
        (1..=2).for_each(|n| d.report(n, 40.0, if n == 1 { 40.0 } else { 0.0 }, 100.0))
    });
    harness.change(2, Stage::Gone, 0.0);
    harness.advance(400.0, |_| ());
    assert_snapshot!(harness.trace);
}

#[test]
fn dropped_server_stays_while_it_answers() {
    let mut soft = start();
    soft.bounds.soft_removal = true;
    let mut harness = settled(soft);
    harness.advance(3_000.0, calm);
    harness.heading("the list drops s2 and s3, where only draining binds; both do well");
    harness.change(2, Stage::Gone, 0.0);
    harness.change(3, Stage::Gone, 0.0);
    harness.advance(2_000.0, calm);
    harness.heading("s3 stops answering; s4 drains; s5 is new and never answers");
    harness.change(4, Stage::Draining, 0.0);
    harness.change(5, Stage::Ready, 0.0);
    harness.advance(5_000.0, |d| {
        d.answer();
        (1..=5).for_each(|n| d.report(n, 10.0, if n == 3 || n == 5 { 10.0 } else { 0.0 }, 100.0));
    });
    assert_snapshot!(harness.trace);
}

#[test]
fn tables_whose_servers_all_left_go_first() {
    let mut far = start();
    far.capabilities.cross_zone_price = 0.1;
    far.channel.backlog_lines = 50.0;
    let mut harness = Harness::new(
        far,
        vec![listed(1, 0), listed(2, 0), listed(3, 1), listed(4, 1)],
    );
    harness.join(0, 1);
    harness.join(1, 0);
    harness.advance(1_500.0, |d| d.answer());
    harness
        .heading("p1's servers leave, and the queue has no room for all: p1 is written before p0");
    harness.handle(vec![Input::List {
        scope: ListScope::Full,
        version: 2,
        lines: (3..=5).map(|n| listed(n, 1)).collect(),
    }]);
    harness.advance(2_000.0, |_| ());
    assert_snapshot!(harness.trace);
}

#[test]
fn slow_server_gets_less_weight() {
    let mut harness = settled(start());
    harness.advance(2_000.0, |_| ());
    harness.heading("s4 takes nine times as long as the others");
    harness.advance(5_000.0, |d| {
        (1..=4).for_each(|n| d.report(n, 10.0, 0.0, if n == 4 { 900.0 } else { 100.0 }))
    });
    assert_snapshot!(harness.trace);
}

#[test]
fn cold_server_waits_while_reports_are_too_few() {
    let mut harness = settled(start());
    harness.advance(10_000.0, |d| d.report(1, 2.0, 0.0, 100.0));
    harness
        .heading("s2 returns cold; six requests in three seconds are too few to detect overload");
    let started = harness.now();
    harness.change(2, Stage::Ready, started);
    harness.advance(3_000.0, |d| d.report(1, 2.0, 0.0, 100.0));
    harness.heading("enough samples arrive, and the fleet is healthy");
    harness.advance(6_000.0, calm);
    assert_snapshot!(harness.trace);
}

#[test]
fn load_is_not_shifted_between_servers_of_a_full_fleet() {
    let mut harness = settled(start());
    harness.advance(5_000.0, |_| ());
    let full = |d: &mut Harness, s3_bad: f64, s4_ms: f64| {
        (0..2).for_each(|p| d.usage(p, 0, 40.0));
        for (n, bad, ms) in [
            (1, 6.0, 800.0),
            (2, 6.0, 800.0),
            (3, s3_bad, 800.0),
            (4, 6.0, s4_ms),
        ] {
            d.report(n, 20.0, bad, ms);
        }
    };
    harness.heading("all are full");
    harness.advance(4_000.0, |d| full(d, 6.0, 800.0));
    harness.heading(
        "s3 fails most and s4 takes twice as long, but both do work: neither is moved off",
    );
    harness.advance(6_000.0, |d| full(d, 16.0, 1_600.0));
    assert_snapshot!(harness.trace);
}

#[test]
fn crash_rebuild_and_rejoin() {
    let mut harness = settled(start());
    harness.heading("the stream of p0 breaks and comes back: bound again at once, whole");
    harness.handle(vec![Input::ProxyLeft { proxy: 0 }]);
    harness.advance(400.0, |_| ());
    harness.join(0, 0);
    let asked_at = 100_000.0;
    let lines = vec![
        listed(1, 0),
        listed(2, 0),
        ServerEntry {
            stage: Stage::Draining,
            ..listed(3, 0)
        },
        ServerEntry {
            started_ms: asked_at - 3_000.0,
            ..listed(4, 0)
        },
    ];
    let mut again = Harness::new(start(), lines);
    again.join(1, 0);
    again.advance(1_000.0, |_| ());
    assert_snapshot!(
        harness.trace
            + "== started over from the list alone: s4 started 3 s ago, s3 drains\n"
            + &again.trace
    );
}

#[test]
fn backlog_limit() {
    let mut tight = start();
    tight.channel.backlog_lines = 40.0;
    let mut harness = settled(tight);
    harness.heading(
        "a bound table's deltas wait while p0's and p1's tables fill the channel; a drain does not",
    );
    harness.change(5, Stage::Ready, 0.0);
    harness.change(2, Stage::Draining, 0.0);
    harness.heading("answers show the channel empty: the rest follows");
    harness.answer();
    harness.advance(2_000.0, |d| d.answer());
    assert_snapshot!(harness.trace);
}

#[test]
fn first_tables_wait_for_queue_space() {
    let mut tight = start();
    (tight.channel.backlog_lines, tight.channel.bind_lines) = (38.0, 2.0);
    let mut harness = Harness::new(tight, four());
    harness.join(0, 0);
    harness.join(1, 0);
    harness.heading("with two lines charged per entry of a first table, only one table fits");
    harness.advance(1_000.0, |_| ());
    harness.heading("answered: the other follows");
    harness.advance(1_500.0, |d| d.answer());
    assert_snapshot!(harness.trace);
}

#[test]
fn message_limit() {
    let mut few = start();
    few.channel.messages_most = 4;
    let mut harness = settled(few);
    harness.heading("two of four messages in 10 s may be deltas");
    for n in 5..=6 {
        harness.change(n, Stage::Ready, 0.0);
        harness.advance(1_000.0, |d| d.answer());
    }
    harness.heading(
        "drains go out all the same; that s2 is back waits until the first messages are past",
    );
    harness.change(2, Stage::Draining, 0.0);
    harness.change(3, Stage::Draining, 0.0);
    harness.change(2, Stage::Ready, 0.0);
    harness.advance(10_000.0, |d| d.answer());
    assert_snapshot!(harness.trace);
}

/// Overload: proxies receive 100 requests a second of three kinds and 60 of them succeed, slowly.
fn overload(mut from: Start) -> Harness {
    from.kinds = vec![
        kind("view", 1.0, RepeatSafety::Replayable),
        kind(
            "hold",
            5.0,
            RepeatSafety::Uniqued {
                group: Group::Zone,
                window_ms: 5_000.0,
            },
        ),
        kind("charge", 3.0, RepeatSafety::NonReplayable),
    ];
    let mut harness = settled(from);
    let cold = harness.now() - 1_000.0;
    harness.heading("s5 returns cold, then the fleet is overloaded");
    harness.change(5, Stage::Ready, cold);
    harness.advance(4_000.0, |d| {
        (0..2).for_each(|p| d.usage(p, 0, 30.0 + 10.0 * f64::from(p)));
        (0..2).for_each(|p| d.usage(p, 1, 10.0));
        d.usage(0, 2, 10.0);
        (1..=4).for_each(|n| d.report(n, 25.0, 10.0, 1_500.0));
    });
    harness.heading("the overload ends");
    harness.advance(10_000.0, |d| {
        (0..2).for_each(|p| d.usage(p, 0, 10.0));
        (1..=4).for_each(|n| d.report(n, 15.0, 0.0, 200.0));
    });
    harness
}

#[test]
fn admission_favours_value_and_overload_stops_retries() {
    assert_snapshot!(overload(start()).trace);
}

#[test]
fn overload_without_admission_control() {
    let mut ignored = start();
    ignored.proxy_behavior.levels = AdmissionMode::Unsupported;
    assert_snapshot!(overload(ignored).trace);
}

#[test]
fn zones_spill_over_by_peer_announcements() {
    let mut near = start();
    near.capabilities.cross_zone_price = 0.1;
    near.capabilities.peers = true;
    near.topology.proxies = 4;
    let mut harness = Harness::new(
        near,
        vec![listed(1, 0), listed(2, 0), listed(3, 1), listed(4, 1)],
    );
    harness.join(0, 0);
    harness.join(1, 0);
    harness.heading("a peer names as much demand in the other zone; invalid entries are skipped");
    let line = |p: u16, per_s: f32| {
        [
            &p.to_le_bytes()[..],
            &1_u16.to_le_bytes(),
            &per_s.to_le_bytes(),
        ]
        .concat()
    };
    let bytes = [
        line(2, 10.0),
        line(3, 10.0),
        line(9, f32::NAN),
        vec![1, 2, 3],
    ]
    .concat();
    harness.handle(vec![Input::PeerMessage { from: 1, bytes }]);
    harness.advance(1_000.0, |d| d.answer());
    harness.heading("zone 0 loses one of two: what has no room at home crosses");
    harness.change(2, Stage::Gone, 0.0);
    harness.advance(400.0, |_| ());
    assert_snapshot!(harness.trace);
}

#[test]
fn kinds_stay_in_their_zones() {
    let mut bound = start();
    bound.kinds.push(RequestKind {
        zones: vec![1],
        ..kind("charge", 3.0, RepeatSafety::NonReplayable)
    });
    bound.capabilities.cross_zone_price = 0.1;
    let mut harness = Harness::new(
        bound,
        vec![listed(1, 0), listed(2, 0), listed(3, 1), listed(4, 1)],
    );
    harness.join(0, 0);
    harness.advance(1_000.0, |_| ());
    assert_snapshot!(harness.trace);
}

#[test]
fn arc_is_resized_after_a_sustained_change_of_demand() {
    let mut many = start();
    many.topology.proxies = 100;
    many.capabilities.min_connections = 100.0;
    let mut harness = Harness::new(many, (1..=16).map(|n| listed(n, 0)).collect());
    (0..3).for_each(|p| harness.join(p, 0));
    harness.advance(1_000.0, |_| ());
    harness.heading("p0 brings four times what the others do, for 25 s");
    harness.advance(25_000.0, |d| {
        (0..3).for_each(|p| d.usage(p, 0, if p == 0 { 40.0 } else { 10.0 }))
    });
    assert_snapshot!(harness.trace);
}

/// The trace lines that contain `what`, with the section headings.
fn only(trace: &str, what: &str) -> String {
    trace
        .lines()
        .filter(|l| l.contains(what) || l.starts_with("--"))
        .collect::<Vec<_>>()
        .join("\n")
}

#[test]
fn chance_failures_during_overload_eject_no_server() {
    let mut harness = Harness::new(start(), (1..=200).map(|n| listed(n, 0)).collect());
    harness.join(0, 0);
    harness.heading("two of three tries fail everywhere, all four at s9, all forty at s10");
    harness.advance(12_000.0, |d| {
        let met = |n| {
            if n == 9 {
                (1.4, 1.4)
            } else if n == 10 {
                (14.0, 14.0)
            } else {
                (3.0, 2.0)
            }
        };
        (1..=200).for_each(|n| d.report(n, met(n).0, met(n).1, 900.0));
    });
    assert_snapshot!(only(&harness.trace, "Ejected"));
}

#[test]
fn arcs_narrow_where_connections_are_refused() {
    let mut many = start();
    (many.topology.proxies, many.topology.controllers) = (4, 1);
    many.load_fields = vec![LoadField::InFlight];
    let mut harness = Harness::new(many, (1..=8).map(|n| listed(n, 0)).collect());
    (0..4).for_each(|p| harness.join(p, 0));
    harness.advance(7_000.0, |d| {
        (1..=8).for_each(|n| d.report(n, 10.0, 0.0, 100.0))
    });
    harness.heading("half of the tries fail, though servers report nothing to do");
    harness.advance(12_000.0, |d| {
        (1..=8).for_each(|n| d.report(n, 10.0, 5.0, 100.0))
    });
    harness.heading("no more");
    harness.advance(30_000.0, |d| {
        (1..=8).for_each(|n| d.report(n, 10.0, 0.0, 100.0))
    });
    assert_snapshot!(only(&harness.trace, "t0:"));
}

/// Guards against overloading cold servers during a release, when arcs are narrow and some start at a run of removed
/// servers that new ones follow.
#[test]
fn cold_servers_are_limited_to_their_fair_share() {
    let mut many = start();
    (many.topology.proxies, many.topology.controllers) = (60, 1);
    many.load_fields = vec![LoadField::InFlight];
    (many.channel.backlog_lines, many.channel.lines_per_s) = (1e6, 1e6);
    (
        many.bounds.cold_share,
        many.bounds.warm_up_ms,
        many.bounds.fall_multiple,
    ) = (0.5, 60_000.0, 6.0);
    let mut harness = Harness::new(many, (1..=40).map(|k| listed(3 * k, 0)).collect());
    (0..60).for_each(|p| harness.join(p, 0));
    let hear = |d: &mut Harness, bad: f64| {
        (3..=120).for_each(|n| d.report(n, 10.0, bad, 100.0));
        d.answer();
    };
    harness.advance(7_000.0, |d| hear(d, 0.0));
    harness.advance(9_000.0, |d| hear(d, 5.0));
    let started = harness.now();
    for last in [6, 14, 22, 30, 38] {
        (last - 4..=last).for_each(|k| harness.change(3 * k, Stage::Draining, 0.0));
        [1, 2]
            .into_iter()
            .for_each(|beside| harness.change(3 * last + beside, Stage::Ready, started));
    }
    harness.advance(6_000.0, |d| hear(d, 5.0));
    // 15 warm servers and 10 cold ones at half capacity.
    let (fair, sent) = (60.0 * 0.5 / 20.0, harness.sent());
    let cold: Vec<f64> = sent
        .iter()
        .filter(|(n, _)| *n % 3 > 0)
        .map(|(_, load)| *load)
        .collect();
    let most = cold.iter().copied().fold(0.0, f64::max);
    assert!(most < 1.25 * fair && cold.len() == 10, "{fair}: {sent:?}");
    assert!(cold.iter().sum::<f64>() > 5.0 * fair, "{fair}: {sent:?}");
}

#[test]
fn admission_limit_scales_with_the_joined_proxies() {
    let mut harness = settled(start());
    let full = |d: &mut Harness, proxies| {
        (0..proxies).for_each(|p| d.usage(p, 0, 30.0));
        (1..=4).for_each(|n| d.report(n, 10.0, 0.0, 700.0));
    };
    harness.advance(8_000.0, |d| full(d, 2));
    harness.heading("a peer dies, and its two proxies come here");
    (2..4).for_each(|p| harness.join(p, 0));
    harness.advance(4_000.0, |d| full(d, 4));
    assert_snapshot!(only(&harness.trace, "admi"));
}

#[test]
fn a_slow_minority_of_servers_is_not_overload() {
    let mut harness = settled(start());
    harness.heading(
        "s4 takes thirty times as long, so that the mean is past half the response target",
    );
    harness.advance(10_000.0, |d| {
        (1..=4).for_each(|n| d.report(n, 10.0, 0.0, if n == 4 { 3_000.0 } else { 100.0 }))
    });
    assert_snapshot!(only(&harness.trace, "log"));
}

#[test]
fn full_servers_are_overload_only_when_they_are_many() {
    let mut queues = start();
    queues.load_fields = vec![LoadField::Queue];
    let mut harness = Harness::new(queues, (1..=10).map(|n| listed(n, 0)).collect());
    harness.join(0, 0);
    let full = |d: &mut Harness, servers: u8| {
        d.answer();
        d.usage(0, 0, 100.0);
        for n in 1..=10 {
            let (zone, server, load) = (0, server(n), vec![if n <= servers { 60.0 } else { 1.0 }]);
            let (tries, bad, mean_ms, span_ms) = (10.0, 0.0, 100.0, 1_000.0);
            d.handle(vec![Input::ServerReport {
                zone,
                server,
                tries,
                bad,
                mean_ms,
                span_ms,
                load,
            }]);
        }
    };
    harness.advance(12_000.0, |d| full(d, 3));
    assert!(!harness.trace.contains("Throttled"), "{}", harness.trace);
    harness.advance(4_000.0, |d| full(d, 6));
    assert!(
        harness.trace.contains("admission Open -> Throttled"),
        "{}",
        harness.trace
    );
}

#[test]
fn updates_wait_while_acknowledgements_are_overdue() {
    let mut slow = start();
    slow.channel.backlog_lines = 60.0;
    let mut harness = settled(slow);
    harness
        .heading("acknowledgements stop: new servers wait as soon as half the queue may be full");
    for n in 5..=12 {
        harness.change(n, Stage::Ready, 0.0);
        harness.advance(1_000.0, |_| ());
    }
    harness.heading("all is answered");
    harness.advance(1_000.0, |d| d.answer());
    assert_snapshot!(only(&harness.trace, "t0:"));
}

#[test]
fn list_requests_back_off_exponentially() {
    let mut asked = start();
    asked.list.on_request = true;
    let mut harness = Harness::new(asked, four());
    for _ in 0..5 {
        harness.handle(vec![Input::List {
            scope: ListScope::Failed,
            version: 1,
            lines: vec![],
        }]);
        harness.advance(12_000.0, |_| ());
    }
    let asks = harness
        .trace
        .lines()
        .filter(|l| l.contains("WatchList"))
        .collect::<Vec<_>>()
        .join("\n");
    assert_snapshot!(asks);
}

#[test]
fn equal_inputs_give_equal_effects() {
    let run = || overload(start()).trace;
    assert_eq!(run(), run());
    assert_eq!(server(3)[3], 3);
}
