//! The decisions of rookpulley, all of them.
//!
//! A front hands `Controller::new` what a start brings (`facts::Start`) and then calls
//! `Controller::handle` with the clock and whatever came in (`facts::Input`); the answer is the
//! list of orders (`facts::Effect`), to be carried out in that order at that time. Nothing is kept
//! outside the controller, so a killed one starts over from its list alone. The interface is
//! `facts.rs`; `ring.rs` keeps sums over time.
//!
//! Parts, in order: list & health, demand, arcs, revisions, ramp, channel pacing, retries, and the
//! controller whose gate lets orders through.

use crate::facts::*;
use crate::ring::Buckets;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const ROUND_MS: f64 = 1_000.0;
const ROUND: u64 = 1;
const ASK_AGAIN: u64 = 2;

// ---- List & health ------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Warm,
    Ramping,
    Struck,
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cue {
    Starts,
    Departs,
    Returns,
    Fails,
    Strains,
    HoldEnds,
    RampEnds,
}

#[derive(Clone, Copy, PartialEq)]
enum Turn {
    /// Enter at a quarter weight, counted from the start that the list names.
    Enter,
    /// Enter at a quarter weight from now on.
    Reenter,
    /// Lose a quarter of its part, and grow on from there.
    Trim,
    /// Nothing more goes there, whatever tables say.
    Shut,
    /// Out of the tables until the hold ends; each strike soon after the last holds longer.
    Hold,
    Settle,
}

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
/// A server fails when this share of at least so many tries had no good answer ...
const FAIL_SHARE: f64 = 0.5;
const FAIL_TRIES: f64 = 4.0;
/// ... and strains when its answers take so many times as long as the fleet's median.
const STRAIN_RATIO: f64 = 1.6;
const STRAIN_PART: f64 = 0.5;
const STRAIN_TRIES: f64 = 8.0;

struct Server {
    listed: Listed,
    phase: Phase,
    since_ms: f64,
    ramp_from_ms: f64,
    hold_ms: f64,
    /// The part of its listed weight that it may have now.
    part: f64,
}

type HeardAt = Buckets<3>;

/// The servers of the list, and what proxies met at them: tries, bad ones, time of good ones.
struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    heard: BTreeMap<(ZoneId, ServerId), HeardAt>,
    /// Withdrawals to order (out) or to lift.
    withdrawals: BTreeMap<ServerId, bool>,
}

impl Fleet {
    fn take_list(&mut self, now: f64, scope: ListScope, lines: Vec<Listed>, log: &mut Vec<Effect>) {
        let whole = matches!(scope, ListScope::Full | ListScope::Cached);
        let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
        if whole {
            let missing: Vec<_> = self.servers.keys().filter(|id| !named.contains(*id)).copied().collect();
            for id in missing {
                self.turn(now, id, Cue::Departs, log);
            }
        }
        for line in lines {
            let id = line.server;
            let ready = line.stage == Stage::Ready;
            let Some(known) = self.servers.get_mut(&id) else {
                // At our own start what the list shows may have served for long; later it is new.
                let phase = match (ready, scope, line.started_ms > 0.0) {
                    (false, ..) => Phase::Leaving,
                    (true, ListScope::Cached, false) => Phase::Warm,
                    _ => Phase::Ramping,
                };
                let ramp_from_ms = if line.started_ms > 0.0 { line.started_ms } else { now };
                let server = Server {
                    listed: line,
                    phase,
                    since_ms: now,
                    ramp_from_ms,
                    hold_ms: HOLD_MS,
                    part: ENTRY_PART,
                };
                self.servers.insert(id, server);
                if !ready {
                    self.withdrawals.insert(id, true);
                }
                continue;
            };
            let restarted = line.started_ms > known.listed.started_ms;
            known.listed = line;
            let cue = match (ready, restarted) {
                (false, _) => Cue::Departs,
                (true, true) => Cue::Starts,
                (true, false) => Cue::Returns,
            };
            self.turn(now, id, cue, log);
        }
    }

    fn turn(&mut self, now: f64, id: ServerId, cue: Cue, log: &mut Vec<Effect>) -> bool {
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let from = server.phase;
        let Some(&(_, _, next, turn)) = HEALTH.iter().find(|row| row.0 == from && row.1 == cue) else {
            return false;
        };
        let shut_before = from == Phase::Leaving;
        match turn {
            Turn::Enter => server.ramp_from_ms = server.listed.started_ms.max(1.0),
            Turn::Reenter => server.ramp_from_ms = now,
            Turn::Trim => {
                let part = (server.part * 0.75).max(ENTRY_PART);
                server.ramp_from_ms = now - RAMP_MS * (part - ENTRY_PART) / (1.0 - ENTRY_PART);
            }
            Turn::Hold => {
                let soon = now - server.since_ms < server.hold_ms;
                server.hold_ms = if from == Phase::Ramping && soon { server.hold_ms * 2.0 } else { HOLD_MS };
                server.hold_ms = server.hold_ms.min(HOLD_MOST_MS);
            }
            Turn::Shut | Turn::Settle => {}
        }
        let shut = next == Phase::Leaving;
        server.phase = next;
        server.since_ms = now;
        if shut != shut_before {
            self.withdrawals.insert(id, shut);
        }
        if turn != Turn::Settle {
            let [tries, bad, time] = self.pooled(now, id, HEALTH_SPAN_MS);
            let mean = time / (tries - bad).max(1.0);
            let name = show(id);
            log.push(Effect::Log(format!(
                "server {name} {from:?} -> {next:?} on {cue:?}: {bad} of {tries} bad, mean {mean:.0} ms"
            )));
        }
        true
    }

    fn hear(&mut self, now: f64, zone: ZoneId, id: ServerId, what: [f64; 3]) {
        let fresh = || Buckets::new(500.0, 24);
        self.heard.entry((zone, id)).or_insert_with(fresh).add(now, what);
    }

