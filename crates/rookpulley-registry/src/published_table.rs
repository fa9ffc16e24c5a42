//! What a proxy was sent of one service's tables, and when it may be sent another.

use crate::decision_module::{DecisionModule, revision_of};
use crate::server_list::{EntryStatus, ServerList, server_id};
use rookpulley::interface::ProxyId;
use rookpulley_protocol::TableEntry;

/// A proxy gets another table so often, unless an instance has gone.
const INTERVAL_MS: f64 = 1_000.0;
/// More often while instances are still being heard for the first time.
const SETTLING_INTERVAL_MS: f64 = 300.0;

/// The table of one proxy.
#[derive(Default)]
pub struct PublishedTable {
    /// What was sent last. None: nothing yet since the proxy connected.
    pub entries: Option<Vec<TableEntry>>,
    /// The `sequence` that it was sent with.
    pub sequence: u64,
    sent_ms: f64,
    /// What is to be sent may differ from what was.
    pub is_stale: bool,
    /// The module's marks that wait for the proxy's next answer.
    pub marks: Vec<u64>,
}

/// What is to be done about a proxy's table.
#[derive(PartialEq)]
pub enum NextTable {
    /// It is as it should be.
    Unchanged,
    /// It is to be sent later.
    Wait,
    /// It is to be sent now.
    Send(Vec<TableEntry>),
}

/// The revision that a proxy is told of: the hash of the entries.
pub fn table_revision(entries: &[TableEntry]) -> u64 {
    let weights = entries.iter();
    revision_of(weights.map(|entry| (server_id(entry.address), entry.weight)))
}

impl PublishedTable {
    /// The table of a proxy that has just connected.
    pub fn new() -> Self {
        Self {
            is_stale: true,
            ..Self::default()
        }
    }

    /// What is to be done about it. `is_settling`: not all live instances were heard yet.
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
        let ordered: Vec<TableEntry> = module
            .weights(proxy)
            .filter_map(|(server, weight)| servers.entry(server, weight))
            .collect();
        let Some(sent) = &self.entries else {
            // Whatever it may have from before is better than nothing.
            return if ordered.is_empty() {
                NextTable::Unchanged
            } else {
                NextTable::Send(ordered)
            };
        };
        if ordered.is_empty() {
            return without_gone(sent, servers, is_settling);
        }
        if ordered == *sent {
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
            NextTable::Send(ordered)
        } else {
            NextTable::Wait
        }
    }

    /// Notes what is sent now. Returns the module's marks that an answer to it answers.
    pub fn sent(&mut self, now: f64, sequence: u64, entries: Vec<TableEntry>) -> Vec<u64> {
        self.entries = Some(entries);
        self.sent_ms = now;
        self.sequence = sequence;
        self.is_stale = false;
        std::mem::take(&mut self.marks)
    }
}

/// Where no instance may get requests, those that were not heard lately are better than none; those that have gone
/// aren't.
fn without_gone(sent: &[TableEntry], servers: &ServerList, is_settling: bool) -> NextTable {
    let mut entries = sent.to_vec();
    entries.retain(|entry| servers.entry_status(entry) != EntryStatus::Gone);
    if entries.len() == sent.len() {
        NextTable::Unchanged
    } else if entries.is_empty() && is_settling {
        // Others may be alive that were not heard yet.
        NextTable::Wait
    } else {
        NextTable::Send(entries)
    }
}
