//! Days of whole gateways, drawn from seeds.

use rookpulley_drill::{Day, Mutation, hunt, play, shrink};

#[test]
#[ignore = "long: DRILL_SEEDS=0..2000 cargo test --release -p rookpulley-drill -- --ignored --nocapture many_days"]
fn many_days_break_no_rule() {
    let text = std::env::var("DRILL_SEEDS").unwrap_or_default();
    let (from, to) = text.split_once("..").unwrap_or(("0", "200"));
    let seeds = from.parse().unwrap()..to.parse().unwrap();
    let begun = std::time::Instant::now();
    let hunted = hunt(seeds, 6, None);
    println!("{} days in {:?}, {hunted:?}", hunted.days, begun.elapsed());
    if let Some(found) = &hunted.found {
        println!("{}", found.day);
        found.breaches.iter().for_each(|breach| println!("{breach}"));
    }
    assert!(hunted.found.is_none());
}

#[test]
fn days_of_trouble_break_no_rule() {
    let hunted = hunt(0..24, 4, None);
    if let Some(found) = &hunted.found {
        let told: Vec<String> = found.breaches.iter().map(ToString::to_string).collect();
        panic!("seed {} fails: {}\n{}", found.day.seed, told.join("\n"), found.day);
    }
    assert_eq!(hunted.days, 24);
    // What isn't served breaks no rule, but then little was tried.
    assert!(hunted.served * 10 > hunted.requests * 7 && hunted.calls > 24 * 200, "{hunted:?}");
}

#[test]
fn a_day_that_fails_is_shrunk_to_what_it_needs() {
    let mutation = Some(Mutation::SyncLeftOut);
    let rule = Mutation::SyncLeftOut.breaks();
    let found = hunt(0..40, 4, mutation).found.unwrap();
    let (day, _) = shrink(&found.day, rule, mutation);
    // What was not synced is lost with the power alone.
    let told = day.to_string();
    assert!(found.day.happens.len() > 2 && day.happens.len() == 1, "{told}");
    assert!(told.contains("Dark") || told.contains("power: true"), "{told}");
    assert!(play(&day, mutation).breaches.iter().any(|breach| breach.rule == rule));
    assert_eq!(play(&day, None).breaches, []);
}

#[test]
#[ignore = "prints one day"]
fn one_day() {
    let seed = std::env::var("DRILL_DAY").ok().and_then(|day| day.parse().ok()).unwrap_or(0);
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
    played.breaches.iter().for_each(|breach| println!("{breach}"));
}

#[test]
#[ignore = "long: says how many days it takes to find each fault put in on purpose"]
fn faults_put_in_on_purpose_are_found() {
    let mut missed = Vec::new();
    for mutation in Mutation::ALL {
        let begun = std::time::Instant::now();
        let hunted = hunt(0..400, 6, Some(mutation));
        let Some(found) = hunted.found else {
            println!("{mutation:?}: not found in {} days", hunted.days);
            missed.push(mutation);
            continue;
        };
        let (seed, days) = (found.day.seed, hunted.days);
        println!("{mutation:?}: seed {seed} after {days} days, {:?}: {}", begun.elapsed(), found.breaches[0]);
    }
    assert_eq!(missed, []);
}
