//! The whole ledger as bytes: written to disk from time to time, and handed to a controller that joins the chain.

use crate::cells::{Cells, Group};
use crate::ledger::Ledger;
use crate::locks::{Hold, Locks};
use crate::numbers::Numbers;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Goes up when the bytes change their meaning.
const FORMAT: u8 = 1;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SnapshotError {
    #[error("the bytes can't be read as a snapshot: {0}")]
    #[diagnostic(help(
        "give the bytes of `snapshot` whole and unchanged; fetch them again from another controller"
    ))]
    Spoilt(#[from] postcard::Error),
    #[error("the snapshot has format {0}; this build reads {FORMAT}")]
    #[diagnostic(help("run the same build on all controllers, and let it write a new snapshot"))]
    Format(u8),
    #[error("{0} bytes follow the snapshot")]
    #[diagnostic(help("give the bytes of `snapshot` and nothing behind them"))]
    Trailing(usize),
    #[error("the {0} of the snapshot don't fit together")]
    #[diagnostic(help(
        "give a snapshot that a controller wrote; fetch it again from another controller"
    ))]
    Unsound(&'static str),
}

/// The parts in the order in which they are written.
type Parts = (
    u64,
    u64,
    Option<(u64, Vec<u8>)>,
    u64,
    BTreeMap<String, Hold>,
    BTreeMap<String, u64>,
    BTreeMap<String, Group>,
);

/// Written as a whole, not one by one: the bytes are the same, and a configuration may have some MB.
struct Whole<'a>(&'a [u8]);

impl Serialize for Whole<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(self.0)
    }
}

impl Ledger {
    /// Everything but the bounds: history for watches and repeats as well, and the last fence.
    pub fn snapshot(&self) -> Vec<u8> {
        let parts = (
            self.at_ms,
            self.swept_ms,
            self.configuration()
                .map(|(version, body)| (version, Whole(body))),
            self.locks.fences(),
            self.locks.all(),
            self.numbers.all(),
            self.cells.all(),
        );
        let length = self.configuration().map_or(0, |(_, body)| body.len());
        // Writing into memory can't fail; empty bytes would be refused by `restore`.
        let mut bytes =
            Vec::with_capacity(self.standing_bytes() + self.cells.history_bytes() + length);
        bytes.push(FORMAT);
        postcard::to_extend(&parts, bytes).unwrap_or_default()
    }

    /// Takes the place of what was here. On an error nothing changes.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let (format, rest) = bytes
            .split_first()
            .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
        if *format != FORMAT {
            return Err(SnapshotError::Format(*format));
        }
        let (parts, rest) = postcard::take_from_bytes::<Parts>(rest)?;
        if !rest.is_empty() {
            return Err(SnapshotError::Trailing(rest.len()));
        }
        let (at_ms, swept_ms, configuration, fences, holds, numbers, groups) = parts;
        let locks = Locks::of(holds, fences).ok_or(SnapshotError::Unsound("locks"))?;
        let cells = Cells::of(groups).ok_or(SnapshotError::Unsound("cells"))?;
        let numbers = Numbers::of(numbers);
        *self = Self {
            bounds: self.bounds,
            at_ms,
            swept_ms,
            configuration,
            locks,
            numbers,
            cells,
        };
        Ok(())
    }

    /// Equal for equal ledgers, on all controllers.
    pub fn digest(&self) -> u64 {
        XxHash64::oneshot(0, &self.snapshot())
    }
}
