//! How much the state may hold, so that a snapshot always fits one frame between two controllers.

/// The same on all controllers: one that had other limits would answer differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How many locks, how many counters, and how many keys.
    pub names: usize,
    /// The length of a name or a holder.
    pub name_bytes: usize,
    /// The length of a value.
    pub value_bytes: usize,
    /// The length of the configuration.
    pub configuration_bytes: usize,
    /// Locks, counters and keys together.
    pub state_bytes: usize,
    /// The events that are kept for watches and repeats, in all groups together.
    pub history_bytes: usize,
    /// How many of them in one group.
    pub group_events: usize,
    /// Events, and locks whose lease has ended, are kept for so long.
    pub keep_ms: u64,
    /// Rather than drop an event younger than this, puts are refused.
    pub promised_ms: u64,
    /// Nobody else gets a lock before its lease has been over for so long: clocks don't run quite alike.
    pub lease_grace_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            names: 100_000,
            name_bytes: 256,
            value_bytes: 64 << 10,
            configuration_bytes: 8 << 20,
            state_bytes: 4 << 20,
            history_bytes: 3 << 20,
            group_events: 20_000,
            keep_ms: 120_000,
            promised_ms: 60_000,
            lease_grace_ms: 50,
        }
    }
}

/// What an entry is counted with beyond its strings. Its numbers and lengths in a snapshot take less.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 40;

/// What the state holds at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// How many locks have an entry.
    pub locks: usize,
    /// How many counters there are.
    pub counters: usize,
    /// How many keys there are.
    pub keys: usize,
    /// How many groups of keys there are.
    pub groups: usize,
    /// How many events are kept.
    pub events: usize,
    /// Locks, counters and keys together.
    pub state_bytes: usize,
    /// The events that are kept.
    pub history_bytes: usize,
    /// The configuration.
    pub configuration_bytes: usize,
}
