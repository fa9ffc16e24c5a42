//! Messages, decoded once into small typed values and encoded once. Only here stand the wire's words.

use rookpulley::facts::*;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// A line holds so many bytes at most, its end included.
pub const LINE_MOST: usize = 1 << 20;

/// The names that messages use for what the module knows by its place.
pub struct Words {
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub kinds: Vec<String>,
    pub load: Vec<LoadField>,
    pub proxies: u32,
}

fn place(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|n| n == name).map(|at| at as u16)
}

/// The id of a server: from its name alone, so it is the same at every assigner and after a restart.
pub fn server_id(name: &str) -> ServerId {
    let [a, b, c, d, e, f, _, _] = twox_hash::XxHash64::oneshot(0, name.as_bytes()).to_le_bytes();
    [a, b, c, d, e, f]
}

#[derive(Debug)]
pub enum Message {
    /// Asks whether the assigner can be used.
    Beat,
    Collector {
        zone: ZoneId,
    },
    Joining {
        proxy: ProxyId,
        zone: ZoneId,
        usual_per_s: f64,
        fresh: bool,
    },
    /// What a proxy tells of itself: marks, usage.
    OfProxy {
        proxy: ProxyId,
        input: Input,
    },
    /// What the proxies of a zone met.
    Heard(Input),
}

impl Message {
    pub fn name(&self) -> &'static str {
        match self {
            Self::Beat => "beats",
            Self::Collector { .. } => "collectors",
            Self::Joining { .. } => "joinings",
            Self::OfProxy { input: Input::Applied { .. }, .. } => "marks answered",
            Self::OfProxy { .. } => "usage",
            Self::Heard(_) => "heard",
        }
    }
}

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Bad {
    /// The connection is over.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// It was read, but says nothing that can be used.
    #[error("can't be used, {}", .0.trim_start_matches("bad input: "))]
    Unusable(&'static str),
}

impl Bad {
    pub fn count(&self) -> &'static str {
        match self {
            Self::Unreadable(_) => "bad input: unreadable",
            Self::Unusable(why) => why,
        }
    }
}

#[derive(Deserialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
enum Wire<'a> {
    Hb,
    Telemetry {
        #[serde(borrow)]
        zone: Cow<'a, str>,
    },
    Attach {
        proxy: u64,
        #[serde(borrow)]
        zone: Cow<'a, str>,
        weight: f64,
        fresh: bool,
    },
    Done {
        proxy: u64,
        mark: u64,
        took_ms: f64,
    },
    ClientStats {
        proxy: u64,
        #[serde(borrow)]
        class: Cow<'a, str>,
        tries: f64,
        failed: f64,
        span_ms: f64,
    },
    UpstreamStats {
        #[serde(borrow)]
        zone: Cow<'a, str>,
        #[serde(borrow)]
        server: Cow<'a, str>,
        tries: f64,
        failed: f64,
        #[serde(default)]
        mean_ms: Option<f64>,
        span_ms: f64,
        #[serde(default)]
        load: Option<BTreeMap<String, f64>>,
    },
    #[serde(other)]
    Unknown,
}

fn load_field(name: &str) -> LoadField {
    match name {
        "inflight" | "concurrent" => LoadField::Held,
        "queue" | "depth" => LoadField::Queue,
        "util" | "load_share" => LoadField::Busy,
        "latency_ms" | "mean_ms" => LoadField::ServiceMs,
        "qps" | "tps" => LoadField::DonePerS,
        "eps" | "err_ps" => LoadField::ErroredPerS,
        _ => LoadField::Other,
    }
}

impl Words {
    fn proxy(&self, number: u64) -> Result<ProxyId, Bad> {
        let known = number < u64::from(self.proxies);
        let id = ProxyId::try_from(number).ok().filter(|_| known);
        id.ok_or(Bad::Unusable("bad input: proxy out of range"))
    }

    fn zone(&self, name: &str) -> Result<ZoneId, Bad> {
        place(&self.zones, name).ok_or(Bad::Unusable("bad input: unknown zone"))
    }

    fn figures<const N: usize>(figures: [f64; N]) -> Result<[f64; N], Bad> {
        let sound = figures.iter().all(|x| x.is_finite() && *x >= 0.0);
        if sound { Ok(figures) } else { Err(Bad::Unusable("bad input: a figure below 0")) }
    }

    /// The figures of a load report in the order of the settings; none where one is missing.
    fn load(&self, told: &BTreeMap<String, f64>) -> Vec<f64> {
        let find = |field: &LoadField| told.iter().find(|(name, _)| load_field(name) == *field);
        let found: Option<Vec<f64>> = self.load.iter().map(|field| find(field).map(|(_, x)| *x)).collect();
        found.unwrap_or_default()
    }

