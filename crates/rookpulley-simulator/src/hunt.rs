//! Searches seeds for a scenario that breaks a rule and reduces it to a minimal failing one.

use crate::day::Day;
use crate::judge::{Breach, Rule};
use crate::world::{Mutation, play};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// A scenario that broke a rule.
#[derive(Clone, Debug)]
pub struct Found {
    pub day: Day,
    pub breaches: Vec<Breach>,
    /// Number of scenarios simulated so far, including this one.
    pub days: u64,
}

/// The totals of a search and the failing scenario with the lowest seed.
#[derive(Clone, Debug, Default)]
pub struct Hunted {
    pub days: u64,
    pub requests: u64,
    pub served: u64,
    pub calls: u64,
    pub steps: u64,
    pub found: Option<Found>,
}

/// Simulates the scenarios of these seeds in parallel until one fails. With a mutation, only breaches of the rule that
/// the mutation targets count.
pub fn hunt(seeds: Range<u64>, threads: usize, mutation: Option<Mutation>) -> Hunted {
    let next = AtomicU64::new(seeds.start);
    let all = Mutex::new(Hunted::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    let over = all.lock().map_or(true, |all| all.found.is_some());
                    if seed >= seeds.end || over {
                        return;
                    }
                    let day = Day::draw(seed);
                    let mut played = play(&day, mutation);
                    if let Some(mutation) = mutation {
                        played
                            .breaches
                            .retain(|breach| Some(breach.rule) == mutation.breaks());
                    }
                    let Ok(mut all) = all.lock() else { return };
                    all.days += 1;
                    all.requests += played.requests as u64;
                    all.served += played.served as u64;
                    all.calls += played.calls as u64;
                    all.steps += played.steps;
                    let lower = all.found.as_ref().is_none_or(|found| seed < found.day.seed);
                    if !played.breaches.is_empty() && lower {
                        all.found = Some(Found {
                            day,
                            breaches: played.breaches,
                            days: all.days,
                        });
                    }
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}

/// Reduces a scenario by removing events while the rule is still broken. Returns the scenario and the number of
/// simulations.
pub fn shrink(day: &Day, rule: Rule, mutation: Option<Mutation>) -> (Day, u64) {
    let mut played = 0;
    let mut still = |day: &Day| {
        played += 1;
        play(day, mutation)
            .breaches
            .iter()
            .any(|breach| breach.rule == rule)
    };
    let mut day = day.clone();
    let mut size = day.events.len().div_ceil(2);
    while size > 0 {
        let mut from = 0;
        while from < day.events.len() {
            let mut less = day.clone();
            less.events.drain(from..(from + size).min(day.events.len()));
            if still(&less) {
                day = less;
            } else {
                from += size;
            }
        }
        size /= 2;
    }
    let plainer: [fn(&mut Day); 3] = [
        |day| day.held_up = false,
        |day| day.apps = 0,
        |day| day.rate /= 2,
    ];
    for plainer in plainer {
        let mut less = day.clone();
        plainer(&mut less);
        if less != day && still(&less) {
            day = less;
        }
    }
    (day, played)
}
