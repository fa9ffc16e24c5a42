//! What a controller starts with.

use crate::bootstrap::Bootstrap;
use rookpulley_chain::Member;
use std::net::SocketAddrV4;

/// Rows of a store: keys with their values.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// What a process starts with: its settings, and what its disk holds.
pub struct ControllerStart {
    /// The identity of the disk, the incarnation of the process, and where it listens for other controllers.
    pub me: Member,
    /// Other controllers, as the settings name them.
    pub seeds: Vec<SocketAddrV4>,
    /// How many machines may be lost at once.
    pub tolerated_losses: u32,
    /// How often instances send heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// How long an instance serves on after its drain was acknowledged, in milliseconds.
    pub drain_ms: u64,
    /// The machine's zone.
    pub zone: String,
    /// What the disk was minted with, where that was at the first start of the whole system.
    pub bootstrap: Option<Bootstrap>,
    /// What the disk holds of the chain. None: it is new.
    pub chain_rows: Option<Rows>,
    /// What the disk holds of instances.
    pub instance_rows: Rows,
}
