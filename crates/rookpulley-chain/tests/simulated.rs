//! Randomized fault injection on simulated chains: crashes, power loss, disk faults, stalls, partitions and connection
//! resets. The call history of each name must be linearizable.

mod world;

use world::disk::DiskFault;
use world::{Fault, Mutation, World};

/// Injects random faults, some of them in pairs, with full recovery between rounds.
fn random_faults(seed: u64, rounds: usize, mutation: Option<Mutation>) -> World {
    let (controllers, losses) = (3 + (seed % 4) as usize, if seed % 4 >= 2 { 2 } else { 1 });
    let mut world = World::with_mutation(seed, controllers, losses, mutation);
    world.process_stalls = seed.is_multiple_of(3);
    world.max_delay_ms = if seed.is_multiple_of(5) { 60 } else { 6 };
    world.run(3_000);
    for round in 0..rounds as u64 {
        let first = world.random_fault(true);
        let loses_disk = matches!(
            first,
            world::Fault::Wipe { .. } | world::Fault::Replace { .. }
        );
        world.inject(first);
        if (seed + round).is_multiple_of(2) {
            let gap = rand::RngExt::random_range(&mut world.rng, 0..1_400u64);
            world.run(gap);
            let second = world.random_fault(false);
            let second = if loses_disk {
                world::Fault::KillAll { power: true }
            } else {
                second
            };
            world.inject(second);
        }
        let duration = rand::RngExt::random_range(&mut world.rng, 200..3_500u64);
        world.run(duration);
        world.heal();
        world.run(4_500);
        world.check();
    }
    world.process_stalls = false;
    world.assert_updates_complete();
    world
}

/// Injects faults faster than the chain can recover, which interrupts votes, proposals and installs at any point.
fn rapid_faults(seed: u64, mutation: Option<Mutation>) -> World {
    let (controllers, losses) = (3 + (seed % 3) as usize, 1 + usize::from(seed % 3 == 2));
    let mut world = World::with_mutation(seed, controllers, losses, mutation);
    world.max_delay_ms = if seed.is_multiple_of(2) { 60 } else { 6 };
    world.run(2_000);
    let mut wipes_left = 1;
    for _ in 0..30 {
        let mut fault = world.random_fault(false);
        if wipes_left > 0 && rand::RngExt::random_range(&mut world.rng, 0..12u32) == 0 {
            wipes_left -= 1;
            let nodes = world.nodes();
            let at = nodes[rand::RngExt::random_range(&mut world.rng, 0..nodes.len())];
            fault = world::Fault::Wipe { at };
        }
        world.inject(fault);
        let duration = rand::RngExt::random_range(&mut world.rng, 20..900u64);
        world.run(duration);
        if rand::RngExt::random_range(&mut world.rng, 0..2u32) == 0 {
            world.heal();
            let duration = rand::RngExt::random_range(&mut world.rng, 20..900u64);
            world.run(duration);
        }
    }
    world.heal();
    world.run(5_000);
    world.assert_updates_complete();
    world
}

/// Injects faults during snapshot transfers of a changing state of 160 or 320 KB.
fn catch_up_faults(seed: u64, mutation: Option<Mutation>) -> World {
    let draw = |world: &mut World, limit: u64| rand::RngExt::random_range(&mut world.rng, 0..limit);
    let mut world = World::with_padding_and_mutation(
        seed,
        3 + (seed % 2) as usize,
        20_000 << (seed / 2 % 2) as usize,
        mutation,
    );
    // More updates than the log retains.
    (world.call_interval_ms, world.max_delay_ms) = (1, 6);
    world.run(6_500);
    (world.call_interval_ms, world.max_delay_ms) =
        (3, if seed.is_multiple_of(3) { 60 } else { 26 });
    for _ in 0..4 {
        let nodes = world.nodes();
        let at = nodes[draw(&mut world, nodes.len() as u64) as usize];
        world.inject(Fault::Wipe { at });
        let downtime = draw(&mut world, 900);
        world.run(downtime);
        world.heal();
        let delay = draw(&mut world, 700);
        world.run(delay);
        let fault = match draw(&mut world, 4) {
            0 => Fault::Kill { at, power: true },
            1 => Fault::KillAll { power: true },
            _ => world.random_fault(false),
        };
        world.inject(fault);
        let duration = draw(&mut world, 900);
        world.run(duration);
        world.heal();
        world.run(4_000);
    }
    world.assert_updates_complete();
    world
}

