//! Machine faults and restarts: kills, power and disk losses, freezes, SIGTERM and replacements.

use super::Recovery;
use crate::disk::DiskFault;
use crate::proxies::GRACE;
use crate::world::{Mutation, What, World};
use crate::{MS, S, Us};
use rand::RngExt;

/// The processes of a machine that a fault affects.
#[derive(Clone, Copy)]
pub struct Processes {
    pub controller: bool,
    pub proxy: bool,
}

impl Processes {
    pub const BOTH: Self = Self {
        controller: true,
        proxy: true,
    };

    /// Only the controller, or only the proxy.
    pub fn one(controller: bool) -> Self {
        Self {
            controller,
            proxy: !controller,
        }
    }
}

impl World {
    pub(super) fn kill(
        &mut self,
        machine: usize,
        Processes { controller, proxy }: Processes,
        power: bool,
        down_ms: u64,
    ) {
        if self.machines[machine].gone {
            return;
        }
        let (now, until) = (self.now, self.now + down_ms * MS);
        self.record.faults.machine.push((machine, now, until));
        self.note_unplanned(down_ms);
        if self.machines[machine].core && controller {
            self.record.faults.core.extend([now, until]);
        }
        if power {
            self.machines[machine].power = false;
        }
        for (is_controller, hit) in [(true, controller), (false, proxy)] {
            if hit {
                let process = self.process_of(machine, is_controller);
                self.stop(process, power);
            }
        }
        if power {
            self.drop_delayed(machine);
        }
        self.after(
            down_ms * MS,
            None,
            What::Start {
                machine,
                controller,
                proxy,
            },
        );
    }

    pub fn start_again(&mut self, machine: usize, controller: bool, proxy: bool) {
        if self.machines[machine].gone {
            return;
        }
        let core = self.machines[machine].core && controller;
        self.machines[machine].power = true;
        if core {
            self.start_controller(machine, false);
        }
        if self.machines[machine].stateless && controller {
            self.start_stateless(machine, false);
        }
        if proxy {
            self.start_proxy(machine);
        }
        self.record.started(self.now, machine, core);
    }

    pub(super) fn freeze(&mut self, machine: usize, ms: u64) {
        let (now, until) = (self.now, self.now + ms * MS);
        self.record.faults.machine.push((machine, now, until));
        self.note_unplanned(ms);
        if self.machines[machine].core {
            self.record.faults.core.extend([now, until]);
        }
        for process in [2 * machine, 2 * machine + 1] {
            if self.running(process) {
                self.processes[process].paused = true;
                let is_proxy = !self.processes[process].is_controller;
                let stops = is_proxy && self.mutation == Some(Mutation::ClockStopsWhileFrozen);
                self.processes[process].clock_stopped = stops.then_some(now);
                self.after(ms * MS, None, What::Wake { process });
            }
        }
    }

    pub(super) fn term(&mut self, machine: usize, controller: bool) {
        if self.machines[machine].gone || !self.machines[machine].power {
            return;
        }
        let (now, until) = (self.now, self.now + GRACE + S);
        self.record.terms.push((machine, now));
        self.record.faults.machine.push((machine, now, until));
        if self.machines[machine].core && controller {
            let mut at = now;
            while at < until {
                self.record.faults.core.push(at);
                at += S;
            }
        }
        for is_controller in [true, false] {
            let process = self.process_of(machine, is_controller);
            if (is_controller && !controller) || !self.running(process) {
                continue;
            }
            let incarnation = self.processes[process].incarnation;
            self.processes[process].terminating = true;
            match is_controller {
                true => self.term_controller(process),
                false => self.term_proxy(process),
            }
            self.after(
                GRACE,
                None,
                What::Kill {
                    process,
                    incarnation,
                },
            );
        }
    }

    /// Restarts the proxies one after another, and the controller of the first machine.
    pub fn roll(&mut self, machine: usize, pause_ms: u64) {
        if machine >= self.machines.len() {
            return;
        }
        self.term(machine, machine == 0);
        self.after(
            pause_ms * MS,
            None,
            What::RollingRestart {
                machine: machine + 1,
                pause_ms,
            },
        );
    }

    pub(super) fn replace(&mut self, machine: usize, orderly: bool) {
        if self.machines[machine].gone {
            return;
        }
        let now = self.now;
        self.record.faults.core.push(now);
        let another = self.add_machine(true);
        self.note_unplanned(3_000);
        if orderly {
            self.start_machine(another, false);
            self.after(1_500 * MS, None, What::Retire { machine });
            return;
        }
        self.retired(machine, true);
        self.after(
            200 * MS,
            None,
            What::Start {
                machine: another,
                controller: true,
                proxy: true,
            },
        );
    }

    pub fn retire(&mut self, machine: usize) {
        self.term(machine, true);
        self.machines[machine].leaves = true;
        self.after(GRACE + 100 * MS, None, What::Gone { machine });
    }

    /// Removes the machine permanently.
    pub fn retired(&mut self, machine: usize, power: bool) {
        for process in [2 * machine, 2 * machine + 1] {
            self.stop(process, power);
        }
        self.machines[machine].gone = true;
        self.machines[machine].power = false;
        self.drop_delayed(machine);
        self.record
            .faults
            .machine
            .push((machine, self.now, Us::MAX));
        self.record.faults.core.push(self.now);
    }

    /// Restarts a process after an orderly shutdown, unless its machine is being removed.
    pub fn restart_after_shutdown(&mut self, process: usize) {
        let (machine, controller) = (
            self.processes[process].machine,
            self.processes[process].is_controller,
        );
        if std::mem::take(&mut self.processes[process].terminating)
            && !self.machines[machine].leaves
        {
            self.after(
                300 * MS,
                None,
                What::Start {
                    machine,
                    controller,
                    proxy: !controller,
                },
            );
        }
    }

    pub(super) fn wipe(&mut self, machine: usize, down_ms: u64) {
        self.kill(machine, Processes::BOTH, true, down_ms);
        self.machines[machine].disk.wipe();
    }

    pub(super) fn kill_core(&mut self, power: bool, down_ms: u64) {
        for machine in self.core() {
            self.kill(machine, Processes::BOTH, power, down_ms);
        }
    }

    pub(super) fn power_off_all(&mut self, down_ms: u64) {
        for machine in 0..self.machines.len() {
            let jitter = self.rng.random_range(0..200u64);
            self.kill(machine, Processes::BOTH, true, down_ms + jitter);
        }
    }

    pub(super) fn slow_disk(&mut self, machine: usize, hangs: bool, ms: u64) {
        self.note_machine_fault(machine, ms);
        let fault = if hangs {
            DiskFault::Hangs
        } else {
            DiskFault::Slow
        };
        self.machines[machine].disk.fault = Some(fault);
        let number = self.number();
        self.recover_in(ms, number, Recovery::Disk(machine));
    }
}
