//! What controllers say to each other about the chain.
//!
//! Messages are encoded by `postcard`, which writes fields by position: their order is part of the protocol, their
//! names are not.

use crate::view::{Ballot, Member, View};
use serde::{Deserialize, Serialize, Serializer};

/// Writes bytes in one piece rather than one by one. The result is the same, and a body may have several megabytes.
fn serialize_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// An update at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position, from 1 without gaps.
    pub seq: u64,
    /// The replicated time that the head stamped on it, in milliseconds.
    pub at_ms: u64,
    /// The update as the state reads it.
    #[serde(serialize_with = "serialize_bytes")]
    pub body: Vec<u8>,
    /// Which request it came from.
    pub request: RequestId,
}

/// One attempt of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestId {
    /// The controller that was asked.
    pub controller: u64,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Its number for the request.
    pub token: u64,
    /// How often it has forwarded the request, from 1.
    pub attempt: u32,
}

/// What a client of the chain wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Changes the state, at most once.
    Update,
    /// Reads the state, and changes nothing.
    Read,
}

/// A read on its way along the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The read as the state reads it.
    pub body: Vec<u8>,
    /// Which request it is.
    pub request: RequestId,
}

/// A client's request on its way to the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The view whose head the receiver is.
    pub view: u64,
    /// The head's time as the sender last heard it, in milliseconds.
    pub echo: u64,
    /// How long ago the client asked, by the sender's clock, in milliseconds.
    pub age_ms: u64,
    /// Which request it is.
    pub request: RequestId,
    /// Whether it may change the state.
    pub kind: RequestKind,
    /// The request as the state reads it.
    pub body: Vec<u8>,
}

/// The digest of the state after an update, by which replicas are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The last update applied. 0: no digest was taken yet.
    pub seq: u64,
    /// XXH64 of the snapshot, with seed 0.
    pub digest: u64,
}

/// What a controller says of itself in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Who says so.
    pub member: Member,
    /// The newest view that it knows to be decided.
    pub decided: u64,
    /// The view that it has installed.
    pub installed: u64,
    /// The newest view that it knows to be active.
    pub active: u64,
    /// The last entry in its log.
    pub last: u64,
    /// The last entry that it knows to be committed.
    pub committed: u64,
    /// Its disk is slow, or hasn't taken a write yet.
    pub slow: bool,
    /// When it last took a digest of its state.
    pub digest: StateDigest,
}

impl MemberStatus {
    /// The status of a controller that has said nothing yet.
    pub fn unknown(member: Member) -> Self {
        Self {
            member,
            decided: 0,
            installed: 0,
            active: 0,
            last: 0,
            committed: 0,
            slow: false,
            digest: StateDigest::default(),
        }
    }
}

/// A controller that is in two-way contact with the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its identity.
    pub id: u64,
    /// Its incarnation.
    pub incarnation: u64,
}

impl From<Member> for Contact {
    fn from(member: Member) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation,
        }
    }
}

/// A chunk of a snapshot that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkPosition {
    /// The last update in the snapshot.
    pub seq: u64,
    /// Which chunk of it, from 0.
    pub chunk: u32,
}

/// A part of what one replica has applied, for one that has applied less.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUpData {
    /// The entries that follow.
    Updates {
        /// How far the sender has applied.
        committed: u64,
        /// Entries without gaps, behind the receiver's last.
        entries: Vec<Entry>,
    },
    /// A chunk of a snapshot, where the sender no longer has the entries.
    SnapshotChunk {
        /// The last update in the snapshot.
        seq: u64,
        /// The replicated time of that update.
        at_ms: u64,
        /// Which chunk, from 0.
        chunk: u32,
        /// How many there are.
        chunks: u32,
        /// XXH64 of the whole snapshot, with seed 0.
        checksum: u64,
        /// The chunk.
        bytes: Vec<u8>,
    },
}

