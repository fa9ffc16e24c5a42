//! What is said between hosts: it takes its time, keeps its order on a line, and may be held up, lost or cut off.

use crate::world::{What, World};
use crate::{MS, Us};
use rand::RngExt;
use rookpulley_protocol::FrameDecoder;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Machine(usize),
    /// The place of a task.
    Task(usize),
    /// Clients, operators, applications: no cut reaches them.
    Outside(usize),
}

/// What isn't confirmed for so long ends a line, and so does silence where something must be said.
const UNHEARD: Us = 2_500 * MS;
const LOOK: Us = 250 * MS;

type Held = (Host, Host, Option<(usize, u32)>, What);

#[derive(Default)]
pub struct Net {
    /// What these say to those doesn't come.
    pub cuts: BTreeMap<u64, (BTreeSet<Host>, BTreeSet<Host>)>,
    pub lossy: BTreeMap<u64, Host>,
    held: Vec<Held>,
}

/// The one message in a frame.
pub fn unframed<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut frames = FrameDecoder::default();
    frames.push(bytes);
    frames.decode_next().ok().flatten()
}

impl Net {
    pub fn cut(&self, from: Host, to: Host) -> bool {
        self.cuts
            .values()
            .any(|(a, b)| a.contains(&from) && b.contains(&to))
    }

    pub fn cut_either(&self, a: Host, b: Host) -> bool {
        self.cut(a, b) || self.cut(b, a)
    }
}

/// A line between two of our processes. Side 0 dialed it.
pub struct Line {
    pub ends: [(usize, u32); 2],
    /// Whether that side still has it open.
    pub open: [bool; 2],
    /// Of what goes out from that side: when the last of it arrives, what a cut holds up, since when nothing of it is
    /// confirmed.
    last: [Us; 2],
    held: [VecDeque<Vec<u8>>; 2],
    stuck: [Option<Us>; 2],
    /// When that side last heard something.
    heard: [Us; 2],
    /// Whether that side hangs up on silence.
    quiet: [bool; 2],
    /// Between controllers: who said hello. From a proxy: its name and the controller's number for it.
    pub who: Option<u64>,
    pub proxy: Option<(String, u64)>,
}

impl World {
    pub fn zone_of(&self, host: Host) -> usize {
        match host {
            Host::Machine(machine) => self.machines[machine].zone,
            Host::Task(task) => self.tasks.get(task).map_or(0, |task| task.zone),
            Host::Outside(zone) => zone,
        }
    }

    pub fn delay(&mut self, from: Host, to: Host) -> Us {
        let near = self.zone_of(from) == self.zone_of(to);
        let mut us = if near {
            self.rng.random_range(200..1_200u64)
        } else {
            self.rng.random_range(1_500..8_000u64)
        };
        if self.chance(60) {
            us += self.rng.random_range(0..15_000u64);
        }
        let lossy = self
            .net
            .lossy
            .values()
            .any(|host| *host == from || *host == to);
        if lossy && self.chance(6) {
            us += self.rng.random_range(200..500u64) * MS;
        }
        us
    }

    pub fn powered(&self, host: Host) -> bool {
        match host {
            Host::Machine(machine) => self.machines[machine].power && !self.machines[machine].gone,
            _ => true,
        }
    }

    /// Something that stands alone, such as a request.
    pub fn post(&mut self, from: Host, to: Host, process: Option<(usize, u32)>, what: What) {
        if self.net.cut(from, to) {
            return self.net.held.push((from, to, process, what));
        }
        if self.powered(to) {
            let us = self.delay(from, to);
            self.after(us, process, what);
        }
    }

    /// What a cut held up comes now.
    pub fn let_go(&mut self) {
        let held = std::mem::take(&mut self.net.held);
        for (from, to, process, what) in held {
            if self.powered(from) {
                self.post(from, to, process, what);
            }
        }
        let lines: Vec<u64> = self.lines.keys().copied().collect();
        for line in lines {
            for side in 0..2 {
                let Some(of) = self.lines.get_mut(&line) else {
                    break;
                };
                let (from, to) = (of.ends[side].0, of.ends[1 - side].0);
                let (from, to) = (self.host_of(from), self.host_of(to));
                if self.net.cut(from, to) {
                    continue;
                }
                let both = !self.net.cut(to, from);
                let Some(of) = self.lines.get_mut(&line) else {
                    break;
                };
                if both {
                    of.stuck[side] = None;
                }
                let held = std::mem::take(&mut of.held[side]);
                held.into_iter()
                    .for_each(|bytes| self.send_line(line, side, bytes));
            }
        }
    }

    /// Machines without power lose what they had to say.
    pub fn forget_held(&mut self, machine: usize) {
        let host = Host::Machine(machine);
        self.net
            .held
            .retain(|(from, to, ..)| *from != host && *to != host);
    }

    // ---- lines ------------------------------------------------------------------------------

    pub fn open_line(&mut self, from: (usize, u32), to: (usize, u32), quiet: [bool; 2]) -> u64 {
        let line = self.number();
        let now = self.now;
        self.lines.insert(
            line,
            Line {
                ends: [from, to],
                open: [true; 2],
                last: [now; 2],
                held: Default::default(),
                stuck: [None; 2],
                heard: [now; 2],
                quiet,
                who: None,
                proxy: None,
            },
        );
        for (side, end) in [from, to].into_iter().enumerate() {
            self.after(LOOK, Some(end), What::LineCheck { line, side });
        }
        line
    }

