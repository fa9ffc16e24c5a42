//! Decoding and encoding of wire messages. The field names of the protocol appear only in this module.

use rookpulley::interface::*;
use rookpulley_versions::{Claim, Kinds};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Maximum length of a line, including the newline.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Upper bound for counts and durations in milliseconds.
const MAX_VALUE: f64 = u32::MAX as f64;

/// Translates between names on the wire and the indices that the decision module uses.
pub struct Codec {
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub kinds: Vec<String>,
    pub load: Vec<LoadField>,
    pub proxies: u32,
    /// Whether version fields are decoded; otherwise they are ignored.
    pub versions: bool,
}

fn index_of(names: &[String], name: &str) -> Option<u16> {
    names
        .iter()
        .position(|n| n == name)
        .map(|index| index as u16)
}

/// Derives the server id from the name alone, so that it is the same on all assigners and after a
/// restart.
pub fn server_id(name: &str) -> ServerId {
    let [a, b, c, d, e, f, _, _] = twox_hash::XxHash64::oneshot(0, name.as_bytes()).to_le_bytes();
    [a, b, c, d, e, f]
}

#[derive(Debug)]
pub enum Message {
    /// Liveness check.
    Heartbeat,
    Collector {
        zone: ZoneId,
    },
    Join {
        proxy: ProxyId,
        zone: ZoneId,
        usual_per_s: f64,
        fresh: bool,
        /// `None` if the proxy does not report versions.
        holds: Option<HeldVersions>,
    },
    /// An acknowledged mark or usage figures of a proxy.
    ProxyInput {
        proxy: ProxyId,
        input: Input,
        holds: HeldVersions,
    },
    /// The proxy refused an update of the table for these request kinds and holds another version.
    Refused {
        proxy: ProxyId,
        kinds: Kinds,
        holds: Option<Claim>,
    },
    /// Statistics from the proxies of a zone.
    Report(Input),
}

/// The versions that a proxy reports, by the request kinds of its tables.
pub type HeldVersions = BTreeMap<Kinds, Claim>;

impl Message {
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat => "beats",
            Self::Collector { .. } => "collectors",
            Self::Join { .. } => "joinings",
            Self::ProxyInput {
                input: Input::Acknowledged { .. },
                ..
            } => "marks answered",
            Self::ProxyInput { .. } => "usage",
            Self::Refused { .. } => "orders refused",
            Self::Report(_) => "heard",
        }
    }
}

/// Why a message was rejected.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// Not a JSON object. The connection is closed, since framing may be lost.
    #[error("malformed: {0}")]
    Malformed(String),
    /// An object with an invalid field. Only this message is dropped.
    #[error("invalid field: {field} {}", .error.as_str())]
    Field {
        field: &'static str,
        error: FieldError,
    },
}

/// Why a field is invalid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldError {
    Missing,
    OtherType,
    OutOfRange,
    /// It holds a name that the settings do not define.
    Unknown,
}

impl FieldError {
    fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::OtherType => "of another type",
            Self::OutOfRange => "out of range",
            Self::Unknown => "unknown",
        }
    }
}

impl ParseError {
    pub fn counter(&self) -> String {
        match self {
            Self::Malformed(_) => "bad input: unreadable".into(),
            Self::Field { field, error } => format!("bad input: {field} {}", error.as_str()),
        }
    }
}

/// The fields of a message as raw JSON.
struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
    fn parse(line: &'a [u8]) -> Result<Self, ParseError> {
        let text = std::str::from_utf8(line).map_err(|e| ParseError::Malformed(e.to_string()))?;
        serde_json::from_str(text)
            .map(Self)
            .map_err(|e| ParseError::Malformed(e.to_string()))
    }

    fn raw(&self, field: &'static str) -> Result<&'a str, ParseError> {
        let raw = self
            .0
            .get(field)
            .map(|raw| raw.get())
            .filter(|raw| *raw != "null");
        raw.ok_or(ParseError::Field {
            field,
            error: FieldError::Missing,
        })
    }

    fn get<T: Deserialize<'a>>(&self, field: &'static str) -> Result<T, ParseError> {
        serde_json::from_str(self.raw(field)?).map_err(|_| ParseError::Field {
            field,
            error: FieldError::OtherType,
        })
    }

    /// The index of a name in a list from the settings.
    fn index(&self, field: &'static str, names: &[String]) -> Result<u16, ParseError> {
        let name: Cow<str> = self.get(field)?;
        index_of(names, &name).ok_or(ParseError::Field {
            field,
            error: FieldError::Unknown,
        })
    }

    /// Decodes a number that satisfies `valid`. A number that does not fit `T` is out of range.
    fn number<T: Deserialize<'a>>(
        &self,
        field: &'static str,
        valid: impl Fn(&T) -> bool,
    ) -> Result<T, ParseError> {
        let raw = self.raw(field)?;
        let number = raw.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        let error = if number {
            FieldError::OutOfRange
        } else {
            FieldError::OtherType
        };
        serde_json::from_str(raw)
            .ok()
            .filter(valid)
            .ok_or(ParseError::Field { field, error })
    }

    fn amount(&self, field: &'static str) -> Result<f64, ParseError> {
        self.number(field, |x| (0.0..=MAX_VALUE).contains(x))
    }

    fn amounts<const N: usize>(&self, fields: [&'static str; N]) -> Result<[f64; N], ParseError> {
        let mut values = [0.0; N];
        for (amount, field) in values.iter_mut().zip(fields) {
            *amount = self.amount(field)?;
        }
        Ok(values)
    }
}

