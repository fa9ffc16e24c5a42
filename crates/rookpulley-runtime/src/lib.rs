//! What both programs of the gateway stand on: lines between them, the log, the settings file while they run.

pub mod line;
pub mod log;
mod settings;

pub use settings::File;
