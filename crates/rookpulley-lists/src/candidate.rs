//! Server lists as offered by a source, and their validation.

use rookpulley::interface::Start;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The maximum weight; larger values are taken for typing errors.
pub const MAX_WEIGHT: f64 = 10_000.0;
/// The maximum share of the capacity that a list may remove at once, unless it declares a larger `loss`.
pub const DEFAULT_MAX_LOSS: f64 = 0.5;
/// How far in the future a start may lie, to tolerate clock differences.
const MAX_START_AHEAD_MS: f64 = 60_000.0;
/// The maximum number of reasons listed per candidate; further ones are only counted.
const MAX_REASONS: usize = 50;

/// A position in a file: line and column, starting at 1.
pub type Place = (usize, usize);

/// A server as listed by a source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub machine: String,
    pub bay: u16,
    pub weight: f64,
    /// The server accepts no new requests and finishes those in flight.
    pub drains: bool,
    /// The last start in Unix milliseconds; 0 if not given.
    pub started_ms: f64,
    pub place: Option<Place>,
}

/// A complete list as offered by a source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Increases with every list of the source.
    pub generation: u64,
    /// The declared maximum share of the capacity that the list may remove.
    pub loss: Option<f64>,
    pub entries: Vec<Entry>,
}

/// A request kind and the servers that may receive it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kind {
    pub name: String,
    /// The allowed zones and kinds of machine; empty for any.
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    /// Whether only servers in the zone of the proxy may receive it.
    pub own_zone: bool,
}

/// The zones, kinds of machine and request kinds of the deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub kinds: Vec<Kind>,
}

impl Deployment {
    /// Derives the deployment from the start settings; `machines` names the kinds of machine.
    pub fn from_start(start: &Start, machines: &[String]) -> Self {
        let zones = start.topology.zones.clone();
        let names = |places: &[u16], of: &[String]| {
            places
                .iter()
                .filter_map(|p| of.get(usize::from(*p)).cloned())
                .collect()
        };
        let kinds = start.kinds.iter().map(|k| Kind {
            name: k.name.clone(),
            zones: names(&k.zones, &zones),
            machines: names(&k.machines, machines),
            own_zone: k.own_zone,
        });
        let kinds = kinds.collect();
        Self {
            zones,
            machines: machines.to_vec(),
            kinds,
        }
    }

    /// For an unknown deployment: accepts any zone and kind of machine that the list names.
    pub fn from_list(list: &Candidate) -> Self {
        let zones: BTreeSet<&String> = list.entries.iter().map(|e| &e.zone).collect();
        Self {
            zones: zones.into_iter().cloned().collect(),
            ..Self::default()
        }
    }
}

/// Why a list is rejected. Each message states the remedy.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Reason {
    #[error("it names no server; write one, or stop following this file")]
    EmptyList,
    #[error("generation {offered} is older than {held}, which is held; write generation({}) or more", held + 1)]
    OlderGeneration { offered: u64, held: u64 },
    #[error("generation {held} was taken with other lines; write generation({})", held + 1)]
    GenerationReused { held: u64 },
    #[error("{name:?} stands twice, first at line {first}; write it once")]
    DuplicateName { name: String, first: usize },
    #[error(
        "{name:?} has the address {address} of {other:?}; write one name for it, or its own address"
    )]
    DuplicateAddress {
        name: String,
        address: String,
        other: String,
    },
    #[error("{name:?} is no name; write 1 to 200 printable characters without spaces")]
    InvalidName { name: String },
    #[error("{name:?} has the address {address:?}; write one such as \"10.0.0.1:8000\"")]
    InvalidAddress { name: String, address: String },
    #[error("{name:?} is of zone {zone:?}; write one of {known}")]
    UnknownZone {
        name: String,
        zone: String,
        known: String,
    },
    #[error("{name:?} is of the machine kind {machine:?}; write one of {known}")]
    UnknownMachine {
        name: String,
        machine: String,
        known: String,
    },
    #[error("{name:?} has the weight {weight}; write a figure from 0 to {MAX_WEIGHT}")]
    InvalidWeight { name: String, weight: f64 },
    #[error("{name:?} starts at {started_ms:.0}, which is to come; write when it last started")]
    FutureStart { name: String, started_ms: f64 },
    #[error(
        "{name:?} was drained; write started = {least_ms:.0} or later once it has started anew"
    )]
    AlreadyDrained { name: String, least_ms: f64 },
    #[error("every weight is 0; write a weight above 0 for those that are to serve")]
    ZeroWeight,
    #[error("every weight of zone {0:?} is 0; write a weight above 0 there, or drains = True")]
    ZeroWeightZone(String),
    #[error("no server is left for {kind}{}; keep one that serves it", from.as_ref().map(|z| format!(" from zone {z:?}")).unwrap_or_default())]
    Unserved { kind: String, from: Option<String> },
    #[error(
        "it takes away {loss:.2} of the capacity at once, {max_loss:.2} are allowed; write loss({loss:.2}) if that is meant"
    )]
    CapacityLoss { loss: f64, max_loss: f64 },
    #[error("loss({0}) is no part of the whole; write a figure from 0 to 1")]
    InvalidLoss(f64),
}

