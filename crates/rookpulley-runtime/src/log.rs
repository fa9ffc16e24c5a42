//! Lines on standard error: a short sentence each, with the prefix of its part.

use std::fmt::Write as _;
use tracing::{Event, Subscriber, field::Field, field::Visit};
use tracing_subscriber::layer::{Context, Layer};
use tracing_subscriber::prelude::*;

struct Lines;

struct Sentence(String);

impl Visit for Sentence {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        _ = match field.name() {
            "message" => write!(self.0, "{value:?}"),
            name => write!(self.0, " {name}={value:?}"),
        };
    }
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut sentence = Sentence(String::new());
        event.record(&mut sentence);
        eprintln!(
            "{} {}",
            event.metadata().level().as_str().to_lowercase(),
            sentence.0
        );
    }
}

/// Begins to print lines of this level and above.
pub fn begin(level: tracing::Level) {
    let filter = tracing_subscriber::filter::LevelFilter::from_level(level);
    tracing_subscriber::registry()
        .with(Lines.with_filter(filter))
        .init();
}
