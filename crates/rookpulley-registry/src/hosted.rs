//! One service: its controller, what it is told, and what its proxies were sent.

use crate::desk::Service;
use crate::list::List;
use crate::module::{Facts, Module};
use crate::posted::{Next, Posted};
use rookpulley::facts::*;
use rookpulley_protocol::{Line, ServiceReport};
use std::collections::BTreeMap;

/// The number of proxies that arcs are sized for is held until there are so many times more, or less, for so
/// long: another one lays every arc anew. Too few lay too much on a task's connections, so they bind sooner.
const PROXIES_MORE: f64 = 1.5;
const PROXIES_MORE_FOR_MS: f64 = 2_000.0;
const PROXIES_LESS: f64 = 2.5;
const PROXIES_LESS_FOR_MS: f64 = 10_000.0;
/// Arcs keep the places where they were laid, so tasks that came since are in few of them. All are laid anew once there
/// are more by so large a part for a second, or by a smaller part for as much longer; not for less than the least.
const TASKS_MORE: f64 = 0.3;
const TASKS_MORE_LEAST: f64 = 0.03;
const AIM_MS: f64 = 500.0;
/// What is new is told to the module so often.
const ENTER_MS: f64 = 1_000.0;
const ENTER_SETTLING_MS: f64 = 300.0;
/// So many marks of one proxy wait for its answer at most; the oldest are given up.
const MARKS_MOST: usize = 64;

/// A proxy that calls this controller home.
#[derive(Clone, Copy)]
pub struct Member {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub per_s: f64,
    /// It came with tables of its own: while tasks are still being heard of, those count for more than ours.
    pub holds_tables: bool,
}

impl Member {
    fn joins(&self) -> Input {
        let Self {
            proxy,
            zone,
            per_s: usual_per_s,
            holds_tables,
        } = *self;
        Input::Joined {
            proxy,
            zone,
            usual_per_s,
            fresh: !holds_tables,
        }
    }
}

/// A table for a proxy, and the module's marks that its answer answers.
pub struct Post {
    pub proxy: ProxyId,
    pub lines: Vec<Line>,
    pub mark: u64,
}

/// Sums of what proxies reported since the module was last called.
#[derive(Default)]
struct Reports {
    heard: BTreeMap<(ServerId, ZoneId), [f64; 3]>,
    usage: BTreeMap<ProxyId, [f64; 2]>,
}

pub struct Hosted {
    service: Service,
    number: usize,
    seed: u64,
    pub list: List,
    module: Option<Module>,
    /// Another one for each module: marks of one before mean nothing.
    generation: u64,
    inputs: Vec<Input>,
    urgent: bool,
    reports: Reports,
    posted: BTreeMap<ProxyId, Posted>,
    /// Sent, and not yet answered: our mark, the module's generation and its marks.
    waiting: BTreeMap<ProxyId, Vec<(u64, u64, Vec<u64>)>>,
    entered_ms: f64,
    off_since_ms: Option<f64>,
    /// So many tasks were there when the arcs were laid, and since when there are many more.
    laid_for: usize,
    more_since_ms: Option<f64>,
    pub log: Vec<String>,
}

impl Hosted {
    pub fn new(seed: u64, number: usize, service: Service) -> Self {
        Self {
            service,
            number,
            seed,
            list: List::default(),
            module: None,
            generation: 0,
            inputs: Vec::new(),
            urgent: false,
            reports: Reports::default(),
            posted: BTreeMap::new(),
            waiting: BTreeMap::new(),
            entered_ms: f64::NEG_INFINITY,
            off_since_ms: None,
            laid_for: 0,
            more_since_ms: None,
            log: Vec::new(),
        }
    }

    /// Other facts of the service; the module starts over where arcs depend on them.
    pub fn set(&mut self, service: &Service) {
        if service.max_connections != self.service.max_connections {
            self.module = None;
        }
        self.service = service.clone();
    }

    pub fn proxy_in(&mut self, member: Member) {
        self.waiting.remove(&member.proxy);
        self.posted.insert(member.proxy, Posted::new());
        if let Some(module) = &mut self.module {
            module.unbind(member.proxy);
            self.inputs.push(member.joins());
            self.urgent = true;
        }
    }

