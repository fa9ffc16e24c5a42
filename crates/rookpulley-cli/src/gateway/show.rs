//! Shows the status pages of a controller as tables or as received JSON.

use super::Topic;
use crate::call::{Client, CommandError};
use crate::show::table;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Map, Value, json};

const BASE_PATH: &str = "/rookpulley/show";

pub fn show(
    json: bool,
    client: &Client,
    topic: Topic,
    service: &str,
) -> Result<String, CommandError> {
    let name = match topic {
        Topic::View => "view",
        Topic::Tasks => "tasks",
        Topic::Tables => "tables",
        Topic::Proxies => "couriers",
        Topic::State => "ledger",
        Topic::Duties => "duties",
        Topic::Counters => "counters",
    };
    let suffix = match topic {
        Topic::Tasks | Topic::Tables if !service.is_empty() => {
            format!("/{}", utf8_percent_encode(service, NON_ALPHANUMERIC))
        }
        _ => String::new(),
    };
    let bytes = client.get_from_controller(&format!("{BASE_PATH}/{name}{suffix}"))?;
    if topic == Topic::Counters {
        let counters = Counter::all(&String::from_utf8_lossy(&bytes));
        return Ok(if json {
            Counter::json(&counters)
        } else {
            Counter::table(&counters)
        });
    }
    let response: Value = serde_json::from_slice(&bytes)
        .map_err(|error| client.invalid_response(error.to_string()))?;
    if json {
        return Ok(response.to_string() + "\n");
    }
    Ok(match topic {
        Topic::View => view(&response),
        Topic::Tasks => tasks(&response),
        Topic::Tables => tables(&response),
        Topic::Proxies => proxies(&response),
        Topic::Duties => duties(&response),
        _ => state(&response),
    })
}

/// Formats a value for a table cell; a missing value is a dash.
fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Bool(yes) => if *yes { "yes" } else { "no" }.into(),
        Value::Number(number) => number.to_string(),
        _ => "-".into(),
    }
}

fn rows<'a, const N: usize>(
    list: &'a Value,
    fields: [&'a str; N],
) -> impl Iterator<Item = [String; N]> + use<'a, N> {
    let items = list.as_array().into_iter().flatten();
    items.map(move |item| fields.map(|field| text(&item[field])))
}

fn more(response: &Value) -> String {
    match response["more"].as_u64() {
        Some(more) if more > 0 => format!("and {more} more; select one service with --service\n"),
        _ => String::new(),
    }
}

