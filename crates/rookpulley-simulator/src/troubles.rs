//! What happens on a day, when it happens and when it is over.

use crate::day::{Closing, Happens};
use crate::disk::DiskTrouble;
use crate::net::Host;
use crate::proxies::GRACE;
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use std::collections::BTreeSet;

pub enum Heals {
    Cut { core: bool },
    Lossy,
    Disk(usize),
    Tasks(usize),
}

impl World {
    pub fn happens(&mut self, index: usize) {
        let Some((_, happens)) = self.day.happens.get(index).cloned() else {
            return;
        };
        self.goes(happens, index);
    }

    /// `index`: its place in the day, for what the operator does.
    pub fn goes(&mut self, happens: Happens, index: usize) {
        self.say(|| format!("-- {happens:?}"));
        match happens {
            Happens::Kill {
                machine,
                power,
                down_ms,
            } => self.kill(machine, (true, true), power, down_ms),
            Happens::KillOne {
                machine,
                controller,
                down_ms,
            } => {
                self.kill(machine, (controller, !controller), false, down_ms);
            }
            Happens::Wipe { machine, down_ms } => {
                self.kill(machine, (true, true), true, down_ms);
                self.machines[machine].disk.wipe();
            }
            Happens::Freeze { machine, ms } => self.freeze(machine, ms),
            Happens::Cut { machines, both, ms } => {
                let (these, others) = self.sides(&machines);
                self.cut(&these, &others, ms);
                if both {
                    self.cut(&others, &these, ms);
                }
            }
            Happens::Deaf { machines, ms } => {
                let (these, others) = self.sides(&machines);
                self.cut(&others, &these, ms);
            }
            Happens::CutTasks { machine, zone, ms } => {
                let tasks = (0..self.tasks.len()).filter(|task| self.tasks[*task].zone == zone);
                let tasks: BTreeSet<Host> = tasks.map(Host::Task).collect();
                let these = BTreeSet::from([Host::Machine(machine)]);
                self.cut(&these, &tasks, ms);
                self.cut(&tasks, &these, ms);
            }
            Happens::Reset { machine } => {
                self.trouble(machine, 0);
                self.reset_lines(machine);
                self.reset_requests(machine);
            }
            Happens::Lossy { machine, ms } => {
                self.trouble(machine, ms);
                let number = self.number();
                self.net.lossy.insert(number, Host::Machine(machine));
                self.heals_in(ms, number, Heals::Lossy);
            }
            Happens::Herd { power, down_ms } => {
                let core = self.core();
                core.into_iter()
                    .for_each(|machine| self.kill(machine, (true, true), power, down_ms));
            }
            Happens::Dark { down_ms } => self.dark(down_ms),
            Happens::SlowDisk { machine, hangs, ms } => {
                self.trouble(machine, ms);
                self.machines[machine].disk.trouble = Some(if hangs {
                    DiskTrouble::Hangs
                } else {
                    DiskTrouble::Slow
                });
                let number = self.number();
                self.heals_in(ms, number, Heals::Disk(machine));
            }
            Happens::ClockStep { machine, .. } => self.trouble(machine, 0),
            Happens::Term { machine } => self.term(machine, true),
            Happens::ProxyRoster { pause_ms } => self.roll(0, pause_ms),
            Happens::Replace { machine, orderly } => self.replace(machine, orderly),
            Happens::CrashTasks { share, silent } => {
                self.unplanned(0);
                for task in 0..self.tasks.len() {
                    if self.rng.random_range(0..8u32) < share {
                        self.crash(task, silent);
                    }
                }
            }
            Happens::DrainTasks { share } => {
                for task in 0..self.tasks.len() {
                    if self.rng.random_range(0..8u32) < share {
                        self.drain(task);
                    }
                }
            }
            Happens::BadTasks { service, how, ms } => {
                self.unplanned(ms);
                let its = self.tasks.iter_mut().filter(|task| task.service == service);
                its.for_each(|task| task.bad = Some(how));
                let number = self.number();
                self.heals_in(ms, number, Heals::Tasks(service));
            }
            Happens::BadPlaces { places, how, ms } => {
                self.unplanned(ms);
                places
                    .into_iter()
                    .for_each(|place| self.tasks[place].bad = Some(how));
                let number = self.number();
                self.heals_in(ms, number, Heals::Tasks(0));
            }
            Happens::Release {
                service,
                count,
                pause_ms,
                bad,
            } => {
                if bad.is_some() {
                    self.unplanned(3_000);
                }
                self.release(service, count, pause_ms, bad);
            }
            Happens::PassOn { places } => {
                self.unplanned(0);
                places.into_iter().for_each(|place| self.pass_on(place));
            }
            Happens::CutControllers { machines, ms } => {
                let others = (0..self.machines.len()).filter(|machine| !machines.contains(machine));
                let others: BTreeSet<Host> = others.map(Host::Machine).collect();
                let these = machines.into_iter().map(Host::Machine).collect();
                self.cut(&these, &others, ms);
                self.cut(&others, &these, ms);
            }
            Happens::CutCore { machines, ms } => {
                let others = self
                    .core()
                    .into_iter()
                    .filter(|machine| !machines.contains(machine));
                let others: BTreeSet<Host> = others.map(Host::Machine).collect();
                let these = machines.into_iter().map(Host::Machine).collect();
                self.cut(&these, &others, ms);
                self.cut(&others, &these, ms);
            }
            Happens::LoseAnswers { ms } => self.answers_lost_until = self.now + ms * MS,
            Happens::Burst { times, ms } => {
                self.unplanned(ms + 5_000);
                self.burst = (times, self.now + ms * MS);
            }
            Happens::Closing { .. }
            | Happens::Change
            | Happens::Retarget { .. }
            | Happens::Race
            | Happens::Storm { .. }
            | Happens::Invalid
            | Happens::Again => {
                self.operate(index + 1);
            }
        }
    }

