//! The settings of each process.

use crate::environment::{Environment, MACHINE_COUNT};
use rookpulley_settings::{Bounds, Limits, Listen, Node, Tolerance};
use std::path::PathBuf;

pub const ZONES: [&str; MACHINE_COUNT] = ["north-quay", "east-quay", "south-quay"];
const REGION: &str = "harbour";
/// Shorter than in a production installation, to keep trials short.
pub const HEARTBEAT_MS: u64 = 400;
pub const DRAIN_MS: u64 = 1_000;
pub const CONFIG_APPLY_MS: u64 = 1_500;
pub const GRACE_PERIOD_S: f64 = 6.0;
/// How long a machine counts as lost after its start; a second loss in this period would exceed the tolerance.
pub const CATCH_UP_S: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Proxy,
    Controller,
}

impl Role {
    pub const ALL: [Role; 2] = [Role::Controller, Role::Proxy];

    fn as_str(self) -> &'static str {
        match self {
            Role::Proxy => "courier",
            Role::Controller => "office",
        }
    }

    /// The name of the role's process on a machine, in settings, logs and output.
    pub fn name(self, machine: usize) -> String {
        format!("{}-{}", self.as_str(), machine + 1)
    }
}

/// Where the controller of a machine keeps its data.
pub fn data_folder(environment: &Environment, machine: usize) -> PathBuf {
    let name = Role::Controller.name(machine);
    environment.folder().join(format!("{name}.data"))
}

/// Builds the settings of a process. `first` marks the first start of the whole gateway, with empty disks.
pub fn node_settings(environment: &Environment, machine: usize, role: Role, first: bool) -> Node {
    let name = role.name(machine);
    let (serves, listen) = match role {
        Role::Proxy => {
            let (front, readiness) = (
                Some(environment.front(machine)),
                Some(environment.readiness(machine)),
            );
            (
                "edge",
                Listen {
                    front,
                    readiness,
                    control: None,
                },
            )
        }
        Role::Controller => (
            "control_plane",
            Listen {
                control: Some(environment.control(machine)),
                ..Listen::default()
            },
        ),
    };
    Node {
        role: role.as_str().into(),
        class: "edge".into(),
        serves: vec![serves.into()],
        ip: environment.ip(machine),
        zone: ZONES[machine % MACHINE_COUNT].into(),
        region: REGION.into(),
        internal_ports: environment.ports.internal(),
        seeds: environment.controls(),
        first_start: first,
        loss_counted: true,
        data: (role == Role::Controller).then(|| data_folder(environment, machine)),
        heartbeat_ms: HEARTBEAT_MS,
        zones: ZONES
            .iter()
            .map(|zone| (zone.to_string(), REGION.into()))
            .collect(),
        listen,
        limits: Limits {
            disk_mb: Some(64.0),
            ..Limits::default()
        },
        tolerance: Tolerance {
            machine_losses: 1,
            zone_losses: 0,
            region_losses: 0,
        },
        bounds: Bounds {
            drain_ms: DRAIN_MS,
            grace_period_s: GRACE_PERIOD_S,
            catch_up_s: CATCH_UP_S,
            config_apply_ms: CONFIG_APPLY_MS,
            retry_budget_ratio: 0.2,
            retry_budget_slack: 64.0,
            ..Bounds::default()
        },
        cloud: None,
        name,
    }
}
