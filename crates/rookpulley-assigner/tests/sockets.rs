//! The assigner on loopback sockets, against test doubles. Tests wait for events, not for fixed times.

use rookpulley::interface::Input;
use rookpulley_assigner::close_reason::{ALL, CloseReason};
use rookpulley_assigner::connections::Connections;
use rookpulley_assigner::counters::Counters;
use rookpulley_assigner::driver::{Context, Event};
use rookpulley_assigner::list_client::{Backoff, ListClient};
use rookpulley_assigner::log::Log;
use rookpulley_assigner::{Assigner, Signals, config};
use rookpulley_operators::OperatorSettings;
use rookpulley_standin::client::{
    COLLECTOR_HELLO, EVENT_TIMEOUT, HEARTBEAT, TestClient, join_message, withdraws,
};
use rookpulley_standin::discovery::{DiscoveryServer, ScriptedDiscovery};
use rookpulley_standin::lists::{assigner_config, list, server, serving};
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
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    ctx: Rc<Context>,
}

async fn run(config: &Value) -> Running {
    let config = config::parse(&config.to_string()).unwrap();
    let assigner = Assigner::bind(
        config,
        "no file".into(),
        Signals::take().unwrap(),
        &OperatorSettings::default(),
    )
    .await
    .unwrap();
    let (address, peer_address) = assigner.addresses();
    let ctx = assigner.ctx.clone();
    spawn_local(assigner.serve());
    Running {
        address: address.unwrap(),
        peer_address,
        ctx,
    }
}

impl Running {
    /// Waits until at most `open` connections are open.
    async fn wait_for_connections(&self, open: usize) {
        while self.ctx.conns.count() > open {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until a counter reaches a value.
    async fn wait_for_count(&self, what: &str, count: u64) {
        let wait = async {
            while self.ctx.counters.get(what) < count {
                tokio::task::yield_now().await;
            }
        };
        if timeout(EVENT_TIMEOUT, wait).await.is_err() {
            panic!(
                "counter {what} did not reach {count}: {:#?}",
                self.ctx.counters.lines()
            );
        }
    }
}

/// Runs a test with an assigner and a working discovery agent.
fn with_assigner<F: Future<Output = ()>>(test: impl FnOnce(Running, DiscoveryServer) -> F) {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        test(run(&assigner_config(agent.address)).await, agent).await;
    });
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        timeout(2 * EVENT_TIMEOUT, test)
            .await
            .expect("test timed out")
    };
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

// ---- Streams ------------------------------------------------------------------------------

#[test]
fn joined_proxy_receives_its_table_and_drains() {
    with_assigner(|running, agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        let table = proxy.wait_for_table().await;
        assert_eq!(table["lines"].as_array().unwrap().len(), 3, "{table}");
        running.wait_for_count("in marks answered", 1).await;
        agent.publish(8, false, &[server(2, "DRAINING", 0.0)]);
        let message = proxy.wait_for("s-2 withdrawn", withdraws("s-2")).await;
        assert!(message["ticket"].is_u64(), "{message}");
        agent.publish(9, false, &[server(3, "DELETED", 0.0)]);
        proxy.wait_for("s-3 withdrawn", withdraws("s-3")).await;
        // After a restart the server is restored together with its table line.
        agent.publish(10, true, &serving(1..=3));
        proxy
            .wait_for("s-2 restored", |m| m["back"].to_string().contains("s-2"))
            .await;
    });
}

