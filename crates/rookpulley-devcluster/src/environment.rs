//! What a cluster stands on: three addresses of this machine, ports that are free on all of them, a folder.

use crate::faults::ClusterError;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use tempfile::TempDir;

pub const MACHINES: usize = 3;
/// Ports of the inner range, and of all that a cluster takes: the outer ones and the guard follow the inner ones.
const INNER: u16 = 16;
const BLOCK: u16 = 32;
const LOWEST: u16 = 10_240;
const HIGHEST: u16 = 60_000;

/// The ports that all three machines use.
pub struct Ports {
    first: u16,
    /// Held as long as the cluster stands: another cluster that meets it looks further.
    _guard: TcpListener,
}

impl Ports {
    pub fn inner(&self) -> (u16, u16) {
        (self.first, self.first + INNER - 1)
    }

    pub fn front(&self) -> u16 {
        self.first + INNER
    }

    pub fn readiness(&self) -> u16 {
        self.first + INNER + 1
    }

    pub fn control(&self) -> u16 {
        self.first + INNER + 2
    }

    /// Looks for a block of free ports, from where the system's own next port says. It lies below the ports that
    /// the system gives to outgoing connections, where it can: a killed controller's would be given away meanwhile.
    fn find() -> Result<Self, ClusterError> {
        let given =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr());
        let given = given
            .map_err(ClusterError::system("no port is given"))?
            .port();
        let own = own_ports()
            .filter(|lowest| *lowest >= LOWEST + 8 * BLOCK)
            .unwrap_or(HIGHEST);
        let blocks = (own - LOWEST) / BLOCK;
        let order = (0..blocks).map(|step| LOWEST + (given.wrapping_add(step) % blocks) * BLOCK);
        order
            .into_iter()
            .find_map(Self::take)
            .ok_or(ClusterError::NoPorts)
    }

    fn take(first: u16) -> Option<Self> {
        let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, first + BLOCK - 1)).ok()?;
        let ports = Self {
            first,
            _guard: guard,
        };
        let free = (0..MACHINES).all(|machine| {
            (first..=ports.control())
                .all(|port| TcpListener::bind((address(machine), port)).is_ok())
        });
        free.then_some(ports)
    }
}

/// Where the ports begin that the system gives to outgoing connections.
fn own_ports() -> Option<u16> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn address(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, machine as u8 + 1)
}

/// Removed with the cluster, unless it is to stay.
pub struct Environment {
    pub ports: Ports,
    folder: TempDir,
}

impl Environment {
    pub fn find(keep: bool) -> Result<Self, ClusterError> {
        let ports = Ports::find()?;
        let folder = tempfile::Builder::new()
            .prefix("rookpulley-devcluster-")
            .tempdir();
        let mut folder = folder.map_err(ClusterError::system("no temporary folder can be made"))?;
        folder.disable_cleanup(keep);
        Ok(Self { ports, folder })
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        address(machine)
    }

    pub fn front(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(machine), self.ports.front())
    }

    pub fn readiness(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(machine), self.ports.readiness())
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(machine), self.ports.control())
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (0..MACHINES).map(|machine| self.control(machine)).collect()
    }
}
