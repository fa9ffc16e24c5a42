//! A controller without a disk.
//!
//! It stores nothing and is not part of the chain. It redirects each request to a controller that is in touch, and sends
//! the addresses of the controllers with a disk to proxies and other controllers.

use rookpulley_balancer::ControllerSelection;
use rookpulley_chain::Member;
use rookpulley_protocol::{ControllerToProxy, ProxyToController, encode_frame};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum age of a status with `in_touch`. Controllers send one every 400 ms.
const IN_TOUCH_MS: f64 = 1_100.0;
/// Maximum number of connections from proxies and other stateless controllers.
const MAX_CLIENTS: usize = 4_096;

/// Settings that a stateless controller starts with.
pub struct StatelessStart {
    /// This machine's address, with the port that controllers use among themselves.
    pub address: SocketAddrV4,
    /// The machine's zone.
    pub zone: String,
    /// Addresses of other controllers from the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the cluster starts for the first time.
    pub first_start: bool,
}

/// An action that a stateless controller requests from its caller.
#[derive(Debug)]
pub enum StatelessEffect {
    /// Maintain a connection to the proxy port of this controller until it is forgotten.
    Connect(Ipv4Addr),
    /// Send a message on the connection to a controller.
    SendToController {
        /// Its address.
        to: Ipv4Addr,
        /// The message.
        message: ProxyToController,
    },
    /// Send a frame on an accepted connection.
    SendToClient {
        /// The number of the connection.
        connection: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}

/// Properties reported by a controller with a disk.
struct ControllerInfo {
    zone: String,
    /// Its identity, if it is allowed to create the first view.
    founder: Option<u64>,
}

/// The controller that was appointed to create the first view.
#[derive(Clone, Copy)]
struct Founder {
    ip: Ipv4Addr,
    id: u64,
}

/// A controller without a disk.
pub struct StatelessController {
    start: StatelessStart,
    controllers: ControllerSelection,
    /// Connected controllers that have reported a disk.
    with_disk: BTreeMap<Ipv4Addr, ControllerInfo>,
    /// Numbers of the accepted connections.
    clients: BTreeSet<u64>,
    /// Seeds that are known to have no disk, including this machine.
    seeds_without_disk: BTreeSet<Ipv4Addr>,
    /// Whether a view is known to exist, so that no founder is appointed any more.
    has_view: bool,
    appointed: Option<Founder>,
    effects: Vec<StatelessEffect>,
}

impl StatelessController {
    /// Starts at time 0.
    pub fn new(start: StatelessStart) -> Self {
        let mut stateless = Self {
            controllers: ControllerSelection::default(),
            with_disk: BTreeMap::new(),
            clients: BTreeSet::new(),
            seeds_without_disk: BTreeSet::from([*start.address.ip()]),
            has_view: false,
            appointed: None,
            effects: Vec::new(),
            start,
        };
        stateless.tick(0.0);
        stateless
    }

    /// Returns the effects of all inputs since the last call.
    pub fn take_effects(&mut self) -> Vec<StatelessEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, now: f64, seeds: &[SocketAddrV4]) {
        self.start.seeds = seeds.to_vec();
        self.discover_seeds(now);
    }

    fn discover_seeds(&mut self, now: f64) {
        let seeds = self.start.seeds.clone();
        self.discover_all(now, &seeds);
    }

    fn discover_all(&mut self, now: f64, controllers: &[SocketAddrV4]) {
        for controller in controllers {
            self.discover(now, *controller.ip());
        }
    }

    fn discover(&mut self, now: f64, ip: Ipv4Addr) {
        let is_me = ip == *self.start.address.ip();
        if !is_me && self.controllers.discover(now, ip) {
            self.effects.push(StatelessEffect::Connect(ip));
        }
    }

    fn send(&mut self, to: Ipv4Addr, message: ProxyToController) {
        let effect = StatelessEffect::SendToController { to, message };
        self.effects.push(effect);
    }

    /// Handles an opened connection to a controller.
    pub fn controller_connected(&mut self, now: f64, ip: Ipv4Addr) {
        self.controllers.connected(now, ip);
        self.send_hello(ip);
    }

    fn send_hello(&mut self, to: Ipv4Addr) {
        let hello = ProxyToController::StatelessHello {
            address: self.start.address,
            controllers: self.known_controllers(),
        };
        self.send(to, hello);
    }

    /// Addresses of the connected controllers with a disk.
    fn known_controllers(&self) -> Vec<SocketAddrV4> {
        let port = self.start.address.port();
        let addresses = self.with_disk.keys();
        addresses.map(|ip| SocketAddrV4::new(*ip, port)).collect()
    }

    /// Handles a closed connection to a controller.
    pub fn controller_disconnected(&mut self, ip: Ipv4Addr) {
        self.controllers.disconnected(ip);
        self.with_disk.remove(&ip);
    }

    /// Removes a controller that has not been announced recently. Returns whether reconnecting is unnecessary.
    pub fn remove_stale(&mut self, now: f64, ip: Ipv4Addr) -> bool {
        self.controllers.remove_if_expired(now, ip)
    }

    /// Handles a message from a controller.
    pub fn handle_controller_message(
        &mut self,
        now: f64,
        from: Ipv4Addr,
        message: ControllerToProxy,
    ) {
        match message {
            ControllerToProxy::ControllerInfo {
                zone,
                founder,
                knows_view,
            } => {
                self.has_view |= knows_view;
                self.handle_controller_info(from, ControllerInfo { zone, founder });
            }
            ControllerToProxy::Status {
                in_touch,
                controllers,
                ..
            } => {
                self.has_view |= in_touch;
                self.controllers.handle_status(now, from, in_touch, 0, 0);
                self.discover_all(now, &controllers);
            }
            ControllerToProxy::Configuration { .. }
            | ControllerToProxy::Table { .. }
            | ControllerToProxy::InstancesGone { .. }
            | ControllerToProxy::ConfigurationVerified(_) => {}
        }
    }

