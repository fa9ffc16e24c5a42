use super::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CONTROL: &str = "127.0.5.1:8166";
const OTHER_CONTROL: &str = "127.0.5.3:8166";
const TIMEOUT: Duration = Duration::from_secs(30);

fn settings(data: &Path) -> Node {
    let text = format!(
        r#"
        nodeName = "edge-quay-1"
        serves = ["control_plane"]
        ipAddress = "127.0.5.1"
        zone = "quay"
        internalPortRange = [17950, 17951]
        seedNodes = ["127.0.5.1:8166", "127.0.5.2:8166"]
        firstStart = true
        dataDirectory = "{}"
        [listenAddresses]
        controlPlane = "{CONTROL}"
        "#,
        data.display()
    );
    Node::parse(&text).unwrap()
}

/// Sends a request, and returns the response, or None if the connection fails.
async fn request(call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(CONTROL).await.ok()?;
    stream
        .write_all(format!("{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

/// Repeats a request until the response starts with `prefix`.
async fn wait_for_response(call: &str, prefix: &str) -> String {
    let started = Instant::now();
    let mut last = None;
    while started.elapsed() < TIMEOUT {
        last = request(call).await;
        if let Some(answer) = last.take_if(|answer| answer.starts_with(prefix)) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{call}: expected {prefix}, got {last:?}");
}

#[test]
fn a_controller_redirects_calls_until_its_store_can_be_opened() {
    let base = crate::inspect::tests::store_folder();
    let blocked = base.path().join("disk");
    // A file in place of the parent folder makes every operation below it fail.
    std::fs::write(&blocked, "").unwrap();
    let node = settings(&blocked.join("data"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let scenario = async {
            let redirected = wait_for_response("PUT /rookpulley/instances/i-1?a=b", "HTTP/1.1 307").await;
            let to = "location: http://127.0.5.2:8166/rookpulley/instances/i-1?a=b";
            assert!(redirected.to_lowercase().contains(to), "{redirected}");
            wait_for_response("GET /rookpulley/show/view", "HTTP/1.1 503").await;
            wait_for_response("GET /rookpulley/nothing", "HTTP/1.1 404").await;
            std::fs::remove_file(&blocked).unwrap();
            std::fs::create_dir_all(blocked.join("data")).unwrap();
            wait_for_response("GET /rookpulley/show/view", "HTTP/1.1 200").await;
        };
        tokio::select! {
            ended = crate::run(node.clone(), base.path().join("node.toml")) => panic!("the controller ended: {ended:?}"),
            () = scenario => {}
        }
    });
}

/// Connects with retries, and returns how long it took.
fn time_to_connect(to: &str) -> Duration {
    let started = Instant::now();
    while std::net::TcpStream::connect(to).is_err() {
        assert!(started.elapsed() < TIMEOUT, "no listener at {to}");
        std::thread::sleep(Duration::from_millis(5));
    }
    started.elapsed()
}

#[test]
fn connections_are_accepted_while_the_store_is_opened() {
    let base = crate::inspect::tests::store_folder();
    let data = base.path().join("data");
    std::fs::create_dir_all(&data).unwrap();
    // The store is locked, so that opening it is retried for a second.
    let (sender, _events) = tokio::sync::mpsc::unbounded_channel();
    let held = rookpulley_store::Store::open(&data, 7, None, sender).unwrap();
    let mut node = settings(&data);
    node.ip = Ipv4Addr::new(127, 0, 5, 3);
    node.listen.control = Some(OTHER_CONTROL.parse().unwrap());
    let file = base.path().join("node.toml");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async { tokio::time::timeout(TIMEOUT, crate::run(node, file)).await })
    });
    let took = time_to_connect(OTHER_CONTROL);
    assert!(took < Duration::from_millis(800), "{took:?}");
    drop(held);
}
