//! The controller of a machine without a disk. It redirects calls to controllers that have a store, and keeps no state.

use crate::api::{method_not_allowed, not_found, redirect};
use crate::incarnation::{Listeners, listen};
use crate::proxy_sessions::ACCEPT_RETRY_DELAY;
use crate::request::{ApiRequest, request_router};
use crate::shutdown::{self, Signals};
use miette::IntoDiagnostic;
use rookpulley_api::{Bounds, Call, Match, Reply, Router, RouterError};
use rookpulley_control::{PeerMessage, StatelessController, StatelessEffect, StatelessStart};
use rookpulley_protocol::{ControllerToProxy, ProxyToController};
use rookpulley_runtime::{Backoff, SettingsFile, connection};
use rookpulley_settings::Node;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Controllers with a disk send at least every 400 ms, stateless ones every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a reconnect doubles with each failure, within these bounds.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_secs(1);
/// Interval of the summaries in the log, in ticks.
const SUMMARY_TICKS: u64 = 10;
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER: &str = "0.2";

#[derive(Default)]
struct Connections {
    controllers: BTreeMap<Ipv4Addr, connection::Outbox>,
    /// Connections of proxies and other stateless controllers, by number.
    clients: BTreeMap<u64, connection::Outbox>,
}

struct StatelessServer {
    controller: RefCell<StatelessController>,
    connections: RefCell<Connections>,
    started: Instant,
    last_connection: Cell<u64>,
    /// The port on which controllers listen for proxies.
    proxy_port: u16,
    control_port: u16,
    router: Router<ApiRequest>,
    /// The number of redirected calls.
    redirected: Cell<u64>,
    /// The number of calls refused because no controller was reachable.
    refused: Cell<u64>,
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    settings_file: PathBuf,
    signals: &mut Signals,
) -> miette::Result<()> {
    let listeners = listen(node, control)?;
    tracing::info!(
        "controller: {} started without a store; calls are redirected",
        node.name
    );
    if node.seeds.iter().all(|seed| *seed.ip() == node.ip) {
        tracing::warn!(
            "controller: seedNodes lists no other controller, so calls get 503 until one connects to this node"
        );
    }
    let server = StatelessServer::new(node, control).into_diagnostic()?;
    let (stop, stopped) = watch::channel(false);
    let Listeners {
        api,
        proxies,
        peers,
    } = listeners;
    let redirects = server.clone();
    let handler = Rc::new(move |call: Call| std::future::ready(redirects.answer(&call)));
    let bounds = Bounds::default();
    let api = tokio::task::spawn_local(rookpulley_api::serve(api, bounds, stopped, handler));
    server.spawn_tasks(proxies, peers);
    let on_seeds = |seeds: &[SocketAddrV4]| {
        server.step(|controller, now| controller.set_seeds(now, seeds));
    };
    let file = SettingsFile::new(settings_file);
    signals.wait(file, on_seeds).await;
    tracing::info!("shutting down: {}", server.summary());
    shutdown::close(node, stop, api).await;
    Ok(())
}

impl StatelessServer {
    fn new(node: &Node, control: SocketAddrV4) -> Result<Rc<Self>, RouterError> {
        let start = StatelessStart {
            address: SocketAddrV4::new(node.ip, node.internal_ports.0 + 1),
            zone: node.zone.clone(),
            seeds: node.seeds.clone(),
            first_start: node.first_start,
        };
        Ok(Rc::new(Self {
            controller: RefCell::new(StatelessController::new(start)),
            connections: RefCell::default(),
            started: Instant::now(),
            last_connection: Cell::new(0),
            proxy_port: node.internal_ports.0,
            control_port: control.port(),
            router: request_router()?,
            redirected: Cell::new(0),
            refused: Cell::new(0),
        }))
    }

    fn spawn_tasks(self: &Rc<Self>, for_proxies: TcpListener, for_peers: TcpListener) {
        tokio::task::spawn_local(self.clone().accept(for_proxies, Self::serve_client));
        tokio::task::spawn_local(self.clone().accept(for_peers, Self::serve_peer));
        tokio::task::spawn_local(self.clone().tick());
    }

