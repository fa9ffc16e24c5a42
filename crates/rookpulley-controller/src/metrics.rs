//! Counters and gauges in the Prometheus text format. Names, labels and help texts are documented and must not change.

use crate::request::ApiRequest;
use rookpulley_chain::ChainStatus;
use rookpulley_control::{Controller, Endpoint};
use rookpulley_registry::InstanceStatus;
use std::cell::Cell;
use std::fmt::{Display, Write};

/// Values of the label `call`. The last two stand for inspections and for unknown calls.
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
const INSPECT_CALL: usize = CALLS.len() - 2;
const UNKNOWN_CALL: usize = CALLS.len() - 1;

fn call_index(request: Option<ApiRequest>) -> usize {
    match request {
        Some(ApiRequest::Call(endpoint)) => endpoint_index(endpoint),
        Some(ApiRequest::Inspect(_)) => INSPECT_CALL,
        None => UNKNOWN_CALL,
    }
}

fn endpoint_index(endpoint: Endpoint) -> usize {
    match endpoint {
        Endpoint::Heartbeat => 0,
        Endpoint::Leave => 1,
        Endpoint::PutConfiguration => 2,
        Endpoint::GetConfiguration => 3,
        Endpoint::AcquireLock => 4,
        Endpoint::RenewLock => 5,
        Endpoint::ReleaseLock => 6,
        Endpoint::NextNumber => 7,
        Endpoint::PutKey => 8,
        Endpoint::GetKey => 9,
        Endpoint::Watch => 10,
    }
}

/// Values of the label `outcome`: success, a negative result such as a held lock, an invalid request, a temporary
/// refusal, and an unknown outcome.
const OUTCOMES: [&str; 5] = ["done", "no", "wrong", "later", "unknown"];

fn outcome_index(status: u16) -> usize {
    match status {
        200..=299 => 0,
        404 | 409 | 410 | 412 => 1,
        429 | 503 => 3,
        500.. => 4,
        _ => 2,
    }
}

/// Counts of calls since the start of this incarnation.
#[derive(Default)]
pub struct Metrics {
    calls: [[Cell<u64>; OUTCOMES.len()]; CALLS.len()],
}

impl Metrics {
    /// Counts an answered call. An unknown call has no `request` and counts as invalid.
    pub fn count_call(&self, request: Option<ApiRequest>, status: u16) {
        let status = if request.is_none() { 400 } else { status };
        let outcomes = self.calls.get(call_index(request));
        if let Some(count) = outcomes.and_then(|counts| counts.get(outcome_index(status))) {
            count.set(count.get().wrapping_add(1));
        }
    }

    /// Renders all counters and gauges.
    pub fn page(&self, controller: &Controller, now: f64) -> String {
        let mut page = Page(String::with_capacity(12 << 10));
        self.add_calls(&mut page);
        add_counters(&mut page, controller);
        add_instances(&mut page, controller);
        add_proxies(&mut page, controller);
        add_chain(&mut page, controller, &controller.chain.status(now as u64));
        page.0
    }

    fn add_calls(&self, page: &mut Page) {
        let name = "rookpulley_office_calls_total";
        let help = "Calls by what they ask for and what became of them.";
        page.describe(name, "counter", help);
        for (call, outcomes) in CALLS.iter().zip(&self.calls) {
            for (outcome, count) in OUTCOMES.iter().zip(outcomes) {
                let labels = format!("{{call=\"{call}\",outcome=\"{outcome}\"}}");
                page.line(name, &labels, count.get());
            }
        }
    }
}

/// A page in the Prometheus text format.
struct Page(String);

