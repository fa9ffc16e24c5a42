//! The connections of one server: how many there are, which of them are idle, and the request that they close.

use crate::bounds::{BodyMemory, Bounds};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What one connection shares with the limiter.
#[derive(Default)]
struct SlotState {
    /// Since when it is idle, in the order in which connections became so. None while a call is at work.
    idle_since: Cell<Option<u64>>,
    close: Notify,
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

    fn next_turn(&self) -> u64 {
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
            .for_each(|state| state.close.notify_one());
    }

    /// Closes the connection that has been idle longest; false if all are at work.
    pub fn evict_idle(&self) -> bool {
        let slots = self.slots.borrow();
        let longest = slots
            .values()
            .filter(|state| state.idle_since.get().is_some())
            .min_by_key(|state| state.idle_since.get());
        if let Some(state) = longest {
            state.idle_since.set(None);
            state.close.notify_one();
        }
        longest.is_some()
    }

    /// A slot for a new connection, if need be that of the one that has been idle longest.
    pub fn admit(self: &Rc<ConnectionLimiter>) -> Option<ConnectionSlot> {
        if self.slots.borrow().len() >= self.bounds.connections && !self.evict_idle() {
            return None;
        }
        let (number, state) = (self.next_turn(), Rc::new(SlotState::default()));
        self.slots.borrow_mut().insert(number, state.clone());
        Some(ConnectionSlot {
            limiter: self.clone(),
            number,
            state,
        })
    }
}

/// A connection's slot. It is free again when this is dropped.
pub struct ConnectionSlot {
    pub limiter: Rc<ConnectionLimiter>,
    number: u64,
    state: Rc<SlotState>,
}

impl ConnectionSlot {
    pub fn set_idle(&self) {
        self.state.idle_since.set(Some(self.limiter.next_turn()));
    }

    pub fn set_busy(&self) {
        self.state.idle_since.set(None);
    }

    /// Ends when this connection is asked to close.
    pub async fn close_requested(&self) {
        self.state.close.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.slots.borrow_mut().remove(&self.number);
    }
}
