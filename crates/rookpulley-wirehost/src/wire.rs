//! Binary frames: little-endian fixed-size records, followed by a tail for data of variable length.

use rookpulley::interface::{Effect, Input, ListScope, ProbeOutcome, ServerEntry, ServerId, Stage};

pub const BATCH_HEADER_BYTES: usize = 20;
const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const ENTRY_BYTES: usize = 25;

#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("{count} records take {needed} bytes, but the batch holds {available}")]
    Records {
        count: usize,
        needed: usize,
        available: usize,
    },
    #[error("record {at}: unknown event code {code}")]
    Code { at: usize, code: u8 },
    #[error("record {at}: {field} has the unknown value {value}")]
    Value {
        at: usize,
        field: &'static str,
        value: u64,
    },
    #[error(
        "record {at}: {field} at offset {offset}, {bytes} bytes, lies outside the tail of {tail} bytes"
    )]
    Outside {
        at: usize,
        field: &'static str,
        offset: usize,
        bytes: usize,
        tail: usize,
    },
    #[error("record {at}: the settings are not UTF-8 text: {error}")]
    Text {
        at: usize,
        error: std::str::Utf8Error,
    },
    #[error("record {at}: the settings cannot be read: {error}")]
    Settings {
        at: usize,
        error: rookpulley_start::SettingsError,
    },
}

pub struct BatchHeader {
    pub length: usize,
    pub now_ms: f64,
    pub count: usize,
    pub number: u32,
}

impl BatchHeader {
    pub fn read(header: &[u8]) -> Self {
        Self {
            length: u32_at(header, 0) as usize,
            now_ms: us_to_ms(u64_at(header, 4)),
            count: u32_at(header, 12) as usize,
            number: u32_at(header, 16),
        }
    }
}

fn bytes_at<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&b[at..at + N]);
    out
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(bytes_at(b, at))
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes_at(b, at))
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes_at(b, at))
}

fn f32_at(b: &[u8], at: usize) -> f64 {
    f64::from(f32::from_le_bytes(bytes_at(b, at)))
}

fn us_to_ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

fn duration_ms_at(b: &[u8], at: usize) -> f64 {
    us_to_ms(u64::from(u32_at(b, at)))
}

/// Reads a load report: a count, then four slots of which the first `count` are valid.
fn load_at(b: &[u8], at: usize) -> Vec<f64> {
    (0..usize::from(b[at]).min(4))
        .map(|k| f32_at(b, at + 1 + 4 * k))
        .collect()
}

struct Record<'a> {
    at: usize,
    b: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    fn tail_slice(
        &self,
        field: &'static str,
        at: usize,
        unit: usize,
    ) -> Result<&'a [u8], FrameError> {
        let (offset, bytes) = (
            u32_at(self.b, at) as usize,
            u32_at(self.b, at + 4) as usize * unit,
        );
        self.tail
            .get(offset..offset + bytes)
            .ok_or(FrameError::Outside {
                at: self.at,
                field,
                offset,
                bytes,
                tail: self.tail.len(),
            })
    }

    fn invalid_value(&self, field: &'static str, value: u8) -> FrameError {
        FrameError::Value {
            at: self.at,
            field,
            value: u64::from(value),
        }
    }

    fn start(&self) -> Result<Input, FrameError> {
        let text = std::str::from_utf8(self.tail_slice("info", 13, 1)?)
            .map_err(|error| FrameError::Text { at: self.at, error })?;
        let start = rookpulley_start::read(u64_at(self.b, 5), text)
            .map_err(|error| FrameError::Settings { at: self.at, error })?;
        Ok(Input::Start(Box::new(start)))
    }

    fn list(&self) -> Result<Input, FrameError> {
        let scope = match self.b[5] {
            0 => ListScope::Changes,
            1 => ListScope::Full,
            2 => ListScope::Cached,
            3 => ListScope::Failed,
            other => return Err(self.invalid_value("scope", other)),
        };
        let lines = self
            .tail_slice("lines", 14, ENTRY_BYTES)?
            .chunks_exact(ENTRY_BYTES)
            .map(|e| {
                let stage = match e[12] {
                    0 => Stage::Gone,
                    1 => Stage::Ready,
                    2 => Stage::Draining,
                    other => return Err(self.invalid_value("stage_state", other)),
                };
                Ok(ServerEntry {
                    server: bytes_at(e, 0),
                    zone: u16_at(e, 6),
                    machine: u16_at(e, 8),
                    bay: u16_at(e, 10),
                    stage,
                    weight: f32_at(e, 13),
                    started_ms: us_to_ms(u64_at(e, 17)),
                })
            });
        Ok(Input::List {
            scope,
            version: u64_at(self.b, 6),
            lines: lines.collect::<Result<_, _>>()?,
        })
    }

    fn read(&self) -> Result<Input, FrameError> {
        let b = self.b;
        Ok(match b[0] {
            16 => self.start()?,
            17 => self.list()?,
            18 => Input::TimerFired { name: u64_at(b, 5) },
            19 => Input::ProbeCompleted {
                answer: match b[5] {
                    0 => ProbeOutcome::Done,
                    5 => ProbeOutcome::Errored,
                    11 => ProbeOutcome::Denied,
                    110 => ProbeOutcome::TimedOut,
                    111 => ProbeOutcome::Unreachable,
                    104 => ProbeOutcome::Broken,
                    114 | 125 => ProbeOutcome::Void,
                    other => return Err(self.invalid_value("rc", other)),
                },
                server: bytes_at(b, 6),
                took_ms: duration_ms_at(b, 12),
                load: load_at(b, 16),
            },
            20 => Input::PeerMessage {
                from: u16_at(b, 5),
                bytes: self.tail_slice("blob", 7, 1)?.to_vec(),
            },
            21 => Input::Stop,
            22 => Input::ProxyJoined {
                proxy: u16_at(b, 5),
                zone: u16_at(b, 7),
                usual_per_s: f32_at(b, 9),
                fresh: b[13] != 0,
            },
            23 => Input::ProxyLeft {
                proxy: u16_at(b, 5),
            },
            24 => Input::Acknowledged {
                proxy: u16_at(b, 5),
                mark: u64_at(b, 7),
                took_ms: duration_ms_at(b, 15),
            },
            25 => Input::ServerReport {
                zone: u16_at(b, 5),
                server: bytes_at(b, 7),
                tries: f64::from(u32_at(b, 13)),
                bad: f64::from(u32_at(b, 17)),
                mean_ms: duration_ms_at(b, 21),
                span_ms: duration_ms_at(b, 25),
                load: load_at(b, 29),
            },
            26 => Input::ProxyUsage {
                proxy: u16_at(b, 5),
                came: f64::from(u32_at(b, 7)),
                span_ms: duration_ms_at(b, 11),
                bad: f64::from(u32_at(b, 15)),
                kind: usize::from(b[19]),
            },
            27 => Input::SliceUsage {
                slice: u16_at(b, 5),
                kind: usize::from(b[7]),
                came: f64::from(u32_at(b, 8)),
                bad: f64::from(u32_at(b, 12)),
                span_ms: duration_ms_at(b, 16),
            },
            28 => Input::SliceAssigned {
                ours: b[5] != 0,
                slice: u16_at(b, 6),
            },
            29 => Input::SliceWeight {
                server: bytes_at(b, 5),
                slice: u16_at(b, 11),
                weight: f32_at(b, 13),
            },
            code => return Err(FrameError::Code { at: self.at, code }),
        })
    }
}