#[test]
fn split_and_coalesced_messages_are_decoded() {
    with_assigner(|running, _agent| async move {
        let mut proxy = TestClient::connect(running.address).await;
        for byte in format!("{}\n", join_message(1, true)).bytes() {
            proxy.socket.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        running.wait_for_count("in joinings", 1).await;
        let usage = r#"{"msg":"client_stats","proxy":1,"class":"read","tries":19,"failed":0,"span_ms":1000.0,"new":[1]}"#;
        proxy
            .send(&[usage, usage, HEARTBEAT, usage].join("\n"))
            .await;
        proxy
            .wait_for("a heartbeat reply", |m| m["msg"] == "hb_ok")
            .await;
        running.wait_for_count("in usage", 3).await;
        proxy.wait_for_table().await;
    });
}

#[test]
fn new_stream_replaces_the_old_one_and_late_input_is_ignored() {
    with_assigner(|running, agent| async move {
        let mut old = TestClient::join(running.address, 2, true).await;
        old.wait_for_table().await;
        let mut new = TestClient::join(running.address, 2, false).await;
        new.wait_for_table().await;
        // Input of the old stream that arrives after the new stream has joined.
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
        running.wait_for_count("late input of old streams", 1).await;
        assert!(old.receive().await.is_none());
        running
            .wait_for_count(CloseReason::Replaced.counter(), 1)
            .await;
        agent.publish(8, false, &[server(1, "DRAINING", 0.0)]);
        new.wait_for("s-1 withdrawn", withdraws("s-1")).await;
        assert_eq!(running.ctx.counters.get(CloseReason::Closed.counter()), 0);
    });
}

#[test]
fn reset_within_a_message_removes_the_proxy() {
    with_assigner(|running, _agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        proxy
            .socket
            .write_all(br#"{"msg":"done","pro"#)
            .await
            .unwrap();
        proxy.socket.set_zero_linger().unwrap();
        drop(proxy);
        running
            .wait_for_count(CloseReason::Reset.counter(), 1)
            .await;
        let mut again = TestClient::join(running.address, 0, false).await;
        again.wait_for_table().await;
    });
}

#[test]
fn unidentified_connections_are_evicted_for_proxies_and_collectors() {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        let mut config = assigner_config(agent.address);
        config["limits"]["sockets"] = json!(40);
        let running = run(&config).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let mut collector = TestClient::connect(running.address).await;
        collector.send(COLLECTOR_HELLO).await;
        running.wait_for_count("in collectors", 1).await;
        let mut unidentified = Vec::new();
        for _ in 0..50 {
            unidentified.push(TestClient::connect(running.address).await);
        }
        let mut late = TestClient::join(running.address, 1, true).await;
        late.wait_for_table().await;
        assert!(running.ctx.counters.get(CloseReason::Evicted.counter()) > 0);
        assert!(proxy.heartbeat().await && collector.heartbeat().await);
        assert_eq!(running.ctx.counters.get("most connections at once"), 8);
        assert!(
            unidentified[0].receive().await.is_none(),
            "the oldest are evicted first"
        );
        // Reconnecting collectors whose old connections stay half-open.
        let mut collectors = Vec::new();
        for count in 2..20 {
            let mut collector = TestClient::connect(running.address).await;
            collector.send(COLLECTOR_HELLO).await;
            running.wait_for_count("in collectors", count).await;
            collectors.push(collector);
        }
        assert!(collectors.pop().unwrap().heartbeat().await && late.heartbeat().await);
    });
}

#[test]
fn connections_that_do_not_join_in_time_are_closed() {
    with_assigner(|running, _agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let mut late = TestClient::connect(running.address).await;
        let whole = join_message(1, true);
        let (first, rest) = whole.split_at(30);
        late.socket.write_all(first.as_bytes()).await.unwrap();
        let sent = [
            ("", false),
            (&first[..9], false),
            (" ", true),
            ("\n", true),
            (&(HEARTBEAT.to_string() + "\n"), true),
        ];
        let sent = sent.map(|(text, again)| (text.to_string(), again));
        let unidentified = sent.into_iter().chain([("x".repeat(512), true)]).map(|(text, again)| async move {
            let mut wire = TestClient::connect(running.address).await.socket;
            let (mut reader, mut writer) = wire.split();
            let mut heard = [0; 4096];
            // Repeat until the assigner closes the connection.
            let write = async {
                while writer.write_all(text.as_bytes()).await.is_ok() && again {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                std::future::pending().await
            };
            tokio::select! {
                () = async { while reader.read(&mut heard).await.is_ok_and(|size| size > 0) {} } => {}
                () = write => {}
            }
        });
        let closed: Vec<_> = unidentified.map(spawn_local).collect();
        late.send(rest).await;
        late.wait_for_table().await;
        for closed in closed {
            timeout(EVENT_TIMEOUT, closed)
                .await
                .expect("the connection was not closed")
                .unwrap();
        }
        running
            .wait_for_count(CloseReason::JoinTimeout.counter(), 5)
            .await;
        running
            .wait_for_count(CloseReason::LineTooLong.counter(), 1)
            .await;
        assert!(proxy.heartbeat().await && late.heartbeat().await);
    });
}

