//! The offices that a courier knows, and which of them is its home.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

/// So long a home may be out of touch before another one is looked for.
const PATIENCE_MS: f64 = 600.0;
/// An office that nobody names for so long is no longer dialled.
const NAMED_MS: f64 = 60_000.0;
const MOST: usize = 64;
/// A configuration that was asked for is waited for this long.
const ASKED_MS: f64 = 300.0;

/// One office as this courier sees it.
struct Seen {
    connected: bool,
    in_touch: bool,
    /// When it was last in touch, or the line began.
    touched_ms: f64,
    /// When it was last named by a seed or an office.
    named_ms: f64,
    asked_ms: f64,
}

impl Seen {
    fn fit(&self) -> bool {
        self.connected && self.in_touch
    }

    /// Fit to remain the home.
    fn bearable(&self, now_ms: f64) -> bool {
        self.connected && (self.in_touch || now_ms - self.touched_ms < PATIENCE_MS)
    }
}

/// Another home than before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    pub from: Option<Ipv4Addr>,
    pub to: Ipv4Addr,
}

#[derive(Default)]
pub struct Offices {
    seen: BTreeMap<Ipv4Addr, Seen>,
    home: Option<Ipv4Addr>,
}

impl Offices {
    pub fn home(&self) -> Option<Ipv4Addr> {
        self.home
    }

    /// Somebody names an office; true where it wasn't known and is to be dialled.
    pub fn named(&mut self, now_ms: f64, office: Ipv4Addr) -> bool {
        if let Some(known) = self.seen.get_mut(&office) {
            known.named_ms = now_ms;
            return false;
        }
        if self.seen.len() >= MOST {
            return false;
        }
        let (connected, in_touch, touched_ms) = (false, false, 0.0);
        let seen = Seen { connected, in_touch, touched_ms, named_ms: now_ms, asked_ms: -ASKED_MS };
        self.seen.insert(office, seen);
        true
    }

    /// True where nobody has named it for long: it is forgotten.
    pub fn forgotten(&mut self, now_ms: f64, office: Ipv4Addr) -> bool {
        let old = self.seen.get(&office).is_none_or(|seen| now_ms - seen.named_ms > NAMED_MS);
        if old {
            self.seen.remove(&office);
        }
        old
    }

    pub fn connected(&mut self, now_ms: f64, office: Ipv4Addr) {
        if let Some(seen) = self.seen.get_mut(&office) {
            (seen.connected, seen.touched_ms) = (true, now_ms);
        }
    }

    pub fn lost(&mut self, office: Ipv4Addr) {
        if let Some(seen) = self.seen.get_mut(&office) {
            (seen.connected, seen.in_touch) = (false, false);
        }
    }

    /// An office says how it stands; true where its newer configuration is to be asked for.
    pub fn pulse(&mut self, now_ms: f64, office: Ipv4Addr, in_touch: bool, config: u64, held: u64) -> bool {
        let Some(seen) = self.seen.get_mut(&office) else { return false };
        seen.in_touch = in_touch;
        if in_touch {
            seen.touched_ms = now_ms;
        }
        let wants = config > held && now_ms - seen.asked_ms >= ASKED_MS;
        if wants {
            seen.asked_ms = now_ms;
        }
        wants
    }

    /// The home stays as long as it can be borne. All couriers choose by the same rank: the module that cuts their
    /// tables then knows the whole of the demand, and hears of each task from all.
    pub fn choose(&mut self, now_ms: f64) -> Option<Move> {
        let from = self.home;
        if from.and_then(|home| self.seen.get(&home)).is_some_and(|home| home.bearable(now_ms)) {
            return None;
        }
        let rank = |office: Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            office.hash(&mut hasher);
            hasher.finish()
        };
        let fit = self.seen.iter().filter(|(_, seen)| seen.fit()).map(|(&ip, _)| ip);
        let to = fit.max_by_key(|&ip| rank(ip)).filter(|to| from != Some(*to))?;
        self.home = Some(to);
        Some(Move { from, to })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn couriers_choose_alike_and_bear_a_home_that_is_out_of_touch_for_a_while() {
        let ips: Vec<Ipv4Addr> = (1..=3).map(|n| Ipv4Addr::new(10, n, 0, 1)).collect();
        let known = |order: &[Ipv4Addr]| {
            let mut offices = Offices::default();
            for ip in order {
                assert!(offices.named(0.0, *ip) && !offices.named(1.0, *ip));
                offices.connected(0.0, *ip);
                offices.pulse(0.0, *ip, true, 0, 0);
            }
            offices
        };
        let (mut one, mut other) = (known(&ips), known(&[ips[2], ips[0], ips[1]]));
        let home = one.choose(0.0).unwrap().to;
        assert_eq!(other.choose(0.0), Some(Move { from: None, to: home }));
        one.pulse(100.0, home, false, 0, 0);
        assert_eq!(one.choose(500.0), None);
        let moved = one.choose(601.0).unwrap();
        assert_eq!(moved.from, Some(home));
        other.lost(home);
        assert_eq!(other.choose(1.0), Some(moved));
    }

    #[test]
    fn a_newer_configuration_is_asked_for_once_in_a_while() {
        let (ip, mut offices) = (Ipv4Addr::LOCALHOST, Offices::default());
        offices.named(0.0, ip);
        let asked = [0.0, 100.0, 300.0].map(|now| offices.pulse(now, ip, true, 7, 6));
        assert_eq!(asked, [true, false, true]);
        assert!(!offices.pulse(900.0, ip, true, 7, 7));
    }
}
