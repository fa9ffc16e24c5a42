//! What the parts of a courier share. Nothing borrowed from here is held across a wait.

use crate::links::Links;
use crate::listener::Clients;
use crate::tally::Tally;
use crate::wires::Wires;
use bytes::Bytes;
use rookpulley_addressbook::Book;
use rookpulley_round::{Budget, Fleet, Post};
use rookpulley_settings::Node;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use tokio::time::Instant;

/// Descriptors for offices, listeners, the runtime, and those kept for files.
const KEPT_FILES: u64 = 400;

pub struct Courier {
    pub node: Node,
    begun: Instant,
    book: RefCell<Option<Rc<Book>>>,
    /// The bytes that it was read from: newer ones come as what differs.
    edition: RefCell<Vec<u8>>,
    pub post: RefCell<Post>,
    budgets: RefCell<HashMap<String, Budget>>,
    fleet: Cell<Fleet>,
    pub tally: RefCell<Tally>,
    pub links: Links,
    pub wires: Wires,
    pub clients: Clients,
    pub ending: Cell<bool>,
    /// Requests that were read and whose answers aren't written yet.
    pub at_work: Cell<usize>,
    /// Bytes of bodies that are held whole, and the most there may be.
    held: Arc<AtomicUsize>,
    held_most: usize,
    /// An answer up to this length is held until it is whole.
    pub hold_bytes: usize,
}

impl Courier {
    pub fn new(node: Node) -> Rc<Courier> {
        let seed = RandomState::new().hash_one(&node.name);
        let files = node.limits.open_files.saturating_sub(KEPT_FILES).max(100) as usize;
        let to_tasks = (files / 3).min(800);
        let hold_bytes = if node.limits.link_mbps >= 100.0 { 1 << 20 } else { 16 << 10 };
        Rc::new(Courier {
            begun: Instant::now(),
            book: RefCell::default(),
            edition: RefCell::default(),
            post: RefCell::new(Post::new(&node.zone, seed)),
            budgets: RefCell::default(),
            fleet: Cell::default(),
            tally: RefCell::default(),
            links: Links::new(&node),
            wires: Wires::new(&node.zone, to_tasks),
            clients: Clients::new(files - to_tasks),
            ending: Cell::new(false),
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

    pub fn book(&self) -> Option<Rc<Book>> {
        self.book.borrow().clone()
    }

    pub fn version(&self) -> u64 {
        self.book.borrow().as_ref().map_or(0, |book| book.version)
    }

    /// Within a life the version only rises: an older configuration that comes late changes nothing.
    pub fn take_book(&self, book: Book, edition: Vec<u8>) {
        if book.version > self.version() {
            *self.edition.borrow_mut() = edition;
            tracing::info!("courier: configuration {} is in force", book.version);
            *self.book.borrow_mut() = Some(Rc::new(book));
        }
    }

    pub fn with_edition<T>(&self, with: impl FnOnce(&[u8]) -> T) -> T {
        with(&self.edition.borrow())
    }

    pub fn ready(&self) -> bool {
        !self.ending.get() && self.book.borrow().is_some() && self.post.borrow().any()
    }

    pub fn fleet(&self) -> Fleet {
        self.fleet.get()
    }

    pub fn take_couriers(&self, heard: u32) {
        let mut fleet = self.fleet.get();
        if fleet.heard(self.now_ms(), heard) {
            self.budgets.borrow_mut().values_mut().for_each(|budget| budget.shared_by(fleet.couriers()));
        }
        self.fleet.set(fleet);
    }

    pub fn budget<T>(&self, service: &str, with: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return with(budget);
        }
        let bounds = &self.node.bounds;
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(bounds.retry_budget_ratio, bounds.retry_budget_slack));
        let couriers = self.fleet().couriers();
        if couriers > 0 {
            budget.shared_by(couriers);
        }
        with(budget)
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
            Held { all: self.held.clone(), bytes }
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
        if bytes.is_empty() { bytes } else { Bytes::from_owner(Kept { bytes, _room: self }) }
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
        let courier = Courier::new(node.unwrap());
        let all = courier.held_most;
        assert!(courier.hold(all + 1).is_none() && courier.hold_sent(all / 2 + 1).is_none());
        let bytes = courier.hold(all).map(|held| held.around(Bytes::from(vec![1; 10])));
        assert!(courier.hold(all - 9).is_none());
        let part = bytes.as_ref().map(|bytes| bytes.slice(2..3));
        drop(bytes);
        assert!(courier.hold(all - 9).is_none());
        drop(part);
        assert!(courier.hold(all).is_some());
    }
}
