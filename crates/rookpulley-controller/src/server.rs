//! Connects `rookpulley_control::Controller` to sockets, the store and the clock: passes inputs to it and applies the
//! effects that it returns.

use crate::metrics::Metrics;
use crate::platform;
use rookpulley_chain::Member;
use rookpulley_control::{
    Bootstrap, Controller, ControllerStart, DutySettings, Effect, Operation, PeerMessage,
    PlatformCall, Reply, Rows, WindowLength,
};
use rookpulley_protocol::ProxyToController;
use rookpulley_runtime::connection::Outbox;
use rookpulley_runtime::unix_ms;
use rookpulley_settings::Node;
use rookpulley_store::{Store, StoreEvent, StoreTree};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, mpsc, oneshot};

/// The outgoing connection to another controller.
#[derive(Default)]
struct PeerConnection {
    /// Notified when the peer has sent a message, so that a pending reconnection is tried at once.
    is_alive: Rc<Notify>,
    /// None while disconnected.
    outbox: Option<Outbox>,
}

/// The store and the connections that effects are applied to.
struct Connections {
    store: Store,
    peers: BTreeMap<Ipv4Addr, PeerConnection>,
    /// Newly discovered peers to connect to.
    pending_connects: Vec<Ipv4Addr>,
    /// Connections of proxies and stateless controllers, by number.
    clients: BTreeMap<u64, Outbox>,
    /// Senders of the replies to pending calls, by token.
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Calls to the platform that are to be made.
    platform_calls: mpsc::UnboundedSender<PlatformCall>,
}

/// Why the store became unusable.
#[derive(Debug, PartialEq)]
pub enum StoreFailure {
    /// A write failed with this error.
    Write(String),
    /// Its content diverged from all other controllers, and it was discarded.
    Discarded,
}

/// The name of a connected client, and the number of its connection.
pub struct ClientSession {
    pub name: String,
    pub connection: u64,
}

/// One incarnation of a controller.
pub struct Server {
    pub node: Node,
    me: Member,
    started: Instant,
    controller: RefCell<Controller>,
    connections: RefCell<Connections>,
    /// Notified when there are newly discovered peers to connect to.
    pub connect: Notify,
    pub metrics: Metrics,
    /// Whether the store has become unusable.
    has_failed: Cell<bool>,
    failure: RefCell<Option<StoreFailure>>,
    failed: Notify,
}

impl Server {
    /// `chain_rows` are the chain's rows in the store; `seed` is the number of the incarnation.
    ///
    /// Calls to the platform are sent to `platform_calls`.
    pub fn new(
        node: Node,
        mut store: Store,
        chain_rows: Rows,
        seed: u64,
        platform_calls: mpsc::UnboundedSender<PlatformCall>,
    ) -> Rc<Self> {
        let me = Member {
            id: store.identity,
            incarnation: seed,
            address: SocketAddrV4::new(node.ip, node.internal_ports.0 + 1),
        };
        let start = ControllerStart {
            me,
            seeds: node.seeds.clone(),
            tolerated_losses: node.tolerance.machine_losses,
            heartbeat_ms: node.heartbeat_ms,
            drain_ms: node.bounds.drain_ms,
            zone: node.zone.clone(),
            origin_unix_ms: unix_ms(),
            usage_duty: usage_duty(&node),
            usage_window: usage_window(&node),
            bootstrap: store.bootstrap.as_deref().and_then(Bootstrap::decode),
            chain_rows: (!store.is_new).then_some(chain_rows),
            instance_rows: std::mem::take(&mut store.instance_rows),
        };
        let connections = Connections {
            store,
            peers: BTreeMap::new(),
            pending_connects: Vec::new(),
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            platform_calls,
        };
        let server = Rc::new(Self {
            node,
            me,
            started: Instant::now(),
            controller: RefCell::new(Controller::new(start)),
            connections: RefCell::new(connections),
            connect: Notify::new(),
            metrics: Metrics::default(),
            has_failed: Cell::new(false),
            failure: RefCell::default(),
            failed: Notify::new(),
        });
        // Applies the effects of the start.
        server.step(|_, _| ());
        server
    }

