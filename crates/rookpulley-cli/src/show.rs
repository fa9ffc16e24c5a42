//! Formats API responses as text tables or JSON.

use comfy_table::{Table, presets};
use rookpulley_operators::OperatorSettings;
use rookpulley_operators::api::{DiffList, HolderList, RollbackList, VersionList};
use rookpulley_operators::file::LogFormat;
use serde::Serialize;
use serde_json::json;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn json_or_text<T: Serialize>(
    json: bool,
    response: &T,
    text: impl FnOnce() -> String,
) -> String {
    // Serializing plain strings and numbers to memory cannot fail.
    if json {
        serde_json::to_string(response).unwrap_or_default() + "\n"
    } else {
        text()
    }
}

pub fn table<const N: usize>(head: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head);
    rows.for_each(|row| _ = table.add_row(row));
    let lines = table.to_string();
    lines
        .lines()
        .map(|line| line.trim_end().to_string() + "\n")
        .collect()
}

fn yes_or_blank(value: bool) -> String {
    if value { "yes".into() } else { String::new() }
}

pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3
}

fn elapsed(at_ms: f64) -> String {
    let seconds = (unix_ms() - at_ms).max(0.0) / 1e3;
    match seconds {
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s => format!("{:.1} h", s / 3_600.0),
    }
}

pub fn versions(list: &VersionList) -> String {
    let rows = list.versions.iter().map(|v| {
        let number = v.table.to_string();
        [
            v.version.clone(),
            number,
            v.lines.to_string(),
            elapsed(v.issued_ms),
            yes_or_blank(v.newest),
            yes_or_blank(v.in_use),
            v.digest.clone(),
        ]
    });
    let head = [
        "version", "table", "lines", "age", "newest", "in use", "digest",
    ];
    format!(
        "{}, started as {}\n{}",
        list.assigner,
        list.start,
        table(head, rows)
    )
}

pub fn holders(list: &HolderList) -> String {
    let dash = || "-".to_string();
    let rows = list.holders.iter().map(|h| {
        [
            h.dispatcher.to_string(),
            if h.joined {
                h.judged.clone()
            } else {
                "left".into()
            },
            h.kinds.join(" "),
            h.table.to_string(),
            h.told.clone().unwrap_or_else(dash),
            h.confirmed.clone().unwrap_or_else(dash),
            if h.speaks {
                h.claimed.clone().unwrap_or_else(dash)
            } else {
                "acks only".into()
            },
            h.waits_ms.map_or_else(dash, |ms| format!("{ms:.0} ms")),
            yes_or_blank(h.back),
        ]
    });
    let head = [
        "dispatcher",
        "status",
        "kinds",
        "table",
        "last sent",
        "confirmed",
        "claimed",
        "waits",
        "rolled back",
    ];
    let joined: Vec<_> = list.holders.iter().filter(|h| h.joined).collect();
    let in_step = joined.iter().filter(|h| h.judged == "in step").count();
    format!(
        "{}{in_step} of {} tables in step at {}\n",
        table(head, rows),
        joined.len(),
        list.assigner
    )
}

pub fn diff(list: &DiffList) -> String {
    let weight = |w: Option<f64>| w.map_or("-".to_string(), |w| w.to_string());
    let rows = list
        .lines
        .iter()
        .map(|l| [l.server.clone(), weight(l.from), weight(l.to)]);
    let sizes = format!(
        "as a delta {} bytes, as a whole table {}",
        list.delta_bytes, list.whole_bytes
    );
    match list.lines.len() {
        0 => "the same lines\n".into(),
        count => format!(
            "{}{count} lines differ; {sizes}\n",
            table(["server", "from", "to"], rows)
        ),
    }
}

pub fn rollback(list: &RollbackList) -> String {
    let rows = list.tables.iter().map(|b| {
        let usable = b.usable.zip(b.of).map_or(String::new(), |(usable, of)| {
            format!("{usable} of {of} lines")
        });
        [
            b.table.to_string(),
            b.what.clone(),
            usable,
            b.why.clone().unwrap_or_default(),
        ]
    });
    table(["table", "status", "usable", "reason"], rows)
}

pub fn operators(json: bool, operators: &OperatorSettings) -> String {
    let log_format = if operators.log == LogFormat::Json {
        "json"
    } else {
        "text"
    };
    let address = operators.address.as_ref().map(|a| a.listen.to_string());
    let token = operators
        .address
        .as_ref()
        .and_then(|a| a.token_file.clone());
    let versions = operators.versions;
    if json {
        let keep = versions.map(|v| json!({"keep": v.per_table, "bytes": v.bytes}));
        return json!({"address": address, "token_file": token, "versions": keep, "servers": operators.servers,
            "log": log_format})
        .to_string() + "\n";
    }
    let off = || "off".to_string();
    let token = token.map_or(String::new(), |t| format!(", token in {}", t.display()));
    let versions =
        versions.map(|v| format!("{} of each table, {} MB in all", v.per_table, v.bytes >> 20));
    let rows = [
        [
            "address".to_string(),
            address.map_or_else(off, |a| a + &token),
        ],
        ["versions".to_string(), versions.unwrap_or_else(off)],
        [
            "servers".to_string(),
            operators
                .servers
                .as_ref()
                .map_or_else(off, |f| f.display().to_string()),
        ],
        ["log".to_string(), log_format.to_string()],
    ];
    table(["setting", "value"], rows.into_iter())
}
