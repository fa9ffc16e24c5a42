//! Judges what a client saw by the rules LOST and MIXED.

use crate::early_answer::{BODY_BYTES, EarlyAnswer};
use crate::exchange::{Answer, Ended, Ending};
use crate::task::Record;
use std::fmt::{Display, Formatter};
use std::time::Duration;
use tokio::time::Instant;

/// Requests sent up to this long after SIGTERM may still be at work when the process ends.
const LATE_WORK_SENT_WITHIN: Duration = Duration::from_secs(3);
/// Requests sent up to this long after SIGTERM are served like any other.
const SERVED_WITHIN: Duration = Duration::from_millis(2_300);
/// Requests sent later than this after SIGTERM are not read.
const READ_WITHIN: Duration = Duration::from_millis(3_500);
/// How close to its deadline a request may be broken off.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);

/// A request that was sent whole.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    /// When its first byte was sent.
    pub began_at: Instant,
    /// When its last byte was sent.
    pub at: Instant,
    /// When the request before it on the same connection was answered, or when it was sent if that is later.
    pub is_next_at: Instant,
    pub deadline: Instant,
    /// Whether the answer before it on the same connection said that the connection closes.
    pub is_after_close: bool,
    /// Which process accepted its connection, counted from 0.
    pub process: usize,
    /// The answer of its instance, if that begins before the request has been read.
    pub early_answer: Option<EarlyAnswer>,
}

impl Sent {
    /// When the proxy could read as much as it needs to pass the request on: a long body is passed on as it comes.
    fn read_at(&self) -> Instant {
        if self.early_answer.is_some() {
            self.began_at
        } else {
            self.at
        }
    }
}

/// When the process was told to shut down.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub at: Instant,
    pub grace: Duration,
    /// Whether the process is gone.
    pub has_ended: bool,
}

/// Something that a client must not see.
pub struct Finding {
    what: String,
    sent: Sent,
    /// The time since SIGTERM of some moments, in seconds.
    times_s: Option<Times>,
}

/// Moments of a request.
struct Times {
    began: f64,
    sent: f64,
    ended: f64,
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.sent.id, self.what)?;
        if let Some(Times { began, sent, ended }) = &self.times_s {
            write!(
                formatter,
                "; began {began:+.3} s, sent {sent:+.3} s, ended {ended:+.3} s after SIGTERM"
            )?;
        }
        Ok(())
    }
}

/// Judges one request by the stop of its process, if that began before it ended. Each process is stopped once, in turn.
/// `ready_at` is when the proxy last became ready.
pub fn judge(
    record: &Record,
    ready_at: Instant,
    stops: &[Stop],
    sent: &Sent,
    outcome: &Result<Answer, Ending>,
) -> Option<Finding> {
    let ended_at = outcome
        .as_ref()
        .map_or_else(|ending| ending.at, |answer| answer.at);
    let stop = stops.get(sent.process).copied();
    let stop = stop.filter(|stop| stop.at <= ended_at);
    let arrivals = record.arrivals(&sent.id);
    let has_reached_a_task = !arrivals.is_empty();
    let since_stop = |at: Instant| stop.map_or(0.0, |stop| seconds_between(stop.at, at));
    let finding = |what: &str, ended_at| {
        let times_s = stop.map(|_| Times {
            began: since_stop(sent.began_at),
            sent: since_stop(sent.at),
            ended: since_stop(ended_at),
        });
        let sent = sent.clone();
        Some(Finding {
            what: what.to_owned(),
            sent,
            times_s,
        })
    };
    let is_past_deadline = |at: Instant| at + DEADLINE_SLACK >= sent.deadline;
    if let (Some(early), Ok(answer)) = (sent.early_answer, outcome)
        && answer.is_signed
        && answer.body_bytes != BODY_BYTES
    {
        let what = format!("{} bytes of {early:?} look complete", answer.body_bytes);
        return finding(&what, answer.at);
    }
    if record.is_broken_off(&sent.id) {
        return None;
    }
    match outcome {
        Ok(answer) => {
            let now = answer.at;
            let is_own = !answer.is_signed;
            let is_early = stop.is_none_or(|stop| {
                // Turned away by an instance when the process is about to end.
                let is_turned_away_late =
                    record.is_at_an_instance(&sent.id, stop.at + SERVED_WITHIN);
                !is_turned_away_late && sent.is_next_at < stop.at + SERVED_WITHIN
            });
            let is_late =
                stop.is_some_and(|stop| !stop.has_ended && sent.read_at() > stop.at + READ_WITHIN);
            if is_late {
                return finding("was read after the draining phase", now);
            }
            if is_own && has_reached_a_task && !is_past_deadline(now) {
                return finding(
                    "an answer of the proxy's own, though a task worked on it",
                    now,
                );
            }
            let may_be_served = is_early && sent.began_at >= ready_at;
            if is_own && may_be_served && !sent.is_after_close && !is_past_deadline(now) {
                return finding(&format!("{} though it could be served", answer.status), now);
            }
            None
        }
        Err(ending) => {
            let may_be_cut = stop.is_some_and(|stop| {
                sent.at <= stop.at + LATE_WORK_SENT_WITHIN
                    && record.is_at_an_instance(&sent.id, stop.at + stop.grace * 5 / 6)
            });
            if is_past_deadline(ending.at) || may_be_cut {
                return None;
            }
            if has_reached_a_task {
                let what = format!("reached a task, and the connection ended: {:?}", ending.how);
                return finding(&what, ending.at);
            }
            if ending.how == Ended::AllRead {
                return finding("was read, and the connection ended", ending.at);
            }
            None
        }
    }
}

fn seconds_between(from: Instant, to: Instant) -> f64 {
    if to >= from {
        to.duration_since(from).as_secs_f64()
    } else {
        -from.duration_since(to).as_secs_f64()
    }
}
