//! Simulated clients and the platform load balancer that selects proxies by readiness.

use crate::net::Host;
use crate::record::{Ended, Try};
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_routes::RouteKind;

/// A response as the client receives it.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// 0 if the connection closed without a response.
    pub status: u16,
    pub signature: u64,
    pub body: u64,
    pub retry_after_ms: Option<f64>,
    pub whole: bool,
}

impl ClientResponse {
    pub fn own(status: u16, retry_after_ms: Option<f64>) -> ClientResponse {
        ClientResponse {
            status,
            signature: 0,
            body: 0,
            retry_after_ms,
            whole: true,
        }
    }
}

#[derive(Default)]
pub struct Clients {
    requests: usize,
}

pub fn hash(a: u64, b: u64) -> u64 {
    (a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b).wrapping_mul(0xd6e8_feb8_6659_fd93) ^ (a >> 7)
}

const MAX_ATTEMPTS: u32 = 4;
const MAX_IMPATIENT_ATTEMPTS: u32 = 12;

impl World {
    // ---- the platform -----------------------------------------------------------------------

    pub fn ask_readiness(&mut self) {
        for machine in 0..self.machines.len() {
            let ready = self.machines[machine].power
                && !self.machines[machine].gone
                && self.proxy_ready(machine)
                && !self
                    .net
                    .lossy
                    .values()
                    .any(|host| *host == Host::Machine(machine));
            let at = &mut self.machines[machine];
            at.readiness_missed = if ready {
                0
            } else {
                (at.readiness_missed + 1).min(9)
            };
        }
        self.after(S, None, What::Readiness);
    }

    fn proxy_for(&mut self, zone: usize) -> Option<usize> {
        let there = |w: &World, m: &usize| !w.machines[*m].gone && w.machines[*m].zone == zone;
        let all: Vec<usize> = (0..self.machines.len())
            .filter(|m| there(self, m))
            .collect();
        let is_in: Vec<usize> = all
            .iter()
            .copied()
            .filter(|m| self.machines[*m].readiness_missed < 2)
            .collect();
        let any: Vec<usize> = match (is_in.len() * 2 >= all.len(), is_in.is_empty()) {
            (true, false) => is_in,
            (false, false) => all,
            _ => {
                let all = (0..self.machines.len()).filter(|m| !self.machines[*m].gone);
                all.filter(|m| self.machines[*m].readiness_missed < 2)
                    .collect()
            }
        };
        (!any.is_empty()).then(|| any[self.rng.random_range(0..any.len())])
    }

    // ---- clients ----------------------------------------------------------------------------

    pub fn client_comes(&mut self) {
        let (times, until) = self.burst;
        let times = if self.now < until { times } else { 1 };
        let mean = 1_000_000 / u64::from(self.day.rate * times).max(1);
        let us = self.rng.random_range(0..2 * mean);
        if self.now + S + 500 * MS < self.day.length_ms * MS {
            self.after(us, None, What::Client);
        }
        let Some(route) = self.operator.pick_route(&mut self.rng) else {
            return;
        };
        self.clients.requests += 1;
        let request = self.clients.requests;
        let zone = self.rng.random_range(0..self.day.zones);
        let deadline = route.timeout_ms * MS + self.rng.random_range(0..300u64) * MS;
        let path = format!("{}{:x}", route.prefix, request);
        let identity = self.tenants.draw_identity();
        self.begin_try(Try {
            request,
            number: 1,
            zone,
            host: route.host.clone(),
            path,
            kind: route.kind,
            identity,
            machine: 0,
            process_incarnation: 0,
            sent_us: 0,
            deadline,
            until: self.now + deadline,
            read_us: None,
            ended: None,
        });
    }

    fn begin_try(&mut self, try_: Try) {
        self.record.tries.push(try_);
        let index = self.record.tries.len() - 1;
        self.client_sends(index);
    }

