//! A day: how large the gateway is, what its users do, and what happens to it. All of it is drawn from a seed.

mod draw;

use crate::event::Event;
use std::fmt;

/// The first configuration and the tasks' first heartbeats are given so long before traffic; after the last fault the
/// day goes on calmly for so long.
pub const BEGINS_MS: u64 = 2_500;
pub const CALM_MS: u64 = 11_000;

/// What is unlike other days: drawn days have nothing of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// Clients that are refused come again at once, whatever they are told, and more often.
    pub impatient: bool,
    /// Clients never come a second time.
    pub once: bool,
    /// The first zone has a tenth of the tasks. It has as many clients as any other.
    pub lopsided: bool,
    /// What tasks take for a request; otherwise 4 to 30 ms, each its own.
    pub work_ms: Option<(u64, u64)>,
    /// What they do at once; otherwise two to six, each its own.
    pub slots: Option<usize>,
    /// Tasks are never cold.
    pub warm: bool,
    /// The tries that routes allow; otherwise one to three, each its own.
    pub attempts: Option<u32>,
}

/// A day of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub seed: u64,
    pub controllers: usize,
    /// Machines behind the controllers whose controller has no disk, and whether they come first among the seeds.
    pub stateless_controllers: usize,
    pub stateless_seeds: bool,
    pub proxies: usize,
    pub zones: usize,
    pub losses: u32,
    pub services: usize,
    pub tasks: usize,
    /// Clients' requests in a second.
    pub rate: u32,
    pub apps: usize,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    /// Processes stand still for a moment now and then, as on a shared core.
    pub held_up: bool,
    pub shape: Shape,
    pub length_ms: u64,
    /// By when they happen, in milliseconds.
    pub events: Vec<(u64, Event)>,
}

impl Day {
    /// A day of a middling gateway to which nothing happens yet.
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
