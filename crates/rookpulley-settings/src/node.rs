//! The settings of a process, with the default of each field.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The settings of one process, and of the deployment that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub name: String,
    /// Empty if the file has none, like `class`.
    pub role: String,
    pub class: String,
    /// Which external listeners the process has: `edge`, `control_plane`, both or none.
    pub serves: Vec<String>,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Defaults to the region of the zone in `zones`.
    pub region: String,
    /// The first and the last port for traffic between the processes of the deployment.
    pub internal_ports: (u16, u16),
    pub seeds: Vec<SocketAddrV4>,
    /// Defaults to false: bootstrapping a deployment twice loses the writes that the first one acknowledged.
    pub first_start: bool,
    pub loss_counted: bool,
    /// None: this process stores nothing on disk.
    pub data: Option<PathBuf>,
    pub heartbeat_ms: u64,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub listen: Listen,
    pub limits: Limits,
    pub tolerance: Tolerance,
    pub bounds: Bounds,
    /// None: the deployment has no platform API.
    pub cloud: Option<CloudApi>,
}

impl Node {
    pub fn serves(&self, audience: &str) -> bool {
        self.serves.iter().any(|one| one == audience)
    }

    /// Length of the windows that usage is reported for, if it is.
    pub fn usage_window_s(&self) -> Option<f64> {
        let cloud = self.cloud.as_ref()?;
        cloud.reports_usage().then_some(self.bounds.usage_window_s)
    }

    /// The address at which the controller of this machine accepts connections of other processes.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_ports.0)
    }
}

/// Addresses for external requests. Those that `serves` requires are set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    pub front: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub cpu_share: f64,
    pub cpu_cores: f64,
    pub memory_mb: f64,
    pub max_open_files: u64,
    pub link_mbps: f64,
    pub disk_mb: Option<f64>,
}

impl Default for Limits {
    /// The limits of a small machine.
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cpu_cores: 1.0,
            memory_mb: 256.0,
            max_open_files: 1_024,
            link_mbps: 1_000.0,
            disk_mb: None,
        }
    }
}

/// Simultaneous losses that must not lose any acknowledged write.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tolerance {
    pub machine_losses: u32,
    pub zone_losses: u32,
    pub region_losses: u32,
}

/// Timing and retry limits of the deployment, with the names and units of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag_s: f64,
    pub address_reuse_s: f64,
    pub contact_ms: u64,
    pub ack_deadline_ms: u64,
    pub catch_up_s: f64,
    pub drain_ms: u64,
    pub grace_period_s: f64,
    pub loss_slack_ms: u64,
    pub config_apply_ms: u64,
    pub downgrade_slack_ms: u64,
    pub max_stretch_ms: u64,
    pub retry_budget_ratio: f64,
    pub retry_window_s: f64,
    pub retry_budget_slack: f64,
    pub recovery_s: f64,
    pub history_retention_s: f64,
    pub release_ms: u64,
    /// Whether a machine that may hold revoked keys must reject requests with keys.
    pub revocation_strict: bool,
    /// How long after its revocation a key may still be accepted.
    pub revoke_ms: u64,
    /// Whether the platform rejects calls with a fencing token below one that it has seen.
    pub fencing_enabled: bool,
    /// Duration of the lease of a duty.
    pub lease_ms: u64,
    pub thaw_slack_ms: u64,
    /// Length of the windows that usage is reported for.
    pub usage_window_s: f64,
    pub usage_tolerance: f64,
    /// How long after the end of a window its report is due.
    pub usage_late_s: f64,
}

/// The platform's API, which some calls to are the duty of one controller at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudApi {
    pub address: SocketAddrV4,
    /// Calls of all kinds per second that the platform accepts from all machines together.
    pub rate_per_s: f64,
    /// Names of the duties.
    pub duties: Vec<String>,
    /// Calls of duties per second that the platform accepts from all machines together.
    pub duties_per_s: f64,
}

impl CloudApi {
    /// Whether usage has to be reported.
    pub fn reports_usage(&self) -> bool {
        self.duties.iter().any(|duty| duty == USAGE_REPORTING)
    }
}

/// Name of the duty of reporting usage.
pub const USAGE_REPORTING: &str = "usage_reporting";

impl Default for Bounds {
    /// Conservative values for fields that the file omits.
    fn default() -> Self {
        Self {
            seed_lag_s: 3.0,
            address_reuse_s: 2.0,
            contact_ms: 3_000,
            ack_deadline_ms: 4_000,
            catch_up_s: 4.0,
            drain_ms: 2_000,
            grace_period_s: 5.0,
            loss_slack_ms: 200,
            config_apply_ms: 2_000,
            downgrade_slack_ms: 200,
            max_stretch_ms: 5_000,
            retry_budget_ratio: 0.1,
            retry_window_s: 10.0,
            retry_budget_slack: 32.0,
            recovery_s: 15.0,
            history_retention_s: 30.0,
            release_ms: 1_500,
            revocation_strict: false,
            revoke_ms: 5_000,
            fencing_enabled: true,
            lease_ms: 3_000,
            thaw_slack_ms: 300,
            usage_window_s: 5.0,
            usage_tolerance: 0.05,
            usage_late_s: 10.0,
        }
    }
}
