//! Decision logic: input handling and the periodic round; the submodules hold the individual concerns.  The caller
//! creates a [`Controller`] from its settings and calls `Controller::handle` with the time and the inputs. The returned
//! effects must be carried out in order. A restarted controller rebuilds its state from the server list. State tables
//! have the columns state, event, next state and action; an event without a row has no effect.

mod arcs;
mod demand;
mod gate;
mod health;
pub(crate) mod levels;
mod parts;
mod queue;
mod revisions;

pub use crate::state::Controller;
use crate::{interface::*, ring::TimeBuckets, state::*};
use rand::RngExt;

const ROUND_MS: f64 = 1_000.0;
const ANNOUNCE_INTERVAL_MS: f64 = 3_000.0;
const ROUND_TIMER: u64 = 1;
const LIST_RETRY_TIMER: u64 = 2;
/// Minimum interval between urgent dispatches, so that they are batched into few messages.
const FLUSH_INTERVAL_MS: f64 = 200.0;
const FLUSH_TIMER: u64 = 3;
const MAX_LIST_RETRY_MS: f64 = 8_000.0;

fn group_kinds(kinds: &[RequestKind]) -> Vec<KindGroup> {
    let mut groups: Vec<KindGroup> = Vec::new();
    for (id, kind) in kinds.iter().enumerate() {
        let place = |k: &RequestKind| (k.zones.clone(), k.machines.clone(), k.own_zone);
        match groups.iter_mut().find(|g| place(&g.like) == place(kind)) {
            Some(group) => group.kinds.push(id),
            None => groups.push(KindGroup {
                kinds: vec![id],
                like: kind.clone(),
            }),
        }
    }
    // Groups restricted to certain servers are allocated first.
    groups
        .sort_by_key(|g| g.like.zones.is_empty() && g.like.machines.is_empty() && !g.like.own_zone);
    groups
}

impl Controller {
    pub fn new(now: f64, start: Start) -> Self {
        let groups = group_kinds(&start.kinds[..start.kinds.len().min(KINDS)]);
        let mut new = Self::with_initial_state(now, start, groups);
        (
            new.list_retry_ms,
            new.admission.allowed_per_s,
            new.admission.arc_scale,
        ) = (ROUND_MS, levels::UNLIMITED, 1.0);
        // Reports must cover the measurement span first; until the first rounds, proxies join and peers announce
        // demand.
        (new.admission.stepped_ms, new.next_flush_ms) =
            (now + 2.0 * levels::OVERLOAD_SPAN_MS, now + 2.0 * ROUND_MS);
        new
    }

