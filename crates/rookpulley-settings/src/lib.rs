//! What a machine tells a process of the gateway: the settings file that `ROOKPULLEY_BOOT` names, checked by hand.
//!
//! `node` holds the values, `read` finds them in the file, `fields` names what is wrong with a field, `describe`
//! prints what is in force. `deploy` checks the file that says which program runs where.

mod deploy;
mod describe;
mod faults;
mod fields;
mod node;
mod read;

pub use deploy::{Amount, Deploy, Role};
pub use faults::SettingsError;
pub use node::{Bounds, Limits, Listen, Node, Tolerance};
pub use read::{BOOT, boot_path};
pub use rookpulley_diagnostics::{Fault, Faults};
