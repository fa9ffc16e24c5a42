//! A controller without a disk. It keeps nothing and decides nothing: it knows which controllers are in touch and passes each
//! call on to one of them; it tells proxies and controllers that have its address of the others.

use rookpulley_balancer::ControllerSelection;
use rookpulley_chain::Member;
use rookpulley_protocol::{Down, Up, frame};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A controller says every 400 ms that it is in touch. One that hasn't for so long may hang.
const FRESH_MS: f64 = 1_100.0;
/// Lines of proxies and of others without a disk.
const GUESTS_MOST: usize = 4_096;

/// What a process begins with.
pub struct StatelessStart {
    /// Where controllers reach each other, with this machine's own address.
    pub address: SocketAddrV4,
    pub zone: String,
    pub seeds: Vec<SocketAddrV4>,
    pub first_start: bool,
}

/// What is to be done.
#[derive(Debug)]
pub enum StatelessEffect {
    /// A line to where this controller hears proxies is to be kept until it is forgotten.
    Dial(Ipv4Addr),
    /// To a controller, on that line.
    Up {
        to: Ipv4Addr,
        up: Up,
    },
    /// To who came on this line.
    Down {
        line: u64,
        frame: Vec<u8>,
    },
    Log(String),
}

/// What a controller with a disk said of itself.
struct Place {
    zone: String,
    /// Its identity, where it may found the first view.
    founds: Option<u64>,
}

pub struct StatelessController {
    start: StatelessStart,
    controllers: ControllerSelection,
    /// Of those that a line is open to. Who hasn't said one has no disk.
    places: BTreeMap<Ipv4Addr, Place>,
    guests: BTreeSet<u64>,
    /// Seeds that have said that they have no disk.
    diskless: BTreeSet<Ipv4Addr>,
    /// A view was heard of: nobody is named any more.
    founded: bool,
    named: Option<(Ipv4Addr, u64)>,
    out: Vec<StatelessEffect>,
}

impl StatelessController {
    pub fn new(start: StatelessStart) -> Self {
        let mut stateless = Self {
            controllers: ControllerSelection::default(),
            places: BTreeMap::new(),
            guests: BTreeSet::new(),
            diskless: BTreeSet::from([*start.address.ip()]),
            founded: false,
            named: None,
            out: Vec::new(),
            start,
        };
        stateless.tick(0.0);
        stateless
    }

    /// What came of all inputs since the last time.
    pub fn effects(&mut self) -> Vec<StatelessEffect> {
        std::mem::take(&mut self.out)
    }

    pub fn set_seeds(&mut self, now: f64, seeds: &[SocketAddrV4]) {
        self.start.seeds = seeds.to_vec();
        self.meet_seeds(now);
    }

    fn meet_seeds(&mut self, now: f64) {
        let seeds: Vec<Ipv4Addr> = self.start.seeds.iter().map(|seed| *seed.ip()).collect();
        seeds.into_iter().for_each(|ip| self.meet(now, ip));
    }

    fn meet(&mut self, now: f64, ip: Ipv4Addr) {
        if ip != *self.start.address.ip() && self.controllers.named(now, ip) {
            self.out.push(StatelessEffect::Dial(ip));
        }
    }

    // ---- lines that were dialed -------------------------------------------------------------

    pub fn opened(&mut self, now: f64, to: Ipv4Addr) {
        self.controllers.connected(now, to);
        self.introduce(to);
    }

    fn introduce(&mut self, to: Ipv4Addr) {
        let up = Up::StatelessHello {
            address: self.start.address,
            controllers: self.known(),
        };
        self.out.push(StatelessEffect::Up { to, up });
    }

    /// All controllers with a disk that a line is open to.
    fn known(&self) -> Vec<SocketAddrV4> {
        self.places
            .keys()
            .map(|ip| SocketAddrV4::new(*ip, self.start.address.port()))
            .collect()
    }

    pub fn lost(&mut self, ip: Ipv4Addr) {
        self.controllers.lost(ip);
        self.places.remove(&ip);
    }

