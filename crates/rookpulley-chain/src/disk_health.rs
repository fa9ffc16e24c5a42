//! Whether a disk is fit for the chain, by how long its writes take.

/// A write that takes longer shows a slow disk.
const SLOW_MS: f64 = 60.0;
/// So many writes in a row that each take less show a disk that is quick again.
const QUICK_MS: f64 = SLOW_MS / 2.0;
const QUICK_WRITES: u32 = 24;
/// A process that didn't check for so long did not run itself: that says nothing of its disk.
const STALL_MS: f64 = 100.0;
/// The ticket of a write that only tests the disk.
const PROBE_TICKET: u64 = 0;

/// A write that was handed to the disk and isn't synced yet.
#[derive(Clone, Copy)]
struct PendingWrite {
    ticket: u64,
    since_ms: f64,
}

/// Watches the writes of the chain. A disk is slow after one slow write, and quick again after many quick ones.
#[derive(Default)]
pub struct DiskHealth {
    /// The first write that waits for its sync.
    pending: Option<PendingWrite>,
    checked_ms: f64,
    quick_writes: u32,
    is_slow: bool,
}

/// What a check has found.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiskCheck {
    /// The disk has become slow (true), or quick again (false).
    pub changed: Option<bool>,
    /// An empty write with this ticket is to be made. A member that has left the chain writes nothing else, and this
    /// shows when its disk is quick again.
    pub probe: Option<u64>,
}

impl DiskHealth {
    /// Whether the disk is slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// A write of the chain was handed to the disk.
    pub fn write_began(&mut self, now_ms: f64, ticket: u64) {
        let since_ms = now_ms;
        self.pending
            .get_or_insert(PendingWrite { ticket, since_ms });
    }

    /// A sync took so long. Of the chain's writes it covered those up to this ticket; None: none of them.
    pub fn synced(&mut self, ticket: Option<u64>, took_ms: f64) {
        if let Some(ticket) = ticket {
            self.pending = self.pending.filter(|write| write.ticket > ticket);
        }
        if took_ms < QUICK_MS {
            self.quick_writes += 1;
        } else {
            self.quick_writes = 0;
        }
    }

    /// To be called at each tick.
    pub fn check(&mut self, now_ms: f64) -> DiskCheck {
        let has_stalled = now_ms - self.checked_ms > STALL_MS;
        self.checked_ms = now_ms;
        if has_stalled && let Some(write) = &mut self.pending {
            write.since_ms = now_ms;
        }
        let waits = self
            .pending
            .is_some_and(|write| now_ms - write.since_ms > SLOW_MS);
        if waits {
            self.quick_writes = 0;
        }
        let needs_probe = self.is_slow && self.pending.is_none();
        if needs_probe {
            self.write_began(now_ms, PROBE_TICKET);
        }
        let is_slow = if self.is_slow {
            self.quick_writes < QUICK_WRITES
        } else {
            waits
        };
        let changed = (is_slow != self.is_slow).then_some(is_slow);
        self.is_slow = is_slow;
        DiskCheck {
            changed,
            probe: needs_probe.then_some(PROBE_TICKET),
        }
    }
}

#[cfg(test)]
mod tests;
