//! The messages between proxies and controllers.
//!
//! They are encoded by `postcard`, which writes fields by position: their order is part of the protocol, their names
//! are not.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The id of one incarnation of an instance: what stands in the path of its heartbeats.
pub type IncarnationId = String;

/// What a proxy, or a controller without a disk, tells a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxyToController {
    /// The first message on a connection.
    Hello(ProxyHello),
    /// The receiver is its primary from now on, or no longer.
    PrimaryChanged {
        /// Whether it is.
        is_primary: bool,
        /// The version of the configuration that it has. 0: none.
        configuration: u64,
        /// It has tables already.
        has_tables: bool,
    },
    /// It has heard of a newer configuration than it has.
    RequestConfiguration {
        /// The version that it has. 0: none, or none that a difference can stand on.
        held: u64,
    },
    /// About once a second, to its primary.
    Report(LoadReport),
    /// It uses the tables up to this one.
    TablesApplied {
        /// The `sequence` of the last one.
        up_to: u64,
    },
    /// The first message of a controller without a disk, which only redirects calls. It is sent again when the
    /// controllers with a disk that it knows of have changed.
    StatelessHello {
        /// Where it listens for other controllers.
        address: SocketAddrV4,
        /// The controllers with a disk that it is connected to.
        controllers: Vec<SocketAddrV4>,
    },
    /// From the first seed, which has no disk: the controller with this identity is to make the first view.
    AppointFounder {
        /// The identity of its disk.
        id: u64,
    },
}

/// The first message of a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyHello {
    /// The machine's name.
    pub node: String,
    /// The machine's zone.
    pub zone: String,
    /// The receiver is asked to publish this proxy's tables.
    pub is_primary: bool,
    /// The version of the configuration that it has. 0: none.
    pub configuration: u64,
    /// It has tables already.
    pub has_tables: bool,
    /// Incarnations that it knows to be draining or gone.
    pub gone: Vec<IncarnationId>,
}

/// What a proxy has met since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The time that it covers, in milliseconds.
    pub span_ms: u32,
    /// By service.
    pub services: Vec<ServiceLoad>,
}

/// The requests for one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service's name.
    pub service: String,
    /// How many came.
    pub received: u32,
    /// How many of them failed.
    pub failed: u32,
    /// By instance.
    pub instances: Vec<InstanceLoad>,
}

/// The attempts that went to one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// Which incarnation of it.
    pub incarnation: IncarnationId,
    /// How many there were.
    pub attempts: u32,
    /// How many of them failed.
    pub failed: u32,
    /// How long the others took on average, in milliseconds.
    pub mean_ms: f32,
}

/// What a controller tells a proxy, or a controller without a disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControllerToProxy {
    /// A few times a second.
    Status {
        /// The sender is in two-way contact with a majority of an active view.
        in_touch: bool,
        /// The version of the newest configuration that can be had from it. 0: none.
        configuration: u64,
        /// How many proxies there are in the whole system. 0: not known.
        proxies: u32,
        /// The controllers that it is connected to, and itself.
        controllers: Vec<SocketAddrV4>,
    },
    /// The operator's bytes as they were sent, compressed against those of another version.
    Configuration {
        /// Its version.
        version: u64,
        /// The version that it is compressed against. 0: none.
        base: u64,
        /// How many bytes come of it.
        length: u32,
        /// What `pack` returned.
        packed: Vec<u8>,
    },
    /// A whole table, in place of the one before.
    Table {
        /// The service's name.
        service: String,
        /// The hash of its entries.
        revision: u64,
        /// Rises with each table of this sender. It is to be answered by `TablesApplied`.
        sequence: u64,
        /// The instances that requests may go to.
        entries: Vec<TableEntry>,
    },
    /// These incarnations are draining or gone: nothing new goes there from now on, whatever tables say.
    InstancesGone {
        /// Which.
        incarnations: Vec<IncarnationId>,
    },
    /// The first message to a controller without a disk.
    ControllerInfo {
        /// The sender's zone.
        zone: String,
        /// The identity of the sender's disk, if it may make the first view.
        founder: Option<u64>,
        /// The sender knows of a view.
        knows_view: bool,
    },
}

/// An instance in a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableEntry {
    /// Which incarnation of it.
    pub incarnation: IncarnationId,
    /// Where it serves.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its share of the requests, relative to the other entries.
    pub weight: f32,
    /// How many requests it works on at once.
    pub slots: u16,
}
