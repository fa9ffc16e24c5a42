//! What a controller's disk holds, read in place while no process uses it.

pub mod check;
pub mod refound;

use crate::call::CannotAsk;
use crate::show::table;
use rookpulley_chain::{PersistedState, StoredSnapshot, View};
use rookpulley_diagnostics::pluralize;
use rookpulley_registry::InstanceUpdate;
use rookpulley_state::{StateMachine, Update};
use rookpulley_store::{Contents, inspect};
use serde_json::{Value, json};
use std::path::Path;

pub fn shown(json: bool, folder: &Path) -> Result<String, CannotAsk> {
    let contents = inspect(folder).map_err(CannotAsk::Store)?;
    let told = told(folder, contents);
    Ok(if json {
        told.to_string() + "\n"
    } else {
        as_table(&told)
    })
}

fn view(view: &View) -> Value {
    let members = view
        .members
        .iter()
        .map(|m| json!({"id": hex(m.id), "address": m.address.to_string()}));
    json!({"number": view.number, "members": members.collect::<Vec<_>>()})
}

fn hex(n: u64) -> String {
    format!("{n:016x}")
}

fn told(folder: &Path, contents: Contents) -> Value {
    let kept = PersistedState::read(contents.chain_rows);
    let chain = kept.status();
    let snapshot = chain.snapshot.map(|StoredSnapshot { seq: update, at_ms, bytes }| {
        let mut ledger = StateMachine::default();
        match ledger.restore(bytes) {
            Ok(()) => {
                let sizes = ledger.usage();
                json!({"update": update, "atMs": at_ms, "bytes": bytes.len(), "configVersion": ledger.version(),
                    "locks": sizes.locks, "numbers": sizes.counters, "cells": sizes.keys})
            }
            Err(why) => json!({"update": update, "atMs": at_ms, "bytes": bytes.len(), "why": why.to_string()}),
        }
    });
    let configurations: Vec<u64> = chain
        .log
        .iter()
        .filter_map(|update| configuration(update.body))
        .collect();
    let (mut noted, mut gone, mut unreadable) = (0, 0, 0);
    for (_, value) in &contents.instance_rows {
        match postcard::from_bytes::<InstanceUpdate>(value) {
            Ok(InstanceUpdate::Gone { .. }) => gone += 1,
            Ok(_) => noted += 1,
            Err(_) => unreadable += 1,
        }
    }
    json!({
        "folder": folder,
        "identity": contents.identity.map(hex),
        "bytesOnDisk": contents.bytes_on_disk,
        "sound": kept.is_sound(),
        "view": chain.views.last().map(view),
        "viewsKept": chain.views.iter().map(|view| view.number).collect::<Vec<_>>(),
        "installed": chain.installed,
        "neverUpTo": chain.abandoned,
        "vote": {"view": chain.acceptor, "accepted": chain.accepted.map(view)},
        "snapshot": snapshot,
        "log": {"entries": chain.log.len(), "first": chain.log.first().map(|e| e.seq),
            "last": chain.log.last().map(|e| e.seq), "configVersions": configurations},
        "lives": {"noted": noted, "gone": gone, "unreadable": unreadable},
    })
}

fn configuration(entry: &[u8]) -> Option<u64> {
    match Update::decode(entry) {
        Ok(Update::PutConfiguration { version, .. }) => Some(version),
        _ => None,
    }
}

fn members(view: &Value) -> String {
    let all = view["members"].as_array().into_iter().flatten();
    let all: Vec<&str> = all
        .filter_map(|member| member["address"].as_str())
        .collect();
    format!("{} of {}", view["number"], all.join(" "))
}

fn as_table(told: &Value) -> String {
    let or_none = |value: &Value, text: String| if value.is_null() { "none".into() } else { text };
    let (view, vote, snapshot, log) = (
        &told["view"],
        &told["vote"],
        &told["snapshot"],
        &told["log"],
    );
    let voted = match &vote["accepted"] {
        _ if vote["view"] == 0 => "none".into(),
        Value::Null => format!("for view {}; accepted none", vote["view"]),
        accepted => format!("for view {}; accepted {}", vote["view"], members(accepted)),
    };
    let state = match &snapshot["why"] {
        Value::String(why) => format!("up to update {}: {why}", snapshot["update"]),
        _ => format!(
            "up to update {}, {} bytes",
            snapshot["update"], snapshot["bytes"]
        ),
    };
    let entries = log["entries"].as_u64().unwrap_or(0);
    let entries = match entries {
        0 => "0 entries".into(),
        n => {
            let word = if n == 1 { "entry" } else { "entries" };
            format!("{n} {word}, {} to {}", log["first"], log["last"])
        }
    };
    let later: Vec<String> = log["configVersions"]
        .as_array()
        .into_iter()
        .flatten()
        .map(Value::to_string)
        .collect();
    let later = match later.len() {
        0 => String::new(),
        _ => format!("; in the log: {}", later.join(" ")),
    };
    let held = snapshot["configVersion"]
        .as_u64()
        .filter(|version| *version > 0);
    let held = held.map_or_else(|| "none".to_string(), |version| version.to_string());
    let count =
        |field: &str, what: &str| pluralize(snapshot[field].as_u64().unwrap_or(0) as usize, what);
    let kept = [
        count("locks", "lock"),
        count("numbers", "number"),
        count("cells", "cell"),
    ]
    .join(", ");
    let incarnations = &told["lives"];
    let unreadable = match incarnations["unreadable"].as_u64() {
        Some(0) | None => String::new(),
        Some(n) => format!(", {n} unreadable"),
    };
    let rows = [
        (
            "folder",
            told["folder"].as_str().unwrap_or_default().to_string(),
        ),
        (
            "identity",
            told["identity"].as_str().unwrap_or("none").to_string(),
        ),
        ("bytes on disk", told["bytesOnDisk"].to_string()),
        (
            "sound",
            if told["sound"] == true {
                "yes"
            } else {
                "no: a controller begins it anew"
            }
            .into(),
        ),
        ("view", or_none(view, members(view))),
        ("installed view", told["installed"].to_string()),
        ("never installs up to", told["neverUpTo"].to_string()),
        ("vote", voted),
        ("snapshot", or_none(snapshot, state)),
        ("log", entries),
        ("configuration", held + &later),
        ("keeps", or_none(snapshot, kept)),
        (
            "lives noted",
            format!(
                "{} and {} gone{unreadable}",
                incarnations["noted"], incarnations["gone"]
            ),
        ),
    ];
    table(
        ["what", "is"],
        rows.into_iter().map(|(name, is)| [name.to_string(), is]),
    )
}