impl Page {
    /// Writes the description of a metric, which must precede its lines.
    fn describe(&mut self, name: &str, kind: &str, help: &str) {
        // Writing into a string can't fail.
        _ = writeln!(self.0, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }

    fn line(&mut self, name: &str, labels: &str, value: impl Display) {
        _ = writeln!(self.0, "{name}{labels} {value}");
    }

    /// Writes a counter without labels.
    fn counter(&mut self, name: &str, help: &str, value: impl Display) {
        self.describe(name, "counter", help);
        self.line(name, "", value);
    }

    /// Writes a gauge without labels.
    fn gauge(&mut self, name: &str, help: &str, value: impl Into<u64>) {
        self.describe(name, "gauge", help);
        self.line(name, "", value.into());
    }
}

fn add_counters(page: &mut Page, controller: &Controller) {
    let counters = &controller.counters;
    let name = "rookpulley_office_beats_total";
    page.describe(name, "counter", "Beats that tasks sent to this office.");
    page.line(name, "{state=\"available\"}", counters.available_heartbeats);
    page.line(name, "{state=\"draining\"}", counters.draining_heartbeats);
    let name = "rookpulley_office_news_total";
    let help = "Words on tasks between offices: told to all, heard from one.";
    page.describe(name, "counter", help);
    page.line(name, "{way=\"told\"}", counters.updates_sent);
    page.line(name, "{way=\"heard\"}", counters.updates_received);
    page.counter(
        "rookpulley_office_drains_total",
        "Lives that couriers were told to spare.",
        counters.drains,
    );
    page.counter(
        "rookpulley_office_view_changes_total",
        "Decided views that became known here.",
        counters.views,
    );
    page.counter(
        "rookpulley_office_syncs_total",
        "Writes that reached the disk.",
        counters.syncs,
    );
    page.counter(
        "rookpulley_office_sync_seconds_total",
        "Time that these writes took.",
        counters.sync_us as f64 / 1e6,
    );
}

fn add_instances(page: &mut Page, controller: &Controller) {
    let [mut live, mut silent, mut draining, mut displaced] = [0u64; 4];
    for instance in controller.registry.instances() {
        match instance.status {
            InstanceStatus::Live => live += 1,
            InstanceStatus::Silent => silent += 1,
            InstanceStatus::Draining => draining += 1,
            _ => displaced += 1,
        }
    }
    let name = "rookpulley_office_tasks";
    page.describe(name, "gauge", "Lives of tasks by their standing.");
    page.line(name, "{standing=\"live\"}", live);
    page.line(name, "{standing=\"silent\"}", silent);
    page.line(name, "{standing=\"draining\"}", draining);
    page.line(name, "{standing=\"displaced\"}", displaced);
}

fn add_proxies(page: &mut Page, controller: &Controller) {
    let proxies = controller.proxies.values();
    let primary_of = proxies.filter(|proxy| proxy.is_primary).count();
    page.gauge(
        "rookpulley_office_couriers",
        "Couriers whose line is here.",
        controller.proxies.len() as u64,
    );
    page.gauge(
        "rookpulley_office_couriers_at_home",
        "Couriers that call this office home.",
        primary_of as u64,
    );
}

fn add_chain(page: &mut Page, controller: &Controller, status: &ChainStatus) {
    page.gauge(
        "rookpulley_office_view",
        "The newest view that is decided.",
        status.view,
    );
    page.gauge(
        "rookpulley_office_view_at_work",
        "The newest view known to be at work.",
        status.active,
    );
    page.gauge(
        "rookpulley_office_acting",
        "1: part of the chain.",
        status.acting,
    );
    page.gauge(
        "rookpulley_office_in_touch",
        "1: in touch with most of the view.",
        status.in_touch,
    );
    page.gauge(
        "rookpulley_office_disk_slow",
        "1: the disk is slow.",
        controller.disk.is_slow(),
    );
    page.gauge(
        "rookpulley_office_update_applied",
        "The last update applied.",
        status.applied,
    );
    page.gauge(
        "rookpulley_office_configuration_version",
        "Of the configuration held; 0: none.",
        controller.chain.state().machine.version(),
    );
}
