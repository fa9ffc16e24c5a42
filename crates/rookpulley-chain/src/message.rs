//! Messages between controllers about the chain.
//!
//! They are encoded with `postcard`, which writes fields by position: the order of fields is part of the protocol,
//! their names are not.

use crate::view::{Ballot, Member, View};
use serde::{Deserialize, Serialize, Serializer};

/// Serializes bytes as one slice instead of element by element, which is faster for bodies of several megabytes. The
/// encoding is the same.
fn serialize_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// An update at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number, from 1 without gaps.
    pub seq: u64,
    /// The replicated time assigned by the head, in milliseconds.
    pub at_ms: u64,
    /// The update, encoded for the state machine.
    #[serde(serialize_with = "serialize_bytes")]
    pub body: Vec<u8>,
    /// The request that created it.
    pub request: RequestId,
}

/// One attempt of a client request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestId {
    /// The controller that received the request.
    pub controller: u64,
    /// The incarnation of that controller.
    pub incarnation: u64,
    /// The token that the controller assigned to the request.
    pub token: u64,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

/// The kind of a client request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Changes the state, at most once.
    Update,
    /// Reads the state.
    Read,
}

/// A read in transit along the chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The read, encoded for the state machine.
    pub body: Vec<u8>,
    /// Which request it is.
    pub request: RequestId,
}

/// A client request forwarded to the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The view in which the receiver is the head.
    pub view: u64,
    /// The latest replicated time that the sender received from the head, in milliseconds.
    pub echo: u64,
    /// The age of the client request by the sender's clock, in milliseconds.
    pub age_ms: u64,
    /// Which request it is.
    pub request: RequestId,
    /// Whether it is an update or a read.
    pub kind: RequestKind,
    /// The request, encoded for the state machine.
    pub body: Vec<u8>,
}

/// The digest of the state after an update, used to compare replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The last update applied. 0: no digest has been computed.
    pub seq: u64,
    /// XXH64 of the snapshot, with seed 0.
    pub digest: u64,
}

/// The status that a controller reports in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The reporting controller.
    pub member: Member,
    /// The newest view that it knows to be decided.
    pub decided: u64,
    /// The newest view that it has installed.
    pub installed: u64,
    /// The newest view that it knows to be active.
    pub active: u64,
    /// The last entry in its log.
    pub last: u64,
    /// The last entry that it knows to be committed.
    pub committed: u64,
    /// Its disk is slow, or has not completed a write in this incarnation.
    pub slow: bool,
    /// The latest digest of its state.
    pub digest: StateDigest,
}

impl MemberStatus {
    /// The status of a controller that has sent no heartbeat yet.
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

/// The position of a requested snapshot chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkPosition {
    /// The last update in the snapshot.
    pub seq: u64,
    /// The index of the chunk.
    pub chunk: u32,
}

/// Catch-up data for a replica that lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUpData {
    /// Log entries.
    Updates {
        /// The last entry that the sender has applied.
        committed: u64,
        /// Consecutive entries after the receiver's last applied one.
        entries: Vec<Entry>,
    },
    /// A snapshot chunk, sent if the entries are no longer in memory.
    SnapshotChunk {
        /// The last update in the snapshot.
        seq: u64,
        /// The replicated time of that update.
        at_ms: u64,
        /// The index of the chunk.
        chunk: u32,
        /// The number of chunks.
        chunks: u32,
        /// XXH64 of the whole snapshot, with seed 0.
        checksum: u64,
        /// The contents of the chunk.
        bytes: Vec<u8>,
    },
}

