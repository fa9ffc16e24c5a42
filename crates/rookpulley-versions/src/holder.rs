//! The dispatcher's side of versions: one table, and what becomes of each order for it. Whatever comes, the
//! table held is one that an assigner issued whole.

use crate::delta::Update;
use crate::table::{Digest, Table};
use crate::version::Version;
use std::sync::Arc;

/// An order on a stream: brings the holder to this version.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub version: Version,
    pub update: Update,
}

/// What an order is, seen from what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// It came on a stream that is no longer followed.
    StaleStream,
    /// A newer order of this stream has been taken.
    Superseded,
    /// It ends at the table held.
    SameTable,
    Whole,
    /// A delta, or word that nothing changed, that starts from the table held.
    Applicable,
    /// One that starts from another.
    Inapplicable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Applied,
    /// The table is held already: only the version's name is taken.
    VersionUpdated,
    Ignored,
    /// It is not applied, and the assigner is told what is held.
    Refused,
}

/// What is seen, and what becomes of it.
const HOLDING: &[(OrderKind, Outcome)] = &[
    (OrderKind::StaleStream, Outcome::Ignored),
    (OrderKind::Superseded, Outcome::Ignored),
    (OrderKind::SameTable, Outcome::VersionUpdated),
    (OrderKind::Whole, Outcome::Applied),
    (OrderKind::Applicable, Outcome::Applied),
    (OrderKind::Inapplicable, Outcome::Refused),
];

#[derive(Clone, Debug, Default)]
pub struct Holder {
    stream: u64,
    /// The newest version named on this stream.
    newest: Option<u64>,
    held: Option<(Version, Arc<Table>)>,
}

impl Holder {
    /// A new stream is followed from now on; what is held stays.
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

    /// Takes an order that came on this stream.
    pub fn handle(&mut self, stream: u64, order: &Order) -> Outcome {
        let held = self.table().cloned();
        let mut next = None;
        let seen = match &order.update {
            _ if stream != self.stream => OrderKind::StaleStream,
            _ if self.newest.is_some_and(|n| order.version.number < n) => OrderKind::Superseded,
            update if held.as_ref().is_some_and(|t| t.digest() == update.digest()) => {
                OrderKind::SameTable
            }
            Update::Unchanged(_) => OrderKind::Inapplicable,
            Update::Whole(table) => {
                next = Some(table.clone());
                OrderKind::Whole
            }
            Update::Delta(delta) => match held.as_ref().map(|t| delta.apply(t)) {
                Some(Ok(table)) => {
                    next = Some(Arc::new(table));
                    OrderKind::Applicable
                }
                _ => OrderKind::Inapplicable,
            },
        };
        let verdict = HOLDING
            .iter()
            .find(|row| row.0 == seen)
            .map_or(Outcome::Refused, |row| row.1);
        if matches!(verdict, Outcome::Applied | Outcome::VersionUpdated) {
            self.newest = Some(order.version.number);
            self.held = next.or(held).map(|table| (order.version.clone(), table));
        }
        verdict
    }
}
