//! What a proxy wants done.

use rookpulley_protocol::{IncarnationId, ProxyToController};
use std::net::Ipv4Addr;

/// One thing to do, in the order in which they were returned.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection to this controller until it is forgotten.
    Connect(Ipv4Addr),
    /// Send a message to a controller, on its connection.
    SendToController {
        /// Its address.
        to: Ipv4Addr,
        /// The message.
        message: ProxyToController,
    },
    /// Use no connection to this incarnation again.
    CloseConnections(IncarnationId),
    /// A line for the log.
    Log(String),
    /// A line for the log: something is wrong.
    LogWarning(String),
}
