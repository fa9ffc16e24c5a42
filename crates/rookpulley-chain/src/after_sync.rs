//! What waits for a write to reach the disk.

use crate::message::Message;

/// What to do once a write is synced. Nothing is said to anybody before what it depends on is on the disk.
pub enum AfterSync {
    /// Send a message that promises what was written.
    Send { to: u64, message: Message },
    /// A view is installed on this disk.
    Installed { number: u64 },
    /// Entries of a view are on this disk, up to and including `to`.
    Appended { view: u64, to: u64 },
    /// Report whether views up to `number` are abandoned or were installed before.
    ViewAbandoned { to: u64, query: u64, number: u64 },
    /// The first view is on the disk.
    Bootstrapped,
    /// A part of what this replica lacked is on the disk.
    CaughtUp,
    /// The disk has taken the first write of this incarnation.
    DiskProven,
    /// Nothing depends on it.
    Nothing,
}
