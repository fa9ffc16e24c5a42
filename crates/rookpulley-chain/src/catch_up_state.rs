//! State of a catch-up in progress, of a snapshot being served, and of the comparison of replicas.

use crate::message::{Entry, StateDigest};
use crate::view::View;

/// A view that cannot be installed until its committed entries have been received.
pub struct PendingInstall {
    /// The predecessor that sent it.
    pub from: u64,
    pub view: View,
    pub committed: u64,
    pub at_ms: u64,
    pub log: Vec<Entry>,
}

/// State of the replica as receiver and as source of catch-up data.
#[derive(Default)]
pub struct CatchUp {
    pub pending_install: Option<PendingInstall>,
    /// The identifier of the last request.
    pub query: u64,
    /// The deadline for the reply. 0: none is expected.
    pub reply_deadline_ms: u64,
    /// Received data is being written. Meanwhile nothing is requested and no view is installed.
    pub writing: bool,
    /// This replica lagged too far behind to be added to a view.
    pub far_behind: bool,
    pub partial: Option<PartialSnapshot>,
    pub served: Option<ServedSnapshot>,
}

/// A partly received snapshot.
pub struct PartialSnapshot {
    pub from: u64,
    pub seq: u64,
    pub next_chunk: u32,
    pub bytes: Vec<u8>,
}

/// A snapshot that is being served in chunks.
pub struct ServedSnapshot {
    pub seq: u64,
    pub at_ms: u64,
    pub checksum: u64,
    pub bytes: Vec<u8>,
    pub used_ms: u64,
}

/// The state digests of this replica.
#[derive(Default)]
pub struct Digests {
    pub latest: StateDigest,
    /// The last update for which a mismatch was logged.
    pub last_logged_mismatch: u64,
}
