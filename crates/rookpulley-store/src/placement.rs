//! Directories of the stores in a folder, and the renames that replace one store by another.

use crate::database::{FOLDER, sync_folder};
use std::fs::{remove_dir_all, rename};
use std::io::Error;
use std::path::{Path, PathBuf};

/// A complete store that is not yet at its final path.
pub(crate) const NEXT: &str = "store.next";
/// The previous store, kept after a replacement.
pub(crate) const REPLACED: &str = "store.before";

/// Renames a completely written store to its final path. Finishes a replacement that a crash interrupted.
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

/// Removes a store from its final path. It is kept as the replaced store for the operator unless there already is one.
pub(crate) fn move_aside(folder: &Path) -> Result<(), Error> {
    let at = folder.join(FOLDER);
    let replaced = folder.join(REPLACED);
    if replaced.exists() {
        remove_dir_all(at)
    } else {
        rename(at, replaced)
    }
}

/// Returns the path at which a replaced store is kept.
pub fn replaced_store(folder: &Path) -> PathBuf {
    folder.join(REPLACED)
}
