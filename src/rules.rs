//! The decisions of rookpulley, all of them.
//!
//! A front hands `Controller::new` what a start brings, then calls `Controller::handle` with the clock and
//! what came in; the answer is the list of orders, to be carried out in that order at that time. A killed
//! controller starts over from its list alone. The interface is `facts.rs`; `ring.rs` keeps sums over time.

use crate::facts::*;
use crate::ring::Buckets;
pub use crate::state::Controller;
use crate::state::*;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

const ROUND_MS: f64 = 1_000.0;
const ROUND: u64 = 1;
const ASK_AGAIN: u64 = 2;
/// What can't wait for the round goes out this often at most, so that it goes in few messages.
const BEAT_MS: f64 = 200.0;
const BEAT: u64 = 3;
const ASK_MOST_MS: f64 = 8_000.0;

// ---- List & health ------------------------------------------------------------------------
/// State, input, next state, effect. What is not here changes nothing.
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

const HEALTH_SPAN_MS: f64 = 3_000.0;
const HOLD_MS: f64 = 5_000.0;
const HOLD_MOST_MS: f64 = 20_000.0;
/// A server fails when over this share of its tries is bad, and so much more than the fleet's usual that
/// chance would hardly show it at any one of so many. Fixed counts struck sound servers in a jam.
const FAIL_SHARE: f64 = 0.5;
const FAIL_TRIES: f64 = 4.0;
const FAIL_FACTOR: f64 = 1.5;
const FAIL_USUAL: f64 = 0.02;
/// What answers next to nothing is a server's trouble and no jam.
const DEAD_SHARE: f64 = 0.9;
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
    fn take_list(&mut self, now: f64, scope: ListScope, lines: &[Listed], soft: bool, log: &mut Log) {
        let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
        let whole = matches!(scope, ListScope::Full | ListScope::Cached);
        let gone = |s: &Server| Listed { stage: Stage::Gone, ..s.listed.clone() };
        let missing = self.servers.iter().filter(|(id, _)| whole && !named.contains(*id));
        let missing: Vec<Listed> = missing.map(|(_, s)| gone(s)).collect();
        for line in lines.iter().chain(&missing) {
            let (id, ready, dated) = (line.server, line.stage == Stage::Ready, line.started_ms > 0.0);
            let fails = self.met_at(now, id, HEALTH_SPAN_MS).bad_share() > FAIL_SHARE;
            if let Some(known) = self.servers.get_mut(&id) {
                let cue = match (ready, line.started_ms > known.listed.started_ms) {
                    (false, _) => Cue::Departs,
                    (true, true) => Cue::Starts,
                    (true, false) => Cue::Returns,
                };
                known.listed = if ready { line.clone() } else { Listed { stage: line.stage, ..gone(known) } };
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
            let ramp_from_ms = if dated { line.started_ms - RAMP_MS } else { now };
            let (listed, hold_ms, part) = (line.clone(), HOLD_MS, ENTRY_PART);
            self.servers.insert(id, Server { listed, phase, since_ms: now, ramp_from_ms, hold_ms, part });
            if !ready {
                self.withdrawals.insert(id, true);
            }
        }
    }

    /// Takes one step of the health table; false where it has none.
    fn turn(&mut self, now: f64, id: ServerId, cue: Cue, log: &mut Log) -> bool {
        let met = self.met_at(now, id, HEALTH_SPAN_MS);
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let from = server.phase;
        let Some(&(_, _, next, turn)) = HEALTH.iter().find(|row| row.0 == from && row.1 == cue) else {
            return false;
        };
        match turn {
            Turn::Enter => {
                server.ramp_from_ms = server.listed.started_ms - RAMP_MS;
                self.heard.retain(|(at, _), _| *at != id);
            }
            Turn::Reenter => server.ramp_from_ms = now,
            Turn::Trim => {
                let grown = (server.part * TRIM_TO - ENTRY_PART).max(0.0) / (1.0 - ENTRY_PART);
                server.ramp_from_ms = now - RAMP_MS * grown;
            }
            Turn::Hold => {
                let again = from == Phase::Ramping && now - server.since_ms < server.hold_ms;
                server.hold_ms = if again { (2.0 * server.hold_ms).min(HOLD_MOST_MS) } else { HOLD_MS };
            }
            Turn::Shut | Turn::Settle => {}
        }
        (server.phase, server.since_ms) = (next, now);
        if (from == Phase::Leaving) != (next == Phase::Leaving) {
            self.withdrawals.insert(id, next == Phase::Leaving);
        }
        if turn != Turn::Settle {
            log.push(format!("server {} {from:?} -> {next:?} on {cue:?}: {met}", show(id)));
        }
        true
    }

    /// Judges every server by what was heard; true when one changed.
    fn judge(&mut self, now: f64, target_ms: f64, jam: bool, bounds: &RuleBounds, log: &mut Log) -> bool {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        let met: Vec<Met> = ids.iter().map(|id| self.met_at(now, *id, HEALTH_SPAN_MS)).collect();
        let means = met.iter().filter(|m| m.good() >= 3.0).map(Met::mean_ms).collect();
        let median = quantile(means, 0.5).unwrap_or(f64::INFINITY);
        let all = met.iter().fold(Met::default(), |all, m| all.with([m.tries, m.bad, m.time_ms]));
        let (usual, sure) = (all.bad_share().clamp(FAIL_USUAL, 0.99), 1.0 + (ids.len() as f64).ln());
        let fail_share = if jam { DEAD_SHARE } else { FAIL_SHARE.max(FAIL_FACTOR * usual) };
        let failing = |m: &Met| m.bad_share() > fail_share && m.against(usual) > sure;
        let ratio = if jam { STRAIN_IN_JAM } else { STRAIN_RATIO };
        let strain_ms = (ratio * median).max(STRAIN_PART * target_ms);
        let mut changed = false;
        for (id, met) in ids.into_iter().zip(met) {
            // Of several controllers each hears little of a server: then over a longer time.
            let long = if met.good() < STRAIN_TRIES { 2.0 * HEALTH_SPAN_MS } else { HEALTH_SPAN_MS };
            let good = self.met_at(now, id, long);
            let server = &self.servers[&id];
            let age = now - server.since_ms;
            let used = server.part > 0.0 && age >= HEALTH_SPAN_MS;
            let cue = match server.phase {
                Phase::Struck if age >= server.hold_ms => Cue::HoldEnds,
                Phase::Ramping if part_of(now, server, 0.0, bounds) >= 1.0 => Cue::RampEnds,
                // Against what is crashed, hung, cut off or fakes errors. Harm: where all fail, none is.
                _ if used && met.tries >= FAIL_TRIES && failing(&met) => {
                    if server.listed.stage == Stage::Gone { Cue::Departs } else { Cue::Fails }
                }
                // Against slow machines, neighbours, standing queues. Harm: dear reqs cost a sound one.
                _ if used && age >= long && good.good() >= STRAIN_TRIES && good.mean_ms() > strain_ms => {
                    Cue::Strains
                }
                _ => continue,
            };
            changed |= self.turn(now, id, cue, log);
        }
        changed
    }
}

