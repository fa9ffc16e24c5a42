//! The folder of a store, its files, and how `sled` is opened.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where in its data folder a controller has its store.
pub const FOLDER: &str = "store";
/// The file in which `sled` has its pages.
pub const PAGES: &str = "db";
/// The trees, by name. They are part of the format.
pub const CHAIN: &str = "chain";
pub const INSTANCES: &str = "lives";
/// Of this tree only that it is written to matters, see `writer`.
pub const SWEEP: &str = "sweep";
/// Rows of the default tree.
pub const IDENTITY: &[u8] = b"identity";
pub const BOOTSTRAP: &[u8] = b"founder";

/// A store that another process is letting go of is tried again after such a pause.
pub const RETRY: Duration = Duration::from_millis(100);
const CACHE_BYTES: u64 = 2 << 20;

/// Whether another process has the store. `sled` says it in words only.
pub fn is_in_use(why: &sled::Error) -> bool {
    let says_so = |why: &std::io::Error| why.to_string().starts_with("could not acquire lock");
    matches!(why, sled::Error::Io(io) if io.raw_os_error().is_none() && says_so(io))
}

/// Whether the system refuses something. What it refuses now it may grant soon.
pub fn is_refused(why: &sled::Error) -> bool {
    matches!(why, sled::Error::Io(io) if io.raw_os_error().is_some())
}

/// Something is there that this build can't have written.
pub fn corrupted(what: &str) -> sled::Error {
    sled::Error::ReportableBug(what.into())
}

/// Syncs all files in a folder, and the folder, all at the same time. Whoever opens a store waits for all of them, and on
/// the bench's disks that is shorter than one after the other (`docs/results.md`).
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
        // All are waited for, whichever fails.
        let results = syncs.into_iter().map(|sync| {
            let panicked = |_| Err(std::io::ErrorKind::Other.into());
            sync?.join().unwrap_or_else(panicked)
        });
        results.fold(Ok(()), std::io::Result::and)
    })
}

/// A folder and all that is below it.
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

/// Syncs which files a folder has.
pub fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// A corrupted store may make `sled` panic, when it is opened and also when it is read: that is an error as well.
pub fn catch_panic<T>(work: impl FnOnce() -> Result<T, sled::Error>) -> Result<T, sled::Error> {
    let work = std::panic::AssertUnwindSafe(work);
    std::panic::catch_unwind(work).unwrap_or_else(|_| Err(corrupted("it can't be read")))
}

/// Opens the store in a folder, or makes one.
pub fn open_at(folder: &Path) -> Result<sled::Db, sled::Error> {
    let config = sled::Config::new()
        .path(folder)
        .cache_capacity(CACHE_BYTES)
        .flush_every_ms(None)
        .mode(sled::Mode::LowSpace);
    catch_panic(|| config.open())
}

/// Reads the identity that was minted with a store.
pub fn identity(db: &sled::Db) -> Result<Option<u64>, sled::Error> {
    let row = db.get(IDENTITY)?;
    let bytes = row.and_then(|row| row.as_ref().try_into().ok());
    Ok(bytes.map(u64::from_le_bytes))
}
