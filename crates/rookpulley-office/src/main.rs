//! The program that keeps control: beats, configurations, coordination, tables.

mod annex;
mod calls;
mod couriers;
mod ending;
mod hub;
mod peers;
mod show;

use miette::{IntoDiagnostic, WrapErr};
use rookpulley_clerk::Founding;
use rookpulley_mailroom::{File, line, log};
use rookpulley_settings::Node;
use rookpulley_strongroom as store;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::TcpListener;

xflags::xflags! {
    /// The control program of rookpulley. Its settings are read from the file that ROOKPULLEY_BOOT names.
    cmd rookpulley-office {
        /// Reads the settings, prints them and ends.
        optional --check
        /// Prints lines of the ordinary path, too.
        optional --verbose
    }
}

fn main() -> miette::Result<()> {
    let flags = RookpulleyOffice::from_env_or_exit();
    let path = rookpulley_settings::boot_path()?;
    let node = Node::read(&path)?;
    if flags.check {
        print!("{node}");
        return Ok(());
    }
    log::begin(if flags.verbose { tracing::Level::DEBUG } else { tracing::Level::INFO });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(node, path))
}

/// For calls, couriers and other offices.
fn listen(node: &Node, control: SocketAddrV4) -> miette::Result<[TcpListener; 3]> {
    let inner = |more| SocketAddrV4::new(node.ip, node.inner_ports.0 + more);
    let listen = |at: SocketAddrV4| {
        let listened = line::listen(SocketAddr::V4(at), 512).into_diagnostic();
        listened.wrap_err_with(|| format!("office: {at} can't be listened at"))
    };
    Ok([listen(control)?, listen(inner(0))?, listen(inner(1))?])
}

async fn run(node: Node, path: std::path::PathBuf) -> miette::Result<()> {
    let Some(control) = node.listen.control else {
        return Err(miette::miette!(
            help = "give the role `control_plane` under serves",
            "no controlPlane address"
        ));
    };
    let Some(folder) = node.data.clone() else { return annex::run(node, control, path).await };
    let [counter, for_couriers, for_peers] = listen(&node, control)?;
    let seed = rand::random::<u64>();
    let (said, heard) = tokio::sync::mpsc::unbounded_channel();
    let founding = node.first_start.then(|| Founding::new(node.ip, &node.seeds).mark());
    let mut store = store::Store::open(&folder, rand::random::<u64>(), founding.as_deref(), said)?;
    let kept = std::mem::take(&mut store.held);
    let fresh = store.new;
    let hub = hub::Hub::new(node, store, kept, seed);
    tracing::info!("office: {} begins{}", hub.node.name, if fresh { " with an empty disk" } else { "" });

    let (stop, stopped) = tokio::sync::watch::channel(false);
    let counter = calls::Calls::new(hub.clone())?.serve(counter, stopped);
    tokio::task::spawn_local(couriers::listen(hub.clone(), for_couriers));
    tokio::task::spawn_local(peers::listen(hub.clone(), for_peers));
    hub.hear_store(heard);
    let to = hub.clone();
    tokio::task::spawn_local(async move {
        loop {
            to.to_dial()
                .into_iter()
                .for_each(|ip| drop(tokio::task::spawn_local(peers::keep_dialing(to.clone(), ip))));
            to.dial.notified().await;
        }
    });
    let to = hub.clone();
    tokio::task::spawn_local(async move {
        let mut beat = tokio::time::interval(Duration::from_millis(50));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for round in 0u64.. {
            beat.tick().await;
            to.tick(round);
            if round.is_multiple_of(200) {
                tracing::info!("office: {}", to.status());
            }
        }
    });
    ending::wait(File::new(path), |seeds| hub.meet_seeds(seeds)).await;
    ending::finish(&hub, stop, counter).await;
    Ok(())
}
