//! What controllers say to each other.

use rookpulley_chain::{Member, Message};
use rookpulley_registry::InstanceUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A message between two controllers. It is encoded by `postcard`, by position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first on a connection, and again every two seconds: the known controllers may have changed.
    Hello {
        /// The sender.
        from: Member,
        /// The controllers that it is connected to, and itself.
        controllers: Vec<SocketAddrV4>,
    },
    /// A message of the chain.
    Chain(Message),
    /// What the sender knows of instances.
    InstanceUpdates {
        /// Not 0: to be answered under this number once it is on the receiver's disk and its proxies are told.
        query: u64,
        /// In any order.
        updates: Vec<InstanceUpdate>,
    },
    /// Answers `InstanceUpdates`.
    UpdatesStored {
        /// The number that was asked under.
        query: u64,
    },
}
