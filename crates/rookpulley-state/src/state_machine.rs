//! All parts of the state under one time: the replicated time, which the chain's head stamps on each update.

use crate::counters::Counters;
use crate::key_value::{KeyValueStore, Put, WatchResult};
use crate::limits::{Limits, Usage};
use crate::locks::Locks;
use crate::requests::{Answer, Query, Update};
use serde::{Deserialize, Serialize, Serializer};

/// What has ended is looked for so often.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// Writes bytes in one piece rather than one by one. The result is the same, and a configuration may have megabytes.
fn serialize_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Configuration {
    pub version: u64,
    #[serde(serialize_with = "serialize_bytes")]
    pub body: Vec<u8>,
}

/// The state that the chain replicates. Equal updates with equal times make equal states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    pub(crate) limits: Limits,
    /// The highest time so far. It never goes back, whatever an update is stamped with.
    pub(crate) at_ms: u64,
    pub(crate) swept_ms: u64,
    /// The one with the highest version that came.
    pub(crate) configuration: Option<Configuration>,
    pub(crate) locks: Locks,
    pub(crate) counters: Counters,
    pub(crate) keys: KeyValueStore,
}

impl StateMachine {
    /// An empty state with other limits than the usual ones.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies an update at the replicated time `at_ms`, in milliseconds.
    pub fn apply(&mut self, at_ms: u64, update: &Update) -> Answer {
        self.at_ms = self.at_ms.max(at_ms);
        let now = self.at_ms;
        let limits = self.limits;
        self.sweep(now);
        if self.is_too_long(update) {
            return Answer::TooLong;
        }
        let room = limits.state_bytes.saturating_sub(self.state_bytes());
        match update {
            Update::PutConfiguration { version, body } => self.put_configuration(*version, body),
            Update::AcquireLock {
                name,
                holder,
                lease_ms,
            } => self
                .locks
                .acquire(now, name, holder, *lease_ms, room, &limits),
            Update::RenewLock {
                name,
                holder,
                fence,
                lease_ms,
            } => self
                .locks
                .renew(now, name, holder, *fence, *lease_ms, &limits),
            Update::ReleaseLock {
                name,
                holder,
                fence,
            } => self.locks.release(name, holder, *fence),
            Update::NextNumber { name } => self.counters.next(name, room, &limits),
            Update::PutKey {
                name,
                value,
                expected,
            } => {
                let put = Put {
                    name,
                    value,
                    expected: *expected,
                };
                self.keys.put(now, put, room, &limits)
            }
        }
    }

    /// Answers a query from what is applied here.
    pub fn read(&self, query: &Query) -> Answer {
        match query {
            Query::Configuration => match &self.configuration {
                Some(held) => Answer::Configuration {
                    version: held.version,
                    body: held.body.clone(),
                },
                None => Answer::NotFound,
            },
            Query::Key { name } => self.keys.get(name),
            Query::Revision { group } => Answer::Revision(self.keys.revision(group)),
        }
    }

    /// The puts of a group above a revision, at most so many at once. It shows what is applied here. That may lag behind
    /// other controllers, but what is shown is never taken back.
    pub fn watch(&self, group: &str, after: u64, max_events: usize) -> WatchResult {
        self.keys.watch(group, after, max_events)
    }

    /// `apply` on bytes, as the chain carries them.
    pub fn apply_bytes(&mut self, at_ms: u64, update: &[u8]) -> Vec<u8> {
        let answer = match Update::decode(update) {
            Ok(update) => self.apply(at_ms, &update),
            Err(_) => Answer::Malformed,
        };
        answer.encode()
    }

    /// `read` on bytes, as the chain carries them.
    pub fn read_bytes(&self, query: &[u8]) -> Vec<u8> {
        let query = Query::decode(query);
        let answer = query.map_or(Answer::Malformed, |query| self.read(&query));
        answer.encode()
    }

    /// A version not above the one held is an older change that came late, or a repeat: acknowledged, and nothing more.
    fn put_configuration(&mut self, version: u64, body: &[u8]) -> Answer {
        let held = self.version();
        if self.configuration.is_some() && version <= held {
            return Answer::Configured { version: held };
        }
        let body = body.to_vec();
        self.configuration = Some(Configuration { version, body });
        Answer::Configured { version }
    }

    fn is_too_long(&self, update: &Update) -> bool {
        let limits = &self.limits;
        let is_long = |text: &str| text.len() > limits.name_bytes;
        match update {
            Update::PutConfiguration { body, .. } => body.len() > limits.configuration_bytes,
            Update::AcquireLock { name, holder, .. }
            | Update::RenewLock { name, holder, .. }
            | Update::ReleaseLock { name, holder, .. } => is_long(name) || is_long(holder),
            Update::NextNumber { name } => is_long(name),
            Update::PutKey { name, value, .. } => is_long(name) || value.len() > limits.value_bytes,
        }
    }

    /// Drops what ended long ago. It goes by the times of updates alone, so that all controllers drop the same at the
    /// same update.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.locks.forget(now_ms, self.limits.keep_ms);
            self.keys.forget(now_ms, self.limits.keep_ms);
        }
    }

    fn state_bytes(&self) -> usize {
        self.locks.bytes() + self.counters.bytes() + self.keys.state_bytes()
    }

    /// The highest time applied, in milliseconds: the next head goes on from here.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// The version of the configuration held. 0: there is none yet.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    /// The configuration held: its version and its bytes.
    pub fn configuration(&self) -> Option<(u64, &[u8])> {
        let held = self.configuration.as_ref()?;
        Some((held.version, &held.body))
    }

    /// The present revision of a group. 0: nothing was put yet.
    pub fn revision(&self, group: &str) -> u64 {
        self.keys.revision(group)
    }

    /// How much it holds at the moment.
    pub fn usage(&self) -> Usage {
        Usage {
            locks: self.locks.len(),
            counters: self.counters.len(),
            keys: self.keys.len(),
            groups: self.keys.group_count(),
            events: self.keys.event_count(),
            state_bytes: self.state_bytes(),
            history_bytes: self.keys.history_bytes(),
            configuration_bytes: self
                .configuration
                .as_ref()
                .map_or(0, |held| held.body.len()),
        }
    }
}
