//! The connections of one server: how many there are, which of them wait, and the word that tells them to leave.

use crate::bounds::{BodyMemory, Bounds};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What one connection shares with the limiter.
#[derive(Default)]
struct SlotState {
    /// When it began to wait, in the order in which connections do; none while a call is at work.
    waits: Cell<Option<u64>>,
    leave: Notify,
}

pub struct ConnectionLimiter {
    pub bounds: Bounds,
    pub memory: BodyMemory,
    stopping: Cell<bool>,
    last_turn: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<SlotState>>>,
}

impl ConnectionLimiter {
    pub fn new(bounds: Bounds) -> ConnectionLimiter {
        ConnectionLimiter {
            bounds,
            memory: BodyMemory::new(bounds.bodies_bytes),
            stopping: Cell::new(false),
            last_turn: Cell::new(0),
            slots: RefCell::default(),
        }
    }

    fn turn(&self) -> u64 {
        self.last_turn.set(self.last_turn.get() + 1);
        self.last_turn.get()
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Asks all to close once their call is answered.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.slots
            .borrow()
            .values()
            .for_each(|seat| seat.leave.notify_one());
    }

    /// Closes the connection that has been idle longest; false if all are at work.
    pub fn evict_idle(&self) -> bool {
        let slots = self.slots.borrow();
        let longest = slots
            .values()
            .filter(|seat| seat.waits.get().is_some())
            .min_by_key(|seat| seat.waits.get());
        if let Some(seat) = longest {
            seat.waits.set(None);
            seat.leave.notify_one();
        }
        longest.is_some()
    }

    /// A slot for a new connection, if need be that of the one that has waited longest.
    pub fn seat(self: &Rc<ConnectionLimiter>) -> Option<ConnectionSlot> {
        if self.slots.borrow().len() >= self.bounds.connections && !self.evict_idle() {
            return None;
        }
        let (number, seat) = (self.turn(), Rc::new(SlotState::default()));
        self.slots.borrow_mut().insert(number, seat.clone());
        Some(ConnectionSlot {
            limiter: self.clone(),
            number,
            seat,
        })
    }
}

/// A connection's place; it is free again when this is dropped.
pub struct ConnectionSlot {
    pub limiter: Rc<ConnectionLimiter>,
    number: u64,
    seat: Rc<SlotState>,
}

impl ConnectionSlot {
    pub fn waits(&self) {
        self.seat.waits.set(Some(self.limiter.turn()));
    }

    pub fn works(&self) {
        self.seat.waits.set(None);
    }

    /// Ends when this connection is asked to close.
    pub async fn close_requested(&self) {
        self.seat.leave.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.slots.borrow_mut().remove(&self.number);
    }
}
