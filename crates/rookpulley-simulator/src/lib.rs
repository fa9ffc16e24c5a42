//! Whole gateways in one process, on a simulated network: controllers and proxies by the code that decides in the
//! programs, everything round them by stand-ins. `docs/design/drill.md` says what is simulated and what isn't.
//!
//! `day` draws what happens on a day from a seed, `world` plays it: `net` carries what is said, `disk`, `controllers`, `stateless_controllers`
//! and `proxies` stand in for the programs' shells, `tasks`, `clients`, `operator` and `apps` for those outside. What
//! those outside saw stands in `record`; `judge` holds it against the rules and knows nothing else. `hunt` plays many
//! days and shrinks one that fails.

mod apps;
mod callers;
mod clients;
mod controllers;
mod day;
mod disk;
mod hunt;
mod judge;
mod net;
mod operator;
mod proxies;
mod record;
mod seen;
mod stateless_controllers;
mod tasks;
mod troubles;
mod world;

pub use day::{BadTask, Closing, Day, Happens, Shape};
pub use hunt::{Found, Hunted, hunt, shrink};
pub use judge::{Breach, Rule};
pub use seen::{Arrived, Asked, Refused, Seen};
pub use world::{Mutation, Played, play};

/// Simulated time, in microseconds.
pub(crate) type Us = u64;
pub(crate) const MS: Us = 1_000;
pub(crate) const S: Us = 1_000_000;
