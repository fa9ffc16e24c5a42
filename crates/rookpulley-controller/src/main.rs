//! The controller process: heartbeats, configurations, coordination and routing tables.
//!
//! All decisions are made in `rookpulley-control`; this program connects them to sockets, the store, the clock and
//! signals. A machine with a disk runs an `incarnation` of a controller, and `standby` while its store is unusable. One
//! without a disk runs `stateless`.

mod api;
mod incarnation;
mod inspect;
mod json;
mod metrics;
mod peers;
mod platform;
mod proxy_sessions;
mod request;
mod server;
mod shutdown;
mod standby;
mod stateless;

use incarnation::IncarnationEnded;
use miette::{IntoDiagnostic, WrapErr};
use rookpulley_runtime::log;
use rookpulley_settings::Node;
use shutdown::Signals;
use standby::StandbyEnded;
use std::path::PathBuf;
use tokio::task::LocalSet;

xflags::xflags! {
    /// The controller of rookpulley. It reads its settings from the file that ROOKPULLEY_BOOT names.
    cmd rookpulley-controller {
        /// Validates and prints the settings, then exits.
        optional --check
        /// Also logs debug messages.
        optional --verbose
    }
}

fn main() -> miette::Result<()> {
    let flags = RookpulleyController::from_env_or_exit();
    let settings_file = rookpulley_settings::boot_path()?;
    let node = Node::read(&settings_file)?;
    if flags.check {
        print!("{node}");
        return Ok(());
    }
    let level = if flags.verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::INFO
    };
    log::init(level);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(run(node, settings_file))
}

async fn run(node: Node, settings_file: PathBuf) -> miette::Result<()> {
    let Some(control) = node.listen.control else {
        return Err(miette::miette!(
            help = "give the role `control_plane` under serves",
            "no controlPlane address"
        ));
    };
    let mut signals = Signals::new()
        .into_diagnostic()
        .wrap_err("exiting: signal handlers can't be installed")?;
    let Some(folder) = node.data.clone() else {
        let run = stateless::run(&node, control, settings_file, &mut signals);
        return LocalSet::new().run_until(run).await;
    };
    // Each incarnation has its own task set: dropping it ends all its tasks and closes their sockets.
    loop {
        let set = LocalSet::new();
        let file = settings_file.clone();
        let run = incarnation::run(&node, control, &folder, file, &mut signals);
        let loss = match set.run_until(run).await? {
            IncarnationEnded::Stopped => return Ok(()),
            IncarnationEnded::StoreDiscarded => continue,
            IncarnationEnded::StoreLost(loss) => loss,
        };
        drop(set);
        let set = LocalSet::new();
        let file = settings_file.clone();
        let run = standby::run(&node, control, &folder, loss, file, &mut signals);
        match set.run_until(run).await? {
            StandbyEnded::Stopped => return Ok(()),
            StandbyEnded::StoreUsable => {}
        }
    }
}