    fn heals_in(&mut self, ms: u64, number: u64, heals: Heals) {
        self.heals.insert(number, heals);
        self.after(ms * MS, None, What::Heal(number));
    }

    pub fn heal(&mut self, number: u64) {
        match self.heals.remove(&number) {
            Some(Heals::Cut { core }) => {
                self.net.cuts.remove(&number);
                if core {
                    self.unsettle();
                }
                self.let_go();
            }
            Some(Heals::Lossy) => _ = self.net.lossy.remove(&number),
            Some(Heals::Disk(machine)) => self.machines[machine].disk.trouble = None,
            Some(Heals::Tasks(service)) => {
                // A place may have gone to another service meanwhile.
                _ = service;
                self.tasks.iter_mut().for_each(|task| task.bad = None);
            }
            None => {}
        }
    }

    /// A change was just acknowledged.
    pub fn close(&mut self, how: Closing) {
        self.say(|| format!("-- {how:?} strikes"));
        match how {
            Closing::Dark => self.dark(900),
            Closing::Killed => {
                (0..self.machines.len())
                    .for_each(|machine| self.kill(machine, (true, true), false, 700));
            }
            Closing::Disks { others } => {
                let mut core = self.core();
                for _ in 0..self.day.losses {
                    let machine = core.swap_remove(self.rng.random_range(0..core.len()));
                    self.kill(machine, (true, true), true, 900);
                    self.machines[machine].disk.wipe();
                }
                if others {
                    self.dark(700);
                }
            }
        }
    }

    fn dark(&mut self, down_ms: u64) {
        for machine in 0..self.machines.len() {
            let jitter = self.rng.random_range(0..200u64);
            self.kill(machine, (true, true), true, down_ms + jitter);
        }
    }

    // ---- for the rules ----------------------------------------------------------------------

    fn unplanned(&mut self, ms: u64) {
        self.record
            .trouble
            .unplanned
            .push((self.now, self.now + ms * MS));
    }

    fn unsettle(&mut self) {
        self.record.trouble.core.push(self.now);
    }

    /// On a machine, for so long; it may unsettle the core at both ends.
    fn trouble(&mut self, machine: usize, ms: u64) {
        let (now, until) = (self.now, self.now + ms * MS);
        self.record.trouble.machine.push((machine, now, until));
        self.unplanned(ms);
        if self.machines[machine].core {
            self.record.trouble.core.extend([now, until]);
            // What is slow all the while leaves it unsettled all the while.
            let mut at = now;
            while at < until {
                self.record.trouble.core.push(at);
                at += S;
            }
        }
    }

    // ---- machines ---------------------------------------------------------------------------

