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

/// As callers do, it asks again where the answer is that nothing was done.
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

pub async fn shown(api: &Api, part: &str) -> String {
    let reply = call(api, "GET", &format!("show/{part}"), "").await;
    assert_eq!(reply.status, 200);
    String::from_utf8(reply.body).unwrap()
}

/// A controller alone, at work, with a task, a configuration and a proxy at home.
pub fn with_controller<F: Future<Output = ()>>(scenario: impl FnOnce(Rc<Api>) -> F) {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (sender, events) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, Some(&[]), sender).unwrap();
        let server = Server::new(Node::parse(SETTINGS).unwrap(), store, Vec::new(), 11);
        server.hear_store(events);
        let to = server.clone();
        tokio::task::spawn_local(async move {
            let mut heartbeat = tokio::time::interval(std::time::Duration::from_millis(10));
            for round in 1.. {
                heartbeat.tick().await;
                to.tick(round);
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
        let held = outbox.clone();
        let open = move |to: connection::Outbox| {
            assert!(to.send(&hello));
            *held.borrow_mut() = Some(to);
        };
        tokio::task::spawn_local(connection::run::<rookpulley_protocol::ControllerToProxy>(
            stream,
            None,
            open,
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

/// As a collector gets it.
async fn over_a_socket(api: Rc<Api>, line: &str) -> String {
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
            let (mut here, mut there) = (BTreeSet::new(), BTreeSet::new());
            shape(part, &shown(&api, part).await.parse().unwrap(), &mut here);
            shape(part, &example.parse().unwrap(), &mut there);
            assert_eq!(here, there);
        }
    });
}

#[test]
fn a_controller_shows_itself_its_tasks_its_proxies_and_what_it_keeps() {
    with_controller(|api| async move {
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
        has(shown(&api, "view").await, &alone);
        has(
            shown(&api, "tasks/stamps").await,
            &["\"life\":\"i-41c0\"", "\"standing\":\"live\"", "\"more\":0"],
        );
        has(shown(&api, "tasks/parcels").await, &["\"tasks\":[]"]);
        has(
            shown(&api, "tables/stamps").await,
            &["\"courier\":\"edge-quay-2\"", "\"lines\":1"],
        );
        has(
            shown(&api, "couriers").await,
            &["\"home\":true", "\"config\":7"],
        );
        has(
            shown(&api, "ledger").await,
            &["\"configVersion\":7", "\"locks\":0"],
        );
        assert_eq!(call(&api, "PUT", "show/view", "").await.status, 405);
        assert_eq!(call(&api, "GET", "show/secrets", "").await.status, 404);
    });
}

#[test]
fn an_answer_has_so_many_rows_and_says_how_many_it_lacks() {
    let rows = |count: usize| super::bounded((0..count).map(|n| super::number(n as u64)));
    let first = rows(super::MAX_ROWS + 3);
    assert_eq!(
        (first.rows.get::<Vec<JsonValue>>().map(Vec::len), first.more),
        (Some(super::MAX_ROWS), 3.0.into())
    );
    assert_eq!(rows(2).more, 0.0.into());
}

#[test]
fn counters_tell_calls_by_kind_and_outcome_in_the_form_that_collectors_read() {
    with_controller(|api| async move {
        call(&api, "PUT", "cells/g1.a", r#"{"value":"x","active":3}"#).await;
        call(&api, "GET", "cells/g1.a", "").await;
        call(&api, "PUT", "configuration", "{").await;
        call(&api, "GET", "nothing", "").await;
        let answer = over_a_socket(api, "GET /rookpulley/show/counters HTTP/1.1").await;
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
