//! Who makes the first view, by the seeds of the first start of the whole system.
//!
//! The first of the seeds that has a disk does, once each seed before it has said that it has none: silence proves
//! nothing. Where no seed has a disk, the first one appoints a controller. What a disk was minted with decides, so the
//! same seeds hold whatever a later settings file says.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a disk holds that was minted at the first start.
#[derive(Clone, Debug, PartialEq)]
pub struct Bootstrap {
    /// The seeds that come first.
    earlier_seeds: Vec<Ipv4Addr>,
    /// It is a seed itself; else it makes the first view only where it is appointed.
    is_seed: bool,
}

impl Bootstrap {
    /// Of a machine and the seeds in the settings.
    pub fn new(me: Ipv4Addr, seeds: &[SocketAddrV4]) -> Self {
        let seeds: Vec<Ipv4Addr> = seeds.iter().map(|seed| *seed.ip()).collect();
        let position = seeds.iter().position(|seed| *seed == me);
        Self {
            is_seed: position.is_some(),
            earlier_seeds: seeds[..position.unwrap_or(seeds.len())].to_vec(),
        }
    }

    /// For the disk: a byte that tells whether it is a seed, and the addresses of the earlier ones. Empty for the first
    /// seed, as disks had it before there were others.
    pub fn encode(&self) -> Vec<u8> {
        if self.is_first_seed() {
            return Vec::new();
        }
        let mut bytes = vec![u8::from(self.is_seed)];
        bytes.extend(self.earlier_seeds.iter().flat_map(|ip| ip.octets()));
        bytes
    }

    /// Reads what `encode` wrote. None: it is something else.
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

    /// Whether it matters that this machine has no disk.
    pub(crate) fn waits_for(&self, ip: Ipv4Addr) -> bool {
        self.earlier_seeds.contains(&ip)
    }

    /// Whether this machine may appoint a controller.
    pub(crate) fn may_appoint(&self, ip: Ipv4Addr) -> bool {
        self.earlier_seeds.first() == Some(&ip)
    }

    /// Whether it is to make the first view now, where it knows of none. `without_disk`: the machines that have said so.
    pub(crate) fn is_due(&self, without_disk: &BTreeSet<Ipv4Addr>, is_appointed: bool) -> bool {
        let mut earlier = self.earlier_seeds.iter();
        (self.is_seed || is_appointed) && earlier.all(|seed| without_disk.contains(seed))
    }
}
