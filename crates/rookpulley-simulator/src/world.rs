//! The simulated clock, the event queue and the state of the simulation.

use crate::apps::{App, Watcher};
use crate::callers::Call;
use crate::clients::Clients;
use crate::controllers::ControllerProcess;
use crate::day::{Day, WARM_UP_MS};
use crate::disk::Disk;
use crate::event::{Closing, Event};
use crate::faults::Recovery;
use crate::judge::{self, Breach, Reporting, Rule};
use crate::net::{Host, Line, Net};
use crate::operator::Operator;
use crate::platform::{Platform, SentReport};
use crate::proxies::ProxyProcess;
use crate::record::Record;
use crate::seen::Seen;
use crate::stateless_controllers::StatelessProcess;
use crate::tasks::Task;
use crate::tenants::Tenants;
use crate::{MS, S, Us};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_control::PlatformAnswer;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// A deliberate defect that the rules or tests must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Treats a broken attempt as never sent.
    BrokenAsUnsent,
    /// Returns 503 although the request may have been executed.
    AlwaysNotExecuted,
    /// Forwards responses that belong to other requests.
    AcceptAnyResponse,
    /// Omits the target instance from requests.
    OmitTargetInstance,
    /// Forwards a request with a different path.
    RewritePath,
    /// Proxies receive neither drains nor the resulting table changes.
    IgnoreDrains,
    /// Proxies skip most configurations.
    SkipConfigurations,
    /// A proxy reverts to its first configuration without a restart.
    RevertConfiguration,
    /// Accepts an invalid configuration.
    AcceptInvalidConfiguration,
    /// Does not charge retries to the budget.
    UnlimitedRetries,
    /// Acknowledges writes without a sync.
    SkipSync,
    /// A controller reads its local copy without the chain.
    LocalReads,
    /// Reports calls that may have taken effect as rejected.
    RejectAppliedCalls,
    /// Expires locks after half their duration.
    ShortLocks,
    /// A proxy exits at SIGTERM with requests in flight.
    ImmediateExit,

    // These break no rule; `tests/round.rs` detects them by their effect on the traffic.
    /// Proxies do not report task failures.
    OmitFailureReports,
    /// Proxies attribute the failures of one task to all tasks.
    SpreadFailures,
    /// Proxies ignore the outcomes of attempts.
    IgnoreOutcomes,
    /// Proxies ignore outcomes and requests in flight.
    IgnoreOutcomesAndLoad,
    /// A proxy without contact to any controller uses the whole retry slack.
    FullSlackWithoutContact,
    /// Rejections have no retry delay.
    OmitRetryAfter,
    /// Rejections are sent only at the request deadline.
    LateRejections,
    /// Proxies use only tasks of their own zone if it has any.
    LocalZoneOnly,
    /// Controllers distribute no rows of a table whose revisions are all tainted.
    OmitTaintedRows,
    /// Proxies ignore table updates after the first.
    SkipTables,

    // `tests/worst_days.rs` detects these.
    /// A proxy listens only to its home controller and assumes that it is in contact.
    AssumeHomeInContact,
    /// Rejects a configuration unless its version is higher than the current one.
    RejectRepeatedConfiguration,
    /// Proxies fail requests on routes added after the first configuration.
    FailLaterRoutes,

    // `tests/tenants.rs` detects these.
    /// Tasks get the client's key.
    ForwardKey,
    /// Tasks get the `Tenant-Name` that the client sent, if any.
    KeepClaimedTenant,
    /// A request with an unknown key is accepted as one of another tenant.
    AcceptUnknownKeys,
    /// Some requests with a valid key are rejected.
    RejectKnownKeys,
    /// Proxies accept keys without knowing that they are current.
    IgnoreKeyLease,
    /// The steady clock of a proxy stops while it is frozen.
    ClockStopsWhileFrozen,

    // `tests/duties.rs` detects these.
    /// A holder sends a report again with its token, long after its lease.
    RepeatAfterLease,
    /// All holders call the platform with the same token.
    ConstantFence,
    /// Each holder counts a window anew.
    RecountReports,
    /// A holder doesn't check its lease before it writes a report.
    SkipLeaseCheck,
    /// Two holders call in turn, each time with a higher token.
    AlternateHolders,
}

impl Mutation {
    pub const ALL: [Mutation; 15] = [
        Mutation::BrokenAsUnsent,
        Mutation::AlwaysNotExecuted,
        Mutation::AcceptAnyResponse,
        Mutation::OmitTargetInstance,
        Mutation::RewritePath,
        Mutation::IgnoreDrains,
        Mutation::SkipConfigurations,
        Mutation::RevertConfiguration,
        Mutation::AcceptInvalidConfiguration,
        Mutation::UnlimitedRetries,
        Mutation::SkipSync,
        Mutation::LocalReads,
        Mutation::RejectAppliedCalls,
        Mutation::ShortLocks,
        Mutation::ImmediateExit,
    ];
}

