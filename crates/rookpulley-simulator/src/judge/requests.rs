//! The rules on requests, drains, configurations and further tries.

use super::{APPLY, CONTACT, DOWNGRADE, Judge, Rule};
use crate::controllers::DRAIN_MS;
use crate::proxies::GRACE;
use crate::record::{Arrival, Ended, Put, Try};
use crate::{MS, S, Us};
use std::collections::{BTreeMap, HashMap};

const WINDOW: Us = 10 * S;
const LOSS_SLACK: Us = 200 * MS;
/// Promises that nothing ran.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// So many requests on routes that were added later tell something.
const LATER_LEAST: usize = 20;

#[derive(Debug, Default)]
struct Served {
    asked: usize,
    served: usize,
}

impl<'a> Judge<'a> {
    fn by_request(&self) -> HashMap<usize, Vec<&'a Arrival>> {
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

    /// Whether it may run once only, by whichever configuration it was handled: below another route's prefix a new one
    /// may be of another kind.
    fn once(&self, try_: &Try) -> bool {
        let known = self.valid().filter(|put| put.sent <= try_.ended_us());
        let mut routes = known.filter_map(|put| put.config.route(&try_.host, &try_.path));
        !try_.kind.is_idempotent() && routes.all(|route| !route.kind.is_idempotent())
    }

