//! Continuations that run when a write has been synced.

use crate::message::Message;

/// What to do once a write is synced. No message is sent before the data it depends on is on disk.
pub enum AfterSync {
    /// Send a message that depends on the write.
    Send { to: u64, message: Message },
    /// The installation of a view was synced.
    Installed { number: u64 },
    /// The entries of a view up to and including `to` were synced.
    Appended { view: u64, to: u64 },
    /// Reply to `AbandonView`: report the view installed here.
    ViewAbandoned { to: u64, query: u64, number: u64 },
    /// The first view was synced.
    Bootstrapped,
    /// A part of a catch-up was synced.
    CatchUpSynced,
    /// The first write of this incarnation was synced.
    FirstWriteSynced,
    /// Nothing depends on the write.
    Nothing,
}
