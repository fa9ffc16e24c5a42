//! Parses JSON within bounds and converts parse errors to configuration faults.

use crate::faults::CONFIGURATION;
use rookpulley_diagnostics::{Faults, JsonError, JsonLimits, Nesting, Position, parse_json};
use std::fmt::Display;
use tinyjson::{JsonParseError, JsonValue};

/// Maximum size of a configuration. One of 3,000 routes takes about half a megabyte, one of 35,000 about six.
pub const MAX_BYTES: usize = 8 << 20;
/// Maximum nesting depth.
pub const MAX_DEPTH: usize = 64;
/// Maximum number of JSON values in one parsed document: a single rule, the configuration without its rules, or the
/// complete configuration when it is parsed for error reporting.
pub const MAX_VALUES: usize = 250_000;
/// Nesting depth at which a rule starts.
const RULE_DEPTH: usize = 4;

const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: MAX_BYTES,
    nesting: Nesting::Levels(MAX_DEPTH),
    max_values: MAX_VALUES,
};

/// Parses a single rule. `None` if it is invalid.
pub(crate) fn parse_rule(bytes: &[u8]) -> Option<JsonValue> {
    parse_json(
        bytes,
        JsonLimits {
            nesting: Nesting::Levels(MAX_DEPTH - RULE_DEPTH),
            ..BOUNDS
        },
    )
    .ok()
}

pub(crate) fn parse(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    parse_json(bytes, BOUNDS)
}

/// Converts a parse error to a fault. Invalid UTF-8 is reported in preference to other errors, except for the size.
pub(crate) fn parse_fault(bytes: &[u8], error: JsonError) -> Faults {
    let after = |end: usize| Position::after(bytes.get(..end).unwrap_or(bytes));
    match (error, std::str::from_utf8(bytes)) {
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
        (JsonError::Syntax(e), _) => syntax_fault(&e),
    }
}

fn syntax_fault(e: &JsonParseError) -> Faults {
    let place = Position {
        line: e.line(),
        column: e.column(),
    };
    let message = e.to_string();
    let cause = message
        .split_once(": ")
        .map_or("no JSON", |(_, cause)| cause);
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
