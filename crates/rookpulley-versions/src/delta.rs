//! What turns one table into another. A delta names the digest that it starts from and the one it ends at:
//! applied to anything else it is refused, and what it is applied to stays whole in either case.

use crate::table::{Digest, Name, Table, line_len};
use itertools::{EitherOrBoth, Itertools};
use std::sync::Arc;

/// The changed lines between two tables, by name; weight 0 takes a line out.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    pub from: Digest,
    pub to: Digest,
    pub changes: Vec<(Name, f64)>,
}

/// Why a delta was not applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    #[error("it starts from {wants}, the table held is {held}")]
    BaseMismatch { wants: Digest, held: Digest },
    #[error("it ends at {got} and not at {wants} as it says")]
    ResultMismatch { wants: Digest, got: Digest },
    #[error("its lines make no table: {0}")]
    InvalidTable(#[from] crate::table::TableError),
}

/// The lines of two sorted lists by name, those of one name together.
fn side_by_side<'a>(
    a: &'a [(Name, f64)],
    b: &'a [(Name, f64)],
) -> impl Iterator<Item = EitherOrBoth<&'a (Name, f64)>> {
    a.iter()
        .merge_join_by(b, |x, y| x.0.as_bytes().cmp(y.0.as_bytes()))
}

impl Delta {
    /// The fewest lines that turn one table into the other.
    pub fn between(from: &Table, to: &Table) -> Self {
        let change = |both: EitherOrBoth<&(Name, f64)>| match both {
            EitherOrBoth::Left((name, _)) => Some((name.clone(), 0.0)),
            EitherOrBoth::Both(a, b) if a == b => None,
            EitherOrBoth::Both(_, line) | EitherOrBoth::Right(line) => Some(line.clone()),
        };
        let changes = side_by_side(from.slice(), to.slice())
            .filter_map(change)
            .collect();
        Self {
            from: from.digest(),
            to: to.digest(),
            changes,
        }
    }

    /// The table it ends at, or why it can't be had from this one.
    pub fn apply(&self, held: &Table) -> Result<Table, ApplyError> {
        if held.digest() != self.from {
            return Err(ApplyError::BaseMismatch {
                wants: self.from,
                held: held.digest(),
            });
        }
        let mut changes = self.changes.clone();
        changes.sort_by(|x, y| x.0.as_bytes().cmp(y.0.as_bytes()));
        // Lines of weight 0 pass the check and are dropped below.
        Table::from_lines(changes.iter().cloned())?;
        let lines =
            side_by_side(held.slice(), &changes).map(|both| both.reduce(|_, changed| changed));
        let lines = lines.filter(|(_, weight)| *weight > 0.0).cloned().collect();
        let table = Table::from_sorted(lines);
        match table.digest() {
            got if got == self.to => Ok(table),
            got => Err(ApplyError::ResultMismatch {
                wants: self.to,
                got,
            }),
        }
    }

    /// Its length in the form that whole tables are measured in: both digests, the count, the lines.
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

/// How someone is brought to a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It holds that table already, whoever issued it.
    Unchanged(Digest),
    Delta(Delta),
    Whole(Arc<Table>),
}

impl Update {
    /// The shortest way to a table from what is held, if that is known.
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
