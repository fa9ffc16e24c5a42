//! The operator command `rookpulley`: requests to a running assigner or gateway, and checks of their files.

mod call;
mod gateway;
mod servers;
mod show;

use call::{Client, CommandError};
use clap::{Parser, Subcommand};
use rookpulley_operators::api::{DiffList, HolderList, RollbackList, VersionList};
use rookpulley_operators::file;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Shows the table versions of a running assigner and which dispatchers hold them, rolls tables back, and
/// inspects server files and the gateway.
///
/// The assigner serves its API at its operators' address, which is set in its operators' file:
///
///     address(listen = "127.0.0.1:3990")
///     versions(keep = 8)
///
/// Exit codes: 0 on success, 1 on a negative result (see each command), 2 for an invalid command line, 3 if the
/// server or the store cannot be read.
#[derive(Parser)]
#[command(version, verbatim_doc_comment, arg_required_else_help = true)]
struct Cli {
    /// The operators' address of the assigner; for `gateway show` the controlPlane address of a controller
    #[arg(
        long,
        global = true,
        env = "ROOKPULLEY_AT",
        default_value = "127.0.0.1:3990",
        value_name = "ADDRESS"
    )]
    at: SocketAddr,
    /// File with the assigner's access token
    #[arg(
        long,
        global = true,
        env = "ROOKPULLEY_TOKEN_FILE",
        value_name = "FILE"
    )]
    token_file: Option<PathBuf>,
    /// Print the result as one JSON object
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the retained versions by table, oldest first
    ///
    /// Example: rookpulley versions --table 3
    Versions {
        /// Only this table
        #[arg(long)]
        table: Option<u16>,
    },
    /// Show which version of its tables each dispatcher holds
    ///
    /// Example: rookpulley holders --check && echo all in step
    Holders {
        /// Exit with 1 unless every joined dispatcher is in step
        #[arg(long)]
        check: bool,
    },
    /// Show the lines that differ between two retained versions; exits with 1 if any differ
    ///
    /// Example: rookpulley diff n0~18f3a2c41b7e0042~17 n0~18f3a2c41b7e0042~23
    Diff { from: String, to: String },
    /// Roll back to an earlier version; exits with 1 if no table was rolled back
    ///
    /// Publishes the version's lines without servers that are drained, gone, struck or too cold, until the rollback
    /// is released or the version is tainted.
    ///
    /// Example: rookpulley rollback n0~18f3a2c41b7e0042~17 --all
    Rollback {
        /// A version as listed by `versions`
        to: String,
        /// Roll back all tables to their state when that version was the newest
        #[arg(long, conflicts_with = "table")]
        all: bool,
        /// Reject the request unless the version belongs to this table
        #[arg(long)]
        table: Option<u16>,
    },
    /// End rollbacks and publish the assigner's own lines again; exits with 1 if no rollback was active
    ///
    /// Example: rookpulley release --all
    #[command(group = clap::ArgGroup::new("which").required(true))]
    Release {
        #[arg(long, group = "which")]
        table: Option<u16>,
        #[arg(long, group = "which")]
        all: bool,
    },
    /// Check, plan, seal, show and write server files
    #[command(subcommand)]
    Servers(servers::Servers),
    /// Inspect and check the gateway
    #[command(subcommand)]
    Gateway(gateway::Gateway),
    /// Check an operators' file and show what it enables; exits with 1 if it is invalid
    ///
    /// Example: rookpulley check deploy/operators.star
    Check { file: PathBuf },
}

fn execute(cli: &Cli) -> Result<ExitCode, CommandError> {
    let client = || Client::new(cli.at, cli.token_file.as_deref());
    let (output, success) = match &cli.command {
        Command::Versions { table } => {
            let path = table.map_or("/v1/versions".to_string(), |t| {
                format!("/v1/versions?table={t}")
            });
            let (_, list) = client()?.request::<VersionList>("GET", &path, None)?;
            (
                show::json_or_text(cli.json, &list, || show::versions(&list)),
                true,
            )
        }
        Command::Holders { check } => {
            let (_, list) = client()?.request::<HolderList>("GET", "/v1/holders", None)?;
            let in_step = list
                .holders
                .iter()
                .filter(|h| h.joined)
                .all(|h| h.judged == "in step");
            (
                show::json_or_text(cli.json, &list, || show::holders(&list)),
                !check || in_step,
            )
        }
        Command::Diff { from, to } => {
            let mut query = form_urlencoded::Serializer::new(String::new());
            let query = query
                .append_pair("from", from)
                .append_pair("to", to)
                .finish();
            let path = format!("/v1/diff?{query}");
            let (_, list) = client()?.request::<DiffList>("GET", &path, None)?;
            (
                show::json_or_text(cli.json, &list, || show::diff(&list)),
                list.lines.is_empty(),
            )
        }
        Command::Rollback { to, all, table } => {
            let body = json!({"to": to, "all": all, "table": table});
            let (status, list) =
                client()?.request::<RollbackList>("POST", "/v1/rollback", Some(&body))?;
            (
                show::json_or_text(cli.json, &list, || show::rollback(&list)),
                status == 200,
            )
        }
        Command::Release { table, all } => {
            let body: Value = if *all {
                json!({"all": true})
            } else {
                json!({"table": table})
            };
            let (status, list) =
                client()?.request::<RollbackList>("POST", "/v1/release", Some(&body))?;
            (
                show::json_or_text(cli.json, &list, || show::rollback(&list)),
                status == 200,
            )
        }
        Command::Servers(command) => servers::run(command, cli.json, client)?,
        Command::Gateway(command) => gateway::run(command, cli.json, client)?,
        Command::Check { file } => return Ok(check(cli.json, file)),
    };
    print!("{output}");
    Ok(if success {
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
        Err(error) => {
            if json {
                println!(
                    "{}",
                    json!({"error": {"what": error.what, "file": error.file, "at": error.at}})
                );
            } else {
                eprintln!("rookpulley: {error}");
            }
            ExitCode::from(1)
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match execute(&cli) {
        Ok(code) => code,
        Err(error) => {
            if cli.json {
                println!("{}", json!({"error": {"what": error.to_string()}}));
            } else {
                eprintln!("rookpulley: {error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}
