//! All kinds of state under one time: the ledger's own, which the chain's head stamps on each update.

use crate::bounds::{Bounds, Sizes};
use crate::call::{Answer, Ask, Update};
use crate::cells::{Cells, Watched};
use crate::locks::Locks;
use crate::numbers::Numbers;

/// What is over is looked for so often.
const SWEEP_MS: u64 = 10_000;

/// The state that the chain keeps. Equal updates with equal stamps make equal ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) bounds: Bounds,
    /// The highest stamp so far. Time never goes back, whatever a stamp says.
    pub(crate) at_ms: u64,
    pub(crate) swept_ms: u64,
    /// The bytes as the operator sent them, under the highest version that came.
    pub(crate) configuration: Option<(u64, Vec<u8>)>,
    pub(crate) locks: Locks,
    pub(crate) numbers: Numbers,
    pub(crate) cells: Cells,
}

impl Ledger {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    pub fn apply(&mut self, at_ms: u64, update: &Update) -> Answer {
        self.at_ms = self.at_ms.max(at_ms);
        let (now, bounds) = (self.at_ms, self.bounds);
        self.sweep(now);
        if self.too_long(update) {
            return Answer::TooLong;
        }
        let room = bounds.standing_bytes.saturating_sub(self.standing_bytes());
        match update {
            Update::PutConfiguration { version, body } => self.put_configuration(*version, body),
            Update::TakeLock {
                name,
                holder,
                hold_ms,
            } => self.locks.take(now, name, holder, *hold_ms, room, &bounds),
            Update::RenewLock {
                name,
                holder,
                fence,
                hold_ms,
            } => self
                .locks
                .renew(now, name, holder, *fence, *hold_ms, &bounds),
            Update::DropLock {
                name,
                holder,
                fence,
            } => self.locks.drop(name, holder, *fence),
            Update::NextNumber { name } => self.numbers.next(name, room, &bounds),
            Update::PutCell {
                name,
                value,
                active,
            } => self.cells.put(now, name, value, *active, room, &bounds),
        }
    }

    pub fn read(&self, ask: &Ask) -> Answer {
        match ask {
            Ask::Configuration => match &self.configuration {
                Some((version, body)) => Answer::Configuration {
                    version: *version,
                    body: body.clone(),
                },
                None => Answer::Nothing,
            },
            Ask::Cell { name } => self.cells.get(name),
            Ask::Revision { group } => Answer::Revision(self.cells.revision(group)),
        }
    }

    /// The puts of a group above a revision, `most` of them at once. It shows what is applied here; that may lag
    /// behind other controllers, but what is shown is never taken back.
    pub fn watch(&self, group: &str, after: u64, most: usize) -> Watched {
        self.cells.watch(group, after, most)
    }

    /// The same on bytes, as the chain carries them.
    pub fn apply_bytes(&mut self, at_ms: u64, entry: &[u8]) -> Vec<u8> {
        let answer = match Update::decode(entry) {
            Ok(update) => self.apply(at_ms, &update),
            Err(_) => Answer::Unreadable,
        };
        answer.encode()
    }

    pub fn read_bytes(&self, ask: &[u8]) -> Vec<u8> {
        Ask::decode(ask)
            .map_or(Answer::Unreadable, |ask| self.read(&ask))
            .encode()
    }

    /// One not above the version held is an older change that came late, or a repeat: acknowledged, and nothing more.
    fn put_configuration(&mut self, version: u64, body: &[u8]) -> Answer {
        match &self.configuration {
            Some((held, _)) if version <= *held => Answer::Configured { version: *held },
            _ => {
                self.configuration = Some((version, body.to_vec()));
                Answer::Configured { version }
            }
        }
    }

    fn too_long(&self, update: &Update) -> bool {
        let bounds = &self.bounds;
        let long = |text: &str| text.len() > bounds.name_bytes;
        match update {
            Update::PutConfiguration { body, .. } => body.len() > bounds.configuration_bytes,
            Update::TakeLock { name, holder, .. }
            | Update::RenewLock { name, holder, .. }
            | Update::DropLock { name, holder, .. } => long(name) || long(holder),
            Update::NextNumber { name } => long(name),
            Update::PutCell { name, value, .. } => long(name) || value.len() > bounds.value_bytes,
        }
    }

    /// By the stamps alone, so that all controllers forget the same at the same update.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_MS {
            self.swept_ms = now_ms;
            self.locks.forget(now_ms, self.bounds.keep_ms);
            self.cells.forget(now_ms, self.bounds.keep_ms);
        }
    }

    pub(crate) fn standing_bytes(&self) -> usize {
        self.locks.bytes() + self.numbers.bytes() + self.cells.standing_bytes()
    }

    /// The highest stamp applied: the next head goes on from here.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Of the configuration held; 0: there is none yet.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |(version, _)| *version)
    }

    pub fn configuration(&self) -> Option<(u64, &[u8])> {
        self.configuration
            .as_ref()
            .map(|(version, body)| (*version, body.as_slice()))
    }

    /// The present one of a group; 0: nothing was put yet.
    pub fn revision(&self, group: &str) -> u64 {
        self.cells.revision(group)
    }

    pub fn sizes(&self) -> Sizes {
        Sizes {
            locks: self.locks.len(),
            numbers: self.numbers.len(),
            cells: self.cells.len(),
            groups: self.cells.groups(),
            events: self.cells.events(),
            standing_bytes: self.standing_bytes(),
            history_bytes: self.cells.history_bytes(),
            configuration_bytes: self
                .configuration
                .as_ref()
                .map_or(0, |(_, body)| body.len()),
        }
    }
}
