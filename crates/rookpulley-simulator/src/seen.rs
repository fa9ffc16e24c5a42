//! Summaries of a simulation for tests: requests served, attempts rejected and attempts that reached tasks.

use crate::MS;
use crate::record::{Ended, Record};
use rookpulley_routes::RouteKind;
use std::collections::BTreeMap;

/// A client request with all its attempts.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at_ms: u64,
    pub kind: RouteKind,
    pub zone: usize,
    pub tries: u32,
    /// An attempt returned 404 because no route matched.
    pub unknown: bool,
    /// An attempt returned 401.
    pub unauthorized: bool,
    pub served_ms: Option<u64>,
}

/// An attempt that returned 503.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub at_ms: u64,
    pub took_ms: u64,
    /// The retry delay in the response.
    pub retry_after_ms: Option<f64>,
}

/// An attempt that reached a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskArrival {
    pub at_ms: u64,
    pub service: usize,
    pub place: usize,
    pub machine: usize,
    /// An earlier arrival has the same request number.
    pub further: bool,
    /// The request was addressed to another incarnation.
    pub misdirected: bool,
    pub ran: bool,
    /// The status of the executed request, or 0 if it was not executed.
    pub status: u16,
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked: Vec<Asked>,
    pub refused: Vec<Refused>,
    pub arrived: Vec<TaskArrival>,
}

impl Seen {
    pub(crate) fn of(record: &Record) -> Seen {
        let mut asked: BTreeMap<usize, Asked> = BTreeMap::new();
        let mut refused = Vec::new();
        for of in &record.tries {
            let at_ms = of.sent_us / MS;
            let (kind, zone) = (of.kind, of.zone);
            let fresh = Asked {
                at_ms,
                kind,
                zone,
                tries: 0,
                unknown: false,
                unauthorized: false,
                served_ms: None,
            };
            let one = asked.entry(of.request).or_insert(fresh);
            one.tries += 1;
            one.unknown |= of.status() == 404;
            one.unauthorized |= of.status() == 401;
            if of.served() {
                one.served_ms = Some(of.ended_us() / MS);
            }
            if let Some((at, Ended::Response(told))) = &of.ended
                && told.status == 503
            {
                let (took_ms, retry_after_ms) = ((at - of.sent_us) / MS, told.retry_after_ms);
                refused.push(Refused {
                    at_ms: at / MS,
                    took_ms,
                    retry_after_ms,
                });
            }
        }
        let mut known: BTreeMap<usize, u32> = BTreeMap::new();
        let arrived = record.arrivals.iter().map(|of| {
            let count = known.entry(of.request).or_default();
            *count += 1;
            TaskArrival {
                at_ms: of.at / MS,
                service: of.service,
                place: of.task,
                machine: of.machine,
                further: *count > 1,
                misdirected: of.misdirected,
                ran: of.ran.is_some(),
                status: of.ran.as_ref().map_or(0, |run| run.status),
            }
        });
        Seen {
            arrived: arrived.collect(),
            asked: asked.into_values().collect(),
            refused,
        }
    }

    /// The served share of the matching requests first sent within the interval; requests without a route or a known key are
    /// excluded.
    pub fn share(&self, from_ms: u64, to_ms: u64, fits: impl Fn(&Asked) -> bool) -> f64 {
        let within = |of: &&Asked| {
            (from_ms..to_ms).contains(&of.at_ms) && !of.unknown && !of.unauthorized && fits(of)
        };
        let (served, all) = self
            .asked
            .iter()
            .filter(within)
            .fold((0, 0), |(served, all), of| {
                (served + usize::from(of.served_ms.is_some()), all + 1)
            });
        served as f64 / f64::max(f64::from(all), 1.0)
    }

    /// The attempts that reached tasks within the interval.
    pub fn came(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &TaskArrival> {
        self.arrived
            .iter()
            .filter(move |of| (from_ms..to_ms).contains(&of.at_ms))
    }
}
