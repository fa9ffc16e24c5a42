//! Actions that a controller requests from its caller.

use crate::reply::Reply;
use rookpulley_chain::Record;
use rookpulley_duties::PlatformCall;
use std::net::Ipv4Addr;

/// An action to perform. Effects must be performed in the order in which they are returned.
#[derive(Debug)]
pub enum Effect {
    /// Maintain a connection to the controller at this address.
    Connect(Ipv4Addr),
    /// The controller at this address is alive: reconnect without backoff.
    PeerIsAlive(Ipv4Addr),
    /// Send a frame on the outgoing connection to a controller.
    SendToPeer {
        /// Its address.
        to: Ipv4Addr,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Send a frame to a proxy or a stateless controller.
    SendToProxy {
        /// The connection number.
        connection: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Write chain records as one batch after all earlier tickets, and sync them.
    WriteChain {
        /// Reported back once the records are synced.
        ticket: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Write instance records as one batch after all earlier tickets, and sync them.
    WriteInstances {
        /// Reported back once the records are synced.
        ticket: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Reply to a request.
    Reply {
        /// The token of the request.
        token: u64,
        /// The reply.
        reply: Reply,
    },
    /// Call the platform. The answer is passed to `Controller::platform_answered`.
    CallPlatform(PlatformCall),
    /// The store conflicts with the other controllers: discard it and restart with an empty one.
    DiscardStore,
    /// Write a line to the log.
    Log(String),
    /// Write an error to the log.
    LogError(String),
}