fn load_field(name: &str) -> LoadField {
    match name {
        "inflight" | "concurrent" => LoadField::InFlight,
        "queue" | "depth" => LoadField::Queue,
        "util" | "load_share" => LoadField::Busy,
        "latency_ms" | "mean_ms" => LoadField::ServiceMs,
        "qps" | "tps" => LoadField::CompletedPerS,
        "eps" | "err_ps" => LoadField::FailedPerS,
        _ => LoadField::Other,
    }
}

/// One entry of the `holds` field.
#[derive(Deserialize)]
struct HeldEntry<'a> {
    #[serde(borrow)]
    classes: Vec<Cow<'a, str>>,
    #[serde(borrow)]
    version: Option<Cow<'a, str>>,
    #[serde(borrow)]
    digest: Cow<'a, str>,
}

fn claim(
    field: &'static str,
    version: Option<Cow<str>>,
    digest: &str,
) -> Result<Claim, ParseError> {
    let error = FieldError::OutOfRange;
    let version = version
        .map(|v| v.parse().map_err(|_| ParseError::Field { field, error }))
        .transpose()?;
    Ok(Claim {
        version,
        digest: digest
            .parse()
            .map_err(|_| ParseError::Field { field, error })?,
    })
}

impl Codec {
    /// Converts names of request kinds to a bit mask.
    fn mask(&self, field: &'static str, names: &[Cow<str>]) -> Result<Kinds, ParseError> {
        let index =
            |name: &Cow<str>| index_of(&self.kinds, name).filter(|at| *at < Kinds::BITS as u16);
        let bits = names.iter().map(|n| index(n).map(|at| 1 << at));
        bits.sum::<Option<Kinds>>().ok_or(ParseError::Field {
            field,
            error: FieldError::Unknown,
        })
    }

    fn holds(&self, fields: &Fields) -> Result<Option<HeldVersions>, ParseError> {
        if !self.versions || fields.raw("holds").is_err() {
            return Ok(None);
        }
        let held: Vec<HeldEntry> = fields.get("holds")?;
        let each = held.into_iter().map(|h| {
            Ok((
                self.mask("holds", &h.classes)?,
                claim("holds", h.version, &h.digest)?,
            ))
        });
        each.collect::<Result<_, _>>().map(Some)
    }

    fn proxy(&self, fields: &Fields) -> Result<ProxyId, ParseError> {
        let valid = |number: &u64| *number < u64::from(self.proxies);
        Ok(fields.number("proxy", valid)? as ProxyId)
    }

    /// Decodes a load report into the field order of the settings.
    fn load(&self, fields: &Fields) -> Result<Vec<f64>, ParseError> {
        let invalid = |error| ParseError::Field {
            field: "load",
            error,
        };
        if fields.raw("load").is_err() {
            return Ok(Vec::new());
        }
        let values: BTreeMap<String, Value> = fields.get("load")?;
        let mut load = vec![None; self.load.len()];
        for (name, amount) in &values {
            let Some(at) = self
                .load
                .iter()
                .position(|field| *field == load_field(name))
            else {
                continue;
            };
            let amount = amount.as_f64().ok_or(invalid(FieldError::OtherType))?;
            load[at] = Some(amount).filter(|x| (0.0..=MAX_VALUE).contains(x));
            load[at].ok_or(invalid(FieldError::OutOfRange))?;
        }
        load.into_iter()
            .collect::<Option<_>>()
            .ok_or(invalid(FieldError::Missing))
    }

