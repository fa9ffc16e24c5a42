//! What callers are answered.
//!
//! Invariant: 503 promises that the call has done nothing and never will; whatever may have taken effect gets 504.

use rookpulley_chain::Outcome;
use rookpulley_state::{Answer, Event, Query, Update};
use std::collections::HashMap;
use tinyjson::JsonValue;

use crate::endpoint::Operation;

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

/// What an answer of the chain depends on beside itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplyKind {
    /// A configuration of this version was put.
    Configure(u64),
    /// The configuration was asked for.
    Configuration,
    /// A watch asks for the present revision.
    Watch,
    /// Anything else.
    Other,
}

impl ReplyKind {
    pub fn of(operation: &Operation) -> Self {
        match operation {
            Operation::Update(Update::PutConfiguration { version, .. }) => {
                Self::Configure(*version)
            }
            Operation::Read(Query::Configuration) => Self::Configuration,
            Operation::Read(Query::Revision { .. }) => Self::Watch,
            _ => Self::Other,
        }
    }
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

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

impl Reply {
    fn new(status: u16, content: Content) -> Self {
        Self {
            status,
            retry_after: None,
            content,
        }
    }

    pub(crate) fn error(status: u16, sentence: &str) -> Self {
        Self::new(status, Content::Error(sentence.into()))
    }

    fn json<const N: usize>(fields: [(&str, JsonValue); N]) -> Self {
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

    /// The answer to a call that went through the chain.
    pub(crate) fn of_outcome(kind: ReplyKind, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Rejected => Self::not_in_touch(),
            Outcome::Unknown => Self::unknown(),
            Outcome::Completed(bytes) => match Answer::decode(&bytes) {
                Ok(answer) => Self::of_answer(kind, answer),
                Err(_) => Self::unknown(),
            },
        }
    }

    fn of_answer(kind: ReplyKind, answer: Answer) -> Self {
        match (kind, answer) {
            (ReplyKind::Configure(version), Answer::Configured { .. }) => {
                Self::json([("configVersion", number(version))])
            }
            (ReplyKind::Watch, Answer::Revision(revision)) => Self::events(Vec::new(), revision),
            (_, Answer::Configuration { body, .. }) => Self::new(200, Content::Bytes(body)),
            (_, Answer::Acquired(fence)) => Self::json([("fence", number(fence))]),
            (_, Answer::Released | Answer::Renewed) => Self::json([]),
            (_, Answer::LockHeld) => Self::error(409, "another holds it, or it was lost"),
            (_, Answer::Number(value)) => Self::json([("value", number(value))]),
            (_, Answer::Revision(revision)) => Self::json([("revision", number(revision))]),
            (_, Answer::Conflict { revision }) => Self {
                status: 412,
                ..Self::json([("revision", number(revision))])
            },
            (_, Answer::Value { value, revision }) => Self::json([
                ("value", JsonValue::String(value)),
                ("revision", number(revision)),
            ]),
            (ReplyKind::Configuration, Answer::NotFound) => {
                Self::error(404, "no configuration was taken yet")
            }
            (_, Answer::NotFound) => Self::error(404, "there is no such cell"),
            (_, Answer::TooLong) => {
                let sentence = "a name, holder, value or body is too long; nothing was done";
                Self::error(413, sentence)
            }
            (_, Answer::CapacityExceeded) => {
                Self::error(503, "there is no room for more; nothing was done")
            }
            (_, Answer::Configured { .. } | Answer::Malformed) => {
                Self::error(400, "the call does not fit what it names")
            }
        }
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
