//! Calls to controllers. A call without a definite response is repeated at another controller.

use crate::net::Host;
use crate::operator::configuration_of;
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_control::{Endpoint, Reply};

#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    Heartbeat {
        task: usize,
        incarnation: u64,
        draining: bool,
        leaving: bool,
    },
    /// An operator put, by its index in the record.
    Operator(usize),
    ReadBack,
    /// A configuration read during the run, by its index in the record.
    Read(usize),
    App(usize),
    /// An application that has crashed since.
    CrashedApp,
    Watcher(usize),
    /// An application call at the end of the run, by its index in the record.
    Last(usize),
}

pub struct Call {
    pub who: Who,
    pub endpoint: Endpoint,
    pub name: String,
    pub body: Vec<u8>,
    pub query: Vec<(&'static str, String)>,
    pub first_us: Us,
    pub sent_us: Us,
    pub attempt: u32,
    pub machine: usize,
    /// At least one attempt had an indeterminate result.
    pub indeterminate: bool,
    pub until_us: Us,
    /// Timeout of each attempt.
    pub attempt_timeout: Us,
}

const SECOND: Us = S;
/// While responses are lost, one in this many is delivered.
const DELIVERED_ONE_IN: u32 = 4;

impl World {
    pub fn call(
        &mut self,
        who: Who,
        endpoint: Endpoint,
        name: &str,
        body: String,
        query: Vec<(&'static str, String)>,
        (within, attempt_timeout): (Us, Us),
    ) -> u64 {
        let core: Vec<usize> = self.callable();
        let machine = core[self.rng.random_range(0..core.len())];
        self.call_at(
            who,
            endpoint,
            name,
            body,
            query,
            (within, attempt_timeout),
            machine,
        )
    }

    #[allow(clippy::too_many_arguments)]
    pub fn call_at(
        &mut self,
        who: Who,
        endpoint: Endpoint,
        name: &str,
        body: String,
        query: Vec<(&'static str, String)>,
        (within, attempt_timeout): (Us, Us),
        machine: usize,
    ) -> u64 {
        let (call, now) = (self.number(), self.now);
        self.calls.insert(
            call,
            Call {
                who,
                endpoint,
                name: name.into(),
                body: body.into_bytes(),
                query,
                first_us: now,
                sent_us: now,
                attempt: 0,
                machine,
                indeterminate: false,
                until_us: now + within,
                attempt_timeout: SECOND + attempt_timeout,
            },
        );
        self.send_call(call);
        call
    }

    /// The machines with any controller, running or not, from which callers choose.
    pub fn callable(&self) -> Vec<usize> {
        let serves = |m: &usize| self.machines[*m].core || self.machines[*m].stateless;
        (0..self.machines.len())
            .filter(|m| serves(m) && !self.machines[*m].gone)
            .collect()
    }

    /// The machines with a stateful controller.
    pub fn core(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|m| self.machines[*m].core && !self.machines[*m].gone)
            .collect()
    }

    pub fn caller_host(&self, call: u64) -> Host {
        match self.calls.get(&call).map(|call| &call.who) {
            Some(Who::Heartbeat { task, .. }) => Host::Task(*task),
            _ => Host::Outside(0),
        }
    }

    pub fn send_call(&mut self, call: u64) {
        let from = self.caller_host(call);
        let now = self.now;
        let Some(of) = self.calls.get_mut(&call) else {
            return;
        };
        of.attempt += 1;
        of.sent_us = now;
        let (attempt, machine, attempt_timeout) = (of.attempt, of.machine, of.attempt_timeout);
        self.after(attempt_timeout, None, What::CallLate { call, attempt });
        let process = self.process_of(machine, true);
        let to = Host::Machine(machine);
        match self.address(process) {
            Some(to_process) => self.post(from, to, Some(to_process), What::Call { call, attempt }),
            // The connection is refused.
            None if self.powered(to) && !self.net.cut_either(from, to) => {
                let us = self.delay(from, to) + self.delay(to, from);
                self.after(
                    us,
                    None,
                    What::Replied {
                        call,
                        attempt,
                        reply: None,
                    },
                );
            }
            None => {}
        }
    }

    /// Answers a call to a process that has ended or does not listen with a reset.
    pub fn call_not_heard(&mut self, process: usize, call: u64, attempt: u32) {
        let (from, to) = (self.host_of(process), self.caller_host(call));
        if self.powered(from) {
            self.post(
                from,
                to,
                None,
                What::Replied {
                    call,
                    attempt,
                    reply: None,
                },
            );
        }
    }

    pub fn call_late(&mut self, call: u64, attempt: u32) {
        if self
            .calls
            .get(&call)
            .is_some_and(|of| of.attempt == attempt)
        {
            self.unanswered(call, true);
        }
    }

    /// Follows the redirect of a stateless controller at once.
    pub fn redirected(&mut self, call: u64, attempt: u32, machine: usize) {
        let is_awaited = |of: &&mut Call| of.attempt == attempt && of.who != Who::CrashedApp;
        if let Some(of) = self.calls.get_mut(&call).filter(is_awaited) {
            of.machine = machine;
            self.send_call(call);
        }
    }

    pub fn replied(&mut self, call: u64, attempt: u32, reply: Option<Reply>) {
        let Some(of) = self.calls.get(&call).filter(|of| of.attempt == attempt) else {
            return;
        };
        let answer_lost = matches!(of.who, Who::Operator(_)) && self.now < self.answers_lost_until;
        if answer_lost && !self.chance(DELIVERED_ONE_IN) {
            return;
        }
        match reply {
            None => self.unanswered(call, true),
            Some(reply) => match reply.status {
                429 | 503 => self.unanswered(call, false),
                408 | 500.. => self.unanswered(call, true),
                _ => {
                    let Some(of) = self.calls.remove(&call) else {
                        return;
                    };
                    self.call_ended(of, Some(reply));
                }
            },
        }
    }

    /// Retries at the next controller after a growing pause, or gives up at the deadline.
    fn unanswered(&mut self, call: u64, indeterminate: bool) {
        let core = self.callable();
        let now = self.now;
        let Some(of) = self.calls.get_mut(&call) else {
            return;
        };
        of.indeterminate |= indeterminate;
        // Late responses to the previous attempt are ignored.
        of.attempt += 1;
        let place = core
            .iter()
            .position(|machine| *machine == of.machine)
            .map_or(0, |at| at + 1);
        of.machine = core[place % core.len()];
        let pause = (u64::from(of.attempt) * 20 * MS).min(400 * MS);
        if now + pause >= of.until_us {
            if let Some(of) = self.calls.remove(&call) {
                self.call_ended(of, None);
            }
            return;
        }
        self.after(pause, None, What::CallAgain { call });
    }

    fn call_ended(&mut self, call: Call, reply: Option<Reply>) {
        match call.who.clone() {
            Who::Heartbeat {
                task,
                incarnation,
                draining,
                leaving,
            } => {
                self.heartbeat_ended(
                    task,
                    incarnation,
                    (draining, leaving),
                    &call,
                    reply.as_ref(),
                );
            }
            Who::Operator(put) => self.put_ended(put, &call, reply.as_ref()),
            Who::ReadBack => self.read_back_ended(&call, reply.as_ref()),
            Who::Read(read) => self.record.reads[read].body = configuration_of(reply.as_ref()),
            Who::App(app) => self.app_answered(app, &call, reply.as_ref()),
            Who::CrashedApp => {}
            Who::Watcher(watcher) => self.watcher_answered(watcher, &call, reply.as_ref()),
            Who::Last(index) => self.last_answered(index, &call, reply.as_ref()),
        }
    }
}