// ---- Demand -------------------------------------------------------------------------------
const OFF_SHARE: f64 = 0.5;
const OFF_FOR_MS: f64 = 10_000.0;
const ZONE_OFF: f64 = 0.2;
const USAGE_SPAN_MS: f64 = 8_000.0;
const LEVEL_SPAN_MS: f64 = 4_000.0;
/// A proxy that nobody has named for this long brings nothing any more; a server that is gone does nothing.
const FORGET_MS: f64 = 10_000.0;
const NAMED_EVERY_MS: f64 = 3_000.0;

impl Demand {
    /// Resizes the arcs of proxies whose share stayed far off for long; drops the forgotten.
    fn resize(&mut self, now: f64, log: &mut Log) {
        self.proxies.retain(|_, p| p.joined || now - p.seen_ms < FORGET_MS);
        let known = |p: &Proxy| p.joined && now - p.joined_ms >= USAGE_SPAN_MS + 2.0 * ROUND_MS;
        let (mut sized, mut met) = (0.0, 0.0);
        for p in self.proxies.values_mut().filter(|p| known(p)) {
            p.met_per_s = p.came.over(now, USAGE_SPAN_MS).iter().sum::<f64>() / USAGE_SPAN_MS * 1e3;
            (sized, met) = (sized + p.sized_per_s, met + p.met_per_s);
        }
        for (id, p) in self.proxies.iter_mut().filter(|(_, p)| known(p) && met > 0.0) {
            let fair = p.met_per_s * sized / met;
            if (fair - p.sized_per_s).abs() <= OFF_SHARE * p.sized_per_s {
                p.off_since_ms = None;
            } else if now - *p.off_since_ms.get_or_insert(now) >= OFF_FOR_MS {
                log.push(format!("proxy {id} arc resized: {:.2} -> {fair:.2} reqs/s", p.sized_per_s));
                (p.sized_per_s, p.off_since_ms) = (fair.max(0.01), None);
                p.places.clear();
            }
        }
    }

    /// The part of the fleet's reqs that comes to our proxies, each unknown one taken as a mean one.
    fn part_of_all(&self, proxies: f64) -> f64 {
        let known: f64 = self.proxies.values().map(|p| p.met_per_s).sum();
        let own: f64 = self.proxies.values().filter(|p| p.joined).map(|p| p.met_per_s).sum();
        let count = self.proxies.len().max(1) as f64;
        (own / known.max(1e-9) * (count / proxies).min(1.0)).max(1e-3)
    }

    /// The zones' shares of the demand, held until one is well off.
    fn zones_held(&mut self, zone_of: impl Fn(ZoneId) -> ZoneId) -> Shares {
        let all: f64 = self.proxies.values().map(|p| p.met_per_s).sum::<f64>().max(1e-9);
        let mut met = BTreeMap::new();
        for p in self.proxies.values() {
            *met.entry(zone_of(p.zone)).or_insert(0.0) += p.met_per_s / all;
        }
        let held = |z: &ZoneId| self.zones.get(z).copied().unwrap_or(0.0);
        let off = |(z, m): (&ZoneId, &f64)| (m - held(z)).abs() > ZONE_OFF * held(z);
        if met.iter().any(off) || self.zones.len() != met.len() {
            self.zones = met;
        }
        self.zones.clone()
    }

    /// The share of the reqs that are of these kinds, in steps so that it holds still.
    fn share_of(&mut self, now: f64, some: &[KindId], kinds: usize) -> f64 {
        let came = self.came.over(now, 20_000.0);
        let total: f64 = came.iter().sum();
        let met = some.iter().map(|k| came[*k]).sum::<f64>() / total.max(1.0);
        let share = if total < 50.0 { some.len() as f64 / kinds as f64 } else { met };
        in_steps(share).max(1.0 / STEPS)
    }

    /// The mean response target of the reqs that come.
    fn usual_target_ms(&mut self, now: f64, kinds: &[ReqKind]) -> f64 {
        let came = self.came.over(now, LEVEL_SPAN_MS);
        let total: f64 = came.iter().sum::<f64>() + 1e-3 * kinds.len() as f64;
        kinds.iter().zip(came).map(|(k, c)| k.response_target_ms * (c + 1e-3) / total).sum()
    }
}

// ---- Arcs ---------------------------------------------------------------------------------
/// A mean proxy's arc reaches over as many servers as spread it so that laying it loads none by over this
/// part of its share; but all proxies together leave servers most of the connections they accept, and one
/// controller's proxies can be written anew in a part of its queue.
const LAID_PART: f64 = 0.05;
const CONNS_PART: f64 = 0.3;
const WRITE_PART: f64 = 0.2;
const LINES_LEAST: f64 = 4.0;
/// Zones are kept apart where crossing them costs more than this; how unevenly goes by that price.
const NEAR_PRICE: f64 = 0.02;
const SLACK_PER_PRICE: f64 = 1.0;
const STEPS: f64 = 8.0;

fn in_steps(x: f64) -> f64 {
    (x * STEPS).round() / STEPS
}

/// Says which part of a zone's demand goes where: home first, the rest by room. All are shares of the whole.
fn flows_of(zone: ZoneId, demand: &Shares, room: &Shares, slack: f64) -> Shares {
    let room_of = |z: &ZoneId| room.get(z).copied().unwrap_or(0.0) * (1.0 + slack);
    let wanted = |z: &ZoneId| demand.get(z).copied().unwrap_or(0.0);
    let home = (room_of(&zone) / wanted(&zone).max(1e-9)).min(1.0);
    if home > 1.0 - 0.5 / STEPS {
        return BTreeMap::from([(zone, 1.0)]);
    }
    let left: Vec<_> = room.keys().map(|z| (*z, (room_of(z) - wanted(z)).max(0.0))).collect();
    let all_left: f64 = left.iter().map(|l| l.1).sum::<f64>().max(1e-9);
    let mut flows: BTreeMap<_, _> =
        left.iter().map(|(z, l)| (*z, in_steps((1.0 - home) * l / all_left))).collect();
    *flows.entry(zone).or_insert(0.0) += in_steps(home);
    flows.retain(|_, part| *part > 0.0);
    flows
}

/// How many servers a mean proxy's arc reaches over, in coarse steps so that it holds still.
fn lines_for(ring: f64, own: f64, by_conns: f64, pace: &ChannelFacts) -> f64 {
    let by_queue = WRITE_PART * pace.backlog_lines / own - pace.head_lines;
    let most = (ring / own / LAID_PART).min(by_conns).min(by_queue).max(LINES_LEAST);
    ((most.log2() * 2.0).round() / 2.0).exp2()
}

/// Where a new arc starts: at the server that the arcs laid so far load least.
fn least_loaded(ring: &[&Listed], loads: &Lines) -> ServerId {
    let load = |l: &Listed| loads.get(&l.server).copied().unwrap_or(0.0);
    ring.iter().min_by(|a, b| load(a).total_cmp(&load(b))).map_or_else(ServerId::default, |l| l.server)
}

