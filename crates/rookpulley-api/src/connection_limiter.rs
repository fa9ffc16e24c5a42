//! Tracks the connections of a server: their number, which are idle, and requests to close them.

use crate::bounds::{BodyMemory, Bounds};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The state that a connection shares with the limiter.
#[derive(Default)]
struct SlotState {
    /// The sequence number at which it became idle. None while a request is in progress.
    idle_since: Cell<Option<u64>>,
    close: Notify,
}

pub struct ConnectionLimiter {
    pub bounds: Bounds,
    pub memory: BodyMemory,
    stopping: Cell<bool>,
    last_sequence: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<SlotState>>>,
}

impl ConnectionLimiter {
    pub fn new(bounds: Bounds) -> ConnectionLimiter {
        ConnectionLimiter {
            bounds,
            memory: BodyMemory::new(bounds.bodies_bytes),
            stopping: Cell::new(false),
            last_sequence: Cell::new(0),
            slots: RefCell::default(),
        }
    }

    fn next_sequence(&self) -> u64 {
        self.last_sequence.set(self.last_sequence.get() + 1);
        self.last_sequence.get()
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Asks all connections to close after the request in progress.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.slots
            .borrow()
            .values()
            .for_each(|state| state.close.notify_one());
    }

    /// Asks the connection that has been idle longest to close; false if none is idle.
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

    /// Returns a slot for a new connection, and evicts an idle one at the limit. None: all are busy.
    pub fn admit(self: &Rc<ConnectionLimiter>) -> Option<ConnectionSlot> {
        if self.slots.borrow().len() >= self.bounds.connections && !self.evict_idle() {
            return None;
        }
        let (number, state) = (self.next_sequence(), Rc::new(SlotState::default()));
        self.slots.borrow_mut().insert(number, state.clone());
        Some(ConnectionSlot {
            limiter: self.clone(),
            number,
            state,
        })
    }
}

/// The slot of a connection, which is released on drop.
pub struct ConnectionSlot {
    pub limiter: Rc<ConnectionLimiter>,
    number: u64,
    state: Rc<SlotState>,
}

impl ConnectionSlot {
    pub fn set_idle(&self) {
        self.state
            .idle_since
            .set(Some(self.limiter.next_sequence()));
    }

    pub fn set_busy(&self) {
        self.state.idle_since.set(None);
    }

    /// Resolves this long after the server was stopped, or after the call of this function if that is later.
    pub async fn stopped_for(&self, time: Duration) {
        while !self.limiter.is_stopping() {
            self.close_requested().await;
        }
        tokio::time::sleep(time).await;
    }

    /// Resolves when the connection is asked to close.
    pub async fn close_requested(&self) {
        self.state.close.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.slots.borrow_mut().remove(&self.number);
    }
}
