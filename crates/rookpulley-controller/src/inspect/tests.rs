use crate::api::Api;
use crate::proxy_sessions;
use crate::server::Server;
use rookpulley_api::{Bounds, Call, Reply};
use rookpulley_protocol::{ProxyHello, ProxyToController};
use rookpulley_runtime::connection;
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

/// Sends a request, and repeats it while the reply is 503.
pub async fn call(api: &Api, method: &str, path: &str, body: &str) -> Reply {
    loop {
        let (method, path) = (method.into(), format!("/rookpulley/{path}"));
        let reply = api
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

/// The reply to an inspection.
pub async fn inspected(api: &Api, part: &str) -> String {
    let reply = call(api, "GET", &format!("show/{part}"), "").await;
    assert_eq!(reply.status, 200);
    String::from_utf8(reply.body).unwrap()
}

/// A folder for a store, on a tmpfs if there is one: calls have deadlines in real time, and the result must not depend on
/// how long the disk takes to sync beside other work.
pub fn store_folder() -> tempfile::TempDir {
    let mounts = std::fs::read_to_string("/proc/self/mounts").unwrap_or_default();
    let mut in_memory = mounts.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let (folder, kind) = (words.nth(1)?, words.next()?);
        (kind == "tmpfs").then_some(folder)
    });
    let folder = in_memory.find_map(|folder| tempfile::tempdir_in(folder).ok());
    folder.unwrap_or_else(|| tempfile::tempdir().unwrap())
}

/// Runs a scenario against a single controller with one instance, a configuration and a proxy that has it as primary.
pub fn with_controller<F: Future<Output = ()>>(scenario: impl FnOnce(Rc<Api>) -> F) {
    let folder = store_folder();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (sender, events) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, Some(&[]), sender).unwrap();
        let server = Server::new(
            Node::parse(SETTINGS).unwrap(),
            store,
            Vec::new(),
            11,
            tokio::sync::mpsc::unbounded_channel().0,
        );
        server.process_store_events(events);
        let ticked = server.clone();
        tokio::task::spawn_local(async move {
            let mut heartbeat = tokio::time::interval(std::time::Duration::from_millis(10));
            for round in 1.. {
                heartbeat.tick().await;
                ticked.tick(round);
            }
        });
        let api = Api::new(server.clone()).unwrap();
        assert_eq!(
            call(&api, "PUT", "configuration", CONFIGURATION)
                .await
                .status,
            200
        );
        assert_eq!(
            call(&api, "PUT", "instances/i-41c0", HEARTBEAT)
                .await
                .status,
            200
        );
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        tokio::task::spawn_local(proxy_sessions::listen(server.clone(), listener));
        let hello = ProxyToController::Hello(ProxyHello {
            node: "edge-quay-2".into(),
            zone: "quay".into(),
            is_primary: true,
            configuration: 5,
            has_tables: false,
            gone: Vec::new(),
        });
        let wait = std::time::Duration::from_secs(60);
        let stream = connection::connect(at, wait).await.unwrap();
        let outbox = Rc::new(RefCell::new(None));
        let kept_open = outbox.clone();
        let on_open = move |opened: connection::Outbox| {
            assert!(opened.send(&hello));
            *kept_open.borrow_mut() = Some(opened);
        };
        tokio::task::spawn_local(connection::run::<rookpulley_protocol::ControllerToProxy>(
            stream,
            None,
            on_open,
            |_| (),
        ));
        while server.inspect(|controller| {
            controller.proxies.is_empty() || controller.tables.tables().is_empty()
        }) {
            tokio::task::yield_now().await;
        }
        scenario(api).await;
        drop(outbox);
    });
}

