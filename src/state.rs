//! State of the controller; the logic that changes it is in `rules.rs` and `rules/`.

use crate::interface::*;
use crate::ring::TimeBuckets;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub type ServerWeights = BTreeMap<ServerId, f64>;

/// Lines written by a reply, per proxy and in total.
#[derive(Default)]
pub struct ReplyCost {
    pub by_proxy: BTreeMap<ProxyId, f64>,
    pub lines: f64,
}

impl ReplyCost {
    /// Cost of writing `lines` to a proxy, including the message header for its first ones.
    pub fn cost(&self, id: ProxyId, head: f64, lines: f64) -> f64 {
        if self.by_proxy.contains_key(&id) {
            lines
        } else {
            head + lines
        }
    }

    pub fn add(&mut self, id: ProxyId, head: f64, lines: f64) {
        let cost = self.cost(id, head, lines);
        *self.by_proxy.entry(id).or_insert(0.0) += cost;
        self.lines += cost;
    }
}

pub type Shares = BTreeMap<ZoneId, f64>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Warm,
    Ramping,
    Ejected,
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthEvent {
    Started,
    Departed,
    Returned,
    Failing,
    Slow,
    EjectionEnded,
    RampEnded,
}

pub struct Server {
    pub listed: ServerEntry,
    pub phase: Phase,
    pub since_ms: f64,
    pub ramp_from_ms: f64,
    pub ejection_ms: f64,
    /// Fraction of its listed weight that the server currently receives.
    pub part: f64,
}

/// Number of tries and failures, and the total latency of the successful ones.
#[derive(Clone, Copy, Default)]
pub struct AttemptStats {
    pub tries: f64,
    pub bad: f64,
    pub time_ms: f64,
}

impl AttemptStats {
    pub fn with(self, [tries, bad, time_ms]: [f64; 3]) -> Self {
        Self {
            tries: self.tries + tries,
            bad: self.bad + bad,
            time_ms: self.time_ms + time_ms,
        }
    }

    pub fn good(&self) -> f64 {
        self.tries - self.bad
    }

    pub fn bad_share(&self) -> f64 {
        self.bad / self.tries.max(1.0)
    }

    /// Significance of a failure share above `usual`: the negative logarithm of Chernoff's bound on the probability of
    /// so many failures by chance.
    pub fn significance(&self, usual: f64) -> f64 {
        let bad = self.bad_share().min(1.0 - 1e-9);
        self.tries
            * (bad * (bad / usual).max(1e-9).ln()
                + (1.0 - bad) * ((1.0 - bad) / (1.0 - usual)).ln())
    }

    pub fn mean_ms(&self) -> f64 {
        self.time_ms / self.good().max(1.0)
    }
}

impl std::fmt::Display for AttemptStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} of {} bad, mean {:.0} ms",
            self.bad,
            self.tries,
            self.mean_ms()
        )
    }
}

/// Maximum number of request kinds, the width of a kind mask.
pub const KINDS: usize = 16;
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    pub joined_ms: f64,
    pub seen_ms: f64,
    /// It has no table from any controller.
    pub fresh: bool,
    /// Request rate that its arc is sized for.
    pub sized_per_s: f64,
    /// Last known request rate.
    pub observed_per_s: f64,
    pub came: TimeBuckets<KINDS>,
    pub deviating_since_ms: Option<f64>,
    /// Start of its arc in each zone.
    pub places: BTreeMap<ZoneId, ServerId>,
    /// Messages sent to it.
    pub written: TimeBuckets<1>,
}

