//! The tasks of one service as lines of the module's list.

use crate::registry::{Standing, Task};
use rookpulley::facts::{Listed, ServerId, Stage, ZoneId};
use rookpulley_protocol::{IncarnationId, Line};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long before the end of its coldness a task counts as started, by the module's bounds.
pub const COLD_MS: f64 = 3_000.0;
/// The module reads a start at 0 or before as one of long ago, and our clock may begin there.
pub const EPOCH_MS: f64 = 1_000_000.0;
/// The mean that weights stand on is held until it is off by so much: another one changes every line.
const MEAN_OFF: f64 = 2.0;

pub fn server_id(address: SocketAddrV4) -> ServerId {
    let [a, b, c, d] = address.ip().octets();
    let [lo, hi] = address.port().to_le_bytes();
    [a, b, c, d, lo, hi]
}

/// A task as the registry has it now.
#[derive(Clone, PartialEq)]
pub struct Seen {
    pub incarnation: IncarnationId,
    pub address: SocketAddrV4,
    pub zone: String,
    pub zone_id: ZoneId,
    pub slots: u16,
    pub standing: Standing,
}

/// What the module was told of a server.
struct Told {
    incarnation: IncarnationId,
    stage: Stage,
    weight: f64,
    zone: ZoneId,
    started_ms: f64,
}

impl Told {
    fn line(&self, server: ServerId) -> Listed {
        let (stage, weight, started_ms) = (self.stage, self.weight, self.started_ms);
        Listed {
            server,
            zone: self.zone,
            machine: 0,
            bay: self.zone,
            stage,
            weight,
            started_ms,
        }
    }
}

/// Whether a line of a proxy's table may stay.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Listed,
    /// It may live: better than none.
    Unheard,
    Gone,
}

#[derive(Default)]
pub struct List {
    seen: BTreeMap<ServerId, (Seen, f64)>,
    told: BTreeMap<ServerId, Told>,
    /// Where the incarnations are that the module was told of.
    places: BTreeMap<IncarnationId, ServerId>,
    mean_slots: f64,
}

