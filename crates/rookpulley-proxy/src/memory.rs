//! How much memory bodies may take that are held in whole.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// The memory for bodies that are held until they are complete.
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

    /// Memory for a response, given back when it is dropped. None: there is no more.
    pub fn reserve_for_response(&self, bytes: usize) -> Option<Reservation> {
        self.reserve(bytes, self.max)
    }

    /// The same for what a client sends. Clients that take their time can't take all the memory there is.
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

/// Memory that is taken. It goes along with bytes into whatever writes them, hence no plain cell.
pub struct Reservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Bytes that take no more memory than they need, until the last copy of them is gone.
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