/// A message between two controllers. `query` identifies a request of its sender; `number` is a view number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent periodically to all peers.
    Heartbeat {
        /// The sender's status.
        status: MemberStatus,
        /// The sender's monotonic clock, with a different offset for each incarnation.
        sent: u64,
        /// The latest `sent` that it received from the receiver.
        echo: Option<u64>,
        /// The replicated time, if the sender is the head of an active view.
        head_time_ms: Option<u64>,
    },
    /// Asks for the receiver's status before a view is proposed.
    StatusRequest {
        /// The sender's identifier for this request.
        query: u64,
    },
    /// Reply to `StatusRequest`.
    StatusReply {
        /// The identifier of the request.
        query: u64,
        /// The sender's status.
        status: MemberStatus,
        /// The controllers that it is in two-way contact with, including itself.
        contacts: Vec<Contact>,
        /// The sender will not install views up to this number unless it already has.
        abandoned: u64,
        /// All decided views that it retains. A proposer that missed a view needs it to prove that it was never active.
        views: Vec<View>,
    },
    /// Asks for a promise not to install this view or an earlier one.
    AbandonView {
        /// The sender's identifier for this request.
        query: u64,
        /// The view.
        number: u64,
    },
    /// Reply to `AbandonView`.
    ViewAbandoned {
        /// The identifier of the request.
        query: u64,
        /// The view in the request.
        number: u64,
        /// The newest view that the sender has installed.
        installed: u64,
    },
    /// Paxos phase 1a for the successor of `base`, sent to the acceptors of `base`.
    Prepare {
        /// The view whose successor is to be decided.
        base: View,
        /// The proposal number.
        ballot: Ballot,
    },
    /// Paxos phase 1b.
    Promise {
        /// The view number to be decided.
        number: u64,
        /// The promised ballot.
        ballot: Ballot,
        /// The view that the sender accepted earlier, with its ballot.
        accepted: Option<(Ballot, View)>,
    },
    /// Paxos phase 2a.
    Accept {
        /// The proposal number.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// Paxos phase 2b.
    Accepted {
        /// The view number.
        number: u64,
        /// The ballot in which it was accepted.
        ballot: Ballot,
    },
    /// Rejects a `Prepare` or `Accept`: a higher ballot was promised.
    Preempted {
        /// The view number.
        number: u64,
        /// The promised ballot.
        ballot: Ballot,
    },
    /// Announces decided views.
    Learn {
        /// Decided views, in any order.
        views: Vec<View>,
    },
    /// Starts a new view. Sent by each member to its successor.
    Install {
        /// The new view.
        view: View,
        /// The new view starts with all entries up to this one committed.
        committed: u64,
        /// The replicated time at which the source left the previous view.
        at_ms: u64,
        /// The committed entries that the receiver may lack, as far as the sender has them in memory, and all
        /// uncommitted ones.
        log: Vec<Entry>,
    },
    /// Asks for the entries after `applied`, or for a snapshot chunk.
    CatchUpRequest {
        /// The sender's identifier for this request.
        query: u64,
        /// The last entry that the sender has applied.
        applied: u64,
        /// The next chunk of a snapshot that was partly received.
        chunk: Option<ChunkPosition>,
    },
    /// Reply to `CatchUpRequest`.
    CatchUpReply {
        /// The identifier of the request.
        query: u64,
        /// The requested data, or the first part of it.
        data: CatchUpData,
    },
    /// Announces that all members have installed this view.
    ViewActive {
        /// The view.
        number: u64,
    },
    /// A client request, forwarded to the head.
    Forward(ForwardedRequest),
    /// The receiver of a `Forward` has not accepted the request and never will.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// Replicates entries and reads. Sent by each member of an active view to its successor.
    Append {
        /// The view.
        view: u64,
        /// New consecutive entries.
        entries: Vec<Entry>,
        /// Reads that have passed through the sender.
        reads: Vec<ReadRequest>,
        /// The sender and all its predecessors have synced the log up to this entry.
        synced_up_to: u64,
    },
    /// The reply to a request, from the tail to the controller that received it.
    Response {
        /// The request.
        request: RequestId,
        /// The view in which the sender is the tail.
        view: u64,
        /// The last entry that the tail had applied.
        committed: u64,
        /// The reply of the state machine.
        body: Vec<u8>,
    },
    /// Announces from the tail that all entries up to `seq` are committed.
    Commit {
        /// The view.
        view: u64,
        /// The last committed entry.
        seq: u64,
    },
}

impl Message {
    /// Whether handling the message requires an intact acceptor state.
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
