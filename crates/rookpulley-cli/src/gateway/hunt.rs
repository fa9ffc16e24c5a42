//! Simulates days of whole gateways and shows the first that breaks a rule, reduced to fewer events.

use rookpulley_simulator::{Breach, Day, Hunted, hunt, play, shrink};
use serde_json::{Value, json};
use std::fmt::Write;

/// Parses a range of seeds: FROM..TO or a single seed.
pub fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let number = |text: &str| {
        text.trim()
            .parse::<u64>()
            .map_err(|_| format!("`{text}` is not an unsigned integer"))
    };
    let seeds = match text.split_once("..") {
        Some((from, to)) => number(from)?..number(to)?,
        None => number(text)?..number(text)?.saturating_add(1),
    };
    if seeds.is_empty() {
        Err(format!("the seed range {text} is empty; write FROM..TO"))
    } else {
        Ok(seeds)
    }
}

/// A failing day: its original size and first breach, the shrunk day and its breaches.
struct ShrunkFailure {
    seed: u64,
    initial_events: usize,
    breach: Breach,
    day: Day,
    shrink_runs: u64,
    breaches: Vec<Breach>,
}

fn shrink_failure(hunted: &Hunted) -> Option<ShrunkFailure> {
    let found = hunted.found.as_ref()?;
    let breach = found.breaches.first()?.clone();
    let (day, shrink_runs) = shrink(&found.day, breach.rule, None);
    let breaches = play(&day, None).breaches;
    Some(ShrunkFailure {
        seed: found.day.seed,
        initial_events: found.day.events.len(),
        breach,
        day,
        shrink_runs,
        breaches,
    })
}

fn breach_lines(breaches: &[Breach]) -> Vec<String> {
    breaches.iter().map(ToString::to_string).collect()
}

pub fn run_hunt(json: bool, seeds: std::ops::Range<u64>, threads: usize) -> (String, bool) {
    let hunted = hunt(seeds, threads, None);
    let found = shrink_failure(&hunted);
    let passed = found.is_none();
    if json {
        let found = found.map(|found| {
            let events: Vec<Value> = found
                .day
                .events
                .iter()
                .map(|(at, it)| json!({"atMs": at, "what": format!("{it:?}")}))
                .collect();
            json!({"seed": found.seed, "first": found.breach.to_string(), "happens": events,
                   "breaches": breach_lines(&found.breaches)})
        });
        let value = json!({"days": hunted.days, "requests": hunted.requests, "served": hunted.served,
                           "calls": hunted.calls, "found": found});
        return (format!("{value}\n"), passed);
    }
    let mut text = format!(
        "{} days: {} requests, {} served, {} application calls\n",
        hunted.days, hunted.requests, hunted.served, hunted.calls
    );
    match found {
        None => text.push_str("no rule broken\n"),
        Some(found) => {
            _ = writeln!(
                text,
                "the day of seed {} breaks a rule: {}",
                found.seed, found.breach
            );
            _ = writeln!(
                text,
                "of its {} events, {} are needed ({} days simulated to find them):\n",
                found.initial_events,
                found.day.events.len(),
                found.shrink_runs
            );
            _ = write!(text, "{}", found.day);
            breach_lines(&found.breaches)
                .iter()
                .for_each(|line| _ = writeln!(text, "{line}"));
        }
    }
    (text, passed)
}

/// Simulates one day and prints its log.
pub fn run_day(json: bool, seed: u64) -> (String, bool) {
    let day = Day::draw(seed);
    let played = play(&day, None);
    let passed = played.breaches.is_empty();
    if json {
        let value = json!({"seed": seed, "requests": played.requests, "served": played.served,
                           "calls": played.calls, "breaches": breach_lines(&played.breaches), "log": played.log});
        return (format!("{value}\n"), passed);
    }
    let mut text = format!("{day}\n");
    played
        .log
        .iter()
        .for_each(|line| _ = writeln!(text, "{line}"));
    _ = writeln!(
        text,
        "\n{} requests, {} served, {} application calls",
        played.requests, played.served, played.calls
    );
    match passed {
        true => text.push_str("no rule broken\n"),
        false => breach_lines(&played.breaches)
            .iter()
            .for_each(|line| _ = writeln!(text, "{line}")),
    }
    (text, passed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seeds_are_a_range_or_a_single_number() {
        assert_eq!((seeds("3..9"), seeds("7")), (Ok(3..9), Ok(7..8)));
        ["", "9..3", "a..3", "4..4"]
            .iter()
            .for_each(|text| assert!(seeds(text).is_err(), "{text}"));
    }

    #[test]
    fn hunt_reports_the_simulated_workload() {
        let (text, passed) = run_hunt(false, 0..1, 1);
        assert!(
            passed && text.starts_with("1 days: ") && text.ends_with("no rule broken\n"),
            "{text}"
        );
        let (text, _) = run_hunt(true, 0..1, 1);
        let value: Value = serde_json::from_str(&text).unwrap();
        assert!(
            value["requests"].as_u64() > Some(500) && value["found"].is_null(),
            "{text}"
        );
    }
}
