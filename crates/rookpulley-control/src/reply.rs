//! Replies to API requests.
//!
//! Invariant: 503 guarantees that the request had and will have no effect; one that may have taken effect gets 504.

use rookpulley_state::Event;
use std::collections::HashMap;
use tinyjson::JsonValue;

/// A reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<&'static str>,
    /// The body.
    pub content: Content,
}

/// The body of a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// An empty body.
    Empty,
    /// A JSON value.
    Json(JsonValue),
    /// JSON as it was received earlier.
    Bytes(Vec<u8>),
    /// An error message.
    Error(String),
}

/// Outcome of a heartbeat or a deregistration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Acceptance {
    /// The change survives the loss of this controller.
    Durable,
    /// Applied by this controller and its proxies, but not known to be replicated.
    Local,
    /// The request had no effect.
    Rejected,
}

/// A request of an instance that awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InstanceRequest {
    /// The token of the request.
    pub token: u64,
    /// Whether the request is a heartbeat. Otherwise it is a deregistration.
    pub is_heartbeat: bool,
}

pub(crate) fn json_number(n: u64) -> JsonValue {
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

    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::new(status, Content::Error(message.into()))
    }

    pub(crate) fn json<const N: usize>(fields: [(&str, JsonValue); N]) -> Self {
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect();
        Self::new(200, Content::Json(JsonValue::Object(fields)))
    }

    /// The request had and will have no effect.
    pub(crate) fn not_in_touch() -> Self {
        let message = "not now: this office is not in touch with the others; nothing was done";
        Self {
            retry_after: Some("0.2"),
            ..Self::error(503, message)
        }
    }

    /// The request may or may not have taken effect.
    pub(crate) fn unknown() -> Self {
        let message =
            "no answer in time: it may or may not have taken effect; send the same call again";
        Self::error(504, message)
    }

    /// The events after the requested revision have been discarded.
    pub(crate) fn too_old() -> Self {
        Self::error(410, "what followed this revision is no longer kept")
    }

    /// The reply to a watch.
    pub(crate) fn events(events: Vec<Event>, revision: u64) -> Self {
        let event = |event: Event| {
            JsonValue::Object(HashMap::from([
                ("name".into(), JsonValue::String(event.name)),
                ("value".into(), JsonValue::String(event.value)),
                ("revision".into(), json_number(event.revision)),
            ]))
        };
        let events = JsonValue::Array(events.into_iter().map(event).collect());
        Self::json([("events", events), ("revision", json_number(revision))])
    }

    /// The reply to an instance.
    pub(crate) fn of_acceptance(acceptance: Acceptance, is_heartbeat: bool) -> Self {
        match acceptance {
            Acceptance::Durable if is_heartbeat => Self::json([]),
            Acceptance::Durable => Self::new(200, Content::Empty),
            Acceptance::Local => Self::unknown(),
            Acceptance::Rejected => Self::not_in_touch(),
        }
    }
}

#[cfg(test)]
mod tests;