/// The longest pause between answered updates after one fault in a healthy chain.
fn pause_after(
    seed: u64,
    (process_stalls, max_delay_ms): (bool, u64),
    fault: impl Fn(&World) -> Fault,
) -> u64 {
    let mut world = World::new(seed, 3 + (seed % 3) as usize, 1);
    (
        world.process_stalls,
        world.max_delay_ms,
        world.call_interval_ms,
    ) = (process_stalls, max_delay_ms, 4);
    world.run(3_000 + seed % 140);
    let (fault, since) = (fault(&world), world.now);
    world.inject(fault);
    world.run(3_000);
    world.check();
    world.longest_pause(since)
}

fn percentiles(mut pauses: Vec<u64>) -> (u64, u64, u64) {
    pauses.sort_unstable();
    let at = |part: f64| pauses[((pauses.len() - 1) as f64 * part) as usize];
    (at(0.5), at(0.99), at(1.0))
}

type FaultCase = (&'static str, fn(&World) -> Fault);

const FAULT_CASES: [FaultCase; 8] = [
    ("tail killed", |w| Fault::Kill {
        at: w.tail(),
        power: false,
    }),
    ("tail loses power", |w| Fault::Kill {
        at: w.tail(),
        power: true,
    }),
    ("head killed", |w| Fault::Kill {
        at: w.head(),
        power: false,
    }),
    ("head loses power", |w| Fault::Kill {
        at: w.head(),
        power: true,
    }),
    ("head frozen", |w| Fault::Freeze { at: w.head() }),
    ("head sends but does not receive", |w| {
        let head = w.head();
        Fault::Cut {
            from: w.others(head),
            to: vec![head],
            both: false,
            held: true,
        }
    }),
    ("head receives but does not send", |w| {
        let head = w.head();
        Fault::Cut {
            from: vec![head],
            to: w.others(head),
            both: false,
            held: true,
        }
    }),
    ("disk 30 times slower", |w| Fault::Disk {
        at: w.tail(),
        fault: DiskFault::Slow,
    }),
];

#[test]
#[ignore = "prints how long updates pause: cargo test --release -p rookpulley-chain -- --ignored --nocapture pauses"]
fn pauses_by_fault() {
    let slow = FAULT_CASES[FAULT_CASES.len() - 1].1;
    let pauses = (0..300).map(|seed| pause_after(seed, (false, 6), slow));
    println!(
        "disk 30 times slower, messages of up to 7 ms: {:?}",
        percentiles(pauses.collect())
    );
    for process_stalls in [false, true] {
        for (name, fault) in FAULT_CASES {
            let pauses = (0..300).map(|seed| pause_after(seed, (process_stalls, 25), fault));
            let (median, p99, worst) = percentiles(pauses.collect());
            println!(
                "process stalls {process_stalls}: {name}: median {median} ms, p99 {p99} ms, worst {worst} ms"
            );
        }
        for power in [false, true] {
            let pauses = (0..300).map(|seed| {
                let mut world = World::new(seed, 3 + (seed % 3) as usize, 1);
                (
                    world.process_stalls,
                    world.max_delay_ms,
                    world.call_interval_ms,
                ) = (process_stalls, 25, 4);
                world.run(3_000);
                world.inject(Fault::KillAll { power });
                world.run(700);
                let since = world.now;
                world.heal();
                world.run(3_000);
                world.check();
                world.longest_pause(since)
            });
            let (median, p99, worst) = percentiles(pauses.collect());
            println!(
                "process stalls {process_stalls}: all killed, power loss {power}, since the restart: median {median} ms, p99 {p99} ms, worst {worst} ms"
            );
        }
    }
}

#[test]
#[ignore = "prints how often a stalled process is mistaken for a lost one"]
fn false_suspicions_without_faults() {
    let (mut views, mut minutes) = (0, 0);
    for seed in 0..60 {
        let mut world = World::new(seed, 3 + (seed % 3) as usize, 1);
        (
            world.process_stalls,
            world.max_delay_ms,
            world.call_interval_ms,
        ) = (true, 25, 20);
        world.run(3_000);
        let before = world.view_number();
        world.run(60_000);
        (views, minutes) = (views + world.view_number() - before, minutes + 1);
    }
    println!(
        "{views} new views in {minutes} minutes without faults, while random processes stall for 50 to 250 ms"
    );
}

/// Runs the seeds in order and panics with the first one that fails.
fn run_seeds(seeds: std::ops::Range<u64>, run: impl Fn(u64)) {
    for seed in seeds {
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed)));
        assert!(outcome.is_ok(), "seed {seed} failed");
    }
}