    pub fn proxy_out(&mut self, proxy: ProxyId) {
        self.waiting.remove(&proxy);
        self.posted.remove(&proxy);
        self.reports.usage.remove(&proxy);
        if let Some(module) = &mut self.module {
            module.unbind(proxy);
            self.inputs.push(Input::Left { proxy });
        }
    }

    pub fn report(&mut self, member: Member, report: &ServiceReport) {
        let usage = self.reports.usage.entry(member.proxy).or_default();
        usage[0] += f64::from(report.came);
        usage[1] += f64::from(report.bad);
        for task in &report.tasks {
            let Some(server) = self.list.server_of(&task.incarnation) else {
                continue;
            };
            let (tries, bad) = (f64::from(task.tries), f64::from(task.bad.min(task.tries)));
            let mean_ms = f64::from(if task.mean_ms.is_finite() {
                task.mean_ms.max(0.0)
            } else {
                0.0
            });
            let [all, failed, time_ms] =
                self.reports.heard.entry((server, member.zone)).or_default();
            (*all, *failed, *time_ms) = (
                *all + tries,
                *failed + bad,
                *time_ms + mean_ms * (tries - bad),
            );
        }
    }

    /// The tables up to this mark are in use at a proxy.
    pub fn took(&mut self, proxy: ProxyId, mark: u64) {
        let Some(waiting) = self.waiting.get_mut(&proxy) else {
            return;
        };
        let generation = self.generation;
        for (_, of, marks) in waiting.extract_if(.., |(sent, _, _)| *sent <= mark) {
            let marks = marks.into_iter().filter(|_| of == generation);
            self.inputs.extend(marks.map(|mark| Input::Applied {
                proxy,
                mark,
                took_ms: 0.0,
            }));
        }
    }

    /// Brings the module's list up to date; makes the module where there is none, or not for so many proxies.
    pub fn sync(
        &mut self,
        now: f64,
        changed: bool,
        proxies: u32,
        members: &[Member],
        settling: bool,
    ) {
        if changed {
            self.posted
                .values_mut()
                .for_each(|posted| posted.stale = true);
        }
        if members.is_empty() && self.module.is_none() {
            return;
        }
        let off = self.long_off(now, f64::from(proxies.max(1))) | self.long_more(now);
        if self.module.is_none() || off {
            self.make(now, proxies, members);
            return;
        }
        let lines = self.list.leaves();
        self.urgent |= !lines.is_empty();
        let lines = lines
            .into_iter()
            .chain(self.enters(now, settling))
            .collect::<Vec<_>>();
        if !lines.is_empty() {
            self.inputs.push(Input::List {
                scope: ListScope::Changes,
                version: 0,
                lines,
            });
        }
    }

    /// Whether arcs are sized for another number of proxies, and have long been.
    fn long_off(&mut self, now: f64, wanted: f64) -> bool {
        let made_for = self.module.as_ref().map_or(0.0, |m| f64::from(m.made_for));
        let for_ms = match wanted > made_for * PROXIES_MORE {
            true => PROXIES_MORE_FOR_MS,
            false if wanted * PROXIES_LESS < made_for => PROXIES_LESS_FOR_MS,
            false => {
                self.off_since_ms = None;
                return false;
            }
        };
        now - *self.off_since_ms.get_or_insert(now) >= for_ms
    }

    fn long_more(&mut self, now: f64) -> bool {
        let more = self.list.live() as f64 / self.laid_for.max(1) as f64 - 1.0;
        if more <= TASKS_MORE_LEAST {
            self.more_since_ms = None;
            return false;
        }
        let since_ms = *self.more_since_ms.get_or_insert(now);
        more.min(TASKS_MORE) * (now - since_ms) >= TASKS_MORE * 1e3
    }

    fn enters(&mut self, now: f64, settling: bool) -> Vec<Listed> {
        let pause_ms = if settling {
            ENTER_SETTLING_MS
        } else {
            ENTER_MS
        };
        let bare = self
            .posted
            .values()
            .any(|p| p.lines.as_ref().is_none_or(Vec::is_empty));
        if !bare && now - self.entered_ms < pause_ms {
            return Vec::new();
        }
        let lines = self.list.enters(now);
        if !lines.is_empty() {
            (self.entered_ms, self.urgent) = (now, true);
        }
        lines
    }

