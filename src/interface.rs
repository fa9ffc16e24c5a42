//! Inputs, effects and settings of the controller. Plain data types without logic.
//!
//! Times are milliseconds. Identifiers are opaque values assigned by the caller.

/// A server's IPv4 address and port, in the caller's byte representation.
pub type ServerId = [u8; 6];
pub type ProxyId = u16;
pub type TableId = u16;
pub type ZoneId = u16;
/// Index into [`Start::kinds`].
pub type KindId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Gone,
    Ready,
    Draining,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: ServerId,
    pub zone: ZoneId,
    pub machine: u16,
    pub bay: u16,
    pub stage: Stage,
    pub weight: f64,
    /// Last start time; 0 if unknown or long ago.
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Full,
    Cached,
    Failed,
}

/// Scope within which servers deduplicate a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Bay,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatSafety {
    Replayable,
    Uniqued { group: Group, window_ms: f64 },
    NonReplayable,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    pub name: String,
    pub response_target_ms: f64,
    pub client_timeout_ms: f64,
    pub value: f64,
    pub late_value_share: f64,
    pub repeat: RepeatSafety,
    pub writes: bool,
    /// Zones whose servers may receive this kind; empty means any.
    pub zones: Vec<ZoneId>,
    /// Machine kinds that may receive this kind; empty means any.
    pub machines: Vec<u16>,
    /// Restricts this kind to servers in the proxy's own zone.
    pub own_zone: bool,
}

/// This controller's position among its peers, and the size of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    pub index: u16,
    pub controllers: u16,
    pub zone: ZoneId,
    pub zones: Vec<String>,
    pub proxies: u32,
    /// Proxies prefer a controller in their own zone.
    pub joined_by_zone: bool,
}

/// Safety requirements on published tables.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SafetyBounds {
    pub max_unbound_ms: f64,
    pub drain_grace_ms: f64,
    pub cold_share: f64,
    pub warm_up_ms: f64,
    pub fall_multiple: f64,
    pub overload_ms: f64,
    /// A server missing from the list is kept while it answers; only draining status removes it.
    pub soft_removal: bool,
}

/// Capacity and latency of the channel from the controller to its proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChannelLimits {
    pub lines_per_s: f64,
    pub header_lines: f64,
    /// Lines charged per table entry when a whole table is sent.
    pub bind_lines: f64,
    pub backlog_lines: f64,
    /// Messages allowed per proxy and window; 0 means unlimited.
    pub messages_most: u32,
    pub message_window_ms: f64,
    pub transit_ms: f64,
    pub max_transit_ms: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    #[default]
    Unsupported,
    Share,
    Rate,
}

/// Admission control and retries as implemented by the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProxyBehavior {
    pub levels: AdmissionMode,
    pub default_retry: Retry,
    /// Per-try timeout, as a multiple of the response target.
    pub try_timeout_targets: f64,
    pub standing_lines: u32,
    pub write_in_flight_ms: f64,
}

/// How the server list is obtained.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListSettings {
    pub on_request: bool,
    pub ask_within_ms: f64,
    /// Listed weights change with load.
    pub live_weights: bool,
}

pub const COARSE_FLOW_STEPS: f64 = 8.0;

/// Optional features and costs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capabilities {
    pub peers: bool,
    pub probes: bool,
    pub cross_zone_price: f64,
    /// Resolution of cross-zone traffic shares; `COARSE_FLOW_STEPS` where rewriting tables is expensive.
    pub flow_steps: f64,
    pub report_period_ms: f64,
    pub report_lines_per_s: f64,
    /// Minimum number of connections a server accepts; infinite if unknown.
    pub min_connections: f64,
    /// Number of slices, each with its own table; 0 if unused.
    pub slices: u32,
    pub single_owner: bool,
    /// Revisions replaced before their evaluation ended share the verdict of their successor.
    pub shared_verdicts: bool,
}

/// Meaning of a field in a load report, by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    InFlight,
    Queue,
    Busy,
    ServiceMs,
    CompletedPerS,
    FailedPerS,
    Other,
}

