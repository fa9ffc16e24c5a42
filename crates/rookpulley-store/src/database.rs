//! File and tree names of a store, and helpers to open and sync it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Directory of the store in a controller's data folder.
pub const FOLDER: &str = "store";
/// The file in which `sled` keeps its pages.
pub const PAGES: &str = "db";
/// Names of the trees, part of the stored format.
pub const CHAIN: &str = "chain";
pub const INSTANCES: &str = "lives";
/// Tree of dummy rows that make `sled` move pages, see `writer`.
pub const SWEEP: &str = "sweep";
/// Keys of the default tree, part of the stored format.
pub const IDENTITY: &[u8] = b"identity";
pub const BOOTSTRAP: &[u8] = b"founder";

/// Pause between attempts to open a store that another process may be closing.
pub const RETRY: Duration = Duration::from_millis(100);
const CACHE_BYTES: u64 = 2 << 20;

/// Returns whether another process holds the lock of the store. `sled` reports this only in the error message.
pub fn is_in_use(error: &sled::Error) -> bool {
    let is_lock_error =
        |error: &std::io::Error| error.to_string().starts_with("could not acquire lock");
    matches!(error, sled::Error::Io(io) if io.raw_os_error().is_none() && is_lock_error(io))
}

/// Returns whether a system call failed, which may be temporary.
pub fn is_os_error(error: &sled::Error) -> bool {
    matches!(error, sled::Error::Io(io) if io.raw_os_error().is_some())
}

/// Creates the error for content that no supported build can have written.
pub fn corrupted(what: &str) -> sled::Error {
    sled::Error::ReportableBug(what.into())
}

/// Syncs a folder and all files below it in parallel, which shortens the opening of a store.
pub fn sync_all(folder: &Path) -> std::io::Result<()> {
    let paths = paths_below(folder)?;
    std::thread::scope(|scope| {
        let syncs: Vec<_> = paths
            .iter()
            .map(|path| {
                let sync = move || File::open(path)?.sync_all();
                std::thread::Builder::new().spawn_scoped(scope, sync)
            })
            .collect();
        // Joins all threads, even after an error.
        let results = syncs.into_iter().map(|sync| {
            let panicked = |_| Err(std::io::ErrorKind::Other.into());
            sync?.join().unwrap_or_else(panicked)
        });
        results.fold(Ok(()), std::io::Result::and)
    })
}

/// Returns a folder and all files and folders below it.
fn paths_below(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = vec![folder.to_path_buf()];
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            paths.extend(paths_below(&entry.path())?);
        } else {
            paths.push(entry.path());
        }
    }
    Ok(paths)
}

/// Syncs the entries of a folder.
pub fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Turns a panic into an error: `sled` may panic when it opens or reads a corrupted store.
pub fn catch_panic<T>(work: impl FnOnce() -> Result<T, sled::Error>) -> Result<T, sled::Error> {
    let work = std::panic::AssertUnwindSafe(work);
    std::panic::catch_unwind(work).unwrap_or_else(|_| Err(corrupted("sled panicked")))
}

/// Opens the database in a folder, or creates one.
pub fn open_at(folder: &Path) -> Result<sled::Db, sled::Error> {
    let config = sled::Config::new()
        .path(folder)
        .cache_capacity(CACHE_BYTES)
        .flush_every_ms(None)
        .mode(sled::Mode::LowSpace);
    catch_panic(|| config.open())
}

/// Reads the identity of a store, if it has one.
pub fn identity(db: &sled::Db) -> Result<Option<u64>, sled::Error> {
    let row = db.get(IDENTITY)?;
    let bytes = row.and_then(|row| row.as_ref().try_into().ok());
    Ok(bytes.map(u64::from_le_bytes))
}
