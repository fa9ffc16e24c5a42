//! A day: how large the gateway is, what its users do, and what happens to it. All of it is drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rookpulley_routes::RouteKind;
use std::fmt;

/// The first configuration and the tasks' first heartbeats are given so long before traffic; after the last trouble the
/// day goes on calmly for so long.
pub const BEGINS_MS: u64 = 2_500;
pub const CALM_MS: u64 = 11_000;
/// Between what loses a disk and any other loss in the core there is so much: the one that lost it has caught up.
const CATCHES_UP_MS: u64 = 9_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    /// A machine's processes end and are started again. `power`: what was not synced may be gone.
    Kill {
        machine: usize,
        power: bool,
        down_ms: u64,
    },
    /// Only its controller ends, or only its proxy.
    KillOne {
        machine: usize,
        controller: bool,
        down_ms: u64,
    },
    /// A machine of the core loses power and its disk.
    Wipe {
        machine: usize,
        down_ms: u64,
    },
    Freeze {
        machine: usize,
        ms: u64,
    },
    /// What these machines say to all others, to controllers and tasks, doesn't come; `both`: nor the other way.
    Cut {
        machines: Vec<usize>,
        both: bool,
        ms: u64,
    },
    /// What others say to these machines doesn't come.
    Deaf {
        machines: Vec<usize>,
        ms: u64,
    },
    /// One machine doesn't reach the tasks of a zone.
    CutTasks {
        machine: usize,
        zone: usize,
        ms: u64,
    },
    /// All connections of a machine are reset.
    Reset {
        machine: usize,
    },
    /// Packets of a machine are lost now and then.
    Lossy {
        machine: usize,
        ms: u64,
    },
    /// The whole core is killed at one moment.
    Herd {
        power: bool,
        down_ms: u64,
    },
    /// All machines lose power.
    Dark {
        down_ms: u64,
    },
    SlowDisk {
        machine: usize,
        hangs: bool,
        ms: u64,
    },
    /// The time of day jumps. Nothing that decides is told it.
    ClockStep {
        machine: usize,
        by_s: i64,
    },
    /// SIGTERM to a machine's processes, and a start.
    Term {
        machine: usize,
    },
    /// The same for one machine after the other.
    ProxyRoster {
        pause_ms: u64,
    },
    /// Another machine with the same roles comes, and this one goes for good.
    Replace {
        machine: usize,
        orderly: bool,
    },
    CrashTasks {
        share: u32,
        silent: bool,
    },
    DrainTasks {
        share: u32,
    },
    /// Tasks of a service answer badly for a while.
    BadTasks {
        service: usize,
        how: BadTask,
        ms: u64,
    },
    /// The same of these places alone.
    BadPlaces {
        places: Vec<usize>,
        how: BadTask,
        ms: u64,
    },
    /// So many tasks of a service are replaced, one after the other: another begins at a new address, and the oldest
    /// drains for good. `bad`: how the new ones answer.
    Release {
        service: usize,
        count: u32,
        pause_ms: u64,
        bad: Option<BadTask>,
    },
    /// Tasks of these places end, and their addresses go to another service's at once.
    PassOn {
        places: Vec<usize>,
    },
    /// These machines and all others don't hear each other; tasks and clients they reach.
    CutControllers {
        machines: Vec<usize>,
        ms: u64,
    },
    /// These machines of the core and its others don't hear each other; all other machines, tasks and clients they reach.
    CutCore {
        machines: Vec<usize>,
        ms: u64,
    },
    /// Most answers to operators are lost: the same order is sent again to another controller.
    LoseAnswers {
        ms: u64,
    },
    /// Clients come that much more often.
    Burst {
        times: u32,
        ms: u64,
    },
    /// The operator changes the configuration.
    Change,
    /// The routes of a kind get another service as their only target.
    Retarget {
        kind: RouteKind,
    },
    /// Two operators change it at the same moment at two controllers.
    Race,
    /// Several changes, one right after the other.
    Storm {
        count: u32,
    },
    Invalid,
    /// An earlier change arrives again.
    Again,
    /// A change, and what strikes at the moment that it is acknowledged.
    Closing {
        how: Closing,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Closing {
    /// All machines lose power.
    Dark,
    /// All processes are killed.
    Killed,
    /// As many machines of the core as may be lost lose their disks; at times all others lose power with them.
    Disks { others: bool },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BadTask {
    /// No answer comes.
    Mute,
    /// Answers break off.
    Cuts,
    /// Bytes that are no answer, or another request's answer in the place of the next.
    Garbles,
    /// Everything takes ten times as long.
    Slow,
    /// They turn most requests away.
    Sheds,
    Fails,
    /// Two requests of five fail.
    Errs,
    /// All fail, in no time.
    Quick,
}

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
    /// By when it happens.
    pub happens: Vec<(u64, Happens)>,
}

impl Day {
    pub fn draw(seed: u64) -> Day {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd417);
        let controllers = rng.random_range(3..=5usize);
        let proxies = rng.random_range(6..=12usize).max(controllers);
        let length_ms = 30_000;
        // Drawn apart: the days without them stay as they were.
        let mut apart = ChaCha8Rng::seed_from_u64(seed ^ 0xa446);
        let some = if apart.random_range(0..4u32) == 0 {
            apart.random_range(1..=3)
        } else {
            0
        };
        let mut day = Day {
            seed,
            controllers,
            stateless_controllers: some.min(proxies - controllers),
            stateless_seeds: apart.random_range(0..2u32) == 0,
            proxies,
            zones: rng.random_range(2..=3),
            losses: if controllers == 5 {
                rng.random_range(1..=2)
            } else {
                1
            },
            services: rng.random_range(2..=4),
            tasks: rng.random_range(6..=20),
            rate: rng.random_range(60..=160),
            apps: rng.random_range(3..=7),
            retry_ratio: if rng.random_range(0..2u32) == 0 {
                0.1
            } else {
                0.2
            },
            retry_slack: f64::from(rng.random_range(4..=64u32)),
            held_up: rng.random_range(0..3u32) == 0,
            shape: Shape::default(),
            length_ms,
            happens: Vec::new(),
        };
        let last = length_ms - CALM_MS;
        let mut disk_lost: Vec<u64> = Vec::new();
        if rng.random_range(0..3u32) == 0 {
            let at = rng.random_range(9_000..last - 3_000);
            let machine = rng.random_range(0..controllers);
            let happens = match rng.random_range(0..4u32) {
                0 => Happens::Replace {
                    machine,
                    orderly: true,
                },
                1 => Happens::Replace {
                    machine,
                    orderly: false,
                },
                _ => Happens::Wipe {
                    machine,
                    down_ms: rng.random_range(200..2_000),
                },
            };
            // At times all others lose power with it.
            if matches!(happens, Happens::Wipe { .. }) && rng.random_range(0..3u32) == 0 {
                day.happens.push((
                    at,
                    Happens::Dark {
                        down_ms: rng.random_range(200..900),
                    },
                ));
            }
            disk_lost.push(at);
            day.happens.push((at, happens));
        }
        // On some days all comes upon each other.
        let most = if rng.random_range(0..4u32) == 0 {
            16
        } else {
            5
        };
        for _ in 0..rng.random_range(1..=most) {
            let (at, happens) = (
                rng.random_range(4_000..last - 2_000),
                day.draw_trouble(&mut rng),
            );
            let close = disk_lost
                .iter()
                .any(|lost| at.abs_diff(*lost) < CATCHES_UP_MS);
            if !(close && happens.touches_core(controllers)) {
                day.happens.push((at, happens));
            }
        }
        for _ in 0..rng.random_range(0..=3u32) {
            let at = rng.random_range(3_500..last);
            let happens = day.draw_of_tasks(&mut rng);
            day.happens.push((at, happens));
        }
        for _ in 0..rng.random_range(1..=5u32) {
            let at = rng.random_range(3_500..last + 2_000);
            let happens = match rng.random_range(0..9u32) {
                0 => Happens::Race,
                1 => Happens::Storm {
                    count: rng.random_range(2..=6),
                },
                2 => Happens::Invalid,
                3 => Happens::Again,
                _ => Happens::Change,
            };
            day.happens.push((at, happens));
        }
        if rng.random_range(0..3u32) == 0 {
            let how = match rng.random_range(0..4u32) {
                0 => Closing::Dark,
                1 => Closing::Killed,
                _ => Closing::Disks {
                    others: rng.random_range(0..2u32) == 0,
                },
            };
            let at = last + 1_000;
            let close = |at: &u64| last + 1_000 - *at < CATCHES_UP_MS;
            if matches!(how, Closing::Disks { .. }) {
                day.happens
                    .retain(|(at, happens)| !(close(at) && happens.touches_core(controllers)));
            }
            day.happens.push((at, Happens::Closing { how }));
        }
        day.happens.sort_by_key(|(at, _)| *at);
        day
    }

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
            happens: Vec::new(),
        }
    }

    fn draw_trouble(&self, rng: &mut ChaCha8Rng) -> Happens {
        let any = rng.random_range(0..self.proxies);
        let core = rng.random_range(0..self.controllers);
        let machine = if rng.random_range(0..2u32) == 0 {
            core
        } else {
            any
        };
        let ms = rng.random_range(200..4_500);
        let down_ms = rng.random_range(150..2_500);
        match rng.random_range(0..17u32) {
            0 => Happens::Kill {
                machine,
                power: false,
                down_ms,
            },
            1 => Happens::Kill {
                machine,
                power: true,
                down_ms,
            },
            2 => Happens::KillOne {
                machine: core,
                controller: rng.random_range(0..2u32) == 0,
                down_ms,
            },
            3 | 4 => Happens::Freeze { machine, ms },
            5 | 6 => {
                let first = rng.random_range(0..self.proxies);
                let machines = match rng.random_range(0..3u32) {
                    0 => vec![core],
                    1 => vec![first],
                    _ => (0..self.proxies)
                        .filter(|m| m % self.zones == core % self.zones)
                        .collect(),
                };
                Happens::Cut {
                    machines,
                    both: rng.random_range(0..3u32) != 0,
                    ms,
                }
            }
            7 => Happens::Deaf {
                machines: vec![machine],
                ms,
            },
            8 => Happens::CutTasks {
                machine,
                zone: rng.random_range(0..self.zones),
                ms,
            },
            9 => Happens::Reset { machine },
            10 => Happens::Lossy { machine, ms },
            11 => Happens::Herd {
                power: rng.random_range(0..2u32) == 0,
                down_ms: down_ms.min(900),
            },
            12 => Happens::Dark { down_ms },
            13 => Happens::SlowDisk {
                machine: core,
                hangs: rng.random_range(0..2u32) == 0,
                ms,
            },
            14 => Happens::ClockStep {
                machine,
                by_s: rng.random_range(-9..=9),
            },
            15 => Happens::Term { machine },
            _ => Happens::ProxyRoster {
                pause_ms: rng.random_range(400..1_500),
            },
        }
    }

    fn draw_of_tasks(&self, rng: &mut ChaCha8Rng) -> Happens {
        let how = [
            BadTask::Mute,
            BadTask::Cuts,
            BadTask::Garbles,
            BadTask::Slow,
            BadTask::Sheds,
            BadTask::Fails,
        ][rng.random_range(0..6usize)];
        match rng.random_range(0..7u32) {
            0 => Happens::CrashTasks {
                share: rng.random_range(1..=3),
                silent: rng.random_range(0..3u32) == 0,
            },
            1 | 2 => Happens::DrainTasks {
                share: rng.random_range(1..=3),
            },
            3 => Happens::Burst {
                times: rng.random_range(2..=4),
                ms: rng.random_range(500..3_000),
            },
            _ => Happens::BadTasks {
                service: rng.random_range(0..self.services),
                how,
                ms: rng.random_range(500..5_000),
            },
        }
    }
}

impl Happens {
    fn touches_core(&self, controllers: usize) -> bool {
        match self {
            Happens::Kill { machine, .. }
            | Happens::KillOne { machine, .. }
            | Happens::Wipe { machine, .. }
            | Happens::Freeze { machine, .. }
            | Happens::Reset { machine }
            | Happens::Lossy { machine, .. }
            | Happens::SlowDisk { machine, .. }
            | Happens::Term { machine }
            | Happens::Replace { machine, .. } => *machine < controllers,
            Happens::Cut { machines, .. } | Happens::Deaf { machines, .. } => {
                machines.iter().any(|machine| *machine < controllers)
            }
            Happens::Herd { .. }
            | Happens::Dark { .. }
            | Happens::ProxyRoster { .. }
            | Happens::CutCore { .. } => true,
            _ => false,
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
        self.happens
            .iter()
            .try_for_each(|(at, happens)| writeln!(f, "{at:>7} ms  {happens:?}"))
    }
}
