//! Inputs of a chain member.

use crate::message::{Message, RequestKind};
use crate::persisted::PersistedState;
use crate::view::Member;

/// Everything that a process needs to start a member.
pub struct StartState {
    /// The identity of the disk, the incarnation of the process, and its address.
    pub me: Member,
    /// Whether this member bootstraps the first view: its disk was empty at the first start of the system.
    pub founder: bool,
    /// How many members may lose their disks at once without losing anything acknowledged.
    pub tolerated_losses: usize,
    /// Seeds the jitter that keeps members from proposing at the same time.
    pub seed: u64,
    /// The contents of the disk. None: the disk is new.
    pub persisted: Option<PersistedState>,
}

/// One event for [`Chain::handle`](crate::Chain::handle).
#[derive(Debug)]
pub enum Input {
    /// A timer tick, expected every 50 ms.
    Tick,
    /// This member was chosen to bootstrap the first view. Ignored if it already knows a view.
    Bootstrap,
    /// Another controller has introduced itself.
    PeerDiscovered {
        /// Who it is.
        member: Member,
    },
    /// A message was received.
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
    /// The disk became slow, or recovered.
    DiskHealth {
        /// Whether it is slow now.
        slow: bool,
    },
    /// The connection from a controller closed. This shortens the time until it is suspected.
    Disconnected {
        /// Whose connection it was.
        id: u64,
    },
    /// A client request. It gets exactly one [`Effect::Reply`](crate::Effect::Reply).
    ClientRequest {
        /// The caller's number for it, never used twice by one incarnation.
        token: u64,
        /// Whether it may change the state.
        kind: RequestKind,
        /// The request, encoded for the state machine.
        body: Vec<u8>,
    },
}
