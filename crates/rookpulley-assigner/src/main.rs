//! Starts one assigner by the file that `PROXY_CONFIG` names.

use rookpulley_assigner::{Assigner, CannotRun, Signals, config};
use std::process::ExitCode;

fn start() -> Result<(), CannotRun> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CannotRun::System("runtime", e))?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else, lest a signal that comes early ends the program.
        let signals = Signals::take()?;
        let path = config::path_from_env()?;
        let told = config::load(&path)?;
        Assigner::bind(told, path, signals).await?.serve().await;
        Ok(())
    });
    // Tasks that still run are dropped: their connections end with the process, and a file that
    // takes long to read holds nothing up.
    runtime.shutdown_background();
    ended
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("rookpulley-assigner: {why}");
            ExitCode::FAILURE
        }
    }
}
