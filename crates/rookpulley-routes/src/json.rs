//! Bytes become JSON values within bounds, and what is wrong with them a fault of the configuration.

use crate::faults::CONFIGURATION;
use rookpulley_diagnostics::{Faults, JsonError, JsonLimits, Nesting, Position, parse_json};
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

const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: MAX_BYTES,
    nesting: Nesting::Levels(MAX_DEPTH),
    max_values: MAX_VALUES,
};

/// A rule alone; none where it is faulty.
pub(crate) fn parse_rule(bytes: &[u8]) -> Option<JsonValue> {
    parse_json(
        bytes,
        JsonLimits {
            nesting: Nesting::Levels(MAX_DEPTH - DEPTH_OF_RULE),
            ..BOUNDS
        },
    )
    .ok()
}

pub(crate) fn parse(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    parse_json(bytes, BOUNDS)
}

/// Bytes that are no text are told of as such, whatever else was found in them.
pub(crate) fn unread(bytes: &[u8], why: JsonError) -> Faults {
    let after = |end: usize| Position::after(bytes.get(..end).unwrap_or(bytes));
    match (why, std::str::from_utf8(bytes)) {
        (JsonError::TooLong, _) => fault(
            "the body",
            format!("{} bytes long", bytes.len()),
            format!("at most {MAX_BYTES} bytes"),
        ),
        (JsonError::NotUtf8(e), _) | (_, Err(e)) => fault(
            after(e.valid_up_to()),
            "no UTF-8",
            "the whole configuration as JSON in UTF-8",
        ),
        (JsonError::TooDeep { offset }, _) => fault(
            after(offset),
            "nested too deep",
            format!("at most {MAX_DEPTH} levels"),
        ),
        (JsonError::TooManyValues { offset }, _) => fault(
            after(offset),
            "one value too many",
            format!("at most {MAX_VALUES} values"),
        ),
        (JsonError::Syntax(e), _) => no_json(&e),
    }
}

fn no_json(e: &JsonParseError) -> Faults {
    let place = Position {
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
