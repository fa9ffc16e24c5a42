//! Arithmetic for distributing load: arcs of the server ring, flows between zones, cold-server limits, admission
//! levels.

use crate::{interface::*, rules::levels::UNLIMITED, state::*};

/// Returns the start of a new arc: the server with the least load from the arcs placed so far.
pub fn least_loaded(ring: &[&ServerEntry], loads: &ServerWeights) -> ServerId {
    let load = |l: &ServerEntry| loads.get(&l.server).copied().unwrap_or(0.0);
    ring.iter()
        .min_by(|a, b| load(a).total_cmp(&load(b)))
        .map_or_else(ServerId::default, |l| l.server)
}

/// Builds an arc of about `lines` average servers, starting at `from`, with their listed weights.
pub fn build_arc(ring: &[&ServerEntry], from: ServerId, lines: f64) -> ServerWeights {
    let wanted = lines * ring.iter().map(|l| l.weight).sum::<f64>() / ring.len() as f64;
    let first = ring.partition_point(|l| l.server < from);
    let (mut reached, mut arc) = (0.0, ServerWeights::new());
    for listed in ring[first..].iter().chain(&ring[..first]) {
        if reached + listed.weight / 2.0 > wanted && reached > 0.0 {
            break;
        }
        reached += listed.weight;
        arc.insert(listed.server, listed.weight);
    }
    arc
}

/// Splits a zone's demand between zones: its own zone first, the remainder by spare capacity. All values are fractions
/// of the total, rounded to `1 / steps`.
pub fn flows_of(zone: ZoneId, demand: &Shares, room: &Shares, slack: f64, steps: f64) -> Shares {
    let in_steps = |x: f64| (x * steps).round() / steps;
    let room_of = |z: &ZoneId| room.get(z).copied().unwrap_or(0.0) * (1.0 + slack);
    let wanted = |z: &ZoneId| demand.get(z).copied().unwrap_or(0.0);
    let home = (room_of(&zone) / wanted(&zone).max(1e-9)).min(1.0);
    if home > 1.0 - 0.5 / steps {
        return Shares::from([(zone, 1.0)]);
    }
    let left: Vec<_> = room
        .keys()
        .map(|z| (*z, (room_of(z) - wanted(z)).max(0.0)))
        .collect();
    let all_left: f64 = left.iter().map(|l| l.1).sum::<f64>().max(1e-9);
    let mut flows: Shares = left
        .iter()
        .map(|(z, l)| (*z, in_steps((1.0 - home) * l / all_left)))
        .collect();
    *flows.entry(zone).or_insert(0.0) += in_steps(home);
    flows.retain(|_, part| *part > 0.0);
    flows
}

/// Reducing one server's weight raises its neighbours' load, so the computation is iterated.
const PASSES: usize = 3;

/// Returns the factors that limit each server in `fair` to its fair share of the tables' load. A table splits its load
/// in proportion to the weights of its entries.
pub fn cold_server_factors(tables: &[(f64, ServerWeights)], fair: &ServerWeights) -> ServerWeights {
    let mut less: ServerWeights = fair.keys().map(|id| (*id, 1.0)).collect();
    for _ in 0..if fair.is_empty() { 0 } else { PASSES } {
        let mut loads = ServerWeights::new();
        for (per_s, lines) in tables {
            let now_at = |(id, w): (&ServerId, &f64)| w * less.get(id).unwrap_or(&1.0);
            let sum: f64 = lines.iter().map(now_at).sum();
            for line in lines.iter().filter(|(id, _)| less.contains_key(*id)) {
                *loads.entry(*line.0).or_insert(0.0) += per_s * now_at(line) / sum.max(1e-9);
            }
        }
        loads
            .iter()
            .for_each(|(id, load)| *less.entry(*id).or_insert(1.0) *= (fair[id] / load).min(1.0));
    }
    less
}

/// Returns the per-proxy rate limit at which `allowed` requests are admitted in total; only the busiest proxies are
/// cut.
pub fn level_for(mut rates: Vec<f64>, allowed: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let (mut left, mut others) = (allowed, rates.len() as f64);
    for rate in rates {
        if rate >= left / others {
            return left / others;
        }
        (left, others) = (left - rate, others - 1.0);
    }
    UNLIMITED
}
