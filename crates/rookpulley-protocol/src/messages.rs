//! The values that proxies and controllers exchange.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The id of one incarnation of a task.
pub type IncarnationId = String;

/// What a proxy tells a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Up {
    /// The first word on a connection. `home`: this controller is asked to cut the proxy's tables; `tables`: it holds
    /// some already.
    Hello {
        node: String,
        zone: String,
        home: bool,
        config: u64,
        tables: bool,
        gone: Vec<IncarnationId>,
    },
    Home {
        home: bool,
        config: u64,
        tables: bool,
    },
    /// It has heard of a newer configuration than the one it holds.
    WantConfig { have: u64 },
    /// About once a second, to its home.
    Report(Report),
    /// The tables up to this mark are in use.
    Took { mark: u64 },
    /// The first word of a controller that has no disk, and where it hears other controllers. It only passes calls on. It says
    /// so again when the controllers with a disk that it knows of have changed.
    StatelessHello {
        address: SocketAddrV4,
        controllers: Vec<SocketAddrV4>,
    },
    /// From the first seed, which has no disk: the controller with this identity is to found the first view.
    Found { id: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub span_ms: u32,
    pub services: Vec<ServiceReport>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    pub service: String,
    /// Requests that came for it, and those of them that failed.
    pub came: u32,
    pub bad: u32,
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    pub incarnation: IncarnationId,
    pub tries: u32,
    pub bad: u32,
    /// Over the good tries.
    pub mean_ms: f32,
}

/// What a controller tells a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// A few times a second. `in_touch`: this controller stands in a view that is at work.
    Pulse {
        in_touch: bool,
        config: u64,
        proxies: u32,
        controllers: Vec<SocketAddrV4>,
    },
    /// The operator's bytes as they were sent, packed on those of another version; 0: on nothing.
    Config {
        version: u64,
        base: u64,
        length: u32,
        packed: Vec<u8>,
    },
    /// A whole table, in the place of the one before.
    Table {
        service: String,
        name: u64,
        mark: u64,
        lines: Vec<Line>,
    },
    /// These incarnations drain or have ended: nothing new goes there from now on, whatever tables say.
    Gone { incarnations: Vec<IncarnationId> },
    /// To a controller without a disk, first: where this one is, its identity if it may found the first view, and
    /// whether it knows of a view.
    Place {
        zone: String,
        founds: Option<u64>,
        view: bool,
    },
}

/// A task in a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub incarnation: IncarnationId,
    pub address: SocketAddrV4,
    pub zone: String,
    pub weight: f32,
    pub slots: u16,
}
