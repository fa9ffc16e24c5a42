//! What the module orders in one call becomes one message for each proxy concerned.
//!
//! The tables, levels and withdrawals of the module's orders are kept here, with what each stream has
//! been told of them, so that a message says what the order means and no more.

use crate::messages::{HeldVersions, MAX_LINE_BYTES, Part};
use rookpulley::interface::*;
use rookpulley_versions as versions;
use rookpulley_versions::{Name, Update, VersionManager};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Kinds = u16;
type Level = (f64, Retry);

/// So many marks wait for a stream's answer at most; of one that answers none the oldest are given up.
const MAX_PENDING_MARKS: usize = 256;

/// The names of the servers that orders may name.
pub type Names = BTreeMap<ServerId, String>;

#[derive(Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<KindId, Level>,
    /// The joined proxies bound to it, and for which kinds.
    bindings: BTreeMap<ProxyId, Kinds>,
}

/// What a stream has been told.
struct Stream {
    tables: BTreeSet<TableId>,
    bound: Kinds,
    levels: BTreeMap<KindId, Level>,
    /// Servers it was told to shut out or let back.
    withdrawn: BTreeMap<ServerId, bool>,
    /// It may still shut out servers on the word of an assigner before.
    unknown_withdrawals: bool,
    /// Marks that were ordered of it and not answered, in their order.
    pending_marks: VecDeque<u64>,
}

#[derive(Default)]
struct Block {
    kinds: Kinds,
    whole: bool,
    lines: Vec<(ServerId, f64)>,
    level: Option<Level>,
    /// Where the proxy speaks of versions: which one this brings it to.
    order: Option<versions::Order>,
    short_version: bool,
}

/// One proxy's message as it grows.
#[derive(Default)]
struct Draft {
    blocks: Vec<Block>,
    withdrawn: BTreeMap<ServerId, bool>,
}

/// A message ready to be written, all its parts, and the lines it counts for.
pub struct ProxyMessage {
    pub proxy: ProxyId,
    pub bytes: Vec<u8>,
    pub lines: usize,
}

pub struct Orders {
    kinds: Vec<String>,
    all_kinds: Kinds,
    tables: BTreeMap<TableId, Table>,
    /// Levels for all joined proxies.
    levels: BTreeMap<KindId, Level>,
    withdrawn: BTreeSet<ServerId>,
    streams: BTreeMap<ProxyId, Stream>,
    /// The versions of all tables and who holds them, where the operators want them.
    pub manager: Option<VersionManager>,
    /// Names as the book has them.
    name_cache: BTreeMap<ServerId, Name>,
}

pub fn kinds_in(mask: Kinds) -> impl Iterator<Item = KindId> {
    (0..Kinds::BITS as KindId).filter(move |k| mask >> k & 1 == 1)
}

/// Cuts lines into runs that fit a part, however their names are written.
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
    /// The last piece that touches these kinds, where it is for just these.
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
        // Of two orders for one line the later one stands.
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

    /// A proxy has joined: bound to none of our tables, told nothing yet.
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

    /// Whether a mark was ordered of this stream and waits for its answer, as do those before it.
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

    /// No order names this server any more. A stream that was told to shut it out may still do so.
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

    /// The level that a kind has at a proxy: of two the lower, and the table's own way of retrying.
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

    /// Levels for these kinds that the stream has not been told, alike ones together.
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

    /// A line is of no use while its server is shut out, and what was shut out before must not stick.
    fn add_withdrawal(&mut self, proxy: ProxyId, server: ServerId, draft: &mut Draft) {
        let out = self.withdrawn.contains(&server);
        let Some(stream) = self.streams.get_mut(&proxy) else {
            return;
        };
        let told = stream.withdrawn.get(&server).copied();
        let wrong = if out {
            told != Some(true)
        } else {
            told.unwrap_or(stream.unknown_withdrawals)
        };
        if wrong {
            stream.withdrawn.insert(server, out);
            draft.withdrawn.insert(server, out);
        }
    }

    /// Whether a proxy may send to a server by the tables it holds; what it brought is not known.
    fn may_use(&self, proxy: ProxyId, server: &ServerId) -> bool {
        let Some(stream) = self.streams.get(&proxy) else {
            return false;
        };
        let mut tables = stream.tables.iter().filter_map(|id| self.tables.get(id));
        stream.bound & self.all_kinds != self.all_kinds
            || tables.any(|t| t.lines.contains_key(server))
    }

    /// Carries out the orders of one call, in their order. Effects that are no orders are passed over.
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
        let mut written = Vec::new();
        for (proxy, mut draft) in drafts {
            let updated = self.apply_versions(proxy, &mut draft);
            // Levels for all travel along with whatever goes to a proxy that has not been told them.
            self.add_levels(proxy, self.all_kinds, false, &mut draft);
            if let (Some(mark), Some(stream)) = (mark, self.streams.get_mut(&proxy)) {
                let over = (stream.pending_marks.len() + 1).saturating_sub(MAX_PENDING_MARKS);
                stream.pending_marks.drain(..over);
                stream.pending_marks.push_back(mark);
            }
            if let Some(manager) = &mut self.manager {
                manager.record_sent(now, proxy, &updated, mark);
            }
            let (bytes, lines) = self.encode(draft, mark, names);
            written.push(ProxyMessage {
                proxy,
                bytes,
                lines,
            });
        }
        written
    }

    /// Puts a proxy on a table for these kinds; gives the table's lines.
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

    /// The tables that changed are issued, where the operators want versions; then what proxies brought along
    /// counts for the tables that they were bound to.
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
                let known = self.name_cache.get(server).cloned();
                let name = known.or_else(|| names.get(server).map(|n| Name::from(n.as_str())));
                let Some(name) = name else { continue };
                self.name_cache
                    .entry(*server)
                    .or_insert_with(|| name.clone());
                lines.push((name, *weight));
            }
            // The module's lines are above 0 and a server has one name: there is no other case.
            let Ok(issued) = versions::Table::from_lines(lines) else {
                continue;
            };
            mgr.issue(now, *id, issued);
        }
        for (proxy, kinds, id) in new_bindings {
            mgr.bind(now, *proxy, *kinds, *id);
        }
    }

    /// A proxy that lost what was written may have lost word of who is shut out, too.
    fn distrust_withdrawals(&mut self, proxy: ProxyId, id: TableId) {
        let lost = self
            .manager
            .as_ref()
            .is_some_and(|manager| manager.is_lost(proxy, id));
        if let Some(stream) = self.streams.get_mut(&proxy).filter(|_| lost) {
            (stream.withdrawn, stream.unknown_withdrawals) = (BTreeMap::new(), true);
        }
    }

    /// Where a proxy speaks of versions, its lines become the shortest way from what it holds to the newest
    /// version. A whole table that the module has not counted is not written: it is owed. Gives the tables
    /// that the message brings up to date.
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
                // What came later in the same call is in the newest version already.
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
            // A delta on what this stream was told goes on from a version that is known there.
            block.short_version =
                matches!(order.update, Update::Delta(_)) && manager.was_sent(proxy, *id);
            block.order = Some(order);
            updated.push(*id);
        }
        draft
            .blocks
            .retain(|p| p.whole || !p.lines.is_empty() || p.level.is_some() || p.order.is_some());
        // A whole table makes the proxy forget its levels.
        if resend != 0 {
            self.add_levels(proxy, resend, true, draft);
        }
        updated
    }

    /// A whole table for these kinds, with the levels that it makes the proxy forget.
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