fn seconds(ms: &Value) -> String {
    ms.as_f64()
        .map_or_else(|| "-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

fn view(response: &Value) -> String {
    let either = |field: &str, yes, no| {
        if response[field].as_bool() == Some(true) {
            yes
        } else {
            no
        }
    };
    let activity = match response["atWork"] == response["view"] {
        true => "active".to_string(),
        false => format!(
            "not active (last active view: {})",
            text(&response["atWork"])
        ),
    };
    let members = response["members"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|item| {
            let slow = item["diskSlow"]
                .as_bool()
                .map_or("-", |slow| if slow { "slow" } else { "quick" });
            let last_heard = if item["here"].as_bool() == Some(true) {
                "here".into()
            } else {
                seconds(&item["heardMs"])
            };
            let [part, address, id, contact, applied] =
                ["part", "address", "id", "inContact", "applied"].map(|field| text(&item[field]));
            [part, address, id, contact, applied, slow.into(), last_heard]
        });
    let head = [
        "part",
        "address",
        "id",
        "in contact",
        "update",
        "disk",
        "last heard",
    ];
    let losses = response["lossesBorne"].as_u64().unwrap_or(0);
    let too_few = response["members"]
        .as_array()
        .is_none_or(|all| all.len() as u64 <= losses);
    let availability = match response["spareNow"].as_u64() {
        _ if too_few => "; too few are left, no update is acknowledged".to_string(),
        // Older controllers do not report this field.
        None => String::new(),
        Some(0) => {
            "; stop none of them now: with one fewer, updates stall until the chain is repaired"
                .to_string()
        }
        Some(spare) => format!("; {spare} of them may be stopped now"),
    };
    format!(
        "{} of {}: view {}, {activity}, {}, {}; update {} applied; the disk is {}\n{}losses tolerated: {losses}{availability}\n",
        text(&response["office"]),
        text(&response["zone"]),
        text(&response["view"]),
        either("acting", "acting", "idle"),
        either("inTouch", "in touch", "out of touch"),
        text(&response["applied"]),
        either("diskSlow", "slow", "quick"),
        table(head, members),
    )
}

fn tasks(response: &Value) -> String {
    let fields = [
        "service", "life", "address", "zone", "slots", "standing", "ageMs",
    ];
    let mut rows: Vec<[String; 7]> = rows(&response["tasks"], fields).collect();
    for (row, task) in rows
        .iter_mut()
        .zip(response["tasks"].as_array().into_iter().flatten())
    {
        row[6] = seconds(&task["ageMs"]);
    }
    rows.sort();
    let live = rows.iter().filter(|row| row[5] == "live").count();
    let settling = match response["settling"].as_bool() {
        Some(true) => "; this controller has just started and may not know all instances yet",
        _ => "",
    };
    let head = [
        "service",
        "instance",
        "address",
        "zone",
        "slots",
        "status",
        "last heard",
    ];
    let count = rows.len();
    format!(
        "{}{live} of {count} tasks live{settling}\n{}",
        table(head, rows.into_iter()),
        more(response)
    )
}

fn tables(response: &Value) -> String {
    let fields = [
        "service",
        "courier",
        "revision",
        "revisions",
        "lines",
        "mark",
    ];
    let output = table(
        ["service", "courier", "revision", "kept", "lines", "mark"],
        rows(&response["tables"], fields),
    );
    output + &more(response)
}

fn proxies(response: &Value) -> String {
    let all = response["couriers"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    let rows = all.iter().map(|item| {
        let config = match item["config"].as_u64() {
            Some(0) | None => "-".into(),
            Some(version) => version.to_string(),
        };
        [
            text(&item["name"]),
            text(&item["zone"]),
            text(&item["home"]),
            config,
        ]
    });
    let home = all
        .iter()
        .filter(|item| item["home"].as_bool() == Some(true))
        .count();
    let output = table(["courier", "zone", "home here", "reported config"], rows);
    format!(
        "{output}{home} of {} at home\n{}",
        all.len(),
        more(response)
    )
}

fn state(response: &Value) -> String {
    let names = [
        ("configuration version", "configVersion"),
        ("configuration bytes", "configurationBytes"),
        ("state time ms", "atMs"),
        ("locks", "locks"),
        ("numbers", "numbers"),
        ("cells", "cells"),
        ("groups", "groups"),
        ("events kept", "events"),
        ("standing bytes", "standingBytes"),
        ("history bytes", "historyBytes"),
    ];
    table(
        ["name", "value"],
        names
            .into_iter()
            .map(|(name, field)| [name.into(), text(&response[field])]),
    )
}

fn duties(response: &Value) -> String {
    let all = response["duties"].as_array().map_or(&[][..], Vec::as_slice);
    let rows = all.iter().map(|item| {
        let left = seconds(&item["leaseLeftMs"]);
        [
            text(&item["duty"]),
            text(&item["holder"]),
            text(&item["fence"]),
            left,
        ]
    });
    let output = table(["duty", "holder", "token", "lease left"], rows);
    let here = match response["ownFence"].as_u64() {
        Some(fence) => format!("this controller holds a duty with token {fence}"),
        None => "this controller holds no duty".into(),
    };
    let windows = |field: &str| {
        let windows = response[field].as_array().into_iter().flatten();
        let windows: Vec<String> = windows.map(text).collect();
        if windows.is_empty() {
            "none".into()
        } else {
            windows.join(" ")
        }
    };
    format!(
        "{output}{here}\nusage windows closed through {}, open: {}, not reported: {}\n",
        text(&response["closedThrough"]),
        windows("openWindows"),
        windows("unreportedWindows"),
    )
}

/// A sample in the Prometheus text format.
struct Counter {
    name: String,
    labels: Vec<(String, String)>,
    value: f64,
}

impl Counter {
    fn all(page: &str) -> Vec<Self> {
        page.lines()
            .filter(|line| !line.starts_with('#'))
            .filter_map(Self::read)
            .collect()
    }

    fn read(line: &str) -> Option<Self> {
        let (what, value) = line.rsplit_once(' ')?;
        let (name, labels) = what.split_once('{').unwrap_or((what, ""));
        let label = |label: &str| {
            let (name, value) = label.split_once('=')?;
            Some((name.to_string(), value.trim_matches('"').to_string()))
        };
        let labels = labels
            .trim_end_matches('}')
            .split(',')
            .filter_map(label)
            .collect();
        Some(Self {
            name: name.into(),
            labels,
            value: value.parse().ok()?,
        })
    }

    fn json(all: &[Self]) -> String {
        let each = |item: &Self| {
            let labels: Map<String, Value> = item
                .labels
                .iter()
                .map(|(name, value)| (name.clone(), json!(value)))
                .collect();
            json!({"name": item.name, "labels": labels, "value": item.value})
        };
        json!({"counters": all.iter().map(each).collect::<Vec<_>>()}).to_string() + "\n"
    }

    /// Omits counters that are zero.
    fn table(all: &[Self]) -> String {
        let nonzero = all.iter().filter(|item| item.value != 0.0);
        let rows = nonzero.clone().map(|item| {
            let labels: Vec<&str> = item
                .labels
                .iter()
                .map(|(_, value)| value.as_str())
                .collect();
            let name = item
                .name
                .strip_prefix("rookpulley_office_")
                .unwrap_or(&item.name);
            [name.to_string(), labels.join(" "), item.value.to_string()]
        });
        let zero = all.len() - nonzero.clone().count();
        format!(
            "{}and {zero} counters that are 0\n",
            table(["counter", "labels", "value"], rows)
        )
    }
}
