//! Calls of tasks, operators and applications: a tree of matchers, served by `async-h1` behind a guard.
//!
//! `head` and `chunks` read bytes, `guard` takes one message at a time off a connection by their rules, `letter` is
//! the one place that speaks with `async-h1`, `hall` holds the connections, `serve` runs them.

pub mod bounds;
pub mod call;
pub mod chunks;
pub mod guard;
mod hall;
pub mod head;
mod letter;
pub mod matcher;
pub mod refusal;
pub mod serve;

pub use bounds::Bounds;
pub use call::{Call, Reply};
pub use matcher::{Match, Tree, TreeError, query};
pub use refusal::Refusal;
pub use serve::serve;
