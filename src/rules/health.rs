//! What the list says of the servers, and which of them are sound.

use crate::{interface::*, rules::parts, state::*};
use std::collections::BTreeSet;

const HEALTH: &[(Phase, Cue, Phase, Turn)] = &[
    (Phase::Warm, Cue::Starts, Phase::Ramping, Turn::Enter),
    (Phase::Ramping, Cue::Starts, Phase::Ramping, Turn::Enter),
    (Phase::Struck, Cue::Starts, Phase::Ramping, Turn::Enter),
    (Phase::Leaving, Cue::Starts, Phase::Ramping, Turn::Enter),
    (Phase::Leaving, Cue::Returns, Phase::Ramping, Turn::Reenter),
    (Phase::Warm, Cue::Departs, Phase::Leaving, Turn::Shut),
    (Phase::Ramping, Cue::Departs, Phase::Leaving, Turn::Shut),
    (Phase::Struck, Cue::Departs, Phase::Leaving, Turn::Shut),
    (Phase::Warm, Cue::Fails, Phase::Struck, Turn::Hold),
    (Phase::Ramping, Cue::Fails, Phase::Struck, Turn::Hold),
    (Phase::Warm, Cue::Strains, Phase::Ramping, Turn::Trim),
    (Phase::Ramping, Cue::Strains, Phase::Ramping, Turn::Trim),
    (Phase::Struck, Cue::HoldEnds, Phase::Ramping, Turn::Reenter),
    (Phase::Ramping, Cue::RampEnds, Phase::Warm, Turn::Settle),
];

pub(super) const SPAN_MS: f64 = 3_000.0;
const HOLD_MS: f64 = 5_000.0;
const HOLD_MOST_MS: f64 = 20_000.0;
/// A server fails when over this share of its tries is bad, and so much more than the fleet's usual that
/// chance would hardly show it at any one of so many. Fixed counts struck sound servers in a jam.
const FAIL_SHARE: f64 = 0.5;
const FAIL_TRIES: f64 = 4.0;
const FAIL_FACTOR: f64 = 1.5;
const FAIL_USUAL: f64 = 0.02;
/// What answers next to nothing is a server's trouble and no jam.
pub(super) const DEAD_SHARE: f64 = 0.9;
/// It strains when good answers take so many times the fleet's median, and this of the target.
const STRAIN_RATIO: f64 = 1.6;
/// In a jam it takes more, lest trims rove through a full fleet.
const STRAIN_IN_JAM: f64 = 3.0;
const STRAIN_PART: f64 = 0.5;
const STRAIN_TRIES: f64 = 8.0;
const TRIM_TO: f64 = 0.75;

