use crate::calls::Calls;
use crate::hub::Hub;
use crate::proxy_sessions;
use rookpulley_api::{Bounds, Call, Reply};
use rookpulley_protocol::Up;
use rookpulley_runtime::line;
use rookpulley_settings::Node;
use rookpulley_store::Store;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tinyjson::JsonValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SETTINGS: &str = r#"
    nodeName = "edge-quay-1"
    serves = ["control_plane"]
    ipAddress = "127.0.0.1"
    zone = "quay"
    internalPortRange = [7730,7745]
    seedNodes = ["127.0.0.1:8166"]
    firstStart = true
    [listenAddresses]
    controlPlane = "127.0.0.1:8166"
"#;
const CONFIGURATION: &str = r#"{"configVersion":7,"services":[{"name":"stamps"}],"hostnames":[{"hostname":"a.example",
    "pathRules":[{"pathPrefix":"/s/","routeKind":"read_only","timeoutMs":900,"targetService":"stamps","maxAttempts":2}]}]}"#;
const HEARTBEAT: &str = r#"{"address":"10.128.4.7:8080",
    "nodeInfo":{"targetService":"stamps","configVersion":"v1","zone":"quay","capacitySlots":4},
    "currentStatus":{"lifecycleState":"available","callSequence":1,"coldRemainingMs":0}}"#;

/// As callers do, it asks again where the answer is that nothing was done.
async fn call(calls: &Calls, method: &str, path: &str, body: &str) -> Reply {
    loop {
        let (method, path) = (method.into(), format!("/rookpulley/{path}"));
        let reply = calls
            .answer(Call {
                method,
                path,
                body: body.into(),
                ..Call::default()
            })
            .await;
        if reply.status != 503 {
            return reply;
        }
        tokio::task::yield_now().await;
    }
}

async fn shown(calls: &Calls, part: &str) -> String {
    let reply = call(calls, "GET", &format!("show/{part}"), "").await;
    assert_eq!(reply.status, 200);
    String::from_utf8(reply.body).unwrap()
}

/// A controller alone, at work, with a task, a configuration and a proxy at home.
pub fn at_a_controller<F: Future<Output = ()>>(trial: impl FnOnce(Rc<Calls>) -> F) {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (said, heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, Some(&[]), said).unwrap();
        let hub = Hub::new(Node::parse(SETTINGS).unwrap(), store, Vec::new(), 11);
        hub.hear_store(heard);
        let to = hub.clone();
        tokio::task::spawn_local(async move {
            let mut heartbeat = tokio::time::interval(std::time::Duration::from_millis(10));
            for round in 1.. {
                heartbeat.tick().await;
                to.tick(round);
            }
        });
        let calls = Calls::new(hub.clone()).unwrap();
        assert_eq!(
            call(&calls, "PUT", "configuration", CONFIGURATION)
                .await
                .status,
            200
        );
        assert_eq!(
            call(&calls, "PUT", "instances/i-41c0", HEARTBEAT)
                .await
                .status,
            200
        );
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        tokio::task::spawn_local(proxy_sessions::listen(hub.clone(), listener));
        let hello = Up::Hello {
            node: "edge-quay-2".into(),
            zone: "quay".into(),
            home: true,
            config: 5,
            tables: false,
            gone: Vec::new(),
        };
        let wait = std::time::Duration::from_secs(60);
        let stream = line::dial(at, wait).await.unwrap();
        let outbox = Rc::new(RefCell::new(None));
        let held = outbox.clone();
        let open = move |to: line::Outbox| {
            assert!(to.send(&hello));
            *held.borrow_mut() = Some(to);
        };
        tokio::task::spawn_local(line::run::<rookpulley_protocol::Down>(
            stream,
            None,
            open,
            |_| (),
        ));
        while hub
            .look(|controller| controller.proxies.is_empty() || controller.desk.shown().is_empty())
        {
            tokio::task::yield_now().await;
        }
        trial(calls).await;
        drop(outbox);
    });
}

/// As a collector gets it.
async fn over_a_socket(calls: Rc<Calls>, line: &str) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let handler = move |call| {
        let calls = calls.clone();
        async move { calls.answer(call).await }
    };
    tokio::task::spawn_local(rookpulley_api::serve(
        listener,
        Bounds::default(),
        stopped,
        Rc::new(handler),
    ));
    stream
        .write_all(format!("{line}\r\nHost: a\r\nConnection: close\r\n\r\n").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// The names of all values and their types. A list counts by its first item.
fn shape(at: &str, value: &JsonValue, into: &mut BTreeSet<String>) {
    match value {
        JsonValue::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| shape(&format!("{at}.{name}"), value, into));
        }
        JsonValue::Array(items) => shape(&format!("{at}[]"), &items[0], into),
        JsonValue::String(_) => _ = into.insert(format!("{at} text")),
        JsonValue::Number(_) => _ = into.insert(format!("{at} number")),
        other => _ = into.insert(format!("{at} {other:?}").replace("false", "true")),
    }
}

