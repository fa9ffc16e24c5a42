//! The resources of a cluster: loopback addresses, ports that are free on all of them, and a temporary folder.

use crate::errors::ClusterError;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use tempfile::TempDir;

/// The machines that run from the start.
pub const MACHINE_COUNT: usize = 3;
/// With a spare one, which may replace the controller of another.
pub const ALL_MACHINES: usize = MACHINE_COUNT + 1;
/// Size of the internal port range and of the whole block; the public ports and the guard follow the internal ones.
const INTERNAL_PORTS: u16 = 16;
const BLOCK_SIZE: u16 = 32;
const MIN_PORT: u16 = 10_240;
const MAX_PORT: u16 = 60_000;

/// A block of ports, the same on all machines.
pub struct Ports {
    first: u16,
    /// Reserves the block for the life of the cluster, so that another cluster skips it.
    _guard: TcpListener,
}

impl Ports {
    pub fn internal(&self) -> (u16, u16) {
        (self.first, self.first + INTERNAL_PORTS - 1)
    }

    pub fn front(&self) -> u16 {
        self.first + INTERNAL_PORTS
    }

    pub fn readiness(&self) -> u16 {
        self.first + INTERNAL_PORTS + 1
    }

    pub fn control(&self) -> u16 {
        self.first + INTERNAL_PORTS + 2
    }

    /// Finds a block of free ports, starting at a position derived from an ephemeral port. Prefers ports below the
    /// ephemeral range, so that a killed controller's port isn't reused by an outgoing connection.
    fn allocate() -> Result<Self, ClusterError> {
        let ephemeral =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr());
        let ephemeral = ephemeral
            .map_err(ClusterError::system("cannot bind an ephemeral port"))?
            .port();
        let limit = ephemeral_port_start()
            .filter(|lowest| *lowest >= MIN_PORT + 8 * BLOCK_SIZE)
            .unwrap_or(MAX_PORT);
        let blocks = (limit - MIN_PORT) / BLOCK_SIZE;
        let candidates =
            (0..blocks).map(|step| MIN_PORT + (ephemeral.wrapping_add(step) % blocks) * BLOCK_SIZE);
        candidates
            .into_iter()
            .find_map(Self::try_reserve)
            .ok_or(ClusterError::NoPorts)
    }

    fn try_reserve(first: u16) -> Option<Self> {
        let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first + BLOCK_SIZE - 1)).ok()?;
        let ports = Self {
            first,
            _guard: guard,
        };
        let free = (0..ALL_MACHINES).all(|machine| {
            (first..=ports.control())
                .all(|port| TcpListener::bind((machine_ip(machine), port)).is_ok())
        });
        free.then_some(ports)
    }
}

/// The lowest port of the system's ephemeral range.
fn ephemeral_port_start() -> Option<u16> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn machine_ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, machine as u8 + 1)
}

/// The ports and the folder of a cluster. The folder is removed on drop unless it is kept.
pub struct Environment {
    pub ports: Ports,
    folder: TempDir,
    /// The machines whose controllers are on the operator's list.
    core: Vec<usize>,
}

impl Environment {
    pub fn create(keep: bool) -> Result<Self, ClusterError> {
        let ports = Ports::allocate()?;
        let folder = tempfile::Builder::new()
            .prefix("rookpulley-devcluster-")
            .tempdir();
        let mut folder =
            folder.map_err(ClusterError::system("cannot create a temporary folder"))?;
        folder.disable_cleanup(keep);
        Ok(Self {
            ports,
            folder,
            core: (0..MACHINE_COUNT).collect(),
        })
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        machine_ip(machine)
    }

    pub fn front(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine_ip(machine), self.ports.front())
    }

    pub fn readiness(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine_ip(machine), self.ports.readiness())
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine_ip(machine), self.ports.control())
    }

    /// Puts the controller of one machine on the operator's list in place of another's.
    pub fn replace_controller(&mut self, lost: usize, replacement: usize) {
        self.core.retain(|machine| *machine != lost);
        self.core.push(replacement);
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        self.core
            .iter()
            .map(|machine| self.control(*machine))
            .collect()
    }
}
