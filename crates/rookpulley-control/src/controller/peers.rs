//! Connections to other controllers: discovery, handshake and messages.

use super::Controller;
use crate::effect::Effect;
use crate::peer_message::PeerMessage;
use rookpulley_chain::{Input, Member, View};
use rookpulley_protocol::encode_frame;
use rookpulley_registry::InstanceUpdate;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A peer not seen for this long is forgotten, unless it is a seed or an acceptor of the view.
const FORGET_PEER_AFTER_MS: f64 = 20_000.0;
const MAX_PEERS: usize = 64;
/// Query number of instance updates that need no reply.
const NO_QUERY: u64 = 0;

/// Another controller.
pub(super) struct Peer {
    /// Whether the outgoing connection is open.
    is_connected: bool,
    /// Identity of its disk, known after its hello.
    id: Option<u64>,
    seen_ms: f64,
}

impl Controller {
    /// Adds controllers at these addresses to the peers.
    pub fn discover_peers(&mut self, now: f64, controllers: &[SocketAddrV4]) {
        for controller in controllers {
            self.discover_peer(now, *controller.ip());
        }
    }

    pub(super) fn discover_peer(&mut self, now: f64, ip: Ipv4Addr) {
        let is_me = ip == *self.me.address.ip();
        let is_known = self.peers.contains_key(&ip) || self.is_stateless(ip);
        if is_me || is_known || self.peers.len() >= MAX_PEERS {
            return;
        }
        let peer = Peer {
            is_connected: false,
            id: None,
            seen_ms: now,
        };
        self.peers.insert(ip, peer);
        self.effects.push(Effect::Connect(ip));
    }

    /// Adds the acceptors of the newest view to the peers. A silent voter may return and be needed for the next view.
    pub(super) fn discover_acceptors(&mut self, now: f64) {
        let acceptors = self.chain.view().into_iter().flat_map(View::acceptors);
        let addresses: Vec<SocketAddrV4> = acceptors.map(|acceptor| acceptor.address).collect();
        self.discover_peers(now, &addresses);
    }

    /// Addresses of the connected controllers with a disk.
    pub(super) fn connected_peers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        let with_disk = connected.filter(|(ip, _)| !self.is_stateless(**ip));
        with_disk.map(|(ip, _)| *ip)
    }

    /// Addresses of the connected controllers and of this one.
    pub(super) fn known_controllers(&self) -> Vec<SocketAddrV4> {
        let port = self.me.address.port();
        let peers = self.connected_peers();
        let peers = peers.map(|ip| SocketAddrV4::new(ip, port));
        peers.chain([self.me.address]).collect()
    }

    pub(super) fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            from: self.me,
            controllers: self.known_controllers(),
        }
    }

    /// Handles an opened outgoing connection.
    pub fn peer_connected(&mut self, now: f64, ip: Ipv4Addr) {
        let updates = PeerMessage::InstanceUpdates {
            query: NO_QUERY,
            updates: self.registry.all_updates(now),
        };
        for message in [self.hello(), updates] {
            let frame = encode_frame(&message);
            self.effects.push(Effect::SendToPeer { to: ip, frame });
        }
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.is_connected = true;
            peer.seen_ms = now;
        }
        self.log(format!("peers: connected to {ip}"));
    }

    /// Handles a closed outgoing connection.
    pub fn peer_disconnected(&mut self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.is_connected = false;
        }
    }

    /// Whether the connection to this peer should be maintained.
    pub fn is_peer_wanted(&self, now: f64, ip: Ipv4Addr) -> bool {
        let is_acceptor = self.chain.view().is_some_and(|view| {
            let mut acceptors = view.acceptors();
            acceptors.any(|acceptor| *acceptor.address.ip() == ip)
        });
        let is_seed = self.seeds.iter().any(|seed| *seed.ip() == ip);
        let recently_seen = self
            .peers
            .get(&ip)
            .is_some_and(|peer| now - peer.seen_ms < FORGET_PEER_AFTER_MS);
        (is_acceptor || is_seed || recently_seen) && !self.is_stateless(ip)
    }

    /// Removes a peer whose connection is no longer maintained.
    pub fn forget_peer(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// Handles a message from another controller. `sender` is the identity from the hello on this connection.
    pub fn handle_peer_message(
        &mut self,
        now: f64,
        sender: &mut Option<u64>,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Hello { from, controllers } => {
                *sender = Some(from.id);
                self.handle_hello(now, from, &controllers);
            }
            PeerMessage::Chain(message) => {
                if let Some(from) = *sender {
                    self.check_disk(now);
                    self.step_chain(now, Input::Received { from, message });
                }
            }
            PeerMessage::InstanceUpdates { query, updates } => {
                self.handle_updates(now, *sender, query, &updates);
            }
            PeerMessage::UpdatesStored { query } => {
                if let Some(from) = *sender {
                    self.handle_updates_stored(now, from, query);
                }
            }
        }
    }

    fn handle_hello(&mut self, now: f64, from: Member, controllers: &[SocketAddrV4]) {
        let ip = *from.address.ip();
        // Only controllers with a disk send this hello, so the peer is no longer stateless.
        self.stateless.retain(|_, stateless| *stateless != ip);
        self.discover_peer(now, ip);
        self.discover_peers(now, controllers);
        for peer in self.peers.values_mut() {
            peer.id.take_if(|id| *id == from.id);
        }
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.id = Some(from.id);
            peer.seen_ms = now;
            self.effects.push(Effect::PeerIsAlive(ip));
        }
        self.step_chain(now, Input::PeerDiscovered { member: from });
    }

    /// Handles the end of an accepted connection from a controller.
    pub fn peer_session_ended(&mut self, now: f64, id: u64) {
        self.step_chain(now, Input::Disconnected { id });
    }

    pub(super) fn send_to_peer(&mut self, id: u64, message: &PeerMessage) {
        let mut peers = self.peers.iter();
        let peer = peers.find(|(_, peer)| peer.id == Some(id) && peer.is_connected);
        if let Some((&to, _)) = peer {
            let frame = encode_frame(message);
            self.effects.push(Effect::SendToPeer { to, frame });
        }
    }

    pub(super) fn send_to_all_peers(&mut self, message: &PeerMessage) {
        if matches!(message, PeerMessage::InstanceUpdates { .. }) {
            self.counters.updates_sent += 1;
        }
        let bytes = encode_frame(message);
        let peers: Vec<Ipv4Addr> = self.connected_peers().collect();
        for to in peers {
            let frame = bytes.clone();
            self.effects.push(Effect::SendToPeer { to, frame });
        }
    }

    /// Broadcasts instance updates to the other controllers without requesting a reply.
    pub(super) fn send_updates(&mut self, updates: Vec<InstanceUpdate>) {
        self.send_to_all_peers(&PeerMessage::InstanceUpdates {
            query: NO_QUERY,
            updates,
        });
    }
}
