//! What those outside saw: clients, tasks, operators, applications, and the platform that made the faults.

use crate::Us;
use crate::clients::Told;
use rookpulley_routes::RouteKind;
use std::collections::BTreeMap;

/// How a client's try ended.
#[derive(Clone, Debug)]
pub enum Ended {
    Told(Told),
    /// The connection ended before anything was read.
    Unread,
    Closed,
    /// It wasn't read for long.
    GivenUp,
    Late,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    pub request: usize,
    pub number: u32,
    pub zone: usize,
    pub host: String,
    pub path: String,
    pub kind: RouteKind,
    pub machine: usize,
    pub process_incarnation: u32,
    pub sent_us: Us,
    pub deadline: Us,
    pub until: Us,
    pub read_us: Option<Us>,
    pub ended: Option<(Us, Ended)>,
}

impl Try {
    pub fn status(&self) -> u16 {
        match &self.ended {
            Some((_, Ended::Told(told))) => told.status,
            _ => 0,
        }
    }

    pub fn served(&self) -> bool {
        (200..300).contains(&self.status())
    }

    pub fn ended_us(&self) -> Us {
        self.ended.as_ref().map_or(Us::MAX, |(at, _)| *at)
    }
}

#[derive(Clone, Debug)]
pub struct Run {
    pub begun: Us,
    pub ended: Option<Us>,
    pub status: u16,
    pub signature: u64,
    pub body: u64,
}

/// A request at a task.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The number of the client's try, as its id says.
    pub request: usize,
    pub incarnation: String,
    pub service: usize,
    pub at: Us,
    pub machine: usize,
    pub task: usize,
    pub path: String,
    /// Another incarnation was meant: 421.
    pub stranger: bool,
    pub ran: Option<Run>,
    pub broke_off: bool,
}

#[derive(Clone, Debug)]
pub struct Drain {
    pub incarnation: String,
    pub at: Us,
    pub machine: usize,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: u64,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub targets: Vec<(usize, u32)>,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: usize,
}

impl Config {
    /// The longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix));
        fits.max_by_key(|route| route.prefix.len())
    }

    pub fn allows(&self, host: &str, path: &str, service: usize) -> bool {
        let route = self.route(host, path);
        route.is_some_and(|route| {
            route
                .targets
                .iter()
                .any(|(to, weight)| *to == service && *weight > 0)
        })
    }
}

#[derive(Clone, Debug)]
pub struct Put {
    pub config: Config,
    pub body: Vec<u8>,
    pub valid: bool,
    pub sent: Us,
    pub acked: Option<Us>,
    pub machine: usize,
    pub refused: Option<u16>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Take { hold_ms: u64 },
    Renew { hold: usize },
    Drop,
    Number,
    Put { value: String, active: Option<u64> },
    Get,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    Nothing,
    Done,
    No(u16),
    Fence(u64),
    Number(u64),
    Revision(u64),
    Conflict(u64),
    Read(Option<(String, u64)>),
}

#[derive(Clone, Debug)]
pub struct AppCall {
    pub asked: Asked,
    pub name: String,
    pub sent: Us,
    pub done: Option<Us>,
    pub got: Got,
    /// Some try of it had no clear answer.
    pub unclear: bool,
}

/// A lock as its holder sees it.
#[derive(Clone, Debug)]
pub struct Hold {
    pub app: usize,
    pub lock: String,
    pub fence: u64,
    pub from: Us,
    pub until: Us,
    pub asked: Us,
}

#[derive(Clone, Debug)]
pub struct WatchPart {
    pub group: String,
    pub after: u64,
    pub revision: u64,
    pub status: u16,
    pub events: Vec<(String, String, u64)>,
    pub sent: Us,
}

/// Faults that the platform made, as far as the rules ask for it.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Moments that unsettle the core.
    pub core: Vec<Us>,
    /// On one machine, from when to when.
    pub machine: Vec<(usize, Us, Us)>,
    /// A link that doesn't carry, in some direction: a machine and another machine.
    pub cuts: Vec<(usize, usize, Us, Us)>,
    /// The same with a task's place.
    pub task_cuts: Vec<(usize, usize, Us, Us)>,
    /// Unplanned ones, of any kind.
    pub unplanned: Vec<(Us, Us)>,
}

/// A read of the configuration amid the day, at one controller.
pub struct ConfigurationRead {
    pub sent: Us,
    /// The machine that was asked.
    pub machine: usize,
    /// None: the answer names no configuration.
    pub body: Option<Vec<u8>>,
}

#[derive(Default)]
pub struct Record {
    pub tries: Vec<Try>,
    pub arrivals: Vec<Arrival>,
    pub drains: Vec<Drain>,
    pub puts: Vec<Put>,
    pub read_back_asked: Option<Us>,
    pub read_back: Option<Vec<u8>>,
    pub reads: Vec<ConfigurationRead>,
    pub calls: Vec<AppCall>,
    pub last: Vec<usize>,
    pub holds: Vec<Hold>,
    pub watches: Vec<WatchPart>,
    pub faults: PlatformFaults,
    /// When a machine was told to end in order.
    pub terms: Vec<(usize, Us)>,
    pub incarnations: BTreeMap<String, usize>,
    /// Ends by themselves and what else must not happen.
    pub program_faults: Vec<String>,
    pub wires: crate::tasks::Wires,
    pub end: Us,
}

impl Record {
    pub fn incarnation(&mut self, incarnation: String, service: usize) {
        self.incarnations.insert(incarnation, service);
    }

    pub fn fault(&mut self, fault: String) {
        self.program_faults.push(fault);
    }

    pub fn started(&mut self, now: Us, machine: usize, core: bool) {
        if now > 0 {
            self.faults.machine.push((machine, now, now));
            if core {
                self.faults.core.push(now);
            }
        }
    }
}
