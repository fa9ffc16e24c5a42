//! Deterministic simulation of whole gateways in one process: the decision logic of controllers and proxies runs
//! unchanged on a simulated network, with simulated surroundings. `docs/design/drill.md` describes the scope.
//!
//! `day` defines scenarios and draws them from a seed, `event` their events, `world` runs them and `faults` applies the
//! events. `net` simulates the network; `disk`, `controllers`, `stateless_controllers` and `proxies` replace the I/O layers
//! of the programs; `tasks`, `clients`, `operator`, `tenants`, `apps` and `platform` simulate external parties, whose observations are
//! kept in `record`. `judge` checks only this record against the rules. `hunt` searches seeds and reduces failing scenarios.

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
mod platform;
mod proxies;
mod record;
mod seen;
mod stateless_controllers;
mod tasks;
mod tenants;
mod world;

pub use day::{Day, Shape};
pub use event::{BadTask, Closing, Event, HolderFault, PlatformFault, ReportStage};
pub use hunt::{Found, Hunted, hunt, shrink};
pub use judge::{Breach, Reporting, Rule, TenantWindow};
pub use record::{Report, ReportOutcome};
pub use seen::{Asked, Refused, Seen, TaskArrival};
pub use world::{Mutation, Played, play};

/// Simulated time, in microseconds.
pub(crate) type Us = u64;
pub(crate) const MS: Us = 1_000;
pub(crate) const S: Us = 1_000_000;
