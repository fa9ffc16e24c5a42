//! A request from its head to its answer: routed, tried as often as it may be.

use crate::Worth;
use crate::satchel::Satchel;
use rookpulley_balancer::{Fate, Next, Pick, Round};
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_routes::RouteKind;
use std::rc::Rc;

/// When clients are to come again before a configuration is known.
const UNKNOWN_MS: f64 = 200.0;

/// Where a request goes and how, by the configuration that was held when its head came.
#[derive(Clone, Debug, PartialEq)]
pub struct Way {
    pub service: Rc<str>,
    pub kind: RouteKind,
    pub attempts: u32,
    pub latency_target_ms: f64,
    pub until_ms: f64,
    pub max_connections: u32,
}

/// An answer of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tell {
    pub status: u16,
    pub retry_after_ms: Option<f64>,
}

impl Tell {
    fn of(status: u16, retry_after_ms: Option<f64>) -> Tell {
        Tell {
            status,
            retry_after_ms,
        }
    }
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Fate(Fate),
    /// There was no room for another connection.
    Full,
    /// Somebody else answered.
    Stranger,
    /// The client failed amid its body, and gets this status: it says nothing about the task.
    Client(u16),
}

impl How {
    /// The head of an answer came; None: its body is to be read.
    pub fn of(worth: Worth) -> Option<How> {
        match worth {
            Worth::Good => None,
            Worth::NotExecuted => Some(How::Fate(Fate::NotExecuted)),
            Worth::Stranger => Some(How::Stranger),
            Worth::EmptyPromise => Some(How::Fate(Fate::Broken)),
            Worth::Spoilt => Some(How::Fate(Fate::Spoilt)),
        }
    }
}

/// What is to be done next.
#[derive(Debug)]
pub enum Go {
    /// A try at this task. At `turn_ms` it is asked whether to go on with it; it ends at the way's `until_ms` at last.
    Try {
        pick: Pick,
        to: Rc<TableEntry>,
        turn_ms: f64,
    },
    Tell(Tell),
}

/// What follows a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Then {
    Again,
    /// The task's answer goes to the client.
    Pass,
    Tell(Tell),
}

pub struct Journey {
    way: Way,
    round: Round,
    patient: bool,
}

impl Satchel {
    /// A request's head came. `deadline_ms`: what its client says that it will wait.
    pub fn arrives(
        &mut self,
        now: f64,
        host: &str,
        path: &str,
        deadline_ms: Option<f64>,
    ) -> Result<Way, Tell> {
        let later = Tell::of(503, Some(UNKNOWN_MS));
        let book = self.book().ok_or(later)?;
        let route = book.route(host, path).ok_or(Tell::of(404, None))?;
        let unit = self.post.unit();
        let service = route
            .draw(unit)
            .and_then(|index| book.service(index))
            .ok_or(later)?;
        let until_ms = now
            + deadline_ms
                .unwrap_or(route.timeout_ms)
                .min(route.timeout_ms);
        self.tally.came(&service.name);
        self.budget(&service.name, |budget| budget.request(now));
        Ok(Way {
            service: Rc::from(service.name.as_str()),
            kind: route.kind,
            attempts: route.attempts,
            latency_target_ms: route.latency_target_ms,
            until_ms,
            max_connections: service.max_connections,
        })
    }

    /// The connections that there may be to one task of this way's service.
    pub fn connections(&self, way: &Way) -> usize {
        self.fleet().connections(way.max_connections)
    }

    /// Whether a request may still leave for this incarnation: it may have begun to drain while a connection came up.
    pub fn may_leave(&self, incarnation: &IncarnationId) -> bool {
        !self.post.is_gone(incarnation)
    }

    /// A try ended so; it began at `began_ms`. True where no connection to that incarnation is to be used again.
    pub fn tried(&mut self, service: &str, pick: Pick, how: How, began_ms: f64, now: f64) -> bool {
        let fate = match how {
            How::Fate(fate) => fate,
            How::Full => {
                self.post.full(pick, now);
                return false;
            }
            How::Stranger => Fate::NotExecuted,
            How::Client(_) => {
                self.post.left(pick);
                return false;
            }
        };
        let took_ms = now - began_ms;
        self.tally
            .tried(service, &pick.line.incarnation, fate, took_ms);
        if how == How::Stranger {
            self.post.stranger(pick, now);
            return true;
        }
        self.post.settle(service, pick, fate, took_ms, now);
        false
    }

