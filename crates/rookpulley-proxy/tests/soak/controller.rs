//! A stand-in controller that publishes a table and a stream of configurations.

use rookpulley_protocol::{ControllerToProxy, ProxyToController, TableEntry, pack};
use rookpulley_runtime::connection;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The interval of configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(70);

/// Accepts proxies at this address and publishes these instances to them.
pub async fn start(address: SocketAddrV4, instances: Vec<SocketAddrV4>) {
    let listener = TcpListener::bind(address).await.unwrap();
    let outboxes: Rc<RefCell<Vec<connection::Outbox>>> = Rc::default();
    let version = Rc::new(Cell::new(1));
    tokio::task::spawn_local(publish_changes(outboxes.clone(), version.clone()));
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (outboxes, version, instances) =
                (outboxes.clone(), version.clone(), instances.clone());
            let on_open = move |outbox: connection::Outbox| {
                outbox.send(&status());
                outbox.send(&configuration(version.get()));
                outbox.send(&table(*address.ip(), &instances));
                outboxes.borrow_mut().push(outbox);
            };
            let on_message = |_: ProxyToController| {};
            tokio::task::spawn_local(connection::run(stream, None, on_open, on_message));
        }
    });
}

async fn publish_changes(outboxes: Rc<RefCell<Vec<connection::Outbox>>>, version: Rc<Cell<u64>>) {
    loop {
        tokio::time::sleep(CHANGE_INTERVAL).await;
        version.set(version.get() + 1);
        let configuration = configuration(version.get());
        let is_open =
            |outbox: &connection::Outbox| outbox.send(&status()) && outbox.send(&configuration);
        outboxes.borrow_mut().retain(is_open);
    }
}

fn status() -> ControllerToProxy {
    ControllerToProxy::Status {
        in_touch: true,
        configuration: 0,
        proxies: 1,
        controllers: Vec::new(),
    }
}

fn table(ip: Ipv4Addr, instances: &[SocketAddrV4]) -> ControllerToProxy {
    let entry = |(number, address): (usize, &SocketAddrV4)| TableEntry {
        incarnation: format!("life-{ip}-{number}"),
        address: *address,
        zone: "east".to_owned(),
        weight: 1.0,
        slots: 64,
    };
    ControllerToProxy::Table {
        service: "s".into(),
        revision: 1,
        sequence: 1,
        entries: instances.iter().enumerate().map(entry).collect(),
    }
}

/// A configuration that differs from the one before it in a route that no client uses.
fn configuration(version: u64) -> ControllerToProxy {
    let route = |prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{kind}-{}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":20000,
            "targetLatencyMs":15000,"priority":0,"targetService":"s","maxAttempts":2}}"#,
            prefix.len()
        )
    };
    let body = format!(
        r#"{{"configVersion":{version},"services":[{{"name":"s","healthCheckPath":"/h","maxConnections":500}}],
        "limits":{{"maxHeaderBytes":9000,"maxBodyBytes":9000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
        "hostnames":[{{"hostname":"h.example","pathRules":[{},{},{},{},{}]}}]}}"#,
        route("/r/", "read_only"),
        route("/m/", "mutating"),
        route("/upload/", "mutating"),
        route("/d/", "download"),
        route(&format!("/unused-{version}/"), "read_only"),
    );
    ControllerToProxy::Configuration {
        version,
        base: 0,
        length: body.len() as u32,
        packed: pack(body.as_bytes(), b"").unwrap(),
    }
}
