//! Plays days of whole gateways in this process, and shows the first that breaks a rule, shrunk.

use rookpulley_simulator::{Breach, Day, Hunted, hunt, play, shrink};
use serde_json::{Value, json};
use std::fmt::Write;

/// Seeds as they are given: FROM..TO, or one alone.
pub fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let number = |text: &str| {
        text.trim()
            .parse::<u64>()
            .map_err(|_| format!("`{text}` is no whole number"))
    };
    let seeds = match text.split_once("..") {
        Some((from, to)) => number(from)?..number(to)?,
        None => number(text)?..number(text)?.saturating_add(1),
    };
    if seeds.is_empty() {
        Err(format!("there is no seed in {text}: write FROM..TO"))
    } else {
        Ok(seeds)
    }
}

/// What was found: the day as it was drawn, the rule, the day shrunk and what it breaks.
struct Shrunk {
    seed: u64,
    drawn: usize,
    breach: Breach,
    day: Day,
    played: u64,
    breaches: Vec<Breach>,
}

fn shrunk(hunted: &Hunted) -> Option<Shrunk> {
    let found = hunted.found.as_ref()?;
    let breach = found.breaches.first()?.clone();
    let (day, played) = shrink(&found.day, breach.rule, None);
    let breaches = play(&day, None).breaches;
    Some(Shrunk {
        seed: found.day.seed,
        drawn: found.day.events.len(),
        breach,
        day,
        played,
        breaches,
    })
}

fn lines(breaches: &[Breach]) -> Vec<String> {
    breaches.iter().map(ToString::to_string).collect()
}

pub fn hunted(json: bool, seeds: std::ops::Range<u64>, threads: usize) -> (String, bool) {
    let hunted = hunt(seeds, threads, None);
    let found = shrunk(&hunted);
    let well = found.is_none();
    if json {
        let found = found.map(|found| {
            let events: Vec<Value> = found
                .day
                .events
                .iter()
                .map(|(at, it)| json!({"atMs": at, "what": format!("{it:?}")}))
                .collect();
            json!({"seed": found.seed, "first": found.breach.to_string(), "happens": events,
                   "breaches": lines(&found.breaches)})
        });
        let value = json!({"days": hunted.days, "requests": hunted.requests, "served": hunted.served,
                           "calls": hunted.calls, "found": found});
        return (format!("{value}\n"), well);
    }
    let mut text = format!(
        "{} days: {} requests, {} served, {} calls of applications\n",
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
                "of {} things that happen it needs {} ({} days played to see that):\n",
                found.drawn,
                found.day.events.len(),
                found.played
            );
            _ = write!(text, "{}", found.day);
            lines(&found.breaches)
                .iter()
                .for_each(|line| _ = writeln!(text, "{line}"));
        }
    }
    (text, well)
}

/// One day with its log.
pub fn day(json: bool, seed: u64) -> (String, bool) {
    let day = Day::draw(seed);
    let played = play(&day, None);
    let well = played.breaches.is_empty();
    if json {
        let value = json!({"seed": seed, "requests": played.requests, "served": played.served,
                           "calls": played.calls, "breaches": lines(&played.breaches), "log": played.log});
        return (format!("{value}\n"), well);
    }
    let mut text = format!("{day}\n");
    played
        .log
        .iter()
        .for_each(|line| _ = writeln!(text, "{line}"));
    _ = writeln!(
        text,
        "\n{} requests, {} served, {} calls of applications",
        played.requests, played.served, played.calls
    );
    match well {
        true => text.push_str("no rule broken\n"),
        false => lines(&played.breaches)
            .iter()
            .for_each(|line| _ = writeln!(text, "{line}")),
    }
    (text, well)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seeds_are_a_range_or_one() {
        assert_eq!((seeds("3..9"), seeds("7")), (Ok(3..9), Ok(7..8)));
        ["", "9..3", "a..3", "4..4"]
            .iter()
            .for_each(|text| assert!(seeds(text).is_err(), "{text}"));
    }

    #[test]
    fn a_hunt_says_how_much_it_played() {
        let (text, well) = hunted(false, 0..1, 1);
        assert!(
            well && text.starts_with("1 days: ") && text.ends_with("no rule broken\n"),
            "{text}"
        );
        let (text, _) = hunted(true, 0..1, 1);
        let value: Value = serde_json::from_str(&text).unwrap();
        assert!(
            value["requests"].as_u64() > Some(500) && value["found"].is_null(),
            "{text}"
        );
    }
}
