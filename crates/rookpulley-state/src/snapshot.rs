//! The whole state as bytes: written to disk from time to time, and sent to a replica that lacks much.

use crate::counters::Counters;
use crate::key_value::{Group, KeyValueStore};
use crate::locks::{Lease, Locks};
use crate::state_machine::{Configuration, StateMachine};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Rises when the bytes change their meaning.
const FORMAT: u8 = 1;

/// Why bytes are no snapshot.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SnapshotError {
    /// They can't be decoded.
    #[error("the bytes can't be read as a snapshot: {0}")]
    #[diagnostic(help(
        "give the bytes of `snapshot` whole and unchanged; fetch them again from another controller"
    ))]
    Corrupted(#[from] postcard::Error),
    /// They are of another format.
    #[error("the snapshot has format {0}; this build reads {FORMAT}")]
    #[diagnostic(help("run the same build on all controllers, and let it write a new snapshot"))]
    Format(u8),
    /// So many bytes follow.
    #[error("{0} bytes follow the snapshot")]
    #[diagnostic(help("give the bytes of `snapshot` and nothing behind them"))]
    Trailing(usize),
    /// A part of it contradicts itself; which.
    #[error("the {0} of the snapshot don't fit together")]
    #[diagnostic(help(
        "give a snapshot that a controller wrote; fetch it again from another controller"
    ))]
    Inconsistent(&'static str),
}

/// The parts in the order in which they are written.
#[derive(Serialize, Deserialize)]
struct Parts<'a> {
    at_ms: u64,
    swept_ms: u64,
    configuration: Option<Cow<'a, Configuration>>,
    last_fence: u64,
    leases: Cow<'a, BTreeMap<String, Lease>>,
    counters: Cow<'a, BTreeMap<String, u64>>,
    groups: Cow<'a, BTreeMap<String, Group>>,
}

impl StateMachine {
    /// All but the limits: also the history for watches and repeats, and the last fencing token.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let parts = Parts {
            at_ms: self.at_ms,
            swept_ms: self.swept_ms,
            configuration: self.configuration.as_ref().map(Cow::Borrowed),
            last_fence: self.locks.last_fence(),
            leases: Cow::Borrowed(self.locks.leases()),
            counters: Cow::Borrowed(self.counters.last()),
            groups: Cow::Borrowed(self.keys.groups()),
        };
        let usage = self.usage();
        let capacity = usage.state_bytes + usage.history_bytes + usage.configuration_bytes;
        // Writing into memory can't fail; empty bytes would be refused by `restore`.
        let mut bytes = Vec::with_capacity(capacity);
        bytes.push(FORMAT);
        postcard::to_extend(&parts, bytes).unwrap_or_default()
    }

    /// Takes the place of what was here. On an error nothing changes.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let Some((format, rest)) = bytes.split_first() else {
            return Err(postcard::Error::DeserializeUnexpectedEnd.into());
        };
        if *format != FORMAT {
            return Err(SnapshotError::Format(*format));
        }
        let (parts, rest) = postcard::take_from_bytes::<Parts>(rest)?;
        if !rest.is_empty() {
            return Err(SnapshotError::Trailing(rest.len()));
        }
        let locks = Locks::from_leases(parts.leases.into_owned(), parts.last_fence)
            .ok_or(SnapshotError::Inconsistent("locks"))?;
        let keys = KeyValueStore::from_groups(parts.groups.into_owned())
            .ok_or(SnapshotError::Inconsistent("cells"))?;
        *self = Self {
            limits: self.limits,
            at_ms: parts.at_ms,
            swept_ms: parts.swept_ms,
            configuration: parts.configuration.map(Cow::into_owned),
            locks,
            counters: Counters::from_last(parts.counters.into_owned()),
            keys,
        };
        Ok(())
    }

    /// Equal for equal states, on all controllers: XXH64 of the snapshot, with seed 0.
    #[must_use]
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.snapshot())
    }
}
