//! Random scenarios drawn from a seed.

use super::{CALM_MS, Day, Shape};
use crate::event::{BadTask, Closing, Event};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Least time between a disk loss and another controller fault, so that the controller can catch up.
const CATCH_UP_MS: u64 = 9_000;
const LENGTH_MS: u64 = 30_000;
/// Time of the last scheduled fault, except for the closing event.
const LAST_MS: u64 = LENGTH_MS - CALM_MS;
const CLOSING_MS: u64 = LAST_MS + 1_000;

impl Day {
    /// Draws the scenario of a seed.
    pub fn draw(seed: u64) -> Day {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd417);
        let mut day = Day::draw_size(seed, &mut rng);
        let disk_lost_ms = day.draw_disk_loss(&mut rng);
        day.draw_faults(&mut rng, disk_lost_ms);
        day.draw_task_faults(&mut rng);
        day.draw_changes(&mut rng);
        day.draw_closing(&mut rng);
        day.events.sort_by_key(|(at, _)| *at);
        day
    }

    fn draw_size(seed: u64, rng: &mut ChaCha8Rng) -> Day {
        let controllers = rng.random_range(3..=5usize);
        let proxies = rng.random_range(6..=12usize).max(controllers);
        // A separate generator keeps all other draws of a seed unchanged.
        let mut apart = ChaCha8Rng::seed_from_u64(seed ^ 0xa446);
        let some = if apart.random_range(0..4u32) == 0 {
            apart.random_range(1..=3)
        } else {
            0
        };
        Day {
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
            length_ms: LENGTH_MS,
            events: Vec::new(),
        }
    }

    /// Draws a disk loss of a controller in some scenarios and returns its time.
    fn draw_disk_loss(&mut self, rng: &mut ChaCha8Rng) -> Option<u64> {
        if rng.random_range(0..3u32) != 0 {
            return None;
        }
        let at = rng.random_range(9_000..LAST_MS - 3_000);
        let machine = rng.random_range(0..self.controllers);
        let event = match rng.random_range(0..4u32) {
            0 => Event::Replace {
                machine,
                orderly: true,
            },
            1 => Event::Replace {
                machine,
                orderly: false,
            },
            _ => Event::Wipe {
                machine,
                down_ms: rng.random_range(200..2_000),
            },
        };
        // In some of these cases all machines lose power as well.
        if matches!(event, Event::Wipe { .. }) && rng.random_range(0..3u32) == 0 {
            let down_ms = rng.random_range(200..900);
            self.events.push((at, Event::Dark { down_ms }));
        }
        self.events.push((at, event));
        Some(at)
    }

    /// Draws machine and network faults. Some scenarios have many overlapping faults.
    fn draw_faults(&mut self, rng: &mut ChaCha8Rng, disk_lost_ms: Option<u64>) {
        let most = if rng.random_range(0..4u32) == 0 {
            16
        } else {
            5
        };
        for _ in 0..rng.random_range(1..=most) {
            let at = rng.random_range(4_000..LAST_MS - 2_000);
            let event = self.draw_fault(rng);
            let is_close = disk_lost_ms.is_some_and(|lost| at.abs_diff(lost) < CATCH_UP_MS);
            if !(is_close && event.touches_core(self.controllers)) {
                self.events.push((at, event));
            }
        }
    }

    fn draw_task_faults(&mut self, rng: &mut ChaCha8Rng) {
        for _ in 0..rng.random_range(0..=3u32) {
            let at = rng.random_range(3_500..LAST_MS);
            let event = self.draw_task_fault(rng);
            self.events.push((at, event));
        }
    }

    fn draw_changes(&mut self, rng: &mut ChaCha8Rng) {
        for _ in 0..rng.random_range(1..=5u32) {
            let at = rng.random_range(3_500..LAST_MS + 2_000);
            let event = match rng.random_range(0..9u32) {
                0 => Event::Race,
                1 => Event::Storm {
                    count: rng.random_range(2..=6),
                },
                2 => Event::Invalid,
                3 => Event::Again,
                _ => Event::Change,
            };
            self.events.push((at, event));
        }
    }

    /// Adds a fault right after an acknowledged change to some scenarios.
    fn draw_closing(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_range(0..3u32) != 0 {
            return;
        }
        let how = match rng.random_range(0..4u32) {
            0 => Closing::Dark,
            1 => Closing::Killed,
            _ => Closing::Disks {
                others: rng.random_range(0..2u32) == 0,
            },
        };
        if matches!(how, Closing::Disks { .. }) {
            let controllers = self.controllers;
            let is_close = |at: u64| at + CATCH_UP_MS > CLOSING_MS;
            self.events
                .retain(|(at, event)| !(is_close(*at) && event.touches_core(controllers)));
        }
        self.events.push((CLOSING_MS, Event::Closing { how }));
    }

    fn draw_fault(&self, rng: &mut ChaCha8Rng) -> Event {
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
            0 => Event::Kill {
                machine,
                power: false,
                down_ms,
            },
            1 => Event::Kill {
                machine,
                power: true,
                down_ms,
            },
            2 => Event::KillOne {
                machine: core,
                controller: rng.random_range(0..2u32) == 0,
                down_ms,
            },
            3 | 4 => Event::Freeze { machine, ms },
            5 | 6 => {
                let first = rng.random_range(0..self.proxies);
                let machines = match rng.random_range(0..3u32) {
                    0 => vec![core],
                    1 => vec![first],
                    _ => (0..self.proxies)
                        .filter(|m| m % self.zones == core % self.zones)
                        .collect(),
                };
                Event::Cut {
                    machines,
                    both: rng.random_range(0..3u32) != 0,
                    ms,
                }
            }
            7 => Event::Deaf {
                machines: vec![machine],
                ms,
            },
            8 => Event::CutTasks {
                machine,
                zone: rng.random_range(0..self.zones),
                ms,
            },
            9 => Event::Reset { machine },
            10 => Event::Lossy { machine, ms },
            11 => Event::Herd {
                power: rng.random_range(0..2u32) == 0,
                down_ms: down_ms.min(900),
            },
            12 => Event::Dark { down_ms },
            13 => Event::SlowDisk {
                machine: core,
                hangs: rng.random_range(0..2u32) == 0,
                ms,
            },
            14 => Event::ClockStep {
                machine,
                by_s: rng.random_range(-9..=9),
            },
            15 => Event::Term { machine },
            _ => Event::RollingRestart {
                pause_ms: rng.random_range(400..1_500),
            },
        }
    }

    fn draw_task_fault(&self, rng: &mut ChaCha8Rng) -> Event {
        let how = [
            BadTask::Mute,
            BadTask::Cuts,
            BadTask::Garbles,
            BadTask::Slow,
            BadTask::Sheds,
            BadTask::Fails,
        ][rng.random_range(0..6usize)];
        match rng.random_range(0..7u32) {
            0 => Event::CrashTasks {
                share: rng.random_range(1..=3),
                silent: rng.random_range(0..3u32) == 0,
            },
            1 | 2 => Event::DrainTasks {
                share: rng.random_range(1..=3),
            },
            3 => Event::Burst {
                times: rng.random_range(2..=4),
                ms: rng.random_range(500..3_000),
            },
            _ => Event::BadTasks {
                service: rng.random_range(0..self.services),
                how,
                ms: rng.random_range(500..5_000),
            },
        }
    }
}
