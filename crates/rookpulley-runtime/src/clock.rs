//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// The time of day in milliseconds since the start of 1970. It may step; a process reads it once, at its start.
pub fn unix_ms() -> f64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
