//! Parses and validates the settings file named by `ROOKPULLEY_BOOT`, and the deploy file.
//!
//! `node` holds the settings, `read` loads them, `fields` validates single fields and reports faults, and `describe`
//! prints the effective settings. `deploy` loads the deploy file, which assigns programs to machines.

mod deploy;
mod describe;
mod faults;
mod fields;
mod node;
mod read;

pub use deploy::{Amount, Deploy, Role};
pub use faults::SettingsError;
pub use node::{Bounds, CloudApi, Limits, Listen, Node, Tolerance};
pub use read::{BOOT_VARIABLE, boot_path};
pub use rookpulley_diagnostics::{Fault, Faults};
