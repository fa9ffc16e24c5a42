//! Notes between assigners: datagrams, late or not at all.

use crate::config::PeerAddresses;
use crate::driver::{Context, Event};
use crate::log_event;
use std::rc::Rc;
use tokio::net::UdpSocket;

pub const MAX_DATAGRAM: usize = 256;

pub struct PeerSocket {
    pub socket: UdpSocket,
    pub addresses: PeerAddresses,
    pub own_index: u16,
}

impl PeerSocket {
    /// Never waits: what can't go now is lost, as notes may be.
    pub fn send(&self, to: Option<u16>, bytes: &[u8], ctx: &Context) {
        let address = match to {
            None => Some(&self.addresses.broadcast),
            Some(peer) => self.addresses.peers.get(usize::from(peer)),
        };
        let Some(address) = address.filter(|_| bytes.len() <= MAX_DATAGRAM) else {
            ctx.counters.inc("notes not sendable");
            log_event!(
                ctx.log,
                "note",
                "{} bytes to {to:?} can't be sent",
                bytes.len()
            );
            return;
        };
        let sent = self.socket.try_send_to(bytes, *address).is_ok();
        ctx.counters
            .inc(if sent { "out notes" } else { "notes lost here" });
    }

    /// Takes notes in, from the peers' addresses only.
    pub async fn receive(self: Rc<Self>, ctx: Rc<Context>) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            // An error here tells of an earlier note that nobody took.
            let Ok((size, from)) = self.socket.recv_from(&mut bytes).await else {
                continue;
            };
            let sender = self
                .addresses
                .peers
                .iter()
                .position(|address| *address == from)
                .map(|index| index as u16);
            match sender.filter(|index| *index != self.own_index && size <= MAX_DATAGRAM) {
                Some(from) => {
                    ctx.counters.inc("in notes");
                    ctx.send(Event::Peer {
                        from,
                        bytes: bytes[..size].to_vec(),
                    })
                    .await;
                }
                None => ctx.counters.inc("notes refused"),
            }
        }
    }
}