    pub fn client_sends(&mut self, index: usize) {
        let zone = self.record.tries[index].zone;
        let now = self.now;
        let machine = self.proxy_for(zone);
        let of = &mut self.record.tries[index];
        of.sent_us = now;
        let left = of.until.saturating_sub(now);
        of.deadline = left;
        let Some(machine) = machine else {
            self.ends(index, Ended::ClosedUnread);
            return;
        };
        of.machine = machine;
        let process = self.process_of(machine, false);
        let from = Host::Outside(zone);
        let to = Host::Machine(machine);
        if let Some(address) = self.address(process) {
            self.record.tries[index].process_incarnation = address.1;
            let us = 2 * self.delay(from, to);
            self.after(us, Some(address), What::Request(index));
            // Clients abandon idempotent requests that are not read in time.
            self.after(left, None, What::ClientLate { try_: index });
            if self.record.tries[index].kind.is_idempotent() {
                self.after((left / 3).min(S), None, What::ClientLate { try_: index });
            }
        } else {
            let us = if self.powered(to) {
                2 * self.delay(from, to)
            } else {
                S
            };
            let response = ClientResponse {
                whole: false,
                ..ClientResponse::own(0, None)
            };
            self.after(
                us,
                None,
                What::ClientAnswer {
                    try_: index,
                    answer: response,
                },
            );
        }
    }

    /// Handles a request to a proxy that has ended: the client sees a reset or, without power, a timeout.
    pub fn not_read(&mut self, process: usize, index: usize) {
        let host = self.host_of(process);
        let us = if self.powered(host) { MS } else { S };
        let response = ClientResponse {
            whole: false,
            ..ClientResponse::own(0, None)
        };
        self.after(
            us,
            None,
            What::ClientAnswer {
                try_: index,
                answer: response,
            },
        );
    }

    pub fn client_late(&mut self, index: usize) {
        let of = &self.record.tries[index];
        if of.ended.is_some() || (self.now < of.sent_us + of.deadline && of.read_us.is_some()) {
            return;
        }
        let (machine, incarnation, read) =
            (of.machine, of.process_incarnation, of.read_us.is_some());
        let process = self.process_of(machine, false);
        let zone = of.zone;
        self.ends(index, if read { Ended::Late } else { Ended::Abandoned });
        let us = self.delay(Host::Outside(zone), Host::Machine(machine));
        self.after(us, Some((process, incarnation)), What::ClientClosed(index));
    }

    pub fn client_hears(&mut self, index: usize, response: ClientResponse) {
        if self.record.tries[index].ended.is_some() {
            return;
        }
        let read = self.record.tries[index].read_us.is_some();
        let ended = match (response.status, read) {
            (0, false) => Ended::ClosedUnread,
            (0, true) => Ended::Closed,
            _ => Ended::Response(response),
        };
        self.ends(index, ended);
    }

    /// Ends an attempt and schedules the next one if a retry is allowed.
    fn ends(&mut self, index: usize, ended: Ended) {
        let now = self.now;
        let of = &mut self.record.tries[index];
        let repeatable = of.kind.is_idempotent();
        let retry_ms = match &ended {
            Ended::Response(response) => response.retry_after_ms.unwrap_or(0.0),
            _ => 0.0,
        };
        let again = match &ended {
            Ended::Response(response) => match response.status {
                200..=299 | 400 | 401 | 404 | 413 | 431 => false,
                408 | 421 | 429 | 503 => true,
                _ => repeatable,
            },
            Ended::ClosedUnread => true,
            Ended::Closed | Ended::Abandoned => repeatable,
            Ended::Late => false,
        };
        of.ended = Some((now, ended));
        let left = of.until.saturating_sub(now);
        let (impatient, once) = (self.day.shape.impatient, self.day.shape.once);
        let max_attempts = match (impatient, once) {
            (_, true) => 1,
            (true, _) => MAX_IMPATIENT_ATTEMPTS,
            _ => MAX_ATTEMPTS,
        };
        if !again || of.number >= max_attempts || left < 20 * MS {
            return;
        }
        let delay_ms = if impatient { 0.0 } else { retry_ms };
        let pause = ((delay_ms * 1e3) as Us).min(left / 3).max(10 * MS);
        let next = Try {
            number: of.number + 1,
            read_us: None,
            ended: None,
            ..of.clone()
        };
        self.record.tries.push(next);
        let next = self.record.tries.len() - 1;
        self.after(pause, None, What::Send(next));
    }
}

pub fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::ReadOnly => "read_only",
        RouteKind::Mutating => "mutating",
        RouteKind::Download => "download",
    }
}
