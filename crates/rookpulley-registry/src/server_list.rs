//! The instances of one service as lines of the decision module's list of servers.
//!
//! The module knows servers by their addresses. It is told which of them are ready, draining or gone, and when each
//! started; what it is told is remembered, so that only changes go to it.

use crate::registry::{Instance, InstanceStatus};
use rookpulley::interface::{ServerEntry, ServerId, Stage, ZoneId};
use rookpulley_protocol::{IncarnationId, TableEntry};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long before the end of its warm-up an instance counts as started, by the module's bounds.
pub const WARM_UP_MS: f64 = 3_000.0;
/// The module reads a start at 0 or before as one of long ago, and our clock may begin there: its clock begins here.
pub const EPOCH_MS: f64 = 1_000_000.0;
/// A start of long ago, for the module.
const STARTED_LONG_AGO_MS: f64 = 0.0;
/// The mean that weights stand on is held until it is off by so much: another one changes every line.
const MEAN_SLOTS_OFF: f64 = 2.0;

/// The module's name of a server: its address.
pub fn server_id(address: SocketAddrV4) -> ServerId {
    let [a, b, c, d] = address.ip().octets();
    let [low, high] = address.port().to_le_bytes();
    [a, b, c, d, low, high]
}

/// An instance as the registry has it now.
#[derive(Clone, PartialEq)]
struct ObservedInstance {
    incarnation: IncarnationId,
    address: SocketAddrV4,
    zone: String,
    zone_id: ZoneId,
    slots: u16,
    status: InstanceStatus,
}

/// The same, with when its warm-up ends.
struct Observed {
    instance: ObservedInstance,
    warm_ms: f64,
}

/// What the module was told of a server.
struct AnnouncedServer {
    incarnation: IncarnationId,
    stage: Stage,
    weight: f64,
    zone: ZoneId,
    started_ms: f64,
}

impl AnnouncedServer {
    fn listed(&self, server: ServerId) -> ServerEntry {
        ServerEntry {
            server,
            zone: self.zone,
            machine: 0,
            bay: self.zone,
            stage: self.stage,
            weight: self.weight,
            started_ms: self.started_ms,
        }
    }
}

/// Whether an entry of a proxy's table may stay.
#[derive(Clone, Copy, PartialEq)]
pub enum EntryStatus {
    /// The instance may get requests.
    Listed,
    /// It may be alive: better than none.
    Unconfirmed,
    /// It must not get requests.
    Gone,
}

/// The servers of one service.
#[derive(Default)]
pub struct ServerList {
    observed: BTreeMap<ServerId, Observed>,
    announced: BTreeMap<ServerId, AnnouncedServer>,
    /// Where the incarnations are that the module was told of.
    servers: BTreeMap<IncarnationId, ServerId>,
    mean_slots: f64,
}

