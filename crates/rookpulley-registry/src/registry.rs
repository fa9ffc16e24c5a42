//! The lives of tasks, as beats and other controllers tell of them.
//!
//! What is kept of a life doesn't depend on the order in which its words came: the beat of the highest number, and
//! draining or ended once and for all. So controllers that have heard the same agree.

use crate::beat::{Beat, names_a_life};
use crate::news::{News, Outcome, Still, Word};
use rookpulley_protocol::Life;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// A life that was not heard for so many heartbeats and this slack is silent.
const SILENT_BEATS: f64 = 3.0;
const SILENT_SLACK_MS: f64 = 500.0;
/// After a start, or a pause of this process, so many heartbeats pass before silence means anything.
const SETTLING_BEATS: f64 = 2.0;
/// A controller out of touch takes beats for so long; then tasks had better call another.
const UNTOUCHED_MS: f64 = 1_500.0;
/// Nobody turned the clock for so long: this process slept, and the tasks need not have been silent.
const PAUSE_MS: f64 = 1_000.0;
const REMEMBER_MS: f64 = 60_000.0;
const LIVES_MOST: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Live,
    Silent,
    Draining,
    /// A life heard of later has its address.
    Displaced,
    Ended,
    Unknown,
}

/// A life that has not ended.
#[derive(Clone, Copy)]
pub struct Task<'a> {
    pub beat: &'a Beat,
    pub standing: Standing,
    pub heard_ms: f64,
}

struct Known {
    beat: Beat,
    heard_ms: f64,
    silent: bool,
    /// It has beaten here, and the other controllers don't know yet.
    fresh: bool,
}

pub struct Registry {
    heartbeat_ms: f64,
    remember_ms: f64,
    settled_ms: f64,
    ticked_ms: f64,
    touched_ms: f64,
    lives: BTreeMap<Life, Known>,
    /// Those that said that they end, and when.
    ended: BTreeMap<Life, f64>,
    addresses: BTreeMap<SocketAddrV4, BTreeSet<Life>>,
    version: u64,
}

