//! What is known of another controller.

use crate::message::MemberStatus;
use crate::view::Member;

/// Another controller, as it was last heard.
pub struct PeerState {
    /// What it last said of itself.
    pub status: MemberStatus,
    pub last_heard_ms: u64,
    /// The newest clock of its that was heard; it is sent back to it.
    pub sent: Option<u64>,
    /// By our clock, the sending of the newest heartbeat that it has answered: both directions worked since then.
    pub contact_ms: Option<u64>,
    /// The same, but not shortened when a connection ends: of two identities at one address it tells which came later.
    pub echoed: Option<u64>,
}

impl PeerState {
    pub fn new(now: u64, member: Member) -> Self {
        Self {
            status: MemberStatus::unknown(member),
            last_heard_ms: now,
            sent: None,
            contact_ms: None,
            echoed: None,
        }
    }

    /// Another process has taken the place of the one that was known.
    pub fn restart(&mut self, member: Member) {
        self.status.member = member;
        self.sent = None;
        self.contact_ms = None;
    }
}