impl Mutation {
    /// The rule that the defect breaks, if any.
    pub fn breaks(self) -> Option<Rule> {
        let rule = match self {
            Mutation::BrokenAsUnsent => Rule::Twice,
            Mutation::AlwaysNotExecuted | Mutation::RejectAppliedCalls => Rule::Refused,
            Mutation::AcceptAnyResponse => Rule::Mixed,
            Mutation::OmitTargetInstance | Mutation::AcceptUnknownKeys => Rule::Route,
            Mutation::RewritePath | Mutation::ForwardKey | Mutation::KeepClaimedTenant => {
                Rule::Unasked
            }
            Mutation::RejectKnownKeys => Rule::Denied,
            Mutation::IgnoreDrains => Rule::Drain,
            Mutation::SkipConfigurations
            | Mutation::RevertConfiguration
            | Mutation::AcceptInvalidConfiguration
            | Mutation::IgnoreKeyLease
            | Mutation::ClockStopsWhileFrozen => Rule::Config,
            Mutation::UnlimitedRetries => Rule::Budget,
            Mutation::SkipSync => Rule::Order,
            Mutation::LocalReads => Rule::Stale,
            Mutation::ShortLocks
            | Mutation::ConstantFence
            | Mutation::RecountReports
            | Mutation::AlternateHolders => Rule::One,
            Mutation::ImmediateExit => Rule::Lost,
            _ => return None,
        };
        Some(rule)
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub breaches: Vec<Breach>,
    pub steps: u64,
    pub requests: usize,
    pub served: usize,
    pub calls: usize,
    /// Reads during the run that returned a configuration.
    pub configurations_read: usize,
    /// Observations of clients and tasks.
    pub seen: Seen,
    /// Usage reports, and what was due.
    pub reporting: Reporting,
    /// The last lines that were logged.
    pub log: VecDeque<String>,
}

#[derive(Debug)]
pub enum What {
    // Delivered to a controller or a proxy.
    Tick,
    Dial(Ipv4Addr),
    Dialed {
        ip: Ipv4Addr,
        up: bool,
    },
    Line {
        line: u64,
        side: usize,
        bytes: Vec<u8>,
    },
    LineEnd {
        line: u64,
        side: usize,
    },
    LineCheck {
        line: u64,
        side: usize,
    },
    // Delivered to a controller.
    Synced,
    Lied {
        of_chain: bool,
        ticket: u64,
    },
    Leaving,
    /// The connection for this call is open.
    PlatformConnected(u64),
    /// The report of this call is written now.
    PlatformWrite(u64),
    PlatformAnswered {
        number: u64,
        answer: PlatformAnswer,
    },
    /// The time for this call is over.
    PlatformLate(u64),
    Call {
        call: u64,
        attempt: u32,
    },
    // Delivered to a proxy.
    Request(usize),
    ClientClosed(usize),
    WireUp {
        request: usize,
        attempt: u32,
        wire: u64,
        up: bool,
    },
    Turn {
        request: usize,
        attempt: u32,
    },
    Over {
        request: usize,
        attempt: u32,
    },
    Answer {
        request: usize,
        attempt: u32,
        wire: u64,
        answer: crate::tasks::Answer,
    },
    // Delivered to simulated external parties.
    PlatformArrival(SentReport),
    PlatformHandles(SentReport),
    Arrive(crate::tasks::UpstreamRequest),
    Dropped {
        task: usize,
        wire: u64,
        request: usize,
        attempt: u32,
    },
    TaskDone {
        task: usize,
        request: usize,
        attempt: u32,
    },
    TaskHeartbeat {
        task: usize,
        incarnation: u64,
    },
    TaskLeaves {
        task: usize,
        incarnation: u64,
    },
    TaskEnds {
        task: usize,
        incarnation: u64,
        crash: Option<bool>,
    },
    TaskStarts {
        task: usize,
    },
    TaskRetires {
        task: usize,
    },
    Client,
    Send(usize),
    ClientAnswer {
        try_: usize,
        answer: crate::clients::ClientResponse,
    },
    ClientLate {
        try_: usize,
    },
    Readiness,
    /// The call is redirected to this machine.
    Redirected {
        call: u64,
        attempt: u32,
        machine: usize,
    },
    Replied {
        call: u64,
        attempt: u32,
        reply: Option<rookpulley_control::Reply>,
    },
    CallLate {
        call: u64,
        attempt: u32,
    },
    CallAgain {
        call: u64,
    },
    App(usize),
    Watch(usize),
    Operate(usize),
    ReadBack,
    AppsEnd,
    /// The scheduled event at this index.
    Event(usize),
    /// An event applied directly rather than from the schedule.
    Immediate(Event),
    Recover(u64),
    Start {
        machine: usize,
        controller: bool,
        proxy: bool,
    },
    Wake {
        process: usize,
    },
    RollingRestart {
        machine: usize,
        pause_ms: u64,
    },
    Retire {
        machine: usize,
    },
    Gone {
        machine: usize,
    },
    Kill {
        process: usize,
        incarnation: u32,
    },
    Held,
}

#[derive(Debug)]
pub struct QueuedEvent {
    /// The receiving process and its incarnation, or `None` for external parties.
    pub to: Option<(usize, u32)>,
    pub what: What,
}

#[allow(clippy::large_enum_variant)]
pub enum Core {
    Controller(ControllerProcess),
    StatelessController(StatelessProcess),
    Proxy(ProxyProcess),
}

pub struct Process {
    pub machine: usize,
    pub is_controller: bool,
    pub incarnation: u32,
    pub core: Option<Core>,
    pub started_at: Us,
    pub paused: bool,
    /// When its steady clock stopped, where a mutation stops it.
    pub clock_stopped: Option<Us>,
    pub inbox: VecDeque<QueuedEvent>,
    /// It has received SIGTERM.
    pub terminating: bool,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub core: bool,
    /// Its controller has no disk.
    pub stateless: bool,
    pub power: bool,
    pub gone: bool,
    /// The machine is removed once its processes have ended.
    pub leaves: bool,
    pub disk: Disk,
    pub readiness_missed: u32,
    /// By how much the wall clock is wrong.
    pub clock_error_ms: f64,
}

pub struct World {
    pub day: Day,
    pub mutation: Option<Mutation>,
    pub now: Us,
    pub rng: ChaCha8Rng,
    events: BTreeMap<(Us, u64), QueuedEvent>,
    count: u64,
    pub machines: Vec<Machine>,
    pub processes: Vec<Process>,
    pub net: Net,
    pub lines: BTreeMap<u64, Line>,
    pub tasks: Vec<Task>,
    pub clients: Clients,
    pub calls: BTreeMap<u64, Call>,
    pub operator: Operator,
    pub tenants: Tenants,
    pub platform: Platform,
    pub apps: Vec<App>,
    pub watchers: Vec<Watcher>,
    pub record: Record,
    pub next: u64,
    pub steps: u64,
    pub burst: (u32, Us),
    /// Until then, most responses to operators are lost.
    pub answers_lost_until: Us,
    pub log: VecDeque<String>,
    pub recoveries: BTreeMap<u64, Recovery>,
    /// The fault to apply once this put is acknowledged.
    pub closing: Option<(usize, Closing)>,
}

const MAX_LOG_LINES: usize = 4_000;

pub fn play(day: &Day, mutation: Option<Mutation>) -> Played {
    let mut world = World::new(day, mutation);
    world.run();
    let breaches = judge::judge(&world.record, day);
    Played {
        breaches,
        steps: world.steps,
        requests: world.record.tries.len(),
        served: world.record.tries.iter().filter(|t| t.served()).count(),
        calls: world.record.calls.len(),
        configurations_read: world
            .record
            .reads
            .iter()
            .filter(|r| r.body.is_some())
            .count(),
        seen: Seen::of(&world.record),
        reporting: Reporting::of(&world.record, day),
        log: world.log,
    }
}

impl World {
    fn new(day: &Day, mutation: Option<Mutation>) -> World {
        let mut world = World {
            day: day.clone(),
            mutation,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            events: BTreeMap::new(),
            count: 0,
            machines: Vec::new(),
            processes: Vec::new(),
            net: Net::default(),
            lines: BTreeMap::new(),
            tasks: Vec::new(),
            clients: Clients::default(),
            calls: BTreeMap::new(),
            operator: Operator::default(),
            tenants: Tenants::new(day.shape.tenants, day.seed),
            platform: Platform::default(),
            apps: Vec::new(),
            watchers: Vec::new(),
            record: Record::default(),
            next: 0,
            steps: 0,
            burst: (1, 0),
            answers_lost_until: 0,
            log: VecDeque::new(),
            recoveries: BTreeMap::new(),
            closing: None,
        };
        for machine in 0..day.proxies.max(day.controllers) {
            world.add_machine(machine < day.controllers);
            world.machines[machine].stateless =
                (day.controllers..day.controllers + day.stateless_controllers).contains(&machine);
        }
        for machine in 0..world.machines.len() {
            world.start_machine(machine, true);
        }
        world.begin_tasks();
        world.begin_operator();
        world.begin_apps();
        world.after(WARM_UP_MS * MS, None, What::Client);
        world.after(S, None, What::Readiness);
        let moments: Vec<u64> = day.events.iter().map(|(at, _)| *at).collect();
        for (index, at) in moments.into_iter().enumerate() {
            world.after(at * MS, None, What::Event(index));
        }
        if day.held_up {
            world.after(S, None, What::Held);
        }
        world
    }

