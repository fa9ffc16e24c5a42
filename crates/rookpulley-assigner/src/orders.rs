//! Converts the effects of one module call into one message for each affected proxy.
//!
//! Keeps the current tables, admission levels and withdrawals, and what each stream has been sent of
//! them, so that messages contain only what changed for their proxy.

use crate::messages::{HeldVersions, MAX_LINE_BYTES, Part};
use rookpulley::interface::*;
use rookpulley_versions as versions;
use rookpulley_versions::{Name, Update, VersionManager};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Kinds = u16;
type Level = (f64, Retry);

/// Maximum unacknowledged marks per stream; the oldest ones are dropped first.
const MAX_PENDING_MARKS: usize = 256;

/// Names of the servers that effects may refer to.
pub type Names = BTreeMap<ServerId, String>;

#[derive(Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<KindId, Level>,
    /// The joined proxies bound to this table, with the kinds they use it for.
    bindings: BTreeMap<ProxyId, Kinds>,
}

/// What has been sent on a stream.
struct Stream {
    tables: BTreeSet<TableId>,
    bound: Kinds,
    levels: BTreeMap<KindId, Level>,
    /// Servers that were withdrawn (true) or restored (false) on this stream.
    withdrawn: BTreeMap<ServerId, bool>,
    /// The proxy may hold withdrawals that were not sent on this stream.
    unknown_withdrawals: bool,
    /// Unacknowledged marks, oldest first.
    pending_marks: VecDeque<u64>,
}

#[derive(Default)]
struct Block {
    kinds: Kinds,
    whole: bool,
    lines: Vec<(ServerId, f64)>,
    level: Option<Level>,
    /// The resulting version, if the proxy reports versions.
    order: Option<versions::Order>,
    short_version: bool,
}

/// A message under construction for one proxy.
#[derive(Default)]
struct Draft {
    blocks: Vec<Block>,
    withdrawn: BTreeMap<ServerId, bool>,
}

/// An encoded message with all its parts, and the number of lines that it counts for.
pub struct ProxyMessage {
    pub proxy: ProxyId,
    pub bytes: Vec<u8>,
    pub lines: usize,
}

pub struct Orders {
    kinds: Vec<String>,
    all_kinds: Kinds,
    tables: BTreeMap<TableId, Table>,
    /// Admission levels that apply to all joined proxies.
    levels: BTreeMap<KindId, Level>,
    withdrawn: BTreeSet<ServerId>,
    streams: BTreeMap<ProxyId, Stream>,
    /// The versions of all tables and their holders, if versions are enabled.
    pub manager: Option<VersionManager>,
    /// Server names shared with the version manager.
    name_cache: BTreeMap<ServerId, Name>,
}

pub fn kinds_in(mask: Kinds) -> impl Iterator<Item = KindId> {
    (0..Kinds::BITS as KindId).filter(move |k| mask >> k & 1 == 1)
}

/// Splits lines into runs that fit into one part, even if JSON escaping expands each name sixfold.
fn split_to_fit<'a>(lines: &[(&'a str, f64)]) -> impl Iterator<Item = Vec<(&'a str, f64)>> {
    let longest = lines.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let fit = MAX_LINE_BYTES / 2 / (6 * longest + 32);
    lines
        .chunks(fit.max(1))
        .map(<[_]>::to_vec)
        .collect::<Vec<_>>()
        .into_iter()
}

impl Draft {
    /// The last block that affects any of these kinds, if it covers exactly these.
    fn last_for(&mut self, kinds: Kinds) -> Option<&mut Block> {
        self.blocks
            .iter_mut()
            .rfind(|p| p.kinds & kinds != 0)
            .filter(|p| p.kinds == kinds)
    }

    fn set_weight(&mut self, kinds: Kinds, server: ServerId, weight: f64) {
        let Some(block) = self.last_for(kinds) else {
            self.blocks.push(Block {
                kinds,
                lines: vec![(server, weight)],
                ..Block::default()
            });
            return;
        };
        // A later weight for the same server replaces the earlier one.
        block.lines.retain(|(s, _)| *s != server);
        if weight > 0.0 || !block.whole {
            block.lines.push((server, weight));
        }
    }

    fn set_level(&mut self, kinds: Kinds, level: Level) {
        match self.last_for(kinds) {
            Some(block) => block.level = Some(level),
            None => self.blocks.push(Block {
                kinds,
                level: Some(level),
                ..Block::default()
            }),
        }
    }
}

