//! What this proxy knows of one instance from its own attempts there.

use crate::AttemptOutcome;
use rookpulley_protocol::TableEntry;
use std::rc::Rc;

/// The first pause after a failure, and the longest.
const EJECTION_MS: f64 = 300.0;
const MAX_EJECTION_MS: f64 = 5_000.0;
/// The pause after another instance has answered at the address.
const WRONG_INSTANCE_EJECTION_MS: f64 = 2_000.0;
/// For so long an instance that rejected a request counts as busy.
const BUSY_MS: f64 = 150.0;
/// How many times more a request costs at a busy instance.
const BUSY_FACTOR: f64 = 3.0;
/// What was measured loses its say in about so many milliseconds without a new answer.
const STALE_MS: f64 = 5_000.0;
/// What was measured keeps its full say for this part of that time.
const FRESH_PART: f64 = 0.2;
/// Once an ejection has ended, for so long only one idempotent attempt goes there at a time.
const PROBATION_MS: f64 = 1_000.0;
/// The least weight that the cost is divided by.
const MIN_WEIGHT: f64 = 0.01;
/// How much one answer moves the measured latency, up and down.
const SLOWER_SHARE: f64 = 0.3;
const FASTER_SHARE: f64 = 0.15;

/// One instance.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Its entry in the newest table.
    pub entry: Rc<TableEntry>,
    /// Attempts that haven't ended.
    pub in_flight: u32,
    /// How many tables have it: one, or none while its last attempts end. Only then its slot is given to another.
    pub tables: u32,
    /// It is draining or gone.
    pub is_gone: bool,
    latency_ms: Option<f64>,
    measured_ms: f64,
    /// How long the last ejection was meant to last. 0: its last attempt succeeded.
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

    /// How long an answer takes here. What is long ago says less than what is typical of the service.
    pub fn expected_ms(&self, now_ms: f64, typical_ms: f64) -> f64 {
        let Some(latency_ms) = self.latency_ms else {
            return typical_ms;
        };
        let idle_ms = now_ms - self.measured_ms;
        if self.in_flight > 0 || idle_ms < FRESH_PART * STALE_MS {
            return latency_ms;
        }
        typical_ms + (latency_ms - typical_ms) * (-idle_ms / STALE_MS).exp()
    }

    /// Left out after a failure, until one attempt that harms nobody has shown that it works again.
    pub fn is_ejected(&self, now_ms: f64, is_idempotent: bool) -> bool {
        if self.ejection_ms == 0.0 {
            return false;
        }
        let since_ms = now_ms - self.ejected_until_ms;
        since_ms < 0.0 || self.in_flight > 0 || (!is_idempotent && since_ms < PROBATION_MS)
    }

    /// The cost of one more request here: milliseconds of work before it for each unit of weight.
    pub fn cost(&self, now_ms: f64, typical_ms: f64) -> f64 {
        let weight = f64::from(self.entry.weight).max(MIN_WEIGHT);
        let slots = u32::from(self.entry.slots.max(1));
        let requests = self.in_flight + 1;
        let overload = f64::from(requests.saturating_sub(slots)) / f64::from(slots);
        let is_busy = now_ms < self.busy_until_ms;
        let busy_factor = if is_busy { BUSY_FACTOR } else { 1.0 };
        f64::from(requests)
            * (1.0 + overload)
            * self.expected_ms(now_ms, typical_ms).max(1.0)
            * busy_factor
            / weight
    }

    /// An attempt has ended after `took_ms`.
    pub fn record(&mut self, now_ms: f64, outcome: AttemptOutcome, took_ms: f64) {
        self.release();
        match outcome {
            AttemptOutcome::Answered(status) if status < 500 => {
                self.ejection_ms = 0.0;
                self.measure(now_ms, took_ms);
            }
            // It is alive and says what it thinks; its time isn't that of a good answer.
            AttemptOutcome::Answered(_) | AttemptOutcome::NotExecuted => {
                self.ejection_ms = 0.0;
                self.busy_until_ms = now_ms + BUSY_MS;
            }
            AttemptOutcome::TimedOut => {
                self.measure(now_ms, took_ms);
                self.eject(now_ms, EJECTION_MS);
            }
            AttemptOutcome::Unsent
            | AttemptOutcome::Interrupted
            | AttemptOutcome::InvalidResponse => self.eject(now_ms, EJECTION_MS),
        }
    }

    /// This proxy has as many connections there as it may: nothing is wrong with the instance.
    pub fn record_connection_limit(&mut self, now_ms: f64) {
        self.release();
        self.busy_until_ms = now_ms + BUSY_MS;
    }

    /// Another instance has answered at the address.
    pub fn record_wrong_instance(&mut self, now_ms: f64) {
        self.release();
        self.eject(now_ms, WRONG_INSTANCE_EJECTION_MS);
    }

    /// An attempt is over.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn measure(&mut self, now_ms: f64, took_ms: f64) {
        let latency_ms = self.latency_ms.unwrap_or(took_ms);
        let share = if took_ms > latency_ms {
            SLOWER_SHARE
        } else {
            FASTER_SHARE
        };
        self.latency_ms = Some(latency_ms + share * (took_ms - latency_ms));
        self.measured_ms = now_ms;
    }

    /// Failures of attempts that were sent together count once.
    fn eject(&mut self, now_ms: f64, first_ms: f64) {
        if self.ejection_ms > 0.0 && now_ms < self.ejected_until_ms {
            return;
        }
        let doubled_ms = 2.0 * self.ejection_ms;
        self.ejection_ms = doubled_ms.clamp(first_ms, MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + self.ejection_ms;
    }
}
