//! The desk: the proxies that call this controller home, and a controller for each service.

use crate::hosted::{Hosted, Member};
use crate::posted::hash_of;
use crate::registry::{Registry, Task};
use rookpulley::facts::{ProxyId, ZoneId};
use rookpulley_protocol::{Line, Report};
use std::collections::BTreeMap;

/// So many proxies are remembered by their ids; beyond that the id of one that has long been out is passed on.
const PROXIES_MOST: usize = 4_096;
/// Zones beyond this many count as one.
const ZONES_MOST: usize = 1_024;

/// A service as the configuration has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// As many connections as a task accepts from all; 0: not told.
    pub max_connections: u32,
    /// The shortest aim of its routes; 0: not known.
    pub aim_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A whole table in the place of the one before, to be answered with its mark.
    Table {
        proxy: String,
        service: String,
        name: u64,
        mark: u64,
        lines: Vec<Line>,
    },
    Log {
        service: String,
        text: String,
    },
}

/// A proxy's table for `show`.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub service: String,
    pub proxy: String,
    /// The revision last ordered, by the hash of its lines.
    pub name: u64,
    pub revisions: usize,
    /// The lines last sent, and the mark that they went with.
    pub lines: usize,
    pub mark: u64,
}

struct Proxy {
    member: Member,
    joined: bool,
    /// When it last came or went.
    moved_ms: f64,
}

#[derive(Default)]
struct Zones(BTreeMap<String, ZoneId>);

impl Zones {
    fn id(&mut self, name: &str) -> ZoneId {
        if let Some(id) = self.0.get(name) {
            return *id;
        }
        let id = self.0.len().min(ZONES_MOST);
        if id < ZONES_MOST {
            self.0.insert(name.into(), id as ZoneId);
        }
        id as ZoneId
    }
}

pub struct Desk {
    seed: u64,
    /// The proxies of the whole system, as far as is known.
    known: u32,
    services: BTreeMap<String, Hosted>,
    proxies: BTreeMap<String, Proxy>,
    zones: Zones,
    marks: u64,
    hosted: usize,
    /// The registry's version that the lists stand on.
    seen: Option<u64>,
    settling: bool,
}

