//! Breadth-first search of all reachable states, so that a violation is found on a shortest path.

use crate::rules::{Coverage, Model, Next, Step, Violation};
use crate::state::State;
use std::hash::{Hash, Hasher};

pub struct SearchResult {
    pub states: usize,
    pub steps: usize,
    pub longest: usize,
    pub coverage: Coverage,
    pub violation: Option<(Violation, Vec<Step>)>,
}

/// A fast hash function. A collision only costs a comparison.
struct FastHasher(u64);

impl FastHasher {
    fn mix(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

impl Hasher for FastHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.mix(u64::from(*b)));
    }

    fn write_u8(&mut self, byte: u8) {
        self.mix(byte.into());
    }

    fn write_u16(&mut self, word: u16) {
        self.mix(word.into());
    }

    fn write_usize(&mut self, word: usize) {
        self.mix(word as u64);
    }

    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }
}

/// The states, each with its first predecessor and step, and a hash index.
struct StateTable {
    states: Vec<State>,
    from: Vec<(u32, Step)>,
    slots: Vec<u32>,
}

impl StateTable {
    fn begin(state: State) -> Self {
        let mut table = Self {
            states: Vec::new(),
            from: Vec::new(),
            slots: vec![0; 1 << 16],
        };
        table.push(state, (0, Step::Begin));
        table
    }

    fn slot_of(&self, state: &State) -> usize {
        let mut sum = FastHasher(0);
        state.hash(&mut sum);
        let mask = self.slots.len() - 1;
        let mut at = sum.finish() as usize & mask;
        while self.slots[at] != 0 && self.states[self.slots[at] as usize - 1] != *state {
            at = (at + 1) & mask;
        }
        at
    }

    fn push(&mut self, state: State, from: (u32, Step)) {
        let slot = self.slot_of(&state);
        if self.slots[slot] != 0 {
            return;
        }
        self.states.push(state);
        self.from.push(from);
        self.slots[slot] = self.states.len() as u32;
        if self.states.len() * 2 > self.slots.len() {
            self.slots = vec![0; self.slots.len() * 2];
            for at in 0..self.states.len() {
                let slot = self.slot_of(&self.states[at]);
                self.slots[slot] = at as u32 + 1;
            }
        }
    }

    fn path_to(&self, mut at: usize) -> Vec<Step> {
        let mut path = Vec::new();
        while at > 0 {
            let (from, step) = self.from[at];
            path.push(step);
            at = from as usize;
        }
        path.reverse();
        path
    }
}

/// Explores until a rule is violated or no state is left, and panics beyond `max_states`.
pub fn search(model: &Model, max_states: usize) -> SearchResult {
    let mut table = StateTable::begin(model.begin());
    let (mut at, mut steps, mut violation) = (0, 0, None);
    let mut next: Vec<Next> = Vec::new();
    while at < table.states.len() && violation.is_none() {
        assert!(
            table.states.len() <= max_states,
            "more than {max_states} states"
        );
        model.steps(&table.states[at].clone(), &mut next);
        steps += next.len();
        for Next { step, state, rule } in next.drain(..) {
            if let Err(rule) = rule {
                let mut path = table.path_to(at);
                path.push(step);
                violation = Some((rule, path));
                break;
            }
            table.push(state, (at as u32, step));
        }
        at += 1;
    }
    let longest = table.path_to(table.states.len() - 1).len();
    SearchResult {
        states: table.states.len(),
        steps,
        longest,
        coverage: model.coverage.get(),
        violation,
    }
}
