//! Task faults, releases and bursts of requests.

use super::Recovery;
use crate::MS;
use crate::event::BadTask;
use crate::world::World;
use rand::RngExt;

/// Denominator of the share of affected tasks.
const SHARES: u32 = 8;
/// How long a release of misbehaving tasks counts as an unplanned fault.
const BAD_RELEASE_MS: u64 = 3_000;
/// How long the after-effects of a burst count as an unplanned fault.
const AFTER_BURST_MS: u64 = 5_000;

impl World {
    pub(super) fn crash_tasks(&mut self, share: u32, silent: bool) {
        self.note_unplanned(0);
        for task in 0..self.tasks.len() {
            if self.rng.random_range(0..SHARES) < share {
                self.crash(task, silent);
            }
        }
    }

    pub(super) fn drain_tasks(&mut self, share: u32) {
        for task in 0..self.tasks.len() {
            if self.rng.random_range(0..SHARES) < share {
                self.drain(task);
            }
        }
    }

    /// Makes these tasks misbehave for a while.
    pub(super) fn misbehave(&mut self, tasks: Vec<usize>, how: BadTask, ms: u64) {
        self.note_unplanned(ms);
        for task in tasks {
            self.tasks[task].bad = Some(how);
        }
        let number = self.number();
        self.recover_in(ms, number, Recovery::Tasks);
    }

    pub(super) fn release_tasks(
        &mut self,
        service: usize,
        count: u32,
        pause_ms: u64,
        bad: Option<BadTask>,
    ) {
        if bad.is_some() {
            self.note_unplanned(BAD_RELEASE_MS);
        }
        self.release(service, count, pause_ms, bad);
    }

    pub(super) fn pass_on_addresses(&mut self, tasks: Vec<usize>) {
        self.note_unplanned(0);
        for task in tasks {
            self.pass_on(task);
        }
    }

    pub(super) fn burst_of_clients(&mut self, times: u32, ms: u64) {
        self.note_unplanned(ms + AFTER_BURST_MS);
        self.burst = (times, self.now + ms * MS);
    }
}
