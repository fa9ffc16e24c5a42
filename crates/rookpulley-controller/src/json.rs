//! Helpers to build JSON values.

use tinyjson::JsonValue;

/// Builds an object from its fields.
pub fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    let fields = fields.into_iter();
    let fields = fields.map(|(name, value)| (name.into(), value));
    JsonValue::Object(fields.collect())
}

/// Builds a number; exact up to 2^53.
pub fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}
