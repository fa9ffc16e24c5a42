//! Revision history of each table. When a revision is tainted, the newest sound one is published again.

use crate::{interface::*, rules::parts::ENTRY_PART, state::*};

const MAX_REVISIONS: usize = 10;
pub(super) const TAINT_SPAN_MS: f64 = 3_000.0;
const TAINT_FACTOR: f64 = 2.0;
const TAINT_SHARE: f64 = 0.05;
const TAINT_TRIES: f64 = 20.0;

const REVISIONS: &[(RevisionStatus, RevisionEvent, RevisionStatus, HistoryAction)] = &[
    (
        RevisionStatus::Unknown,
        RevisionEvent::Proposed,
        RevisionStatus::Sound,
        HistoryAction::Append,
    ),
    (
        RevisionStatus::Sound,
        RevisionEvent::Proposed,
        RevisionStatus::Sound,
        HistoryAction::MoveToNewest,
    ),
    (
        RevisionStatus::Tainted,
        RevisionEvent::Proposed,
        RevisionStatus::Sound,
        HistoryAction::MoveToNewest,
    ),
    (
        RevisionStatus::Sound,
        RevisionEvent::Failed,
        RevisionStatus::Tainted,
        HistoryAction::Keep,
    ),
    (
        RevisionStatus::Unknown,
        RevisionEvent::Pinned,
        RevisionStatus::Pinned,
        HistoryAction::Append,
    ),
    (
        RevisionStatus::Sound,
        RevisionEvent::Pinned,
        RevisionStatus::Pinned,
        HistoryAction::MoveToNewest,
    ),
    (
        RevisionStatus::Tainted,
        RevisionEvent::Pinned,
        RevisionStatus::Pinned,
        HistoryAction::MoveToNewest,
    ),
    (
        RevisionStatus::Pinned,
        RevisionEvent::Failed,
        RevisionStatus::Tainted,
        HistoryAction::Keep,
    ),
    (
        RevisionStatus::Pinned,
        RevisionEvent::Released,
        RevisionStatus::Sound,
        HistoryAction::Keep,
    ),
    (
        RevisionStatus::Sound,
        RevisionEvent::Released,
        RevisionStatus::Sound,
        HistoryAction::MoveToNewest,
    ),
];

impl Table {
    fn record(&mut self, name: u64, verdict: RevisionEvent, lines: ServerWeights) {
        let at = self.revisions.iter().position(|r| r.name == name);
        let from = at.map_or(RevisionStatus::Unknown, |k| self.revisions[k].standing);
        let row = REVISIONS
            .iter()
            .find(|row| row.0 == from && row.1 == verdict);
        match row.map(|&(_, _, standing, filing)| (filing, standing, at)) {
            Some((HistoryAction::MoveToNewest, standing, Some(k))) => {
                let revision = self.revisions.remove(k);
                self.revisions.push(Revision {
                    standing,
                    ..revision
                });
            }
            Some((HistoryAction::Keep, standing, Some(k))) => self.revisions[k].standing = standing,
            Some((HistoryAction::Append, standing, _)) => self.revisions.push(Revision {
                name,
                lines,
                standing,
            }),
            _ => {}
        }
        let over = self.revisions.len().saturating_sub(MAX_REVISIONS);
        self.revisions
            .extract_if(.., |r| r.standing != RevisionStatus::Pinned)
            .take(over)
            .for_each(drop);
    }

    pub(super) fn propose(&mut self, lines: ServerWeights) {
        let name = revision_hash(&lines);
        if name != self.last_proposed && !lines.is_empty() {
            self.last_proposed = name;
            self.record(name, RevisionEvent::Proposed, lines);
        }
    }

    /// The newest sound revision, or the newest unpinned one if all are tainted.
    pub(super) fn newest(&self) -> Option<&Revision> {
        let sound = self
            .revisions
            .iter()
            .rfind(|r| r.standing == RevisionStatus::Sound);
        sound.or(self
            .revisions
            .iter()
            .rfind(|r| r.standing != RevisionStatus::Pinned))
    }

    /// Ends a rollback. The last proposed revision becomes the newest again unless it is tainted. Returns whether a
    /// rollback was in effect.
    pub(super) fn release(&mut self) -> bool {
        let names = self.pinned().map(|r| [r.name, self.last_proposed]);
        names
            .into_iter()
            .flatten()
            .for_each(|name| self.record(name, RevisionEvent::Released, ServerWeights::new()));
        std::mem::take(&mut self.rolled_back)
    }

