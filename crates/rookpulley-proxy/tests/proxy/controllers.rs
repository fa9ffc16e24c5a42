//! Selection of the primary controller, and configuration updates.

use crate::harness::{Harness, request, run_test, signed_ok, status};
use rookpulley_protocol::{ControllerToProxy, ProxyHello, ProxyToController, TableEntry};
use rookpulley_proxy::{Listeners, ProxyContext, Signals, run};
use rookpulley_runtime::connection::{self, Outbox};
use rookpulley_settings::Node;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

struct Controller {
    listener: TcpListener,
    outbox: Outbox,
    messages: mpsc::UnboundedReceiver<ProxyToController>,
    connection_task: tokio::task::JoinHandle<()>,
}

async fn open_connection(
    stream: TcpStream,
) -> (
    Outbox,
    mpsc::UnboundedReceiver<ProxyToController>,
    tokio::task::JoinHandle<()>,
) {
    let (outbox_sender, mut outbox_receiver) = mpsc::unbounded_channel();
    let (message_sender, messages) = mpsc::unbounded_channel();
    let connection_task = tokio::task::spawn_local(async move {
        connection::run(
            stream,
            None,
            move |outbox| _ = outbox_sender.send(outbox),
            move |message| _ = message_sender.send(message),
        )
        .await;
    });
    (
        outbox_receiver.recv().await.unwrap(),
        messages,
        connection_task,
    )
}

impl Controller {
    async fn new(listener: TcpListener) -> Controller {
        let (stream, _) = listener.accept().await.unwrap();
        let (outbox, messages, connection_task) = open_connection(stream).await;
        Controller {
            listener,
            outbox,
            messages,
            connection_task,
        }
    }

    fn send_status(&self, controllers: Vec<SocketAddrV4>) {
        assert!(self.outbox.send(&ControllerToProxy::Status {
            in_touch: true,
            configuration: 0,
            proxies: 1,
            controllers
        }));
    }

    /// Waits until the proxy states whether this controller is its primary.
    async fn is_primary(&mut self) -> bool {
        loop {
            match self.messages.recv().await.unwrap() {
                ProxyToController::Hello(ProxyHello {
                    is_primary: true, ..
                }) => return true,
                ProxyToController::PrimaryChanged { is_primary, .. } => return is_primary,
                _ => {}
            }
        }
    }

    async fn next_applied(&mut self) -> u64 {
        loop {
            if let ProxyToController::TablesApplied { up_to: sequence } =
                self.messages.recv().await.unwrap()
            {
                return sequence;
            }
        }
    }

    fn send_table(&self, service: &str, table_sequence: u64) {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
        let entry = TableEntry {
            incarnation: service.to_owned(),
            address,
            zone: "east".to_owned(),
            weight: 1.0,
            slots: 1,
        };
        let table = ControllerToProxy::Table {
            service: service.to_owned(),
            revision: 1,
            sequence: table_sequence,
            entries: vec![entry],
        };
        assert!(self.outbox.send(&table));
    }
}

#[test]
fn another_controller_becomes_primary_when_the_primary_is_lost() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let first = TcpListener::bind("127.0.0.2:0").await.unwrap();
        let port = first.local_addr().unwrap().port();
        let second = connection::listen(SocketAddr::from(([127, 0, 0, 3], port)), 8).unwrap();
        let mut node = Node::parse(&format!(
            "nodeName = \"one\"\nserves = [\"edge\"]\nipAddress = \"127.0.0.1\"\nzone = \"east\"\nregion = \"r\"\n\
             internalPortRange = [{port}, {port}]\nseedNodes = [\"127.0.0.2:9\"]\n[listenAddresses]\n\
             frontHttp = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:1\"\n"
        ))
        .unwrap();
        let loopback = Some(SocketAddrV4::new(node.ip, 0));
        (node.listen.front, node.listen.readiness) = (loopback, loopback);
        let listeners = Listeners::bind(&node).unwrap();
        let (_signal_sender, signals) = Signals::channel();
        tokio::task::spawn_local(run(ProxyContext::new(node), listeners, None, signals));

        // The first controller is a seed and announces the second.
        let mut first = Controller::new(first).await;
        first.send_status(vec![SocketAddrV4::new([127, 0, 0, 3].into(), 9)]);
        assert!(first.is_primary().await);
        let mut second = Controller::new(second).await;
        second.send_status(Vec::new());
        // Tables from a controller that is not the primary are ignored.
        second.send_table("s", 7);
        first.send_table("s", 8);
        assert_eq!(first.next_applied().await, 8);
        first.connection_task.abort();
        drop((first.outbox, first.listener));
        assert!(second.is_primary().await);
        second.send_table("s", 9);
        assert_eq!(second.next_applied().await, 9);
    });
}

#[test]
fn configuration_delta_on_an_unknown_base_is_requested_again() {
    run_test(async {
        let mut harness = Harness::with_instances(1, |received| signed_ok(received, "")).await;
        let (first, second) = (
            harness.configuration_body(1, "/m/"),
            harness.configuration_body(2, "/n/"),
        );
        let served = async |harness: &mut Harness, prefix: &str| {
            harness.wait_until_applied().await;
            let target = format!("{prefix}x");
            status(
                &harness
                    .send(request("POST", &target, prefix, "Connection: close\r\n").as_bytes())
                    .await,
            ) == 200
        };
        harness.send_configuration(2, 1, &second, &first);
        assert!(served(&mut harness, "/n/").await && !served(&mut harness, "/m/").await);
        // A delta on a version that the proxy does not have, then one on other bytes.
        let third = harness.configuration_body(3, "/o/");
        harness.send_configuration(3, 1, &third, &first);
        assert_eq!(harness.next_configuration_request().await, Some(2));
        harness.send_configuration(3, 2, &third, &third);
        assert_eq!(harness.next_configuration_request().await, Some(0));
        assert!(served(&mut harness, "/n/").await);
        harness.send_configuration(3, 0, &third, b"");
        assert!(served(&mut harness, "/o/").await && !served(&mut harness, "/n/").await);
        // An older version is ignored, and nothing is requested.
        harness.send_configuration(2, 1, &second, &first);
        assert!(served(&mut harness, "/o/").await);
    });
}
