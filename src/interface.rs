//! What a controller is told and what it orders. Plain types: nothing is decided here.
//!
//! Times are milliseconds with fractions; ids are as the front gives them and mean nothing.

/// A server: its address and port, kept exactly as told.
pub type ServerId = [u8; 6];
pub type ProxyId = u16;
pub type TableId = u16;
pub type ZoneId = u16;
/// The place of a request kind in the list handed at start.
pub type KindId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Gone,
    Ready,
    Draining,
}

/// One line of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub server: ServerId,
    pub zone: ZoneId,
    pub machine: u16,
    pub bay: u16,
    pub stage: Stage,
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Full,
    Cached,
    Failed,
}

/// The servers that drop a repeat of a uniqued req.
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
    /// The only zones whose servers may be sent it; empty: any.
    pub zones: Vec<ZoneId>,
    /// The only kinds of machine that may be sent it; empty: any.
    pub machines: Vec<u16>,
    /// Only servers of the proxy's own zone may be sent it.
    pub own_zone: bool,
}

/// Where this controller stands among its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    pub index: u16,
    pub controllers: u16,
    pub zone: ZoneId,
    pub zones: Vec<String>,
    pub proxies: u32,
    /// Proxies join a controller of their own zone where there is one.
    pub joined_by_zone: bool,
}

/// The figures of the five rules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SafetyBounds {
    pub max_unbound_ms: f64,
    pub drain_grace_ms: f64,
    pub cold_share: f64,
    pub warm_up_ms: f64,
    pub fall_multiple: f64,
    pub overload_ms: f64,
    /// Only a server listed as draining binds; one merely dropped may stay.
    pub soft_removal: bool,
}

/// The channel from a controller to its proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChannelLimits {
    pub lines_per_s: f64,
    pub header_lines: f64,
    /// What a line of a whole table counts for at the binding, with all that has to go with it.
    pub bind_lines: f64,
    pub backlog_lines: f64,
    /// 0: no such limit.
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

/// How proxies admit and repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProxyBehavior {
    pub levels: AdmissionMode,
    pub default_retry: Retry,
    /// A try that may be followed waits this many response targets.
    pub try_timeout_targets: f64,
    pub standing_lines: u32,
    pub write_in_flight_ms: f64,
}

/// How the server list is followed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListSettings {
    pub on_request: bool,
    pub ask_within_ms: f64,
    /// The listed weights change with the load.
    pub live_weights: bool,
}

pub const COARSE_FLOW_STEPS: f64 = 8.0;

/// What may be used beside orders, and its prices.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capabilities {
    pub peers: bool,
    pub probes: bool,
    pub cross_zone_price: f64,
    /// What goes to which zone is settled in so many steps: `COARSE_FLOW_STEPS` where tables are dear to write anew.
    pub flow_steps: f64,
    pub report_period_ms: f64,
    pub report_lines_per_s: f64,
    /// The fewest connections that a server accepts; infinite where that is not told.
    pub min_connections: f64,
    /// 0: no slices; otherwise every slice is a table of its own.
    pub slices: u32,
    pub single_owner: bool,
    /// Revisions that followed each other faster than any could be judged are judged together.
    pub shared_verdicts: bool,
}

/// What the figures of a load report mean, in their order.
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

/// Everything handed to a controller at its start, in small records by subject.
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
    /// What the joined proxies of a zone met at a server.
    ServerReport {
        zone: ZoneId,
        server: ServerId,
        tries: f64,
        bad: f64,
        mean_ms: f64,
        span_ms: f64,
        load: Vec<f64>,
    },
    /// What came to a proxy.
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
    /// An operator wants these earlier lines for a table, until released.
    Rollback {
        table: TableId,
        lines: Vec<(ServerId, f64)>,
    },
    ReleaseRollback {
        table: TableId,
    },
    /// What was written of a table has not reached its proxy, or it holds something else: it is written whole
    /// again, within the limits of the channel, as to one that has just joined.
    TableLost {
        table: TableId,
    },
}

/// What became of a way back.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackStatus {
    /// So many of its lines can be used now.
    Held { lines: usize, of: usize },
    /// Nothing has changed.
    Refused(&'static str),
    /// The module's own lines are published again.
    Ended(&'static str),
}

/// When proxies try again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Retry {
    #[default]
    Never,
    /// Once, elsewhere, on proof that the first try never ran.
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
    /// Puts a proxy on a table for some request kinds (bits by their place).
    BindTable {
        proxy: ProxyId,
        table: TableId,
        kinds: u16,
    },
    WithdrawServer {
        server: ServerId,
        out: bool,
    },
    /// `table` None: all joined proxies.
    SetAdmission {
        table: Option<TableId>,
        kinds: u16,
        level: f64,
        retry: Retry,
    },
    /// Asks for an answer; `all`: also from proxies that this reply does not reach.
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
    /// `to` None: every peer.
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
