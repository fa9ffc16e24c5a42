//! Slow start: the fraction of its listed weight that a server currently receives.

use crate::{interface::*, rules::arcs::STEPS, shares::cold_server_factors, state::*};

pub(super) const RAMP_MS: f64 = 30_000.0;
pub(super) const ENTRY_PART: f64 = 0.25;
/// While throttled, a cold server receives no traffic until it can handle this multiple of its share.
const MULTIPLE_THROTTLED: f64 = 2.0;
/// Required multiple while the load is not yet known.
const MULTIPLE_UNKNOWN: f64 = 3.0;

/// Capacity multiple that a cold server needs. A controller that has too few reports assumes that the fleet may be
/// overloaded: controllers that had just started took it for calm and overloaded cold servers.
pub(super) fn required_multiple(now: f64, admission: &AdmissionControl) -> f64 {
    match admission.mode {
        Mode::Open if now >= admission.stepped_ms => 0.0,
        Mode::Throttled => MULTIPLE_THROTTLED,
        Mode::Open => MULTIPLE_UNKNOWN,
    }
}

/// Fraction of its full capacity that a warming server is assured to have.
fn assured_share(now: f64, server: &Server, bounds: &SafetyBounds) -> f64 {
    let age = now - server.listed.started_ms;
    bounds.cold_share + (1.0 - bounds.cold_share) * (age / bounds.warm_up_ms).clamp(0.0, 1.0)
}

pub(super) fn is_cold(now: f64, server: &Server, bounds: &SafetyBounds) -> bool {
    server.phase == Phase::Ramping && assured_share(now, server, bounds) < 1.0
}

/// Limits cold servers to their fair share of all requests. Arcs skip unavailable servers, which would overload a cold
/// server that follows them on the ring: in a zone full of new, failing servers a cold one got five times its share. The
/// warm servers of the same tables take the difference.
pub(super) fn limit_cold_servers(
    now: f64,
    fleet: &Fleet,
    per_weight: f64,
    by: &SafetyBounds,
    cut: &mut [(f64, ServerWeights)],
) {
    let cold = |s: &&Server| is_cold(now, s, by);
    let fair = |s: &Server| (s.listed.server, s.part * s.listed.weight * per_weight);
    let fair: ServerWeights = fleet.servers.values().filter(cold).map(fair).collect();
    let less = cold_server_factors(cut, &fair);
    // Rounded so that one entry's change does not rewrite all entries.
    for (id, w) in cut.iter_mut().flat_map(|(_, lines)| lines) {
        *w *= less
            .get(id)
            .map_or(1.0, |l| (l * STEPS).round().max(1.0) / STEPS);
    }
}

pub(super) fn ramped_share(
    now: f64,
    server: &Server,
    sure_multiple: f64,
    bounds: &SafetyBounds,
) -> f64 {
    let Phase::Ramping = server.phase else {
        return if server.phase == Phase::Warm {
            1.0
        } else {
            0.0
        };
    };
    // While throttled, proxies concentrate on servers that do not fail, which would overload a cold one. The cost is
    // that a zone of cold servers is used later.
    let sure = assured_share(now, server, bounds);
    if sure < 1.0 && sure * bounds.fall_multiple < sure_multiple {
        return 0.0;
    }
    let grown = ENTRY_PART + (1.0 - ENTRY_PART) * (now - server.ramp_from_ms).max(0.0) / RAMP_MS;
    ((grown.min(sure) * STEPS).floor() / STEPS).clamp(ENTRY_PART, 1.0)
}
