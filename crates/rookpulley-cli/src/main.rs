//! The command `rookpulley`: what operators ask a running assigner or the gateway, and checks of their files.

mod call;
mod gateway;
mod servers;
mod show;

use call::{CannotAsk, Place};
use clap::{Parser, Subcommand};
use rookpulley_operators::api::{DiffList, HolderList, RollbackList, VersionList};
use rookpulley_operators::file;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Asks a running assigner which versions of its tables there are and who holds them, and takes tables back
/// to earlier ones.
///
/// The assigner answers at its operators' address, which its operators' file names:
///
///     address(listen = "127.0.0.1:3990")
///     versions(keep = 8)
///
/// Ends with 0 where all is well, 1 where the answer is no (each command says when), 2 for a command line
/// that can't be used, 3 where the assigner can't be asked.
#[derive(Parser)]
#[command(version, verbatim_doc_comment, arg_required_else_help = true)]
struct Given {
    /// The operators' address of the assigner; for `gateway show` the controlPlane address of a controller
    #[arg(
        long,
        global = true,
        env = "ROOKPULLEY_AT",
        default_value = "127.0.0.1:3990",
        value_name = "ADDRESS"
    )]
    at: SocketAddr,
    /// The file that holds the assigner's token
    #[arg(
        long,
        global = true,
        env = "ROOKPULLEY_TOKEN_FILE",
        value_name = "FILE"
    )]
    token_file: Option<PathBuf>,
    /// Writes the answer as one JSON object
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Lists the kept versions, by table, oldest first
    ///
    /// Example: rookpulley versions --table 3
    Versions {
        /// Of one table alone
        #[arg(long)]
        table: Option<u16>,
    },
    /// Shows which dispatcher holds which version of its tables
    ///
    /// Example: rookpulley holders --check && echo all in step
    Holders {
        /// Ends with 1 unless every joined dispatcher is in step
        #[arg(long)]
        check: bool,
    },
    /// Shows the lines that differ between two kept versions; ends with 1 where some do
    ///
    /// Example: rookpulley diff n0~18f3a2c41b7e0042~17 n0~18f3a2c41b7e0042~23
    Diff { from: String, to: String },
    /// Goes back to an earlier version; ends with 1 where no table could
    ///
    /// Its lines are published less every server that is drained, gone, struck or too cold, until released or
    /// tainted.
    ///
    /// Example: rookpulley rollback n0~18f3a2c41b7e0042~17 --all
    Rollback {
        /// As `versions` shows it
        to: String,
        /// All tables as they were when that version was the newest
        #[arg(long, conflicts_with = "table")]
        all: bool,
        /// Refused unless the version is of this table
        #[arg(long)]
        table: Option<u16>,
    },
    /// Ends ways back: the assigner's own lines are published again; ends with 1 where none was held
    ///
    /// Example: rookpulley release --all
    #[command(group = clap::ArgGroup::new("which").required(true))]
    Release {
        #[arg(long, group = "which")]
        table: Option<u16>,
        #[arg(long, group = "which")]
        all: bool,
    },
    /// Server files: check, plan, seal, show, write
    #[command(subcommand)]
    Servers(servers::Servers),
    /// The gateway: show, check, explain, hunt, chain, store
    #[command(subcommand)]
    Gateway(gateway::Gateway),
    /// Reads an operators' file and says what it switches on; ends with 1 where it can't be used
    ///
    /// Example: rookpulley check deploy/operators.star
    Check { file: PathBuf },
}

fn ask(given: &Given) -> Result<ExitCode, CannotAsk> {
    let place = || Place::of(given.at, given.token_file.as_deref());
    let (said, code) = match &given.what {
        What::Versions { table } => {
            let path = table.map_or("/v1/versions".to_string(), |t| {
                format!("/v1/versions?table={t}")
            });
            let (_, list) = place()?.ask::<VersionList>("GET", &path, None)?;
            (
                show::either(given.json, &list, || show::versions(&list)),
                true,
            )
        }
        What::Holders { check } => {
            let (_, list) = place()?.ask::<HolderList>("GET", "/v1/holders", None)?;
            let in_step = list
                .holders
                .iter()
                .filter(|h| h.joined)
                .all(|h| h.judged == "in step");
            (
                show::either(given.json, &list, || show::holders(&list)),
                !check || in_step,
            )
        }
        What::Diff { from, to } => {
            let mut query = form_urlencoded::Serializer::new(String::new());
            let query = query
                .append_pair("from", from)
                .append_pair("to", to)
                .finish();
            let path = format!("/v1/diff?{query}");
            let (_, list) = place()?.ask::<DiffList>("GET", &path, None)?;
            (
                show::either(given.json, &list, || show::diff(&list)),
                list.lines.is_empty(),
            )
        }
        What::Rollback { to, all, table } => {
            let body = json!({"to": to, "all": all, "table": table});
            let (status, list) =
                place()?.ask::<RollbackList>("POST", "/v1/rollback", Some(&body))?;
            (
                show::either(given.json, &list, || show::back(&list)),
                status == 200,
            )
        }
        What::Release { table, all } => {
            let body: Value = if *all {
                json!({"all": true})
            } else {
                json!({"table": table})
            };
            let (status, list) =
                place()?.ask::<RollbackList>("POST", "/v1/release", Some(&body))?;
            (
                show::either(given.json, &list, || show::back(&list)),
                status == 200,
            )
        }
        What::Servers(what) => servers::run(what, given.json, place)?,
        What::Gateway(what) => gateway::run(what, given.json, place)?,
        What::Check { file } => return Ok(check(given.json, file)),
    };
    print!("{said}");
    Ok(if code {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn check(json: bool, path: &std::path::Path) -> ExitCode {
    match file::load(path) {
        Ok(operators) => {
            print!("{}", show::operators(json, &operators));
            ExitCode::SUCCESS
        }
        Err(bad) => {
            if json {
                println!(
                    "{}",
                    json!({"error": {"what": bad.what, "file": bad.file, "at": bad.at}})
                );
            } else {
                eprintln!("rookpulley: {bad}");
            }
            ExitCode::from(1)
        }
    }
}

fn main() -> ExitCode {
    let given = Given::parse();
    match ask(&given) {
        Ok(code) => code,
        Err(why) => {
            if given.json {
                println!("{}", json!({"error": {"what": why.to_string()}}));
            } else {
                eprintln!("rookpulley: {why}");
            }
            ExitCode::from(why.code())
        }
    }
}
