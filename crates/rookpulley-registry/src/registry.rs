//! The incarnations of tasks, as heartbeats and other controllers tell of them.
//!
//! What is kept of an incarnation doesn't depend on the order in which its words came: the heartbeat of the highest number, and
//! draining or ended once and for all. So controllers that have heard the same agree.

use crate::heartbeat::{Heartbeat, names_a_incarnation};
use crate::news::{News, Outcome, Still, Word};
use rookpulley_protocol::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// An incarnation that was not heard for so many heartbeats and this slack is silent.
const SILENT_HEARTBEATS: f64 = 3.0;
const SILENT_SLACK_MS: f64 = 500.0;
/// After a start, or a pause of this process, so many heartbeats pass before silence means anything.
const SETTLING_HEARTBEATS: f64 = 2.0;
/// A controller out of touch takes heartbeats for so long; then tasks had better call another.
const UNTOUCHED_MS: f64 = 1_500.0;
/// Nobody turned the clock for so long: this process slept, and the tasks need not have been silent.
const PAUSE_MS: f64 = 1_000.0;
const REMEMBER_MS: f64 = 60_000.0;
const INCARNATIONS_MOST: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Live,
    Silent,
    Draining,
    /// An incarnation heard of later has its address.
    Displaced,
    Ended,
    Unknown,
}

/// An incarnation that has not ended.
#[derive(Clone, Copy)]
pub struct Task<'a> {
    pub heartbeat: &'a Heartbeat,
    pub standing: Standing,
    pub heard_ms: f64,
}

struct Known {
    heartbeat: Heartbeat,
    heard_ms: f64,
    silent: bool,
    /// It has sent a heartbeat here, and the other controllers don't know yet.
    fresh: bool,
}

pub struct Registry {
    heartbeat_ms: f64,
    remember_ms: f64,
    settled_ms: f64,
    ticked_ms: f64,
    touched_ms: f64,
    incarnations: BTreeMap<IncarnationId, Known>,
    /// Those that said that they end, and when.
    ended: BTreeMap<IncarnationId, f64>,
    addresses: BTreeMap<SocketAddrV4, BTreeSet<IncarnationId>>,
    version: u64,
}

impl Registry {
    pub fn new(start_ms: f64, heartbeat_ms: f64, drain_ms: f64) -> Self {
        Self {
            heartbeat_ms,
            remember_ms: REMEMBER_MS.max(4.0 * drain_ms),
            settled_ms: start_ms + SETTLING_HEARTBEATS * heartbeat_ms,
            ticked_ms: start_ms,
            touched_ms: start_ms,
            incarnations: BTreeMap::new(),
            ended: BTreeMap::new(),
            addresses: BTreeMap::new(),
            version: 0,
        }
    }

    /// Not every task that lives needs to have been heard yet.
    pub fn settling(&self, now: f64) -> bool {
        now < self.settled_ms
    }

    /// Whether this controller is in touch with most of the others now.
    pub fn touch(&mut self, now: f64, in_touch: bool) {
        if in_touch || self.settling(now) {
            self.touched_ms = now;
        }
    }

    /// Whether a heartbeat may be acknowledged here.
    pub fn takes_heartbeats(&self, now: f64) -> bool {
        now - self.touched_ms <= UNTOUCHED_MS
    }

    /// Another one each time that the standing or the facts of any incarnation change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A task's own heartbeat.
    pub fn heartbeat(&mut self, now: f64, heartbeat: Heartbeat) -> Outcome {
        self.take_heartbeat(now, now, heartbeat, true)
    }

    /// A task's own word that it ends.
    pub fn leave(&mut self, now: f64, incarnation: &str) -> Outcome {
        self.end(now, now, incarnation)
    }

    /// What another controller says.
    pub fn take_news(&mut self, now: f64, news: &News) -> Outcome {
        match news {
            News::Heartbeat { heartbeat, age_ms } => {
                self.take_heartbeat(now, now - age_ms, heartbeat.clone(), false)
            }
            News::Gone {
                incarnation,
                age_ms,
            } => self.end(now, now - age_ms, incarnation),
            News::Heard { incarnations } => {
                let mut outcome = Outcome::LATE;
                for Still {
                    incarnation,
                    sequence,
                    age_ms,
                } in incarnations
                {
                    let Some(known) = self
                        .incarnations
                        .get(incarnation)
                        .filter(|k| k.heartbeat.sequence < *sequence)
                    else {
                        continue;
                    };
                    let (sequence, heard_ms) = (*sequence, now - age_ms);
                    // It has warmed up meanwhile.
                    let cold_ms = (known.heartbeat.cold_ms - (heard_ms - known.heard_ms)).max(0.0);
                    let heartbeat = Heartbeat {
                        sequence,
                        cold_ms,
                        ..known.heartbeat.clone()
                    };
                    self.take_heartbeat(now, heard_ms, heartbeat, false);
                    outcome = Outcome::LATER;
                }
                outcome
            }
        }
    }