    /// What proxies of all zones met at a server lately.
    fn pooled(&mut self, now: f64, id: ServerId, span_ms: f64) -> [f64; 3] {
        let mut sum = [0.0; 3];
        for ((_, server), heard) in &mut self.heard {
            if *server == id {
                let part = heard.over(now, span_ms);
                (0..3).for_each(|k| sum[k] += part[k]);
            }
        }
        sum
    }

    /// Judges every server by what was heard; true when one changed.
    fn judge(&mut self, now: f64, target_ms: f64, log: &mut Vec<Effect>) -> bool {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        let sums: Vec<_> = ids.iter().map(|id| self.pooled(now, *id, HEALTH_SPAN_MS)).collect();
        let mean = |s: &[f64; 3]| s[2] / (s[0] - s[1]).max(1.0);
        let mut means: Vec<f64> = sums.iter().filter(|s| s[0] - s[1] >= 3.0).map(mean).collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2).copied().unwrap_or(f64::INFINITY);
        let all = sums.iter().fold([0.0, 0.0], |a, s| [a[0] + s[0], a[1] + s[1]]);
        let usual_bad = all[1] / all[0].max(1.0);
        let mut changed = false;
        for (id, sum) in ids.into_iter().zip(sums) {
            let server = &self.servers[&id];
            let age = now - server.since_ms;
            let known = age >= HEALTH_SPAN_MS;
            let bad = sum[1] / sum[0].max(1.0);
            let cue = match server.phase {
                Phase::Struck if age >= server.hold_ms => Cue::HoldEnds,
                Phase::Ramping if now - server.ramp_from_ms >= RAMP_MS => Cue::RampEnds,
                // Guards against whatever makes a server give no good answers: crashed, cut off,
                // silent, faking errors. It could harm when reqs fail for a reason of their own;
                // then the fleet's usual share of bad tries rises with it and nothing is struck.
                Phase::Warm | Phase::Ramping
                    if sum[0] >= FAIL_TRIES && bad > FAIL_SHARE.max(1.5 * usual_bad) && known =>
                {
                    Cue::Fails
                }
                Phase::Warm | Phase::Ramping
                    if server.part > 0.0
                        && sum[0] - sum[1] >= STRAIN_TRIES
                        && mean(&sum) > (STRAIN_RATIO * median).max(STRAIN_PART * target_ms)
                        && known =>
                {
                    Cue::Strains
                }
                _ => continue,
            };
            changed |= self.turn(now, id, cue, log);
        }
        changed
    }
}

fn show(id: ServerId) -> String {
    let [a, b, c, d, lo, hi] = id;
    format!("{a}.{b}.{c}.{d}:{}", u16::from_le_bytes([lo, hi]))
}

// ---- Demand -------------------------------------------------------------------------------

const OFF_SHARE: f64 = 0.5;
const ZONE_OFF: f64 = 0.2;
const OFF_FOR_MS: f64 = 10_000.0;
const USAGE_SPAN_MS: f64 = 8_000.0;
/// The request kinds that are told apart; a mask of kinds has no more bits.
const KINDS: usize = 16;
/// A proxy that nobody has named for this long brings nothing any more.
const FORGET_MS: f64 = 10_000.0;

struct Proxy {
    zone: ZoneId,
    joined: bool,
    seen_ms: f64,
    joined_ms: f64,
    /// The reqs a second that its arc is sized for.
    sized_per_s: f64,
    /// What came to it lately, as far as it is known.
    met_per_s: f64,
    came: Buckets<KINDS>,
    off_since_ms: Option<f64>,
    written: Buckets<1>,
}

/// Who brings how much, as far as our proxies' usage and peers' notes tell.
struct Demand {
    proxies: BTreeMap<ProxyId, Proxy>,
    all: Buckets<KINDS>,
    /// The zones' shares of the demand that tables stand on.
    zones: Flows,
}

impl Demand {
    fn named(&mut self, now: f64, proxy: ProxyId, zone: ZoneId, per_s: f64) -> &mut Proxy {
        let entry = self.proxies.entry(proxy).or_insert_with(|| Proxy {
            zone,
            joined: false,
            seen_ms: now,
            joined_ms: now,
            sized_per_s: per_s.max(0.01),
            met_per_s: per_s.max(0.01),
            came: Buckets::new(1_000.0, 12),
            off_since_ms: None,
            written: Buckets::new(250.0, 48),
        });
        entry.seen_ms = now;
        entry
    }

    /// Resizes the arcs of proxies whose share stayed far off for long; drops the forgotten.
    fn resize(&mut self, now: f64, log: &mut Vec<Effect>) {
        self.proxies.retain(|_, p| p.joined || now - p.seen_ms < FORGET_MS);
        let settled = |p: &Proxy| p.joined && now - p.joined_ms >= USAGE_SPAN_MS + 2.0 * ROUND_MS;
        let (mut sized, mut came) = (0.0, 0.0);
        for p in self.proxies.values_mut().filter(|p| settled(p)) {
            p.met_per_s = p.came.over(now, USAGE_SPAN_MS).iter().sum::<f64>() / USAGE_SPAN_MS * 1_000.0;
            sized += p.sized_per_s;
            came += p.met_per_s;
        }
        if came <= 0.0 {
            return;
        }
        for (id, p) in self.proxies.iter_mut().filter(|(_, p)| settled(p)) {
            let met = p.met_per_s * sized / came;
            if (met - p.sized_per_s).abs() <= OFF_SHARE * p.sized_per_s {
                p.off_since_ms = None;
            } else if now - *p.off_since_ms.get_or_insert(now) >= OFF_FOR_MS {
                let was = p.sized_per_s;
                log.push(Effect::Log(format!("proxy {id} arc resized: {was:.2} -> {met:.2} reqs/s")));
                p.sized_per_s = met.max(0.01);
                p.off_since_ms = None;
            }
        }
    }

