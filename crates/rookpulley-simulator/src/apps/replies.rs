//! What the replies to applications' calls say.

use crate::record::{Asked, Got};
use rookpulley_control::{Content, Reply};
use tinyjson::JsonValue;

/// A number of a reply's JSON object.
pub fn field(reply: &Reply, name: &str) -> Option<u64> {
    match &reply.content {
        Content::Json(JsonValue::Object(fields)) => match fields.get(name) {
            Some(JsonValue::Number(n)) => Some(*n as u64),
            _ => None,
        },
        _ => None,
    }
}

/// The value of a key in a reply.
pub fn value_of(reply: &Reply) -> Option<String> {
    match &reply.content {
        Content::Json(JsonValue::Object(fields)) => match fields.get("value") {
            Some(JsonValue::String(text)) => Some(text.clone()),
            _ => None,
        },
        _ => None,
    }
}

/// The events in the reply to a watch: name, value and revision.
pub fn events_of(reply: &Reply) -> Vec<(String, String, u64)> {
    let Content::Json(JsonValue::Object(fields)) = &reply.content else {
        return Vec::new();
    };
    let Some(JsonValue::Array(events)) = fields.get("events") else {
        return Vec::new();
    };
    let one = |event: &JsonValue| {
        let JsonValue::Object(fields) = event else {
            return None;
        };
        match (
            fields.get("name"),
            fields.get("value"),
            fields.get("revision"),
        ) {
            (
                Some(JsonValue::String(n)),
                Some(JsonValue::String(v)),
                Some(JsonValue::Number(r)),
            ) => Some((n.clone(), v.clone(), *r as u64)),
            _ => None,
        }
    };
    events.iter().filter_map(one).collect()
}

/// The outcome of a call, from its reply if there was a definite one.
pub fn outcome_of(asked: &Asked, reply: Option<&Reply>) -> Got {
    let Some(reply) = reply else {
        return Got::Nothing;
    };
    let number = |name| field(reply, name).unwrap_or(0);
    match (reply.status, asked) {
        (412, _) => Got::Conflict(number("revision")),
        (404, Asked::Get) => Got::Read(None),
        (200, Asked::Acquire { .. }) => Got::Fence(number("fence")),
        (200, Asked::NextNumber) => Got::Number(number("value")),
        (200, Asked::Put { .. }) => Got::Revision(number("revision")),
        (200, Asked::Get) => Got::Read(value_of(reply).map(|value| (value, number("revision")))),
        (200, Asked::Renew { .. } | Asked::Release) => Got::Done,
        (status, _) => Got::No(status),
    }
}
