//! Dispatches updates in order of urgency within the channel's limits: missing tables, drains, first tables,
//! withdrawals, admission levels, then other changes.

use crate::{
    interface::*, rules::arcs::MIN_ARC_LINES, rules::queue::room, rules::revisions, state::*,
};
use std::collections::BTreeSet;

/// Shares of the limits available to deltas, and to tables for proxies that have none.
const DELTA_SHARE: f64 = 0.5;
const FIRST_TABLE_SHARE: f64 = 0.8;
/// Share of the queue available to withdrawals; the rest is for the entries that restore a server.
const WITHDRAWAL_SHARE: f64 = 0.9;
/// Share of the drain grace period within which withdrawals are to be delivered.
const GRACE_SHARE: f64 = 0.8;

impl Controller {
    /// Pending updates of the joined proxies' tables, most urgent first; drains by age.
    fn needs(&self) -> BTreeSet<PendingUpdate> {
        let left = |s: &ServerId| {
            self.fleet
                .servers
                .get(s)
                .is_none_or(|s| s.phase == Phase::Leaving)
        };
        let since = |s: &ServerId| self.fleet.servers.get(s).map_or(0, |s| s.since_ms as u64);
        // A proxy with another controller's tables may use any draining server until our table is bound.
        let drains = self
            .fleet
            .withdrawals
            .iter()
            .filter(|(_, shut)| **shut)
            .map(|(s, _)| since(s))
            .min();
        let need = |p: &Proxy, table: &Table| match (table.bound, drains) {
            (false, _) if p.fresh => (Need::NoTable, 0),
            (false, Some(since)) => (Need::Drain, since),
            (false, None) => (Need::Bind, 0),
            // A table whose servers have all left is as urgent as a missing one: the loss of a zone leaves such tables.
            _ if table.held.keys().all(left) => (Need::NoTable, 0),
            _ => match table.held.keys().filter(|s| left(s)).map(since).min() {
                Some(since) => (Need::Drain, since),
                None => (Need::Delta, 0),
            },
        };
        let joined = |id| self.demand.proxies.get(id).filter(|p: &&Proxy| p.joined);
        let tables = self
            .tables
            .iter()
            .filter_map(|((id, g), t)| Some((need(joined(id)?, t), *id, *g)));
        tables
            .map(|((need, since), id, g)| (need, since, id, g))
            .collect()
    }

    pub(super) fn dispatch(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.channel
            .advance(now, self.pace.lines_per_s, self.pace.max_transit_ms);
        let joined = self.demand.joined();
        if joined.is_empty() {
            self.channel.left = self.channel.written;
        }
        // Defer non-urgent updates while any proxy is close to its message limit.
        let over_ms = self.pace.message_window_ms + 500.0;
        let written = |p: &mut Proxy| {
            if p.joined {
                p.written.over(now, over_ms)[0]
            } else {
                0.0
            }
        };
        let most_written = self
            .demand
            .proxies
            .values_mut()
            .map(written)
            .fold(0.0, f64::max);
        let limit = f64::from(self.pace.messages_most);
        let free = limit <= 0.0 || most_written + 1.0 <= limit * FIRST_TABLE_SHARE;
        let (mut reached, needs, changes) =
            (ReplyCost::default(), self.needs(), (Need::Delta, 0, 0, 0));
        self.withdraw(now, free, false, &mut reached, out);
        needs
            .range(..changes)
            .for_each(|need| self.update_table(now, *need, &mut reached, out));
        self.withdraw(now, free, true, &mut reached, out);
        // Levels go to all proxies; they wait until urgent updates are sent and the queue has room.
        let admission_levels = self.admission_levels(now);
        let head = self.pace.header_lines + 1.0;
        let size = (head + admission_levels.len() as f64) * joined.len() as f64;
        let waiting = self.channel.waiting() + reached.lines;
        let fits = !self.urgent && waiting + size <= self.pace.backlog_lines * DELTA_SHARE;
        if free
            && fits
            && self.admission.ordered_ms < self.admission.stepped_ms
            && admission_levels != self.admission.ordered
        {
            let order = |&(kinds, level, retry): &_| Effect::SetAdmission {
                table: None,
                kinds,
                level,
                retry,
            };
            drop(out.splice(0..0, admission_levels.iter().map(order)));
            joined
                .iter()
                .for_each(|id| reached.add(*id, head, admission_levels.len() as f64));
            (self.admission.ordered, self.admission.ordered_ms) = (admission_levels, now);
        }
        needs
            .range(changes..)
            .for_each(|need| self.update_table(now, *need, &mut reached, out));
        if reached.lines > 0.0 {
            out.push(Effect::RequestAck {
                mark: self.channel.next_mark,
                all: false,
            });
            self.channel.mark(now, &reached);
            let got = |id| f64::from(u8::from(reached.by_proxy.contains_key(id)));
            self.demand
                .proxies
                .iter_mut()
                .for_each(|(id, p)| p.written.add(now, [got(id)]));
        }
    }