impl Registry {
    pub fn new(start_ms: f64, heartbeat_ms: f64, drain_ms: f64) -> Self {
        Self {
            heartbeat_ms,
            remember_ms: REMEMBER_MS.max(4.0 * drain_ms),
            settled_ms: start_ms + SETTLING_BEATS * heartbeat_ms,
            ticked_ms: start_ms,
            touched_ms: start_ms,
            lives: BTreeMap::new(),
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

    /// Whether a beat may be acknowledged here.
    pub fn takes_beats(&self, now: f64) -> bool {
        now - self.touched_ms <= UNTOUCHED_MS
    }

    /// Another one each time that the standing or the facts of any life change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A task's own beat.
    pub fn beat(&mut self, now: f64, beat: Beat) -> Outcome {
        self.take_beat(now, now, beat, true)
    }

    /// A task's own word that it ends.
    pub fn leave(&mut self, now: f64, life: &str) -> Outcome {
        self.end(now, now, life)
    }

    /// What another controller says.
    pub fn take_news(&mut self, now: f64, news: &News) -> Outcome {
        match news {
            News::Beat { beat, age_ms } => self.take_beat(now, now - age_ms, beat.clone(), false),
            News::Gone { life, age_ms } => self.end(now, now - age_ms, life),
            News::Heard { lives } => {
                let mut outcome = Outcome::LATE;
                for Still {
                    life,
                    sequence,
                    age_ms,
                } in lives
                {
                    let Some(known) = self.lives.get(life).filter(|k| k.beat.sequence < *sequence)
                    else {
                        continue;
                    };
                    let (sequence, heard_ms) = (*sequence, now - age_ms);
                    // It has warmed up meanwhile.
                    let cold_ms = (known.beat.cold_ms - (heard_ms - known.heard_ms)).max(0.0);
                    let beat = Beat {
                        sequence,
                        cold_ms,
                        ..known.beat.clone()
                    };
                    self.take_beat(now, heard_ms, beat, false);
                    outcome = Outcome::LATER;
                }
                outcome
            }
        }
    }

    /// Lives that a proxy knows to be gone, from this or other controllers. Gives those that are news here.
    pub fn take_gone(&mut self, now: f64, lives: &[Life]) -> Vec<Life> {
        lives
            .iter()
            .filter_map(|life| self.end(now, now, life).newly_draining)
            .collect()
    }

    /// All that a controller has to know that has just come in touch.
    pub fn all_news(&self, now: f64) -> Vec<News> {
        let beats = self.lives.values().map(|known| News::Beat {
            beat: known.beat.clone(),
            age_ms: now - known.heard_ms,
        });
        let gone = self.ended.iter().map(|(life, at)| News::Gone {
            life: life.clone(),
            age_ms: now - at,
        });
        beats.chain(gone).collect()
    }

    /// The lives that went on beating here since the last call.
    pub fn fresh_news(&mut self, now: f64) -> Option<News> {
        let fresh = self
            .lives
            .iter_mut()
            .filter_map(|(life, known)| std::mem::take(&mut known.fresh).then_some((life, known)));
        let lives: Vec<Still> = fresh
            .map(|(life, known)| Still {
                life: life.clone(),
                sequence: known.beat.sequence,
                age_ms: now - known.heard_ms,
            })
            .collect();
        (!lives.is_empty()).then_some(News::Heard { lives })
    }

    /// Lives that drain or have ended: nothing new may go there.
    pub fn gone_lives(&self) -> Vec<Life> {
        let draining = self
            .lives
            .iter()
            .filter(|(_, known)| known.beat.draining)
            .map(|(life, _)| life);
        draining.chain(self.ended.keys()).cloned().collect()
    }

    /// Lets time pass. Gives those that have fallen silent.
    pub fn tick(&mut self, now: f64) -> Vec<Life> {
        if now - self.ticked_ms > PAUSE_MS {
            self.settled_ms = self
                .settled_ms
                .max(now + SETTLING_BEATS * self.heartbeat_ms);
        }
        self.ticked_ms = now;
        let remember_ms = self.remember_ms;
        self.ended.retain(|_, at| now - *at < remember_ms);
        let old = self
            .lives
            .iter()
            .filter(|(_, known)| now - known.heard_ms >= remember_ms);
        for life in old.map(|(life, _)| life.clone()).collect::<Vec<_>>() {
            self.drop_life(&life);
        }
        let mut silent = Vec::new();
        if !self.settling(now) {
            let since = now - self.silent_ms();
            for (life, known) in self
                .lives
                .iter_mut()
                .filter(|(_, k)| !k.silent && k.heard_ms < since)
            {
                known.silent = true;
                silent.push(life.clone());
            }
        }
        self.version += u64::from(!silent.is_empty());
        silent
    }

    /// All lives that have not ended.
    pub fn tasks(&self) -> impl Iterator<Item = Task<'_>> {
        self.lives.iter().map(|(life, known)| Task {
            beat: &known.beat,
            standing: self.standing_of(life, known),
            heard_ms: known.heard_ms,
        })
    }

    /// The tasks of a service that requests may go to.
    pub fn listed(&self, service: &str) -> impl Iterator<Item = &Beat> {
        let of_it = self
            .lives
            .iter()
            .filter(move |(_, known)| known.beat.service == service);
        let live = of_it.filter(|(life, known)| self.standing_of(life, known) == Standing::Live);
        live.map(|(_, known)| &known.beat)
    }

    pub fn standing(&self, life: &str) -> Standing {
        match self.lives.get(life) {
            Some(known) => self.standing_of(life, known),
            None if self.ended.contains_key(life) => Standing::Ended,
            None => Standing::Unknown,
        }
    }

    fn standing_of(&self, life: &str, known: &Known) -> Standing {
        if known.beat.draining {
            return Standing::Draining;
        }
        // Of two lives at one address only the later one can be there. An earlier one that still beats gets
        // it back, so a word that was long on its way shuts nobody out for good.
        let others = self
            .addresses
            .get(&known.beat.address)
            .into_iter()
            .flatten()
            .filter(|o| *o != life);
        let later = |other: &&Life| {
            self.lives
                .get(*other)
                .is_some_and(|o| (o.heard_ms, other.as_str()) > (known.heard_ms, life))
        };
        match (others.clone().any(|other| later(&other)), known.silent) {
            (true, _) => Standing::Displaced,
            (false, true) => Standing::Silent,
            (false, false) => Standing::Live,
        }
    }

    fn silent_ms(&self) -> f64 {
        SILENT_BEATS * self.heartbeat_ms + SILENT_SLACK_MS
    }

    fn take_beat(&mut self, now: f64, heard_ms: f64, beat: Beat, own: bool) -> Outcome {
        if self.ended.contains_key(&beat.life) {
            return Outcome::LATE;
        }
        let silent = !self.settling(now) && now - heard_ms > self.silent_ms();
        let life = beat.life.clone();
        let Some(known) = self.lives.get_mut(&life) else {
            if now - heard_ms >= self.remember_ms || !self.make_room() {
                return Outcome::LATE;
            }
            self.version += 1;
            self.addresses
                .entry(beat.address)
                .or_default()
                .insert(life.clone());
            self.lives.insert(
                life.clone(),
                Known {
                    beat,
                    heard_ms,
                    silent,
                    fresh: false,
                },
            );
            return self.told(now, &life, true);
        };
        let newer = beat.sequence > known.beat.sequence;
        let drains = beat.draining && !known.beat.draining;
        if !newer && !drains {
            return Outcome::LATE;
        }
        let draining = known.beat.draining || beat.draining;
        let (address, returns) = (known.beat.address, newer && known.silent && !silent);
        let told_anew = returns || drains || (newer && !same_facts(&known.beat, &beat));
        if newer {
            (known.beat, known.heard_ms, known.silent) = (beat, heard_ms, silent);
            known.fresh |= own && !told_anew;
        }
        known.beat.draining = draining;
        let moved = known.beat.address;
        if moved != address {
            self.vacate(address, &life);
            self.addresses
                .entry(moved)
                .or_default()
                .insert(life.clone());
        }
        let contested = self
            .addresses
            .get(&moved)
            .is_some_and(|lives| lives.len() > 1);
        self.version += u64::from(told_anew || contested);
        if told_anew {
            self.told(now, &life, drains)
        } else {
            Outcome::LATER
        }
    }

    /// What the others must know of a life at once; `first`: of its draining, too.
    fn told(&self, now: f64, life: &Life, first: bool) -> Outcome {
        let Some(known) = self.lives.get(life) else {
            return Outcome::LATE;
        };
        let news = News::Beat {
            beat: known.beat.clone(),
            age_ms: now - known.heard_ms,
        };
        let newly_draining = (first && known.beat.draining).then(|| life.clone());
        Outcome {
            word: Word::Now(news),
            newly_draining,
        }
    }

    /// A life that was never heard of may end, too: its beats may still be on their way.
    fn end(&mut self, now: f64, at_ms: f64, life: &str) -> Outcome {
        let old = now - at_ms >= self.remember_ms && !self.lives.contains_key(life);
        if self.ended.contains_key(life) || old || !names_a_life(life) {
            return Outcome::LATE;
        }
        let drained = self
            .lives
            .get(life)
            .is_some_and(|known| known.beat.draining);
        self.drop_life(life);
        if self.ended.len() >= LIVES_MOST {
            let oldest = self
                .ended
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|(life, _)| life.clone());
            oldest.and_then(|life| self.ended.remove(&life));
        }
        self.ended.insert(life.into(), at_ms);
        self.version += 1;
        let word = Word::Now(News::Gone {
            life: life.into(),
            age_ms: now - at_ms,
        });
        Outcome {
            word,
            newly_draining: (!drained).then(|| life.into()),
        }
    }

    fn drop_life(&mut self, life: &str) {
        if let Some(known) = self.lives.remove(life) {
            self.version += 1;
            self.vacate(known.beat.address, life);
        }
    }

    fn vacate(&mut self, address: SocketAddrV4, life: &str) {
        if let Some(lives) = self.addresses.get_mut(&address) {
            lives.remove(life);
            if lives.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    /// Where there are too many lives the one that has been silent longest makes room.
    fn make_room(&mut self) -> bool {
        if self.lives.len() < LIVES_MOST {
            return true;
        }
        let silent = self.lives.iter().filter(|(_, known)| known.silent);
        let oldest = silent.min_by(|a, b| a.1.heard_ms.total_cmp(&b.1.heard_ms));
        let oldest = oldest.map(|(life, _)| life.clone());
        oldest.as_ref().map(|life| self.drop_life(life)).is_some()
    }
}

/// Whether nothing but the count and the warmth of a task has changed.
fn same_facts(was: &Beat, is: &Beat) -> bool {
    (&was.service, was.address, &was.zone, was.slots)
        == (&is.service, is.address, &is.zone, is.slots)
}
