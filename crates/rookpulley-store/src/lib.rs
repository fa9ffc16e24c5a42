//! A controller's durable store, on `sled`, and the inspection of one that no process uses.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `store` | the store of a running controller: how it is opened, and what it held |
//! | `writer` | the thread that writes batches and syncs them |
//! | `rows`, `chunks` | how rows of any length are kept as short ones, and what several hold kept once |
//! | `inspect`, `replace` | reading a store that nobody uses, and putting another one in its place |
//! | `placement` | which of the stores in a folder counts |
//! | `database` | the folder, its files, and `sled` itself |
//!
//! Invariant: a write is reported as synced only once it and all before it survive a loss of power.

#![warn(missing_docs)]

mod chunks;
mod database;
mod inspect;
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
