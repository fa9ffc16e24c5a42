//! Locks: who holds which, under what fencing token, until when by the replicated time.
//!
//! Requests come twice, late and out of order, from holders that use one name for all their leases. What keeps them
//! apart is the fencing token: each lease that begins gets one above all tokens ever given, for whatever lock, so that a
//! renewal or a release of an earlier lease fits no later one. The exception is a release that was sent before its
//! holder took the lock *again* while it still had it, as both stand under one token. It can't come so late: a caller
//! waits a second for an answer before it goes on, and the chain lets no request take effect that is 750 ms old.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits};
use crate::requests::Answer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who holds a lock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lease {
    pub holder: String,
    /// The fencing token.
    pub fence: u64,
    /// From here on another may have the lock: the lease and the grace time after it.
    pub until_ms: u64,
}

/// All locks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Locks {
    /// A lock that nobody holds needs no entry. One whose lease has ended stays a while, for its holder's late renewal.
    leases: BTreeMap<String, Lease>,
    /// The last fencing token given. It outlives all entries.
    last_fence: u64,
    bytes: usize,
}

fn size_of(name: &str, holder: &str) -> usize {
    name.len() + holder.len() + ENTRY_OVERHEAD_BYTES
}

/// A caller counts its lease from when it sent its request, which is before the request was stamped.
fn end_of_lease(now_ms: u64, lease_ms: u64, limits: &Limits) -> u64 {
    now_ms
        .saturating_add(lease_ms)
        .saturating_add(limits.lease_grace_ms)
}

impl Locks {
    pub fn acquire(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        lease_ms: u64,
        room: usize,
        limits: &Limits,
    ) -> Answer {
        let until_ms = end_of_lease(now_ms, lease_ms, limits);
        let size_before = match self.leases.get_mut(name) {
            Some(lease) if now_ms < lease.until_ms && lease.holder == holder => {
                // Maybe a repeat that overtook a later request: a longer lease stays as long as it was.
                lease.until_ms = lease.until_ms.max(until_ms);
                return Answer::Acquired(lease.fence);
            }
            Some(lease) if now_ms < lease.until_ms => return Answer::LockHeld,
            Some(lease) => size_of(name, &lease.holder),
            None => 0,
        };
        let is_new = size_before == 0;
        if is_new && self.leases.len() >= limits.names {
            self.forget(now_ms, 0);
        }
        let is_full = is_new && self.leases.len() >= limits.names;
        let size = size_of(name, holder);
        let is_spent = self.last_fence == u64::MAX;
        if is_full || is_spent || size.saturating_sub(size_before) > room {
            return Answer::CapacityExceeded;
        }
        self.last_fence += 1;
        self.bytes = self.bytes - size_before + size;
        let lease = Lease {
            holder: holder.to_owned(),
            fence: self.last_fence,
            until_ms,
        };
        self.leases.insert(name.to_owned(), lease);
        Answer::Acquired(self.last_fence)
    }

    /// Also brings back a lease that has ended, as long as nobody else has begun one since: the lock is not lost.
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

    /// The entry goes, so that a renewal sent before the release and come after it finds nothing to bring back.
    pub fn release(&mut self, name: &str, holder: &str, fence: u64) -> Answer {
        let is_held = |lease: &Lease| lease.holder == holder && lease.fence == fence;
        if self.leases.get(name).is_some_and(is_held) {
            self.leases.remove(name);
            self.bytes -= size_of(name, holder);
        }
        Answer::Released
    }

    /// Drops the leases that ended `kept_ms` ago or longer.
    pub fn forget(&mut self, now_ms: u64, kept_ms: u64) {
        let bytes = &mut self.bytes;
        self.leases.retain(|name, lease| {
            let stays = now_ms < lease.until_ms.saturating_add(kept_ms);
            if !stays {
                *bytes -= size_of(name, &lease.holder);
            }
            stays
        });
    }

    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// For a snapshot.
    pub fn leases(&self) -> &BTreeMap<String, Lease> {
        &self.leases
    }

    /// For a snapshot.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Of a snapshot. None: a lease stands under a fencing token that was never given.
    pub fn from_leases(leases: BTreeMap<String, Lease>, last_fence: u64) -> Option<Self> {
        let given = 1..=last_fence;
        if !leases.values().all(|lease| given.contains(&lease.fence)) {
            return None;
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