    fn handle_controller_info(&mut self, from: Ipv4Addr, info: ControllerInfo) {
        let is_appointed =
            |appointed: &Founder| appointed.ip == from && info.founder == Some(appointed.id);
        if let Some(Founder { ip, id }) = self.appointed.filter(is_appointed) {
            self.send(ip, ProxyToController::AppointFounder { id });
        }
        let is_new = self.with_disk.insert(from, info).is_none();
        if is_new {
            // If this machine is a seed, it may be the only way for controllers to discover each other.
            let all: Vec<Ipv4Addr> = self.with_disk.keys().copied().collect();
            for ip in all {
                self.send_hello(ip);
            }
        }
    }

    /// Handles a hello from a controller that has this machine as a seed.
    pub fn handle_peer_hello(&mut self, now: f64, from: Member) {
        self.discover(now, *from.address.ip());
    }

    /// Handles the hello of a proxy or another stateless controller on an accepted connection.
    pub fn client_connected(&mut self, connection: u64, hello: &ProxyToController) {
        if self.clients.len() >= MAX_CLIENTS {
            return;
        }
        if let ProxyToController::StatelessHello { address, .. } = hello {
            let mut seeds = self.start.seeds.iter();
            if seeds.any(|seed| seed.ip() == address.ip()) {
                self.seeds_without_disk.insert(*address.ip());
            }
        }
        if self.clients.insert(connection) {
            let frame = encode_frame(&self.status_message());
            let effect = StatelessEffect::SendToClient { connection, frame };
            self.effects.push(effect);
        }
    }

    /// Handles the end of an accepted connection.
    pub fn client_disconnected(&mut self, connection: u64) {
        self.clients.remove(&connection);
    }

    /// Builds a status with `in_touch` unset, so that no proxy selects this controller as its primary.
    fn status_message(&self) -> ControllerToProxy {
        ControllerToProxy::Status {
            in_touch: false,
            configuration: 0,
            proxies: 0,
            controllers: self.known_controllers(),
        }
    }

    /// Selects the target of a redirect by rendezvous hashing among the controllers in touch, preferring those in this
    /// machine's zone. The hash includes this machine's address, so other machines may select a different target.
    pub fn redirect(&self, now: f64, request: &str) -> Option<Ipv4Addr> {
        let in_touch: Vec<Ipv4Addr> = self.in_touch(now).collect();
        let is_in_zone = |ip: &Ipv4Addr| {
            let info = self.with_disk.get(ip);
            info.is_some_and(|info| info.zone == self.start.zone)
        };
        let any_in_zone = in_touch.iter().any(is_in_zone);
        let rank = |ip: &Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (ip, self.start.address.ip(), request).hash(&mut hasher);
            hasher.finish()
        };
        let candidates = in_touch.into_iter();
        let candidates = candidates.filter(|ip| is_in_zone(ip) || !any_in_zone);
        candidates.max_by_key(rank)
    }

    fn in_touch(&self, now: f64) -> impl Iterator<Item = Ipv4Addr> {
        let in_touch = self.controllers.in_touch(now, IN_TOUCH_MS);
        in_touch.filter(|ip| self.with_disk.contains_key(ip))
    }

    /// Performs periodic work. Must be called every second.
    pub fn tick(&mut self, now: f64) {
        self.discover_seeds(now);
        self.appoint_founder();
        if self.clients.is_empty() {
            return;
        }
        let status = encode_frame(&self.status_message());
        for connection in &self.clients {
            self.effects.push(StatelessEffect::SendToClient {
                connection: *connection,
                frame: status.clone(),
            });
        }
    }

    /// Appoints the controller that creates the first view if this is the first seed and no seed has a disk. Done at
    /// most once per incarnation, and only in the incarnation of the first start.
    fn appoint_founder(&mut self) {
        let mut seeds = self.start.seeds.iter().map(|seed| seed.ip());
        let is_first_seed = seeds.clone().next() == Some(self.start.address.ip());
        let may_appoint = self.start.first_start && is_first_seed;
        let is_decided = self.has_view || self.appointed.is_some();
        if !may_appoint || is_decided || !seeds.all(|ip| self.seeds_without_disk.contains(ip)) {
            return;
        }
        let founder = self.with_disk.iter().find_map(|(ip, info)| {
            let id = info.founder?;
            Some(Founder { ip: *ip, id })
        });
        if let Some(Founder { ip, id }) = founder {
            self.appointed = founder;
            self.send(ip, ProxyToController::AppointFounder { id });
            let line = format!("bootstrap: no seed has a disk; appointed {ip} as founder");
            self.effects.push(StatelessEffect::Log(line));
        }
    }

    /// Summarizes the state in one line for the log.
    pub fn summary(&self, now: f64) -> String {
        let names: Vec<String> = self.in_touch(now).map(|ip| ip.to_string()).collect();
        let clients = self.clients.len();
        if names.is_empty() {
            format!("stateless; no redirect targets; connections {clients}")
        } else {
            let names = names.join(" ");
            format!("stateless; redirects to {names}; connections {clients}")
        }
    }
}

#[cfg(test)]
mod tests;
