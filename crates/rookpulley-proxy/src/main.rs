//! The proxy process.

use rookpulley_proxy::{Listeners, ProxyContext, Signals, StartError, run};
use rookpulley_runtime::log;
use rookpulley_settings::Node;
use std::io::Write;

xflags::xflags! {
    /// The rookpulley proxy. Reads its settings from the file named by ROOKPULLEY_BOOT.
    cmd rookpulley-proxy {
        /// Validate and print the settings, then exit.
        optional --check
        /// Also log at debug level.
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
    let result = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Installed first, so that an early signal does not kill the process.
        let signals = Signals::from_process().map_err(StartError::System)?;
        let listeners = Listeners::bind(&node)?;
        run(ProxyContext::new(node), listeners, Some(path), signals).await;
        Ok::<_, StartError>(())
    });
    runtime.shutdown_background();
    Ok(result?)
}
