//! A controller without a disk.
//!
//! It keeps nothing and decides nothing. It knows which controllers are in touch and redirects each call to one of them,
//! and it tells proxies and controllers that have its address of the others.

use rookpulley_balancer::ControllerSelection;
use rookpulley_chain::Member;
use rookpulley_protocol::{ControllerToProxy, ProxyToController, encode_frame};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A controller says every 400 ms that it is in touch. One that hasn't for so long may hang.
const IN_TOUCH_MS: f64 = 1_100.0;
/// Connections of proxies and of others without a disk.
const MAX_CLIENTS: usize = 4_096;

/// What a process starts with.
pub struct StatelessStart {
    /// Where controllers reach each other, with this machine's own address.
    pub address: SocketAddrV4,
    /// The machine's zone.
    pub zone: String,
    /// Other controllers, as the settings name them.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time.
    pub first_start: bool,
}

/// What is to be done.
#[derive(Debug)]
pub enum StatelessEffect {
    /// Keep a connection to where this controller listens for proxies, until it is forgotten.
    Connect(Ipv4Addr),
    /// Send a message to a controller, on that connection.
    SendToController {
        /// Its address.
        to: Ipv4Addr,
        /// The message.
        message: ProxyToController,
    },
    /// Send a frame to whoever made this connection.
    SendToClient {
        /// The number of the connection.
        connection: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}

/// What a controller with a disk said of itself.
struct ControllerInfo {
    zone: String,
    /// Its identity, where it may make the first view.
    founder: Option<u64>,
}

/// The controller that was appointed to make the first view.
#[derive(Clone, Copy)]
struct Appointed {
    ip: Ipv4Addr,
    id: u64,
}

/// A controller without a disk.
pub struct StatelessController {
    start: StatelessStart,
    controllers: ControllerSelection,
    /// Of those that a connection is open to. Who hasn't said so has no disk.
    with_disk: BTreeMap<Ipv4Addr, ControllerInfo>,
    /// The numbers of the connections that others made.
    clients: BTreeSet<u64>,
    /// Seeds that have said that they have no disk.
    without_disk: BTreeSet<Ipv4Addr>,
    /// A view was heard of: nobody is appointed any more.
    has_view: bool,
    appointed: Option<Appointed>,
    effects: Vec<StatelessEffect>,
}

impl StatelessController {
    /// Starts at the time 0.
    pub fn new(start: StatelessStart) -> Self {
        let mut stateless = Self {
            controllers: ControllerSelection::default(),
            with_disk: BTreeMap::new(),
            clients: BTreeSet::new(),
            without_disk: BTreeSet::from([*start.address.ip()]),
            has_view: false,
            appointed: None,
            effects: Vec::new(),
            start,
        };
        stateless.tick(0.0);
        stateless
    }

    /// What is to be done about all inputs since the last time.
    pub fn take_effects(&mut self) -> Vec<StatelessEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The settings name other seeds now.
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

    /// The connection to a controller is open.
    pub fn controller_connected(&mut self, now: f64, ip: Ipv4Addr) {
        self.controllers.connected(now, ip);
        self.introduce(ip);
    }

    fn introduce(&mut self, to: Ipv4Addr) {
        let hello = ProxyToController::StatelessHello {
            address: self.start.address,
            controllers: self.known_controllers(),
        };
        self.send(to, hello);
    }

    /// All controllers with a disk that a connection is open to.
    fn known_controllers(&self) -> Vec<SocketAddrV4> {
        let port = self.start.address.port();
        let addresses = self.with_disk.keys();
        addresses.map(|ip| SocketAddrV4::new(*ip, port)).collect()
    }

    /// The connection to a controller is over.
    pub fn controller_disconnected(&mut self, ip: Ipv4Addr) {
        self.controllers.disconnected(ip);
        self.with_disk.remove(&ip);
    }

    /// Whether nobody has named a controller for long: it need not be connected to again.
    pub fn is_forgotten(&mut self, now: f64, ip: Ipv4Addr) -> bool {
        self.controllers.remove_if_expired(now, ip)
    }

