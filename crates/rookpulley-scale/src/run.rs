//! One run: start, wait until all is known, measure a rest, measure changes.

use crate::Sizes;
use crate::configuration;
use crate::hollow_proxy::{self, Counts};
use crate::hollow_tasks::{self, Heartbeats};
use crate::http::Connection;
use crate::processes::{Process, Processes, Role, Usage, ZONES, address, zone};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const READY_WITHIN: Duration = Duration::from_secs(180);
const EVERYWHERE_WITHIN: Duration = Duration::from_secs(15);
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Before the rest is measured what the start has left over settles.
const SETTLES: Duration = Duration::from_secs(6);

/// What a span of time cost.
#[derive(Clone, Debug, Default)]
pub struct Span {
    pub seconds: f64,
    /// Of each controller and of each real proxy: milliseconds of processor time a second.
    pub controllers_ms_per_s: Vec<f64>,
    pub proxies_ms_per_s: Vec<f64>,
    /// Bytes a second to and from one hollow proxy, and messages to it.
    pub proxy_in_per_s: f64,
    pub proxy_out_per_s: f64,
    pub proxy_messages_per_s: f64,
    pub tables_per_s: f64,
    pub heartbeats_per_s: f64,
    pub heartbeats_failed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub ready_s: f64,
    pub configuration_bytes: usize,
    pub rest: Span,
    pub changing: Span,
    pub acknowledged_ms: Vec<f64>,
    /// From the sending until every hollow proxy has it, and until half and 99 in 100 have.
    pub everywhere_ms: Vec<f64>,
    pub half_ms: Vec<f64>,
    pub most_ms: Vec<f64>,
    /// Changes that weren't everywhere in time.
    pub missed: usize,
    pub controllers: Vec<Usage>,
    pub proxies: Vec<Usage>,
}

struct Moment {
    at: Instant,
    controllers: Vec<Usage>,
    proxies: Vec<Usage>,
    counted: [u64; 6],
}

struct Scene<'a> {
    sizes: &'a Sizes,
    processes: Processes,
    counts: Rc<Counts>,
    heartbeats: Rc<Heartbeats>,
}

pub async fn run(sizes: &Sizes) -> miette::Result<Figures> {
    let begun = Instant::now();
    let processes = Processes::start(sizes)?;
    let scene = Scene {
        sizes,
        processes,
        counts: Rc::default(),
        heartbeats: Rc::default(),
    };
    let mut figures = Figures::default();
    let first = configuration::body(sizes, 1);
    figures.configuration_bytes = first.len();
    scene.order(&first).await?;
    scene.start_hollow();
    while scene.counts.ready.get() < sizes.hollow
        || scene.heartbeats.acknowledged.get() < sizes.tasks as u64
    {
        if begun.elapsed() > READY_WITHIN {
            let (ready, heartbeats) = (
                scene.counts.ready.get(),
                scene.heartbeats.acknowledged.get(),
            );
            return Err(miette::miette!(
                "{ready} hollow proxies hold tables, {heartbeats} heartbeats are acknowledged"
            ));
        }
        sleep(LOOK_EVERY).await;
    }
    figures.ready_s = begun.elapsed().as_secs_f64();
    eprintln!("all are known after {:.1} s", figures.ready_s);
    sleep(SETTLES).await;
    let before = scene.moment();
    sleep(Duration::from_secs(sizes.rest_s)).await;
    let after = scene.moment();
    figures.rest = span(sizes, &before, &after);
    eprintln!("the rest is measured");
    for change in 0..sizes.changes as u64 {
        scene.change(change + 2, &mut figures).await?;
    }
    figures.changing = span(sizes, &after, &scene.moment());
    figures.controllers = scene.usage(Role::Controller);
    figures.proxies = scene.usage(Role::Proxy);
    Ok(figures)
}