    fn run(&mut self) {
        let end = self.day.length_ms * MS;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.hand(event);
        }
        self.now = end;
        self.record.end = end;
    }

    pub fn say(&mut self, line: impl FnOnce() -> String) {
        if self.log.len() >= MAX_LOG_LINES {
            self.log.pop_front();
        }
        let line = line();
        self.log
            .push_back(format!("{:>9.3} {line}", self.now as f64 / 1e6));
    }

    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    pub fn after(&mut self, us: Us, to: Option<(usize, u32)>, what: What) {
        self.count += 1;
        self.events
            .insert((self.now + us, self.count), QueuedEvent { to, what });
    }

    pub fn at(&mut self, at: Us, to: Option<(usize, u32)>, what: What) {
        self.after(at.saturating_sub(self.now), to, what);
    }

    // ---- machines and processes ---------------------------------------------------------------

    pub fn add_machine(&mut self, core: bool) -> usize {
        let machine = self.machines.len();
        let ip = Ipv4Addr::new(10, 1, (machine / 200) as u8, (machine % 200) as u8 + 10);
        let disk = Disk::new(self.mutation == Some(Mutation::SkipSync));
        self.machines.push(Machine {
            ip,
            zone: machine % self.day.zones,
            core,
            stateless: false,
            power: true,
            gone: false,
            leaves: false,
            disk,
            readiness_missed: 2,
            clock_error_ms: 0.0,
        });
        for is_controller in [true, false] {
            self.processes.push(Process {
                machine,
                is_controller,
                incarnation: 0,
                core: None,
                started_at: 0,
                paused: false,
                clock_stopped: None,
                inbox: VecDeque::new(),
                terminating: false,
            });
        }
        machine
    }

