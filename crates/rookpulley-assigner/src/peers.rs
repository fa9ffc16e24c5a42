//! Notes between assigners: datagrams, late or not at all.

use crate::config::PeerPlaces;
use crate::driver::{Event, Front};
use crate::say;
use std::rc::Rc;
use tokio::net::UdpSocket;

pub const NOTE_MOST: usize = 256;

pub struct Peers {
    pub socket: UdpSocket,
    pub places: PeerPlaces,
    pub own: u16,
}

impl Peers {
    /// Never waits: what can't go now is lost, as notes may be.
    pub fn send(&self, to: Option<u16>, bytes: &[u8], front: &Front) {
        let place = match to {
            None => Some(&self.places.all),
            Some(peer) => self.places.each.get(usize::from(peer)),
        };
        let Some(place) = place.filter(|_| bytes.len() <= NOTE_MOST) else {
            front.counters.one("notes not sendable");
            say!(
                front.log,
                "note",
                "{} bytes to {to:?} can't be sent",
                bytes.len()
            );
            return;
        };
        let sent = self.socket.try_send_to(bytes, *place).is_ok();
        front
            .counters
            .one(if sent { "out notes" } else { "notes lost here" });
    }

    /// Takes notes in, from the peers' addresses only.
    pub async fn listen(self: Rc<Self>, front: Rc<Front>) {
        let mut bytes = [0; NOTE_MOST + 1];
        loop {
            // An error here tells of an earlier note that nobody took.
            let Ok((size, from)) = self.socket.recv_from(&mut bytes).await else {
                continue;
            };
            let sender = self
                .places
                .each
                .iter()
                .position(|place| *place == from)
                .map(|at| at as u16);
            match sender.filter(|at| *at != self.own && size <= NOTE_MOST) {
                Some(from) => {
                    front.counters.one("in notes");
                    front
                        .tell(Event::Note {
                            from,
                            bytes: bytes[..size].to_vec(),
                        })
                        .await;
                }
                None => front.counters.one("notes refused"),
            }
        }
    }
}