impl Scene<'_> {
    fn start_hollow(&self) {
        let controllers: Vec<_> = (0..self.sizes.controllers).map(address).collect();
        let controls: Vec<_> = (0..self.sizes.controllers)
            .map(|machine| self.processes.control(machine))
            .collect();
        for number in 0..self.sizes.hollow {
            hollow_proxy::start(
                number,
                zone(number),
                self.processes.first_port,
                &controllers,
                &self.counts,
            );
        }
        hollow_tasks::start(self.sizes, ZONES, &controls, &self.heartbeats);
    }

    /// Sends an order, again and again until it is acknowledged.
    async fn order(&self, body: &str) -> miette::Result<()> {
        let begun = Instant::now();
        for machine in (0..self.sizes.controllers).cycle() {
            if let Ok(mut connection) = Connection::open(self.processes.control(machine)).await {
                let answer = timeout(
                    ANSWERED_WITHIN,
                    connection.put("/rookpulley/configuration", body),
                )
                .await;
                if matches!(answer, Ok(Ok(200))) {
                    return Ok(());
                }
            }
            if begun.elapsed() > EVERYWHERE_WITHIN {
                break;
            }
            sleep(LOOK_EVERY).await;
        }
        Err(miette::miette!(
            "an order was not acknowledged within {} s",
            EVERYWHERE_WITHIN.as_secs()
        ))
    }

    async fn change(&self, version: u64, figures: &mut Figures) -> miette::Result<()> {
        let body = configuration::body(self.sizes, version);
        let begun = Instant::now();
        self.order(&body).await?;
        figures
            .acknowledged_ms
            .push(begun.elapsed().as_secs_f64() * 1e3);
        let came = || self.counts.came.borrow().get(&version).map_or(0, Vec::len);
        while came() < self.sizes.hollow && begun.elapsed() < EVERYWHERE_WITHIN {
            sleep(LOOK_EVERY).await;
        }
        if came() < self.sizes.hollow {
            figures.missed += 1;
        }
        if let Some(came) = self.counts.came.borrow().get(&version) {
            let mut ms: Vec<f64> = came
                .iter()
                .map(|at| at.saturating_duration_since(begun).as_secs_f64() * 1e3)
                .collect();
            ms.sort_by(f64::total_cmp);
            let at = |part: f64| {
                ms.get(((ms.len() - 1) as f64 * part) as usize)
                    .copied()
                    .unwrap_or(0.0)
            };
            figures.half_ms.push(at(0.5));
            figures.most_ms.push(at(0.99));
            figures.everywhere_ms.push(at(1.0));
        }
        let pause = Duration::from_millis(self.sizes.pause_ms);
        sleep(pause.saturating_sub(begun.elapsed())).await;
        Ok(())
    }

    fn usage(&self, role: Role) -> Vec<Usage> {
        self.processes
            .all
            .iter()
            .filter(|process| process.role == role)
            .map(Process::usage)
            .collect()
    }

    fn moment(&self) -> Moment {
        let counts = &self.counts;
        let counted = [
            counts.bytes_in.get(),
            counts.bytes_out.get(),
            counts.messages_in.get(),
            counts.tables.get(),
            self.heartbeats.acknowledged.get(),
            self.heartbeats.failed.get(),
        ];
        Moment {
            at: Instant::now(),
            controllers: self.usage(Role::Controller),
            proxies: self.usage(Role::Proxy),
            counted,
        }
    }
}

fn span(sizes: &Sizes, from: &Moment, to: &Moment) -> Span {
    let seconds = (to.at - from.at).as_secs_f64();
    let used = |from: &[Usage], to: &[Usage]| {
        from.iter()
            .zip(to)
            .map(|(from, to)| (to.processor_ms - from.processor_ms) / seconds)
            .collect()
    };
    let mut counted = from
        .counted
        .iter()
        .zip(to.counted)
        .map(|(from, to)| (to - from) as f64 / seconds);
    let mut next = || counted.next().unwrap_or(0.0);
    let hollow = sizes.hollow.max(1) as f64;
    Span {
        seconds,
        controllers_ms_per_s: used(&from.controllers, &to.controllers),
        proxies_ms_per_s: used(&from.proxies, &to.proxies),
        proxy_in_per_s: next() / hollow,
        proxy_out_per_s: next() / hollow,
        proxy_messages_per_s: next() / hollow,
        tables_per_s: next(),
        heartbeats_per_s: next(),
        heartbeats_failed: (next() * seconds).round() as u64,
    }
}
