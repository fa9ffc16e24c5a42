//! Checks of requests, drains, configurations, retry budgets and recovery.

use super::{APPLY_LIMIT, CONTACT_TIMEOUT, DOWNGRADE_SLACK, Rule, RuleChecker};
use crate::controllers::DRAIN_MS;
use crate::proxies::{GRACE, REVOKE_MS};
use crate::record::{Arrival, Ended, Put, Try};
use crate::{MS, S, Us};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

const WINDOW: Us = 10 * S;
const LOSS_SLACK: Us = 200 * MS;
/// `revokeMs`: how long after the acknowledgement of its removal a key may still be accepted.
const REVOCATION_LIMIT: Us = REVOKE_MS as Us * MS;
/// Statuses that guarantee that the request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Fewest requests on later routes for which success rates are compared.
const MIN_LATER_REQUESTS: usize = 20;

/// How the gateway handled an attempt, as far as the configuration decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Handling<'a> {
    /// Rejected with 404, because there is no route.
    NoRoute,
    /// Rejected with 401, because no tenant holds its key.
    NoKey,
    /// Executed by a task of this service, as a request of this tenant.
    Run {
        service: usize,
        tenant: Option<&'a str>,
    },
}

impl<'a> Handling<'a> {
    fn of_run(arrival: &'a Arrival) -> Self {
        Self::Run {
            service: arrival.service,
            tenant: arrival.tenant.as_deref(),
        }
    }

    fn is_rejection(self) -> bool {
        !matches!(self, Self::Run { .. })
    }
}

impl fmt::Display for Handling<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRoute => f.write_str("rejected"),
            Self::NoKey => f.write_str("rejected for its key"),
            Self::Run { service, tenant } => {
                write!(f, "executed by service {service}")?;
                tenant.map_or(Ok(()), |tenant| write!(f, " for {tenant}"))
            }
        }
    }
}

#[derive(Debug, Default)]
struct Served {
    asked: usize,
    served: usize,
}

