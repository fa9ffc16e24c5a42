//! Who makes the first view, told by the seeds of the first start of all.
//!
//! The first of the seeds that has a disk does, once each seed before it has said that it has none: silence proves
//! nothing. Where none has one, the first seed names a controller. What a disk was minted with decides, so the same seeds
//! hold whatever a later file says.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a disk keeps that was minted at the first start.
#[derive(Clone, Debug, PartialEq)]
pub struct Founding {
    /// The seeds that come first.
    before: Vec<Ipv4Addr>,
    /// It is a seed itself; else it founds only where it is named.
    seed: bool,
}

impl Founding {
    pub fn new(me: Ipv4Addr, seeds: &[SocketAddrV4]) -> Self {
        let before: Vec<Ipv4Addr> = seeds
            .iter()
            .map(|seed| *seed.ip())
            .take_while(|ip| *ip != me)
            .collect();
        Self {
            seed: before.len() < seeds.len(),
            before,
        }
    }

    /// Nothing for the first seed, as disks had it before there were others.
    pub fn mark(&self) -> Vec<u8> {
        if self.at_once() {
            return Vec::new();
        }
        let ips = self.before.iter().flat_map(|ip| ip.octets());
        std::iter::once(u8::from(self.seed)).chain(ips).collect()
    }

    pub fn read(mark: &[u8]) -> Option<Self> {
        let Some((seed, ips)) = mark.split_first() else {
            return Some(Self {
                before: Vec::new(),
                seed: true,
            });
        };
        let (ips, rest) = ips.as_chunks::<4>();
        let before = ips.iter().map(|ip| Ipv4Addr::from(*ip)).collect();
        (rest.is_empty() && *seed <= 1).then_some(Self {
            before,
            seed: *seed == 1,
        })
    }

    pub(crate) fn at_once(&self) -> bool {
        self.seed && self.before.is_empty()
    }

    /// Whether it matters that this one has no disk.
    pub(crate) fn waits_for(&self, seed: Ipv4Addr) -> bool {
        self.before.contains(&seed)
    }

    /// `by`: the one that names a controller.
    pub(crate) fn names(&self, by: Ipv4Addr) -> bool {
        self.before.first() == Some(&by)
    }

    /// Whether it is to found now, where it knows of no view.
    pub(crate) fn due(&self, diskless: &BTreeSet<Ipv4Addr>, named: bool) -> bool {
        (self.seed || named) && self.before.iter().all(|seed| diskless.contains(seed))
    }
}
