//! Counts of what has happened here, and the page that collectors read.

use crate::calls::Path;
use crate::hub::{Hub, Inner};
use rookpulley_sorting::Standing;
use std::cell::Cell;
use std::fmt::Write;
use std::time::Duration;

/// Calls by what they ask for. The last two: of this page, and none that there is.
const CALLS: [&str; 13] = [
    "beat",
    "leave",
    "put_configuration",
    "get_configuration",
    "take_lock",
    "renew_lock",
    "drop_lock",
    "number",
    "put_cell",
    "get_cell",
    "watch",
    "show",
    "none",
];
const NO_CALL: usize = CALLS.len() - 1;

fn place(path: Path) -> usize {
    match path {
        Path::Beat => 0,
        Path::Leave => 1,
        Path::PutConfiguration => 2,
        Path::GetConfiguration => 3,
        Path::TakeLock => 4,
        Path::RenewLock => 5,
        Path::DropLock => 6,
        Path::Number => 7,
        Path::PutCell => 8,
        Path::GetCell => 9,
        Path::Watch => 10,
        Path::Show(_) => 11,
    }
}

/// What became of a call: done; a no, as of a lock that another holds; wrong; not now; nobody knows.
const OUTCOMES: [&str; 5] = ["done", "no", "wrong", "later", "unknown"];

fn outcome(status: u16) -> usize {
    match status {
        200..=299 => 0,
        404 | 409 | 410 | 412 => 1,
        429 | 503 => 3,
        500.. => 4,
        _ => 2,
    }
}

/// What has happened here since this process began.
#[derive(Default)]
pub struct Counts {
    calls: [[Cell<u64>; OUTCOMES.len()]; CALLS.len()],
    /// Of tasks that are available, of those that drain.
    beats: [Cell<u64>; 2],
    drains: Cell<u64>,
    view: Cell<u64>,
    views: Cell<u64>,
    syncs: Cell<u64>,
    sync_us: Cell<u64>,
    news_told: Cell<u64>,
    news_heard: Cell<u64>,
}

fn add(to: &Cell<u64>, count: u64) {
    to.set(to.get().wrapping_add(count));
}

impl Counts {
    /// `path`: none where there is no such call.
    pub fn call(&self, path: Option<Path>, status: u16) {
        let of = self.calls.get(path.map_or(NO_CALL, place));
        // What isn't there, or not by this method, is the caller's mistake.
        let outcome = if path.is_none() { outcome(400) } else { outcome(status) };
        of.and_then(|of| of.get(outcome)).into_iter().for_each(|cell| add(cell, 1));
    }

    pub fn beat(&self, draining: bool) {
        let [available, drains] = &self.beats;
        add(if draining { drains } else { available }, 1);
    }

    /// Lives that were told to the couriers to get nothing more.
    pub fn drains(&self, lives: usize) {
        add(&self.drains, lives as u64);
    }

    /// The newest view that is known.
    pub fn view(&self, number: u64) {
        if self.view.replace(number) != number {
            add(&self.views, 1);
        }
    }

    pub fn sync(&self, took: Duration) {
        add(&self.syncs, 1);
        add(&self.sync_us, took.as_micros() as u64);
    }

    pub fn news_told(&self) {
        add(&self.news_told, 1);
    }

    pub fn news_heard(&self, count: usize) {
        add(&self.news_heard, count as u64);
    }
}

/// A page of counters and gauges in the text form that collectors read.
struct Page(String);

impl Page {
    /// Begins a name; its lines follow.
    fn name(&mut self, name: &str, kind: &str, help: &str) {
        _ = writeln!(self.0, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }

    /// One that has a single line.
    fn one(&mut self, name: &str, kind: &str, help: &str, value: u64) {
        self.name(name, kind, help);
        _ = writeln!(self.0, "{name} {value}");
    }
}

/// All of them, as a collector reads it.
pub fn page(hub: &Hub, inner: &Inner, now: f64) -> String {
    let counts = &hub.counts;
    let mut page = Page(String::with_capacity(12 << 10));
    let calls = "rookpulley_office_calls_total";
    page.name(calls, "counter", "Calls by what they ask for and what became of them.");
    for (call, of) in CALLS.iter().zip(&counts.calls) {
        for (outcome, count) in OUTCOMES.iter().zip(of) {
            _ = writeln!(page.0, "{calls}{{call=\"{call}\",outcome=\"{outcome}\"}} {}", count.get());
        }
    }
    let beats = "rookpulley_office_beats_total";
    page.name(beats, "counter", "Beats that tasks sent to this office.");
    for (state, count) in ["available", "draining"].iter().zip(&counts.beats) {
        _ = writeln!(page.0, "{beats}{{state=\"{state}\"}} {}", count.get());
    }
    let news = "rookpulley_office_news_total";
    page.name(news, "counter", "Words on tasks between offices: told to all, heard from one.");
    _ = writeln!(page.0, "{news}{{way=\"told\"}} {}", counts.news_told.get());
    _ = writeln!(page.0, "{news}{{way=\"heard\"}} {}", counts.news_heard.get());
    let mut count = |name, help, cell: &Cell<u64>| page.one(name, "counter", help, cell.get());
    count("rookpulley_office_drains_total", "Lives that couriers were told to spare.", &counts.drains);
    count("rookpulley_office_view_changes_total", "Decided views that became known here.", &counts.views);
    count("rookpulley_office_syncs_total", "Writes that reached the disk.", &counts.syncs);
    let seconds = "rookpulley_office_sync_seconds_total";
    page.name(seconds, "counter", "Time that these writes took.");
    _ = writeln!(page.0, "{seconds} {}", counts.sync_us.get() as f64 / 1e6);

    let shown = inner.chain.shown(now as u64);
    let [mut live, mut silent, mut draining, mut displaced] = [0; 4];
    for task in inner.registry.tasks() {
        match task.standing {
            Standing::Live => live += 1,
            Standing::Silent => silent += 1,
            Standing::Draining => draining += 1,
            _ => displaced += 1,
        }
    }
    let tasks = "rookpulley_office_tasks";
    page.name(tasks, "gauge", "Lives of tasks by their standing.");
    for (standing, count) in
        [("live", live), ("silent", silent), ("draining", draining), ("displaced", displaced)]
    {
        _ = writeln!(page.0, "{tasks}{{standing=\"{standing}\"}} {count}");
    }
    let mut gauge = |name, help, value: u64| page.one(name, "gauge", help, value);
    gauge("rookpulley_office_couriers", "Couriers whose line is here.", inner.couriers.len() as u64);
    let homes = inner.couriers.values().filter(|c| c.home).count();
    gauge("rookpulley_office_couriers_at_home", "Couriers that call this office home.", homes as u64);
    gauge("rookpulley_office_view", "The newest view that is decided.", shown.view);
    gauge("rookpulley_office_view_at_work", "The newest view known to be at work.", shown.at_work);
    gauge("rookpulley_office_acting", "1: part of the chain.", shown.acting.into());
    gauge("rookpulley_office_in_touch", "1: in touch with most of the view.", shown.in_touch.into());
    gauge("rookpulley_office_disk_slow", "1: the disk is slow.", inner.disk.slow().into());
    gauge("rookpulley_office_update_applied", "The last update applied.", shown.applied);
    let version = inner.chain.state().ledger.version();
    gauge("rookpulley_office_configuration_version", "Of the configuration held; 0: none.", version);
    page.0
}
