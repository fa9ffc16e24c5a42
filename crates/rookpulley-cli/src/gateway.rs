//! Gateway commands: controller status, file checks, route lookup, simulation, and inspection and recovery of a
//! controller's store.

mod check;
mod explain;
mod hunt;
mod show;
mod store;

use crate::call::{Client, CommandError};
use clap::{Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Gateway {
    /// Show the status as seen by one controller; --at is its controlPlane address
    ///
    /// Example: rookpulley gateway show view --at 10.4.0.10:8166
    Show {
        part: Topic,
        /// Only the tasks or tables of this service
        #[arg(long)]
        service: Option<String>,
    },
    /// Check whether a file is valid and list all faults; exits with 1 if it is invalid
    #[command(subcommand)]
    Check(Check),
    /// Show which route matches a request and which shorter prefixes also match; exits with 1 if no route matches
    ///
    /// Example: rookpulley gateway explain configuration.json post.example /stamps/list
    Explain {
        file: PathBuf,
        host: String,
        path: String,
    },
    /// Simulate days of whole gateways and show the first that breaks a rule; exits with 1 if one does
    ///
    /// Controllers and proxies run their production code in this process on a simulated network. A day that breaks a
    /// rule is reduced to a small set of events that still breaks it.
    ///
    /// Example: rookpulley gateway hunt --seeds 0..2000
    Hunt {
        /// Seeds of the days to simulate: FROM..TO or one seed
        #[arg(long, default_value = "0..200", value_parser = hunt::seeds)]
        seeds: std::ops::Range<u64>,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Simulate only the day of this seed and print its log
        #[arg(long, conflicts_with = "seeds")]
        day: Option<u64>,
    },
    /// Inspect the replication chain of the controllers
    #[command(subcommand)]
    Chain(Chain),
    /// Inspect or recover a controller's store on disk; no process may be using it
    #[command(subcommand)]
    Store(Store),
}

#[derive(Subcommand)]
pub enum Chain {
    /// Show the chain as seen by one controller, like `show view`; --at is its controlPlane address
    ///
    /// Example: rookpulley gateway chain show --at 10.4.0.10:8166
    Show,
}

#[derive(Subcommand)]
pub enum Store {
    /// Show the contents of the store
    ///
    /// Example: rookpulley gateway store show /data/controller
    Show {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
    },
    /// Check the store and show its latest view, update and configuration; exits with 1 if it has faults
    ///
    /// Example: rookpulley gateway store check /data/controller
    Check {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
    },
    /// Refound the chain from this store after the permanent loss of most controllers; exits with 1 if it can't
    ///
    /// Without --yes it only shows what would change. The controller gets a new identity and a view with itself as the
    /// only member, and keeps its state and its whole log; the previous store is kept next to the new one. Run this on
    /// exactly one remaining controller: the one whose check shows the highest installed view and then the highest
    /// update. Updates that the others acknowledged without it are lost.
    ///
    /// Example: rookpulley gateway store refound /data/controller --yes
    Refound {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
        /// Write the changes
        #[arg(long)]
        yes: bool,
    },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Topic {
    /// Members and status of the chain
    View,
    /// Registered instances
    Tasks,
    /// Tables published by this controller
    Tables,
    /// Connected proxies
    #[value(name = "couriers")]
    Proxies,
    /// Size and version of the replicated state
    #[value(name = "ledger")]
    State,
    /// Leases of duties at the platform, and usage windows that are not reported yet
    Duties,
    /// Counters since the controller started; also at /rookpulley/show/counters for metrics collectors
    Counters,
}

#[derive(Subcommand)]
pub enum Check {
    /// Check the settings file of a process
    ///
    /// Example: rookpulley gateway check settings /etc/rookpulley/node.toml
    Settings { file: PathBuf },
    /// Check the operator's configuration
    ///
    /// Example: rookpulley gateway check configuration configuration.json
    Configuration { file: PathBuf },
    /// Check the deployment file, which assigns programs to machines
    ///
    /// Example: rookpulley gateway check deploy deploy/system.toml
    Deploy { file: PathBuf },
}

/// Runs a command. Returns its output and whether it succeeded.
pub fn run(
    command: &Gateway,
    json: bool,
    client: impl Fn() -> Result<Client, CommandError>,
) -> Result<(String, bool), CommandError> {
    Ok(match command {
        Gateway::Show { part, service } => (
            show::show(json, &client()?, *part, service.as_deref().unwrap_or(""))?,
            true,
        ),
        Gateway::Check(Check::Settings { file }) => check::settings(file).render(json),
        Gateway::Check(Check::Configuration { file }) => check::configuration(file).render(json),
        Gateway::Check(Check::Deploy { file }) => check::deploy(file).render(json),
        Gateway::Explain { file, host, path } => explain::explain(json, file, host, path),
        Gateway::Hunt {
            day: Some(seed), ..
        } => hunt::run_day(json, *seed),
        Gateway::Hunt {
            seeds,
            threads,
            day: None,
        } => hunt::run_hunt(json, seeds.clone(), *threads),
        Gateway::Chain(Chain::Show) => (show::show(json, &client()?, Topic::View, "")?, true),
        Gateway::Store(Store::Show { folder }) => (store::show(json, folder)?, true),
        Gateway::Store(Store::Check { folder }) => store::check::check(json, folder)?,
        Gateway::Store(Store::Refound { folder, yes }) => {
            store::refound::refound(json, folder, *yes)?
        }
    })
}
