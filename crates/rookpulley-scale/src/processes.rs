//! Controllers and proxies as processes: started with settings of their own, measured, ended with this program.

use crate::Sizes;
use miette::{IntoDiagnostic, WrapErr};
use rookpulley_settings::{Bounds, Limits, Listen, Node, Tolerance};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

const INNER_PORTS: u16 = 16;
const BLOCK: u16 = 32;
const LOWEST_PORT: u16 = 10_240;
const BLOCKS: u16 = 600;
pub const ZONES: usize = 5;
/// What the settings say that is lost at once.
const LOSSES: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Controller,
    Proxy,
}

pub struct Process {
    pub role: Role,
    child: Child,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub processor_ms: f64,
    /// The most that was resident.
    pub peak_kb: u64,
    pub descriptors: u64,
}

pub struct Processes {
    pub all: Vec<Process>,
    folder: tempfile::TempDir,
    pub first_port: u16,
}

pub fn address(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 9, machine as u8 + 1)
}

pub fn zone(machine: usize) -> String {
    format!("zone-{}", machine % ZONES)
}

/// The program that stands beside this one.
fn sibling(name: &str) -> miette::Result<PathBuf> {
    let path = std::env::current_exe()
        .into_diagnostic()?
        .with_file_name(name);
    if path.is_file() {
        return Ok(path);
    }
    Err(miette::miette!(
        help = "cargo build --release, and --release -p rookpulley-scale",
        "{} is not built",
        path.display()
    ))
}

fn free_block() -> miette::Result<u16> {
    let free = |first: &u16| {
        (*first..first + BLOCK).all(|port| TcpListener::bind((address(0), port)).is_ok())
    };
    let from = (std::process::id() % u32::from(BLOCKS)) as u16;
    let blocks = (0..BLOCKS).map(|step| LOWEST_PORT + (from + step) % BLOCKS * BLOCK);
    blocks
        .into_iter()
        .find(free)
        .ok_or_else(|| miette::miette!("no free ports"))
}

impl Processes {
    pub fn start(sizes: &Sizes) -> miette::Result<Self> {
        let (controllers, proxies) = (
            sibling("rookpulley-controller")?,
            sibling("rookpulley-proxy")?,
        );
        let folder = tempfile::Builder::new()
            .prefix("rookpulley-scale-")
            .tempdir()
            .into_diagnostic()?;
        let mut processes = Self {
            all: Vec::new(),
            folder,
            first_port: free_block()?,
        };
        let seeds: Vec<SocketAddrV4> = (0..sizes.controllers.min(3))
            .map(|machine| processes.control(machine))
            .collect();
        for machine in 0..sizes.controllers {
            let node = processes.settings(Role::Controller, machine, &seeds);
            processes.spawn(&controllers, Role::Controller, &node)?;
        }
        for proxy in 0..sizes.proxies {
            let node = processes.settings(Role::Proxy, sizes.controllers + proxy, &seeds);
            processes.spawn(&proxies, Role::Proxy, &node)?;
        }
        Ok(processes)
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(machine), self.first_port + INNER_PORTS + 2)
    }

    fn settings(&self, role: Role, machine: usize, seeds: &[SocketAddrV4]) -> Node {
        let ip = address(machine);
        let outer = |more| Some(SocketAddrV4::new(ip, self.first_port + INNER_PORTS + more));
        let (word, serves, listen) = match role {
            Role::Controller => (
                "controller",
                "control_plane",
                Listen {
                    control: outer(2),
                    ..Listen::default()
                },
            ),
            Role::Proxy => (
                "proxy",
                "edge",
                Listen {
                    front: outer(0),
                    readiness: outer(1),
                    ..Listen::default()
                },
            ),
        };
        let name = format!("{word}-{machine}");
        let data = self.folder.path().join(format!("{name}.data"));
        Node {
            role: word.into(),
            class: "edge".into(),
            serves: vec![serves.into()],
            ip,
            zone: zone(machine),
            region: "region".into(),
            inner_ports: (self.first_port, self.first_port + INNER_PORTS - 1),
            seeds: seeds.to_vec(),
            first_start: true,
            loss_counted: true,
            data: (role == Role::Controller).then_some(data),
            heartbeat_ms: 1_500,
            zones: (0..ZONES)
                .map(|number| (zone(number), "region".into()))
                .collect(),
            listen,
            limits: Limits {
                disk_mb: Some(1_024.0),
                ..Limits::default()
            },
            tolerance: Tolerance {
                machines: LOSSES,
                zones: 0,
                regions: 0,
            },
            bounds: Bounds {
                drain_ms: 2_500,
                ..Bounds::default()
            },
            name,
        }
    }

    fn spawn(&mut self, program: &Path, role: Role, node: &Node) -> miette::Result<()> {
        let file = self.folder.path().join(format!("{}.toml", node.name));
        std::fs::write(&file, node.to_string()).into_diagnostic()?;
        let log = std::fs::File::create(self.folder.path().join(format!("{}.log", node.name)));
        let log = log.into_diagnostic()?;
        let mut command = Command::new(program);
        command
            .env(rookpulley_settings::BOOT, &file)
            .current_dir(self.folder.path());
        command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log)
            .kill_on_drop(true);
        let child = command
            .spawn()
            .into_diagnostic()
            .wrap_err_with(|| format!("{}", program.display()))?;
        self.all.push(Process { role, child });
        Ok(())
    }
}

impl Process {
    pub fn usage(&self) -> Usage {
        let Some(pid) = self.child.id() else {
            return Usage::default();
        };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        // User and system time, the 14th and 15th of all fields.
        let ticks = |at: usize| {
            fields
                .get(at)
                .and_then(|ticks| ticks.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let per_second = rustix::param::clock_ticks_per_second() as f64;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| {
            line.strip_prefix("VmHWM:")?
                .split_whitespace()
                .next()?
                .parse()
                .ok()
        });
        let descriptors =
            std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |files| files.count() as u64);
        Usage {
            processor_ms: (ticks(11) + ticks(12)) / per_second * 1e3,
            peak_kb: peak.unwrap_or(0),
            descriptors,
        }
    }
}
