//! Retry policy and retry budgets under arbitrary attempt outcomes.

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

/// Recorded trace of a request: send times and final action.
struct RequestTrace {
    sends_ms: Vec<f64>,
    unsent_attempts: u32,
    may_have_executed: bool,
    final_action: NextAction,
}

fn run(
    u: &mut Unstructured,
    kind: RouteKind,
    max_sends: u32,
    start_ms: f64,
    budget: &mut RetryBudget,
) -> Result<RequestTrace> {
    let deadline_ms = start_ms + f64::from(u.int_in_range(0..=2_000u32)?);
    let mut attempts = RequestAttempts::new(kind, max_sends, deadline_ms, 0.5);
    budget.record_request(start_ms);
    let mut trace = RequestTrace {
        sends_ms: Vec::new(),
        unsent_attempts: 0,
        may_have_executed: false,
        final_action: NextAction::Retry,
    };
    let mut now_ms = start_ms;
    loop {
        attempts.begin(&format!("i-{}", attempts.tried().len()));
        let outcome = outcome(u)?;
        if outcome == AttemptOutcome::Unsent {
            trace.unsent_attempts += 1;
        } else {
            let is_idempotent = kind != RouteKind::Mutating;
            assert!(
                is_idempotent || !trace.may_have_executed,
                "non-idempotent request resent after an attempt that may have been executed"
            );
            trace.sends_ms.push(now_ms);
            trace.may_have_executed |= outcome != AttemptOutcome::NotExecuted;
        }
        now_ms += f64::from(u.int_in_range(0..=300u32)?);
        let has_untried = u.ratio(9, 10)?;
        trace.final_action = attempts.record(outcome, now_ms, has_untried, budget);
        match trace.final_action {
            NextAction::Retry => assert!(has_untried && now_ms < deadline_ms),
            NextAction::Forward => assert!(matches!(outcome, AttemptOutcome::Answered(_))),
            _ => assert!(!matches!(outcome, AttemptOutcome::Answered(_))),
        }
        if trace.final_action != NextAction::Retry {
            return Ok(trace);
        }
    }
}

#[test]
fn rejects_only_unexecuted_requests_and_respects_attempt_limits() {
    run_cases(60, 1 << 14, |u| {
        let mut budget = RetryBudget::new(10.0, 1_000.0);
        budget.set_proxies(1);
        (0..100).for_each(|_| budget.record_request(0.0));
        for _ in 0..20 {
            let max_sends = u.int_in_range(1..=5)?;
            let kind = kind(u)?;
            let trace = run(u, kind, max_sends, 0.0, &mut budget)?;
            let is_rejected = matches!(trace.final_action, NextAction::Reject { .. });
            assert!(
                !(is_rejected && trace.may_have_executed),
                "503 for a request that may have been executed"
            );
            assert!(
                is_rejected || trace.may_have_executed,
                "no 503 although no attempt can have been executed"
            );
            assert!(trace.sends_ms.len() as u32 <= max_sends && trace.unsent_attempts <= 4);
        }
        Ok(())
    });
}

#[test]
fn retries_of_all_proxies_stay_within_the_budget_in_every_window() {
    const WINDOW_MS: f64 = 10_000.0;
    run_cases(60, 1 << 14, |u| {
        let (ratio, slack) = (
            f64::from(u.int_in_range(1..=10u32)?) / 10.0,
            f64::from(u.int_in_range(8..=80u32)?),
        );
        let proxies = *u.choose(&[1, 2, 8, 60])?;
        let new_budget = || {
            let mut budget = RetryBudget::new(ratio, slack);
            budget.set_proxies(proxies);
            budget
        };
        let mut budgets: Vec<RetryBudget> = (0..proxies).map(|_| new_budget()).collect();
        let (mut now_ms, mut requests, mut retries) = (0.0, Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(50..=400u32)? {
            now_ms += f64::from(*u.choose(&[0, 1, 10, 100, 1_000, 4_000])?);
            let at = u.choose_index(budgets.len())?;
            if u.ratio(1, 50)? {
                budgets[at] = new_budget();
            }
            let kind = kind(u)?;
            // All sends of a request are counted at its arrival; the budget limits withdrawals.
            requests.push(now_ms);
            let trace = run(u, kind, 5, now_ms, &mut budgets[at])?;
            retries.extend(std::iter::repeat_n(
                now_ms,
                trace.sends_ms.len().saturating_sub(1),
            ));
        }
        let count = |times: &[f64], from: f64| {
            times
                .iter()
                .filter(|&&time| time >= from && time < from + WINDOW_MS)
                .count() as f64
        };
        for &from in &retries {
            let before = [from, from - WINDOW_MS / 2.0, from - WINDOW_MS];
            let counted = before
                .iter()
                .map(|&start| count(&requests, start))
                .fold(0.0, f64::max);
            assert!(count(&retries, from) <= ratio * counted + slack);
        }
        Ok(())
    });
}

#[test]
fn budget_needs_the_fleet_size_and_decays() {
    let mut budget = RetryBudget::new(1.0, 4.0);
    (0..100).for_each(|_| budget.record_request(0.0));
    assert!(!budget.has_token(0.0));
    budget.set_proxies(40);
    (0..100).for_each(|_| budget.record_request(0.0));
    // The share is a fraction of a token: a whole one is available at once but decays.
    assert!(budget.has_token(0.0));
    assert!(!budget.has_token(2_000.0));
    (0..100).for_each(|_| budget.record_request(2_000.0));
    assert!(budget.withdraw(2_000.0) && budget.withdraw(2_000.0) && !budget.withdraw(2_000.0));
}

/// In a large fleet the share is below one token and attempts take time to fail; retries must still be possible.
#[test]
fn share_below_one_token_allows_retries_after_slow_attempts() {
    let (ratio, slack, proxies, per_s) = (0.2, 64.0, 91, 20.0);
    for took_ms in [5.0, 50.0, 250.0] {
        let mut budget = RetryBudget::new(ratio, slack);
        budget.set_proxies(proxies);
        let (mut withdrawn, mut now_ms) = (0, 0.0);
        for _ in 0..400 {
            now_ms += 1_000.0 / per_s;
            budget.record_request(now_ms);
            // Every fifth request fails.
            withdrawn += u32::from(
                (now_ms as u64 / 50).is_multiple_of(5) && budget.withdraw(now_ms + took_ms),
            );
        }
        // Each request deposits 0.16 tokens (0.8 * 0.2).
        assert!(
            (40..=64).contains(&withdrawn),
            "{withdrawn} after {took_ms} ms"
        );
    }
}
