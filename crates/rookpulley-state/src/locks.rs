//! Locks: who has which, under what fence, until when by the ledger's time.
//!
//! Calls come twice, late and out of order, from holders that use one name for all their holds. What keeps them apart
//! is the fence: each hold that begins gets one above all fences ever given, for whatever lock, so that a renewal or a
//! drop of an earlier hold fits no later one. A drop that was sent before its holder took the lock *again* while it
//! still had it is the exception, as both stand under one fence. It can't come so late: a caller waits a second for
//! an answer before it goes on, and the chain lets no call take effect that is 750 ms old.

use crate::bounds::{Bounds, ENTRY};
use crate::call::Answer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hold {
    pub holder: String,
    pub fence: u64,
    /// From here on another may have the lock: the hold and the spare time after it.
    pub until_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Locks {
    /// A lock that nobody has needs no entry. One whose time is over stays a while, for its holder's late renewal.
    holds: BTreeMap<String, Hold>,
    /// The last fence given. It outlives all entries.
    fences: u64,
    bytes: usize,
}

fn weight(name: &str, holder: &str) -> usize {
    name.len() + holder.len() + ENTRY
}

/// A caller counts its hold from when it sent its call, which is before the call was stamped.
fn end(now_ms: u64, hold_ms: u64, bounds: &Bounds) -> u64 {
    now_ms
        .saturating_add(hold_ms)
        .saturating_add(bounds.spare_ms)
}

impl Locks {
    pub fn take(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        hold_ms: u64,
        room: usize,
        bounds: &Bounds,
    ) -> Answer {
        let until_ms = end(now_ms, hold_ms, bounds);
        let before = match self.holds.get_mut(name) {
            Some(hold) if now_ms < hold.until_ms && hold.holder == holder => {
                // Perhaps a repeat that overtook a later call: a longer hold stays as long as it was.
                hold.until_ms = hold.until_ms.max(until_ms);
                return Answer::Fence(hold.fence);
            }
            Some(hold) if now_ms < hold.until_ms => return Answer::Held,
            Some(hold) => weight(name, &hold.holder),
            None => 0,
        };
        let after = weight(name, holder);
        if before == 0 && self.holds.len() >= bounds.names {
            self.forget(now_ms, 0);
        }
        let too_many = before == 0 && self.holds.len() >= bounds.names;
        if too_many || after.saturating_sub(before) > room || self.fences == u64::MAX {
            return Answer::Full;
        }
        self.fences += 1;
        self.bytes = self.bytes - before + after;
        let hold = Hold {
            holder: holder.to_owned(),
            fence: self.fences,
            until_ms,
        };
        self.holds.insert(name.to_owned(), hold);
        Answer::Fence(self.fences)
    }

    /// Also brings back a hold whose time is over, as long as nobody else has begun one since: the lock is not lost.
    pub fn renew(
        &mut self,
        now_ms: u64,
        name: &str,
        holder: &str,
        fence: u64,
        hold_ms: u64,
        bounds: &Bounds,
    ) -> Answer {
        match self.holds.get_mut(name) {
            Some(hold) if hold.holder == holder && hold.fence == fence => {
                hold.until_ms = hold.until_ms.max(end(now_ms, hold_ms, bounds));
                Answer::Renewed
            }
            _ => Answer::Held,
        }
    }

    /// The entry goes, so that a renewal sent before the drop and come after it finds nothing to bring back.
    pub fn drop(&mut self, name: &str, holder: &str, fence: u64) -> Answer {
        if self
            .holds
            .get(name)
            .is_some_and(|hold| hold.holder == holder && hold.fence == fence)
        {
            self.holds.remove(name);
            self.bytes -= weight(name, holder);
        }
        Answer::Dropped
    }

    /// Drops what has been over for `kept_ms`.
    pub fn forget(&mut self, now_ms: u64, kept_ms: u64) {
        let bytes = &mut self.bytes;
        self.holds.retain(|name, hold| {
            let stays = now_ms < hold.until_ms.saturating_add(kept_ms);
            if !stays {
                *bytes -= weight(name, &hold.holder);
            }
            stays
        });
    }

    pub fn len(&self) -> usize {
        self.holds.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn all(&self) -> &BTreeMap<String, Hold> {
        &self.holds
    }

    pub fn fences(&self) -> u64 {
        self.fences
    }

    /// None: a hold stands under a fence that was never given.
    pub fn of(holds: BTreeMap<String, Hold>, fences: u64) -> Option<Self> {
        let bytes = holds
            .iter()
            .map(|(name, hold)| weight(name, &hold.holder))
            .sum();
        holds
            .values()
            .all(|hold| (1..=fences).contains(&hold.fence))
            .then_some(Self {
                holds,
                fences,
                bytes,
            })
    }
}
