//! All states that can be reached, breadth first, so that what breaks a rule is found on a shortest way.

use crate::rules::{Broken, Model, Next, Seen, Step};
use crate::state::State;
use std::hash::{Hash, Hasher};

pub struct Found {
    pub states: usize,
    pub steps: usize,
    pub longest: usize,
    pub seen: Seen,
    pub broken: Option<(Broken, Vec<Step>)>,
}

/// A fast sum: a clash costs a comparison and nothing else.
struct Sum(u64);

impl Sum {
    fn mix(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

impl Hasher for Sum {
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

/// The states with the step that led to each first, and where they lie by their sum.
struct Table {
    states: Vec<State>,
    from: Vec<(u32, Step)>,
    cells: Vec<u32>,
}

impl Table {
    fn begin(state: State) -> Self {
        let mut table = Self {
            states: Vec::new(),
            from: Vec::new(),
            cells: vec![0; 1 << 16],
        };
        table.add(state, (0, Step::Begin));
        table
    }

    fn cell(&self, state: &State) -> usize {
        let mut sum = Sum(0);
        state.hash(&mut sum);
        let mask = self.cells.len() - 1;
        let mut at = sum.finish() as usize & mask;
        while self.cells[at] != 0 && self.states[self.cells[at] as usize - 1] != *state {
            at = (at + 1) & mask;
        }
        at
    }

    fn add(&mut self, state: State, from: (u32, Step)) {
        let cell = self.cell(&state);
        if self.cells[cell] != 0 {
            return;
        }
        self.states.push(state);
        self.from.push(from);
        self.cells[cell] = self.states.len() as u32;
        if self.states.len() * 2 > self.cells.len() {
            self.cells = vec![0; self.cells.len() * 2];
            for at in 0..self.states.len() {
                let cell = self.cell(&self.states[at]);
                self.cells[cell] = at as u32 + 1;
            }
        }
    }

    fn way_to(&self, mut at: usize) -> Vec<Step> {
        let mut way = Vec::new();
        while at > 0 {
            let (from, step) = self.from[at];
            way.push(step);
            at = from as usize;
        }
        way.reverse();
        way
    }
}

/// Goes on until a rule is broken, all is seen, or there are so many states.
pub fn search(model: &Model, most: usize) -> Found {
    let mut table = Table::begin(model.begin());
    let (mut at, mut steps, mut broken) = (0, 0, None);
    let mut next: Vec<Next> = Vec::new();
    while at < table.states.len() && broken.is_none() {
        assert!(table.states.len() <= most, "more than {most} states");
        model.steps(&table.states[at].clone(), &mut next);
        steps += next.len();
        for Next { step, state, rule } in next.drain(..) {
            if let Err(rule) = rule {
                let mut way = table.way_to(at);
                way.push(step);
                broken = Some((rule, way));
                break;
            }
            table.add(state, (at as u32, step));
        }
        at += 1;
    }
    let longest = table.way_to(table.states.len() - 1).len();
    Found {
        states: table.states.len(),
        steps,
        longest,
        seen: model.seen.get(),
        broken,
    }
}
