//! Server health: state transitions driven by the server list and by request results.

use crate::{interface::*, rules::parts, state::*};
use std::collections::BTreeSet;

const HEALTH: &[(Phase, HealthEvent, Phase, HealthAction)] = &[
    (
        Phase::Warm,
        HealthEvent::Started,
        Phase::Ramping,
        HealthAction::StartRamp,
    ),
    (
        Phase::Ramping,
        HealthEvent::Started,
        Phase::Ramping,
        HealthAction::StartRamp,
    ),
    (
        Phase::Ejected,
        HealthEvent::Started,
        Phase::Ramping,
        HealthAction::StartRamp,
    ),
    (
        Phase::Leaving,
        HealthEvent::Started,
        Phase::Ramping,
        HealthAction::StartRamp,
    ),
    (
        Phase::Leaving,
        HealthEvent::Returned,
        Phase::Ramping,
        HealthAction::RestartRamp,
    ),
    (
        Phase::Warm,
        HealthEvent::Departed,
        Phase::Leaving,
        HealthAction::Withdraw,
    ),
    (
        Phase::Ramping,
        HealthEvent::Departed,
        Phase::Leaving,
        HealthAction::Withdraw,
    ),
    (
        Phase::Ejected,
        HealthEvent::Departed,
        Phase::Leaving,
        HealthAction::Withdraw,
    ),
    (
        Phase::Warm,
        HealthEvent::Failing,
        Phase::Ejected,
        HealthAction::Eject,
    ),
    (
        Phase::Ramping,
        HealthEvent::Failing,
        Phase::Ejected,
        HealthAction::Eject,
    ),
    (
        Phase::Warm,
        HealthEvent::Slow,
        Phase::Ramping,
        HealthAction::ReduceWeight,
    ),
    (
        Phase::Ramping,
        HealthEvent::Slow,
        Phase::Ramping,
        HealthAction::ReduceWeight,
    ),
    (
        Phase::Ejected,
        HealthEvent::EjectionEnded,
        Phase::Ramping,
        HealthAction::RestartRamp,
    ),
    (
        Phase::Ramping,
        HealthEvent::RampEnded,
        Phase::Warm,
        HealthAction::FinishRamp,
    ),
];

pub(super) const SPAN_MS: f64 = 3_000.0;
const EJECTION_MS: f64 = 5_000.0;
const MAX_EJECTION_MS: f64 = 20_000.0;
/// A server is failing when the share of failed tries exceeds this and the excess over the fleet's average is
/// statistically significant for the number of servers. Fixed counts ejected sound servers during overload.
const FAIL_SHARE: f64 = 0.5;
const FAIL_MIN_TRIES: f64 = 4.0;
const FAIL_FACTOR: f64 = 1.5;
const FAIL_USUAL: f64 = 0.02;
/// A server above this share of failed tries is unresponsive and does not count as overloaded.
pub(super) const UNRESPONSIVE_SHARE: f64 = 0.9;
/// A server is slow when successful tries take this multiple of the fleet's median and this fraction of the target.
const SLOW_RATIO: f64 = 1.6;
/// Higher ratio while throttled, so that a full fleet does not shift load from server to server.
const SLOW_RATIO_THROTTLED: f64 = 3.0;
const SLOW_TARGET_SHARE: f64 = 0.5;
const SLOW_MIN_TRIES: f64 = 8.0;
const REDUCE_FACTOR: f64 = 0.75;

impl Fleet {
    /// Applies a server list. With `soft`, a server missing from the list is kept while it answers successfully, which
    /// guards against wrong lists. A server that is gone for good then receives requests until they are seen to fail.
    pub(super) fn apply_list(
        &mut self,
        now: f64,
        scope: ListScope,
        lines: &[ServerEntry],
        soft: bool,
        log: &mut Log,
    ) {
        let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
        let whole = matches!(scope, ListScope::Full | ListScope::Cached);
        let gone = |s: &Server| ServerEntry {
            stage: Stage::Gone,
            ..s.listed.clone()
        };
        let missing = self
            .servers
            .iter()
            .filter(|(id, _)| whole && !named.contains(*id));
        let missing: Vec<ServerEntry> = missing.map(|(_, s)| gone(s)).collect();
        for line in lines.iter().chain(&missing) {
            let (id, ready, dated) = (
                line.server,
                line.stage == Stage::Ready,
                line.started_ms > 0.0,
            );
            let fails = self.stats_at(now, id, SPAN_MS).bad_share() > FAIL_SHARE;
            if let Some(known) = self.servers.get_mut(&id) {
                let cue = match (ready, line.started_ms > known.listed.started_ms) {
                    (false, _) => HealthEvent::Departed,
                    (true, true) => HealthEvent::Started,
                    (true, false) => HealthEvent::Returned,
                };
                known.listed = if ready {
                    line.clone()
                } else {
                    ServerEntry {
                        stage: line.stage,
                        ..gone(known)
                    }
                };
                if !(soft && line.stage == Stage::Gone && known.phase != Phase::Ejected && !fails) {
                    self.transition(now, id, cue, log);
                }
                continue;
            }
            // In the initial list a server without a start time is taken as warm; in later lists it is new.
            let phase = match scope {
                _ if !ready => Phase::Leaving,
                ListScope::Cached if !dated => Phase::Warm,
                _ => Phase::Ramping,
            };
            let ramp_from_ms = if dated {
                line.started_ms - parts::RAMP_MS
            } else {
                now
            };
            let (listed, ejection_ms, part) = (line.clone(), EJECTION_MS, parts::ENTRY_PART);
            self.servers.insert(
                id,
                Server {
                    listed,
                    phase,
                    since_ms: now,
                    ramp_from_ms,
                    ejection_ms,
                    part,
                },
            );
            self.withdrawals.extend((!ready).then_some((id, true)));
        }
    }