pub fn read_events(header: &BatchHeader, body: &[u8]) -> Result<Vec<(u32, Input)>, FrameError> {
    let needed = header.count.saturating_mul(EVENT_BYTES);
    if needed > body.len() {
        return Err(FrameError::Records {
            count: header.count,
            needed,
            available: body.len(),
        });
    }
    let (records, tail) = body.split_at(needed);
    let read = |(at, b)| Ok((u32_at(b, 1), Record { at, b, tail }.read()?));
    records
        .chunks_exact(EVENT_BYTES)
        .enumerate()
        .map(read)
        .collect()
}

#[derive(Default)]
pub struct ReplyWriter {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// The peer or table number that stands for all of them.
const ALL: u16 = u16::MAX;

impl ReplyWriter {
    pub fn add(&mut self, instance: u32, effects: &[Effect]) {
        for effect in effects {
            self.write_effect(instance, effect);
        }
    }

    fn append_to_tail(&mut self, bytes: &[u8]) -> Vec<u8> {
        let at = self.tail.len() as u32;
        self.tail.extend(bytes);
        [at.to_le_bytes(), (bytes.len() as u32).to_le_bytes()].concat()
    }

    fn write_effect(&mut self, instance: u32, effect: &Effect) {
        let weight = |w: f64| (w as f32).to_le_bytes();
        let addressed = |server: &ServerId, rest: &[u8]| [&server[..], rest].concat();
        let (code, fields) = match effect {
            Effect::Log(text) => (80, self.append_to_tail(text.as_bytes())),
            Effect::ClearTable { table } => (81, table.to_le_bytes().to_vec()),
            Effect::RequestAck { mark, all } => {
                (82, [&mark.to_le_bytes()[..], &[u8::from(*all)]].concat())
            }
            Effect::PeerMessage { to, bytes } => {
                let blob = self.append_to_tail(bytes);
                (83, [&to.unwrap_or(ALL).to_le_bytes()[..], &blob].concat())
            }
            Effect::ProbeServer { server } => (84, server.to_vec()),
            Effect::WatchList { on } => (85, vec![u8::from(*on)]),
            Effect::BindTable {
                proxy,
                table,
                kinds,
            } => (
                86,
                [
                    proxy.to_le_bytes(),
                    table.to_le_bytes(),
                    kinds.to_le_bytes(),
                ]
                .concat(),
            ),
            Effect::WithdrawServer { server, out } => (88, addressed(server, &[u8::from(*out)])),
            Effect::SetAdmission {
                table,
                kinds,
                level,
                retry,
            } => {
                let table = table.unwrap_or(ALL).to_le_bytes();
                let retry = [*retry as u8];
                (
                    89,
                    [&weight(*level)[..], &table, &retry, &kinds.to_le_bytes()].concat(),
                )
            }
            Effect::SetTimer { in_ms, name } => {
                let delay = (in_ms * 1000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
                (90, [&delay.to_le_bytes()[..], &name.to_le_bytes()].concat())
            }
            Effect::SetWeight {
                table,
                server,
                weight: w,
            } => (
                91,
                [&table.to_le_bytes()[..], &addressed(server, &weight(*w))].concat(),
            ),
            Effect::FetchList => (92, Vec::new()),
            // This protocol has no operator requests, so there is no status to report.
            Effect::RollbackStatus { .. } => return,
        };
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend(instance.to_le_bytes());
        self.records.extend(fields);
        self.records.resize(end, 0);
        self.count += 1;
    }

    pub fn finish(self, batch: u32, out: &mut Vec<u8>) {
        out.clear();
        out.extend(self.count.to_le_bytes());
        out.extend(((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        out.extend(batch.to_le_bytes());
        out.extend(self.records);
        out.extend(self.tail);
    }
}
