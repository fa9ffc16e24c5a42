//! Limits of a server, and the memory that request bodies share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Limits of a server: sizes, number of connections and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head_bytes: usize,
    /// For one message, after chunked decoding.
    pub body_bytes: usize,
    /// For the bodies of all connections together.
    pub bodies_bytes: usize,
    pub connections: usize,
    pub head_time: Duration,
    pub body_time: Duration,
    pub idle_time: Duration,
    pub write_time: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            head_bytes: 16 << 10,
            body_bytes: 8 << 20,
            bodies_bytes: 32 << 20,
            connections: 256,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(30),
            write_time: Duration::from_secs(10),
        }
    }
}

/// The memory that remains for request bodies, shared by all connections of a server.
#[derive(Clone, Debug)]
pub struct BodyMemory(Rc<Cell<usize>>);

impl BodyMemory {
    pub fn new(bytes: usize) -> BodyMemory {
        BodyMemory(Rc::new(Cell::new(bytes)))
    }

    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            memory: self.clone(),
            reserved: 0,
        }
    }
}

/// The memory reserved for one body, which is released on drop.
#[derive(Debug)]
pub struct MemoryShare {
    memory: BodyMemory,
    reserved: usize,
}

impl MemoryShare {
    /// Reserves memory for received bytes; false when too little is left. An announced length reserves nothing.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let Some(remaining) = self.memory.0.get().checked_sub(bytes) else {
            return false;
        };
        self.memory.0.set(remaining);
        self.reserved += bytes;
        true
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() + self.reserved);
    }
}