    /// The zones' shares of the demand, held until one is well off.
    fn zones_held(&mut self, zone_of: impl Fn(ZoneId) -> ZoneId) -> Flows {
        let all: f64 = self.proxies.values().map(|p| p.met_per_s).sum::<f64>().max(1e-9);
        let mut met = Flows::new();
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

    /// The share of the reqs that are of these kinds, in eighths so that it holds still.
    fn share_of(&mut self, now: f64, kinds: &[KindId], all: usize) -> f64 {
        let came = self.all.over(now, 20_000.0);
        let (part, total): (f64, f64) = (kinds.iter().map(|k| came[*k]).sum(), came.iter().sum());
        let share = if total < 50.0 { kinds.len() as f64 / all as f64 } else { part / total };
        ((share * 8.0).round() / 8.0).max(0.125)
    }
}

// ---- Arcs ---------------------------------------------------------------------------------

/// An arc reaches over so many times its proxy's share of the ring, but never under so much of it.
/// Streams change size faster than usage is heard; a narrow arc then pushes over its few servers.
const REACH: f64 = 40.0;
const REACH_LEAST: f64 = 0.5;
/// Crossing zones is avoided where it costs more than this; how unevenly zones may then be loaded
/// goes by that price.
const NEAR_PRICE: f64 = 0.02;
const SLACK_PER_PRICE: f64 = 2.5;
const STEPS: f64 = 8.0;

type Lines = BTreeMap<ServerId, f64>;
type Flows = BTreeMap<ZoneId, f64>;

fn in_steps(x: f64) -> f64 {
    (x * STEPS).round() / STEPS
}

/// The length that two intervals share.
fn shared(a: (f64, f64), b: (f64, f64)) -> f64 {
    (a.1.min(b.1) - a.0.max(b.0)).max(0.0)
}

/// Says which part of a zone's demand goes to which zone: home as far as the room there reaches,
/// the rest to where room is left. Both maps are shares of the whole.
fn flows_of(zone: ZoneId, demand: &Flows, room: &Flows, slack: f64, may_cross: bool) -> Flows {
    let room_of = |z: &ZoneId| room.get(z).copied().unwrap_or(0.0) * (1.0 + slack);
    let wanted = |z: &ZoneId| demand.get(z).copied().unwrap_or(0.0);
    let home = wanted(&zone).min(room_of(&zone)) / wanted(&zone).max(1e-9);
    if !may_cross || home > 1.0 - 0.5 / STEPS {
        return Flows::from([(zone, 1.0)]);
    }
    let left: Flows = room.keys().map(|z| (*z, (room_of(z) - wanted(z)).max(0.0))).collect();
    let all_left: f64 = left.values().sum::<f64>().max(1e-9);
    let mut flows: Flows = left.iter().map(|(z, l)| (*z, in_steps((1.0 - home) * l / all_left))).collect();
    *flows.entry(zone).or_insert(0.0) += in_steps(home);
    flows
}

/// One arc: the servers of a segment of the ring that it covers, with the part covered.
fn cut_arc(segment: &[&Listed], at: f64, reach: f64) -> Vec<(ServerId, f64)> {
    let all: f64 = segment.iter().map(|l| l.weight).sum();
    let (mut edge, mut arc) = (0.0, Vec::new());
    for listed in segment {
        let width = listed.weight / all;
        let slot = (edge, edge + width);
        edge += width;
        let turns = [-1.0, 0.0, 1.0];
        let met = turns.map(|turn| shared(slot, (at - reach / 2.0 + turn, at + reach / 2.0 + turn)));
        let covered = in_steps((met.iter().sum::<f64>() / width).min(1.0));
        if covered > 0.0 {
            arc.push((listed.server, covered * listed.weight));
        }
    }
    arc
}

// ---- Revisions ----------------------------------------------------------------------------

const DEPTH: usize = 10;
const TAINT_SPAN_MS: f64 = 3_000.0;
const TAINT_FACTOR: f64 = 2.0;
const TAINT_SHARE: f64 = 0.05;
const TAINT_TRIES: f64 = 20.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    Unknown,
    Sound,
    Tainted,
}

#[derive(Clone, Copy, PartialEq)]
enum Verdict {
    Proposed,
    Failed,
}

#[derive(Clone, Copy, PartialEq)]
enum Filing {
    Append,
    MoveNewest,
    RollBack,
}

/// State, input, next state, effect.
const REVISIONS: &[(Standing, Verdict, Standing, Filing)] = &[
    (Standing::Unknown, Verdict::Proposed, Standing::Sound, Filing::Append),
    (Standing::Sound, Verdict::Proposed, Standing::Sound, Filing::MoveNewest),
    (Standing::Tainted, Verdict::Proposed, Standing::Sound, Filing::MoveNewest),
    (Standing::Sound, Verdict::Failed, Standing::Tainted, Filing::RollBack),
];

#[derive(Clone)]
struct Revision {
    name: u64,
    lines: Lines,
    standing: Standing,
}

/// A table of one proxy for one group of request kinds, and the revisions it has had.
struct Table {
    id: TableId,
    revisions: Vec<Revision>,
    /// The name of the lines last cut; the same lines cut again change nothing.
    cut: u64,
    published: u64,
    pushed_ms: f64,
    pushed_mark: Option<u64>,
    first_answer_ms: Option<f64>,
    judged: bool,
    prior_bad: f64,
    /// What the table holds by the orders that went out.
    held: Lines,
    bound: bool,
}

fn name_of(lines: &Lines) -> u64 {
    let bytes = lines.iter().flat_map(|(id, w)| id.iter().copied().chain(w.to_bits().to_le_bytes()));
    twox_hash::XxHash64::oneshot(0, &bytes.collect::<Vec<u8>>())
}

impl Table {
    fn new(id: TableId) -> Self {
        Self {
            id,
            revisions: Vec::new(),
            cut: 0,
            published: 0,
            pushed_ms: 0.0,
            pushed_mark: None,
            first_answer_ms: None,
            judged: true,
            prior_bad: 0.0,
            held: Lines::new(),
            bound: false,
        }
    }

