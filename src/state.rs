//! What a controller keeps: plain state. The decisions on it are in `rules.rs` and `rules/`.

use crate::interface::*;
use crate::ring::TimeBuckets;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub type ServerWeights = BTreeMap<ServerId, f64>;

/// The lines that a reply writes, by proxy and in all.
#[derive(Default)]
pub struct ReplyCost {
    pub by_proxy: BTreeMap<ProxyId, f64>,
    pub lines: f64,
}

impl ReplyCost {
    /// What writing so many lines to a proxy costs: its message's head too, where it has none yet.
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
    /// The part of its listed weight that it may have now.
    pub part: f64,
}

/// Tries, bad ones, and the time of the good ones.
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

    /// How much these tries speak against the usual share of bad ones (Chernoff's bound: the
    /// chance of so many or more is under e to the minus this).
    pub fn against(&self, usual: f64) -> f64 {
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

/// The request kinds that are told apart; a mask of kinds has no more bits.
pub const KINDS: usize = 16;
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    pub joined_ms: f64,
    pub seen_ms: f64,
    /// It holds no table that was ordered.
    pub fresh: bool,
    /// The reqs a second that its arc is sized for.
    pub sized_per_s: f64,
    /// What came to it lately, as far as it is known.
    pub observed_per_s: f64,
    pub came: TimeBuckets<KINDS>,
    pub deviating_since_ms: Option<f64>,
    /// Where its arcs start, by zone.
    pub places: BTreeMap<ZoneId, ServerId>,
    /// Messages written to it.
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
    /// An operator went back to it.
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

/// What a table of a joined proxy needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// A first table, where none was ever ordered or all its servers have left.
    NoTable,
    /// To lose a server that has left.
    Drain,
    /// Our table in the place of another controller's.
    Bind,
    /// Whatever has changed.
    Delta,
}

/// What a table needs, since when (ms), and whose it is.
pub type PendingUpdate = (Need, u64, ProxyId, usize);

/// A published revision on trial: pushed with this mark, first answered then.
pub struct RevisionTrial {
    pub mark: u64,
    pub from_ms: f64,
    pub answered: bool,
    pub prior_bad: f64,
}

/// A table of one proxy for one group of request kinds, and the revisions it has had.
#[derive(Default)]
pub struct Table {
    pub id: TableId,
    pub revisions: Vec<Revision>,
    /// The name of the lines last cut; the same lines cut again change nothing.
    pub last_proposed: u64,
    pub published: u64,
    pub trial: Option<RevisionTrial>,
    /// Published before it, and replaced before their own trials were over: they share its verdict.
    pub unevaluated: Vec<u64>,
    /// What the table holds by the orders that went out.
    pub held: ServerWeights,
    pub bound: bool,
    /// An operator went back; said until it has ended.
    pub rolled_back: bool,
}

pub fn revision_hash(lines: &ServerWeights) -> u64 {
    let bytes = lines
        .iter()
        .flat_map(|(id, w)| id.iter().copied().chain(w.to_bits().to_le_bytes()));
    twox_hash::XxHash64::oneshot(0, &bytes.collect::<Vec<u8>>())
}

impl Table {
    /// The revision that an operator went back to.
    pub fn pinned(&self) -> Option<&Revision> {
        self.revisions
            .iter()
            .find(|r| r.standing == RevisionStatus::Pinned)
    }
}

/// One reply in the channel: what had been written up to and with each proxy's message, in their order.
pub struct SentReply {
    pub before: f64,
    pub through: Vec<(ProxyId, f64)>,
}

