//! Known incarnations of instances and their status.
//!
//! Invariant: the state of an incarnation doesn't depend on the order in which its heartbeats and updates arrive. It is
//! the heartbeat with the highest sequence number; draining and ended are permanent. Controllers that have received the
//! same updates therefore converge.

use crate::heartbeat::{Heartbeat, is_incarnation_id};
use crate::instance_update::{InstanceUpdate, Propagation, Refresh, UpdateOutcome};
use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// An incarnation is silent after this many missed heartbeats plus the slack.
const SILENT_HEARTBEATS: f64 = 3.0;
const SILENT_SLACK_MS: f64 = 500.0;
/// Heartbeat intervals after a start or a stall of this process during which no incarnation is declared silent.
const SETTLING_HEARTBEATS: f64 = 2.0;
/// How long a controller without contact to a majority still accepts heartbeats. After that, instances should call
/// another controller.
const ISOLATION_GRACE_MS: f64 = 1_500.0;
/// A longer gap between ticks means that this process was stalled, so missing heartbeats prove nothing.
const STALL_MS: f64 = 1_000.0;
/// How long an incarnation is kept after its last heartbeat or its end, and at least `RETENTION_DRAINS` times the drain
/// period.
const RETENTION_MS: f64 = 60_000.0;
const RETENTION_DRAINS: f64 = 4.0;
const MAX_INCARNATIONS: usize = 20_000;

/// Status of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStatus {
    /// May get requests.
    Live,
    /// Has missed several heartbeats.
    Silent,
    /// Has announced that it is shutting down.
    Draining,
    /// A more recent incarnation uses the same address.
    Displaced,
    /// Has deregistered.
    Ended,
    /// Never seen, or no longer remembered.
    Unknown,
}

/// An incarnation that has not ended.
#[derive(Clone, Copy)]
pub struct Instance<'a> {
    /// The heartbeat with the highest sequence number.
    pub heartbeat: &'a Heartbeat,
    /// Current status.
    pub status: InstanceStatus,
    /// When the last heartbeat was received by any controller, in milliseconds of the local clock.
    pub heard_ms: f64,
}

struct InstanceRecord {
    heartbeat: Heartbeat,
    heard_ms: f64,
    silent: bool,
    /// A heartbeat received here has not been sent to the other controllers yet.
    needs_refresh: bool,
}

/// All incarnations known to a controller.
pub struct Registry {
    heartbeat_ms: f64,
    retention_ms: f64,
    /// Until this time, live instances may not have sent a heartbeat yet.
    settled_ms: f64,
    ticked_ms: f64,
    /// When this controller last had contact with a majority, or was settling.
    majority_ms: f64,
    incarnations: BTreeMap<IncarnationId, InstanceRecord>,
    /// End time of ended incarnations.
    ended_ms: BTreeMap<IncarnationId, f64>,
    by_address: BTreeMap<SocketAddrV4, BTreeSet<IncarnationId>>,
    version: u64,
}

impl Registry {
    /// Creates an empty registry at `start_ms`. `heartbeat_ms` is the heartbeat interval; `drain_ms` is how long an
    /// instance keeps serving after its drain was acknowledged.
    pub fn new(start_ms: f64, heartbeat_ms: f64, drain_ms: f64) -> Self {
        Self {
            heartbeat_ms,
            retention_ms: RETENTION_MS.max(RETENTION_DRAINS * drain_ms),
            settled_ms: start_ms + SETTLING_HEARTBEATS * heartbeat_ms,
            ticked_ms: start_ms,
            majority_ms: start_ms,
            incarnations: BTreeMap::new(),
            ended_ms: BTreeMap::new(),
            by_address: BTreeMap::new(),
            version: 0,
        }
    }

    /// Whether live instances may not have sent a heartbeat yet.
    pub fn is_settling(&self, now: f64) -> bool {
        now < self.settled_ms
    }

    /// Updates whether this controller has contact with a majority of the controllers.
    pub fn set_has_majority(&mut self, now: f64, has_majority: bool) {
        if has_majority || self.is_settling(now) {
            self.majority_ms = now;
        }
    }

    /// Whether this controller may acknowledge heartbeats.
    pub fn accepts_heartbeats(&self, now: f64) -> bool {
        now - self.majority_ms <= ISOLATION_GRACE_MS
    }

    /// Increases whenever the status or the attributes of an incarnation change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a heartbeat received from an instance.
    pub fn heartbeat(&mut self, now: f64, heartbeat: Heartbeat) -> UpdateOutcome {
        self.apply_heartbeat(now, now, heartbeat, true)
    }

