//! What this member knows about another controller.

use crate::message::MemberStatus;
use crate::view::Member;

/// The last known state of another controller.
pub struct PeerState {
    /// The status in its last heartbeat.
    pub status: MemberStatus,
    pub last_heard_ms: u64,
    /// The clock value of its latest heartbeat, echoed back to it.
    pub latest_clock: Option<u64>,
    /// When the latest heartbeat that the peer echoed was sent, by the local clock. Both directions have worked since
    /// then.
    pub contact_ms: Option<u64>,
    /// The same, but not moved back on a disconnect. It decides which of two identities at one address is newer.
    pub last_echo_ms: Option<u64>,
}

impl PeerState {
    pub fn new(now: u64, member: Member) -> Self {
        Self {
            status: MemberStatus::unknown(member),
            last_heard_ms: now,
            latest_clock: None,
            contact_ms: None,
            last_echo_ms: None,
        }
    }

    /// A new incarnation has replaced the known one.
    pub fn restart(&mut self, member: Member) {
        self.status.member = member;
        self.latest_clock = None;
        self.contact_ms = None;
    }
}
