//! What control costs by size, on one machine: real controllers and proxies as processes, and beside them hollow proxies
//! and hollow tasks that speak the real protocols over real connections and share this process.
//!
//! It bounds itself: in sizes, in time, and in memory, of which it uses less than half of the machine's.

mod configuration;
mod hollow_proxy;
mod hollow_tasks;
mod http;
mod processes;
mod report;
mod run;

use miette::IntoDiagnostic;
use std::path::PathBuf;

xflags::xflags! {
    /// Measures what controllers and proxies cost at a size, and how long a change takes until it is everywhere.
    cmd rookpulley-scale {
        /// Controllers with a disk. [5]
        optional --controllers controllers: usize
        /// Real proxies. [2]
        optional --proxies proxies: usize
        /// Hollow proxies. [100]
        optional --hollow hollow: usize
        /// Hollow tasks, with a heartbeat every 1.5 s. [1000]
        optional --tasks tasks: usize
        /// Services, among which tasks and routes are spread. [50]
        optional --services services: usize
        /// Routes of the configuration. [1000]
        optional --routes routes: usize
        /// Changes of the configuration, each of one route. [10]
        optional --changes changes: usize
        /// Milliseconds between changes. [1000]
        optional --pause-ms pause_ms: u64
        /// Seconds of rest that are measured before the changes. [10]
        optional --rest-s rest_s: u64
        /// Where the figures are written, too.
        optional --json json: PathBuf
    }
}

/// The sizes of one run.
#[derive(Clone, Debug)]
pub struct Sizes {
    pub controllers: usize,
    pub proxies: usize,
    pub hollow: usize,
    pub tasks: usize,
    pub services: usize,
    pub routes: usize,
    pub changes: usize,
    pub pause_ms: u64,
    pub rest_s: u64,
}

/// The target's sizes: nothing larger is asked for.
const HOLLOW_MOST: usize = 3_300;
const TASKS_MOST: usize = 32_000;
const ROUTES_MOST: usize = 35_000;
const CONTROLLERS_MOST: usize = 7;
const PROXIES_MOST: usize = 50;

impl Sizes {
    fn of(flags: &RookpulleyScale) -> miette::Result<Self> {
        let sizes = Self {
            controllers: flags.controllers.unwrap_or(5),
            proxies: flags.proxies.unwrap_or(2),
            hollow: flags.hollow.unwrap_or(100),
            tasks: flags.tasks.unwrap_or(1_000),
            services: flags.services.unwrap_or(50).max(1),
            routes: flags.routes.unwrap_or(1_000).max(1),
            changes: flags.changes.unwrap_or(10),
            pause_ms: flags.pause_ms.unwrap_or(1_000),
            rest_s: flags.rest_s.unwrap_or(10),
        };
        let bounds = [
            ("controllers", sizes.controllers, CONTROLLERS_MOST),
            ("proxies", sizes.proxies, PROXIES_MOST),
            ("hollow", sizes.hollow, HOLLOW_MOST),
            ("tasks", sizes.tasks, TASKS_MOST),
            ("routes", sizes.routes, ROUTES_MOST),
        ];
        for (name, asked, most) in bounds {
            if asked > most {
                return Err(miette::miette!("--{name} is {asked}; {most} is the most"));
            }
        }
        Ok(sizes)
    }
}

fn main() -> miette::Result<()> {
    let flags = RookpulleyScale::from_env_or_exit();
    let sizes = Sizes::of(&flags)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let figures = tokio::task::LocalSet::new().block_on(&runtime, run::run(&sizes))?;
    print!("{}", report::table(&sizes, &figures));
    if let Some(path) = flags.json {
        std::fs::write(path, report::json(&sizes, &figures)).into_diagnostic()?;
    }
    Ok(())
}
