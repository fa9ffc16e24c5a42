//! Commands on the gateway: what its controllers show, checks of its files, where a request would go, what a disk holds
//! and how a chain is founded anew with it.

mod check;
mod explain;
mod hunt;
mod show;
mod store;

use crate::call::{CannotAsk, Place};
use clap::{Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Gateway {
    /// Shows how things look from one controller; --at is its controlPlane address
    ///
    /// Example: rookpulley gateway show view --at 10.4.0.10:8166
    Show {
        part: Part,
        /// Tasks or tables of this service alone
        #[arg(long)]
        service: Option<String>,
    },
    /// Says whether a file can be used, and all the reasons why not; ends with 1 where it can't
    #[command(subcommand)]
    Check(Check),
    /// Says which route of a configuration takes a request and which prefixes lost; ends with 1 where none does
    ///
    /// Example: rookpulley gateway explain configuration.json post.example /stamps/list
    Explain {
        file: PathBuf,
        host: String,
        path: String,
    },
    /// Plays days of whole gateways in this process, and shows the first that breaks a rule; ends with 1 where one does
    ///
    /// No machine is needed or touched: controllers and proxies run by the code of the programs, on a simulated network. A
    /// day that breaks a rule is shrunk to the fewest troubles that still break it.
    ///
    /// Example: rookpulley gateway hunt --seeds 0..2000
    Hunt {
        /// The days to play, FROM..TO or one seed
        #[arg(long, default_value = "0..200", value_parser = hunt::seeds)]
        seeds: std::ops::Range<u64>,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Plays the day of this seed alone and prints all that was logged
        #[arg(long, conflicts_with = "seeds")]
        day: Option<u64>,
    },
    /// The chain of the controllers
    #[command(subcommand)]
    Chain(Chain),
    /// A controller's store on disk, in place; only while no process uses it
    #[command(subcommand)]
    Store(Store),
}

#[derive(Subcommand)]
pub enum Chain {
    /// Shows the chain as one controller sees it, as `show view` does; --at is its controlPlane address
    ///
    /// Example: rookpulley gateway chain show --at 10.4.0.10:8166
    Show,
}

#[derive(Subcommand)]
pub enum Store {
    /// Shows what it holds
    ///
    /// Example: rookpulley gateway store show /data/controller
    Show {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
    },
    /// Says how far it reaches and all that is wrong with it; ends with 1 where something is
    ///
    /// Example: rookpulley gateway store check /data/controller
    Check {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
    },
    /// Lets it found the chain anew, where most controllers are gone for good; ends with 1 where it can't
    ///
    /// Without --yes it only says what it would do. The controller gets another identity and a view of its own and keeps
    /// its state and its whole log; the store as it was is kept beside. Only on one controller that is left, the one whose
    /// check shows the highest installed view and then the highest update: what the others acknowledged without it is
    /// gone.
    ///
    /// Example: rookpulley gateway store refound /data/controller --yes
    Refound {
        /// The dataDirectory of the controller's settings
        folder: PathBuf,
        /// Do it
        #[arg(long)]
        yes: bool,
    },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Part {
    /// Who is in the chain, and how it is
    View,
    /// Instances
    Tasks,
    /// The tables that this controller publishes
    Tables,
    /// Proxies that are connected
    #[value(name = "couriers")]
    Proxies,
    /// What the chain replicates
    #[value(name = "ledger")]
    State,
    /// Counts since the controller began; collectors read them at /rookpulley/show/counters
    Counters,
}

#[derive(Subcommand)]
pub enum Check {
    /// The settings file of a process
    ///
    /// Example: rookpulley gateway check settings /etc/rookpulley/node.toml
    Settings { file: PathBuf },
    /// The operator's configuration
    ///
    /// Example: rookpulley gateway check configuration configuration.json
    Configuration { file: PathBuf },
    /// Which program runs where
    ///
    /// Example: rookpulley gateway check deploy deploy/system.toml
    Deploy { file: PathBuf },
}

/// What a command prints, and whether all is well.
pub fn run(
    what: &Gateway,
    json: bool,
    place: impl Fn() -> Result<Place, CannotAsk>,
) -> Result<(String, bool), CannotAsk> {
    Ok(match what {
        Gateway::Show { part, service } => (
            show::shown(json, &place()?, *part, service.as_deref().unwrap_or(""))?,
            true,
        ),
        Gateway::Check(Check::Settings { file }) => check::settings(file).told(json),
        Gateway::Check(Check::Configuration { file }) => check::configuration(file).told(json),
        Gateway::Check(Check::Deploy { file }) => check::deploy(file).told(json),
        Gateway::Explain { file, host, path } => explain::explained(json, file, host, path),
        Gateway::Hunt {
            day: Some(seed), ..
        } => hunt::day(json, *seed),
        Gateway::Hunt {
            seeds,
            threads,
            day: None,
        } => hunt::hunted(json, seeds.clone(), *threads),
        Gateway::Chain(Chain::Show) => (show::shown(json, &place()?, Part::View, "")?, true),
        Gateway::Store(Store::Show { folder }) => (store::shown(json, folder)?, true),
        Gateway::Store(Store::Check { folder }) => store::check::checked(json, folder)?,
        Gateway::Store(Store::Refound { folder, yes }) => {
            store::refound::refounded(json, folder, *yes)?
        }
    })
}
