//! What a server grants its callers, and the memory that bodies may take together.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What a server grants: bytes, connections and times.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head_bytes: usize,
    /// Of one message, after a chunked body has been made plain.
    pub body_bytes: usize,
    /// Of the messages of all connections together.
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

/// The memory that is left for bodies on a whole server.
#[derive(Clone, Debug)]
pub struct BodyMemory(Rc<Cell<usize>>);

impl BodyMemory {
    pub fn new(bytes: usize) -> BodyMemory {
        BodyMemory(Rc::new(Cell::new(bytes)))
    }

    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            memory: self.clone(),
            taken: 0,
        }
    }
}

/// What one body has taken of the memory; it goes back when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    memory: BodyMemory,
    taken: usize,
}

impl MemoryShare {
    /// Takes for bytes that have come, not for those that are only announced: announcements alone fill no memory.
    pub fn take(&mut self, bytes: usize) -> bool {
        let Some(left) = self.memory.0.get().checked_sub(bytes) else {
            return false;
        };
        self.memory.0.set(left);
        self.taken += bytes;
        true
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() + self.taken);
    }
}
