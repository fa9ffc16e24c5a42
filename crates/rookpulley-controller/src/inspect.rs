//! Read-only inspection of this controller for operators, with bounded replies.
//!
//! The field names are part of the documented API and must not change.

use crate::json::{number, object};
use crate::request::Section;
use crate::server::Server;
use rookpulley_api::Reply;
use rookpulley_chain::{MemberReport, PeerReport};
use rookpulley_control::{Controller, Window};
use rookpulley_registry::InstanceStatus;
use tinyjson::JsonValue;

/// Maximum number of rows in a reply; `more` is the number of omitted ones.
const MAX_ROWS: usize = 2_000;

/// Answers a request for one section. A non-empty `service` restricts the rows to that service.
pub fn answer(server: &Server, section: Section, service: &str) -> Reply {
    let now = server.now_ms();
    server.inspect(|controller| match section {
        Section::View => Reply::json(200, &view(server, controller, now)),
        Section::Instances => Reply::json(200, &instances(controller, now, service)),
        Section::Tables => Reply::json(200, &tables(controller, service)),
        Section::Proxies => Reply::json(200, &proxies(controller)),
        Section::State => Reply::json(200, &state(controller)),
        Section::Duties => Reply::json(200, &duties(controller, now)),
        Section::Metrics => Reply {
            status: 200,
            headers: vec![("content-type", "text/plain; version=0.0.4".into())],
            body: server.metrics.page(controller, now).into_bytes(),
        },
    })
}

fn text(text: impl ToString) -> JsonValue {
    JsonValue::String(text.to_string())
}

/// A 64-bit number in hexadecimal, as JSON numbers are exact only up to 2^53.
fn hex(n: u64) -> JsonValue {
    text(format_args!("{n:016x}"))
}

fn size(n: usize) -> JsonValue {
    number(n as u64)
}

fn whole_ms(ms: f64) -> JsonValue {
    JsonValue::Number(ms.max(0.0).round())
}

/// The first rows, and the number of omitted ones.
struct BoundedRows {
    rows: JsonValue,
    more: JsonValue,
}

fn bounded(rows: impl Iterator<Item = JsonValue>) -> BoundedRows {
    let mut first = Vec::new();
    let mut more = 0;
    for row in rows {
        if first.len() < MAX_ROWS {
            first.push(row);
        } else {
            more += 1;
        }
    }
    BoundedRows {
        rows: JsonValue::Array(first),
        more: size(more),
    }
}

fn view(server: &Server, controller: &Controller, now: f64) -> JsonValue {
    let status = controller.chain.status(now as u64);
    let here = controller.chain.me().id;
    let count = status.members.len();
    let members = status.members.iter().enumerate();
    let members = members.map(|(position, report)| {
        let part = chain_role(position, count);
        member(report, part, report.member.id == here)
    });
    let members = JsonValue::Array(members.collect());
    object([
        ("office", text(&server.node.name)),
        ("zone", text(&server.node.zone)),
        ("view", number(status.view)),
        ("installed", number(status.installed)),
        ("atWork", number(status.active)),
        ("acting", status.acting.into()),
        ("inTouch", status.in_touch.into()),
        ("held", number(status.last)),
        ("applied", number(status.applied)),
        ("diskSlow", controller.disk.is_slow().into()),
        ("lossesBorne", size(status.tolerated_losses)),
        ("spareNow", size(status.spare)),
        ("members", members),
    ])
}

fn chain_role(position: usize, count: usize) -> &'static str {
    if count <= 1 {
        "alone"
    } else if position == 0 {
        "head"
    } else if position == count - 1 {
        "tail"
    } else {
        "middle"
    }
}

fn member(report: &MemberReport, part: &str, is_here: bool) -> JsonValue {
    let heard = |field: fn(&PeerReport) -> JsonValue| {
        let heard = report.heard.as_ref();
        heard.map_or(JsonValue::Null, field)
    };
    object([
        ("part", text(part)),
        ("id", hex(report.member.id)),
        ("address", text(report.member.address)),
        ("here", is_here.into()),
        ("inContact", report.in_contact.into()),
        ("applied", heard(|h| number(h.applied))),
        ("diskSlow", heard(|h| h.slow.into())),
        ("heardMs", heard(|h| number(h.ago_ms))),
    ])
}

