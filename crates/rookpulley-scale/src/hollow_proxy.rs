//! Proxies that carry nothing: each keeps a line to every controller, chooses its primary, takes tables, drains and
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

const DIAL_WITHIN: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(200);
const TEND_EVERY: Duration = Duration::from_millis(250);
/// A report goes to the primary once in so many rounds.
const REPORT_ROUNDS: u64 = 4;
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
    lines: RefCell<BTreeMap<Ipv4Addr, mpsc::UnboundedSender<Vec<u8>>>>,
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
        lines: RefCell::default(),
        version: Cell::new(0),
        tables: Cell::new(false),
        born: Instant::now(),
        counts: counts.clone(),
        port,
    });
    for ip in controllers {
        hollow.named(*ip);
    }
    tokio::task::spawn_local(hollow.tend());
}

impl Hollow {
    fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1e3
    }

    fn named(self: &Rc<Self>, ip: Ipv4Addr) {
        let now = self.now_ms();
        if self.controllers.borrow_mut().named(now, ip) {
            tokio::task::spawn_local(self.clone().keep(ip));
        }
    }

    fn say(&self, to: Ipv4Addr, up: &ProxyToController) {
        let bytes = frame(up);
        add(&self.counts.bytes_out, bytes.len());
        _ = self.lines.borrow().get(&to).map(|line| line.send(bytes));
    }

    fn choose(&self) {
        let now = self.now_ms();
        let Some(moved) = self.controllers.borrow_mut().choose(now) else {
            return;
        };
        let (config, tables) = (self.version.get(), self.tables.get());
        if let Some(from) = moved.from {
            self.say(
                from,
                &ProxyToController::PrimaryChanged {
                    is_primary: false,
                    configuration: config,
                    has_tables: tables,
                },
            );
        }
        self.say(
            moved.to,
            &ProxyToController::PrimaryChanged {
                is_primary: true,
                configuration: config,
                has_tables: tables,
            },
        );
    }

    async fn tend(self: Rc<Self>) {
        for round in 0u64.. {
            tokio::time::sleep(TEND_EVERY).await;
            self.choose();
            let home = self.controllers.borrow().home();
            if let Some(home) = home.filter(|_| round.is_multiple_of(REPORT_ROUNDS)) {
                let service = ServiceLoad {
                    service: "svc0000".into(),
                    received: 1,
                    ..Default::default()
                };
                self.say(
                    home,
                    &ProxyToController::Report(LoadReport {
                        span_ms: 1_000,
                        services: vec![service],
                    }),
                );
            }
        }
    }

    async fn keep(self: Rc<Self>, ip: Ipv4Addr) {
        loop {
            if let Ok(stream) =
                connection::connect(SocketAddr::from((ip, self.port)), DIAL_WITHIN).await
            {
                _ = self.converse(ip, stream).await;
            }
            self.lines.borrow_mut().remove(&ip);
            self.controllers.borrow_mut().lost(ip);
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn converse(
        self: &Rc<Self>,
        ip: Ipv4Addr,
        stream: tokio::net::TcpStream,
    ) -> std::io::Result<()> {
        let (queue, mut waiting) = mpsc::unbounded_channel::<Vec<u8>>();
        self.lines.borrow_mut().insert(ip, queue);
        let hello = ProxyToController::Hello(ProxyHello {
            node: self.name.clone(),
            zone: self.zone.clone(),
            is_primary: self.controllers.borrow().home() == Some(ip),
            configuration: self.version.get(),
            has_tables: self.tables.get(),
            gone: Vec::new(),
        });
        self.say(ip, &hello);
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
                    while let Ok(Some(down)) = frames.take::<ControllerToProxy>() {
                        self.take(ip, down);
                    }
                }
            }
        }
    }

    fn take(self: &Rc<Self>, from: Ipv4Addr, down: ControllerToProxy) {
        add(&self.counts.messages_in, 1);
        match down {
            ControllerToProxy::Status {
                in_touch,
                configuration: config,
                controllers,
                ..
            } => {
                let (now, have) = (self.now_ms(), self.version.get());
                if self
                    .controllers
                    .borrow_mut()
                    .pulse(now, from, in_touch, config, have)
                {
                    self.say(
                        from,
                        &ProxyToController::RequestConfiguration { held: have },
                    );
                }
                controllers.iter().for_each(|other| self.named(*other.ip()));
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
            ControllerToProxy::Table { sequence: mark, .. } => {
                add(&self.counts.tables, 1);
                if !self.tables.replace(true) {
                    self.counts.ready.set(self.counts.ready.get() + 1);
                }
                self.say(from, &ProxyToController::TablesApplied { up_to: mark });
            }
            ControllerToProxy::Configuration { .. }
            | ControllerToProxy::InstancesGone { .. }
            | ControllerToProxy::ControllerInfo { .. } => {}
        }
    }
}