    pub fn decode(&self, line: &[u8]) -> Result<Message, ParseError> {
        let fields = Fields::parse(line)?;
        let kind: Cow<str> = fields.get("msg")?;
        Ok(match &*kind {
            "hb" => Message::Heartbeat,
            "telemetry" => Message::Collector {
                zone: fields.index("zone", &self.zones)?,
            },
            "attach" => Message::Join {
                proxy: self.proxy(&fields)?,
                zone: fields.index("zone", &self.zones)?,
                usual_per_s: fields.amount("weight")?,
                fresh: fields.get("fresh")?,
                holds: self.holds(&fields)?,
            },
            "done" => {
                let (proxy, mark) = (self.proxy(&fields)?, fields.number("mark", |_| true)?);
                let took_ms = fields.amount("took_ms")?;
                let holds = self.holds(&fields)?.unwrap_or_default();
                Message::ProxyInput {
                    proxy,
                    input: Input::Acknowledged {
                        proxy,
                        mark,
                        took_ms,
                    },
                    holds,
                }
            }
            "client_stats" => {
                let (proxy, kind) = (
                    self.proxy(&fields)?,
                    fields.index("class", &self.kinds)?.into(),
                );
                // `failed` may exceed `tries`: failures can belong to requests of an earlier span.
                let [came, bad, span_ms] = fields.amounts(["tries", "failed", "span_ms"])?;
                let input = Input::ProxyUsage {
                    proxy,
                    kind,
                    came,
                    bad,
                    span_ms,
                };
                Message::ProxyInput {
                    proxy,
                    input,
                    holds: HeldVersions::new(),
                }
            }
            "upstream_stats" => {
                let [tries, bad, span_ms] = fields.amounts(["tries", "failed", "span_ms"])?;
                if bad > tries {
                    return Err(ParseError::Field {
                        field: "failed",
                        error: FieldError::OutOfRange,
                    });
                }
                // The mean covers successful tries only, so it is absent if all failed.
                let mean_ms = if bad < tries {
                    fields.amount("mean_ms")?
                } else {
                    0.0
                };
                let zone = fields.index("zone", &self.zones)?;
                let server = server_id(&fields.get::<Cow<str>>("server")?);
                let load = self.load(&fields)?;
                Message::Report(Input::ServerReport {
                    zone,
                    server,
                    tries,
                    bad,
                    mean_ms,
                    span_ms,
                    load,
                })
            }
            "refused" if self.versions => {
                let proxy = self.proxy(&fields)?;
                let classes: Vec<Cow<str>> = fields.get("classes")?;
                let kinds = self.mask("classes", &classes)?;
                let holds = match fields.raw("digest") {
                    Ok(_) => Some(claim(
                        "digest",
                        fields.get("version").ok(),
                        &fields.get::<Cow<str>>("digest")?,
                    )?),
                    Err(_) => None,
                };
                Message::Refused {
                    proxy,
                    kinds,
                    holds,
                }
            }
            _ => {
                return Err(ParseError::Field {
                    field: "msg",
                    error: FieldError::Unknown,
                });
            }
        })
    }
}

// ---- Server list --------------------------------------------------------------------------

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

/// Index of a zone or machine type that the settings do not define. No request kind uses it, so an
/// unknown name affects only its server and not the whole list.
pub const UNKNOWN_INDEX: u16 = u16::MAX;

/// A full server list, or changes to it.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub lines: Vec<ServerEntry>,
    /// In the order of `lines`.
    pub names: Vec<String>,
}

impl Codec {
    pub fn decode_list(&self, text: &str) -> Result<List, ParseError> {
        let fields: Endpoints =
            serde_json::from_str(text).map_err(|e| ParseError::Malformed(e.to_string()))?;
        let mut list = List {
            version: fields.index,
            whole: fields.snapshot,
            ..List::default()
        };
        for server in fields.endpoints {
            let [weight, started_ms] = [server.weight, server.since_ms];
            if !(weight >= 0.0 && started_ms >= 0.0) {
                return Err(ParseError::Malformed(
                    "negative weight or start time".into(),
                ));
            }
            list.lines.push(ServerEntry {
                server: server_id(&server.name),
                zone: index_of(&self.zones, &server.zone).unwrap_or(UNKNOWN_INDEX),
                machine: index_of(&self.machines, &server.machine).unwrap_or(UNKNOWN_INDEX),
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

// ---- Updates for proxies ------------------------------------------------------------------

#[derive(Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
enum Reply {
    HbOk,
}

/// One line of an update message for a proxy.
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
    /// The version of the table after this update, shortened to its number if the stream already
    /// carries the full name, and in `to` its digest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// The digest that the table must have before this update.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<String>,
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

fn encode_line(message: &impl Serialize) -> Vec<u8> {
    // Serialization to memory cannot fail: the messages hold only text, numbers and lists.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

pub fn heartbeat_reply() -> Vec<u8> {
    encode_line(&Reply::HbOk)
}

impl Part<'_> {
    pub fn encode(&self) -> Vec<u8> {
        encode_line(self)
    }
}

impl Part<'_> {
    /// The number of lines that this part uses of the channel budget.
    pub fn line_count(&self) -> usize {
        let flags = [self.whole, self.level.is_some(), self.mark.is_some()];
        let lines = self.lines.as_ref().map_or(0, Vec::len) + self.out.len() + self.back.len();
        lines + flags.iter().filter(|set| **set).count()
    }
}
