//! Snapshots of the whole state, which are stored on disk and sent to replicas that are far behind.

use crate::counters::Counters;
use crate::duties::{Duties, Duty};
use crate::key_value::{Group, KeyValueStore};
use crate::locks::{Lease, Locks};
use crate::state_machine::{Configuration, StateMachine};
use crate::usage_ledger::UsageLedger;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Format of a state without usage and duties, which earlier builds read.
const FORMAT_1: u8 = 1;

/// Format of a state with usage or duties: that of format 1, then `UsageAndDuties`.
const FORMAT_2: u8 = 2;

/// Format of a state with locks that their holders acquired again lately: that of format 2, then when that was for each
/// lock in the order of their names.
const FORMAT_3: u8 = 3;

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
    #[error(
        "unsupported snapshot format {0}; this build supports formats {FORMAT_1} to {FORMAT_3}"
    )]
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

/// What format 2 has behind the contents of format 1, in encoding order.
#[derive(Default, Serialize, Deserialize)]
struct UsageAndDuties<'a> {
    usage: Cow<'a, UsageLedger>,
    last_duty_fence: u64,
    duties: Cow<'a, BTreeMap<String, Duty>>,
}

/// The parts of a snapshot.
struct Parts<'a> {
    contents: SnapshotContents<'a>,
    more: UsageAndDuties<'a>,
    reacquisitions: Vec<Option<u64>>,
}

/// Splits a snapshot without its format into its parts.
fn decode(format: u8, bytes: &[u8]) -> Result<Parts<'_>, SnapshotError> {
    if !(FORMAT_1..=FORMAT_3).contains(&format) {
        return Err(SnapshotError::Format(format));
    }
    let (contents, rest) = postcard::take_from_bytes(bytes)?;
    let (more, rest) = match format {
        FORMAT_1 => (UsageAndDuties::default(), rest),
        _ => postcard::take_from_bytes(rest)?,
    };
    let (reacquisitions, rest) = match format {
        FORMAT_3 => postcard::take_from_bytes(rest)?,
        _ => (Vec::new(), rest),
    };
    if !rest.is_empty() {
        return Err(SnapshotError::Trailing(rest.len()));
    }
    Ok(Parts {
        contents,
        more,
        reacquisitions,
    })
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
        let capacity =
            usage.state_bytes + usage.history_bytes + usage.configuration_bytes + usage.usage_bytes;
        // Encoding into memory cannot fail; `restore` rejects the empty fallback.
        let mut bytes = Vec::with_capacity(capacity);
        let reacquisitions = self.locks.reacquisitions();
        if reacquisitions.is_empty() && !self.has_usage_or_duties() {
            bytes.push(FORMAT_1);
            return postcard::to_extend(&contents, bytes).unwrap_or_default();
        }
        let more = UsageAndDuties {
            usage: Cow::Borrowed(&self.usage),
            last_duty_fence: self.duties.last_fence(),
            duties: Cow::Borrowed(self.duties.duties()),
        };
        if reacquisitions.is_empty() {
            bytes.push(FORMAT_2);
            return postcard::to_extend(&(contents, more), bytes).unwrap_or_default();
        }
        bytes.push(FORMAT_3);
        postcard::to_extend(&(contents, more, reacquisitions), bytes).unwrap_or_default()
    }

    fn has_usage_or_duties(&self) -> bool {
        self.usage != UsageLedger::default() || self.duties != Duties::default()
    }

    /// Replaces the state with a snapshot. On an error the state is unchanged.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let Some((format, rest)) = bytes.split_first() else {
            return Err(postcard::Error::DeserializeUnexpectedEnd.into());
        };
        let Parts {
            contents,
            more,
            reacquisitions,
        } = decode(*format, rest)?;
        let leases = contents.leases.into_owned();
        let locks = Locks::from_leases(leases, contents.last_fence, &reacquisitions)
            .ok_or(SnapshotError::Inconsistent("locks"))?;
        let keys = KeyValueStore::from_groups(contents.groups.into_owned())
            .ok_or(SnapshotError::Inconsistent("keys"))?;
        let usage = more.usage.into_owned();
        if !usage.is_consistent() {
            return Err(SnapshotError::Inconsistent("usage windows"));
        }
        let duties = Duties::from_duties(more.duties.into_owned(), more.last_duty_fence)
            .ok_or(SnapshotError::Inconsistent("duties"))?;
        *self = Self {
            limits: self.limits,
            at_ms: contents.at_ms,
            swept_ms: contents.swept_ms,
            configuration: contents.configuration.map(Cow::into_owned),
            locks,
            counters: Counters::from_values(contents.counters.into_owned()),
            keys,
            usage,
            duties,
        };
        Ok(())
    }

    /// XXH64 of the snapshot with seed 0, which is equal for equal states on all controllers.
    #[must_use]
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.snapshot())
    }
}