    pub fn machine_at(&self, ip: Ipv4Addr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.ip == ip)
    }

    pub fn process_of(&self, machine: usize, controller: bool) -> usize {
        2 * machine + usize::from(!controller)
    }

    /// A controller with a disk.
    pub fn is_stateful_controller(&self, process: usize) -> bool {
        let process = &self.processes[process];
        process.is_controller && !self.machines[process.machine].stateless
    }

    pub fn running(&self, process: usize) -> bool {
        self.processes
            .get(process)
            .is_some_and(|p| p.core.is_some())
    }

    pub fn address(&self, process: usize) -> Option<(usize, u32)> {
        self.running(process)
            .then(|| (process, self.processes[process].incarnation))
    }

    pub fn host_of(&self, process: usize) -> Host {
        Host::Machine(self.processes[process].machine)
    }

    /// The monotonic clock of a process in milliseconds.
    pub fn clock(&self, process: usize) -> f64 {
        (self.now - self.processes[process].started_at) as f64 / 1e3
    }

    pub fn start_machine(&mut self, machine: usize, first: bool) {
        if self.machines[machine].gone {
            return;
        }
        self.machines[machine].power = true;
        if self.machines[machine].core {
            self.start_controller(machine, first);
        }
        if self.machines[machine].stateless {
            self.start_stateless(machine, first);
        }
        self.start_proxy(machine);
        self.record
            .started(self.now, machine, self.machines[machine].core);
    }

    /// Starts a new incarnation of a process.
    pub fn begin(&mut self, process: usize, core: Core) {
        let now = self.now;
        let process = &mut self.processes[process];
        process.incarnation += 1;
        (
            process.core,
            process.started_at,
            process.paused,
            process.terminating,
        ) = (Some(core), now, false, false);
        process.inbox.clear();
    }

    /// Ends a process. `quiet`: peers are not notified, as after a power loss.
    pub fn stop(&mut self, process: usize, quiet: bool) {
        let Some(core) = self.processes[process].core.take() else {
            return;
        };
        let incarnation = self.processes[process].incarnation;
        self.processes[process].inbox.clear();
        self.processes[process].paused = false;
        let machine = self.processes[process].machine;
        self.end_lines(process, quiet);
        match core {
            Core::Controller(controller) => {
                self.machines[machine].disk.ends(&mut self.rng);
                self.controller_ended(machine, controller, quiet);
            }
            Core::StatelessController(_) => {}
            Core::Proxy(proxy) => self.proxy_ended(process, incarnation, proxy, quiet),
        }
        self.restart_after_shutdown(process);
    }

    fn hand(&mut self, event: QueuedEvent) {
        let Some((process, incarnation)) = event.to else {
            return self.outside(event.what);
        };
        let at = &mut self.processes[process];
        if at.incarnation != incarnation || at.core.is_none() {
            return self.handle_undelivered(process, event.what);
        }
        if at.paused {
            at.inbox.push_back(event);
            return;
        }
        match at.is_controller {
            true if self.machines[at.machine].stateless => {
                self.stateless_takes(process, event.what);
            }
            true => self.controller_takes(process, event.what),
            false => self.proxy_takes(process, event.what),
        }
    }

    pub fn wake(&mut self, process: usize) {
        if !std::mem::take(&mut self.processes[process].paused) {
            return;
        }
        if let Some(stopped) = self.processes[process].clock_stopped.take() {
            self.processes[process].started_at += self.now - stopped;
        }
        let inbox = std::mem::take(&mut self.processes[process].inbox);
        inbox.into_iter().for_each(|event| self.hand(event));
    }

    /// Handles a message to a process that has ended.
    fn handle_undelivered(&mut self, process: usize, what: What) {
        match what {
            What::Request(try_) => self.not_read(process, try_),
            What::Call { call, attempt } => self.call_not_heard(process, call, attempt),
            _ => {}
        }
    }

    fn outside(&mut self, what: What) {
        match what {
            What::PlatformArrival(sent) => self.report_arrives(sent),
            What::PlatformHandles(sent) => self.handle_report(sent),
            What::Arrive(sent) => self.arrives_at_task(sent),
            What::Dropped {
                task,
                wire,
                request,
                attempt,
            } => self.task_dropped(task, wire, request, attempt),
            What::TaskDone {
                task,
                request,
                attempt,
            } => self.task_done(task, request, attempt),
            What::TaskHeartbeat { task, incarnation } => self.task_heartbeats(task, incarnation),
            What::TaskLeaves { task, incarnation } => self.task_leaves(task, incarnation),
            What::TaskEnds {
                task,
                incarnation,
                crash,
            } => self.task_ends(task, incarnation, crash),
            What::TaskStarts { task } => self.task_starts(task),
            What::TaskRetires { task } => self.drain(task),
            What::Client => self.client_comes(),
            What::Send(try_) => self.client_sends(try_),
            What::ClientAnswer { try_, answer } => self.client_hears(try_, answer),
            What::ClientLate { try_ } => self.client_late(try_),
            What::Readiness => self.ask_readiness(),
            What::Redirected {
                call,
                attempt,
                machine,
            } => self.redirected(call, attempt, machine),
            What::Replied {
                call,
                attempt,
                reply,
            } => self.replied(call, attempt, reply),
            What::CallLate { call, attempt } => self.call_late(call, attempt),
            What::CallAgain { call } => self.send_call(call),
            What::App(app) => self.app_acts(app),
            What::Watch(watcher) => self.watcher_acts(watcher),
            What::Operate(index) => self.operate(index),
            What::ReadBack => self.read_back(),
            What::AppsEnd => self.apps_end(),
            What::Event(index) => self.play_event(index),
            What::Immediate(event) => self.apply_event(event, usize::MAX),
            What::Recover(number) => self.recover(number),
            What::Start {
                machine,
                controller,
                proxy,
            } => self.start_again(machine, controller, proxy),
            What::Wake { process } => self.wake(process),
            What::RollingRestart { machine, pause_ms } => self.roll(machine, pause_ms),
            What::Retire { machine } => self.retire(machine),
            What::Gone { machine } => self.retired(machine, false),
            What::Kill {
                process,
                incarnation,
            } if self.processes[process].incarnation == incarnation => self.stop(process, false),
            What::Held => self.pause_random_process(),
            _ => {}
        }
    }

    /// Pauses a random process briefly.
    fn pause_random_process(&mut self) {
        let process = self.rng.random_range(0..self.processes.len());
        if self.running(process) && !self.processes[process].paused {
            self.processes[process].paused = true;
            let us = self.rng.random_range(20..220u64) * MS;
            self.after(us, None, What::Wake { process });
        }
        let us = self.rng.random_range(50..300u64) * MS;
        self.after(us, None, What::Held);
    }
}