impl Proxy {
    pub fn new(now: f64, zone: ZoneId, per_s: f64) -> Self {
        Self {
            zone,
            joined: false,
            joined_ms: now,
            seen_ms: now,
            fresh: false,
            sized_per_s: per_s,
            observed_per_s: per_s,
            came: TimeBuckets::new(1_000.0, 12),
            deviating_since_ms: None,
            places: BTreeMap::new(),
            written: TimeBuckets::new(250.0, 48),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum RevisionStatus {
    Unknown,
    Sound,
    Tainted,
    /// Pinned by an operator's rollback.
    Pinned,
}

#[derive(Clone, Copy, PartialEq)]
pub enum RevisionEvent {
    Proposed,
    Failed,
    Pinned,
    Released,
}

pub struct Revision {
    pub name: u64,
    pub lines: ServerWeights,
    pub standing: RevisionStatus,
}

/// Kinds of pending table updates, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// The proxy has no table, or all servers of its table have left.
    NoTable,
    /// A server that has left must be removed.
    Drain,
    /// Another controller's table must be replaced.
    Bind,
    /// Any other change.
    Delta,
}

/// A pending update: its kind, the time it became due (ms), proxy and group index.
pub type PendingUpdate = (Need, u64, ProxyId, usize);

/// Evaluation of a published revision, which starts when the push is acknowledged.
pub struct RevisionTrial {
    pub mark: u64,
    pub from_ms: f64,
    pub answered: bool,
    pub prior_bad: f64,
}

/// Table of one proxy and request-kind group, with its revision history.
#[derive(Default)]
pub struct Table {
    pub id: TableId,
    pub revisions: Vec<Revision>,
    /// Hash of the last computed entries; unchanged entries create no revision.
    pub last_proposed: u64,
    pub published: u64,
    pub trial: Option<RevisionTrial>,
    /// Revisions replaced before their evaluation ended; they share the verdict of the current one.
    pub unevaluated: Vec<u64>,
    /// Entries as of the last effects returned.
    pub held: ServerWeights,
    pub bound: bool,
    /// An operator's rollback is in effect or its end not yet reported.
    pub rolled_back: bool,
}

pub fn revision_hash(lines: &ServerWeights) -> u64 {
    let bytes = lines
        .iter()
        .flat_map(|(id, w)| id.iter().copied().chain(w.to_bits().to_le_bytes()));
    twox_hash::XxHash64::oneshot(0, &bytes.collect::<Vec<u8>>())
}

impl Table {
    /// The revision pinned by an operator.
    pub fn pinned(&self) -> Option<&Revision> {
        self.revisions
            .iter()
            .find(|r| r.standing == RevisionStatus::Pinned)
    }
}

/// A reply in transit: the cumulative lines before it, and after each proxy's message.
pub struct SentReply {
    pub before: f64,
    pub through: Vec<(ProxyId, f64)>,
}

/// Estimate of the channel's backlog. It is FIFO, so an acknowledgement confirms all lines up to that proxy's message.
#[derive(Default)]
pub struct Channel {
    pub written: f64,
    pub left: f64,
    pub as_of_ms: f64,
    /// Last time that an acknowledgement confirmed progress or an empty backlog began to fill.
    pub moved_ms: f64,
    pub marks: BTreeMap<u64, SentReply>,
    pub next_mark: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Open,
    Throttled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadSignal {
    Overloaded,
    Refusing,
    Steady,
    Slack,
}

/// State of admission control. Reports lag by some seconds, so limits stay briefly after an overload has ended and reject
/// requests that could be served.
#[derive(Default)]
pub struct AdmissionControl {
    pub levels: AdmissionMode,
    pub mode: Mode,
    pub allowed_per_s: f64,
    /// Highest rate served without overload.
    pub sustainable_per_s: f64,
    /// Demand and server weight that the limits were last scaled for.
    pub scaled_for: Option<(f64, f64)>,
    /// Scale of arc lengths, at most 1.
    pub arc_scale: f64,
    pub stepped_ms: f64,
    /// Kinds, level and retry policy last sent to all proxies.
    pub ordered: Vec<(u16, f64, Retry)>,
    /// When they were sent.
    pub ordered_ms: f64,
}

pub fn format_server([a, b, c, d, lo, hi]: ServerId) -> String {
    format!("{a}.{b}.{c}.{d}:{}", u16::from_le_bytes([lo, hi]))
}

#[derive(Clone, Copy, PartialEq)]
pub enum HealthAction {
    /// Ramp from the entry weight, counted from the listed start time.
    StartRamp,
    /// Ramp from the entry weight, counted from now.
    RestartRamp,
    /// Reduce the weight by a quarter and ramp from there.
    ReduceWeight,
    /// Withdraw the server from all proxies.
    Withdraw,
    /// Remove it from the tables for a time that doubles on repeated failure.
    Eject,
    FinishRamp,
}

#[derive(Clone, Copy, PartialEq)]
pub enum HistoryAction {
    Append,
    MoveToNewest,
    Keep,
}

#[derive(Clone, Copy, PartialEq)]
pub enum AdmissionAction {
    Cut,
    Lower,
    Raise,
    Release,
    Narrow,
    Widen,
}

/// Request kinds with the same eligible servers; they share tables.
pub struct KindGroup {
    pub kinds: Vec<KindId>,
    pub like: RequestKind,
}

/// Listed servers and the results of requests to them.
#[derive(Default)]
pub struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    pub heard: BTreeMap<(ServerId, ZoneId), TimeBuckets<3>>,
    /// Requests in flight or queued per server, as last reported.
    pub held: ServerWeights,
    /// Pending withdrawals (true) and restorations (false).
    pub withdrawals: BTreeMap<ServerId, bool>,
}

/// Demand per proxy, from usage reports and peers' announcements.
pub struct Demand {
    pub proxies: BTreeMap<ProxyId, Proxy>,
    pub came: TimeBuckets<KINDS>,
    /// Zone shares that the current tables are based on.
    pub zones: Shares,
}

/// Returns the given quantile, or `None` if there are no values.
pub fn quantile(mut of: Vec<f64>, part: f64) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    of.get((of.len() as f64 * part) as usize).copied()
}

/// Bit mask of request kinds.
pub fn mask_of(kinds: impl Iterator<Item = KindId>) -> u16 {
    kinds.fold(0, |mask, k| mask | 1 << k)
}

impl KindGroup {
    pub fn open(&self, listed: &ServerEntry) -> bool {
        let RequestKind {
            zones, machines, ..
        } = &self.like;
        (zones.is_empty() || zones.contains(&listed.zone))
            && (machines.is_empty() || machines.contains(&listed.machine))
    }
}

/// Announcement of a proxy to peers: its ID, zone and request rate.
pub type NoteLine = (ProxyId, ZoneId, f64);

/// Maximum number of announcements per message.
pub const NOTE_LINES: usize = 32;

pub fn write_note(lines: &[NoteLine]) -> Vec<u8> {
    let write = |(id, zone, per_s): &NoteLine| {
        [
            &id.to_le_bytes()[..],
            &zone.to_le_bytes(),
            &(*per_s as f32).to_le_bytes(),
        ]
        .concat()
    };
    lines.iter().take(NOTE_LINES).flat_map(write).collect()
}

/// Decodes a peer's message, skipping invalid entries.
pub fn read_note(bytes: &[u8]) -> impl Iterator<Item = NoteLine> {
    bytes.chunks_exact(8).filter_map(|line| {
        let &[a, b, c, d, e, f, g, h] = line else {
            return None;
        };
        let per_s = f64::from(f32::from_le_bytes([e, f, g, h]));
        let sane = per_s.is_finite() && per_s > 0.0;
        sane.then_some((
            u16::from_le_bytes([a, b]),
            u16::from_le_bytes([c, d]),
            per_s,
        ))
    })
}

pub type Log = Vec<String>;

/// State of one controller, from its settings and inputs.
pub struct Controller {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) bounds: SafetyBounds,
    pub(crate) pace: ChannelLimits,
    pub(crate) capabilities: Capabilities,
    /// Index of the in-flight field in load reports, or of the queue length.
    pub(crate) held_at: Option<usize>,
    pub(crate) queue_only: bool,
    pub(crate) list_asked: bool,
    pub(crate) list_retry_ms: f64,
    pub(crate) proxies: f64,
    pub(crate) controllers: f64,
    pub(crate) groups: Vec<KindGroup>,
    pub(crate) fleet: Fleet,
    pub(crate) demand: Demand,
    pub(crate) tables: BTreeMap<(ProxyId, usize), Table>,
    pub(crate) channel: Channel,
    pub(crate) admission: AdmissionControl,
    pub(crate) started: bool,
    pub(crate) urgent: bool,
    pub(crate) next_flush_ms: f64,
    pub(crate) flush_scheduled: bool,
    /// Index of the proxy to announce next.
    pub(crate) next_note_index: usize,
    pub(crate) log: Log,
}

