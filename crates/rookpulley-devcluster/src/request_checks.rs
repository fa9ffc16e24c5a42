//! Compares what clients observed with what tasks observed, without clocks or I/O.

use crate::clients::{Seen, Try};
use crate::gateway_configuration::SECOND;
use crate::node_settings::Role;
use crate::record::{Arrival, Drain, Given, Moment};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How many faults of each check are described in the report.
const MAX_FAULT_DETAILS: usize = 5;

/// The result of one check, a row of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    pub name: &'static str,
    /// Number of cases examined; a check without cases fails.
    pub examined: usize,
    pub faults: usize,
    pub fault_details: Vec<String>,
}

impl Check {
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            examined: 0,
            faults: 0,
            fault_details: Vec::new(),
        }
    }

    pub fn examine(&mut self, valid: bool, fault: impl FnOnce() -> String) {
        self.examined += 1;
        if !valid {
            self.add_fault(fault());
        }
    }

    pub fn add_fault(&mut self, fault: String) {
        self.faults += 1;
        if self.fault_details.len() < MAX_FAULT_DETAILS {
            self.fault_details.push(fault);
        }
    }

    /// Adds the results of the same check of something else.
    pub fn merge(mut self, other: Check) -> Check {
        self.examined += other.examined;
        self.faults += other.faults;
        self.fault_details.extend(other.fault_details);
        self.fault_details.truncate(MAX_FAULT_DETAILS);
        self
    }

    pub fn passed(&self) -> bool {
        self.examined > 0 && self.faults == 0
    }
}

/// The observations that the request checks compare.
pub struct RequestChecks<'a> {
    pub tries: &'a [Try],
    pub arrivals: &'a [Arrival],
    pub drains: &'a [Drain],
    pub drain_period: Duration,
    /// When every proxy must have applied the second configuration version.
    pub second_version_applies_at: Option<Moment>,
    pub retry_ratio: f64,
    pub retry_slack: f64,
}