impl Orders {
    pub fn new(kinds: Vec<String>, manager: Option<VersionManager>) -> Self {
        let all_kinds = ((1_u32 << kinds.len().min(16)) - 1) as Kinds;
        let (tables, levels, streams) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (withdrawn, name_cache) = (BTreeSet::new(), BTreeMap::new());
        Self {
            kinds,
            all_kinds,
            tables,
            levels,
            withdrawn,
            streams,
            manager,
            name_cache,
        }
    }

    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    /// Registers a proxy that has joined. It is bound to no table yet.
    pub fn join(&mut self, now: f64, proxy: ProxyId, fresh: bool, holds: Option<HeldVersions>) {
        self.leave(now, proxy);
        if let Some(manager) = &mut self.manager {
            manager.join(now, proxy, holds);
        }
        let (tables, levels, withdrawn) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        self.streams.insert(
            proxy,
            Stream {
                tables,
                bound: 0,
                levels,
                withdrawn,
                unknown_withdrawals: !fresh,
                pending_marks: VecDeque::new(),
            },
        );
    }

    pub fn leave(&mut self, now: f64, proxy: ProxyId) {
        if let Some(manager) = &mut self.manager {
            manager.leave(now, proxy);
        }
        for id in self
            .streams
            .remove(&proxy)
            .into_iter()
            .flat_map(|s| s.tables)
        {
            if let Some(table) = self.tables.get_mut(&id) {
                table.bindings.remove(&proxy);
            }
        }
    }

    /// Acknowledges a mark and all earlier ones. Returns false if the mark is not pending.
    pub fn acknowledge(
        &mut self,
        now: f64,
        proxy: ProxyId,
        mark: u64,
        holds: &HeldVersions,
    ) -> bool {
        let Some(stream) = self.streams.get_mut(&proxy) else {
            return false;
        };
        let index = stream.pending_marks.iter().position(|m| *m == mark);
        let pending = index.is_some_and(|index| stream.pending_marks.drain(..=index).len() > 0);
        if let Some(manager) = self.manager.as_mut().filter(|_| pending) {
            manager.acknowledge(now, proxy, mark, holds);
        }
        pending
    }

