//! The assigner on loopback sockets, against stand-ins of its own. Tests wait for what happens, not for
//! a clock; where a stand-in has a pace of its own, a slower one changes nothing.

use rookpulley::interface::Input;
use rookpulley_assigner::close_reason::{ALL, CloseReason};
use rookpulley_assigner::connections::Connections;
use rookpulley_assigner::counters::Counters;
use rookpulley_assigner::driver::{Context, Event};
use rookpulley_assigner::list_client::{Backoff, ListClient};
use rookpulley_assigner::log::Log;
use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_operators::Operators;
use rookpulley_standin::discovery::{Agent, Discovery};
use rookpulley_standin::lists::{list, server, serving, told};
use rookpulley_standin::wire::{BEAT, COLLECTOR, LONG, Wire, joining, names};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

struct Running {
    place: SocketAddr,
    notes: Option<SocketAddr>,
    ctx: Rc<Context>,
}

async fn run(told: &Value) -> Running {
    let told = config::parse(&told.to_string()).unwrap();
    let assigner = Assigner::bind(
        told,
        "no file".into(),
        Signals::take().unwrap(),
        &Operators::default(),
    )
    .await
    .unwrap();
    let (place, notes) = assigner.addresses();
    let ctx = assigner.ctx.clone();
    spawn_local(assigner.serve());
    Running {
        place: place.unwrap(),
        notes,
        ctx,
    }
}