/// One arc: so many mean servers of a ring, from a place on it onwards, at their listed weights.
fn cut_arc(ring: &[&Listed], from: ServerId, lines: f64) -> Lines {
    let wanted = lines * ring.iter().map(|l| l.weight).sum::<f64>() / ring.len() as f64;
    let first = ring.partition_point(|l| l.server < from);
    let (mut reached, mut arc) = (0.0, Lines::new());
    for listed in ring[first..].iter().chain(&ring[..first]) {
        if reached + listed.weight / 2.0 > wanted && reached > 0.0 {
            break;
        }
        reached += listed.weight;
        arc.insert(listed.server, listed.weight);
    }
    arc
}

// ---- Revisions ----------------------------------------------------------------------------
const DEPTH: usize = 10;
const TAINT_SPAN_MS: f64 = 3_000.0;
const TAINT_FACTOR: f64 = 2.0;
const TAINT_SHARE: f64 = 0.05;
const TAINT_TRIES: f64 = 20.0;

/// State, input, next state, effect. A taint rolls back: the newest sound revision is the one published.
const REVISIONS: &[(Standing, Verdict, Standing, Filing)] = &[
    (Standing::Unknown, Verdict::Proposed, Standing::Sound, Filing::Append),
    (Standing::Sound, Verdict::Proposed, Standing::Sound, Filing::MoveNewest),
    (Standing::Tainted, Verdict::Proposed, Standing::Sound, Filing::MoveNewest),
    (Standing::Sound, Verdict::Failed, Standing::Tainted, Filing::Keep),
    (Standing::Unknown, Verdict::Recalled, Standing::Held, Filing::Append),
    (Standing::Sound, Verdict::Recalled, Standing::Held, Filing::MoveNewest),
    (Standing::Tainted, Verdict::Recalled, Standing::Held, Filing::MoveNewest),
    (Standing::Held, Verdict::Failed, Standing::Tainted, Filing::Keep),
    (Standing::Held, Verdict::Released, Standing::Sound, Filing::Keep),
    (Standing::Sound, Verdict::Released, Standing::Sound, Filing::MoveNewest),
];

impl Table {
    fn file(&mut self, name: u64, verdict: Verdict, lines: Lines) {
        let at = self.revisions.iter().position(|r| r.name == name);
        let from = at.map_or(Standing::Unknown, |k| self.revisions[k].standing);
        let row = REVISIONS.iter().find(|row| row.0 == from && row.1 == verdict);
        match (row, at) {
            (Some((_, _, standing, Filing::MoveNewest)), Some(k)) => {
                let revision = self.revisions.remove(k);
                self.revisions.push(Revision { standing: *standing, ..revision });
            }
            (Some((_, _, standing, Filing::Keep)), Some(k)) => self.revisions[k].standing = *standing,
            (Some((_, _, standing, Filing::Append)), _) => {
                self.revisions.push(Revision { name, lines, standing: *standing });
            }
            _ => {}
        }
        let over = self.revisions.len().saturating_sub(DEPTH);
        let oldest = self.revisions.extract_if(.., |r| r.standing != Standing::Held);
        oldest.take(over).for_each(drop);
    }

    fn propose(&mut self, lines: Lines) {
        let name = name_of(&lines);
        if name != self.cut && !lines.is_empty() {
            self.cut = name;
            self.file(name, Verdict::Proposed, lines);
        }
    }

    /// The newest untainted revision, or the newest where all are tainted; an operator's way back aside.
    fn newest(&self) -> Option<&Revision> {
        let sound = self.revisions.iter().rfind(|r| r.standing == Standing::Sound);
        sound.or(self.revisions.iter().rfind(|r| r.standing != Standing::Held))
    }

    /// Ends a way back, if there is one; the lines last cut are the newest again unless they are tainted.
    fn release(&mut self) -> bool {
        let names = self.recalled().map(|r| [r.name, self.cut]);
        names.into_iter().flatten().for_each(|name| self.file(name, Verdict::Released, Lines::new()));
        std::mem::take(&mut self.back)
    }

    /// Taints the published revision when tries fail at its servers after the push. Failures at servers that
    /// are struck don't count: one bad server would taint every revision that names it.
    fn judge(&mut self, now: f64, period_ms: f64, zone: ZoneId, fleet: &mut Fleet) -> Option<String> {
        let trial = self.trial.take_if(|t| now >= t.from_ms + period_ms + TAINT_SPAN_MS)?;
        let met = fleet.met_on(now, zone, &self.held, TAINT_SPAN_MS);
        let (bad, prior) = (met.bad_share(), trial.prior_bad);
        if met.tries < TAINT_TRIES || bad <= TAINT_SHARE || bad <= TAINT_FACTOR * prior {
            return None;
        }
        let (id, was) = (self.id, self.published);
        self.file(was, Verdict::Failed, Lines::new());
        let next = self.recalled().or_else(|| self.newest())?;
        let (sound, to) = (next.standing == Standing::Sound, next.name);
        let what = if sound { "rolled back to" } else { "all tainted, keeps" };
        Some(format!("table {id} revision {was:016x} tainted, {what} {to:016x}: {met}, prior {prior:.3}"))
    }
}

// ---- Ramp ---------------------------------------------------------------------------------
const RAMP_MS: f64 = 30_000.0;
const ENTRY_PART: f64 = 0.25;
/// In a jam a cold server waits until it is sure to stand this many times its full work.
const SURE_IN_JAM: f64 = 2.0;
/// The same while nobody knows yet.
const SURE_UNKNOWN: f64 = 3.0;

/// The part of its listed weight that a server may have now.
fn part_of(now: f64, server: &Server, sure_multiple: f64, bounds: &RuleBounds) -> f64 {
    let Phase::Ramping = server.phase else {
        return if server.phase == Phase::Warm { 1.0 } else { 0.0 };
    };
    // In a jam proxies crowd whichever server does not fail them. Harm: a cold zone is used later.
    let age = now - server.listed.started_ms;
    let sure = bounds.cold_share + (1.0 - bounds.cold_share) * (age / bounds.cold_ms).clamp(0.0, 1.0);
    if sure < 1.0 && sure * bounds.fall_multiple < sure_multiple {
        return 0.0;
    }
    let grown = ENTRY_PART + (1.0 - ENTRY_PART) * (now - server.ramp_from_ms).max(0.0) / RAMP_MS;
    ((grown.min(sure) * STEPS).floor() / STEPS).clamp(ENTRY_PART, 1.0)
}

// ---- Channel pacing -----------------------------------------------------------------------
/// How much of the limits deltas may use up, and tables for proxies that have none.
const DELTAS_PART: f64 = 0.5;
const BARE_PART: f64 = 0.8;
/// Withdrawals may use up this much of the queue; the rest is for lines that let a server back uncounted.
const WITHDRAWN_PART: f64 = 0.9;
/// So much of the grace may pass before a withdrawal is through.
const GRACE_PART: f64 = 0.8;
/// Answers show what has left the channel; till then it is taken to run slow, more so while one is late.
const SLOW_PART: f64 = 0.25;
const OVERDUE_PART: f64 = 0.05;
const OVERDUE: f64 = 2.0;

