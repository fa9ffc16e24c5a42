//! The tables as the home cut them, and the picking of a task from one.

use crate::spot::Spot;
use crate::{Fate, Round};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_routes::RouteKind;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// In longer tables only a sample is looked at.
const LOOKED_AT: usize = 64;
const SAMPLE: usize = 8;
/// An incarnation that is gone is remembered so long: longer than any table that could still name it.
const GONE_MS: f64 = 600_000.0;
const GONE_MOST: usize = 10_000;
/// What a task of another zone costs more, since its bytes do. Little: a table names others only as far as its own zone
/// has no room, and what is to go there must go there.
const FAR: f64 = 1.1;
const FAR_DOWNLOAD: f64 = 1.5;
/// What an answer is thought to take before any came.
const UNKNOWN_MS: f64 = 20.0;

/// A task chosen for one try. It goes back to `settle` and its kin, once.
#[derive(Debug)]
#[must_use]
pub struct Pick {
    spot: usize,
    pub line: Rc<TableEntry>,
    /// How long an answer usually takes there.
    pub habit_ms: f64,
}

#[derive(Default)]
struct Table {
    spots: Vec<usize>,
    usual_ms: Option<f64>,
}

/// All tables of a proxy, and what it knows of the tasks in them.
pub struct Post {
    zone: String,
    tables: HashMap<String, Table>,
    spots: Vec<Option<Spot>>,
    free: Vec<usize>,
    by_incarnation: HashMap<IncarnationId, usize>,
    gone: HashMap<IncarnationId, f64>,
    gone_order: VecDeque<IncarnationId>,
    chance: ChaCha8Rng,
}

