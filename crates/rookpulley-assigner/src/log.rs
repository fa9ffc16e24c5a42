//! What the program prints: short lines on standard error, a few of a kind in each stretch of time. Lines are
//! `tracing` events; as text they are written as `name kind: text`, as JSON one object each.

use rookpulley_operators::file::LogForm;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::registry::LookupSpan;

const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Says one line, unless its kind has had its share of this stretch: `log_event!(log, "kind", "text {x}")`.
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
    /// At most so many lines of one kind in a stretch.
    pub fn new(name: String, limit: u32) -> Self {
        Self {
            name,
            limit,
            windows: RefCell::default(),
        }
    }

    /// Lines that were asked for are printed all.
    pub const UNLIMITED: &str = "count";

    /// None: not now. Otherwise what to say of the lines left out before.
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
                suffix = format!(" ({} more like it were left out)", window.suppressed);
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

/// Takes the lines of this process to standard error from now on. Called once, by the program itself.
pub fn init(form: LogForm) {
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let set = match form {
        LogForm::Text => tracing::subscriber::set_global_default(lines.event_format(Text).finish()),
        LogForm::Json => {
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
