//! A proxy's process: the state and its requests, with connections to controllers, clients and connections to tasks round them.

mod attempts;
mod connections;
mod controllers;
mod requests;

use crate::clients::ClientResponse;
use crate::net::{Host, decode_frame};
use crate::tasks::{Answer, UpstreamRequest};
use crate::world::{Core, Mutation, What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_balancer::{AttemptOutcome, Pick};
use rookpulley_protocol::{
    ControllerToProxy, InstanceLoad, LoadReport, ProxyToController, TableEntry, encode_frame,
};
use rookpulley_proxy_core::{
    AfterAttempt, AttemptEnd, Credentials, Effect, NextStep, ProxyStart, ProxyState,
    RequestLifecycle, Resend, ResponseHead, RouteDecision, RouteRequest, SendFailure, evaluate,
};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;

const DIAL_WITHIN: Us = 500 * MS;
const PAUSE: Us = 100 * MS;
const LONGEST_PAUSE: Us = S;
const TICK: Us = 250 * MS;
const LAST_TICK: Us = 100 * MS;
const STILL_SENT: Us = 3 * S;
/// The setting `revokeMs`.
pub const REVOKE_MS: f64 = 5_000.0;
const BEFORE_KILL: Us = 700 * MS;
pub const GRACE: Us = 6 * S;
const CONNECT: Us = 150 * MS;
const CONNECT_FAR: Us = 300 * MS;
const IDLE: Us = 4 * S;
/// What may run once goes on a connection that was used this lately.
const FRESH: Us = 250 * MS;

struct Dialer {
    line: Option<u64>,
    pause: Us,
    begun: Us,
}

struct Wire {
    number: u64,
    freed: Us,
}

#[derive(Default)]
struct Pool {
    open: usize,
    idle: Vec<Wire>,
}

/// A request at work.
struct Work {
    lifecycle: RequestLifecycle,
    once: bool,
    gone: bool,
    /// A later one makes what was begun for an earlier one void.
    attempt: u32,
    pick: Option<Pick>,
    to: Option<Rc<TableEntry>>,
    began_ms: f64,
    resend: Resend,
    left: bool,
    wire: Option<(u64, bool)>,
}

pub struct ProxyProcess {
    state: ProxyState,
    dialers: BTreeMap<Ipv4Addr, Dialer>,
    pools: HashMap<String, Pool>,
    /// The incarnations that connections go to.
    incarnations: HashMap<u64, String>,
    works: BTreeMap<usize, Work>,
    tick: u32,
    ends: Option<Us>,
    /// The first configuration that it was sent.
    first: Option<Vec<u8>>,
    gone_back: bool,
}

impl World {
    pub fn start_proxy(&mut self, machine: usize) {
        let process = self.process_of(machine, false);
        if self.running(process) {
            return;
        }
        let state = self.new_state(machine);
        let proxy = ProxyProcess {
            state,
            dialers: BTreeMap::new(),
            pools: HashMap::new(),
            incarnations: HashMap::new(),
            works: BTreeMap::new(),
            tick: 0,
            ends: None,
            first: None,
            gone_back: false,
        };
        self.begin(process, Core::Proxy(proxy));
        self.say(|| format!("proxy {machine}: begins"));
        self.after(TICK, self.address(process), What::Tick);
        self.with_state(process, ProxyState::tick);
    }

    fn new_state(&mut self, machine: usize) -> ProxyState {
        let seeds = self.seeds().iter().map(|seed| *seed.ip()).collect();
        let (mut ratio, mut slack) = (self.day.retry_ratio, self.day.retry_slack);
        if self.mutation == Some(Mutation::UnlimitedRetries) {
            (ratio, slack) = (50.0, 1e6);
        }
        let zone = format!("zone-{}", self.machines[machine].zone);
        let is_strict =
            self.day.shape.revocation_strict && self.mutation != Some(Mutation::IgnoreKeyLease);
        ProxyState::new(ProxyStart {
            name: &format!("edge-{machine}"),
            zone: &zone,
            seeds,
            retry_ratio: ratio,
            retry_slack: slack,
            seed: self.rng.random(),
            revoke_ms: is_strict.then_some(REVOKE_MS),
            origin_unix_ms: self.origin_unix_ms(machine),
            usage: self.usage_start(),
        })
    }

    fn proxy(&mut self, process: usize) -> Option<&mut ProxyProcess> {
        match self.processes.get_mut(process)?.core.as_mut()? {
            Core::Proxy(proxy) => Some(proxy),
            _ => None,
        }
    }

    fn with_state<T>(
        &mut self,
        process: usize,
        input: impl FnOnce(&mut ProxyState, f64) -> T,
    ) -> Option<T> {
        let clock = self.clock(process);
        let proxy = self.proxy(process)?;
        let came = input(&mut proxy.state, clock);
        let effects = proxy.state.take_effects();
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(process, effect));
        Some(came)
    }

    /// The same with one of its requests.
    fn with_work<T>(
        &mut self,
        process: usize,
        request: usize,
        input: impl FnOnce(&mut Work, &mut ProxyState, f64) -> T,
    ) -> Option<T> {
        let clock = self.clock(process);
        let proxy = self.proxy(process)?;
        let work = proxy.works.get_mut(&request)?;
        let came = input(work, &mut proxy.state, clock);
        let effects = proxy.state.take_effects();
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(process, effect));
        Some(came)
    }

    fn carry_out(&mut self, process: usize, effect: Effect) {
        let me = self.address(process);
        match effect {
            Effect::Connect(ip) => {
                if let Some(proxy) = self.proxy(process) {
                    proxy.dialers.insert(
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
            Effect::SendToController {
                to: ip,
                message: mut up,
            } => {
                if let ProxyToController::Report(report) = &mut up {
                    self.spoil_report(report);
                }
                let line = self
                    .proxy(process)
                    .and_then(|proxy| proxy.dialers.get(&ip)?.line);
                line.into_iter()
                    .for_each(|line| self.send_line(line, 0, encode_frame(&up)));
            }
            Effect::CloseConnections(incarnation) => {
                let pool = self
                    .proxy(process)
                    .and_then(|proxy| proxy.pools.remove(&incarnation));
                let idle = pool.map_or(Vec::new(), |pool| pool.idle);
                idle.into_iter()
                    .for_each(|wire| self.end_wire(process, wire.number));
            }
            Effect::Log(line) | Effect::LogWarning(line) => {
                let machine = self.processes[process].machine;
                self.say(|| format!("proxy {machine}: {line}"));
            }
        }
    }

    fn spoil_report(&self, report: &mut LoadReport) {
        for of in &mut report.services {
            match self.mutation {
                Some(Mutation::OmitFailureReports) => of
                    .instances
                    .iter_mut()
                    .for_each(|instance| instance.failed = 0),
                Some(Mutation::SpreadFailures) => {
                    let (bad, tries) = of.instances.iter().fold((0, 0), |(b, t), instance| {
                        (b + instance.failed, t + instance.attempts)
                    });
                    let part =
                        |instance: &InstanceLoad| (instance.attempts * bad).div_ceil(tries.max(1));
                    of.instances
                        .iter_mut()
                        .for_each(|instance| instance.failed = part(instance));
                }
                _ => {}
            }
        }
    }

    pub fn proxy_ready(&self, machine: usize) -> bool {
        let process = self.process_of(machine, false);
        let clock = self.clock(process);
        let process = &self.processes[process];
        !process.paused
            && matches!(&process.core, Some(Core::Proxy(proxy)) if proxy.state.is_ready(clock))
    }

    pub fn proxy_takes(&mut self, process: usize, what: What) {
        match what {
            What::Tick => self.proxy_ticks(process),
            What::Dial(ip) => self.dial(process, ip, DIAL_WITHIN),
            What::Dialed { ip, up } => self.proxy_dialed(process, ip, up),
            What::Line { line, side, bytes } => {
                if let Some(bytes) = self.receive_line(line, side, bytes) {
                    self.proxy_hears(process, line, bytes);
                }
            }
            What::LineEnd { line, side } => self.proxy_line_ends(process, line, side, false),
            What::LineCheck { line, side } if self.check_line(line, side) => {
                self.proxy_line_ends(process, line, side, true);
            }
            What::Request(try_) => self.request(process, try_),
            What::ClientClosed(try_) => self.client_closed(process, try_),
            What::WireUp {
                request,
                attempt,
                wire,
                up,
            } => self.wire_up(process, request, attempt, wire, up),
            What::Turn { request, attempt } => self.turn(process, request, attempt),
            What::Over { request, attempt } => self.over(process, request, attempt),
            What::Answer {
                request,
                attempt,
                wire,
                answer,
            } => {
                self.answered(process, request, attempt, wire, answer);
            }
            _ => {}
        }
    }

    fn proxy_ticks(&mut self, process: usize) {
        let (me, now) = (self.address(process), self.now);
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        proxy.tick = proxy.tick.wrapping_add(1);
        let (tick, ends, calm) = (proxy.tick, proxy.ends, proxy.works.is_empty());
        let due = match ends {
            None => Some(tick),
            Some(_) => tick.is_multiple_of(2).then_some(tick / 2),
        };
        if let Some(tick) = due {
            self.with_state(process, ProxyState::tick);
            if tick.is_multiple_of(2) {
                self.sweep_wires(process);
            }
            if tick.is_multiple_of(4) {
                self.with_state(process, ProxyState::send_report);
            }
        }
        if let Some(since) = ends {
            let latest = (GRACE - BEFORE_KILL).max(GRACE / 2);
            if (now - since >= STILL_SENT && calm) || now - since >= latest {
                return self.stop(process, false);
            }
        }
        self.after(
            if ends.is_some() { LAST_TICK } else { TICK },
            me,
            What::Tick,
        );
        if self.mutation == Some(Mutation::RevertConfiguration) && tick == 48 {
            self.go_back(process);
        }
    }

    /// It takes up its first configuration again.
    fn go_back(&mut self, process: usize) {
        let machine = self.processes[process].machine;
        let fresh = self.new_state(machine);
        let clock = self.clock(process);
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        let Some(first) = proxy.first.clone() else {
            return;
        };
        let (before, is_ending) = (
            std::mem::replace(&mut proxy.state, fresh),
            proxy.state.is_shutting_down,
        );
        (proxy.state.endpoints, proxy.state.is_shutting_down) = (before.endpoints, is_ending);
        proxy.gone_back = true;
        if let Some(down) = decode_frame::<ControllerToProxy>(&first) {
            proxy
                .state
                .handle_controller_message(clock, Ipv4Addr::LOCALHOST, down);
        }
        _ = proxy.state.take_effects();
    }

    pub fn term_proxy(&mut self, process: usize) {
        let now = self.now;
        if self.mutation == Some(Mutation::ImmediateExit) {
            return self.stop(process, false);
        }
        if let Some(proxy) = self.proxy(process)
            && proxy.ends.is_none()
        {
            proxy.ends = Some(now);
            self.with_state(process, |state, _| state.is_shutting_down = true);
        }
    }

    fn sweep_wires(&mut self, process: usize) {
        let now = self.now;
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        let mut old = Vec::new();
        proxy.pools.retain(|_, pool| {
            old.extend(pool.idle.extract_if(.., |wire| now - wire.freed >= IDLE));
            pool.open > 0
        });
        old.into_iter()
            .for_each(|wire| self.end_wire(process, wire.number));
    }

    /// Its requests and connections end with it.
    pub fn proxy_ended(
        &mut self,
        process: usize,
        incarnation: u32,
        proxy: ProxyProcess,
        quiet: bool,
    ) {
        let from = self.host_of(process);
        for (request, work) in proxy.works {
            if quiet {
                continue;
            }
            let told = ClientResponse {
                whole: false,
                ..ClientResponse::own(0, None)
            };
            self.post(
                from,
                Host::Outside(0),
                None,
                What::ClientAnswer {
                    try_: request,
                    answer: told,
                },
            );
            if let Some((wire, _)) = work.wire
                && let Some(task) = self.place_of_wire(wire)
            {
                let attempt = work.attempt;
                self.post(
                    from,
                    Host::Task(task),
                    None,
                    What::Dropped {
                        task,
                        wire,
                        request,
                        attempt,
                    },
                );
            }
        }
        self.wires_ended((process, incarnation));
        for wire in proxy.pools.into_values().flat_map(|pool| pool.idle) {
            self.close_wire(wire.number);
        }
    }

    /// The connections of a machine to clients and tasks are reset.
    pub fn reset_requests(&mut self, machine: usize) {
        let process = self.process_of(machine, false);
        let from = self.host_of(process);
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        let works: Vec<usize> = proxy.works.keys().copied().collect();
        for request in works {
            let told = ClientResponse {
                whole: false,
                ..ClientResponse::own(0, None)
            };
            self.post(
                from,
                Host::Outside(0),
                None,
                What::ClientAnswer {
                    try_: request,
                    answer: told,
                },
            );
            self.client_closed(process, request);
        }
    }
}
