//! What the chain replicates: the operator's configuration, locks, counters, and keys with their watches.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `requests` | the updates, queries and answers, and their bytes |
//! | `state_machine` | all parts under one replicated time and one set of limits |
//! | `locks`, `counters`, `key_value` | one part each |
//! | `limits` | how much each part may hold |
//! | `snapshot` | the whole as bytes, and back |
//!
//! Invariant: every controller applies the same updates with the same times and so holds the same state to the last
//! byte. Nothing here looks at a clock or at the order of a hash map.

#![warn(missing_docs)]

mod counters;
mod key_value;
mod limits;
mod locks;
mod requests;
mod snapshot;
mod state_machine;

pub use key_value::{Event, WatchResult, group_of};
pub use limits::{Limits, Usage};
pub use requests::{Answer, DecodeError, Query, Update};
pub use snapshot::SnapshotError;
pub use state_machine::StateMachine;
