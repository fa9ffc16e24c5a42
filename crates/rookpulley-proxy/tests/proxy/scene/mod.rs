//! A proxy on loopback between a stand-in controller, stand-in tasks and a client that sends bytes.

use rookpulley_protocol::{ControllerToProxy, LoadReport, ProxyToController, TableEntry, pack};
use rookpulley_proxy::{Listeners, ProxyContext, Signal, Signals, run};
use rookpulley_runtime::connection;
use rookpulley_settings::Node;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

mod talk;

pub use talk::{Message, Talk, header, status};

/// What a stand-in task does with a request.
pub enum Act {
    /// Writes these bytes and waits for the next request.
    Write(Vec<u8>),
    /// Writes these bytes and ends the connection.
    Cut(Vec<u8>),
    /// Writes these bytes and resets the connection.
    Reset(Vec<u8>),
    /// Says nothing.
    Silence,
}

/// What a stand-in task got, and on which of its connections.
#[derive(Clone, Debug)]
pub struct Got {
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// A proper answer to what was got.
pub fn answer(got: &Got, status: &str, more: &str, body: &str) -> Vec<u8> {
    let id = got.header("request-id").unwrap_or("none");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n{more}\r\n{body}")
        .into_bytes()
}

pub fn good(got: &Got, body: &str) -> Act {
    Act::Write(answer(got, "200 OK", "Response-Signature: s\r\n", body))
}

pub fn turned_away(got: &Got) -> Act {
    Act::Write(answer(got, "503 Busy", "Not-Executed: 1\r\n", ""))
}

type Script = Rc<dyn Fn(&Got) -> Act>;

pub struct Scene {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub tell: mpsc::Sender<Signal>,
    controller: connection::Outbox,
    took: mpsc::UnboundedReceiver<u64>,
    reports: mpsc::UnboundedReceiver<LoadReport>,
    asked: mpsc::UnboundedReceiver<u64>,
    pub got: Rc<RefCell<Vec<Got>>>,
    script: Script,
    mark: u64,
    /// What the operator allows to clients.
    pub limits: &'static str,
}

/// Headers are long enough, bodies longer than any that is held whole, heads may take long.
const USUAL: &str =
    r#""maxHeaderBytes":9000,"maxBodyBytes":300000,"headerTimeoutMs":3000,"idleTimeoutMs":15000"#;

impl Scene {
    /// A proxy with one controller; nothing is known to it yet.
    pub async fn new(script: impl Fn(&Got) -> Act + 'static) -> Scene {
        Scene::with_files(1_000, script).await
    }

    /// The same, with so many descriptors.
    pub async fn with_files(files: usize, script: impl Fn(&Got) -> Act + 'static) -> Scene {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let mut node = Node::parse(&format!(
            "nodeName = \"one\"\nserves = [\"edge\"]\nipAddress = \"127.0.0.1\"\nzone = \"east\"\n\
             region = \"r\"\ninternalPortRange = [{port}, {port}]\nseedNodes = [\"127.0.0.1:1\"]\n\
             [zones]\neast = \"r\"\n[listenAddresses]\nfrontHttp = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:1\"\n\
             [limits]\nmemoryMb = 260\nmaxOpenFiles = {files}\nlinkMbps = 1000.0\n\
             [bounds]\nretryBudgetRatio = 10.0\nretryBudgetSlack = 64\ngracePeriodS = 6\n"
        ))
        .unwrap();
        let any = Some(SocketAddrV4::new(node.ip, 0));
        (node.listen.front, node.listen.readiness) = (any, any);
        let listeners = Listeners::bind(&node).unwrap();
        let addresses = listeners.addresses().unwrap();
        let (front, readiness) = (addresses.clients, addresses.readiness);
        let (tell, signals) = Signals::channel();
        tokio::task::spawn_local(run(ProxyContext::new(node), listeners, None, signals));
        let (stream, _) = listener.accept().await.unwrap();
        let (opened, mut open) = mpsc::unbounded_channel();
        let ((marks, took), (tell_report, reports)) =
            (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let (ask, asked) = mpsc::unbounded_channel();
        tokio::task::spawn_local(connection::run(
            stream,
            None,
            move |outbox| _ = opened.send(outbox),
            move |up| {
                _ = match up {
                    ProxyToController::TablesApplied { up_to: mark } => marks.send(mark).is_ok(),
                    ProxyToController::Report(report) => tell_report.send(report).is_ok(),
                    ProxyToController::RequestConfiguration { held: have } => {
                        ask.send(have).is_ok()
                    }
                    _ => true,
                }
            },
        ));
        let controller = open.recv().await.unwrap();
        let pulse = ControllerToProxy::Status {
            in_touch: true,
            configuration: 0,
            proxies: 1,
            controllers: Vec::new(),
        };
        assert!(controller.send(&pulse));
        let got = Rc::default();
        let (script, limits) = (Rc::new(script), USUAL);
        Scene {
            front,
            readiness,
            tell,
            controller,
            took,
            reports,
            asked,
            got,
            script,
            mark: 0,
            limits,
        }
    }

