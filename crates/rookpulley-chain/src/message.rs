//! What controllers say to each other about the chain.

use crate::RequestKind;
use crate::view::{Ballot, Member, View};
use serde::{Deserialize, Serialize, Serializer};

/// As a whole, not one by one: the same on the wire and on the disk, and a body may have some MB.
fn whole<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

/// An update in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub seq: u64,
    pub at_ms: u64,
    #[serde(serialize_with = "whole")]
    pub body: Vec<u8>,
    /// Which controller it was asked of, by which token and which of its tries.
    pub from: RequestId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestId {
    pub controller: u64,
    pub incarnation: u64,
    pub token: u64,
    pub attempt: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    pub body: Vec<u8>,
    pub from: RequestId,
}

/// How a controller stands, as it tells the others a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub me: Member,
    /// The newest view that it knows to be decided, the one it has installed, the newest known to be at work.
    pub decided: u64,
    pub installed: u64,
    pub at_work: u64,
    /// The last entry that it holds, and the last that it knows to be on all disks.
    pub last: u64,
    pub committed: u64,
    pub slow: bool,
    /// The last update that the sweep stopped at, and the digest of all that was applied then.
    pub swept: (u64, u64),
}

impl MemberStatus {
    /// Of one that has said nothing yet.
    pub fn of(me: Member) -> Self {
        let (decided, installed, at_work, last, committed) = (0, 0, 0, 0, 0);
        Self {
            me,
            decided,
            installed,
            at_work,
            last,
            committed,
            slow: false,
            swept: (0, 0),
        }
    }
}

/// A part of what a controller has applied, for one that has less.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUpChunk {
    /// What follows the asker's last; the sender has applied all up to `committed`.
    Updates { committed: u64, entries: Vec<Entry> },
    /// The state itself, up to `seq`, where the updates to it are no longer at hand.
    Piece {
        seq: u64,
        at_ms: u64,
        piece: u32,
        pieces: u32,
        sum: u64,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// `sent`: the sender's clock, from a start of its own for each incarnation; `echo`: the newest `sent` heard from the
    /// receiver. `ledger`: its time, from a head.
    Heartbeat {
        standing: MemberStatus,
        sent: u64,
        echo: Option<u64>,
        ledger: Option<u64>,
    },
    /// Asks what another sees, before anything is proposed.
    StatusRequest {
        ask: u64,
    },
    StatusReply {
        ask: u64,
        standing: MemberStatus,
        contacts: Vec<(u64, u64)>,
        never: u64,
        /// All decided views that it remembers: who missed one needs it to prove that it is dead.
        views: Vec<View>,
    },
    /// Asks for a promise never to install this view or an earlier one.
    AbandonView {
        ask: u64,
        number: u64,
    },
    ViewAbandoned {
        ask: u64,
        number: u64,
        installed: u64,
    },
    /// For the view after `base`, by its members.
    Prepare {
        base: View,
        ballot: Ballot,
    },
    Promise {
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    Accept {
        ballot: Ballot,
        view: View,
    },
    Accepted {
        number: u64,
        ballot: Ballot,
    },
    /// A higher ballot was promised.
    Preempted {
        number: u64,
        ballot: Ballot,
    },
    /// These views are decided.
    Learn {
        views: Vec<View>,
    },
    /// The view begins with what is agreed on up to `committed`. The log has what the receiver may lack of it, as far
    /// as it is at hand, and what the source holds beyond; what is missing before it is to be fetched.
    Install {
        view: View,
        committed: u64,
        at_ms: u64,
        log: Vec<Entry>,
    },
    /// Asks for what was applied behind `held`, or for a piece of the state up to an update.
    CatchUpRequest {
        ask: u64,
        held: u64,
        piece: Option<(u64, u32)>,
    },
    CatchUpReply {
        ask: u64,
        fill: CatchUpChunk,
    },
    ViewActive {
        number: u64,
    },
    /// `echo`: the head's time as last heard; `age_ms`: how long ago the call was made.
    Forward {
        view: u64,
        echo: u64,
        age_ms: u64,
        from: RequestId,
        kind: RequestKind,
        body: Vec<u8>,
    },
    /// The head took nothing of it and never will.
    Reject {
        from: RequestId,
    },
    Append {
        view: u64,
        entries: Vec<Entry>,
        questions: Vec<ReadRequest>,
        synced_to: u64,
    },
    /// `committed`: how far the tail was.
    Response {
        from: RequestId,
        view: u64,
        committed: u64,
        body: Vec<u8>,
    },
    Commit {
        view: u64,
        seq: u64,
    },
}

impl Message {
    /// Whether it asks what only somebody may answer who has forgotten nothing.
    pub(crate) fn asks_for_a_say(&self) -> bool {
        matches!(
            self,
            Self::StatusRequest { .. }
                | Self::AbandonView { .. }
                | Self::Prepare { .. }
                | Self::Accept { .. }
        )
    }
}