    fn file(&mut self, name: u64, verdict: Verdict, lines: Option<Lines>) -> Option<Filing> {
        let at = self.revisions.iter().position(|r| r.name == name);
        let from = at.map_or(Standing::Unknown, |k| self.revisions[k].standing);
        let &(_, _, standing, filing) = REVISIONS.iter().find(|row| row.0 == from && row.1 == verdict)?;
        match (filing, at) {
            (Filing::Append, _) => self.revisions.push(Revision { name, lines: lines?, standing }),
            (Filing::MoveNewest, Some(k)) => {
                let revision = self.revisions.remove(k);
                self.revisions.push(Revision { standing, ..revision });
            }
            (_, Some(k)) => self.revisions[k].standing = standing,
            _ => {}
        }
        let over = self.revisions.len().saturating_sub(DEPTH);
        self.revisions.drain(..over);
        Some(filing)
    }

    fn propose(&mut self, lines: Lines) {
        let name = name_of(&lines);
        if name != self.cut && !lines.is_empty() {
            self.cut = name;
            self.file(name, Verdict::Proposed, Some(lines));
        }
    }

    /// The newest untainted revision, or the newest where all are tainted.
    fn newest(&self) -> Option<&Revision> {
        let sound = self.revisions.iter().rev().find(|r| r.standing == Standing::Sound);
        sound.or(self.revisions.last())
    }

    /// Taints the published revision when tries fail at its servers after the push; tells the log
    /// line. Failures at servers that the health part has struck don't count against it: those
    /// are out of the lines already, and one bad server would taint every revision that names it.
    fn judge(&mut self, now: f64, period_ms: f64, zone: ZoneId, fleet: &mut Fleet) -> Option<String> {
        let from = self.first_answer_ms.unwrap_or(self.pushed_ms);
        if self.judged || now < from + period_ms + TAINT_SPAN_MS {
            return None;
        }
        self.judged = true;
        let (bad, tries) = bad_share(now, zone, &self.held, fleet);
        if tries < TAINT_TRIES || bad <= TAINT_SHARE || bad <= TAINT_FACTOR * self.prior_bad {
            return None;
        }
        let (was, prior) = (self.published, self.prior_bad);
        self.file(was, Verdict::Failed, None)?;
        let next = self.newest()?;
        let what = if next.standing == Standing::Sound { "rolled back to" } else { "all tainted, keeps" };
        Some(format!(
            "table {} revision {was:016x} tainted, {what} {:016x}: bad {bad:.3} of {tries} tries, prior {prior:.3}",
            self.id, next.name
        ))
    }
}

/// The share of bad tries of a zone's proxies at the sound servers of these lines, and the tries.
fn bad_share(now: f64, zone: ZoneId, lines: &Lines, fleet: &mut Fleet) -> (f64, f64) {
    let (mut tries, mut bad) = (0.0, 0.0);
    for id in lines.keys() {
        let sound = fleet.servers.get(id).is_some_and(|s| matches!(s.phase, Phase::Warm | Phase::Ramping));
        if let (true, Some(heard)) = (sound, fleet.heard.get_mut(&(zone, *id))) {
            let sum = heard.over(now, TAINT_SPAN_MS);
            tries += sum[0];
            bad += sum[1];
        }
    }
    (bad / f64::max(tries, 1.0), tries)
}

// ---- Ramp ---------------------------------------------------------------------------------

const RAMP_MS: f64 = 30_000.0;
const ENTRY_PART: f64 = 0.25;
const RAMP_STEPS: f64 = 8.0;

/// In a jam a cold server waits until it is sure to stand this many times its full work.
const SURE_MULTIPLE: f64 = 2.0;

/// The part of its listed weight that a server may have now.
fn part_of(now: f64, server: &Server, tight: bool, bounds: &RuleBounds) -> f64 {
    let Phase::Ramping = server.phase else {
        return if server.phase == Phase::Warm { 1.0 } else { 0.0 };
    };
    // In a jam proxies keep away from servers that fail them and crowd whichever is left, whatever
    // its weight: that pushed cold servers over. Harm: a zone that returns cold is used later.
    let age = now - server.listed.started_ms;
    let sure = bounds.cold_share + (1.0 - bounds.cold_share) * (age / bounds.cold_ms).clamp(0.0, 1.0);
    if tight && sure < 1.0 && sure * bounds.fall_multiple < SURE_MULTIPLE {
        return 0.0;
    }
    let grown = ENTRY_PART + (1.0 - ENTRY_PART) * (now - server.ramp_from_ms).max(0.0) / RAMP_MS;
    ((grown * RAMP_STEPS + 1e-9).floor() / RAMP_STEPS).clamp(ENTRY_PART, 1.0)
}

// ---- Channel pacing -----------------------------------------------------------------------

/// How much of the limits an order may use up, by its haste.
const DELTAS_PART: f64 = 0.5;
const BARE_PART: f64 = 0.8;
/// The channel is taken to do at least this part of its stated pace.
const SLOW_PART: f64 = 0.25;

/// What may still wait in the channel. It is emptied in order, so an answer to a mark shows that
/// all written before has left; without answers it is taken to run slow.
struct Channel {
    written: f64,
    left: f64,
    as_of_ms: f64,
    marks: BTreeMap<u64, f64>,
    next_mark: u64,
}

impl Channel {
    fn pass_time(&mut self, now: f64, lines_per_s: f64) {
        let sent = (now - self.as_of_ms) / 1_000.0 * lines_per_s * SLOW_PART;
        self.left = (self.left + sent.max(0.0)).min(self.written);
        self.as_of_ms = now;
    }

    fn answered(&mut self, mark: u64) {
        if let Some(written) = self.marks.get(&mark) {
            self.left = self.left.max(*written);
            let done = *written;
            self.marks.retain(|_, w| *w > done);
        }
    }

    fn waiting(&self) -> f64 {
        self.written - self.left
    }
}

// ---- Retries & levels ---------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Open,
    Tight,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flow {
    Jams,
    Flows,
    Slack,
}

#[derive(Clone, Copy, PartialEq)]
enum Valve {
    Cut,
    Lower,
    Raise,
    Release,
}

