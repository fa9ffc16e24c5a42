//! What operators tell an assigner beside its configuration, and where they reach it while it runs.
//!
//! - [`mod@file`]: the operators' own file, a script in a small dialect of Starlark.
//! - [`asks`]: what can be asked at the operators' address, and the answers, as typed values.
//! - [`address`]: the address itself: HTTP/1.1 with JSON, bounded in every direction.
//!
//! This package decides nothing: an ask goes to whoever holds the answer, and what comes back is written out.

pub mod address;
pub mod asks;
pub mod file;
mod plain;
pub mod script;

pub use asks::{Answer, Ask, Asked, Refusal};
pub use file::{BadFile, Operators};