    pub fn send_line(&mut self, line: u64, side: usize, bytes: Vec<u8>) {
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return;
        };
        let (from, to) = (
            self.host_of(of.ends[side].0),
            self.host_of(of.ends[1 - side].0),
        );
        let (cut, away) = (self.net.cut(from, to), !self.powered(to));
        let stuck = cut || away || self.net.cut(to, from);
        let us = self.delay(from, to);
        let now = self.now;
        let Some(of) = self.lines.get_mut(&line) else {
            return;
        };
        if stuck {
            of.stuck[side].get_or_insert(now);
        }
        if cut || !of.held[side].is_empty() {
            of.held[side].push_back(bytes);
            return;
        }
        if away {
            return;
        }
        let at = (now + us).max(of.last[side] + 1);
        of.last[side] = at;
        let end = of.ends[1 - side];
        self.at(
            at,
            Some(end),
            What::Line {
                line,
                side: 1 - side,
                bytes,
            },
        );
    }

    /// What came on a line, if it came.
    pub fn heard_line(&mut self, line: u64, side: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let of = self.lines.get(&line)?;
        let (from, to) = (
            self.host_of(of.ends[1 - side].0),
            self.host_of(of.ends[side].0),
        );
        let cut = self.net.cut(from, to);
        let now = self.now;
        if !self.lines.get(&line)?.open[side] {
            // A reset goes back.
            let end = self.lines.get(&line)?.ends[1 - side];
            if !self.net.cut(to, from) {
                let us = self.delay(to, from);
                self.after(
                    us,
                    Some(end),
                    What::LineEnd {
                        line,
                        side: 1 - side,
                    },
                );
            }
            return None;
        }
        let of = self.lines.get_mut(&line)?;
        if cut {
            of.held[1 - side].push_back(bytes);
            of.stuck[1 - side].get_or_insert(now);
            return None;
        }
        of.heard[side] = now;
        Some(bytes)
    }

    /// Whether this side gives the line up now: what it said isn't confirmed, or it hears nothing.
    pub fn check_line(&mut self, line: u64, side: usize) -> bool {
        let now = self.now;
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return false;
        };
        let (here, there) = (of.ends[side], of.ends[1 - side]);
        let unheard = of.stuck[side].is_some_and(|since| now - since > UNHEARD);
        let quiet = of.quiet[side] && now - of.heard[side] > UNHEARD;
        // The other side has another incarnation: it answers with a reset.
        let reset = !of.open[1 - side]
            && self.processes[there.0].incarnation != there.1
            && self.powered(self.host_of(there.0))
            && !self
                .net
                .cut_either(self.host_of(here.0), self.host_of(there.0));
        if unheard || quiet || reset {
            return true;
        }
        self.after(LOOK, Some(here), What::LineCheck { line, side });
        false
    }

    /// This side ends a line; the other one learns of it if it can.
    pub fn end_line(&mut self, line: u64, side: usize, quiet: bool) {
        let Some(of) = self.lines.get_mut(&line) else {
            return;
        };
        of.open[side] = false;
        if !of.open[1 - side] {
            self.lines.remove(&line);
            return;
        }
        let (from, to) = (of.ends[side].0, of.ends[1 - side]);
        let (from, host) = (self.host_of(from), self.host_of(to.0));
        if !quiet && !self.net.cut(from, host) {
            let us = self.delay(from, host);
            let at = self
                .lines
                .get(&line)
                .map_or(0, |of| (self.now + us).max(of.last[side] + 1));
            self.at(
                at,
                Some(to),
                What::LineEnd {
                    line,
                    side: 1 - side,
                },
            );
        }
    }

    /// All lines of a process that ends.
    pub fn end_lines(&mut self, process: usize, quiet: bool) {
        let its: Vec<(u64, usize)> = self
            .lines
            .iter()
            .flat_map(|(line, of)| {
                (0..2)
                    .filter(|s| of.ends[*s].0 == process && of.open[*s])
                    .map(|s| (*line, s))
            })
            .collect();
        its.into_iter()
            .for_each(|(line, side)| self.end_line(line, side, quiet));
    }

    /// The lines of a machine are reset, both sides learn of it.
    pub fn reset_lines(&mut self, machine: usize) {
        let its = |process: usize| process / 2 == machine;
        let lines: Vec<u64> = self
            .lines
            .iter()
            .filter(|(_, of)| of.ends.iter().any(|end| its(end.0)))
            .map(|(l, _)| *l)
            .collect();
        for line in lines {
            for side in 0..2 {
                if let Some(end) = self
                    .lines
                    .get(&line)
                    .filter(|of| of.open[side])
                    .map(|of| of.ends[side])
                {
                    self.after(MS, Some(end), What::LineEnd { line, side });
                }
            }
        }
    }

    /// A process dials another one: true where it listens, after the way there and back.
    pub fn dial(&mut self, process: usize, ip: std::net::Ipv4Addr, within: Us) {
        let Some(me) = self.address(process) else {
            return;
        };
        let from = self.host_of(process);
        let machine = self.machine_at(ip);
        let to = machine.map(Host::Machine);
        let reached = to.is_some_and(|to| self.powered(to) && !self.net.cut_either(from, to));
        let (us, up) = match to {
            Some(to) if reached => {
                let us = self.delay(from, to) + self.delay(to, from);
                let listens = machine.is_some_and(|m| self.running(self.process_of(m, true)));
                (us.min(within), listens && us < within)
            }
            _ => (within, false),
        };
        self.after(us, Some(me), What::Dialed { ip, up });
    }
}
