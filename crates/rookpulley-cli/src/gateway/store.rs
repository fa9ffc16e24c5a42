//! Shows the contents of a controller's store, which no process may be using.

pub mod check;
pub mod refound;

use crate::call::CommandError;
use crate::show::table;
use rookpulley_chain::{PersistedState, StoredSnapshot, View};
use rookpulley_diagnostics::pluralize;
use rookpulley_registry::InstanceUpdate;
use rookpulley_state::{StateMachine, Update};
use rookpulley_store::{Contents, inspect};
use serde_json::{Value, json};
use std::path::Path;

pub fn show(json: bool, folder: &Path) -> Result<String, CommandError> {
    let contents = inspect(folder).map_err(CommandError::Store)?;
    let value = to_json(folder, contents);
    Ok(if json {
        value.to_string() + "\n"
    } else {
        to_table(&value)
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

fn to_json(folder: &Path, contents: Contents) -> Value {
    let persisted = PersistedState::read(contents.chain_rows);
    let chain = persisted.status();
    let snapshot = chain.snapshot.map(|StoredSnapshot { seq: update, at_ms, bytes }| {
        let mut state_machine = StateMachine::default();
        match state_machine.restore(bytes) {
            Ok(()) => {
                let usage = state_machine.usage();
                json!({"update": update, "atMs": at_ms, "bytes": bytes.len(), "configVersion": state_machine.version(),
                    "locks": usage.locks, "numbers": usage.counters, "cells": usage.keys})
            }
            Err(error) => json!({"update": update, "atMs": at_ms, "bytes": bytes.len(), "why": error.to_string()}),
        }
    });
    let configurations: Vec<u64> = chain
        .log
        .iter()
        .filter_map(|update| configuration_version(update.body))
        .collect();
    let (mut recorded, mut gone, mut unreadable) = (0, 0, 0);
    for (_, value) in &contents.instance_rows {
        match postcard::from_bytes::<InstanceUpdate>(value) {
            Ok(InstanceUpdate::Gone { .. }) => gone += 1,
            Ok(_) => recorded += 1,
            Err(_) => unreadable += 1,
        }
    }
    json!({
        "folder": folder,
        "identity": contents.identity.map(hex),
        "bytesOnDisk": contents.bytes_on_disk,
        "sound": persisted.is_sound(),
        "view": chain.views.last().map(view),
        "viewsKept": chain.views.iter().map(|view| view.number).collect::<Vec<_>>(),
        "installed": chain.installed,
        "neverUpTo": chain.abandoned,
        "vote": {"view": chain.acceptor, "accepted": chain.accepted.map(view)},
        "snapshot": snapshot,
        "log": {"entries": chain.log.len(), "first": chain.log.first().map(|e| e.seq),
            "last": chain.log.last().map(|e| e.seq), "configVersions": configurations},
        "lives": {"noted": recorded, "gone": gone, "unreadable": unreadable},
    })
}

fn configuration_version(entry: &[u8]) -> Option<u64> {
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

fn to_table(store: &Value) -> String {
    let or_none = |value: &Value, text: String| if value.is_null() { "none".into() } else { text };
    let (view, vote, snapshot, log) = (
        &store["view"],
        &store["vote"],
        &store["snapshot"],
        &store["log"],
    );
    let vote_text = match &vote["accepted"] {
        _ if vote["view"] == 0 => "none".into(),
        Value::Null => format!("for view {}; accepted none", vote["view"]),
        accepted => format!("for view {}; accepted {}", vote["view"], members(accepted)),
    };
    let state = match &snapshot["why"] {
        Value::String(error) => format!("up to update {}: {error}", snapshot["update"]),
        _ => format!(
            "up to update {}, {} bytes",
            snapshot["update"], snapshot["bytes"]
        ),
    };
    let entries = log["entries"].as_u64().unwrap_or(0);
    let entries = match entries {
        0 => "0 entries".into(),
        n => {
            let noun = if n == 1 { "entry" } else { "entries" };
            format!("{n} {noun}, {} to {}", log["first"], log["last"])
        }
    };
    let log_versions: Vec<String> = log["configVersions"]
        .as_array()
        .into_iter()
        .flatten()
        .map(Value::to_string)
        .collect();
    let log_versions = match log_versions.len() {
        0 => String::new(),
        _ => format!("; in the log: {}", log_versions.join(" ")),
    };
    let snapshot_version = snapshot["configVersion"]
        .as_u64()
        .filter(|version| *version > 0);
    let snapshot_version =
        snapshot_version.map_or_else(|| "none".to_string(), |version| version.to_string());
    let count =
        |field: &str, what: &str| pluralize(snapshot[field].as_u64().unwrap_or(0) as usize, what);
    let contents = [
        count("locks", "lock"),
        count("numbers", "number"),
        count("cells", "cell"),
    ]
    .join(", ");
    let instances = &store["lives"];
    let unreadable = match instances["unreadable"].as_u64() {
        Some(0) | None => String::new(),
        Some(n) => format!(", {n} unreadable"),
    };
    let rows = [
        (
            "folder",
            store["folder"].as_str().unwrap_or_default().to_string(),
        ),
        (
            "identity",
            store["identity"].as_str().unwrap_or("none").to_string(),
        ),
        ("bytes on disk", store["bytesOnDisk"].to_string()),
        (
            "consistent",
            if store["sound"] == true {
                "yes"
            } else {
                "no: a controller treats it as an empty disk"
            }
            .into(),
        ),
        ("view", or_none(view, members(view))),
        ("installed view", store["installed"].to_string()),
        ("abandoned up to view", store["neverUpTo"].to_string()),
        ("vote", vote_text),
        ("snapshot", or_none(snapshot, state)),
        ("log", entries),
        ("configuration", snapshot_version + &log_versions),
        ("state", or_none(snapshot, contents)),
        (
            "instances recorded",
            format!(
                "{} and {} gone{unreadable}",
                instances["noted"], instances["gone"]
            ),
        ),
    ];
    table(
        ["name", "value"],
        rows.into_iter().map(|(name, is)| [name.to_string(), is]),
    )
}