/// All reasons for a rejection, each with its position in the file if known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rejection {
    pub reasons: Vec<(Option<Place>, Reason)>,
    /// The number of further reasons that are not listed.
    pub more: usize,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (place, reason)) in self.reasons.iter().enumerate() {
            let comma = if n == 0 { "" } else { "; " };
            match place {
                Some((line, column)) => write!(f, "{comma}{line}:{column}: {reason}")?,
                None => write!(f, "{comma}{reason}")?,
            }
        }
        if self.more > 0 {
            write!(f, "; and {} more", self.more)
        } else {
            Ok(())
        }
    }
}

impl Rejection {
    pub fn add(&mut self, place: Option<Place>, reason: Reason) {
        if self.reasons.len() < MAX_REASONS {
            self.reasons.push((place, reason))
        } else {
            self.more += 1
        }
    }

    pub fn is_empty(&self) -> bool {
        self.reasons.is_empty()
    }
}

impl Entry {
    pub fn serves(&self) -> bool {
        !self.drains && self.weight > 0.0
    }
}

impl Kind {
    /// Whether the server may receive this request kind.
    pub fn allows(&self, entry: &Entry) -> bool {
        let allowed = |of: &[String], one: &String| of.is_empty() || of.contains(one);
        allowed(&self.zones, &entry.zone) && allowed(&self.machines, &entry.machine)
    }
}

fn quoted_list(names: &[String]) -> String {
    names
        .iter()
        .map(|n| format!("{n:?}"))
        .collect::<Vec<_>>()
        .join(", ")
}

/// Validates a list on its own: names, addresses, zones, weights, starts and coverage.
pub fn validate_list(
    now: f64,
    offered: &Candidate,
    deployment: &Deployment,
    rejection: &mut Rejection,
) {
    if offered.entries.is_empty() {
        rejection.add(None, Reason::EmptyList);
    }
    if let Some(loss) = offered.loss.filter(|l| !(0.0..=1.0).contains(l)) {
        rejection.add(None, Reason::InvalidLoss(loss));
    }
    let mut names: BTreeMap<&str, &Entry> = BTreeMap::new();
    let mut addresses: BTreeMap<&str, &str> = BTreeMap::new();
    for entry in &offered.entries {
        let (name, place) = (entry.name.clone(), entry.place);
        if name.is_empty()
            || name.len() > 200
            || name.chars().any(|c| c.is_control() || c.is_whitespace())
        {
            rejection.add(place, Reason::InvalidName { name: name.clone() });
        }
        if let Some(first) = names.insert(&entry.name, entry) {
            let first = first.place.map_or(0, |(line, _)| line);
            rejection.add(
                place,
                Reason::DuplicateName {
                    name: name.clone(),
                    first,
                },
            );
            continue;
        }
        let address = entry.address.clone();
        if address
            .rsplit_once(':')
            .is_none_or(|(host, port)| host.is_empty() || port.parse::<u16>().is_err())
        {
            rejection.add(
                place,
                Reason::InvalidAddress {
                    name: name.clone(),
                    address: address.clone(),
                },
            );
        } else if let Some(other) = addresses.insert(&entry.address, &entry.name) {
            let other = other.to_string();
            rejection.add(
                place,
                Reason::DuplicateAddress {
                    name: name.clone(),
                    address,
                    other,
                },
            );
        }
        if !deployment.zones.contains(&entry.zone) {
            let known = quoted_list(&deployment.zones);
            rejection.add(
                place,
                Reason::UnknownZone {
                    name: name.clone(),
                    zone: entry.zone.clone(),
                    known,
                },
            );
        }
        if !deployment.machines.is_empty() && !deployment.machines.contains(&entry.machine) {
            let known = quoted_list(&deployment.machines);
            rejection.add(
                place,
                Reason::UnknownMachine {
                    name: name.clone(),
                    machine: entry.machine.clone(),
                    known,
                },
            );
        }
        if !(0.0..=MAX_WEIGHT).contains(&entry.weight) {
            rejection.add(
                place,
                Reason::InvalidWeight {
                    name: name.clone(),
                    weight: entry.weight,
                },
            );
        }
        if !(entry.started_ms >= 0.0 && entry.started_ms <= now + MAX_START_AHEAD_MS) {
            rejection.add(
                place,
                Reason::FutureStart {
                    name,
                    started_ms: entry.started_ms,
                },
            );
        }
    }
    validate_coverage(&offered.entries, deployment, rejection);
}

