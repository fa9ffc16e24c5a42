//! Watches a server file with file system notifications and by polling. Polling covers symbolic links, replaced
//! directories and file systems without notifications. The file is read and evaluated on blocking threads.

use crate::read;
use notify::{RecursiveMode, Watcher};
use rookpulley_lists::Candidate;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// The polling interval without notifications.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the file found at the watched path.
#[derive(Debug)]
pub enum Found {
    /// A valid file.
    List(Candidate),
    /// An invalid file; the last valid one stays in force.
    Rejected(String),
    /// The file is missing or unreadable.
    Missing(String),
}

/// Device, inode, length and modification time; detects changes without reading the file.
type FileStamp = (u64, u64, u64, Option<SystemTime>);

fn file_stamp(path: &Path) -> Result<FileStamp, String> {
    let metadata = std::fs::metadata(path).map_err(|e| e.to_string())?;
    // Opening or reading a pipe or device may block forever.
    if !metadata.is_file() {
        return Err("it is no plain file".into());
    }
    Ok((
        metadata.dev(),
        metadata.ino(),
        metadata.len(),
        metadata.modified().ok(),
    ))
}

/// Reads a regular file, up to one byte more than `MAX_BYTES` so that larger files are detected.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, String> {
    file_stamp(path)?;
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| e.to_string())?;
    file.take(read::MAX_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    Ok(bytes)
}

/// Checks the file once; returns `None` if it has not changed.
fn poll_file(path: &Path, last: &mut LastRead) -> Option<Found> {
    let found = file_stamp(path);
    let changed = last.stamp.as_ref() != Some(&found);
    // Two writes within the resolution of the modification time have equal stamps, so recently modified files are
    // always read.
    let age = found
        .as_ref()
        .ok()
        .and_then(|m| m.3)
        .and_then(|t| t.elapsed().ok());
    let fresh = age.is_none_or(|age| age < 2 * POLL_INTERVAL);
    if !changed && !fresh {
        return None;
    }
    last.stamp = Some(found);
    let (hash, found) = match read_bytes(path) {
        Err(why) => (None, Found::Missing(why)),
        Ok(bytes) => {
            let hash = Some(blake3::hash(&bytes));
            if last.hash == Some(hash) {
                return None;
            }
            let found = match read::read(path, &bytes) {
                Ok(list) => Found::List(list),
                Err(why) => Found::Rejected(why.to_string()),
            };
            (hash, found)
        }
    };
    let is_new = last.hash != Some(hash);
    last.hash = Some(hash);
    is_new.then_some(found)
}

#[derive(Default)]
struct LastRead {
    stamp: Option<Result<FileStamp, String>>,
    /// The hash of the last content; the inner value is `None` if the file was missing.
    hash: Option<Option<blake3::Hash>>,
}

/// A notification watcher on the directory of the file, with the identity of the directory.
struct FolderWatcher {
    _watcher: notify::RecommendedWatcher,
    folder: (u64, u64),
}

fn folder_of(path: &Path) -> &Path {
    path.parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

/// Device and inode of a directory; detects that it was replaced.
fn folder_id(folder: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(folder)
        .ok()
        .map(|metadata| (metadata.dev(), metadata.ino()))
}

fn watch_folder(path: &Path, changes: &Arc<Notify>) -> Option<FolderWatcher> {
    let folder = folder_of(path);
    let current_id = folder_id(folder)?;
    let notify = changes.clone();
    let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        // Ignores access events, which reading the file causes.
        if !event.is_ok_and(|e| e.kind.is_access()) {
            notify.notify_one();
        }
    });
    let mut watcher = watcher.ok()?;
    watcher.watch(folder, RecursiveMode::NonRecursive).ok()?;
    Some(FolderWatcher {
        _watcher: watcher,
        folder: current_id,
    })
}

/// Watches the file until the receiver is closed.
pub async fn follow(path: PathBuf, found: mpsc::Sender<Found>) {
    let changes = Arc::new(Notify::new());
    let (mut last, mut folder_watcher) = (LastRead::default(), None);
    loop {
        let (place, notify) = (path.clone(), changes.clone());
        let polled = tokio::task::spawn_blocking(move || {
            // A watcher on a replaced directory receives no events for the new one.
            if folder_watcher.as_ref().map(|e: &FolderWatcher| e.folder)
                != folder_id(folder_of(&place))
            {
                folder_watcher = watch_folder(&place, &notify);
            }
            let new_state = poll_file(&place, &mut last);
            (last, folder_watcher, new_state)
        });
        let Ok((polled_last, polled_watcher, new_state)) = polled.await else {
            return;
        };
        (last, folder_watcher) = (polled_last, polled_watcher);
        if let Some(new_state) = new_state
            && found.send(new_state).await.is_err()
        {
            return;
        }
        tokio::select! {
            () = found.closed() => return,
            _ = timeout(POLL_INTERVAL, changes.notified()) => {}
        }
    }
}
