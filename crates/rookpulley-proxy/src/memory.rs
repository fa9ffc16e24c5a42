//! Limits the memory used by buffered bodies.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// The memory budget for buffered bodies.
pub struct MemoryLimit {
    used: Arc<AtomicUsize>,
    max: usize,
}

impl MemoryLimit {
    pub fn new(max: usize) -> Self {
        Self {
            used: Arc::default(),
            max,
        }
    }

    /// Reserves memory for a response until the reservation is dropped. Returns `None` if not
    /// enough is left.
    pub fn reserve_for_response(&self, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes, self.max)
    }

    /// Reserves memory for a request body. Requests get at most half of the budget, so that slow
    /// clients cannot exhaust it.
    pub fn reserve_for_request(&self, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes, self.max / 2)
    }

    fn reserve(&self, bytes: usize, max: usize) -> Option<Reservation> {
        let used = self.used.load(Relaxed).checked_add(bytes)?;
        if used > max {
            return None;
        }
        self.used.store(used, Relaxed);
        Some(Reservation {
            used: self.used.clone(),
            bytes,
        })
    }
}

/// Reserved memory. Atomic, because it is released wherever the attached bytes are dropped.
pub struct Reservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Ties the reservation to `bytes`, shrunk to their length; it is released with the last clone.
    pub fn attach(mut self, bytes: Bytes) -> Bytes {
        let spare = self.bytes.saturating_sub(bytes.len());
        self.bytes -= spare;
        self.used.fetch_sub(spare, Relaxed);
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Relaxed);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
