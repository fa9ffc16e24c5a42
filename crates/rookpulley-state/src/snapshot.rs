//! Snapshots of the whole state, which are stored on disk and sent to replicas that are far behind.

use crate::counters::Counters;
use crate::key_value::{Group, KeyValueStore};
use crate::locks::{Lease, Locks};
use crate::state_machine::{Configuration, StateMachine};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Format version, incremented when the encoding changes.
const FORMAT: u8 = 1;

/// Error restoring a snapshot.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SnapshotError {
    /// The bytes are not a valid encoding.
    #[error("cannot decode the snapshot: {0}")]
    #[diagnostic(help(
        "the snapshot is incomplete or corrupted; fetch it again from another controller"
    ))]
    Corrupted(#[from] postcard::Error),
    /// The snapshot has a different format version.
    #[error("unsupported snapshot format {0}; this build supports format {FORMAT}")]
    #[diagnostic(help("run the same build on all controllers, and write a new snapshot"))]
    Format(u8),
    /// The number of bytes after the snapshot.
    #[error("{0} trailing bytes after the snapshot")]
    #[diagnostic(help("pass exactly the bytes returned by `snapshot`"))]
    Trailing(usize),
    /// The named part of the snapshot is inconsistent.
    #[error("the {0} in the snapshot are inconsistent")]
    #[diagnostic(help("the snapshot is corrupted; fetch it again from another controller"))]
    Inconsistent(&'static str),
}

/// Contents of a snapshot, in encoding order.
#[derive(Serialize, Deserialize)]
struct SnapshotContents<'a> {
    at_ms: u64,
    swept_ms: u64,
    configuration: Option<Cow<'a, Configuration>>,
    last_fence: u64,
    leases: Cow<'a, BTreeMap<String, Lease>>,
    counters: Cow<'a, BTreeMap<String, u64>>,
    groups: Cow<'a, BTreeMap<String, Group>>,
}

impl StateMachine {
    /// Encodes the whole state except the limits, including the retained events and the last fencing token.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let contents = SnapshotContents {
            at_ms: self.at_ms,
            swept_ms: self.swept_ms,
            configuration: self.configuration.as_ref().map(Cow::Borrowed),
            last_fence: self.locks.last_fence(),
            leases: Cow::Borrowed(self.locks.leases()),
            counters: Cow::Borrowed(self.counters.values()),
            groups: Cow::Borrowed(self.keys.groups()),
        };
        let usage = self.usage();
        let capacity = usage.state_bytes + usage.history_bytes + usage.configuration_bytes;
        // Encoding into memory cannot fail; `restore` rejects the empty fallback.
        let mut bytes = Vec::with_capacity(capacity);
        bytes.push(FORMAT);
        postcard::to_extend(&contents, bytes).unwrap_or_default()
    }

    /// Replaces the state with a snapshot. On an error the state is unchanged.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let Some((format, rest)) = bytes.split_first() else {
            return Err(postcard::Error::DeserializeUnexpectedEnd.into());
        };
        if *format != FORMAT {
            return Err(SnapshotError::Format(*format));
        }
        let (contents, rest) = postcard::take_from_bytes::<SnapshotContents>(rest)?;
        if !rest.is_empty() {
            return Err(SnapshotError::Trailing(rest.len()));
        }
        let locks = Locks::from_leases(contents.leases.into_owned(), contents.last_fence)
            .ok_or(SnapshotError::Inconsistent("locks"))?;
        let keys = KeyValueStore::from_groups(contents.groups.into_owned())
            .ok_or(SnapshotError::Inconsistent("keys"))?;
        *self = Self {
            limits: self.limits,
            at_ms: contents.at_ms,
            swept_ms: contents.swept_ms,
            configuration: contents.configuration.map(Cow::into_owned),
            locks,
            counters: Counters::from_values(contents.counters.into_owned()),
            keys,
        };
        Ok(())
    }

    /// XXH64 of the snapshot with seed 0, which is equal for equal states on all controllers.
    #[must_use]
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.snapshot())
    }
}
