//! Messages between assigners over UDP, without delivery guarantees.

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
    /// Sends without blocking; a datagram that cannot be sent now is dropped.
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
                "cannot send {} bytes to {to:?}",
                bytes.len()
            );
            return;
        };
        let sent = self.socket.try_send_to(bytes, *address).is_ok();
        ctx.counters
            .inc(if sent { "out notes" } else { "notes lost here" });
    }

    /// Receives datagrams and drops those that do not come from a peer's address.
    pub async fn receive(self: Rc<Self>, ctx: Rc<Context>) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            // The error reports an earlier datagram that could not be delivered.
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
