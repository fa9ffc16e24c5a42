//! Callers as they live outside: they die, sleep, ask again, and count their own time by when they sent a call.

use super::{moved, run_cases};
use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_state::{Answer, StateMachine, Update};

/// How late a call may take effect after it was sent, and how long a caller waits for an answer.
const LATE_MS: u64 = 900;
const PATIENCE_MS: u64 = 1_000;
const LOCKS: [&str; 2] = ["door", "gate"];

#[derive(Clone, Copy, PartialEq)]
enum Call {
    Take,
    Renew(u64),
    Drop(u64),
}

/// A call under way. `heard`: its answer gets back to the caller.
struct Flight {
    arrives_ms: u64,
    sent_ms: u64,
    caller: usize,
    call: Call,
    hold_ms: u64,
    heard: bool,
}

#[derive(Default)]
struct Caller {
    /// Its fence and the end of its time, by its own reckoning.
    holds: Option<(u64, u64)>,
    next_ms: u64,
}

/// The lock's past, as an onlooker who sees every answer would write it.
#[derive(Default)]
struct PastEvent {
    /// Fences with the caller that got them.
    fences: Vec<(u64, usize)>,
    /// Who may have it at the latest until when, by real time: the last good call's hold and a margin.
    may: Option<(usize, u64)>,
}

fn update(lock: usize, who: usize, call: Call, hold_ms: u64) -> Update {
    let (name, holder) = (LOCKS[lock].to_owned(), format!("a{who}"));
    match call {
        Call::Take => Update::AcquireLock {
            name,
            holder,
            lease_ms: hold_ms,
        },
        Call::Renew(fence) => Update::RenewLock {
            name,
            holder,
            fence,
            lease_ms: hold_ms,
        },
        Call::Drop(fence) => Update::ReleaseLock {
            name,
            holder,
            fence,
        },
    }
}

/// The next thing that a caller does; None: it only waits.
fn next_call(u: &mut Unstructured<'_>, now_ms: u64, caller: &mut Caller) -> Result<Option<Call>> {
    let choice = u.int_in_range(0..=9)?;
    Ok(match caller.holds {
        // It dies while holding and is back a while later under the same name; or it sleeps, perhaps past its time.
        Some(_) if choice == 0 => {
            *caller = Caller {
                holds: None,
                next_ms: now_ms + u.int_in_range(1_000..=4_000)?,
            };
            None
        }
        Some(_) if choice == 1 => {
            caller.next_ms = now_ms + u.int_in_range(0..=6_000)?;
            None
        }
        Some((fence, _)) if choice < 4 => {
            caller.holds = None;
            Some(Call::Drop(fence))
        }
        Some((fence, end)) if now_ms < end => Some(Call::Renew(fence)),
        Some(_) => {
            caller.holds = None;
            None
        }
        None if choice < 7 => Some(Call::Take),
        None => None,
    })
}

fn check_answer(now_ms: u64, flight: &Flight, answer: &Answer, past: &mut PastEvent) {
    let who = flight.caller;
    let good = match (flight.call, answer) {
        (Call::Take, Answer::Acquired(fence)) => {
            let last = past.fences.last().copied();
            assert!(
                last.is_none_or(|(last, of)| *fence > last || *fence == last && of == who),
                "fence"
            );
            if last.is_none_or(|(last, _)| last != *fence) {
                past.fences.push((*fence, who));
            }
            true
        }
        (Call::Renew(fence), Answer::Renewed) => {
            assert_eq!(
                past.fences.last(),
                Some(&(fence, who)),
                "renewed what another has had since"
            );
            true
        }
        (Call::Take, Answer::LockHeld) => {
            // Real time is up to a fifth ahead of the ledger's in these runs, and no more.
            let busy = past.may.is_some_and(|(of, end)| of != who && now_ms < end);
            assert!(busy, "a free lock was refused");
            false
        }
        (Call::Renew(_), Answer::LockHeld) => false,
        (Call::Drop(fence), Answer::Released) => {
            if past.fences.last() == Some(&(fence, who)) {
                past.may = None;
            }
            false
        }
        (_, other) => panic!("{other:?} is no answer to this"),
    };
    if good {
        let before = past
            .may
            .filter(|(of, _)| *of == who)
            .map_or(0, |(_, end)| end);
        past.may = Some((who, before.max(now_ms + (flight.hold_ms + 50) * 5 / 4 + 10)));
    }
}

