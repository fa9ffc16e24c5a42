//! Bytes become JSON values within bounds, and what is wrong with them a fault of the configuration.

use crate::faults::CONFIGURATION;
use rookpulley_diagnostics::{Bounds, Faults, Nesting, Place, Unread, read};
use std::fmt::Display;
use tinyjson::{JsonParseError, JsonValue};

/// A configuration of 3,000 routes takes about half a megabyte, one of 35,000 six.
pub const MAX_BYTES: usize = 8 << 20;
/// Deeper values are refused.
pub const MAX_DEPTH: usize = 64;
/// In what is built at once: all but the rules, or one rule, or the whole where it must be told what is wrong with it.
pub const MAX_VALUES: usize = 250_000;
/// So many brackets stand open round a rule.
const DEPTH_OF_RULE: usize = 4;

const BOUNDS: Bounds = Bounds {
    bytes: MAX_BYTES,
    nesting: Nesting::Levels(MAX_DEPTH),
    values: MAX_VALUES,
};

/// A rule alone; none where it is faulty.
pub(crate) fn parse_rule(bytes: &[u8]) -> Option<JsonValue> {
    read(
        bytes,
        Bounds {
            nesting: Nesting::Levels(MAX_DEPTH - DEPTH_OF_RULE),
            ..BOUNDS
        },
    )
    .ok()
}

pub(crate) fn parse(bytes: &[u8]) -> Result<JsonValue, Unread> {
    read(bytes, BOUNDS)
}

/// Bytes that are no text are told of as such, whatever else was found in them.
pub(crate) fn unread(bytes: &[u8], why: Unread) -> Faults {
    let after = |end: usize| Place::after(bytes.get(..end).unwrap_or(bytes));
    match (why, std::str::from_utf8(bytes)) {
        (Unread::Long, _) => fault(
            "the body",
            format!("{} bytes long", bytes.len()),
            format!("at most {MAX_BYTES} bytes"),
        ),
        (Unread::NotUtf8(e), _) | (_, Err(e)) => fault(
            after(e.valid_up_to()),
            "no UTF-8",
            "the whole configuration as JSON in UTF-8",
        ),
        (Unread::Deep { at }, _) => fault(
            after(at),
            "nested too deep",
            format!("at most {MAX_DEPTH} levels"),
        ),
        (Unread::Many { at }, _) => fault(
            after(at),
            "one value too many",
            format!("at most {MAX_VALUES} values"),
        ),
        (Unread::NoJson(e), _) => no_json(&e),
    }
}

fn no_json(e: &JsonParseError) -> Faults {
    let place = Place {
        line: e.line(),
        column: e.column(),
    };
    let told = e.to_string();
    let cause = told.split_once(": ").map_or("no JSON", |(_, cause)| cause);
    if cause.starts_with("Unexpected EOF") {
        fault(
            place,
            "where the text ends too soon",
            "the whole configuration; this one was cut short",
        )
    } else {
        fault(
            place,
            format!("no JSON ({cause})"),
            "one JSON object and nothing after it",
        )
    }
}

fn fault(place: impl Display, found: impl Display, instead: impl Display) -> Faults {
    Faults::one(&CONFIGURATION, place, found, instead)
}
