//! Endpoint tables as published by the primary, and endpoint selection.

use crate::endpoint::Endpoint;
use crate::{AttemptOutcome, RequestAttempts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_protocol::{IncarnationId, TableEntry};
use rookpulley_routes::RouteKind;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Up to this length all entries of a table are compared; from a longer table a random sample.
const MAX_FULL_SCAN: usize = 64;
const SAMPLE_SIZE: usize = 8;
/// How long a gone incarnation is remembered: longer than any table that could still contain it is in use.
const GONE_RETENTION_MS: f64 = 600_000.0;
const MAX_GONE: usize = 10_000;
/// Cost multipliers of instances in another zone, for cross-zone traffic. They are small because a table contains such
/// instances only when the local zone lacks capacity.
const OTHER_ZONE_FACTOR: f64 = 1.1;
const OTHER_ZONE_DOWNLOAD_FACTOR: f64 = 1.5;
/// Random variation of the cost, which spreads requests over equal instances.
const JITTER: f64 = 0.1;
/// Assumed latency of a service before the first response.
const DEFAULT_LATENCY_MS: f64 = 20.0;
/// Smoothing factor of the average latency of a service.
const LATENCY_SMOOTHING: f64 = 0.05;

/// An instance picked for one attempt. It must be passed to exactly one of the methods that end the attempt.
#[derive(Debug)]
#[must_use]
pub struct Pick {
    index: usize,
    /// Table entry of the instance.
    pub entry: Rc<TableEntry>,
    /// Expected latency.
    pub expected_ms: f64,
}

#[derive(Default)]
struct Table {
    /// Indices into `EndpointPicker::endpoints`.
    endpoints: Vec<usize>,
    /// Average latency of the service. None before the first response.
    service_latency_ms: Option<f64>,
}

/// Inputs for comparing the endpoints of a table.
struct Criteria<'a> {
    zone: &'a str,
    attempts: &'a RequestAttempts,
    other_zone_factor: f64,
    service_latency_ms: f64,
    now_ms: f64,
}

/// An endpoint that is eligible for a request.
#[derive(Clone, Copy)]
struct Candidate {
    is_ejected: bool,
    cost: f64,
    index: usize,
}

impl Criteria<'_> {
    /// Returns None if the endpoint is not eligible. `random`, from 0 to 1, scales the jitter.
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
        let is_local = entry.zone == self.zone;
        let zone_factor = if is_local {
            1.0
        } else {
            self.other_zone_factor
        };
        let cost = endpoint.cost(self.now_ms, self.service_latency_ms);
        Some(Candidate {
            is_ejected: endpoint.is_ejected(self.now_ms, self.attempts.is_idempotent()),
            cost: cost * zone_factor * (1.0 + JITTER * random),
            index,
        })
    }
}

impl Candidate {
    /// Prefers endpoints that are not ejected, then lower cost.
    fn is_better_than(&self, other: &Self) -> bool {
        (self.is_ejected, self.cost) < (other.is_ejected, other.cost)
    }
}

/// Holds the endpoint tables of a proxy and picks endpoints from them.
pub struct EndpointPicker {
    zone: String,
    tables: HashMap<String, Table>,
    endpoints: Vec<Option<Endpoint>>,
    /// Unused indices of `endpoints`.
    free: Vec<usize>,
    by_incarnation: HashMap<IncarnationId, usize>,
    /// When each incarnation was reported as draining or gone.
    gone: HashMap<IncarnationId, f64>,
    /// Keys of `gone`, oldest first.
    gone_order: VecDeque<IncarnationId>,
    random: ChaCha8Rng,
}

impl EndpointPicker {
    /// Creates a picker without tables. `zone` is the zone of this proxy.
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

    /// Replaces the table of a service. Returns the incarnations that are no longer in any table.
    pub fn replace_table(&mut self, service: &str, entries: Vec<TableEntry>) -> Vec<IncarnationId> {
        let before = self.tables.get_mut(service);
        let before = before.map(|table| std::mem::take(&mut table.endpoints));
        let before = before.unwrap_or_default();
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            let index = self.insert(entry);
            if !endpoints.contains(&index) {
                endpoints.push(index);
                self.adjust_table_count(index, 1);
            }
        }
        for index in &before {
            self.adjust_table_count(*index, -1);
        }
        let table = self.tables.entry(service.to_owned()).or_default();
        table.endpoints = endpoints;
        let removed: Vec<usize> = before
            .into_iter()
            .filter(|index| !self.is_in_any_table(*index))
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

