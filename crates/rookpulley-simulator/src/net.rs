//! Simulated network with latency, partitions, packet loss and ordered connections.

use crate::world::{What, World};
use crate::{MS, Us};
use rand::RngExt;
use rookpulley_protocol::FrameDecoder;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Machine(usize),
    /// The index of a task.
    Task(usize),
    /// Clients, operators and applications in a zone; partitions do not affect them.
    Outside(usize),
    /// The platform that usage is reported to.
    Platform,
}

/// Limit on unacknowledged data, and on silence where it is monitored, before a connection is closed.
const UNACKNOWLEDGED_LIMIT: Us = 2_500 * MS;
const CHECK_INTERVAL: Us = 250 * MS;

type Held = (Host, Host, Option<(usize, u32)>, What);

#[derive(Default)]
pub struct Net {
    /// Partitions: traffic from the first set to the second is blocked.
    pub cuts: BTreeMap<u64, (BTreeSet<Host>, BTreeSet<Host>)>,
    pub lossy: BTreeMap<u64, Host>,
    held: Vec<Held>,
}

/// Decodes a frame that contains one message.
pub fn decode_frame<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
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

/// A connection between two gateway processes. Side 0 opened it.
pub struct Line {
    pub ends: [(usize, u32); 2],
    /// Whether each side is open.
    pub open: [bool; 2],
    /// Arrival time of the last message sent by each side.
    last: [Us; 2],
    /// Messages of each side that a partition delays.
    held: [VecDeque<Vec<u8>>; 2],
    /// Since when data of each side is unacknowledged.
    stuck: [Option<Us>; 2],
    /// When each side last received a message.
    heard: [Us; 2],
    /// Whether each side closes the connection on silence.
    quiet: [bool; 2],
    /// Between controllers: the identity in the hello message.
    pub who: Option<u64>,
    /// From a proxy: its name and the connection number assigned by the controller.
    pub proxy: Option<(String, u64)>,
}

impl World {
    pub fn zone_of(&self, host: Host) -> usize {
        match host {
            Host::Machine(machine) => self.machines[machine].zone,
            Host::Task(task) => self.tasks.get(task).map_or(0, |task| task.zone),
            Host::Outside(zone) => zone,
            Host::Platform => 0,
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

    /// Sends a message outside any connection, such as a request.
    pub fn post(&mut self, from: Host, to: Host, process: Option<(usize, u32)>, what: What) {
        if self.net.cut(from, to) {
            return self.net.held.push((from, to, process, what));
        }
        if self.powered(to) {
            let us = self.delay(from, to);
            self.after(us, process, what);
        }
    }

    /// Sends delayed messages whose partition has ended.
    pub fn release_delayed(&mut self) {
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

    /// Drops delayed messages from and to a machine that lost power.
    pub fn drop_delayed(&mut self, machine: usize) {
        let host = Host::Machine(machine);
        self.net
            .held
            .retain(|(from, to, ..)| *from != host && *to != host);
    }

    // ---- connections ------------------------------------------------------------------------------

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
            self.after(CHECK_INTERVAL, Some(end), What::LineCheck { line, side });
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

    /// Receives a message on a connection, unless the side is closed or a partition delays it.
    pub fn receive_line(&mut self, line: u64, side: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let of = self.lines.get(&line)?;
        let (from, to) = (
            self.host_of(of.ends[1 - side].0),
            self.host_of(of.ends[side].0),
        );
        let cut = self.net.cut(from, to);
        let now = self.now;
        if !self.lines.get(&line)?.open[side] {
            // A closed side answers with a reset.
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

    /// Whether this side must close the connection: unacknowledged data, silence or a reset.
    pub fn check_line(&mut self, line: u64, side: usize) -> bool {
        let now = self.now;
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return false;
        };
        let (here, there) = (of.ends[side], of.ends[1 - side]);
        let unheard = of.stuck[side].is_some_and(|since| now - since > UNACKNOWLEDGED_LIMIT);
        let quiet = of.quiet[side] && now - of.heard[side] > UNACKNOWLEDGED_LIMIT;
        // The peer process has restarted and answers with a reset.
        let reset = !of.open[1 - side]
            && self.processes[there.0].incarnation != there.1
            && self.powered(self.host_of(there.0))
            && !self
                .net
                .cut_either(self.host_of(here.0), self.host_of(there.0));
        if unheard || quiet || reset {
            return true;
        }
        self.after(CHECK_INTERVAL, Some(here), What::LineCheck { line, side });
        false
    }

    /// Closes one side of a connection and notifies the other side if it is reachable.
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

    /// Closes all connections of a process.
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

    /// Resets all connections of a machine and notifies both sides.
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

    /// Opens a connection; the result arrives after one round trip or the timeout.
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
