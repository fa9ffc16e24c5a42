//! What requests may suffer, whatever happens to their tries.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_balancer::{AttemptOutcome, NextAction, RequestAttempts, RetryBudget};
use rookpulley_routes::RouteKind;
use rookpulley_samples::run_cases;

fn kind(u: &mut Unstructured) -> Result<RouteKind> {
    Ok(*u.choose(&[
        RouteKind::ReadOnly,
        RouteKind::Mutating,
        RouteKind::Download,
    ])?)
}

fn outcome(u: &mut Unstructured) -> Result<AttemptOutcome> {
    let status = *u.choose(&[200, 404, 500, 504])?;
    Ok(*u.choose(&[
        AttemptOutcome::Unsent,
        AttemptOutcome::NotExecuted,
        AttemptOutcome::NotExecuted,
        AttemptOutcome::Answered(status),
        AttemptOutcome::Interrupted,
        AttemptOutcome::InvalidResponse,
        AttemptOutcome::TimedOut,
    ])?)
}

/// What became of a request: when each send left, and how it ended.
struct Course {
    sends_ms: Vec<f64>,
    unsent: u32,
    may_have_run: bool,
    end: NextAction,
}

fn run(
    u: &mut Unstructured,
    kind: RouteKind,
    max_sends: u32,
    from_ms: f64,
    budget: &mut RetryBudget,
) -> Result<Course> {
    let until_ms = from_ms + f64::from(u.int_in_range(0..=2_000u32)?);
    let mut attempts = RequestAttempts::new(kind, max_sends, until_ms, 0.5);
    budget.record_request(from_ms);
    let mut course = Course {
        sends_ms: Vec::new(),
        unsent: 0,
        may_have_run: false,
        end: NextAction::Retry,
    };
    let mut now_ms = from_ms;
    loop {
        attempts.begin(&format!("i-{}", attempts.tried().len()));
        let outcome = outcome(u)?;
        if outcome == AttemptOutcome::Unsent {
            course.unsent += 1;
        } else {
            let repeatable = kind != RouteKind::Mutating;
            assert!(
                repeatable || !course.may_have_run,
                "sent again after a try that may have run"
            );
            course.sends_ms.push(now_ms);
            course.may_have_run |= outcome != AttemptOutcome::NotExecuted;
        }
        now_ms += f64::from(u.int_in_range(0..=300u32)?);
        let another = u.ratio(9, 10)?;
        course.end = attempts.record(outcome, now_ms, another, budget);
        match course.end {
            NextAction::Retry => assert!(another && now_ms < until_ms),
            NextAction::Forward => assert!(matches!(outcome, AttemptOutcome::Answered(_))),
            _ => assert!(!matches!(outcome, AttemptOutcome::Answered(_))),
        }
        if course.end != NextAction::Retry {
            return Ok(course);
        }
    }
}

#[test]
fn no_promise_follows_a_try_that_may_have_run_and_no_other_bound_is_passed() {
    run_cases(60, 1 << 14, |u| {
        let mut budget = RetryBudget::new(10.0, 1_000.0);
        budget.set_proxies(1);
        (0..100).for_each(|_| budget.record_request(0.0));
        for _ in 0..20 {
            let max_sends = u.int_in_range(1..=5)?;
            let kind = kind(u)?;
            let course = run(u, kind, max_sends, 0.0, &mut budget)?;
            let promised = matches!(course.end, NextAction::Reject { .. });
            assert!(
                !(promised && course.may_have_run),
                "a promise that may be broken"
            );
            assert!(
                promised || course.may_have_run,
                "no promise though nothing can have run"
            );
            assert!(course.sends_ms.len() as u32 <= max_sends && course.unsent <= 4);
        }
        Ok(())
    });
}

#[test]
fn further_sends_of_all_proxies_stay_within_what_a_service_is_allowed_in_every_window() {
    const WINDOW_MS: f64 = 10_000.0;
    run_cases(60, 1 << 14, |u| {
        let (ratio, slack) = (
            f64::from(u.int_in_range(1..=10u32)?) / 10.0,
            f64::from(u.int_in_range(8..=80u32)?),
        );
        let proxies = *u.choose(&[1, 2, 8, 60])?;
        let fresh = || {
            let mut budget = RetryBudget::new(ratio, slack);
            budget.set_proxies(proxies);
            budget
        };
        let mut budgets: Vec<RetryBudget> = (0..proxies).map(|_| fresh()).collect();
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
            let course = run(u, kind, 5, now_ms, &mut budgets[at])?;
            further.extend(std::iter::repeat_n(
                now_ms,
                course.sends_ms.len().saturating_sub(1),
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
    let mut budget = RetryBudget::new(1.0, 4.0);
    (0..100).for_each(|_| budget.record_request(0.0));
    assert!(!budget.can_pay(0.0));
    budget.set_proxies(40);
    (0..100).for_each(|_| budget.record_request(0.0));
    // A share is a fraction of a token: one can be had at once, not later.
    assert!(budget.can_pay(0.0));
    assert!(!budget.can_pay(2_000.0));
    (0..100).for_each(|_| budget.record_request(2_000.0));
    assert!(budget.withdraw(2_000.0) && budget.withdraw(2_000.0) && !budget.withdraw(2_000.0));
}

/// As it is on a large site: a token is a second's requests or so, and a try takes a while to fail.
#[test]
fn a_share_of_less_than_one_pays_for_further_sends_of_tries_that_took_time() {
    let (ratio, slack, proxies, per_s) = (0.2, 64.0, 91, 20.0);
    for took_ms in [5.0, 50.0, 250.0] {
        let mut budget = RetryBudget::new(ratio, slack);
        budget.set_proxies(proxies);
        let (mut paid, mut now_ms) = (0, 0.0);
        for _ in 0..400 {
            now_ms += 1_000.0 / per_s;
            budget.record_request(now_ms);
            // Every fifth request fails.
            paid += u32::from(
                (now_ms as u64 / 50).is_multiple_of(5) && budget.withdraw(now_ms + took_ms),
            );
        }
        // Each takes one of the 1/0.16 requests that pay for it.
        assert!((40..=64).contains(&paid), "{paid} after {took_ms} ms");
    }
}
