//! The calls of tasks, the operator and applications: what is asked by them, and what they are told.

use rookpulley_chain::Outcome;
use rookpulley_diagnostics::{Bounds, Nesting, Unread, read as read_json};
use rookpulley_protocol::IncarnationId;
use rookpulley_registry::Heartbeat;
use rookpulley_routes::Book;
use rookpulley_state::{Answer, Ask, Update};
use std::collections::HashMap;
use tinyjson::JsonValue;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Path {
    Heartbeat,
    Leave,
    PutConfiguration,
    GetConfiguration,
    TakeLock,
    RenewLock,
    DropLock,
    Number,
    PutCell,
    GetCell,
    Watch,
}

/// No watch waits longer, whatever it asks for.
const WATCH_MOST_MS: u64 = 30_000;
/// Deeper values are refused. How long a body may be is seen to before there is a call.
const BOUNDS: Bounds = Bounds {
    bytes: usize::MAX,
    nesting: Nesting::Levels(64),
    values: usize::MAX,
};

/// What a caller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Wants {
    Heartbeat(Heartbeat),
    Leave(IncarnationId),
    Update(Update),
    Ask(Ask),
    Watch {
        group: String,
        after: u64,
        wait_ms: u64,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    /// When to come again, in seconds.
    pub retry_after: Option<&'static str>,
    pub content: Content,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    Nothing,
    Json(JsonValue),
    /// JSON as it once came.
    Bytes(Vec<u8>),
    /// A sentence on what is wrong.
    Error(String),
}

impl Reply {
    fn so(status: u16, content: Content) -> Reply {
        Reply {
            status,
            retry_after: None,
            content,
        }
    }

    fn error(status: u16, sentence: &str) -> Reply {
        Reply::so(status, Content::Error(sentence.into()))
    }

    fn json<const N: usize>(fields: [(&str, JsonValue); N]) -> Reply {
        let fields = fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect();
        Reply::so(200, Content::Json(JsonValue::Object(fields)))
    }
}

type Fields = HashMap<String, JsonValue>;

fn fields(body: &[u8]) -> Result<Fields, Reply> {
    let value = read_json(body, BOUNDS).map_err(|why| match why {
        Unread::Deep { .. } => Reply::error(400, "the body nests too deeply: send a flatter value"),
        _ => Reply::error(
            400,
            "the body can't be read: send one whole JSON value in UTF-8",
        ),
    })?;
    match value {
        JsonValue::Object(fields) => Ok(fields),
        _ => Err(Reply::error(
            400,
            "the body is no object; send one JSON object",
        )),
    }
}

fn text(fields: &Fields, name: &str) -> Result<String, Reply> {
    match fields.get(name) {
        Some(JsonValue::String(text)) if !text.is_empty() => Ok(text.clone()),
        _ => Err(Reply::error(
            400,
            &format!("{name} is missing or no text; give it as a string"),
        )),
    }
}

fn whole(fields: &Fields, name: &str) -> Result<u64, Reply> {
    match fields.get(name) {
        Some(JsonValue::Number(n)) if *n >= 0.0 && *n <= 9e15 && n.fract() == 0.0 => Ok(*n as u64),
        _ => Err(Reply::error(
            400,
            &format!("{name} is missing or no whole number from 0 up"),
        )),
    }
}

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Nothing was done and never will be.
pub(crate) fn later() -> Reply {
    let reply = Reply::error(
        503,
        "not now: this office is not in touch with the others; nothing was done",
    );
    Reply {
        retry_after: Some("0.2"),
        ..reply
    }
}

/// No promise either way.
fn unknown() -> Reply {
    Reply::error(
        504,
        "no answer in time: it may or may not have taken effect; send the same call again",
    )
}

/// Reads a call. `name`: what its path ends with, `query`: the value that its query has under a name, `held`: the
/// configuration that a new one is likely to differ little from, with its bytes. What can't be used is answered at once.
pub fn read<'a>(
    path: Path,
    name: &str,
    body: Vec<u8>,
    query: impl Fn(&str) -> Option<&'a str>,
    held: Option<(&[u8], &Book)>,
) -> Result<Wants, Reply> {
    let name = name.to_string();
    let update = |update| Ok(Wants::Update(update));
    match path {
        Path::Heartbeat => {
            let heartbeat =
                Heartbeat::read(&name, &body).map_err(|why| Reply::error(400, &why.to_string()))?;
            Ok(Wants::Heartbeat(heartbeat))
        }
        Path::Leave => Ok(Wants::Leave(name)),
        Path::PutConfiguration => {
            let book =
                Book::read_after(&body, held).map_err(|why| Reply::error(400, &why.to_string()))?;
            update(Update::PutConfiguration {
                version: book.version,
                body,
            })
        }
        Path::GetConfiguration => Ok(Wants::Ask(Ask::Configuration)),
        Path::TakeLock => {
            let f = fields(&body)?;
            let (holder, hold_ms) = (text(&f, "holder")?, whole(&f, "holdMs")?);
            update(Update::TakeLock {
                name,
                holder,
                hold_ms,
            })
        }
        Path::RenewLock => {
            let f = fields(&body)?;
            let (holder, fence, hold_ms) = (
                text(&f, "holder")?,
                whole(&f, "fence")?,
                whole(&f, "holdMs")?,
            );
            update(Update::RenewLock {
                name,
                holder,
                fence,
                hold_ms,
            })
        }
        Path::DropLock => {
            let f = fields(&body)?;
            let (holder, fence) = (text(&f, "holder")?, whole(&f, "fence")?);
            update(Update::DropLock {
                name,
                holder,
                fence,
            })
        }
        Path::Number => update(Update::NextNumber { name }),
        Path::PutCell => {
            let f = fields(&body)?;
            let value = text(&f, "value")?;
            let active = f
                .contains_key("active")
                .then(|| whole(&f, "active"))
                .transpose()?;
            update(Update::PutCell {
                name,
                value,
                active,
            })
        }
        Path::GetCell => Ok(Wants::Ask(Ask::Cell { name })),
        Path::Watch => {
            let figure = |of: &str, wrong| {
                query(of)
                    .map_or(Ok(0), str::parse::<u64>)
                    .map_err(|_| Reply::error(400, wrong))
            };
            let after = figure("after", "after is no whole number")?;
            let wait_ms = figure("waitMs", "waitMs is no whole number")?.min(WATCH_MOST_MS);
            // Where a watcher begins must be no older than what it may have seen acknowledged.
            Ok(if after == 0 {
                Wants::Ask(Ask::Revision { group: name })
            } else {
                Wants::Watch {
                    group: name,
                    after,
                    wait_ms,
                }
            })
        }
    }
}

