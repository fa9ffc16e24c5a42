//! Logging to standard error, one line per event: the level, the message, then the fields as `name=value`.

use std::fmt::Write as _;
use tracing::{Event, Subscriber, field::Field, field::Visit};
use tracing_subscriber::layer::{Context, Layer};
use tracing_subscriber::prelude::*;

struct StderrLayer;

struct LineVisitor(String);

impl Visit for LineVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        _ = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.0, " {name}={value:?}"),
        };
    }
}

impl<S: Subscriber> Layer<S> for StderrLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut line = LineVisitor(String::new());
        event.record(&mut line);
        eprintln!(
            "{} {}",
            event.metadata().level().as_str().to_lowercase(),
            line.0
        );
    }
}

/// Installs the global subscriber, which logs events of `level` and above.
pub fn init(level: tracing::Level) {
    let filter = tracing_subscriber::filter::LevelFilter::from_level(level);
    tracing_subscriber::registry()
        .with(StderrLayer.with_filter(filter))
        .init();
}
