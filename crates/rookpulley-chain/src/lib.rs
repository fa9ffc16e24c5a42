//! Chain replication with Paxos-based reconfiguration, independent of I/O and clocks.
//!
//! The controllers with a disk form a *chain*. An update enters at the *head* and is forwarded from each member to its
//! *successor*. Every member syncs it to disk, and it is *committed* once the *tail* has it. Reads travel the same path
//! and are answered by the tail. The *view* defines the members and their order. Views are numbered, and each is
//! decided by a quorum of the previous one, with one instance of single-decree Paxos per view number. There is no
//! elected leader: any acceptor that detects a fault may propose the next view.
//!
//! [`Chain`] is one member. [`Chain::handle`] takes an [`Input`] and the current time and returns [`Effect`]s; the
//! caller owns sockets, disk and clock. The replicated state machine is the caller's [`State`].
//!
//! | file | responsibility |
//! | --- | --- |
//! | `input`, `effect`, `message`, `view` | inputs, outputs, and the messages between controllers |
//! | `chain` | the fields of one member, and dispatch of inputs |
//! | `chain/heartbeats` | failure detection, and the replicated time of the head |
//! | `chain/reconfiguration`, `chain/candidates`, `chain/proposer`, `chain/acceptor` | agreement on the next view |
//! | `chain/views`, `chain/install` | learning, installing and activating views |
//! | `chain/replication`, `chain/client_requests` | updates and reads through an active view |
//! | `chain/catch_up`, `chain/digests` | state transfer to lagging replicas, and comparison of replicas |
//! | `persisted`, `integrity`, `refound`, `disk_health` | stored rows, their consistency check, recovery from a lost quorum, disk latency |
//!
//! `docs/design/chain.md` argues why no acknowledged update is lost. The model under `tests/model` explores the
//! protocol exhaustively, and `tests/world` simulates whole chains with injected faults.

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
pub use chain::replication::MAX_REQUEST_AGE_MS;
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
