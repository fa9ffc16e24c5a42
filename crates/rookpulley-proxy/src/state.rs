//! What the parts of a proxy share. Nothing borrowed from here is held across a wait.

use crate::links::{self, Links};
use crate::listener::Clients;
use crate::wires::Wires;
use bytes::Bytes;
use rookpulley_proxy_core::{Effect, Satchel};
use rookpulley_routes::RouteTable;
use rookpulley_settings::Node;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use tokio::time::Instant;

/// Descriptors for controllers, listeners, the runtime, and those kept for files.
const KEPT_FILES: u64 = 400;

pub struct ProxyContext {
    pub node: Node,
    begun: Instant,
    satchel: RefCell<Satchel>,
    pub links: Links,
    pub wires: Wires,
    pub clients: Clients,
    /// Requests that were read and whose answers aren't written yet.
    pub at_work: Cell<usize>,
    /// Bytes of bodies that are held whole, and the most there may be.
    held: Arc<AtomicUsize>,
    held_most: usize,
    /// An answer up to this length is held until it is whole.
    pub hold_bytes: usize,
}

impl ProxyContext {
    pub fn new(node: Node) -> Rc<ProxyContext> {
        let seed = RandomState::new().hash_one(&node.name);
        let files = node.limits.open_files.saturating_sub(KEPT_FILES).max(100) as usize;
        let to_tasks = (files / 3).min(800);
        let hold_bytes = if node.limits.link_mbps >= 100.0 {
            1 << 20
        } else {
            16 << 10
        };
        let seeds = node.seeds.iter().map(|seed| *seed.ip()).collect();
        let further = (
            node.bounds.retry_budget_ratio,
            node.bounds.retry_budget_slack,
        );
        Rc::new(ProxyContext {
            begun: Instant::now(),
            satchel: RefCell::new(Satchel::new(&node.name, &node.zone, seeds, further, seed)),
            links: Links::default(),
            wires: Wires::new(&node.zone, to_tasks),
            clients: Clients::new(files - to_tasks),
            at_work: Cell::new(0),
            held: Arc::default(),
            held_most: (node.limits.memory_mb / 4.0 * 1e6) as usize,
            hold_bytes,
            node,
        })
    }

    pub fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    pub fn instant(&self, at_ms: f64) -> Instant {
        self.begun + std::time::Duration::from_secs_f64(at_ms.clamp(0.0, 1e12) / 1e3)
    }

    /// Something comes in, or is asked; what the satchel wants is carried out by the links.
    pub fn with<T>(self: &Rc<Self>, input: impl FnOnce(&mut Satchel, f64) -> T) -> T {
        let (came, effects) = {
            let mut satchel = self.satchel.borrow_mut();
            (input(&mut satchel, self.now_ms()), satchel.effects())
        };
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
        came
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Dial(controller) => links::dial(self, controller),
            Effect::Say(controller, up) => links::say(self, controller, &up),
            Effect::Forget(incarnation) => self.wires.forget(&incarnation),
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::Complain(line) => tracing::warn!("{line}"),
        }
    }

    /// The same where nothing can come of it.
    pub fn look<T>(&self, look: impl FnOnce(&Satchel) -> T) -> T {
        look(&self.satchel.borrow())
    }

    pub fn book(&self) -> Option<Rc<RouteTable>> {
        self.look(Satchel::book)
    }

    pub fn ready(&self) -> bool {
        self.look(Satchel::ready)
    }

    pub fn ending(&self) -> bool {
        self.look(|satchel| satchel.ending)
    }

    /// Room for so many bytes of an answer, given back when dropped.
    pub fn hold(&self, bytes: usize) -> Option<Held> {
        self.hold_within(bytes, self.held_most)
    }

    /// The same for what a client sends. Clients that take their time can't take all the room there is.
    pub fn hold_sent(&self, bytes: usize) -> Option<Held> {
        self.hold_within(bytes, self.held_most / 2)
    }

    fn hold_within(&self, bytes: usize, most: usize) -> Option<Held> {
        let held = self.held.load(Relaxed).checked_add(bytes)?;
        (held <= most).then(|| {
            self.held.store(held, Relaxed);
            Held {
                all: self.held.clone(),
                bytes,
            }
        })
    }
}

/// Room that is taken. It can go along with bytes into whatever writes them, hence no plain cell.
pub struct Held {
    all: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Bytes that keep no more room than they need, until the last copy of them is gone.
    pub fn around(mut self, bytes: Bytes) -> Bytes {
        let spare = self.bytes.saturating_sub(bytes.len());
        self.bytes -= spare;
        self.all.fetch_sub(spare, Relaxed);
        if bytes.is_empty() {
            bytes
        } else {
            Bytes::from_owner(Kept { bytes, _room: self })
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Relaxed);
    }
}

struct Kept {
    bytes: Bytes,
    _room: Held,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_given_back_with_the_last_copy_of_what_takes_it() {
        let node = Node::parse(
            "nodeName = \"one\"\nserves = []\nipAddress = \"127.0.0.1\"\nzone = \"east\"\nregion = \"r\"\n\
             internalPortRange = [1, 1]\nseedNodes = []\n[limits]\nmemoryMb = 4",
        );
        let proxy = ProxyContext::new(node.unwrap());
        let all = proxy.held_most;
        assert!(proxy.hold(all + 1).is_none() && proxy.hold_sent(all / 2 + 1).is_none());
        let bytes = proxy
            .hold(all)
            .map(|held| held.around(Bytes::from(vec![1; 10])));
        assert!(proxy.hold(all - 9).is_none());
        let part = bytes.as_ref().map(|bytes| bytes.slice(2..3));
        drop(bytes);
        assert!(proxy.hold(all - 9).is_none());
        drop(part);
        assert!(proxy.hold(all).is_some());
    }
}
