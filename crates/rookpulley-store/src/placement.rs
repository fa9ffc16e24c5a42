//! Which of the stores in a folder counts, and how one takes the place of another.

use crate::database::{FOLDER, sync_folder};
use std::fs::{remove_dir_all, rename};
use std::io::Error;
use std::path::{Path, PathBuf};

/// A store that is complete and not in its place yet.
pub(crate) const NEXT: &str = "store.next";
/// The store that another one took the place of.
pub(crate) const REPLACED: &str = "store.before";

/// Puts a store that was written whole into its place, where a crash has kept that from being done.
pub(crate) fn finish_replacement(folder: &Path) -> Result<(), Error> {
    let at = folder.join(FOLDER);
    let next = folder.join(NEXT);
    if !next.exists() {
        return Ok(());
    }
    if at.exists() {
        rename(&at, folder.join(REPLACED))?;
    }
    rename(&next, &at)?;
    sync_folder(folder)
}

/// Takes a store out of its place. The first that is put aside is kept beside it, as the operator may still want it.
pub(crate) fn put_aside(folder: &Path) -> Result<(), Error> {
    let at = folder.join(FOLDER);
    let replaced = folder.join(REPLACED);
    if replaced.exists() {
        remove_dir_all(at)
    } else {
        rename(at, replaced)
    }
}

/// Where the store is kept that another one took the place of.
pub fn replaced_store(folder: &Path) -> PathBuf {
    folder.join(REPLACED)
}
