//! The controllers that a proxy knows, and which of them is its home.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

/// So long a home may be out of touch before another one is looked for.
const PATIENCE_MS: f64 = 600.0;
/// A controller that nobody names for so long is no longer dialled.
const NAMED_MS: f64 = 60_000.0;
const MOST: usize = 64;
/// A newer configuration comes from the home unasked. Where it doesn't for so long, the home is asked for it, and after
/// the longer time whoever has it. Each copy fills a slow link: one is asked for at a time.
const HOME_LATE_MS: f64 = 400.0;
const LATE_MS: f64 = 700.0;
const ASKED_MS: f64 = 500.0;

/// One controller as this proxy sees it.
struct Seen {
    connected: bool,
    in_touch: bool,
    /// When it was last in touch, or the line began.
    touched_ms: f64,
    /// When it was last named by a seed or a controller.
    named_ms: f64,
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
pub struct ControllerSelection {
    seen: BTreeMap<Ipv4Addr, Seen>,
    home: Option<Ipv4Addr>,
    /// The configuration that is held, and since when a newer one is known.
    newer: Option<(u64, f64)>,
    asked_ms: Option<f64>,
}

impl ControllerSelection {
    pub fn home(&self) -> Option<Ipv4Addr> {
        self.home
    }

    /// Somebody names a controller; true where it wasn't known and is to be dialled.
    pub fn named(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        if let Some(known) = self.seen.get_mut(&controller) {
            known.named_ms = now_ms;
            return false;
        }
        if self.seen.len() >= MOST {
            return false;
        }
        let (connected, in_touch, touched_ms) = (false, false, 0.0);
        let seen = Seen {
            connected,
            in_touch,
            touched_ms,
            named_ms: now_ms,
        };
        self.seen.insert(controller, seen);
        true
    }

    /// True where nobody has named it for long: it is forgotten.
    pub fn forgotten(&mut self, now_ms: f64, controller: Ipv4Addr) -> bool {
        let old = self
            .seen
            .get(&controller)
            .is_none_or(|seen| now_ms - seen.named_ms > NAMED_MS);
        if old {
            self.seen.remove(&controller);
        }
        old
    }

    pub fn connected(&mut self, now_ms: f64, controller: Ipv4Addr) {
        if let Some(seen) = self.seen.get_mut(&controller) {
            (seen.connected, seen.touched_ms) = (true, now_ms);
        }
    }

    pub fn lost(&mut self, controller: Ipv4Addr) {
        if let Some(seen) = self.seen.get_mut(&controller) {
            (seen.connected, seen.in_touch) = (false, false);
        }
    }

    /// Those that said no longer than so ago that they are in touch.
    pub fn in_touch(&self, now_ms: f64, within_ms: f64) -> impl Iterator<Item = Ipv4Addr> {
        let fit = move |seen: &Seen| seen.fit() && now_ms - seen.touched_ms <= within_ms;
        self.seen
            .iter()
            .filter(move |(_, seen)| fit(seen))
            .map(|(&ip, _)| ip)
    }

    /// A controller says how it stands; true where its newer configuration is to be asked for.
    pub fn pulse(
        &mut self,
        now_ms: f64,
        controller: Ipv4Addr,
        in_touch: bool,
        config: u64,
        held: u64,
    ) -> bool {
        let Some(seen) = self.seen.get_mut(&controller) else {
            return false;
        };
        seen.in_touch = in_touch;
        if in_touch {
            seen.touched_ms = now_ms;
        }
        if config <= held {
            return false;
        }
        let (_, since_ms) = *self.newer.insert(
            self.newer
                .filter(|(at, _)| *at == held)
                .unwrap_or((held, now_ms)),
        );
        let late_ms = match self.home {
            Some(home) if !self.seen.get(&home).is_some_and(Seen::fit) => 0.0,
            Some(home) if home == controller => HOME_LATE_MS,
            Some(_) => LATE_MS,
            None => 0.0,
        };
        let wants =
            now_ms - since_ms >= late_ms && self.asked_ms.is_none_or(|at| now_ms - at >= ASKED_MS);
        if wants {
            self.asked_ms = Some(now_ms);
        }
        wants
    }