impl Post {
    pub fn new(zone: &str, seed: u64) -> Post {
        Post {
            zone: zone.to_owned(),
            tables: HashMap::new(),
            spots: Vec::new(),
            free: Vec::new(),
            by_incarnation: HashMap::new(),
            gone: HashMap::new(),
            gone_order: VecDeque::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A number from 0 up to 1, for whoever needs one.
    pub fn unit(&mut self) -> f64 {
        self.chance.random()
    }

    /// Puts a whole table in the place of the one before. Returns the incarnations that are in no table any more.
    pub fn table(&mut self, service: &str, lines: Vec<TableEntry>) -> Vec<IncarnationId> {
        let before = self
            .tables
            .get_mut(service)
            .map(|table| std::mem::take(&mut table.spots))
            .unwrap_or_default();
        let mut spots = Vec::with_capacity(lines.len());
        for line in lines {
            let at = self.place(line);
            if !spots.contains(&at) {
                spots.push(at);
                self.list(at, 1);
            }
        }
        before.iter().for_each(|&at| self.list(at, -1));
        self.tables.entry(service.to_owned()).or_default().spots = spots;
        let left: Vec<usize> = before.into_iter().filter(|&at| !self.listed(at)).collect();
        let incarnations = left
            .iter()
            .filter_map(|&at| Some(self.spot(at)?.line.incarnation.clone()))
            .collect();
        for at in left {
            self.tidy(at);
        }
        incarnations
    }

    /// These incarnations get nothing new from now on, whatever tables say. Returns those not known before.
    pub fn gone(&mut self, incarnations: Vec<IncarnationId>, now_ms: f64) -> Vec<IncarnationId> {
        let mut news = Vec::new();
        for incarnation in incarnations {
            if self.gone.insert(incarnation.clone(), now_ms).is_some() {
                continue;
            }
            if let Some(&at) = self.by_incarnation.get(&incarnation)
                && let Some(Some(spot)) = self.spots.get_mut(at)
            {
                spot.gone = true;
            }
            self.gone_order.push_back(incarnation.clone());
            news.push(incarnation);
        }
        while let Some(oldest) = self.gone_order.front() {
            let since_ms = self.gone.get(oldest).copied().unwrap_or(f64::MIN);
            if self.gone_order.len() <= GONE_MOST && now_ms - since_ms < GONE_MS {
                break;
            }
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
        news
    }

    /// Whether it was told that this incarnation drains or has ended.
    pub fn is_gone(&self, incarnation: &IncarnationId) -> bool {
        self.gone.contains_key(incarnation)
    }

    /// What is told to a controller that may not have heard of them.
    pub fn all_gone(&self) -> Vec<IncarnationId> {
        self.gone_order.iter().cloned().collect()
    }

    /// Whether any table has a line that may be used.
    pub fn any(&self) -> bool {
        self.tables.values().any(|table| {
            table
                .spots
                .iter()
                .any(|&at| self.spot(at).is_some_and(|spot| !spot.gone))
        })
    }

    /// A task of this service that the round hasn't tried, and its try begins.
    pub fn pick(
        &mut self,
        service: &str,
        round: &Round,
        kind: RouteKind,
        now_ms: f64,
    ) -> Option<Pick> {
        let table = self.tables.get(service)?;
        let usual_ms = table.usual_ms.unwrap_or(UNKNOWN_MS);
        let far = if kind == RouteKind::Download {
            FAR_DOWNLOAD
        } else {
            FAR
        };
        let spots = &self.spots;
        let look = |at: usize, chance: f64| {
            let spot = spots.get(at)?.as_ref()?;
            if spot.gone || round.tried().contains(&spot.line.incarnation) {
                return None;
            }
            let held = spot.held(now_ms, round.repeatable());
            let zone = if spot.line.zone == self.zone {
                1.0
            } else {
                far
            };
            let cost = spot.cost(now_ms, usual_ms) * zone * (1.0 + 0.1 * chance);
            Some((held, cost, at))
        };
        let mut best: Option<(bool, f64, usize)> = None;
        let chance = &mut self.chance;
        let sampled = table.spots.len() > LOOKED_AT;
        for turn in 0..if sampled { SAMPLE } else { table.spots.len() } {
            let turn = if sampled {
                chance.random_range(0..table.spots.len())
            } else {
                turn
            };
            let seen = table
                .spots
                .get(turn)
                .and_then(|&at| look(at, chance.random()));
            if let Some((held, cost, _)) = seen
                && best
                    .is_none_or(|(best_held, best_cost, _)| (held, cost) < (best_held, best_cost))
            {
                best = seen;
            }
        }
        // The sample may have missed the few that are left.
        if best.is_none() && table.spots.len() > LOOKED_AT {
            best = table.spots.iter().find_map(|&at| look(at, 0.0));
        }
        let (_, _, at) = best?;
        let spot = self.spots.get_mut(at)?.as_mut()?;
        let habit_ms = spot.habit_ms(now_ms, usual_ms);
        spot.in_flight += 1;
        Some(Pick {
            spot: at,
            line: spot.line.clone(),
            habit_ms,
        })
    }

    /// Whether `pick` would find a task.
    pub fn another(&self, service: &str, round: &Round) -> bool {
        self.tables.get(service).is_some_and(|table| {
            let fit = |spot: &Spot| !spot.gone && !round.tried().contains(&spot.line.incarnation);
            table.spots.iter().any(|&at| self.spot(at).is_some_and(fit))
        })
    }

    /// The try ended so, after `took_ms`.
    pub fn settle(&mut self, service: &str, pick: Pick, fate: Fate, took_ms: f64, now_ms: f64) {
        if let Some(Some(spot)) = self.spots.get_mut(pick.spot) {
            spot.settle(now_ms, fate, took_ms);
        }
        if let (Fate::Answered(..500), Some(table)) = (fate, self.tables.get_mut(service)) {
            let usual_ms = table.usual_ms.unwrap_or(took_ms);
            table.usual_ms = Some(usual_ms + 0.05 * (took_ms - usual_ms));
        }
        self.tidy(pick.spot);
    }

    /// We have as many connections there as we may.
    pub fn full(&mut self, pick: Pick, now_ms: f64) {
        if let Some(Some(spot)) = self.spots.get_mut(pick.spot) {
            spot.full(now_ms);
        }
        self.tidy(pick.spot);
    }

    /// Somebody else answered at its address.
    pub fn stranger(&mut self, pick: Pick, now_ms: f64) {
        if let Some(Some(spot)) = self.spots.get_mut(pick.spot) {
            spot.stranger(now_ms);
        }
        self.tidy(pick.spot);
    }

    /// The client left before the try ended: it says nothing about the task.
    pub fn left(&mut self, pick: Pick) {
        if let Some(Some(spot)) = self.spots.get_mut(pick.spot) {
            spot.in_flight = spot.in_flight.saturating_sub(1);
        }
        self.tidy(pick.spot);
    }

    fn spot(&self, at: usize) -> Option<&Spot> {
        self.spots.get(at)?.as_ref()
    }

    fn listed(&self, at: usize) -> bool {
        self.spot(at).is_some_and(|spot| spot.listed > 0)
    }

    /// A table more has it, or one less.
    fn list(&mut self, at: usize, by: i32) {
        if let Some(Some(spot)) = self.spots.get_mut(at) {
            spot.listed = spot.listed.saturating_add_signed(by);
        }
    }

    fn place(&mut self, line: TableEntry) -> usize {
        if let Some(&at) = self.by_incarnation.get(&line.incarnation)
            && let Some(Some(spot)) = self.spots.get_mut(at)
        {
            spot.line = Rc::new(line);
            return at;
        }
        let incarnation = line.incarnation.clone();
        let spot = Some(Spot::new(
            Rc::new(line),
            self.gone.contains_key(&incarnation),
        ));
        let at = match self.free.pop() {
            Some(at) => at,
            None => {
                self.spots.push(None);
                self.spots.len() - 1
            }
        };
        if let Some(place) = self.spots.get_mut(at) {
            *place = spot;
        }
        self.by_incarnation.insert(incarnation, at);
        at
    }

    /// Forgets a task that is in no table once its last try has ended.
    fn tidy(&mut self, at: usize) {
        let done = |spot: &Spot| spot.listed == 0 && spot.in_flight == 0;
        if let Some(place) = self.spots.get_mut(at)
            && place.as_ref().is_some_and(done)
            && let Some(spot) = place.take()
        {
            self.by_incarnation.remove(&spot.line.incarnation);
            self.free.push(at);
        }
    }
}
