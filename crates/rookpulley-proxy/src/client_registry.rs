//! Tracks all client connections and evicts idle ones when the limit is reached.

use crate::connection_monitor::ConnectionMonitor;
use rookpulley_routes::Limits;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections allowed above the limit while evicted ones are still closing.
const MAX_PENDING_EVICTIONS: usize = 64;

/// All client connections.
pub struct ClientRegistry {
    monitors: RefCell<BTreeMap<u64, Rc<ConnectionMonitor>>>,
    next_id: Cell<u64>,
    max_connections: usize,
}

/// A connection accepted by the registry.
pub struct Admitted {
    pub id: u64,
    pub monitor: Rc<ConnectionMonitor>,
}

impl ClientRegistry {
    pub fn new(max_connections: usize) -> Self {
        Self {
            monitors: RefCell::default(),
            next_id: Cell::new(0),
            max_connections,
        }
    }

    /// Notifies connections that are idle, slow to send a head, or blocked on writing beyond the
    /// limits.
    pub fn sweep(&self, limits: Limits, is_shutting_down: bool) {
        for monitor in self.monitors.borrow().values() {
            if monitor.close_reason(limits, is_shutting_down).is_some() {
                monitor.close.notify_one();
            }
        }
    }

    /// Has all connections read no further requests, and closes those without a request in progress.
    pub fn stop_reading_requests(&self) {
        for monitor in self.monitors.borrow().values() {
            monitor.stop_reading_requests();
            monitor.close.notify_one();
        }
    }

    /// Whether no connection has a request in progress.
    pub fn is_idle(&self) -> bool {
        let monitors = self.monitors.borrow();
        monitors.values().all(|monitor| monitor.is_idle())
    }

    /// Registers a connection. At the limit, evicts the connection that has been idle longest, or
    /// refuses the new one if there is none.
    pub fn admit(&self) -> Option<Admitted> {
        let count = self.monitors.borrow().len();
        if count >= self.max_connections {
            // The evicted connection closes asynchronously, so the limit may be exceeded briefly.
            let has_evicted = self.evict_idle();
            if !has_evicted || count >= self.max_connections + MAX_PENDING_EVICTIONS {
                return None;
            }
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let monitor = Rc::new(ConnectionMonitor::new());
        self.monitors.borrow_mut().insert(id, monitor.clone());
        Some(Admitted { id, monitor })
    }

    /// Removes a closed connection.
    pub fn remove(&self, id: u64) {
        self.monitors.borrow_mut().remove(&id);
    }

    /// Evicts the connection that has been idle longest. Returns false if none is idle.
    pub fn evict_idle(&self) -> bool {
        let monitors = self.monitors.borrow();
        let idle = monitors
            .values()
            .filter(|monitor| monitor.is_idle() && !monitor.is_evicted.get());
        let oldest = idle.min_by_key(|monitor| monitor.phase_started());
        if let Some(monitor) = oldest {
            monitor.is_evicted.set(true);
            monitor.close.notify_one();
        }
        oldest.is_some()
    }
}
