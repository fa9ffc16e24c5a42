//! Diagnostics for rejected input: each fault with its location, the value found and the value expected.
//!
//! `faults` collects a bounded number of faults, `shown` formats positions and values, and `json` parses JSON within
//! limits on size, depth and number of values.

mod faults;
mod json;
mod shown;

pub use faults::{Fault, FaultFormat, Faults};
pub use json::{JsonError, JsonLimits, Nesting, parse_json};
pub use shown::{Position, describe, pluralize};
