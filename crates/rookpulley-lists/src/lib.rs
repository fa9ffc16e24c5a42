//! Validates server lists and merges them with service discovery. A list is accepted as a whole or rejected with
//! all reasons. Drains are remembered, so that an outdated list cannot return a drained server to service.
//!
//! The package performs no I/O: the time, the lists and the deployment are arguments.
//!
//! - [`candidate`]: lists as offered by a source, and their validation.
//! - [`membership`]: the state machine of a server.
//! - [`merge`]: merges the server file with discovery into updates for the decision module.
//! - [`mod@plan`]: the differences between two lists.

pub mod candidate;
pub mod membership;
pub mod merge;
pub mod plan;

pub use candidate::{Candidate, Deployment, Entry, Kind, Place, Reason, Rejection};
pub use membership::{MEMBERSHIP, Member, MemberEvent, State};
pub use merge::{ServerLists, ServerUpdate};
pub use plan::{Change, Planned, plan};
