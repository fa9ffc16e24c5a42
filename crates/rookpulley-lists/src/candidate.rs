//! What a source offers, and the checks that it must pass. A candidate that fails one changes nothing at all.

use rookpulley::interface::Start;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A weight beyond this is a slip of the hand.
pub const WEIGHT_MOST: f64 = 10_000.0;
/// A list may take away this part of the capacity at once unless it says more aloud.
pub const LOSS_MOST: f64 = 0.5;
/// A start so far in the future is a slip, too.
const AHEAD_MS: f64 = 60_000.0;
/// Reasons told of one candidate; the others are counted.
const REASONS_MOST: usize = 50;

/// Where something stands in a file: line and column, from 1.
pub type Place = (usize, usize);

/// One server as a source names it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub machine: String,
    pub bay: u16,
    pub weight: f64,
    /// It wants nothing new, and finishes what it has.
    pub drains: bool,
    /// When it last started, in Unix milliseconds; 0: long ago.
    pub started_ms: f64,
    pub place: Option<Place>,
}

/// A whole list as a source offers it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Rises with every list of its source.
    pub generation: u64,
    /// The part of the capacity that it may take away, where it says so aloud.
    pub loss: Option<f64>,
    pub entries: Vec<Entry>,
}

/// A request kind, as far as lists are concerned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kind {
    pub name: String,
    /// The only zones, or kinds of machine, that may be sent it; empty: any.
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    /// Only servers of the proxy's own zone may be sent it.
    pub own_zone: bool,
}

/// What the deployment is like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    pub zones: Vec<String>,
    pub machines: Vec<String>,
    pub kinds: Vec<Kind>,
}

impl Facts {
    /// As a start tells them; kinds of machine are named by the front.
    pub fn of(start: &Start, machines: &[String]) -> Self {
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

    /// Where nothing is known of the deployment: any zone and machine that a list names is believed.
    pub fn as_named(list: &Candidate) -> Self {
        let zones: BTreeSet<&String> = list.entries.iter().map(|e| &e.zone).collect();
        Self {
            zones: zones.into_iter().cloned().collect(),
            ..Self::default()
        }
    }
}

/// Why a list is refused; each says what to write instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Reason {
    #[error("it names no server; write one, or stop following this file")]
    Empty,
    #[error("generation {offered} is older than {held}, which is held; write generation({}) or more", held + 1)]
    Older { offered: u64, held: u64 },
    #[error("generation {held} was taken with other lines; write generation({})", held + 1)]
    SameAgain { held: u64 },
    #[error("{name:?} stands twice, first at line {first}; write it once")]
    Twice { name: String, first: usize },
    #[error(
        "{name:?} has the address {address} of {other:?}; write one name for it, or its own address"
    )]
    SharedAddress {
        name: String,
        address: String,
        other: String,
    },
    #[error("{name:?} is no name; write 1 to 200 printable characters without spaces")]
    Name { name: String },
    #[error("{name:?} has the address {address:?}; write one such as \"10.0.0.1:8000\"")]
    Address { name: String, address: String },
    #[error("{name:?} is of zone {zone:?}; write one of {known}")]
    Zone {
        name: String,
        zone: String,
        known: String,
    },
    #[error("{name:?} is of the machine kind {machine:?}; write one of {known}")]
    Machine {
        name: String,
        machine: String,
        known: String,
    },
    #[error("{name:?} has the weight {weight}; write a figure from 0 to {WEIGHT_MOST}")]
    Weight { name: String, weight: f64 },
    #[error("{name:?} starts at {started_ms:.0}, which is to come; write when it last started")]
    Start { name: String, started_ms: f64 },
    #[error(
        "{name:?} was drained; write started = {least_ms:.0} or later once it has started anew"
    )]
    Drained { name: String, least_ms: f64 },
    #[error("every weight is 0; write a weight above 0 for those that are to serve")]
    AllZero,
    #[error("every weight of zone {0:?} is 0; write a weight above 0 there, or drains = True")]
    ZoneZero(String),
    #[error("no server is left for {kind}{}; keep one that serves it", from.as_ref().map(|z| format!(" from zone {z:?}")).unwrap_or_default())]
    Bare { kind: String, from: Option<String> },
    #[error(
        "it takes away {part:.2} of the capacity at once, {most:.2} are allowed; write loss({part:.2}) if that is meant"
    )]
    Loss { part: f64, most: f64 },
    #[error("loss({0}) is no part of the whole; write a figure from 0 to 1")]
    LossFigure(f64),
}

/// All the reasons, each with its place where it has one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refused {
    pub reasons: Vec<(Option<Place>, Reason)>,
    /// Further ones that are not listed.
    pub more: usize,
}

