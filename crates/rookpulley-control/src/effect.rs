//! What a controller wants done.

use crate::reply::Reply;
use rookpulley_chain::Record;
use std::net::Ipv4Addr;

/// One thing to do, in the order in which they were returned.
#[derive(Debug)]
pub enum Effect {
    /// Keep a connection to the controller at this address.
    Connect(Ipv4Addr),
    /// The controller at this address has sent something: no reason to wait before connecting again.
    PeerIsAlive(Ipv4Addr),
    /// Send a frame to a controller, on the connection that was made to it.
    SendToPeer {
        /// Its address.
        to: Ipv4Addr,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Send a frame to a proxy, or to a controller without a disk.
    SendToProxy {
        /// The number of its connection.
        connection: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Write records of the chain as one batch, after all earlier tickets, and sync them.
    WriteChain {
        /// To be reported once they are synced.
        ticket: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// The same, of what is known of instances.
    WriteInstances {
        /// To be reported once they are synced.
        ticket: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Answer a call.
    Reply {
        /// The number that the call was given.
        token: u64,
        /// The answer.
        reply: Reply,
    },
    /// The other controllers hold something else: discard the store, and start again with an empty one.
    DiscardStore,
    /// A line for the log.
    Log(String),
    /// A line for the log: something is wrong.
    LogError(String),
}
