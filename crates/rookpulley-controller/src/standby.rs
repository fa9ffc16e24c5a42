//! A controller whose store can't be used: its disk is full, refuses or hangs.
//!
//! It is in no chain and says so to nobody: to the others it is a controller that is down, since one without a disk has
//! a say in who founds the first view, which this one must not have. Calls are answered with another controller's
//! address, or with 503 where none is known, so that nothing is done here. It looks for room on the disk until there is
//! some; what the disk holds is where the next incarnation begins.

use crate::calls::{Asked, tree};
use crate::controller::{StoreLoss, listen_at};
use crate::ending::{self, Signals};
use miette::IntoDiagnostic;
use rookpulley_api::{Bounds, Call, Match, Reply, Tree};
use rookpulley_runtime::File;
use rookpulley_settings::Node;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// How often the disk is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// A store can't go on with less room than this.
const ROOM_BYTES: usize = 1 << 20;
const PROBE: &str = "room.probe";
/// In seconds.
const RETRY_AFTER: &str = "0.2";

/// Why it is over.
#[derive(Debug, PartialEq)]
pub enum Standby {
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
    path: PathBuf,
    signals: &mut Signals,
) -> miette::Result<Standby> {
    tracing::error!(
        "store: {}; going on without it, calls are passed on",
        loss.why
    );
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let calls = Rc::new(Redirect::new(node, control, &loss).into_diagnostic()?);
    let handler = Rc::new(move |call: Call| std::future::ready(calls.answer(&call)));
    let listener = listen_at(control)?;
    let server = tokio::task::spawn_local(rookpulley_api::serve(
        listener,
        Bounds::default(),
        stopped,
        handler,
    ));
    tokio::select! {
        () = signals.wait(File::new(path), |_| ()) => {
            ending::close(node, stop, server).await;
            Ok(Standby::Stopped)
        }
        () = room(folder) => {
            tracing::info!("store: there is room again");
            Ok(Standby::StoreUsable)
        }
    }
}

/// Returns once there is room on the disk.
async fn room(folder: &Path) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let folder = folder.to_path_buf();
        if matches!(
            tokio::task::spawn_blocking(move || probe(&folder)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

fn probe(folder: &Path) -> std::io::Result<()> {
    let at = folder.join(PROBE);
    let wrote = std::fs::write(&at, vec![0; ROOM_BYTES])
        .and_then(|()| std::fs::File::open(&at)?.sync_all());
    let removed = std::fs::remove_file(&at);
    wrote.and(removed)
}

/// Sends calls to other controllers.
struct Redirect {
    tree: Tree<Asked>,
    others: Vec<Ipv4Addr>,
    control_port: u16,
}

impl Redirect {
    fn new(
        node: &Node,
        control: SocketAddrV4,
        loss: &StoreLoss,
    ) -> Result<Self, rookpulley_api::TreeError> {
        let known = if loss.others.is_empty() {
            &node.seeds
        } else {
            &loss.others
        };
        let others = known
            .iter()
            .map(|other| *other.ip())
            .filter(|ip| *ip != node.ip)
            .collect();
        Ok(Self {
            tree: tree()?,
            others,
            control_port: control.port(),
        })
    }

    fn answer(&self, call: &Call) -> Reply {
        match self.tree.lookup(&call.method, &call.path) {
            Match::Nothing => return Reply::error(404, "there is no such call"),
            Match::WrongMethod => {
                return Reply::error(405, "there is no such call with this method");
            }
            // What is shown is of one controller alone.
            Match::Found(Asked::Show(_), _) => return not_now(),
            Match::Found(Asked::Call(_), _) => {}
        }
        let Some(to) = self.another(&call.path) else {
            return not_now();
        };
        let query = if call.query.is_empty() {
            String::new()
        } else {
            format!("?{}", call.query)
        };
        let location = format!("http://{to}:{}{}{query}", self.control_port, call.path);
        Reply::empty(307).with("Location", location)
    }

    /// The same one for the same call.
    fn another(&self, path: &str) -> Option<Ipv4Addr> {
        let mut hasher = DefaultHasher::new();
        path.hash(&mut hasher);
        let at = (hasher.finish() % self.others.len().max(1) as u64) as usize;
        self.others.get(at).copied()
    }
}

fn not_now() -> Reply {
    let sentence =
        "not now: the store of this controller can't be used, see its log; nothing was done";
    Reply::error(503, sentence).with("Retry-After", RETRY_AFTER)
}

#[cfg(test)]
mod tests;