impl fmt::Display for Refused {
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

impl Refused {
    pub fn add(&mut self, place: Option<Place>, reason: Reason) {
        if self.reasons.len() < REASONS_MOST {
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
    pub fn open(&self, entry: &Entry) -> bool {
        let among = |of: &[String], one: &String| of.is_empty() || of.contains(one);
        among(&self.zones, &entry.zone) && among(&self.machines, &entry.machine)
    }
}

fn list(names: &[String]) -> String {
    names
        .iter()
        .map(|n| format!("{n:?}"))
        .collect::<Vec<_>>()
        .join(", ")
}

/// Checks a list by itself: names, addresses, zones, weights.
pub fn check_alone(now: f64, offered: &Candidate, facts: &Facts, refused: &mut Refused) {
    if offered.entries.is_empty() {
        refused.add(None, Reason::Empty);
    }
    if let Some(loss) = offered.loss.filter(|l| !(0.0..=1.0).contains(l)) {
        refused.add(None, Reason::LossFigure(loss));
    }
    let mut names: BTreeMap<&str, &Entry> = BTreeMap::new();
    let mut addresses: BTreeMap<&str, &str> = BTreeMap::new();
    for entry in &offered.entries {
        let (name, place) = (entry.name.clone(), entry.place);
        if name.is_empty()
            || name.len() > 200
            || name.chars().any(|c| c.is_control() || c.is_whitespace())
        {
            refused.add(place, Reason::Name { name: name.clone() });
        }
        if let Some(first) = names.insert(&entry.name, entry) {
            let first = first.place.map_or(0, |(line, _)| line);
            refused.add(
                place,
                Reason::Twice {
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
            refused.add(
                place,
                Reason::Address {
                    name: name.clone(),
                    address: address.clone(),
                },
            );
        } else if let Some(other) = addresses.insert(&entry.address, &entry.name) {
            let other = other.to_string();
            refused.add(
                place,
                Reason::SharedAddress {
                    name: name.clone(),
                    address,
                    other,
                },
            );
        }
        if !facts.zones.contains(&entry.zone) {
            let known = list(&facts.zones);
            refused.add(
                place,
                Reason::Zone {
                    name: name.clone(),
                    zone: entry.zone.clone(),
                    known,
                },
            );
        }
        if !facts.machines.is_empty() && !facts.machines.contains(&entry.machine) {
            let known = list(&facts.machines);
            refused.add(
                place,
                Reason::Machine {
                    name: name.clone(),
                    machine: entry.machine.clone(),
                    known,
                },
            );
        }
        if !(0.0..=WEIGHT_MOST).contains(&entry.weight) {
            refused.add(
                place,
                Reason::Weight {
                    name: name.clone(),
                    weight: entry.weight,
                },
            );
        }
        if !(entry.started_ms >= 0.0 && entry.started_ms <= now + AHEAD_MS) {
            refused.add(
                place,
                Reason::Start {
                    name,
                    started_ms: entry.started_ms,
                },
            );
        }
    }
    check_serves(&offered.entries, facts, refused);
}

/// Checks that somebody serves every request kind, from every zone.
fn check_serves(entries: &[Entry], facts: &Facts, refused: &mut Refused) {
    let serving: Vec<&Entry> = entries.iter().filter(|e| e.serves()).collect();
    if serving.is_empty() && !entries.is_empty() {
        return refused.add(None, Reason::AllZero);
    }
    let zones: BTreeSet<&String> = entries
        .iter()
        .filter(|e| !e.drains)
        .map(|e| &e.zone)
        .collect();
    for zone in zones {
        if !serving.iter().any(|e| e.zone == *zone) {
            refused.add(None, Reason::ZoneZero(zone.clone()));
        }
    }
    for kind in &facts.kinds {
        let bare = |from: Option<&String>| {
            !serving
                .iter()
                .any(|e| kind.open(e) && from.is_none_or(|zone| e.zone == *zone))
        };
        if !kind.own_zone && bare(None) {
            refused.add(
                None,
                Reason::Bare {
                    kind: kind.name.clone(),
                    from: None,
                },
            );
        }
        for zone in facts
            .zones
            .iter()
            .filter(|zone| kind.own_zone && bare(Some(*zone)))
        {
            refused.add(
                None,
                Reason::Bare {
                    kind: kind.name.clone(),
                    from: Some(zone.clone()),
                },
            );
        }
    }
}

/// The weight that serves.
pub fn capacity<'a>(entries: impl Iterator<Item = &'a Entry>) -> f64 {
    entries.filter(|e| e.serves()).map(|e| e.weight).sum()
}

/// Checks a list against the one held of the same source.
pub fn check_against(offered: &Candidate, held: &Candidate, refused: &mut Refused) {
    if offered.generation < held.generation {
        refused.add(
            None,
            Reason::Older {
                offered: offered.generation,
                held: held.generation,
            },
        );
    } else if offered.generation == held.generation && offered.entries != held.entries {
        refused.add(
            None,
            Reason::SameAgain {
                held: held.generation,
            },
        );
    }
    // What each server loses; gains elsewhere make up for nothing, since they start cold.
    let stays: BTreeMap<&str, &Entry> = offered
        .entries
        .iter()
        .map(|e| (e.name.as_str(), e))
        .collect();
    let left = |e: &Entry| {
        stays
            .get(e.name.as_str())
            .filter(|n| n.serves())
            .map_or(0.0, |n| n.weight.min(e.weight))
    };
    let before = capacity(held.entries.iter());
    let kept: f64 = held.entries.iter().filter(|e| e.serves()).map(left).sum();
    let (part, most) = (
        1.0 - kept / before.max(1e-9),
        offered.loss.unwrap_or(LOSS_MOST),
    );
    if before > 0.0 && part > most + 1e-9 {
        refused.add(
            None,
            Reason::Loss {
                part: (part * 100.0).ceil() / 100.0,
                most,
            },
        );
    }
}
