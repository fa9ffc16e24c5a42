//! What the program prints: short lines on standard error, a few of a kind in each stretch of time. Lines are
//! `tracing` events; as text they are written as `name kind: text`, as JSON one object each.

use rookpulley_operators::file::LogFormat;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::registry::LookupSpan;

const STRETCH: Duration = Duration::from_secs(10);

/// Says one line, unless its kind has had its share of this stretch: `say!(log, "kind", "text {x}")`.
#[macro_export]
macro_rules! say {
    ($log:expr, $kind:expr, $($text:tt)*) => {
        if let Some(left_out) = $log.may_say($kind) {
            tracing::info!(name = $log.name, kind = $kind, "{}{left_out}", format_args!($($text)*));
        }
    };
}

pub struct Log {
    pub name: String,
    most: u32,
    said: RefCell<BTreeMap<&'static str, Said>>,
}

struct Said {
    from: Instant,
    lines: u32,
    left_out: u32,
}

impl Log {
    /// At most so many lines of one kind in a stretch.
    pub fn new(name: String, most: u32) -> Self {
        Self {
            name,
            most,
            said: RefCell::default(),
        }
    }

    /// Lines that were asked for are printed all.
    pub const ASKED: &str = "count";

    /// None: not now. Otherwise what to say of the lines left out before.
    pub fn may_say(&self, kind: &'static str) -> Option<String> {
        let mut kinds = self.said.borrow_mut();
        let fresh = || Said {
            from: Instant::now(),
            lines: 0,
            left_out: 0,
        };
        let said = kinds.entry(kind).or_insert_with(fresh);
        let mut note = String::new();
        if said.from.elapsed() >= STRETCH {
            if said.left_out > 0 {
                note = format!(" ({} more like it were left out)", said.left_out);
            }
            *said = fresh();
        }
        if said.lines >= self.most && kind != Self::ASKED {
            said.left_out += 1;
            return None;
        }
        said.lines += 1;
        Some(note)
    }
}

/// Takes the lines of this process to standard error from now on. Called once, by the program itself.
pub fn begin(form: LogFormat) {
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let set = match form {
        LogFormat::Text => {
            tracing::subscriber::set_global_default(lines.event_format(Text).finish())
        }
        LogFormat::Json => {
            let lines = lines
                .json()
                .flatten_event(true)
                .with_target(false)
                .with_current_span(false);
            tracing::subscriber::set_global_default(lines.with_span_list(false).finish())
        }
    };
    // Set already: somebody else in this process takes the lines.
    _ = set;
}

/// `name kind: text`.
struct Text;

#[derive(Default)]
struct Line {
    name: String,
    kind: String,
    text: String,
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "name" => self.name = value.into(),
            "kind" => self.kind = value.into(),
            _ => {}
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            _ = write!(self.text, "{value:?}");
        }
    }
}

impl<S, N> FormatEvent<S, N> for Text
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &tracing::Event<'_>,
    ) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        writeln!(writer, "{} {}: {}", line.name, line.kind, line.text)
    }
}
