//! The table of one service last sent to a proxy, and the pacing of updates.

use crate::decision_module::{DecisionModule, revision_of};
use crate::server_list::{EntryStatus, ServerList, server_id};
use rookpulley::interface::ProxyId;
use rookpulley_protocol::TableEntry;

/// Minimum interval between updates, except for updates that remove gone instances.
const INTERVAL_MS: f64 = 1_000.0;
/// Minimum interval while the registry is settling.
const SETTLING_INTERVAL_MS: f64 = 300.0;

/// The table last sent to a proxy.
#[derive(Default)]
pub struct PublishedTable {
    /// Entries last sent; `None` if nothing was sent since the proxy connected.
    pub entries: Option<Vec<TableEntry>>,
    /// Sequence number of the last update.
    pub sequence: u64,
    sent_ms: f64,
    /// Whether the current table may differ from the one sent.
    pub is_stale: bool,
    /// Marks of the module to be reported when the proxy acknowledges the next update.
    pub marks: Vec<u64>,
}

/// Next action for a proxy's table.
#[derive(PartialEq)]
pub enum NextTable {
    /// The proxy is up to date.
    Unchanged,
    /// An update is pending but must not be sent yet.
    Wait,
    /// Send these entries now.
    Send(Vec<TableEntry>),
}

/// Revision of a table, computed from the entries sent to the proxy.
pub fn table_revision(entries: &[TableEntry]) -> u64 {
    let weights = entries.iter();
    revision_of(weights.map(|entry| (server_id(entry.address), entry.weight)))
}

impl PublishedTable {
    /// Creates the state of a newly connected proxy.
    pub fn new() -> Self {
        Self {
            is_stale: true,
            ..Self::default()
        }
    }

    /// Determines the next action. `is_settling`: live instances may still be missing from the registry.
    pub fn next(
        &self,
        now: f64,
        servers: &ServerList,
        module: &DecisionModule,
        proxy: ProxyId,
        is_settling: bool,
    ) -> NextTable {
        if !self.is_stale {
            return NextTable::Unchanged;
        }
        let current: Vec<TableEntry> = module
            .weights(proxy)
            .filter_map(|(server, weight)| servers.entry(server, weight))
            .collect();
        let Some(sent) = &self.entries else {
            // An empty table would replace one that the proxy may hold from before.
            return if current.is_empty() {
                NextTable::Unchanged
            } else {
                NextTable::Send(current)
            };
        };
        if current.is_empty() {
            return without_gone(sent, servers, is_settling);
        }
        if current == *sent {
            return NextTable::Unchanged;
        }
        let is_gone = |entry: &TableEntry| servers.entry_status(entry) == EntryStatus::Gone;
        let is_urgent = sent.is_empty() || sent.iter().any(is_gone);
        let interval_ms = if is_settling {
            SETTLING_INTERVAL_MS
        } else {
            INTERVAL_MS
        };
        if is_urgent || now - self.sent_ms >= interval_ms {
            NextTable::Send(current)
        } else {
            NextTable::Wait
        }
    }

    /// Records an update. Returns the marks to report to the module once the proxy acknowledges it.
    pub fn record_sent(&mut self, now: f64, sequence: u64, entries: Vec<TableEntry>) -> Vec<u64> {
        self.entries = Some(entries);
        self.sent_ms = now;
        self.sequence = sequence;
        self.is_stale = false;
        std::mem::take(&mut self.marks)
    }
}

/// Used when no instance is live: keeps silent instances and removes those that are gone.
fn without_gone(sent: &[TableEntry], servers: &ServerList, is_settling: bool) -> NextTable {
    let mut entries = sent.to_vec();
    entries.retain(|entry| servers.entry_status(entry) != EntryStatus::Gone);
    if entries.len() == sent.len() {
        NextTable::Unchanged
    } else if entries.is_empty() && is_settling {
        // Live instances may not have been heard yet.
        NextTable::Wait
    } else {
        NextTable::Send(entries)
    }
}
