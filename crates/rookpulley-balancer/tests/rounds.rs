//! What requests may suffer, whatever happens to their tries.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_balancer::{Budget, Fate, Next, Round};
use rookpulley_routes::RouteKind;
use rookpulley_samples::plays;

fn kind(u: &mut Unstructured) -> Result<RouteKind> {
    Ok(*u.choose(&[
        RouteKind::ReadOnly,
        RouteKind::Mutating,
        RouteKind::Download,
    ])?)
}

fn fate(u: &mut Unstructured) -> Result<Fate> {
    let status = *u.choose(&[200, 404, 500, 504])?;
    Ok(*u.choose(&[
        Fate::Unsent,
        Fate::NotExecuted,
        Fate::NotExecuted,
        Fate::Answered(status),
        Fate::Broken,
        Fate::Spoilt,
        Fate::TimedOut,
    ])?)
}

/// What became of a request: when each send left, and how it ended.
struct Story {
    sends_ms: Vec<f64>,
    unsent: u32,
    may_have_run: bool,
    end: Next,
}

fn live(
    u: &mut Unstructured,
    kind: RouteKind,
    attempts: u32,
    from_ms: f64,
    budget: &mut Budget,
) -> Result<Story> {
    let until_ms = from_ms + f64::from(u.int_in_range(0..=2_000u32)?);
    let mut round = Round::new(kind, attempts, until_ms, 0.5);
    budget.request(from_ms);
    let mut story = Story {
        sends_ms: Vec::new(),
        unsent: 0,
        may_have_run: false,
        end: Next::Try,
    };
    let mut now_ms = from_ms;
    loop {
        round.goes_to(&format!("life-{}", round.tried().len()));
        let fate = fate(u)?;
        if fate == Fate::Unsent {
            story.unsent += 1;
        } else {
            let repeatable = kind != RouteKind::Mutating;
            assert!(
                repeatable || !story.may_have_run,
                "sent again after a try that may have run"
            );
            story.sends_ms.push(now_ms);
            story.may_have_run |= fate != Fate::NotExecuted;
        }
        now_ms += f64::from(u.int_in_range(0..=300u32)?);
        let another = u.ratio(9, 10)?;
        story.end = round.settle(fate, now_ms, another, budget);
        match story.end {
            Next::Try => assert!(another && now_ms < until_ms),
            Next::Pass => assert!(matches!(fate, Fate::Answered(_))),
            _ => assert!(!matches!(fate, Fate::Answered(_))),
        }
        if story.end != Next::Try {
            return Ok(story);
        }
    }
}

#[test]
fn no_promise_follows_a_try_that_may_have_run_and_no_other_bound_is_passed() {
    plays(60, 1 << 14, |u| {
        let mut budget = Budget::new(10.0, 1_000.0);
        budget.shared_by(1);
        (0..100).for_each(|_| budget.request(0.0));
        for _ in 0..20 {
            let attempts = u.int_in_range(1..=5)?;
            let kind = kind(u)?;
            let story = live(u, kind, attempts, 0.0, &mut budget)?;
            let promised = matches!(story.end, Next::Refuse { .. });
            assert!(
                !(promised && story.may_have_run),
                "a promise that may be broken"
            );
            assert!(
                promised || story.may_have_run,
                "no promise though nothing can have run"
            );
            assert!(story.sends_ms.len() as u32 <= attempts && story.unsent <= 4);
        }
        Ok(())
    });
}

#[test]
fn further_sends_of_all_proxies_stay_within_what_a_service_is_allowed_in_every_window() {
    const WINDOW_MS: f64 = 10_000.0;
    plays(60, 1 << 14, |u| {
        let (ratio, slack) = (
            f64::from(u.int_in_range(1..=10u32)?) / 10.0,
            f64::from(u.int_in_range(8..=80u32)?),
        );
        let proxies = *u.choose(&[1, 2, 8, 60])?;
        let fresh = || {
            let mut budget = Budget::new(ratio, slack);
            budget.shared_by(proxies);
            budget
        };
        let mut budgets: Vec<Budget> = (0..proxies).map(|_| fresh()).collect();
        let (mut now_ms, mut requests, mut further) = (0.0, Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(50..=400u32)? {
            now_ms += f64::from(*u.choose(&[0, 1, 10, 100, 1_000, 4_000])?);
            let at = u.choose_index(budgets.len())?;
            if u.ratio(1, 50)? {
                budgets[at] = fresh();
            }
            let kind = kind(u)?;
            // All that its tries take is put at one moment: what counts is when they were paid.
            requests.push(now_ms);
            let story = live(u, kind, 5, now_ms, &mut budgets[at])?;
            further.extend(std::iter::repeat_n(
                now_ms,
                story.sends_ms.len().saturating_sub(1),
            ));
        }
        let count = |times: &[f64], from: f64| {
            times
                .iter()
                .filter(|&&time| time >= from && time < from + WINDOW_MS)
                .count() as f64
        };
        for &from in &further {
            let before = [from, from - WINDOW_MS / 2.0, from - WINDOW_MS];
            let counted = before
                .iter()
                .map(|&start| count(&requests, start))
                .fold(0.0, f64::max);
            assert!(count(&further, from) <= ratio * counted + slack);
        }
        Ok(())
    });
}

#[test]
fn nothing_is_paid_before_the_proxies_are_counted_or_from_what_leaked_away() {
    let mut budget = Budget::new(1.0, 4.0);
    (0..100).for_each(|_| budget.request(0.0));
    assert!(!budget.has(0.0));
    budget.shared_by(40);
    (0..100).for_each(|_| budget.request(0.0));
    // A share is a fraction of a token: one can be had at once, not later.
    assert!(budget.has(0.0));
    assert!(!budget.has(2_000.0));
    (0..100).for_each(|_| budget.request(2_000.0));
    assert!(budget.take(2_000.0) && budget.take(2_000.0) && !budget.take(2_000.0));
}

/// As it is on a large site: a token is a second's requests or so, and a try takes a while to fail.
#[test]
fn a_share_of_less_than_one_pays_for_further_sends_of_tries_that_took_time() {
    let (ratio, slack, proxies, per_s) = (0.2, 64.0, 91, 20.0);
    for took_ms in [5.0, 50.0, 250.0] {
        let mut budget = Budget::new(ratio, slack);
        budget.shared_by(proxies);
        let (mut paid, mut now_ms) = (0, 0.0);
        for _ in 0..400 {
            now_ms += 1_000.0 / per_s;
            budget.request(now_ms);
            // Every fifth request fails.
            paid +=
                u32::from((now_ms as u64 / 50).is_multiple_of(5) && budget.take(now_ms + took_ms));
        }
        // Each takes one of the 1/0.16 requests that pay for it.
        assert!((40..=64).contains(&paid), "{paid} after {took_ms} ms");
    }
}
