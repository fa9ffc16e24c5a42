//! Runs a scripted scenario with several seeds and checks that it detects the given mutations.

use rookpulley_simulator::{Day, Mutation, Played, play};

pub const SEEDS: std::ops::Range<u64> = 0..4;

/// An additional check of a run that broke no rule; returns a description of the failure.
pub type Check = fn(&Played) -> Option<String>;

/// Asserts that all seeds pass without a mutation and that each mutation makes at least one seed fail.
pub fn case(day: fn(u64) -> Day, check: Check, mutations: &[Mutation]) {
    let failed = |seed: u64, mutation| {
        let played = play(&day(seed), mutation);
        let rules: Vec<String> = played.breaches.iter().map(ToString::to_string).collect();
        if rules.is_empty() {
            check(&played)
        } else {
            Some(rules.join("; "))
        }
    };
    for seed in SEEDS {
        if let Some(failure) = failed(seed, None) {
            panic!("seed {seed}: {failure}\n{}", day(seed));
        }
    }
    for mutation in mutations {
        let found = SEEDS
            .into_iter()
            .find_map(|seed| failed(seed, Some(*mutation)));
        println!("{mutation:?}: {}", found.as_deref().unwrap_or("not found"));
        assert!(found.is_some(), "{mutation:?} is not found");
    }
}