    /// Milliseconds since the start of this incarnation.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// The port on which controllers listen for each other.
    pub fn peer_port(&self) -> u16 {
        self.me.address.port()
    }

    /// A one-line summary for the log.
    pub fn summary(&self) -> String {
        self.inspect(Controller::summary)
    }

    /// Reads from the controller.
    pub fn inspect<T>(&self, read: impl FnOnce(&Controller) -> T) -> T {
        read(&self.controller.borrow())
    }

    /// Passes an input to the controller, and applies the resulting effects.
    fn step<T>(&self, input: impl FnOnce(&mut Controller, f64) -> T) -> T {
        let (result, effects) = {
            let mut controller = self.controller.borrow_mut();
            let result = input(&mut controller, self.now_ms());
            (result, controller.take_effects())
        };
        for effect in effects {
            // Nothing may be acknowledged once the store is unusable.
            if self.has_failed.get() {
                break;
            }
            self.apply_effect(effect);
        }
        result
    }

    fn apply_effect(&self, effect: Effect) {
        let mut connections = self.connections.borrow_mut();
        match effect {
            Effect::Connect(ip) => {
                connections.peers.entry(ip).or_default();
                connections.pending_connects.push(ip);
                self.connect.notify_one();
            }
            Effect::PeerIsAlive(ip) => {
                if let Some(peer) = connections.peers.get(&ip) {
                    peer.is_alive.notify_waiters();
                }
            }
            // A full outbox closes the connection. The full state is sent again after a reconnect, so nothing is lost.
            Effect::SendToPeer { to, frame } => {
                if let Some(peer) = connections.peers.get_mut(&to) {
                    peer.outbox.take_if(|outbox| !outbox.send_framed(frame));
                }
            }
            Effect::SendToProxy { connection, frame } => {
                let outbox = connections.clients.get(&connection);
                if outbox.is_some_and(|outbox| !outbox.send_framed(frame)) {
                    connections.clients.remove(&connection);
                }
            }
            // A failed write is reported as a store event, see `process_store_events`.
            Effect::WriteChain { ticket, records } => {
                _ = connections.store.write(StoreTree::Chain, ticket, records);
            }
            Effect::WriteInstances { ticket, records } => {
                _ = connections
                    .store
                    .write(StoreTree::Instances, ticket, records);
            }
            Effect::Reply { token, reply } => {
                if let Some(call) = connections.calls.remove(&token) {
                    // The caller may have disconnected.
                    _ = call.send(reply);
                }
            }
            // The calls are made by `make_platform_calls`, which ends with the process.
            Effect::CallPlatform(call) => _ = connections.platform_calls.send(call),
            Effect::DiscardStore => self.discard_store(),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogError(line) => tracing::error!("{line}"),
        }
    }
}

/// Length of the windows that usage is reported for, if it is.
fn usage_window(node: &Node) -> Option<WindowLength> {
    node.usage_window_s().and_then(WindowLength::from_seconds)
}

/// The duty of reporting usage, if the deployment has it.
fn usage_duty(node: &Node) -> Option<DutySettings> {
    let cloud = node.cloud.as_ref()?;
    let bounds = &node.bounds;
    Some(DutySettings {
        holder: node.name.clone(),
        lease_ms: bounds.lease_ms as f64,
        thaw_slack_ms: bounds.thaw_slack_ms as f64,
        window: usage_window(node)?,
        report_due_ms: bounds.usage_late_s * 1e3,
        calls_per_s: cloud.duties_per_s,
    })
}

/// Calls to the platform.
impl Server {
    /// Makes the calls to the platform, and passes their answers on.
    pub async fn make_platform_calls(
        self: Rc<Self>,
        mut calls: mpsc::UnboundedReceiver<PlatformCall>,
    ) {
        let Some(cloud) = &self.node.cloud else {
            return;
        };
        let address = cloud.address;
        while let Some(call) = calls.recv().await {
            tokio::task::spawn_local(self.clone().make_platform_call(address, call));
        }
    }

