//! Starts one assigner by the file that `PROXY_CONFIG` names.

use clap::Parser;
use rookpulley_assigner::{Assigner, CannotRun, Signals, config, log};
use rookpulley_operators::{OperatorSettings, file};
use std::path::PathBuf;
use std::process::ExitCode;

/// One assigner: tables to proxies, by what they and discovery tell.
///
/// PROXY_CONFIG names its configuration.
///
/// Example: PROXY_CONFIG=deploy/example.json rookpulley-assigner --operators deploy/operators.star
#[derive(Parser)]
#[command(version)]
struct Given {
    /// The operators' own file; what it does not name, and all without one, is off
    #[arg(long, env = "ROOKPULLEY_OPERATORS", value_name = "FILE")]
    operators: Option<PathBuf>,
    /// Reads the configuration, and the operators' file where one is named; says what is wrong and ends
    #[arg(long)]
    check: bool,
}

fn start(given: Given) -> Result<(), CannotRun> {
    let operators = given.operators.as_deref().map(file::load).transpose()?;
    let operators: OperatorSettings = operators.unwrap_or_default();
    if given.check {
        config::load(&config::path_from_env()?)?;
        println!("what was read can be used");
        return Ok(());
    }
    log::begin(operators.log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| CannotRun::System("runtime", e))?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else, lest a signal that comes early ends the program.
        let signals = Signals::take()?;
        let path = config::path_from_env()?;
        let told = config::load(&path)?;
        Assigner::bind(told, path, signals, &operators)
            .await?
            .serve()
            .await;
        Ok(())
    });
    // Tasks that still run are dropped: their connections end with the process, and a file that
    // takes long to read holds nothing up.
    runtime.shutdown_background();
    ended
}

fn main() -> ExitCode {
    match start(Given::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("rookpulley-assigner: {why}");
            ExitCode::FAILURE
        }
    }
}
