//! The tables as the primary publishes them, and the choice of an instance from one.

use crate::endpoint::Endpoint;
use crate::{AttemptOutcome, RequestAttempts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_routes::RouteKind;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Up to this length all entries of a table are compared; of a longer one a sample.
const MAX_COMPARED: usize = 64;
const SAMPLE: usize = 8;
/// An incarnation that is gone is remembered for so long: longer than any table that could still name it.
const GONE_MS: f64 = 600_000.0;
const MAX_GONE: usize = 10_000;
/// What an instance of another zone costs more, since its bytes do. Little: a table names others only as far as its own
/// zone has no room, and what is to go there must go there.
const OTHER_ZONE_FACTOR: f64 = 1.1;
const OTHER_ZONE_DOWNLOAD_FACTOR: f64 = 1.5;
/// By how much the cost is varied at random, so that equal instances share the requests.
const JITTER: f64 = 0.1;
/// What an answer is thought to take before any came.
const DEFAULT_LATENCY_MS: f64 = 20.0;
/// How much one answer moves the typical latency of a service.
const TYPICAL_SHARE: f64 = 0.05;

/// An instance chosen for one attempt. It is given back, once, to the method that says how the attempt ended.
#[derive(Debug)]
#[must_use]
pub struct Pick {
    index: usize,
    /// Its entry in the table.
    pub entry: Rc<TableEntry>,
    /// How long an answer usually takes there.
    pub expected_ms: f64,
}

#[derive(Default)]
struct Table {
    /// Indices of endpoints.
    endpoints: Vec<usize>,
    /// How long answers of the service usually take.
    typical_ms: Option<f64>,
}

/// What the endpoints of a table are compared by.
struct Criteria<'a> {
    zone: &'a str,
    attempts: &'a RequestAttempts,
    other_zone_factor: f64,
    typical_ms: f64,
    now_ms: f64,
}

/// An endpoint that a request may go to.
#[derive(Clone, Copy)]
struct Candidate {
    is_ejected: bool,
    cost: f64,
    index: usize,
}

impl Criteria<'_> {
    /// None: the request can't go there. `random` is from 0 to 1.
    fn evaluate(
        &self,
        endpoints: &[Option<Endpoint>],
        index: usize,
        random: f64,
    ) -> Option<Candidate> {
        let endpoint = endpoints.get(index)?.as_ref()?;
        let entry = &endpoint.entry;
        if endpoint.is_gone || self.attempts.tried().contains(&entry.incarnation) {
            return None;
        }
        let is_near = entry.zone == self.zone;
        let zone_factor = if is_near { 1.0 } else { self.other_zone_factor };
        let cost = endpoint.cost(self.now_ms, self.typical_ms);
        Some(Candidate {
            is_ejected: endpoint.is_ejected(self.now_ms, self.attempts.is_idempotent()),
            cost: cost * zone_factor * (1.0 + JITTER * random),
            index,
        })
    }
}

impl Candidate {
    /// An ejected endpoint is taken only where there is no other.
    fn is_better_than(&self, other: &Self) -> bool {
        (self.is_ejected, self.cost) < (other.is_ejected, other.cost)
    }
}

/// All tables of a proxy, and what it knows of the instances in them.
pub struct EndpointPicker {
    zone: String,
    tables: HashMap<String, Table>,
    endpoints: Vec<Option<Endpoint>>,
    /// Indices of `endpoints` without one.
    free: Vec<usize>,
    by_incarnation: HashMap<IncarnationId, usize>,
    /// When each incarnation was said to be gone.
    gone: HashMap<IncarnationId, f64>,
    /// The same incarnations, the oldest first.
    gone_order: VecDeque<IncarnationId>,
    random: ChaCha8Rng,
}

impl EndpointPicker {
    /// Without any table. `zone` is that of this proxy.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            tables: HashMap::new(),
            endpoints: Vec::new(),
            free: Vec::new(),
            by_incarnation: HashMap::new(),
            gone: HashMap::new(),
            gone_order: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A random number from 0 up to 1.
    pub fn random(&mut self) -> f64 {
        self.random.random()
    }

