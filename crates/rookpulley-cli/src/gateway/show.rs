//! What a controller shows, as tables or as it was said.

use super::Part;
use crate::call::{CannotAsk, Place};
use crate::show::table;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Map, Value, json};

const PATH: &str = "/rookpulley/show";

pub fn shown(json: bool, place: &Place, part: Part, service: &str) -> Result<String, CannotAsk> {
    let name = match part {
        Part::View => "view",
        Part::Tasks => "tasks",
        Part::Tables => "tables",
        Part::Proxies => "couriers",
        Part::State => "ledger",
        Part::Counters => "counters",
    };
    let of = match part {
        Part::Tasks | Part::Tables if !service.is_empty() => {
            format!("/{}", utf8_percent_encode(service, NON_ALPHANUMERIC))
        }
        _ => String::new(),
    };
    let bytes = place.controller(&format!("{PATH}/{name}{of}"))?;
    if part == Part::Counters {
        let counters = Counter::all(&String::from_utf8_lossy(&bytes));
        return Ok(if json {
            Counter::json(&counters)
        } else {
            Counter::table(&counters)
        });
    }
    let told: Value =
        serde_json::from_slice(&bytes).map_err(|why| place.unreadable(why.to_string()))?;
    if json {
        return Ok(told.to_string() + "\n");
    }
    Ok(match part {
        Part::View => view(&told),
        Part::Tasks => tasks(&told),
        Part::Tables => tables(&told),
        Part::Proxies => proxies(&told),
        _ => state(&told),
    })
}

/// A value as a table has it; one that isn't told is a dash.
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

fn more(told: &Value) -> String {
    match told["more"].as_u64() {
        Some(more) if more > 0 => format!("and {more} more; ask for one service by --service\n"),
        _ => String::new(),
    }
}

fn ago(ms: &Value) -> String {
    ms.as_f64()
        .map_or_else(|| "-".into(), |ms| format!("{:.1} s", ms / 1e3))
}

fn view(told: &Value) -> String {
    let either = |field: &str, yes, no| {
        if told[field].as_bool() == Some(true) {
            yes
        } else {
            no
        }
    };
    let work = match told["atWork"] == told["view"] {
        true => "at work".to_string(),
        false => format!("not at work (the last that was: {})", text(&told["atWork"])),
    };
    let members = told["members"].as_array().into_iter().flatten().map(|one| {
        let slow = one["diskSlow"]
            .as_bool()
            .map_or("-", |slow| if slow { "slow" } else { "quick" });
        let heard = if one["here"].as_bool() == Some(true) {
            "here".into()
        } else {
            ago(&one["heardMs"])
        };
        let [part, address, id, contact, applied] =
            ["part", "address", "id", "inContact", "applied"].map(|field| text(&one[field]));
        [part, address, id, contact, applied, slow.into(), heard]
    });
    let head = [
        "part",
        "address",
        "id",
        "in contact",
        "update",
        "disk",
        "heard before",
    ];
    let losses = told["lossesBorne"].as_u64().unwrap_or(0);
    let few = told["members"]
        .as_array()
        .is_none_or(|all| all.len() as u64 <= losses);
    let few = match told["spareNow"].as_u64() {
        _ if few => "; too few are left, nothing is acknowledged".to_string(),
        // An older controller doesn't tell.
        None => String::new(),
        Some(0) => {
            "; stop none of them now: with one less updates stand still until the chain is mended"
                .to_string()
        }
        Some(spare) => format!("; now {spare} of them may be stopped"),
    };
    format!(
        "{} of {}: view {}, {work}, {}, {}; update {} applied; the disk is {}\n{}losses borne: {losses}{few}\n",
        text(&told["office"]),
        text(&told["zone"]),
        text(&told["view"]),
        either("acting", "acting", "idle"),
        either("inTouch", "in touch", "out of touch"),
        text(&told["applied"]),
        either("diskSlow", "slow", "quick"),
        table(head, members),
    )
}

fn tasks(told: &Value) -> String {
    let fields = [
        "service", "life", "address", "zone", "slots", "standing", "ageMs",
    ];
    let mut rows: Vec<[String; 7]> = rows(&told["tasks"], fields).collect();
    for (row, task) in rows
        .iter_mut()
        .zip(told["tasks"].as_array().into_iter().flatten())
    {
        row[6] = ago(&task["ageMs"]);
    }
    rows.sort();
    let live = rows.iter().filter(|row| row[5] == "live").count();
    let settling = match told["settling"].as_bool() {
        Some(true) => "; this controller has just begun, others may be there",
        _ => "",
    };
    let head = [
        "service",
        "life",
        "address",
        "zone",
        "slots",
        "is",
        "heard before",
    ];
    let count = rows.len();
    format!(
        "{}{live} of {count} tasks live{settling}\n{}",
        table(head, rows.into_iter()),
        more(told)
    )
}

fn tables(told: &Value) -> String {
    let fields = [
        "service",
        "courier",
        "revision",
        "revisions",
        "lines",
        "mark",
    ];
    let shown = table(
        ["service", "courier", "revision", "kept", "lines", "mark"],
        rows(&told["tables"], fields),
    );
    shown + &more(told)
}

fn proxies(told: &Value) -> String {
    let all = told["couriers"].as_array().map_or(&[][..], Vec::as_slice);
    let rows = all.iter().map(|one| {
        let config = match one["config"].as_u64() {
            Some(0) | None => "-".into(),
            Some(version) => version.to_string(),
        };
        [
            text(&one["name"]),
            text(&one["zone"]),
            text(&one["home"]),
            config,
        ]
    });
    let home = all
        .iter()
        .filter(|one| one["home"].as_bool() == Some(true))
        .count();
    let shown = table(["courier", "zone", "home here", "said it holds"], rows);
    format!("{shown}{home} of {} at home\n{}", all.len(), more(told))
}

fn state(told: &Value) -> String {
    let names = [
        ("configuration version", "configVersion"),
        ("configuration bytes", "configurationBytes"),
        ("ledger time ms", "atMs"),
        ("locks", "locks"),
        ("numbers", "numbers"),
        ("cells", "cells"),
        ("groups", "groups"),
        ("events kept", "events"),
        ("standing bytes", "standingBytes"),
        ("history bytes", "historyBytes"),
    ];
    table(
        ["what", "is"],
        names
            .into_iter()
            .map(|(name, field)| [name.into(), text(&told[field])]),
    )
}

/// A line of the text form.
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
        let each = |one: &Self| {
            let labels: Map<String, Value> = one
                .labels
                .iter()
                .map(|(name, value)| (name.clone(), json!(value)))
                .collect();
            json!({"name": one.name, "labels": labels, "value": one.value})
        };
        json!({"counters": all.iter().map(each).collect::<Vec<_>>()}).to_string() + "\n"
    }

    /// Those that are 0 go without a line.
    fn table(all: &[Self]) -> String {
        let told = all.iter().filter(|one| one.value != 0.0);
        let rows = told.clone().map(|one| {
            let labels: Vec<&str> = one.labels.iter().map(|(_, value)| value.as_str()).collect();
            let name = one
                .name
                .strip_prefix("rookpulley_office_")
                .unwrap_or(&one.name);
            [name.to_string(), labels.join(" "), one.value.to_string()]
        });
        let zero = all.len() - told.clone().count();
        format!(
            "{}and {zero} that are 0\n",
            table(["counter", "of", "is"], rows)
        )
    }
}
