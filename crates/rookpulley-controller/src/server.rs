//! A controller on sockets, disk and clock: what comes in goes to `rookpulley_control::Controller`, and what that wants
//! is carried out.

use crate::metrics::Metrics;
use rookpulley_chain::Member;
use rookpulley_control::{
    Bootstrap, Controller, ControllerStart, Effect, Operation, PeerMessage, Reply, Rows,
};
use rookpulley_protocol::ProxyToController;
use rookpulley_runtime::connection::Outbox;
use rookpulley_settings::Node;
use rookpulley_store::{Store, StoreEvent, StoreTree};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, mpsc, oneshot};

/// The connection to another controller.
#[derive(Default)]
struct PeerConnection {
    /// Notified when the controller has sent something: no reason to wait before connecting again.
    is_alive: Rc<Notify>,
    /// None: there is no connection now.
    outbox: Option<Outbox>,
}

/// What effects are carried out on.
struct Connections {
    store: Store,
    peers: BTreeMap<Ipv4Addr, PeerConnection>,
    /// Controllers that became known and have no connection yet.
    to_connect: Vec<Ipv4Addr>,
    /// Of proxies and of controllers without a disk, by their numbers.
    clients: BTreeMap<u64, Outbox>,
    /// Calls that wait for their answers, by their numbers.
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
}

/// Why the store can't be used any more.
#[derive(Debug, PartialEq)]
pub enum StoreFailure {
    /// A write failed; why.
    Write(String),
    /// It differs from what all others hold, and was discarded.
    Discarded,
}

/// Who has made a connection, and its number.
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
    /// Notified when controllers became known that have no connection yet.
    pub connect: Notify,
    pub metrics: Metrics,
    failure: RefCell<Option<StoreFailure>>,
    failed: Notify,
}

impl Server {
    /// `chain_rows`: what the store holds of the chain. `seed`: the incarnation.
    pub fn new(node: Node, mut store: Store, chain_rows: Rows, seed: u64) -> Rc<Self> {
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
            bootstrap: store.bootstrap.as_deref().and_then(Bootstrap::decode),
            chain_rows: (!store.is_new).then_some(chain_rows),
            instance_rows: std::mem::take(&mut store.instance_rows),
        };
        let connections = Connections {
            store,
            peers: BTreeMap::new(),
            to_connect: Vec::new(),
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
        };
        let server = Rc::new(Self {
            node,
            me,
            started: Instant::now(),
            controller: RefCell::new(Controller::new(start)),
            connections: RefCell::new(connections),
            connect: Notify::new(),
            metrics: Metrics::default(),
            failure: RefCell::default(),
            failed: Notify::new(),
        });
        // Carries out what the start wants.
        server.step(|_, _| ());
        server
    }

    /// Since the start, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Where other controllers listen for controllers.
    pub fn peer_port(&self) -> u16 {
        self.me.address.port()
    }

    /// A line for the log.
    pub fn summary(&self) -> String {
        self.inspect(Controller::summary)
    }

    /// Looks at the controller.
    pub fn inspect<T>(&self, look: impl FnOnce(&Controller) -> T) -> T {
        look(&self.controller.borrow())
    }

    /// Hands something to the controller, and carries out what it wants.
    fn step<T>(&self, input: impl FnOnce(&mut Controller, f64) -> T) -> T {
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

    fn carry_out(&self, effect: Effect) {
        let mut connections = self.connections.borrow_mut();
        match effect {
            Effect::Connect(ip) => {
                connections.peers.entry(ip).or_default();
                connections.to_connect.push(ip);
                self.connect.notify_one();
            }
            Effect::PeerIsAlive(ip) => {
                if let Some(peer) = connections.peers.get(&ip) {
                    peer.is_alive.notify_waiters();
                }
            }
            // Where too much waits the connection ends: on the next one all is told anew, and nothing is missed.
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
            // A store that has ended has said so: see `hear_store`.
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
                    // Its caller may have gone.
                    _ = call.send(reply);
                }
            }
            Effect::DiscardStore => self.discard_store(),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogError(line) => tracing::error!("{line}"),
        }
    }
}

/// Other controllers.
impl Server {
    pub fn discover_seeds(&self, seeds: &[SocketAddrV4]) {
        self.step(|controller, now| controller.discover_peers(now, seeds));
    }

    /// Controllers that became known and have no connection yet.
    pub fn take_to_connect(&self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.connections.borrow_mut().to_connect)
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

    /// Notified when the controller at this address has sent something.
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

    /// A message has come from another controller. `sender`: who said hello on this connection.
    pub fn handle_peer_message(&self, sender: &mut Option<u64>, message: PeerMessage) {
        self.step(|controller, now| controller.handle_peer_message(now, sender, message));
    }

    /// The connection on which a controller has sent is over.
    pub fn peer_session_ended(&self, id: u64) {
        self.step(|controller, now| controller.peer_session_ended(now, id));
    }
}

/// The store, and calls.
impl Server {
    /// The others hold something else: the store is discarded, and the next incarnation catches up from them.
    fn discard_store(&self) {
        let discarded = self.node.data.as_deref().map_or(Ok(()), Store::discard);
        tracing::error!("store: differs from all others; given up {discarded:?}");
        self.fail(match discarded {
            Ok(()) => StoreFailure::Discarded,
            Err(why) => StoreFailure::Write(why.to_string()),
        });
    }

    fn fail(&self, failure: StoreFailure) {
        self.failure.borrow_mut().get_or_insert(failure);
        self.failed.notify_one();
    }

    /// Returns once the store can't be used any more. Nothing is acknowledged on its behalf after that.
    pub async fn store_failure(&self) -> StoreFailure {
        loop {
            if let Some(failure) = self.failure.borrow_mut().take() {
                return failure;
            }
            self.failed.notified().await;
        }
    }

    /// The other members of the newest view that is known.
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

    /// Takes what the store says, for as long as it says anything.
    pub fn hear_store(self: &Rc<Self>, mut events: mpsc::UnboundedReceiver<StoreEvent>) {
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
            StoreEvent::Failed(why) => {
                self.fail(StoreFailure::Write(format!("a write failed ({why})")));
            }
        }
    }

    /// Has a call answered. None: the controller has dropped it.
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

/// Proxies, and controllers without a disk.
impl Server {
    /// Somebody has made a connection and says hello. None: the message is no hello.
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
                format!("the controller without a disk at {}", address.ip())
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

/// Time, and the end.
impl Server {
    /// To be called every 50 ms. `tick` counts the calls.
    pub fn tick(&self, tick: u64) {
        self.step(|controller, now| controller.tick(now, tick));
    }

    /// From now on others are to go on without this controller.
    pub fn begin_shutdown(&self) {
        self.step(|controller, _| controller.begin_shutdown());
    }

    /// Asks the others to go on without this controller. True: they do.
    pub fn leave_chain(&self) -> bool {
        self.step(Controller::leave_chain)
    }
}

/// Nobody waits for a call's answer any more, once dropped.
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