    /// Incarnations that a proxy knows to be gone, from this or other controllers. Gives those that are news here.
    pub fn take_gone(&mut self, now: f64, incarnations: &[IncarnationId]) -> Vec<IncarnationId> {
        incarnations
            .iter()
            .filter_map(|incarnation| self.end(now, now, incarnation).newly_draining)
            .collect()
    }

    /// All that a controller has to know that has just come in touch.
    pub fn all_news(&self, now: f64) -> Vec<News> {
        let heartbeats = self.incarnations.values().map(|known| News::Heartbeat {
            heartbeat: known.heartbeat.clone(),
            age_ms: now - known.heard_ms,
        });
        let gone = self.ended.iter().map(|(incarnation, at)| News::Gone {
            incarnation: incarnation.clone(),
            age_ms: now - at,
        });
        heartbeats.chain(gone).collect()
    }

    /// The incarnations that kept sending heartbeats here since the last call.
    pub fn fresh_news(&mut self, now: f64) -> Option<News> {
        let fresh = self
            .incarnations
            .iter_mut()
            .filter_map(|(incarnation, known)| {
                std::mem::take(&mut known.fresh).then_some((incarnation, known))
            });
        let incarnations: Vec<Still> = fresh
            .map(|(incarnation, known)| Still {
                incarnation: incarnation.clone(),
                sequence: known.heartbeat.sequence,
                age_ms: now - known.heard_ms,
            })
            .collect();
        (!incarnations.is_empty()).then_some(News::Heard { incarnations })
    }

    /// Incarnations that drain or have ended: nothing new may go there.
    pub fn gone_incarnations(&self) -> Vec<IncarnationId> {
        let draining = self
            .incarnations
            .iter()
            .filter(|(_, known)| known.heartbeat.draining)
            .map(|(incarnation, _)| incarnation);
        draining.chain(self.ended.keys()).cloned().collect()
    }

    /// Lets time pass. Gives those that have fallen silent.
    pub fn tick(&mut self, now: f64) -> Vec<IncarnationId> {
        if now - self.ticked_ms > PAUSE_MS {
            self.settled_ms = self
                .settled_ms
                .max(now + SETTLING_HEARTBEATS * self.heartbeat_ms);
        }
        self.ticked_ms = now;
        let remember_ms = self.remember_ms;
        self.ended.retain(|_, at| now - *at < remember_ms);
        let old = self
            .incarnations
            .iter()
            .filter(|(_, known)| now - known.heard_ms >= remember_ms);
        for incarnation in old
            .map(|(incarnation, _)| incarnation.clone())
            .collect::<Vec<_>>()
        {
            self.drop_incarnation(&incarnation);
        }
        let mut silent = Vec::new();
        if !self.settling(now) {
            let since = now - self.silent_ms();
            for (incarnation, known) in self
                .incarnations
                .iter_mut()
                .filter(|(_, k)| !k.silent && k.heard_ms < since)
            {
                known.silent = true;
                silent.push(incarnation.clone());
            }
        }
        self.version += u64::from(!silent.is_empty());
        silent
    }

