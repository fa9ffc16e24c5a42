//! Text for faults: a position in a document, a value, a count.

use std::fmt::{self, Display, Formatter};
use tinyjson::JsonValue;

/// A position in a document; lines and columns start at 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl Position {
    /// The position of the byte that follows `before`.
    pub fn after(before: &[u8]) -> Self {
        let last = before
            .rsplit(|byte| *byte == b'\n')
            .next()
            .unwrap_or_default();
        let lines = before.iter().filter(|byte| **byte == b'\n').count();
        Self {
            line: lines + 1,
            column: String::from_utf8_lossy(last).chars().count() + 1,
        }
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Formats a value for a fault. `holder` is the name of an object in the format at hand, such as "a table" in TOML.
/// A string is cut to `limit` characters; with its quotes it still exceeds the limit, so `Faults` marks the cut.
pub fn describe(value: &JsonValue, holder: &str, limit: usize) -> String {
    match value {
        JsonValue::Null => "null".into(),
        JsonValue::Boolean(flag) => flag.to_string(),
        JsonValue::Number(number) => number.to_string(),
        JsonValue::String(text) => format!("{:?}", text.chars().take(limit).collect::<String>()),
        JsonValue::Array(items) => format!("a list of {}", items.len()),
        JsonValue::Object(fields) => format!("{holder} of {}", fields.len()),
    }
}

/// A count with its noun, which takes a plural `s` unless the count is 1.
pub fn pluralize(count: usize, noun: &str) -> String {
    if count == 1 {
        format!("1 {noun}")
    } else {
        format!("{count} {noun}s")
    }
}
