//! A simulation scenario: the size of the gateway, its load and its scheduled events. Scenarios can be drawn from a seed.

mod draw;

use crate::event::Event;
use std::fmt;

/// Time before traffic starts, for the first configuration and heartbeats.
pub const WARM_UP_MS: u64 = 2_500;
/// Time without faults at the end of a drawn scenario.
pub const CALM_MS: u64 = 11_000;

/// Overrides for specific tests. Drawn scenarios use the defaults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// Rejected clients ignore the retry delay, retry at once and retry more often.
    pub impatient: bool,
    /// Clients never retry.
    pub once: bool,
    /// The first zone has a tenth of the tasks but an equal share of the clients.
    pub uneven_zones: bool,
    /// Range of the service time; by default each task draws one from 4 to 30 ms.
    pub work_ms: Option<(u64, u64)>,
    /// Concurrent requests per task; by default each task draws two to six.
    pub slots: Option<usize>,
    /// Tasks start warmed up.
    pub warm: bool,
    /// Attempts that each route allows; by default each route draws one to three.
    pub attempts: Option<u32>,
    /// Tenants in the configurations; without any, requests carry no key.
    pub tenants: u32,
    /// The first configuration has no tenants yet; clients send their keys already.
    pub tenants_come_later: bool,
    /// A key may be accepted for `revokeMs` after its revocation at most, at any machine (`revocationStrict`).
    pub revocation_strict: bool,
    /// Usage is counted and reported to a platform.
    pub usage: bool,
    /// Some applications crash while their release of a lock is on its way, start again under the same name and acquire
    /// the lock at once.
    pub holders_crash: bool,
}

/// A scenario for one simulated gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub seed: u64,
    pub controllers: usize,
    /// Machines after the controllers that run a stateless controller.
    pub stateless_controllers: usize,
    /// Whether the stateless controllers come first in the seed list.
    pub stateless_seeds: bool,
    pub proxies: usize,
    pub zones: usize,
    pub losses: u32,
    pub services: usize,
    pub tasks: usize,
    /// Client requests per second.
    pub rate: u32,
    pub apps: usize,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    /// Processes pause briefly at random, as on a shared CPU core.
    pub held_up: bool,
    pub shape: Shape,
    pub length_ms: u64,
    /// Scheduled events and their times in milliseconds.
    pub events: Vec<(u64, Event)>,
}

impl Day {
    /// A medium-sized gateway without events.
    pub fn calm(seed: u64) -> Day {
        Day {
            seed,
            controllers: 3,
            proxies: 8,
            stateless_controllers: 0,
            stateless_seeds: false,
            zones: 2,
            losses: 1,
            services: 1,
            tasks: 8,
            rate: 160,
            apps: 0,
            retry_ratio: 0.2,
            retry_slack: 20.0,
            held_up: false,
            shape: Shape::default(),
            length_ms: 16_000,
            events: Vec::new(),
        }
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "day {}: {} controllers, {} without a disk{}, {} proxies in {} zones, losses {}, {} services, {} tasks, {} requests/s, {} apps, \
             further tries {} + {}{}",
            self.seed,
            self.controllers,
            self.stateless_controllers,
            if self.stateless_controllers > 0 && self.stateless_seeds {
                " as first seeds"
            } else {
                ""
            },
            self.proxies,
            self.zones,
            self.losses,
            self.services,
            self.tasks,
            self.rate,
            self.apps,
            self.retry_ratio,
            self.retry_slack,
            if self.held_up { ", held up" } else { "" }
        )?;
        self.events
            .iter()
            .try_for_each(|(at, event)| writeln!(f, "{at:>7} ms  {event:?}"))
    }
}
