//! Locks with leases and fencing tokens, based on the replicated time.
//!
//! Requests may be duplicated, delayed or reordered, and a holder uses the same name for all its leases. Each new lease
//! gets a fencing token above all earlier ones of any lock, so a delayed renewal or release never matches a later lease.
//!
//! Re-acquiring a lock during a lease keeps its token, so a release that was sent before names the present lease. A holder
//! that dies without waiting for the answer to its release, and starts again, brings this about. Releases of a lease are
//! therefore refused for `Limits::release_guard_ms` after it was acquired again; a holder that is alive repeats its own.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits, end_of_lease};
use crate::requests::Answer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lease of a lock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lease {
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// When another holder can acquire the lock: the end of the lease plus the grace time.
    pub until_ms: u64,
    /// When the holder acquired the lock again during the lease, if a release may still be older. It has a place of its
    /// own in a snapshot.
    #[serde(skip)]
    pub reacquired_ms: Option<u64>,
}

impl Lease {
    /// Whether a release may have been sent before the holder acquired the lock again.
    fn release_may_be_stale(&self, now_ms: u64, limits: &Limits) -> bool {
        self.reacquired_ms
            .is_some_and(|at_ms| now_ms < at_ms.saturating_add(limits.release_guard_ms))
    }
}

/// All locks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Locks {
    /// Leases by lock name. An expired lease is kept for a while to allow a late renewal.
    leases: BTreeMap<String, Lease>,
    /// Last issued fencing token. It is kept when leases are removed.
    last_fence: u64,
    bytes: usize,
}

fn size_of(name: &str, holder: &str) -> usize {
    name.len() + holder.len() + ENTRY_OVERHEAD_BYTES
}

impl Locks {
    pub fn acquire(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        lease_ms: u64,
        available_bytes: usize,
        limits: &Limits,
    ) -> Answer {
        let until_ms = end_of_lease(now_ms, lease_ms, limits);
        let size_before = match self.leases.get_mut(name) {
            Some(lease) if now_ms < lease.until_ms && lease.holder == holder => {
                // The request may be a delayed duplicate: never shorten the lease.
                lease.until_ms = lease.until_ms.max(until_ms);
                lease.reacquired_ms = Some(now_ms);
                return Answer::Acquired(lease.fence);
            }
            Some(lease) if now_ms < lease.until_ms => return Answer::LockHeld,
            Some(lease) => size_of(name, &lease.holder),
            None => 0,
        };
        let is_new = size_before == 0;
        if is_new && self.leases.len() >= limits.names {
            self.remove_expired(now_ms, 0, limits);
        }
        let is_full = is_new && self.leases.len() >= limits.names;
        let size = size_of(name, holder);
        let is_exhausted = self.last_fence == u64::MAX;
        if is_full || is_exhausted || size.saturating_sub(size_before) > available_bytes {
            return Answer::CapacityExceeded;
        }
        self.last_fence += 1;
        self.bytes = self.bytes - size_before + size;
        let lease = Lease {
            holder: holder.to_owned(),
            fence: self.last_fence,
            until_ms,
            reacquired_ms: None,
        };
        self.leases.insert(name.to_owned(), lease);
        Answer::Acquired(self.last_fence)
    }

    /// Extends a lease. An expired lease can be renewed as long as nobody else has acquired the lock.
    pub fn renew(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        fence: u64,
        lease_ms: u64,
        limits: &Limits,
    ) -> Answer {
        match self.leases.get_mut(name) {
            Some(lease) if lease.holder == holder && lease.fence == fence => {
                let until_ms = end_of_lease(now_ms, lease_ms, limits);
                lease.until_ms = lease.until_ms.max(until_ms);
                Answer::Renewed
            }
            _ => Answer::LockHeld,
        }
    }

    /// Removes the lease, so that a delayed renewal cannot restore it, unless the release may be older than the holder's
    /// last acquisition.
    pub fn release(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        fence: u64,
        limits: &Limits,
    ) -> Answer {
        let is_named = |lease: &&Lease| lease.holder == holder && lease.fence == fence;
        let Some(lease) = self.leases.get(name).filter(is_named) else {
            return Answer::Released;
        };
        if lease.release_may_be_stale(now_ms, limits) {
            return Answer::ReleaseMayBeStale;
        }
        self.leases.remove(name);
        self.bytes -= size_of(name, holder);
        Answer::Released
    }

    /// Removes the leases that expired at least `retention_ms` ago, and what is no longer needed to judge releases.
    pub fn remove_expired(&mut self, now_ms: u64, retention_ms: u64, limits: &Limits) {
        let bytes = &mut self.bytes;
        self.leases.retain(|name, lease| {
            let is_retained = now_ms < lease.until_ms.saturating_add(retention_ms);
            if !is_retained {
                *bytes -= size_of(name, &lease.holder);
            }
            if !lease.release_may_be_stale(now_ms, limits) {
                lease.reacquired_ms = None;
            }
            is_retained
        });
    }

    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All leases, for a snapshot.
    pub fn leases(&self) -> &BTreeMap<String, Lease> {
        &self.leases
    }

    /// Last issued fencing token, for a snapshot.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// When each lease was acquired again, in the order of the leases, for a snapshot. Empty if none was.
    pub fn reacquisitions(&self) -> Vec<Option<u64>> {
        let times = self.leases.values().map(|lease| lease.reacquired_ms);
        if times.clone().all(|at_ms| at_ms.is_none()) {
            return Vec::new();
        }
        times.collect()
    }

    /// Restores the locks from a snapshot. Returns None if a lease has a fencing token that was never issued, or if the
    /// reacquisitions don't match the leases.
    pub fn from_leases(
        mut leases: BTreeMap<String, Lease>,
        last_fence: u64,
        reacquisitions: &[Option<u64>],
    ) -> Option<Self> {
        let issued = 1..=last_fence;
        if !leases.values().all(|lease| issued.contains(&lease.fence)) {
            return None;
        }
        if !reacquisitions.is_empty() && reacquisitions.len() != leases.len() {
            return None;
        }
        for (lease, reacquired_ms) in leases.values_mut().zip(reacquisitions) {
            lease.reacquired_ms = *reacquired_ms;
        }
        let sizes = leases.iter();
        let bytes = sizes
            .map(|(name, lease)| size_of(name, &lease.holder))
            .sum();
        Some(Self {
            leases,
            last_fence,
            bytes,
        })
    }
}
