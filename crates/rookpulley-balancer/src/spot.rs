//! What this proxy knows of one task from the tries that it sent there.

use crate::Fate;
use rookpulley_protocol::TableEntry;
use std::rc::Rc;

/// The first pause after a failure, and the longest.
const HOLD_MS: f64 = 300.0;
const LONGEST_HOLD_MS: f64 = 5_000.0;
/// The pause when somebody else answers at the address.
const STRANGER_HOLD_MS: f64 = 2_000.0;
/// For so long a task that turned a request away counts as full.
const FULL_MS: f64 = 150.0;
/// What was measured loses its say in about so many ms without a new answer.
const STALE_MS: f64 = 5_000.0;
/// Once a hold has ended, this long only one try that may be repeated goes there at a time.
const TRIAL_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
pub(crate) struct Spot {
    pub line: Rc<TableEntry>,
    pub in_flight: u32,
    /// The tables that have it: one, or none while its last tries end. A place is given to another only then.
    pub listed: u32,
    pub gone: bool,
    habit_ms: Option<f64>,
    measured_ms: f64,
    hold_ms: f64,
    held_until_ms: f64,
    full_until_ms: f64,
}

impl Spot {
    pub fn new(line: Rc<TableEntry>, gone: bool) -> Spot {
        Spot {
            line,
            in_flight: 0,
            listed: 0,
            gone,
            habit_ms: None,
            measured_ms: 0.0,
            hold_ms: 0.0,
            held_until_ms: 0.0,
            full_until_ms: 0.0,
        }
    }

    /// How long an answer takes here; what is long ago says less than what is `usual` in the service.
    pub fn habit_ms(&self, now_ms: f64, usual_ms: f64) -> f64 {
        let Some(habit_ms) = self.habit_ms else {
            return usual_ms;
        };
        let idle_ms = now_ms - self.measured_ms;
        if self.in_flight > 0 || idle_ms < 0.2 * STALE_MS {
            return habit_ms;
        }
        usual_ms + (habit_ms - usual_ms) * (-idle_ms / STALE_MS).exp()
    }

    /// Left out after a failure, until one try that harms nobody has shown that it works again.
    pub fn held(&self, now_ms: f64, repeatable: bool) -> bool {
        if self.hold_ms == 0.0 {
            return false;
        }
        let past_ms = now_ms - self.held_until_ms;
        past_ms < 0.0 || self.in_flight > 0 || (!repeatable && past_ms < TRIAL_MS)
    }

    /// The cost of one more request here, in ms of work before it for each unit of weight.
    pub fn cost(&self, now_ms: f64, usual_ms: f64) -> f64 {
        let weight = f64::from(self.line.weight).max(0.01);
        let slots = u32::from(self.line.slots.max(1));
        let beyond = f64::from((self.in_flight + 1).saturating_sub(slots)) / f64::from(slots);
        let full = if now_ms < self.full_until_ms {
            3.0
        } else {
            1.0
        };
        f64::from(self.in_flight + 1)
            * (1.0 + beyond)
            * self.habit_ms(now_ms, usual_ms).max(1.0)
            * full
            / weight
    }

    pub fn settle(&mut self, now_ms: f64, fate: Fate, took_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match fate {
            Fate::Answered(status) if status < 500 => {
                self.hold_ms = 0.0;
                self.measure(now_ms, took_ms);
            }
            // It is alive and says what it thinks; its time isn't that of a good answer.
            Fate::Answered(_) => {
                self.hold_ms = 0.0;
                self.full_until_ms = now_ms + FULL_MS;
            }
            Fate::NotExecuted => {
                self.hold_ms = 0.0;
                self.full_until_ms = now_ms + FULL_MS;
            }
            Fate::TimedOut => {
                self.measure(now_ms, took_ms);
                self.hold(now_ms, HOLD_MS);
            }
            Fate::Unsent | Fate::Broken | Fate::Spoilt => self.hold(now_ms, HOLD_MS),
        }
    }

    /// No room for another connection of ours: nothing is wrong with it.
    pub fn full(&mut self, now_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.full_until_ms = now_ms + FULL_MS;
    }

    pub fn stranger(&mut self, now_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.hold(now_ms, STRANGER_HOLD_MS);
    }

    fn measure(&mut self, now_ms: f64, took_ms: f64) {
        let habit_ms = self.habit_ms.unwrap_or(took_ms);
        let share = if took_ms > habit_ms { 0.3 } else { 0.15 };
        self.habit_ms = Some(habit_ms + share * (took_ms - habit_ms));
        self.measured_ms = now_ms;
    }

    /// Failures of tries that went out together count once.
    fn hold(&mut self, now_ms: f64, first_ms: f64) {
        if self.hold_ms > 0.0 && now_ms < self.held_until_ms {
            return;
        }
        let doubled_ms = if self.hold_ms > 0.0 {
            2.0 * self.hold_ms
        } else {
            0.0
        };
        self.hold_ms = doubled_ms.clamp(first_ms, LONGEST_HOLD_MS);
        self.held_until_ms = now_ms + self.hold_ms;
    }
}
