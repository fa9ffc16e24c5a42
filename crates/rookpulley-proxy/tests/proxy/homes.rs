//! Which controller a proxy calls home.

use crate::scene::{Scene, good, play, request, status};
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
    heard: mpsc::UnboundedReceiver<ProxyToController>,
    line: tokio::task::JoinHandle<()>,
}

async fn open(
    stream: TcpStream,
) -> (
    Outbox,
    mpsc::UnboundedReceiver<ProxyToController>,
    tokio::task::JoinHandle<()>,
) {
    let (opened, mut open) = mpsc::unbounded_channel();
    let (tell, heard) = mpsc::unbounded_channel();
    let line = tokio::task::spawn_local(async move {
        connection::run(
            stream,
            None,
            move |outbox| _ = opened.send(outbox),
            move |up| _ = tell.send(up),
        )
        .await;
    });
    (open.recv().await.unwrap(), heard, line)
}

impl Controller {
    async fn new(listener: TcpListener) -> Controller {
        let (stream, _) = listener.accept().await.unwrap();
        let (outbox, heard, line) = open(stream).await;
        Controller {
            listener,
            outbox,
            heard,
            line,
        }
    }

    fn pulse(&self, controllers: Vec<SocketAddrV4>) {
        assert!(self.outbox.send(&ControllerToProxy::Status {
            in_touch: true,
            configuration: 0,
            proxies: 1,
            controllers
        }));
    }

    /// Waits until the proxy says whether this controller is its home.
    async fn home(&mut self) -> bool {
        loop {
            match self.heard.recv().await.unwrap() {
                ProxyToController::Hello(ProxyHello {
                    is_primary: true, ..
                }) => return true,
                ProxyToController::PrimaryChanged {
                    is_primary: home, ..
                } => return home,
                _ => {}
            }
        }
    }

    async fn took(&mut self) -> u64 {
        loop {
            if let ProxyToController::TablesApplied { up_to: mark } =
                self.heard.recv().await.unwrap()
            {
                return mark;
            }
        }
    }

    fn table(&self, service: &str, mark: u64) {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
        let line = TableEntry {
            incarnation: service.to_owned(),
            address,
            zone: "east".to_owned(),
            weight: 1.0,
            slots: 1,
        };
        let table = ControllerToProxy::Table {
            service: service.to_owned(),
            revision: 1,
            sequence: mark,
            entries: vec![line],
        };
        assert!(self.outbox.send(&table));
    }
}

#[test]
fn one_controller_is_the_home_and_another_takes_its_place_when_it_is_lost() {
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
        let any = Some(SocketAddrV4::new(node.ip, 0));
        (node.listen.front, node.listen.readiness) = (any, any);
        let listeners = Listeners::bind(&node).unwrap();
        let (_tell, signals) = Signals::channel();
        tokio::task::spawn_local(run(ProxyContext::new(node), listeners, None, signals));

        // One controller is a seed, the other is heard of from it.
        let mut first = Controller::new(first).await;
        first.pulse(vec![SocketAddrV4::new([127, 0, 0, 3].into(), 9)]);
        assert!(first.home().await);
        let mut second = Controller::new(second).await;
        second.pulse(Vec::new());
        // What another controller than the home says of tables counts for nothing.
        second.table("s", 7);
        first.table("s", 8);
        assert_eq!(first.took().await, 8);
        first.line.abort();
        drop((first.outbox, first.listener));
        assert!(second.home().await);
        second.table("s", 9);
        assert_eq!(second.took().await, 9);
    });
}

#[test]
fn a_configuration_comes_as_what_differs_and_one_on_other_bytes_is_asked_for_anew() {
    play(async {
        let mut scene = Scene::with_tasks(1, |got| good(got, "")).await;
        let (first, second) = (scene.body(1, "/m/"), scene.body(2, "/n/"));
        let served = async |scene: &mut Scene, prefix: &str| {
            scene.marked().await;
            let target = format!("{prefix}x");
            status(
                &scene
                    .send(request("POST", &target, prefix, "Connection: close\r\n").as_bytes())
                    .await,
            ) == 200
        };
        scene.configuration(2, 1, &second, &first);
        assert!(served(&mut scene, "/n/").await && !served(&mut scene, "/m/").await);
        // Packed on a version that it doesn't hold, and on other bytes than those it holds.
        let third = scene.body(3, "/o/");
        scene.configuration(3, 1, &third, &first);
        assert_eq!(scene.asked_above().await, Some(2));
        scene.configuration(3, 2, &third, &third);
        assert_eq!(scene.asked_above().await, Some(0));
        assert!(served(&mut scene, "/n/").await);
        scene.configuration(3, 0, &third, b"");
        assert!(served(&mut scene, "/o/").await && !served(&mut scene, "/n/").await);
        // An older one that comes late changes nothing and is not asked about.
        scene.configuration(2, 1, &second, &first);
        assert!(served(&mut scene, "/o/").await);
    });
}