/// What an answer of the chain depends on beside itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    Configure(u64),
    GetConfiguration,
    Watch,
    Other,
}

impl Kind {
    pub fn of(wants: &Wants) -> Kind {
        match wants {
            Wants::Update(Update::PutConfiguration { version, .. }) => Kind::Configure(*version),
            Wants::Ask(Ask::Configuration) => Kind::GetConfiguration,
            Wants::Ask(Ask::Revision { .. }) => Kind::Watch,
            _ => Kind::Other,
        }
    }
}

/// What the chain has for a call.
pub(crate) fn told(kind: Kind, outcome: Outcome) -> Reply {
    let answer = match outcome {
        Outcome::Completed(bytes) => match Answer::decode(&bytes) {
            Ok(answer) => answer,
            Err(_) => return unknown(),
        },
        Outcome::Rejected => return later(),
        Outcome::Unknown => return unknown(),
    };
    match (kind, answer) {
        (Kind::Configure(version), Answer::Configured { .. }) => {
            Reply::json([("configVersion", number(version))])
        }
        (Kind::Watch, Answer::Revision(revision)) => shown(Vec::new(), revision),
        (_, Answer::Configuration { body, .. }) => Reply::so(200, Content::Bytes(body)),
        (_, Answer::Fence(fence)) => Reply::json([("fence", number(fence))]),
        (_, Answer::Dropped | Answer::Renewed) => Reply::json([]),
        (_, Answer::Held) => Reply::error(409, "another holds it, or it was lost"),
        (_, Answer::Number(value)) => Reply::json([("value", number(value))]),
        (_, Answer::Revision(revision)) => Reply::json([("revision", number(revision))]),
        (_, Answer::Conflict { revision }) => Reply {
            status: 412,
            ..Reply::json([("revision", number(revision))])
        },
        (_, Answer::Cell { value, revision }) => Reply::json([
            ("value", JsonValue::String(value)),
            ("revision", number(revision)),
        ]),
        (Kind::GetConfiguration, Answer::Nothing) => {
            Reply::error(404, "no configuration was taken yet")
        }
        (_, Answer::Nothing) => Reply::error(404, "there is no such cell"),
        (_, Answer::TooLong) => Reply::error(
            413,
            "a name, holder, value or body is too long; nothing was done",
        ),
        (_, Answer::Full) => Reply::error(503, "there is no room for more; nothing was done"),
        (_, Answer::Configured { .. } | Answer::Unreadable) => {
            Reply::error(400, "the call does not fit what it names")
        }
    }
}

/// What a watch shows.
pub(crate) fn shown(events: Vec<rookpulley_state::Event>, revision: u64) -> Reply {
    let show = |e: rookpulley_state::Event| {
        JsonValue::Object(HashMap::from([
            ("name".into(), JsonValue::String(e.name)),
            ("value".into(), JsonValue::String(e.value)),
            ("revision".into(), number(e.revision)),
        ]))
    };
    let events = JsonValue::Array(events.into_iter().map(show).collect());
    Reply::json([("events", events), ("revision", number(revision))])
}

pub(crate) fn too_old() -> Reply {
    Reply::error(410, "what followed this revision is no longer kept")
}

/// What became of a task's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Taken {
    /// It holds, whatever becomes of this controller.
    Known,
    /// This controller and its proxies go by it; whether others do isn't known.
    HereAlone,
    /// Nothing was done.
    Not,
}

/// Only what did nothing may be promised to have done nothing.
pub(crate) fn taken(taken: Taken, heartbeat: bool) -> Reply {
    match taken {
        Taken::Known if heartbeat => Reply::json([]),
        Taken::Known => Reply::so(200, Content::Nothing),
        Taken::HereAlone => unknown(),
        Taken::Not => later(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_that_only_this_controller_knows_is_not_promised_to_have_done_nothing() {
        let status = |word| taken(word, false).status;
        assert_eq!(
            [Taken::Known, Taken::HereAlone, Taken::Not].map(status),
            [200, 504, 503]
        );
    }
}
