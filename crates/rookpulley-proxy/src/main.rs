//! The program that carries traffic.

use rookpulley_proxy::{Listeners, ProxyContext, Signals, StartError, run};
use rookpulley_runtime::log;
use rookpulley_settings::Node;
use std::io::Write;

xflags::xflags! {
    /// The program of rookpulley that carries traffic. Its settings are read from the file that ROOKPULLEY_BOOT names.
    cmd rookpulley-proxy {
        /// Reads the settings, prints them and ends.
        optional --check
        /// Prints lines of the ordinary path, too.
        optional --verbose
    }
}

fn main() -> miette::Result<()> {
    let flags = RookpulleyProxy::from_env_or_exit();
    _ = miette::set_hook(Box::new(|_| {
        Box::new(miette::NarratableReportHandler::new())
    }));
    let path = rookpulley_settings::boot_path()?;
    let node = Node::read(&path)?;
    if flags.check {
        _ = write!(std::io::stdout(), "{node}");
        return Ok(());
    }
    log::init(if flags.verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::INFO
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(StartError::System)?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else, lest a signal that comes early ends the program.
        let signals = Signals::of_process().map_err(StartError::System)?;
        let listeners = Listeners::bind(&node)?;
        run(ProxyContext::new(node), listeners, Some(path), signals).await;
        Ok::<_, StartError>(())
    });
    runtime.shutdown_background();
    Ok(ended?)
}
