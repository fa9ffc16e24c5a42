//! Random scenarios of whole gateways.

use rookpulley_simulator::{Day, Event, Mutation, hunt, play, shrink};
use std::path::{Path, PathBuf};

#[test]
#[ignore = "long: DRILL_SEEDS=0..2000 cargo test --release -p rookpulley-simulator -- --ignored --nocapture many_days"]
fn many_days_break_no_rule() {
    let text = std::env::var("DRILL_SEEDS").unwrap_or_default();
    let (from, to) = text.split_once("..").unwrap_or(("0", "200"));
    let seeds = from.parse().unwrap()..to.parse().unwrap();
    let begun = std::time::Instant::now();
    let hunted = hunt(seeds, 6, None);
    println!("{} days in {:?}, {hunted:?}", hunted.days, begun.elapsed());
    if let Some(found) = &hunted.found {
        println!("{}", found.day);
        found
            .breaches
            .iter()
            .for_each(|breach| println!("{breach}"));
    }
    assert!(hunted.found.is_none());
}

#[test]
fn days_with_faults_break_no_rule() {
    let hunted = hunt(0..24, 4, None);
    if let Some(found) = &hunted.found {
        let told: Vec<String> = found.breaches.iter().map(ToString::to_string).collect();
        panic!(
            "seed {} fails: {}\n{}",
            found.day.seed,
            told.join("\n"),
            found.day
        );
    }
    assert_eq!(hunted.days, 24);
    // Unserved requests break no rule, so require that most were served.
    assert!(
        hunted.served * 10 > hunted.requests * 7 && hunted.calls > 24 * 200,
        "{hunted:?}"
    );
}

#[test]
fn where_no_seed_has_a_disk_one_is_named_and_days_go_as_others_do() {
    for seed in 0..4 {
        let mut day = Day::draw(seed);
        (
            day.controllers,
            day.stateless_controllers,
            day.proxies,
            day.stateless_seeds,
        ) = (3, 3, day.proxies.max(6), true);
        day.losses = 1;
        day.events.retain(|(at, _)| *at > 9_000);
        let played = play(&day, None);
        assert_eq!(played.breaches, [], "{day}");
        assert!(
            played.served * 2 > played.requests && played.calls > 200,
            "{day}"
        );
    }
}

#[test]
fn a_day_that_fails_is_shrunk_to_what_it_needs() {
    let mutation = Some(Mutation::SkipSync);
    let rule = Mutation::SkipSync.breaks().unwrap();
    // Find a failing scenario with enough events to remove.
    let much = |from: u64| {
        hunt(from..60, 4, mutation)
            .found
            .filter(|found| found.day.events.len() > 2)
    };
    let found = (0..60).step_by(4).find_map(much).unwrap();
    let (day, _) = shrink(&found.day, rule, mutation);
    // A power loss must remain, and removing any further event must hide the failure.
    let told = day.to_string();
    assert!(day.events.len() < found.day.events.len(), "{told}");
    for at in 0..day.events.len() {
        let mut without = day.clone();
        without.events.remove(at);
        let breaches = play(&without, mutation).breaches;
        assert!(
            breaches.iter().all(|breach| breach.rule != rule),
            "{at} of {told}"
        );
    }
    assert!(
        told.contains("Dark") || told.contains("power: true"),
        "{told}"
    );
    assert!(
        play(&day, mutation)
            .breaches
            .iter()
            .any(|breach| breach.rule == rule)
    );
    assert_eq!(play(&day, None).breaches, []);
}

#[test]
fn a_step_of_the_time_of_day_changes_nothing() {
    let mut day = Day::draw(7);
    day.events
        .retain(|(_, event)| !matches!(event, Event::ClockStep { .. }));
    let calm = play(&day, None);
    day.events.insert(
        0,
        (
            5_000,
            Event::ClockStep {
                machine: 0,
                by_s: -7,
            },
        ),
    );
    let stepped = play(&day, None);
    assert_eq!(stepped.steps, calm.steps + 1);
    let lines = stepped
        .log
        .iter()
        .filter(|line| !line.contains("ClockStep"));
    assert!(lines.eq(&calm.log));
}

/// The sources, without unit tests, of packages whose declared role is `decides` or `keeps`.
fn deciding() -> Vec<(PathBuf, String)> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut packages: Vec<PathBuf> = std::fs::read_dir(crates)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    packages.push(crates.parent().unwrap().to_path_buf());
    let mut sources = Vec::new();
    for package in packages {
        let manifest = std::fs::read_to_string(package.join("Cargo.toml")).unwrap_or_default();
        if !manifest.contains("role = \"decides\"") && !manifest.contains("role = \"keeps\"") {
            continue;
        }
        let mut folders = vec![package.join("src")];
        while let Some(folder) = folders.pop() {
            for path in std::fs::read_dir(folder)
                .unwrap()
                .map(|entry| entry.unwrap().path())
            {
                if path.is_dir() {
                    folders.push(path);
                } else if path.file_stem().is_some_and(|name| name != "tests") {
                    let text = std::fs::read_to_string(&path).unwrap();
                    let code = text
                        .split("#[cfg(test)]")
                        .next()
                        .unwrap_or_default()
                        .to_string();
                    sources.push((path, code));
                }
            }
        }
    }
    sources
}

#[test]
fn what_decides_has_no_clock_no_socket_and_no_file() {
    let sources = deciding();
    // Guards against a search that finds too few sources.
    assert!(sources.len() > 60, "{}", sources.len());
    for (path, code) in sources {
        for word in [
            "SystemTime",
            "Instant",
            "tokio",
            "std::fs",
            "TcpStream",
            "UdpSocket",
            "thread::",
        ] {
            assert!(!code.contains(word), "{} has {word}", path.display());
        }
    }
}

#[test]
#[ignore = "prints one day"]
fn one_day() {
    let seed = std::env::var("DRILL_DAY")
        .ok()
        .and_then(|day| day.parse().ok())
        .unwrap_or(0);
    let day = Day::draw(seed);
    let played = play(&day, None);
    println!("{day}");
    if std::env::var_os("DRILL_LOG").is_some() {
        played.log.iter().for_each(|line| println!("{line}"));
    }
    println!(
        "{} steps, {} requests, {} served, {} calls",
        played.steps, played.requests, played.served, played.calls
    );
    played
        .breaches
        .iter()
        .for_each(|breach| println!("{breach}"));
}

#[test]
#[ignore = "long: says how many days it takes to find each fault put in on purpose"]
fn faults_put_in_on_purpose_are_found() {
    let mut missed = Vec::new();
    for mutation in Mutation::ALL {
        let begun = std::time::Instant::now();
        let hunted = hunt(0..1_000, 6, Some(mutation));
        let Some(found) = hunted.found else {
            println!("{mutation:?}: not found in {} days", hunted.days);
            missed.push(mutation);
            continue;
        };
        let (seed, days) = (found.day.seed, hunted.days);
        println!(
            "{mutation:?}: seed {seed} after {days} days, {:?}: {}",
            begun.elapsed(),
            found.breaches[0]
        );
    }
    assert_eq!(missed, []);
}