    pub fn requests(&mut self) {
        let by = self.by_request();
        for (index, try_) in self.record.tries.iter().enumerate() {
            let at = try_.ended_us().min(self.record.end);
            let arrivals = by.get(&index).map_or(&[][..], Vec::as_slice);
            let ran: Vec<&&Arrival> = arrivals
                .iter()
                .filter(|arrival| arrival.ran.is_some())
                .collect();
            if arrivals.iter().any(|arrival| arrival.path != try_.path) {
                self.breach(Rule::Unasked, at, || {
                    format!("try {index} of {} arrives as another", try_.path)
                });
            }
            let once = self.once(try_);
            if once && ran.len() > 1 {
                let runs: Vec<String> = ran
                    .iter()
                    .map(|arrival| {
                        let run = arrival.ran.as_ref();
                        let status = run.map_or(0, |run| run.status);
                        format!(
                            "{} from {} ms on, its answer {status}",
                            arrival.incarnation,
                            arrival.at / MS
                        )
                    })
                    .collect();
                self.breach(Rule::Twice, at, || {
                    format!("try {index} runs at {}", runs.join(", "))
                });
            }
            let status = try_.status();
            if once && PROMISES.contains(&status) && !ran.is_empty() {
                let incarnation = &ran[0].incarnation;
                self.breach(Rule::Refused, at, || {
                    format!("try {index} gets {status} and runs at {incarnation}")
                });
            }
            if let Some((_, Ended::Told(told))) = &try_.ended
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
                        format!("try {index} gets what no task gave it")
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
                            "try {index} of {}{} runs at {}",
                            try_.host, try_.path, arrival.incarnation
                        )
                    });
                }
            }
        }
    }

    pub fn drains(&mut self) {
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
            .filter(|arrival| !arrival.stranger)
        {
            let Some(acks) = drained.get(arrival.incarnation.as_str()) else {
                continue;
            };
            let late = |at: &Us| arrival.at > *at + DRAIN_MS * MS;
            let Some((at, by)) = acks
                .iter()
                .find(|(at, by)| late(at) && self.in_touch(*by, *at))
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
                        && *until + CONTACT >= arrival.at
                });
            let machine = arrival.machine;
            let took = self.record.tries[arrival.request].sent_us;
            if !held && self.in_touch(machine, arrival.at) && self.in_touch(machine, took) {
                self.breach(Rule::Drain, arrival.at, || {
                    format!(
                        "try {} from machine {machine} comes to {} {} ms after machine {by} acknowledged",
                        arrival.request,
                        arrival.incarnation,
                        (arrival.at - at) / MS
                    )
                });
            }
        }
    }

    /// How a try was handled: by a service, or by none.
    fn handled(&self, by: &HashMap<usize, Vec<&Arrival>>) -> Vec<(Us, usize, Option<usize>)> {
        let mut all = Vec::new();
        for (index, try_) in self.record.tries.iter().enumerate() {
            let arrivals = by
                .get(&index)
                .into_iter()
                .flatten()
                .filter(|arrival| arrival.ran.is_some());
            all.extend(arrivals.map(|arrival| (arrival.at, index, Some(arrival.service))));
            if try_.status() == 404 {
                all.push((try_.ended_us(), index, None));
            }
        }
        all.sort_unstable();
        all
    }

    fn fits(put: &Put, try_: &Try, service: Option<usize>) -> bool {
        match service {
            Some(service) => put.config.allows(&try_.host, &try_.path, service),
            None => put.config.route(&try_.host, &try_.path).is_none(),
        }
    }

    pub fn configurations(&mut self) {
        let by = self.by_request();
        let handled = self.handled(&by);
        let mut floors: HashMap<(usize, u32), Vec<(Us, u64)>> = HashMap::new();
        let (mut denied, mut proper) = (0usize, 0usize);
        for (at, index, service) in handled {
            let try_ = &self.record.tries[index];
            let sent = try_.sent_us;
            let known: Vec<&Put> = self.valid().filter(|put| put.sent <= at).collect();
            let versions = known
                .iter()
                .filter(|put| Self::fits(put, try_, service))
                .map(|p| p.config.version);
            let (least, most) = (versions.clone().min(), versions.max());
            let acked = known
                .iter()
                .filter(|put| put.acked.is_some_and(|acked| acked + APPLY <= sent));
            let newest = acked.map(|put| put.config.version).max().unwrap_or(0);
            let touched = self.in_touch(try_.machine, sent) && self.in_touch(try_.machine, at);
            let how = service.map_or("refused".into(), |service| {
                format!("run by service {service}")
            });
            if most.is_some_and(|most| most < newest) && touched {
                self.breach(Rule::Config, at, || {
                    format!(
                        "try {index} of {} is {how} by version {} at most at machine {}, {newest} is acknowledged",
                        try_.path,
                        most.unwrap_or(0),
                        try_.machine
                    )
                });
            }
            proper += 1;
            denied += usize::from(service.is_none() && most.is_none() && touched);
            let floors = floors
                .entry((try_.machine, try_.process_incarnation))
                .or_default();
            let floor = floors
                .iter()
                .filter(|(seen, _)| seen + DOWNGRADE < sent)
                .map(|(_, v)| *v)
                .max();
            if let (Some(floor), Some(most)) = (floor, most)
                && most < floor
            {
                self.breach(Rule::Config, at, || {
                    format!(
                        "machine {} goes back: try {index} is {how} by {most}, {floor} was seen",
                        try_.machine
                    )
                });
            }
            if let (Some(least), Some(_)) = (least, service)
                && floors.last().is_none_or(|(_, last)| *last < least)
            {
                floors.push((at, least));
            }
        }
        if denied > 5 + proper / 500 {
            self.breach(Rule::Denied, 0, || {
                format!("{denied} proper requests get 404")
            });
        }
        self.later_routes();
        self.orders();
    }

    /// Routes that were added later are served about as often as the first ones, by machines in touch.
    fn later_routes(&mut self) {
        let Some(first) = self.valid().next() else {
            return;
        };
        let is_first = |name: u64| first.config.routes.iter().any(|route| route.name == name);
        let (mut of_first, mut of_later) = (Served::default(), Served::default());
        for try_ in self
            .record
            .tries
            .iter()
            .filter(|try_| self.in_touch(try_.machine, try_.sent_us))
        {
            let holds = self
                .valid()
                .filter(|put| put.acked.is_some_and(|acked| acked + APPLY <= try_.sent_us));
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
        if of_later.asked >= LATER_LEAST && seldom {
            let end = self.record.end;
            self.breach(Rule::Config, end, || {
                format!("routes added later are served {of_later:?}, the first ones {of_first:?}")
            });
        }
    }

    fn orders(&mut self) {
        for (number, put) in self.record.puts.iter().enumerate() {
            let version = put.config.version;
            match (put.valid, put.acked, put.refused) {
                (false, Some(at), _) => {
                    self.breach(Rule::Config, at, || {
                        format!("put {number} is invalid and acknowledged")
                    });
                }
                (true, _, Some(status)) => {
                    self.breach(Rule::Acks, put.sent, || {
                        format!("put {number} of version {version} gets {status}")
                    });
                }
                (true, None, None) if put.sent + 8 * S < self.record.end => {
                    self.breach(Rule::Acks, put.sent, || {
                        format!("put {number} of version {version} is never acknowledged")
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
                "the configuration can't be read back".into()
            }),
            Some(body) => {
                let held = self
                    .valid()
                    .filter(|put| put.body == *body)
                    .map(|put| put.config.version)
                    .max();
                if held.is_none_or(|held| held < newest) {
                    self.breach(Rule::Lost, end, || {
                        format!("version {held:?} is read back, {newest} was acknowledged")
                    });
                }
            }
        }
    }

    /// Any machine, in touch or not, answers a read with no older version than one that was acknowledged long enough
    /// before it (NEWS-22, CONFIG).
    pub fn configuration_reads(&mut self) {
        for read in &self.record.reads {
            let Some(body) = &read.body else {
                continue;
            };
            let is_due = |put: &&Put| put.acked.is_some_and(|acked| acked + APPLY <= read.sent);
            let version = |put: &Put| put.config.version;
            let newest = self.valid().filter(is_due).map(version).max();
            let held = self.valid().filter(|put| put.body == *body);
            let held = held.map(version).max();
            if held < newest {
                self.breach(Rule::Config, read.sent, || {
                    let machine = read.machine;
                    format!("machine {machine} reads version {held:?}, {newest:?} was acknowledged")
                });
            }
        }
    }

    pub fn budget(&mut self) {
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
                            "service {service} gets {count} further tries, {allowed:.1} are allowed"
                        )
                    });
                    break;
                }
            }
        }
    }

    /// Planned work, where nothing unplanned happens meanwhile.
    pub fn losses(&mut self) {
        let by = self.by_request();
        for (machine, term) in self.record.terms.clone() {
            for (index, try_) in self.record.tries.iter().enumerate() {
                let Some((ended, Ended::Closed)) = &try_.ended else {
                    continue;
                };
                let (ended, sent) = (*ended, try_.sent_us);
                if try_.machine != machine || ended < term || ended > term + GRACE + S {
                    continue;
                }
                let calm = !self
                    .record
                    .faults
                    .unplanned
                    .iter()
                    .any(|(from, until)| *from <= ended && *until + CONTACT >= sent);
                let arrivals = by.get(&index).map_or(&[][..], Vec::as_slice);
                let passed = !arrivals.is_empty() || ended > sent + LOSS_SLACK;
                let excused = arrivals.iter().any(|arrival| {
                    arrival.broke_off
                        || arrival.ran.as_ref().is_some_and(|run| {
                            run.ended.unwrap_or(Us::MAX) > term + GRACE / 2
                                && run.begun < term + GRACE
                        })
                });
                if calm && passed && !excused && ended < sent + try_.deadline {
                    self.breach(Rule::Lost, ended, || {
                        format!(
                            "try {index} is cut off at machine {machine}, which was told to end"
                        )
                    });
                }
            }
        }
    }

    pub fn recovery(&mut self) {
        let (from, to) = (
            self.record.end.saturating_sub(4 * S),
            self.record.end.saturating_sub(1_500 * MS),
        );
        let mut served: HashMap<usize, bool> = HashMap::new();
        for try_ in self.record.tries.iter() {
            if try_.sent_us >= from && try_.sent_us < to && try_.status() != 404 {
                *served.entry(try_.request).or_default() |= try_.served();
            }
        }
        let good = served.values().filter(|served| **served).count();
        if good * 4 < served.len() * 3 {
            let of = served.len();
            self.breach(Rule::Recover, from, || {
                format!("{good} of {of} requests are served at the end")
            });
        }
    }
}
