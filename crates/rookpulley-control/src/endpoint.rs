//! The calls of instances, the operator and applications: what each asks for.

use crate::reply::Reply;
use rookpulley_diagnostics::{JsonError, JsonLimits, Nesting, parse_json};
use rookpulley_protocol::IncarnationId;
use rookpulley_registry::Heartbeat;
use rookpulley_routes::RouteTable;
use rookpulley_state::{Query, Update};
use std::collections::HashMap;
use tinyjson::JsonValue;

/// What a call's method and path name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Endpoint {
    /// An instance says that it is there.
    Heartbeat,
    /// An instance says that it leaves.
    Leave,
    /// The operator changes the configuration.
    PutConfiguration,
    /// The operator reads the configuration.
    GetConfiguration,
    /// An application takes a lock.
    AcquireLock,
    /// An application keeps a lock for longer.
    RenewLock,
    /// An application gives a lock back.
    ReleaseLock,
    /// An application wants the next number of a counter.
    NextNumber,
    /// An application puts a value under a key.
    PutKey,
    /// An application reads the value under a key.
    GetKey,
    /// An application waits for puts in a group of keys.
    Watch,
}

/// No watch waits longer, whatever it asks for.
const MAX_WATCH_MS: u64 = 30_000;
/// A value that nests deeper is refused. How long a body may be is seen to before there is a call.
const BOUNDS: JsonLimits = JsonLimits {
    max_bytes: usize::MAX,
    nesting: Nesting::Levels(64),
    max_values: usize::MAX,
};
/// Whole numbers up to this are exact in JSON.
const MAX_WHOLE_NUMBER: f64 = 9e15;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Take a heartbeat.
    Heartbeat(Heartbeat),
    /// Let an incarnation leave.
    Leave(IncarnationId),
    /// Change the replicated state.
    Update(Update),
    /// Read the replicated state.
    Read(Query),
    /// Wait for puts in a group.
    Watch {
        /// The group's name, with its dot.
        group: String,
        /// Only puts above this revision.
        after: u64,
        /// For so long at most, in milliseconds.
        wait_ms: u64,
    },
}

/// The fields of a JSON object.
struct Fields(HashMap<String, JsonValue>);

impl Fields {
    fn parse(body: &[u8]) -> Result<Self, Reply> {
        let value = parse_json(body, BOUNDS).map_err(|why| match why {
            JsonError::TooDeep { .. } => {
                Reply::error(400, "the body nests too deeply: send a flatter value")
            }
            _ => Reply::error(
                400,
                "the body can't be read: send one whole JSON value in UTF-8",
            ),
        })?;
        match value {
            JsonValue::Object(fields) => Ok(Self(fields)),
            _ => Err(Reply::error(
                400,
                "the body is no object; send one JSON object",
            )),
        }
    }

    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    fn text(&self, name: &str) -> Result<String, Reply> {
        match self.0.get(name) {
            Some(JsonValue::String(text)) if !text.is_empty() => Ok(text.clone()),
            _ => {
                let sentence = format!("{name} is missing or no text; give it as a string");
                Err(Reply::error(400, &sentence))
            }
        }
    }

    fn whole_number(&self, name: &str) -> Result<u64, Reply> {
        let is_whole = |n: f64| (0.0..=MAX_WHOLE_NUMBER).contains(&n) && n.fract() == 0.0;
        match self.0.get(name) {
            Some(JsonValue::Number(n)) if is_whole(*n) => Ok(*n as u64),
            _ => {
                let sentence = format!("{name} is missing or no whole number from 0 up");
                Err(Reply::error(400, &sentence))
            }
        }
    }
}

/// Reads a call. What can't be used is answered at once.
///
/// `name`: what its path ends with. `query`: the value that its query has under a name. `held`: the configuration that a
/// new one is likely to differ little from, with its bytes.
pub fn parse<'a>(
    endpoint: Endpoint,
    name: &str,
    body: Vec<u8>,
    query: impl Fn(&str) -> Option<&'a str>,
    held: Option<(&[u8], &RouteTable)>,
) -> Result<Operation, Reply> {
    let bad_request = |why: &dyn std::fmt::Display| Reply::error(400, &why.to_string());
    let name = name.to_string();
    match endpoint {
        Endpoint::Heartbeat => {
            let heartbeat = Heartbeat::read(&name, &body).map_err(|why| bad_request(&why))?;
            Ok(Operation::Heartbeat(heartbeat))
        }
        Endpoint::Leave => Ok(Operation::Leave(name)),
        Endpoint::PutConfiguration => {
            let table =
                RouteTable::read_incremental(&body, held).map_err(|why| bad_request(&why))?;
            let version = table.version;
            Ok(Operation::Update(Update::PutConfiguration {
                version,
                body,
            }))
        }
        Endpoint::GetConfiguration => Ok(Operation::Read(Query::Configuration)),
        Endpoint::AcquireLock | Endpoint::RenewLock | Endpoint::ReleaseLock => {
            parse_lock_update(endpoint, name, &body).map(Operation::Update)
        }
        Endpoint::NextNumber => Ok(Operation::Update(Update::NextNumber { name })),
        Endpoint::PutKey => parse_put(name, &body).map(Operation::Update),
        Endpoint::GetKey => Ok(Operation::Read(Query::Key { name })),
        Endpoint::Watch => parse_watch(name, query),
    }
}

fn parse_lock_update(endpoint: Endpoint, name: String, body: &[u8]) -> Result<Update, Reply> {
    let fields = Fields::parse(body)?;
    let holder = fields.text("holder")?;
    if endpoint == Endpoint::AcquireLock {
        let lease_ms = fields.whole_number("holdMs")?;
        return Ok(Update::AcquireLock {
            name,
            holder,
            lease_ms,
        });
    }
    let fence = fields.whole_number("fence")?;
    if endpoint == Endpoint::ReleaseLock {
        return Ok(Update::ReleaseLock {
            name,
            holder,
            fence,
        });
    }
    let lease_ms = fields.whole_number("holdMs")?;
    Ok(Update::RenewLock {
        name,
        holder,
        fence,
        lease_ms,
    })
}

fn parse_put(name: String, body: &[u8]) -> Result<Update, Reply> {
    let fields = Fields::parse(body)?;
    let value = fields.text("value")?;
    let expected = if fields.has("active") {
        Some(fields.whole_number("active")?)
    } else {
        None
    };
    Ok(Update::PutKey {
        name,
        value,
        expected,
    })
}

fn parse_watch<'a>(
    group: String,
    query: impl Fn(&str) -> Option<&'a str>,
) -> Result<Operation, Reply> {
    let figure = |name: &str, wrong: &str| {
        let value = query(name).map_or(Ok(0), str::parse::<u64>);
        value.map_err(|_| Reply::error(400, wrong))
    };
    let after = figure("after", "after is no whole number")?;
    let wait_ms = figure("waitMs", "waitMs is no whole number")?.min(MAX_WATCH_MS);
    if after == 0 {
        // Where a watcher begins must be no older than what it may have seen acknowledged, so the chain is asked.
        return Ok(Operation::Read(Query::Revision { group }));
    }
    Ok(Operation::Watch {
        group,
        after,
        wait_ms,
    })
}
