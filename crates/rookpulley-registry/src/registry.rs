//! Which incarnations of instances there are, and which of them may get requests.
//!
//! Invariant: what is stored of an incarnation doesn't depend on the order in which its heartbeats and updates came. It
//! is the heartbeat with the highest number, and draining or ended once and for all. So controllers that have heard the
//! same agree.

use crate::heartbeat::{Heartbeat, is_incarnation_id};
use crate::instance_update::{InstanceUpdate, Propagation, Refresh, UpdateOutcome};
use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// An incarnation that was not heard for so many heartbeats and this slack is silent.
const SILENT_HEARTBEATS: f64 = 3.0;
const SILENT_SLACK_MS: f64 = 500.0;
/// After a start, or a stall of this process, so many heartbeats pass before silence means anything.
const SETTLING_HEARTBEATS: f64 = 2.0;
/// A controller that is out of touch takes heartbeats for so long; then instances had better call another one.
const OUT_OF_TOUCH_MS: f64 = 1_500.0;
/// Ticks that are so far apart show that this process did not run, and instances need not have been silent.
const STALL_MS: f64 = 1_000.0;
/// An incarnation is remembered for so long after it was last heard, or ended, and for `REMEMBER_DRAINS` drains at least.
const REMEMBER_MS: f64 = 60_000.0;
const REMEMBER_DRAINS: f64 = 4.0;
const MAX_INCARNATIONS: usize = 20_000;

/// What an incarnation may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStatus {
    /// It may get requests.
    Live,
    /// It was not heard for a while.
    Silent,
    /// It has said that it leaves.
    Draining,
    /// An incarnation that was heard later has its address.
    Displaced,
    /// It has said that it has left.
    Ended,
    /// It was never heard, or not for very long.
    Unknown,
}

/// An incarnation that has not ended.
#[derive(Clone, Copy)]
pub struct Instance<'a> {
    /// Its heartbeat with the highest number.
    pub heartbeat: &'a Heartbeat,
    /// What it may be used for.
    pub status: InstanceStatus,
    /// When it was last heard, in milliseconds of this process's clock.
    pub heard_ms: f64,
}

struct InstanceRecord {
    heartbeat: Heartbeat,
    heard_ms: f64,
    silent: bool,
    /// It has sent a heartbeat here that other controllers don't know of yet.
    needs_refresh: bool,
}

/// All incarnations that a controller knows of.
pub struct Registry {
    heartbeat_ms: f64,
    remember_ms: f64,
    /// Until then not all instances need to have been heard.
    settled_ms: f64,
    ticked_ms: f64,
    /// When this controller was last in touch.
    in_touch_ms: f64,
    incarnations: BTreeMap<IncarnationId, InstanceRecord>,
    /// When each ended.
    ended_ms: BTreeMap<IncarnationId, f64>,
    by_address: BTreeMap<SocketAddrV4, BTreeSet<IncarnationId>>,
    version: u64,
}

impl Registry {
    /// An empty registry at the time `start_ms`. `heartbeat_ms`: how often instances send heartbeats; `drain_ms`: how long
    /// an instance serves on after its drain was acknowledged.
    pub fn new(start_ms: f64, heartbeat_ms: f64, drain_ms: f64) -> Self {
        Self {
            heartbeat_ms,
            remember_ms: REMEMBER_MS.max(REMEMBER_DRAINS * drain_ms),
            settled_ms: start_ms + SETTLING_HEARTBEATS * heartbeat_ms,
            ticked_ms: start_ms,
            in_touch_ms: start_ms,
            incarnations: BTreeMap::new(),
            ended_ms: BTreeMap::new(),
            by_address: BTreeMap::new(),
            version: 0,
        }
    }

    /// Whether not all live instances need to have been heard yet.
    pub fn is_settling(&self, now: f64) -> bool {
        now < self.settled_ms
    }

    /// Whether this controller is in touch with most of the others now.
    pub fn set_in_touch(&mut self, now: f64, in_touch: bool) {
        if in_touch || self.is_settling(now) {
            self.in_touch_ms = now;
        }
    }

