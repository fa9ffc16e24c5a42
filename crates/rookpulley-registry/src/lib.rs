//! Which tasks there are, and the tables that controllers cut from them. No sockets, files or clocks.
//!
//! `registry` keeps the incarnations of tasks by their `heartbeat`s and by `news` of other controllers. `desk` hosts the module,
//! one controller a service (`hosted`, `module`): `list` turns the registry into the module's list, `posted` holds
//! what a proxy was sent.

mod desk;
mod drains;
mod editions;
mod heartbeat;
mod hosted;
mod list;
mod module;
mod news;
mod posted;
mod registry;
mod roll;

pub use desk::{Desk, Out, Service, Shown};
pub use drains::Drains;
pub use editions::Editions;
pub use heartbeat::{Heartbeat, HeartbeatError};
pub use news::{News, Outcome, Still, Word};
pub use registry::{Registry, Standing, Task};
pub use roll::Roll;
