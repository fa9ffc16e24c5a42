//! Network faults: partitions, connection resets and packet loss.

use super::Recovery;
use crate::MS;
use crate::net::Host;
use crate::world::World;
use std::collections::BTreeSet;

impl World {
    /// Blocks traffic from these machines to all other hosts, and with `both` the reverse direction too.
    pub(super) fn cut_machines(&mut self, machines: &[usize], both: bool, ms: u64) {
        let (these, others) = self.sides(machines);
        self.cut(&these, &others, ms);
        if both {
            self.cut(&others, &these, ms);
        }
    }

    /// Blocks traffic from all other hosts to these machines.
    pub(super) fn block_incoming(&mut self, machines: &[usize], ms: u64) {
        let (these, others) = self.sides(machines);
        self.cut(&others, &these, ms);
    }

    /// Blocks traffic from all other machines to these machines.
    pub(super) fn block_machines(&mut self, machines: &[usize], ms: u64) {
        let (these, others) = self.sides(machines);
        let is_machine = |host: &Host| matches!(host, Host::Machine(_));
        let others = others.into_iter().filter(is_machine).collect();
        self.cut(&others, &these, ms);
    }

    pub(super) fn cut_tasks(&mut self, machine: usize, zone: usize, ms: u64) {
        let tasks = (0..self.tasks.len()).filter(|task| self.tasks[*task].zone == zone);
        let tasks: BTreeSet<Host> = tasks.map(Host::Task).collect();
        let these = BTreeSet::from([Host::Machine(machine)]);
        self.cut_both_ways(&these, &tasks, ms);
    }

    /// Partitions these machines from the others in `all`.
    pub(super) fn cut_among(&mut self, machines: &[usize], all: Vec<usize>, ms: u64) {
        let others = all
            .into_iter()
            .filter(|machine| !machines.contains(machine));
        let others: BTreeSet<Host> = others.map(Host::Machine).collect();
        let these = machines.iter().copied().map(Host::Machine).collect();
        self.cut_both_ways(&these, &others, ms);
    }

    fn cut_both_ways(&mut self, these: &BTreeSet<Host>, others: &BTreeSet<Host>, ms: u64) {
        self.cut(these, others, ms);
        self.cut(others, these, ms);
    }

    pub(super) fn reset_machine(&mut self, machine: usize) {
        self.note_machine_fault(machine, 0);
        self.reset_lines(machine);
        self.reset_requests(machine);
    }

    pub(super) fn lose_packets(&mut self, machine: usize, ms: u64) {
        self.note_machine_fault(machine, ms);
        let number = self.number();
        self.net.lossy.insert(number, Host::Machine(machine));
        self.recover_in(ms, number, Recovery::Lossy);
    }

    /// Splits the hosts into these machines and all other machines and tasks.
    fn sides(&self, machines: &[usize]) -> (BTreeSet<Host>, BTreeSet<Host>) {
        let these: BTreeSet<Host> = machines
            .iter()
            .map(|machine| Host::Machine(*machine))
            .collect();
        let all = (0..self.machines.len())
            .map(Host::Machine)
            .chain((0..self.tasks.len()).map(Host::Task))
            .chain([Host::Platform]);
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
                        self.record.faults.cuts.push((*a, *b, now, until));
                        core |= self.machines[*a].core && self.machines[*b].core;
                    }
                    (Host::Machine(m), Host::Task(t)) | (Host::Task(t), Host::Machine(m)) => {
                        self.record.faults.task_cuts.push((*m, *t, now, until));
                    }
                    _ => {}
                }
            }
        }
        self.note_unplanned(ms);
        if core {
            self.record.faults.core.extend([now, until]);
        }
        let number = self.number();
        self.net.cuts.insert(number, (from.clone(), to.clone()));
        self.recover_in(ms, number, Recovery::Cut { core });
    }
}