    pub fn decode(&self, line: &[u8]) -> Result<Message, Bad> {
        let text = std::str::from_utf8(line).map_err(|e| Bad::Unreadable(e.to_string()))?;
        if !text.trim_start().starts_with('{') {
            return Err(Bad::Unreadable("not an object".into()));
        }
        let wire: Wire = serde_json::from_str(text).map_err(|e| Bad::Unreadable(e.to_string()))?;
        Ok(match wire {
            Wire::Hb => Message::Beat,
            Wire::Telemetry { zone } => Message::Collector { zone: self.zone(&zone)? },
            Wire::Attach { proxy, zone, weight, fresh } => {
                let [usual_per_s] = Self::figures([weight])?;
                Message::Joining { proxy: self.proxy(proxy)?, zone: self.zone(&zone)?, usual_per_s, fresh }
            }
            Wire::Done { proxy, mark, took_ms } => {
                let [took_ms] = Self::figures([took_ms])?;
                let proxy = self.proxy(proxy)?;
                Message::OfProxy { proxy, input: Input::Applied { proxy, mark, took_ms } }
            }
            Wire::ClientStats { proxy, class, tries, failed, span_ms } => {
                let kind =
                    place(&self.kinds, &class).ok_or(Bad::Unusable("bad input: unknown request kind"))?;
                let [came, bad, span_ms] = Self::figures([tries, failed, span_ms])?;
                let (proxy, kind) = (self.proxy(proxy)?, kind.into());
                Message::OfProxy { proxy, input: Input::Usage { proxy, kind, came, bad, span_ms } }
            }
            Wire::UpstreamStats { zone, server, tries, failed, mean_ms, span_ms, load } => {
                let [tries, bad, mean_ms, span_ms] =
                    Self::figures([tries, failed, mean_ms.unwrap_or(0.0), span_ms])?;
                if bad > tries {
                    return Err(Bad::Unusable("bad input: more bad tries than tries"));
                }
                let load = load.map_or(Vec::new(), |told| self.load(&told));
                load.iter().try_for_each(|x| Self::figures([*x]).map(|_| ()))?;
                let (zone, server) = (self.zone(&zone)?, server_id(&server));
                Message::Heard(Input::Heard { zone, server, tries, bad, mean_ms, span_ms, load })
            }
            Wire::Unknown => return Err(Bad::Unusable("bad input: unknown message")),
        })
    }
}

// ---- The list -----------------------------------------------------------------------------

#[derive(Deserialize)]
struct Endpoint<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    #[serde(borrow, rename = "type")]
    machine: Cow<'a, str>,
    group: u16,
    status: Status,
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Status {
    Serving,
    Draining,
    Deleted,
}

#[derive(Deserialize)]
struct Endpoints<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<Endpoint<'a>>,
}

/// The place of a zone or a kind of machine that the settings don't name: no request kind is bound to
/// it. One such server must not hold up the list of all.
pub const ELSEWHERE: u16 = u16::MAX;

/// The server list, or what changed in it.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub lines: Vec<Listed>,
    /// In the order of the lines.
    pub names: Vec<String>,
}

impl Words {
    pub fn decode_list(&self, text: &str) -> Result<List, Bad> {
        let told: Endpoints = serde_json::from_str(text).map_err(|e| Bad::Unreadable(e.to_string()))?;
        let mut list = List { version: told.index, whole: told.snapshot, ..List::default() };
        for server in told.endpoints {
            let [weight, started_ms] = Self::figures([server.weight, server.since_ms])?;
            list.lines.push(Listed {
                server: server_id(&server.name),
                zone: place(&self.zones, &server.zone).unwrap_or(ELSEWHERE),
                machine: place(&self.machines, &server.machine).unwrap_or(ELSEWHERE),
                bay: server.group,
                stage: match server.status {
                    Status::Serving => Stage::Ready,
                    Status::Draining => Stage::Draining,
                    Status::Deleted => Stage::Gone,
                },
                weight,
                started_ms,
            });
            list.names.push(server.name.into_owned());
        }
        Ok(list)
    }
}

// ---- Orders -------------------------------------------------------------------------------

#[derive(Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
enum Answer {
    HbOk,
}

/// One part of a message to a proxy, in names.
#[derive(Default, Serialize)]
#[serde(tag = "msg", rename = "assign")]
pub struct Part<'a> {
    #[serde(rename = "classes", skip_serializing_if = "Option::is_none")]
    pub kinds: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub whole: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lines: Option<Vec<(&'a str, f64)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub back: Vec<&'a str>,
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub mark: Option<u64>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

fn line_of(message: &impl Serialize) -> Vec<u8> {
    // A plain value of text, numbers and lists: writing it to memory has no way to fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

pub fn beat_answer() -> Vec<u8> {
    line_of(&Answer::HbOk)
}

impl Part<'_> {
    pub fn encode(&self) -> Vec<u8> {
        line_of(self)
    }
}

impl Part<'_> {
    /// The lines it counts for in the channel.
    pub fn counted(&self) -> usize {
        let flags = [self.whole, self.level.is_some(), self.mark.is_some()];
        let lines = self.lines.as_ref().map_or(0, Vec::len) + self.out.len() + self.back.len();
        lines + flags.iter().filter(|set| **set).count()
    }
}
