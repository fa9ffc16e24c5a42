//! The answer to a call that went through the chain.

use crate::endpoint::Operation;
use crate::reply::{Content, Reply, number};
use rookpulley_chain::Outcome;
use rookpulley_state::{Answer, Query, Update};
use tinyjson::JsonValue;

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

    /// The answer to a call that went through the chain.
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
            (Self::Configure(version), Answer::Configured { .. }) => {
                Reply::json([("configVersion", number(version))])
            }
            (Self::Watch, Answer::Revision(revision)) => Reply::events(Vec::new(), revision),
            (_, Answer::Configuration { body, .. }) => Reply::new(200, Content::Bytes(body)),
            (_, Answer::Acquired(fence)) => Reply::json([("fence", number(fence))]),
            (_, Answer::Released | Answer::Renewed) => Reply::json([]),
            (_, Answer::LockHeld) => Reply::error(409, "another holds it, or it was lost"),
            (_, Answer::Number(value)) => Reply::json([("value", number(value))]),
            (_, Answer::Revision(revision)) => Reply::json([("revision", number(revision))]),
            (_, Answer::Conflict { revision }) => Reply {
                status: 412,
                ..Reply::json([("revision", number(revision))])
            },
            (_, Answer::Value { value, revision }) => Reply::json([
                ("value", JsonValue::String(value)),
                ("revision", number(revision)),
            ]),
            (Self::Configuration, Answer::NotFound) => {
                Reply::error(404, "no configuration was taken yet")
            }
            (_, Answer::NotFound) => Reply::error(404, "there is no such cell"),
            (_, Answer::TooLong) => {
                let sentence = "a name, holder, value or body is too long; nothing was done";
                Reply::error(413, sentence)
            }
            (_, Answer::CapacityExceeded) => {
                Reply::error(503, "there is no room for more; nothing was done")
            }
            (_, Answer::Configured { .. } | Answer::Malformed) => {
                Reply::error(400, "the call does not fit what it names")
            }
        }
    }
}