    /// True where nobody has named it for long: it need not be dialed again.
    pub fn forgotten(&mut self, now: f64, ip: Ipv4Addr) -> bool {
        self.controllers.forgotten(now, ip)
    }

    pub fn told(&mut self, now: f64, by: Ipv4Addr, down: Down) {
        match down {
            Down::Place { zone, founds, view } => {
                self.founded |= view;
                if let Some((named, id)) = self
                    .named
                    .filter(|(ip, id)| *ip == by && founds == Some(*id))
                {
                    self.out.push(StatelessEffect::Up {
                        to: named,
                        up: Up::Found { id },
                    });
                }
                if self.places.insert(by, Place { zone, founds }).is_none() {
                    // Where it is a seed, controllers may know of each other by nobody else.
                    let all: Vec<Ipv4Addr> = self.places.keys().copied().collect();
                    all.into_iter().for_each(|ip| self.introduce(ip));
                }
            }
            Down::Pulse {
                in_touch,
                controllers,
                ..
            } => {
                self.founded |= in_touch;
                self.controllers.pulse(now, by, in_touch, 0, 0);
                controllers
                    .iter()
                    .for_each(|other| self.meet(now, *other.ip()));
            }
            Down::Config { .. } | Down::Table { .. } | Down::Gone { .. } => {}
        }
    }

    // ---- who comes --------------------------------------------------------------------------

    /// A controller that has this address as a seed says who it is.
    pub fn hello(&mut self, now: f64, from: Member) {
        self.meet(now, *from.address.ip());
    }

    /// A proxy or another controller without a disk, on a line with this number.
    pub fn guest_in(&mut self, line: u64, up: &Up) {
        if self.guests.len() >= GUESTS_MOST {
            return;
        }
        if let Up::StatelessHello { address, .. } = up
            && self
                .start
                .seeds
                .iter()
                .any(|seed| seed.ip() == address.ip())
        {
            self.diskless.insert(*address.ip());
        }
        if self.guests.insert(line) {
            let frame = frame(&self.pulse());
            self.out.push(StatelessEffect::Down { line, frame });
        }
    }

    pub fn guest_out(&mut self, line: u64) {
        self.guests.remove(&line);
    }

    /// Not in touch: no proxy takes it for its home.
    fn pulse(&self) -> Down {
        Down::Pulse {
            in_touch: false,
            config: 0,
            proxies: 0,
            controllers: self.known(),
        }
    }

    // ---- calls ------------------------------------------------------------------------------