    fn give_up(&mut self, service: &str, next: Next) -> Tell {
        self.tally.failed(service);
        match next {
            Next::Refuse { retry_after_ms } => Tell::of(503, Some(retry_after_ms)),
            Next::TimedOut => Tell::of(504, None),
            Next::Try | Next::Pass | Next::BadGateway => Tell::of(502, None),
        }
    }
}

impl Journey {
    /// `again`: its body can be had a second time.
    pub fn new(satchel: &mut Satchel, way: Way, again: bool) -> Journey {
        let unit = satchel.post.unit();
        let mut round = Round::new(way.kind, way.attempts, way.until_ms, unit);
        if !again {
            round.only_once();
        }
        Journey {
            way,
            round,
            patient: true,
        }
    }

    pub fn way(&self) -> &Way {
        &self.way
    }

    /// The next task, or what its client is told. `wanted`: the client is still there, and the body at hand.
    pub fn go(&mut self, satchel: &mut Satchel, now: f64, wanted: bool) -> Go {
        let service = &self.way.service;
        let pick = if wanted {
            satchel.post.pick(service, &self.round, self.way.kind, now)
        } else {
            None
        };
        let Some(pick) = pick else {
            let next = satchel.budget(service, |budget| self.round.no_task(now, budget));
            return Go::Tell(satchel.give_up(service, next));
        };
        self.round.goes_to(&pick.line.incarnation);
        let patience_ms = self
            .round
            .patience_ms(now, self.way.latency_target_ms, pick.habit_ms);
        self.patient = patience_ms.is_none();
        Go::Try {
            to: pick.line.clone(),
            pick,
            turn_ms: patience_ms.unwrap_or(self.way.until_ms),
        }
    }

    /// The try takes long: whether it is broken off now, for one that goes to another task or since time is over.
    pub fn turns(&self, satchel: &mut Satchel, now: f64) -> bool {
        let service = &self.way.service;
        self.patient
            || (!satchel.ending
                && satchel.post.another(service, &self.round)
                && satchel.budget(service, |budget| budget.has(now)))
    }

    /// How a try ended that was broken off. `left`: bytes of the request may have left; `client_waits`: its client is
    /// the one who was waited for.
    pub fn broken_off(left: bool, client_waits: bool) -> How {
        match (left, client_waits) {
            (true, true) => How::Client(504),
            (true, false) => How::Fate(Fate::TimedOut),
            (false, _) => How::Fate(Fate::Unsent),
        }
    }

    /// A try ended so. `answer`: the status of the answer that can be passed on; `again`: the body is at hand.
    pub fn ended(
        &mut self,
        satchel: &mut Satchel,
        now: f64,
        how: How,
        answer: Option<u16>,
        again: bool,
    ) -> Then {
        let fate = match how {
            How::Fate(fate) => fate,
            How::Full => Fate::Unsent,
            How::Stranger => Fate::NotExecuted,
            How::Client(status) => return Then::Tell(Tell::of(status, None)),
        };
        let service = &self.way.service;
        let another = again && satchel.post.another(service, &self.round);
        let next = satchel.budget(service, |budget| {
            self.round.settle(fate, now, another, budget)
        });
        match (next, answer) {
            (Next::Try, _) => Then::Again,
            (Next::Pass, Some(status)) => {
                if status >= 500 {
                    satchel.tally.failed(service);
                }
                Then::Pass
            }
            (next, _) => Then::Tell(satchel.give_up(service, next)),
        }
    }
}

/// One try on its way out: connections that were idle may have been ended by the task.
#[derive(Default)]
pub struct Leaving {
    anew: bool,
}

/// What follows where a connection failed before an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Back {
    /// Out again, on a connection that nobody used before.
    Anew,
    Unsent,
    /// It left: the task may have run it.
    Broken,
}

impl Leaving {
    /// Only a connection that is new will do.
    pub fn anew(&self) -> bool {
        self.anew
    }

    /// `unsent`: nothing of the request was written; `used`: the connection had been idle; `body`: it is at hand.
    pub fn failed(&mut self, unsent: bool, used: bool, body: bool) -> Back {
        if !unsent {
            return Back::Broken;
        }
        let again = body && used && !self.anew;
        self.anew = true;
        if again { Back::Anew } else { Back::Unsent }
    }
}