    /// Applies the state table; returns false if it has no row for this event.
    fn transition(&mut self, now: f64, id: ServerId, cue: HealthEvent, log: &mut Log) -> bool {
        let met = self.stats_at(now, id, SPAN_MS);
        let Some(server) = self.servers.get_mut(&id) else {
            return false;
        };
        let from = server.phase;
        let row = HEALTH.iter().find(|row| row.0 == from && row.1 == cue);
        let Some(&(_, _, next, turn)) = row else {
            return false;
        };
        match turn {
            HealthAction::StartRamp => {
                server.ramp_from_ms = server.listed.started_ms - parts::RAMP_MS;
                self.heard.retain(|(at, _), _| *at != id);
            }
            HealthAction::RestartRamp => server.ramp_from_ms = now,
            HealthAction::ReduceWeight => {
                let grown = (server.part * REDUCE_FACTOR - parts::ENTRY_PART).max(0.0)
                    / (1.0 - parts::ENTRY_PART);
                server.ramp_from_ms = now - parts::RAMP_MS * grown;
            }
            HealthAction::Eject => {
                let again = from == Phase::Ramping && now - server.since_ms < server.ejection_ms;
                server.ejection_ms = if again {
                    (2.0 * server.ejection_ms).min(MAX_EJECTION_MS)
                } else {
                    EJECTION_MS
                };
            }
            HealthAction::Withdraw | HealthAction::FinishRamp => {}
        }
        (server.phase, server.since_ms) = (next, now);
        if (from == Phase::Leaving) != (next == Phase::Leaving) {
            self.withdrawals.insert(id, next == Phase::Leaving);
        }
        if turn != HealthAction::FinishRamp {
            log.push(format!(
                "server {} {from:?} -> {next:?} on {cue:?}: {met}",
                format_server(id)
            ));
        }
        true
    }

    /// Evaluates every server by its recent results; returns true if any changed state.
    pub(super) fn evaluate(
        &mut self,
        now: f64,
        aim_ms: f64,
        overloaded: bool,
        by: &SafetyBounds,
        log: &mut Log,
    ) -> bool {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        let met: Vec<AttemptStats> = ids
            .iter()
            .map(|id| self.stats_at(now, *id, SPAN_MS))
            .collect();
        let means = met
            .iter()
            .filter(|m| m.good() >= 3.0)
            .map(AttemptStats::mean_ms)
            .collect();
        let median = quantile(means, 0.5).unwrap_or(f64::INFINITY);
        let all = met.iter().fold(AttemptStats::default(), |all, m| {
            all.with([m.tries, m.bad, m.time_ms])
        });
        let (usual, sure) = (
            all.bad_share().clamp(FAIL_USUAL, 0.99),
            1.0 + (ids.len() as f64).ln(),
        );
        let fail_share = if overloaded {
            UNRESPONSIVE_SHARE
        } else {
            FAIL_SHARE.max(FAIL_FACTOR * usual)
        };
        let failing = |m: &AttemptStats| m.bad_share() > fail_share && m.significance(usual) > sure;
        let ratio = if overloaded {
            SLOW_RATIO_THROTTLED
        } else {
            SLOW_RATIO
        };
        let strain_ms = (ratio * median).max(SLOW_TARGET_SHARE * aim_ms);
        let mut changed = false;
        for (id, met) in ids.into_iter().zip(met) {
            // With few samples per controller, use a longer window.
            let long = if met.good() < SLOW_MIN_TRIES {
                2.0 * SPAN_MS
            } else {
                SPAN_MS
            };
            let good = self.stats_at(now, id, long);
            let server = &self.servers[&id];
            let age = now - server.since_ms;
            let slow = good.good() >= SLOW_MIN_TRIES && good.mean_ms() > strain_ms;
            let used = server.part > 0.0 && age >= SPAN_MS;
            let cue = match server.phase {
                Phase::Ejected if age >= server.ejection_ms => HealthEvent::EjectionEnded,
                Phase::Ramping if parts::ramped_share(now, server, 0.0, by) >= 1.0 => {
                    HealthEvent::RampEnded
                }
                // Crashed, hung, unreachable or erroring servers. If all servers fail alike, none is ejected.
                _ if used && met.tries >= FAIL_MIN_TRIES && failing(&met) => {
                    if server.listed.stage == Stage::Gone {
                        HealthEvent::Departed
                    } else {
                        HealthEvent::Failing
                    }
                }
                // Slow machines, noisy neighbours or standing queues. Expensive requests can cause false positives.
                _ if used && age >= long && slow => HealthEvent::Slow,
                _ => continue,
            };
            changed |= self.transition(now, id, cue, log);
        }
        changed
    }
}