impl Running {
    /// Waits until only so many connections are open.
    async fn alone(&self, open: usize) {
        while self.ctx.conns.count() > open {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until this was counted so often.
    async fn counted(&self, what: &str, count: u64) {
        let wait = async {
            while self.ctx.counters.get(what) < count {
                tokio::task::yield_now().await;
            }
        };
        if timeout(LONG, wait).await.is_err() {
            panic!(
                "{what} was not counted {count} times: {:#?}",
                self.ctx.counters.lines()
            );
        }
    }
}

/// Runs a test with an assigner whose discovery works.
fn with_assigner<F: Future<Output = ()>>(test: impl FnOnce(Running, Agent) -> F) {
    on_sockets(async {
        let agent = Agent::new().await;
        test(run(&told(agent.place)).await, agent).await;
    });
}

fn on_sockets(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async { timeout(2 * LONG, test).await.expect("it hangs") };
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

// ---- Streams ------------------------------------------------------------------------------

#[test]
fn a_proxy_joins_and_is_bound_and_hears_of_a_drain() {
    with_assigner(|running, agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        let table = proxy.table().await;
        assert_eq!(table["lines"].as_array().unwrap().len(), 3, "{table}");
        running.counted("in marks answered", 1).await;
        agent.say(8, false, &[server(2, "DRAINING", 0.0)]);
        let message = proxy.until("s-2 shut out", names("s-2")).await;
        assert!(message["ticket"].is_u64(), "{message}");
        agent.say(9, false, &[server(3, "DELETED", 0.0)]);
        proxy.until("s-3 shut out", names("s-3")).await;
        // Back with a new start: let back with the line that brings it into the table again.
        agent.say(10, true, &serving(1..=3));
        proxy
            .until("s-2 back", |m| m["back"].to_string().contains("s-2"))
            .await;
    });
}

#[test]
fn bytes_come_in_pieces_and_messages_together() {
    with_assigner(|running, _agent| async move {
        let mut proxy = Wire::dial(running.place).await;
        for byte in format!("{}\n", joining(1, true)).bytes() {
            proxy.socket.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        running.counted("in joinings", 1).await;
        let usage = r#"{"msg":"client_stats","proxy":1,"class":"read","tries":19,"failed":0,"span_ms":1000.0,"new":[1]}"#;
        proxy.say(&[usage, usage, BEAT, usage].join("\n")).await;
        proxy
            .until("an answer to the beat", |m| m["msg"] == "hb_ok")
            .await;
        running.counted("in usage", 3).await;
        proxy.table().await;
    });
}

#[test]
fn a_new_stream_replaces_the_old_whose_late_end_changes_nothing() {
    with_assigner(|running, agent| async move {
        let mut old = Wire::join(running.place, 2, true).await;
        old.table().await;
        let mut new = Wire::join(running.place, 2, false).await;
        new.table().await;
        // Input of the old one that was read before its end and comes after the joining of the new.
        let input = Input::Acknowledged {
            proxy: 2,
            mark: 0,
            took_ms: 1.0,
        };
        running
            .ctx
            .send(Event::ProxyInput {
                conn: 0,
                proxy: 2,
                input,
                holds: Default::default(),
            })
            .await;
        running.counted("late input of old streams", 1).await;
        assert!(old.hear().await.is_none());
        running.counted(CloseReason::Replaced.counter(), 1).await;
        agent.say(8, false, &[server(1, "DRAINING", 0.0)]);
        new.until("s-1 shut out", names("s-1")).await;
        assert_eq!(running.ctx.counters.get(CloseReason::Closed.counter()), 0);
    });
}

#[test]
fn a_reset_inside_a_message_is_a_leaving() {
    with_assigner(|running, _agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        proxy
            .socket
            .write_all(br#"{"msg":"done","pro"#)
            .await
            .unwrap();
        proxy.socket.set_zero_linger().unwrap();
        drop(proxy);
        running.counted(CloseReason::Reset.counter(), 1).await;
        let mut again = Wire::join(running.place, 0, false).await;
        again.table().await;
    });
}

#[test]
fn strangers_up_to_the_limit_turn_nobody_away() {
    on_sockets(async {
        let agent = Agent::new().await;
        let mut told = told(agent.place);
        told["limits"]["sockets"] = json!(40);
        let running = run(&told).await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let mut collector = Wire::dial(running.place).await;
        collector.say(COLLECTOR).await;
        running.counted("in collectors", 1).await;
        let mut strangers = Vec::new();
        for _ in 0..50 {
            strangers.push(Wire::dial(running.place).await);
        }
        let mut late = Wire::join(running.place, 1, true).await;
        late.table().await;
        assert!(running.ctx.counters.get(CloseReason::Evicted.counter()) > 0);
        assert!(proxy.beats().await && collector.beats().await);
        assert_eq!(running.ctx.counters.get("most connections at once"), 8);
        assert!(strangers[0].hear().await.is_none(), "the oldest go first");
        // Collectors that come again and again while their old connections stay half-open.
        let mut collectors = Vec::new();
        for count in 2..20 {
            let mut collector = Wire::dial(running.place).await;
            collector.say(COLLECTOR).await;
            running.counted("in collectors", count).await;
            collectors.push(collector);
        }
        assert!(collectors.pop().unwrap().beats().await && late.beats().await);
    });
}

#[test]
fn who_has_not_joined_in_time_gets_a_close_whatever_it_sends() {
    with_assigner(|running, _agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let mut late = Wire::dial(running.place).await;
        let whole = joining(1, true);
        let (first, rest) = whole.split_at(30);
        late.socket.write_all(first.as_bytes()).await.unwrap();
        let sent = [
            ("", false),
            (&first[..9], false),
            (" ", true),
            ("\n", true),
            (&(BEAT.to_string() + "\n"), true),
        ];
        let sent = sent.map(|(text, again)| (text.to_string(), again));
        let strangers = sent.into_iter().chain([("x".repeat(512), true)]).map(|(text, again)| async move {
            let mut wire = Wire::dial(running.place).await.socket;
            let (mut hears, mut says) = wire.split();
            let mut heard = [0; 4096];
            // What is said again is said for as long as it is taken.
            let say = async {
                while says.write_all(text.as_bytes()).await.is_ok() && again {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                std::future::pending().await
            };
            tokio::select! {
                () = async { while hears.read(&mut heard).await.is_ok_and(|size| size > 0) {} } => {}
                () = say => {}
            }
        });
        let closed: Vec<_> = strangers.map(spawn_local).collect();
        late.say(rest).await;
        late.table().await;
        for closed in closed {
            timeout(LONG, closed)
                .await
                .expect("it was never closed")
                .unwrap();
        }
        running.counted(CloseReason::JoinTimeout.counter(), 5).await;
        running.counted(CloseReason::LineTooLong.counter(), 1).await;
        assert!(proxy.beats().await && late.beats().await);
    });
}

#[test]
fn where_all_have_joined_a_newcomer_is_turned_away_until_one_leaves() {
    on_sockets(async {
        let agent = Agent::new().await;
        let mut told = told(agent.place);
        told["limits"]["sockets"] = json!(33);
        let running = run(&told).await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        assert!(
            Wire::join(running.place, 1, true)
                .await
                .hear()
                .await
                .is_none()
        );
        running.counted("connections turned away", 1).await;
        assert!(proxy.beats().await);
        drop(proxy);
        running.alone(0).await;
        Wire::join(running.place, 1, true).await.table().await;
    });
}

#[test]
fn a_reader_that_stops_reading_delays_nobody() {
    with_assigner(|running, agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut deaf = socket.connect(running.place).await.unwrap();
        let beats = format!("{BEAT}\n").repeat(4096);
        spawn_local(async move { while deaf.write_all(beats.as_bytes()).await.is_ok() {} });
        running.counted(CloseReason::SlowReader.counter(), 1).await;
        agent.say(8, false, &[server(1, "DRAINING", 0.0)]);
        proxy.until("s-1 shut out", names("s-1")).await;
    });
}

#[test]
fn bad_input_is_felt_by_nobody_else() {
    let long = "x".repeat(1 << 20);
    let bad: Vec<(&str, Vec<u8>)> = [
        ("not JSON", "hello"),
        ("not an object", r#"["hb"]"#),
        ("no msg", "{}"),
        ("unknown msg", r#"{"msg":"dance"}"#),
        ("a field missing", r#"{"msg":"done","proxy":0,"mark":1}"#),
        ("a field of the wrong type", r#"{"msg":"done","proxy":0,"mark":"1","took_ms":1}"#),
        ("a negative figure", r#"{"msg":"done","proxy":0,"mark":1,"took_ms":-1}"#),
        ("a figure past all bounds", r#"{"msg":"done","proxy":0,"mark":1,"took_ms":1e999}"#),
        ("another proxy's mark", r#"{"msg":"done","proxy":1,"mark":1,"took_ms":1}"#),
        ("proxy out of range", r#"{"msg":"attach","proxy":4,"zone":"a","weight":1,"fresh":true}"#),
        ("zone out of range", r#"{"msg":"attach","proxy":1,"zone":"z","weight":1,"fresh":true}"#),
        ("kind out of range", r#"{"msg":"client_stats","proxy":0,"class":"no","tries":1,"failed":0,"span_ms":1}"#),
        ("unknown server", r#"{"msg":"upstream_stats","zone":"a","server":"no","tries":1,"failed":0,"mean_ms":1,"span_ms":1}"#),
        ("more failed than tried", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":2,"mean_ms":1,"span_ms":1}"#),
        ("a second joining", r#"{"msg":"attach","proxy":1,"zone":"a","weight":1,"fresh":true}"#),
        ("a mark never ordered", r#"{"msg":"done","proxy":0,"mark":40000,"took_ms":1}"#),
        ("a mark out of its type's range", r#"{"msg":"done","proxy":0,"mark":1e30,"took_ms":1}"#),
        ("no mean of good tries", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":2,"failed":1,"span_ms":1}"#),
        ("a senseless load", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":1,"span_ms":1,"load":{"queue":-3,"util":0}}"#),
        ("a load of which a part is missing", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":1,"span_ms":1,"load":{"util":0}}"#),
        ("text after the object", r#"{"msg":"hb"}{"msg":"hb"}"#),
        ("over 4 KiB", &format!(r#"{{"msg":"dance","to":"{}"}}"#, "x".repeat(4096))),
        ("over a megabyte", &long),
    ]
    .into_iter()
    .map(|(what, text)| (what, text.as_bytes().to_vec()))
    .chain([("not UTF-8", b"{\"msg\":\"h\xffb\"}".to_vec())])
    .collect();
    with_assigner(|running, agent| async move {
        let mut other = Wire::join(running.place, 3, true).await;
        other.table().await;
        let mut trace = String::new();
        for (what, bytes) in bad {
            trace += &format!("{what}:");
            for (who, first) in [
                ("stranger", ""),
                ("collector", COLLECTOR),
                ("proxy", &joining(0, true)),
            ] {
                let before = running.ctx.counters.lines();
                let mut wire = Wire::dial(running.place).await;
                if !first.is_empty() {
                    wire.say(first).await;
                }
                _ = wire.socket.write_all(&[&bytes[..], b"\n"].concat()).await;
                let kept = wire.beats().await;
                if !kept {
                    running.alone(1).await;
                }
                let bad = |line: &&String| line.starts_with("bad") || line.starts_with("ended");
                let news: Vec<String> = running
                    .ctx
                    .counters
                    .lines()
                    .iter()
                    .filter(bad)
                    .cloned()
                    .collect();
                let news: Vec<&str> = news
                    .iter()
                    .filter(|l| !before.contains(l))
                    .map(|l| count_name(l))
                    .collect();
                trace += &format!(
                    "\n  a {who} {} ({})",
                    if kept { "stays" } else { "goes" },
                    news.join(", ")
                );
                drop(wire);
                running.alone(1).await;
            }
            trace += "\n";
        }
        insta::assert_snapshot!(trace);
        agent.say(8, false, &[server(1, "DRAINING", 0.0)]);
        other.until("s-1 shut out", names("s-1")).await;
    });
}

fn count_name(line: &str) -> &str {
    line.rsplit_once(' ').map_or(line, |(name, _)| name)
}

#[test]
fn reports_of_a_collector_reach_the_module() {
    with_assigner(|running, _agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let mut collector = Wire::dial(running.place).await;
        collector.say(COLLECTOR).await;
        // s-1 fails all its tries while the others do well: the module strikes it.
        let report = async {
            loop {
                for (n, failed) in [(1, 30), (2, 0), (3, 0)] {
                    let heard = json!({"msg": "upstream_stats", "zone": "a", "server": format!("s-{n}"),
                        "tries": 30, "failed": failed, "mean_ms": 40.5, "span_ms": 200.0,
                        "load": {"util": 0.5, "queue": 1}});
                    collector.say(&heard.to_string()).await;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let none = |m: &Value| m["lines"].to_string().contains(r#"["s-1",0.0]"#);
        tokio::select! {
            _ = proxy.until("s-1 out of the table", none) => {}
            () = report => {}
        }
    });
}

// ---- The list -----------------------------------------------------------------------------

#[test]
fn a_beat_is_answered_only_once_the_list_is_known() {
    on_sockets(async {
        let mut discovery = Discovery::new().await;
        let mut told = told(discovery.place);
        told["known"]["endpoints"] = json!([]);
        let running = run(&told).await;
        let mut wire = Wire::dial(running.place).await;
        wire.say(BEAT).await;
        let mut watch = discovery.watch().await;
        assert_eq!(
            running.ctx.counters.get("connections taken"),
            0,
            "taken without a list"
        );
        watch.say(&list(8, true, &serving(1..=2))).await;
        assert_eq!(wire.hear().await.unwrap()["msg"], "hb_ok");
    });
}

#[test]
fn a_watch_that_breaks_is_resumed_and_nothing_is_skipped_or_taken_twice() {
    on_sockets(async {
        let mut discovery = Discovery::new().await;
        let running = run(&told(discovery.place)).await;
        let mut watch = discovery.watch().await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let mut trace = String::new();
        // In the middle of a line.
        let change = list(8, false, &[server(1, "DRAINING", 0.0)]);
        watch.say(&change[..40]).await;
        drop(watch);
        for what in [
            "refuses with an error",
            "no list",
            "a negative weight",
            "goes silent",
            "silent at once",
        ] {
            let call = discovery.call().await;
            trace += &format!("{}: {what}\n", call.path);
            match what {
                "refuses with an error" => call.answer(503, "busy"),
                "no list" => call.watch().say("[]\n").await,
                "a negative weight" => call.watch().say(&change.replace("1.0", "-1.0")).await,
                "goes silent" => {
                    let mut silent = call.watch();
                    silent.say("\n").await;
                    discovery.call().await.answer(200, "");
                    drop(silent);
                }
                // Neither this call nor its connection is ever ended by the stand-in.
                _ => discovery.call().await.answer(404, ""),
            }
        }
        let call = discovery.call().await;
        trace += &format!("{}: the change, twice, and an old one\n", call.path);
        let mut watch = call.watch();
        let old = list(3, false, &[server(3, "DELETED", 0.0)]);
        watch.say(&[change.clone(), change, old].concat()).await;
        let message = proxy.until("s-1 shut out", names("s-1")).await;
        assert!(!names("s-3")(&message), "{message}");
        drop(watch);
        let call = discovery.call().await;
        trace += &format!("{}: the whole list\n", call.path);
        let mut watch = call.watch();
        watch.say(&list(20, true, &serving(3..=3))).await;
        let message = proxy.until("s-2 shut out", names("s-2")).await;
        assert!(!names("s-3")(&message));
        drop(watch);
        trace += &format!("{}: at last\n", discovery.call().await.path);
        insta::assert_snapshot!(trace);
    });
}

#[test]
fn a_change_that_was_not_handed_on_comes_first_at_the_new_address() {
    on_sockets(async {
        let (mut here, mut there) = (Discovery::new().await, Discovery::new().await);
        let read = config::parse(&told(here.place).to_string()).unwrap();
        // One change fits; the next waits for the driver.
        let (events, mut taken) = mpsc::channel(1);
        let (log, conns) = (Log::new("n0".into(), 9), Connections::new(1, 1));
        let ctx = Rc::new(Context {
            log,
            counters: Counters::default(),
            codec: read.codec,
            conns,
            events,
        });
        let running = Running {
            place: here.place,
            notes: None,
            ctx: ctx.clone(),
        };
        let list_client = ListClient::new(here.place, 7, false, ctx);
        spawn_local(list_client.clone().follow(Backoff::new(1)));
        let mut watch = here.watch().await;
        let change = |version, n| list(version, false, &[server(n, "DRAINING", 0.0)]);
        watch.say(&[change(8, 1), change(9, 2)].concat()).await;
        running.counted("in list changes", 1).await;
        list_client.set_address(there.place);
        let call = there.call().await;
        assert_eq!(call.path, "/catalog/members?follow=1&since=8");
        // That agent lags behind at first: what it says last is older than what is held.
        let mut watch = call.watch();
        watch
            .say(&[list(6, true, &serving(1..=3)), change(8, 1), change(9, 2)].concat())
            .await;
        let mut versions = Vec::new();
        while versions.last() != Some(&9) {
            let Some(Event::List { list, .. }) = taken.recv().await else {
                panic!("no list")
            };
            versions.push(list.version);
        }
        assert_eq!(versions, [8, 9]);
        assert_eq!(running.ctx.counters.get("whole lists passed over"), 1);
        // The address that it has already changes nothing.
        list_client.set_address(there.place);
        watch.say(&change(10, 3)).await;
        assert!(matches!(taken.recv().await, Some(Event::List { list, .. }) if list.version == 10));
        assert_eq!(running.ctx.counters.get("watches broken"), 0);
    });
}

#[test]
fn a_server_long_gone_is_forgotten_and_let_back_when_it_returns() {
    with_assigner(|running, agent| async move {
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        agent.say(8, false, &[server(3, "DELETED", 0.0)]);
        proxy.until("s-3 shut out", names("s-3")).await;
        running.counted("servers forgotten", 1).await;
        let mut collector = Wire::dial(running.place).await;
        let heard = r#"{"msg":"upstream_stats","zone":"a","server":"s-3","tries":1,"failed":1,"span_ms":1}"#;
        collector.say(&[COLLECTOR, heard].join("\n")).await;
        running.counted("bad input: unknown server", 1).await;
        agent.say(9, false, &[server(3, "SERVING", 0.0)]);
        proxy
            .until("s-3 back", |m| m["back"].to_string().contains("s-3"))
            .await;
    });
}

#[test]
fn an_absent_agent_is_dialled_until_it_is_there() {
    on_sockets(async {
        // An address that is ours, where nobody listens yet.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let running = run(&told(socket.local_addr().unwrap())).await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        running.counted("watches broken", 2).await;
        let listener = socket.listen(8).unwrap();
        let mut discovery = Discovery::at(listener);
        assert_eq!(
            discovery.call().await.path,
            "/catalog/members?follow=1&since=7"
        );
    });
}

#[test]
fn pauses_grow_while_nothing_is_heard() {
    let mut backoff = Backoff::new(1);
    let heard = [
        true, false, false, false, false, false, false, false, true, false,
    ];
    let trace: Vec<String> = heard
        .map(|h| format!("{:.0}", backoff.next(h).as_secs_f64() * 1e3))
        .to_vec();
    insta::assert_snapshot!(trace.join(" "));
    assert_ne!(
        Backoff::new(2).next(true),
        Backoff::new(3).next(true),
        "not in step"
    );
}

#[test]
fn where_the_list_is_asked_for_the_module_asks() {
    on_sockets(async {
        let mut discovery = Discovery::new().await;
        let mut told = told(discovery.place);
        told["settings"]["registry_mode"] = json!("on_request");
        let running = run(&told).await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        discovery.call().await.answer(500, "");
        // Its next call comes by its own alarm.
        let mut watch = discovery.watch().await;
        assert_eq!(running.ctx.counters.get("list calls failed"), 1);
        proxy.table().await;
        watch
            .say(&list(8, false, &[server(2, "DRAINING", 0.0)]))
            .await;
        proxy.until("s-2 shut out", names("s-2")).await;
        drop(watch);
        assert_eq!(
            discovery.call().await.path,
            "/catalog/members?follow=1&since=8"
        );
    });
}

// ---- Peers, start and end -----------------------------------------------------------------

#[test]
fn notes_go_to_the_peers_and_come_from_them_alone() {
    on_sockets(async {
        let agent = Agent::new().await;
        let bind = || async { UdpSocket::bind("127.0.0.1:0").await.unwrap() };
        let (all, peer, foreign) = (bind().await, bind().await, bind().await);
        let mut told = told(agent.place);
        told["peers"] = json!(["127.0.0.1:9", peer.local_addr().unwrap()]);
        told["peers_all"] = json!(all.local_addr().unwrap());
        let running = run(&told).await;
        let mut proxy = Wire::join(running.place, 0, true).await;
        proxy.table().await;
        let mut note = [0; 512];
        let (size, _) = all.recv_from(&mut note).await.unwrap();
        assert!(size > 0 && size <= 256);
        let place = running.notes.unwrap();
        peer.send_to(&note[..size], place).await.unwrap();
        foreign.send_to(&note[..size], place).await.unwrap();
        peer.send_to(&[0; 300], place).await.unwrap();
        running.counted("in notes", 1).await;
        running.counted("notes refused", 2).await;
        assert_eq!(running.ctx.counters.get("in notes"), 1);
    });
}

#[test]
fn a_configuration_that_cannot_be_used_gets_a_plain_message() {
    let place: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let change = |at: &str, value: Value| {
        let mut told = told(place);
        *told.pointer_mut(at).unwrap() = value;
        told.to_string()
    };
    let mut forbidden = told(place);
    forbidden["settings"]["limits"]["peers"] = json!(false);
    assert!(
        config::parse(&forbidden.to_string())
            .unwrap()
            .peers
            .is_none()
    );
    let said: Vec<String> = [
        String::new(),
        "{}".into(),
        change("/listen", json!("here")),
        change("/seed", json!("no number")),
        change("/settings/tick_us", json!(null)),
        change("/settings/tick_us", json!(-5)),
        change("/settings/family_info/backlog", json!("many")),
        change(
            "/known/endpoints/0/zone",
            json!("an unknown one is passed over"),
        ),
        change("/known/endpoints/0/weight", json!(-1)),
        change("/peers", json!(null)),
    ]
    .iter()
    .map(|text| {
        config::parse(text)
            .err()
            .map_or("fine".into(), |e| e.to_string())
    })
    .collect();
    insta::assert_snapshot!(said.join("\n"));
}

#[test]
fn messages_are_read_in_the_words_and_the_order_of_the_settings() {
    let codec = config::parse(&told("127.0.0.1:1".parse().unwrap()).to_string())
        .unwrap()
        .codec;
    let heard = |load: &str| {
        r#"{"msg":"upstream_stats","zone":"b","server":"s-1","tries":4,"failed":4,"span_ms":1000.5"#
            .to_string()
            + load
    };
    let lines = [
        joining(3, false),
        r#"{"msg":"client_stats","proxy":1,"class":"write","tries":7,"failed":1,"span_ms":1000}"#
            .into(),
        r#"{"msg":"client_stats","proxy":1,"class":"read","tries":0,"failed":2,"span_ms":1000}"#
            .into(),
        heard(r#","mean_ms":null,"load":{"queue":3.5,"more":1,"util":0.25}}"#),
        heard(r#","mean_ms":0,"load":{"load_share":0.25,"depth":0}}"#),
        heard("}"),
    ];
    let read = lines.map(|line| format!("{:?}", codec.decode(line.as_bytes()).unwrap()));
    insta::assert_snapshot!(read.join("\n"));
}

#[test]
fn every_ending_has_one_meaning() {
    let lines = ALL.map(|reason| format!("{}: {:?}", reason.counter(), reason.input(5)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_kind_of_log_line_has_its_share() {
    let log = Log::new("n0".into(), 2);
    let said: Vec<bool> = ["a", "a", "a", "b"]
        .map(|kind| log.admit(kind).is_some())
        .to_vec();
    assert_eq!(said, [true, true, false, true]);
}

/// The program itself, on real time.
mod program {
    use super::{Discovery, Wire, json, list, names, on_sockets, server, told};
    use std::io::{BufRead, BufReader, Lines, Write};
    use std::net::TcpStream;
    use std::process::{Child, ChildStderr, Command, Stdio};

    struct Program {
        child: Child,
        log: Lines<BufReader<ChildStderr>>,
        folder: tempfile::TempDir,
    }

    fn start(told: &str) -> Program {
        start_within(told, 1024)
    }

    fn start_within(told: &str, descriptors: u32) -> Program {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        std::fs::write(&path, told).unwrap();
        let run = format!(
            "ulimit -n {descriptors}; exec {}",
            env!("CARGO_BIN_EXE_rookpulley-assigner")
        );
        let mut command = Command::new("sh");
        command
            .args(["-c", &run])
            .env("PROXY_CONFIG", path)
            .stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Program { child, log, folder }
    }

    impl Drop for Program {
        fn drop(&mut self) {
            _ = self.child.kill();
        }
    }

    impl Program {
        fn line(&mut self, with: &str) -> String {
            let mut lines = self.log.by_ref().map(Result::unwrap);
            lines
                .find(|line| line.contains(with))
                .unwrap_or_else(|| panic!("it never said {with}"))
        }

        /// Replaces its configuration and has it read again.
        fn reload(&self, told: &str) {
            let next = self.folder.path().join("next");
            std::fs::write(&next, told).unwrap();
            std::fs::rename(next, self.folder.path().join("config.json")).unwrap();
            self.signal("HUP");
        }

        fn place(&mut self) -> String {
            let line = self.line("listening at ");
            line.split("listening at ")
                .nth(1)
                .unwrap()
                .split(',')
                .next()
                .unwrap()
                .to_string()
        }

        fn signal(&self, name: &str) {
            let kill = format!("kill -s {name} {}", self.child.id());
            assert!(
                Command::new("sh")
                    .args(["-c", &kill])
                    .status()
                    .unwrap()
                    .success()
            );
        }
    }

    fn beats(place: &str) -> bool {
        let mut socket = TcpStream::connect(place).unwrap();
        socket.write_all(b"{\"msg\":\"hb\"}\n").unwrap();
        let mut line = String::new();
        BufReader::new(socket).read_line(&mut line).unwrap();
        line == "{\"msg\":\"hb_ok\"}\n"
    }

    #[test]
    fn it_serves_again_after_a_kill_and_ends_on_a_term_with_its_counters() {
        let mut told = told("127.0.0.1:1".parse().unwrap());
        let mut program = start(&told.to_string());
        let place = program.place();
        assert!(beats(&place));
        // Another one cannot have the same address.
        told["listen"] = place.clone().into();
        let mut second = start(&told.to_string());
        assert!(second.line("can't be used").contains(&place));
        assert!(!second.child.wait().unwrap().success());
        program.child.kill().unwrap();
        program.child.wait().unwrap();
        let mut again = start(&told.to_string());
        assert_eq!(again.place(), place);
        assert!(beats(&place));
        again.signal("USR1");
        assert!(again.line("count: in beats").ends_with(" 1"));
        again.signal("TERM");
        again.line("told to end");
        again.line("count: out beat answers");
        assert!(again.child.wait().unwrap().success());
    }

    #[test]
    fn a_new_configuration_moves_the_watch_and_no_stream_is_felt() {
        on_sockets(async {
            let (mut here, mut there) = (Discovery::new().await, Discovery::new().await);
            let mut told = told(here.place);
            let mut program = start(&told.to_string());
            let place = program.place();
            program.reload(&told.to_string());
            let mut watch = here.watch().await;
            let mut proxy = Wire::join(place.parse().unwrap(), 0, true).await;
            proxy.table().await;
            watch
                .say(&list(8, false, &[server(1, "DRAINING", 0.0)]))
                .await;
            proxy.until("s-1 shut out", names("s-1")).await;
            program.reload("{");
            program.line("all stays as it was");
            watch
                .say(&list(9, false, &[server(1, "SERVING", 9.0)]))
                .await;
            proxy
                .until("s-1 back", |m| m["back"].to_string().contains("s-1"))
                .await;
            told["discovery"] = json!(there.place);
            told["limits"]["sockets"] = json!(64);
            program.reload(&told.to_string());
            program.line("limits can't change while it runs");
            let call = there.call().await;
            assert_eq!(call.path, "/catalog/members?follow=1&since=9");
            let mut moved = call.watch();
            moved
                .say(&list(10, false, &[server(2, "DRAINING", 0.0)]))
                .await;
            proxy.until("s-2 shut out", names("s-2")).await;
            assert!(proxy.beats().await, "the stream is the one it joined on");
            // A file that is never read to its end holds up neither the proxies nor the end.
            let fifo = program.folder.path().join("config.json");
            std::fs::remove_file(&fifo).unwrap();
            assert!(
                Command::new("mkfifo")
                    .arg(&fifo)
                    .status()
                    .unwrap()
                    .success()
            );
            program.signal("HUP");
            assert!(proxy.beats().await);
            program.signal("TERM");
            program.line("told to end");
            assert!(
                program
                    .line("count: configurations refused")
                    .ends_with(" 1")
            );
            assert!(program.line("count: configurations taken").ends_with(" 2"));
            assert!(program.line("count: in joinings").ends_with(" 1"));
            assert!(program.line("count: watches moved").ends_with(" 1"));
            assert!(program.child.wait().unwrap().success());
        });
    }

    #[test]
    fn where_the_system_gives_no_more_connections_those_who_joined_are_served() {
        let mut program = start_within(&told("127.0.0.1:1".parse().unwrap()).to_string(), 24);
        let place = program.place();
        let mut joined = TcpStream::connect(&place).unwrap();
        joined
            .write_all(format!("{}\n", super::joining(0, true)).as_bytes())
            .unwrap();
        let strangers: Vec<_> = (0..40)
            .map(|_| TcpStream::connect(&place).unwrap())
            .collect();
        program.line("a connection was not taken");
        joined.write_all(b"{\"msg\":\"hb\"}\n").unwrap();
        let mut lines = BufReader::new(joined).lines();
        assert!(lines.any(|line| line.unwrap().contains("hb_ok")));
        // Each of them is closed in the end, and the next is served.
        for mut stranger in strangers {
            assert!(matches!(
                std::io::Read::read(&mut stranger, &mut [0; 9]),
                Ok(0) | Err(_)
            ));
        }
        assert!(beats(&place));
        program.child.kill().unwrap();
    }

    #[test]
    fn without_a_configuration_it_does_not_start() {
        let mut program = start("{");
        program.line("the configuration is not what it should be");
        assert!(!program.child.wait().unwrap().success());
    }
}
