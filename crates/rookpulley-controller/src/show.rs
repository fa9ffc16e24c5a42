//! What operators may look at: how things look from this controller, and counters for collectors. Nothing here changes
//! anything, and no answer grows beyond bounds.

mod counts;

use crate::calls::{number, object};
use crate::hub::Hub;
pub use counts::Counts;
use rookpulley_api::Reply;
use rookpulley_control::Controller;
use rookpulley_registry::Standing;
use tinyjson::JsonValue;

/// One of the parts that can be shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    View,
    Tasks,
    Tables,
    Proxies,
    Ledger,
    Counters,
}

/// So many rows go into an answer; `more` says how many it lacks.
const ROWS: usize = 2_000;

/// The answer to a look. `service`: of this one alone.
pub fn answer(hub: &Hub, part: Part, service: &str) -> Reply {
    let now = hub.now_ms();
    let shown = |shown: JsonValue| Reply::json(200, &shown);
    hub.look(|controller| match part {
        Part::View => shown(view(hub, controller, now)),
        Part::Tasks => shown(tasks(controller, now, service)),
        Part::Tables => shown(tables(controller, service)),
        Part::Proxies => shown(proxies(controller)),
        Part::Ledger => shown(ledger(controller)),
        Part::Counters => Reply {
            status: 200,
            headers: vec![("content-type", "text/plain; version=0.0.4".into())],
            body: counts::page(hub, controller, now).into_bytes(),
        },
    })
}

fn text(text: impl ToString) -> JsonValue {
    JsonValue::String(text.to_string())
}

/// A number as JSON can't hold it.
fn hex(n: u64) -> JsonValue {
    text(format_args!("{n:016x}"))
}

fn whole_ms(ms: f64) -> JsonValue {
    JsonValue::Number(ms.max(0.0).round())
}

/// The first rows, and how many more there are.
fn bounded(rows: impl Iterator<Item = JsonValue>) -> (JsonValue, JsonValue) {
    let (mut kept, mut more) = (Vec::new(), 0);
    for row in rows {
        if kept.len() < ROWS {
            kept.push(row)
        } else {
            more += 1
        }
    }
    (JsonValue::Array(kept), number(more))
}

fn view(hub: &Hub, controller: &Controller, now: f64) -> JsonValue {
    let shown = controller.chain.status(now as u64);
    let last = shown.members.len().saturating_sub(1);
    let members = shown.members.iter().enumerate().map(|(at, one)| {
        let part = match at {
            _ if last == 0 => "alone",
            0 => "head",
            at if at == last => "tail",
            _ => "middle",
        };
        let heard = |of: fn(&rookpulley_chain::PeerReport) -> JsonValue| {
            one.heard.as_ref().map_or(JsonValue::Null, of)
        };
        object([
            ("part", text(part)),
            ("id", hex(one.member.id)),
            ("address", text(one.member.address)),
            ("here", (one.member.id == controller.chain.me().id).into()),
            ("inContact", one.in_contact.into()),
            ("applied", heard(|h| number(h.applied))),
            ("diskSlow", heard(|h| h.slow.into())),
            ("heardMs", heard(|h| number(h.ago_ms))),
        ])
    });
    object([
        ("office", text(&hub.node.name)),
        ("zone", text(&hub.node.zone)),
        ("view", number(shown.view)),
        ("installed", number(shown.installed)),
        ("atWork", number(shown.active)),
        ("acting", shown.acting.into()),
        ("inTouch", shown.in_touch.into()),
        ("held", number(shown.last)),
        ("applied", number(shown.applied)),
        ("diskSlow", controller.disk.is_slow().into()),
        ("lossesBorne", number(shown.tolerated_losses as u64)),
        ("spareNow", number(shown.spare as u64)),
        ("members", JsonValue::Array(members.collect())),
    ])
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Live => "live",
        Standing::Silent => "silent",
        Standing::Draining => "draining",
        Standing::Displaced => "displaced",
        Standing::Ended => "ended",
        Standing::Unknown => "unknown",
    }
}

fn tasks(controller: &Controller, now: f64, service: &str) -> JsonValue {
    let tasks = controller
        .registry
        .tasks()
        .filter(|t| service.is_empty() || t.heartbeat.service == service);
    let rows = tasks.map(|task| {
        object([
            ("life", text(&task.heartbeat.incarnation)),
            ("service", text(&task.heartbeat.service)),
            ("address", text(task.heartbeat.address)),
            ("zone", text(&task.heartbeat.zone)),
            ("slots", number(task.heartbeat.slots.into())),
            ("standing", text(standing_name(task.standing))),
            ("ageMs", whole_ms(now - task.heard_ms)),
        ])
    });
    let (rows, more) = bounded(rows);
    object([
        ("settling", controller.registry.settling(now).into()),
        ("tasks", rows),
        ("more", more),
    ])
}

fn tables(controller: &Controller, service: &str) -> JsonValue {
    let tables = controller
        .desk
        .shown()
        .into_iter()
        .filter(|t| service.is_empty() || t.service == service);
    let rows = tables.map(|table| {
        object([
            ("service", text(&table.service)),
            ("courier", text(&table.proxy)),
            ("revision", hex(table.name)),
            ("revisions", number(table.revisions as u64)),
            ("lines", number(table.lines as u64)),
            ("mark", number(table.mark)),
        ])
    });
    let (rows, more) = bounded(rows);
    object([("tables", rows), ("more", more)])
}

fn proxies(controller: &Controller) -> JsonValue {
    let rows = controller.proxies.iter().map(|(name, proxy)| {
        object([
            ("name", text(name)),
            ("zone", text(&proxy.zone)),
            ("home", proxy.home.into()),
            ("config", number(proxy.config)),
        ])
    });
    let (rows, more) = bounded(rows);
    object([("couriers", rows), ("more", more)])
}

fn ledger(controller: &Controller) -> JsonValue {
    let ledger = &controller.chain.state().ledger;
    let sizes = ledger.sizes();
    let size = |n: usize| number(n as u64);
    object([
        ("configVersion", number(ledger.version())),
        ("atMs", number(ledger.at_ms())),
        ("locks", size(sizes.locks)),
        ("numbers", size(sizes.numbers)),
        ("cells", size(sizes.cells)),
        ("groups", size(sizes.groups)),
        ("events", size(sizes.events)),
        ("standingBytes", size(sizes.standing_bytes)),
        ("historyBytes", size(sizes.history_bytes)),
        ("configurationBytes", size(sizes.configuration_bytes)),
    ])
}

#[cfg(test)]
pub mod tests;
