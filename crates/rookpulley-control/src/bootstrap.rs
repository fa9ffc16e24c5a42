//! Selects the controller that creates the first view when the cluster starts for the first time.
//!
//! The first seed with a disk creates it, after every earlier seed has reported that it has no disk; an unreachable seed
//! may have one. If no seed has a disk, the first seed appoints a controller. The seeds are stored when a disk is
//! initialized, so later changes of the settings have no effect.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Bootstrap record of a disk that was initialized at the first start of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Bootstrap {
    /// The seeds that precede this machine in the list, or all of them if it is not a seed.
    earlier_seeds: Vec<Ipv4Addr>,
    /// Whether this machine is a seed. Other machines create the first view only if they are appointed.
    is_seed: bool,
}

impl Bootstrap {
    /// Creates the record of the machine `me` from the seeds in the settings.
    pub fn new(me: Ipv4Addr, seeds: &[SocketAddrV4]) -> Self {
        let seeds: Vec<Ipv4Addr> = seeds.iter().map(|seed| *seed.ip()).collect();
        let position = seeds.iter().position(|seed| *seed == me);
        Self {
            is_seed: position.is_some(),
            earlier_seeds: seeds[..position.unwrap_or(seeds.len())].to_vec(),
        }
    }

    /// Encodes the record for storage: one byte for `is_seed`, then the addresses of the earlier seeds. The first seed's
    /// record is empty, as in the original format.
    pub fn encode(&self) -> Vec<u8> {
        if self.is_first_seed() {
            return Vec::new();
        }
        let mut bytes = vec![u8::from(self.is_seed)];
        bytes.extend(self.earlier_seeds.iter().flat_map(|ip| ip.octets()));
        bytes
    }

    /// Decodes a record, or returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let Some((is_seed, addresses)) = bytes.split_first() else {
            return Some(Self {
                earlier_seeds: Vec::new(),
                is_seed: true,
            });
        };
        let (addresses, rest) = addresses.as_chunks::<4>();
        if !rest.is_empty() || *is_seed > 1 {
            return None;
        }
        let earlier_seeds = addresses.iter().copied().map(Ipv4Addr::from);
        Some(Self {
            earlier_seeds: earlier_seeds.collect(),
            is_seed: *is_seed == 1,
        })
    }

    pub(crate) fn is_first_seed(&self) -> bool {
        self.is_seed && self.earlier_seeds.is_empty()
    }

    /// Whether the given machine is an earlier seed, which must report that it has no disk.
    pub(crate) fn is_earlier_seed(&self, ip: Ipv4Addr) -> bool {
        self.earlier_seeds.contains(&ip)
    }

    /// Whether the given machine is the first seed, which may appoint a founder.
    pub(crate) fn may_appoint(&self, ip: Ipv4Addr) -> bool {
        self.earlier_seeds.first() == Some(&ip)
    }

    /// Whether this machine should create the first view if it knows of none.
    pub(crate) fn is_due(&self, without_disk: &BTreeSet<Ipv4Addr>, is_appointed: bool) -> bool {
        let mut earlier = self.earlier_seeds.iter();
        (self.is_seed || is_appointed) && earlier.all(|seed| without_disk.contains(seed))
    }
}
