//! Start parameters of a controller.

use crate::bootstrap::Bootstrap;
use rookpulley_chain::Member;
use rookpulley_duties::DutySettings;
use rookpulley_usage::WindowLength;
use std::net::SocketAddrV4;

/// Rows of a store as key-value pairs.
pub type Rows = Vec<(Vec<u8>, Vec<u8>)>;

/// Settings and stored data that a controller starts with.
pub struct ControllerStart {
    /// Disk identity, process incarnation and listening address for other controllers.
    pub me: Member,
    /// Addresses of other controllers from the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Number of simultaneous machine failures to tolerate.
    pub tolerated_losses: u32,
    /// Heartbeat interval of instances, in milliseconds.
    pub heartbeat_ms: u64,
    /// How long an instance keeps serving after its drain is acknowledged, in milliseconds.
    pub drain_ms: u64,
    /// The machine's zone.
    pub zone: String,
    /// The time of day at time 0 of the controller's clock, in milliseconds since the start of 1970.
    pub origin_unix_ms: f64,
    /// The duty of reporting usage, if the deployment has it.
    pub usage_duty: Option<DutySettings>,
    /// Length of the windows that usage is counted in. None if usage isn't reported.
    pub usage_window: Option<WindowLength>,
    /// Bootstrap record, if the disk was initialized at the first start of the cluster.
    pub bootstrap: Option<Bootstrap>,
    /// Stored rows of the chain, or `None` for a new disk.
    pub chain_rows: Option<Rows>,
    /// Stored rows of instances.
    pub instance_rows: Rows,
}