impl Channel {
    fn pass_time(&mut self, now: f64, lines_per_s: f64, transit_most_ms: f64) {
        let overdue = self.waiting() > 0.0 && now - self.moved_ms > OVERDUE * transit_most_ms;
        let part = if overdue { OVERDUE_PART } else { SLOW_PART };
        let sent = (now - self.as_of_ms) / 1e3 * lines_per_s * part;
        (self.left, self.as_of_ms) = ((self.left + sent).min(self.written), now);
    }
}

// ---- Retries & levels ---------------------------------------------------------------------
/// State, input, next state, effect.
const LEVELS: &[(Mode, Flow, Mode, Valve)] = &[
    (Mode::Open, Flow::Jams, Mode::Tight, Valve::Cut),
    (Mode::Open, Flow::Refuses, Mode::Open, Valve::Narrow),
    (Mode::Open, Flow::Slack, Mode::Open, Valve::Widen),
    (Mode::Tight, Flow::Jams, Mode::Tight, Valve::Lower),
    (Mode::Tight, Flow::Refuses, Mode::Tight, Valve::Narrow),
    (Mode::Tight, Flow::Flows, Mode::Tight, Valve::Raise),
    (Mode::Tight, Flow::Slack, Mode::Open, Valve::Release),
];

const STEP_MS: f64 = 2000.0;
const JAM_SPAN_MS: f64 = 3_000.0;
const JAM_TRIES: f64 = 20.0;
/// The fleet jams when so many tries are bad, or good ones take so much of the response target.
const JAM_BAD: f64 = 0.2;
const JAM_PART: f64 = 0.5;
/// It does not jam where so much of the fleet answers sooner; less where no level can ease it.
const CALM_FLEET: f64 = 0.67;
const CALM_FLEET_UNEASED: f64 = 0.5;
const OPEN_PART: f64 = 0.65;
const QUEUE_BASE: f64 = 0.45;
const CUT_TO: f64 = 0.9;
/// A first cut is no deeper than this part of what was once done well.
const CUT_LEAST: f64 = 0.6;
/// More than impatient clients alone give up.
const REFUSED_BAD: f64 = 0.33;
/// Where connections are refused arcs are narrowed to no less than this, and widened so slowly.
const REACH_LEAST: f64 = 0.125;
const WIDEN_MS: f64 = 12_000.0;
const RAISE_BY: f64 = 1.05;
const EASY_BY: f64 = 1.3;
const SLACK_OVER: f64 = 1.2;
/// Of each kind so much is let in whatever its value.
const LEAST_PART: f64 = 0.05;
const EVERYTHING: f64 = 1e6;

impl Valves {
    fn step(&mut self, now: f64, met: Met, held: Option<f64>, target_ms: f64, came: f64) -> Option<String> {
        // Too few reqs tell nothing: then calm is not known either.
        if self.mode == Mode::Open && met.tries < JAM_TRIES {
            self.stepped_ms = self.stepped_ms.max(now + STEP_MS);
        }
        let pause_ms = if self.mode == Mode::Open && self.reach == 1.0 { 0.0 } else { STEP_MS };
        if now < self.stepped_ms + pause_ms || met.tries < JAM_TRIES {
            return None;
        }
        let done_per_s = met.good() / JAM_SPAN_MS * 1e3;
        // Once levels are set, what was let in before them still comes in late; reports tell sooner.
        let (late_ms, bad_now) = match (self.mode, held) {
            (Mode::Tight, Some(held_ms)) => (held_ms, 0.0),
            // Bad tries at servers that report little to do are no jam.
            (_, Some(held_ms)) if held_ms < JAM_PART * target_ms => (met.mean_ms(), 0.0),
            (_, held) => (met.mean_ms().max(OPEN_PART * held.unwrap_or(0.0)), met.bad_share()),
        };
        let flow = match bad_now > JAM_BAD || late_ms > JAM_PART * target_ms {
            true => Flow::Jams,
            false if held.is_some() && met.bad_share() > REFUSED_BAD => Flow::Refuses,
            false if self.allowed_per_s > SLACK_OVER * came => Flow::Slack,
            false => Flow::Flows,
        };
        if flow != Flow::Jams {
            self.able_per_s = self.able_per_s.max(done_per_s);
        }
        let row = LEVELS.iter().find(|row| row.0 == self.mode && row.1 == flow)?;
        let raise = (JAM_PART * target_ms / late_ms.max(1.0)).clamp(RAISE_BY, EASY_BY);
        self.allowed_per_s = match row.3 {
            Valve::Cut => (CUT_TO * done_per_s.min(came)).max(CUT_LEAST * self.able_per_s),
            Valve::Lower => CUT_TO * (self.allowed_per_s + done_per_s) / 2.0,
            // What is allowed runs away from what is done where it binds nothing.
            Valve::Raise => {
                let raised = raise * self.allowed_per_s.min(SLACK_OVER * done_per_s);
                self.allowed_per_s.max(raised).max((self.allowed_per_s + self.able_per_s) / 2.0)
            }
            Valve::Narrow if came > self.allowed_per_s => raise * self.allowed_per_s,
            Valve::Narrow | Valve::Widen => self.allowed_per_s,
            Valve::Release => EVERYTHING,
        };
        // Against idle servers that refuse connections. Harm: after a loss arcs are less even for a while.
        let reach_was = self.reach;
        self.reach = match row.3 {
            Valve::Narrow => (self.reach / 2.0).max(REACH_LEAST),
            Valve::Widen if now >= self.stepped_ms + WIDEN_MS => (self.reach * 2.0).min(1.0),
            Valve::Widen => return None,
            _ => self.reach,
        };
        let (was, to, lets, arcs) = (self.mode, row.2, self.allowed_per_s, self.reach);
        (self.mode, self.stepped_ms) = (row.2, now);
        let why = format!("{met}, came {came:.0}, lets in {lets:.0} reqs/s, arcs at {arcs:.3}");
        (to != was || arcs != reach_was).then(|| format!("levels {was:?} -> {to:?}: {why}"))
    }
}

/// The level at each proxy by which so much of their reqs is let in: it shaves the heaviest.
fn level_for(mut rates: Vec<f64>, allowed: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let (mut left, mut others) = (allowed, rates.len() as f64);
    for rate in rates {
        if rate >= left / others {
            return left / others;
        }
        (left, others) = (left - rate, others - 1.0);
    }
    EVERYTHING
}

/// Kinds that may go to the same servers share tables.
fn group_kinds(kinds: &[ReqKind]) -> Vec<KindGroup> {
    let mut groups: Vec<KindGroup> = Vec::new();
    for (id, kind) in kinds.iter().enumerate() {
        let place = |k: &ReqKind| (k.zones.clone(), k.machines.clone(), k.own_zone);
        match groups.iter_mut().find(|g| place(&g.like) == place(kind)) {
            Some(group) => group.kinds.push(id),
            None => groups.push(KindGroup { kinds: vec![id], like: kind.clone() }),
        }
    }
    // The most bound kinds take their room first.
    groups.sort_by_key(|g| g.like.zones.is_empty() && g.like.machines.is_empty() && !g.like.own_zone);
    groups
}