impl Controller {
    /// The initial state for these settings.
    pub(crate) fn with_initial_state(now: f64, start: Start, groups: Vec<KindGroup>) -> Self {
        let mut kinds = start.kinds;
        kinds.truncate(KINDS);
        let came = TimeBuckets::new(1_000.0, 24);
        let position = |field| start.load_fields.iter().position(|f| *f == field);
        Self {
            rng: ChaCha8Rng::seed_from_u64(start.seed),
            groups,
            kinds,
            bounds: start.bounds,
            pace: start.channel,
            capabilities: start.capabilities,
            held_at: position(LoadField::InFlight).or(position(LoadField::Queue)),
            queue_only: position(LoadField::InFlight).is_none(),
            list_asked: start.list.on_request,
            list_retry_ms: 0.0,
            proxies: f64::from(start.topology.proxies.max(1)),
            controllers: f64::from(start.topology.controllers.max(1)),
            fleet: Fleet::default(),
            demand: Demand {
                proxies: BTreeMap::new(),
                came,
                zones: BTreeMap::new(),
            },
            tables: BTreeMap::new(),
            channel: Channel {
                as_of_ms: now,
                ..Channel::default()
            },
            admission: AdmissionControl {
                levels: start.proxy_behavior.levels,
                ..AdmissionControl::default()
            },
            started: false,
            urgent: false,
            next_flush_ms: now,
            flush_scheduled: false,
            next_note_index: 0,
            log: Log::new(),
        }
    }

