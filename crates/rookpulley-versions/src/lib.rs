//! Which version of a table is which, what lies between two of them, and who holds what.
//!
//! Nothing here opens, sleeps or asks the time: the clock and the start's name come in as arguments, and what
//! follows comes out as values. This package never decides which lines a table has; that is the module's.
//!
//! - [`table`]: a table, its canonical form and its digest.
//! - [`version`]: a table as issued: by whom, in which start, under which number.
//! - [`delta`]: what turns one table into another, refused by any other start.
//! - [`history`]: the kept versions, bounded by number and bytes.
//! - [`holder`]: the dispatcher's side: applies, passes over or refuses what it is sent.
//! - [`deliveries`]: what each dispatcher was told, has confirmed and claims, and the judgement on it.
//! - [`manager`]: history and ledger together, as an assigner uses them.

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

/// The place of a table, as the module numbers it within one start.
pub type TableId = u16;
/// A dispatcher, as the settings number it.
pub type DispatcherId = u16;
/// The request kinds that a table is for, a bit each by their place.
pub type Kinds = u16;