    /// Whether a heartbeat may be acknowledged here.
    pub fn accepts_heartbeats(&self, now: f64) -> bool {
        now - self.in_touch_ms <= OUT_OF_TOUCH_MS
    }

    /// Another number each time that the status or the facts of any incarnation change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes an instance's own heartbeat.
    pub fn heartbeat(&mut self, now: f64, heartbeat: Heartbeat) -> UpdateOutcome {
        self.take_heartbeat(now, now, heartbeat, true)
    }

    /// Takes an instance's own message that it has left.
    pub fn leave(&mut self, now: f64, incarnation: &str) -> UpdateOutcome {
        self.end(now, now, incarnation)
    }

    /// Takes what another controller has sent.
    pub fn apply_update(&mut self, now: f64, update: &InstanceUpdate) -> UpdateOutcome {
        match update {
            InstanceUpdate::Heartbeat { heartbeat, age_ms } => {
                self.take_heartbeat(now, now - age_ms, heartbeat.clone(), false)
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

    /// A later heartbeat that changed nothing. False: a later one is known, or the incarnation isn't.
    fn refresh(&mut self, now: f64, refresh: &Refresh) -> bool {
        let is_later = |record: &&InstanceRecord| record.heartbeat.sequence < refresh.sequence;
        let record = self.incarnations.get(&refresh.incarnation);
        let Some(record) = record.filter(is_later) else {
            return false;
        };
        let heard_ms = now - refresh.age_ms;
        // It has warmed up meanwhile.
        let warmed_up_ms = heard_ms - record.heard_ms;
        let heartbeat = Heartbeat {
            sequence: refresh.sequence,
            warm_up_ms: (record.heartbeat.warm_up_ms - warmed_up_ms).max(0.0),
            ..record.heartbeat.clone()
        };
        self.take_heartbeat(now, heard_ms, heartbeat, false);
        true
    }

    /// Takes incarnations that a proxy knows to be gone, from this or other controllers. Returns those that are news here.
    pub fn apply_gone(&mut self, now: f64, incarnations: &[IncarnationId]) -> Vec<IncarnationId> {
        incarnations
            .iter()
            .filter_map(|incarnation| self.end(now, now, incarnation).newly_draining)
            .collect()
    }

    /// All that a controller has to know that has just come in touch.
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

    /// The incarnations that have sent heartbeats here since the last call and that others don't know of yet.
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

    /// The incarnations that are draining or have ended: nothing new may go there.
    pub fn gone_incarnations(&self) -> Vec<IncarnationId> {
        let draining = self.incarnations.iter();
        let draining = draining.filter(|(_, record)| record.heartbeat.draining);
        let draining = draining.map(|(incarnation, _)| incarnation);
        draining.chain(self.ended_ms.keys()).cloned().collect()
    }

    /// Lets time pass. Returns the incarnations that have fallen silent.
    pub fn tick(&mut self, now: f64) -> Vec<IncarnationId> {
        if now - self.ticked_ms > STALL_MS {
            let settled_ms = now + SETTLING_HEARTBEATS * self.heartbeat_ms;
            self.settled_ms = self.settled_ms.max(settled_ms);
        }
        self.ticked_ms = now;
        self.forget_old(now);
        if self.is_settling(now) {
            return Vec::new();
        }
        let silent_since = now - self.silent_ms();
        let mut fallen_silent = Vec::new();
        for (incarnation, record) in &mut self.incarnations {
            if !record.silent && record.heard_ms < silent_since {
                record.silent = true;
                fallen_silent.push(incarnation.clone());
            }
        }
        self.version += u64::from(!fallen_silent.is_empty());
        fallen_silent
    }

    fn forget_old(&mut self, now: f64) {
        let remember_ms = self.remember_ms;
        self.ended_ms.retain(|_, at| now - *at < remember_ms);
        let old = self.incarnations.iter();
        let old = old.filter(|(_, record)| now - record.heard_ms >= remember_ms);
        let old: Vec<IncarnationId> = old.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in old {
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

    /// What an incarnation may be used for.
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

    /// Of two incarnations at one address only the later one can be there. An earlier one that still sends heartbeats
    /// gets the address back, so a message that was long on its way shuts nobody out for good.
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

    fn silent_ms(&self) -> f64 {
        SILENT_HEARTBEATS * self.heartbeat_ms + SILENT_SLACK_MS
    }

    /// `own`: it came from the instance itself, and not from another controller.
    fn take_heartbeat(
        &mut self,
        now: f64,
        heard_ms: f64,
        heartbeat: Heartbeat,
        own: bool,
    ) -> UpdateOutcome {
        if self.ended_ms.contains_key(&heartbeat.incarnation) {
            return UpdateOutcome::STALE;
        }
        let silent = !self.is_settling(now) && now - heard_ms > self.silent_ms();
        let incarnation = heartbeat.incarnation.clone();
        let Some(record) = self.incarnations.get_mut(&incarnation) else {
            return self.add(now, heard_ms, heartbeat, silent);
        };
        let is_newer = heartbeat.sequence > record.heartbeat.sequence;
        let starts_to_drain = heartbeat.draining && !record.heartbeat.draining;
        if !is_newer && !starts_to_drain {
            return UpdateOutcome::STALE;
        }
        let draining = record.heartbeat.draining || heartbeat.draining;
        let address_before = record.heartbeat.address;
        let comes_back = is_newer && record.silent && !silent;
        let facts_change = is_newer && !same_facts(&record.heartbeat, &heartbeat);
        let is_news = comes_back || starts_to_drain || facts_change;
        if is_newer {
            record.heartbeat = heartbeat;
            record.heard_ms = heard_ms;
            record.silent = silent;
            record.needs_refresh |= own && !is_news;
        }
        record.heartbeat.draining = draining;
        let address = record.heartbeat.address;
        if address != address_before {
            self.vacate(address_before, &incarnation);
            self.occupy(address, &incarnation);
        }
        let at_address = self.by_address.get(&address).map_or(0, BTreeSet::len);
        let is_contested = at_address > 1;
        self.version += u64::from(is_news || is_contested);
        if is_news {
            self.announce(now, &incarnation, starts_to_drain)
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
        if now - heard_ms >= self.remember_ms || !self.make_room() {
            return UpdateOutcome::STALE;
        }
        self.version += 1;
        let incarnation = heartbeat.incarnation.clone();
        self.occupy(heartbeat.address, &incarnation);
        let record = InstanceRecord {
            heartbeat,
            heard_ms,
            silent,
            needs_refresh: false,
        };
        self.incarnations.insert(incarnation.clone(), record);
        self.announce(now, &incarnation, true)
    }

    /// What the others must know of an incarnation at once. `is_new`: it, or its draining, was not known before.
    fn announce(&self, now: f64, incarnation: &str, is_new: bool) -> UpdateOutcome {
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

    /// An incarnation that was never heard of may end, too: its heartbeats may still be on their way.
    fn end(&mut self, now: f64, at_ms: f64, incarnation: &str) -> UpdateOutcome {
        let is_known = self.incarnations.contains_key(incarnation);
        let is_old = now - at_ms >= self.remember_ms && !is_known;
        if self.ended_ms.contains_key(incarnation) || is_old || !is_incarnation_id(incarnation) {
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
            self.vacate(record.heartbeat.address, incarnation);
        }
    }

    fn occupy(&mut self, address: SocketAddrV4, incarnation: &str) {
        let at_address = self.by_address.entry(address).or_default();
        at_address.insert(incarnation.into());
    }

    fn vacate(&mut self, address: SocketAddrV4, incarnation: &str) {
        if let Some(at_address) = self.by_address.get_mut(&address) {
            at_address.remove(incarnation);
            if at_address.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Where there are too many incarnations, the one that has been silent longest makes room. False: none is silent.
    fn make_room(&mut self) -> bool {
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

/// Whether nothing but the number and the warm-up of an instance has changed.
fn same_facts(before: &Heartbeat, after: &Heartbeat) -> bool {
    before.service == after.service
        && before.address == after.address
        && before.zone == after.zone
        && before.slots == after.slots
}