    async fn make_platform_call(self: Rc<Self>, address: SocketAddrV4, call: PlatformCall) {
        let (number, fence) = (call.number, call.fence);
        let may_send =
            || self.inspect(|controller| controller.may_call_platform(self.now_ms(), fence));
        let answer = platform::report_usage(address, call, may_send).await;
        let random = rand::random();
        self.step(|controller, now| controller.platform_answered(now, number, answer, random));
    }
}

/// Connections to other controllers.
impl Server {
    pub fn discover_seeds(&self, seeds: &[SocketAddrV4]) {
        self.step(|controller, now| controller.discover_peers(now, seeds));
    }

    /// Returns and clears the newly discovered peers to connect to.
    pub fn take_pending_connects(&self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.connections.borrow_mut().pending_connects)
    }

    pub fn peer_connected(&self, ip: Ipv4Addr, outbox: Outbox) {
        let mut connections = self.connections.borrow_mut();
        connections.peers.entry(ip).or_default().outbox = Some(outbox);
        drop(connections);
        self.step(|controller, now| controller.peer_connected(now, ip));
    }

    pub fn peer_disconnected(&self, ip: Ipv4Addr) {
        if let Some(peer) = self.connections.borrow_mut().peers.get_mut(&ip) {
            peer.outbox = None;
        }
        self.step(|controller, _| controller.peer_disconnected(ip));
    }

    /// Returns a handle that is notified when the controller at this address has sent a message.
    pub fn peer_is_alive(&self, ip: Ipv4Addr) -> Rc<Notify> {
        let connections = self.connections.borrow();
        let peer = connections.peers.get(&ip);
        peer.map_or_else(Rc::default, |peer| peer.is_alive.clone())
    }

    pub fn is_peer_wanted(&self, ip: Ipv4Addr) -> bool {
        self.inspect(|controller| controller.is_peer_wanted(self.now_ms(), ip))
    }

    pub fn forget_peer(&self, ip: Ipv4Addr) {
        self.connections.borrow_mut().peers.remove(&ip);
        self.step(|controller, _| controller.forget_peer(ip));
    }

    /// Handles a message of another controller. `sender` is the identity from the hello on this connection, if any.
    pub fn handle_peer_message(&self, sender: &mut Option<u64>, message: PeerMessage) {
        self.step(|controller, now| controller.handle_peer_message(now, sender, message));
    }

    /// The incoming connection of a controller was closed.
    pub fn peer_session_ended(&self, id: u64) {
        self.step(|controller, now| controller.peer_session_ended(now, id));
    }
}

/// Store events and API calls.
impl Server {
    /// Discards a store whose content diverged from the other controllers. The next incarnation catches up from them.
    fn discard_store(&self) {
        let discarded = self.node.data.as_deref().map_or(Ok(()), Store::discard);
        tracing::error!("store: diverged from all other controllers; discarding it: {discarded:?}");
        self.fail(match discarded {
            Ok(()) => StoreFailure::Discarded,
            Err(error) => StoreFailure::Write(error.to_string()),
        });
    }

    fn fail(&self, failure: StoreFailure) {
        self.has_failed.set(true);
        self.failure.borrow_mut().get_or_insert(failure);
        self.failed.notify_one();
    }

    /// Waits until the store becomes unusable. No write is acknowledged after that.
    pub async fn store_failure(&self) -> StoreFailure {
        loop {
            if let Some(failure) = self.failure.borrow_mut().take() {
                return failure;
            }
            self.failed.notified().await;
        }
    }

    /// The addresses of the other members of the newest known view.
    pub fn other_members(&self) -> Vec<SocketAddrV4> {
        self.inspect(|controller| {
            let members = controller
                .chain
                .view()
                .map_or(&[][..], |view| &view.members);
            let others = members.iter().filter(|member| member.id != self.me.id);
            others.map(|member| member.address).collect()
        })
    }

