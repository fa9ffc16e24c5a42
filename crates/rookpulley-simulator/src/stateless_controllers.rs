//! The controller of a machine without a disk: the stateless controller with simulated lines and callers round it.

use crate::net::decode_frame;
use crate::world::{Core, What, World};
use crate::{MS, S, Us};
use rookpulley_control::{
    Content, PeerMessage, Reply, StatelessController, StatelessEffect, StatelessStart,
};
use rookpulley_protocol::{ControllerToProxy, ProxyToController, encode_frame};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

const TICK: Us = S;
const DIAL_WITHIN: Us = 500 * MS;
const PAUSE: Us = 100 * MS;
const LONGEST_PAUSE: Us = S;

struct Dialer {
    line: Option<u64>,
    pause: Us,
    begun: Us,
}

pub struct StatelessProcess {
    stateless: StatelessController,
    dialers: BTreeMap<Ipv4Addr, Dialer>,
}

impl World {
    pub fn start_stateless(&mut self, machine: usize, first: bool) {
        let process = self.process_of(machine, true);
        if self.running(process) {
            return;
        }
        let at = &self.machines[machine];
        let stateless = StatelessController::new(StatelessStart {
            address: SocketAddrV4::new(at.ip, 7_721),
            zone: at.zone.to_string(),
            seeds: self.seeds(),
            first_start: first,
        });
        self.begin(
            process,
            Core::StatelessController(StatelessProcess {
                stateless,
                dialers: BTreeMap::new(),
            }),
        );
        self.say(|| format!("controller {machine}: begins, without a disk"));
        self.after(TICK, self.address(process), What::Tick);
        self.with_stateless(process, |_, _| ());
    }

    fn stateless(&mut self, process: usize) -> Option<&mut StatelessProcess> {
        match self.processes.get_mut(process)?.core.as_mut()? {
            Core::StatelessController(stateless) => Some(stateless),
            _ => None,
        }
    }

    /// Something comes in; what is wanted is carried out.
    fn with_stateless<T>(
        &mut self,
        process: usize,
        input: impl FnOnce(&mut StatelessController, f64) -> T,
    ) -> Option<T> {
        let clock = self.clock(process);
        let stateless = self.stateless(process)?;
        let came = input(&mut stateless.stateless, clock);
        let effects = stateless.stateless.take_effects();
        for effect in effects {
            self.stateless_wants(process, effect);
        }
        Some(came)
    }

    fn stateless_wants(&mut self, process: usize, effect: StatelessEffect) {
        let me = self.address(process);
        match effect {
            StatelessEffect::Connect(ip) => {
                if let Some(stateless) = self.stateless(process) {
                    stateless.dialers.insert(
                        ip,
                        Dialer {
                            line: None,
                            pause: PAUSE,
                            begun: 0,
                        },
                    );
                }
                self.after(0, me, What::Dial(ip));
            }
            StatelessEffect::SendToController { to, message } => {
                let line = self
                    .stateless(process)
                    .and_then(|stateless| stateless.dialers.get(&to)?.line);
                line.into_iter()
                    .for_each(|line| self.send_line(line, 0, encode_frame(&message)));
            }
            StatelessEffect::SendToClient { connection, frame } => {
                self.send_line(connection, 1, frame)
            }
            StatelessEffect::Log(line) => {
                let machine = self.processes[process].machine;
                self.say(|| format!("controller {machine}: {line}"));
            }
        }
    }

    pub fn stateless_takes(&mut self, process: usize, what: What) {
        let me = self.address(process);
        match what {
            What::Tick => {
                self.after(TICK, me, What::Tick);
                self.with_stateless(process, StatelessController::tick);
            }
            What::Dial(ip) => self.dial(process, ip, DIAL_WITHIN),
            What::Dialed { ip, up } => self.stateless_dialed(process, ip, up),
            What::Line { line, side, bytes } => {
                if let Some(bytes) = self.receive_line(line, side, bytes) {
                    self.stateless_hears(process, line, side, &bytes);
                }
            }
            What::LineEnd { line, side } => self.stateless_line_ends(process, line, side, false),
            What::LineCheck { line, side } if self.check_line(line, side) => {
                self.stateless_line_ends(process, line, side, true);
            }
            What::Call { call, attempt } => self.stateless_called(process, call, attempt),
            What::Leaving => self.stop(process, false),
            _ => {}
        }
    }

