//! Computes each proxy's table from the server list, server health and demand.

use crate::{interface::*, rules::parts, shares::*, state::*};
use std::collections::{BTreeMap, BTreeSet};

/// Bounds on the length of an average proxy's arc: adding it loads no server by more than this fraction of its share,
/// all proxies together use at most this fraction of the servers' connections, and rewriting all tables of one
/// controller takes at most this fraction of its queue.
const MAX_ARC_LOAD_SHARE: f64 = 0.05;
const CONNECTION_SHARE: f64 = 0.3;
const REWRITE_QUEUE_SHARE: f64 = 0.2;
pub(super) const MIN_ARC_LINES: f64 = 4.0;
/// Above this cross-zone price, traffic stays in its zone as far as capacity allows.
const ZONE_LOCAL_PRICE: f64 = 0.02;
const SLACK_PER_PRICE: f64 = 1.0;
pub(super) const STEPS: f64 = 8.0;

pub(super) fn in_steps(x: f64) -> f64 {
    (x * STEPS).round() / STEPS
}

/// Length of an average proxy's arc, rounded to powers of the square root of two so that it changes rarely.
fn arc_size(ring: f64, own: f64, by_conns: f64, pace: &ChannelLimits) -> f64 {
    let by_queue = REWRITE_QUEUE_SHARE * pace.backlog_lines / own - pace.header_lines;
    let most = (ring / own / MAX_ARC_LOAD_SHARE)
        .min(by_conns)
        .min(by_queue)
        .max(MIN_ARC_LINES);
    ((most.log2() * 2.0).round() / 2.0).exp2()
}

impl Controller {
    pub(super) fn compute_tables(&mut self, now: f64) {
        let near = self.capabilities.cross_zone_price > ZONE_LOCAL_PRICE;
        let zone_of = |zone: ZoneId| if near { zone } else { 0 };
        // During overload, balance load evenly across zones whatever crossing them costs.
        let overloaded = self.admission.mode == Mode::Throttled;
        let slack = if overloaded {
            0.0
        } else {
            SLACK_PER_PRICE * self.capabilities.cross_zone_price
        };
        let demand = self.demand.stable_zone_shares(zone_of);
        let sized: f64 = self.demand.proxies.values().map(|p| p.sized_per_s).sum();
        let mean_per_s = sized / self.demand.proxies.len().max(1) as f64;
        let ready: Vec<&Server> = self
            .fleet
            .servers
            .values()
            .filter(|s| s.phase != Phase::Leaving)
            .collect();
        let zones: BTreeSet<ZoneId> = ready.iter().map(|s| zone_of(s.listed.zone)).collect();
        let (servers, own) = (ready.len() as f64, self.proxies / self.controllers);
        let by_conns =
            CONNECTION_SHARE * self.capabilities.min_connections * servers / self.proxies;
        let mean_lines = arc_size(
            servers / zones.len().max(1) as f64,
            own,
            by_conns,
            &self.pace,
        );
        // Narrow arcs that contain only cold servers would overload them.
        let cold = ready.iter().any(|s| parts::is_cold(now, s, &self.bounds));
        let reach = if cold { 1.0 } else { self.admission.arc_scale };
        let mean_lines = (mean_lines * reach).max(MIN_ARC_LINES / 2.0);
        let least_lines = MIN_ARC_LINES.min(mean_lines);
        let parts: &ServerWeights = &ready.iter().map(|s| (s.listed.server, s.part)).collect();
        let all: f64 = ready
            .iter()
            .map(|s| s.part * s.listed.weight)
            .sum::<f64>()
            .max(1e-9);
        let mut taken = Shares::new();
        for (g, group) in self.groups.iter().enumerate() {
            let (mut rings, mut room) =
                (BTreeMap::<ZoneId, Vec<&ServerEntry>>::new(), Shares::new());
            for s in ready
                .iter()
                .filter(|s| s.part > 0.0 && group.open(&s.listed))
            {
                let zone = zone_of(s.listed.zone);
                rings.entry(zone).or_default().push(&s.listed);
                *room.entry(zone).or_insert(0.0) += s.part * s.listed.weight / all;
            }
            // Capacity taken by more restricted groups is not available to the others.
            room.iter_mut()
                .for_each(|(z, r)| *r = (*r - taken.get(z).unwrap_or(&0.0)).max(0.0));
            let open: f64 = room.values().sum::<f64>().max(1e-9);
            room.values_mut().for_each(|r| *r /= open);
            let share = self.demand.share_of(now, &group.kinds, self.kinds.len());
            room.iter()
                .for_each(|(z, r)| *taken.entry(*z).or_insert(0.0) += share * r);
            // Existing arcs keep their start; new ones start where the ring is loaded least.
            let mut laid: Vec<_> = self
                .demand
                .proxies
                .iter_mut()
                .filter(|(_, p)| p.joined)
                .collect();
            laid.sort_by(|a, b| b.1.sized_per_s.total_cmp(&a.1.sized_per_s));
            laid.sort_by_key(|(_, p)| p.places.is_empty());
            let (mut loads, mut ids, mut cut) = (ServerWeights::new(), Vec::new(), Vec::new());
            for (id, p) in laid {
                let flows = match group.like.own_zone {
                    true => Shares::from([(p.zone, 1.0)]),
                    false => flows_of(
                        zone_of(p.zone),
                        &demand,
                        &room,
                        slack,
                        self.capabilities.flow_steps,
                    ),
                };
                let wanted = (mean_lines * p.sized_per_s / mean_per_s).max(least_lines);
                let mut arcs: Vec<(ServerWeights, f64)> = Vec::new();
                for (zone, part) in &flows {
                    let Some(ring) = rings.get(zone) else {
                        continue;
                    };
                    let from = *p
                        .places
                        .entry(*zone)
                        .or_insert_with(|| least_loaded(ring, &loads));
                    let arc = build_arc(ring, from, (wanted * part).max(least_lines / 2.0));
                    let density = part / arc.values().sum::<f64>();
                    arc.keys()
                        .for_each(|s| *loads.entry(*s).or_insert(0.0) += p.sized_per_s * density);
                    arcs.push((arc, density));
                }
                // Rounded so that one entry's change does not rewrite all entries; never above the listed weight.
                let most = arcs.iter().map(|(_, density)| *density).fold(0.0, f64::max);
                let lines = arcs.into_iter().flat_map(|(arc, density)| {
                    let scale = in_steps(density / most).max(1.0 / STEPS);
                    arc.into_iter()
                        .map(move |(server, weight)| (server, weight * scale * parts[&server]))
                });
                ids.push(*id);
                cut.push((p.sized_per_s * share, lines.collect()));
            }
            parts::limit_cold_servers(
                now,
                &self.fleet,
                mean_per_s * self.proxies / all,
                &self.bounds,
                &mut cut,
            );
            for (id, (_, lines)) in ids.into_iter().zip(cut) {
                let id_of_new = self.tables.len() as TableId;
                let fresh = || Table {
                    id: id_of_new,
                    ..Table::default()
                };
                self.tables
                    .entry((id, g))
                    .or_insert_with(fresh)
                    .propose(lines);
            }
        }
    }
}
