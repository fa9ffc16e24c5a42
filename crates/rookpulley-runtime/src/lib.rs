//! What both programs of the gateway stand on: connections between them, the log, the settings file while they run.

#![warn(missing_docs)]

mod backoff;
pub mod connection;
pub mod log;
mod settings;

pub use backoff::Backoff;
pub use settings::SettingsFile;
