//! How many proxies there are, and what of all is this one's.

/// A number that was heard holds so long against smaller ones: a cut must not make shares larger.
const HELD_MS: f64 = 60_000.0;
/// Connections to a task that doesn't say how many it takes, and the fewest to any.
const UNKNOWN: usize = 16;
const LEAST: usize = 4;

#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet {
    proxies: u32,
    heard_ms: f64,
}

impl Fleet {
    /// As far as heard lately; 0: not heard yet.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// A controller says how many there are; true where that makes it another number.
    pub fn heard(&mut self, now_ms: f64, proxies: u32) -> bool {
        let before = self.proxies;
        if proxies >= before || now_ms - self.heard_ms > HELD_MS {
            (self.proxies, self.heard_ms) = (proxies, now_ms);
        }
        self.proxies != before
    }

    /// How many connections this proxy may have to one task, which accepts so many from all; 0: not known.
    pub fn connections(&self, max_connections: u32) -> usize {
        match max_connections {
            0 => UNKNOWN,
            most => (most.div_ceil(self.proxies.max(1)) as usize).max(LEAST),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fewer_proxies_are_believed_only_after_a_while() {
        let mut fleet = Fleet::default();
        assert_eq!(fleet.connections(130), 130);
        assert!(fleet.heard(0.0, 12));
        assert!(!fleet.heard(59_000.0, 3));
        assert_eq!(
            (
                fleet.proxies(),
                fleet.connections(130),
                fleet.connections(0)
            ),
            (12, 11, 16)
        );
        assert!(fleet.heard(61_000.0, 3));
        assert_eq!(fleet.connections(9), 4);
    }
}
