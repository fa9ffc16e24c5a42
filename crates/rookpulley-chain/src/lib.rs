//! Chain replication with reconfiguration by Paxos, free of I/O and of any clock.
//!
//! The machines with a disk form a *chain*. An update enters at the *head*, is handed from each member to its
//! *successor*, is synced to the disk of each, and takes effect once the *tail* has it: then it is *committed*. A read
//! passes the same members and is answered by the tail. Which machines are members, and in which order, says the
//! *view*; views are numbered, and each is decided by a quorum of the one before (single-decree Paxos a view number).
//! There is no elected leader: whoever notices a fault first proposes the next view.
//!
//! [`Chain`] is one member. [`Chain::handle`] takes an [`Input`] with the time and returns [`Effect`]s; the caller owns
//! sockets, disk and clock. The caller's [`State`] is what is replicated.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `input`, `effect`, `message`, `view` | the values that go in, come out, and pass between controllers |
//! | `chain` | one member: its fields, and which part handles an input |
//! | `chain/heartbeats` | who is reachable, and the time of the head |
//! | `chain/reconfiguration`, `chain/candidates`, `chain/proposer`, `chain/acceptor` | how the next view is agreed on |
//! | `chain/views`, `chain/install` | what a decided view changes, and how it becomes active |
//! | `chain/replication`, `chain/client_requests` | updates and reads through an active view |
//! | `chain/catch_up`, `chain/digests` | how a replica gets what it lacks, and how replicas are compared |
//! | `persisted`, `integrity`, `refound`, `disk_health` | what is on the disk, what can be wrong with it, the way out of a lost quorum |
//!
//! `docs/design/chain.md` argues why nothing acknowledged is lost; the model under `tests/model` searches the protocol
//! exhaustively, and `tests/world` simulates whole chains with faults.

#![warn(missing_docs)]

mod after_sync;
mod catch_up_state;
mod chain;
mod disk_health;
mod effect;
mod input;
mod integrity;
mod message;
mod peer;
mod pending_requests;
mod persisted;
mod reconfiguration_state;
mod refound;
mod replication_state;
mod reply_cache;
mod state;
mod view;

pub use chain::Chain;
pub use chain::status::{
    ChainStatus, MemberReport, PeerReport, StoreStatus, StoredSnapshot, StoredUpdate,
};
pub use disk_health::{DiskCheck, DiskHealth};
pub use effect::{Effect, Outcome};
pub use input::{Input, StartState};
pub use integrity::{Inconsistency, find_inconsistencies};
pub use message::{
    CatchUpData, ChunkPosition, Contact, Entry, ForwardedRequest, MemberStatus, Message,
    ReadRequest, RequestId, RequestKind, StateDigest,
};
pub use persisted::{PersistedState, Record};
pub use state::State;
pub use view::{Ballot, Member, View};
