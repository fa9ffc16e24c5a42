//! Whether a disk is fit for the chain, by how long its writes take.

/// A write that takes so long tells of a slow disk; so many quick ones in a row, of one that is well again.
const SLOW_MS: f64 = 60.0;
const QUICK_MS: f64 = SLOW_MS / 2.0;
const QUICK_WRITES: u32 = 24;
/// A process that didn't look for so long was held up itself: that tells nothing of its disk.
const HELD_UP_MS: f64 = 100.0;

#[derive(Default)]
pub struct DiskHealth {
    /// The first write of the chain that waits for its sync, and since when.
    writing: Option<(u64, f64)>,
    looked_ms: f64,
    quick: u32,
    slow: bool,
}

/// What is to be done after a look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiskCheck {
    /// It has turned slow, or quick again.
    pub turned: Option<bool>,
    /// Nothing else is written by one that has left the chain: an empty write with this ticket tells when it is well.
    pub probe: Option<u64>,
}

impl DiskHealth {
    pub fn slow(&self) -> bool {
        self.slow
    }

    /// A write of the chain went out.
    pub fn begins(&mut self, now_ms: f64, ticket: u64) {
        self.writing.get_or_insert((ticket, now_ms));
    }

    /// A sync took so long; of the chain's writes it covered those up to this ticket.
    pub fn synced(&mut self, ticket: Option<u64>, took_ms: f64) {
        if let Some(ticket) = ticket {
            self.writing = self.writing.filter(|(from, _)| *from > ticket);
        }
        self.quick = if took_ms < QUICK_MS {
            self.quick + 1
        } else {
            0
        };
    }

    pub fn look(&mut self, now_ms: f64) -> DiskCheck {
        if now_ms - std::mem::replace(&mut self.looked_ms, now_ms) > HELD_UP_MS {
            self.writing = self.writing.map(|(ticket, _)| (ticket, now_ms));
        }
        let waits = self
            .writing
            .is_some_and(|(_, since)| now_ms - since > SLOW_MS);
        if waits {
            self.quick = 0;
        }
        let probe = (self.slow && self.writing.is_none()).then_some(0);
        probe
            .into_iter()
            .for_each(|ticket| self.begins(now_ms, ticket));
        let slow = if self.slow {
            self.quick < QUICK_WRITES
        } else {
            waits
        };
        let turned = (slow != self.slow).then_some(slow);
        self.slow = slow;
        DiskCheck { turned, probe }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_disk_is_slow_by_one_write_and_well_by_many_and_a_pause_of_the_process_is_no_fault_of_it() {
        let mut disk = DiskHealth::default();
        disk.look(0.0);
        disk.begins(0.0, 1);
        // The process itself stood still: the write is given its time anew.
        assert_eq!(disk.look(500.0), DiskCheck::default());
        assert_eq!(disk.look(550.0), DiskCheck::default());
        assert_eq!(disk.look(561.0).turned, Some(true));
        disk.synced(Some(1), 70.0);
        for round in 0..QUICK_WRITES {
            let look = disk.look(600.0 + f64::from(round));
            assert_eq!(
                (look.turned, look.probe),
                (None, Some(0)),
                "after {round} quick writes"
            );
            disk.synced(Some(0), 5.0);
        }
        assert_eq!(disk.look(640.0).turned, Some(false));
    }
}
