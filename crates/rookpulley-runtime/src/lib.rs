//! What both programs of the gateway stand on: connections between them, the log, the settings file while they run.

#![warn(missing_docs)]

pub mod connection;
pub mod log;
mod settings;

pub use settings::SettingsFile;