    /// Excludes these incarnations from selection, even if a table contains them. Returns those not marked before.
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
        self.expire_gone(now_ms);
        new
    }

    fn expire_gone(&mut self, now_ms: f64) {
        while let Some(oldest) = self.gone_order.front() {
            let gone_ms = self.gone.get(oldest).copied().unwrap_or(f64::MIN);
            if self.gone_order.len() <= MAX_GONE && now_ms - gone_ms < GONE_RETENTION_MS {
                break;
            }
            if let Some(oldest) = self.gone_order.pop_front() {
                self.gone.remove(&oldest);
            }
        }
    }

    /// Whether this incarnation was reported as draining or gone.
    pub fn is_gone(&self, incarnation: &IncarnationId) -> bool {
        self.gone.contains_key(incarnation)
    }

    /// All incarnations that were reported as draining or gone, oldest first.
    pub fn all_gone(&self) -> Vec<IncarnationId> {
        self.gone_order.iter().cloned().collect()
    }

    /// Whether any table contains a usable endpoint.
    pub fn has_endpoints(&self) -> bool {
        let mut indices = self.tables.values().flat_map(|table| &table.endpoints);
        indices.any(|index| {
            self.endpoint(*index)
                .is_some_and(|endpoint| !endpoint.is_gone)
        })
    }

    /// Picks an untried instance of the service and counts an attempt on it as in flight.
    pub fn pick(
        &mut self,
        service: &str,
        attempts: &RequestAttempts,
        kind: RouteKind,
        now_ms: f64,
    ) -> Option<Pick> {
        let table = self.tables.get(service)?;
        let service_latency_ms = table.service_latency_ms.unwrap_or(DEFAULT_LATENCY_MS);
        let criteria = Criteria {
            zone: &self.zone,
            attempts,
            other_zone_factor: match kind {
                RouteKind::Download => OTHER_ZONE_DOWNLOAD_FACTOR,
                _ => OTHER_ZONE_FACTOR,
            },
            service_latency_ms,
            now_ms,
        };
        let (endpoints, random) = (&self.endpoints, &mut self.random);
        let best = best_candidate(&table.endpoints, random, |index, random| {
            criteria.evaluate(endpoints, index, random)
        });
        let index = best?.index;
        let endpoint = self.endpoints.get_mut(index)?.as_mut()?;
        let expected_ms = endpoint.expected_ms(now_ms, service_latency_ms);
        endpoint.in_flight += 1;
        Some(Pick {
            index,
            entry: endpoint.entry.clone(),
            expected_ms,
        })
    }

    /// Whether `pick` would return an instance.
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

    /// Ends an attempt that took `took_ms` and records its outcome.
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
            let service_latency_ms = table.service_latency_ms.unwrap_or(took_ms);
            table.service_latency_ms =
                Some(service_latency_ms + LATENCY_SMOOTHING * (took_ms - service_latency_ms));
        }
    }

    /// Ends an attempt that hit this proxy's connection limit.
    pub fn record_connection_limit(&mut self, pick: Pick, now_ms: f64) {
        self.end_attempt(pick, |endpoint| endpoint.record_connection_limit(now_ms));
    }

    /// Ends an attempt that was answered by a different instance.
    pub fn record_wrong_instance(&mut self, pick: Pick, now_ms: f64) {
        self.end_attempt(pick, |endpoint| endpoint.record_wrong_instance(now_ms));
    }

    /// Ends an attempt without recording an outcome, because the client aborted.
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

    fn is_in_any_table(&self, index: usize) -> bool {
        self.endpoint(index)
            .is_some_and(|endpoint| endpoint.tables > 0)
    }

    /// Adjusts the number of tables that contain the endpoint.
    fn adjust_table_count(&mut self, index: usize, change: i32) {
        if let Some(Some(endpoint)) = self.endpoints.get_mut(index) {
            endpoint.tables = endpoint.tables.saturating_add_signed(change);
        }
    }

    /// Inserts an entry or updates the existing one. Returns the index of its endpoint.
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

    /// Removes an endpoint that is in no table and has no attempts in flight.
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

/// Returns the best eligible endpoint of a table, or of a random sample if the table is long.
fn best_candidate(
    endpoints: &[usize],
    random: &mut ChaCha8Rng,
    evaluate: impl Fn(usize, f64) -> Option<Candidate>,
) -> Option<Candidate> {
    let is_sampled = endpoints.len() > MAX_FULL_SCAN;
    let compared = if is_sampled {
        SAMPLE_SIZE
    } else {
        endpoints.len()
    };
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
    // The sample may have missed the few eligible endpoints.
    if best.is_none() && is_sampled {
        best = endpoints.iter().find_map(|index| evaluate(*index, 0.0));
    }
    best
}
