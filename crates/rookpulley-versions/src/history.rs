//! The kept versions of every table, bounded by number and bytes. What a joined dispatcher is known to hold
//! (pinned), and the newest of each table, is never dropped.

use crate::TableId;
use crate::table::{Digest, Table};
use crate::version::{Issuer, Version};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How many versions are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Versions kept of each table.
    pub per_table: usize,
    /// Bytes of all kept tables together.
    pub bytes: usize,
}

impl RetentionLimits {
    /// What is kept where nothing else is said.
    pub const DEFAULT: Self = Self {
        per_table: 8,
        bytes: 16 << 20,
    };
}

/// A table as issued.
#[derive(Clone, Debug)]
pub struct IssuedTable {
    pub version: Version,
    pub table: Arc<Table>,
    pub at_ms: f64,
    /// The number of the version that took its place.
    pub superseded_by: Option<u64>,
    pins: u32,
}

pub struct History {
    issuer: Arc<Issuer>,
    /// The number that the next version gets.
    next: u64,
    bounds: RetentionLimits,
    bytes: usize,
    /// Oldest first.
    kept: BTreeMap<TableId, VecDeque<IssuedTable>>,
    /// Which table a kept number is of.
    of: BTreeMap<u64, TableId>,
}

/// Why there is no such version here.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LookupError {
    #[error("{version} was issued by another assigner; ask {} for it", version.issuer.assigner)]
    OtherAssigner { version: Version },
    #[error(
        "{version} is of an earlier start of this assigner, which kept nothing; this one began at {start:016x}"
    )]
    OtherStart { version: Version, start: u64 },
    #[error("{version} was never issued; the newest number is {newest}")]
    NeverIssued { version: Version, newest: u64 },
    #[error("{version} is no longer kept; `versions` shows those that are")]
    Dropped { version: Version },
    #[error("{version} is of table {of}, not of table {wanted}")]
    OtherTable {
        version: Version,
        of: TableId,
        wanted: TableId,
    },
}

impl History {
    /// The first number is 1 unless numbers before it are taken.
    pub fn new(issuer: Issuer, first: u64, bounds: RetentionLimits) -> Self {
        let (kept, of) = (BTreeMap::new(), BTreeMap::new());
        Self {
            issuer: Arc::new(issuer),
            next: first.max(1),
            bounds,
            bytes: 0,
            kept,
            of,
        }
    }

    pub fn issuer(&self) -> &Arc<Issuer> {
        &self.issuer
    }

    /// A number of this start, as a version.
    pub fn version(&self, number: u64) -> Version {
        Version {
            issuer: self.issuer.clone(),
            number,
        }
    }

    /// Issues a table's lines as a new version, unless they are those of its newest one.
    pub fn issue(&mut self, now: f64, id: TableId, table: Table) -> Option<Version> {
        if self
            .newest(id)
            .is_some_and(|i| i.table.digest() == table.digest())
        {
            return None;
        }
        let version = self.version(self.next);
        self.next += 1;
        self.bytes += table.memory_bytes();
        self.of.insert(version.number, id);
        let issued = IssuedTable {
            version: version.clone(),
            table: Arc::new(table),
            at_ms: now,
            superseded_by: None,
            pins: 0,
        };
        let kept = self.kept.entry(id).or_default();
        kept.iter_mut()
            .rev()
            .take(1)
            .for_each(|before| before.superseded_by = Some(version.number));
        kept.push_back(issued);
        self.trim(id);
        Some(version)
    }

    /// Drops what is over the bounds: of this table by number, of all tables by bytes, oldest first.
    fn trim(&mut self, id: TableId) {
        while self
            .kept
            .get(&id)
            .is_some_and(|k| k.len() > self.bounds.per_table)
            && self.drop_oldest(id)
        {}
        while self.bytes > self.bounds.bytes {
            let free = |k: &VecDeque<IssuedTable>| {
                k.iter()
                    .rev()
                    .skip(1)
                    .rev()
                    .find(|i| i.pins == 0)
                    .map(|i| i.version.number)
            };
            let oldest = self
                .kept
                .iter()
                .filter_map(|(id, k)| Some((free(k)?, *id)))
                .min();
            if !oldest.is_some_and(|(_, id)| self.drop_oldest(id)) {
                break;
            }
        }
    }

    /// Drops the oldest version of a table that is neither pinned nor its newest.
    fn drop_oldest(&mut self, id: TableId) -> bool {
        let Some(kept) = self.kept.get_mut(&id) else {
            return false;
        };
        let last = kept.len().saturating_sub(1);
        let Some(at) = kept.iter().take(last).position(|i| i.pins == 0) else {
            return false;
        };
        let Some(gone) = kept.remove(at) else {
            return false;
        };
        self.bytes -= gone.table.memory_bytes();
        self.of.remove(&gone.version.number);
        true
    }

    pub fn pin(&mut self, number: u64) {
        if let Some(issued) = self.numbered_mut(number) {
            issued.pins += 1;
        }
    }

    pub fn unpin(&mut self, number: u64) {
        let Some(issued) = self.numbered_mut(number) else {
            return;
        };
        issued.pins = issued.pins.saturating_sub(1);
        if let Some(id) = self.of.get(&number).copied() {
            self.trim(id);
        }
    }

    fn numbered_mut(&mut self, number: u64) -> Option<&mut IssuedTable> {
        let id = self.of.get(&number)?;
        self.kept
            .get_mut(id)?
            .iter_mut()
            .find(|i| i.version.number == number)
    }

    pub fn get(&self, number: u64) -> Option<(TableId, &IssuedTable)> {
        let id = self.of.get(&number)?;
        Some((
            *id,
            self.kept
                .get(id)?
                .iter()
                .find(|i| i.version.number == number)?,
        ))
    }

    pub fn newest(&self, id: TableId) -> Option<&IssuedTable> {
        self.kept.get(&id)?.back()
    }

    /// The newest kept version of a table with these lines.
    pub fn with_digest(&self, id: TableId, digest: Digest) -> Option<&IssuedTable> {
        self.kept
            .get(&id)?
            .iter()
            .rev()
            .find(|i| i.table.digest() == digest)
    }

    /// The kept version that this names, or why there is none.
    pub fn find(&self, version: &Version) -> Result<(TableId, &IssuedTable), LookupError> {
        let (named, version) = (&version.issuer, version.clone());
        if named.assigner != self.issuer.assigner {
            return Err(LookupError::OtherAssigner { version });
        }
        if named.start != self.issuer.start {
            return Err(LookupError::OtherStart {
                version,
                start: self.issuer.start,
            });
        }
        if version.number >= self.next || version.number == 0 {
            return Err(LookupError::NeverIssued {
                version,
                newest: self.next - 1,
            });
        }
        self.get(version.number)
            .ok_or(LookupError::Dropped { version })
    }

    /// What a table was at the moment that a number names, if that version is still kept.
    pub fn as_of(&self, id: TableId, number: u64) -> Option<&IssuedTable> {
        let then = |i: &&IssuedTable| {
            i.version.number <= number && i.superseded_by.is_none_or(|u| u > number)
        };
        self.kept.get(&id)?.iter().find(then)
    }

    /// All kept versions, by table, oldest first.
    pub fn all(&self) -> impl Iterator<Item = (TableId, &IssuedTable)> {
        self.kept
            .iter()
            .flat_map(|(id, kept)| kept.iter().map(|i| (*id, i)))
    }

    pub fn tables(&self) -> impl Iterator<Item = TableId> {
        self.kept.keys().copied()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl IssuedTable {
    pub fn is_pinned(&self) -> bool {
        self.pins > 0
    }
}
