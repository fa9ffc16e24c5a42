//! Messages between proxies and controllers.
//!
//! They are encoded with `postcard`, which identifies fields and variants by position: their order is part of the
//! protocol, their names are not.

use rookpulley_usage::ProxyUsage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Id of one incarnation of an instance, as used in the path of its heartbeats.
pub type IncarnationId = String;

/// Messages from a proxy, or from a stateless controller, to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxyToController {
    /// The first message on a connection.
    Hello(ProxyHello),
    /// The receiver has become, or is no longer, the sender's primary.
    PrimaryChanged {
        /// Whether the receiver is the primary.
        is_primary: bool,
        /// Version of the configuration held by the sender, or 0 if it has none.
        configuration: u64,
        /// Whether the sender already has endpoint tables.
        has_tables: bool,
    },
    /// Requests a newer configuration.
    RequestConfiguration {
        /// Version held by the sender, or 0 if it has none that can serve as a compression base.
        held: u64,
    },
    /// Load report, sent to the primary about once a second.
    Report(LoadReport),
    /// Acknowledges the tables up to a sequence number.
    TablesApplied {
        /// The `sequence` of the last applied table.
        up_to: u64,
    },
    /// First message of a stateless controller, which has no disk and only redirects calls. It is sent again when the
    /// set of connected controllers with a disk changes.
    StatelessHello {
        /// Address on which the sender accepts connections of other controllers.
        address: SocketAddrV4,
        /// Controllers with a disk that the sender is connected to.
        controllers: Vec<SocketAddrV4>,
    },
    /// Sent by the first seed if it is stateless: the controller with this disk identity creates the first view.
    AppointFounder {
        /// Identity of the controller's disk.
        id: u64,
    },
    /// Asks which configuration version is the newest acknowledged one. Answered by `ConfigurationVerified`.
    RequestVerification(VerificationRequest),
    /// Requests by tenant and window, from a proxy to its primary.
    Usage(ProxyUsage),
}

/// A question for the newest acknowledged configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VerificationRequest {
    /// When it was sent, by the steady clock of the proxy, which the answer repeats. In milliseconds.
    pub sent_ms: f64,
    /// The time of day by the clock of the proxy alone, in milliseconds since the start of 1970.
    pub unix_ms: f64,
}

/// First message of a proxy on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyHello {
    /// Name of the proxy's machine.
    pub node: String,
    /// Zone of the proxy's machine.
    pub zone: String,
    /// Whether the receiver is this proxy's primary and publishes its endpoint tables.
    pub is_primary: bool,
    /// Version of the configuration held by the proxy, or 0 if it has none.
    pub configuration: u64,
    /// Whether the proxy already has endpoint tables.
    pub has_tables: bool,
    /// Incarnations known to the proxy to be draining or gone.
    pub gone: Vec<IncarnationId>,
}

/// Load observed by a proxy since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Length of the reported period, in milliseconds.
    pub span_ms: u32,
    /// Load per service.
    pub services: Vec<ServiceLoad>,
}

/// Load of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Number of requests received.
    pub received: u32,
    /// Number of requests that failed.
    pub failed: u32,
    /// Load per instance.
    pub instances: Vec<InstanceLoad>,
}

/// Attempts sent to one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// Incarnation of the instance.
    pub incarnation: IncarnationId,
    /// Number of attempts.
    pub attempts: u32,
    /// Number of failed attempts.
    pub failed: u32,
    /// Mean latency of successful attempts, in milliseconds.
    pub mean_ms: f32,
}

/// Messages from a controller to a proxy or to a stateless controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControllerToProxy {
    /// Periodic status, sent a few times a second.
    Status {
        /// Whether the sender is in two-way contact with a majority of an active view.
        in_touch: bool,
        /// Newest configuration version available from the sender, or 0 if it has none.
        configuration: u64,
        /// Number of proxies in the fleet, or 0 if unknown.
        proxies: u32,
        /// The sender, and the controllers that it is connected to.
        controllers: Vec<SocketAddrV4>,
    },
    /// A configuration as sent by the operator, compressed against another version.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// Version that it is compressed against, or 0 if none.
        base: u64,
        /// Uncompressed length, in bytes.
        length: u32,
        /// Result of `pack`.
        packed: Vec<u8>,
    },
    /// A complete endpoint table, which replaces the previous one of the service.
    Table {
        /// Name of the service.
        service: String,
        /// Hash of the entries.
        revision: u64,
        /// Increases with each table of this sender, and is acknowledged by `TablesApplied`.
        sequence: u64,
        /// Instances that requests may be sent to.
        entries: Vec<TableEntry>,
    },
    /// These incarnations are draining or gone and receive no new requests, even if a table contains them.
    InstancesGone {
        /// The affected incarnations.
        incarnations: Vec<IncarnationId>,
    },
    /// First message to a stateless controller.
    ControllerInfo {
        /// Zone of the sender.
        zone: String,
        /// Identity of the sender's disk, if it may create the first view.
        founder: Option<u64>,
        /// Whether the sender knows of a view.
        knows_view: bool,
    },
    /// Answers `RequestVerification`.
    ConfigurationVerified(Verification),
}

/// The newest acknowledged configuration version at some time after a question was sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verification {
    /// The `sent_ms` of the question.
    pub sent_ms: f64,
    /// The version, or 0 if no configuration has been acknowledged.
    pub version: u64,
    /// The median time of day that the sender knows of, in milliseconds since the start of 1970.
    pub unix_ms: f64,
}

/// An entry of an endpoint table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableEntry {
    /// Incarnation of the instance.
    pub incarnation: IncarnationId,
    /// Address on which the instance accepts requests.
    pub address: SocketAddrV4,
    /// Zone of the instance.
    pub zone: String,
    /// Share of the requests, relative to the other entries.
    pub weight: f32,
    /// Number of requests that the instance processes concurrently.
    pub slots: u16,
}
