//! The lines to other controllers: who is known, dialed, heard and told.

use super::{Controller, Effect, FORGOTTEN_MS, Noted, PEERS_MOST, Peer};
use crate::word::Word;
use rookpulley_chain::Input;
use rookpulley_protocol::frame;
use std::net::{Ipv4Addr, SocketAddrV4};

impl Controller {
    pub fn meet_all(&mut self, now: f64, controllers: &[SocketAddrV4]) {
        controllers
            .iter()
            .for_each(|controller| self.meet(now, *controller.ip()));
    }

    pub(super) fn meet(&mut self, now: f64, ip: Ipv4Addr) {
        let (own, known) = (
            ip == *self.me.address.ip(),
            self.peers.contains_key(&ip) || self.is_stateless(ip),
        );
        if own || known || self.peers.len() >= PEERS_MOST {
            return;
        }
        self.peers.insert(
            ip,
            Peer {
                dialed: false,
                id: None,
                seen_ms: now,
            },
        );
        self.out.push(Effect::Dial(ip));
    }

    pub(super) fn reached(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(ip, p)| p.dialed && !self.is_stateless(**ip))
            .map(|(ip, _)| *ip)
    }

    pub(super) fn is_stateless(&self, ip: Ipv4Addr) -> bool {
        self.stateless_controllers
            .values()
            .any(|stateless| *stateless == ip)
    }

    pub(super) fn hello(&self) -> Word {
        let port = self.me.address.port();
        let controllers = self
            .reached()
            .map(|ip| SocketAddrV4::new(ip, port))
            .chain([self.me.address])
            .collect();
        Word::Hello {
            from: self.me,
            controllers,
        }
    }

    pub fn dialed(&mut self, now: f64, ip: Ipv4Addr) {
        let news = self.registry.all_news(now);
        for word in [self.hello(), Word::News { ask: 0, news }] {
            self.out.push(Effect::Word {
                to: ip,
                frame: frame(&word),
            });
        }
        if let Some(peer) = self.peers.get_mut(&ip) {
            (peer.dialed, peer.seen_ms) = (true, now);
        }
        self.log(format!("peers: reached {ip}"));
    }

    pub fn hung_up(&mut self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.dialed = false;
        }
    }

    pub fn still_known(&self, now: f64, ip: Ipv4Addr) -> bool {
        let named = self
            .chain
            .view()
            .is_some_and(|v| v.members.iter().any(|m| *m.address.ip() == ip));
        let seed = self.seeds.iter().any(|s| *s.ip() == ip);
        let lately = self
            .peers
            .get(&ip)
            .is_some_and(|p| now - p.seen_ms < FORGOTTEN_MS);
        (named || seed || lately) && !self.is_stateless(ip)
    }

    pub fn forget(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// A word from another controller; `who` is who said hello on this line.
    pub fn word(&mut self, now: f64, who: &mut Option<u64>, word: Word) {
        match word {
            Word::Hello { from, controllers } => {
                *who = Some(from.id);
                let ip = *from.address.ip();
                // It has got a disk since.
                self.stateless_controllers
                    .retain(|_, stateless| *stateless != ip);
                self.meet(now, ip);
                controllers.iter().for_each(|o| self.meet(now, *o.ip()));
                self.peers
                    .values_mut()
                    .filter(|p| p.id == Some(from.id))
                    .for_each(|p| p.id = None);
                if let Some(peer) = self.peers.get_mut(&ip) {
                    (peer.id, peer.seen_ms) = (Some(from.id), now);
                    self.out.push(Effect::Spoke(ip));
                }
                self.step(now, Input::PeerDiscovered { member: from });
            }
            Word::Chain(message) => {
                if let Some(from) = *who {
                    self.watch_disk(now);
                    self.step(now, Input::Received { from, message });
                }
            }
            Word::News { ask, news } => {
                self.tally.news_heard += news.len() as u64;
                for item in &news {
                    let sorted = self.registry.take_news(now, item);
                    self.sorted(now, sorted);
                }
                if ask > 0
                    && let Some(from) = *who
                {
                    self.note(Vec::new(), Some(Noted::Tell { to: from, ask }));
                }
            }
            Word::Took { ask } => {
                if who.is_some_and(|from| self.drains.took(ask, from))
                    && let Some(confirm) = self.confirms.get_mut(&ask)
                {
                    confirm.told = true;
                    self.confirmed(now, ask);
                }
            }
        }
    }

    /// The line on which a controller spoke is over.
    pub fn line_ended(&mut self, now: f64, id: u64) {
        self.step(now, Input::Disconnected { id });
    }

    pub(super) fn send_to(&mut self, id: u64, word: &Word) {
        let line = self
            .peers
            .iter()
            .find(|(_, p)| p.id == Some(id) && p.dialed);
        if let Some((&to, _)) = line {
            self.out.push(Effect::Word {
                to,
                frame: frame(word),
            });
        }
    }

    pub(super) fn send_all(&mut self, word: &Word) {
        if matches!(word, Word::News { .. }) {
            self.tally.news_told += 1;
        }
        let bytes = frame(word);
        let to: Vec<Ipv4Addr> = self.reached().collect();
        self.out.extend(to.into_iter().map(|to| Effect::Word {
            to,
            frame: bytes.clone(),
        }));
    }
}