    /// The controller that a call goes on to: one of the own zone where there is one in touch. The same call goes the same
    /// way for as long as that is in touch, but from another stateless controller maybe another.
    pub fn pass_on(&self, now: f64, call: &str) -> Option<Ipv4Addr> {
        let fit: Vec<Ipv4Addr> = self.in_touch(now).collect();
        let near = |ip: &Ipv4Addr| {
            self.places
                .get(ip)
                .is_some_and(|place| place.zone == self.start.zone)
        };
        let any_near = fit.iter().any(near);
        let rank = |ip: &Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (ip, self.start.address.ip(), call).hash(&mut hasher);
            hasher.finish()
        };
        fit.into_iter()
            .filter(|ip| near(ip) || !any_near)
            .max_by_key(rank)
    }

    fn in_touch(&self, now: f64) -> impl Iterator<Item = Ipv4Addr> {
        self.controllers
            .in_touch(now, FRESH_MS)
            .filter(|ip| self.places.contains_key(ip))
    }

    // ---- time -------------------------------------------------------------------------------

    /// Every second.
    pub fn tick(&mut self, now: f64) {
        self.meet_seeds(now);
        self.name_founder();
        if !self.guests.is_empty() {
            let frame = frame(&self.pulse());
            let tell = |line: &u64| StatelessEffect::Down {
                line: *line,
                frame: frame.clone(),
            };
            self.out.extend(self.guests.iter().map(tell));
        }
    }

    /// Where no seed has a disk, the first one says who makes the first view: once in its incarnation, and only in the incarnation
    /// that was the first start.
    fn name_founder(&mut self) {
        let mut seeds = self.start.seeds.iter().map(|seed| seed.ip());
        let first = self.start.first_start && seeds.clone().next() == Some(self.start.address.ip());
        if !first
            || self.founded
            || self.named.is_some()
            || !seeds.all(|ip| self.diskless.contains(ip))
        {
            return;
        }
        let named = self
            .places
            .iter()
            .find_map(|(ip, place)| Some((*ip, place.founds?)));
        if let Some((to, id)) = named {
            self.named = named;
            self.out.push(StatelessEffect::Up {
                to,
                up: Up::Found { id },
            });
            self.out.push(StatelessEffect::Log(format!(
                "founding: no seed has a disk; {to} is named"
            )));
        }
    }

    pub fn status(&self, now: f64) -> String {
        let names: Vec<String> = self.in_touch(now).map(|ip| ip.to_string()).collect();
        match names.is_empty() {
            true => format!(
                "no disk; nobody to pass calls on to; lines {}",
                self.guests.len()
            ),
            false => format!(
                "no disk; passes calls on to {}; lines {}",
                names.join(" "),
                self.guests.len()
            ),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONTROLLERS: [Ipv4Addr; 3] = [
        Ipv4Addr::new(10, 1, 0, 1),
        Ipv4Addr::new(10, 2, 0, 1),
        Ipv4Addr::new(10, 3, 0, 1),
    ];

    /// In touch with all three, none of which is in its zone.
    fn stateless(own: u8) -> StatelessController {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, own), 7_731);
        let seeds = CONTROLLERS.map(|ip| SocketAddrV4::new(ip, 8_166)).to_vec();
        let mut stateless = StatelessController::new(StatelessStart {
            address,
            zone: "quay".into(),
            seeds,
            first_start: false,
        });
        for ip in CONTROLLERS {
            stateless.opened(0.0, ip);
            stateless.told(
                0.0,
                ip,
                Down::Place {
                    zone: ip.to_string(),
                    founds: None,
                    view: true,
                },
            );
            pulse(&mut stateless, 0.0, ip, true);
        }
        stateless
    }

    fn pulse(stateless: &mut StatelessController, now: f64, ip: Ipv4Addr, in_touch: bool) {
        stateless.told(
            now,
            ip,
            Down::Pulse {
                in_touch,
                config: 0,
                proxies: 0,
                controllers: Vec::new(),
            },
        );
    }

    fn of_all(stateless: &StatelessController, now: f64) -> Vec<Option<Ipv4Addr>> {
        (0..300)
            .map(|n| stateless.pass_on(now, &format!("/rookpulley/locks/l{n}")))
            .collect()
    }

    #[test]
    fn calls_are_spread_over_those_in_touch_the_same_one_the_same_way_from_another_stateless_another()
     {
        let (one, other) = (stateless(1), stateless(2));
        let (calls, others) = (of_all(&one, 1.0), of_all(&other, 1.0));
        for ip in CONTROLLERS {
            assert!(
                calls.iter().filter(|to| **to == Some(ip)).count() >= 70,
                "{ip}"
            );
        }
        assert_eq!(calls, of_all(&one, 900.0));
        assert!(calls.iter().zip(&others).filter(|(a, b)| a != b).count() >= 100);
    }

    #[test]
    fn nothing_goes_to_a_controller_that_is_out_of_touch_silent_or_without_a_disk() {
        let mut stateless = stateless(1);
        pulse(&mut stateless, 500.0, CONTROLLERS[0], false);
        stateless.lost(CONTROLLERS[1]);
        // Its line is open again, and it says that it is in touch, but not that it has a disk.
        stateless.opened(500.0, CONTROLLERS[1]);
        pulse(&mut stateless, 500.0, CONTROLLERS[1], true);
        assert!(
            of_all(&stateless, 1_000.0)
                .iter()
                .all(|to| *to == Some(CONTROLLERS[2]))
        );
        assert!(of_all(&stateless, 1_101.0).iter().all(Option::is_none));
    }
}