impl Desk {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            known: 0,
            services: BTreeMap::new(),
            proxies: BTreeMap::new(),
            zones: Zones::default(),
            marks: 0,
            hosted: 0,
            seen: None,
            settling: true,
        }
    }

    /// The services of a configuration. What is not named is hosted no longer.
    pub fn set_services(&mut self, services: &[Service]) {
        self.services
            .retain(|name, _| services.iter().any(|s| s.name == *name));
        for service in services {
            if let Some(hosted) = self.services.get_mut(&service.name) {
                hosted.set(service);
                continue;
            }
            let mut hosted = Hosted::new(self.seed, self.hosted, service.clone());
            self.hosted += 1;
            self.proxies
                .values()
                .filter(|c| c.joined)
                .for_each(|c| hosted.proxy_in(c.member));
            self.services.insert(service.name.clone(), hosted);
            self.seen = None;
        }
    }

    /// How many proxies the whole system has: arcs are sized by that.
    pub fn set_proxies(&mut self, count: u32) {
        self.known = count;
    }

    /// A proxy calls this controller home. `holds_tables`: it is not newly started.
    pub fn proxy_in(
        &mut self,
        now: f64,
        name: &str,
        zone: &str,
        usual_per_s: f64,
        holds_tables: bool,
    ) {
        self.proxy_out(now, name);
        let sound = usual_per_s.is_finite() && usual_per_s > 0.0;
        let per_s = if sound { usual_per_s } else { 1.0 };
        let Some(proxy) = self.proxy(name) else {
            return;
        };
        let member = Member {
            proxy,
            zone: self.zones.id(zone),
            per_s,
            holds_tables,
        };
        self.proxies.insert(
            name.into(),
            Proxy {
                member,
                joined: true,
                moved_ms: now,
            },
        );
        self.services
            .values_mut()
            .for_each(|hosted| hosted.proxy_in(member));
    }

    pub fn proxy_out(&mut self, now: f64, name: &str) {
        let Some(proxy) = self.proxies.get_mut(name).filter(|c| c.joined) else {
            return;
        };
        (proxy.joined, proxy.moved_ms) = (false, now);
        let proxy = proxy.member.proxy;
        self.services
            .values_mut()
            .for_each(|hosted| hosted.proxy_out(proxy));
    }

    /// The id that a proxy had, or a free one.
    fn proxy(&mut self, name: &str) -> Option<ProxyId> {
        if let Some(proxy) = self.proxies.get(name) {
            return Some(proxy.member.proxy);
        }
        if self.proxies.len() < PROXIES_MOST {
            // Ids are given in order and passed on with their names: the count is free.
            return Some(self.proxies.len() as ProxyId);
        }
        let out = self.proxies.iter().filter(|(_, c)| !c.joined);
        let longest = out
            .min_by(|a, b| a.1.moved_ms.total_cmp(&b.1.moved_ms))
            .map(|(name, _)| name.clone());
        longest
            .and_then(|name| self.proxies.remove(&name))
            .map(|proxy| proxy.member.proxy)
    }

    fn member(&self, name: &str) -> Option<Member> {
        self.proxies
            .get(name)
            .filter(|c| c.joined)
            .map(|c| c.member)
    }

    /// What a proxy has met since its last report.
    pub fn report(&mut self, name: &str, report: &Report) {
        let Some(member) = self.member(name) else {
            return;
        };
        for of in &report.services {
            if let Some(hosted) = self.services.get_mut(&of.service) {
                hosted.report(member, of);
            }
        }
    }

    /// A proxy uses its tables up to this mark.
    pub fn took(&mut self, name: &str, mark: u64) {
        let Some(member) = self.member(name) else {
            return;
        };
        self.services
            .values_mut()
            .for_each(|hosted| hosted.took(member.proxy, mark));
    }

    /// Takes over what the registry has; what drains leaves the tables with the next tick.
    pub fn sync(&mut self, now: f64, registry: &Registry) {
        self.settling = registry.settling(now);
        let mut tasks: BTreeMap<&str, Vec<(Task, ZoneId)>> = BTreeMap::new();
        let stale = self.seen != Some(registry.version());
        self.seen = Some(registry.version());
        for task in registry.tasks().filter(|_| stale) {
            if self.services.contains_key(&task.heartbeat.service) {
                let zone = self.zones.id(&task.heartbeat.zone);
                tasks
                    .entry(task.heartbeat.service.as_str())
                    .or_default()
                    .push((task, zone));
            }
        }
        let members = self.members();
        let proxies = self.known.max(members.len() as u32);
        for (name, hosted) in &mut self.services {
            let tasks = tasks.remove(name.as_str()).unwrap_or_default();
            let changed = stale && hosted.list.see(tasks.into_iter());
            hosted.sync(now, changed, proxies, &members, self.settling);
        }
    }

    fn members(&self) -> Vec<Member> {
        self.proxies
            .values()
            .filter(|c| c.joined)
            .map(|c| c.member)
            .collect()
    }

    /// The tables that changed since the last tick.
    pub fn tick(&mut self, now: f64) -> Vec<Out> {
        let members = self.members();
        let names: BTreeMap<ProxyId, &String> = self
            .proxies
            .iter()
            .map(|(name, c)| (c.member.proxy, name))
            .collect();
        let mut out = Vec::new();
        for (service, hosted) in &mut self.services {
            let posts = hosted.tick(now, &members, self.settling, &mut self.marks);
            let log = hosted.log.drain(..);
            out.extend(log.map(|text| Out::Log {
                service: service.clone(),
                text,
            }));
            for post in posts {
                let Some(proxy) = names.get(&post.proxy) else {
                    continue;
                };
                let (proxy, service, name) =
                    ((*proxy).clone(), service.clone(), hash_of(&post.lines));
                out.push(Out::Table {
                    proxy,
                    service,
                    name,
                    mark: post.mark,
                    lines: post.lines,
                });
            }
        }
        out
    }

    pub fn shown(&self) -> Vec<Shown> {
        let joined: Vec<_> = self.proxies.iter().filter(|(_, c)| c.joined).collect();
        let each = |(service, hosted): (&String, &Hosted)| {
            let of = joined.iter().filter_map(|(proxy, c)| {
                let (name, revisions, lines, mark) = hosted.shown(c.member.proxy)?;
                let (service, proxy) = (service.clone(), (*proxy).clone());
                Some(Shown {
                    service,
                    proxy,
                    name,
                    revisions,
                    lines,
                    mark,
                })
            });
            of.collect::<Vec<_>>()
        };
        self.services.iter().flat_map(each).collect()
    }
}