impl Fleet {
    /// Where a list that merely drops a server doesn't bind (`soft`), such a one stays while it gives good
    /// answers. Guards against wrong lists. Harm: one gone for good is sent to until it is heard to fail.
    pub(super) fn take(
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
            let fails = self.met_at(now, id, SPAN_MS).bad_share() > FAIL_SHARE;
            if let Some(known) = self.servers.get_mut(&id) {
                let cue = match (ready, line.started_ms > known.listed.started_ms) {
                    (false, _) => Cue::Departs,
                    (true, true) => Cue::Starts,
                    (true, false) => Cue::Returns,
                };
                known.listed = if ready {
                    line.clone()
                } else {
                    ServerEntry {
                        stage: line.stage,
                        ..gone(known)
                    }
                };
                if !(soft && line.stage == Stage::Gone && known.phase != Phase::Struck && !fails) {
                    self.turn(now, id, cue, log);
                }
                continue;
            }
            // At our own start a server without a date has served for long; later on it is new.
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
            let (listed, hold_ms, part) = (line.clone(), HOLD_MS, parts::ENTRY_PART);
            self.servers.insert(
                id,
                Server {
                    listed,
                    phase,
                    since_ms: now,
                    ramp_from_ms,
                    hold_ms,
                    part,
                },
            );
            self.withdrawals.extend((!ready).then_some((id, true)));
        }
    }

    /// Takes one step of the health table; false where it has none.
    fn turn(&mut self, now: f64, id: ServerId, cue: Cue, log: &mut Log) -> bool {
        let met = self.met_at(now, id, SPAN_MS);
        let Some(server) = self.servers.get_mut(&id) else {
            return false;
        };
        let from = server.phase;
        let row = HEALTH.iter().find(|row| row.0 == from && row.1 == cue);
        let Some(&(_, _, next, turn)) = row else {
            return false;
        };
        match turn {
            Turn::Enter => {
                server.ramp_from_ms = server.listed.started_ms - parts::RAMP_MS;
                self.heard.retain(|(at, _), _| *at != id);
            }
            Turn::Reenter => server.ramp_from_ms = now,
            Turn::Trim => {
                let grown = (server.part * TRIM_TO - parts::ENTRY_PART).max(0.0)
                    / (1.0 - parts::ENTRY_PART);
                server.ramp_from_ms = now - parts::RAMP_MS * grown;
            }
            Turn::Hold => {
                let again = from == Phase::Ramping && now - server.since_ms < server.hold_ms;
                server.hold_ms = if again {
                    (2.0 * server.hold_ms).min(HOLD_MOST_MS)
                } else {
                    HOLD_MS
                };
            }
            Turn::Shut | Turn::Settle => {}
        }
        (server.phase, server.since_ms) = (next, now);
        if (from == Phase::Leaving) != (next == Phase::Leaving) {
            self.withdrawals.insert(id, next == Phase::Leaving);
        }
        if turn != Turn::Settle {
            log.push(format!(
                "server {} {from:?} -> {next:?} on {cue:?}: {met}",
                format_server(id)
            ));
        }
        true
    }

    /// Judges every server by what was heard; true when one changed.
    pub(super) fn judge(
        &mut self,
        now: f64,
        aim_ms: f64,
        jam: bool,
        by: &SafetyBounds,
        log: &mut Log,
    ) -> bool {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        let met: Vec<Met> = ids
            .iter()
            .map(|id| self.met_at(now, *id, SPAN_MS))
            .collect();
        let means = met
            .iter()
            .filter(|m| m.good() >= 3.0)
            .map(Met::mean_ms)
            .collect();
        let median = quantile(means, 0.5).unwrap_or(f64::INFINITY);
        let all = met.iter().fold(Met::default(), |all, m| {
            all.with([m.tries, m.bad, m.time_ms])
        });
        let (usual, sure) = (
            all.bad_share().clamp(FAIL_USUAL, 0.99),
            1.0 + (ids.len() as f64).ln(),
        );
        let fail_share = if jam {
            DEAD_SHARE
        } else {
            FAIL_SHARE.max(FAIL_FACTOR * usual)
        };
        let failing = |m: &Met| m.bad_share() > fail_share && m.against(usual) > sure;
        let ratio = if jam { STRAIN_IN_JAM } else { STRAIN_RATIO };
        let strain_ms = (ratio * median).max(STRAIN_PART * aim_ms);
        let mut changed = false;
        for (id, met) in ids.into_iter().zip(met) {
            // Of several controllers each hears little of a server: then over a longer time.
            let long = if met.good() < STRAIN_TRIES {
                2.0 * SPAN_MS
            } else {
                SPAN_MS
            };
            let good = self.met_at(now, id, long);
            let server = &self.servers[&id];
            let age = now - server.since_ms;
            let slow = good.good() >= STRAIN_TRIES && good.mean_ms() > strain_ms;
            let used = server.part > 0.0 && age >= SPAN_MS;
            let cue = match server.phase {
                Phase::Struck if age >= server.hold_ms => Cue::HoldEnds,
                Phase::Ramping if parts::part_of(now, server, 0.0, by) >= 1.0 => Cue::RampEnds,
                // Against what is crashed, hung, cut off or fakes errors. Harm: where all fail, none is.
                _ if used && met.tries >= FAIL_TRIES && failing(&met) => {
                    if server.listed.stage == Stage::Gone {
                        Cue::Departs
                    } else {
                        Cue::Fails
                    }
                }
                // Against slow machines, neighbours, standing queues. Harm: dear reqs cost a sound one.
                _ if used && age >= long && slow => Cue::Strains,
                _ => continue,
            };
            changed |= self.turn(now, id, cue, log);
        }
        changed
    }
}