#[test]
fn random_faults_within_tolerance_preserve_linearizability_and_recovery() {
    run_seeds(0..8, |seed| _ = random_faults(seed, 4, None));
}

#[test]
fn rapid_faults_preserve_linearizability() {
    run_seeds(0..4, |seed| _ = rapid_faults(seed, None));
}

#[test]
fn faults_during_catch_up_preserve_linearizability() {
    run_seeds(0..2, |seed| _ = catch_up_faults(seed, None));
}

/// The seeds from `CHAIN_SEEDS=FROM..TO`, or 0..200.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("CHAIN_SEEDS").unwrap_or_default();
    let (from, to) = text.split_once("..").unwrap_or(("0", "200"));
    from.parse().unwrap()..to.parse().unwrap()
}

/// Runs the seeds on all cores and returns those that failed. With a mutation, stops at the first failure.
fn run_on_all_cores(
    seeds: std::ops::Range<u64>,
    mutation: Option<Mutation>,
    run: impl Fn(u64, Option<Mutation>) -> World + Sync + std::panic::RefUnwindSafe,
) -> Vec<u64> {
    use std::sync::atomic::{AtomicU64, Ordering};
    let (next, steps, calls, unknown) = (
        AtomicU64::new(seeds.start),
        AtomicU64::new(0),
        AtomicU64::new(0),
        AtomicU64::new(0),
    );
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, |n| n.get()) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end
                        || (mutation.is_some() && !failed.lock().unwrap().is_empty())
                    {
                        return;
                    }
                    match std::panic::catch_unwind(|| run(seed, mutation)) {
                        Ok(world) => {
                            steps.fetch_add(world.steps, Ordering::Relaxed);
                            calls.fetch_add(world.call_count() as u64, Ordering::Relaxed);
                            unknown.fetch_add(world.unknown, Ordering::Relaxed);
                        }
                        Err(_) => failed.lock().unwrap().push(seed),
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    failed.sort_unstable();
    println!(
        "{mutation:?}: seeds {seeds:?}, {} steps, {} calls, {} with unknown outcome, failed {failed:?}",
        steps.into_inner(),
        calls.into_inner(),
        unknown.into_inner()
    );
    failed
}

#[test]
#[ignore = "long: CHAIN_SEEDS=0..3000 cargo test --release -p rookpulley-chain -- --ignored --nocapture"]
fn thousands_of_seeds_preserve_linearizability() {
    assert_eq!(
        run_on_all_cores(seeds(), None, |seed, mutation| random_faults(
            seed, 6, mutation
        )),
        []
    );
    assert_eq!(run_on_all_cores(seeds(), None, rapid_faults), []);
    assert_eq!(run_on_all_cores(seeds(), None, catch_up_faults), []);
}

#[test]
#[ignore = "long: prints the first seed that detects each mutation"]
fn mutations_are_detected() {
    use Mutation::*;
    let protocol_mutations = [
        AckBeforeSync,
        LocalTailReads,
        UnknownReportedAsRejected,
        VotesNotPersisted,
        IdentityKeptAfterWipe,
        RetriesNotDeduplicated,
    ];
    for mutation in protocol_mutations.into_iter().chain([
        CatchUpAckedBeforeSync,
        CatchUpSendsUncommitted,
        ChunksMixed,
        CommitIndexAhead,
    ]) {
        let random = run_on_all_cores(seeds(), Some(mutation), |seed, mutation| {
            random_faults(seed, 6, mutation)
        });
        let rapid = run_on_all_cores(seeds(), Some(mutation), rapid_faults);
        let catch_up = run_on_all_cores(seeds(), Some(mutation), catch_up_faults);
        let first = [random.first(), rapid.first(), catch_up.first()];
        println!(
            "{mutation:?}: first detecting seed with random, rapid and catch-up faults: {first:?}"
        );
    }
}
