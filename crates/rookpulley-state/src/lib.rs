//! What the chain applies: the operator's configuration, locks, numbers, and cells with their watches.
//!
//! `call` holds what may be asked and answered, `locks`, `numbers` and `cells` one kind of state each, `ledger` puts
//! them together under one time and one set of bounds, `snapshot` turns the whole into bytes and back.
//!
//! Every controller applies the same updates with the same stamps and so holds the same ledger to the last byte: nothing
//! here looks at a clock or at the order of a hash map.

mod bounds;
mod call;
mod cells;
mod ledger;
mod locks;
mod numbers;
mod snapshot;

pub use bounds::{Bounds, Sizes};
pub use call::{Answer, Ask, CallError, Update};
pub use cells::{Event, Watched, group_of};
pub use ledger::Ledger;
pub use snapshot::SnapshotError;
