//! Commands on server files: what is wrong with one, what it would change, and files written by the program.

use crate::call::{CannotAsk, Place};
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
    /// Says whether a server file can be taken, and all the reasons why not; ends with 1 where it can't
    ///
    /// Example: rookpulley servers check servers.star --config deploy/example.json
    Check {
        file: PathBuf,
        /// The assigner's configuration, for its zones, kinds of machine and request kinds
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The file that is in force, for what may change at once
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
    /// Shows what a server file would change, against a running assigner or another file
    ///
    /// Example: rookpulley servers plan servers.star --against servers.old.star
    Plan {
        file: PathBuf,
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
    /// Puts a fitting closing statement on a file that was edited, in one step
    ///
    /// Example: rookpulley servers seal servers.star
    Seal { file: PathBuf },
    /// Shows the list that a running assigner holds, its age, and why the file's newest state is not taken; ends
    /// with 1 where it is not
    ///
    /// Example: rookpulley servers show
    Show,
    /// Writes a complete file from the list that a running assigner holds
    ///
    /// Example: rookpulley servers write > servers.star
    Write,
}

fn load(file: &Path) -> Result<Candidate, String> {
    let bytes = read_bytes(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read(file, &bytes).map_err(|e| e.with_file_name(file))
}

/// What the configuration says of the deployment.
fn facts(config: &Path) -> Result<Deployment, String> {
    let wrong = |what: String| format!("{}: {what}", config.display());
    let text = std::fs::read_to_string(config).map_err(|e| wrong(e.to_string()))?;
    let told: Value = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    let settings = &told["settings"];
    let start = rookpulley_start::read_value(0, settings).map_err(|e| wrong(e.to_string()))?;
    let front =
        rookpulley_start::read_front_settings(settings).map_err(|e| wrong(e.to_string()))?;
    Ok(Deployment::from_start(&start, &front.machines))
}

fn verdict(
    json: bool,
    file: &Path,
    list: Result<&Candidate, &String>,
    refused: &Rejection,
) -> (String, bool) {
    let well = list.is_ok() && refused.is_empty();
    let reasons: Vec<Value> = match list {
        Err(why) => vec![json!({"what": why})],
        Ok(_) => refused
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
        let said = json!({"file": file, "ok": well, "generation": generation, "servers": servers,
            "reasons": reasons, "more": refused.more});
        return (said.to_string() + "\n", well);
    }
    let said = match list {
        Err(why) => why.clone() + "\n",
        Ok(list) if well => {
            format!(
                "{}: generation {}, {} servers, can be taken\n",
                file.display(),
                list.generation,
                list.entries.len()
            )
        }
        Ok(_) => {
            let line = |(at, why): &(_, rookpulley_lists::Reason)| {
                let bad = FileError {
                    file: file.into(),
                    at: *at,
                    what: why.to_string(),
                };
                format!("{bad}\n")
            };
            let more = if refused.more > 0 {
                format!("and {} more\n", refused.more)
            } else {
                String::new()
            };
            refused.reasons.iter().map(line).collect::<String>() + &more
        }
    };
    (said, well)
}

fn check(json: bool, file: &Path, config: Option<&Path>, against: Option<&Path>) -> (String, bool) {
    let mut refused = Rejection::default();
    let checked = load(file).and_then(|list| {
        let facts = config.map_or_else(|| Ok(Deployment::from_list(&list)), facts)?;
        validate_list(show::unix_ms(), &list, &facts, &mut refused);
        if let Some(held) = against {
            validate_change(&list, &load(held)?, &mut refused);
        }
        Ok(list)
    });
    verdict(json, file, checked.as_ref(), &refused)
}

fn seal(file: &Path) -> Result<String, String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(wrong)?;
    let after = with_seal(file, &text).map_err(|e| e.to_string())?;
    if after == text {
        return Ok(format!("{}: sealed already\n", file.display()));
    }
    // Through links, to a file beside the one meant, which then takes its place whole.
    let place = std::fs::canonicalize(file).map_err(wrong)?;
    let folder = place.parent().unwrap_or(Path::new("/"));
    let mut beside = tempfile::NamedTempFile::new_in(folder).map_err(wrong)?;
    beside
        .write_all(after.as_bytes())
        .and_then(|()| beside.as_file().sync_all())
        .map_err(wrong)?;
    let rights = std::fs::metadata(&place).map_err(wrong)?.permissions();
    beside.as_file().set_permissions(rights).map_err(wrong)?;
    beside.persist(&place).map_err(|e| wrong(e.error))?;
    Ok(format!(
        "{}: {}",
        file.display(),
        after.lines().last().unwrap_or_default()
    ) + "\n")
}

/// The list that an assigner holds, as a file has it.
fn held(place: &Place) -> Result<(ServerList, Candidate), CannotAsk> {
    let (_, list) = place.ask::<ServerList>("GET", "/v1/servers", None)?;
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

fn changes(change: Change) -> &'static str {
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

fn planned(json: bool, file: &Path, list: &Candidate, before: &Candidate) -> String {
    let rows = plan(before, list);
    let (had, has) = (
        capacity(before.entries.iter()),
        capacity(list.entries.iter()),
    );
    if json {
        let row = |p: &Planned| {
            let ([from, to], [was, is]) = (p.weights, p.shares);
            json!({"server": p.name, "what": changes(p.change), "from": from, "to": to,
                "share_from": was, "share_to": is})
        };
        let rows: Vec<Value> = rows.iter().map(row).collect();
        let said = json!({"file": file, "generation_from": before.generation, "generation_to": list.generation,
            "capacity_from": had, "capacity_to": has, "servers": rows});
        return said.to_string() + "\n";
    }
    let weight = |w: Option<f64>| w.map_or("-".to_string(), |w| w.to_string());
    let shown = rows.iter().map(|p| {
        let [from, to] = p.weights.map(weight);
        let [was, is] = p.shares.map(|s| format!("{:.1}%", 100.0 * s));
        [
            p.name.clone(),
            changes(p.change).to_string(),
            from,
            to,
            was,
            is,
        ]
    });
    let head = ["server", "is", "weight", "then", "share", "then"];
    let table = if rows.is_empty() {
        "no server changes\n".into()
    } else {
        show::table(head, shown)
    };
    format!(
        "generation {} -> {}, capacity {had} -> {has}\n{table}",
        before.generation, list.generation
    )
}

fn shown(list: &ServerList) -> String {
    let generation =
        list.generation
            .map_or("none taken yet, discovery's list counts".to_string(), |g| {
                format!(
                    "generation {g}, taken {:.0} s ago",
                    list.age_ms.unwrap_or(0.0) / 1e3
                )
            });
    let not = list
        .not_taken
        .as_ref()
        .map_or(String::new(), |why| format!("not taken: {why}\n"));
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
    let head = ["server", "address", "zone", "machine", "weight", "is"];
    format!(
        "{}: {generation}\n{not}{}",
        list.file,
        show::table(head, rows)
    )
}

fn failed(why: String) -> CannotAsk {
    CannotAsk::No(ApiError::new(400, why, None))
}

/// What a command prints, and whether all is well.
pub fn run(
    what: &Servers,
    json: bool,
    place: impl Fn() -> Result<Place, CannotAsk>,
) -> Result<(String, bool), CannotAsk> {
    Ok(match what {
        Servers::Check {
            file,
            config,
            against,
        } => check(json, file, config.as_deref(), against.as_deref()),
        Servers::Seal { file } => {
            let said = seal(file).map_err(failed)?;
            let object = || json!({"ok": true, "what": said.trim_end()}).to_string() + "\n";
            (if json { object() } else { said }, true)
        }
        Servers::Plan { file, against } => {
            let before = match against {
                Some(other) => load(other),
                None => Ok(held(&place()?)?.1),
            };
            let list = load(file).map_err(failed)?;
            (planned(json, file, &list, &before.map_err(failed)?), true)
        }
        Servers::Show => {
            let (list, _) = held(&place()?)?;
            (
                show::either(json, &list, || shown(&list)),
                list.not_taken.is_none(),
            )
        }
        Servers::Write => {
            let (_, mut list) = held(&place()?)?;
            list.generation += 1;
            (render(&list), true)
        }
    })
}