/// Checks that every request kind has a serving server, in every zone for kinds limited to their own zone.
fn validate_coverage(entries: &[Entry], deployment: &Deployment, rejection: &mut Rejection) {
    let serving: Vec<&Entry> = entries.iter().filter(|e| e.serves()).collect();
    if serving.is_empty() && !entries.is_empty() {
        return rejection.add(None, Reason::ZeroWeight);
    }
    let zones: BTreeSet<&String> = entries
        .iter()
        .filter(|e| !e.drains)
        .map(|e| &e.zone)
        .collect();
    for zone in zones {
        if !serving.iter().any(|e| e.zone == *zone) {
            rejection.add(None, Reason::ZeroWeightZone(zone.clone()));
        }
    }
    for kind in &deployment.kinds {
        let unserved = |from: Option<&String>| {
            !serving
                .iter()
                .any(|e| kind.allows(e) && from.is_none_or(|zone| e.zone == *zone))
        };
        if !kind.own_zone && unserved(None) {
            rejection.add(
                None,
                Reason::Unserved {
                    kind: kind.name.clone(),
                    from: None,
                },
            );
        }
        for zone in deployment
            .zones
            .iter()
            .filter(|zone| kind.own_zone && unserved(Some(*zone)))
        {
            rejection.add(
                None,
                Reason::Unserved {
                    kind: kind.name.clone(),
                    from: Some(zone.clone()),
                },
            );
        }
    }
}

/// The total weight of the serving entries.
pub fn capacity<'a>(entries: impl Iterator<Item = &'a Entry>) -> f64 {
    entries.filter(|e| e.serves()).map(|e| e.weight).sum()
}

/// Validates a list against the current one of the same source: generation and lost capacity.
pub fn validate_change(offered: &Candidate, held: &Candidate, rejection: &mut Rejection) {
    if offered.generation < held.generation {
        rejection.add(
            None,
            Reason::OlderGeneration {
                offered: offered.generation,
                held: held.generation,
            },
        );
    } else if offered.generation == held.generation && offered.entries != held.entries {
        rejection.add(
            None,
            Reason::GenerationReused {
                held: held.generation,
            },
        );
    }
    // Added capacity does not offset losses, because new servers start cold.
    let offered_by_name: BTreeMap<&str, &Entry> = offered
        .entries
        .iter()
        .map(|e| (e.name.as_str(), e))
        .collect();
    let remaining_weight = |e: &Entry| {
        offered_by_name
            .get(e.name.as_str())
            .filter(|n| n.serves())
            .map_or(0.0, |n| n.weight.min(e.weight))
    };
    let before = capacity(held.entries.iter());
    let kept: f64 = held
        .entries
        .iter()
        .filter(|e| e.serves())
        .map(remaining_weight)
        .sum();
    let (loss, max_loss) = (
        1.0 - kept / before.max(1e-9),
        offered.loss.unwrap_or(DEFAULT_MAX_LOSS),
    );
    if before > 0.0 && loss > max_loss + 1e-9 {
        rejection.add(
            None,
            Reason::CapacityLoss {
                loss: (loss * 100.0).ceil() / 100.0,
                max_loss,
            },
        );
    }
}
