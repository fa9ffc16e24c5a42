//! What turns one table into another. A delta names the digest that it starts from and the one it ends at:
//! applied to anything else it is refused, and what it is applied to stays whole in either case.

use crate::table::{Digest, Name, Table, line_len};
use std::cmp::Ordering;
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
pub enum Refused {
    #[error("it starts from {wants}, the table held is {held}")]
    OtherStart { wants: Digest, held: Digest },
    #[error("it ends at {got} and not at {wants} as it says")]
    OtherEnd { wants: Digest, got: Digest },
    #[error("its lines make no table: {0}")]
    Lines(#[from] crate::table::NoTable),
}

impl Delta {
    /// The fewest lines that turn one table into the other.
    pub fn between(from: &Table, to: &Table) -> Self {
        let (a, b) = (from.slice(), to.slice());
        let (mut i, mut j, mut changes) = (0, 0, Vec::new());
        while i < a.len() || j < b.len() {
            let order = match (a.get(i), b.get(j)) {
                (Some((x, _)), Some((y, _))) => x.as_bytes().cmp(y.as_bytes()),
                (Some(_), None) => Ordering::Less,
                _ => Ordering::Greater,
            };
            match order {
                Ordering::Less => changes.push((a[i].0.clone(), 0.0)),
                Ordering::Greater => changes.push(b[j].clone()),
                Ordering::Equal if a[i].1 != b[j].1 => changes.push(b[j].clone()),
                Ordering::Equal => {}
            }
            i += usize::from(order.is_le());
            j += usize::from(order.is_ge());
        }
        Self { from: from.digest(), to: to.digest(), changes }
    }

    /// The table it ends at, or why it can't be had from this one.
    pub fn apply(&self, held: &Table) -> Result<Table, Refused> {
        if held.digest() != self.from {
            return Err(Refused::OtherStart { wants: self.from, held: held.digest() });
        }
        let mut changes = self.changes.clone();
        changes.sort_by(|x, y| x.0.as_bytes().cmp(y.0.as_bytes()));
        // Lines of weight 0 pass the check and are dropped below.
        Table::of(changes.iter().cloned())?;
        let (old, mut lines) = (held.slice(), Vec::with_capacity(held.len() + changes.len()));
        let (mut i, mut j) = (0, 0);
        while i < old.len() || j < changes.len() {
            let order = match (old.get(i), changes.get(j)) {
                (Some((x, _)), Some((y, _))) => x.as_bytes().cmp(y.as_bytes()),
                (Some(_), None) => Ordering::Less,
                _ => Ordering::Greater,
            };
            let line = if order.is_lt() { &old[i] } else { &changes[j] };
            if line.1 > 0.0 {
                lines.push(line.clone());
            }
            i += usize::from(order.is_le());
            j += usize::from(order.is_ge());
        }
        let table = Table::sorted(lines);
        match table.digest() {
            got if got == self.to => Ok(table),
            got => Err(Refused::OtherEnd { wants: self.to, got }),
        }
    }

    /// Its length in the form that whole tables are measured in: both digests, the count, the lines.
    pub fn canonical_len(&self) -> usize {
        16 + 16 + 4 + self.changes.iter().map(|(name, _)| line_len(name)).sum::<usize>()
    }
}

/// How someone is brought to a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It holds that table already, whoever issued it.
    Same(Digest),
    Delta(Delta),
    Whole(Arc<Table>),
}

impl Update {
    /// The shortest way to a table from what is held, if that is known.
    pub fn to(held: Option<&Table>, to: &Arc<Table>) -> Self {
        match held {
            Some(held) if held.digest() == to.digest() => Self::Same(to.digest()),
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
            Self::Same(digest) => *digest,
            Self::Delta(delta) => delta.to,
            Self::Whole(table) => table.digest(),
        }
    }
}
