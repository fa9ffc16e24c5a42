//! A controller whose store is unusable because the disk is full, fails or hangs.
//!
//! To other controllers it appears to be down. It must not act as a stateless controller, because those take part in
//! selecting the creator of the first view. All requests are redirected to other controllers until the store can be
//! opened again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Redirect targets while the store is unusable, and the conditions for reopening it.
pub struct Standby {
    others: Vec<Ipv4Addr>,
}

impl Standby {
    /// Interval between tests of the disk.
    pub const TEST_INTERVAL: Duration = Duration::from_millis(500);
    /// Number of bytes that must be writable before the store is opened again.
    pub const REQUIRED_BYTES: usize = 1 << 20;

    /// Creates redirects to `members`, the members of the last known view, or to the seeds if there are none.
    pub fn new(me: Ipv4Addr, members: &[SocketAddrV4], seeds: &[SocketAddrV4]) -> Self {
        let known = if members.is_empty() { seeds } else { members };
        let others = known.iter().map(|other| *other.ip());
        Self {
            others: others.filter(|ip| *ip != me).collect(),
        }
    }

    /// Selects a controller by a hash of the path. Returns `None` if no other controller is known.
    pub fn redirect(&self, path: &str) -> Option<Ipv4Addr> {
        let mut hasher = DefaultHasher::new();
        path.hash(&mut hasher);
        let count = self.others.len().max(1) as u64;
        let position = usize::try_from(hasher.finish() % count).ok()?;
        self.others.get(position).copied()
    }
}
