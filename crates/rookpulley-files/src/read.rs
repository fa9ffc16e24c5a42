//! Parses and verifies server files.
#![expect(
    clippy::too_many_arguments,
    reason = "the parameters of a script function"
)]

use rookpulley_lists::{Candidate, Entry};
use rookpulley_operators::script::{
    self, FileError, ScriptSettings, collector, line_and_column, set_once,
};
use starlark::any::ProvidesStaticType;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::Value;
use starlark::values::float::UnpackFloat;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::path::Path;

/// The maximum file size; 10,000 servers take about 1 MB.
pub const MAX_BYTES: usize = 8 << 20;
const SCRIPT_SETTINGS: ScriptSettings = ScriptSettings {
    functions,
    function_names: "generation(), loss(), server() and end()",
    max_bytes: MAX_BYTES,
    max_ticks: 200_000,
};

/// Why a file was rejected. No part of a rejected file is used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReadError {
    #[error("byte {0} is no UTF-8 text")]
    NotUtf8(usize),
    /// The closing statement is missing: the file is incomplete or still being written.
    #[error(
        "it does not end with its closing statement: it was cut off or is still being written; {0}"
    )]
    MissingClosing(String),
    #[error(
        "its seal is {said:?} and does not fit: it was changed since, or is being written over; {remedy}"
    )]
    SealMismatch { said: String, remedy: String },
    #[error("it says {said} servers and names {found}; {remedy}")]
    CountMismatch {
        said: usize,
        found: usize,
        remedy: String,
    },
    #[error("{0}")]
    Script(#[from] FileError),
}

impl ReadError {
    /// The message with the file name in front; script errors already contain it.
    pub fn with_file_name(&self, file: &Path) -> String {
        match self {
            Self::Script(bad) => bad.to_string(),
            other => format!("{}: {other}", file.display()),
        }
    }
}

/// Suggests the closing statement for a file that is complete.
fn remedy(body: &str, servers: usize) -> String {
    let closing = closing_statement(body, servers);
    format!("where it is whole, write {closing} as the last line, or run `rookpulley servers seal`")
}

/// The seal of the text before the closing statement: 48 bits of its BLAKE3 hash. It detects accidental changes and
/// gives no protection against deliberate ones.
pub fn seal(body: &str) -> String {
    data_encoding::BASE64URL_NOPAD.encode(&blake3::hash(body.as_bytes()).as_bytes()[..6])
}

/// The closing statement for a body and its number of servers.
pub fn closing_statement(body: &str, servers: usize) -> String {
    format!("end(servers = {servers}, seal = {:?})", seal(body))
}

/// Splits a file into the text before the closing statement and the statement, if the last line is a complete one.
pub fn split_closing(text: &str) -> (&str, Option<&str>) {
    let end = text.trim_end();
    let from = end.rfind('\n').map_or(0, |at| at + 1);
    let last = &end[from..];
    if last.starts_with("end(") && last.ends_with(')') {
        (&text[..from], Some(last))
    } else {
        (text, None)
    }
}

#[derive(Default, ProvidesStaticType)]
struct Collector(RefCell<ParsedFile>);

#[derive(Default)]
struct ParsedFile {
    candidate: Candidate,
    generation: Option<u64>,
    end: Option<(usize, String)>,
}