    /// The zone that the proxy last joined from, or 0.
    pub(crate) fn zone_of(&self, proxy: ProxyId) -> ZoneId {
        self.demand.proxies.get(&proxy).map_or(0, |p| p.zone)
    }

    /// Announces at least this fraction of the joined proxies to the peers, in rotation.
    pub(crate) fn demand_notes(&mut self, part: f64) -> Vec<Effect> {
        let joined = self
            .demand
            .proxies
            .iter()
            .filter(|(_, p)| p.joined && self.capabilities.peers);
        let mut own: Vec<NoteLine> = joined
            .map(|(id, p)| (*id, p.zone, p.observed_per_s))
            .collect();
        let count = ((own.len() as f64 * part).ceil() as usize)
            .max(NOTE_LINES)
            .min(own.len());
        let first = self.next_note_index % own.len().max(1);
        own.rotate_left(first);
        self.next_note_index += count;
        own[..count]
            .chunks(NOTE_LINES)
            .map(|c| Effect::PeerMessage {
                to: None,
                bytes: write_note(c),
            })
            .collect()
    }

    /// Returns whether effects can still refer to this server.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.fleet.servers.contains_key(server)
    }

    /// Returns the proxies that hold each server. A proxy without one of our tables may hold any server and counts for
    /// each.
    pub(crate) fn holders<'a>(
        &self,
        proxies: &[ProxyId],
        servers: impl Iterator<Item = &'a ServerId>,
    ) -> BTreeMap<ServerId, Vec<ProxyId>> {
        let mut holders: BTreeMap<ServerId, Vec<ProxyId>> =
            servers.map(|id| (*id, Vec::new())).collect();
        let proxies = if holders.is_empty() { &[] } else { proxies };
        for proxy in proxies {
            let tables = self
                .tables
                .range((*proxy, 0)..=(*proxy, usize::MAX))
                .map(|(_, table)| table);
            let mut bound = tables.filter(|t| t.bound).peekable();
            if bound.peek().is_none() {
                holders.values_mut().for_each(|of| of.push(*proxy));
            }
            for server in bound.flat_map(|t| t.held.keys()) {
                let of = holders.get_mut(server);
                _ = of
                    .filter(|of| of.last() != Some(proxy))
                    .map(|of| of.push(*proxy));
            }
        }
        holders
    }

    pub(crate) fn tables_of(&mut self, proxy: ProxyId) -> impl Iterator<Item = &mut Table> {
        self.tables
            .range_mut((proxy, 0)..=(proxy, usize::MAX))
            .map(|(_, table)| table)
    }
}

