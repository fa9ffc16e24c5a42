//! What a member keeps of a catch-up that is under way, of one that it serves, and of the comparison of replicas.

use crate::message::{Entry, StateDigest};
use crate::view::View;

/// A view that can't be installed here before the entries that it begins with are here.
pub struct PendingInstall {
    /// The predecessor, who sent it.
    pub from: u64,
    pub view: View,
    pub committed: u64,
    pub at_ms: u64,
    pub log: Vec<Entry>,
}

/// What this replica asks for, and what it hands out.
#[derive(Default)]
pub struct CatchUp {
    pub pending_install: Option<PendingInstall>,
    /// The number of the last question.
    pub query: u64,
    /// Until when its answer is waited for. 0: none is.
    pub waits_until_ms: u64,
    /// A part is on its way to the disk. Nothing is asked for and no view is installed meanwhile.
    pub writing: bool,
    /// This replica lacked so much that it could be in no view.
    pub far_behind: bool,
    pub partial: Option<PartialSnapshot>,
    pub served: Option<ServedSnapshot>,
}

/// A snapshot, as far as it has come.
pub struct PartialSnapshot {
    pub from: u64,
    pub seq: u64,
    pub next_chunk: u32,
    pub bytes: Vec<u8>,
}

/// A snapshot that is handed out chunk by chunk.
pub struct ServedSnapshot {
    pub seq: u64,
    pub at_ms: u64,
    pub checksum: u64,
    pub bytes: Vec<u8>,
    pub used_ms: u64,
}

/// The digests of this replica.
#[derive(Default)]
pub struct Digests {
    pub latest: StateDigest,
    /// The last update at which a difference was logged.
    pub logged_difference: u64,
}
