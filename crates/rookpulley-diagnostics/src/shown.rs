//! The words of faults: a place in a text, a value, a count.

use std::fmt::{self, Display, Formatter};
use tinyjson::JsonValue;

/// A place in a text, both from 1 on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

impl Place {
    /// The place of the byte that follows these.
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

impl Display for Place {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// A value as a fault shows it. What holds fields is `holder` in the words of its text, such as "an object". Of a
/// text the first letters alone are told, up to `shown`: the quotes around them let `Faults` see that there is more.
pub fn said(value: &JsonValue, holder: &str, shown: usize) -> String {
    match value {
        JsonValue::Null => "null".into(),
        JsonValue::Boolean(flag) => flag.to_string(),
        JsonValue::Number(number) => number.to_string(),
        JsonValue::String(text) => format!("{:?}", text.chars().take(shown).collect::<String>()),
        JsonValue::Array(items) => format!("a list of {}", items.len()),
        JsonValue::Object(fields) => format!("{holder} of {}", fields.len()),
    }
}

pub fn counted(count: usize, what: &str) -> String {
    if count == 1 {
        format!("1 {what}")
    } else {
        format!("{count} {what}s")
    }
}
