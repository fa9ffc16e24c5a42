//! The dispatcher side of versioning: one table and the handling of the orders for it. The held table is
//! always one that an assigner issued; no order is applied in part.

use crate::delta::Update;
use crate::table::{Digest, Table};
use crate::version::Version;
use std::sync::Arc;

/// An update received on a stream that brings the holder to `version`.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub version: Version,
    pub update: Update,
}

/// The kind of an order relative to the held table and the current stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Received on a stream other than the current one.
    StaleStream,
    /// Older than an order already accepted on this stream.
    Superseded,
    /// The result equals the held table.
    SameTable,
    Whole,
    /// A delta based on the held table.
    Applicable,
    /// A delta on another base table, or `Unchanged` for a table that is not held.
    Inapplicable,
}

/// The result of handling an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Applied,
    /// The table is held already; only its version identifier is updated.
    VersionUpdated,
    Ignored,
    /// Not applied; the caller reports the held table to the assigner.
    Refused,
}

/// The outcome for each kind of order.
const OUTCOMES: &[(OrderKind, Outcome)] = &[
    (OrderKind::StaleStream, Outcome::Ignored),
    (OrderKind::Superseded, Outcome::Ignored),
    (OrderKind::SameTable, Outcome::VersionUpdated),
    (OrderKind::Whole, Outcome::Applied),
    (OrderKind::Applicable, Outcome::Applied),
    (OrderKind::Inapplicable, Outcome::Refused),
];

/// One table held by a dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    stream: u64,
    /// The number of the newest version accepted on this stream.
    newest: Option<u64>,
    held: Option<(Version, Arc<Table>)>,
}

impl Holder {
    /// Switches to a new stream and keeps the held table.
    pub fn follow_stream(&mut self, stream: u64) {
        (self.stream, self.newest) = (stream, None);
    }

    pub fn version(&self) -> Option<&Version> {
        self.held.as_ref().map(|(version, _)| version)
    }

    pub fn table(&self) -> Option<&Arc<Table>> {
        self.held.as_ref().map(|(_, table)| table)
    }

    pub fn digest(&self) -> Option<Digest> {
        self.table().map(|t| t.digest())
    }

    /// Handles an order received on `stream`.
    pub fn handle(&mut self, stream: u64, order: &Order) -> Outcome {
        let held = self.table().cloned();
        let mut new_table = None;
        let kind = match &order.update {
            _ if stream != self.stream => OrderKind::StaleStream,
            _ if self.newest.is_some_and(|n| order.version.number < n) => OrderKind::Superseded,
            update if held.as_ref().is_some_and(|t| t.digest() == update.digest()) => {
                OrderKind::SameTable
            }
            Update::Unchanged(_) => OrderKind::Inapplicable,
            Update::Whole(table) => {
                new_table = Some(table.clone());
                OrderKind::Whole
            }
            Update::Delta(delta) => match held.as_ref().map(|t| delta.apply(t)) {
                Some(Ok(table)) => {
                    new_table = Some(Arc::new(table));
                    OrderKind::Applicable
                }
                _ => OrderKind::Inapplicable,
            },
        };
        let outcome = OUTCOMES
            .iter()
            .find(|row| row.0 == kind)
            .map_or(Outcome::Refused, |row| row.1);
        if matches!(outcome, Outcome::Applied | Outcome::VersionUpdated) {
            self.newest = Some(order.version.number);
            self.held = new_table
                .or(held)
                .map(|table| (order.version.clone(), table));
        }
        outcome
    }
}
