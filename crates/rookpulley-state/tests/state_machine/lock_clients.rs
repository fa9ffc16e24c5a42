//! Simulated lock clients that crash, pause and retry, and measure their leases from when they sent the request. Some
//! crash while a request is on its way, and start again under the same name before it takes effect.

use super::{restored_copy, run_cases};
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_state::{Answer, StateMachine, Update};

/// Maximum delay before a request takes effect: one second on its way to a controller, and 750 ms in the chain.
const MAX_DELAY_MS: u64 = 1_749;
/// How long a client waits for an answer, unless it crashes.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
const LOCKS: [&str; 2] = ["door", "gate"];

#[derive(Clone, Copy, PartialEq)]
enum RequestKind {
    Acquire,
    Renew(u64),
    Release(u64),
}

/// A request in flight. `is_answered`: the answer reaches the client.
struct InFlightRequest {
    arrives_ms: u64,
    sent_ms: u64,
    client: usize,
    kind: RequestKind,
    duration_ms: u64,
    is_answered: bool,
}

#[derive(Default)]
struct LockClient {
    /// Fencing token and end of the lease as measured by the client.
    lease: Option<(u64, u64)>,
    wake_ms: u64,
}

/// History of a lock, recorded by an observer of every answer.
#[derive(Default)]
struct LockHistory {
    /// Fencing tokens with the clients that acquired them.
    fences: Vec<(u64, usize)>,
    /// Last successful client, and an upper bound of its lease end by real time.
    possible_holder: Option<(usize, u64)>,
}

fn update(lock: usize, client_index: usize, kind: RequestKind, duration_ms: u64) -> Update {
    let (name, holder) = (LOCKS[lock].to_owned(), format!("a{client_index}"));
    match kind {
        RequestKind::Acquire => Update::AcquireLock {
            name,
            holder,
            lease_ms: duration_ms,
        },
        RequestKind::Renew(fence) => Update::RenewLock {
            name,
            holder,
            fence,
            lease_ms: duration_ms,
        },
        RequestKind::Release(fence) => Update::ReleaseLock {
            name,
            holder,
            fence,
        },
    }
}

/// The next request of a client, or None if it only waits.
fn next_request(
    u: &mut Unstructured<'_>,
    now_ms: u64,
    client: &mut LockClient,
) -> Result<Option<RequestKind>> {
    let choice = u.int_in_range(0..=9)?;
    Ok(match client.lease {
        // The client crashes and restarts under the same name, or pauses, possibly beyond its lease.
        Some(_) if choice == 0 => {
            *client = LockClient {
                lease: None,
                wake_ms: now_ms + u.int_in_range(1_000..=4_000)?,
            };
            None
        }
        Some(_) if choice == 1 => {
            client.wake_ms = now_ms + u.int_in_range(0..=6_000)?;
            None
        }
        Some((fence, _)) if choice < 4 => {
            client.lease = None;
            Some(RequestKind::Release(fence))
        }
        Some((fence, end)) if now_ms < end => Some(RequestKind::Renew(fence)),
        Some(_) => {
            client.lease = None;
            None
        }
        None if choice < 7 => Some(RequestKind::Acquire),
        None => None,
    })
}

fn check_answer(
    now_ms: u64,
    request: &InFlightRequest,
    answer: &Answer,
    history: &mut LockHistory,
) {
    let client_index = request.client;
    let is_success = match (request.kind, answer) {
        (RequestKind::Acquire, Answer::Acquired(fence)) => {
            let last = history.fences.last().copied();
            assert!(
                last.is_none_or(|(last, of)| *fence > last || *fence == last && of == client_index),
                "fencing token {fence} is not above {last:?}"
            );
            if last.is_none_or(|(last, _)| last != *fence) {
                history.fences.push((*fence, client_index));
            }
            true
        }
        (RequestKind::Renew(fence), Answer::Renewed) => {
            assert_eq!(
                history.fences.last(),
                Some(&(fence, client_index)),
                "renewed a lease after the lock was acquired by another client"
            );
            true
        }
        (RequestKind::Acquire, Answer::LockHeld) => {
            // Real time runs at most a fifth faster than the replicated time here.
            let is_held = history
                .possible_holder
                .is_some_and(|(of, end)| of != client_index && now_ms < end);
            assert!(is_held, "acquiring a free lock failed");
            false
        }
        (RequestKind::Renew(_), Answer::LockHeld) => false,
        (RequestKind::Release(fence), Answer::Released) => {
            if history.fences.last() == Some(&(fence, client_index)) {
                history.possible_holder = None;
            }
            false
        }
        (RequestKind::Release(fence), Answer::ReleaseMayBeStale) => {
            assert_eq!(
                history.fences.last(),
                Some(&(fence, client_index)),
                "a release that names no lease was refused"
            );
            false
        }
        (_, other) => panic!("unexpected answer {other:?}"),
    };
    if is_success {
        let previous_end = history
            .possible_holder
            .filter(|(of, _)| *of == client_index)
            .map_or(0, |(_, end)| end);
        history.possible_holder = Some((
            client_index,
            previous_end.max(now_ms + (request.duration_ms + 50) * 5 / 4 + 10),
        ));
    }
}

