//! Standby mode of a controller whose store is unusable: redirects calls and waits until the disk is writable again.
//! `rookpulley_control::Standby` chooses the targets.

use crate::api::{method_not_allowed, not_found, redirect};
use crate::incarnation::{StoreLoss, listen_at};
use crate::request::{ApiRequest, request_router};
use crate::shutdown::{self, Signals};
use miette::IntoDiagnostic;
use rookpulley_api::{Bounds, Call, Match, Reply, Router, RouterError};
use rookpulley_control::Standby;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file written to test the disk.
const PROBE_FILE: &str = "room.probe";
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER: &str = "0.2";

/// Why standby mode ended.
#[derive(Debug, PartialEq)]
pub enum StandbyEnded {
    /// The process shuts down.
    Stopped,
    /// The disk is writable, so the store can be opened again.
    StoreUsable,
}

pub async fn run(
    node: &Node,
    control: SocketAddrV4,
    folder: &Path,
    loss: StoreLoss,
    settings_file: PathBuf,
    signals: &mut Signals,
) -> miette::Result<StandbyEnded> {
    tracing::error!(
        "store: {}; continuing without it, calls are redirected",
        loss.reason
    );
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let standby = Standby::new(node.ip, &loss.others, &node.seeds);
    let redirects = Redirects::new(standby, control.port()).into_diagnostic()?;
    let redirects = Rc::new(redirects);
    let handler = Rc::new(move |call: Call| std::future::ready(redirects.answer(&call)));
    let listener = listen_at(control)?;
    let bounds = Bounds::default();
    let api = tokio::task::spawn_local(rookpulley_api::serve(listener, bounds, stopped, handler));
    tokio::select! {
        () = signals.wait(SettingsFile::new(settings_file), |_| ()) => {
            shutdown::close(node, stop, api).await;
            Ok(StandbyEnded::Stopped)
        }
        () = wait_for_disk(folder) => {
            tracing::info!("store: the disk is writable again");
            Ok(StandbyEnded::StoreUsable)
        }
    }
}

/// Waits until a test write to the disk succeeds.
async fn wait_for_disk(folder: &Path) {
    loop {
        tokio::time::sleep(Standby::TEST_INTERVAL).await;
        let folder = folder.to_path_buf();
        let tested = tokio::task::spawn_blocking(move || test_disk(&folder)).await;
        if matches!(tested, Ok(Ok(()))) {
            return;
        }
    }
}

/// Writes, syncs and removes a file of the required size.
fn test_disk(folder: &Path) -> std::io::Result<()> {
    let probe = folder.join(PROBE_FILE);
    let written = std::fs::write(&probe, vec![0; Standby::REQUIRED_BYTES])
        .and_then(|()| std::fs::File::open(&probe)?.sync_all());
    let removed = std::fs::remove_file(&probe);
    written.and(removed)
}

/// Redirects calls to other controllers.
struct Redirects {
    router: Router<ApiRequest>,
    standby: Standby,
    control_port: u16,
}

impl Redirects {
    fn new(standby: Standby, control_port: u16) -> Result<Self, RouterError> {
        Ok(Self {
            router: request_router()?,
            standby,
            control_port,
        })
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.router.lookup(&call.method, &call.path) {
            Match::NotFound => return not_found(),
            Match::WrongMethod => return method_not_allowed(),
            // Inspection shows a single controller, so it can't be redirected.
            Match::Found(ApiRequest::Inspect(_), _) => return unavailable(),
            Match::Found(ApiRequest::Call(_), _) => {}
        }
        match self.standby.redirect(&call.path) {
            Some(to) => redirect(to, self.control_port, call),
            None => unavailable(),
        }
    }
}

fn unavailable() -> Reply {
    let sentence =
        "not now: the store of this controller can't be used, see its log; nothing was done";
    Reply::error(503, sentence).with("Retry-After", RETRY_AFTER)
}

#[cfg(test)]
mod tests;
