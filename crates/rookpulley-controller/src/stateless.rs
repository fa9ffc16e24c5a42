//! The controller of a machine without a disk, on sockets and clock. It redirects calls, and keeps nothing.

use crate::api::{no_such_call, redirect, wrong_method};
use crate::incarnation::{Listeners, listen};
use crate::proxy_sessions::ACCEPT_RETRY;
use crate::request::{ApiRequest, request_tree};
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

/// A controller with a disk says something every 400 ms, another one every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before connecting again doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_secs(1);
/// How often the log says how it stands, in ticks.
const SUMMARY_TICKS: u64 = 10;
/// In seconds.
const RETRY_AFTER: &str = "0.2";

#[derive(Default)]
struct Connections {
    controllers: BTreeMap<Ipv4Addr, connection::Outbox>,
    /// Of proxies and other controllers without a disk, by their numbers.
    clients: BTreeMap<u64, connection::Outbox>,
}

struct StatelessServer {
    controller: RefCell<StatelessController>,
    connections: RefCell<Connections>,
    started: Instant,
    last_connection: Cell<u64>,
    /// Where controllers listen for proxies.
    proxy_port: u16,
    control_port: u16,
    tree: Router<ApiRequest>,
    /// Calls that were redirected, and those that nobody could take.
    redirected: Cell<u64>,
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
        "controller: {} begins, without a disk: calls are passed on",
        node.name
    );
    if node.seeds.iter().all(|seed| *seed.ip() == node.ip) {
        tracing::warn!(
            "controller: seedNodes names nobody else, so calls get 503 until a controller dials this one"
        );
    }
    let server = StatelessServer::new(node, control).into_diagnostic()?;
    let (stop, stopped) = watch::channel(false);
    let Listeners {
        api,
        proxies,
        peers,
    } = listeners;
    let calls = server.clone();
    let handler = Rc::new(move |call: Call| std::future::ready(calls.answer(&call)));
    let bounds = Bounds::default();
    let api = tokio::task::spawn_local(rookpulley_api::serve(api, bounds, stopped, handler));
    server.begin(proxies, peers);
    let take_seeds = |seeds: &[SocketAddrV4]| {
        server.step(|controller, now| controller.set_seeds(now, seeds));
    };
    let file = SettingsFile::new(settings_file);
    signals.wait(file, take_seeds).await;
    tracing::info!("ending: {}", server.summary());
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
            tree: request_tree()?,
            redirected: Cell::new(0),
            refused: Cell::new(0),
        }))
    }

    fn begin(self: &Rc<Self>, for_proxies: TcpListener, for_peers: TcpListener) {
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
        format!("{summary}; calls passed on {redirected}, refused {refused}")
    }

    /// Hands something to the controller, and carries out what it wants.
    fn step<T>(self: &Rc<Self>, input: impl FnOnce(&mut StatelessController, f64) -> T) -> T {
        let (result, effects) = {
            let mut controller = self.controller.borrow_mut();
            let result = input(&mut controller, self.now_ms());
            (result, controller.take_effects())
        };
        for effect in effects {
            self.carry_out(effect);
        }
        result
    }

    /// Where too much waits a connection ends, and all is told anew on the next one.
    fn carry_out(self: &Rc<Self>, effect: StatelessEffect) {
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

    /// Connects to one controller again and again for as long as somebody names it.
    async fn keep_connected(self: Rc<Self>, ip: Ipv4Addr) {
        let to = SocketAddr::from((ip, self.proxy_port));
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            if let Ok(stream) = connection::connect(to, CONNECT_TIMEOUT).await {
                let begun = Instant::now();
                self.serve_controller(stream, ip).await;
                if begun.elapsed() > TICK {
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
        let open = |outbox| {
            self.connections.borrow_mut().controllers.insert(ip, outbox);
            self.step(|controller, now| controller.controller_connected(now, ip));
        };
        let take = |message: ControllerToProxy| {
            self.step(|controller, now| controller.handle_controller_message(now, ip, message));
        };
        let why = connection::run(stream, Some(SILENCE_TIMEOUT), open, take).await;
        self.connections.borrow_mut().controllers.remove(&ip);
        self.step(|controller, _| controller.controller_disconnected(ip));
        tracing::info!("peers: the connection to {ip} {why}");
    }

    async fn accept<F>(self: Rc<Self>, listener: TcpListener, serve: fn(Rc<Self>, TcpStream) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            };
            connection::configure(&stream, connection::USER_TIMEOUT);
            tokio::task::spawn_local(serve(self.clone(), stream));
        }
    }

    /// A proxy, or another controller without a disk.
    async fn serve_client(self: Rc<Self>, stream: TcpStream) {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let open = |outbox| {
            self.connections.borrow_mut().clients.insert(number, outbox);
        };
        let take = |message: ProxyToController| {
            let is_hello = matches!(
                message,
                ProxyToController::Hello(_) | ProxyToController::StatelessHello { .. }
            );
            if is_hello {
                self.step(|controller, _| controller.client_connected(number, &message));
            }
        };
        connection::run(stream, None, open, take).await;
        self.connections.borrow_mut().clients.remove(&number);
        self.step(|controller, _| controller.client_disconnected(number));
    }

    /// A controller that has this address as a seed. It is connected to in turn, and stops to connect here.
    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        // Nothing is sent on this connection, but it ends with its outbox.
        let mut _outbox = None;
        let open = |opened| _outbox = Some(opened);
        let take = |message: PeerMessage| {
            if let PeerMessage::Hello { from, .. } = message {
                self.step(|controller, now| controller.handle_peer_hello(now, from));
            }
        };
        connection::run(stream, Some(SILENCE_TIMEOUT), open, take).await;
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.tree.lookup(&call.method, &call.path) {
            Match::NotFound => return no_such_call(),
            Match::WrongMethod => return wrong_method(),
            // What could be looked at is of one controller alone: whoever asks is to know of which.
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
