//! Estimates of the demand of each proxy, zone and request kind.

use crate::{interface::*, rules::ROUND_MS, rules::arcs::STEPS, rules::arcs::in_steps, state::*};

const RESIZE_DEVIATION: f64 = 0.5;
const RESIZE_AFTER_MS: f64 = 10_000.0;
const ZONE_DEVIATION: f64 = 0.2;
const USAGE_SPAN_MS: f64 = 8_000.0;
pub(super) const LEVEL_SPAN_MS: f64 = 4_000.0;
/// Time after which a proxy without reports, or a removed server, is forgotten.
pub(super) const FORGET_MS: f64 = 10_000.0;

impl Demand {
    /// Resizes the arcs of proxies whose demand has deviated for a sustained time; removes expired proxies.
    pub(super) fn resize(&mut self, now: f64, log: &mut Log) {
        self.proxies
            .retain(|_, p| p.joined || now - p.seen_ms < FORGET_MS);
        let known = |p: &Proxy| p.joined && now - p.joined_ms >= USAGE_SPAN_MS + 2.0 * ROUND_MS;
        let (mut sized, mut met) = (0.0, 0.0);
        for p in self.proxies.values_mut().filter(|p| known(p)) {
            p.observed_per_s =
                p.came.over(now, USAGE_SPAN_MS).iter().sum::<f64>() / USAGE_SPAN_MS * 1e3;
            (sized, met) = (sized + p.sized_per_s, met + p.observed_per_s);
        }
        for (id, p) in self
            .proxies
            .iter_mut()
            .filter(|(_, p)| known(p) && met > 0.0)
        {
            let fair = p.observed_per_s * sized / met;
            if (fair - p.sized_per_s).abs() <= RESIZE_DEVIATION * p.sized_per_s {
                p.deviating_since_ms = None;
            } else if now - *p.deviating_since_ms.get_or_insert(now) >= RESIZE_AFTER_MS {
                log.push(format!(
                    "proxy {id} arc resized: {:.2} -> {fair:.2} reqs/s",
                    p.sized_per_s
                ));
                (p.sized_per_s, p.deviating_since_ms) = (fair.max(0.01), None);
                p.places.clear();
            }
        }
    }

    /// Fraction of the fleet's requests that this controller's proxies receive; unknown proxies count as average.
    pub(super) fn share_of_demand(&self, proxies: f64) -> f64 {
        let known: f64 = self.proxies.values().map(|p| p.observed_per_s).sum();
        let own: f64 = self
            .proxies
            .values()
            .filter(|p| p.joined)
            .map(|p| p.observed_per_s)
            .sum();
        (own / known.max(1e-9) * (self.proxies.len().max(1) as f64 / proxies).min(1.0)).max(1e-3)
    }

    /// The zones' shares of the demand, updated only when one deviates noticeably.
    pub(super) fn stable_zone_shares(&mut self, zone_of: impl Fn(ZoneId) -> ZoneId) -> Shares {
        let all: f64 = self.proxies.values().map(|p| p.observed_per_s).sum();
        // Without traffic, keep the previous shares.
        if all <= 0.0 {
            return self.zones.clone();
        }
        let mut met = Shares::new();
        for p in self.proxies.values() {
            *met.entry(zone_of(p.zone)).or_insert(0.0) += p.observed_per_s / all;
        }
        let held = |z: &ZoneId| self.zones.get(z).copied().unwrap_or(0.0);
        let off = |(z, m): (&ZoneId, &f64)| (m - held(z)).abs() > ZONE_DEVIATION * held(z);
        if met.iter().any(off) || self.zones.len() != met.len() {
            self.zones = met;
        }
        self.zones.clone()
    }

    /// Share of the requests that are of these kinds, rounded so that it changes rarely.
    pub(super) fn share_of(&mut self, now: f64, some: &[KindId], kinds: usize) -> f64 {
        let came = self.came.over(now, 20_000.0);
        let total: f64 = came.iter().sum();
        let met = some.iter().map(|k| came[*k]).sum::<f64>() / total.max(1.0);
        let share = if total < 50.0 {
            some.len() as f64 / kinds as f64
        } else {
            met
        };
        in_steps(share).max(1.0 / STEPS)
    }

    /// Average response target, weighted by request rate.
    pub(super) fn usual_target_ms(&mut self, now: f64, kinds: &[RequestKind]) -> f64 {
        let came = self.came.over(now, LEVEL_SPAN_MS);
        let total: f64 = came.iter().sum::<f64>() + 1e-3 * kinds.len() as f64;
        kinds
            .iter()
            .zip(came)
            .map(|(k, c)| k.response_target_ms * (c + 1e-3) / total)
            .sum()
    }
}
