use super::*;
use crate::proxy_sessions;
use crate::server::Server;
use rookpulley_control::Bootstrap;
use rookpulley_protocol::ProxyHello;
use rookpulley_store::Store;
use std::thread::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;

fn settings(ip: Ipv4Addr, zone: &str, port: u16) -> Node {
    let text = format!(
        r#"
        nodeName = "edge-{zone}"
        serves = ["control_plane"]
        ipAddress = "{ip}"
        zone = "{zone}"
        internalPortRange = [{port}, {}]
        seedNodes = ["127.0.3.1:8166", "127.0.3.2:8166", "127.0.3.3:8166"]
        firstStart = true
        [listenAddresses]
        controlPlane = "{ip}:8166"
        "#,
        port + 1
    );
    Node::parse(&text).unwrap()
}

/// Runs a single controller with a store in a thread until told to end, which closes all its sockets at once.
fn start_controller(ip: Ipv4Addr, zone: &str, port: u16) -> (oneshot::Sender<()>, JoinHandle<()>) {
    let (end, ended) = oneshot::channel::<()>();
    let node = settings(ip, zone, port);
    let run = move || {
        let folder = crate::inspect::tests::store_folder();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (sender, events) = tokio::sync::mpsc::unbounded_channel();
            let bootstrap = Bootstrap::new(ip, &[SocketAddrV4::new(ip, 8_166)]).encode();
            let store = Store::open(folder.path(), 7, Some(&bootstrap), sender).unwrap();
            let server = Server::new(
                node,
                store,
                Vec::new(),
                11,
                tokio::sync::mpsc::unbounded_channel().0,
            );
            server.process_store_events(events);
            let listener = connection::listen(SocketAddr::from((ip, port)), 16).unwrap();
            tokio::task::spawn_local(proxy_sessions::listen(server.clone(), listener));
            let tick = async {
                let mut heartbeat = tokio::time::interval(Duration::from_millis(10));
                for round in 1.. {
                    heartbeat.tick().await;
                    server.tick(round);
                }
            };
            tokio::select! { () = tick => {}, _ = ended => {} }
            assert!(
                server.inspect(|controller| controller.proxies.is_empty()),
                "the stateless controller was counted as a proxy"
            );
        });
    };
    (end, std::thread::spawn(run))
}

/// Sends a request, and returns the whole response.
async fn request(at: SocketAddr, call: &str) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(call.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Repeats a request until the response has this status and contains `text`.
async fn wait_for_response(at: SocketAddr, call: &str, status: &str, text: &str) -> String {
    loop {
        let answer = request(at, call).await;
        if answer.starts_with(&format!("HTTP/1.1 {status} ")) && answer.contains(text) {
            return answer;
        }
        tokio::task::yield_now().await;
    }
}

#[test]
fn calls_are_redirected_to_a_controller_in_the_same_zone_first_and_refused_without_one() {
    // Chooses a free port, used at all three addresses.
    let ips = [1, 2, 3].map(|n| Ipv4Addr::new(127, 0, 3, n));
    let free = std::net::TcpListener::bind((ips[0], 0)).unwrap();
    let port = free.local_addr().unwrap().port();
    drop(free);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let node = settings(ips[0], "quay", port);
        let server = StatelessServer::new(&node, node.listen.control.unwrap()).unwrap();
        let at = |port| connection::listen(SocketAddr::from((ips[0], port)), 16).unwrap();
        server.spawn_tasks(at(port), at(0));
        let api_listener = at(0);
        let to = api_listener.local_addr().unwrap();
        let (_stop, stopped) = watch::channel(false);
        let calls = server.clone();
        let handler = Rc::new(move |call: Call| std::future::ready(calls.answer(&call)));
        tokio::task::spawn_local(rookpulley_api::serve(api_listener, Bounds::default(), stopped, handler));

        let call = "PUT /rookpulley/cells/g1.%2Fa?x=1&y HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
        let refused = wait_for_response(to, call, "503", "nothing was done").await;
        assert!(refused.to_ascii_lowercase().contains("\r\nretry-after: 0.2\r\n"), "{refused}");

        let (end_far, far) = start_controller(ips[1], "hill", port);
        let location = |ip| format!("ocation: http://{ip}:8166/rookpulley/cells/g1.%2Fa?x=1&y\r\n");
        wait_for_response(to, call, "307", &location(ips[1])).await;
        let (end_near, near) = start_controller(ips[2], "quay", port);
        wait_for_response(to, call, "307", &location(ips[2])).await;
        assert!(request(to, call).await.contains(&location(ips[2])));

        _ = end_near.send(());
        wait_for_response(to, call, "307", &location(ips[1])).await;
        _ = end_far.send(());
        wait_for_response(to, call, "503", "nothing was done").await;
        let show = "GET /rookpulley/show/view HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        assert!(request(to, show).await.starts_with("HTTP/1.1 404 "));
        near.join().unwrap();
        far.join().unwrap();
    });
}

#[test]
fn a_stateless_controller_lists_the_others_to_a_proxy_and_is_not_its_primary() {
    let ip = Ipv4Addr::new(127, 0, 3, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let other = connection::listen(SocketAddr::from((Ipv4Addr::new(127, 0, 3, 2), 0)), 16).unwrap();
        let port = other.local_addr().unwrap().port();
        let node = settings(ip, "quay", port);
        let server = StatelessServer::new(&node, node.listen.control.unwrap()).unwrap();
        let at = |port| connection::listen(SocketAddr::from((ip, port)), 16).unwrap();
        let for_proxies = at(0);
        let to = for_proxies.local_addr().unwrap();
        server.spawn_tasks(for_proxies, at(0));
        // Simulates a controller that announces itself.
        let other_controller = async {
            let (stream, _) = other.accept().await.unwrap();
            let info = ControllerToProxy::ControllerInfo { zone: "hill".into(), founder: None, knows_view: true };
            let mut own = None;
            let on_open = |outbox: connection::Outbox| {
                assert!(outbox.send(&info));
                own = Some(outbox);
            };
            connection::run::<ProxyToController>(stream, None, on_open, |up| assert!(matches!(up, ProxyToController::StatelessHello { .. }))).await
        };
        let received = Rc::new(Cell::new(false));
        let proxy = async {
            let stream = connection::connect(to, Duration::from_secs(60)).await.unwrap();
            let (node, zone) = ("edge-quay-2".into(), "quay".into());
            let hello = ProxyToController::Hello(ProxyHello { node, zone, is_primary: false, configuration: 0, has_tables: false, gone: Vec::new() });
            let mut own = None;
            let on_open = |outbox: connection::Outbox| {
                assert!(outbox.send(&hello));
                own = Some(outbox);
            };
            let on_message = |down: ControllerToProxy| {
                let ControllerToProxy::Status { in_touch, configuration: config, proxies, controllers } = down else { panic!("{down:?}") };
                assert_eq!((in_touch, config, proxies), (false, 0, 0));
                received.set(controllers.iter().any(|controller| *controller.ip() == Ipv4Addr::new(127, 0, 3, 2)));
            };
            connection::run(stream, None, on_open, on_message).await
        };
        let proxy_informed = async {
            while !received.get() {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! { reason = other_controller => panic!("{reason}"), reason = proxy => panic!("{reason}"), () = proxy_informed => {} }
    });
}