    /// Applies a deregistration received from an instance.
    pub fn leave(&mut self, now: f64, incarnation: &str) -> UpdateOutcome {
        self.end(now, now, incarnation)
    }

    /// Applies an update received from another controller.
    pub fn apply_update(&mut self, now: f64, update: &InstanceUpdate) -> UpdateOutcome {
        match update {
            InstanceUpdate::Heartbeat { heartbeat, age_ms } => {
                self.apply_heartbeat(now, now - age_ms, heartbeat.clone(), false)
            }
            InstanceUpdate::Gone {
                incarnation,
                age_ms,
            } => self.end(now, now - age_ms, incarnation),
            InstanceUpdate::Refreshed { incarnations } => {
                let mut outcome = UpdateOutcome::STALE;
                for refresh in incarnations {
                    if self.refresh(now, refresh) {
                        outcome = UpdateOutcome::BATCHED;
                    }
                }
                outcome
            }
        }
    }

    /// Applies a later heartbeat without changes. Returns false if it is outdated or the incarnation is unknown.
    fn refresh(&mut self, now: f64, refresh: &Refresh) -> bool {
        let is_later = |record: &&InstanceRecord| record.heartbeat.sequence < refresh.sequence;
        let record = self.incarnations.get(&refresh.incarnation);
        let Some(record) = record.filter(is_later) else {
            return false;
        };
        let heard_ms = now - refresh.age_ms;
        let warmed_up_ms = heard_ms - record.heard_ms;
        let heartbeat = Heartbeat {
            sequence: refresh.sequence,
            warm_up_ms: (record.heartbeat.warm_up_ms - warmed_up_ms).max(0.0),
            ..record.heartbeat.clone()
        };
        self.apply_heartbeat(now, heard_ms, heartbeat, false);
        true
    }

    /// Applies incarnations that a proxy reports as gone. Returns those that were not yet draining or ended here.
    pub fn apply_gone(&mut self, now: f64, incarnations: &[IncarnationId]) -> Vec<IncarnationId> {
        incarnations
            .iter()
            .filter_map(|incarnation| self.end(now, now, incarnation).newly_draining)
            .collect()
    }

    /// The complete state as updates, for a controller that has just connected.
    pub fn all_updates(&self, now: f64) -> Vec<InstanceUpdate> {
        let heartbeats = self.incarnations.values();
        let heartbeats = heartbeats.map(|record| InstanceUpdate::Heartbeat {
            heartbeat: record.heartbeat.clone(),
            age_ms: now - record.heard_ms,
        });
        let gone = self.ended_ms.iter();
        let gone = gone.map(|(incarnation, at)| InstanceUpdate::Gone {
            incarnation: incarnation.clone(),
            age_ms: now - at,
        });
        heartbeats.chain(gone).collect()
    }

    /// Drains the pending refreshes: incarnations whose unchanged heartbeats were received here since the last call.
    pub fn take_refreshes(&mut self, now: f64) -> Option<InstanceUpdate> {
        let mut incarnations = Vec::new();
        for (incarnation, record) in &mut self.incarnations {
            if std::mem::take(&mut record.needs_refresh) {
                incarnations.push(Refresh {
                    incarnation: incarnation.clone(),
                    sequence: record.heartbeat.sequence,
                    age_ms: now - record.heard_ms,
                });
            }
        }
        (!incarnations.is_empty()).then_some(InstanceUpdate::Refreshed { incarnations })
    }

    /// The incarnations that are draining or have ended and must get no new requests.
    pub fn gone_incarnations(&self) -> Vec<IncarnationId> {
        let draining = self.incarnations.iter();
        let draining = draining.filter(|(_, record)| record.heartbeat.draining);
        let draining = draining.map(|(incarnation, _)| incarnation);
        draining.chain(self.ended_ms.keys()).cloned().collect()
    }

    /// Updates time-dependent state. Returns the incarnations that have become silent.
    pub fn tick(&mut self, now: f64) -> Vec<IncarnationId> {
        if now - self.ticked_ms > STALL_MS {
            let settled_ms = now + SETTLING_HEARTBEATS * self.heartbeat_ms;
            self.settled_ms = self.settled_ms.max(settled_ms);
        }
        self.ticked_ms = now;
        self.remove_expired(now);
        if self.is_settling(now) {
            return Vec::new();
        }
        let silent_since = now - self.silence_timeout_ms();
        let mut newly_silent = Vec::new();
        for (incarnation, record) in &mut self.incarnations {
            if !record.silent && record.heard_ms < silent_since {
                record.silent = true;
                newly_silent.push(incarnation.clone());
            }
        }
        self.version += u64::from(!newly_silent.is_empty());
        newly_silent
    }

