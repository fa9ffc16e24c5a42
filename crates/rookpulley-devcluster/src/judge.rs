//! Holds what clients saw against what tasks saw. It decides alone: no clocks, no sockets.

use crate::clients::{Seen, Try};
use crate::operator::SECOND;
use crate::record::{Arrival, Drain, Given, Moment};
use crate::sheet::Role;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Of the faults of one check, so many are told.
const TOLD: usize = 5;

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    pub what: &'static str,
    /// A check that looked at nothing has shown nothing.
    pub looked: usize,
    pub faults: usize,
    pub told: Vec<String>,
}

impl Check {
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            looked: 0,
            faults: 0,
            told: Vec::new(),
        }
    }

    pub fn look(&mut self, fine: bool, fault: impl FnOnce() -> String) {
        self.looked += 1;
        if !fine {
            self.fault(fault());
        }
    }

    pub fn fault(&mut self, fault: String) {
        self.faults += 1;
        if self.told.len() < TOLD {
            self.told.push(fault);
        }
    }

    pub fn passed(&self) -> bool {
        self.looked > 0 && self.faults == 0
    }
}

/// What there is to be judged of the requests.
pub struct Requests<'a> {
    pub tries: &'a [Try],
    pub arrivals: &'a [Arrival],
    pub drains: &'a [Drain],
    pub drain: Duration,
    /// When the second version must hold everywhere.
    pub second_holds: Option<Moment>,
    pub retry_ratio: f64,
    pub retry_slack: f64,
}

