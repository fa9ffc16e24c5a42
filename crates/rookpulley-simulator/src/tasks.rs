//! Stand-ins for tasks: incarnations with slots, a queue and a speed, which send heartbeats, drain, end, crash and answer badly. A place
//! is an address; after one incarnation another may have it, also of another service.

use crate::callers::{Call, Who};
use crate::clients::hash;
use crate::controllers::{DRAIN_MS, HEARTBEAT_MS};
use crate::event::{BadTask, Event};
use crate::net::Host;
use crate::record::{Arrival, Drain, Run};
use crate::world::{What, World};
use crate::{MS, S, Us};
use rand::RngExt;
use rookpulley_control::{Endpoint, Reply};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A request on its way to a place.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    pub from: (usize, u32),
    pub request: usize,
    pub attempt: u32,
    pub wire: u64,
    pub place: usize,
    /// The incarnation that is to run it; empty: any.
    pub meant: String,
    pub path: String,
    /// The `Tenant-Name` header.
    pub tenant: Option<String>,
    /// The key in the `Authorization` header.
    pub key: Option<String>,
    pub left_us: Us,
}

/// What comes back.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The connection ended. `unread`: the proxy knows that nothing of the request was written.
    Reset { unread: bool },
    Head {
        status: u16,
        own: bool,
        not_executed: bool,
        stamped: bool,
        sized: bool,
        whole: bool,
        signature: u64,
        body: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    ControllerToProxy,
    ProxyToController,
    Draining,
    /// Its drain is acknowledged, or it doesn't wait for that any more.
    Leaving,
}

struct Job {
    sent: UpstreamRequest,
    until: Us,
    arrival: usize,
}

struct WireEnd {
    place: usize,
    incarnation: u64,
    owner: Option<(usize, u32)>,
    bad: bool,
}

pub struct Task {
    pub zone: usize,
    address: SocketAddrV4,
    pub service: usize,
    pub incarnation: u64,
    state: State,
    slots: usize,
    queue: usize,
    most_wires: usize,
    wires: usize,
    work_us: Us,
    cold_until: Us,
    sequence: u64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    pub bad: Option<BadTask>,
    drained: bool,
    /// It is to drain, and nothing comes after it.
    retires: bool,
}

#[derive(Default)]
pub struct Wires {
    open: BTreeMap<u64, WireEnd>,
}

pub const MOST_WIRES: usize = 60;

pub fn service_name(service: usize) -> String {
    format!("svc{service}")
}

pub fn incarnation_name(place: usize, incarnation: u64) -> String {
    format!("i-{place}-{incarnation}")
}

impl World {
    pub fn begin_tasks(&mut self) {
        for place in 0..self.day.tasks {
            self.add_place(place % self.day.services);
            let us = self.rng.random_range(100..900u64) * MS;
            self.after(us, None, What::TaskStarts { task: place });
        }
    }

