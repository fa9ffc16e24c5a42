//! Parses and validates heartbeat request bodies. PROTOCOL documents the fields.

use rookpulley_diagnostics::{JsonError, JsonLimits, Nesting, parse_json};
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use tinyjson::JsonValue;

/// A heartbeat takes a few hundred bytes and three levels of nesting.
const MAX_BYTES: usize = 16 << 10;
const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: MAX_BYTES,
    nesting: Nesting::Brackets(64),
    max_values: usize::MAX,
};
const MAX_NAME_BYTES: usize = 128;
/// Longer warm-up times are clamped to this.
const MAX_WARM_UP_MS: f64 = 600_000.0;
/// All integers up to this are exact as JSON numbers.
const MAX_SEQUENCE: f64 = 9e15;

/// State that an instance reports about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation id, from the request path.
    pub incarnation: IncarnationId,
    /// Service that the instance belongs to (`targetService`).
    pub service: String,
    /// Address that it serves requests on.
    pub address: SocketAddrV4,
    /// Zone that it runs in.
    pub zone: String,
    /// Software version (`configVersion`); empty if not given.
    pub software_version: String,
    /// Number of requests that it processes concurrently (`capacitySlots`).
    pub slots: u16,
    /// Whether it is shutting down and must get no new requests.
    pub draining: bool,
    /// Remaining warm-up time, in milliseconds (`coldRemainingMs`).
    pub warm_up_ms: f64,
    /// Increases with each call of this incarnation (`callSequence`).
    pub sequence: u64,
}

/// Why a heartbeat is rejected. The message is returned to the instance.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum HeartbeatError {
    /// The path contains no valid incarnation id.
    #[error("the path of the beat holds no id of a task's life")]
    #[diagnostic(help(
        "write /rookpulley/instances/ID with 1 to {MAX_NAME_BYTES} visible ASCII characters"
    ))]
    IncarnationId,
    /// The body exceeds the size limit; holds its length in bytes.
    #[error("the body of the beat has {0} bytes")]
    #[diagnostic(help("write one JSON object of at most {MAX_BYTES} bytes"))]
    TooLong(usize),
    /// The body is not a JSON object; holds the reason.
    #[error("the body of the beat can't be read: {0}")]
    #[diagnostic(help(
        "write one JSON object, in UTF-8, with the parts nodeInfo and currentStatus"
    ))]
    Json(String),
    /// A field is missing or invalid.
    #[error("in the beat, `{field}` is {found}")]
    #[diagnostic(help("write {expected} as `{field}`"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Description of the rejected value.
        found: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

type Object = HashMap<String, JsonValue>;

/// A nested object of a heartbeat. Fields missing from it are looked up in the top-level object.
struct Section<'a> {
    top: &'a Object,
    inner: Option<&'a Object>,
}

impl<'a> Section<'a> {
    fn new(top: &'a Object, name: &str) -> Self {
        let inner = top.get(name).and_then(|value| value.get::<Object>());
        Self { top, inner }
    }

    fn find(&self, field: &'static str) -> Option<&'a JsonValue> {
        let inner = self.inner.and_then(|section| section.get(field));
        inner.or_else(|| self.top.get(field))
    }

    fn error(&self, field: &'static str, expected: &'static str) -> HeartbeatError {
        let found = match self.find(field) {
            None => "missing",
            Some(JsonValue::Null) => "null",
            Some(JsonValue::String(_)) => "a text that won't do",
            Some(JsonValue::Number(_)) => "a number that won't do",
            Some(_) => "of another type",
        };
        HeartbeatError::Field {
            field,
            found,
            expected,
        }
    }

    fn string(&self, field: &'static str) -> Result<String, HeartbeatError> {
        let text = self.find(field).and_then(|value| value.get::<String>());
        text.filter(|text| (1..=MAX_NAME_BYTES).contains(&text.len()))
            .cloned()
            .ok_or_else(|| self.error(field, "a text of at most 128 bytes"))
    }

    /// Returns an empty string if the field is missing or empty.
    fn optional_string(&self, field: &'static str) -> Result<String, HeartbeatError> {
        match self.find(field) {
            None => Ok(String::new()),
            Some(JsonValue::String(text)) if text.is_empty() => Ok(String::new()),
            Some(_) => self.string(field),
        }
    }

    fn number(&self, field: &'static str) -> Option<f64> {
        self.find(field)
            .and_then(|value| value.get::<f64>())
            .copied()
    }

    fn integer(&self, field: &'static str, min: f64, max: f64) -> Result<f64, HeartbeatError> {
        self.number(field)
            .filter(|n| n.fract() == 0.0 && (min..=max).contains(n))
            .ok_or_else(|| self.error(field, "a whole number in its range"))
    }

    fn address(&self, field: &'static str) -> Result<SocketAddrV4, HeartbeatError> {
        let address = self.string(field)?.parse().ok();
        address
            .filter(|address: &SocketAddrV4| address.port() != 0)
            .ok_or(HeartbeatError::Field {
                field,
                found: "no address",
                expected: "an IPv4 address and a port",
            })
    }

    fn is_draining(&self) -> Result<bool, HeartbeatError> {
        const FIELD: &str = "lifecycleState";
        match self.string(FIELD)?.as_str() {
            "available" => Ok(false),
            "draining" => Ok(true),
            _ => Err(self.error(FIELD, "`available` or `draining`")),
        }
    }
}

/// Whether `id` is a valid incarnation id. Restricted to printable ASCII because it is sent as a header value.
pub(crate) fn is_incarnation_id(id: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Heartbeat {
    /// Parses a heartbeat body: a JSON object with its fields either in the nested objects `nodeInfo` and
    /// `currentStatus` or at the top level.
    pub fn read(incarnation: &str, body: &[u8]) -> Result<Self, HeartbeatError> {
        if !is_incarnation_id(incarnation) {
            return Err(HeartbeatError::IncarnationId);
        }
        let value = parse_json(body, BOUNDS).map_err(|error| match error {
            JsonError::TooLong => HeartbeatError::TooLong(body.len()),
            JsonError::TooDeep { .. } => HeartbeatError::Json("too many brackets".into()),
            error => HeartbeatError::Json(error.to_string()),
        })?;
        let top = value
            .get::<Object>()
            .ok_or_else(|| HeartbeatError::Json("it is no JSON object".into()))?;
        let node = Section::new(top, "nodeInfo");
        let status = Section::new(top, "currentStatus");
        let address = status.address("address")?;
        let draining = status.is_draining()?;
        let warm_up_ms = status.number("coldRemainingMs").filter(|ms| ms.is_finite());
        Ok(Self {
            incarnation: incarnation.into(),
            service: node.string("targetService")?,
            address,
            zone: node.string("zone")?,
            software_version: node.optional_string("configVersion")?,
            // The range check makes the cast lossless.
            slots: node.integer("capacitySlots", 1.0, f64::from(u16::MAX))? as u16,
            draining,
            warm_up_ms: warm_up_ms.unwrap_or(0.0).clamp(0.0, MAX_WARM_UP_MS),
            sequence: status.integer("callSequence", 0.0, MAX_SEQUENCE)? as u64,
        })
    }
}

#[cfg(test)]
mod tests;
