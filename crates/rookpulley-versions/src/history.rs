//! The retained versions of every table, limited by count and memory. The newest version of each table and
//! versions pinned for connected dispatchers are never evicted.

use crate::TableId;
use crate::table::{Digest, Table};
use crate::version::{Issuer, Version};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Limits on the retained versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// The maximum number of versions per table.
    pub per_table: usize,
    /// The maximum memory of all retained tables, in bytes.
    pub bytes: usize,
}

impl RetentionLimits {
    /// The limits used when none are configured.
    pub const DEFAULT: Self = Self {
        per_table: 8,
        bytes: 16 << 20,
    };
}

/// An issued version and its table.
#[derive(Clone, Debug)]
pub struct IssuedTable {
    pub version: Version,
    pub table: Arc<Table>,
    pub at_ms: f64,
    /// The number of the next version of the same table.
    pub superseded_by: Option<u64>,
    pin_count: u32,
}

/// The versions issued by one assigner start.
pub struct History {
    issuer: Arc<Issuer>,
    /// The number of the next version to issue.
    next_number: u64,
    limits: RetentionLimits,
    bytes: usize,
    /// By table, oldest first.
    versions: BTreeMap<TableId, VecDeque<IssuedTable>>,
    /// The table of each retained version number.
    table_by_number: BTreeMap<u64, TableId>,
}

/// Why a version cannot be found.
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
    /// `first` is the first number to issue, at least 1.
    pub fn new(issuer: Issuer, first: u64, limits: RetentionLimits) -> Self {
        let (versions, table_by_number) = (BTreeMap::new(), BTreeMap::new());
        Self {
            issuer: Arc::new(issuer),
            next_number: first.max(1),
            limits,
            bytes: 0,
            versions,
            table_by_number,
        }
    }

    pub fn issuer(&self) -> &Arc<Issuer> {
        &self.issuer
    }

    /// The version identifier for a number of this start.
    pub fn version(&self, number: u64) -> Version {
        Version {
            issuer: self.issuer.clone(),
            number,
        }
    }

    /// Issues a new version of a table. Returns `None` if the newest version has the same content.
    pub fn issue(&mut self, now: f64, id: TableId, table: Table) -> Option<Version> {
        if self
            .newest(id)
            .is_some_and(|i| i.table.digest() == table.digest())
        {
            return None;
        }
        let version = self.version(self.next_number);
        self.next_number += 1;
        self.bytes += table.memory_bytes();
        self.table_by_number.insert(version.number, id);
        let issued = IssuedTable {
            version: version.clone(),
            table: Arc::new(table),
            at_ms: now,
            superseded_by: None,
            pin_count: 0,
        };
        let versions = self.versions.entry(id).or_default();
        versions
            .iter_mut()
            .rev()
            .take(1)
            .for_each(|previous| previous.superseded_by = Some(version.number));
        versions.push_back(issued);
        self.enforce_limits(id);
        Some(version)
    }

    /// Evicts the oldest versions: of this table beyond the count limit, of all tables beyond the memory limit.
    fn enforce_limits(&mut self, id: TableId) {
        while self
            .versions
            .get(&id)
            .is_some_and(|k| k.len() > self.limits.per_table)
            && self.drop_oldest(id)
        {}
        while self.bytes > self.limits.bytes {
            let oldest_unpinned = |k: &VecDeque<IssuedTable>| {
                k.iter()
                    .rev()
                    .skip(1)
                    .rev()
                    .find(|i| i.pin_count == 0)
                    .map(|i| i.version.number)
            };
            let oldest = self
                .versions
                .iter()
                .filter_map(|(id, k)| Some((oldest_unpinned(k)?, *id)))
                .min();
            if !oldest.is_some_and(|(_, id)| self.drop_oldest(id)) {
                break;
            }
        }
    }

    /// Evicts the oldest version of a table that is neither pinned nor the newest.
    fn drop_oldest(&mut self, id: TableId) -> bool {
        let Some(versions) = self.versions.get_mut(&id) else {
            return false;
        };
        let newest_index = versions.len().saturating_sub(1);
        let Some(at) = versions
            .iter()
            .take(newest_index)
            .position(|i| i.pin_count == 0)
        else {
            return false;
        };
        let Some(removed) = versions.remove(at) else {
            return false;
        };
        self.bytes -= removed.table.memory_bytes();
        self.table_by_number.remove(&removed.version.number);
        true
    }

    /// Protects a version from eviction until a matching `unpin`.
    pub fn pin(&mut self, number: u64) {
        if let Some(issued) = self.get_mut(number) {
            issued.pin_count += 1;
        }
    }

    pub fn unpin(&mut self, number: u64) {
        let Some(issued) = self.get_mut(number) else {
            return;
        };
        issued.pin_count = issued.pin_count.saturating_sub(1);
        if let Some(id) = self.table_by_number.get(&number).copied() {
            self.enforce_limits(id);
        }
    }

    fn get_mut(&mut self, number: u64) -> Option<&mut IssuedTable> {
        let id = self.table_by_number.get(&number)?;
        self.versions
            .get_mut(id)?
            .iter_mut()
            .find(|i| i.version.number == number)
    }

    pub fn get(&self, number: u64) -> Option<(TableId, &IssuedTable)> {
        let id = self.table_by_number.get(&number)?;
        Some((
            *id,
            self.versions
                .get(id)?
                .iter()
                .find(|i| i.version.number == number)?,
        ))
    }

    pub fn newest(&self, id: TableId) -> Option<&IssuedTable> {
        self.versions.get(&id)?.back()
    }

    /// The newest retained version of a table with this digest.
    pub fn with_digest(&self, id: TableId, digest: Digest) -> Option<&IssuedTable> {
        self.versions
            .get(&id)?
            .iter()
            .rev()
            .find(|i| i.table.digest() == digest)
    }

    /// Looks up a version identifier, or explains why it cannot be found.
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
        if version.number >= self.next_number || version.number == 0 {
            return Err(LookupError::NeverIssued {
                version,
                newest: self.next_number - 1,
            });
        }
        self.get(version.number)
            .ok_or(LookupError::Dropped { version })
    }

    /// The version of a table that was the newest when `number` was issued, if it is still retained.
    pub fn as_of(&self, id: TableId, number: u64) -> Option<&IssuedTable> {
        let current_at = |i: &&IssuedTable| {
            i.version.number <= number && i.superseded_by.is_none_or(|u| u > number)
        };
        self.versions.get(&id)?.iter().find(current_at)
    }

    /// All retained versions by table, oldest first.
    pub fn all(&self) -> impl Iterator<Item = (TableId, &IssuedTable)> {
        self.versions
            .iter()
            .flat_map(|(id, versions)| versions.iter().map(|i| (*id, i)))
    }

    pub fn tables(&self) -> impl Iterator<Item = TableId> {
        self.versions.keys().copied()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl IssuedTable {
    pub fn is_pinned(&self) -> bool {
        self.pin_count > 0
    }
}
