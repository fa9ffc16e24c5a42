//! The externally visible record of a simulation: clients, tasks, operators, applications and injected faults.

use crate::Us;
use crate::clients::ClientResponse;
use crate::tenants::{Identity, Tenant};
use rookpulley_routes::RouteKind;
use std::collections::BTreeMap;

/// How a client's attempt ended.
#[derive(Clone, Debug)]
pub enum Ended {
    Response(ClientResponse),
    /// The connection closed before the request was read.
    ClosedUnread,
    Closed,
    /// The client gave up because the request was not read in time.
    Abandoned,
    Late,
}

/// One attempt of a client request.
#[derive(Clone, Debug)]
pub struct Try {
    pub request: usize,
    pub number: u32,
    pub zone: usize,
    pub host: String,
    pub path: String,
    pub kind: RouteKind,
    pub identity: Identity,
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
            Some((_, Ended::Response(told))) => told.status,
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
    /// The index of the client's attempt, taken from the request ID.
    pub request: usize,
    pub incarnation: String,
    pub service: usize,
    pub at: Us,
    pub machine: usize,
    pub task: usize,
    pub path: String,
    /// The `Tenant-Name` that arrived with it.
    pub tenant: Option<String>,
    /// The key that arrived with it.
    pub key: Option<String>,
    /// The request was addressed to another incarnation and got 421.
    pub misdirected: bool,
    pub ran: Option<Run>,
    pub interrupted: bool,
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
    /// Requests need no key.
    pub is_public: bool,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: usize,
    /// Empty: requests need no key.
    pub tenants: Vec<Tenant>,
}

impl Config {
    /// Returns the route with the longest matching prefix.
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

    /// The tenant that holds this key.
    pub fn tenant_of(&self, key: Option<&str>) -> Option<&str> {
        let key = key?;
        let holds = |tenant: &&Tenant| tenant.keys.iter().any(|held| held == key);
        let holder = self.tenants.iter().find(holds);
        holder.map(|tenant| tenant.name.as_str())
    }

    /// Whether a request needs a key and has none that a tenant holds. A path without a route counts as one of a route
    /// that is not public.
    pub fn refuses_key(&self, try_: &Try) -> bool {
        !self.tenants.is_empty()
            && self.tenant_of(try_.identity.key.as_deref()).is_none()
            && !self.is_public(&try_.host, &try_.path)
    }

    /// Whether the request has a route, and needs no key there.
    pub fn is_public(&self, host: &str, path: &str) -> bool {
        let route = self.route(host, path);
        route.is_some_and(|route| route.is_public)
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
    Acquire { lease_ms: u64 },
    Renew { hold: usize },
    Release,
    NextNumber,
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
    /// At least one attempt had an indeterminate result.
    pub indeterminate: bool,
}

/// A lock as its holder observes it.
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

/// The injected faults that the rules take into account.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Times of faults that affect the controllers.
    pub core: Vec<Us>,
    /// Faults of one machine: machine, start and end.
    pub machine: Vec<(usize, Us, Us)>,
    /// Partitions in at least one direction: two machines, start and end.
    pub cuts: Vec<(usize, usize, Us, Us)>,
    /// Partitions between a machine and a task: machine, task, start and end.
    pub task_cuts: Vec<(usize, usize, Us, Us)>,
    /// Unplanned faults of any kind: start and end.
    pub unplanned: Vec<(Us, Us)>,
}

/// What the platform did with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    Accepted,
    /// A higher token was seen.
    Fenced,
    RateLimited,
    /// It was refused for another reason.
    Busy,
}

/// A usage report that the platform has read.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub at: Us,
    pub holder: String,
    pub fence: u64,
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<String, u64>,
    pub outcome: ReportOutcome,
}

/// A configuration read at one controller during the run.
pub struct ConfigurationRead {
    pub sent: Us,
    pub machine: usize,
    /// `None` if the response contains no configuration.
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
    /// Orderly shutdowns: machine and time of the signal.
    pub terms: Vec<(usize, Us)>,
    pub incarnations: BTreeMap<String, usize>,
    /// Unexpected exits and other program faults.
    pub program_faults: Vec<String>,
    /// Reports in the order in which the platform handled them.
    pub reports: Vec<Report>,
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