    /// Sends withdrawals to the proxies that hold the server. If they exceed the queue, table updates that remove the
    /// server go first.
    fn withdraw(
        &mut self,
        now: f64,
        free: bool,
        last: bool,
        reached: &mut ReplyCost,
        out: &mut Vec<Effect>,
    ) {
        let mut due = self.fleet.withdrawals.clone();
        due.retain(|_, shut| *shut || free);
        let (head, level) = (
            self.pace.header_lines + 1.0,
            self.admission.ordered.len() as f64,
        );
        let (room, limit) = (
            room(&self.pace) * FIRST_TABLE_SHARE,
            self.pace.backlog_lines * WITHDRAWAL_SHARE,
        );
        let in_time_ms = GRACE_SHARE * (self.bounds.drain_grace_ms - self.pace.max_transit_ms);
        let bound = self.groups.len() as f64 * (MIN_ARC_LINES * self.pace.bind_lines + level + 1.0);
        let holders = self.holders(&self.demand.joined(), due.keys());
        let all = holders.values().map(Vec::len).sum::<usize>() as f64 * (head + 1.0);
        let go = last || self.channel.waiting() + all <= room;
        for (server, holders) in holders.into_iter().filter(|_| go) {
            let size: f64 = holders
                .iter()
                .map(|id| reached.cost(*id, head + level, 1.0))
                .sum();
            let waiting = self.channel.waiting() + reached.lines;
            let age_ms = self
                .fleet
                .servers
                .get(&server)
                .map_or(now, |s| now - s.since_ms);
            let through_ms = age_ms + (waiting + size) / self.pace.lines_per_s * 1e3;
            let most = if through_ms < in_time_ms || due.len() as f64 > bound {
                room
            } else {
                limit
            };
            if waiting > 0.0 && size > 0.0 && waiting + size > most {
                self.urgent = true;
                continue;
            }
            holders
                .into_iter()
                .for_each(|id| reached.add(id, head + level, 1.0));
            out.extend(
                self.fleet
                    .withdrawals
                    .remove(&server)
                    .map(|out| Effect::WithdrawServer { server, out }),
            );
        }
    }

    /// Brings a proxy's table up to date: the whole table if it is not bound, deltas otherwise.
    fn update_table(
        &mut self,
        now: f64,
        (need, _, id, g): PendingUpdate,
        reached: &mut ReplyCost,
        out: &mut Vec<Effect>,
    ) {
        let part = if need == Need::Delta {
            DELTA_SHARE
        } else {
            FIRST_TABLE_SHARE
        };
        let Some(p) = self.demand.proxies.get_mut(&id) else {
            return;
        };
        let (zone, written) = (
            p.zone,
            p.written.over(now, self.pace.message_window_ms + 500.0)[0],
        );
        let most = f64::from(self.pace.messages_most);
        if most > 0.0 && written + 1.0 > most * part && !reached.by_proxy.contains_key(&id) {
            return;
        }
        let Some(table) = self.tables.get(&(id, g)) else {
            return;
        };
        let lines = match table.pinned() {
            Some(back) => self.usable_weights(&back.lines, (id, g), table),
            None => self.published_weights(table, id, g),
        };
        let changed = lines
            .iter()
            .filter(|(s, w)| table.held.get(*s) != Some(*w))
            .map(|(s, w)| (*s, *w));
        let dropped = table
            .held
            .keys()
            .filter(|s| !lines.contains_key(*s))
            .map(|s| (*s, 0.0));
        let deltas: Vec<(ServerId, f64)> = changed.chain(dropped).collect();
        let unbound = !table.bound;
        if lines.is_empty() || (deltas.is_empty() && !unbound) {
            return;
        }
        let whole =
            lines.len() as f64 * self.pace.bind_lines + self.admission.ordered.len() as f64 + 1.0;
        let size = if unbound { whole } else { deltas.len() as f64 };
        let (head, waiting) = (
            self.pace.header_lines + 1.0,
            self.channel.waiting() + reached.lines,
        );
        if waiting + reached.cost(id, head, size) > room(&self.pace) * part {
            self.urgent |= need != Need::Delta;
            return;
        }
        reached.add(id, head, size);
        let prior_bad = self
            .fleet
            .stats_on(now, zone, &table.held, revisions::TAINT_SPAN_MS)
            .bad_share();
        let Some(table) = self.tables.get_mut(&(id, g)) else {
            return;
        };
        let order = |(server, weight)| Effect::SetWeight {
            table: table.id,
            server,
            weight,
        };
        out.extend(deltas.into_iter().map(order));
        if unbound {
            let kinds = mask_of(self.groups[g].kinds.iter().copied());
            out.push(Effect::BindTable {
                proxy: id,
                table: table.id,
                kinds,
            });
        }
        (table.bound, table.held) = (true, lines);
        let published = table
            .pinned()
            .or_else(|| table.newest())
            .map_or(0, |r| r.name);
        if table.published != published {
            let before = std::mem::replace(&mut table.published, published);
            // A revision that was not evaluated can't serve as the baseline of the next one.
            if self.capabilities.shared_verdicts && table.trial.is_some() {
                table.unevaluated.push(before);
            } else {
                table.unevaluated.clear();
                let mark = self.channel.next_mark;
                table.trial = Some(RevisionTrial {
                    mark,
                    from_ms: now,
                    answered: false,
                    prior_bad,
                });
            }
        }
    }
}
