//! The connections to other controllers: who is known, connected, heard and told.

use super::Controller;
use crate::effect::Effect;
use crate::peer_message::PeerMessage;
use rookpulley_chain::{Input, Member};
use rookpulley_protocol::encode_frame;
use rookpulley_registry::InstanceUpdate;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A controller that was not reached for so long, and that no view names, is forgotten.
const FORGET_MS: f64 = 20_000.0;
const MAX_PEERS: usize = 64;
/// Instance updates that need no answer are sent under this number.
const NO_QUERY: u64 = 0;

/// Another controller.
pub(super) struct Peer {
    /// The connection to it is open.
    is_connected: bool,
    /// The identity of its disk, once it has said it.
    id: Option<u64>,
    seen_ms: f64,
}

impl Controller {
    /// Controllers are named at these addresses.
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

    /// The controllers with a disk that a connection is open to.
    pub(super) fn connected_peers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let connected = self.peers.iter().filter(|(_, peer)| peer.is_connected);
        let with_disk = connected.filter(|(ip, _)| !self.is_stateless(**ip));
        with_disk.map(|(ip, _)| *ip)
    }

    /// The addresses of the connected controllers, and our own.
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

    /// The connection to a controller is open.
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
        self.log(format!("peers: reached {ip}"));
    }

    /// The connection to a controller is over.
    pub fn peer_disconnected(&mut self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.is_connected = false;
        }
    }

    /// Whether a connection to this controller is still wanted.
    pub fn is_peer_wanted(&self, now: f64, ip: Ipv4Addr) -> bool {
        let is_member = self.chain.view().is_some_and(|view| {
            let mut members = view.members.iter();
            members.any(|member| *member.address.ip() == ip)
        });
        let is_seed = self.seeds.iter().any(|seed| *seed.ip() == ip);
        let was_seen = self
            .peers
            .get(&ip)
            .is_some_and(|peer| now - peer.seen_ms < FORGET_MS);
        (is_member || is_seed || was_seen) && !self.is_stateless(ip)
    }

    /// No connection to this controller is wanted any more.
    pub fn forget_peer(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// A message has come from another controller. `sender`: who said hello on this connection.
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
        // It has got a disk since.
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

    /// The connection on which a controller has sent is over.
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

    /// Tells all other controllers of instances, without asking for an answer.
    pub(super) fn send_updates(&mut self, updates: Vec<InstanceUpdate>) {
        self.send_to_all_peers(&PeerMessage::InstanceUpdates {
            query: NO_QUERY,
            updates,
        });
    }
}
