//! Counts of what has happened here, and the page that collectors read.

use crate::calls::Asked;
use crate::hub::Hub;
use rookpulley_control::{Controller, Path};
use rookpulley_registry::Standing;
use std::cell::Cell;
use std::fmt::Write;

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

fn place(asked: Asked) -> usize {
    let Asked::Call(path) = asked else {
        return NO_CALL - 1;
    };
    match path {
        Path::Heartbeat => 0,
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
}

fn add(to: &Cell<u64>, count: u64) {
    to.set(to.get().wrapping_add(count));
}

impl Counts {
    /// `asked`: none where there is no such call.
    pub fn call(&self, asked: Option<Asked>, status: u16) {
        let of = self.calls.get(asked.map_or(NO_CALL, place));
        // What isn't there, or not by this method, is the caller's mistake.
        let outcome = if asked.is_none() {
            outcome(400)
        } else {
            outcome(status)
        };
        of.and_then(|of| of.get(outcome))
            .into_iter()
            .for_each(|cell| add(cell, 1));
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
pub fn page(hub: &Hub, controller: &Controller, now: f64) -> String {
    let counts = &hub.counts;
    let mut page = Page(String::with_capacity(12 << 10));
    let calls = "rookpulley_office_calls_total";
    page.name(
        calls,
        "counter",
        "Calls by what they ask for and what became of them.",
    );
    for (call, of) in CALLS.iter().zip(&counts.calls) {
        for (outcome, count) in OUTCOMES.iter().zip(of) {
            _ = writeln!(
                page.0,
                "{calls}{{call=\"{call}\",outcome=\"{outcome}\"}} {}",
                count.get()
            );
        }
    }
    let heartbeats = "rookpulley_office_beats_total";
    page.name(
        heartbeats,
        "counter",
        "Beats that tasks sent to this office.",
    );
    for (state, count) in ["available", "draining"]
        .iter()
        .zip(&controller.tally.heartbeats)
    {
        _ = writeln!(page.0, "{heartbeats}{{state=\"{state}\"}} {count}");
    }
    let news = "rookpulley_office_news_total";
    page.name(
        news,
        "counter",
        "Words on tasks between offices: told to all, heard from one.",
    );
    _ = writeln!(
        page.0,
        "{news}{{way=\"told\"}} {}",
        controller.tally.news_told
    );
    _ = writeln!(
        page.0,
        "{news}{{way=\"heard\"}} {}",
        controller.tally.news_heard
    );
    let mut count = |name, help, count: u64| page.one(name, "counter", help, count);
    count(
        "rookpulley_office_drains_total",
        "Lives that couriers were told to spare.",
        controller.tally.drains,
    );
    count(
        "rookpulley_office_view_changes_total",
        "Decided views that became known here.",
        controller.tally.views,
    );
    count(
        "rookpulley_office_syncs_total",
        "Writes that reached the disk.",
        controller.tally.syncs,
    );
    let seconds = "rookpulley_office_sync_seconds_total";
    page.name(seconds, "counter", "Time that these writes took.");
    _ = writeln!(
        page.0,
        "{seconds} {}",
        controller.tally.sync_us as f64 / 1e6
    );

    let shown = controller.chain.status(now as u64);
    let [mut live, mut silent, mut draining, mut displaced] = [0; 4];
    for task in controller.registry.tasks() {
        match task.standing {
            Standing::Live => live += 1,
            Standing::Silent => silent += 1,
            Standing::Draining => draining += 1,
            _ => displaced += 1,
        }
    }
    let tasks = "rookpulley_office_tasks";
    page.name(tasks, "gauge", "Lives of tasks by their standing.");
    for (standing, count) in [
        ("live", live),
        ("silent", silent),
        ("draining", draining),
        ("displaced", displaced),
    ] {
        _ = writeln!(page.0, "{tasks}{{standing=\"{standing}\"}} {count}");
    }
    let mut gauge = |name, help, value: u64| page.one(name, "gauge", help, value);
    gauge(
        "rookpulley_office_couriers",
        "Couriers whose line is here.",
        controller.proxies.len() as u64,
    );
    let homes = controller.proxies.values().filter(|c| c.home).count();
    gauge(
        "rookpulley_office_couriers_at_home",
        "Couriers that call this office home.",
        homes as u64,
    );
    gauge(
        "rookpulley_office_view",
        "The newest view that is decided.",
        shown.view,
    );
    gauge(
        "rookpulley_office_view_at_work",
        "The newest view known to be at work.",
        shown.active,
    );
    gauge(
        "rookpulley_office_acting",
        "1: part of the chain.",
        shown.acting.into(),
    );
    gauge(
        "rookpulley_office_in_touch",
        "1: in touch with most of the view.",
        shown.in_touch.into(),
    );
    gauge(
        "rookpulley_office_disk_slow",
        "1: the disk is slow.",
        controller.disk.is_slow().into(),
    );
    gauge(
        "rookpulley_office_update_applied",
        "The last update applied.",
        shown.applied,
    );
    let version = controller.chain.state().ledger.version();
    gauge(
        "rookpulley_office_configuration_version",
        "Of the configuration held; 0: none.",
        version,
    );
    page.0
}