    /// Processes inputs and returns the resulting effects.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Effect> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.started, true) {
            out.push(Effect::SetTimer {
                in_ms: ROUND_MS,
                name: ROUND_TIMER,
            });
            out.extend(self.list_asked.then_some(Effect::WatchList { on: true }));
        }
        inputs
            .iter()
            .for_each(|input| self.apply_input(now, input, &mut out));
        let asks = |i: &Input| {
            matches!(
                i,
                Input::Rollback { .. } | Input::ReleaseRollback { .. } | Input::TableLost { .. }
            )
        };
        self.urgent |= inputs.iter().any(asks);
        let round = inputs
            .iter()
            .any(|i| matches!(i, Input::TimerFired { name: ROUND_TIMER }));
        if round
            || inputs
                .iter()
                .any(|i| matches!(i, Input::ServerReport { .. }))
        {
            let target_ms = self.demand.usual_target_ms(now, &self.kinds);
            let overloaded = self.admission.mode == Mode::Throttled;
            self.urgent |=
                self.fleet
                    .evaluate(now, target_ms, overloaded, &self.bounds, &mut self.log);
        }
        if round {
            out.push(Effect::SetTimer {
                in_ms: ROUND_MS,
                name: ROUND_TIMER,
            });
            self.demand.resize(now, &mut self.log);
            for ((proxy, _), table) in &mut self.tables {
                let Some(p) = self.demand.proxies.get(proxy) else {
                    continue;
                };
                self.log.extend(table.evaluate(
                    now,
                    self.capabilities.report_period_ms,
                    p.zone,
                    &mut self.fleet,
                ));
            }
            self.step_admission(now);
            self.remove_departed_servers(now);
            // Every proxy is announced to the peers well before it would be forgotten.
            out.extend(self.demand_notes(ROUND_MS / ANNOUNCE_INTERVAL_MS));
        }
        if self.urgent
            && now < self.next_flush_ms
            && !std::mem::replace(&mut self.flush_scheduled, true)
        {
            out.push(Effect::SetTimer {
                in_ms: self.next_flush_ms - now,
                name: FLUSH_TIMER,
            });
        }
        if round || (self.urgent && now >= self.next_flush_ms) {
            (self.urgent, self.flush_scheduled, self.next_flush_ms) =
                (false, false, now + FLUSH_INTERVAL_MS);
            let sure = parts::required_multiple(now, &self.admission);
            self.fleet
                .servers
                .values_mut()
                .for_each(|s| s.part = parts::ramped_share(now, s, sure, &self.bounds));
            if self.capabilities.slices == 0 {
                self.compute_tables(now);
            }
            self.end_rollbacks(&mut out);
            self.dispatch(now, &mut out);
        }
        out.extend(self.log.drain(..).map(Effect::Log));
        out
    }

    fn apply_input(&mut self, now: f64, input: &Input, out: &mut Vec<Effect>) {
        match input {
            Input::List {
                scope: ListScope::Failed,
                ..
            } => {
                // The list service is shared: retry with exponential backoff and jitter.
                let in_ms = self.list_retry_ms * self.rng.random_range(0.5..1.5);
                self.list_retry_ms = (2.0 * self.list_retry_ms).min(MAX_LIST_RETRY_MS);
                out.push(Effect::SetTimer {
                    in_ms,
                    name: LIST_RETRY_TIMER,
                });
            }
            Input::List { scope, lines, .. } => {
                self.list_retry_ms = ROUND_MS;
                let soft = self.bounds.soft_removal;
                self.fleet
                    .apply_list(now, *scope, lines, soft, &mut self.log);
                self.urgent = true;
            }
            Input::TimerFired {
                name: LIST_RETRY_TIMER,
            } => out.push(Effect::WatchList { on: true }),
            Input::PeerMessage { bytes, .. } => self.demand.take_note(now, bytes),
            Input::ProxyJoined {
                proxy,
                zone,
                usual_per_s,
                fresh,
            } => {
                let entry = self.demand.observe_proxy(now, *proxy, *zone, *usual_per_s);
                (entry.joined, entry.joined_ms, entry.fresh) = (true, now, *fresh);
                entry.written = TimeBuckets::new(250.0, 48);
                self.tables_of(*proxy).for_each(|table| table.bound = false);
                self.urgent = true;
            }
            Input::ProxyLeft { proxy } => {
                if let Some(p) = self.demand.proxies.get_mut(proxy) {
                    (p.joined, p.seen_ms) = (false, now);
                }
                self.tables_of(*proxy)
                    .for_each(|table| (table.bound, table.trial) = (false, None));
            }
            Input::Acknowledged { proxy, mark, .. } => {
                self.channel.answered(now, *proxy, *mark);
                let trials = self
                    .tables_of(*proxy)
                    .filter_map(|table| table.trial.as_mut());
                for trial in trials.filter(|t| !t.answered && t.mark == *mark) {
                    (trial.answered, trial.from_ms) = (true, now);
                }
            }
            // Late reports may cover the time before a restart, so results right after it are ignored. A server whose
            // restart fails is therefore noticed later.
            Input::ServerReport { server, .. }
                if now < self.fleet.started_ms(server) + health::SPAN_MS => {}
            Input::ServerReport {
                zone,
                server,
                tries,
                bad,
                mean_ms,
                load,
                ..
            } => {
                self.fleet.held.extend(
                    self.held_at
                        .and_then(|at| load.get(at))
                        .map(|held| (*server, *held)),
                );
                self.fleet.hear(
                    now,
                    (*server, *zone),
                    [*tries, *bad, mean_ms * (tries - bad)],
                );
            }
            Input::ProxyUsage {
                proxy, kind, came, ..
            } if *kind < KINDS => {
                let what = std::array::from_fn(|k| if k == *kind { *came } else { 0.0 });
                self.demand.came.add(now, what);
                _ = self
                    .demand
                    .proxies
                    .get_mut(proxy)
                    .map(|p| p.came.add(now, what));
            }
            Input::Rollback { table, lines } => {
                let what = self.start_rollback(*table, lines.iter().copied().collect());
                out.push(Effect::RollbackStatus {
                    table: *table,
                    what,
                });
            }
            Input::ReleaseRollback { table } => {
                let ended = self
                    .tables
                    .values_mut()
                    .any(|t| t.id == *table && t.release());
                let what = if ended {
                    RollbackStatus::Ended("released")
                } else {
                    RollbackStatus::Refused("it is not held")
                };
                out.push(Effect::RollbackStatus {
                    table: *table,
                    what,
                });
            }
            Input::TableLost { table } => {
                self.tables
                    .values_mut()
                    .filter(|t| t.id == *table)
                    .for_each(|t| t.bound = false);
            }
            _ => {}
        }
    }

    /// Removes servers that left long ago once no joined proxy can hold them, and lifts their withdrawals.
    fn remove_departed_servers(&mut self, now: f64) {
        let gone = |s: &Server| s.phase == Phase::Leaving && s.listed.stage == Stage::Gone;
        let old = self
            .fleet
            .servers
            .iter()
            .filter(|(_, s)| gone(s) && now - s.since_ms >= demand::FORGET_MS);
        let held = self.holders(&self.demand.joined(), old.map(|(id, _)| id));
        for (id, _) in held.into_iter().filter(|(_, holders)| holders.is_empty()) {
            self.fleet.servers.remove(&id);
            self.fleet.withdrawals.insert(id, false);
        }
        self.fleet
            .heard
            .retain(|(id, _), _| self.fleet.servers.contains_key(id));
        self.fleet
            .held
            .retain(|id, _| self.fleet.servers.contains_key(id));
    }
}
