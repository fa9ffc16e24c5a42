//! A courier on loopback between a stand-in office, stand-in tasks and a client that sends bytes.

use rookpulley_courier::{Bound, Courier, Signal, Signals, run};
use rookpulley_settings::Node;
use rookpulley_waybill::{Down, Line, Up, line};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What a stand-in task does with a request.
pub enum Act {
    /// Writes these bytes and waits for the next request.
    Write(Vec<u8>),
    /// Writes these bytes and ends the connection.
    Cut(Vec<u8>),
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

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
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
    office: line::Outbox,
    took: mpsc::UnboundedReceiver<u64>,
    pub got: Rc<RefCell<Vec<Got>>>,
    script: Script,
    mark: u64,
}

impl Scene {
    /// A courier with one office; nothing is known to it yet.
    pub async fn new(script: impl Fn(&Got) -> Act + 'static) -> Scene {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let mut node = Node::parse(&format!(
            "nodeName = \"one\"\nserves = [\"edge\"]\nipAddress = \"127.0.0.1\"\nzone = \"east\"\n\
             region = \"r\"\ninternalPortRange = [{port}, {port}]\nseedNodes = [\"127.0.0.1:1\"]\n\
             [zones]\neast = \"r\"\n[listenAddresses]\nfrontHttp = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:1\"\n\
             [limits]\nmemoryMb = 260\nmaxOpenFiles = 1000\nlinkMbps = 1000.0\n\
             [bounds]\nretryBudgetRatio = 10.0\nretryBudgetSlack = 64\ngracePeriodS = 6\n"
        ))
        .unwrap();
        let any = Some(SocketAddrV4::new(node.ip, 0));
        (node.listen.front, node.listen.readiness) = (any, any);
        let bound = Bound::new(&node).unwrap();
        let (front, readiness) = bound.addresses().unwrap();
        let (tell, signals) = Signals::by_hand();
        tokio::task::spawn_local(run(Courier::new(node), bound, None, signals));
        let (stream, _) = listener.accept().await.unwrap();
        let (opened, mut open) = mpsc::unbounded_channel();
        let (marks, took) = mpsc::unbounded_channel();
        tokio::task::spawn_local(line::run(
            stream,
            None,
            move |outbox| _ = opened.send(outbox),
            move |up| {
                if let Up::Took { mark } = up {
                    _ = marks.send(mark);
                }
            },
        ));
        let office = open.recv().await.unwrap();
        let pulse = Down::Pulse { in_touch: true, config: 0, couriers: 1, offices: Vec::new() };
        assert!(office.send(&pulse));
        let got = Rc::default();
        Scene { front, readiness, tell, office, took, got, script: Rc::new(script), mark: 0 }
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
        let route = |name: &str, prefix: &str, kind: &str, timeout: u32, aim: u32| {
            format!(
                r#"{{"name":"{name}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":{timeout},
                "targetLatencyMs":{aim},"priority":0,"targetService":"s","maxAttempts":3}}"#
            )
        };
        let body = format!(
            r#"{{"configVersion":{version},"services":[{{"name":"s","healthCheckPath":"/h","maxConnections":50}}],
            "limits":{{"maxHeaderBytes":9000,"maxBodyBytes":300000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
            "hostnames":[{{"hostname":"h.example","pathRules":[{},{},{},{},{}]}}]}}"#,
            route("r", "/r/", "read_only", 20_000, 15_000),
            route("m", mutating, "mutating", 20_000, 15_000),
            route("d", "/d/", "download", 20_000, 15_000),
            route("q", "/quick/", "read_only", 20_000, 20),
            route("s", "/short/", "mutating", 150, 20)
        );
        assert!(self.office.send(&Down::Config { version, body: body.into_bytes() }));
    }

    /// Tells a whole table and waits until it is in use.
    pub async fn table(&mut self, lines: Vec<Line>) {
        self.mark += 1;
        let table = Down::Table { service: "s".into(), name: 1, mark: self.mark, lines };
        assert!(self.office.send(&table));
        assert_eq!(self.took.recv().await, Some(self.mark));
    }

    pub async fn gone(&mut self, life: &str) {
        assert!(self.office.send(&Down::Gone { lives: vec![life.into()] }));
        // What follows on the line is taken after it.
        self.table(Vec::new()).await;
    }

    pub async fn task(&self, life: &str) -> Line {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let (got, script) = (self.got.clone(), self.script.clone());
        let line = Line { life: life.to_owned(), address, zone: "east".to_owned(), weight: 1.0, slots: 4 };
        tokio::task::spawn_local(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(task(stream, connection, got.clone(), script.clone()));
            }
        });
        line
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
        self.got.borrow().iter().filter(|got| got.header("request-id") == Some(id)).count()
    }
}

pub fn status(back: &str) -> u16 {
    back.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

async fn task(mut stream: TcpStream, connection: usize, got: Rc<RefCell<Vec<Got>>>, script: Script) {
    let mut bytes = Vec::new();
    loop {
        let head = loop {
            if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break String::from_utf8(bytes.drain(..end + 4).collect()).unwrap();
            }
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
        };
        let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        while bytes.len() < length {
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let body = bytes.drain(..length).collect();
        let one = Got { connection, head, body };
        got.borrow_mut().push(one.clone());
        match script(&one) {
            Act::Write(answer) => stream.write_all(&answer).await.unwrap(),
            Act::Cut(answer) => {
                _ = stream.write_all(&answer).await;
                return;
            }
            Act::Silence => std::future::pending().await,
        }
    }
}

/// Runs a test on one thread.
pub fn play<F: Future>(scene: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scene)
}