/// A message between two controllers. `query` numbers a question of its sender, `number` is that of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent to all peers a few times a second.
    Heartbeat {
        /// What the sender says of itself.
        status: MemberStatus,
        /// The sender's monotonic clock, from a start of its own for each incarnation.
        sent: u64,
        /// The newest `sent` that it has heard from the receiver.
        echo: Option<u64>,
        /// The replicated time, where the sender is the head of an active view.
        head_time_ms: Option<u64>,
    },
    /// Asks what another sees, before a view is proposed.
    StatusRequest {
        /// The sender's number for it.
        query: u64,
    },
    /// Answers `StatusRequest`.
    StatusReply {
        /// The number of the question.
        query: u64,
        /// What the sender says of itself.
        status: MemberStatus,
        /// Whom it is in two-way contact with, itself included.
        contacts: Vec<Contact>,
        /// It never installs this view or an earlier one, unless it has already.
        abandoned: u64,
        /// All decided views that it remembers: who missed one needs it to prove that it was never active.
        views: Vec<View>,
    },
    /// Asks for a promise never to install this view or an earlier one.
    AbandonView {
        /// The sender's number for it.
        query: u64,
        /// The view.
        number: u64,
    },
    /// Answers `AbandonView`.
    ViewAbandoned {
        /// The number of the question.
        query: u64,
        /// The view that was asked about.
        number: u64,
        /// The view that the sender had installed by then.
        installed: u64,
    },
    /// Paxos phase 1a, for the view after `base`, by its acceptors.
    Prepare {
        /// The view whose successor is to be decided.
        base: View,
        /// The proposal number.
        ballot: Ballot,
    },
    /// Paxos phase 1b.
    Promise {
        /// The view number that is to be decided.
        number: u64,
        /// The ballot that is promised.
        ballot: Ballot,
        /// What the sender accepted before, with the ballot in which it did.
        accepted: Option<(Ballot, View)>,
    },
    /// Paxos phase 2a.
    Accept {
        /// The proposal number.
        ballot: Ballot,
        /// The view that is proposed.
        view: View,
    },
    /// Paxos phase 2b.
    Accepted {
        /// The view number.
        number: u64,
        /// The ballot in which it was accepted.
        ballot: Ballot,
    },
    /// Refuses a `Prepare` or `Accept`: a higher ballot was promised.
    Preempted {
        /// The view number.
        number: u64,
        /// The ballot that was promised.
        ballot: Ballot,
    },
    /// These views are decided.
    Learn {
        /// Any of them, in any order.
        views: Vec<View>,
    },
    /// From each member of a new view to its successor.
    Install {
        /// The new view.
        view: View,
        /// The view begins with all entries up to this one.
        committed: u64,
        /// The replicated time when the source left the view before.
        at_ms: u64,
        /// What the receiver may lack of these entries, as far as the sender has it, and all that follows them.
        log: Vec<Entry>,
    },
    /// Asks for entries behind `applied`, or for a chunk of a snapshot.
    CatchUpRequest {
        /// The sender's number for it.
        query: u64,
        /// The last entry that it has applied.
        applied: u64,
        /// The next chunk of the snapshot that it has begun to take.
        chunk: Option<ChunkPosition>,
    },
    /// Answers `CatchUpRequest`.
    CatchUpReply {
        /// The number of the question.
        query: u64,
        /// What was asked for, or a part of it.
        data: CatchUpData,
    },
    /// All members have installed this view: it is active.
    ViewActive {
        /// The view.
        number: u64,
    },
    /// A client's request, from the controller that was asked to the head.
    Forward(ForwardedRequest),
    /// The head has not taken a request and never will.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// From each member of an active view to its successor.
    Append {
        /// The view.
        view: u64,
        /// New entries, without gaps.
        entries: Vec<Entry>,
        /// Reads that have passed the sender.
        reads: Vec<ReadRequest>,
        /// The sender and all before it have synced the log up to this entry.
        synced_up_to: u64,
    },
    /// The answer to a request, from the tail to the controller that was asked.
    Response {
        /// The request.
        request: RequestId,
        /// The view whose tail answers.
        view: u64,
        /// How far the tail had applied.
        committed: u64,
        /// The state's answer.
        body: Vec<u8>,
    },
    /// From the tail: all entries up to this one are committed.
    Commit {
        /// The view.
        view: u64,
        /// The last committed entry.
        seq: u64,
    },
}

impl Message {
    /// Whether only a controller that has lost nothing it ever wrote may answer.
    pub(crate) fn needs_acceptor_state(&self) -> bool {
        matches!(
            self,
            Self::StatusRequest { .. }
                | Self::AbandonView { .. }
                | Self::Prepare { .. }
                | Self::Accept { .. }
        )
    }
}
