//! Whole gateways in one process, on a simulated network: controllers and proxies by the code that decides in the
//! programs, everything round them by stand-ins. `docs/design/drill.md` says what is simulated and what isn't.
//!
//! `day` draws a day from a seed, an `event` is what happens at a moment of it, `world` plays it and `faults` carries its
//! events out: `net` carries what is said, `disk`, `controllers`, `stateless_controllers` and `proxies` stand in for the
//! programs' shells, `tasks`, `clients`, `operator` and `apps` for those outside. What those outside saw stands in `record`;
//! `judge` holds it against the rules and knows nothing else. `hunt` plays many days and shrinks one that fails.

mod apps;
mod callers;
mod clients;
mod controllers;
mod day;
mod disk;
mod event;
mod faults;
mod hunt;
mod judge;
mod net;
mod operator;
mod proxies;
mod record;
mod seen;
mod stateless_controllers;
mod tasks;
mod world;

pub use day::{Day, Shape};
pub use event::{BadTask, Closing, Event};
pub use hunt::{Found, Hunted, hunt, shrink};
pub use judge::{Breach, Rule};
pub use seen::{Arrived, Asked, Refused, Seen};
pub use world::{Mutation, Played, play};

/// Simulated time, in microseconds.
pub(crate) type Us = u64;
pub(crate) const MS: Us = 1_000;
pub(crate) const S: Us = 1_000_000;
