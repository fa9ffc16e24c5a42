//! What a member of the chain wants done.

use crate::message::Message;
use crate::persisted::Record;

/// What became of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has taken effect; the state's answer.
    Completed(Vec<u8>),
    /// It has taken no effect and never will.
    Rejected,
    /// It may or may not have taken effect.
    Unknown,
}

/// One thing to do, in the order in which they were returned.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to the controller with this identity. It may be lost.
    Send {
        /// The receiver's identity.
        to: u64,
        /// What to send.
        message: Message,
    },
    /// Apply these records as one batch, after all earlier tickets, sync them, and report the ticket by
    /// [`Input::Synced`](crate::Input::Synced).
    Write {
        /// Rises by one with each write of this incarnation.
        ticket: u64,
        /// Maybe none: then only the order matters.
        records: Vec<Record>,
    },
    /// Answer a client.
    Reply {
        /// The token of its request.
        token: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// The state of this replica has changed.
    StateChanged,
    /// This replica is not a copy of what the others hold: its store is to be discarded, and the process to start
    /// again with an empty disk.
    DiscardStore,
    /// A line for the log.
    Log(String),
}
