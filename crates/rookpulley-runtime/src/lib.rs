//! Shared runtime of proxy and controller: connections between processes, logging, reloading of the settings file,
//! time of day.

#![warn(missing_docs)]

mod backoff;
mod clock;
pub mod connection;
pub mod log;
mod settings;

pub use backoff::Backoff;
pub use clock::unix_ms;
pub use settings::SettingsFile;
