//! Detection of slow disks by the latency of writes.

/// A write that takes longer marks the disk as slow.
const SLOW_MS: f64 = 60.0;
/// The disk has recovered after `QUICK_WRITES` consecutive writes that each take less than `QUICK_MS`.
const QUICK_MS: f64 = SLOW_MS / 2.0;
const QUICK_WRITES: u32 = 24;
/// A longer gap between checks means that the process was not scheduled; the write latency is then not counted.
const STALL_MS: f64 = 100.0;
/// The ticket of a probe write.
const PROBE_TICKET: u64 = 0;

/// A write that was submitted and is not synced yet.
#[derive(Clone, Copy)]
struct PendingWrite {
    ticket: u64,
    since_ms: f64,
}

/// Tracks the write latency of the chain. One slow write marks the disk as slow; many consecutive quick ones clear it.
#[derive(Default)]
pub struct DiskHealth {
    /// The oldest unsynced write.
    pending: Option<PendingWrite>,
    checked_ms: f64,
    quick_writes: u32,
    is_slow: bool,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiskCheck {
    /// The disk became slow (true) or recovered (false). None: no change.
    pub changed: Option<bool>,
    /// Submit an empty write with this ticket. A member that has left the chain writes nothing else, so only probes can
    /// show that its disk has recovered.
    pub probe: Option<u64>,
}

impl DiskHealth {
    /// Whether the disk is slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Records that a write was submitted.
    pub fn write_began(&mut self, now_ms: f64, ticket: u64) {
        let since_ms = now_ms;
        self.pending
            .get_or_insert(PendingWrite { ticket, since_ms });
    }

    /// Records a sync that took `took_ms`. It covered the chain's writes up to `ticket`; None: it covered none of them.
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

    /// Checks for overdue writes. Must be called at each tick.
    pub fn check(&mut self, now_ms: f64) -> DiskCheck {
        let has_stalled = now_ms - self.checked_ms > STALL_MS;
        self.checked_ms = now_ms;
        if has_stalled && let Some(write) = &mut self.pending {
            write.since_ms = now_ms;
        }
        let is_overdue = self
            .pending
            .is_some_and(|write| now_ms - write.since_ms > SLOW_MS);
        if is_overdue {
            self.quick_writes = 0;
        }
        let needs_probe = self.is_slow && self.pending.is_none();
        if needs_probe {
            self.write_began(now_ms, PROBE_TICKET);
        }
        let is_slow = if self.is_slow {
            self.quick_writes < QUICK_WRITES
        } else {
            is_overdue
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
