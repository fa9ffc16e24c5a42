//! An independent checker: it follows what came out of the links, applies it by itself with plain maps and its
//! own writing of the canonical form, and judges the rules from that and from where reqs went.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// What happened, in the order in which it was seen.
pub enum Seen {
    /// A line that reached an assigner, or a dispatcher.
    Up {
        stream: u64,
        dispatcher: u64,
        message: Value,
    },
    Down {
        stream: u64,
        dispatcher: u64,
        message: Value,
    },
    Ended {
        stream: u64,
        dispatcher: u64,
    },
    /// A req went to a server.
    Routed {
        dispatcher: u64,
        server: String,
    },
}

type Lines = BTreeMap<String, f64>;

#[derive(Clone, Default)]
struct Copy {
    lines: Lines,
    /// The numbers that changed these lines on this stream, and the newest named.
    effects: BTreeSet<u64>,
    newest: u64,
    version: String,
}

#[derive(Default)]
struct Followed {
    stream: u64,
    /// By the request kinds of the table, as the message writes them.
    tables: BTreeMap<String, Copy>,
    parts: Vec<Value>,
}

#[derive(Default)]
pub struct Checker {
    dispatchers: BTreeMap<u64, Followed>,
    /// Since when each drained server is drained, and when it started anew.
    drains: BTreeMap<String, (Instant, Option<Instant>)>,
    pub grace_ms: f64,
    pub broken: Vec<String>,
    pub applied: u64,
    pub refused: u64,
    pub passed_over: u64,
    pub routed: u64,
    pub whole: u64,
    pub deltas: u64,
    pub same: u64,
}

/// The digest of the protocol's page, written once more from it.
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
    /// After a drain reqs may go to the server for so long.
    pub fn new(grace_ms: f64) -> Self {
        Self {
            grace_ms,
            ..Self::default()
        }
    }

    pub fn drains(&mut self, server: &str) {
        self.drains
            .entry(server.into())
            .or_insert_with(|| (Instant::now(), None));
    }

    pub fn starts(&mut self, server: &str) {
        if let Some((_, started)) = self.drains.get_mut(server) {
            *started = Some(Instant::now());
        }
    }

    pub fn see(&mut self, seen: Seen) {
        match seen {
            Seen::Up {
                stream,
                dispatcher,
                message,
            } if message["msg"] == "attach" => {
                let followed = self.dispatchers.entry(dispatcher).or_default();
                (followed.stream, followed.parts) = (stream, Vec::new());
                for copy in followed.tables.values_mut() {
                    (copy.effects, copy.newest) = (BTreeSet::new(), 0);
                }
            }
            Seen::Down {
                stream,
                dispatcher,
                message,
            } => {
                let followed = self.dispatchers.entry(dispatcher).or_default();
                if followed.stream != stream || message["msg"] != "assign" {
                    return;
                }
                let more = message["more"] == true;
                followed.parts.push(message);
                if !more {
                    let parts = std::mem::take(&mut followed.parts);
                    self.apply(dispatcher, &parts);
                }
            }
            Seen::Routed { dispatcher, server } => {
                self.routed += 1;
                let Some((since, started)) = self.drains.get(&server) else {
                    return;
                };
                let after_ms = since.elapsed().as_secs_f64() * 1e3;
                if started.is_none() && after_ms > self.grace_ms {
                    let what = format!(
                        "dispatcher {dispatcher} sent to {server}, drained {after_ms:.0} ms ago"
                    );
                    self.broken.push(what);
                }
            }
            Seen::Up { .. } | Seen::Ended { .. } => {}
        }
    }

    /// A message that reached a dispatcher: what a dispatcher makes of it by the protocol's page.
    fn apply(&mut self, dispatcher: u64, parts: &[Value]) {
        let lines = |part: &Value| -> Vec<(String, f64)> {
            let list = part["lines"].as_array().into_iter().flatten();
            list.filter_map(|l| Some((l[0].as_str()?.to_string(), l[1].as_f64()?)))
                .collect()
        };
        let Some(followed) = self.dispatchers.get_mut(&dispatcher) else {
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
            let goes_on = |p: &&Value| {
                p["lines"].is_array() && p["version"].is_null() && p["classes"] == part["classes"]
            };
            let rest = parts[at + 1..].iter().take_while(goes_on).flat_map(&lines);
            let changes: Vec<_> = lines(part).into_iter().chain(rest).collect();
            let copy = followed
                .tables
                .entry(part["classes"].to_string())
                .or_default();
            if number < copy.newest {
                self.passed_over += 1;
                continue;
            }
            // A number alone is of the issuer that the table held has.
            let issuer = copy
                .version
                .rsplit_once('~')
                .map_or("", |(issuer, _)| issuer);
            let version = if version.starts_with('~') {
                format!("{issuer}{version}")
            } else {
                version.into()
            };
            let ends = part["to"].as_str().unwrap_or_default();
            let holds = digest(&copy.lines);
            let mut next = copy.lines.clone();
            if part["whole"] == true {
                self.whole += 1;
                next.clear();
            } else if let Some(from) = part["from"].as_str() {
                self.deltas += 1;
                if from != holds && ends != holds {
                    self.refused += 1;
                    continue;
                }
            } else {
                self.same += 1;
            }
            if ends == holds {
                next = copy.lines.clone();
            } else {
                next.extend(changes);
                next.retain(|_, weight| *weight > 0.0);
            }
            if digest(&next) != ends {
                self.refused += 1;
                continue;
            }
            if next != copy.lines && !copy.effects.insert(number) {
                self.broken.push(format!(
                    "dispatcher {dispatcher}: version {version} took effect twice"
                ));
            }
            self.applied += 1;
            (copy.lines, copy.newest, copy.version) = (next, number, version);
        }
    }

    /// What a dispatcher must hold by what reached it: version, digest and lines, by request kinds.
    pub fn must_hold(&self, dispatcher: u64) -> Vec<(String, String, Lines)> {
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
