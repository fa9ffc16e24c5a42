//! Effects requested by the proxy state.

use rookpulley_protocol::{IncarnationId, ProxyToController};
use std::net::Ipv4Addr;

/// An effect to perform. Effects must be performed in the order in which they are returned.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Keep a connection to this controller until `ProxyState::remove_if_expired` returns true.
    Connect(Ipv4Addr),
    /// Send a message to a controller on its connection.
    SendToController {
        /// Address of the controller.
        to: Ipv4Addr,
        /// The message.
        message: ProxyToController,
    },
    /// Stop reusing connections to this incarnation.
    CloseConnections(IncarnationId),
    /// Log a message.
    Log(String),
    /// Log a warning.
    LogWarning(String),
}