// ---- The controller and its gate ----------------------------------------------------------
impl Controller {
    pub fn new(now: f64, start: Start) -> Self {
        let groups = group_kinds(&start.kinds[..start.kinds.len().min(KINDS)]);
        let mut new = Self::blank(now, start, groups);
        (new.ask_again_ms, new.valves.allowed_per_s, new.valves.reach) = (ROUND_MS, EVERYTHING, 1.0);
        // What is done each second is not known before reports cover the span; and up to the first round
        // proxies are still joining and peers' notes on their way.
        (new.valves.stepped_ms, new.beat_ms) = (now + 2.0 * JAM_SPAN_MS, now + 2.0 * ROUND_MS);
        new
    }

    /// Takes in what came and answers with orders.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Effect> {
        let mut out = Vec::new();
        if !self.started {
            self.started = true;
            out.push(Effect::Alarm { in_ms: ROUND_MS, name: ROUND });
            out.extend(self.list_asked.then_some(Effect::Watch { on: true }));
        }
        inputs.iter().for_each(|input| self.take(now, input, &mut out));
        let asks = |i: &Input| matches!(i, Input::GoBack { .. } | Input::Release { .. } | Input::Lost { .. });
        self.hasty |= inputs.iter().any(asks);
        let round = inputs.iter().any(|i| matches!(i, Input::Alarm { name: ROUND }));
        if round || inputs.iter().any(|i| matches!(i, Input::Heard { .. })) {
            let target_ms = self.demand.usual_target_ms(now, &self.kinds);
            let jam = self.valves.mode == Mode::Tight;
            self.hasty |= self.fleet.judge(now, target_ms, jam, &self.bounds, &mut self.log);
        }
        if round {
            out.push(Effect::Alarm { in_ms: ROUND_MS, name: ROUND });
            self.demand.resize(now, &mut self.log);
            for ((proxy, _), table) in &mut self.tables {
                let Some(p) = self.demand.proxies.get(proxy) else { continue };
                self.log.extend(table.judge(now, self.means.report_period_ms, p.zone, &mut self.fleet));
            }
            self.step_valves(now);
            self.forget(now);
            // Notes name each of our proxies well before it is forgotten, not only the heaviest.
            out.extend(self.notes(ROUND_MS / NAMED_EVERY_MS));
        }
        if self.hasty && now < self.beat_ms && !std::mem::replace(&mut self.beat_set, true) {
            out.push(Effect::Alarm { in_ms: self.beat_ms - now, name: BEAT });
        }
        if round || (self.hasty && now >= self.beat_ms) {
            (self.hasty, self.beat_set, self.beat_ms) = (false, false, now + BEAT_MS);
            // One just started, or that hears little, knows of no jam: such ones pushed cold servers over.
            let sure = match self.valves.mode {
                Mode::Open if now >= self.valves.stepped_ms => 0.0,
                Mode::Tight => SURE_IN_JAM,
                Mode::Open => SURE_UNKNOWN,
            };
            self.fleet.servers.values_mut().for_each(|s| s.part = part_of(now, s, sure, &self.bounds));
            if self.means.slices == 0 {
                self.cut_tables(now);
            }
            self.end_ways_back(&mut out);
            self.gate(now, &mut out);
        }
        out.extend(self.log.drain(..).map(Effect::Log));
        out
    }

    fn take(&mut self, now: f64, input: &Input, out: &mut Vec<Effect>) {
        match input {
            Input::List { scope: ListScope::Failed, .. } => {
                // The list's service is shared: ask again later each time, and not in step.
                let in_ms = self.ask_again_ms * self.rng.random_range(0.5..1.5);
                self.ask_again_ms = (2.0 * self.ask_again_ms).min(ASK_MOST_MS);
                out.push(Effect::Alarm { in_ms, name: ASK_AGAIN });
            }
            Input::List { scope, lines, .. } => {
                self.ask_again_ms = ROUND_MS;
                let soft = self.bounds.only_draining_binds;
                self.fleet.take_list(now, *scope, lines, soft, &mut self.log);
                self.hasty = true;
            }
            Input::Alarm { name: ASK_AGAIN } => out.push(Effect::Watch { on: true }),
            Input::Note { bytes, .. } => self.demand.take_note(now, bytes),
            Input::Joined { proxy, zone, usual_per_s, fresh } => {
                let entry = self.demand.named(now, *proxy, *zone, *usual_per_s);
                (entry.joined, entry.joined_ms, entry.fresh) = (true, now, *fresh);
                entry.written = Buckets::new(250.0, 48);
                self.tables_of(*proxy).for_each(|table| table.bound = false);
                self.hasty = true;
            }
            Input::Left { proxy } => {
                if let Some(p) = self.demand.proxies.get_mut(proxy) {
                    (p.joined, p.seen_ms) = (false, now);
                }
                self.tables_of(*proxy).for_each(|table| (table.bound, table.trial) = (false, None));
            }
            Input::Applied { proxy, mark, .. } => {
                self.channel.answered(now, *proxy, *mark);
                for trial in self.tables_of(*proxy).filter_map(|table| table.trial.as_mut()) {
                    if !trial.answered && trial.mark == *mark {
                        (trial.answered, trial.from_ms) = (true, now);
                    }
                }
            }
            // Reports come late: this one tells of before the start. Harm: a restart that fails shows later.
            Input::Heard { server, .. } if now < self.fleet.started_ms(server) + HEALTH_SPAN_MS => {}
            Input::Heard { zone, server, tries, bad, mean_ms, load, .. } => {
                if let Some(held) = self.held_at.and_then(|at| load.get(at)) {
                    self.fleet.held.insert(*server, *held);
                }
                self.fleet.hear(now, (*server, *zone), [*tries, *bad, mean_ms * (tries - bad)]);
            }
            Input::Usage { proxy, kind, came, .. } if *kind < KINDS => {
                let mut what = [0.0; KINDS];
                what[*kind] = *came;
                self.demand.came.add(now, what);
                if let Some(p) = self.demand.proxies.get_mut(proxy) {
                    p.came.add(now, what);
                }
            }
            Input::GoBack { table, lines } => {
                let what = self.go_back(*table, lines.iter().copied().collect());
                out.push(Effect::Back { table: *table, what });
            }
            Input::Release { table } => {
                let ended = self.tables.values_mut().any(|t| t.id == *table && t.release());
                let what = if ended { Back::Ended("released") } else { Back::Refused("it is not held") };
                out.push(Effect::Back { table: *table, what });
            }
            Input::Lost { table } => {
                self.tables.values_mut().filter(|t| t.id == *table).for_each(|t| t.bound = false);
            }
            _ => {}
        }
    }

    /// Holds earlier lines for a table, if any of them can be used now.
    fn go_back(&mut self, id: TableId, lines: Lines) -> Back {
        let Some((at, table)) = self.tables.iter().find(|(_, t)| t.id == id) else {
            return Back::Refused("there is no such table");
        };
        let (at, of, usable) = (*at, lines.len(), self.usable(&lines, *at, table).len());
        if usable == 0 {
            return Back::Refused("it would leave request kinds bare: no warm server of it is left");
        }
        if let Some(table) = self.tables.get_mut(&at) {
            table.release();
            table.file(name_of(&lines), Verdict::Recalled, lines);
            table.back = true;
        }
        Back::Held { lines: usable, of }
    }

    /// What can be used now of earlier lines: no server that is drained, gone, struck or closed to the kinds,
    /// and of one that still ramps no more than its part of the module's own lines. Harm: none warm, no way.
    fn usable(&self, lines: &Lines, (proxy, g): (ProxyId, usize), table: &Table) -> Lines {
        let (own, group, zone) = (self.own_lines(table, proxy, g), &self.groups[g], self.zone_of(proxy));
        let near = |l: &Listed| group.open(l) && (!group.like.own_zone || l.zone == zone);
        let server = |id| self.fleet.servers.get(id).filter(|s| s.part > 0.0 && near(&s.listed));
        let known = lines.iter().filter_map(|(id, weight)| Some((*id, *weight, server(id)?)));
        let (cold, warm): (Vec<_>, Vec<_>) = known.partition(|(_, _, s)| s.phase == Phase::Ramping);
        let mut usable: Lines = warm.iter().map(|(id, w, s)| (*id, w.min(s.listed.weight))).collect();
        let part = usable.values().sum::<f64>() / own.values().sum::<f64>().max(1e-9);
        let most = |id, w: f64, s: &Server| (w * s.part).min(own.get(&id).unwrap_or(&0.0) * part);
        usable.extend(cold.into_iter().map(|(id, w, s)| (id, most(id, w, s))).filter(|(_, w)| *w > 0.0));
        usable
    }

    /// Ends each way back that was tainted, or of which no line can be used any more.
    fn end_ways_back(&mut self, out: &mut Vec<Effect>) {
        let why = |at, table: &Table| match table.recalled() {
            None => Some("it was tainted"),
            Some(r) if self.usable(&r.lines, at, table).is_empty() => Some("no warm server of it is left"),
            _ => None,
        };
        let held = self.tables.iter().filter(|(_, t)| t.back);
        let ended: Vec<_> = held.filter_map(|(at, t)| Some((*at, t.id, why(*at, t)?))).collect();
        for (at, id, why) in ended {
            self.tables.get_mut(&at).map(Table::release);
            out.push(Effect::Back { table: id, what: Back::Ended(why) });
        }
    }

    /// Drops the servers that are long gone, once no joined proxy can hold them. Their withdrawals are
    /// lifted, so that one that comes back under its id is as good as any new one.
    fn forget(&mut self, now: f64) {
        let gone = |s: &Server| s.phase == Phase::Leaving && s.listed.stage == Stage::Gone;
        let old = self.fleet.servers.iter().filter(|(_, s)| gone(s) && now - s.since_ms >= FORGET_MS);
        let held = self.holders(&self.demand.joined(), old.map(|(id, _)| id));
        for (id, _) in held.into_iter().filter(|(_, holders)| holders.is_empty()) {
            self.fleet.servers.remove(&id);
            self.fleet.withdrawals.insert(id, false);
        }
        let Fleet { servers, heard, held, .. } = &mut self.fleet;
        heard.retain(|(id, _), _| servers.contains_key(id));
        held.retain(|id, _| servers.contains_key(id));
    }

    fn step_valves(&mut self, now: f64) {
        let used = self.fleet.servers.iter().filter(|(_, s)| s.part > 0.0).map(|(id, _)| *id);
        let (mut met, mut held, mut means) = (Met::default(), Vec::new(), Vec::new());
        for id in used.collect::<Vec<_>>() {
            let at = self.fleet.met_at(now, id, JAM_SPAN_MS);
            if at.bad_share() <= DEAD_SHARE {
                met = met.with([at.tries, at.bad, at.time_ms]);
                means.extend((at.good() >= 3.0).then(|| at.mean_ms()));
                held.push(self.fleet.held.get(&id).filter(|_| at.tries > 0.0).copied().unwrap_or(0.0));
            }
        }
        let came_per_s = self.demand.came.over(now, LEVEL_SPAN_MS).iter().sum::<f64>() / LEVEL_SPAN_MS * 1e3;
        // A lesser part of the fleet that is slow, or full, is no jam: that part is trimmed instead.
        let most = 2.0 * quantile(held.clone(), CALM_FLEET).unwrap_or(0.0);
        let held: f64 = held.iter().map(|h| h.min(most)).sum();
        let eased = self.valves.levels != Levels::Ignored;
        let late = quantile(means, if eased { CALM_FLEET } else { CALM_FLEET_UNEASED });
        met.time_ms = late.unwrap_or(met.mean_ms()) * met.good();
        // What may be let in goes with the proxies joined; what can be done well goes with the servers, too.
        let sized: f64 = self.demand.proxies.values().filter(|p| p.joined).map(|p| p.sized_per_s).sum();
        let live: f64 = self.fleet.servers.values().map(|s| s.part * s.listed.weight).sum();
        if sized > 0.0 && live > 0.0 {
            let (sized_was, live_was) = self.valves.stood.replace((sized, live)).unwrap_or((sized, live));
            self.valves.allowed_per_s *= sized / sized_was;
            self.valves.able_per_s *= sized / sized_was * live / live_was;
        }
        let target_ms = self.demand.usual_target_ms(now, &self.kinds);
        // Load reports show the load of all proxies, before the reqs that wait are answered.
        let part = self.demand.part_of_all(self.proxies);
        let all_per_ms = met.good() / JAM_SPAN_MS / part;
        let base_ms = if self.queue_only { QUEUE_BASE * target_ms } else { 0.0 };
        let held_ms = self.held_at.map(|_| base_ms + held / all_per_ms.max(1e-6));
        self.log.extend(self.valves.step(now, met, held_ms, target_ms, came_per_s));
    }

    /// The levels and retry modes for all proxies: what is let in goes to the kinds of the most value first.
    fn admits(&mut self, now: f64) -> Vec<(u16, f64, Retry)> {
        // On proof that the first try never ran: one cut off goes on running. In a jam the next is as full.
        let retry = if self.valves.mode == Mode::Open { Retry::IfUnrun } else { Retry::Never };
        if self.valves.mode == Mode::Open || self.valves.levels == Levels::Ignored {
            return vec![(mask_of(0..self.kinds.len()), EVERYTHING, retry)];
        }
        let mut order: Vec<KindId> = (0..self.kinds.len()).collect();
        order.sort_by(|a, b| self.kinds[*b].value.total_cmp(&self.kinds[*a].value));
        let mut left = self.valves.allowed_per_s;
        let mut admits = Vec::new();
        for kind in order {
            let joined = self.demand.proxies.values_mut().filter(|p| p.joined);
            let rate = |p: &mut Proxy| p.came.over(now, LEVEL_SPAN_MS)[kind] / LEVEL_SPAN_MS * 1e3;
            let rates: Vec<f64> = joined.map(rate).collect();
            let came: f64 = rates.iter().sum();
            let allowed = left.clamp(LEAST_PART * came, came);
            left -= allowed;
            let level = match self.valves.levels {
                _ if allowed >= came => EVERYTHING,
                Levels::Share => allowed / came,
                _ => level_for(rates, allowed),
            };
            admits.push((1 << kind, level, retry));
        }
        admits
    }

    /// Cuts all arcs from the list, the health and the demand, and proposes their lines.
    fn cut_tables(&mut self, now: f64) {
        let near = self.means.cross_zone_price > NEAR_PRICE;
        let zone_of = |zone: ZoneId| if near { zone } else { 0 };
        // A jam costs more than crossing zones does: then they are loaded evenly.
        let jam = self.valves.mode == Mode::Tight;
        let slack = if jam { 0.0 } else { SLACK_PER_PRICE * self.means.cross_zone_price };
        let demand = self.demand.zones_held(zone_of);
        let sized: f64 = self.demand.proxies.values().map(|p| p.sized_per_s).sum();
        let mean_per_s = sized / self.demand.proxies.len().max(1) as f64;
        let ready: Vec<&Server> = self.fleet.servers.values().filter(|s| s.phase != Phase::Leaving).collect();
        let zones: BTreeSet<ZoneId> = ready.iter().map(|s| zone_of(s.listed.zone)).collect();
        let (servers, own) = (ready.len() as f64, self.proxies / self.controllers);
        let by_conns = CONNS_PART * self.means.conns_least * servers / self.proxies;
        let mean_lines = lines_for(servers / zones.len().max(1) as f64, own, by_conns, &self.pace);
        let mean_lines = (mean_lines * self.valves.reach).max(LINES_LEAST / 2.0);
        let least_lines = LINES_LEAST.min(mean_lines);
        let parts: Lines = ready.iter().map(|s| (s.listed.server, s.part)).collect();
        let all: f64 = ready.iter().map(|s| s.part * s.listed.weight).sum::<f64>().max(1e-9);
        let mut taken: Shares = BTreeMap::new();
        for (g, group) in self.groups.iter().enumerate() {
            let (mut rings, mut room) = (BTreeMap::<ZoneId, Vec<&Listed>>::new(), BTreeMap::new());
            for s in ready.iter().filter(|s| s.part > 0.0 && group.open(&s.listed)) {
                let zone = zone_of(s.listed.zone);
                rings.entry(zone).or_default().push(&s.listed);
                *room.entry(zone).or_insert(0.0) += s.part * s.listed.weight / all;
            }
            // What more bound kinds bring to a zone leaves less room there for the others.
            room.iter_mut().for_each(|(z, r)| *r = (*r - taken.get(z).unwrap_or(&0.0)).max(0.0));
            let open: f64 = room.values().sum::<f64>().max(1e-9);
            room.values_mut().for_each(|r| *r /= open);
            let share = self.demand.share_of(now, &group.kinds, self.kinds.len());
            room.iter().for_each(|(z, r)| *taken.entry(*z).or_insert(0.0) += share * r);
            // Arcs that have a place keep it; the others are laid where the ring is loaded least.
            let joined = self.demand.proxies.iter_mut().filter(|(_, p)| p.joined);
            let mut laid: Vec<(&ProxyId, &mut Proxy)> = joined.collect();
            laid.sort_by(|a, b| b.1.sized_per_s.total_cmp(&a.1.sized_per_s));
            laid.sort_by_key(|(_, p)| p.places.is_empty());
            let mut loads = Lines::new();
            for (id, p) in laid {
                let home = zone_of(p.zone);
                let flows = match group.like.own_zone {
                    true => BTreeMap::from([(p.zone, 1.0)]),
                    false => flows_of(home, &demand, &room, slack),
                };
                let wanted = (mean_lines * p.sized_per_s / mean_per_s).max(least_lines);
                let mut arcs: Vec<(Lines, f64)> = Vec::new();
                for (zone, part) in &flows {
                    let Some(ring) = rings.get(zone) else { continue };
                    let from = *p.places.entry(*zone).or_insert_with(|| least_loaded(ring, &loads));
                    let arc = cut_arc(ring, from, (wanted * part).max(least_lines / 2.0));
                    let density = part / arc.values().sum::<f64>();
                    arc.keys().for_each(|s| *loads.entry(*s).or_insert(0.0) += p.sized_per_s * density);
                    arcs.push((arc, density));
                }
                // In steps, lest a change at one line changes them all; never above a listed weight.
                let most = arcs.iter().map(|(_, density)| *density).fold(0.0, f64::max);
                let scaled = arcs.into_iter().flat_map(|(arc, density)| {
                    let scale = in_steps(density / most).max(1.0 / STEPS);
                    arc.into_iter().map(move |(server, weight)| (server, weight * scale))
                });
                let lines = scaled.map(|(server, weight)| (server, weight * parts[&server])).collect();
                let id_of_new = self.tables.len() as TableId;
                let fresh = || Table { id: id_of_new, ..Table::default() };
                self.tables.entry((*id, g)).or_insert_with(fresh).propose(lines);
            }
        }
    }

    /// The published revision's lines, less what is shut or struck, none above what a server may have now.
    fn own_lines(&self, table: &Table, proxy: ProxyId, g: usize) -> Lines {
        let (group, zone) = (&self.groups[g], self.zone_of(proxy));
        let mut lines = Lines::new();
        for (id, weight) in table.newest().into_iter().flat_map(|r| &r.lines) {
            if let Some(server) = self.fleet.servers.get(id).filter(|s| s.part > 0.0) {
                lines.insert(*id, weight.min(server.listed.weight * server.part));
            }
        }
        if lines.is_empty() {
            // Nobody is left bare: any ready server that the kinds are open to beats none.
            let near = |l: &Listed| !group.like.own_zone || l.zone == zone;
            let ready = self.fleet.servers.values().filter(|s| s.phase != Phase::Leaving);
            let open = ready.filter(|s| near(&s.listed) && group.open(&s.listed));
            lines.extend(open.map(|s| (s.listed.server, s.listed.weight * s.part.max(ENTRY_PART))));
        }
        lines
    }

    /// What each table of a joined proxy needs: the most urgent first, of drains those of the oldest word.
    fn needs(&self) -> BTreeSet<Wanted> {
        let server = |s: &ServerId| self.fleet.servers.get(s);
        let left = |s: &ServerId| server(s).is_none_or(|s| s.phase == Phase::Leaving);
        let since = |s: &ServerId| server(s).map_or(0, |s| s.since_ms as u64);
        // Whoever holds tables of others may hold whatever drains: bound to ours, it does not.
        let drains = self.fleet.withdrawals.iter().filter(|(_, shut)| **shut).map(|(s, _)| since(s)).min();
        let need = |p: &Proxy, table: &Table| match (table.bound, drains) {
            (false, _) if p.fresh => (Need::Bare, 0),
            (false, Some(since)) => (Need::Drain, since),
            (false, None) => (Need::Bind, 0),
            // One whose servers have all left is as good as bare: a lost zone left proxies so.
            _ if table.held.keys().all(left) => (Need::Bare, 0),
            _ => match table.held.keys().filter(|s| left(s)).map(since).min() {
                Some(since) => (Need::Drain, since),
                None => (Need::Change, 0),
            },
        };
        let joined = |id| self.demand.proxies.get(id).filter(|p: &&Proxy| p.joined);
        let tables = self.tables.iter().filter_map(|((id, g), t)| Some((need(joined(id)?, t), *id, *g)));
        tables.map(|((need, since), id, g)| (need, since, id, g)).collect()
    }

    /// Every order passes here: bare proxies, drains and first tables, withdrawals, levels, then changes.
    fn gate(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.channel.pass_time(now, self.pace.lines_per_s, self.pace.transit_most_ms);
        let joined = self.demand.joined();
        if joined.is_empty() {
            self.channel.left = self.channel.written;
        }
        // What can wait, waits while a proxy has had most of the messages it may be written.
        let over_ms = self.pace.messages_over_ms + 500.0;
        let written = |p: &mut Proxy| if p.joined { p.written.over(now, over_ms)[0] } else { 0.0 };
        let most_written = self.demand.proxies.values_mut().map(written).fold(0.0, f64::max);
        let limit = f64::from(self.pace.messages_most);
        let free = limit <= 0.0 || most_written + 1.0 <= limit * BARE_PART;
        let (mut reached, needs, changes) = (Reached::default(), self.needs(), (Need::Change, 0, 0, 0));
        self.withdraw(now, free, false, &mut reached, out);
        needs.range(..changes).for_each(|need| self.push(now, *need, &mut reached, out));
        self.withdraw(now, free, true, &mut reached, out);
        // Levels go to everybody: where the queue has no room for that or for all that is urgent, they wait.
        let admits = self.admits(now);
        let head = self.pace.head_lines + 1.0;
        let size = (head + admits.len() as f64) * joined.len() as f64;
        let waiting = self.channel.waiting() + reached.lines;
        let fits = !self.hasty && waiting + size <= self.pace.backlog_lines * DELTAS_PART;
        if free && fits && self.valves.ordered_ms < self.valves.stepped_ms && admits != self.valves.ordered {
            let order = |&(kinds, level, retry): &_| Effect::Admit { table: None, kinds, level, retry };
            drop(out.splice(0..0, admits.iter().map(order)));
            joined.iter().for_each(|id| reached.add(*id, head, admits.len() as f64));
            (self.valves.ordered, self.valves.ordered_ms) = (admits, now);
        }
        needs.range(changes..).for_each(|need| self.push(now, *need, &mut reached, out));
        if reached.lines > 0.0 {
            out.push(Effect::Mark { mark: self.channel.next_mark, all: false });
            self.channel.mark(now, &reached);
            for (id, p) in &mut self.demand.proxies {
                p.written.add(now, [f64::from(u8::from(reached.by_proxy.contains_key(id)))]);
            }
        }
    }

    /// How much may wait for what is not urgent. The queue is emptied in order: more than keeps it busy to
    /// the next round, and till answers tell, only holds up drains. Tables of a mass join did.
    fn room(&self) -> f64 {
        let busy_ms = ROUND_MS + 2.0 * self.pace.transit_most_ms;
        self.pace.backlog_lines.min(self.pace.lines_per_s * busy_ms / 1e3)
    }

    /// Withdrawals go to whoever still holds the server; more than may wait only after tables without it.
    fn withdraw(&mut self, now: f64, free: bool, last: bool, reached: &mut Reached, out: &mut Vec<Effect>) {
        let mut due = self.fleet.withdrawals.clone();
        due.retain(|_, shut| *shut || free);
        let (head, level) = (self.pace.head_lines + 1.0, self.valves.ordered.len() as f64);
        let (room, limit) = (self.room() * BARE_PART, self.pace.backlog_lines * WITHDRAWN_PART);
        let in_time_ms = GRACE_PART * (self.bounds.drain_grace_ms - self.pace.transit_most_ms);
        let bound = self.groups.len() as f64 * (LINES_LEAST * self.pace.bind_lines + level + 1.0);
        let holders = self.holders(&self.demand.joined(), due.keys());
        let all = holders.values().map(Vec::len).sum::<usize>() as f64 * (head + 1.0);
        let go = last || self.channel.waiting() + all <= room;
        for (server, holders) in holders.into_iter().filter(|_| go) {
            let size: f64 = holders.iter().map(|id| reached.cost(*id, head + level, 1.0)).sum();
            let waiting = self.channel.waiting() + reached.lines;
            let age_ms = self.fleet.servers.get(&server).map_or(now, |s| now - s.since_ms);
            let through_ms = age_ms + (waiting + size) / self.pace.lines_per_s * 1e3;
            let most = if through_ms < in_time_ms || due.len() as f64 > bound { room } else { limit };
            if waiting > 0.0 && size > 0.0 && waiting + size > most {
                self.hasty = true;
                continue;
            }
            holders.into_iter().for_each(|id| reached.add(id, head + level, 1.0));
            out.extend(self.fleet.withdrawals.remove(&server).map(|out| Effect::Withdraw { server, out }));
        }
    }

    /// Brings a proxy's table up to what is published: whole where bare of ours, else by deltas.
    fn push(&mut self, now: f64, wanted: Wanted, reached: &mut Reached, out: &mut Vec<Effect>) {
        let (need, _, id, g) = wanted;
        let part = if need == Need::Change { DELTAS_PART } else { BARE_PART };
        let Some(p) = self.demand.proxies.get_mut(&id) else { return };
        let (zone, written) = (p.zone, p.written.over(now, self.pace.messages_over_ms + 500.0)[0]);
        let most = f64::from(self.pace.messages_most);
        if most > 0.0 && written + 1.0 > most * part && !reached.by_proxy.contains_key(&id) {
            return;
        }
        let Some(table) = self.tables.get(&(id, g)) else { return };
        let lines = match table.recalled() {
            Some(back) => self.usable(&back.lines, (id, g), table),
            None => self.own_lines(table, id, g),
        };
        let changed = lines.iter().filter(|(s, w)| table.held.get(*s) != Some(*w)).map(|(s, w)| (*s, *w));
        let dropped = table.held.keys().filter(|s| !lines.contains_key(*s)).map(|s| (*s, 0.0));
        let deltas: Vec<(ServerId, f64)> = changed.chain(dropped).collect();
        let bare = !table.bound;
        if lines.is_empty() || (deltas.is_empty() && !bare) {
            return;
        }
        let whole = lines.len() as f64 * self.pace.bind_lines + self.valves.ordered.len() as f64 + 1.0;
        let size = if bare { whole } else { deltas.len() as f64 };
        let (head, waiting) = (self.pace.head_lines + 1.0, self.channel.waiting() + reached.lines);
        if waiting + reached.cost(id, head, size) > self.room() * part {
            self.hasty |= need != Need::Change;
            return;
        }
        reached.add(id, head, size);
        let prior_bad = self.fleet.met_on(now, zone, &table.held, TAINT_SPAN_MS).bad_share();
        let Some(table) = self.tables.get_mut(&(id, g)) else { return };
        let order = |(server, weight)| Effect::Line { table: table.id, server, weight };
        out.extend(deltas.into_iter().map(order));
        if bare {
            let kinds = mask_of(self.groups[g].kinds.iter().copied());
            out.push(Effect::Bind { proxy: id, table: table.id, kinds });
        }
        (table.bound, table.held) = (true, lines);
        let published = table.recalled().or_else(|| table.newest()).map_or(0, |r| r.name);
        if table.published != published {
            table.published = published;
            let mark = self.channel.next_mark;
            table.trial = Some(Trial { mark, from_ms: now, answered: false, prior_bad });
        }
    }
}
