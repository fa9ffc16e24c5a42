//! Starts one assigner by the file that `PROXY_CONFIG` names.

use clap::Parser;
use rookpulley_assigner::{Assigner, Signals, StartError, config, log};
use rookpulley_operators::{Operators, file};
use std::path::PathBuf;
use std::process::ExitCode;

/// One assigner: tables to proxies, by what they and discovery tell.
///
/// PROXY_CONFIG names its configuration.
///
/// Example: PROXY_CONFIG=deploy/example.json rookpulley-assigner --operators deploy/operators.star
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The operators' own file; what it does not name, and all without one, is off
    #[arg(long, env = "ROOKPULLEY_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Reads the configuration, and the operators' file where one is named; says what is wrong and ends
    #[arg(long)]
    check: bool,
}

fn start(args: Args) -> Result<(), StartError> {
    let operators = args.operators.as_deref().map(file::load).transpose()?;
    let operators: Operators = operators.unwrap_or_default();
    if args.check {
        config::load(&config::path_from_env()?)?;
        println!("what was read can be used");
        return Ok(());
    }
    log::init(operators.log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| StartError::System("runtime", e))?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else, lest a signal that comes early ends the program.
        let signals = Signals::take()?;
        let path = config::path_from_env()?;
        let config = config::load(&path)?;
        Assigner::bind(config, path, signals, &operators)
            .await?
            .serve()
            .await;
        Ok(())
    });
    // Tasks that still run are dropped: their connections end with the process, and a file that
    // takes long to read holds nothing up.
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
