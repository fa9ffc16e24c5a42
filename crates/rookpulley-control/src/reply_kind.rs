//! Replies to requests that were processed by the chain.

use crate::endpoint::Operation;
use crate::reply::{Content, Reply, json_number};
use rookpulley_chain::Outcome;
use rookpulley_state::{Answer, Query, Update};
use tinyjson::JsonValue;

/// Properties of a request that determine how the chain's answer is presented.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplyKind {
    /// A put of the configuration with this version.
    PutConfiguration(u64),
    /// A read of the configuration.
    ReadConfiguration,
    /// A watch that starts at the current revision.
    StartWatch,
    /// Any other request.
    Other,
}

impl ReplyKind {
    pub fn of(operation: &Operation) -> Self {
        match operation {
            Operation::Update(Update::PutConfiguration { version, .. }) => {
                Self::PutConfiguration(*version)
            }
            Operation::Read(Query::Configuration) => Self::ReadConfiguration,
            Operation::Read(Query::Revision { .. }) => Self::StartWatch,
            _ => Self::Other,
        }
    }

    /// Builds the reply from the outcome of the request.
    pub fn reply(self, outcome: Outcome) -> Reply {
        match outcome {
            Outcome::Rejected => Reply::not_in_touch(),
            Outcome::Unknown => Reply::unknown(),
            Outcome::Completed(bytes) => match Answer::decode(&bytes) {
                Ok(answer) => self.reply_with(answer),
                Err(_) => Reply::unknown(),
            },
        }
    }

    fn reply_with(self, answer: Answer) -> Reply {
        match (self, answer) {
            (Self::PutConfiguration(version), Answer::Configured { .. }) => {
                Reply::json([("configVersion", json_number(version))])
            }
            (Self::StartWatch, Answer::Revision(revision)) => Reply::events(Vec::new(), revision),
            (_, Answer::Configuration { body, .. }) => Reply::new(200, Content::Bytes(body)),
            (_, Answer::Acquired(fence)) => Reply::json([("fence", json_number(fence))]),
            (_, Answer::Released | Answer::Renewed | Answer::Done) => Reply::json([]),
            (_, Answer::LockHeld) => Reply::error(409, "another holds it, or it was lost"),
            (_, Answer::Number(value)) => Reply::json([("value", json_number(value))]),
            (_, Answer::Revision(revision)) => Reply::json([("revision", json_number(revision))]),
            (_, Answer::Conflict { revision }) => Reply {
                status: 412,
                ..Reply::json([("revision", json_number(revision))])
            },
            (_, Answer::Value { value, revision }) => Reply::json([
                ("value", JsonValue::String(value)),
                ("revision", json_number(revision)),
            ]),
            (Self::ReadConfiguration, Answer::NotFound) => {
                Reply::error(404, "no configuration was taken yet")
            }
            (_, Answer::NotFound) => Reply::error(404, "there is no such cell"),
            (_, Answer::TooLong) => {
                let message = "a name, holder, value or body is too long; nothing was done";
                Reply::error(413, message)
            }
            (_, Answer::CapacityExceeded) => {
                Reply::error(503, "there is no room for more; nothing was done")
            }
            (_, Answer::ReleaseMayBeStale) => Reply::error(
                503,
                "the holder has just acquired the lock again; nothing was done",
            ),
            (_, Answer::Configured { .. } | Answer::Malformed) => {
                Reply::error(400, "the call does not fit what it names")
            }
        }
    }
}
