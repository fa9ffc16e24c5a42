//! A proxy's process: the state and its requests, with connections to controllers, clients and connections to tasks round them.

use crate::clients::Told;
use crate::net::{Host, unframed};
use crate::tasks::{Answer, UpstreamRequest};
use crate::world::{Core, Mutation, What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_balancer::{AttemptOutcome, Pick};
use rookpulley_protocol::{
    ControllerToProxy, InstanceLoad, LoadReport, ProxyToController, TableEntry, frame,
};
use rookpulley_proxy_core::{
    AfterAttempt, AttemptEnd, Effect, NextStep, ProxyStart, ProxyState, RequestLifecycle, Resend,
    ResponseHead, RouteDecision, SendFailure, evaluate,
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
        if self.mutation == Some(Mutation::FreeTries) {
            (ratio, slack) = (50.0, 1e6);
        }
        let zone = format!("zone-{}", self.machines[machine].zone);
        ProxyState::new(ProxyStart {
            name: &format!("edge-{machine}"),
            zone: &zone,
            seeds,
            retry_ratio: ratio,
            retry_slack: slack,
            seed: self.rng.random(),
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
                    .for_each(|line| self.send_line(line, 0, frame(&up)));
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
                Some(Mutation::FailuresUntold) => of
                    .instances
                    .iter_mut()
                    .for_each(|instance| instance.failed = 0),
                Some(Mutation::FailuresSpread) => {
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
        let process = &self.processes[self.process_of(machine, false)];
        !process.asleep
            && matches!(&process.core, Some(Core::Proxy(proxy)) if proxy.state.is_ready())
    }

    pub fn proxy_takes(&mut self, process: usize, what: What) {
        match what {
            What::Tick => self.proxy_ticks(process),
            What::Dial(ip) => self.dial(process, ip, DIAL_WITHIN),
            What::Dialed { ip, up } => self.proxy_dialed(process, ip, up),
            What::Line { line, side, bytes } => {
                if let Some(bytes) = self.heard_line(line, side, bytes) {
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
        if self.mutation == Some(Mutation::GoesBack) && tick == 48 {
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
            proxy.state.is_ending,
        );
        (proxy.state.endpoints, proxy.state.is_ending) = (before.endpoints, is_ending);
        proxy.gone_back = true;
        if let Some(down) = unframed::<ControllerToProxy>(&first) {
            proxy
                .state
                .handle_controller_message(clock, Ipv4Addr::LOCALHOST, down);
        }
        _ = proxy.state.take_effects();
    }

    pub fn term_proxy(&mut self, process: usize) {
        let now = self.now;
        if self.mutation == Some(Mutation::EndsAtOnce) {
            return self.stop(process, false);
        }
        if let Some(proxy) = self.proxy(process)
            && proxy.ends.is_none()
        {
            proxy.ends = Some(now);
            self.with_state(process, |state, _| state.is_ending = true);
        }
    }

    // ---- controllers ----------------------------------------------------------------------------

    fn proxy_dialed(&mut self, process: usize, ip: Ipv4Addr, up: bool) {
        let (Some(me), now) = (self.address(process), self.now) else {
            return;
        };
        let there = self
            .machine_at(ip)
            .map(|machine| self.process_of(machine, true));
        let Some(there) = there.and_then(|there| self.address(there)).filter(|_| up) else {
            return self.proxy_dials_again(process, ip);
        };
        let line = self.open_line(me, there, [true, false]);
        if let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        {
            (dialer.line, dialer.begun) = (Some(line), now);
        }
        self.with_state(process, |state, now| state.controller_connected(now, ip));
    }

    fn proxy_dials_again(&mut self, process: usize, ip: Ipv4Addr) {
        let me = self.address(process);
        if self.with_state(process, |state, now| state.is_forgotten(now, ip)) == Some(true) {
            self.proxy(process)
                .into_iter()
                .for_each(|proxy| _ = proxy.dialers.remove(&ip));
            return;
        }
        let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        else {
            return;
        };
        let pause = dialer.pause;
        dialer.pause = (pause * 2).min(LONGEST_PAUSE);
        self.after(pause, me, What::Dial(ip));
    }

    fn proxy_hears(&mut self, process: usize, line: u64, bytes: Vec<u8>) {
        let Some(of) = self.lines.get(&line) else {
            return;
        };
        let ip = self.machines[self.processes[of.ends[1].0].machine].ip;
        let Some(mut down) = unframed::<ControllerToProxy>(&bytes) else {
            return;
        };
        if let ControllerToProxy::Table { entries: lines, .. } = &mut down {
            let zone = format!(
                "zone-{}",
                self.machines[self.processes[process].machine].zone
            );
            let near = lines.iter().any(|line| line.zone == zone);
            match self.mutation {
                Some(Mutation::OwnZoneAlone) if near => lines.retain(|line| line.zone == zone),
                Some(Mutation::TaintedBare)
                    if self.log.iter().any(|line| line.contains("all tainted")) =>
                {
                    lines.clear();
                }
                _ => {}
            }
        }
        let missed = match (&mut down, self.mutation) {
            (ControllerToProxy::Table { .. }, Some(Mutation::TablesMissed)) => {
                self.now > 5 * S
                    && self
                        .proxy(process)
                        .is_some_and(|proxy| proxy.state.is_ready())
            }
            (
                ControllerToProxy::InstancesGone { .. } | ControllerToProxy::Table { .. },
                Some(Mutation::DrainsUnheard),
            ) => {
                self.now > 3 * S
                    && self
                        .proxy(process)
                        .is_some_and(|proxy| proxy.state.is_ready())
            }
            (ControllerToProxy::Configuration { .. }, Some(Mutation::ConfigurationsMissed)) => {
                self.proxy(process)
                    .is_some_and(|c| c.state.configuration_version() > 0)
                    && !self.chance(4)
            }
            (ControllerToProxy::Configuration { .. }, Some(Mutation::GoesBack)) => {
                let proxy = self.proxy(process);
                proxy.is_some_and(|proxy| {
                    proxy.first.get_or_insert(bytes);
                    proxy.gone_back
                })
            }
            (_, Some(Mutation::HomePresumedInTouch)) => {
                if let ControllerToProxy::Status { in_touch, .. } = &mut down {
                    *in_touch = true;
                }
                let home = self.proxy(process).and_then(|proxy| proxy.state.primary());
                home.is_some_and(|home| home != ip)
            }
            _ => false,
        };
        if !missed {
            self.with_state(process, |state, now| {
                state.handle_controller_message(now, ip, down)
            });
        }
    }

    fn proxy_line_ends(&mut self, process: usize, line: u64, side: usize, own: bool) {
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return;
        };
        let ip = self.machines[self.processes[of.ends[1 - side].0].machine].ip;
        self.end_line(line, side, !own);
        let now = self.now;
        if let Some(dialer) = self
            .proxy(process)
            .and_then(|proxy| proxy.dialers.get_mut(&ip))
        {
            dialer.line = None;
            if now - dialer.begun > S {
                dialer.pause = PAUSE;
            }
        }
        let alone = self.mutation == Some(Mutation::AloneTakesAll)
            && self
                .proxy(process)
                .is_some_and(|c| c.dialers.values().all(|dialer| dialer.line.is_none()));
        self.with_state(process, |state, now| {
            state.controller_disconnected(ip);
            state.choose_primary(now);
            if alone {
                state.update_fleet(now + 1e9, 1);
            }
        });
        self.proxy_dials_again(process, ip);
    }

    // ---- requests ---------------------------------------------------------------------------

    fn request(&mut self, process: usize, try_: usize) {
        let of = &mut self.record.tries[try_];
        of.read_us = Some(self.now);
        let (host, path, deadline_ms) =
            (of.host.clone(), of.path.clone(), of.deadline as f64 / 1e3);
        let arrived = self.with_state(process, |state, now| {
            state
                .route(now, &host, &path, Some(deadline_ms))
                .map(|route| {
                    let once = !route.kind.is_idempotent();
                    (RequestLifecycle::new(state, route, true), once)
                })
        });
        match arrived {
            Some(Ok((lifecycle, once))) => {
                let work = Work {
                    lifecycle,
                    once,
                    gone: false,
                    attempt: 0,
                    pick: None,
                    to: None,
                    began_ms: 0.0,
                    resend: Resend::default(),
                    left: false,
                    wire: None,
                };
                if let Some(proxy) = self.proxy(process) {
                    proxy.works.insert(try_, work);
                }
                self.go(process, try_);
            }
            Some(Err(local)) => {
                self.tell(process, try_, Told::own(local.status, local.retry_after_ms))
            }
            None => {}
        }
    }

    fn on_later_route(&self, try_: usize) -> bool {
        let of = &self.record.tries[try_];
        let first = self
            .record
            .puts
            .first()
            .and_then(|put| put.config.route(&of.host, &of.path));
        let now = self
            .record
            .puts
            .last()
            .and_then(|put| put.config.route(&of.host, &of.path));
        now.is_some() && first.map(|route| route.name) != now.map(|route| route.name)
    }

    fn tell(&mut self, process: usize, try_: usize, mut told: Told) {
        if self.mutation == Some(Mutation::PromisesAll) && matches!(told.status, 502 | 504) {
            told.status = 503;
        }
        if self.mutation == Some(Mutation::LaterRoutesFail)
            && told.status == 200
            && self.on_later_route(try_)
        {
            told.status = 502;
        }
        if self.mutation == Some(Mutation::NoTimeTold) {
            told.retry_after_ms = None;
        }
        let mut late = 0;
        if told.status == 503 && self.mutation == Some(Mutation::RefusedLate) {
            let of = &self.record.tries[try_];
            late = (of.sent_us + of.deadline).saturating_sub(self.now + 30 * MS);
        }
        self.proxy(process)
            .into_iter()
            .for_each(|proxy| _ = proxy.works.remove(&try_));
        let from = self.host_of(process);
        let what = What::ClientAnswer { try_, answer: told };
        match late {
            0 => self.post(from, Host::Outside(0), None, what),
            late => self.after(late, None, what),
        }
    }

    fn go(&mut self, process: usize, request: usize) {
        let me = self.address(process);
        let go = self.with_work(process, request, |work, state, now| {
            work.attempt += 1;
            let go = work.lifecycle.next_step(state, now, !work.gone);
            (go, work.attempt, now)
        });
        let Some((go, attempt, clock)) = go else {
            return;
        };
        match go {
            NextStep::Respond(local) => self.tell(
                process,
                request,
                Told::own(local.status, local.retry_after_ms),
            ),
            NextStep::Attempt {
                pick,
                to,
                check_at_ms,
            } => {
                let uncounted = self.mutation == Some(Mutation::NothingCounted);
                self.with_work(process, request, |work, state, now| {
                    (work.pick, work.to, work.began_ms) = (Some(pick), Some(to), now);
                    if uncounted {
                        work.pick
                            .take()
                            .into_iter()
                            .for_each(|pick| state.endpoints.cancel(pick));
                    }
                    (work.resend, work.left, work.wire) = (Resend::default(), false, None);
                });
                let us = ((check_at_ms - clock).max(0.0) * 1e3) as Us;
                self.after(us, me, What::Turn { request, attempt });
                self.take_wire(process, request, attempt);
            }
        }
    }

    /// An idle connection, or a new one, or none.
    fn take_wire(&mut self, process: usize, request: usize, attempt: u32) {
        let (me, now) = (self.address(process), self.now);
        let taken = self.with_work(process, request, |work, state, _| {
            let bound = state.connection_limit(work.lifecycle.route());
            (
                work.to.clone(),
                bound,
                work.once,
                work.resend.needs_new_connection(),
            )
        });
        let Some((Some(to), bound, once, anew)) = taken else {
            return;
        };
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        let pool = proxy.pools.entry(to.incarnation.clone()).or_default();
        let fit = pool.idle.last().is_some_and(|wire| {
            !anew && now - wire.freed < IDLE && (!once || now - wire.freed <= FRESH)
        });
        if fit && let Some(wire) = pool.idle.pop() {
            return self.wire_at_hand(process, request, attempt, (wire.number, true));
        }
        if pool.open >= bound {
            match pool.idle.pop() {
                Some(wire) => self.end_wire(process, wire.number),
                None => return self.ended(process, request, AttemptEnd::ConnectionLimit, None),
            }
        }
        let wire = self.number();
        let Some(proxy) = self.proxy(process) else {
            return;
        };
        proxy.pools.entry(to.incarnation.clone()).or_default().open += 1;
        proxy.incarnations.insert(wire, to.incarnation.clone());
        let machine = self.host_of(process);
        let place = self.place_of(to.address);
        let near =
            self.zone_of(machine) == place.map_or(0, |place| self.zone_of(Host::Task(place)));
        let within = if near { CONNECT } else { CONNECT_FAR };
        let reached = place.is_some_and(|place| !self.net.cut_either(machine, Host::Task(place)));
        let (us, up) = match place {
            Some(place) if reached => {
                let way =
                    self.delay(machine, Host::Task(place)) + self.delay(Host::Task(place), machine);
                let rest = if once {
                    (way * 2).clamp(MS, 10 * MS)
                } else {
                    0
                };
                let up = way < within && self.accepts_wire(place, wire, once);
                (way.min(within) + rest, up)
            }
            _ => (within, false),
        };
        self.after(
            us,
            me,
            What::WireUp {
                request,
                attempt,
                wire,
                up,
            },
        );
    }

    fn current(&mut self, process: usize, request: usize, attempt: u32) -> Option<&mut Work> {
        self.proxy(process)?
            .works
            .get_mut(&request)
            .filter(|work| work.attempt == attempt)
    }

    fn wire_up(&mut self, process: usize, request: usize, attempt: u32, wire: u64, up: bool) {
        if self.current(process, request, attempt).is_none() {
            return self.end_wire(process, wire);
        }
        if up {
            return self.wire_at_hand(process, request, attempt, (wire, false));
        }
        self.end_wire(process, wire);
        self.ended(
            process,
            request,
            AttemptEnd::Outcome(AttemptOutcome::Unsent),
            None,
        );
    }

    fn end_wire(&mut self, process: usize, wire: u64) {
        if let Some(proxy) = self.proxy(process)
            && let Some(incarnation) = proxy.incarnations.remove(&wire)
            && let Some(pool) = proxy.pools.get_mut(&incarnation)
        {
            pool.open = pool.open.saturating_sub(1);
        }
        self.close_wire(wire);
    }

    /// It may serve again.
    fn free_wire(&mut self, process: usize, wire: u64) {
        let now = self.now;
        if let Some(proxy) = self.proxy(process)
            && let Some(incarnation) = proxy.incarnations.get(&wire)
            && let Some(pool) = proxy.pools.get_mut(incarnation)
        {
            return pool.idle.push(Wire {
                number: wire,
                freed: now,
            });
        }
        self.end_wire(process, wire);
    }

    fn wire_at_hand(&mut self, process: usize, request: usize, attempt: u32, wire: (u64, bool)) {
        let may = self.with_work(process, request, |work, state, now| {
            let to = work.to.clone()?;
            if !state.may_send(&to.incarnation) {
                return None;
            }
            (work.wire, work.left) = (Some(wire), true);
            let left_ms = (work.lifecycle.route().deadline_ms - now - 5.0).max(1.0);
            Some((to, left_ms))
        });
        let Some(Some((to, left_ms))) = may else {
            self.end_wire(process, wire.0);
            return self.ended(process, request, AttemptEnd::ConnectionLimit, None);
        };
        let Some(me) = self.address(process) else {
            return;
        };
        let of = &self.record.tries[request];
        let mut path = of.path.clone();
        if self.mutation == Some(Mutation::OtherPath) && self.chance(200) {
            path.push('x');
        }
        let meant = if self.mutation == Some(Mutation::NobodyMeant) {
            String::new()
        } else {
            to.incarnation.clone()
        };
        let Some(place) = self.place_of(to.address) else {
            return;
        };
        let from = self.host_of(process);
        let sent = UpstreamRequest {
            from: me,
            request,
            attempt,
            wire: wire.0,
            place,
            meant,
            path,
            left_us: (left_ms * 1e3) as Us,
        };
        self.post(from, Host::Task(place), None, What::Arrive(sent));
    }

    fn answered(
        &mut self,
        process: usize,
        request: usize,
        attempt: u32,
        wire: u64,
        answer: Answer,
    ) {
        if self.current(process, request, attempt).is_none() {
            return;
        }
        let mutation = self.mutation;
        let end = match &answer {
            Answer::Reset { unread } => {
                // Whether anything was written is told by the connection.
                let back = self.with_work(process, request, |work, _, _| {
                    let used = work.wire.is_some_and(|(_, used)| used);
                    let back = work.resend.send_failed(*unread, used, true);
                    work.left = back == SendFailure::Interrupted;
                    back
                });
                self.end_wire(process, wire);
                self.with_work(process, request, |work, _, _| work.wire = None);
                match back {
                    Some(SendFailure::SendAgain) => {
                        return self.take_wire(process, request, attempt);
                    }
                    Some(SendFailure::Unsent) => AttemptEnd::Outcome(AttemptOutcome::Unsent),
                    _ => AttemptEnd::Outcome(AttemptOutcome::Interrupted),
                }
            }
            Answer::Head {
                status,
                own,
                not_executed,
                stamped,
                sized,
                whole,
                ..
            } => {
                let head = ResponseHead {
                    status: *status,
                    has_request_id: *own || mutation == Some(Mutation::AnyAnswer),
                    not_executed: *not_executed,
                    is_signed: *stamped,
                    is_encoded: false,
                    has_length: *sized,
                };
                let end = AttemptEnd::of_verdict(evaluate(head));
                let end = end.unwrap_or(if *whole {
                    AttemptEnd::Outcome(AttemptOutcome::Answered(*status))
                } else {
                    AttemptEnd::Outcome(AttemptOutcome::Interrupted)
                });
                let in_order = matches!(
                    end,
                    AttemptEnd::Outcome(AttemptOutcome::Answered(_) | AttemptOutcome::NotExecuted)
                );
                self.with_work(process, request, |work, _, _| work.wire = None);
                match in_order {
                    true => self.free_wire(process, wire),
                    false => self.end_wire(process, wire),
                }
                end
            }
        };
        let end = match (end, mutation) {
            (AttemptEnd::Outcome(AttemptOutcome::Interrupted), Some(Mutation::BrokenIsUnsent)) => {
                AttemptEnd::Outcome(AttemptOutcome::Unsent)
            }
            (end, _) => end,
        };
        let passed = match (end, answer) {
            (
                AttemptEnd::Outcome(AttemptOutcome::Answered(status)),
                Answer::Head {
                    signature, body, ..
                },
            ) => Some(Told {
                status,
                signature,
                body,
                retry_after_ms: None,
                whole: true,
            }),
            _ => None,
        };
        self.ended(process, request, end, passed);
    }

    fn turn(&mut self, process: usize, request: usize, attempt: u32) {
        let me = self.address(process);
        if self.current(process, request, attempt).is_none() {
            return;
        }
        let turns = self.with_work(process, request, |work, state, now| {
            (
                work.lifecycle.is_to_be_broken_off(state, now),
                work.lifecycle.route().deadline_ms - now,
            )
        });
        match turns {
            Some((true, _)) => self.over(process, request, attempt),
            Some((false, left_ms)) => {
                let us = (left_ms.max(0.0) * 1e3) as Us;
                self.after(us, me, What::Over { request, attempt });
            }
            None => {}
        }
    }

    /// The try is broken off.
    fn over(&mut self, process: usize, request: usize, attempt: u32) {
        let Some(work) = self.current(process, request, attempt) else {
            return;
        };
        let (end, wire) = (
            AttemptEnd::of_broken_off(work.left, false),
            work.wire.take(),
        );
        if let Some((wire, _)) = wire {
            self.break_off(process, request, attempt, wire);
        }
        self.ended(process, request, end, None);
    }

    /// The connection of a request ends while a task has it.
    fn break_off(&mut self, process: usize, request: usize, attempt: u32, wire: u64) {
        let place = self.place_of_wire(wire);
        self.end_wire(process, wire);
        if let Some(task) = place {
            let from = self.host_of(process);
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

    fn ended(&mut self, process: usize, request: usize, end: AttemptEnd, passed: Option<Told>) {
        let status = passed.as_ref().map(|told| told.status);
        let nothing_learnt = self.mutation == Some(Mutation::NothingLearnt);
        let then = self.with_work(process, request, |work, state, now| {
            let route: &RouteDecision = work.lifecycle.route();
            let (service, incarnation) = (
                route.service.clone(),
                work.to.as_ref().map(|to| to.incarnation.clone()),
            );
            let forget = match work.pick.take() {
                Some(pick) if nothing_learnt => {
                    state.endpoints.cancel(pick);
                    false
                }
                Some(pick) => state.record_attempt(&service, pick, end, work.began_ms, now),
                None => false,
            };
            // It belongs to no try any more.
            work.attempt += 1;
            let then = work.lifecycle.attempt_ended(state, now, end, status, true);
            (then, incarnation.filter(|_| forget))
        });
        let Some((then, forget)) = then else { return };
        forget
            .into_iter()
            .for_each(|incarnation| self.carry_out(process, Effect::CloseConnections(incarnation)));
        match (then, passed) {
            (AfterAttempt::Retry, _) => self.go(process, request),
            (AfterAttempt::Forward, Some(told)) => self.tell(process, request, told),
            (AfterAttempt::Forward, None) => self.tell(process, request, Told::own(502, None)),
            (AfterAttempt::Respond(local), _) => self.tell(
                process,
                request,
                Told::own(local.status, local.retry_after_ms),
            ),
        }
    }

    /// The client has left. What may run once goes on, whatever is under way.
    fn client_closed(&mut self, process: usize, request: usize) {
        let Some(work) = self
            .proxy(process)
            .and_then(|proxy| proxy.works.get_mut(&request))
        else {
            return;
        };
        work.gone = true;
        if work.once {
            return;
        }
        let (wire, attempt, pick) = (work.wire.take(), work.attempt, work.pick.take());
        if let Some((wire, _)) = wire {
            self.break_off(process, request, attempt, wire);
        }
        self.with_state(process, |state, _| {
            pick.into_iter()
                .for_each(|pick| state.endpoints.cancel(pick))
        });
        self.proxy(process)
            .into_iter()
            .for_each(|proxy| _ = proxy.works.remove(&request));
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
            let told = Told {
                whole: false,
                ..Told::own(0, None)
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
            let told = Told {
                whole: false,
                ..Told::own(0, None)
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