#[test]
fn new_connections_are_rejected_while_all_slots_are_joined() {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        let mut config = assigner_config(agent.address);
        config["limits"]["sockets"] = json!(33);
        let running = run(&config).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        assert!(
            TestClient::join(running.address, 1, true)
                .await
                .receive()
                .await
                .is_none()
        );
        running.wait_for_count("connections turned away", 1).await;
        assert!(proxy.heartbeat().await);
        drop(proxy);
        running.wait_for_connections(0).await;
        TestClient::join(running.address, 1, true)
            .await
            .wait_for_table()
            .await;
    });
}

#[test]
fn stalled_reader_does_not_delay_others() {
    with_assigner(|running, agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stalled = socket.connect(running.address).await.unwrap();
        let beats = format!("{HEARTBEAT}\n").repeat(4096);
        spawn_local(async move { while stalled.write_all(beats.as_bytes()).await.is_ok() {} });
        running
            .wait_for_count(CloseReason::SlowReader.counter(), 1)
            .await;
        agent.publish(8, false, &[server(1, "DRAINING", 0.0)]);
        proxy.wait_for("s-1 withdrawn", withdraws("s-1")).await;
    });
}

#[test]
fn invalid_input_affects_only_its_connection() {
    let long = "x".repeat(1 << 20);
    let bad: Vec<(&str, Vec<u8>)> = [
        ("not JSON", "hello"),
        ("not an object", r#"["hb"]"#),
        ("no msg", "{}"),
        ("unknown msg", r#"{"msg":"dance"}"#),
        ("a field missing", r#"{"msg":"done","proxy":0,"mark":1}"#),
        ("a field of the wrong type", r#"{"msg":"done","proxy":0,"mark":"1","took_ms":1}"#),
        ("a negative number", r#"{"msg":"done","proxy":0,"mark":1,"took_ms":-1}"#),
        ("a number out of range", r#"{"msg":"done","proxy":0,"mark":1,"took_ms":1e999}"#),
        ("another proxy's mark", r#"{"msg":"done","proxy":1,"mark":1,"took_ms":1}"#),
        ("proxy out of range", r#"{"msg":"attach","proxy":4,"zone":"a","weight":1,"fresh":true}"#),
        ("zone out of range", r#"{"msg":"attach","proxy":1,"zone":"z","weight":1,"fresh":true}"#),
        ("kind out of range", r#"{"msg":"client_stats","proxy":0,"class":"no","tries":1,"failed":0,"span_ms":1}"#),
        ("unknown server", r#"{"msg":"upstream_stats","zone":"a","server":"no","tries":1,"failed":0,"mean_ms":1,"span_ms":1}"#),
        ("more failed than tried", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":2,"mean_ms":1,"span_ms":1}"#),
        ("a second join", r#"{"msg":"attach","proxy":1,"zone":"a","weight":1,"fresh":true}"#),
        ("an unknown mark", r#"{"msg":"done","proxy":0,"mark":40000,"took_ms":1}"#),
        ("a mark beyond its type's range", r#"{"msg":"done","proxy":0,"mark":1e30,"took_ms":1}"#),
        ("a missing mean", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":2,"failed":1,"span_ms":1}"#),
        ("a negative load", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":1,"span_ms":1,"load":{"queue":-3,"util":0}}"#),
        ("an incomplete load", r#"{"msg":"upstream_stats","zone":"a","server":"s-1","tries":1,"failed":1,"span_ms":1,"load":{"util":0}}"#),
        ("text after the object", r#"{"msg":"hb"}{"msg":"hb"}"#),
        ("over 4 KiB", &format!(r#"{{"msg":"dance","to":"{}"}}"#, "x".repeat(4096))),
        ("over a megabyte", &long),
    ]
    .into_iter()
    .map(|(what, text)| (what, text.as_bytes().to_vec()))
    .chain([("not UTF-8", b"{\"msg\":\"h\xffb\"}".to_vec())])
    .collect();
    with_assigner(|running, agent| async move {
        let mut other = TestClient::join(running.address, 3, true).await;
        other.wait_for_table().await;
        let mut trace = String::new();
        for (what, bytes) in bad {
            trace += &format!("{what}:");
            for (role, first) in [
                ("unidentified", ""),
                ("collector", COLLECTOR_HELLO),
                ("proxy", &join_message(0, true)),
            ] {
                let before = running.ctx.counters.lines();
                let mut wire = TestClient::connect(running.address).await;
                if !first.is_empty() {
                    wire.send(first).await;
                }
                _ = wire.socket.write_all(&[&bytes[..], b"\n"].concat()).await;
                let open = wire.heartbeat().await;
                if !open {
                    running.wait_for_connections(1).await;
                }
                let bad = |line: &&String| line.starts_with("bad") || line.starts_with("ended");
                let changed: Vec<String> = running
                    .ctx
                    .counters
                    .lines()
                    .iter()
                    .filter(bad)
                    .cloned()
                    .collect();
                let changed: Vec<&str> = changed
                    .iter()
                    .filter(|l| !before.contains(l))
                    .map(|l| count_name(l))
                    .collect();
                trace += &format!(
                    "\n  {role}: {} ({})",
                    if open { "open" } else { "closed" },
                    changed.join(", ")
                );
                drop(wire);
                running.wait_for_connections(1).await;
            }
            trace += "\n";
        }
        insta::assert_snapshot!(trace);
        agent.publish(8, false, &[server(1, "DRAINING", 0.0)]);
        other.wait_for("s-1 withdrawn", withdraws("s-1")).await;
    });
}

fn count_name(line: &str) -> &str {
    line.rsplit_once(' ').map_or(line, |(name, _)| name)
}

#[test]
fn collector_reports_reach_the_module() {
    with_assigner(|running, _agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let mut collector = TestClient::connect(running.address).await;
        collector.send(COLLECTOR_HELLO).await;
        // s-1 fails all tries while the others succeed, so the module removes it.
        let report = async {
            loop {
                for (n, failed) in [(1, 30), (2, 0), (3, 0)] {
                    let heard = json!({"msg": "upstream_stats", "zone": "a", "server": format!("s-{n}"),
                        "tries": 30, "failed": failed, "mean_ms": 40.5, "span_ms": 200.0,
                        "load": {"util": 0.5, "queue": 1}});
                    collector.send(&heard.to_string()).await;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let none = |m: &Value| m["lines"].to_string().contains(r#"["s-1",0.0]"#);
        tokio::select! {
            _ = proxy.wait_for("s-1 out of the table", none) => {}
            () = report => {}
        }
    });
}

// ---- Server list --------------------------------------------------------------------------

#[test]
fn heartbeat_is_answered_once_the_list_is_known() {
    run_local(async {
        let mut discovery = ScriptedDiscovery::new().await;
        let mut config = assigner_config(discovery.address);
        config["known"]["endpoints"] = json!([]);
        let running = run(&config).await;
        let mut wire = TestClient::connect(running.address).await;
        wire.send(HEARTBEAT).await;
        let mut watch = discovery.watch().await;
        assert_eq!(
            running.ctx.counters.get("connections taken"),
            0,
            "accepted without a list"
        );
        watch.send(&list(8, true, &serving(1..=2))).await;
        assert_eq!(wire.receive().await.unwrap()["msg"], "hb_ok");
    });
}

#[test]
fn broken_watch_resumes_without_gaps_or_duplicates() {
    run_local(async {
        let mut discovery = ScriptedDiscovery::new().await;
        let running = run(&assigner_config(discovery.address)).await;
        let mut watch = discovery.watch().await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let mut trace = String::new();
        // Break the watch in the middle of a line.
        let change = list(8, false, &[server(1, "DRAINING", 0.0)]);
        watch.send(&change[..40]).await;
        drop(watch);
        for what in [
            "error status",
            "not a list",
            "a negative weight",
            "stalls after a line",
            "stalls without a line",
        ] {
            let call = discovery.call().await;
            trace += &format!("{}: {what}\n", call.path);
            match what {
                "error status" => call.answer(503, "busy"),
                "not a list" => call.watch().send("[]\n").await,
                "a negative weight" => call.watch().send(&change.replace("1.0", "-1.0")).await,
                "stalls after a line" => {
                    let mut silent = call.watch();
                    silent.send("\n").await;
                    discovery.call().await.answer(200, "");
                    drop(silent);
                }
                // The test double never ends this request or its connection.
                _ => discovery.call().await.answer(404, ""),
            }
        }
        let call = discovery.call().await;
        trace += &format!("{}: the change twice and an old one\n", call.path);
        let mut watch = call.watch();
        let old = list(3, false, &[server(3, "DELETED", 0.0)]);
        watch.send(&[change.clone(), change, old].concat()).await;
        let message = proxy.wait_for("s-1 withdrawn", withdraws("s-1")).await;
        assert!(!withdraws("s-3")(&message), "{message}");
        drop(watch);
        let call = discovery.call().await;
        trace += &format!("{}: the whole list\n", call.path);
        let mut watch = call.watch();
        watch.send(&list(20, true, &serving(3..=3))).await;
        let message = proxy.wait_for("s-2 withdrawn", withdraws("s-2")).await;
        assert!(!withdraws("s-3")(&message));
        drop(watch);
        trace += &format!("{}: resumed\n", discovery.call().await.path);
        insta::assert_snapshot!(trace);
    });
}

#[test]
fn unforwarded_change_is_read_again_at_the_new_address() {
    run_local(async {
        let (mut old, mut new) = (
            ScriptedDiscovery::new().await,
            ScriptedDiscovery::new().await,
        );
        let read = config::parse(&assigner_config(old.address).to_string()).unwrap();
        // The channel holds one change; the next one waits for the driver.
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
            address: old.address,
            peer_address: None,
            ctx: ctx.clone(),
        };
        let list_client = ListClient::new(old.address, 7, false, ctx);
        spawn_local(list_client.clone().follow(Backoff::new(1)));
        let mut watch = old.watch().await;
        let change = |version, n| list(version, false, &[server(n, "DRAINING", 0.0)]);
        watch.send(&[change(8, 1), change(9, 2)].concat()).await;
        running.wait_for_count("in list changes", 1).await;
        list_client.set_address(new.address);
        let call = new.call().await;
        assert_eq!(call.path, "/catalog/members?follow=1&since=8");
        // This agent lags behind: its first lists are older than the current version.
        let mut watch = call.watch();
        watch
            .send(&[list(6, true, &serving(1..=3)), change(8, 1), change(9, 2)].concat())
            .await;
        let mut versions = Vec::new();
        while versions.last() != Some(&9) {
            let Some(Event::List { list, .. }) = taken.recv().await else {
                panic!("not a list")
            };
            versions.push(list.version);
        }
        assert_eq!(versions, [8, 9]);
        assert_eq!(running.ctx.counters.get("whole lists passed over"), 1);
        // Setting the same address again has no effect.
        list_client.set_address(new.address);
        watch.send(&change(10, 3)).await;
        assert!(matches!(taken.recv().await, Some(Event::List { list, .. }) if list.version == 10));
        assert_eq!(running.ctx.counters.get("watches broken"), 0);
    });
}

#[test]
fn forgotten_server_is_restored_when_it_returns() {
    with_assigner(|running, agent| async move {
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        agent.publish(8, false, &[server(3, "DELETED", 0.0)]);
        proxy.wait_for("s-3 withdrawn", withdraws("s-3")).await;
        running.wait_for_count("servers forgotten", 1).await;
        let mut collector = TestClient::connect(running.address).await;
        let heard = r#"{"msg":"upstream_stats","zone":"a","server":"s-3","tries":1,"failed":1,"span_ms":1}"#;
        collector.send(&[COLLECTOR_HELLO, heard].join("\n")).await;
        running.wait_for_count("bad input: unknown server", 1).await;
        agent.publish(9, false, &[server(3, "SERVING", 0.0)]);
        proxy
            .wait_for("s-3 restored", |m| m["back"].to_string().contains("s-3"))
            .await;
    });
}

#[test]
fn unreachable_discovery_is_retried() {
    run_local(async {
        // Reserve an address without listening on it.
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let running = run(&assigner_config(socket.local_addr().unwrap())).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        running.wait_for_count("watches broken", 2).await;
        let listener = socket.listen(8).unwrap();
        let mut discovery = ScriptedDiscovery::from_listener(listener);
        assert_eq!(
            discovery.call().await.path,
            "/catalog/members?follow=1&since=7"
        );
    });
}

#[test]
fn backoff_grows_until_data_arrives() {
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
        "jitter differs by seed"
    );
}

#[test]
fn module_requests_lists_in_on_request_mode() {
    run_local(async {
        let mut discovery = ScriptedDiscovery::new().await;
        let mut config = assigner_config(discovery.address);
        config["settings"]["registry_mode"] = json!("on_request");
        let running = run(&config).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        discovery.call().await.answer(500, "");
        // The next request is triggered by a timer of the module.
        let mut watch = discovery.watch().await;
        assert_eq!(running.ctx.counters.get("list calls failed"), 1);
        proxy.wait_for_table().await;
        watch
            .send(&list(8, false, &[server(2, "DRAINING", 0.0)]))
            .await;
        proxy.wait_for("s-2 withdrawn", withdraws("s-2")).await;
        drop(watch);
        assert_eq!(
            discovery.call().await.path,
            "/catalog/members?follow=1&since=8"
        );
    });
}

// ---- Peers, startup and shutdown ----------------------------------------------------------

#[test]
fn peer_messages_are_accepted_from_peers_only() {
    run_local(async {
        let agent = DiscoveryServer::new().await;
        let bind = || async { UdpSocket::bind("127.0.0.1:0").await.unwrap() };
        let (all, peer, foreign) = (bind().await, bind().await, bind().await);
        let mut config = assigner_config(agent.address);
        config["peers"] = json!(["127.0.0.1:9", peer.local_addr().unwrap()]);
        config["peers_all"] = json!(all.local_addr().unwrap());
        let running = run(&config).await;
        let mut proxy = TestClient::join(running.address, 0, true).await;
        proxy.wait_for_table().await;
        let mut message = [0; 512];
        let (size, _) = all.recv_from(&mut message).await.unwrap();
        assert!(size > 0 && size <= 256);
        let address = running.peer_address.unwrap();
        peer.send_to(&message[..size], address).await.unwrap();
        foreign.send_to(&message[..size], address).await.unwrap();
        peer.send_to(&[0; 300], address).await.unwrap();
        running.wait_for_count("in notes", 1).await;
        running.wait_for_count("notes refused", 2).await;
        assert_eq!(running.ctx.counters.get("in notes"), 1);
    });
}

#[test]
fn invalid_configuration_is_reported() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let change = |at: &str, value: Value| {
        let mut config = assigner_config(address);
        *config.pointer_mut(at).unwrap() = value;
        config.to_string()
    };
    let mut forbidden = assigner_config(address);
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
            json!("unknown names are accepted"),
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
fn messages_decode_by_names_and_order_of_the_settings() {
    let codec = config::parse(&assigner_config("127.0.0.1:1".parse().unwrap()).to_string())
        .unwrap()
        .codec;
    let heard = |load: &str| {
        r#"{"msg":"upstream_stats","zone":"b","server":"s-1","tries":4,"failed":4,"span_ms":1000.5"#
            .to_string()
            + load
    };
    let lines = [
        join_message(3, false),
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
fn close_reasons_map_to_inputs() {
    let lines = ALL.map(|reason| format!("{}: {:?}", reason.counter(), reason.input(5)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn log_lines_are_limited_per_kind() {
    let log = Log::new("n0".into(), 2);
    let said: Vec<bool> = ["a", "a", "a", "b"]
        .map(|kind| log.admit(kind).is_some())
        .to_vec();
    assert_eq!(said, [true, true, false, true]);
}

/// Tests of the executable.
mod program {
    use super::{
        ScriptedDiscovery, TestClient, assigner_config, json, list, run_local, server, withdraws,
    };
    use std::io::{BufRead, BufReader, Lines, Write};
    use std::net::TcpStream;
    use std::process::{Child, ChildStderr, Command, Stdio};

    struct Program {
        child: Child,
        log: Lines<BufReader<ChildStderr>>,
        folder: tempfile::TempDir,
    }

    fn start(config: &str) -> Program {
        start_within(config, 1024)
    }

    fn start_within(config: &str, descriptors: u32) -> Program {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        std::fs::write(&path, config).unwrap();
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
                .unwrap_or_else(|| panic!("no line contains {with}"))
        }

        /// Replaces the configuration file and sends SIGHUP.
        fn reload(&self, config: &str) {
            let next = self.folder.path().join("next");
            std::fs::write(&next, config).unwrap();
            std::fs::rename(next, self.folder.path().join("config.json")).unwrap();
            self.signal("HUP");
        }

        fn address(&mut self) -> String {
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

    fn heartbeat_succeeds(address: &str) -> bool {
        let mut socket = TcpStream::connect(address).unwrap();
        socket.write_all(b"{\"msg\":\"hb\"}\n").unwrap();
        let mut line = String::new();
        BufReader::new(socket).read_line(&mut line).unwrap();
        line == "{\"msg\":\"hb_ok\"}\n"
    }

    #[test]
    fn restarts_after_a_kill_and_logs_counters_on_sigterm() {
        let mut config = assigner_config("127.0.0.1:1".parse().unwrap());
        let mut program = start(&config.to_string());
        let address = program.address();
        assert!(heartbeat_succeeds(&address));
        // A second process cannot bind the same address.
        config["listen"] = address.clone().into();
        let mut second = start(&config.to_string());
        assert!(second.line("cannot bind").contains(&address));
        assert!(!second.child.wait().unwrap().success());
        program.child.kill().unwrap();
        program.child.wait().unwrap();
        let mut again = start(&config.to_string());
        assert_eq!(again.address(), address);
        assert!(heartbeat_succeeds(&address));
        again.signal("USR1");
        assert!(again.line("count: in beats").ends_with(" 1"));
        again.signal("TERM");
        again.line("received SIGTERM");
        again.line("count: out beat answers");
        assert!(again.child.wait().unwrap().success());
    }

    #[test]
    fn reload_moves_the_watch_and_keeps_streams() {
        run_local(async {
            let (mut old, mut new) = (
                ScriptedDiscovery::new().await,
                ScriptedDiscovery::new().await,
            );
            let mut config = assigner_config(old.address);
            let mut program = start(&config.to_string());
            let address = program.address();
            program.reload(&config.to_string());
            let mut watch = old.watch().await;
            let mut proxy = TestClient::join(address.parse().unwrap(), 0, true).await;
            proxy.wait_for_table().await;
            watch
                .send(&list(8, false, &[server(1, "DRAINING", 0.0)]))
                .await;
            proxy.wait_for("s-1 withdrawn", withdraws("s-1")).await;
            program.reload("{");
            program.line("keeping the current configuration");
            watch
                .send(&list(9, false, &[server(1, "SERVING", 9.0)]))
                .await;
            proxy
                .wait_for("s-1 restored", |m| m["back"].to_string().contains("s-1"))
                .await;
            config["discovery"] = json!(new.address);
            config["limits"]["sockets"] = json!(64);
            program.reload(&config.to_string());
            program.line("limits cannot change at runtime");
            let call = new.call().await;
            assert_eq!(call.path, "/catalog/members?follow=1&since=9");
            let mut moved = call.watch();
            moved
                .send(&list(10, false, &[server(2, "DRAINING", 0.0)]))
                .await;
            proxy.wait_for("s-2 withdrawn", withdraws("s-2")).await;
            assert!(proxy.heartbeat().await, "the stream was not replaced");
            // A configuration read that blocks delays neither the proxies nor the shutdown.
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
            assert!(proxy.heartbeat().await);
            program.signal("TERM");
            program.line("received SIGTERM");
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
    fn joined_connections_survive_descriptor_exhaustion() {
        let mut program = start_within(
            &assigner_config("127.0.0.1:1".parse().unwrap()).to_string(),
            24,
        );
        let address = program.address();
        let mut joined = TcpStream::connect(&address).unwrap();
        joined
            .write_all(format!("{}\n", super::join_message(0, true)).as_bytes())
            .unwrap();
        let unidentified: Vec<_> = (0..40)
            .map(|_| TcpStream::connect(&address).unwrap())
            .collect();
        program.line("accept failed");
        joined.write_all(b"{\"msg\":\"hb\"}\n").unwrap();
        let mut lines = BufReader::new(joined).lines();
        assert!(lines.any(|line| line.unwrap().contains("hb_ok")));
        // All of them are closed, and new connections are served.
        for mut client in unidentified {
            assert!(matches!(
                std::io::Read::read(&mut client, &mut [0; 9]),
                Ok(0) | Err(_)
            ));
        }
        assert!(heartbeat_succeeds(&address));
        program.child.kill().unwrap();
    }

    #[test]
    fn invalid_configuration_prevents_start() {
        let mut program = start("{");
        program.line("invalid configuration");
        assert!(!program.child.wait().unwrap().success());
    }
}