/// State, input, next state, effect.
const LEVELS: &[(Mode, Flow, Mode, Valve)] = &[
    (Mode::Open, Flow::Jams, Mode::Tight, Valve::Cut),
    (Mode::Tight, Flow::Jams, Mode::Tight, Valve::Lower),
    (Mode::Tight, Flow::Flows, Mode::Tight, Valve::Raise),
    (Mode::Tight, Flow::Slack, Mode::Open, Valve::Release),
];

const LEVEL_EVERY_MS: f64 = 2_000.0;
const JAM_SPAN_MS: f64 = 3_000.0;
const JAM_BAD: f64 = 0.2;
const JAM_PART: f64 = 0.5;
const CUT_TO: f64 = 0.9;
const LOWER_BY: f64 = 0.9;
const RAISE_BY: f64 = 1.15;
const EASY_PART: f64 = 0.3;
const FLOOR_PART: f64 = 0.8;
const LEAST_PART: f64 = 0.05;
const EVERYTHING: f64 = 1e6;

/// How much is let in, against overload of whatever cause.
struct Valves {
    mode: Mode,
    allowed_per_s: f64,
    stepped_ms: f64,
    /// Kinds (mask), level and retry mode as last ordered for all proxies.
    ordered: Vec<(u16, f64, Retry)>,
}

impl Valves {
    /// Moves the valve by what all sound servers' answers say.
    fn step(&mut self, now: f64, heard: [f64; 3], target_ms: f64, came_per_s: f64, log: &mut Vec<Effect>) {
        let [tries, bad, time] = heard;
        if now - self.stepped_ms < LEVEL_EVERY_MS || tries < 20.0 {
            return;
        }
        let (bad_share, mean) = (bad / tries, time / (tries - bad).max(1.0));
        let done_per_s = (tries - bad) / (JAM_SPAN_MS / 1_000.0);
        let flow = match bad_share > JAM_BAD || mean > JAM_PART * target_ms {
            true => Flow::Jams,
            false if self.allowed_per_s > 1.2 * came_per_s => Flow::Slack,
            false => Flow::Flows,
        };
        let Some(&(_, _, mode, valve)) = LEVELS.iter().find(|row| row.0 == self.mode && row.1 == flow) else {
            return;
        };
        self.allowed_per_s = match valve {
            Valve::Cut => CUT_TO * done_per_s.min(came_per_s),
            // Answers to reqs of before the cut go on coming; what is done now can be let in.
            Valve::Lower => (self.allowed_per_s * LOWER_BY).max(FLOOR_PART * done_per_s),
            Valve::Raise => self.allowed_per_s * if mean < EASY_PART * target_ms { RAISE_BY } else { 1.05 },
            Valve::Release => EVERYTHING,
        };
        self.stepped_ms = now;
        if mode != self.mode {
            let (was, to) = (self.mode, self.allowed_per_s);
            log.push(Effect::Log(format!(
                "levels {was:?} -> {mode:?}: bad {bad_share:.2}, mean {mean:.0} ms, came {came_per_s:.0}, lets in {to:.0}"
            )));
        }
        self.mode = mode;
    }
}

/// The level for each proxy by which so much of their reqs is let in: it shaves the heaviest.
fn level_for(rates: &mut [f64], allowed: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = allowed;
    for (k, rate) in rates.iter().enumerate() {
        let even = left / (rates.len() - k) as f64;
        if *rate >= even {
            return even;
        }
        left -= rate;
    }
    EVERYTHING
}

/// When a proxy may try a req again without its effect happening twice. A try cut off at the
/// response target goes on running, so repeating it only adds load: proof is asked for always.
fn retry_of(mode: Mode) -> Retry {
    match mode {
        Mode::Open => Retry::IfUnrun,
        Mode::Tight => Retry::Never,
    }
}

/// Request kinds that may go to the same servers share tables.
struct KindGroup {
    kinds: Vec<KindId>,
    zones: Vec<ZoneId>,
    machines: Vec<u16>,
    own_zone: bool,
}

impl KindGroup {
    fn open(&self, listed: &Listed) -> bool {
        (self.zones.is_empty() || self.zones.contains(&listed.zone))
            && (self.machines.is_empty() || self.machines.contains(&listed.machine))
    }

    fn mask(&self) -> u16 {
        self.kinds.iter().fold(0, |mask, k| mask | 1 << k)
    }
}

fn group_kinds(kinds: &[ReqKind]) -> Vec<KindGroup> {
    let mut groups: Vec<KindGroup> = Vec::new();
    for (id, kind) in kinds.iter().enumerate().take(16) {
        let same = |g: &&mut KindGroup| {
            g.zones == kind.zones && g.machines == kind.machines && g.own_zone == kind.own_zone
        };
        let at = match groups.iter_mut().find(same) {
            Some(group) => group,
            None => {
                let (zones, machines, own_zone) = (kind.zones.clone(), kind.machines.clone(), kind.own_zone);
                groups.push(KindGroup { kinds: vec![], zones, machines, own_zone });
                groups.last_mut().expect("just pushed")
            }
        };
        at.kinds.push(id);
    }
    // The most bound kinds take their room on the ring first.
    groups.sort_by_key(|g| !(!g.zones.is_empty() || !g.machines.is_empty() || g.own_zone));
    groups
}

// ---- The controller and its gate ----------------------------------------------------------

pub struct Controller {
    rng: ChaCha8Rng,
    bounds: RuleBounds,
    pace: ChannelFacts,
    means: Means,
    kinds: usize,
    proxies: f64,
    list_asked: bool,
    ask_again_ms: f64,
    fleet: Fleet,
    demand: Demand,
    groups: Vec<KindGroup>,
    tables: BTreeMap<(ProxyId, usize), Table>,
    channel: Channel,
    valves: Valves,
    habits: ProxyHabits,
    values: Vec<f64>,
    targets: Vec<f64>,
    started: bool,
    settled: bool,
    hasty: bool,
    log: Vec<Effect>,
}