    /// All incarnations that have not ended.
    pub fn tasks(&self) -> impl Iterator<Item = Task<'_>> {
        self.incarnations.iter().map(|(incarnation, known)| Task {
            heartbeat: &known.heartbeat,
            standing: self.standing_of(incarnation, known),
            heard_ms: known.heard_ms,
        })
    }

    /// The tasks of a service that requests may go to.
    pub fn listed(&self, service: &str) -> impl Iterator<Item = &Heartbeat> {
        let of_it = self
            .incarnations
            .iter()
            .filter(move |(_, known)| known.heartbeat.service == service);
        let live = of_it
            .filter(|(incarnation, known)| self.standing_of(incarnation, known) == Standing::Live);
        live.map(|(_, known)| &known.heartbeat)
    }

    pub fn standing(&self, incarnation: &str) -> Standing {
        match self.incarnations.get(incarnation) {
            Some(known) => self.standing_of(incarnation, known),
            None if self.ended.contains_key(incarnation) => Standing::Ended,
            None => Standing::Unknown,
        }
    }

    fn standing_of(&self, incarnation: &str, known: &Known) -> Standing {
        if known.heartbeat.draining {
            return Standing::Draining;
        }
        // Of two incarnations at one address only the later one can be there. An earlier one that still sends heartbeats gets
        // it back, so a word that was long on its way shuts nobody out for good.
        let others = self
            .addresses
            .get(&known.heartbeat.address)
            .into_iter()
            .flatten()
            .filter(|o| *o != incarnation);
        let later = |other: &&IncarnationId| {
            self.incarnations
                .get(*other)
                .is_some_and(|o| (o.heard_ms, other.as_str()) > (known.heard_ms, incarnation))
        };
        match (others.clone().any(|other| later(&other)), known.silent) {
            (true, _) => Standing::Displaced,
            (false, true) => Standing::Silent,
            (false, false) => Standing::Live,
        }
    }

    fn silent_ms(&self) -> f64 {
        SILENT_HEARTBEATS * self.heartbeat_ms + SILENT_SLACK_MS
    }

    fn take_heartbeat(
        &mut self,
        now: f64,
        heard_ms: f64,
        heartbeat: Heartbeat,
        own: bool,
    ) -> Outcome {
        if self.ended.contains_key(&heartbeat.incarnation) {
            return Outcome::LATE;
        }
        let silent = !self.settling(now) && now - heard_ms > self.silent_ms();
        let incarnation = heartbeat.incarnation.clone();
        let Some(known) = self.incarnations.get_mut(&incarnation) else {
            if now - heard_ms >= self.remember_ms || !self.make_room() {
                return Outcome::LATE;
            }
            self.version += 1;
            self.addresses
                .entry(heartbeat.address)
                .or_default()
                .insert(incarnation.clone());
            self.incarnations.insert(
                incarnation.clone(),
                Known {
                    heartbeat,
                    heard_ms,
                    silent,
                    fresh: false,
                },
            );
            return self.told(now, &incarnation, true);
        };
        let newer = heartbeat.sequence > known.heartbeat.sequence;
        let drains = heartbeat.draining && !known.heartbeat.draining;
        if !newer && !drains {
            return Outcome::LATE;
        }
        let draining = known.heartbeat.draining || heartbeat.draining;
        let (address, returns) = (known.heartbeat.address, newer && known.silent && !silent);
        let told_anew = returns || drains || (newer && !same_facts(&known.heartbeat, &heartbeat));
        if newer {
            (known.heartbeat, known.heard_ms, known.silent) = (heartbeat, heard_ms, silent);
            known.fresh |= own && !told_anew;
        }
        known.heartbeat.draining = draining;
        let moved = known.heartbeat.address;
        if moved != address {
            self.vacate(address, &incarnation);
            self.addresses
                .entry(moved)
                .or_default()
                .insert(incarnation.clone());
        }
        let contested = self
            .addresses
            .get(&moved)
            .is_some_and(|incarnations| incarnations.len() > 1);
        self.version += u64::from(told_anew || contested);
        if told_anew {
            self.told(now, &incarnation, drains)
        } else {
            Outcome::LATER
        }
    }

    /// What the others must know of an incarnation at once; `first`: of its draining, too.
    fn told(&self, now: f64, incarnation: &IncarnationId, first: bool) -> Outcome {
        let Some(known) = self.incarnations.get(incarnation) else {
            return Outcome::LATE;
        };
        let news = News::Heartbeat {
            heartbeat: known.heartbeat.clone(),
            age_ms: now - known.heard_ms,
        };
        let newly_draining = (first && known.heartbeat.draining).then(|| incarnation.clone());
        Outcome {
            word: Word::Now(news),
            newly_draining,
        }
    }

    /// An incarnation that was never heard of may end, too: its heartbeats may still be on their way.
    fn end(&mut self, now: f64, at_ms: f64, incarnation: &str) -> Outcome {
        let old = now - at_ms >= self.remember_ms && !self.incarnations.contains_key(incarnation);
        if self.ended.contains_key(incarnation) || old || !names_a_incarnation(incarnation) {
            return Outcome::LATE;
        }
        let drained = self
            .incarnations
            .get(incarnation)
            .is_some_and(|known| known.heartbeat.draining);
        self.drop_incarnation(incarnation);
        if self.ended.len() >= INCARNATIONS_MOST {
            let oldest = self
                .ended
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|(incarnation, _)| incarnation.clone());
            oldest.and_then(|incarnation| self.ended.remove(&incarnation));
        }
        self.ended.insert(incarnation.into(), at_ms);
        self.version += 1;
        let word = Word::Now(News::Gone {
            incarnation: incarnation.into(),
            age_ms: now - at_ms,
        });
        Outcome {
            word,
            newly_draining: (!drained).then(|| incarnation.into()),
        }
    }

    fn drop_incarnation(&mut self, incarnation: &str) {
        if let Some(known) = self.incarnations.remove(incarnation) {
            self.version += 1;
            self.vacate(known.heartbeat.address, incarnation);
        }
    }

    fn vacate(&mut self, address: SocketAddrV4, incarnation: &str) {
        if let Some(incarnations) = self.addresses.get_mut(&address) {
            incarnations.remove(incarnation);
            if incarnations.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    /// Where there are too many incarnations the one that has been silent longest makes room.
    fn make_room(&mut self) -> bool {
        if self.incarnations.len() < INCARNATIONS_MOST {
            return true;
        }
        let silent = self.incarnations.iter().filter(|(_, known)| known.silent);
        let oldest = silent.min_by(|a, b| a.1.heard_ms.total_cmp(&b.1.heard_ms));
        let oldest = oldest.map(|(incarnation, _)| incarnation.clone());
        oldest
            .as_ref()
            .map(|incarnation| self.drop_incarnation(incarnation))
            .is_some()
    }
}

/// Whether nothing but the count and the warmth of a task has changed.
fn same_facts(was: &Heartbeat, is: &Heartbeat) -> bool {
    (&was.service, was.address, &was.zone, was.slots)
        == (&is.service, is.address, &is.zone, is.slots)
}