fn status_name(status: InstanceStatus) -> &'static str {
    match status {
        InstanceStatus::Live => "live",
        InstanceStatus::Silent => "silent",
        InstanceStatus::Draining => "draining",
        InstanceStatus::Displaced => "displaced",
        InstanceStatus::Ended => "ended",
        InstanceStatus::Unknown => "unknown",
    }
}

fn instances(controller: &Controller, now: f64, service: &str) -> JsonValue {
    let instances = controller.registry.instances();
    let instances = instances.filter(|i| service.is_empty() || i.heartbeat.service == service);
    let rows = instances.map(|instance| {
        let heartbeat = instance.heartbeat;
        object([
            ("life", text(&heartbeat.incarnation)),
            ("service", text(&heartbeat.service)),
            ("address", text(heartbeat.address)),
            ("zone", text(&heartbeat.zone)),
            ("slots", number(heartbeat.slots.into())),
            ("standing", text(status_name(instance.status))),
            ("ageMs", whole_ms(now - instance.heard_ms)),
        ])
    });
    let BoundedRows { rows, more } = bounded(rows);
    let is_settling = controller.registry.is_settling(now);
    object([
        ("settling", is_settling.into()),
        ("tasks", rows),
        ("more", more),
    ])
}

fn tables(controller: &Controller, service: &str) -> JsonValue {
    let tables = controller.tables.tables().into_iter();
    let tables = tables.filter(|t| service.is_empty() || t.service == service);
    let rows = tables.map(|table| {
        object([
            ("service", text(&table.service)),
            ("courier", text(&table.proxy)),
            ("revision", hex(table.revision)),
            ("revisions", size(table.revisions)),
            ("lines", size(table.entries)),
            ("mark", number(table.sequence)),
        ])
    });
    let BoundedRows { rows, more } = bounded(rows);
    object([("tables", rows), ("more", more)])
}

fn proxies(controller: &Controller) -> JsonValue {
    let rows = controller.proxies.iter().map(|(name, proxy)| {
        object([
            ("name", text(name)),
            ("zone", text(&proxy.zone)),
            ("home", proxy.is_primary.into()),
            ("config", number(proxy.configuration)),
        ])
    });
    let BoundedRows { rows, more } = bounded(rows);
    object([("couriers", rows), ("more", more)])
}

fn state(controller: &Controller) -> JsonValue {
    let state = &controller.chain.state().machine;
    let usage = state.usage();
    object([
        ("configVersion", number(state.version())),
        ("atMs", number(state.at_ms())),
        ("locks", size(usage.locks)),
        ("numbers", size(usage.counters)),
        ("cells", size(usage.keys)),
        ("groups", size(usage.groups)),
        ("events", size(usage.events)),
        ("standingBytes", size(usage.state_bytes)),
        ("historyBytes", size(usage.history_bytes)),
        ("configurationBytes", size(usage.configuration_bytes)),
    ])
}

/// The duties as this controller's replica has them. `ownFence` is the token with which it may call the platform itself.
fn duties(controller: &Controller, now: f64) -> JsonValue {
    let state = &controller.chain.state().machine;
    let ledger = state.usage_ledger();
    let rows = state.duties().map(|(duty, lease)| {
        let left_ms = lease.until_ms.saturating_sub(state.at_ms());
        object([
            ("duty", text(duty)),
            ("holder", text(lease.holder)),
            ("fence", number(lease.fence)),
            ("leaseLeftMs", number(left_ms)),
        ])
    });
    let reporter = controller.usage_reporter();
    let own_fence = reporter.and_then(|reporter| reporter.fence(now));
    let window = |window: Window| number(window.0);
    object([
        ("duties", JsonValue::Array(rows.collect())),
        ("ownFence", own_fence.map_or(JsonValue::Null, number)),
        (
            "closedThrough",
            ledger.closed_through().map_or(JsonValue::Null, window),
        ),
        (
            "openWindows",
            JsonValue::Array(ledger.open_windows().map(window).collect()),
        ),
        (
            "unreportedWindows",
            JsonValue::Array(ledger.reports().map(|(of, _)| window(of)).collect()),
        ),
    ])
}

#[cfg(test)]
pub mod tests;