impl Controller {
    pub fn new(now: f64, start: Start) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(start.seed),
            bounds: start.bounds,
            pace: start.channel,
            means: start.means,
            kinds: start.kinds.len(),
            proxies: f64::from(start.place.proxies),
            list_asked: start.list.asked,
            ask_again_ms: ROUND_MS,
            fleet: Fleet { servers: BTreeMap::new(), heard: BTreeMap::new(), withdrawals: BTreeMap::new() },
            demand: Demand { proxies: BTreeMap::new(), all: Buckets::new(2_000.0, 12), zones: Flows::new() },
            groups: group_kinds(&start.kinds),
            tables: BTreeMap::new(),
            channel: Channel { written: 0.0, left: 0.0, as_of_ms: now, marks: BTreeMap::new(), next_mark: 0 },
            valves: Valves { mode: Mode::Open, allowed_per_s: EVERYTHING, stepped_ms: now, ordered: vec![] },
            habits: start.habits,
            values: start.kinds.iter().map(|k| k.value).collect(),
            targets: start.kinds.iter().map(|k| k.response_target_ms).collect(),
            started: false,
            settled: false,
            hasty: false,
            log: Vec::new(),
        }
    }

    /// Takes in what came and answers with orders.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Effect> {
        let mut out = Vec::new();
        let mut round = false;
        let mut heard = false;
        if !self.started {
            self.started = true;
            out.push(Effect::Alarm { in_ms: ROUND_MS, name: ROUND });
            if self.list_asked {
                out.push(Effect::Watch { on: true });
            }
        }
        for input in inputs {
            round |= matches!(input, Input::Alarm { name: ROUND });
            heard |= matches!(input, Input::Heard { .. });
            self.take(now, input, &mut out);
        }
        let target = self.usual_target(now);
        if (heard || round) && self.fleet.judge(now, target, &mut self.log) {
            self.hasty = true;
        }
        if round {
            out.push(Effect::Alarm { in_ms: ROUND_MS, name: ROUND });
            self.demand.resize(now, &mut self.log);
            self.judge_tables(now);
            self.tell_peers(&mut out);
            self.step_valves(now);
        }
        // Up to the first round proxies are still joining and peers' notes on their way.
        self.settled |= round;
        if round || (self.hasty && self.settled) {
            self.hasty = false;
            let tight = self.valves.mode == Mode::Tight;
            for server in self.fleet.servers.values_mut() {
                server.part = part_of(now, server, tight, &self.bounds);
            }
            self.cut_tables(now);
            self.gate(now, &mut out);
        }
        out.append(&mut self.log);
        out
    }

    fn take(&mut self, now: f64, input: &Input, out: &mut Vec<Effect>) {
        match input {
            Input::List { scope: ListScope::Failed, .. } => {
                // The list's service is shared: ask again later each time, and not in step with others.
                let in_ms = self.ask_again_ms * self.rng.random_range(0.5..1.5);
                self.ask_again_ms = (self.ask_again_ms * 2.0).min(8_000.0);
                out.push(Effect::Alarm { in_ms, name: ASK_AGAIN });
            }
            Input::List { scope, lines, .. } => {
                self.ask_again_ms = ROUND_MS;
                self.fleet.take_list(now, *scope, lines.clone(), &mut self.log);
                self.hasty = true;
            }
            Input::Alarm { name: ASK_AGAIN } => out.push(Effect::Watch { on: true }),
            Input::Note { bytes, .. } => self.take_note(now, bytes),
            Input::Joined { proxy, zone, usual_per_s, .. } => {
                let entry = self.demand.named(now, *proxy, *zone, *usual_per_s);
                entry.joined = true;
                entry.joined_ms = now;
                entry.zone = *zone;
                entry.written = Buckets::new(250.0, 48);
                for (_, table) in self.tables.range_mut((*proxy, 0)..=(*proxy, usize::MAX)) {
                    table.bound = false;
                }
                self.hasty = true;
            }
            Input::Left { proxy } => {
                if let Some(p) = self.demand.proxies.get_mut(proxy) {
                    p.joined = false;
                    p.seen_ms = now;
                }
                for (_, table) in self.tables.range_mut((*proxy, 0)..=(*proxy, usize::MAX)) {
                    table.bound = false;
                }
            }
            Input::Applied { proxy, mark, .. } => {
                self.channel.answered(*mark);
                for (_, table) in self.tables.range_mut((*proxy, 0)..=(*proxy, usize::MAX)) {
                    if table.pushed_mark.is_some_and(|pushed| pushed <= *mark) {
                        table.first_answer_ms.get_or_insert(now);
                    }
                }
            }
            Input::Heard { zone, server, tries, bad, mean_ms, .. } => {
                self.fleet.hear(now, *zone, *server, [*tries, *bad, mean_ms * (tries - bad)]);
            }
            Input::Usage { proxy, kind, came, .. } if *kind < KINDS => {
                let mut what = [0.0; KINDS];
                what[*kind] = *came;
                if let Some(p) = self.demand.proxies.get_mut(proxy) {
                    p.came.add(now, what);
                    p.seen_ms = now;
                }
                self.demand.all.add(now, what);
            }
            _ => {}
        }
    }

    /// A note names the sender's proxies: number, zone, and reqs a second their arcs are sized for.
    fn tell_peers(&mut self, out: &mut Vec<Effect>) {
        if !self.means.peers {
            return;
        }
        let mut own: Vec<_> = self.demand.proxies.iter().filter(|(_, p)| p.joined).collect();
        own.sort_by(|a, b| b.1.sized_per_s.total_cmp(&a.1.sized_per_s));
        let line = |(id, p): &(&ProxyId, &Proxy)| {
            [&id.to_le_bytes()[..], &p.zone.to_le_bytes(), &(p.met_per_s as f32).to_le_bytes()].concat()
        };
        let bytes: Vec<u8> = own.iter().take(32).flat_map(line).collect();
        if !bytes.is_empty() {
            out.push(Effect::Note { to: None, bytes });
        }
    }

    fn take_note(&mut self, now: f64, bytes: &[u8]) {
        for line in bytes.chunks_exact(8) {
            let [a, b, c, d, w @ ..] = line else { continue };
            let (proxy, zone) = (u16::from_le_bytes([*a, *b]), u16::from_le_bytes([*c, *d]));
            let per_s = f32::from_le_bytes(w.try_into().unwrap_or_default());
            if !self.demand.proxies.get(&proxy).is_some_and(|p| p.joined) && per_s.is_finite() && per_s > 0.0
            {
                let entry = self.demand.named(now, proxy, zone, f64::from(per_s));
                (entry.zone, entry.met_per_s) = (zone, f64::from(per_s));
            }
        }
    }

    fn step_valves(&mut self, now: f64) {
        let ids: Vec<ServerId> =
            self.fleet.servers.iter().filter(|(_, s)| s.part > 0.0).map(|(id, _)| *id).collect();
        let mut heard = [0.0; 3];
        for id in ids {
            let part = self.fleet.pooled(now, id, JAM_SPAN_MS);
            (0..3).for_each(|k| heard[k] += part[k]);
        }
        let came = self.demand.all.over(now, 4_000.0).iter().sum::<f64>() / 4.0;
        let target = self.usual_target(now);
        self.valves.step(now, heard, target, came, &mut self.log);
    }

    /// The mean response target of the reqs that come.
    fn usual_target(&mut self, now: f64) -> f64 {
        let came = self.demand.all.over(now, 4_000.0);
        let total: f64 = came.iter().sum();
        let mean = self.targets.iter().sum::<f64>() / self.targets.len().max(1) as f64;
        let met = self.targets.iter().zip(came).map(|(t, c)| t * c / total).sum::<f64>();
        if total > 0.0 { met } else { mean }
    }

    /// The levels and retry modes that all proxies are to have: what is let in goes to the kinds
    /// of the most value first.
    fn admits(&mut self, now: f64) -> Vec<(u16, f64, Retry)> {
        let retry = retry_of(self.valves.mode);
        if self.valves.mode == Mode::Open || self.habits.levels == Levels::Ignored {
            let all = (0..self.kinds.min(KINDS)).fold(0, |mask, k| mask | 1 << k);
            return vec![(all, EVERYTHING, retry)];
        }
        let mut order: Vec<KindId> = (0..self.kinds.min(KINDS)).collect();
        order.sort_by(|a, b| self.values[*b].total_cmp(&self.values[*a]));
        let mut left = self.valves.allowed_per_s;
        let mut admits = Vec::new();
        for kind in order {
            let joined = self.demand.proxies.values_mut().filter(|p| p.joined);
            let mut rates: Vec<f64> = joined.map(|p| p.came.over(now, 4_000.0)[kind] / 4.0).collect();
            let came: f64 = rates.iter().sum();
            let allowed = left.clamp(LEAST_PART * came, came);
            left -= allowed;
            let level = match self.habits.levels {
                Levels::Share => allowed / came.max(0.01),
                _ if allowed >= came => EVERYTHING,
                _ => level_for(&mut rates, allowed),
            };
            admits.push((1 << kind, level, retry));
        }
        admits
    }

    fn judge_tables(&mut self, now: f64) {
        for ((proxy, _), table) in &mut self.tables {
            let Some(p) = self.demand.proxies.get(proxy).filter(|p| p.joined) else { continue };
            let said = table.judge(now, self.means.report_period_ms, p.zone, &mut self.fleet);
            self.log.extend(said.map(Effect::Log));
        }
    }

    /// Cuts all arcs anew from the list, the health and the demand, and proposes their lines.
    fn cut_tables(&mut self, now: f64) {
        if self.means.slices > 0 {
            return;
        }
        let near = self.means.cross_zone_price > NEAR_PRICE;
        let calm = if self.valves.mode == Mode::Open { 1.0 } else { 0.0 };
        let slack = SLACK_PER_PRICE * self.means.cross_zone_price * calm;
        let zone_of = |zone: ZoneId| if near { zone } else { 0 };
        let ready: Vec<&Server> = self.fleet.servers.values().filter(|s| s.phase != Phase::Leaving).collect();
        let parts: Lines = ready.iter().map(|s| (s.listed.server, s.part)).collect();
        let known: f64 = self.demand.proxies.values().map(|p| p.sized_per_s).sum();
        let mean = known / self.demand.proxies.len().max(1) as f64;
        let demand = self.demand.zones_held(zone_of);
        let weight_of = |l: &Listed| l.weight * parts[&l.server];
        let all: f64 = ready.iter().map(|s| weight_of(&s.listed)).sum();
        let mut room = Flows::new();
        for s in &ready {
            *room.entry(zone_of(s.listed.zone)).or_insert(0.0) += weight_of(&s.listed) / all;
        }
        for (g, group) in self.groups.iter().enumerate() {
            let share = self.demand.share_of(now, &group.kinds, self.kinds);
            let mut segments: BTreeMap<ZoneId, Vec<&Listed>> = BTreeMap::new();
            let mut open_room = Flows::new();
            for s in ready.iter().filter(|s| group.open(&s.listed)) {
                let zone = zone_of(s.listed.zone);
                segments.entry(zone).or_default().push(&s.listed);
                *open_room.entry(zone).or_insert(0.0) += weight_of(&s.listed) / all;
            }
            // What more bound kinds bring to a zone leaves less room there for the others.
            open_room.iter_mut().for_each(|(z, r)| *r = r.min(room[z]));
            let open_all: f64 = open_room.values().sum::<f64>().max(1e-9);
            open_room.values_mut().for_each(|r| *r /= open_all);
            for (id, p) in self.demand.proxies.iter().filter(|(_, p)| p.joined) {
                let at = (f64::from(*id) + 0.5) / self.proxies.max(1.0) % 1.0;
                let reach =
                    in_steps((REACH * p.sized_per_s / mean / self.proxies.max(1.0)).clamp(REACH_LEAST, 1.0));
                let flows = flows_of(zone_of(p.zone), &demand, &open_room, slack, !group.own_zone);
                let arcs: Vec<_> = flows
                    .iter()
                    .filter_map(|(z, part)| Some((cut_arc(segments.get(z)?, at, reach), *part)))
                    .filter(|(_, part)| *part > 0.0)
                    .map(|(arc, part)| (arc.iter().map(|l| l.1).sum::<f64>(), arc, part))
                    .collect();
                let natural: f64 = arcs.iter().map(|a| a.0).sum();
                let mut lines = Lines::new();
                for (sum, arc, part) in &arcs {
                    let scale = if arcs.len() == 1 { 1.0 } else { part * natural / sum };
                    let grown = arc.iter().map(|(id, w)| (*id, w * scale * parts[id]));
                    lines.extend(grown.filter(|l| l.1 > 0.0));
                }
                let fresh = Table::new(self.tables.len() as TableId);
                self.tables.entry((*id, g)).or_insert(fresh).propose(lines);
            }
            for (zone, r) in &open_room {
                *room.entry(*zone).or_insert(0.0) -= (share * r).min(room[zone]);
            }
        }
    }

    /// The lines a table is to hold: the published revision's, less what is shut or struck, and
    /// never above what a server may have now (an older revision knows nothing of a restart).
    fn lines_of(&self, now: f64, table: &Table, group: &KindGroup, zone: ZoneId) -> Lines {
        let mut lines = Lines::new();
        for (id, weight) in table.newest().map_or(&Lines::new(), |r| &r.lines) {
            if let Some(server) = self.fleet.servers.get(id) {
                let most = server.listed.weight * server.part;
                if most > 0.0 {
                    lines.insert(*id, weight.min(most));
                }
            }
        }
        if lines.is_empty() {
            // Nobody is left bare: any listed server that the kinds are open to beats none.
            for (id, s) in &self.fleet.servers {
                let near = !group.own_zone || s.listed.zone == zone;
                if s.phase != Phase::Leaving && near && group.open(&s.listed) {
                    let part = s.part.max(ENTRY_PART);
                    lines.insert(*id, s.listed.weight * part);
                }
            }
        }
        lines
    }

    /// Lets orders through: withdrawals first, then proxies without our tables, then deltas; each
    /// only as far as the channel's and the proxies' limits reach.
    fn gate(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.channel.pass_time(now, self.pace.lines_per_s);
        let head = self.pace.head_lines + 1.0;
        let mut reached: BTreeMap<ProxyId, f64> = BTreeMap::new();
        let joined: Vec<ProxyId> =
            self.demand.proxies.iter().filter(|(_, p)| p.joined).map(|(id, _)| *id).collect();
        if joined.is_empty() {
            self.channel.left = self.channel.written;
        }
        let mark = self.channel.next_mark;
        for (server, shut) in std::mem::take(&mut self.fleet.withdrawals) {
            out.push(Effect::Withdraw { server, out: shut });
            joined.iter().for_each(|id| *reached.entry(*id).or_insert(head) += 1.0);
        }
        let admits = if self.valves.stepped_ms == now || self.valves.ordered.is_empty() {
            self.admits(now)
        } else {
            self.valves.ordered.clone()
        };
        if admits != self.valves.ordered {
            for (kinds, level, retry) in &admits {
                out.push(Effect::Admit { table: None, kinds: *kinds, level: *level, retry: *retry });
                joined.iter().for_each(|id| *reached.entry(*id).or_insert(head) += 1.0);
            }
            self.valves.ordered = admits;
        }
        let limit = self.pace.messages_most;
        for bare in [true, false] {
            let part = if bare { BARE_PART } else { DELTAS_PART };
            for id in &joined {
                let p = self.demand.proxies.get_mut(id).expect("joined");
                let zone = p.zone;
                let written = p.written.over(now, self.pace.messages_over_ms + 500.0)[0];
                let spent = limit > 0 && written + 1.0 > f64::from(limit) * part;
                if spent && !reached.contains_key(id) {
                    continue;
                }
                for g in 0..self.groups.len() {
                    let Some(table) = self.tables.get(&(*id, g)) else { continue };
                    if table.bound == bare {
                        continue;
                    }
                    let lines = self.lines_of(now, table, &self.groups[g], zone);
                    let changed = lines.iter().filter(|(s, w)| table.held.get(*s) != Some(*w));
                    let dropped = table.held.keys().filter(|s| !lines.contains_key(*s));
                    let mut orders: Vec<(ServerId, f64)> = changed.map(|(s, w)| (*s, *w)).collect();
                    orders.extend(dropped.map(|s| (*s, 0.0)));
                    if lines.is_empty() || (orders.is_empty() && !bare) {
                        continue;
                    }
                    let size = if bare { lines.len() + self.valves.ordered.len() + 1 } else { orders.len() };
                    let opening = if reached.contains_key(id) { 0.0 } else { head };
                    let so_far: f64 = reached.values().sum();
                    let waiting = self.channel.waiting() + so_far + opening + size as f64;
                    if waiting > self.pace.backlog_lines * part {
                        continue;
                    }
                    *reached.entry(*id).or_insert(head) += size as f64;
                    let prior = bad_share(now, zone, &table.held, &mut self.fleet).0;
                    let table = self.tables.get_mut(&(*id, g)).expect("just read");
                    let published = table.newest().map_or(0, |r| r.name);
                    for (server, weight) in orders {
                        out.push(Effect::Line { table: table.id, server, weight });
                    }
                    if bare {
                        let kinds = self.groups[g].mask();
                        out.push(Effect::Bind { proxy: *id, table: table.id, kinds });
                        table.bound = true;
                    }
                    table.held = lines;
                    if table.published != published {
                        table.published = published;
                        table.pushed_ms = now;
                        table.pushed_mark = Some(mark);
                        table.first_answer_ms = None;
                        table.judged = false;
                        table.prior_bad = prior;
                    }
                }
            }
        }
        if reached.is_empty() {
            return;
        }
        out.push(Effect::Mark { mark, all: false });
        self.channel.next_mark = (mark + 1) % 65_536;
        self.channel.marks.insert(mark, self.channel.written);
        self.channel.written += reached.values().sum::<f64>();
        for id in reached.keys() {
            self.demand.proxies.get_mut(id).expect("joined").written.add(now, [1.0]);
        }
    }
}