    async fn tick(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for tick in 0u64.. {
            ticks.tick().await;
            self.step(StatelessController::tick);
            if tick.is_multiple_of(SUMMARY_TICKS) {
                tracing::info!("controller: {}", self.summary());
            }
        }
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    fn summary(&self) -> String {
        let summary = self.controller.borrow().summary(self.now_ms());
        let redirected = self.redirected.get();
        let refused = self.refused.get();
        format!("{summary}; calls redirected {redirected}, refused {refused}")
    }

    /// Passes an input to the controller, and applies the resulting effects.
    fn step<T>(self: &Rc<Self>, input: impl FnOnce(&mut StatelessController, f64) -> T) -> T {
        let (result, effects) = {
            let mut controller = self.controller.borrow_mut();
            let result = input(&mut controller, self.now_ms());
            (result, controller.take_effects())
        };
        for effect in effects {
            self.apply_effect(effect);
        }
        result
    }

    /// Applies one effect. A full outbox closes the connection; the state is sent again after a reconnect.
    fn apply_effect(self: &Rc<Self>, effect: StatelessEffect) {
        let mut connections = self.connections.borrow_mut();
        match effect {
            StatelessEffect::Connect(ip) => {
                tokio::task::spawn_local(self.clone().keep_connected(ip));
            }
            StatelessEffect::SendToController { to, message } => {
                let outbox = connections.controllers.get(&to);
                if outbox.is_some_and(|outbox| !outbox.send(&message)) {
                    connections.controllers.remove(&to);
                }
            }
            StatelessEffect::SendToClient { connection, frame } => {
                let outbox = connections.clients.get(&connection);
                if outbox.is_some_and(|outbox| !outbox.send_framed(frame)) {
                    connections.clients.remove(&connection);
                }
            }
            StatelessEffect::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Keeps a connection to a controller until the controller is forgotten.
    async fn keep_connected(self: Rc<Self>, ip: Ipv4Addr) {
        let to = SocketAddr::from((ip, self.proxy_port));
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            if let Ok(stream) = connection::connect(to, CONNECT_TIMEOUT).await {
                let connected = Instant::now();
                self.serve_controller(stream, ip).await;
                if connected.elapsed() > TICK {
                    backoff.reset();
                }
            }
            tokio::time::sleep(backoff.next_delay()).await;
            if self.step(|controller, now| controller.remove_stale(now, ip)) {
                return;
            }
        }
    }

    async fn serve_controller(self: &Rc<Self>, stream: TcpStream, ip: Ipv4Addr) {
        let on_open = |outbox| {
            self.connections.borrow_mut().controllers.insert(ip, outbox);
            self.step(|controller, now| controller.controller_connected(now, ip));
        };
        let on_message = |message: ControllerToProxy| {
            self.step(|controller, now| controller.handle_controller_message(now, ip, message));
        };
        let reason = connection::run(stream, Some(SILENCE_TIMEOUT), on_open, on_message).await;
        self.connections.borrow_mut().controllers.remove(&ip);
        self.step(|controller, _| controller.controller_disconnected(ip));
        tracing::info!("peers: the connection to {ip} {reason}");
    }

    async fn accept<F>(self: Rc<Self>, listener: TcpListener, serve: fn(Rc<Self>, TcpStream) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            connection::configure(&stream, connection::USER_TIMEOUT);
            tokio::task::spawn_local(serve(self.clone(), stream));
        }
    }

    /// Serves a proxy or another stateless controller.
    async fn serve_client(self: Rc<Self>, stream: TcpStream) {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let on_open = |outbox| {
            self.connections.borrow_mut().clients.insert(number, outbox);
        };
        let on_message = |message: ProxyToController| {
            let is_hello = matches!(
                message,
                ProxyToController::Hello(_) | ProxyToController::StatelessHello { .. }
            );
            if is_hello {
                self.step(|controller, _| controller.client_connected(number, &message));
            }
        };
        connection::run(stream, None, on_open, on_message).await;
        self.connections.borrow_mut().clients.remove(&number);
        self.step(|controller, _| controller.client_disconnected(number));
    }

    /// Serves a controller that has this address as a seed. Its hello makes this controller connect to it, after which it
    /// stops connecting here.
    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        // Nothing is sent on this connection, but dropping the outbox would close it.
        let mut _outbox = None;
        let on_open = |opened| _outbox = Some(opened);
        let on_message = |message: PeerMessage| {
            if let PeerMessage::Hello { from, .. } = message {
                self.step(|controller, now| controller.handle_peer_hello(now, from));
            }
        };
        connection::run(stream, Some(SILENCE_TIMEOUT), on_open, on_message).await;
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.router.lookup(&call.method, &call.path) {
            Match::NotFound => return not_found(),
            Match::WrongMethod => return method_not_allowed(),
            // Inspection shows a single controller, so the caller must choose one.
            Match::Found(ApiRequest::Inspect(_), _) => {
                let sentence = "this office has no disk and nothing to show; ask one that has";
                return Reply::error(404, sentence);
            }
            Match::Found(ApiRequest::Call(_), _) => {}
        }
        let to = self.controller.borrow().redirect(self.now_ms(), &call.path);
        match to {
            Some(to) => {
                self.redirected.set(self.redirected.get() + 1);
                redirect(to, self.control_port, call)
            }
            None => {
                self.refused.set(self.refused.get() + 1);
                let sentence =
                    "not now: this office has no disk and reaches none that has; nothing was done";
                Reply::error(503, sentence).with("Retry-After", RETRY_AFTER)
            }
        }
    }
}

#[cfg(test)]
mod tests;
