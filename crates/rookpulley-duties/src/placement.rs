//! Placement: a free lease is asked for by one controller first, and by the others after it if it doesn't.

use twox_hash::XxHash64;

/// Position of a controller among the candidates for a duty, by rendezvous hashing. Adding or removing one candidate
/// changes the order of the others only by its own place. None if `me` is no candidate.
pub fn rank(duty: &str, me: u64, candidates: &[u64]) -> Option<usize> {
    if !candidates.contains(&me) {
        return None;
    }
    let own = weight(duty, me);
    let before = candidates.iter().filter(|id| weight(duty, **id) < own);
    Some(before.count())
}

fn weight(duty: &str, id: u64) -> (u64, u64) {
    (XxHash64::oneshot(id, duty.as_bytes()), id)
}