/// What may still wait in the channel. It is emptied in order, so an answer to a mark shows that
/// all written up to that proxy's message has left; without answers it is taken to run slow.
#[derive(Default)]
pub struct Channel {
    pub written: f64,
    pub left: f64,
    pub as_of_ms: f64,
    /// When an answer last showed that something had left, or the first was written that waits.
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

/// How much is let in, against overload of whatever cause. Harm: a jam that has passed is still in
/// the reports for some seconds, and denies reqs that could be done.
#[derive(Default)]
pub struct AdmissionControl {
    pub levels: AdmissionMode,
    pub mode: Mode,
    pub allowed_per_s: f64,
    /// The most that was done a second while nothing jammed.
    pub sustainable_per_s: f64,
    /// What the joined proxies bring and the servers' weight in use, as those two were set.
    pub scaled_for: Option<(f64, f64)>,
    /// The part of their usual reach that arcs have.
    pub arc_scale: f64,
    pub stepped_ms: f64,
    /// Kinds, level and retry mode as last ordered for all proxies.
    pub ordered: Vec<(u16, f64, Retry)>,
    /// The step that they belong to.
    pub ordered_ms: f64,
}

pub fn format_server([a, b, c, d, lo, hi]: ServerId) -> String {
    format!("{a}.{b}.{c}.{d}:{}", u16::from_le_bytes([lo, hi]))
}

#[derive(Clone, Copy, PartialEq)]
pub enum HealthAction {
    /// Enter at a quarter weight, counted from the start that the list names.
    StartRamp,
    /// Enter at a quarter weight from now on.
    RestartRamp,
    /// Lose a quarter of its part, and grow on from there.
    ReduceWeight,
    /// Nothing more goes there, whatever tables say.
    Withdraw,
    /// Out of the tables for a while; longer when struck again at once.
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

/// Request kinds that may go to the same servers share tables.
pub struct KindGroup {
    pub kinds: Vec<KindId>,
    pub like: RequestKind,
}

/// The servers of the list, and what our proxies met at them.
#[derive(Default)]
pub struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    pub heard: BTreeMap<(ServerId, ZoneId), TimeBuckets<3>>,
    /// Reqs in the hands or the queue of a server, as it last said.
    pub held: ServerWeights,
    /// Withdrawals to order (true) or to lift.
    pub withdrawals: BTreeMap<ServerId, bool>,
}

/// Who brings how much, as far as our proxies' usage and peers' notes tell.
pub struct Demand {
    pub proxies: BTreeMap<ProxyId, Proxy>,
    pub came: TimeBuckets<KINDS>,
    /// The zones' shares that tables stand on.
    pub zones: Shares,
}

/// What this part of them is under.
pub fn quantile(mut of: Vec<f64>, part: f64) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    of.get((of.len() as f64 * part) as usize).copied()
}

/// Request kinds as bits by their place.
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

/// A line of a note to peers: a proxy, its zone, and the reqs a second that come to it.
pub type NoteLine = (ProxyId, ZoneId, f64);

/// As many lines as one note may hold.
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

/// Reads a peer's note; what is no line of one is passed over.
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

/// One controller: what it was handed at start, and what it has come to know.
pub struct Controller {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) bounds: SafetyBounds,
    pub(crate) pace: ChannelLimits,
    pub(crate) capabilities: Capabilities,
    /// Where a load report tells the reqs held, or only those queued.
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
    /// The place of the proxy that the next note names first.
    pub(crate) next_note_index: usize,
    pub(crate) log: Log,
}

impl Controller {
    /// What a start brings, with nothing known and nothing allowed yet.
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

    /// The zone that a proxy last joined from.
    pub(crate) fn zone_of(&self, proxy: ProxyId) -> ZoneId {
        self.demand.proxies.get(&proxy).map_or(0, |p| p.zone)
    }

    /// Names this part of the joined proxies to the peers at least, those next whose turn it is.
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

    /// Whether an order can still name this server.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.fleet.servers.contains_key(server)
    }

    /// Who of these proxies holds which of these servers; what one holds that has none of our tables is not
    /// known, so it counts for each.
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
    /// What a zone's proxies met at those of these servers that are in use.
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

    /// When a server last started, as the list says; 0: long ago, or not listed.
    pub fn started_ms(&self, id: &ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |s| s.listed.started_ms)
    }

    pub fn hear(&mut self, now: f64, at: (ServerId, ZoneId), what: [f64; 3]) {
        self.heard
            .entry(at)
            .or_insert_with(|| TimeBuckets::new(500.0, 24))
            .add(now, what);
    }

    /// What proxies of all zones met at a server lately.
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

    /// Lines that may still wait.
    pub fn waiting(&self) -> f64 {
        self.written - self.left
    }

    /// One reply is written, a message to each proxy in their order.
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

    /// What a peer says of proxies that are not joined here.
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
