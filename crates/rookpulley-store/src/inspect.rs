//! Offline inspection of a store.

use crate::database::{
    CHAIN, FOLDER, INSTANCES, PAGES, catch_panic, identity, is_in_use, open_at, sync_all,
};
use crate::lock::{LockError, lock};
use crate::placement::finish_replacement;
use crate::rows::{RowWriter, Rows};
use std::path::{Path, PathBuf};

/// Why a store can't be inspected or replaced.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum InspectError {
    /// The folder contains no store.
    #[error("there is no controller's store in {0}")]
    #[diagnostic(help("give the dataDirectory of a controller's settings"))]
    NotFound(PathBuf),
    /// A process has the store open.
    #[error("the store in {0} is in use by a process")]
    #[diagnostic(help("ask that controller by `rookpulley gateway show`, or end it first"))]
    InUse(PathBuf),
    /// A file operation failed.
    #[error("the store in {0} can't be read: {1}")]
    #[diagnostic(help("read it as the user that the controller runs as"))]
    Io(PathBuf, #[source] std::io::Error),
    /// The content of the store is invalid.
    #[error("the store in {0} is corrupted: {1}")]
    #[diagnostic(help(
        "start the controller: it replaces a corrupted store by an empty one and catches up from the others"
    ))]
    Corrupted(PathBuf, #[source] sled::Error),
    /// The new store can't be written.
    #[error("the store in {0} can't be replaced: {1}")]
    #[diagnostic(help(
        "write as the user that the controller runs as, and check the disk; either the old or the new store is in place, complete"
    ))]
    ReplaceFailed(PathBuf, #[source] std::io::Error),
    /// A store from an earlier replacement still exists.
    #[error("{0} is there from an earlier replacement and would be overwritten")]
    #[diagnostic(help("move it elsewhere, and try again"))]
    ReplacedStoreExists(PathBuf),
}

/// The content of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// None if no controller has used the store yet.
    pub identity: Option<u64>,
    /// Rows of the chain.
    pub chain_rows: Rows,
    /// Rows of the instances.
    pub instance_rows: Rows,
    /// The size of the store on disk.
    pub bytes_on_disk: u64,
}

/// Reads the store in a controller's data folder. It is opened in place as by a starting controller: an interrupted
/// replacement is finished and a torn log tail is repaired, but the content stays unchanged.
pub fn inspect(folder: &Path) -> Result<Contents, InspectError> {
    let at = folder.join(FOLDER);
    let io_error = |error| InspectError::Io(at.clone(), error);
    finish_replacement(folder).map_err(io_error)?;
    // Opening would create a missing store.
    let pages = at.join(PAGES);
    if !at.join("conf").is_file() || !pages.is_file() {
        return Err(InspectError::NotFound(folder.into()));
    }
    // Checks the lock first, as `sled` writes before it takes the lock.
    match lock(&pages) {
        Ok(lock) => drop(lock),
        Err(LockError::Held) => return Err(InspectError::InUse(at)),
        Err(LockError::Io(error)) => return Err(io_error(error)),
    }
    let db = open_at(&at).map_err(|error| match error {
        error if is_in_use(&error) => InspectError::InUse(at.clone()),
        sled::Error::Io(error) if error.raw_os_error().is_some() => io_error(error),
        error => InspectError::Corrupted(at.clone(), error),
    })?;
    let contents = catch_panic(|| contents(&db));
    let contents = contents.map_err(|error| InspectError::Corrupted(at.clone(), error))?;
    drop(db);
    sync_all(&at).map_err(io_error)?;
    Ok(contents)
}

fn contents(db: &sled::Db) -> Result<Contents, sled::Error> {
    Ok(Contents {
        identity: identity(db)?,
        chain_rows: read_rows(db, CHAIN)?,
        instance_rows: read_rows(db, INSTANCES)?,
        bytes_on_disk: db.size_on_disk()?,
    })
}

/// Reads the rows of a tree, without creating a missing one.
fn read_rows(db: &sled::Db, tree: &str) -> Result<Rows, sled::Error> {
    let exists = db.tree_names().iter().any(|name| name == tree.as_bytes());
    if !exists {
        return Ok(Rows::new());
    }
    let (rows, _) = RowWriter::read(&db.open_tree(tree)?)?;
    Ok(rows)
}

#[cfg(test)]
mod tests;