/// Parses the start of a server: Unix milliseconds, or a time such as 2026-12-01T10:00:00Z.
fn started(value: Value) -> anyhow::Result<f64> {
    let wrong = || {
        anyhow::anyhow!(
            "started = {value} is no time; write \"2026-12-01T10:00:00Z\", or Unix milliseconds"
        )
    };
    if let Some(text) = value.unpack_str() {
        let time: jiff::Timestamp = text.parse().map_err(|_| wrong())?;
        return Ok(time.as_millisecond() as f64);
    }
    value
        .to_string()
        .parse::<f64>()
        .ok()
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .ok_or_else(wrong)
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    fn generation(
        #[starlark(require = pos)] number: Value,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let number: u64 = number.to_string().parse().map_err(|_| {
            anyhow::anyhow!(
                "generation({number}) is no whole number from 0 on; write one more than before"
            )
        })?;
        set_once(
            &mut collector::<Collector>(eval)?.0.borrow_mut().generation,
            "generation",
            number,
        )?;
        Ok(NoneType)
    }

    fn loss(
        #[starlark(require = pos)] part: UnpackFloat,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        collector::<Collector>(eval)?.0.borrow_mut().candidate.loss = Some(part.0);
        Ok(NoneType)
    }

    fn server<'v>(
        #[starlark(require = pos)] name: &str,
        #[starlark(require = pos)] address: &str,
        #[starlark(require = named)] zone: &str,
        #[starlark(require = named)] weight: UnpackFloat,
        #[starlark(require = named, default = "")] machine: &str,
        #[starlark(require = named, default = 0)] bay: i32,
        #[starlark(require = named, default = false)] drains: bool,
        #[starlark(require = named)] started: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let started_ms = started.map(self::started).transpose()?.unwrap_or(0.0);
        let bay = u16::try_from(bay)
            .map_err(|_| anyhow::anyhow!("bay = {bay}; write a figure from 0 to 65535"))?;
        let place = eval.call_stack_top_location().as_ref().map(line_and_column);
        let entry = Entry {
            name: name.into(),
            address: address.into(),
            zone: zone.into(),
            machine: machine.into(),
            bay,
            weight: weight.0,
            drains,
            started_ms,
            place,
        };
        collector::<Collector>(eval)?
            .0
            .borrow_mut()
            .candidate
            .entries
            .push(entry);
        Ok(NoneType)
    }

    fn end(
        #[starlark(require = named)] servers: i32,
        #[starlark(require = named)] seal: &str,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let closing = (usize::try_from(servers).unwrap_or(usize::MAX), seal.into());
        set_once(
            &mut collector::<Collector>(eval)?.0.borrow_mut().end,
            "end",
            closing,
        )?;
        Ok(NoneType)
    }
}

fn evaluate(file: &Path, text: &str) -> Result<ParsedFile, ReadError> {
    let said: Collector = script::run(file, text, &SCRIPT_SETTINGS)?;
    Ok(said.0.into_inner())
}

/// Parses the body of a file, without the closing statement.
pub fn parse_body(file: &Path, text: &str) -> Result<Candidate, ReadError> {
    let found = evaluate(file, text)?;
    let missing = || FileError {
        file: file.into(),
        at: Some((1, 1)),
        what: "generation() is missing; write generation(1), and one more with every change".into(),
    };
    let generation = found.generation.ok_or_else(missing)?;
    Ok(Candidate {
        generation,
        ..found.candidate
    })
}

/// Parses a complete file and verifies its closing statement.
pub fn read(file: &Path, bytes: &[u8]) -> Result<Candidate, ReadError> {
    let text = std::str::from_utf8(bytes).map_err(|e| ReadError::NotUtf8(e.valid_up_to()))?;
    let (before, last) = split_closing(text);
    let Some(last) = last else {
        // If the body can be evaluated, the message suggests the closing statement.
        let hint = evaluate(file, before)
            .ok()
            .map(|f| remedy(before, f.candidate.entries.len()));
        let hint =
            hint.unwrap_or_else(|| "nothing of it is used until it has its last line".into());
        return Err(ReadError::MissingClosing(hint));
    };
    let closing = evaluate(file, last)?.end.unwrap_or_default();
    if closing.1 != seal(before) {
        let count = evaluate(file, before).map(|f| f.candidate.entries.len());
        let hint = count
            .map(|n| remedy(before, n))
            .unwrap_or_else(|e| e.to_string());
        return Err(ReadError::SealMismatch {
            said: closing.1,
            remedy: hint,
        });
    }
    let candidate = parse_body(file, before)?;
    match candidate.entries.len() {
        found if found == closing.0 => Ok(candidate),
        found => Err(ReadError::CountMismatch {
            said: closing.0,
            found,
            remedy: remedy(before, found),
        }),
    }
}
