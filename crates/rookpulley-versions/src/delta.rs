//! Differences between tables. A delta carries the digests of its base and of its result; applying it to any
//! other table fails and leaves that table unchanged.

use crate::table::{Digest, Name, Table, line_len};
use itertools::{EitherOrBoth, Itertools};
use std::sync::Arc;

/// The changed lines between two tables, sorted by name; weight 0 removes a line.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    pub from: Digest,
    pub to: Digest,
    pub changes: Vec<(Name, f64)>,
}

/// Why a delta could not be applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    #[error("the delta is based on {expected}, but the held table is {held}")]
    BaseMismatch { expected: Digest, held: Digest },
    #[error("the delta results in {actual} instead of {expected}")]
    ResultMismatch { expected: Digest, actual: Digest },
    #[error("the changes are invalid: {0}")]
    InvalidTable(#[from] crate::table::TableError),
}

/// Merges two lists sorted by name and pairs the lines of equal names.
fn merge_by_name<'a>(
    a: &'a [(Name, f64)],
    b: &'a [(Name, f64)],
) -> impl Iterator<Item = EitherOrBoth<&'a (Name, f64)>> {
    a.iter()
        .merge_join_by(b, |x, y| x.0.as_bytes().cmp(y.0.as_bytes()))
}

impl Delta {
    /// The minimal delta from one table to another.
    pub fn between(from: &Table, to: &Table) -> Self {
        let change = |pair: EitherOrBoth<&(Name, f64)>| match pair {
            EitherOrBoth::Left((name, _)) => Some((name.clone(), 0.0)),
            EitherOrBoth::Both(a, b) if a == b => None,
            EitherOrBoth::Both(_, line) | EitherOrBoth::Right(line) => Some(line.clone()),
        };
        let changes = merge_by_name(from.as_slice(), to.as_slice())
            .filter_map(change)
            .collect();
        Self {
            from: from.digest(),
            to: to.digest(),
            changes,
        }
    }

    /// Applies the delta to `held` and verifies the digests of the base and of the result.
    pub fn apply(&self, held: &Table) -> Result<Table, ApplyError> {
        if held.digest() != self.from {
            return Err(ApplyError::BaseMismatch {
                expected: self.from,
                held: held.digest(),
            });
        }
        let mut changes = self.changes.clone();
        changes.sort_by(|x, y| x.0.as_bytes().cmp(y.0.as_bytes()));
        // Validates names and weights; weight 0 marks a removal and is valid here.
        Table::from_lines(changes.iter().cloned())?;
        let lines =
            merge_by_name(held.as_slice(), &changes).map(|pair| pair.reduce(|_, changed| changed));
        let lines = lines.filter(|(_, weight)| *weight > 0.0).cloned().collect();
        let table = Table::from_sorted(lines);
        match table.digest() {
            actual if actual == self.to => Ok(table),
            actual => Err(ApplyError::ResultMismatch {
                expected: self.to,
                actual,
            }),
        }
    }

    /// The encoded length, comparable to that of a table: both digests, the count and the lines.
    pub fn canonical_len(&self) -> usize {
        16 + 16
            + 4
            + self
                .changes
                .iter()
                .map(|(name, _)| line_len(name))
                .sum::<usize>()
    }
}

/// A way to bring a holder to a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The holder already has a table with this digest, possibly from another issuer.
    Unchanged(Digest),
    Delta(Delta),
    Whole(Arc<Table>),
}

impl Update {
    /// The shortest update to `to`, given the held table if it is known.
    pub fn shortest(held: Option<&Table>, to: &Arc<Table>) -> Self {
        match held {
            Some(held) if held.digest() == to.digest() => Self::Unchanged(to.digest()),
            Some(held) => {
                let delta = Delta::between(held, to);
                if delta.canonical_len() < to.canonical_len() {
                    Self::Delta(delta)
                } else {
                    Self::Whole(to.clone())
                }
            }
            None => Self::Whole(to.clone()),
        }
    }

    pub fn digest(&self) -> Digest {
        match self {
            Self::Unchanged(digest) => *digest,
            Self::Delta(delta) => delta.to,
            Self::Whole(table) => table.digest(),
        }
    }
}
