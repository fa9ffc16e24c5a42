//! Rate-limited logging to standard error. Lines are `tracing` events, written either as
//! `name kind: text` or as one JSON object each.

use rookpulley_operators::file::LogFormat;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::registry::LookupSpan;

const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Logs one line unless the limit of its kind is reached: `log_event!(log, "kind", "text {x}")`.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $kind:expr, $($text:tt)*) => {
        if let Some(suppressed) = $log.admit($kind) {
            tracing::info!(name = $log.name, kind = $kind, "{}{suppressed}", format_args!($($text)*));
        }
    };
}

pub struct Log {
    pub name: String,
    limit: u32,
    windows: RefCell<BTreeMap<&'static str, Window>>,
}

struct Window {
    started: Instant,
    lines: u32,
    suppressed: u32,
}

impl Log {
    /// Allows `limit` lines of each kind per window.
    pub fn new(name: String, limit: u32) -> Self {
        Self {
            name,
            limit,
            windows: RefCell::default(),
        }
    }

    /// The kind that is exempt from the limit.
    pub const UNLIMITED: &str = "count";

    /// Returns `None` if the line must be suppressed, otherwise a suffix that reports how many
    /// lines were suppressed in the previous window.
    pub fn admit(&self, kind: &'static str) -> Option<String> {
        let mut kinds = self.windows.borrow_mut();
        let fresh = || Window {
            started: Instant::now(),
            lines: 0,
            suppressed: 0,
        };
        let window = kinds.entry(kind).or_insert_with(fresh);
        let mut suffix = String::new();
        if window.started.elapsed() >= RATE_WINDOW {
            if window.suppressed > 0 {
                suffix = format!(" ({} similar lines suppressed)", window.suppressed);
            }
            *window = fresh();
        }
        if window.lines >= self.limit && kind != Self::UNLIMITED {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(suffix)
    }
}

/// Installs the global subscriber that writes to standard error.
pub fn init(form: LogFormat) {
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
    // Keep a subscriber that is already installed.
    _ = set;
}

/// Formats events as `name kind: text`.
struct Text;

#[derive(Default)]
struct LogLine {
    name: String,
    kind: String,
    text: String,
}

impl Visit for LogLine {
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
        let mut line = LogLine::default();
        event.record(&mut line);
        writeln!(writer, "{} {}: {}", line.name, line.kind, line.text)
    }
}