    /// Replaces the table of a service. Returns the incarnations that are in no table any more.
    pub fn replace_table(&mut self, service: &str, entries: Vec<TableEntry>) -> Vec<IncarnationId> {
        let before = self.tables.get_mut(service);
        let before = before.map(|table| std::mem::take(&mut table.endpoints));
        let before = before.unwrap_or_default();
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            let index = self.insert(entry);
            if !endpoints.contains(&index) {
                endpoints.push(index);
                self.count_table(index, 1);
            }
        }
        for index in &before {
            self.count_table(*index, -1);
        }
        let table = self.tables.entry(service.to_owned()).or_default();
        table.endpoints = endpoints;
        let removed: Vec<usize> = before
            .into_iter()
            .filter(|index| !self.is_in_a_table(*index))
            .collect();
        let incarnations = removed
            .iter()
            .filter_map(|index| Some(self.endpoint(*index)?.entry.incarnation.clone()))
            .collect();
        for index in removed {
            self.remove_unused(index);
        }
        incarnations
    }

    /// These incarnations get nothing new from now on, whatever tables say. Returns those not known before.
    pub fn mark_gone(
        &mut self,
        incarnations: Vec<IncarnationId>,
        now_ms: f64,
    ) -> Vec<IncarnationId> {
        let mut new = Vec::new();
        for incarnation in incarnations {
            if self.gone.insert(incarnation.clone(), now_ms).is_some() {
                continue;
            }
            if let Some(index) = self.by_incarnation.get(&incarnation)
                && let Some(Some(endpoint)) = self.endpoints.get_mut(*index)
            {
                endpoint.is_gone = true;
            }
            self.gone_order.push_back(incarnation.clone());
            new.push(incarnation);
        }
        self.forget_oldest_gone(now_ms);
        new
    }

    fn forget_oldest_gone(&mut self, now_ms: f64) {
        while let Some(oldest) = self.gone_order.front() {
            let since_ms = self.gone.get(oldest).copied().unwrap_or(f64::MIN);
            if self.gone_order.len() <= MAX_GONE && now_ms - since_ms < GONE_MS {
                break;
            }
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
    }

    /// Whether this incarnation is known to be draining or gone.
    pub fn is_gone(&self, incarnation: &IncarnationId) -> bool {
        self.gone.contains_key(incarnation)
    }

    /// All incarnations that are known to be draining or gone.
    pub fn all_gone(&self) -> Vec<IncarnationId> {
        self.gone_order.iter().cloned().collect()
    }

    /// Whether any table has an endpoint that may be used.
    pub fn has_endpoints(&self) -> bool {
        let mut indices = self.tables.values().flat_map(|table| &table.endpoints);
        indices.any(|index| {
            self.endpoint(*index)
                .is_some_and(|endpoint| !endpoint.is_gone)
        })
    }

    /// Picks an instance of this service that the request hasn't tried. Its attempt begins.
    pub fn pick(
        &mut self,
        service: &str,
        attempts: &RequestAttempts,
        kind: RouteKind,
        now_ms: f64,
    ) -> Option<Pick> {
        let table = self.tables.get(service)?;
        let typical_ms = table.typical_ms.unwrap_or(DEFAULT_LATENCY_MS);
        let criteria = Criteria {
            zone: &self.zone,
            attempts,
            other_zone_factor: match kind {
                RouteKind::Download => OTHER_ZONE_DOWNLOAD_FACTOR,
                _ => OTHER_ZONE_FACTOR,
            },
            typical_ms,
            now_ms,
        };
        let (endpoints, random) = (&self.endpoints, &mut self.random);
        let best = best_of(&table.endpoints, random, |index, random| {
            criteria.evaluate(endpoints, index, random)
        });
        let index = best?.index;
        let endpoint = self.endpoints.get_mut(index)?.as_mut()?;
        let expected_ms = endpoint.expected_ms(now_ms, typical_ms);
        endpoint.in_flight += 1;
        Some(Pick {
            index,
            entry: endpoint.entry.clone(),
            expected_ms,
        })
    }

    /// Whether `pick` would find an instance.
    pub fn has_untried(&self, service: &str, attempts: &RequestAttempts) -> bool {
        let Some(table) = self.tables.get(service) else {
            return false;
        };
        let mut endpoints = table.endpoints.iter();
        endpoints.any(|index| {
            self.endpoint(*index).is_some_and(|endpoint| {
                !endpoint.is_gone && !attempts.tried().contains(&endpoint.entry.incarnation)
            })
        })
    }

    /// The attempt has ended after `took_ms`.
    pub fn record(
        &mut self,
        service: &str,
        pick: Pick,
        outcome: AttemptOutcome,
        took_ms: f64,
        now_ms: f64,
    ) {
        self.end_attempt(pick, |endpoint| endpoint.record(now_ms, outcome, took_ms));
        if let AttemptOutcome::Answered(..500) = outcome
            && let Some(table) = self.tables.get_mut(service)
        {
            let typical_ms = table.typical_ms.unwrap_or(took_ms);
            table.typical_ms = Some(typical_ms + TYPICAL_SHARE * (took_ms - typical_ms));
        }
    }

    /// This proxy has as many connections there as it may: nothing was sent.
    pub fn record_connection_limit(&mut self, pick: Pick, now_ms: f64) {
        self.end_attempt(pick, |endpoint| endpoint.record_connection_limit(now_ms));
    }

    /// Another instance has answered at the address.
    pub fn record_wrong_instance(&mut self, pick: Pick, now_ms: f64) {
        self.end_attempt(pick, |endpoint| endpoint.record_wrong_instance(now_ms));
    }

    /// The client left before the attempt ended: it says nothing about the instance.
    pub fn cancel(&mut self, pick: Pick) {
        self.end_attempt(pick, Endpoint::release);
    }

    fn end_attempt(&mut self, pick: Pick, record: impl FnOnce(&mut Endpoint)) {
        if let Some(Some(endpoint)) = self.endpoints.get_mut(pick.index) {
            record(endpoint);
        }
        self.remove_unused(pick.index);
    }

    fn endpoint(&self, index: usize) -> Option<&Endpoint> {
        self.endpoints.get(index)?.as_ref()
    }

    fn is_in_a_table(&self, index: usize) -> bool {
        self.endpoint(index)
            .is_some_and(|endpoint| endpoint.tables > 0)
    }

    /// One more table has it, or one less.
    fn count_table(&mut self, index: usize, change: i32) {
        if let Some(Some(endpoint)) = self.endpoints.get_mut(index) {
            endpoint.tables = endpoint.tables.saturating_add_signed(change);
        }
    }

    /// The index of the endpoint with this entry, which is new or replaces the one before.
    fn insert(&mut self, entry: TableEntry) -> usize {
        if let Some(&index) = self.by_incarnation.get(&entry.incarnation)
            && let Some(Some(endpoint)) = self.endpoints.get_mut(index)
        {
            endpoint.entry = Rc::new(entry);
            return index;
        }
        let incarnation = entry.incarnation.clone();
        let is_gone = self.gone.contains_key(&incarnation);
        let endpoint = Endpoint::new(Rc::new(entry), is_gone);
        let index = self.free.pop().unwrap_or_else(|| {
            self.endpoints.push(None);
            self.endpoints.len() - 1
        });
        if let Some(slot) = self.endpoints.get_mut(index) {
            *slot = Some(endpoint);
        }
        self.by_incarnation.insert(incarnation, index);
        index
    }

    /// Forgets an endpoint that is in no table once its last attempt has ended.
    fn remove_unused(&mut self, index: usize) {
        let is_unused = |endpoint: &Endpoint| endpoint.tables == 0 && endpoint.in_flight == 0;
        if let Some(slot) = self.endpoints.get_mut(index)
            && slot.as_ref().is_some_and(is_unused)
            && let Some(endpoint) = slot.take()
        {
            self.by_incarnation.remove(&endpoint.entry.incarnation);
            self.free.push(index);
        }
    }
}

/// The best of all endpoints of a table, or of a sample where there are many.
fn best_of(
    endpoints: &[usize],
    random: &mut ChaCha8Rng,
    evaluate: impl Fn(usize, f64) -> Option<Candidate>,
) -> Option<Candidate> {
    let is_sampled = endpoints.len() > MAX_COMPARED;
    let compared = if is_sampled { SAMPLE } else { endpoints.len() };
    let mut best: Option<Candidate> = None;
    for position in 0..compared {
        let position = if is_sampled {
            random.random_range(0..endpoints.len())
        } else {
            position
        };
        let index = endpoints.get(position);
        let candidate = index.and_then(|index| evaluate(*index, random.random()));
        if let Some(candidate) = candidate
            && best.is_none_or(|best| candidate.is_better_than(&best))
        {
            best = Some(candidate);
        }
    }
    // The sample may have missed the few that are left.
    if best.is_none() && is_sampled {
        best = endpoints.iter().find_map(|index| evaluate(*index, 0.0));
    }
    best
}
