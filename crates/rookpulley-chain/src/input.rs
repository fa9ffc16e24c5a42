//! What comes into a member of the chain.

use crate::message::{Message, RequestKind};
use crate::persisted::PersistedState;
use crate::view::Member;

/// What a process starts with.
pub struct StartState {
    /// The identity of the disk, the incarnation of the process, and its address.
    pub me: Member,
    /// Whether this member makes the first view: its disk was empty at the first start of the whole system.
    pub founder: bool,
    /// How many members may lose their disks at once without losing anything acknowledged.
    pub tolerated_losses: usize,
    /// Spreads proposals of several members in time.
    pub seed: u64,
    /// What the disk held. None: the disk is new.
    pub persisted: Option<PersistedState>,
}

/// One event for [`Chain::handle`](crate::Chain::handle).
#[derive(Debug)]
pub enum Input {
    /// Time has passed: to be given every 50 ms.
    Tick,
    /// It is now known that this member makes the first view, if it knows of none.
    Bootstrap,
    /// Another controller has said who it is.
    PeerDiscovered {
        /// Who it is.
        member: Member,
    },
    /// A message has come.
    Received {
        /// The sender's identity.
        from: u64,
        /// What it sent.
        message: Message,
    },
    /// Every write up to this ticket is on the disk.
    Synced {
        /// The ticket of an [`Effect::Write`](crate::Effect::Write).
        ticket: u64,
    },
    /// The disk has become slow, or quick again.
    DiskHealth {
        /// Whether it is slow now.
        slow: bool,
    },
    /// The connection from a controller has ended. That proves nothing, but shortens the time until it is suspected.
    Disconnected {
        /// Whose connection it was.
        id: u64,
    },
    /// A client has a request. It is answered by one [`Effect::Reply`](crate::Effect::Reply).
    ClientRequest {
        /// The caller's number for it, never used twice by one incarnation.
        token: u64,
        /// Whether it may change the state.
        kind: RequestKind,
        /// The request as the state reads it.
        body: Vec<u8>,
    },
}
