//! The program that keeps control: heartbeats, configurations, coordination, tables.

mod calls;
mod controller;
mod ending;
mod hub;
mod peers;
mod proxy_sessions;
mod show;
mod standby;
mod stateless;

use controller::Ended;
use ending::Signals;
use miette::{IntoDiagnostic, WrapErr};
use rookpulley_runtime::log;
use rookpulley_settings::Node;
use standby::Standby;
use std::path::PathBuf;
use tokio::task::LocalSet;

xflags::xflags! {
    /// The control program of rookpulley. Its settings are read from the file that ROOKPULLEY_BOOT names.
    cmd rookpulley-controller {
        /// Reads the settings, prints them and ends.
        optional --check
        /// Prints lines of the ordinary path, too.
        optional --verbose
    }
}

fn main() -> miette::Result<()> {
    let flags = RookpulleyController::from_env_or_exit();
    let path = rookpulley_settings::boot_path()?;
    let node = Node::read(&path)?;
    if flags.check {
        print!("{node}");
        return Ok(());
    }
    log::begin(if flags.verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::INFO
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(run(node, path))
}

async fn run(node: Node, path: PathBuf) -> miette::Result<()> {
    let Some(control) = node.listen.control else {
        return Err(miette::miette!(
            help = "give the role `control_plane` under serves",
            "no controlPlane address"
        ));
    };
    let mut signals = Signals::new()
        .into_diagnostic()
        .wrap_err("ending: signals can't be heard")?;
    let Some(folder) = node.data.clone() else {
        return LocalSet::new()
            .run_until(stateless::run(&node, control, path, &mut signals))
            .await;
    };
    // A set of tasks for each incarnation: with the set all its tasks and sockets are gone.
    loop {
        let set = LocalSet::new();
        let run = controller::run(&node, control, &folder, path.clone(), &mut signals);
        let loss = match set.run_until(run).await? {
            Ended::Stopped => return Ok(()),
            Ended::StoreGivenUp => continue,
            Ended::StoreLost(loss) => loss,
        };
        drop(set);
        let set = LocalSet::new();
        match set
            .run_until(standby::run(
                &node,
                control,
                &folder,
                loss,
                path.clone(),
                &mut signals,
            ))
            .await?
        {
            Standby::Stopped => return Ok(()),
            Standby::StoreUsable => {}
        }
    }
}