    fn kill(
        &mut self,
        machine: usize,
        (controller, proxy): (bool, bool),
        power: bool,
        down_ms: u64,
    ) {
        if self.machines[machine].gone {
            return;
        }
        let (now, until) = (self.now, self.now + down_ms * MS);
        self.record.trouble.machine.push((machine, now, until));
        self.unplanned(down_ms);
        if self.machines[machine].core && controller {
            self.record.trouble.core.extend([now, until]);
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
            self.forget_held(machine);
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

    fn freeze(&mut self, machine: usize, ms: u64) {
        let (now, until) = (self.now, self.now + ms * MS);
        self.record.trouble.machine.push((machine, now, until));
        self.unplanned(ms);
        if self.machines[machine].core {
            self.record.trouble.core.extend([now, until]);
        }
        for process in [2 * machine, 2 * machine + 1] {
            if self.running(process) {
                self.processes[process].asleep = true;
                self.after(ms * MS, None, What::Wake { process });
            }
        }
    }

    /// These machines, and all other machines with all tasks.
    fn sides(&self, machines: &[usize]) -> (BTreeSet<Host>, BTreeSet<Host>) {
        let these: BTreeSet<Host> = machines
            .iter()
            .map(|machine| Host::Machine(*machine))
            .collect();
        let all = (0..self.machines.len())
            .map(Host::Machine)
            .chain((0..self.tasks.len()).map(Host::Task));
        let others = all.filter(|host| !these.contains(host)).collect();
        (these, others)
    }

    fn cut(&mut self, from: &BTreeSet<Host>, to: &BTreeSet<Host>, ms: u64) {
        let (now, until) = (self.now, self.now + ms * MS);
        let mut core = false;
        for a in from {
            for b in to {
                match (a, b) {
                    (Host::Machine(a), Host::Machine(b)) => {
                        self.record.trouble.cuts.push((*a, *b, now, until));
                        core |= self.machines[*a].core && self.machines[*b].core;
                    }
                    (Host::Machine(m), Host::Task(t)) | (Host::Task(t), Host::Machine(m)) => {
                        self.record.trouble.task_cuts.push((*m, *t, now, until));
                    }
                    _ => {}
                }
            }
        }
        self.unplanned(ms);
        if core {
            self.record.trouble.core.extend([now, until]);
        }
        let number = self.number();
        self.net.cuts.insert(number, (from.clone(), to.clone()));
        self.heals_in(ms, number, Heals::Cut { core });
    }

    fn term(&mut self, machine: usize, controller: bool) {
        if self.machines[machine].gone || !self.machines[machine].power {
            return;
        }
        let (now, until) = (self.now, self.now + GRACE + S);
        self.record.terms.push((machine, now));
        self.record.trouble.machine.push((machine, now, until));
        if self.machines[machine].core && controller {
            let mut at = now;
            while at < until {
                self.record.trouble.core.push(at);
                at += S;
            }
        }
        for is_controller in [true, false] {
            let process = self.process_of(machine, is_controller);
            if (is_controller && !controller) || !self.running(process) {
                continue;
            }
            let incarnation = self.processes[process].incarnation;
            self.processes[process].termed = true;
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

    /// A proxy after the other; of the controllers only the first one's machine.
    pub fn roll(&mut self, machine: usize, pause_ms: u64) {
        if machine >= self.machines.len() {
            return;
        }
        self.term(machine, machine == 0);
        self.after(
            pause_ms * MS,
            None,
            What::ProxyRoster {
                machine: machine + 1,
                pause_ms,
            },
        );
    }

    fn replace(&mut self, machine: usize, orderly: bool) {
        if self.machines[machine].gone {
            return;
        }
        let now = self.now;
        self.record.trouble.core.push(now);
        let another = self.add_machine(true);
        self.unplanned(3_000);
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

    /// It goes for good.
    pub fn retired(&mut self, machine: usize, power: bool) {
        for process in [2 * machine, 2 * machine + 1] {
            self.stop(process, power);
        }
        self.machines[machine].gone = true;
        self.machines[machine].power = false;
        self.forget_held(machine);
        self.record
            .trouble
            .machine
            .push((machine, self.now, Us::MAX));
        self.record.trouble.core.push(self.now);
    }

    /// A process that ended in order is started again, unless its machine goes.
    pub fn ended_in_order(&mut self, process: usize) {
        let (machine, controller) = (
            self.processes[process].machine,
            self.processes[process].is_controller,
        );
        if std::mem::take(&mut self.processes[process].termed) && !self.machines[machine].leaves {
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
}
