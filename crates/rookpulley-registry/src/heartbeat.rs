//! An instance's heartbeat, read from the body of its call. The page PROTOCOL names its fields.

use rookpulley_diagnostics::{JsonError, JsonLimits, Nesting, parse_json};
use rookpulley_protocol::IncarnationId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use tinyjson::JsonValue;

/// A heartbeat has a few hundred bytes.
const MAX_BYTES: usize = 16 << 10;
/// A heartbeat needs three brackets.
const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: MAX_BYTES,
    nesting: Nesting::Brackets(64),
    max_values: usize::MAX,
};
const MAX_NAME_BYTES: usize = 128;
/// What an instance says of its warm-up beyond this isn't believed.
const MAX_WARM_UP_MS: f64 = 600_000.0;
/// Whole numbers up to this are exact in JSON.
const MAX_SEQUENCE: f64 = 9e15;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The id in the path of the call.
    pub incarnation: IncarnationId,
    /// The service that it belongs to (`targetService`).
    pub service: String,
    /// Where it serves.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// The version of its software (`configVersion`). Empty: not given.
    pub software_version: String,
    /// How many requests it works on at once (`capacitySlots`).
    pub slots: u16,
    /// It is about to leave, and wants no new requests.
    pub draining: bool,
    /// How much longer it stays slow after its start, in milliseconds (`coldRemainingMs`).
    pub warm_up_ms: f64,
    /// Rises with each call of this incarnation (`callSequence`).
    pub sequence: u64,
}

/// Why a heartbeat is refused. The text is the answer to the instance.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum HeartbeatError {
    /// The path holds no id.
    #[error("the path of the beat holds no id of a task's life")]
    #[diagnostic(help(
        "write /rookpulley/instances/ID with 1 to {MAX_NAME_BYTES} visible ASCII characters"
    ))]
    IncarnationId,
    /// The body is too long; its bytes.
    #[error("the body of the beat has {0} bytes")]
    #[diagnostic(help("write one JSON object of at most {MAX_BYTES} bytes"))]
    TooLong(usize),
    /// The body is no JSON object; why.
    #[error("the body of the beat can't be read: {0}")]
    #[diagnostic(help(
        "write one JSON object, in UTF-8, with the parts nodeInfo and currentStatus"
    ))]
    Json(String),
    /// A field is missing or has a value that it can't have.
    #[error("in the beat, `{field}` is {found}")]
    #[diagnostic(help("write {expected} as `{field}`"))]
    Field {
        /// Its name.
        field: &'static str,
        /// What is there.
        found: &'static str,
        /// What should be there.
        expected: &'static str,
    },
}

type Object = HashMap<String, JsonValue>;

/// One part of a heartbeat. Where the part is missing its fields are looked for at the top.
struct Part<'a> {
    top: &'a Object,
    inner: Option<&'a Object>,
}

impl<'a> Part<'a> {
    fn new(top: &'a Object, name: &str) -> Self {
        let inner = top.get(name).and_then(|value| value.get::<Object>());
        Self { top, inner }
    }

    fn find(&self, field: &'static str) -> Option<&'a JsonValue> {
        let inner = self.inner.and_then(|part| part.get(field));
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

    fn text(&self, field: &'static str) -> Result<String, HeartbeatError> {
        let text = self.find(field).and_then(|value| value.get::<String>());
        text.filter(|text| (1..=MAX_NAME_BYTES).contains(&text.len()))
            .cloned()
            .ok_or_else(|| self.error(field, "a text of at most 128 bytes"))
    }

    /// Empty where the field is missing or empty.
    fn optional_text(&self, field: &'static str) -> Result<String, HeartbeatError> {
        match self.find(field) {
            None => Ok(String::new()),
            Some(JsonValue::String(text)) if text.is_empty() => Ok(String::new()),
            Some(_) => self.text(field),
        }
    }

    fn number(&self, field: &'static str) -> Option<f64> {
        self.find(field)
            .and_then(|value| value.get::<f64>())
            .copied()
    }

    fn whole_number(
        &self,
        field: &'static str,
        least: f64,
        most: f64,
    ) -> Result<f64, HeartbeatError> {
        self.number(field)
            .filter(|n| n.fract() == 0.0 && (least..=most).contains(n))
            .ok_or_else(|| self.error(field, "a whole number in its range"))
    }

    fn address(&self, field: &'static str) -> Result<SocketAddrV4, HeartbeatError> {
        let address = self.text(field)?.parse().ok();
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
        match self.text(FIELD)?.as_str() {
            "available" => Ok(false),
            "draining" => Ok(true),
            _ => Err(self.error(FIELD, "`available` or `draining`")),
        }
    }
}

/// Whether this can be the id of an incarnation. It goes into a header.
pub(crate) fn is_incarnation_id(id: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Heartbeat {
    /// Reads the body of a heartbeat: a JSON object with its fields in the parts `nodeInfo` and `currentStatus`, or all
    /// at the top.
    pub fn read(incarnation: &str, body: &[u8]) -> Result<Self, HeartbeatError> {
        if !is_incarnation_id(incarnation) {
            return Err(HeartbeatError::IncarnationId);
        }
        let value = parse_json(body, BOUNDS).map_err(|why| match why {
            JsonError::TooLong => HeartbeatError::TooLong(body.len()),
            JsonError::TooDeep { .. } => HeartbeatError::Json("too many brackets".into()),
            why => HeartbeatError::Json(why.to_string()),
        })?;
        let top = value
            .get::<Object>()
            .ok_or_else(|| HeartbeatError::Json("it is no JSON object".into()))?;
        let node = Part::new(top, "nodeInfo");
        let status = Part::new(top, "currentStatus");
        let address = status.address("address")?;
        let draining = status.is_draining()?;
        let warm_up_ms = status.number("coldRemainingMs").filter(|ms| ms.is_finite());
        Ok(Self {
            incarnation: incarnation.into(),
            service: node.text("targetService")?,
            address,
            zone: node.text("zone")?,
            software_version: node.optional_text("configVersion")?,
            // Within the bounds that are asked for, so nothing is lost.
            slots: node.whole_number("capacitySlots", 1.0, f64::from(u16::MAX))? as u16,
            draining,
            warm_up_ms: warm_up_ms.unwrap_or(0.0).clamp(0.0, MAX_WARM_UP_MS),
            sequence: status.whole_number("callSequence", 0.0, MAX_SEQUENCE)? as u64,
        })
    }
}

#[cfg(test)]
mod tests;
