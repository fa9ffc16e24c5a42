//! The replicated state machine: the operator's configuration, locks, counters, keys with watches, usage and duties.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `requests` | updates, queries and answers, and their encoding |
//! | `state_machine` | applies updates and queries, driven by the replicated time |
//! | `locks`, `counters`, `key_value`, `usage_ledger`, `duties` | the individual stores |
//! | `limits` | capacity limits |
//! | `snapshot` | serialization of the whole state |
//!
//! Invariant: all controllers apply the same updates with the same timestamps and hold byte-identical state. The crate
//! therefore reads no clock and depends on no hash map iteration order.

#![warn(missing_docs)]

mod counters;
mod duties;
mod key_value;
mod limits;
mod locks;
mod requests;
mod snapshot;
mod state_machine;
mod usage_ledger;

pub use duties::DutyLease;
pub use key_value::{Event, WatchResult, group_of};
pub use limits::{Limits, MAX_CHAIN_DELAY_MS, Usage};
pub use requests::{Answer, DecodeError, Query, Update};
pub use snapshot::SnapshotError;
pub use state_machine::StateMachine;
pub use usage_ledger::UsageLedger;
