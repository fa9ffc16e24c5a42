//! Follows a server file: by notification where the system gives it, and by looking in any case, so that links,
//! folders that are replaced and file systems that tell nothing are followed, too. Reading and checking the script
//! happen on threads of their own; nobody waits for them.

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

/// So often the file is looked at where nothing is told of it.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// What was found at the file's place.
#[derive(Debug)]
pub enum Found {
    /// A whole file.
    List(Candidate),
    /// One that is not taken; the last good one stays in force.
    Rejected(String),
    /// There is none, or it can't be read.
    Missing(String),
}

/// What tells one state of a file from another without reading it.
type Mark = (u64, u64, u64, Option<SystemTime>);

fn mark(path: &Path) -> Result<Mark, String> {
    let told = std::fs::metadata(path).map_err(|e| e.to_string())?;
    // A pipe or a device may never end, and opening one may wait.
    if !told.is_file() {
        return Err("it is no plain file".into());
    }
    Ok((told.dev(), told.ino(), told.len(), told.modified().ok()))
}

/// A plain file's bytes, up to one more than are allowed.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, String> {
    mark(path)?;
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| e.to_string())?;
    file.take(read::MAX_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    Ok(bytes)
}

/// Looks once; None where it is as it was.
fn look(path: &Path, last: &mut Last) -> Option<Found> {
    let found = mark(path);
    let changed = last.mark.as_ref() != Some(&found);
    // A file written twice within the clock's grain looks the same: what is fresh is read again.
    let age = found
        .as_ref()
        .ok()
        .and_then(|m| m.3)
        .and_then(|t| t.elapsed().ok());
    let fresh = age.is_none_or(|age| age < 2 * POLL_INTERVAL);
    if !changed && !fresh {
        return None;
    }
    last.mark = Some(found);
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
    let news = last.hash != Some(hash);
    last.hash = Some(hash);
    news.then_some(found)
}

#[derive(Default)]
struct Last {
    mark: Option<Result<Mark, String>>,
    /// Of the bytes last read; None within: there was no file.
    hash: Option<Option<blake3::Hash>>,
}

/// Tells of the file's folder; none where the system gives no notifications.
struct Ear {
    _watcher: notify::RecommendedWatcher,
    folder: (u64, u64),
}

fn folder_of(path: &Path) -> &Path {
    path.parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

/// What tells one folder from another at the same place.
fn id(folder: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(folder)
        .ok()
        .map(|told| (told.dev(), told.ino()))
}

fn listen(path: &Path, stirred: &Arc<Notify>) -> Option<Ear> {
    let folder = folder_of(path);
    let here = id(folder)?;
    let stir = stirred.clone();
    let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
        // Reading the file is an event as well.
        if !event.is_ok_and(|e| e.kind.is_access()) {
            stir.notify_one();
        }
    });
    let mut watcher = watcher.ok()?;
    watcher.watch(folder, RecursiveMode::NonRecursive).ok()?;
    Some(Ear {
        _watcher: watcher,
        folder: here,
    })
}

/// Follows the file for as long as somebody listens.
pub async fn follow(path: PathBuf, found: mpsc::Sender<Found>) {
    let stirred = Arc::new(Notify::new());
    let (mut last, mut ear) = (Last::default(), None);
    loop {
        let (place, stir) = (path.clone(), stirred.clone());
        let looked = tokio::task::spawn_blocking(move || {
            // A folder that was replaced tells nothing of the new one.
            if ear.as_ref().map(|e: &Ear| e.folder) != id(folder_of(&place)) {
                ear = listen(&place, &stir);
            }
            let news = look(&place, &mut last);
            (last, ear, news)
        });
        let Ok((was, heard, news)) = looked.await else {
            return;
        };
        (last, ear) = (was, heard);
        if let Some(news) = news
            && found.send(news).await.is_err()
        {
            return;
        }
        tokio::select! {
            () = found.closed() => return,
            _ = timeout(POLL_INTERVAL, stirred.notified()) => {}
        }
    }
}