impl List {
    /// Takes what the registry has of this service now. True where that changes what may be in tables.
    pub fn see<'a>(&mut self, tasks: impl Iterator<Item = (Task<'a>, ZoneId)>) -> bool {
        let mut seen = BTreeMap::<ServerId, (Seen, f64)>::new();
        for (
            Task {
                heartbeat,
                standing,
                heard_ms,
            },
            zone_id,
        ) in tasks
        {
            // One that drains may still be known at an address that another one has by now.
            let other = seen.get(&server_id(heartbeat.address));
            let free = other.is_none_or(|(other, _)| other.standing == Standing::Draining);
            if standing != Standing::Displaced && free {
                let (incarnation, address, zone) = (
                    heartbeat.incarnation.clone(),
                    heartbeat.address,
                    heartbeat.zone.clone(),
                );
                let warm_ms = heard_ms + heartbeat.cold_ms;
                let one = Seen {
                    incarnation,
                    address,
                    zone,
                    zone_id,
                    slots: heartbeat.slots,
                    standing,
                };
                seen.insert(server_id(address), (one, warm_ms));
            }
        }
        let same = self.seen.len() == seen.len()
            && self
                .seen
                .iter()
                .zip(&seen)
                .all(|((a, (x, _)), (b, (y, _)))| (a, x) == (b, y));
        self.seen = seen;
        !same
    }

    /// Forgets what a module before was told.
    pub fn start_over(&mut self) {
        (self.told, self.places, self.mean_slots) = (BTreeMap::new(), BTreeMap::new(), 0.0);
    }

    /// The first list of a module: what is warm has served for long.
    pub fn first(&mut self, now: f64) -> Vec<Listed> {
        self.start_over();
        let lines = self.enters(now);
        for told in self
            .told
            .values_mut()
            .filter(|t| t.started_ms + COLD_MS <= now + EPOCH_MS + 1.0)
        {
            told.started_ms = 0.0;
        }
        lines
            .into_iter()
            .filter_map(|l| Some(self.told.get(&l.server)?.line(l.server)))
            .collect()
    }

    /// Lines for what must leave at once.
    pub fn leaves(&mut self) -> Vec<Listed> {
        let mut lines = Vec::new();
        for (server, told) in &mut self.told {
            let seen = self
                .seen
                .get(server)
                .filter(|(seen, _)| seen.incarnation == told.incarnation);
            let stage = match seen.map(|(seen, _)| seen.standing) {
                Some(Standing::Live) => continue,
                Some(Standing::Draining) => Stage::Draining,
                _ => Stage::Gone,
            };
            if told.stage != stage {
                told.stage = stage;
                lines.push(told.line(*server));
            }
        }
        lines
    }

    pub fn live(&self) -> usize {
        self.seen
            .values()
            .filter(|(seen, _)| seen.standing == Standing::Live)
            .count()
    }

    /// Lines for what is new, came back or weighs otherwise.
    pub fn enters(&mut self, now: f64) -> Vec<Listed> {
        let live = || {
            self.seen
                .iter()
                .filter(|(_, (seen, _))| seen.standing == Standing::Live)
        };
        let (count, slots) = live().fold((0.0, 0.0), |(n, s), (_, (seen, _))| {
            (n + 1.0, s + f64::from(seen.slots))
        });
        let mean = slots / f64::max(count, 1.0);
        if mean > 0.0 && (mean > MEAN_OFF * self.mean_slots || mean * MEAN_OFF < self.mean_slots) {
            self.mean_slots = mean;
        }
        let mut lines = Vec::new();
        for (server, (seen, warm_ms)) in live() {
            let weight = f64::from(seen.slots) / self.mean_slots.max(1e-9);
            let zone = seen.zone_id;
            let fresh_ms = warm_ms - COLD_MS + EPOCH_MS;
            // Warm ones count as started at the latest when their coldness may just be over.
            let fresh_ms = fresh_ms.max(now - COLD_MS + EPOCH_MS);
            let started_ms = match self.told.get(server) {
                Some(told) if told.incarnation == seen.incarnation => {
                    if told.stage == Stage::Ready && told.weight == weight {
                        continue;
                    }
                    told.started_ms
                }
                // Another incarnation at this place is a later start.
                Some(told) => fresh_ms.max(told.started_ms + 1.0),
                None => fresh_ms,
            };
            let told = Told {
                incarnation: seen.incarnation.clone(),
                stage: Stage::Ready,
                weight,
                zone,
                started_ms,
            };
            lines.push(told.line(*server));
            self.places.insert(seen.incarnation.clone(), *server);
            if let Some(before) = self
                .told
                .insert(*server, told)
                .filter(|before| before.incarnation != seen.incarnation)
            {
                self.places.remove(&before.incarnation);
            }
        }
        lines
    }

    /// Drops what has ended and what the module no longer knows.
    pub fn forget(&mut self, knows: impl Fn(&ServerId) -> bool) {
        self.told
            .retain(|server, told| told.stage != Stage::Gone || knows(server));
        let told = &self.told;
        self.places.retain(|incarnation, server| {
            told.get(server)
                .is_some_and(|t| t.incarnation == *incarnation)
        });
    }

    /// The place of an incarnation that the module was told of.
    pub fn server_of(&self, incarnation: &str) -> Option<ServerId> {
        self.places.get(incarnation).copied()
    }

    /// A line as proxies read it, where it may be in a table.
    pub fn line(&self, server: &ServerId, weight: f64) -> Option<Line> {
        let told = self
            .told
            .get(server)
            .filter(|told| told.stage == Stage::Ready)?;
        let (seen, _) = self.seen.get(server)?;
        (seen.incarnation == told.incarnation && seen.standing == Standing::Live).then(|| Line {
            incarnation: seen.incarnation.clone(),
            address: seen.address,
            zone: seen.zone.clone(),
            weight: weight as f32,
            slots: seen.slots,
        })
    }

    /// What has become of a line that a proxy holds.
    pub fn fate(&self, line: &Line) -> Fate {
        let seen = self
            .seen
            .get(&server_id(line.address))
            .filter(|(seen, _)| seen.incarnation == line.incarnation);
        match seen.map(|(seen, _)| seen.standing) {
            Some(Standing::Live) => Fate::Listed,
            Some(Standing::Silent) => Fate::Unheard,
            _ => Fate::Gone,
        }
    }
}
