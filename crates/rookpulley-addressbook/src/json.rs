//! Bytes become JSON values. What would cost too much stack or memory is refused before it is built.

use crate::faults::CONFIGURATION;
use rookpulley_returns::{Faults, Place};
use std::fmt::Display;
use tinyjson::JsonValue;

/// A configuration of 3,000 routes takes about a megabyte.
pub const BYTES_MOST: usize = 8 << 20;
/// The parser calls itself for each value within a value.
pub const DEPTH_MOST: usize = 64;
/// Each value costs some hundred bytes at worst, whatever it takes on the wire.
pub const VALUES_MOST: usize = 250_000;

pub(crate) fn parse(bytes: &[u8]) -> Result<JsonValue, Faults> {
    if bytes.len() > BYTES_MOST {
        let found = format!("{} bytes long", bytes.len());
        return Err(fault("the body", found, format!("at most {BYTES_MOST} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let before = bytes.get(..e.valid_up_to()).unwrap_or(bytes);
        fault(Place::after(before), "no UTF-8", "the whole configuration as JSON in UTF-8")
    })?;
    weigh(bytes)?;
    text.parse().map_err(|e: tinyjson::JsonParseError| {
        let place = Place { line: e.line(), column: e.column() };
        let told = e.to_string();
        let cause = told.split_once(": ").map_or("no JSON", |(_, cause)| cause);
        if cause.starts_with("Unexpected EOF") {
            fault(place, "where the text ends too soon", "the whole configuration; this one was cut short")
        } else {
            fault(place, format!("no JSON ({cause})"), "one JSON object and nothing after it")
        }
    })
}

fn fault(place: impl Display, found: impl Display, instead: impl Display) -> Faults {
    Faults::one(&CONFIGURATION, place, found, instead)
}

/// Counts depth and values, without building any.
fn weigh(bytes: &[u8]) -> Result<(), Faults> {
    let (mut depth, mut values, mut quoted, mut escaped) = (0usize, 1usize, false, false);
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'[' | b'{' => (depth, values) = (depth + 1, values + 1),
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' => values += 1,
            _ => {}
        }
        if depth > DEPTH_MOST || values > VALUES_MOST {
            let place = Place::after(bytes.get(..at).unwrap_or(bytes));
            return Err(if depth > DEPTH_MOST {
                fault(place, "nested too deep", format!("at most {DEPTH_MOST} levels"))
            } else {
                fault(place, "one value too many", format!("at most {VALUES_MOST} values"))
            });
        }
    }
    Ok(())
}