    /// Drops all state of a server that the module no longer refers to. A stream on which it was
    /// withdrawn may keep the withdrawal.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.withdrawn.remove(server);
        self.name_cache.remove(server);
        self.tables
            .values_mut()
            .for_each(|table| _ = table.lines.remove(server));
        for stream in self.streams.values_mut() {
            stream.unknown_withdrawals |= stream.withdrawn.remove(server) == Some(true);
        }
    }

    /// The admission level of a kind at a proxy: the lower of the table's level and the common one,
    /// with the retry policy of the table.
    fn effective_level(&self, proxy: ProxyId, kind: KindId) -> Option<Level> {
        let stream = self.streams.get(&proxy)?;
        let tables = stream.tables.iter().filter_map(|id| self.tables.get(id));
        let bound = tables.filter(|t| t.bindings.get(&proxy).is_some_and(|m| m >> kind & 1 == 1));
        let own = bound.filter_map(|t| t.levels.get(&kind)).next();
        match (own, self.levels.get(&kind)) {
            (Some((own, retry)), Some((all, _))) => Some((own.min(*all), *retry)),
            (own, all) => own.or(all).copied(),
        }
    }

    /// Adds the levels of these kinds that the stream has not been sent (all of them with `again`),
    /// grouped by value.
    fn add_levels(&mut self, proxy: ProxyId, kinds: Kinds, again: bool, draft: &mut Draft) {
        let mut groups: Vec<(Kinds, Level)> = Vec::new();
        for kind in kinds_in(kinds & self.all_kinds) {
            let Some(level) = self.effective_level(proxy, kind) else {
                continue;
            };
            let Some(stream) = self.streams.get_mut(&proxy) else {
                return;
            };
            if stream.levels.insert(kind, level) == Some(level) && !again {
                continue;
            }
            match groups.iter_mut().find(|(_, l)| *l == level) {
                Some((kinds, _)) => *kinds |= 1 << kind,
                None => groups.push((1 << kind, level)),
            }
        }
        groups
            .into_iter()
            .for_each(|(kinds, level)| draft.set_level(kinds, level));
    }

    /// Adds the withdrawal state of a server if the proxy may hold another one, since a line has no
    /// effect while its server is withdrawn.
    fn add_withdrawal(&mut self, proxy: ProxyId, server: ServerId, draft: &mut Draft) {
        let out = self.withdrawn.contains(&server);
        let Some(stream) = self.streams.get_mut(&proxy) else {
            return;
        };
        let sent = stream.withdrawn.get(&server).copied();
        let wrong = if out {
            sent != Some(true)
        } else {
            sent.unwrap_or(stream.unknown_withdrawals)
        };
        if wrong {
            stream.withdrawn.insert(server, out);
            draft.withdrawn.insert(server, out);
        }
    }

    /// Whether a proxy may send requests to a server. Assumed true while some kinds are not bound,
    /// since the tables from an earlier stream are unknown.
    fn may_use(&self, proxy: ProxyId, server: &ServerId) -> bool {
        let Some(stream) = self.streams.get(&proxy) else {
            return false;
        };
        let mut tables = stream.tables.iter().filter_map(|id| self.tables.get(id));
        stream.bound & self.all_kinds != self.all_kinds
            || tables.any(|t| t.lines.contains_key(server))
    }

    /// Applies the effects of one call in order and encodes the messages. Effects that do not concern
    /// proxies are ignored.
    pub fn carry_out(&mut self, now: f64, effects: &[Effect], names: &Names) -> Vec<ProxyMessage> {
        let mut drafts: BTreeMap<ProxyId, Draft> = BTreeMap::new();
        let (mut mark, mut changed, mut new_bindings) = (None, BTreeSet::new(), Vec::new());
        for effect in effects {
            match *effect {
                Effect::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    changed.insert(table);
                    let table = self.tables.entry(table).or_default();
                    match weight > 0.0 {
                        true => _ = table.lines.insert(server, weight),
                        false => _ = table.lines.remove(&server),
                    }
                    for (proxy, kinds) in table.bindings.clone() {
                        let draft = drafts.entry(proxy).or_default();
                        draft.set_weight(kinds, server, weight);
                        if weight > 0.0 {
                            self.add_withdrawal(proxy, server, draft);
                        }
                    }
                }
                Effect::ClearTable { table } => {
                    changed.insert(table);
                    let table = self.tables.entry(table).or_default();
                    (table.lines, table.levels) = (BTreeMap::new(), BTreeMap::new());
                    for (proxy, kinds) in table.bindings.clone() {
                        self.add_table(proxy, kinds, Vec::new(), drafts.entry(proxy).or_default());
                    }
                }
                Effect::BindTable {
                    proxy,
                    table,
                    kinds,
                } => {
                    let kinds = if kinds == 0 {
                        self.all_kinds
                    } else {
                        kinds & self.all_kinds
                    };
                    if self.streams.contains_key(&proxy) {
                        changed.insert(table);
                        self.distrust_withdrawals(proxy, table);
                        new_bindings.push((proxy, kinds, table));
                        let lines = self.bind(proxy, table, kinds);
                        self.add_table(proxy, kinds, lines, drafts.entry(proxy).or_default());
                    }
                }
                Effect::WithdrawServer { server, out } => {
                    if out {
                        self.withdrawn.insert(server)
                    } else {
                        self.withdrawn.remove(&server)
                    };
                    let affected = self
                        .streams
                        .keys()
                        .copied()
                        .filter(|p| self.may_use(*p, &server));
                    for proxy in affected.collect::<Vec<_>>() {
                        drafts
                            .entry(proxy)
                            .or_default()
                            .withdrawn
                            .insert(server, out);
                        self.streams
                            .entry(proxy)
                            .and_modify(|s| _ = s.withdrawn.insert(server, out));
                    }
                }
                Effect::SetAdmission {
                    table,
                    kinds,
                    level,
                    retry,
                } => {
                    let kinds = if kinds == 0 {
                        self.all_kinds
                    } else {
                        kinds & self.all_kinds
                    };
                    let (levels, bindings) = match table {
                        None => (
                            &mut self.levels,
                            self.streams.keys().map(|p| (*p, self.all_kinds)).collect(),
                        ),
                        Some(id) => {
                            let table = self.tables.entry(id).or_default();
                            (&mut table.levels, table.bindings.clone())
                        }
                    };
                    kinds_in(kinds).for_each(|k| _ = levels.insert(k, (level, retry)));
                    for (proxy, used) in bindings {
                        let draft = drafts.entry(proxy).or_default();
                        self.add_levels(proxy, kinds & used, true, draft);
                    }
                }
                Effect::RequestAck { mark: number, all } => {
                    mark = Some(number);
                    let others = self.streams.keys().filter(|_| all);
                    others.for_each(|proxy| _ = drafts.entry(*proxy).or_default());
                }
                _ => {}
            }
        }
        self.issue_versions(now, &changed, &new_bindings, names);
        let mut messages = Vec::new();
        for (proxy, mut draft) in drafts {
            let updated = self.apply_versions(proxy, &mut draft);
            // Add levels that this stream has not been sent yet.
            self.add_levels(proxy, self.all_kinds, false, &mut draft);
            if let (Some(mark), Some(stream)) = (mark, self.streams.get_mut(&proxy)) {
                let excess = (stream.pending_marks.len() + 1).saturating_sub(MAX_PENDING_MARKS);
                stream.pending_marks.drain(..excess);
                stream.pending_marks.push_back(mark);
            }
            if let Some(manager) = &mut self.manager {
                manager.record_sent(now, proxy, &updated, mark);
            }
            let (bytes, lines) = self.encode(draft, mark, names);
            messages.push(ProxyMessage {
                proxy,
                bytes,
                lines,
            });
        }
        messages
    }

    /// Binds a proxy to a table for these kinds and returns the lines of the table.
    fn bind(&mut self, proxy: ProxyId, id: TableId, kinds: Kinds) -> Vec<(ServerId, f64)> {
        let Some(stream) = self.streams.get_mut(&proxy) else {
            return Vec::new();
        };
        stream.bound |= kinds;
        for other in std::mem::take(&mut stream.tables) {
            let Some(table) = self.tables.get_mut(&other) else {
                continue;
            };
            let left = table.bindings.get(&proxy).copied().unwrap_or(0) & !kinds;
            table.bindings.insert(proxy, left);
            table.bindings.retain(|_, kinds| *kinds != 0);
            stream.tables.extend((left != 0).then_some(other));
        }
        stream.tables.insert(id);
        let table = self.tables.entry(id).or_default();
        *table.bindings.entry(proxy).or_insert(0) |= kinds;
        table.lines.iter().map(|(s, w)| (*s, *w)).collect()
    }

    /// Issues versions of the changed tables, if versions are enabled, then matches what newly bound
    /// proxies reported against their tables.
    fn issue_versions(
        &mut self,
        now: f64,
        changed: &BTreeSet<TableId>,
        new_bindings: &[(ProxyId, Kinds, TableId)],
        names: &Names,
    ) {
        let Some(mgr) = &mut self.manager else { return };
        for id in changed {
            let Some(table) = self.tables.get(id) else {
                continue;
            };
            let mut lines = Vec::with_capacity(table.lines.len());
            for (server, weight) in &table.lines {
                let cached = self.name_cache.get(server).cloned();
                let name = cached.or_else(|| names.get(server).map(|n| Name::from(n.as_str())));
                let Some(name) = name else { continue };
                self.name_cache
                    .entry(*server)
                    .or_insert_with(|| name.clone());
                lines.push((name, *weight));
            }
            // Cannot fail: weights are above 0 and each server has one name.
            let Ok(issued) = versions::Table::from_lines(lines) else {
                continue;
            };
            mgr.issue(now, *id, issued);
        }
        for (proxy, kinds, id) in new_bindings {
            mgr.bind(now, *proxy, *kinds, *id);
        }
    }

    /// A proxy that lost a table update may have lost withdrawals, too.
    fn distrust_withdrawals(&mut self, proxy: ProxyId, id: TableId) {
        let lost = self
            .manager
            .as_ref()
            .is_some_and(|manager| manager.is_lost(proxy, id));
        if let Some(stream) = self.streams.get_mut(&proxy).filter(|_| lost) {
            (stream.withdrawn, stream.unknown_withdrawals) = (BTreeMap::new(), true);
        }
    }

    /// For a proxy that reports versions, replaces the lines by the shortest update from the version
    /// that it holds to the newest one. A whole table that the module has not budgeted for is left
    /// out and sent later. Returns the tables that the message brings up to date.
    fn apply_versions(&mut self, proxy: ProxyId, draft: &mut Draft) -> Vec<TableId> {
        let Some(manager) = &mut self.manager else {
            return Vec::new();
        };
        let Some(stream) = self.streams.get(&proxy) else {
            return Vec::new();
        };
        let (mut updated, mut resend) = (Vec::new(), 0);
        for id in &stream.tables {
            let bindings = self.tables.get(id).and_then(|t| t.bindings.get(&proxy));
            let Some(kinds) = bindings.copied() else {
                continue;
            };
            let touched = |p: &Block| p.kinds == kinds && (p.whole || !p.lines.is_empty());
            if !manager.reports_versions(proxy) {
                updated.extend(draft.blocks.iter().any(touched).then_some(*id));
                continue;
            }
            let mut blocks = draft.blocks.iter_mut().filter(|p| touched(p));
            let Some(block) = blocks.next() else { continue };
            let counted = blocks.fold(block.whole, |whole, later| {
                // The newest version already includes later blocks of this call.
                later.lines.clear();
                block.level = later.level.or(block.level);
                whole | std::mem::take(&mut later.whole)
            });
            let Some(order) = manager.order_as_counted(proxy, *id, counted) else {
                block.lines.clear();
                continue;
            };
            let (whole, lines) = match &order.update {
                Update::Unchanged(_) => (false, Vec::new()),
                Update::Delta(delta) => (false, delta.changes.clone()),
                Update::Whole(table) => {
                    (true, table.lines().map(|(n, w)| (n.clone(), w)).collect())
                }
            };
            resend |= if whole && !counted { kinds } else { 0 };
            block.whole = whole;
            block.lines = lines
                .into_iter()
                .map(|(n, w)| (crate::messages::server_id(&n), w))
                .collect();
            // The short form suffices if the delta starts from a version sent on this stream.
            block.short_version =
                matches!(order.update, Update::Delta(_)) && manager.was_sent(proxy, *id);
            block.order = Some(order);
            updated.push(*id);
        }
        draft
            .blocks
            .retain(|p| p.whole || !p.lines.is_empty() || p.level.is_some() || p.order.is_some());
        // A whole table resets the levels of the proxy.
        if resend != 0 {
            self.add_levels(proxy, resend, true, draft);
        }
        updated
    }

    /// Adds a whole table for these kinds and the levels that it resets.
    fn add_table(
        &mut self,
        proxy: ProxyId,
        kinds: Kinds,
        lines: Vec<(ServerId, f64)>,
        draft: &mut Draft,
    ) {
        lines
            .iter()
            .for_each(|(server, _)| self.add_withdrawal(proxy, *server, draft));
        draft.blocks.push(Block {
            kinds,
            whole: true,
            lines,
            ..Block::default()
        });
        self.add_levels(proxy, kinds, true, draft);
    }

    fn encode(&self, draft: Draft, mark: Option<u64>, names: &Names) -> (Vec<u8>, usize) {
        let name = |server: &ServerId| names.get(server).map(String::as_str);
        let side = |out: bool| {
            draft
                .withdrawn
                .iter()
                .filter(move |(_, o)| **o == out)
                .filter_map(|(s, _)| name(s))
        };
        let mut parts: Vec<Part> = Vec::new();
        for block in &draft.blocks {
            let kinds = kinds_in(block.kinds)
                .filter_map(|k| self.kinds.get(k).map(String::as_str))
                .collect();
            let kinds: Option<Vec<&str>> = (block.kinds != self.all_kinds).then_some(kinds);
            let lines: Vec<_> = block
                .lines
                .iter()
                .filter_map(|(s, w)| Some((name(s)?, *w)))
                .collect();
            let (level, retry) = (
                block.level.map(|(l, _)| l),
                block.level.map(|(_, r)| r as u8),
            );
            let mut runs = split_to_fit(&lines);
            let first = runs.next().or(block.whole.then(Vec::new));
            let order = block.order.as_ref();
            let from = order.and_then(|o| match &o.update {
                Update::Delta(delta) => Some(delta.from.to_string()),
                Update::Unchanged(_) | Update::Whole(_) => None,
            });
            let opening = Part {
                kinds: kinds.clone(),
                whole: block.whole,
                lines: first,
                level,
                retry,
                version: order.map(|o| {
                    if block.short_version {
                        o.version.short()
                    } else {
                        o.version.to_string()
                    }
                }),
                to: order.map(|o| o.update.digest().to_string()),
                from,
                ..Part::default()
            };
            let rest = runs.map(|lines| Part {
                kinds: kinds.clone(),
                lines: Some(lines),
                ..Part::default()
            });
            parts.extend([opening].into_iter().chain(rest));
        }
        if parts.is_empty() {
            parts.push(Part::default());
        }
        if let Some(last) = parts.last_mut() {
            (last.out, last.back, last.mark) = (side(true).collect(), side(false).collect(), mark);
        }
        let count = parts.len();
        let (mut bytes, mut line_count) = (Vec::new(), 0);
        for (index, mut part) in parts.into_iter().enumerate() {
            line_count += part.line_count();
            part.more = index + 1 < count;
            bytes.extend(part.encode());
        }
        (bytes, line_count)
    }
}
