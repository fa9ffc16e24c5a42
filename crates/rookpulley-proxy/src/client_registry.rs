//! All connections of clients, and which of them make room for others.

use crate::connection_monitor::ConnectionMonitor;
use rookpulley_routes::Limits;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections beyond the bound, for as long as those that make room take to close.
const MAX_EXCESS: usize = 64;

/// All connections of clients.
pub struct ClientRegistry {
    monitors: RefCell<BTreeMap<u64, Rc<ConnectionMonitor>>>,
    next_number: Cell<u64>,
    max_connections: usize,
}

/// A connection that was admitted.
pub struct Admitted {
    pub number: u64,
    pub monitor: Rc<ConnectionMonitor>,
}

impl ClientRegistry {
    pub fn new(max_connections: usize) -> Self {
        Self {
            monitors: RefCell::default(),
            next_number: Cell::new(0),
            max_connections,
        }
    }

    /// Has connections closed that are idle, take too long over a head, or don't take their answer.
    pub fn sweep(&self, limits: Limits, is_ending: bool) {
        for monitor in self.monitors.borrow().values() {
            if monitor.close_reason(limits, is_ending).is_some() {
                monitor.close.notify_one();
            }
        }
    }

    /// Nothing of any request is here.
    pub fn is_idle(&self) -> bool {
        let monitors = self.monitors.borrow();
        monitors.values().all(|monitor| monitor.is_idle())
    }

    /// Takes a connection. Where there are too many, the one that has been idle longest makes room.
    pub fn admit(&self) -> Option<Admitted> {
        let count = self.monitors.borrow().len();
        if count >= self.max_connections {
            // It is gone a moment later; until then few more than the bound are here.
            let is_room_made = self.make_room();
            if !is_room_made || count >= self.max_connections + MAX_EXCESS {
                return None;
            }
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let monitor = Rc::new(ConnectionMonitor::new());
        self.monitors.borrow_mut().insert(number, monitor.clone());
        Some(Admitted { number, monitor })
    }

    /// A connection is over.
    pub fn remove(&self, number: u64) {
        self.monitors.borrow_mut().remove(&number);
    }

    /// Has one closed that is idle and isn't asked to close yet. False: there is none.
    pub fn make_room(&self) -> bool {
        let monitors = self.monitors.borrow();
        let idle = monitors
            .values()
            .filter(|monitor| monitor.is_idle() && !monitor.is_evicted.get());
        let oldest = idle.min_by_key(|monitor| monitor.changed());
        if let Some(monitor) = oldest {
            monitor.is_evicted.set(true);
            monitor.close.notify_one();
        }
        oldest.is_some()
    }
}
