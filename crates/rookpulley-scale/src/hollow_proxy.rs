//! Proxies that carry nothing: each keeps a connection to every controller, chooses its primary, takes tables, drains and
//! configurations and acknowledges and reports as a real one does. What it is sent is counted, and then dropped.

use rookpulley_balancer::ControllerSelection;
use rookpulley_protocol::{
    ControllerToProxy, Frames, LoadReport, ProxyHello, ProxyToController, ServiceLoad, frame,
};
use rookpulley_runtime::connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const BACKOFF: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(250);
/// A report goes to the primary once in so many ticks.
const REPORT_TICKS: u64 = 4;
const READ_BYTES: usize = 16 << 10;

/// What all hollow proxies count together.
#[derive(Default)]
pub struct Counts {
    pub bytes_in: Cell<u64>,
    pub bytes_out: Cell<u64>,
    pub messages_in: Cell<u64>,
    pub tables: Cell<u64>,
    pub configurations: Cell<u64>,
    /// When each version came to each proxy.
    pub came: RefCell<BTreeMap<u64, Vec<Instant>>>,
    /// Proxies that hold a table for at least one service.
    pub ready: Cell<usize>,
}

fn add(cell: &Cell<u64>, more: usize) {
    cell.set(cell.get() + more as u64);
}

/// What a proxy knows.
struct Hollow {
    name: String,
    zone: String,
    controllers: RefCell<ControllerSelection>,
    connections: RefCell<BTreeMap<Ipv4Addr, mpsc::UnboundedSender<Vec<u8>>>>,
    version: Cell<u64>,
    tables: Cell<bool>,
    born: Instant,
    counts: Rc<Counts>,
    port: u16,
}

pub fn start(
    number: usize,
    zone: String,
    port: u16,
    controllers: &[Ipv4Addr],
    counts: &Rc<Counts>,
) {
    let hollow = Rc::new(Hollow {
        name: format!("hollow-{number}"),
        zone,
        controllers: RefCell::default(),
        connections: RefCell::default(),
        version: Cell::new(0),
        tables: Cell::new(false),
        born: Instant::now(),
        counts: counts.clone(),
        port,
    });
    for ip in controllers {
        hollow.discover(*ip);
    }
    tokio::task::spawn_local(hollow.run());
}

impl Hollow {
    fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1e3
    }

    fn discover(self: &Rc<Self>, ip: Ipv4Addr) {
        let now = self.now_ms();
        if self.controllers.borrow_mut().discover(now, ip) {
            tokio::task::spawn_local(self.clone().keep_connected(ip));
        }
    }

    fn send(&self, to: Ipv4Addr, message: &ProxyToController) {
        let bytes = frame(message);
        add(&self.counts.bytes_out, bytes.len());
        _ = self
            .connections
            .borrow()
            .get(&to)
            .map(|connection| connection.send(bytes));
    }

    fn choose(&self) {
        let now = self.now_ms();
        let Some(moved) = self.controllers.borrow_mut().choose_primary(now) else {
            return;
        };
        let (configuration, has_tables) = (self.version.get(), self.tables.get());
        if let Some(from) = moved.from {
            self.send(
                from,
                &ProxyToController::PrimaryChanged {
                    is_primary: false,
                    configuration,
                    has_tables,
                },
            );
        }
        self.send(
            moved.to,
            &ProxyToController::PrimaryChanged {
                is_primary: true,
                configuration,
                has_tables,
            },
        );
    }

    async fn run(self: Rc<Self>) {
        for tick in 0u64.. {
            tokio::time::sleep(TICK).await;
            self.choose();
            let primary = self.controllers.borrow().primary();
            if let Some(primary) = primary.filter(|_| tick.is_multiple_of(REPORT_TICKS)) {
                let service = ServiceLoad {
                    service: "svc0000".into(),
                    received: 1,
                    ..Default::default()
                };
                self.send(
                    primary,
                    &ProxyToController::Report(LoadReport {
                        span_ms: 1_000,
                        services: vec![service],
                    }),
                );
            }
        }
    }

    async fn keep_connected(self: Rc<Self>, ip: Ipv4Addr) {
        loop {
            if let Ok(stream) =
                connection::connect(SocketAddr::from((ip, self.port)), CONNECT_TIMEOUT).await
            {
                _ = self.converse(ip, stream).await;
            }
            self.connections.borrow_mut().remove(&ip);
            self.controllers.borrow_mut().disconnected(ip);
            tokio::time::sleep(BACKOFF).await;
        }
    }

    async fn converse(
        self: &Rc<Self>,
        ip: Ipv4Addr,
        stream: tokio::net::TcpStream,
    ) -> std::io::Result<()> {
        let (queue, mut waiting) = mpsc::unbounded_channel::<Vec<u8>>();
        self.connections.borrow_mut().insert(ip, queue);
        let hello = ProxyToController::Hello(ProxyHello {
            node: self.name.clone(),
            zone: self.zone.clone(),
            is_primary: self.controllers.borrow().primary() == Some(ip),
            configuration: self.version.get(),
            has_tables: self.tables.get(),
            gone: Vec::new(),
        });
        self.send(ip, &hello);
        let now = self.now_ms();
        self.controllers.borrow_mut().connected(now, ip);
        let (mut reader, mut writer) = stream.into_split();
        let (mut frames, mut chunk) = (Frames::default(), vec![0; READ_BYTES]);
        loop {
            tokio::select! {
                bytes = waiting.recv() => match bytes {
                    Some(bytes) => writer.write_all(&bytes).await?,
                    None => return Ok(()),
                },
                read = reader.read(&mut chunk) => {
                    let read = read?;
                    if read == 0 {
                        return Ok(());
                    }
                    add(&self.counts.bytes_in, read);
                    frames.push(chunk.get(..read).unwrap_or_default());
                    while let Ok(Some(message)) = frames.take::<ControllerToProxy>() {
                        self.take(ip, message);
                    }
                }
            }
        }
    }

    fn take(self: &Rc<Self>, from: Ipv4Addr, message: ControllerToProxy) {
        add(&self.counts.messages_in, 1);
        match message {
            ControllerToProxy::Status {
                in_touch,
                configuration,
                controllers,
                ..
            } => {
                let (now, held) = (self.now_ms(), self.version.get());
                if self.controllers.borrow_mut().handle_status(
                    now,
                    from,
                    in_touch,
                    configuration,
                    held,
                ) {
                    self.send(from, &ProxyToController::RequestConfiguration { held });
                }
                controllers
                    .iter()
                    .for_each(|other| self.discover(*other.ip()));
                self.choose();
            }
            ControllerToProxy::Configuration { version, .. } if version > self.version.get() => {
                add(&self.counts.configurations, 1);
                self.version.set(version);
                self.counts
                    .came
                    .borrow_mut()
                    .entry(version)
                    .or_default()
                    .push(Instant::now());
            }
            ControllerToProxy::Table { sequence, .. } => {
                add(&self.counts.tables, 1);
                if !self.tables.replace(true) {
                    self.counts.ready.set(self.counts.ready.get() + 1);
                }
                self.send(from, &ProxyToController::TablesApplied { up_to: sequence });
            }
            ControllerToProxy::Configuration { .. }
            | ControllerToProxy::InstancesGone { .. }
            | ControllerToProxy::ControllerInfo { .. } => {}
        }
    }
}
