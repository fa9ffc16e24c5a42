//! Applies scenario events and ends timed faults.
//!
//! Each submodule handles one kind of fault and records what the rules need to know about it.

mod machines;
mod network;
mod tasks;

use crate::event::{Closing, Event};
use crate::world::{What, World};
use crate::{MS, S};
use machines::Processes;
use rand::RngExt;

/// How a timed fault ends.
pub enum Recovery {
    /// Heals a partition. `core`: it separated controller machines.
    Cut { core: bool },
    /// Ends packet loss.
    Lossy,
    /// Ends the disk fault of this machine.
    Disk(usize),
    /// Ends the misbehaviour of all tasks.
    Tasks,
}

impl World {
    /// Applies the event at this index of the schedule.
    pub fn play_event(&mut self, index: usize) {
        if let Some((_, event)) = self.day.events.get(index).cloned() {
            self.apply_event(event, index);
        }
    }

    /// Applies an event. `index` is its position in the schedule, which operator actions use.
    pub fn apply_event(&mut self, event: Event, index: usize) {
        self.say(|| format!("-- {event:?}"));
        match event {
            Event::Kill {
                machine,
                power,
                down_ms,
            } => self.kill(machine, Processes::BOTH, power, down_ms),
            Event::KillOne {
                machine,
                controller,
                down_ms,
            } => self.kill(machine, Processes::one(controller), false, down_ms),
            Event::Wipe { machine, down_ms } => self.wipe(machine, down_ms),
            Event::Freeze { machine, ms } => self.freeze(machine, ms),
            Event::Herd { power, down_ms } => self.kill_core(power, down_ms),
            Event::Dark { down_ms } => self.power_off_all(down_ms),
            Event::SlowDisk { machine, hangs, ms } => self.slow_disk(machine, hangs, ms),
            Event::ClockStep { machine, by_s } => {
                self.machines[machine].clock_error_ms += by_s as f64 * 1e3;
                self.note_machine_fault(machine, 0);
            }
            Event::Term { machine } => self.term(machine, true),
            Event::RollingRestart { pause_ms } => self.roll(0, pause_ms),
            Event::Replace { machine, orderly } => self.replace(machine, orderly),
            Event::Cut { machines, both, ms } => self.cut_machines(&machines, both, ms),
            Event::Deaf { machines, ms } => self.block_incoming(&machines, ms),
            Event::CutTasks { machine, zone, ms } => self.cut_tasks(machine, zone, ms),
            Event::CutControllers { machines, ms } => {
                let all = (0..self.machines.len()).collect();
                self.cut_among(&machines, all, ms);
            }
            Event::DeafToMachines { machines, ms } => self.block_machines(&machines, ms),
            Event::CutCore { machines, ms } => {
                let core = self.core();
                self.cut_among(&machines, core, ms);
            }
            Event::Reset { machine } => self.reset_machine(machine),
            Event::Lossy { machine, ms } => self.lose_packets(machine, ms),
            Event::LoseAnswers { ms } => self.answers_lost_until = self.now + ms * MS,
            Event::CrashTasks { share, silent } => self.crash_tasks(share, silent),
            Event::DrainTasks { share } => self.drain_tasks(share),
            Event::BadTasks { service, how, ms } => {
                let is_its = |task: &usize| self.tasks[*task].service == service;
                let places = (0..self.tasks.len()).filter(is_its).collect();
                self.misbehave(places, how, ms);
            }
            Event::BadPlaces { places, how, ms } => self.misbehave(places, how, ms),
            Event::Release {
                service,
                count,
                pause_ms,
                bad,
            } => self.release_tasks(service, count, pause_ms, bad),
            Event::PassOn { places } => self.pass_on_addresses(places),
            Event::Burst { times, ms } => self.burst_of_clients(times, ms),
            Event::Platform { fault, ms } => self.begin_platform_fault(fault, ms),
            Event::AtNextReport { stage, fault } => self.arm_holder_fault(stage, fault),
            Event::ReadEverywhere => self.read_everywhere(),
            Event::Closing { .. }
            | Event::Change
            | Event::Retarget { .. }
            | Event::Race
            | Event::Storm { .. }
            | Event::Invalid
            | Event::Revoke { .. }
            | Event::PassKey
            | Event::RemoveTenant
            | Event::Again => self.operate(index + 1),
        }
    }

    /// Schedules the end of a fault.
    fn recover_in(&mut self, ms: u64, number: u64, recovery: Recovery) {
        self.recoveries.insert(number, recovery);
        self.after(ms * MS, None, What::Recover(number));
    }

    /// Ends a fault.
    pub fn recover(&mut self, number: u64) {
        match self.recoveries.remove(&number) {
            Some(Recovery::Cut { core }) => {
                self.net.cuts.remove(&number);
                if core {
                    self.note_core_fault();
                }
                self.release_delayed();
            }
            Some(Recovery::Lossy) => _ = self.net.lossy.remove(&number),
            Some(Recovery::Disk(machine)) => self.machines[machine].disk.fault = None,
            // A task index can belong to another service by now, so all are cleared.
            Some(Recovery::Tasks) => self.tasks.iter_mut().for_each(|task| task.bad = None),
            None => {}
        }
    }

    /// Applies the closing fault right after a change was acknowledged.
    pub fn close(&mut self, how: Closing) {
        self.say(|| format!("-- closing fault: {how:?}"));
        match how {
            Closing::Dark => self.power_off_all(900),
            Closing::Killed => {
                (0..self.machines.len())
                    .for_each(|machine| self.kill(machine, Processes::BOTH, false, 700));
            }
            Closing::Disks { others } => {
                let mut core = self.core();
                for _ in 0..self.day.losses {
                    let machine = core.swap_remove(self.rng.random_range(0..core.len()));
                    self.wipe(machine, 900);
                }
                if others {
                    self.power_off_all(700);
                }
            }
        }
    }
}

/// Records faults for the rules.
impl World {
    /// Records an unplanned fault of the given duration.
    fn note_unplanned(&mut self, ms: u64) {
        self.record
            .faults
            .unplanned
            .push((self.now, self.now + ms * MS));
    }

    /// Records a fault that affects the controllers now.
    fn note_core_fault(&mut self) {
        self.record.faults.core.push(self.now);
    }

    /// Records a machine fault; on a controller machine also as a controller fault for the whole duration.
    fn note_machine_fault(&mut self, machine: usize, ms: u64) {
        let (now, until) = (self.now, self.now + ms * MS);
        self.record.faults.machine.push((machine, now, until));
        self.note_unplanned(ms);
        if self.machines[machine].core {
            self.record.faults.core.extend([now, until]);
            let mut at = now;
            while at < until {
                self.record.faults.core.push(at);
                at += S;
            }
        }
    }
}