impl ServerList {
    /// Takes what the registry has of this service now. True: what may be in tables has changed.
    pub fn observe<'a>(&mut self, instances: impl Iterator<Item = (Instance<'a>, ZoneId)>) -> bool {
        let mut observed = BTreeMap::<ServerId, Observed>::new();
        for (instance, zone_id) in instances {
            let Instance {
                heartbeat,
                status,
                heard_ms,
            } = instance;
            let server = server_id(heartbeat.address);
            // One that is draining may still be known at an address that another one has by now.
            let is_free = observed
                .get(&server)
                .is_none_or(|other| other.instance.status == InstanceStatus::Draining);
            if status == InstanceStatus::Displaced || !is_free {
                continue;
            }
            let instance = ObservedInstance {
                incarnation: heartbeat.incarnation.clone(),
                address: heartbeat.address,
                zone: heartbeat.zone.clone(),
                zone_id,
                slots: heartbeat.slots,
                status,
            };
            let warm_ms = heard_ms + heartbeat.warm_up_ms;
            observed.insert(server, Observed { instance, warm_ms });
        }
        let before = self.observed.values().map(|o| &o.instance);
        let has_changed = !before.eq(observed.values().map(|o| &o.instance));
        self.observed = observed;
        has_changed
    }

    /// Forgets what an earlier module was told.
    fn reset(&mut self) {
        self.announced.clear();
        self.servers.clear();
        self.mean_slots = 0.0;
    }

    /// The first list of a module. What is warm counts as started long ago.
    pub fn first_list(&mut self, now: f64) -> Vec<ServerEntry> {
        self.reset();
        let entered = self.take_entering(now);
        let warm =
            |server: &&mut AnnouncedServer| server.started_ms + WARM_UP_MS <= now + EPOCH_MS + 1.0;
        for server in self.announced.values_mut().filter(warm) {
            server.started_ms = STARTED_LONG_AGO_MS;
        }
        let listed = |line: &ServerEntry| {
            let announced = self.announced.get(&line.server)?;
            Some(announced.listed(line.server))
        };
        entered.iter().filter_map(listed).collect()
    }

    /// Lines for the servers that must leave at once.
    pub fn take_leaving(&mut self) -> Vec<ServerEntry> {
        let mut lines = Vec::new();
        for (server, announced) in &mut self.announced {
            let observed = self.observed.get(server).map(|o| &o.instance);
            let observed = observed.filter(|i| i.incarnation == announced.incarnation);
            let stage = match observed.map(|instance| instance.status) {
                Some(InstanceStatus::Live) => continue,
                Some(InstanceStatus::Draining) => Stage::Draining,
                _ => Stage::Gone,
            };
            if announced.stage != stage {
                announced.stage = stage;
                lines.push(announced.listed(*server));
            }
        }
        lines
    }

    fn live(&self) -> impl Iterator<Item = (&ServerId, &Observed)> {
        let is_live = |o: &Observed| o.instance.status == InstanceStatus::Live;
        self.observed.iter().filter(move |(_, o)| is_live(o))
    }

    /// How many instances may get requests.
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Weights stand on the mean of all live instances' slots.
    fn update_mean_slots(&mut self) {
        let slots: f64 = self.live().map(|(_, o)| f64::from(o.instance.slots)).sum();
        let mean = slots / (self.live_count() as f64).max(1.0);
        let is_above = mean > MEAN_SLOTS_OFF * self.mean_slots;
        let is_below = mean * MEAN_SLOTS_OFF < self.mean_slots;
        if mean > 0.0 && (is_above || is_below) {
            self.mean_slots = mean;
        }
    }

    /// Lines for the servers that are new, come back or have another weight.
    pub fn take_entering(&mut self, now: f64) -> Vec<ServerEntry> {
        self.update_mean_slots();
        let mut entering = Vec::new();
        for (server, observed) in self.live() {
            let instance = &observed.instance;
            let weight = f64::from(instance.slots) / self.mean_slots.max(1e-9);
            let before = self.announced.get(server);
            let same = before.filter(|before| before.incarnation == instance.incarnation);
            if same.is_some_and(|same| same.stage == Stage::Ready && same.weight == weight) {
                continue;
            }
            // Warm ones count as started at the latest when their warm-up may just be over.
            let started_ms = observed.warm_ms.max(now) - WARM_UP_MS + EPOCH_MS;
            let started_ms = match (same, before) {
                (Some(same), _) => same.started_ms,
                // Another incarnation at this address is a later start.
                (None, Some(before)) => started_ms.max(before.started_ms + 1.0),
                (None, None) => started_ms,
            };
            let announced = AnnouncedServer {
                incarnation: instance.incarnation.clone(),
                stage: Stage::Ready,
                weight,
                zone: instance.zone_id,
                started_ms,
            };
            entering.push((*server, announced));
        }
        let mut lines = Vec::new();
        for (server, announced) in entering {
            lines.push(announced.listed(server));
            self.announce(server, announced);
        }
        lines
    }

    fn announce(&mut self, server: ServerId, announced: AnnouncedServer) {
        let incarnation = announced.incarnation.clone();
        self.servers.insert(incarnation.clone(), server);
        let before = self.announced.insert(server, announced);
        if let Some(before) = before.filter(|before| before.incarnation != incarnation) {
            self.servers.remove(&before.incarnation);
        }
    }

    /// Drops what has ended and what the module no longer knows.
    pub fn forget(&mut self, knows: impl Fn(&ServerId) -> bool) {
        self.announced
            .retain(|server, announced| announced.stage != Stage::Gone || knows(server));
        let announced = &self.announced;
        self.servers.retain(|incarnation, server| {
            let at_server = announced.get(server);
            at_server.is_some_and(|a| a.incarnation == *incarnation)
        });
    }

    /// The server of an incarnation that the module was told of.
    pub fn server_of(&self, incarnation: &str) -> Option<ServerId> {
        self.servers.get(incarnation).copied()
    }

    /// An entry for a table. None: the server may be in no table.
    pub fn entry(&self, server: &ServerId, weight: f64) -> Option<TableEntry> {
        let announced = self.announced.get(server)?;
        let instance = &self.observed.get(server)?.instance;
        let is_ready = announced.stage == Stage::Ready && instance.status == InstanceStatus::Live;
        if !is_ready || instance.incarnation != announced.incarnation {
            return None;
        }
        Some(TableEntry {
            incarnation: instance.incarnation.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            weight: weight as f32,
            slots: instance.slots,
        })
    }

    /// What has become of an entry that a proxy has.
    pub fn entry_status(&self, entry: &TableEntry) -> EntryStatus {
        let observed = self.observed.get(&server_id(entry.address));
        let instance = observed.map(|o| &o.instance);
        let same = instance.filter(|instance| instance.incarnation == entry.incarnation);
        match same.map(|instance| instance.status) {
            Some(InstanceStatus::Live) => EntryStatus::Listed,
            Some(InstanceStatus::Silent) => EntryStatus::Unconfirmed,
            _ => EntryStatus::Gone,
        }
    }
}
