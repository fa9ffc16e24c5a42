//! The controller's durable store, built on `sled`, with offline inspection and replacement.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `store` | the store of a running controller: opening, recovery and writes |
//! | `writer` | the background thread that writes and syncs batches |
//! | `rows`, `chunks` | splitting of long rows into short ones, and deduplication of their content |
//! | `inspect`, `replace` | offline inspection and replacement of a store |
//! | `lock` | the lock of a store's files against other processes |
//! | `placement` | the directories of the current, the next and the replaced store |
//! | `database` | file names, tree names and the configuration of `sled` |
//!
//! Invariant: a write is reported as synced only once it and all earlier writes survive a power loss.

#![warn(missing_docs)]

mod chunks;
mod database;
mod inspect;
mod lock;
mod placement;
mod replace;
mod rows;
mod store;
mod writer;

pub use inspect::{Contents, InspectError, inspect};
pub use placement::replaced_store;
pub use replace::replace;
pub use store::{Store, StoreError};
pub use writer::{StoreEvent, StoreTree};