    /// A configuration with routes of each kind, patient and not, all of the service `s`, and so many tasks.
    pub async fn with_tasks(count: usize, script: impl Fn(&Got) -> Act + 'static) -> Scene {
        let mut scene = Scene::new(script).await;
        scene.configure(1, "/m/").await;
        let mut lines = Vec::new();
        for number in 0..count {
            lines.push(scene.task(&format!("life-{number}")).await);
        }
        scene.table(lines).await;
        scene
    }

    pub async fn configure(&mut self, version: u64, mutating: &str) {
        let body = self.body(version, mutating);
        self.configuration(version, 0, &body, b"");
    }

    pub fn body(&self, version: u64, mutating: &str) -> Vec<u8> {
        let route = |name: &str, prefix: &str, kind: &str, timeout: u32, aim: u32| {
            format!(
                r#"{{"name":"{name}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":{timeout},
                "targetLatencyMs":{aim},"priority":0,"targetService":"s","maxAttempts":3}}"#
            )
        };
        let body = format!(
            r#"{{"configVersion":{version},"services":[{{"name":"s","healthCheckPath":"/h","maxConnections":50}}],
            "limits":{{{}}},
            "hostnames":[{{"hostname":"h.example","pathRules":[{},{},{},{},{}]}}]}}"#,
            self.limits,
            route("r", "/r/", "read_only", 20_000, 15_000),
            route("m", mutating, "mutating", 20_000, 15_000),
            route("d", "/d/", "download", 20_000, 15_000),
            route("q", "/quick/", "read_only", 20_000, 20),
            route("s", "/short/", "mutating", 150, 20)
        );
        body.into_bytes()
    }

    /// Sends a configuration packed on the bytes of another version.
    pub fn configuration(&mut self, version: u64, base: u64, body: &[u8], on: &[u8]) {
        let (length, packed) = (body.len() as u32, pack(body, on).unwrap());
        assert!(self.controller.send(&ControllerToProxy::Configuration {
            version,
            base,
            length,
            packed
        }));
    }

    /// The version that it next asks for a newer one of.
    pub async fn asked_above(&mut self) -> Option<u64> {
        self.asked.recv().await
    }

    /// Tells a whole table and waits until it is in use.
    pub async fn table(&mut self, lines: Vec<TableEntry>) {
        self.mark += 1;
        let table = ControllerToProxy::Table {
            service: "s".into(),
            revision: 1,
            sequence: self.mark,
            entries: lines,
        };
        assert!(self.controller.send(&table));
        assert_eq!(self.took.recv().await, Some(self.mark));
    }

    /// Waits until all that was told before is in use.
    pub async fn marked(&mut self) {
        self.mark += 1;
        let table = ControllerToProxy::Table {
            service: "nobody's".into(),
            revision: 1,
            sequence: self.mark,
            entries: Vec::new(),
        };
        assert!(self.controller.send(&table));
        assert_eq!(self.took.recv().await, Some(self.mark));
    }

    pub async fn gone(&mut self, incarnation: &str) {
        assert!(self.controller.send(&ControllerToProxy::InstancesGone {
            incarnations: vec![incarnation.into()]
        }));
        // What follows on the line is taken after it.
        self.table(Vec::new()).await;
    }

    pub async fn task(&self, incarnation: &str) -> TableEntry {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!()
        };
        let (got, script) = (self.got.clone(), self.script.clone());
        let line = TableEntry {
            incarnation: incarnation.to_owned(),
            address,
            zone: "east".to_owned(),
            weight: 1.0,
            slots: 4,
        };
        tokio::task::spawn_local(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(task(stream, connection, got.clone(), script.clone()));
            }
        });
        line
    }

    /// A task that the test plays itself: its connections come in here.
    pub async fn by_hand(&mut self) -> TcpListener {
        let [listener] = self.several_by_hand().await;
        listener
    }

    /// Several of them, in one table.
    pub async fn several_by_hand<const COUNT: usize>(&mut self) -> [TcpListener; COUNT] {
        let mut entries = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
                unreachable!()
            };
            entries.push(TableEntry {
                incarnation: format!("by-hand-{number}"),
                address,
                zone: "east".to_owned(),
                weight: 1.0,
                slots: 4,
            });
            listeners.push(listener);
        }
        self.table(entries).await;
        listeners.try_into().unwrap()
    }

    /// A configuration, no task yet.
    pub async fn configured(script: impl Fn(&Got) -> Act + 'static) -> Scene {
        let mut scene = Scene::new(script).await;
        scene.configure(1, "/m/").await;
        scene
    }

    /// A connection of a client.
    pub async fn client(&self) -> Talk {
        Talk::new(TcpStream::connect(self.front).await.unwrap())
    }

    /// The attempts at instances, and the failed ones, of all that is reported until so many requests are.
    pub async fn reported(&mut self, requests: u32) -> (u32, u32) {
        let (mut received, mut attempts, mut failed) = (0, 0, 0);
        while received < requests {
            for service in self.reports.recv().await.unwrap().services {
                received += service.received;
                for instance in service.instances {
                    attempts += instance.attempts;
                    failed += instance.failed;
                }
            }
        }
        (attempts, failed)
    }

    /// Sends bytes on a connection of their own and returns all that comes back until it ends.
    pub async fn send(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.front).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut back = Vec::new();
        _ = stream.read_to_end(&mut back).await;
        String::from_utf8_lossy(&back).into_owned()
    }

    /// A request that ends its connection; the status line and the rest of what came back.
    pub async fn ask(&self, method: &str, target: &str, id: &str) -> (u16, String) {
        let back = self
            .send(
                format!(
                    "{method} {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 19000\r\nConnection: close\r\n\r\n"
                )
                .as_bytes(),
            )
            .await;
        (status(&back), back)
    }

    pub fn runs(&self, id: &str) -> usize {
        self.got
            .borrow()
            .iter()
            .filter(|got| got.header("request-id") == Some(id))
            .count()
    }
}

async fn task(stream: TcpStream, connection: usize, got: Rc<RefCell<Vec<Got>>>, script: Script) {
    let mut talk = Talk::new(stream);
    while let Some(Message { head, body }) = talk.message().await {
        let one = Got {
            connection,
            head,
            body,
        };
        got.borrow_mut().push(one.clone());
        match script(&one) {
            Act::Write(answer) => _ = talk.say(answer).await,
            Act::Cut(answer) => {
                talk.say(answer).await;
                return;
            }
            Act::Reset(answer) => {
                talk.say(answer).await;
                return talk.reset();
            }
            Act::Silence => std::future::pending().await,
        }
    }
}

/// A request that keeps its connection.
pub fn request(method: &str, target: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 19000\r\n{more}\r\n"
    )
}

/// Runs a test on one thread.
pub fn play<F: Future>(scene: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scene)
}
