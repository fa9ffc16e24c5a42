//! Stops proxy processes while clients keep their connections busy. A request that the process has read must get its
//! answer, whenever it comes.

mod client;
mod controller;
mod early_answer;
mod exchange;
mod judge;
mod random;
mod scenario;
mod task;

use scenario::{Scenario, Summary};

/// Selects the seeds of the long run, as `FIRST..END`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// How many processes the long run stops at the same time, unless the variable says otherwise.
const PARALLEL_VARIABLE: &str = "SOAK_PARALLEL";
const DEFAULT_PARALLEL: usize = 8;

/// Runs these seeds at the same time, each with a proxy process of its own. Returns what they found.
fn run_seeds(seeds: impl Iterator<Item = u64>, stops: usize) -> Vec<Summary> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let runs: Vec<_> = seeds
            .map(|seed| tokio::task::spawn_local(Scenario::new(seed, stops).run()))
            .collect();
        let mut summaries = Vec::new();
        for run in runs {
            summaries.push(run.await.unwrap());
        }
        summaries
    })
}

/// Prints what each seed found. Returns how many requests were lost.
fn report(summaries: &[Summary]) -> usize {
    for summary in summaries {
        println!("{summary}");
    }
    summaries.iter().map(|summary| summary.findings.len()).sum()
}

/// Guards against a request that was read long after SIGTERM and given up when the process ended (issue 62, LOST).
#[test]
fn requests_that_were_read_are_answered_until_the_process_has_ended() {
    let summaries = run_seeds(0..6, 1);
    assert_eq!(report(&summaries), 0);
    assert!(summaries.iter().all(|summary| summary.answered > 100));
}

/// The long run, by hand: `SOAK_SEEDS=0..50 cargo test -p rookpulley-proxy --test soak -- --ignored --nocapture`.
#[test]
#[ignore = "long; takes its seeds from SOAK_SEEDS"]
fn long_soak() {
    let range = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "0..50".to_owned());
    let (first, end) = range.split_once("..").unwrap();
    let seeds: Vec<u64> = (first.parse().unwrap()..end.parse().unwrap()).collect();
    let parallel = std::env::var(PARALLEL_VARIABLE)
        .map_or(DEFAULT_PARALLEL, |parallel| parallel.parse().unwrap());
    let found: usize = seeds
        .chunks(parallel)
        .map(|chunk| report(&run_seeds(chunk.iter().copied(), 2)))
        .sum();
    assert_eq!(found, 0);
}
