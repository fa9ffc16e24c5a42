//! Capacity limits of the state. They keep a snapshot within one frame between controllers.

/// Limits of the state. They must be identical on all controllers, since they affect the answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of locks, of counters, of keys and of duties, each.
    pub names: usize,
    /// Maximum length of a name or holder.
    pub name_bytes: usize,
    /// Maximum length of a value.
    pub value_bytes: usize,
    /// Maximum length of the configuration.
    pub configuration_bytes: usize,
    /// Maximum accounted size of locks, counters, keys and duties together.
    pub state_bytes: usize,
    /// Maximum accounted size of the retained events of all groups.
    pub history_bytes: usize,
    /// Maximum accounted size of the counts of open windows and of the reports of closed ones.
    pub usage_bytes: usize,
    /// Maximum number of retained events in one group.
    pub group_events: usize,
    /// How long events and expired leases are retained.
    pub retention_ms: u64,
    /// Minimum retention of events. Puts are rejected rather than removing a younger event.
    pub min_retention_ms: u64,
    /// Delay after a lease expires before another holder can acquire the lock, to tolerate clock drift.
    pub lease_grace_ms: u64,
    /// How long after a holder has acquired its lock again its releases are refused, because they may have been sent
    /// before: the longest time from the sending of a call until it takes effect.
    pub release_guard_ms: u64,
}

/// The longest time that a call is taken to spend on its way to a controller: callers turn to another one after one
/// second of silence.
const MAX_TRANSIT_MS: u64 = 1_000;

/// The longest time that a controller's request may wait in the chain before it takes effect. The chain drops older
/// ones.
pub const MAX_CHAIN_DELAY_MS: u64 = 750;

impl Default for Limits {
    fn default() -> Self {
        Self {
            names: 100_000,
            name_bytes: 256,
            value_bytes: 64 << 10,
            configuration_bytes: 8 << 20,
            state_bytes: 4 << 20,
            history_bytes: 3 << 20,
            usage_bytes: 1_000_000,
            group_events: 20_000,
            retention_ms: 120_000,
            min_retention_ms: 60_000,
            lease_grace_ms: 50,
            release_guard_ms: MAX_TRANSIT_MS + MAX_CHAIN_DELAY_MS,
        }
    }
}

/// End of a lease including the grace time. The caller counts from when it sent the request, which is earlier than
/// `now_ms`, so its own lease ends first.
pub(crate) fn end_of_lease(now_ms: u64, lease_ms: u64, limits: &Limits) -> u64 {
    now_ms
        .saturating_add(lease_ms)
        .saturating_add(limits.lease_grace_ms)
}

/// Accounted size of an entry beyond its strings: an upper bound of its numbers and lengths in a snapshot.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 40;

/// Current usage of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of lock entries.
    pub locks: usize,
    /// Number of counters.
    pub counters: usize,
    /// Number of keys.
    pub keys: usize,
    /// Number of key groups.
    pub groups: usize,
    /// Number of retained events.
    pub events: usize,
    /// Number of duties.
    pub duties: usize,
    /// Number of usage reports that the platform hasn't accepted yet.
    pub usage_reports: usize,
    /// Accounted size of locks, counters, keys and duties together.
    pub state_bytes: usize,
    /// Accounted size of the retained events.
    pub history_bytes: usize,
    /// Accounted size of the counts of open windows and of the reports.
    pub usage_bytes: usize,
    /// Length of the configuration.
    pub configuration_bytes: usize,
}