impl Fleet {
    /// Results of a zone's proxies at those of these servers that are in use.
    pub fn stats_on(
        &mut self,
        now: f64,
        zone: ZoneId,
        lines: &ServerWeights,
        span_ms: f64,
    ) -> AttemptStats {
        let used = lines
            .keys()
            .filter(|id| self.servers.get(*id).is_some_and(|s| s.part > 0.0));
        used.fold(AttemptStats::default(), |met, id| {
            self.heard
                .get_mut(&(*id, zone))
                .map_or(met, |h| met.with(h.over(now, span_ms)))
        })
    }

    /// Listed start time of a server; 0 if unknown or long ago.
    pub fn started_ms(&self, id: &ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |s| s.listed.started_ms)
    }

    pub fn hear(&mut self, now: f64, at: (ServerId, ZoneId), what: [f64; 3]) {
        self.heard
            .entry(at)
            .or_insert_with(|| TimeBuckets::new(500.0, 24))
            .add(now, what);
    }

    /// Recent results of all zones' proxies at a server.
    pub fn stats_at(&mut self, now: f64, id: ServerId, span_ms: f64) -> AttemptStats {
        let heard = self.heard.range_mut((id, 0)..=(id, ZoneId::MAX));
        heard.fold(AttemptStats::default(), |met, (_, h)| {
            met.with(h.over(now, span_ms))
        })
    }
}

impl Channel {
    pub fn answered(&mut self, now: f64, proxy: ProxyId, mark: u64) {
        let Some(sent) = self.marks.get(&mark) else {
            return;
        };
        let at = sent.through.binary_search_by_key(&proxy, |(id, _)| *id);
        let through = at.map_or(sent.before, |at| sent.through[at].1);
        if through > self.left {
            (self.left, self.moved_ms) = (through, now);
            self.marks
                .retain(|_, s| s.through.last().is_some_and(|(_, all)| *all > through));
        }
    }

    /// Lines not yet confirmed as sent.
    pub fn waiting(&self) -> f64 {
        self.written - self.left
    }

    /// Records a reply with one message per proxy, in ID order.
    pub fn mark(&mut self, now: f64, reached: &ReplyCost) {
        if self.waiting() <= 0.0 {
            self.moved_ms = now;
        }
        let (before, mut all) = (self.written, self.written);
        let add = |(id, lines): (&ProxyId, &f64)| {
            all += lines;
            (*id, all)
        };
        let through = reached.by_proxy.iter().map(add).collect();
        self.marks
            .insert(self.next_mark, SentReply { before, through });
        self.next_mark = (self.next_mark + 1) % 65_536;
        self.written = all;
    }
}

impl Demand {
    pub fn joined(&self) -> Vec<ProxyId> {
        self.proxies
            .iter()
            .filter(|(_, p)| p.joined)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Applies a peer's announcements for proxies that are not joined here.
    pub fn take_note(&mut self, now: f64, bytes: &[u8]) {
        for (id, zone, per_s) in read_note(bytes) {
            if !self.proxies.get(&id).is_some_and(|p| p.joined) {
                self.observe_proxy(now, id, zone, per_s).observed_per_s = per_s;
            }
        }
    }

    pub fn observe_proxy(
        &mut self,
        now: f64,
        proxy: ProxyId,
        zone: ZoneId,
        per_s: f64,
    ) -> &mut Proxy {
        let per_s = per_s.max(0.01);
        let entry = self
            .proxies
            .entry(proxy)
            .or_insert_with(|| Proxy::new(now, zone, per_s));
        (entry.zone, entry.seen_ms) = (zone, now);
        entry
    }
}
