//! Outputs of a chain member.

use crate::message::Message;
use crate::persisted::Record;

/// The outcome of a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect. Holds the reply of the state machine.
    Completed(Vec<u8>),
    /// It took no effect and never will.
    Rejected,
    /// It may or may not have taken effect.
    Unknown,
}

/// An action for the caller, to be carried out in the order returned.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to the controller with this identity. Delivery is not guaranteed.
    Send {
        /// The receiver's identity.
        to: u64,
        /// What to send.
        message: Message,
    },
    /// Write these records as one atomic batch after all earlier tickets, sync them, and report the ticket with
    /// [`Input::Synced`](crate::Input::Synced).
    Write {
        /// Increases by one with each write of this incarnation.
        ticket: u64,
        /// May be empty, if only the ordering with other writes matters.
        records: Vec<Record>,
    },
    /// Reply to a client.
    Reply {
        /// The token of its request.
        token: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// The state of this replica has changed.
    StateChanged,
    /// This replica has diverged from the others or belongs to a superseded chain: discard its store and restart with
    /// an empty disk.
    DiscardStore,
    /// A log line.
    Log(String),
}
