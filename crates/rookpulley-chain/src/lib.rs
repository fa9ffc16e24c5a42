//! Ordered updates through the machines with a disk, and the agreed view that mends the chain. Free of I/O.
//!
//! `view` and `message` hold the values, `persisted` what stands on the disk, `acceptor` the acceptor, `reconfiguration` how a new view
//! comes about, `install` how it is set to work, `catch_up` how one that lacks much gets it and how copies are compared,
//! `replication` updates and reads through a chain at work, `deduplication` what was answered lately, `client_requests` the calls that were
//! asked of this controller, `refound` the way out when a majority is gone, `integrity` what is wrong with a disk.
//! `docs/design/chain.md` says why it is right.

mod acceptor;
mod catch_up;
mod chain;
mod client_requests;
mod deduplication;
mod disk_health;
mod install;
mod integrity;
mod message;
mod persisted;
mod reconfiguration;
mod refound;
mod replication;
mod status;
mod view;

pub use chain::Chain;
pub use disk_health::DiskHealth;
pub use integrity::{Inconsistency, find_inconsistencies};
pub use message::{CatchUpChunk, Entry, MemberStatus, Message, ReadRequest, RequestId};
pub use persisted::{PersistedState, Record};
pub use status::{ChainStatus, MemberReport, PeerReport, StoreStatus};
pub use view::{Ballot, Member, View};

/// What the chain keeps: a state that applies entries, the same everywhere.
pub trait State {
    /// `at_ms` is the ledger's time; it never falls and never runs faster than real time.
    fn apply(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8>;
    fn read(&self, ask: &[u8]) -> Vec<u8>;
    fn snapshot(&self) -> Vec<u8>;
    fn restore(&mut self, bytes: &[u8]) -> bool;
}

/// What a start brings.
pub struct StartState {
    pub me: Member,
    /// Its disk was empty at the first start of all, at the first seed: this one makes the first view, if it hasn't yet.
    pub founder: bool,
    /// So many machines may be lost at once with their disks.
    pub losses: usize,
    pub seed: u64,
    pub kept: Option<PersistedState>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RequestKind {
    Update,
    Read,
}

#[derive(Debug)]
pub enum Input {
    /// Every 50 ms.
    Tick,
    /// It is now known that this one is to make the first view, if it knows of none.
    Bootstrap,
    /// A controller said who it is.
    PeerDiscovered {
        member: Member,
    },
    Received {
        from: u64,
        message: Message,
    },
    /// All that was written up to this ticket is on the disk.
    Synced {
        ticket: u64,
    },
    DiskHealth {
        slow: bool,
    },
    /// The line from a controller ended. That is no proof, but if it isn't heard again soon it is lost.
    Disconnected {
        id: u64,
    },
    ClientRequest {
        token: u64,
        kind: RequestKind,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed(Vec<u8>),
    /// It took no effect and never will.
    Rejected,
    /// It may or may not have taken effect.
    Unknown,
}

#[derive(Debug)]
pub enum Effect {
    Send {
        to: u64,
        message: Message,
    },
    /// To be applied as one, in the order of tickets, and synced.
    Write {
        ticket: u64,
        records: Vec<Record>,
    },
    Reply {
        token: u64,
        outcome: Outcome,
    },
    /// The state here has moved.
    StateChanged,
    /// What is kept here is not what the others keep: to be begun anew, as an empty disk.
    DiscardStore,
    Log(String),
}