    /// Starts a task that handles the events of the store until the store is closed.
    pub fn process_store_events(self: &Rc<Self>, mut events: mpsc::UnboundedReceiver<StoreEvent>) {
        let server = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(event) = events.recv().await {
                server.handle_store_event(event);
            }
        });
    }

    fn handle_store_event(&self, event: StoreEvent) {
        match event {
            StoreEvent::Synced {
                chain,
                instances,
                took,
            } => {
                let took_ms = took.as_secs_f64() * 1e3;
                self.step(|controller, now| {
                    controller.handle_synced(now, chain, instances, took_ms);
                });
            }
            StoreEvent::Failed(error) => {
                self.fail(StoreFailure::Write(format!("a write failed ({error})")));
            }
        }
    }

    /// Ends the calls in progress without a reply of the controller.
    pub fn drop_calls(&self) {
        // Dropped after the borrow: the senders wake the calls.
        let calls = std::mem::take(&mut self.connections.borrow_mut().calls);
        drop(calls);
    }

    /// Executes a call and waits for the reply. Returns None if the controller dropped the call.
    pub async fn call(&self, operation: Operation) -> Option<Reply> {
        let (sender, reply) = oneshot::channel();
        let token = self.step(|controller, _| controller.next_number());
        self.connections.borrow_mut().calls.insert(token, sender);
        let _cancel = CancelOnDrop {
            server: self,
            token,
        };
        self.step(|controller, now| controller.handle_request(now, token, operation));
        reply.await.ok()
    }
}

/// Connections of proxies and stateless controllers.
impl Server {
    /// Registers a client by its hello. Returns None if the message is not a hello.
    pub fn client_connected(
        &self,
        hello: ProxyToController,
        outbox: Outbox,
    ) -> Option<ClientSession> {
        let connection = self.step(|controller, _| controller.next_number());
        let add_client = || {
            let mut connections = self.connections.borrow_mut();
            connections.clients.insert(connection, outbox);
        };
        let name = match hello {
            ProxyToController::Hello(hello) => {
                add_client();
                let name = hello.node.clone();
                self.step(|controller, now| controller.proxy_connected(now, connection, hello));
                name
            }
            ProxyToController::StatelessHello {
                address,
                controllers,
            } => {
                add_client();
                self.step(|controller, now| {
                    controller.stateless_connected(now, connection, address, &controllers);
                });
                format!("the stateless controller at {}", address.ip())
            }
            _ => return None,
        };
        Some(ClientSession { name, connection })
    }

    pub fn handle_client_message(&self, session: &ClientSession, message: ProxyToController) {
        let connection = session.connection;
        self.step(|controller, now| match message {
            ProxyToController::StatelessHello { .. } | ProxyToController::AppointFounder { .. } => {
                controller.handle_stateless_message(now, connection, &message);
            }
            message => controller.handle_proxy_message(now, &session.name, connection, message),
        });
    }

    pub fn client_disconnected(&self, session: &ClientSession) {
        let connection = session.connection;
        self.connections.borrow_mut().clients.remove(&connection);
        self.step(|controller, now| {
            controller.proxy_disconnected(now, &session.name, connection);
            controller.stateless_disconnected(now, connection);
        });
    }
}

/// Ticks and shutdown.
impl Server {
    /// Must be called every 50 ms. `tick` is the number of the call.
    pub fn tick(&self, tick: u64) {
        self.step(|controller, now| controller.tick(now, tick));
    }

    /// Prepares to leave the chain.
    pub fn begin_shutdown(&self) {
        self.step(Controller::begin_shutdown);
    }

    /// Asks the other members to remove this controller from the chain. Returns true once it is no longer part of it.
    pub fn leave_chain(&self) -> bool {
        self.step(Controller::leave_chain)
    }
}

/// Cancels a call when dropped, as its caller no longer waits for the reply.
struct CancelOnDrop<'a> {
    server: &'a Server,
    token: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let mut connections = self.server.connections.borrow_mut();
        connections.calls.remove(&self.token);
        self.server
            .controller
            .borrow_mut()
            .cancel_request(self.token);
    }
}

#[cfg(test)]
mod tests;
