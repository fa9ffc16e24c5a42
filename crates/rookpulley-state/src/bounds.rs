//! How much a ledger may hold, so that a snapshot always fits one frame between two controllers.

/// The same on all controllers: a ledger that has other bounds answers otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Locks, numbers and cells: so many of each.
    pub names: usize,
    /// A name, a holder.
    pub name_bytes: usize,
    pub value_bytes: usize,
    pub configuration_bytes: usize,
    /// Locks, numbers and cells together.
    pub standing_bytes: usize,
    /// Events kept for watches and repeats: in all groups together, and their number in one group.
    pub history_bytes: usize,
    pub group_events: usize,
    /// Events, and locks whose time is over, are kept for so long.
    pub keep_ms: u64,
    /// Rather than drop an event younger than this, puts are refused.
    pub promised_ms: u64,
    /// Nobody else gets a lock before its hold has been over for so long: clocks don't run quite alike.
    pub spare_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            names: 100_000,
            name_bytes: 256,
            value_bytes: 64 << 10,
            configuration_bytes: 8 << 20,
            standing_bytes: 4 << 20,
            history_bytes: 3 << 20,
            group_events: 20_000,
            keep_ms: 120_000,
            promised_ms: 60_000,
            spare_ms: 50,
        }
    }
}

/// What an entry weighs beyond its strings; its numbers and lengths in a snapshot take less.
pub(crate) const ENTRY: usize = 40;

/// What a ledger holds at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    pub locks: usize,
    pub numbers: usize,
    pub cells: usize,
    pub groups: usize,
    pub events: usize,
    pub standing_bytes: usize,
    pub history_bytes: usize,
    pub configuration_bytes: usize,
}
