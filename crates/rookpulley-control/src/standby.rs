//! A controller whose store can't be used: its disk is full, refuses or hangs.
//!
//! It is in no view and says so to nobody: to the others it is a controller that is down, since one without a disk has a
//! say in who makes the first view, which this one must not have. It redirects each call to another controller, so that
//! nothing is done here, until the store may be opened again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Which controllers take calls meanwhile, and when the store may be opened again.
pub struct Standby {
    others: Vec<Ipv4Addr>,
}

impl Standby {
    /// How often the disk is tested.
    pub const TEST_INTERVAL: Duration = Duration::from_millis(500);
    /// The store may be opened again once the disk takes so many bytes: with less room it can't go on.
    pub const REQUIRED_BYTES: usize = 1 << 20;

    /// `members`: the other members of the last view that was known; where there are none, the seeds are asked.
    pub fn new(me: Ipv4Addr, members: &[SocketAddrV4], seeds: &[SocketAddrV4]) -> Self {
        let known = if members.is_empty() { seeds } else { members };
        let others = known.iter().map(|other| *other.ip());
        Self {
            others: others.filter(|ip| *ip != me).collect(),
        }
    }

    /// The controller that takes a call with this path: the same one for the same path. None: nobody else is known.
    pub fn redirect(&self, path: &str) -> Option<Ipv4Addr> {
        let mut hasher = DefaultHasher::new();
        path.hash(&mut hasher);
        let count = self.others.len().max(1) as u64;
        let position = usize::try_from(hasher.finish() % count).ok()?;
        self.others.get(position).copied()
    }
}
