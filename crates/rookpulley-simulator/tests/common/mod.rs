//! A scripted day, played for several seeds, and the mutations that it must find.

use rookpulley_simulator::{Day, Mutation, Played, play};

pub const SEEDS: std::ops::Range<u64> = 0..4;

/// What is wrong with a day that broke no rule; None: nothing.
pub type Wrong = fn(&Played) -> Option<String>;

/// The case holds for all seeds, and each of these faults is found by one of them.
pub fn case(day: fn(u64) -> Day, wrong: Wrong, mutations: &[Mutation]) {
    let failed = |seed: u64, mutation| {
        let played = play(&day(seed), mutation);
        let rules: Vec<String> = played.breaches.iter().map(ToString::to_string).collect();
        if rules.is_empty() {
            wrong(&played)
        } else {
            Some(rules.join("; "))
        }
    };
    for seed in SEEDS {
        if let Some(wrong) = failed(seed, None) {
            panic!("seed {seed}: {wrong}\n{}", day(seed));
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
