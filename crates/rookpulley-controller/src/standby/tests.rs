use super::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CONTROL: &str = "127.0.5.1:8166";
const OTHER_CONTROL: &str = "127.0.5.3:8166";
const PATIENCE: Duration = Duration::from_secs(30);

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

/// None while nobody listens.
async fn answered(call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(CONTROL).await.ok()?;
    stream
        .write_all(format!("{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

async fn until(call: &str, begins: &str) -> String {
    let begun = Instant::now();
    let mut last = None;
    while begun.elapsed() < PATIENCE {
        last = answered(call).await;
        if let Some(answer) = last.take_if(|answer| answer.starts_with(begins)) {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{call}: no {begins}, but {last:?}");
}

#[test]
fn a_controller_whose_store_cant_be_opened_passes_calls_on_until_it_can_and_never_ends() {
    let base = tempfile::tempdir().unwrap();
    let blocked = base.path().join("disk");
    // Where a folder should be there is a file: whatever is tried below it is refused.
    std::fs::write(&blocked, "").unwrap();
    let node = settings(&blocked.join("data"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let trial = async {
            let passed = until("PUT /rookpulley/instances/i-1?a=b", "HTTP/1.1 307").await;
            let to = "location: http://127.0.5.2:8166/rookpulley/instances/i-1?a=b";
            assert!(passed.to_lowercase().contains(to), "{passed}");
            until("GET /rookpulley/show/view", "HTTP/1.1 503").await;
            until("GET /rookpulley/nothing", "HTTP/1.1 404").await;
            std::fs::remove_file(&blocked).unwrap();
            std::fs::create_dir_all(blocked.join("data")).unwrap();
            until("GET /rookpulley/show/view", "HTTP/1.1 200").await;
        };
        tokio::select! {
            ended = crate::run(node.clone(), base.path().join("node.toml")) => panic!("it ended: {ended:?}"),
            () = trial => {}
        }
    });
}

/// How long it took from now until a connection came up.
fn connected(to: &str) -> Duration {
    let begun = Instant::now();
    while std::net::TcpStream::connect(to).is_err() {
        assert!(begun.elapsed() < PATIENCE, "nobody listens at {to}");
        std::thread::sleep(Duration::from_millis(5));
    }
    begun.elapsed()
}

#[test]
fn who_dials_while_the_store_is_being_opened_is_not_refused() {
    let base = tempfile::tempdir().unwrap();
    let data = base.path().join("data");
    std::fs::create_dir_all(&data).unwrap();
    // Another process has the store: it is asked for again and again for a second.
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
        runtime.block_on(async { tokio::time::timeout(PATIENCE, crate::run(node, file)).await })
    });
    let took = connected(OTHER_CONTROL);
    assert!(took < Duration::from_millis(800), "{took:?}");
    drop(held);
}
