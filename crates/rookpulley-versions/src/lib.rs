//! Versioning of routing tables: version identifiers, deltas between versions, and the versions that
//! dispatchers hold.
//!
//! The package performs no I/O and reads no clock: the time and the start identifier are arguments. The
//! decision module determines the content of the tables.
//!
//! - [`table`]: a table, its canonical encoding and its digest.
//! - [`version`]: the identifier of an issued table: assigner, start and number.
//! - [`delta`]: the difference between two tables, applicable only to its base table.
//! - [`history`]: the retained versions, limited by count and memory.
//! - [`holder`]: the dispatcher side, which applies, ignores or refuses orders.
//! - [`deliveries`]: the versions sent to, confirmed by and claimed by each dispatcher.
//! - [`manager`]: history and delivery tracking combined, as the assigner uses them.

pub mod deliveries;
pub mod delta;
pub mod history;
pub mod holder;
pub mod manager;
pub mod table;
pub mod version;

pub use deliveries::{AckTimeouts, Claim, DeliveryTracker, SyncState};
pub use delta::{Delta, Update};
pub use history::{History, IssuedTable, RetentionLimits};
pub use holder::{Holder, Order, Outcome};
pub use manager::VersionManager;
pub use table::{Digest, Name, Table};
pub use version::{Issuer, Version};

/// The index of a table, assigned by the decision module and unique within one start.
pub type TableId = u16;
/// The number of a dispatcher in the settings.
pub type DispatcherId = u16;
/// A bit mask of the request kinds that a table serves, indexed by their position in the settings.
pub type Kinds = u16;
