//! Server file commands: check, plan, seal, show and write.

use crate::call::{Client, CommandError};
use crate::show;
use clap::Subcommand;
use rookpulley_files::{read, read_bytes, render, with_seal};
use rookpulley_lists::candidate::{Rejection, capacity, validate_change, validate_list};
use rookpulley_lists::{Candidate, Change, Deployment, Entry, Planned, plan};
use rookpulley_operators::FileError;
use rookpulley_operators::api::{ApiError, ServerList};
use serde_json::{Value, json};
use std::io::Write;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Servers {
    /// Check whether a server file is valid and list all faults; exits with 1 if it is invalid
    ///
    /// Example: rookpulley servers check servers.star --config deploy/example.json
    Check {
        file: PathBuf,
        /// The assigner's configuration, which defines zones, machine types and request kinds
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The current file, to check that the change is allowed in one step
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
    /// Show what a server file would change, compared with a running assigner or another file
    ///
    /// Example: rookpulley servers plan servers.star --against servers.old.star
    Plan {
        file: PathBuf,
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
    /// Update the closing statement of an edited file atomically
    ///
    /// Example: rookpulley servers seal servers.star
    Seal { file: PathBuf },
    /// Show the list that a running assigner uses, its age, and why the file's latest content was not accepted;
    /// exits with 1 if it was not
    ///
    /// Example: rookpulley servers show
    Show,
    /// Print a complete file with the list that a running assigner uses
    ///
    /// Example: rookpulley servers write > servers.star
    Write,
}

fn load(file: &Path) -> Result<Candidate, String> {
    let bytes = read_bytes(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read(file, &bytes).map_err(|e| e.with_file_name(file))
}

/// Reads the deployment's zones and machine types from the assigner's configuration.
fn load_deployment(config: &Path) -> Result<Deployment, String> {
    let with_path = |what: String| format!("{}: {what}", config.display());
    let text = std::fs::read_to_string(config).map_err(|e| with_path(e.to_string()))?;
    let document: Value = serde_json::from_str(&text).map_err(|e| with_path(e.to_string()))?;
    let settings = &document["settings"];
    let start = rookpulley_start::read_value(0, settings).map_err(|e| with_path(e.to_string()))?;
    let front =
        rookpulley_start::read_front_settings(settings).map_err(|e| with_path(e.to_string()))?;
    Ok(Deployment::from_start(&start, &front.machines))
}

fn format_check(
    json: bool,
    file: &Path,
    list: Result<&Candidate, &String>,
    rejection: &Rejection,
) -> (String, bool) {
    let valid = list.is_ok() && rejection.is_empty();
    let reasons: Vec<Value> = match list {
        Err(why) => vec![json!({"what": why})],
        Ok(_) => rejection
            .reasons
            .iter()
            .map(|(at, why)| json!({"what": why.to_string(), "at": at}))
            .collect(),
    };
    if json {
        let (generation, servers) = (
            list.ok().map(|l| l.generation),
            list.ok().map(|l| l.entries.len()),
        );
        let output = json!({"file": file, "ok": valid, "generation": generation, "servers": servers,
            "reasons": reasons, "more": rejection.more});
        return (output.to_string() + "\n", valid);
    }
    let output = match list {
        Err(why) => why.clone() + "\n",
        Ok(list) if valid => {
            format!(
                "{}: generation {}, {} servers, can be used\n",
                file.display(),
                list.generation,
                list.entries.len()
            )
        }
        Ok(_) => {
            let line = |(at, why): &(_, rookpulley_lists::Reason)| {
                let error = FileError {
                    file: file.into(),
                    at: *at,
                    what: why.to_string(),
                };
                format!("{error}\n")
            };
            let more = if rejection.more > 0 {
                format!("and {} more\n", rejection.more)
            } else {
                String::new()
            };
            rejection.reasons.iter().map(line).collect::<String>() + &more
        }
    };
    (output, valid)
}

fn check(json: bool, file: &Path, config: Option<&Path>, against: Option<&Path>) -> (String, bool) {
    let mut rejection = Rejection::default();
    let checked = load(file).and_then(|list| {
        let deployment =
            config.map_or_else(|| Ok(Deployment::from_list(&list)), load_deployment)?;
        validate_list(show::unix_ms(), &list, &deployment, &mut rejection);
        if let Some(current) = against {
            validate_change(&list, &load(current)?, &mut rejection);
        }
        Ok(list)
    });
    format_check(json, file, checked.as_ref(), &rejection)
}

fn seal(file: &Path) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(with_path)?;
    let sealed = with_seal(file, &text).map_err(|e| e.to_string())?;
    if sealed == text {
        return Ok(format!("{}: already sealed\n", file.display()));
    }
    // Resolves symbolic links, then writes a temporary file and renames it over the target.
    let target = std::fs::canonicalize(file).map_err(with_path)?;
    let folder = target.parent().unwrap_or(Path::new("/"));
    let mut temporary = tempfile::NamedTempFile::new_in(folder).map_err(with_path)?;
    temporary
        .write_all(sealed.as_bytes())
        .and_then(|()| temporary.as_file().sync_all())
        .map_err(with_path)?;
    let permissions = std::fs::metadata(&target).map_err(with_path)?.permissions();
    temporary
        .as_file()
        .set_permissions(permissions)
        .map_err(with_path)?;
    temporary.persist(&target).map_err(|e| with_path(e.error))?;
    Ok(format!(
        "{}: {}",
        file.display(),
        sealed.lines().last().unwrap_or_default()
    ) + "\n")
}

/// Fetches the assigner's server list and converts it to the form of a file.
fn fetch_servers(client: &Client) -> Result<(ServerList, Candidate), CommandError> {
    let (_, list) = client.request::<ServerList>("GET", "/v1/servers", None)?;
    let entries = list.servers.iter().map(|s| Entry {
        name: s.server.clone(),
        address: s.address.clone(),
        zone: s.zone.clone(),
        machine: s.machine.clone(),
        bay: s.bay,
        weight: s.weight,
        drains: s.stage != "ready",
        started_ms: s.started_ms,
        place: None,
    });
    let candidate = Candidate {
        generation: list.generation.unwrap_or(0),
        loss: None,
        entries: entries.collect(),
    };
    Ok((list, candidate))
}

fn change_name(change: Change) -> &'static str {
    match change {
        Change::Added => "added",
        Change::DroppedServing => "dropped: drained first",
        Change::Dropped => "dropped",
        Change::Drained => "drained",
        Change::Restarted => "started anew",
        Change::Reweighted => "weighed anew",
        Change::Moved => "moved",
    }
}

fn format_plan(json: bool, file: &Path, list: &Candidate, before: &Candidate) -> String {
    let rows = plan(before, list);
    let (capacity_before, capacity_after) = (
        capacity(before.entries.iter()),
        capacity(list.entries.iter()),
    );
    if json {
        let row = |p: &Planned| {
            let ([from, to], [was, is]) = (p.weights, p.shares);
            json!({"server": p.name, "what": change_name(p.change), "from": from, "to": to,
                "share_from": was, "share_to": is})
        };
        let rows: Vec<Value> = rows.iter().map(row).collect();
        let output = json!({"file": file, "generation_from": before.generation, "generation_to": list.generation,
            "capacity_from": capacity_before, "capacity_to": capacity_after, "servers": rows});
        return output.to_string() + "\n";
    }
    let weight = |w: Option<f64>| w.map_or("-".to_string(), |w| w.to_string());
    let table_rows = rows.iter().map(|p| {
        let [from, to] = p.weights.map(weight);
        let [was, is] = p.shares.map(|s| format!("{:.1}%", 100.0 * s));
        [
            p.name.clone(),
            change_name(p.change).to_string(),
            from,
            to,
            was,
            is,
        ]
    });
    let head = [
        "server",
        "change",
        "weight",
        "new weight",
        "share",
        "new share",
    ];
    let table = if rows.is_empty() {
        "no server changes\n".into()
    } else {
        show::table(head, table_rows)
    };
    format!(
        "generation {} -> {}, capacity {capacity_before} -> {capacity_after}\n{table}",
        before.generation, list.generation
    )
}

fn format_servers(list: &ServerList) -> String {
    let generation = list.generation.map_or(
        "no file accepted yet, using the list from discovery".to_string(),
        |g| {
            format!(
                "generation {g}, accepted {:.0} s ago",
                list.age_ms.unwrap_or(0.0) / 1e3
            )
        },
    );
    let rejection = list
        .not_taken
        .as_ref()
        .map_or(String::new(), |why| format!("not accepted: {why}\n"));
    let rows = list.servers.iter().map(|s| {
        [
            s.server.clone(),
            s.address.clone(),
            s.zone.clone(),
            s.machine.clone(),
            s.weight.to_string(),
            s.stage.clone(),
        ]
    });
    let head = ["server", "address", "zone", "machine", "weight", "status"];
    format!(
        "{}: {generation}\n{rejection}{}",
        list.file,
        show::table(head, rows)
    )
}

fn rejected(why: String) -> CommandError {
    CommandError::Rejected(ApiError::new(400, why, None))
}

/// Runs a command. Returns its output and whether it succeeded.
pub fn run(
    command: &Servers,
    json: bool,
    client: impl Fn() -> Result<Client, CommandError>,
) -> Result<(String, bool), CommandError> {
    Ok(match command {
        Servers::Check {
            file,
            config,
            against,
        } => check(json, file, config.as_deref(), against.as_deref()),
        Servers::Seal { file } => {
            let output = seal(file).map_err(rejected)?;
            let object = || json!({"ok": true, "what": output.trim_end()}).to_string() + "\n";
            (if json { object() } else { output }, true)
        }
        Servers::Plan { file, against } => {
            let before = match against {
                Some(other) => load(other),
                None => Ok(fetch_servers(&client()?)?.1),
            };
            let list = load(file).map_err(rejected)?;
            (
                format_plan(json, file, &list, &before.map_err(rejected)?),
                true,
            )
        }
        Servers::Show => {
            let (list, _) = fetch_servers(&client()?)?;
            (
                show::json_or_text(json, &list, || format_servers(&list)),
                list.not_taken.is_none(),
            )
        }
        Servers::Write => {
            let (_, mut list) = fetch_servers(&client()?)?;
            list.generation += 1;
            (render(&list), true)
        }
    })
}