    /// A controller has sent a message.
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
                self.take_info(from, ControllerInfo { zone, founder });
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
            | ControllerToProxy::InstancesGone { .. } => {}
        }
    }

    fn take_info(&mut self, from: Ipv4Addr, info: ControllerInfo) {
        let is_appointed =
            |appointed: &Appointed| appointed.ip == from && info.founder == Some(appointed.id);
        if let Some(Appointed { ip, id }) = self.appointed.filter(is_appointed) {
            self.send(ip, ProxyToController::AppointFounder { id });
        }
        let is_new = self.with_disk.insert(from, info).is_none();
        if is_new {
            // Where this is a seed, controllers may know of each other by nobody else.
            let all: Vec<Ipv4Addr> = self.with_disk.keys().copied().collect();
            for ip in all {
                self.introduce(ip);
            }
        }
    }

    /// A controller that has this address as a seed says who it is.
    pub fn handle_peer_hello(&mut self, now: f64, from: Member) {
        self.discover(now, *from.address.ip());
    }

    /// A proxy, or another controller without a disk, says hello on a connection with this number.
    pub fn client_connected(&mut self, connection: u64, hello: &ProxyToController) {
        if self.clients.len() >= MAX_CLIENTS {
            return;
        }
        if let ProxyToController::StatelessHello { address, .. } = hello {
            let mut seeds = self.start.seeds.iter();
            if seeds.any(|seed| seed.ip() == address.ip()) {
                self.without_disk.insert(*address.ip());
            }
        }
        if self.clients.insert(connection) {
            let frame = encode_frame(&self.status_message());
            let effect = StatelessEffect::SendToClient { connection, frame };
            self.effects.push(effect);
        }
    }

    /// Its connection is over.
    pub fn client_disconnected(&mut self, connection: u64) {
        self.clients.remove(&connection);
    }

    /// Not in touch: no proxy takes it for its primary.
    fn status_message(&self) -> ControllerToProxy {
        ControllerToProxy::Status {
            in_touch: false,
            configuration: 0,
            proxies: 0,
            controllers: self.known_controllers(),
        }
    }

    /// The controller that a call is redirected to: one of the own zone where there is one in touch. The same call goes
    /// the same way for as long as that one is in touch, but from another machine maybe another.
    pub fn redirect(&self, now: f64, call: &str) -> Option<Ipv4Addr> {
        let in_touch: Vec<Ipv4Addr> = self.in_touch(now).collect();
        let is_near = |ip: &Ipv4Addr| {
            let info = self.with_disk.get(ip);
            info.is_some_and(|info| info.zone == self.start.zone)
        };
        let any_is_near = in_touch.iter().any(is_near);
        let rank = |ip: &Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (ip, self.start.address.ip(), call).hash(&mut hasher);
            hasher.finish()
        };
        let candidates = in_touch.into_iter();
        let candidates = candidates.filter(|ip| is_near(ip) || !any_is_near);
        candidates.max_by_key(rank)
    }

    fn in_touch(&self, now: f64) -> impl Iterator<Item = Ipv4Addr> {
        let in_touch = self.controllers.in_touch(now, IN_TOUCH_MS);
        in_touch.filter(|ip| self.with_disk.contains_key(ip))
    }

    /// Lets time pass: to be called every second.
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

    /// Where no seed has a disk, the first one appoints the controller that makes the first view: once in its incarnation,
    /// and only in the incarnation that was the first start.
    fn appoint_founder(&mut self) {
        let mut seeds = self.start.seeds.iter().map(|seed| seed.ip());
        let is_first_seed = seeds.clone().next() == Some(self.start.address.ip());
        let may_appoint = self.start.first_start && is_first_seed;
        let is_over = self.has_view || self.appointed.is_some();
        if !may_appoint || is_over || !seeds.all(|ip| self.without_disk.contains(ip)) {
            return;
        }
        let founder = self.with_disk.iter().find_map(|(ip, info)| {
            let id = info.founder?;
            Some(Appointed { ip: *ip, id })
        });
        if let Some(Appointed { ip, id }) = founder {
            self.appointed = founder;
            self.send(ip, ProxyToController::AppointFounder { id });
            let line = format!("founding: no seed has a disk; {ip} is named");
            self.effects.push(StatelessEffect::Log(line));
        }
    }

    /// A line for the log.
    pub fn summary(&self, now: f64) -> String {
        let names: Vec<String> = self.in_touch(now).map(|ip| ip.to_string()).collect();
        let clients = self.clients.len();
        if names.is_empty() {
            format!("no disk; nobody to pass calls on to; lines {clients}")
        } else {
            let names = names.join(" ");
            format!("no disk; passes calls on to {names}; lines {clients}")
        }
    }
}

#[cfg(test)]
mod tests;
