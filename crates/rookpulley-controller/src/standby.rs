//! A controller whose store can't be used, on sockets and disk. What it does meanwhile decides
//! `rookpulley_control::Standby`.

use crate::api::{no_such_call, redirect, wrong_method};
use crate::incarnation::{StoreLoss, listen_at};
use crate::request::{ApiRequest, request_tree};
use crate::shutdown::{self, Signals};
use miette::IntoDiagnostic;
use rookpulley_api::{Bounds, Call, Match, Reply, Router, RouterError};
use rookpulley_control::Standby;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file by which the disk is tested.
const PROBE: &str = "room.probe";
/// In seconds.
const RETRY_AFTER: &str = "0.2";

/// Why it is over.
#[derive(Debug, PartialEq)]
pub enum StandbyEnded {
    /// The process is to end.
    Stopped,
    /// The store may be opened again.
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
        "store: {}; going on without it, calls are passed on",
        loss.why
    );
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let standby = Standby::new(node.ip, &loss.others, &node.seeds);
    let calls = Redirects::new(standby, control.port()).into_diagnostic()?;
    let calls = Rc::new(calls);
    let handler = Rc::new(move |call: Call| std::future::ready(calls.answer(&call)));
    let listener = listen_at(control)?;
    let bounds = Bounds::default();
    let api = tokio::task::spawn_local(rookpulley_api::serve(listener, bounds, stopped, handler));
    tokio::select! {
        () = signals.wait(SettingsFile::new(settings_file), |_| ()) => {
            shutdown::close(node, stop, api).await;
            Ok(StandbyEnded::Stopped)
        }
        () = wait_for_disk(folder) => {
            tracing::info!("store: there is room again");
            Ok(StandbyEnded::StoreUsable)
        }
    }
}

/// Returns once the disk takes what it must take.
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

fn test_disk(folder: &Path) -> std::io::Result<()> {
    let probe = folder.join(PROBE);
    let written = std::fs::write(&probe, vec![0; Standby::REQUIRED_BYTES])
        .and_then(|()| std::fs::File::open(&probe)?.sync_all());
    let removed = std::fs::remove_file(&probe);
    written.and(removed)
}

/// Sends calls to other controllers.
struct Redirects {
    tree: Router<ApiRequest>,
    standby: Standby,
    control_port: u16,
}

impl Redirects {
    fn new(standby: Standby, control_port: u16) -> Result<Self, RouterError> {
        Ok(Self {
            tree: request_tree()?,
            standby,
            control_port,
        })
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.tree.lookup(&call.method, &call.path) {
            Match::NotFound => return no_such_call(),
            Match::WrongMethod => return wrong_method(),
            // What could be looked at is of one controller alone.
            Match::Found(ApiRequest::Inspect(_), _) => return not_now(),
            Match::Found(ApiRequest::Call(_), _) => {}
        }
        match self.standby.redirect(&call.path) {
            Some(to) => redirect(to, self.control_port, call),
            None => not_now(),
        }
    }
}

fn not_now() -> Reply {
    let sentence =
        "not now: the store of this controller can't be used, see its log; nothing was done";
    Reply::error(503, sentence).with("Retry-After", RETRY_AFTER)
}

#[cfg(test)]
mod tests;
