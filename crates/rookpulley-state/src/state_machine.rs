//! The state machine: applies updates at the replicated time, with which the head of the chain stamps each update.

use crate::counters::Counters;
use crate::duties::{Duties, DutyLease, DutyRequest};
use crate::key_value::{KeyValueStore, Put, WatchResult};
use crate::limits::{Limits, Usage};
use crate::locks::Locks;
use crate::requests::{Answer, Query, Update};
use crate::usage_ledger::UsageLedger;
use serde::{Deserialize, Serialize, Serializer};

/// Interval between sweeps of expired leases and events.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// Serializes bytes as one slice instead of element by element, which is faster and has the same encoding.
fn serialize_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A configuration as sent by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Configuration {
    pub version: u64,
    #[serde(serialize_with = "serialize_bytes")]
    pub body: Vec<u8>,
}

/// The replicated state. Applying the same updates with the same times yields the same state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    pub(crate) limits: Limits,
    /// Highest replicated time so far. It never decreases, even if an update has an earlier timestamp.
    pub(crate) at_ms: u64,
    pub(crate) swept_ms: u64,
    /// The configuration with the highest version received.
    pub(crate) configuration: Option<Configuration>,
    pub(crate) locks: Locks,
    pub(crate) counters: Counters,
    pub(crate) keys: KeyValueStore,
    pub(crate) usage: UsageLedger,
    pub(crate) duties: Duties,
}

impl StateMachine {
    /// Creates an empty state with the given limits.
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
        let available_bytes = limits.state_bytes.saturating_sub(self.state_bytes());
        match update {
            Update::PutConfiguration { version, body } => self.put_configuration(*version, body),
            Update::AcquireLock {
                name,
                holder,
                lease_ms,
            } => self
                .locks
                .acquire(now, name, holder, *lease_ms, available_bytes, &limits),
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
            } => self.locks.release(now, name, holder, *fence, &limits),
            Update::NextNumber { name } => self.counters.next(name, available_bytes, &limits),
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
                self.keys.put(now, put, available_bytes, &limits)
            }
            Update::RecordUsage { proxies } => self.usage.record(proxies, limits.usage_bytes),
            Update::CloseUsage { window } => self.usage.close(*window, limits.usage_bytes),
            Update::UsageReported { window } => self.usage.reported(*window),
            Update::AcquireDuty {
                duty,
                holder,
                lease_ms,
                above,
            } => {
                let request = DutyRequest {
                    duty,
                    holder,
                    lease_ms: *lease_ms,
                    above: *above,
                };
                self.duties.acquire(now, &request, available_bytes, &limits)
            }
            Update::ReleaseDuty {
                duty,
                holder,
                fence,
            } => self.duties.release(duty, holder, *fence),
        }
    }

    /// Answers a query from the local state.
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
            Query::ConfigurationVersion => Answer::Configured {
                version: self.version(),
            },
        }
    }

    /// Returns at most `max_events` puts of a group above the revision `after`. The local state may lag behind other
    /// controllers, but applied puts are never rolled back.
    pub fn watch(&self, group: &str, after: u64, max_events: usize) -> WatchResult {
        self.keys.watch(group, after, max_events)
    }

    /// Applies an encoded update and returns the encoded answer.
    pub fn apply_bytes(&mut self, at_ms: u64, update: &[u8]) -> Vec<u8> {
        let answer = match Update::decode(update) {
            Ok(update) => self.apply(at_ms, &update),
            Err(_) => Answer::Malformed,
        };
        answer.encode()
    }

    /// Answers an encoded query with an encoded answer.
    pub fn read_bytes(&self, query: &[u8]) -> Vec<u8> {
        let query = Query::decode(query);
        let answer = query.map_or(Answer::Malformed, |query| self.read(&query));
        answer.encode()
    }

    /// Stores a configuration. One that is not newer is a late or repeated update: acknowledged without effect.
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
            Update::RecordUsage { proxies } => {
                let windows = proxies.iter().flat_map(|proxy| &proxy.windows);
                let mut tenants = windows.flat_map(|window| &window.tenants);
                tenants.any(|usage| is_long(&usage.tenant))
            }
            Update::CloseUsage { .. } | Update::UsageReported { .. } => false,
            Update::AcquireDuty { duty, holder, .. } | Update::ReleaseDuty { duty, holder, .. } => {
                is_long(duty) || is_long(holder)
            }
        }
    }

    /// Removes expired leases and events. It depends only on the replicated time, so all controllers remove the same
    /// entries at the same update.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            let limits = self.limits;
            self.locks
                .remove_expired(now_ms, limits.retention_ms, &limits);
            self.keys.remove_expired(now_ms, limits.retention_ms);
        }
    }

    fn state_bytes(&self) -> usize {
        self.locks.bytes() + self.counters.bytes() + self.keys.state_bytes() + self.duties.bytes()
    }

    /// Highest replicated time applied, in milliseconds. A new head of the chain continues from it.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Version of the current configuration, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    /// Version and bytes of the current configuration.
    pub fn configuration(&self) -> Option<(u64, &[u8])> {
        let held = self.configuration.as_ref()?;
        Some((held.version, &held.body))
    }

    /// Current revision of a group, or 0 if nothing was put yet.
    pub fn revision(&self, group: &str) -> u64 {
        self.keys.revision(group)
    }

    /// Counts of requests by tenant and window, and their reports.
    pub fn usage_ledger(&self) -> &UsageLedger {
        &self.usage
    }

    /// The last lease of a duty.
    pub fn duty(&self, name: &str) -> Option<DutyLease<'_>> {
        self.duties.get(name)
    }

    /// The last lease of each duty, in the order of their names.
    pub fn duties(&self) -> impl Iterator<Item = (&str, DutyLease<'_>)> {
        self.duties.iter()
    }

    /// Current usage of the state.
    pub fn usage(&self) -> Usage {
        Usage {
            locks: self.locks.len(),
            counters: self.counters.len(),
            keys: self.keys.len(),
            groups: self.keys.group_count(),
            events: self.keys.event_count(),
            duties: self.duties.len(),
            usage_reports: self.usage.report_count(),
            state_bytes: self.state_bytes(),
            history_bytes: self.keys.history_bytes(),
            usage_bytes: self.usage.bytes(),
            configuration_bytes: self
                .configuration
                .as_ref()
                .map_or(0, |held| held.body.len()),
        }
    }
}