    fn make(&mut self, now: f64, proxies: u32, members: &[Member]) {
        let aim_ms = if self.service.aim_ms > 0.0 {
            self.service.aim_ms
        } else {
            AIM_MS
        };
        let facts = Facts {
            seed: self.seed,
            proxies: proxies.max(1),
            max_connections: self.service.max_connections,
            aim_ms: aim_ms.clamp(20.0, 60_000.0),
            number: self.number,
        };
        (self.laid_for, self.more_since_ms) = (self.list.live(), None);
        self.log.push(format!(
            "arcs are cut for {proxies} proxies and {} tasks",
            self.laid_for
        ));
        self.module = Some(Module::new(now, &facts));
        self.generation += 1;
        (self.off_since_ms, self.entered_ms, self.urgent) = (None, now, true);
        self.reports = Reports::default();
        self.posted
            .values_mut()
            .for_each(|posted| posted.marks.clear());
        let lines = self.list.first(now);
        self.inputs = vec![Input::List {
            scope: ListScope::Cached,
            version: 0,
            lines,
        }];
        self.inputs.extend(members.iter().map(Member::joins));
    }

    /// Calls the module when something is due, and cuts the tables that are to go out.
    pub fn tick(
        &mut self,
        now: f64,
        members: &[Member],
        settling: bool,
        next_mark: &mut u64,
    ) -> Vec<Post> {
        let Some(module) = &mut self.module else {
            return Vec::new();
        };
        if module.ring(now, &mut self.inputs) | std::mem::take(&mut self.urgent) {
            let Reports { heard, usage } = std::mem::take(&mut self.reports);
            let heard = heard
                .into_iter()
                .map(|((server, zone), [tries, bad, time_ms])| {
                    let mean_ms = time_ms / (tries - bad).max(1.0);
                    Input::Heard {
                        zone,
                        server,
                        tries,
                        bad,
                        mean_ms,
                        span_ms: 1_000.0,
                        load: Vec::new(),
                    }
                });
            let usage = usage.into_iter().map(|(proxy, [came, bad])| Input::Usage {
                proxy,
                kind: 0,
                came,
                bad,
                span_ms: 1_000.0,
            });
            // Reports go before the round that judges by them.
            let before = self
                .inputs
                .extract_if(.., |i| !matches!(i, Input::Alarm { .. }));
            let mut inputs: Vec<Input> = before.collect();
            inputs.extend(heard.chain(usage));
            inputs.append(&mut self.inputs);
            let brought = module.call(now, &inputs);
            self.log.extend(brought.log);
            for proxy in brought.touched {
                let Some(posted) = self.posted.get_mut(&proxy) else {
                    continue;
                };
                posted.stale = true;
                posted.marks.extend(brought.mark);
            }
            self.list.forget(|server| module.knows(server));
        }
        let mut posts = Vec::new();
        for Member {
            proxy,
            holds_tables,
            ..
        } in members
        {
            let Some(posted) = self.posted.get_mut(proxy) else {
                continue;
            };
            if posted.lines.is_none() && *holds_tables && settling {
                continue;
            }
            match posted.next(now, &self.list, module, *proxy, settling) {
                Next::Wait => {}
                Next::Nothing => {
                    // It holds what was ordered already.
                    posted.stale = false;
                    let marks = std::mem::take(&mut posted.marks).into_iter();
                    let proxy = *proxy;
                    self.inputs.extend(marks.map(|mark| Input::Applied {
                        proxy,
                        mark,
                        took_ms: 0.0,
                    }));
                }
                Next::Send(lines) => {
                    *next_mark += 1;
                    let marks = posted.sent(now, *next_mark, lines.clone());
                    let waiting = self.waiting.entry(*proxy).or_default();
                    let over = (waiting.len() + 1).saturating_sub(MARKS_MOST);
                    waiting.drain(..over);
                    waiting.push((*next_mark, self.generation, marks));
                    posts.push(Post {
                        proxy: *proxy,
                        lines,
                        mark: *next_mark,
                    });
                }
            }
        }
        posts
    }

    /// A proxy's table: the name of what was last ordered for it, the count of its revisions, and what was sent.
    pub fn shown(&self, proxy: ProxyId) -> Option<(u64, usize, usize, u64)> {
        let ordered = self.module.as_ref()?.ordered(proxy)?;
        let posted = self.posted.get(&proxy)?;
        let lines = posted.lines.as_ref().map_or(0, Vec::len);
        Some((
            ordered.names.last().copied().unwrap_or(0),
            ordered.names.len(),
            lines,
            posted.mark,
        ))
    }
}
