//! A server list from any source becomes one checked generation, or is refused with all its reasons; and drains
//! are remembered, so that nothing old brings a drained server back.
//!
//! Free of I/O: the clock, what a source offers and what the deployment is like come in as arguments.
//!
//! - [`candidate`]: what a source offers, and the checks that it must pass.
//! - [`membership`]: each server's part in it, from a table of state, input, next state, effect.
//! - [`merge`]: several sources at once, and the list that the module is told.
//! - [`mod@plan`]: what one list would change against another.

pub mod candidate;
pub mod membership;
pub mod merge;
pub mod plan;

pub use candidate::{Candidate, Deployment, Entry, Kind, Place, Reason, Rejection};
pub use membership::{MEMBERSHIP, Member, MemberEvent, State};
pub use merge::{ServerLists, ServerUpdate};
pub use plan::{Change, Planned, plan};
