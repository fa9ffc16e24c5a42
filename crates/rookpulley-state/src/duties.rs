//! Leases of duties with fencing tokens, based on the replicated time. The platform judges the tokens
//! (`duties/LATER.md`, ONE).
//!
//! Invariants: each new lease gets a token above all tokens ever given for any duty; after another holder has taken a
//! duty over, the one before can't get it back until the length of a lease has passed since then.

use crate::limits::{ENTRY_OVERHEAD_BYTES, Limits, end_of_lease};
use crate::requests::Answer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lease of a duty, as seen by its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyLease<'a> {
    /// Holder, or the last one if the lease has ended.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Replicated time from which on another holder can acquire the duty, in milliseconds: the end of the lease plus
    /// the grace time, or 0 if the lease was released.
    pub until_ms: u64,
}

/// Last lease of a duty. It is never removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Duty {
    holder: String,
    fence: u64,
    /// End of the lease plus the grace time, or 0 if the lease was released.
    until_ms: u64,
    /// Earlier holders, and when each can acquire the duty again.
    former: BTreeMap<String, u64>,
}

/// A requested lease.
pub(crate) struct DutyRequest<'a> {
    pub duty: &'a str,
    pub holder: &'a str,
    pub lease_ms: u64,
    /// The token must be above this one.
    pub above: u64,
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Duties {
    duties: BTreeMap<String, Duty>,
    /// Last issued fencing token.
    last_fence: u64,
    bytes: usize,
}

fn size_of(name: &str, duty: &Duty) -> usize {
    let former = duty.former.keys();
    let former = former.map(|holder| holder.len() + ENTRY_OVERHEAD_BYTES);
    name.len() + duty.holder.len() + ENTRY_OVERHEAD_BYTES + former.sum::<usize>()
}

impl Duty {
    /// Whether a holder may have a lease, at the replicated time.
    fn is_open_to(&self, now_ms: u64, holder: &str) -> bool {
        if self.holder == holder {
            return true;
        }
        let is_ended = now_ms >= self.until_ms;
        is_ended && self.former.get(holder).is_none_or(|until| now_ms >= *until)
    }

    /// The duty under a new lease.
    fn with_lease(&self, now_ms: u64, request: &DutyRequest, until_ms: u64, fence: u64) -> Self {
        let mut former = self.former.clone();
        former.retain(|holder, until_ms| now_ms < *until_ms && holder != request.holder);
        if self.holder != request.holder {
            former.insert(self.holder.clone(), until_ms);
        }
        Self {
            holder: request.holder.to_owned(),
            fence,
            until_ms,
            former,
        }
    }
}

impl Duties {
    pub fn acquire(
        &mut self,
        now_ms: u64,
        request: &DutyRequest,
        available_bytes: usize,
        limits: &Limits,
    ) -> Answer {
        let until_ms = end_of_lease(now_ms, request.lease_ms, limits);
        if let Some(held) = self.duties.get_mut(request.duty) {
            if !held.is_open_to(now_ms, request.holder) {
                return Answer::LockHeld;
            }
            let is_own = held.holder == request.holder && now_ms < held.until_ms;
            if is_own && held.fence > request.above {
                // The request may be a delayed duplicate: never shorten the lease.
                held.until_ms = held.until_ms.max(until_ms);
                return Answer::Acquired(held.fence);
            }
        }
        let Some(fence) = self.last_fence.max(request.above).checked_add(1) else {
            return Answer::CapacityExceeded;
        };
        let held = self.duties.get(request.duty);
        let size_before = held.map_or(0, |held| size_of(request.duty, held));
        let new = match held {
            Some(held) => {
                let is_own = held.holder == request.holder;
                let earlier_end_ms = if is_own { held.until_ms } else { 0 };
                let until_ms = until_ms.max(earlier_end_ms);
                held.with_lease(now_ms, request, until_ms, fence)
            }
            None => Duty {
                holder: request.holder.to_owned(),
                fence,
                until_ms,
                former: BTreeMap::new(),
            },
        };
        let size = size_of(request.duty, &new);
        let is_full = held.is_none() && self.duties.len() >= limits.names;
        if is_full || size.saturating_sub(size_before) > available_bytes {
            return Answer::CapacityExceeded;
        }
        self.last_fence = fence;
        self.bytes = self.bytes - size_before + size;
        self.duties.insert(request.duty.to_owned(), new);
        Answer::Acquired(fence)
    }

    /// Ends a lease. The holder's name is kept, so that the one before it stays refused.
    pub fn release(&mut self, duty: &str, holder: &str, fence: u64) -> Answer {
        let held = self.duties.get_mut(duty);
        if let Some(held) = held.filter(|held| held.holder == holder && held.fence == fence) {
            held.until_ms = 0;
        }
        Answer::Done
    }

    pub fn get(&self, duty: &str) -> Option<DutyLease<'_>> {
        self.duties.get(duty).map(Duty::lease)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, DutyLease<'_>)> {
        let duties = self.duties.iter();
        duties.map(|(name, duty)| (name.as_str(), duty.lease()))
    }

    pub fn len(&self) -> usize {
        self.duties.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All duties, for a snapshot.
    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    /// Last issued fencing token, for a snapshot.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Restores the duties from a snapshot. Returns None if a duty has a fencing token that was never issued.
    pub fn from_duties(duties: BTreeMap<String, Duty>, last_fence: u64) -> Option<Self> {
        let issued = 1..=last_fence;
        if !duties.values().all(|duty| issued.contains(&duty.fence)) {
            return None;
        }
        let bytes = duties.iter().map(|(name, duty)| size_of(name, duty)).sum();
        Some(Self {
            duties,
            last_fence,
            bytes,
        })
    }
}

impl Duty {
    fn lease(&self) -> DutyLease<'_> {
        DutyLease {
            holder: &self.holder,
            fence: self.fence,
            until_ms: self.until_ms,
        }
    }
}
