//! Runs one assigner with the configuration file that `PROXY_CONFIG` names.

use clap::Parser;
use rookpulley_assigner::{Assigner, Signals, StartError, config, log};
use rookpulley_operators::{OperatorSettings, file};
use std::path::PathBuf;
use std::process::ExitCode;

/// Assigns routing tables to proxies from their reports and from discovery
///
/// The environment variable PROXY_CONFIG names the configuration file.
///
/// Example: PROXY_CONFIG=deploy/example.json rookpulley-assigner --operators deploy/operators.star
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Operators file; features that it does not enable are disabled
    #[arg(long, env = "ROOKPULLEY_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Validate the configuration and the operators file, then exit
    #[arg(long)]
    check: bool,
}

fn start(args: Args) -> Result<(), StartError> {
    let operators = args.operators.as_deref().map(file::load).transpose()?;
    let operators: OperatorSettings = operators.unwrap_or_default();
    if args.check {
        config::load(&config::path_from_env()?)?;
        println!("configuration is valid");
        return Ok(());
    }
    log::init(operators.log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| StartError::System("runtime", e))?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Install the handlers first: an early signal would otherwise terminate the process.
        let signals = Signals::take()?;
        let path = config::path_from_env()?;
        let config = config::load(&path)?;
        Assigner::bind(config, path, signals, &operators)
            .await?
            .serve()
            .await;
        Ok(())
    });
    // Drop running tasks without waiting: a blocking file read must not delay the exit.
    runtime.shutdown_background();
    result
}

fn main() -> ExitCode {
    match start(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rookpulley-assigner: {error}");
            ExitCode::FAILURE
        }
    }
}