    fn remove_expired(&mut self, now: f64) {
        let retention_ms = self.retention_ms;
        self.ended_ms.retain(|_, at| now - *at < retention_ms);
        let expired = self.incarnations.iter();
        let expired = expired.filter(|(_, record)| now - record.heard_ms >= retention_ms);
        let expired: Vec<IncarnationId> = expired
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in expired {
            self.remove(&incarnation);
        }
    }

    /// All incarnations that have not ended.
    pub fn instances(&self) -> impl Iterator<Item = Instance<'_>> {
        let instances = self.incarnations.iter();
        instances.map(|(incarnation, record)| Instance {
            heartbeat: &record.heartbeat,
            status: self.status_of(incarnation, record),
            heard_ms: record.heard_ms,
        })
    }

    /// The instances of a service that may get requests.
    pub fn live_instances(&self, service: &str) -> impl Iterator<Item = &Heartbeat> {
        let of_service = self.incarnations.iter();
        let of_service = of_service.filter(move |(_, record)| record.heartbeat.service == service);
        let is_live = |incarnation: &str, record: &InstanceRecord| {
            self.status_of(incarnation, record) == InstanceStatus::Live
        };
        of_service
            .filter(move |(incarnation, record)| is_live(incarnation, record))
            .map(|(_, record)| &record.heartbeat)
    }

    /// The status of an incarnation.
    pub fn status(&self, incarnation: &str) -> InstanceStatus {
        match self.incarnations.get(incarnation) {
            Some(record) => self.status_of(incarnation, record),
            None if self.ended_ms.contains_key(incarnation) => InstanceStatus::Ended,
            None => InstanceStatus::Unknown,
        }
    }

    fn status_of(&self, incarnation: &str, record: &InstanceRecord) -> InstanceStatus {
        if record.heartbeat.draining {
            InstanceStatus::Draining
        } else if self.is_displaced(incarnation, record) {
            InstanceStatus::Displaced
        } else if record.silent {
            InstanceStatus::Silent
        } else {
            InstanceStatus::Live
        }
    }

    /// Whether another incarnation at the same address was heard more recently. Not permanent: an incarnation that
    /// keeps sending heartbeats regains its address after a delayed heartbeat of its predecessor.
    fn is_displaced(&self, incarnation: &str, record: &InstanceRecord) -> bool {
        let at_address = self.by_address.get(&record.heartbeat.address);
        let mut others = at_address.into_iter().flatten();
        others.any(|other| {
            let Some(other_record) = self.incarnations.get(other) else {
                return false;
            };
            let is_other = other != incarnation;
            let ours = (record.heard_ms, incarnation);
            is_other && (other_record.heard_ms, other.as_str()) > ours
        })
    }

    fn silence_timeout_ms(&self) -> f64 {
        SILENT_HEARTBEATS * self.heartbeat_ms + SILENT_SLACK_MS
    }

    /// `is_direct`: received from the instance itself, not from another controller.
    fn apply_heartbeat(
        &mut self,
        now: f64,
        heard_ms: f64,
        heartbeat: Heartbeat,
        is_direct: bool,
    ) -> UpdateOutcome {
        if self.ended_ms.contains_key(&heartbeat.incarnation) {
            return UpdateOutcome::STALE;
        }
        let silent = !self.is_settling(now) && now - heard_ms > self.silence_timeout_ms();
        let incarnation = heartbeat.incarnation.clone();
        let Some(record) = self.incarnations.get_mut(&incarnation) else {
            return self.add(now, heard_ms, heartbeat, silent);
        };
        let is_newer = heartbeat.sequence > record.heartbeat.sequence;
        let starts_draining = heartbeat.draining && !record.heartbeat.draining;
        if !is_newer && !starts_draining {
            return UpdateOutcome::STALE;
        }
        let draining = record.heartbeat.draining || heartbeat.draining;
        let previous_address = record.heartbeat.address;
        let recovers = is_newer && record.silent && !silent;
        let attributes_change = is_newer && !same_attributes(&record.heartbeat, &heartbeat);
        let is_change = recovers || starts_draining || attributes_change;
        if is_newer {
            record.heartbeat = heartbeat;
            record.heard_ms = heard_ms;
            record.silent = silent;
            record.needs_refresh |= is_direct && !is_change;
        }
        record.heartbeat.draining = draining;
        let address = record.heartbeat.address;
        if address != previous_address {
            self.release_address(previous_address, &incarnation);
            self.claim_address(address, &incarnation);
        }
        let at_address = self.by_address.get(&address).map_or(0, BTreeSet::len);
        let is_contested = at_address > 1;
        self.version += u64::from(is_change || is_contested);
        if is_change {
            self.immediate_update(now, &incarnation, starts_draining)
        } else {
            UpdateOutcome::BATCHED
        }
    }

    fn add(
        &mut self,
        now: f64,
        heard_ms: f64,
        heartbeat: Heartbeat,
        silent: bool,
    ) -> UpdateOutcome {
        if now - heard_ms >= self.retention_ms || !self.ensure_capacity() {
            return UpdateOutcome::STALE;
        }
        self.version += 1;
        let incarnation = heartbeat.incarnation.clone();
        self.claim_address(heartbeat.address, &incarnation);
        let record = InstanceRecord {
            heartbeat,
            heard_ms,
            silent,
            needs_refresh: false,
        };
        self.incarnations.insert(incarnation.clone(), record);
        self.immediate_update(now, &incarnation, true)
    }

    /// The outcome that propagates an incarnation immediately. `is_new`: the incarnation or its draining was unknown.
    fn immediate_update(&self, now: f64, incarnation: &str, is_new: bool) -> UpdateOutcome {
        let Some(record) = self.incarnations.get(incarnation) else {
            return UpdateOutcome::STALE;
        };
        let update = InstanceUpdate::Heartbeat {
            heartbeat: record.heartbeat.clone(),
            age_ms: now - record.heard_ms,
        };
        let newly_draining = is_new && record.heartbeat.draining;
        UpdateOutcome {
            propagation: Propagation::Immediate(update),
            newly_draining: newly_draining.then(|| incarnation.into()),
        }
    }

    /// Marks an incarnation as ended. Unknown incarnations are recorded too, as their heartbeats may arrive later.
    fn end(&mut self, now: f64, at_ms: f64, incarnation: &str) -> UpdateOutcome {
        let is_known = self.incarnations.contains_key(incarnation);
        let is_expired = now - at_ms >= self.retention_ms && !is_known;
        if self.ended_ms.contains_key(incarnation) || is_expired || !is_incarnation_id(incarnation)
        {
            return UpdateOutcome::STALE;
        }
        let was_draining = self.status(incarnation) == InstanceStatus::Draining;
        self.remove(incarnation);
        if self.ended_ms.len() >= MAX_INCARNATIONS {
            let oldest = self.ended_ms.iter().min_by(|a, b| a.1.total_cmp(b.1));
            let oldest = oldest.map(|(incarnation, _)| incarnation.clone());
            oldest.and_then(|incarnation| self.ended_ms.remove(&incarnation));
        }
        self.ended_ms.insert(incarnation.into(), at_ms);
        self.version += 1;
        let update = InstanceUpdate::Gone {
            incarnation: incarnation.into(),
            age_ms: now - at_ms,
        };
        UpdateOutcome {
            propagation: Propagation::Immediate(update),
            newly_draining: (!was_draining).then(|| incarnation.into()),
        }
    }

    fn remove(&mut self, incarnation: &str) {
        if let Some(record) = self.incarnations.remove(incarnation) {
            self.version += 1;
            self.release_address(record.heartbeat.address, incarnation);
        }
    }

    fn claim_address(&mut self, address: SocketAddrV4, incarnation: &str) {
        let at_address = self.by_address.entry(address).or_default();
        at_address.insert(incarnation.into());
    }

    fn release_address(&mut self, address: SocketAddrV4, incarnation: &str) {
        if let Some(at_address) = self.by_address.get_mut(&address) {
            at_address.remove(incarnation);
            if at_address.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// At the limit, evicts the incarnation that has been silent longest. Returns false if none is silent.
    fn ensure_capacity(&mut self) -> bool {
        if self.incarnations.len() < MAX_INCARNATIONS {
            return true;
        }
        let silent = self.incarnations.iter();
        let silent = silent.filter(|(_, record)| record.silent);
        let oldest = silent.min_by(|a, b| a.1.heard_ms.total_cmp(&b.1.heard_ms));
        let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) else {
            return false;
        };
        self.remove(&oldest);
        true
    }
}

/// Whether the heartbeats agree in the attributes that tables depend on.
fn same_attributes(before: &Heartbeat, after: &Heartbeat) -> bool {
    before.service == after.service
        && before.address == after.address
        && before.zone == after.zone
        && before.slots == after.slots
}