impl<'a> RuleChecker<'a> {
    fn arrivals_by_attempt(&self) -> HashMap<usize, Vec<&'a Arrival>> {
        let mut by: HashMap<usize, Vec<&Arrival>> = HashMap::new();
        self.record
            .arrivals
            .iter()
            .for_each(|arrival| by.entry(arrival.request).or_default().push(arrival));
        by
    }

    fn valid(&self) -> impl Iterator<Item = &'a Put> {
        self.record.puts.iter().filter(|put| put.valid)
    }

    /// Whether no configuration known by then allows this attempt to be repeated. A later route with a longer prefix can
    /// have a different kind.
    fn runs_at_most_once(&self, try_: &Try) -> bool {
        let known = self.valid().filter(|put| put.sent <= try_.ended_us());
        let mut routes = known.filter_map(|put| put.config.route(&try_.host, &try_.path));
        !try_.kind.is_idempotent() && routes.all(|route| !route.kind.is_idempotent())
    }

    pub fn check_requests(&mut self) {
        let by = self.arrivals_by_attempt();
        for (index, try_) in self.record.tries.iter().enumerate() {
            let at = try_.ended_us().min(self.record.end);
            let arrivals = by.get(&index).map_or(&[][..], Vec::as_slice);
            let ran: Vec<&&Arrival> = arrivals
                .iter()
                .filter(|arrival| arrival.ran.is_some())
                .collect();
            if arrivals.iter().any(|arrival| arrival.path != try_.path) {
                self.breach(Rule::Unasked, at, || {
                    format!(
                        "attempt {index} of path {} arrived with a different path",
                        try_.path
                    )
                });
            }
            let once = self.runs_at_most_once(try_);
            if once && ran.len() > 1 {
                let runs: Vec<String> = ran
                    .iter()
                    .map(|arrival| {
                        let run = arrival.ran.as_ref();
                        let status = run.map_or(0, |run| run.status);
                        format!(
                            "{} starting at {} ms with status {status}",
                            arrival.incarnation,
                            arrival.at / MS
                        )
                    })
                    .collect();
                self.breach(Rule::Twice, at, || {
                    format!(
                        "non-idempotent attempt {index} was executed more than once: {}",
                        runs.join(", ")
                    )
                });
            }
            let status = try_.status();
            if once && NOT_EXECUTED_STATUSES.contains(&status) && !ran.is_empty() {
                let incarnation = &ran[0].incarnation;
                self.breach(Rule::Refused, at, || {
                    format!("attempt {index} returned {status} but was executed by {incarnation}")
                });
            }
            if let Some((_, Ended::Response(told))) = &try_.ended
                && try_.served()
            {
                let good = ran
                    .iter()
                    .filter_map(|arrival| arrival.ran.as_ref())
                    .any(|run| {
                        (run.status, run.signature, run.body)
                            == (told.status, told.signature, told.body)
                    });
                if !good || !told.whole {
                    self.breach(Rule::Mixed, at, || {
                        format!("attempt {index} received a response that no task sent or an incomplete one")
                    });
                }
            }
            for arrival in ran {
                let service = arrival.service;
                let ever = self.valid().any(|put| {
                    put.sent <= arrival.at && put.config.allows(&try_.host, &try_.path, service)
                });
                if !ever {
                    self.breach(Rule::Route, arrival.at, || {
                        format!(
                            "attempt {index} of {}{} was executed by {}, which no configuration allows",
                            try_.host, try_.path, arrival.incarnation
                        )
                    });
                }
                self.check_identity(index, try_, arrival);
            }
        }
    }

    /// Checks that a request that ran had a key that some configuration admits, and that the task got the name of its
    /// tenant and not the key.
    fn check_identity(&mut self, index: usize, try_: &Try, arrival: &Arrival) {
        let allowing: Vec<&Put> = self
            .valid()
            .filter(|put| {
                let service = arrival.service;
                put.sent <= arrival.at && put.config.allows(&try_.host, &try_.path, service)
            })
            .collect();
        let (key, tenant) = (&try_.identity.key, &arrival.tenant);
        let is_admitted = allowing.iter().any(|put| !put.config.refuses_key(try_));
        let is_right = allowing
            .iter()
            .any(|put| Self::fits(put, try_, Handling::of_run(arrival)));
        if !allowing.is_empty() && !is_admitted {
            self.breach(Rule::Route, arrival.at, || {
                format!(
                    "attempt {index} with {key:?} was executed, but no configuration holds that key"
                )
            });
        } else if is_admitted && !is_right {
            self.breach(Rule::Unasked, arrival.at, || {
                format!("attempt {index} with {key:?} was executed for {tenant:?}")
            });
        }
        let needs_keys = |put: &&Put| !put.config.tenants.is_empty();
        if arrival.key.is_some() && !allowing.is_empty() && allowing.iter().all(needs_keys) {
            self.breach(Rule::Unasked, arrival.at, || {
                format!("attempt {index} was executed, and its key was passed on")
            });
        }
    }

    /// Checks that no machine, in contact or not, ran a request that was sent later than the revocation limit after the
    /// acknowledgement of a configuration that removed its key (duties/LATER.md, CONFIG). A request that some
    /// configuration has on a public route needs no key there.
    pub fn check_revocations(&mut self) {
        if !self.day.shape.revocation_strict {
            return;
        }
        for arrival in &self.record.arrivals {
            let try_ = &self.record.tries[arrival.request];
            if arrival.ran.is_none() {
                continue;
            }
            let known = || self.valid().filter(|put| put.sent <= arrival.at);
            let is_due = |put: &&Put| {
                put.acked
                    .is_some_and(|acked| acked + REVOCATION_LIMIT < try_.sent_us)
            };
            let key = try_.identity.key.as_deref();
            let holds = |put: &&Put| put.config.tenant_of(key).is_some();
            let version = |put: &Put| put.config.version;
            let removed = known()
                .filter(is_due)
                .filter(|put| !holds(put))
                .map(version);
            let (removed, held) = (removed.max(), known().filter(holds).map(version).max());
            let is_public = known().any(|put| put.config.is_public(&try_.host, &try_.path));
            if let (Some(removed), Some(held)) = (removed, held)
                && held < removed
                && !is_public
            {
                let (machine, request) = (try_.machine, arrival.request);
                self.breach(Rule::Config, arrival.at, || {
                    format!(
                        "attempt {request} was executed at machine {machine} with a key that version {removed} had removed"
                    )
                });
            }
        }
    }

    pub fn check_drains(&mut self) {
        let mut drained: BTreeMap<&str, Vec<(Us, usize)>> = BTreeMap::new();
        for drain in &self.record.drains {
            drained
                .entry(&drain.incarnation)
                .or_default()
                .push((drain.at, drain.machine));
        }
        for arrival in self
            .record
            .arrivals
            .iter()
            .filter(|arrival| !arrival.misdirected)
        {
            let Some(acks) = drained.get(arrival.incarnation.as_str()) else {
                continue;
            };
            let late = |at: &Us| arrival.at > *at + DRAIN_MS * MS;
            let Some((at, by)) = acks
                .iter()
                .find(|(at, by)| late(at) && self.in_contact(*by, *at))
            else {
                continue;
            };
            let held = self
                .record
                .faults
                .task_cuts
                .iter()
                .any(|(machine, task, from, until)| {
                    (*machine, *task) == (arrival.machine, arrival.task)
                        && *from <= arrival.at
                        && *until + CONTACT_TIMEOUT >= arrival.at
                });
            let machine = arrival.machine;
            let took = self.record.tries[arrival.request].sent_us;
            if !held && self.in_contact(machine, arrival.at) && self.in_contact(machine, took) {
                self.breach(Rule::Drain, arrival.at, || {
                    format!(
                        "attempt {} from machine {machine} reached {} {} ms after machine {by} acknowledged its drain",
                        arrival.request,
                        arrival.incarnation,
                        (arrival.at - at) / MS
                    )
                });
            }
        }
    }

    /// Lists how each attempt was handled: time, attempt and handling.
    fn handled(&self, by: &HashMap<usize, Vec<&'a Arrival>>) -> Vec<(Us, usize, Handling<'a>)> {
        let mut all = Vec::new();
        for (index, try_) in self.record.tries.iter().enumerate() {
            let arrivals = by
                .get(&index)
                .into_iter()
                .flatten()
                .filter(|arrival| arrival.ran.is_some());
            all.extend(arrivals.map(|arrival| (arrival.at, index, Handling::of_run(arrival))));
            match try_.status() {
                404 => all.push((try_.ended_us(), index, Handling::NoRoute)),
                401 => all.push((try_.ended_us(), index, Handling::NoKey)),
                _ => {}
            }
        }
        all.sort_unstable();
        all
    }

    /// Whether an attempt is handled so under this configuration.
    fn fits(put: &Put, try_: &Try, handling: Handling) -> bool {
        let config = &put.config;
        let has_route = || config.route(&try_.host, &try_.path).is_some();
        match handling {
            Handling::NoRoute => !has_route(),
            Handling::NoKey => config.refuses_key(try_) && has_route(),
            Handling::Run { service, tenant } => {
                config.allows(&try_.host, &try_.path, service)
                    && !config.refuses_key(try_)
                    && config.tenant_of(try_.identity.key.as_deref()) == tenant
            }
        }
    }

    pub fn check_configurations(&mut self) {
        let by = self.arrivals_by_attempt();
        let handled = self.handled(&by);
        let mut floors: HashMap<(usize, u32), Vec<(Us, u64)>> = HashMap::new();
        let (mut denied, mut proper) = (0usize, 0usize);
        for (at, index, handling) in handled {
            let try_ = &self.record.tries[index];
            let sent = try_.sent_us;
            let known: Vec<&Put> = self.valid().filter(|put| put.sent <= at).collect();
            let versions = known
                .iter()
                .filter(|put| Self::fits(put, try_, handling))
                .map(|p| p.config.version);
            let (least, most) = (versions.clone().min(), versions.max());
            let acked = known
                .iter()
                .filter(|put| put.acked.is_some_and(|acked| acked + APPLY_LIMIT <= sent));
            let newest = acked.map(|put| put.config.version).max().unwrap_or(0);
            let in_contact =
                self.in_contact(try_.machine, sent) && self.in_contact(try_.machine, at);
            if most.is_some_and(|most| most < newest) && in_contact {
                self.breach(Rule::Config, at, || {
                    format!(
                        "attempt {index} of {} was {handling} under version {} or older at machine {}, after version {newest} was acknowledged",
                        try_.path,
                        most.unwrap_or(0),
                        try_.machine
                    )
                });
            }
            proper += 1;
            denied += usize::from(handling.is_rejection() && most.is_none() && in_contact);
            let floors = floors
                .entry((try_.machine, try_.process_incarnation))
                .or_default();
            let floor = floors
                .iter()
                .filter(|(seen, _)| seen + DOWNGRADE_SLACK < sent)
                .map(|(_, v)| *v)
                .max();
            if let (Some(floor), Some(most)) = (floor, most)
                && most < floor
            {
                self.breach(Rule::Config, at, || {
                    format!(
                        "machine {} reverted its configuration: attempt {index} was {handling} under version {most} after version {floor}",
                        try_.machine
                    )
                });
            }
            if let Some(least) = least
                && !handling.is_rejection()
                && floors.last().is_none_or(|(_, last)| *last < least)
            {
                floors.push((at, least));
            }
        }
        if denied > 5 + proper / 500 {
            self.breach(Rule::Denied, 0, || {
                format!("{denied} valid requests returned 404 or 401")
            });
        }
        self.check_later_routes();
        self.check_changes();
    }

    /// Checks that machines in contact serve later routes at a rate comparable to the initial routes.
    fn check_later_routes(&mut self) {
        let Some(first) = self.valid().next() else {
            return;
        };
        let is_first = |name: u64| first.config.routes.iter().any(|route| route.name == name);
        let (mut of_first, mut of_later) = (Served::default(), Served::default());
        for try_ in self
            .record
            .tries
            .iter()
            .filter(|try_| self.in_contact(try_.machine, try_.sent_us))
        {
            let holds = self.valid().filter(|put| {
                put.acked
                    .is_some_and(|acked| acked + APPLY_LIMIT <= try_.sent_us)
            });
            let newest = holds.max_by_key(|put| put.config.version);
            let Some(route) = newest.and_then(|put| put.config.route(&try_.host, &try_.path))
            else {
                continue;
            };
            let of = if is_first(route.name) {
                &mut of_first
            } else {
                &mut of_later
            };
            of.asked += 1;
            of.served += usize::from(try_.served());
        }
        let seldom = of_later.served * of_first.asked * 4 < of_first.served * of_later.asked;
        if of_later.asked >= MIN_LATER_REQUESTS && seldom {
            let end = self.record.end;
            self.breach(Rule::Config, end, || {
                format!("success on later routes: {of_later:?}, on initial routes: {of_first:?}")
            });
        }
    }

    fn check_changes(&mut self) {
        for (number, put) in self.record.puts.iter().enumerate() {
            let version = put.config.version;
            match (put.valid, put.acked, put.refused) {
                (false, Some(at), _) => {
                    self.breach(Rule::Config, at, || {
                        format!("invalid put {number} was acknowledged")
                    });
                }
                (true, _, Some(status)) => {
                    self.breach(Rule::Acks, put.sent, || {
                        format!("put {number} of version {version} returned {status}")
                    });
                }
                (true, None, None) if put.sent + 8 * S < self.record.end => {
                    self.breach(Rule::Acks, put.sent, || {
                        format!("put {number} of version {version} was never acknowledged")
                    });
                }
                _ => {}
            }
        }
        let acked = self
            .valid()
            .filter(|put| put.acked.is_some())
            .map(|put| put.config.version);
        let newest = acked.max().unwrap_or(0);
        let end = self.record.end;
        match &self.record.read_back {
            None => self.breach(Rule::Lost, end, || {
                "the configuration could not be read at the end".into()
            }),
            Some(body) => {
                let held = self
                    .valid()
                    .filter(|put| put.body == *body)
                    .map(|put| put.config.version)
                    .max();
                if held.is_none_or(|held| held < newest) {
                    self.breach(Rule::Lost, end, || {
                        format!("version {held:?} was read at the end, but version {newest} was acknowledged")
                    });
                }
            }
        }
    }

    /// Checks that no machine, in contact or not, returns an older configuration than one acknowledged at least the apply
    /// limit before the read (NEWS-22, CONFIG).
    pub fn check_configuration_reads(&mut self) {
        for read in &self.record.reads {
            let Some(body) = &read.body else {
                continue;
            };
            let is_due = |put: &&Put| {
                put.acked
                    .is_some_and(|acked| acked + APPLY_LIMIT <= read.sent)
            };
            let version = |put: &Put| put.config.version;
            let newest = self.valid().filter(is_due).map(version).max();
            let held = self.valid().filter(|put| put.body == *body);
            let held = held.map(version).max();
            if held < newest {
                self.breach(Rule::Config, read.sent, || {
                    let machine = read.machine;
                    format!("machine {machine} returned version {held:?} after version {newest:?} was acknowledged")
                });
            }
        }
    }

    pub fn check_retry_budget(&mut self) {
        let mut seen: HashMap<usize, u32> = HashMap::new();
        let mut extras: BTreeMap<usize, Vec<Us>> = BTreeMap::new();
        let mut order: Vec<&Arrival> = self.record.arrivals.iter().collect();
        order.sort_by_key(|arrival| arrival.at);
        for arrival in order {
            let count = seen.entry(arrival.request).or_default();
            *count += 1;
            if *count > 1 {
                extras.entry(arrival.service).or_default().push(arrival.at);
            }
        }
        for (service, extras) in extras {
            let mut sent: Vec<Us> = Vec::new();
            for try_ in &self.record.tries {
                if self
                    .valid()
                    .any(|put| put.config.allows(&try_.host, &try_.path, service))
                {
                    sent.push(try_.sent_us);
                }
            }
            sent.sort_unstable();
            let within = |from: Us, to: Us| {
                sent.partition_point(|at| *at <= to) - sent.partition_point(|at| *at <= from)
            };
            for (place, at) in extras.iter().enumerate() {
                let from = at.saturating_sub(WINDOW);
                let first = extras.partition_point(|other| *other <= from);
                let count = place + 1 - first;
                let most = within(from, *at)
                    .max(within(from.saturating_sub(WINDOW), from))
                    .max(within(
                        from.saturating_sub(WINDOW / 2),
                        at.saturating_sub(WINDOW / 2),
                    ));
                let allowed = self.day.retry_ratio * most as f64 + self.day.retry_slack;
                if count as f64 > allowed {
                    self.breach(Rule::Budget, *at, || {
                        format!(
                            "service {service} received {count} retries; the budget allows {allowed:.1}"
                        )
                    });
                    break;
                }
            }
        }
    }

    /// Checks that an orderly shutdown loses no request in the absence of unplanned faults.
    pub fn check_shutdown_losses(&mut self) {
        let by = self.arrivals_by_attempt();
        for (machine, term) in self.record.terms.clone() {
            for (index, try_) in self.record.tries.iter().enumerate() {
                let Some((ended, Ended::Closed)) = &try_.ended else {
                    continue;
                };
                let (ended, sent) = (*ended, try_.sent_us);
                if try_.machine != machine || ended < term || ended > term + GRACE + S {
                    continue;
                }
                let undisturbed = !self
                    .record
                    .faults
                    .unplanned
                    .iter()
                    .any(|(from, until)| *from <= ended && *until + CONTACT_TIMEOUT >= sent);
                let arrivals = by.get(&index).map_or(&[][..], Vec::as_slice);
                let passed = !arrivals.is_empty() || ended > sent + LOSS_SLACK;
                let excused = arrivals.iter().any(|arrival| {
                    arrival.interrupted
                        || arrival.ran.as_ref().is_some_and(|run| {
                            run.ended.unwrap_or(Us::MAX) > term + GRACE / 2
                                && run.begun < term + GRACE
                        })
                });
                if undisturbed && passed && !excused && ended < sent + try_.deadline {
                    self.breach(Rule::Lost, ended, || {
                        format!(
                            "attempt {index} was cut off during the orderly shutdown of machine {machine}"
                        )
                    });
                }
            }
        }
    }

    pub fn check_recovery(&mut self) {
        let (from, to) = (
            self.record.end.saturating_sub(4 * S),
            self.record.end.saturating_sub(1_500 * MS),
        );
        let mut served: HashMap<usize, bool> = HashMap::new();
        for try_ in self.record.tries.iter() {
            if try_.sent_us >= from && try_.sent_us < to && ![401, 404].contains(&try_.status()) {
                *served.entry(try_.request).or_default() |= try_.served();
            }
        }
        let good = served.values().filter(|served| **served).count();
        if good * 4 < served.len() * 3 {
            let of = served.len();
            self.breach(Rule::Recover, from, || {
                format!("{good} of {of} requests were served after the last fault")
            });
        }
    }
}