#[test]
fn what_is_shown_has_the_shape_that_the_operators_command_reads() {
    at_a_controller(|calls| async move {
        for (part, example) in [
            (
                "view",
                include_str!("../../../rookpulley-cli/tests/shown/view.json"),
            ),
            (
                "tasks",
                include_str!("../../../rookpulley-cli/tests/shown/tasks.json"),
            ),
            (
                "tables",
                include_str!("../../../rookpulley-cli/tests/shown/tables.json"),
            ),
            (
                "couriers",
                include_str!("../../../rookpulley-cli/tests/shown/couriers.json"),
            ),
            (
                "ledger",
                include_str!("../../../rookpulley-cli/tests/shown/ledger.json"),
            ),
        ] {
            let (mut here, mut there) = (BTreeSet::new(), BTreeSet::new());
            shape(part, &shown(&calls, part).await.parse().unwrap(), &mut here);
            shape(part, &example.parse().unwrap(), &mut there);
            assert_eq!(here, there);
        }
    });
}

#[test]
fn a_controller_shows_itself_its_tasks_its_proxies_and_what_it_keeps() {
    at_a_controller(|calls| async move {
        let has = |text: String, wanted: &[&str]| {
            wanted
                .iter()
                .for_each(|w| assert!(text.contains(w), "{text}"))
        };
        let alone = [
            "\"view\":1",
            "\"acting\":true",
            "\"inTouch\":true",
            "\"part\":\"alone\"",
            "\"here\":true",
        ];
        has(shown(&calls, "view").await, &alone);
        has(
            shown(&calls, "tasks/stamps").await,
            &["\"life\":\"i-41c0\"", "\"standing\":\"live\"", "\"more\":0"],
        );
        has(shown(&calls, "tasks/parcels").await, &["\"tasks\":[]"]);
        has(
            shown(&calls, "tables/stamps").await,
            &["\"courier\":\"edge-quay-2\"", "\"lines\":1"],
        );
        has(
            shown(&calls, "couriers").await,
            &["\"home\":true", "\"config\":7"],
        );
        has(
            shown(&calls, "ledger").await,
            &["\"configVersion\":7", "\"locks\":0"],
        );
        assert_eq!(call(&calls, "PUT", "show/view", "").await.status, 405);
        assert_eq!(call(&calls, "GET", "show/secrets", "").await.status, 404);
    });
}

#[test]
fn an_answer_has_so_many_rows_and_says_how_many_it_lacks() {
    let rows = |count: usize| super::bounded((0..count).map(|n| super::number(n as u64)));
    let (kept, more) = rows(super::ROWS + 3);
    assert_eq!(
        (kept.get::<Vec<JsonValue>>().map(Vec::len), more),
        (Some(super::ROWS), 3.0.into())
    );
    assert_eq!(rows(2).1, 0.0.into());
}

#[test]
fn counters_tell_calls_by_kind_and_outcome_in_the_form_that_collectors_read() {
    at_a_controller(|calls| async move {
        call(&calls, "PUT", "cells/g1.a", r#"{"value":"x","active":3}"#).await;
        call(&calls, "GET", "cells/g1.a", "").await;
        call(&calls, "PUT", "configuration", "{").await;
        call(&calls, "GET", "nothing", "").await;
        let answer = over_a_socket(calls, "GET /rookpulley/show/counters HTTP/1.1").await;
        let (head, page) = answer.split_once("\r\n\r\n").unwrap();
        assert!(
            head.contains("content-type: text/plain; version=0.0.4\r\n"),
            "{head}"
        );
        for line in [
            "rookpulley_office_calls_total{call=\"beat\",outcome=\"done\"} 1",
            "rookpulley_office_calls_total{call=\"put_configuration\",outcome=\"done\"} 1",
            "rookpulley_office_calls_total{call=\"put_configuration\",outcome=\"wrong\"} 1",
            "rookpulley_office_calls_total{call=\"put_cell\",outcome=\"no\"} 1",
            "rookpulley_office_calls_total{call=\"get_cell\",outcome=\"no\"} 1",
            "rookpulley_office_calls_total{call=\"none\",outcome=\"wrong\"} 1",
            "rookpulley_office_beats_total{state=\"available\"} 1",
            "rookpulley_office_view_changes_total 1",
            "rookpulley_office_tasks{standing=\"live\"} 1",
            "rookpulley_office_couriers_at_home 1",
            "rookpulley_office_configuration_version 7",
        ] {
            assert!(page.lines().any(|held| held == line), "{line}\n{page}");
        }
        // Each name is described once, before its first line.
        let mut known = BTreeSet::new();
        for line in page.lines() {
            if let Some(of) = line.strip_prefix("# TYPE ") {
                assert!(known.insert(of.split(' ').next().unwrap().to_string()));
            } else if !line.starts_with('#') {
                let (name, value) = line.rsplit_once(' ').unwrap();
                assert!(known.contains(name.split('{').next().unwrap()), "{line}");
                assert!(value.parse::<f64>().is_ok(), "{line}");
            }
        }
    });
}
