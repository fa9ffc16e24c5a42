//! An independent protocol checker: it applies the messages that the links delivered with its own implementation of
//! the updates and of the canonical form, and verifies the rules against that state and against routed requests.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// An observed event. Events are reported in the order in which they occur.
pub enum Observation {
    /// A line delivered to an assigner.
    ToAssigner {
        stream: u64,
        dispatcher: u64,
        message: Value,
    },
    /// A line delivered to a dispatcher.
    ToDispatcher {
        stream: u64,
        dispatcher: u64,
        message: Value,
    },
    /// A connection closed.
    Closed { stream: u64, dispatcher: u64 },
    /// A request was routed to a server.
    Routed { dispatcher: u64, server: String },
}

type Lines = BTreeMap<String, f64>;

#[derive(Clone, Default)]
struct TableState {
    lines: Lines,
    /// The version numbers that changed the lines on this stream, and the newest number received.
    effects: BTreeSet<u64>,
    newest: u64,
    version: String,
}

#[derive(Default)]
struct DispatcherState {
    stream: u64,
    /// Tables keyed by the JSON text of their request kinds.
    tables: BTreeMap<String, TableState>,
    parts: Vec<Value>,
}

#[derive(Default)]
pub struct Checker {
    dispatchers: BTreeMap<u64, DispatcherState>,
    /// When each drained server began to drain, and when it restarted.
    drains: BTreeMap<String, (Instant, Option<Instant>)>,
    pub grace_ms: f64,
    pub violations: Vec<String>,
    pub applied: u64,
    pub refused: u64,
    pub stale: u64,
    pub routed: u64,
    pub full_updates: u64,
    pub deltas: u64,
    pub unchanged: u64,
}

/// Computes the table digest that the protocol defines, independently of the assigner's implementation.
pub fn digest(lines: &Lines) -> String {
    let mut bytes = b"RPT1".to_vec();
    bytes.extend((lines.len() as u32).to_be_bytes());
    for (name, weight) in lines {
        bytes.extend((name.len() as u16).to_be_bytes());
        bytes.extend(name.as_bytes());
        bytes.extend(weight.to_be_bytes());
    }
    data_encoding::BASE64URL_NOPAD.encode(&blake3::hash(&bytes).as_bytes()[..16])
}

impl Checker {
    /// `grace_ms` is how long requests may still be routed to a server after it begins to drain.
    pub fn new(grace_ms: f64) -> Self {
        Self {
            grace_ms,
            ..Self::default()
        }
    }

    pub fn record_drain(&mut self, server: &str) {
        self.drains
            .entry(server.into())
            .or_insert_with(|| (Instant::now(), None));
    }

    pub fn record_restart(&mut self, server: &str) {
        if let Some((_, started)) = self.drains.get_mut(server) {
            *started = Some(Instant::now());
        }
    }

    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::ToAssigner {
                stream,
                dispatcher,
                message,
            } if message["msg"] == "attach" => {
                let state = self.dispatchers.entry(dispatcher).or_default();
                (state.stream, state.parts) = (stream, Vec::new());
                for table in state.tables.values_mut() {
                    (table.effects, table.newest) = (BTreeSet::new(), 0);
                }
            }
            Observation::ToDispatcher {
                stream,
                dispatcher,
                message,
            } => {
                let state = self.dispatchers.entry(dispatcher).or_default();
                if state.stream != stream || message["msg"] != "assign" {
                    return;
                }
                let more = message["more"] == true;
                state.parts.push(message);
                if !more {
                    let parts = std::mem::take(&mut state.parts);
                    self.apply(dispatcher, &parts);
                }
            }
            Observation::Routed { dispatcher, server } => {
                self.routed += 1;
                let Some((since, started)) = self.drains.get(&server) else {
                    return;
                };
                let after_ms = since.elapsed().as_secs_f64() * 1e3;
                if started.is_none() && after_ms > self.grace_ms {
                    let violation = format!(
                        "dispatcher {dispatcher} routed a request to {server}, which began to drain {after_ms:.0} ms ago"
                    );
                    self.violations.push(violation);
                }
            }
            Observation::ToAssigner { .. } | Observation::Closed { .. } => {}
        }
    }

    /// Applies a message to the state that its dispatcher must have by the protocol.
    fn apply(&mut self, dispatcher: u64, parts: &[Value]) {
        let lines = |part: &Value| -> Vec<(String, f64)> {
            let list = part["lines"].as_array().into_iter().flatten();
            list.filter_map(|l| Some((l[0].as_str()?.to_string(), l[1].as_f64()?)))
                .collect()
        };
        let Some(state) = self.dispatchers.get_mut(&dispatcher) else {
            return;
        };
        for (at, part) in parts.iter().enumerate() {
            let Some(version) = part["version"].as_str() else {
                continue;
            };
            let number: u64 = version
                .rsplit('~')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let continues = |p: &&Value| {
                p["lines"].is_array() && p["version"].is_null() && p["classes"] == part["classes"]
            };
            let rest = parts[at + 1..]
                .iter()
                .take_while(continues)
                .flat_map(&lines);
            let changes: Vec<_> = lines(part).into_iter().chain(rest).collect();
            let table = state.tables.entry(part["classes"].to_string()).or_default();
            if number < table.newest {
                self.stale += 1;
                continue;
            }
            // A number alone refers to the issuer of the table held.
            let issuer = table
                .version
                .rsplit_once('~')
                .map_or("", |(issuer, _)| issuer);
            let version = if version.starts_with('~') {
                format!("{issuer}{version}")
            } else {
                version.into()
            };
            let target = part["to"].as_str().unwrap_or_default();
            let current = digest(&table.lines);
            let mut next = table.lines.clone();
            if part["whole"] == true {
                self.full_updates += 1;
                next.clear();
            } else if let Some(from) = part["from"].as_str() {
                self.deltas += 1;
                if from != current && target != current {
                    self.refused += 1;
                    continue;
                }
            } else {
                self.unchanged += 1;
            }
            if target == current {
                next = table.lines.clone();
            } else {
                next.extend(changes);
                next.retain(|_, weight| *weight > 0.0);
            }
            if digest(&next) != target {
                self.refused += 1;
                continue;
            }
            if next != table.lines && !table.effects.insert(number) {
                self.violations.push(format!(
                    "dispatcher {dispatcher}: version {version} was applied twice"
                ));
            }
            self.applied += 1;
            (table.lines, table.newest, table.version) = (next, number, version);
        }
    }

    /// The tables that a dispatcher must hold given the messages it received: version, digest and lines of each.
    pub fn expected_tables(&self, dispatcher: u64) -> Vec<(String, String, Lines)> {
        let tables = self
            .dispatchers
            .get(&dispatcher)
            .into_iter()
            .flat_map(|f| f.tables.values());
        tables
            .map(|c| (c.version.clone(), digest(&c.lines), c.lines.clone()))
            .collect()
    }
}