/// Sends a request over a TCP connection, and returns the whole response.
async fn request_over_tcp(api: Rc<Api>, line: &str) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    let handler = move |call| {
        let api = api.clone();
        async move { api.answer(call).await }
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

/// Collects the paths and types of all values. Of a list only the first item is taken.
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
fn inspection_replies_have_the_shape_that_the_cli_reads() {
    with_controller(|api| async move {
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
            let (mut actual, mut expected) = (BTreeSet::new(), BTreeSet::new());
            shape(
                part,
                &inspected(&api, part).await.parse().unwrap(),
                &mut actual,
            );
            shape(part, &example.parse().unwrap(), &mut expected);
            assert_eq!(actual, expected);
        }
    });
}

#[test]
fn inspection_shows_the_chain_the_instances_the_proxies_and_the_state() {
    with_controller(|api| async move {
        let contains_all = |text: String, wanted: &[&str]| {
            wanted
                .iter()
                .for_each(|w| assert!(text.contains(w), "{text}"))
        };
        let single_controller = [
            "\"view\":1",
            "\"acting\":true",
            "\"inTouch\":true",
            "\"part\":\"alone\"",
            "\"here\":true",
        ];
        contains_all(inspected(&api, "view").await, &single_controller);
        contains_all(
            inspected(&api, "tasks/stamps").await,
            &["\"life\":\"i-41c0\"", "\"standing\":\"live\"", "\"more\":0"],
        );
        contains_all(inspected(&api, "tasks/parcels").await, &["\"tasks\":[]"]);
        contains_all(
            inspected(&api, "tables/stamps").await,
            &["\"courier\":\"edge-quay-2\"", "\"lines\":1"],
        );
        contains_all(
            inspected(&api, "couriers").await,
            &["\"home\":true", "\"config\":7"],
        );
        contains_all(
            inspected(&api, "ledger").await,
            &["\"configVersion\":7", "\"locks\":0"],
        );
        assert_eq!(call(&api, "PUT", "show/view", "").await.status, 405);
        assert_eq!(call(&api, "GET", "show/secrets", "").await.status, 404);
    });
}

#[test]
fn rows_of_a_reply_are_bounded_and_the_omitted_ones_counted() {
    let rows = |count: usize| super::bounded((0..count).map(|n| super::number(n as u64)));
    let first = rows(super::MAX_ROWS + 3);
    assert_eq!(
        (first.rows.get::<Vec<JsonValue>>().map(Vec::len), first.more),
        (Some(super::MAX_ROWS), 3.0.into())
    );
    assert_eq!(rows(2).more, 0.0.into());
}

#[test]
fn metrics_count_calls_by_kind_and_outcome_in_the_prometheus_text_format() {
    with_controller(|api| async move {
        call(&api, "PUT", "cells/g1.a", r#"{"value":"x","active":3}"#).await;
        call(&api, "GET", "cells/g1.a", "").await;
        call(&api, "PUT", "configuration", "{").await;
        call(&api, "GET", "nothing", "").await;
        let answer = request_over_tcp(api, "GET /rookpulley/show/counters HTTP/1.1").await;
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
            assert!(
                page.lines().any(|present| present == line),
                "{line}\n{page}"
            );
        }
        // Each metric is described once, before its first line.
        let mut described = BTreeSet::new();
        for line in page.lines() {
            if let Some(of) = line.strip_prefix("# TYPE ") {
                assert!(described.insert(of.split(' ').next().unwrap().to_string()));
            } else if !line.starts_with('#') {
                let (name, value) = line.rsplit_once(' ').unwrap();
                assert!(
                    described.contains(name.split('{').next().unwrap()),
                    "{line}"
                );
                assert!(value.parse::<f64>().is_ok(), "{line}");
            }
        }
    });
}

#[test]
fn a_deployment_without_duties_shows_none() {
    with_controller(|api| async move {
        let shown: JsonValue = inspected(&api, "duties").await.parse().unwrap();
        assert_eq!(shown["duties"], JsonValue::Array(Vec::new()));
        assert_eq!(shown["ownFence"], JsonValue::Null);
        assert_eq!(shown["unreportedWindows"], JsonValue::Array(Vec::new()));
    });
}
