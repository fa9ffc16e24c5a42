//! Latency, load and ejection state of one instance, measured by this proxy.

use crate::AttemptOutcome;
use rookpulley_protocol::TableEntry;
use std::rc::Rc;

/// Initial ejection time after a failure, and its maximum; it doubles in between.
const EJECTION_MS: f64 = 300.0;
const MAX_EJECTION_MS: f64 = 5_000.0;
/// Initial ejection time after a different instance answered at the address.
const WRONG_INSTANCE_EJECTION_MS: f64 = 2_000.0;
/// How long an instance counts as busy after it rejected a request.
const BUSY_MS: f64 = 150.0;
/// Cost multiplier of a busy instance.
const BUSY_FACTOR: f64 = 3.0;
/// Time constant for the decay of a measured latency towards the service average.
const LATENCY_DECAY_MS: f64 = 5_000.0;
/// Fraction of the decay time during which a measured latency is used unchanged.
const FRESH_FRACTION: f64 = 0.2;
/// How long after an ejection non-idempotent requests remain excluded.
const PROBATION_MS: f64 = 1_000.0;
/// Lower bound of the weight that divides the cost.
const MIN_WEIGHT: f64 = 0.01;
/// Smoothing factors of the latency average, for slower and faster responses.
const SLOWER_SMOOTHING: f64 = 0.3;
const FASTER_SMOOTHING: f64 = 0.15;

/// State of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Entry in the most recent table.
    pub entry: Rc<TableEntry>,
    /// Number of attempts in progress.
    pub in_flight: u32,
    /// Number of tables that contain it. At 0 the slot is freed once no attempt is in progress.
    pub tables: u32,
    /// The instance is draining or gone.
    pub is_gone: bool,
    latency_ms: Option<f64>,
    measured_ms: f64,
    /// Duration of the last ejection. 0 if the instance has responded since.
    ejection_ms: f64,
    ejected_until_ms: f64,
    busy_until_ms: f64,
}

impl Endpoint {
    pub fn new(entry: Rc<TableEntry>, is_gone: bool) -> Self {
        Self {
            entry,
            in_flight: 0,
            tables: 0,
            is_gone,
            latency_ms: None,
            measured_ms: 0.0,
            ejection_ms: 0.0,
            ejected_until_ms: 0.0,
            busy_until_ms: 0.0,
        }
    }

    /// Expected latency. An old measurement decays towards the service average.
    pub fn expected_ms(&self, now_ms: f64, service_latency_ms: f64) -> f64 {
        let Some(latency_ms) = self.latency_ms else {
            return service_latency_ms;
        };
        let idle_ms = now_ms - self.measured_ms;
        if self.in_flight > 0 || idle_ms < FRESH_FRACTION * LATENCY_DECAY_MS {
            return latency_ms;
        }
        service_latency_ms + (latency_ms - service_latency_ms) * (-idle_ms / LATENCY_DECAY_MS).exp()
    }

    /// Whether the instance is ejected. After the ejection time it is probed by one attempt at a time until it responds,
    /// at first only by idempotent requests.
    pub fn is_ejected(&self, now_ms: f64, is_idempotent: bool) -> bool {
        if self.ejection_ms == 0.0 {
            return false;
        }
        let since_ms = now_ms - self.ejected_until_ms;
        since_ms < 0.0 || self.in_flight > 0 || (!is_idempotent && since_ms < PROBATION_MS)
    }

    /// Cost of one more request: expected milliseconds of queued work per unit of weight.
    pub fn cost(&self, now_ms: f64, service_latency_ms: f64) -> f64 {
        let weight = f64::from(self.entry.weight).max(MIN_WEIGHT);
        let slots = u32::from(self.entry.slots.max(1));
        let requests = self.in_flight + 1;
        let overload = f64::from(requests.saturating_sub(slots)) / f64::from(slots);
        let is_busy = now_ms < self.busy_until_ms;
        let busy_factor = if is_busy { BUSY_FACTOR } else { 1.0 };
        f64::from(requests)
            * (1.0 + overload)
            * self.expected_ms(now_ms, service_latency_ms).max(1.0)
            * busy_factor
            / weight
    }

    /// Records the outcome of an attempt that took `took_ms`.
    pub fn record(&mut self, now_ms: f64, outcome: AttemptOutcome, took_ms: f64) {
        self.release();
        match outcome {
            AttemptOutcome::Answered(status) if status < 500 => {
                self.ejection_ms = 0.0;
                self.update_latency(now_ms, took_ms);
            }
            // The instance is alive, but the latency of an error response is not representative.
            AttemptOutcome::Answered(_) | AttemptOutcome::NotExecuted => {
                self.ejection_ms = 0.0;
                self.busy_until_ms = now_ms + BUSY_MS;
            }
            AttemptOutcome::TimedOut => {
                self.update_latency(now_ms, took_ms);
                self.eject(now_ms, EJECTION_MS);
            }
            AttemptOutcome::Unsent
            | AttemptOutcome::Interrupted
            | AttemptOutcome::InvalidResponse => self.eject(now_ms, EJECTION_MS),
        }
    }

    /// Marks the instance as busy after an attempt hit this proxy's connection limit.
    pub fn record_connection_limit(&mut self, now_ms: f64) {
        self.release();
        self.busy_until_ms = now_ms + BUSY_MS;
    }

    /// Ejects the instance because a different one answered at its address.
    pub fn record_wrong_instance(&mut self, now_ms: f64) {
        self.release();
        self.eject(now_ms, WRONG_INSTANCE_EJECTION_MS);
    }

    /// Ends an attempt without recording an outcome.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn update_latency(&mut self, now_ms: f64, took_ms: f64) {
        let latency_ms = self.latency_ms.unwrap_or(took_ms);
        let smoothing = if took_ms > latency_ms {
            SLOWER_SMOOTHING
        } else {
            FASTER_SMOOTHING
        };
        self.latency_ms = Some(latency_ms + smoothing * (took_ms - latency_ms));
        self.measured_ms = now_ms;
    }

    /// Starts an ejection, twice as long as the previous one. Failures during an ejection do not extend it.
    fn eject(&mut self, now_ms: f64, initial_ms: f64) {
        if self.ejection_ms > 0.0 && now_ms < self.ejected_until_ms {
            return;
        }
        let doubled_ms = 2.0 * self.ejection_ms;
        self.ejection_ms = doubled_ms.clamp(initial_ms, MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + self.ejection_ms;
    }
}
