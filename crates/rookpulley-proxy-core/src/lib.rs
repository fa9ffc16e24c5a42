//! All that a proxy holds and decides. No sockets, files or clocks.
//!
//! `satchel` is what a proxy holds: configuration, tables, budgets, and the controllers that tell them. `journey` is one
//! request's way from its head to its answer, `answer` says what a task's answer is worth, `tally` counts for the home.

mod answer;
mod journey;
mod satchel;
mod tally;

pub use answer::{Head, Worth, worth};
pub use journey::{Back, Go, How, Journey, Leaving, Tell, Then, Way};
pub use satchel::{Effect, Satchel};