fn simulate_clients(u: &mut Unstructured<'_>) -> Result<()> {
    let mut state = StateMachine::default();
    let mut in_flight: Vec<(usize, InFlightRequest)> = Vec::new();
    let mut clients: Vec<Vec<LockClient>> = LOCKS
        .iter()
        .map(|_| (0..3).map(|_| LockClient::default()).collect())
        .collect();
    let mut histories: Vec<LockHistory> = LOCKS.iter().map(|_| LockHistory::default()).collect();
    // The replicated time never runs fast; here it may run up to a fifth slow.
    let (mut now_ms, mut replicated_us, mut replicated_rate) = (0u64, 0u64, 1_000u64);
    while !u.is_empty() {
        let step = u.int_in_range(1..=120)?;
        now_ms += step;
        replicated_us += step * replicated_rate;
        if u.ratio(1, 60)? {
            replicated_rate = u.int_in_range(800..=1_000)?;
        }
        if u.ratio(1, 40)? {
            state = restored_copy(&state);
        }

        in_flight.sort_by_key(|(_, request)| request.arrives_ms);
        while in_flight
            .first()
            .is_some_and(|(_, request)| request.arrives_ms <= now_ms)
        {
            let (lock, request) = in_flight.remove(0);
            let answer = state.apply(
                replicated_us / 1_000,
                &update(lock, request.client, request.kind, request.duration_ms),
            );
            check_answer(now_ms, &request, &answer, &mut histories[lock]);
            let client = &mut clients[lock][request.client];
            if !request.is_answered {
                continue;
            }
            client.wake_ms = now_ms;
            let end = request.sent_ms + request.duration_ms;
            client.lease = match (request.kind, &answer, client.lease) {
                (RequestKind::Acquire, Answer::Acquired(fence), _) if now_ms < end => {
                    Some((*fence, end))
                }
                // The client ignores a renewal that is answered after its lease has ended.
                (RequestKind::Renew(_), Answer::Renewed, Some((fence, previous_end)))
                    if now_ms < previous_end =>
                {
                    Some((fence, previous_end.max(end)))
                }
                _ => None,
            };
        }

        for (lock, clients) in clients.iter_mut().enumerate() {
            for (client_index, client) in clients
                .iter_mut()
                .enumerate()
                .filter(|(_, c)| c.wake_ms <= now_ms)
            {
                let Some(kind) = next_request(u, now_ms, client)? else {
                    continue;
                };
                let duration_ms = u.int_in_range(1..=3)? * 700;
                let has_crashed = u.ratio(1, 8)?;
                let is_answered = !has_crashed && u.ratio(3, 4)?;
                client.wake_ms = now_ms + ANSWER_TIMEOUT_MS;
                if has_crashed {
                    client.lease = None;
                    client.wake_ms = now_ms + u.int_in_range(0..=ANSWER_TIMEOUT_MS)?;
                }
                // An unanswered request may or may not take effect, but never after MAX_DELAY_MS.
                if is_answered || u.ratio(1, 2)? {
                    let arrives_ms = now_ms + u.int_in_range(0..=MAX_DELAY_MS)?;
                    in_flight.push((
                        lock,
                        InFlightRequest {
                            arrives_ms,
                            sent_ms: now_ms,
                            client: client_index,
                            kind,
                            duration_ms,
                            is_answered,
                        },
                    ));
                }
            }
            let holders = clients
                .iter()
                .filter(|c| c.lease.is_some_and(|(_, end)| now_ms < end))
                .count();
            assert!(
                holders <= 1,
                "{holders} clients consider themselves holders of {}",
                LOCKS[lock]
            );
        }
    }
    Ok(())
}

#[test]
fn at_most_one_client_considers_itself_holder() {
    run_cases(150, 20_000, simulate_clients);
}
