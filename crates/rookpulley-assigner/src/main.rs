//! Starts one assigner by the file that `PROXY_CONFIG` names.

use rookpulley_assigner::{Assigner, CannotRun, config};
use std::process::ExitCode;

fn start() -> Result<(), CannotRun> {
    let told = config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CannotRun::System("runtime", e))?;
    // Tasks that still run are dropped with it: their connections end with the process.
    tokio::task::LocalSet::new().block_on(&runtime, async {
        Assigner::bind(told).await?.serve().await;
        Ok(())
    })
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
