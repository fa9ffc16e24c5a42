//! Parsing of API requests from instances, the operator and applications.

use crate::reply::Reply;
use rookpulley_diagnostics::{JsonError, JsonLimits, Nesting, parse_json};
use rookpulley_protocol::IncarnationId;
use rookpulley_registry::Heartbeat;
use rookpulley_routes::RouteTable;
use rookpulley_state::{Query, Update};
use std::collections::HashMap;
use tinyjson::JsonValue;

/// API endpoint, selected by method and path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Endpoint {
    /// An instance sends a heartbeat.
    Heartbeat,
    /// An instance deregisters an incarnation.
    Leave,
    /// The operator replaces the configuration.
    PutConfiguration,
    /// The operator reads the configuration.
    GetConfiguration,
    /// An application acquires a lock.
    AcquireLock,
    /// An application extends the lease of a lock.
    RenewLock,
    /// An application releases a lock.
    ReleaseLock,
    /// An application increments a counter.
    NextNumber,
    /// An application writes the value of a key.
    PutKey,
    /// An application reads the value of a key.
    GetKey,
    /// An application watches a group of keys.
    Watch,
}

/// Upper bound of the wait time of a watch.
const MAX_WATCH_MS: u64 = 30_000;
/// Limits of a JSON body. Its length is checked before it is parsed here.
const BODY_LIMITS: JsonLimits = JsonLimits {
    max_bytes: usize::MAX,
    nesting: Nesting::Levels(64),
    max_values: usize::MAX,
};
/// Integers up to this value are exact in a JSON number, which is a double.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Process a heartbeat.
    Heartbeat(Heartbeat),
    /// Deregister an incarnation.
    Leave(IncarnationId),
    /// Change the replicated state.
    Update(Update),
    /// Read the replicated state.
    Read(Query),
    /// Wait for puts in a group of keys.
    Watch {
        /// The group's name, including the trailing dot.
        group: String,
        /// Only puts after this revision are returned.
        after: u64,
        /// Maximum wait time, in milliseconds.
        wait_ms: u64,
    },
}

/// The fields of a JSON object.
struct Fields(HashMap<String, JsonValue>);

impl Fields {
    fn parse(body: &[u8]) -> Result<Self, Reply> {
        let value = parse_json(body, BODY_LIMITS).map_err(|error| match error {
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
                let message = format!("{name} is missing or no text; give it as a string");
                Err(Reply::error(400, &message))
            }
        }
    }

    fn integer(&self, name: &str) -> Result<u64, Reply> {
        let is_whole = |n: f64| (0.0..=MAX_EXACT_INTEGER).contains(&n) && n.fract() == 0.0;
        match self.0.get(name) {
            Some(JsonValue::Number(n)) if is_whole(*n) => Ok(*n as u64),
            _ => {
                let message = format!("{name} is missing or no whole number from 0 up");
                Err(Reply::error(400, &message))
            }
        }
    }
}

/// Parses a request. The error is the reply to an invalid one.
///
/// `name` is the last path segment and `query` looks up a query parameter. `held` is the current configuration with its
/// bytes, which speeds up parsing of a similar one.
pub fn parse<'a>(
    endpoint: Endpoint,
    name: &str,
    body: Vec<u8>,
    query: impl Fn(&str) -> Option<&'a str>,
    held: Option<(&[u8], &RouteTable)>,
) -> Result<Operation, Reply> {
    let bad_request = |error: &dyn std::fmt::Display| Reply::error(400, &error.to_string());
    let name = name.to_string();
    match endpoint {
        Endpoint::Heartbeat => {
            let heartbeat = Heartbeat::read(&name, &body).map_err(|error| bad_request(&error))?;
            Ok(Operation::Heartbeat(heartbeat))
        }
        Endpoint::Leave => Ok(Operation::Leave(name)),
        Endpoint::PutConfiguration => {
            let table =
                RouteTable::read_incremental(&body, held).map_err(|error| bad_request(&error))?;
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
        let lease_ms = fields.integer("holdMs")?;
        return Ok(Update::AcquireLock {
            name,
            holder,
            lease_ms,
        });
    }
    let fence = fields.integer("fence")?;
    if endpoint == Endpoint::ReleaseLock {
        return Ok(Update::ReleaseLock {
            name,
            holder,
            fence,
        });
    }
    let lease_ms = fields.integer("holdMs")?;
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
        Some(fields.integer("active")?)
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
    let parse_number = |name: &str, message: &str| {
        let value = query(name).map_or(Ok(0), str::parse::<u64>);
        value.map_err(|_| Reply::error(400, message))
    };
    let after = parse_number("after", "after is no whole number")?;
    let wait_ms = parse_number("waitMs", "waitMs is no whole number")?.min(MAX_WATCH_MS);
    if after == 0 {
        // The initial revision must not precede any put acknowledged to the watcher, so it is read through the chain.
        return Ok(Operation::Read(Query::Revision { group }));
    }
    Ok(Operation::Watch {
        group,
        after,
        wait_ms,
    })
}
