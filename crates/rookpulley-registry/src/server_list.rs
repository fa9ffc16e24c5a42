//! Translates the instances of one service into the server list of the decision module.
//!
//! The module identifies servers by address. The list records what the module last received, so that only changes are
//! passed on.

use crate::registry::{Instance, InstanceStatus};
use rookpulley::interface::{ServerEntry, ServerId, Stage, ZoneId};
use rookpulley_protocol::{IncarnationId, TableEntry};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Warm-up time configured in the module. An instance is listed as started this long before its warm-up ends.
pub const WARM_UP_MS: f64 = 3_000.0;
/// Offset of the module's clock. The module treats start times of 0 or less as long ago, and the local clock may start
/// at 0.
pub const EPOCH_MS: f64 = 1_000_000.0;
/// Start time that the module treats as long ago.
const STARTED_LONG_AGO_MS: f64 = 0.0;
/// Weights are relative to a mean slot count that is updated only when it is off by this factor, since every update
/// changes all weights.
const MEAN_SLOTS_TOLERANCE: f64 = 2.0;

/// The module's id of a server: its encoded address.
pub fn server_id(address: SocketAddrV4) -> ServerId {
    let [a, b, c, d] = address.ip().octets();
    let [low, high] = address.port().to_le_bytes();
    [a, b, c, d, low, high]
}

/// Attributes of an instance in the registry that affect tables.
#[derive(Clone, PartialEq)]
struct ObservedInstance {
    incarnation: IncarnationId,
    address: SocketAddrV4,
    zone: String,
    zone_id: ZoneId,
    slots: u16,
    status: InstanceStatus,
}

/// An observed instance and the end of its warm-up.
struct Observed {
    instance: ObservedInstance,
    warm_at_ms: f64,
}

/// The last state of a server that was passed to the module.
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

/// Whether an entry may remain in a proxy's table.
#[derive(Clone, Copy, PartialEq)]
pub enum EntryStatus {
    /// The instance is live.
    Listed,
    /// The instance is silent; kept only if no live instance is available.
    Unconfirmed,
    /// The instance must not get requests.
    Gone,
}

/// The instances of one service, and the servers announced to the module.
#[derive(Default)]
pub struct ServerList {
    observed: BTreeMap<ServerId, Observed>,
    announced: BTreeMap<ServerId, AnnouncedServer>,
    /// Server of each announced incarnation.
    servers: BTreeMap<IncarnationId, ServerId>,
    mean_slots: f64,
}

impl ServerList {
    /// Replaces the observed instances. Returns whether any attribute that affects tables has changed.
    pub fn observe<'a>(&mut self, instances: impl Iterator<Item = (Instance<'a>, ZoneId)>) -> bool {
        let mut observed = BTreeMap::<ServerId, Observed>::new();
        for (instance, zone_id) in instances {
            let Instance {
                heartbeat,
                status,
                heard_ms,
            } = instance;
            let server = server_id(heartbeat.address);
            // A draining incarnation may still be registered at an address that a newer one has taken over.
            let is_available = observed
                .get(&server)
                .is_none_or(|other| other.instance.status == InstanceStatus::Draining);
            if status == InstanceStatus::Displaced || !is_available {
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
            let warm_at_ms = heard_ms + heartbeat.warm_up_ms;
            observed.insert(
                server,
                Observed {
                    instance,
                    warm_at_ms,
                },
            );
        }
        let previous = self.observed.values().map(|o| &o.instance);
        let has_changed = !previous.eq(observed.values().map(|o| &o.instance));
        self.observed = observed;
        has_changed
    }

    /// Discards the state announced to a previous module.
    fn reset(&mut self) {
        self.announced.clear();
        self.servers.clear();
        self.mean_slots = 0.0;
    }

    /// The complete list for a new module. Warm instances are listed as started long ago.
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

    /// Takes the updates for servers that are draining or gone, which are passed on immediately.
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

    /// Number of instances that may get requests.
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Updates the mean slot count of live instances when it is outside the tolerance.
    fn update_mean_slots(&mut self) {
        let slots: f64 = self.live().map(|(_, o)| f64::from(o.instance.slots)).sum();
        let mean = slots / (self.live_count() as f64).max(1.0);
        let is_above = mean > MEAN_SLOTS_TOLERANCE * self.mean_slots;
        let is_below = mean * MEAN_SLOTS_TOLERANCE < self.mean_slots;
        if mean > 0.0 && (is_above || is_below) {
            self.mean_slots = mean;
        }
    }

    /// Takes the updates for servers that are new, have recovered or have a different weight.
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
            // A warm instance is listed with the latest start time whose warm-up is over now.
            let started_ms = observed.warm_at_ms.max(now) - WARM_UP_MS + EPOCH_MS;
            let started_ms = match (same, before) {
                (Some(same), _) => same.started_ms,
                // A new incarnation at this address must have a later start time.
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

    /// Drops gone servers that the module no longer knows.
    pub fn forget(&mut self, knows: impl Fn(&ServerId) -> bool) {
        self.announced
            .retain(|server, announced| announced.stage != Stage::Gone || knows(server));
        let announced = &self.announced;
        self.servers.retain(|incarnation, server| {
            let at_server = announced.get(server);
            at_server.is_some_and(|a| a.incarnation == *incarnation)
        });
    }

    /// The server of an announced incarnation.
    pub fn server_of(&self, incarnation: &str) -> Option<ServerId> {
        self.servers.get(incarnation).copied()
    }

    /// A table entry for a server. `None` if it must not be in any table.
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

    /// Status of an entry that a proxy holds.
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