fn play(u: &mut Unstructured<'_>) -> Result<()> {
    let mut state = StateMachine::default();
    let mut flights: Vec<(usize, Flight)> = Vec::new();
    let mut callers: Vec<Vec<Caller>> = LOCKS
        .iter()
        .map(|_| (0..3).map(|_| Caller::default()).collect())
        .collect();
    let mut pasts: Vec<PastEvent> = LOCKS.iter().map(|_| PastEvent::default()).collect();
    // The ledger's time never runs fast; here it may run a fifth slow.
    let (mut now_ms, mut ledger_us, mut rate) = (0u64, 0u64, 1_000u64);
    while !u.is_empty() {
        let step = u.int_in_range(1..=120)?;
        now_ms += step;
        ledger_us += step * rate;
        if u.ratio(1, 60)? {
            rate = u.int_in_range(800..=1_000)?;
        }
        if u.ratio(1, 40)? {
            state = moved(&state);
        }

        flights.sort_by_key(|(_, flight)| flight.arrives_ms);
        while flights
            .first()
            .is_some_and(|(_, flight)| flight.arrives_ms <= now_ms)
        {
            let (lock, flight) = flights.remove(0);
            let answer = state.apply(
                ledger_us / 1_000,
                &update(lock, flight.caller, flight.call, flight.hold_ms),
            );
            check_answer(now_ms, &flight, &answer, &mut pasts[lock]);
            let caller = &mut callers[lock][flight.caller];
            if !flight.heard {
                continue;
            }
            caller.next_ms = now_ms;
            let end = flight.sent_ms + flight.hold_ms;
            caller.holds = match (flight.call, &answer, caller.holds) {
                (Call::Take, Answer::Acquired(fence), _) if now_ms < end => Some((*fence, end)),
                // A good renewal that comes after the time was over counts for nothing.
                (Call::Renew(_), Answer::Renewed, Some((fence, before))) if now_ms < before => {
                    Some((fence, before.max(end)))
                }
                _ => None,
            };
        }

        for (lock, callers) in callers.iter_mut().enumerate() {
            for (who, caller) in callers
                .iter_mut()
                .enumerate()
                .filter(|(_, c)| c.next_ms <= now_ms)
            {
                let Some(call) = next_call(u, now_ms, caller)? else {
                    continue;
                };
                let hold_ms = u.int_in_range(1..=3)? * 700;
                let heard = u.ratio(3, 4)?;
                caller.next_ms = now_ms + PATIENCE_MS;
                // What is unheard may have arrived or not; it never arrives later than the chain lets it.
                if heard || u.ratio(1, 2)? {
                    let arrives_ms = now_ms + u.int_in_range(0..=LATE_MS)?;
                    flights.push((
                        lock,
                        Flight {
                            arrives_ms,
                            sent_ms: now_ms,
                            caller: who,
                            call,
                            hold_ms,
                            heard,
                        },
                    ));
                }
            }
            let holders = callers
                .iter()
                .filter(|c| c.holds.is_some_and(|(_, end)| now_ms < end))
                .count();
            assert!(
                holders <= 1,
                "{holders} callers count themselves holders of {}",
                LOCKS[lock]
            );
        }
    }
    Ok(())
}

#[test]
fn no_two_callers_count_themselves_holders_whatever_is_late_lost_or_repeated() {
    run_cases(150, 20_000, play);
}
