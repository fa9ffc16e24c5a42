//! A controller's process: the controller with a simulated store, lines and callers round it.

use crate::net::decode_frame;
use crate::world::{Core, Mutation, What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_chain::{Member, PersistedState};
use rookpulley_control::{
    Bootstrap, Content, Controller, ControllerStart, Effect, Endpoint, Operation, PeerMessage,
    PlatformAnswer, PlatformCall, Reply, parse,
};
use rookpulley_protocol::ProxyToController;
use rookpulley_state::{Answer, Query, Update};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use tinyjson::JsonValue;

const DIAL_WITHIN: Us = 400 * MS;
const AGAIN_FIRST: Us = 60 * MS;
const AGAIN_MOST: Us = 500 * MS;
const TICK: Us = 50 * MS;
const LOOK_AGAIN: Us = 20 * MS;
const LEAVE_WITHIN: Us = 1_200 * MS;
/// A store that was given up is begun anew after so long.
const BEGUN_ANEW: Us = 400 * MS;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const DRAIN_MS: u64 = 2_500;

struct Dialer {
    line: Option<u64>,
    pause: Us,
    /// Dials that are to come: the last one counts.
    dials: bool,
}

pub struct ControllerProcess {
    pub controller: Controller,
    /// Calls to the platform that have no answer yet, by number.
    pub platform_calls: BTreeMap<u64, PlatformCall>,
    round: u64,
    dialers: BTreeMap<Ipv4Addr, Dialer>,
    /// Lines of proxies by the controller's number for them.
    proxies: BTreeMap<u64, u64>,
    /// Calls by their tokens.
    calls: BTreeMap<u64, (u64, u32)>,
    /// Since when it leaves.
    leaves: Option<Us>,
    deaf: bool,
}

impl World {
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        let stateless_controllers = self
            .machines
            .iter()
            .filter(|machine| machine.stateless && self.day.stateless_seeds);
        let core = self
            .machines
            .iter()
            .filter(|machine| machine.core && !machine.gone);
        stateless_controllers
            .chain(core)
            .take(3)
            .map(|machine| SocketAddrV4::new(machine.ip, 8_166))
            .collect()
    }

    pub fn start_controller(&mut self, machine: usize, first: bool) {
        let process = self.process_of(machine, true);
        if self.running(process) {
            return;
        }
        let (incarnation, mint): (u64, u64) = (self.rng.random(), self.rng.random());
        let seeds = self.seeds();
        let origin_unix_ms = self.origin_unix_ms(machine);
        let usage_duty = self.usage_duty(machine);
        let usage_window = usage_duty.as_ref().map(|duty| duty.window);
        let at = &mut self.machines[machine];
        let torn =
            at.disk.identity.is_some() && !PersistedState::read(at.disk.chain.clone()).is_sound();
        if torn {
            at.disk.wipe();
        }
        let fresh = at.disk.identity.is_none();
        let identity = *at.disk.identity.get_or_insert(mint);
        if fresh && first {
            at.disk.bootstrap = Some(Bootstrap::new(at.ip, &seeds));
        }
        let start = ControllerStart {
            me: Member {
                id: identity,
                incarnation,
                address: SocketAddrV4::new(at.ip, 7_721),
            },
            seeds,
            tolerated_losses: self.day.losses,
            heartbeat_ms: HEARTBEAT_MS,
            drain_ms: DRAIN_MS,
            zone: at.zone.to_string(),
            origin_unix_ms,
            usage_duty,
            usage_window,
            bootstrap: at.disk.bootstrap.clone(),
            chain_rows: (!fresh).then(|| at.disk.chain.clone().into_iter().collect()),
            instance_rows: at.disk.instances.clone().into_iter().collect(),
        };
        if torn {
            self.say(|| format!("controller {machine}: its disk is torn"));
            self.record
                .fault(format!("the disk of controller {machine} is torn"));
        }
        let controller = ControllerProcess {
            controller: Controller::new(start),
            platform_calls: BTreeMap::new(),
            round: 0,
            dialers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            calls: BTreeMap::new(),
            leaves: None,
            deaf: false,
        };
        self.begin(process, Core::Controller(controller));
        self.say(|| format!("controller {machine}: begins, {identity:x}"));
        self.after(TICK, self.address(process), What::Tick);
        self.with_controller(process, |_, _| ());
    }

    pub fn controller(&mut self, process: usize) -> Option<&mut ControllerProcess> {
        match self.processes.get_mut(process)?.core.as_mut()? {
            Core::Controller(controller) => Some(controller),
            _ => None,
        }
    }

    /// Something comes in; what the controller wants is carried out.
    pub fn with_controller<T>(
        &mut self,
        process: usize,
        input: impl FnOnce(&mut Controller, f64) -> T,
    ) -> Option<T> {
        let clock = self.clock(process);
        let controller = self.controller(process)?;
        let came = input(&mut controller.controller, clock);
        let effects = controller.controller.take_effects();
        for effect in effects {
            self.controller_wants(process, effect);
        }
        Some(came)
    }

    fn controller_wants(&mut self, process: usize, effect: Effect) {
        let me = self.address(process);
        let machine = self.processes[process].machine;
        match effect {
            Effect::Connect(ip) => {
                if let Some(controller) = self.controller(process) {
                    controller.dialers.insert(
                        ip,
                        Dialer {
                            line: None,
                            pause: AGAIN_FIRST,
                            dials: true,
                        },
                    );
                    self.after(0, me, What::Dial(ip));
                }
            }
            Effect::PeerIsAlive(ip) => {
                let waits = self
                    .controller(process)
                    .and_then(|controller| controller.dialers.get_mut(&ip));
                if let Some(dialer) = waits.filter(|dialer| dialer.line.is_none() && !dialer.dials)
                {
                    (dialer.pause, dialer.dials) = (AGAIN_FIRST, true);
                    self.after(0, me, What::Dial(ip));
                }
            }
            Effect::SendToPeer { to, frame } => {
                let line = self
                    .controller(process)
                    .and_then(|controller| controller.dialers.get(&to)?.line);
                line.into_iter()
                    .for_each(|line| self.send_line(line, 0, frame.clone()));
            }
            Effect::SendToProxy { connection, frame } => {
                let line = self
                    .controller(process)
                    .and_then(|controller| controller.proxies.get(&connection).copied());
                line.into_iter()
                    .for_each(|line| self.send_line(line, 1, frame.clone()));
            }
            Effect::WriteChain { ticket, records } => self.write(process, true, ticket, records),
            Effect::WriteInstances { ticket, records } => {
                self.write(process, false, ticket, records)
            }
            Effect::Reply { token, reply } => {
                let call = self
                    .controller(process)
                    .and_then(|controller| controller.calls.remove(&token));
                if let Some((call, attempt)) = call {
                    self.reply(process, call, attempt, reply);
                }
            }
            Effect::DiscardStore => {
                self.say(|| format!("controller {machine}: its copy is spoilt"));
                self.record
                    .fault(format!("controller {machine} gives its disk up"));
                self.stop(process, false);
                self.machines[machine].disk.wipe();
                self.after(
                    BEGUN_ANEW,
                    None,
                    What::Start {
                        machine,
                        controller: true,
                        proxy: false,
                    },
                );
            }
            Effect::CallPlatform(call) => self.call_platform(process, call),
            Effect::Log(line) | Effect::LogError(line) => {
                self.say(|| format!("controller {machine}: {line}"))
            }
        }
    }

    fn write(
        &mut self,
        process: usize,
        of_chain: bool,
        ticket: u64,
        records: Vec<rookpulley_chain::Record>,
    ) {
        let me = self.address(process);
        let (machine, now) = (self.processes[process].machine, self.now);
        let disk = &mut self.machines[machine].disk;
        disk.write(of_chain, ticket, records);
        let (begun, lies) = (disk.begin(now), disk.lies);
        if let Some(us) = begun {
            self.after(if lies { 400 * MS } else { us }, me, What::Synced);
        }
        if lies {
            self.after(MS, me, What::Lied { of_chain, ticket });
        }
    }

    fn reply(&mut self, process: usize, call: u64, attempt: u32, mut reply: Reply) {
        if self.mutation == Some(Mutation::RejectAppliedCalls) && reply.status == 504 {
            reply.status = 503;
        }
        let (from, to) = (self.host_of(process), self.caller_host(call));
        self.post(
            from,
            to,
            None,
            What::Replied {
                call,
                attempt,
                reply: Some(reply),
            },
        );
    }

    pub fn controller_takes(&mut self, process: usize, what: What) {
        let me = self.address(process);
        match what {
            What::Tick => {
                let round = self.controller(process).map_or(0, |controller| {
                    controller.round += 1;
                    controller.round - 1
                });
                self.after(TICK, me, What::Tick);
                self.with_controller(process, |controller, now| controller.tick(now, round));
            }
            What::Dial(ip)
                if self
                    .controller(process)
                    .is_some_and(|controller| controller.dialers.contains_key(&ip)) =>
            {
                self.dial(process, ip, DIAL_WITHIN);
            }
            What::Dialed { ip, up } => self.controller_dialed(process, ip, up),
            What::Line { line, side, bytes } => {
                if let Some(bytes) = self.receive_line(line, side, bytes) {
                    self.controller_hears(process, line, &bytes);
                }
            }
            What::LineEnd { line, side } => self.controller_line_ends(process, line, side, false),
            What::LineCheck { line, side } if self.check_line(line, side) => {
                self.controller_line_ends(process, line, side, true);
            }
            What::Synced => {
                let (machine, now) = (self.processes[process].machine, self.now);
                let disk = &mut self.machines[machine].disk;
                let (synced, lies) = (disk.done(now), disk.lies);
                if let Some(us) = disk.begin(now) {
                    self.after(if lies { 400 * MS } else { us }, me, What::Synced);
                }
                if let Some(synced) = synced.filter(|_| !lies) {
                    let took_ms = synced.took as f64 / 1e3;
                    self.with_controller(process, |controller, now| {
                        controller.handle_synced(now, synced.chain, synced.instances, took_ms);
                    });
                }
            }
            What::Lied { of_chain, ticket } => {
                let (chain, instances) = if of_chain {
                    (Some(ticket), None)
                } else {
                    (None, Some(ticket))
                };
                self.with_controller(process, |controller, now| {
                    controller.handle_synced(now, chain, instances, 1.0)
                });
            }
            What::Call { call, attempt } => self.controller_called(process, call, attempt),
            What::Leaving => self.leaving(process),
            What::PlatformConnected(number) => self.platform_connected(process, number),
            What::PlatformWrite(number) => self.write_report(process, number),
            What::PlatformAnswered { number, answer } => {
                self.platform_answers(process, number, answer);
            }
            What::PlatformLate(number) => {
                self.platform_answers(process, number, PlatformAnswer::Failed);
            }
            _ => {}
        }
    }

    fn controller_dialed(&mut self, process: usize, ip: Ipv4Addr, up: bool) {
        let Some(me) = self.address(process) else {
            return;
        };
        let there = self
            .machine_at(ip)
            .map(|machine| self.process_of(machine, true));
        let there = there.and_then(|there| self.address(there)).filter(|_| up);
        let Some(there) = there else {
            let Some(dialer) = self
                .controller(process)
                .and_then(|controller| controller.dialers.get_mut(&ip))
            else {
                return;
            };
            dialer.pause = (dialer.pause * 2).min(AGAIN_MOST);
            return self.controller_dials_again(process, ip);
        };
        let line = self.open_line(me, there, [false, true]);
        if let Some(dialer) = self
            .controller(process)
            .and_then(|controller| controller.dialers.get_mut(&ip))
        {
            (dialer.line, dialer.pause, dialer.dials) = (Some(line), AGAIN_FIRST, false);
        }
        self.with_controller(process, |controller, now| {
            controller.peer_connected(now, ip)
        });
    }

    fn controller_dials_again(&mut self, process: usize, ip: Ipv4Addr) {
        let me = self.address(process);
        if self.with_controller(process, |controller, now| {
            controller.is_peer_wanted(now, ip)
        }) != Some(true)
        {
            self.controller(process)
                .into_iter()
                .for_each(|controller| _ = controller.dialers.remove(&ip));
            self.with_controller(process, |controller, _| controller.forget_peer(ip));
            return;
        }
        let Some(dialer) = self
            .controller(process)
            .and_then(|controller| controller.dialers.get_mut(&ip))
        else {
            return;
        };
        dialer.dials = true;
        let pause = dialer.pause;
        self.after(pause, me, What::Dial(ip));
    }

    fn controller_hears(&mut self, process: usize, line: u64, bytes: &[u8]) {
        let Some(of) = self.lines.get(&line) else {
            return;
        };
        if self.is_stateful_controller(of.ends[0].0) {
            let Some(message) = decode_frame::<PeerMessage>(bytes) else {
                return;
            };
            let mut who = of.who;
            self.with_controller(process, |controller, now| {
                controller.handle_peer_message(now, &mut who, message)
            });
            self.lines
                .get_mut(&line)
                .into_iter()
                .for_each(|of| of.who = who);
            return;
        }
        let (Some(up), known) = (decode_frame::<ProxyToController>(bytes), of.proxy.clone()) else {
            return;
        };
        match (up, known) {
            (ProxyToController::Hello(hello), None) => {
                let Some(number) =
                    self.with_controller(process, |controller, _| controller.next_number())
                else {
                    return;
                };
                self.controller(process)
                    .into_iter()
                    .for_each(|controller| _ = controller.proxies.insert(number, line));
                self.lines
                    .get_mut(&line)
                    .into_iter()
                    .for_each(|of| of.proxy = Some((hello.node.clone(), number)));
                self.with_controller(process, |controller, now| {
                    controller.proxy_connected(now, number, hello);
                });
            }
            (
                ProxyToController::StatelessHello {
                    address,
                    controllers,
                },
                None,
            ) => {
                let Some(number) =
                    self.with_controller(process, |controller, _| controller.next_number())
                else {
                    return;
                };
                self.controller(process)
                    .into_iter()
                    .for_each(|controller| _ = controller.proxies.insert(number, line));
                let name = Some((address.ip().to_string(), number));
                self.lines
                    .get_mut(&line)
                    .into_iter()
                    .for_each(|of| of.proxy = name.clone());
                self.with_controller(process, |controller, now| {
                    controller.stateless_connected(now, number, address, &controllers)
                });
            }
            (
                up @ (ProxyToController::StatelessHello { .. }
                | ProxyToController::AppointFounder { .. }),
                Some((_, number)),
            ) => {
                self.with_controller(process, |controller, now| {
                    controller.handle_stateless_message(now, number, &up)
                });
            }
            (up, Some((node, number))) => {
                self.with_controller(process, |controller, now| {
                    controller.handle_proxy_message(now, &node, number, up)
                });
            }
            _ => {}
        }
    }

    /// `own`: this side ends it.
    fn controller_line_ends(&mut self, process: usize, line: u64, side: usize, own: bool) {
        let Some(of) = self.lines.get(&line).filter(|of| of.open[side]) else {
            return;
        };
        let (who, proxy, other) = (of.who, of.proxy.clone(), of.ends[1 - side].0);
        self.end_line(line, side, !own);
        if side == 0 {
            let ip = self.machines[self.processes[other].machine].ip;
            if let Some(dialer) = self
                .controller(process)
                .and_then(|controller| controller.dialers.get_mut(&ip))
            {
                dialer.line = None;
            }
            self.with_controller(process, |controller, _| controller.peer_disconnected(ip));
            return self.controller_dials_again(process, ip);
        }
        if let Some((node, number)) = proxy {
            self.controller(process)
                .into_iter()
                .for_each(|controller| _ = controller.proxies.remove(&number));
            self.with_controller(process, |controller, now| {
                controller.proxy_disconnected(now, &node, number);
                controller.stateless_disconnected(now, number);
            });
        } else if let Some(id) = who {
            self.with_controller(process, |controller, now| {
                controller.peer_session_ended(now, id)
            });
        }
    }

    // ---- callers ----------------------------------------------------------------------------

    fn controller_called(&mut self, process: usize, call: u64, attempt: u32) {
        if self
            .controller(process)
            .is_none_or(|controller| controller.deaf)
        {
            return self.call_not_heard(process, call, attempt);
        }
        let Some(of) = self.calls.get(&call) else {
            return;
        };
        let (endpoint, name, body) = (of.endpoint, of.name.clone(), of.body.clone());
        let query = of.query.clone();
        let value = |wanted: &str| {
            query
                .iter()
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.as_str())
        };
        let held = self
            .controller(process)
            .and_then(|of| of.controller.configuration());
        let parsed = parse(endpoint, &name, body.clone(), value, held);
        let operation = match parsed {
            Ok(operation) => self.mutated(operation),
            Err(_)
                if self.mutation == Some(Mutation::AcceptInvalidConfiguration)
                    && endpoint == Endpoint::PutConfiguration =>
            {
                Operation::Update(Update::PutConfiguration {
                    version: self.operator.newest + 1,
                    body,
                })
            }
            Err(reply) => return self.reply(process, call, attempt, reply),
        };
        if self.mutation == Some(Mutation::RejectRepeatedConfiguration)
            && self.repeats(process, &operation)
        {
            let refused = Reply {
                status: 409,
                retry_after: None,
                content: Content::Empty,
            };
            return self.reply(process, call, attempt, refused);
        }
        if self.mutation == Some(Mutation::LocalReads)
            && let Operation::Read(query @ (Query::Key { .. } | Query::Configuration)) = &operation
        {
            let reply = self.read_alone(process, query);
            return self.reply(process, call, attempt, reply);
        }
        let Some(token) = self.with_controller(process, |controller, _| controller.next_number())
        else {
            return;
        };
        self.controller(process)
            .into_iter()
            .for_each(|controller| _ = controller.calls.insert(token, (call, attempt)));
        self.with_controller(process, |controller, now| {
            controller.handle_request(now, token, operation)
        });
    }

    fn mutated(&self, operation: Operation) -> Operation {
        match operation {
            Operation::Update(Update::AcquireLock {
                name,
                holder,
                lease_ms,
            }) if self.mutation == Some(Mutation::ShortLocks) => {
                Operation::Update(Update::AcquireLock {
                    name,
                    holder,
                    lease_ms: lease_ms / 2,
                })
            }
            operation => operation,
        }
    }

    fn repeats(&mut self, process: usize, operation: &Operation) -> bool {
        let Operation::Update(Update::PutConfiguration { version, .. }) = operation else {
            return false;
        };
        let held = self
            .controller(process)
            .map_or(0, |of| of.controller.chain.state().machine.version());
        *version <= held
    }

    fn read_alone(&mut self, process: usize, query: &Query) -> Reply {
        let answer = self
            .controller(process)
            .map(|controller| controller.controller.chain.state().machine.read(query));
        let (status, content) = match answer {
            Some(Answer::Value { value, revision }) => {
                let fields = HashMap::from([
                    ("value".to_string(), JsonValue::String(value)),
                    ("revision".to_string(), JsonValue::Number(revision as f64)),
                ]);
                (200, Content::Json(JsonValue::Object(fields)))
            }
            Some(Answer::Configuration { body, .. }) => (200, Content::Bytes(body)),
            _ => (404, Content::Empty),
        };
        Reply {
            status,
            retry_after: None,
            content,
        }
    }

    // ---- its end ----------------------------------------------------------------------------

    pub fn term_controller(&mut self, process: usize) {
        let (me, now) = (self.address(process), self.now);
        if self.machines[self.processes[process].machine].stateless {
            return self.after(LOOK_AGAIN, me, What::Leaving);
        }
        if let Some(controller) = self.controller(process)
            && controller.leaves.is_none()
        {
            controller.leaves = Some(now);
            self.with_controller(process, Controller::begin_shutdown);
            self.after(0, me, What::Leaving);
        }
    }

    /// As the program does: the chain is left first, then calls at work are answered.
    fn leaving(&mut self, process: usize) {
        let (me, now) = (self.address(process), self.now);
        let Some(since) = self
            .controller(process)
            .and_then(|controller| controller.leaves)
        else {
            return;
        };
        let deaf = self
            .controller(process)
            .is_some_and(|controller| controller.deaf);
        if !deaf {
            let left = self.with_controller(process, Controller::leave_chain) == Some(true);
            if left || now - since >= LEAVE_WITHIN {
                self.controller(process)
                    .into_iter()
                    .for_each(|controller| controller.deaf = true);
            }
            return self.after(LOOK_AGAIN, me, What::Leaving);
        }
        let calm = self
            .controller(process)
            .is_none_or(|controller| controller.calls.is_empty());
        if calm || now - since >= LEAVE_WITHIN + 2 * S {
            return self.stop(process, false);
        }
        self.after(LOOK_AGAIN, me, What::Leaving);
    }

    /// Callers of a controller that is gone hear its connections end, if anything.
    pub fn controller_ended(&mut self, machine: usize, controller: ControllerProcess, quiet: bool) {
        if quiet {
            return;
        }
        let from = crate::net::Host::Machine(machine);
        for (call, attempt) in controller.calls.into_values() {
            let to = self.caller_host(call);
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
}
