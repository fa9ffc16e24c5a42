//! Messages between controllers.

use rookpulley_chain::{Member, Message};
use rookpulley_registry::InstanceUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A message between two controllers. `postcard` encodes fields and variants by position, so their order is fixed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on a connection. Sent again every two seconds with the current list of controllers.
    Hello {
        /// The sender.
        from: Member,
        /// The sender and the controllers that it is connected to.
        controllers: Vec<SocketAddrV4>,
    },
    /// A message of the chain protocol.
    Chain(Message),
    /// Changes to instances known to the sender.
    InstanceUpdates {
        /// If not 0, the receiver replies with this number once the updates are durable and its proxies are notified.
        query: u64,
        /// The updates, in any order.
        updates: Vec<InstanceUpdate>,
    },
    /// Reply to `InstanceUpdates`: the updates are durable.
    UpdatesStored {
        /// The query number of the request.
        query: u64,
    },
}