/// Settings a controller is created with.
#[derive(Clone, Debug)]
pub struct Start {
    pub seed: u64,
    pub topology: Topology,
    pub kinds: Vec<RequestKind>,
    pub bounds: SafetyBounds,
    pub channel: ChannelLimits,
    pub proxy_behavior: ProxyBehavior,
    pub list: ListSettings,
    pub capabilities: Capabilities,
    pub load_fields: Vec<LoadField>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Done,
    Errored,
    Denied,
    TimedOut,
    Unreachable,
    Broken,
    Void,
}

#[derive(Clone, Debug)]
pub enum Input {
    Start(Box<Start>),
    Stop,
    List {
        scope: ListScope,
        version: u64,
        lines: Vec<ServerEntry>,
    },
    TimerFired {
        name: u64,
    },
    PeerMessage {
        from: u16,
        bytes: Vec<u8>,
    },
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
        usual_per_s: f64,
        fresh: bool,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    Acknowledged {
        proxy: ProxyId,
        mark: u64,
        took_ms: f64,
    },
    /// Results of the requests that a zone's joined proxies sent to a server.
    ServerReport {
        zone: ZoneId,
        server: ServerId,
        tries: f64,
        bad: f64,
        mean_ms: f64,
        span_ms: f64,
        load: Vec<f64>,
    },
    /// Requests received by a proxy.
    ProxyUsage {
        proxy: ProxyId,
        kind: KindId,
        came: f64,
        bad: f64,
        span_ms: f64,
    },
    SliceUsage {
        slice: TableId,
        kind: KindId,
        came: f64,
        bad: f64,
        span_ms: f64,
    },
    SliceAssigned {
        slice: TableId,
        ours: bool,
    },
    SliceWeight {
        slice: TableId,
        server: ServerId,
        weight: f64,
    },
    ProbeCompleted {
        server: ServerId,
        answer: ProbeOutcome,
        took_ms: f64,
        load: Vec<f64>,
    },
    /// Pins a table to earlier entries until [`Input::ReleaseRollback`].
    Rollback {
        table: TableId,
        lines: Vec<(ServerId, f64)>,
    },
    ReleaseRollback {
        table: TableId,
    },
    /// A table update was not applied, or the proxy holds different content: the whole table is sent again, within the
    /// channel's limits.
    TableLost {
        table: TableId,
    },
}

/// Result of an operator's rollback.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackStatus {
    /// The rollback is in effect; `lines` of `of` entries are currently usable.
    Held { lines: usize, of: usize },
    /// The table is unchanged.
    Refused(&'static str),
    /// The table follows the controller's own revisions again.
    Ended(&'static str),
}

/// When proxies retry a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Retry {
    #[default]
    Never,
    /// Once, on another server, if the first try provably did not execute.
    IfNotExecuted,
    OnceAfterAny,
    TwiceAfterAny,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    SetWeight {
        table: TableId,
        server: ServerId,
        weight: f64,
    },
    ClearTable {
        table: TableId,
    },
    /// Assigns a table to a proxy for the request kinds in the bit mask.
    BindTable {
        proxy: ProxyId,
        table: TableId,
        kinds: u16,
    },
    WithdrawServer {
        server: ServerId,
        out: bool,
    },
    /// Sets admission levels; without a `table`, for all joined proxies.
    SetAdmission {
        table: Option<TableId>,
        kinds: u16,
        level: f64,
        retry: Retry,
    },
    /// Requests an acknowledgement; with `all`, also from proxies that receive nothing else in this reply.
    RequestAck {
        mark: u64,
        all: bool,
    },
    WatchList {
        on: bool,
    },
    FetchList,
    ProbeServer {
        server: ServerId,
    },
    /// Sends a message to one peer, or to every peer if `to` is `None`.
    PeerMessage {
        to: Option<u16>,
        bytes: Vec<u8>,
    },
    SetTimer {
        in_ms: f64,
        name: u64,
    },
    RollbackStatus {
        table: TableId,
        what: RollbackStatus,
    },
    Log(String),
}