impl Requests<'_> {
    pub fn checks(&self) -> Vec<Check> {
        vec![
            self.served(),
            self.once(),
            self.promises(),
            self.whole(),
            self.own(),
            self.unchanged(),
            self.routes(),
            self.drained(),
            self.budget(),
        ]
    }

    fn runs(&self) -> impl Iterator<Item = (&Arrival, &Given)> {
        self.arrivals
            .iter()
            .filter_map(|arrival| Some((arrival, arrival.given.as_ref()?)))
    }

    fn tries_by_id(&self) -> HashMap<&str, &Try> {
        self.tries
            .iter()
            .map(|one| (one.id.as_str(), one))
            .collect()
    }

    fn served(&self) -> Check {
        let mut check = Check::new("requests served, in the end 19 of 20 at least");
        let mut requests: BTreeMap<u32, Vec<&Try>> = BTreeMap::new();
        self.tries
            .iter()
            .for_each(|one| requests.entry(one.request).or_default().push(one));
        let unserved = requests
            .values()
            .filter(|tries| !tries.iter().any(|one| one.served()));
        let unserved: Vec<String> = unserved.flatten().map(|one| described(one)).collect();
        check.looked = requests.len();
        if unserved.len() * 20 > requests.len() {
            unserved.into_iter().for_each(|fault| check.fault(fault));
        }
        check
    }

    fn once(&self) -> Check {
        let mut check = Check::new("what may run once ran once at most");
        let tries = self.tries_by_id();
        let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        self.runs().for_each(|(arrival, _)| {
            runs.entry(&arrival.id)
                .or_default()
                .push(&arrival.incarnation)
        });
        for (id, incarnations) in runs {
            if tries
                .get(id)
                .is_some_and(|one| !one.route.kind.is_idempotent())
            {
                check.look(incarnations.len() == 1, || {
                    format!("{id} ran at {}", incarnations.join(", "))
                });
            }
        }
        check
    }

    fn promises(&self) -> Check {
        let mut check = Check::new("what may run once and was refused never ran");
        let ran: HashSet<&str> = self
            .runs()
            .map(|(arrival, _)| arrival.id.as_str())
            .collect();
        for one in self
            .tries
            .iter()
            .filter(|one| !one.route.kind.is_idempotent())
        {
            check.look(
                !(one.seen.refused() && ran.contains(one.id.as_str())),
                || described(one),
            );
        }
        check
    }

    fn whole(&self) -> Check {
        let mut check = Check::new("every success is whole and signed by the task that ran it");
        let mut given: HashMap<&str, Vec<&Given>> = HashMap::new();
        self.runs()
            .for_each(|(arrival, one)| given.entry(&arrival.id).or_default().push(one));
        for one in self.tries.iter().filter(|one| one.served()) {
            let Seen::Answer {
                status,
                signature,
                body,
                ..
            } = &one.seen
            else {
                continue;
            };
            let same = |task: &&Given| {
                task.status == *status
                    && Some(&task.signature) == signature.as_ref()
                    && task.body == *body
            };
            let fine = given
                .get(one.id.as_str())
                .is_some_and(|given| given.iter().any(same));
            check.look(fine, || described(one));
        }
        check
    }

    fn own(&self) -> Check {
        let mut check = Check::new("every answer belongs to its request");
        for one in self.tries {
            if let Seen::Answer { id, .. } = &one.seen {
                // An answer of the gateway's own names no request; a success without a name is no success.
                let fine = id.as_ref().map_or(!one.served(), |id| *id == one.id);
                check.look(fine, || format!("{} has the id {id:?}", described(one)));
            }
        }
        check
    }

    fn unchanged(&self) -> Check {
        let mut check = Check::new("what reached a task is what a client sent");
        let tries = self.tries_by_id();
        for arrival in self.arrivals {
            let fine = tries.get(arrival.id.as_str()).is_some_and(|one| {
                (one.method, one.target.as_str(), one.body)
                    == (
                        arrival.method.as_str(),
                        arrival.target.as_str(),
                        arrival.body,
                    )
            });
            check.look(fine, || {
                format!("{} {} as {}", arrival.method, arrival.target, arrival.id)
            });
        }
        check
    }

    fn routes(&self) -> Check {
        let mut check = Check::new("each request is handled by its route, new ones too");
        let tries = self.tries_by_id();
        for arrival in self.arrivals.iter().filter(|arrival| !arrival.foreign) {
            if let Some(one) = tries.get(arrival.id.as_str()) {
                let fine = one
                    .route
                    .targets
                    .iter()
                    .any(|(service, _)| *service == arrival.service);
                check.look(fine, || {
                    format!("{} went to {}", described(one), arrival.service)
                });
            }
        }
        for one in self.tries {
            let holds =
                one.route.since < SECOND || self.second_holds.is_some_and(|at| one.sent > at);
            let denied = matches!(
                one.seen,
                Seen::Answer {
                    status: 300..=499,
                    ..
                }
            ) && !one.seen.refused();
            if holds && denied {
                check.fault(described(one));
            }
        }
        check
    }

    fn drained(&self) -> Check {
        let mut check =
            Check::new("nothing reached a task too long after its drain was acknowledged");
        for drain in self.drains {
            let latest = drain.acknowledged + self.drain;
            let late = |arrival: &&Arrival| {
                arrival.incarnation == drain.incarnation && !arrival.foreign && arrival.at > latest
            };
            let late: Vec<&Arrival> = self.arrivals.iter().filter(late).collect();
            check.look(late.is_empty(), || {
                let after = late
                    .iter()
                    .map(|arrival| (arrival.at - drain.acknowledged).as_millis());
                format!(
                    "{} after {:?} ms",
                    drain.incarnation,
                    after.collect::<Vec<_>>()
                )
            });
        }
        check
    }

    /// Over the whole trial, which is hardly longer than the window that the rule has.
    fn budget(&self) -> Check {
        let mut check = Check::new("further sends are within their budget");
        let (mut first, mut further) = (HashSet::new(), BTreeMap::<&str, usize>::new());
        for arrival in self.arrivals {
            if !first.insert(arrival.id.as_str()) {
                *further.entry(arrival.service).or_default() += 1;
            }
        }
        let services: HashSet<&str> = self
            .arrivals
            .iter()
            .map(|arrival| arrival.service)
            .collect();
        for service in services {
            let may = |one: &&Try| {
                one.route
                    .targets
                    .iter()
                    .any(|(target, _)| *target == service)
            };
            let requests = self.tries.iter().filter(may).count();
            let most = requests as f64 * self.retry_ratio + self.retry_slack;
            let sends = further.get(service).copied().unwrap_or(0);
            check.look(sends as f64 <= most, || {
                format!("{sends} for {service}, where {most:.0} are the most")
            });
        }
        check
    }

    /// Of the successes, the time in the middle and the one that 1 of 100 exceed.
    pub fn times(&self) -> (Duration, Duration) {
        let served = self.tries.iter().filter(|one| one.served());
        let mut times: Vec<Duration> = served
            .map(|one| one.ended.saturating_sub(one.sent))
            .collect();
        times.sort();
        let at = |share: usize| {
            times
                .get(times.len() * share / 100)
                .copied()
                .unwrap_or_default()
        };
        (at(50), at(99))
    }

    /// What came back, by kind, and how often.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for one in self.tries {
            let name = match &one.seen {
                Seen::Answer { status, .. } => status.to_string(),
                Seen::CutOff(_) => "cut off".into(),
                Seen::Nothing => "no answer".into(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}

fn described(one: &Try) -> String {
    let seen = match &one.seen {
        Seen::Answer { status, .. } => format!("got {status}"),
        Seen::CutOff(status) => format!("got {status} and was cut off"),
        Seen::Nothing => "got no answer".into(),
    };
    let took = one.ended.saturating_sub(one.sent).as_millis();
    let at = one.sent.as_secs_f64();
    let proxy = Role::Proxy.name(one.proxy);
    format!(
        "{} at {at:.2} s by {proxy} ({}): {seen} after {took} ms",
        one.id, one.route.name
    )
}