    fn stateless_dialed(&mut self, process: usize, ip: Ipv4Addr, up: bool) {
        let (Some(me), now) = (self.address(process), self.now) else {
            return;
        };
        let there = self
            .machine_at(ip)
            .map(|machine| self.process_of(machine, true));
        let Some(there) = there.and_then(|there| self.address(there)).filter(|_| up) else {
            return self.stateless_dials_again(process, ip);
        };
        let line = self.open_line(me, there, [true, false]);
        if let Some(dialer) = self
            .stateless(process)
            .and_then(|stateless| stateless.dialers.get_mut(&ip))
        {
            (dialer.line, dialer.begun) = (Some(line), now);
        }
        self.with_stateless(process, |stateless, now| {
            stateless.controller_connected(now, ip)
        });
    }

    fn stateless_dials_again(&mut self, process: usize, ip: Ipv4Addr) {
        let me = self.address(process);
        if self.with_stateless(process, |stateless, now| stateless.remove_stale(now, ip))
            == Some(true)
        {
            self.stateless(process)
                .into_iter()
                .for_each(|stateless| _ = stateless.dialers.remove(&ip));
            return;
        }
        let Some(dialer) = self
            .stateless(process)
            .and_then(|stateless| stateless.dialers.get_mut(&ip))
        else {
            return;
        };
        let pause = dialer.pause;
        dialer.pause = (pause * 2).min(LONGEST_PAUSE);
        self.after(pause, me, What::Dial(ip));
    }

    fn stateless_hears(&mut self, process: usize, line: u64, side: usize, bytes: &[u8]) {
        let Some(of) = self.lines.get(&line) else {
            return;
        };
        let other = of.ends[1 - side].0;
        let ip = self.machines[self.processes[other].machine].ip;
        if side == 0 {
            let Some(down) = decode_frame::<ControllerToProxy>(bytes) else {
                return;
            };
            self.with_stateless(process, |stateless, now| {
                stateless.handle_controller_message(now, ip, down)
            });
        } else if self.is_stateful_controller(other) {
            let Some(PeerMessage::Hello { from, .. }) = decode_frame(bytes) else {
                return;
            };
            self.with_stateless(process, |stateless, now| {
                stateless.handle_peer_hello(now, from)
            });
        } else if let Some(up) = decode_frame::<ProxyToController>(bytes) {
            self.with_stateless(process, |stateless, _| {
                stateless.client_connected(line, &up)
            });
        }
    }

    /// `own`: this side ends it.
    fn stateless_line_ends(&mut self, process: usize, line: u64, side: usize, own: bool) {
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return;
        };
        let ip = self.machines[self.processes[of.ends[1 - side].0].machine].ip;
        self.end_line(line, side, !own);
        if side == 1 {
            self.with_stateless(process, |stateless, _| stateless.client_disconnected(line));
            return;
        }
        let now = self.now;
        if let Some(dialer) = self
            .stateless(process)
            .and_then(|stateless| stateless.dialers.get_mut(&ip))
        {
            dialer.line = None;
            if now - dialer.begun > S {
                dialer.pause = PAUSE;
            }
        }
        self.with_stateless(process, |stateless, _| {
            stateless.controller_disconnected(ip)
        });
        self.stateless_dials_again(process, ip);
    }

    fn stateless_called(&mut self, process: usize, call: u64, attempt: u32) {
        let Some(of) = self.calls.get(&call) else {
            return;
        };
        let name = of.name.clone();
        let to = self
            .with_stateless(process, |stateless, now| stateless.redirect(now, &name))
            .flatten();
        let (from, caller) = (self.host_of(process), self.caller_host(call));
        let what = match to.and_then(|ip| self.machine_at(ip)) {
            Some(machine) => What::Redirected {
                call,
                attempt,
                machine,
            },
            None => {
                let reply = Reply {
                    status: 503,
                    retry_after: Some("0.2"),
                    content: Content::Empty,
                };
                What::Replied {
                    call,
                    attempt,
                    reply: Some(reply),
                }
            }
        };
        self.post(from, caller, None, what);
    }
}