impl RequestChecks<'_> {
    pub fn checks(&self) -> Vec<Check> {
        vec![
            self.served(),
            self.at_most_once(),
            self.refusals(),
            self.complete_and_signed(),
            self.request_ids(),
            self.unmodified(),
            self.routes(),
            self.drains_respected(),
            self.retry_budget(),
        ]
    }

    fn executions(&self) -> impl Iterator<Item = (&Arrival, &Given)> {
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
        let mut check = Check::new("at least 19 of 20 requests are eventually served");
        let mut requests: BTreeMap<u32, Vec<&Try>> = BTreeMap::new();
        self.tries
            .iter()
            .for_each(|one| requests.entry(one.request).or_default().push(one));
        let unserved = requests
            .values()
            .filter(|tries| !tries.iter().any(|one| one.served()));
        let unserved: Vec<String> = unserved.flatten().map(|one| describe(one)).collect();
        check.examined = requests.len();
        if unserved.len() * 20 > requests.len() {
            unserved
                .into_iter()
                .for_each(|fault| check.add_fault(fault));
        }
        check
    }

    fn at_most_once(&self) -> Check {
        let mut check = Check::new("non-idempotent requests run at most once");
        let tries = self.tries_by_id();
        let mut executions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        self.executions().for_each(|(arrival, _)| {
            executions
                .entry(&arrival.id)
                .or_default()
                .push(&arrival.incarnation)
        });
        for (id, incarnations) in executions {
            if tries
                .get(id)
                .is_some_and(|one| !one.route.kind.is_idempotent())
            {
                check.examine(incarnations.len() == 1, || {
                    format!("{id} ran at {}", incarnations.join(", "))
                });
            }
        }
        check
    }

    fn refusals(&self) -> Check {
        let mut check = Check::new("refused non-idempotent requests never run");
        let executed: HashSet<&str> = self
            .executions()
            .map(|(arrival, _)| arrival.id.as_str())
            .collect();
        for one in self
            .tries
            .iter()
            .filter(|one| !one.route.kind.is_idempotent())
        {
            check.examine(
                !(one.seen.refused() && executed.contains(one.id.as_str())),
                || describe(one),
            );
        }
        check
    }

    fn complete_and_signed(&self) -> Check {
        let mut check = Check::new("every success is complete and signed by the task that ran it");
        let mut given: HashMap<&str, Vec<&Given>> = HashMap::new();
        self.executions()
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
            let matches_answer = |task: &&Given| {
                task.status == *status
                    && Some(&task.signature) == signature.as_ref()
                    && task.body == *body
            };
            let valid = given
                .get(one.id.as_str())
                .is_some_and(|given| given.iter().any(matches_answer));
            check.examine(valid, || describe(one));
        }
        check
    }

    fn request_ids(&self) -> Check {
        let mut check = Check::new("every answer belongs to its request");
        for one in self.tries {
            if let Seen::Answer { id, .. } = &one.seen {
                // The gateway's own answers carry no request ID, but a success must carry one.
                let valid = id.as_ref().map_or(!one.served(), |id| *id == one.id);
                check.examine(valid, || format!("{} has the id {id:?}", describe(one)));
            }
        }
        check
    }

    fn unmodified(&self) -> Check {
        let mut check = Check::new("requests reach tasks unmodified");
        let tries = self.tries_by_id();
        for arrival in self.arrivals {
            let valid = tries.get(arrival.id.as_str()).is_some_and(|one| {
                (one.method, one.target.as_str(), one.body)
                    == (
                        arrival.method.as_str(),
                        arrival.target.as_str(),
                        arrival.body,
                    )
            });
            check.examine(valid, || {
                format!("{} {} as {}", arrival.method, arrival.target, arrival.id)
            });
        }
        check
    }

    fn routes(&self) -> Check {
        let mut check = Check::new("each request follows its route, including new routes");
        let tries = self.tries_by_id();
        for arrival in self.arrivals.iter().filter(|arrival| !arrival.foreign) {
            if let Some(one) = tries.get(arrival.id.as_str()) {
                let valid = one
                    .route
                    .targets
                    .iter()
                    .any(|(service, _)| *service == arrival.service);
                check.examine(valid, || {
                    format!("{} went to {}", describe(one), arrival.service)
                });
            }
        }
        for one in self.tries {
            let applies = one.route.since < SECOND
                || self
                    .second_version_applies_at
                    .is_some_and(|at| one.sent > at);
            let rejected = matches!(
                one.seen,
                Seen::Answer {
                    status: 300..=499,
                    ..
                }
            ) && !one.seen.refused();
            if applies && rejected {
                check.add_fault(describe(one));
            }
        }
        check
    }

    fn drains_respected(&self) -> Check {
        let mut check = Check::new("no request reaches a task after its drain period");
        for drain in self.drains {
            let latest = drain.acknowledged + self.drain_period;
            let late = |arrival: &&Arrival| {
                arrival.incarnation == drain.incarnation && !arrival.foreign && arrival.at > latest
            };
            let late: Vec<&Arrival> = self.arrivals.iter().filter(late).collect();
            check.examine(late.is_empty(), || {
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

    /// Applies the retry budget to the whole trial, which is about as long as the budget's window.
    fn retry_budget(&self) -> Check {
        let mut check = Check::new("retries stay within their budget");
        let (mut first, mut repeated) = (HashSet::new(), BTreeMap::<&str, usize>::new());
        for arrival in self.arrivals {
            if !first.insert(arrival.id.as_str()) {
                *repeated.entry(arrival.service).or_default() += 1;
            }
        }
        let services: HashSet<&str> = self
            .arrivals
            .iter()
            .map(|arrival| arrival.service)
            .collect();
        for service in services {
            let targets_service = |one: &&Try| {
                one.route
                    .targets
                    .iter()
                    .any(|(target, _)| *target == service)
            };
            let requests = self.tries.iter().filter(targets_service).count();
            let limit = requests as f64 * self.retry_ratio + self.retry_slack;
            let retries = repeated.get(service).copied().unwrap_or(0);
            check.examine(retries as f64 <= limit, || {
                format!("{retries} retries for {service}, at most {limit:.0} allowed")
            });
        }
        check
    }

    /// The median and the 99th percentile of the latency of successes.
    pub fn latency_percentiles(&self) -> (Duration, Duration) {
        let served = self.tries.iter().filter(|one| one.served());
        let mut latencies: Vec<Duration> = served
            .map(|one| one.ended.saturating_sub(one.sent))
            .collect();
        latencies.sort();
        let at = |percent: usize| {
            latencies
                .get(latencies.len() * percent / 100)
                .copied()
                .unwrap_or_default()
        };
        (at(50), at(99))
    }

    /// Counts the tries by status or kind of failure.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for one in self.tries {
            let name = match &one.seen {
                Seen::Answer { status, .. } => status.to_string(),
                Seen::CutOff(_) => "truncated".into(),
                Seen::Nothing => "no answer".into(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }
}

fn describe(one: &Try) -> String {
    let seen = match &one.seen {
        Seen::Answer { status, .. } => format!("got {status}"),
        Seen::CutOff(status) => format!("got {status} with a truncated body"),
        Seen::Nothing => "got no answer".into(),
    };
    let duration_ms = one.ended.saturating_sub(one.sent).as_millis();
    let at = one.sent.as_secs_f64();
    let proxy = Role::Proxy.name(one.proxy);
    format!(
        "{} at {at:.2} s by {proxy} ({}): {seen} after {duration_ms} ms",
        one.id, one.route.name
    )
}
