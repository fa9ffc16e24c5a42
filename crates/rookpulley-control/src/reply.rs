//! What callers are answered.
//!
//! Invariant: 503 promises that the call has done nothing and never will; whatever may have taken effect gets 504.

use rookpulley_state::Event;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// An answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// When to come again, in seconds, as the header says it.
    pub retry_after: Option<&'static str>,
    /// The body.
    pub content: Content,
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// None.
    Nothing,
    /// A JSON value.
    Json(JsonValue),
    /// JSON as it once came.
    Bytes(Vec<u8>),
    /// A sentence that says what is wrong.
    Error(String),
}

/// What became of an instance's heartbeat, or of its message that it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Acceptance {
    /// It holds, whatever becomes of this controller.
    Durable,
    /// This controller and its proxies go by it; whether others do isn't known.
    Local,
    /// Nothing was done.
    Rejected,
}

/// Which call of an instance is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InstanceCall {
    /// The number of the call.
    pub token: u64,
    /// It is a heartbeat, and not a message that the instance leaves.
    pub is_heartbeat: bool,
}

pub(crate) fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

impl Reply {
    pub(crate) fn new(status: u16, content: Content) -> Self {
        Self {
            status,
            retry_after: None,
            content,
        }
    }

    pub(crate) fn error(status: u16, sentence: &str) -> Self {
        Self::new(status, Content::Error(sentence.into()))
    }

    pub(crate) fn json<const N: usize>(fields: [(&str, JsonValue); N]) -> Self {
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect();
        Self::new(200, Content::Json(JsonValue::Object(fields)))
    }

    /// Nothing was done and never will be.
    pub(crate) fn not_in_touch() -> Self {
        let sentence = "not now: this office is not in touch with the others; nothing was done";
        Self {
            retry_after: Some("0.2"),
            ..Self::error(503, sentence)
        }
    }

    /// No promise either way.
    pub(crate) fn unknown() -> Self {
        let sentence =
            "no answer in time: it may or may not have taken effect; send the same call again";
        Self::error(504, sentence)
    }

    /// What followed a revision is no longer kept.
    pub(crate) fn too_old() -> Self {
        Self::error(410, "what followed this revision is no longer kept")
    }

    /// What a watch shows.
    pub(crate) fn events(events: Vec<Event>, revision: u64) -> Self {
        let event = |event: Event| {
            JsonValue::Object(HashMap::from([
                ("name".into(), JsonValue::String(event.name)),
                ("value".into(), JsonValue::String(event.value)),
                ("revision".into(), number(event.revision)),
            ]))
        };
        let events = JsonValue::Array(events.into_iter().map(event).collect());
        Self::json([("events", events), ("revision", number(revision))])
    }

    /// The answer to an instance.
    pub(crate) fn of_acceptance(acceptance: Acceptance, is_heartbeat: bool) -> Self {
        match acceptance {
            Acceptance::Durable if is_heartbeat => Self::json([]),
            Acceptance::Durable => Self::new(200, Content::Nothing),
            Acceptance::Local => Self::unknown(),
            Acceptance::Rejected => Self::not_in_touch(),
        }
    }
}

#[cfg(test)]
mod tests;
