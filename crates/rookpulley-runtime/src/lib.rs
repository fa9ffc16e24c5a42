//! Shared runtime of proxy and controller: connections between processes, logging, reloading of the settings file.

#![warn(missing_docs)]

mod backoff;
pub mod connection;
pub mod log;
mod settings;

pub use backoff::Backoff;
pub use settings::SettingsFile;
