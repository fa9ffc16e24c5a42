//! The part of its listed weight that a server may have now.

use crate::{facts::*, rules::arcs::STEPS, state::*};

pub(super) const RAMP_MS: f64 = 30_000.0;
pub(super) const ENTRY_PART: f64 = 0.25;
/// In a jam a cold server waits until it is sure to stand this many times its full work.
const SURE_IN_JAM: f64 = 2.0;
/// The same while nobody knows yet.
const SURE_UNKNOWN: f64 = 3.0;

/// One just started, or that hears little, knows of no jam: such ones pushed cold servers over.
pub(super) fn sure_for(now: f64, valves: &Valves) -> f64 {
    match valves.mode {
        Mode::Open if now >= valves.stepped_ms => 0.0,
        Mode::Tight => SURE_IN_JAM,
        Mode::Open => SURE_UNKNOWN,
    }
}

pub(super) fn part_of(now: f64, server: &Server, sure_multiple: f64, bounds: &RuleBounds) -> f64 {
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