    fn add_place(&mut self, service: usize) -> usize {
        let place = self.tasks.len();
        let shape = self.day.shape.clone();
        let mut zone = self.rng.random_range(0..self.day.zones);
        if shape.uneven_zones {
            zone = if place.is_multiple_of(10) {
                0
            } else {
                1 + place % (self.day.zones - 1)
            };
        }
        let slots = self.rng.random_range(2..=6);
        let queue = self.rng.random_range(1..=4);
        let (least, most) = shape.work_ms.unwrap_or((4, 30));
        self.tasks.push(Task {
            zone,
            address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, place as u8 + 1), 8_080),
            service,
            incarnation: 0,
            state: State::ControllerToProxy,
            slots: shape.slots.unwrap_or(slots),
            queue,
            most_wires: MOST_WIRES,
            wires: 0,
            work_us: self.rng.random_range(least..most) * MS,
            cold_until: 0,
            sequence: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            bad: None,
            drained: false,
            retires: false,
        });
        place
    }

    /// A task begins at an address of its own, and the oldest of its service drains.
    pub fn release(&mut self, service: usize, count: u32, pause_ms: u64, bad: Option<BadTask>) {
        if count == 0 || self.tasks.len() >= 200 {
            return;
        }
        let of = |task: &Task| {
            task.service == service && task.state == State::ProxyToController && !task.retires
        };
        if let Some(oldest) = self.tasks.iter().position(of) {
            self.tasks[oldest].retires = true;
            self.after(100 * MS, None, What::TaskRetires { task: oldest });
        }
        let place = self.add_place(service);
        self.tasks[place].bad = bad;
        self.after(0, None, What::TaskStarts { task: place });
        let rest = Event::Release {
            service,
            count: count - 1,
            pause_ms,
            bad,
        };
        self.after(pause_ms * MS, None, What::Immediate(rest));
    }

    /// The incarnation at a place ends, and another service has its address at once.
    pub fn pass_on(&mut self, task: usize) {
        if self.tasks[task].state == State::ControllerToProxy {
            return;
        }
        let incarnation = self.tasks[task].incarnation;
        self.end_incarnation(task, incarnation, Some(false));
        self.tasks[task].service = (self.tasks[task].service + 1) % self.day.services;
        self.after(20 * MS, None, What::TaskStarts { task });
    }

    pub fn place_of(&self, address: SocketAddrV4) -> Option<usize> {
        let place = usize::from(address.ip().octets()[3]).checked_sub(1)?;
        (place < self.tasks.len()).then_some(place)
    }

    pub fn task_starts(&mut self, task: usize) {
        let (incarnation, now) = (self.number(), self.now);
        let cold = self.rng.random_range(0..3_000u64) * MS;
        let of = &mut self.tasks[task];
        (of.incarnation, of.state, of.sequence) = (incarnation, State::ProxyToController, 0);
        of.cold_until = if now < 2 * S || self.day.shape.warm {
            0
        } else {
            now + cold
        };
        (of.wires, of.drained) = (0, false);
        self.record
            .incarnation(incarnation_name(task, incarnation), of.service);
        let text = format!(
            "task {task}: {} of {}",
            incarnation_name(task, incarnation),
            service_name(of.service)
        );
        self.say(|| text);
        self.after(0, None, What::TaskHeartbeat { task, incarnation });
    }

    // ---- heartbeats ------------------------------------------------------------------------------

    fn heartbeat_body(&mut self, task: usize) -> String {
        let now = self.now;
        let of = &mut self.tasks[task];
        of.sequence += 1;
        format!(
            "{{\"address\":\"{}\",\"nodeInfo\":{{\"targetService\":\"{}\",\"configVersion\":\"v1\",\
             \"zone\":\"zone-{}\",\"capacitySlots\":{}}},\"currentStatus\":{{\"lifecycleState\":\"{}\",\
             \"callSequence\":{},\"coldRemainingMs\":{}}}}}",
            of.address,
            service_name(of.service),
            of.zone,
            of.slots,
            if of.state == State::ProxyToController {
                "available"
            } else {
                "draining"
            },
            of.sequence,
            of.cold_until.saturating_sub(now) / MS,
        )
    }

    pub fn task_heartbeats(&mut self, task: usize, incarnation: u64) {
        if self.tasks[task].incarnation != incarnation
            || matches!(
                self.tasks[task].state,
                State::ControllerToProxy | State::Leaving
            )
        {
            return;
        }
        let draining = self.tasks[task].state == State::Draining;
        let body = self.heartbeat_body(task);
        let name = incarnation_name(task, incarnation);
        let who = Who::Heartbeat {
            task,
            incarnation,
            draining,
            leaving: false,
        };
        let within = if draining { 4 * S } else { HEARTBEAT_MS * MS };
        self.call(
            who,
            Endpoint::Heartbeat,
            &name,
            body,
            Vec::new(),
            (within, 0),
        );
        if !draining {
            let us = HEARTBEAT_MS * MS + self.rng.random_range(0..60u64) * MS;
            self.after(us, None, What::TaskHeartbeat { task, incarnation });
        }
    }

    /// It reports that it drains.
    pub fn drain(&mut self, task: usize) {
        if self.tasks[task].state == State::ProxyToController {
            self.tasks[task].state = State::Draining;
            let incarnation = self.tasks[task].incarnation;
            let name = incarnation_name(task, incarnation);
            self.say(|| format!("task {task}: {name} drains"));
            self.task_heartbeats(task, incarnation);
        }
    }

    pub fn heartbeat_ended(
        &mut self,
        task: usize,
        incarnation: u64,
        (draining, leaving): (bool, bool),
        call: &Call,
        reply: Option<&Reply>,
    ) {
        let acknowledged = reply.is_some_and(|reply| reply.status == 200);
        let now = self.now;
        if (draining || leaving) && acknowledged {
            let name = incarnation_name(task, incarnation);
            self.record.drains.push(Drain {
                incarnation: name,
                at: now,
                machine: call.machine,
            });
        }
        if self.tasks[task].incarnation != incarnation
            || !draining
            || leaving
            || self.tasks[task].state != State::Draining
        {
            return;
        }
        self.tasks[task].state = State::Leaving;
        // Where nobody acknowledges it still goes.
        let us = if acknowledged {
            (DRAIN_MS + 600) * MS
        } else {
            2 * S
        };
        self.after(us, None, What::TaskLeaves { task, incarnation });
    }

    pub fn task_leaves(&mut self, task: usize, incarnation: u64) {
        if self.tasks[task].incarnation != incarnation {
            return;
        }
        let name = incarnation_name(task, incarnation);
        let who = Who::Heartbeat {
            task,
            incarnation,
            draining: true,
            leaving: true,
        };
        self.call(
            who,
            Endpoint::Leave,
            &name,
            String::new(),
            Vec::new(),
            (2 * S, 0),
        );
        self.after(
            300 * MS,
            None,
            What::TaskEnds {
                task,
                incarnation,
                crash: None,
            },
        );
    }

    /// `crash`: not in order, and whether its connections end without a word.
    pub fn task_ends(&mut self, task: usize, incarnation: u64, crash: Option<bool>) {
        if self.tasks[task].incarnation != incarnation
            || self.tasks[task].state == State::ControllerToProxy
        {
            return;
        }
        self.end_incarnation(task, incarnation, crash);
        if self.tasks[task].retires {
            return;
        }
        // Its address may be another service's next, after a while.
        let us = 2 * S + self.rng.random_range(0..1_000u64) * MS;
        let service = self.tasks[task].service;
        let others = self.tasks.iter().filter(|of| of.service == service).count() > 1;
        if others && self.chance(2) {
            self.tasks[task].service = self.rng.random_range(0..self.day.services);
        }
        self.after(us, None, What::TaskStarts { task });
    }

    fn end_incarnation(&mut self, task: usize, incarnation: u64, crash: Option<bool>) {
        let of = &mut self.tasks[task];
        of.state = State::ControllerToProxy;
        let name = incarnation_name(task, incarnation);
        let jobs: Vec<Job> = of.running.drain(..).chain(of.waiting.drain(..)).collect();
        self.say(|| format!("task {task}: {name} ends"));
        if crash != Some(true) {
            for job in jobs {
                self.record.arrivals[job.arrival].interrupted = true;
                self.answer(task, &job.sent, Answer::Reset { unread: false });
            }
        } else {
            jobs.iter()
                .for_each(|job| self.record.arrivals[job.arrival].interrupted = true);
        }
    }

    pub fn crash(&mut self, task: usize, silent: bool) {
        let incarnation = self.tasks[task].incarnation;
        self.task_ends(task, incarnation, Some(silent));
    }

    // ---- connections ------------------------------------------------------------------------

    /// A task resets what is beyond its bound; whoever waits a little sees it.
    pub fn accepts_wire(&mut self, place: usize, wire: u64, once: bool) -> bool {
        let of = &mut self.tasks[place];
        if of.state == State::ControllerToProxy {
            return false;
        }
        let bad = of.wires >= of.most_wires;
        if bad && once {
            return false;
        }
        of.wires += 1;
        let end = WireEnd {
            place,
            incarnation: of.incarnation,
            owner: None,
            bad,
        };
        self.record.wires.open.insert(wire, end);
        true
    }

    pub fn close_wire(&mut self, wire: u64) {
        if let Some(end) = self.record.wires.open.remove(&wire) {
            let of = &mut self.tasks[end.place];
            if of.incarnation == end.incarnation {
                of.wires = of.wires.saturating_sub(1);
            }
        }
    }

    pub fn place_of_wire(&self, wire: u64) -> Option<usize> {
        self.record.wires.open.get(&wire).map(|end| end.place)
    }

    /// All connections of a process that ended.
    pub fn wires_ended(&mut self, owner: (usize, u32)) {
        let its: Vec<u64> = self
            .record
            .wires
            .open
            .iter()
            .filter(|(_, end)| end.owner == Some(owner))
            .map(|(w, _)| *w)
            .collect();
        its.into_iter().for_each(|wire| self.close_wire(wire));
    }

    // ---- requests ---------------------------------------------------------------------------

    fn answer(&mut self, task: usize, sent: &UpstreamRequest, answer: Answer) {
        let to = self.host_of(sent.from.0);
        let (request, attempt, wire) = (sent.request, sent.attempt, sent.wire);
        let what = What::Answer {
            request,
            attempt,
            wire,
            answer,
        };
        self.post(Host::Task(task), to, Some(sent.from), what);
    }

    pub fn arrives_at_task(&mut self, sent: UpstreamRequest) {
        let (task, now) = (sent.place, self.now);
        let incarnation = self.tasks[task].incarnation;
        let end = self.record.wires.open.get_mut(&sent.wire);
        let sound = end
            .as_ref()
            .is_some_and(|end| end.incarnation == incarnation && !end.bad);
        end.into_iter().for_each(|end| end.owner = Some(sent.from));
        if self.tasks[task].state == State::ControllerToProxy || !sound {
            // Nobody is there, or it is another one that knows nothing of this connection.
            return self.answer(task, &sent, Answer::Reset { unread: false });
        }
        let name = incarnation_name(task, incarnation);
        let misdirected = !sent.meant.is_empty() && sent.meant != name;
        let arrival = Arrival {
            request: sent.request,
            incarnation: name,
            service: self.tasks[task].service,
            at: now,
            machine: self.processes[sent.from.0].machine,
            task,
            path: sent.path.clone(),
            tenant: sent.tenant.clone(),
            key: sent.key.clone(),
            misdirected,
            ran: None,
            interrupted: false,
        };
        self.record.arrivals.push(arrival);
        let arrival = self.record.arrivals.len() - 1;
        if misdirected {
            return self.turn_away(task, &sent, 421);
        }
        let sheds = self.tasks[task].bad == Some(BadTask::Sheds) && !self.chance(4);
        let of = &mut self.tasks[task];
        let job = Job {
            until: now + sent.left_us,
            sent,
            arrival,
        };
        if sheds || (of.running.len() >= of.slots && of.waiting.len() >= of.queue) {
            return self.turn_away(task, &job.sent, 503);
        }
        if of.running.len() < of.slots {
            return self.begin_job(task, job);
        }
        of.waiting.push_back(job);
    }

    fn turn_away(&mut self, task: usize, sent: &UpstreamRequest, status: u16) {
        let answer = Answer::Head {
            status,
            own: true,
            not_executed: true,
            stamped: false,
            sized: true,
            whole: true,
            signature: 0,
            body: 0,
        };
        self.answer(task, sent, answer);
    }

    fn begin_job(&mut self, task: usize, job: Job) {
        let now = self.now;
        let mut us = self.tasks[task].work_us;
        us = us / 2 + self.rng.random_range(0..us);
        let of = &self.tasks[task];
        if of.bad == Some(BadTask::Quick) {
            us = MS;
        }
        if now < of.cold_until {
            us *= 3;
        }
        if of.bad == Some(BadTask::Slow) {
            us *= 10;
        }
        if of.running.len() + 1 >= of.slots {
            us = us * 13 / 10;
        }
        let (request, attempt) = (job.sent.request, job.sent.attempt);
        self.record.arrivals[job.arrival].ran = Some(Run {
            begun: now,
            ended: None,
            status: 0,
            signature: 0,
            body: 0,
        });
        self.tasks[task].running.push(job);
        self.after(
            us,
            None,
            What::TaskDone {
                task,
                request,
                attempt,
            },
        );
    }

    fn next_job(&mut self, task: usize) {
        while self.tasks[task].running.len() < self.tasks[task].slots
            && let Some(job) = self.tasks[task].waiting.pop_front()
        {
            if job.until <= self.now {
                self.turn_away(task, &job.sent, 503);
            } else {
                self.begin_job(task, job);
            }
        }
    }

    pub fn task_done(&mut self, task: usize, request: usize, attempt: u32) {
        let now = self.now;
        let of = &mut self.tasks[task];
        let fits = |job: &Job| (job.sent.request, job.sent.attempt) == (request, attempt);
        let Some(at) = of.running.iter().position(fits) else {
            return;
        };
        let job = of.running.swap_remove(at);
        let bad = of.bad;
        self.next_job(task);
        let late = now >= job.until;
        let fails =
            late || match bad {
                Some(BadTask::Fails) => !self.chance(3),
                Some(BadTask::Errs) => self.rng.random_range(0..5u32) < 2,
                bad => bad == Some(BadTask::Quick),
            } || self.chance(500);
        let status = if late {
            504
        } else if fails {
            500
        } else {
            200
        };
        let (signature, body): (u64, u64) =
            (self.rng.random(), hash(request as u64, job.arrival as u64));
        if let Some(run) = &mut self.record.arrivals[job.arrival].ran {
            (run.ended, run.status) = (Some(now), status);
            (run.signature, run.body) = (signature, body);
        }
        let (mut own, mut whole, mut sized) = (true, true, true);
        let (mut signature, mut body) = (signature, body);
        match bad {
            Some(BadTask::Mute) if !self.chance(3) => {
                self.record.arrivals[job.arrival].interrupted = true;
                return;
            }
            Some(BadTask::Cuts) if !self.chance(3) => {
                self.record.arrivals[job.arrival].interrupted = true;
                if self.chance(2) {
                    return self.answer(task, &job.sent, Answer::Reset { unread: false });
                }
                whole = false;
            }
            Some(BadTask::Garbles) if !self.chance(3) => {
                // Another request's answer in the place of this one's, or nothing that tells its end.
                if self.chance(2) {
                    own = false;
                    (signature, body) = (self.rng.random(), self.rng.random());
                } else {
                    sized = false;
                }
                self.record.arrivals[job.arrival].interrupted = true;
            }
            _ => {}
        }
        let stamped = status == 200;
        let answer = Answer::Head {
            status,
            own,
            not_executed: false,
            stamped,
            sized,
            whole,
            signature,
            body,
        };
        self.answer(task, &job.sent, answer);
    }

    /// The connection of a request ended: what waits is dropped, what has begun goes on unseen.
    pub fn task_dropped(&mut self, task: usize, wire: u64, request: usize, attempt: u32) {
        let of = &mut self.tasks[task];
        let fits = |job: &Job| (job.sent.request, job.sent.attempt) == (request, attempt);
        of.waiting.retain(|job| !fits(job));
        of.running.retain(|job| !fits(job));
        self.close_wire(wire);
        self.next_job(task);
    }
}