    /// The home stays as long as it can be borne. All proxies choose by the same rank: the module that cuts their
    /// tables then knows the whole of the demand, and hears of each task from all.
    pub fn choose(&mut self, now_ms: f64) -> Option<Move> {
        let from = self.home;
        if from
            .and_then(|home| self.seen.get(&home))
            .is_some_and(|home| home.bearable(now_ms))
        {
            return None;
        }
        let rank = |controller: Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            controller.hash(&mut hasher);
            hasher.finish()
        };
        let fit = self
            .seen
            .iter()
            .filter(|(_, seen)| seen.fit())
            .map(|(&ip, _)| ip);
        let to = fit
            .max_by_key(|&ip| rank(ip))
            .filter(|to| from != Some(*to))?;
        self.home = Some(to);
        Some(Move { from, to })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn proxies_choose_alike_and_bear_a_home_that_is_out_of_touch_for_a_while() {
        let ips: Vec<Ipv4Addr> = (1..=3).map(|n| Ipv4Addr::new(10, n, 0, 1)).collect();
        let known = |order: &[Ipv4Addr]| {
            let mut controllers = ControllerSelection::default();
            for ip in order {
                assert!(controllers.named(0.0, *ip) && !controllers.named(1.0, *ip));
                controllers.connected(0.0, *ip);
                controllers.pulse(0.0, *ip, true, 0, 0);
            }
            controllers
        };
        let (mut one, mut other) = (known(&ips), known(&[ips[2], ips[0], ips[1]]));
        let home = one.choose(0.0).unwrap().to;
        assert_eq!(
            other.choose(0.0),
            Some(Move {
                from: None,
                to: home
            })
        );
        one.pulse(100.0, home, false, 0, 0);
        assert_eq!(one.choose(500.0), None);
        let moved = one.choose(601.0).unwrap();
        assert_eq!(moved.from, Some(home));
        other.lost(home);
        assert_eq!(other.choose(1.0), Some(moved));
    }

    #[test]
    fn a_newer_configuration_is_asked_for_once_at_a_time_and_not_while_the_home_may_be_sending_it()
    {
        let ips: Vec<Ipv4Addr> = (1..=3).map(|n| Ipv4Addr::new(10, n, 0, 1)).collect();
        let mut controllers = ControllerSelection::default();
        for ip in &ips {
            controllers.named(0.0, *ip);
            controllers.connected(0.0, *ip);
        }
        // Without a home whoever has it is asked.
        let asked = [0.0, 100.0, 500.0].map(|now| controllers.pulse(now, ips[0], true, 7, 6));
        assert_eq!(asked, [true, false, true]);
        ips.iter()
            .for_each(|ip| _ = controllers.pulse(600.0, *ip, true, 7, 7));
        let home = controllers.choose(600.0).unwrap().to;
        let other = *ips.iter().find(|ip| **ip != home).unwrap();
        // All say that there is a newer one; only one copy is asked for, of the home first.
        assert!(
            !controllers.pulse(2_000.0, other, true, 9, 7)
                && !controllers.pulse(2_100.0, home, true, 9, 7)
        );
        assert!(!controllers.pulse(2_300.0, other, true, 9, 7));
        assert!(controllers.pulse(2_400.0, home, true, 9, 7));
        assert!(!controllers.pulse(2_700.0, other, true, 9, 7));
        assert!(controllers.pulse(2_900.0, other, true, 9, 7));
        // Another version came meanwhile: the wait begins anew.
        assert!(!controllers.pulse(3_500.0, other, true, 10, 9));
        controllers.lost(home);
        assert!(controllers.pulse(3_600.0, other, true, 10, 9));
    }
}
