//! Duties at the platform: calls that one controller at a time may make.
//!
//! A duty and its subject have a lease with a fencing token in the replicated state. This package decides, for one
//! controller and one duty, when to ask for the lease and what to call while it is held.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `placement` | order in which controllers ask for a free lease |
//! | `lease` | the own lease, counted from the request for it |
//! | `call_schedule` | pause between calls: back-off and rate limit |
//! | `usage_reporter` | the duty of reporting usage |
//!
//! Invariants:
//! - A call starts only within the own lease, less a margin for a process that was frozen.
//! - A call carries the token of the lease within which it starts; a token that the platform refused is never used again.
//! - A report is read from the replicated state, where it was fixed before its first call.

#![warn(missing_docs)]

mod call_schedule;
mod lease;
mod placement;
mod usage_reporter;

pub use lease::LeaseAnswer;
pub use placement::rank;
pub use usage_reporter::{
    Action, DutySettings, PlatformAnswer, PlatformCall, ReplicatedLease, Snapshot, UsageReporter,
};