    /// Taints the published revision if requests to its servers fail after it was pushed. Ejected servers don't count:
    /// one bad server would taint every revision that contains it.
    pub(super) fn evaluate(
        &mut self,
        now: f64,
        gap_ms: f64,
        zone: ZoneId,
        fleet: &mut Fleet,
    ) -> Option<String> {
        let trial = self
            .trial
            .take_if(|t| now >= t.from_ms + gap_ms + TAINT_SPAN_MS)?;
        let unevaluated = std::mem::take(&mut self.unevaluated);
        let met = fleet.stats_on(now, zone, &self.held, TAINT_SPAN_MS);
        let (bad, prior) = (met.bad_share(), trial.prior_bad);
        if met.tries < TAINT_TRIES || bad <= TAINT_SHARE || bad <= TAINT_FACTOR * prior {
            return None;
        }
        let (id, was) = (self.id, self.published);
        for name in unevaluated.into_iter().chain([was]) {
            self.record(name, RevisionEvent::Failed, ServerWeights::new());
        }
        let next = self.pinned().or_else(|| self.newest())?;
        let (sound, to) = (next.standing == RevisionStatus::Sound, next.name);
        let what = if sound {
            "rolled back to"
        } else {
            "all tainted, keeps"
        };
        Some(format!(
            "table {id} revision {was:016x} tainted, {what} {to:016x}: {met}, prior {prior:.3}"
        ))
    }
}

impl Controller {
    /// Pins a table to earlier entries if any of them is usable.
    pub(super) fn start_rollback(&mut self, id: TableId, lines: ServerWeights) -> RollbackStatus {
        let found = self.tables.iter().find(|(_, t)| t.id == id);
        let Some((at, table)) = found else {
            return RollbackStatus::Refused("there is no such table");
        };
        let (at, of, usable_weights) = (
            *at,
            lines.len(),
            self.usable_weights(&lines, *at, table).len(),
        );
        if usable_weights == 0 {
            return RollbackStatus::Refused(
                "it would leave request kinds bare: no warm server of it is left",
            );
        }
        if let Some(table) = self.tables.get_mut(&at) {
            table.release();
            table.record(revision_hash(&lines), RevisionEvent::Pinned, lines);
            table.rolled_back = true;
        }
        RollbackStatus::Held {
            lines: usable_weights,
            of,
        }
    }

    /// The usable part of earlier entries: without drained, removed, ejected or ineligible servers; ramping servers get
    /// no more weight than in the published revision. Without a warm server nothing is usable, so there is no rollback.
    pub(super) fn usable_weights(
        &self,
        lines: &ServerWeights,
        (proxy, g): (ProxyId, usize),
        table: &Table,
    ) -> ServerWeights {
        let (own, group, zone) = (
            self.published_weights(table, proxy, g),
            &self.groups[g],
            self.zone_of(proxy),
        );
        let near = |l: &ServerEntry| group.open(l) && (!group.like.own_zone || l.zone == zone);
        let server = |id| {
            self.fleet
                .servers
                .get(id)
                .filter(|s| s.part > 0.0 && near(&s.listed))
        };
        let known = lines
            .iter()
            .filter_map(|(id, weight)| Some((*id, *weight, server(id)?)));
        let (cold, warm): (Vec<_>, Vec<_>) = known.partition(|(_, _, s)| s.phase == Phase::Ramping);
        let mut usable_weights: ServerWeights = warm
            .iter()
            .map(|(id, w, s)| (*id, w.min(s.listed.weight)))
            .collect();
        let part = usable_weights.values().sum::<f64>() / own.values().sum::<f64>().max(1e-9);
        let most = |id, w: f64, s: &Server| (w * s.part).min(own.get(&id).unwrap_or(&0.0) * part);
        usable_weights.extend(
            cold.into_iter()
                .map(|(id, w, s)| (id, most(id, w, s)))
                .filter(|(_, w)| *w > 0.0),
        );
        usable_weights
    }

    /// Ends each rollback that was tainted or has no usable entry left.
    pub(super) fn end_rollbacks(&mut self, out: &mut Vec<Effect>) {
        let why = |at, table: &Table| match table.pinned() {
            None => Some("it was tainted"),
            Some(r) if self.usable_weights(&r.lines, at, table).is_empty() => {
                Some("no warm server of it is left")
            }
            _ => None,
        };
        let held = self.tables.iter().filter(|(_, t)| t.rolled_back);
        let ended: Vec<_> = held
            .filter_map(|(at, t)| Some((*at, t.id, why(*at, t)?)))
            .collect();
        for (at, id, why) in ended {
            self.tables.get_mut(&at).map(Table::release);
            out.push(Effect::RollbackStatus {
                table: id,
                what: RollbackStatus::Ended(why),
            });
        }
    }

    /// The newest revision's entries without unavailable servers, limited to each server's current weight.
    pub(super) fn published_weights(
        &self,
        table: &Table,
        proxy: ProxyId,
        g: usize,
    ) -> ServerWeights {
        let (group, zone) = (&self.groups[g], self.zone_of(proxy));
        let mut lines = ServerWeights::new();
        for (id, w) in table.newest().into_iter().flat_map(|r| &r.lines) {
            let used = self.fleet.servers.get(id).filter(|s| s.part > 0.0);
            lines.extend(used.map(|s| (*id, w.min(s.listed.weight * s.part))));
        }
        if lines.is_empty() {
            // Fall back to any eligible server rather than an empty table.
            let near = |l: &ServerEntry| !group.like.own_zone || l.zone == zone;
            let ready = self
                .fleet
                .servers
                .values()
                .filter(|s| s.phase != Phase::Leaving);
            let open = ready.filter(|s| near(&s.listed) && group.open(&s.listed));
            lines.extend(open.map(|s| (s.listed.server, s.listed.weight * s.part.max(ENTRY_PART))));
        }
        lines
    }
}
