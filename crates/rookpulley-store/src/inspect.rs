//! What is in a store that no process uses, read in place.

use crate::database::{
    CHAIN, FOLDER, INSTANCES, PAGES, catch_panic, identity, is_in_use, open_at, sync_all,
};
use crate::placement::finish_replacement;
use crate::rows::{RowWriter, Rows};
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

/// Why a store can't be inspected or replaced.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum InspectError {
    /// There is none in this folder.
    #[error("there is no controller's store in {0}")]
    #[diagnostic(help("give the dataDirectory of a controller's settings"))]
    Nothing(PathBuf),
    /// A process has it.
    #[error("the store in {0} is in use by a process")]
    #[diagnostic(help("ask that controller by `rookpulley gateway show`, or end it first"))]
    InUse(PathBuf),
    /// The system refuses something.
    #[error("the store in {0} can't be read: {1}")]
    #[diagnostic(help("read it as the user that the controller runs as"))]
    Refused(PathBuf, #[source] std::io::Error),
    /// It can't have been written so.
    #[error("the store in {0} is spoilt: {1}")]
    #[diagnostic(help(
        "let the controller start: it begins such a store anew and is filled by the others"
    ))]
    Corrupted(PathBuf, #[source] sled::Error),
    /// Another one can't be written.
    #[error("another store can't be put into {0}: {1}")]
    #[diagnostic(help(
        "write as the user that the controller runs as, and look at the disk; the store is the old one or the new one, whole"
    ))]
    Unwritten(PathBuf, #[source] std::io::Error),
    /// A store that was replaced earlier is still there.
    #[error("{0} is there from an earlier time, and would be lost")]
    #[diagnostic(help("move it elsewhere, and ask again"))]
    ReplacedStoreExists(PathBuf),
}

/// The rows as they stand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// None: no controller has begun to use it.
    pub identity: Option<u64>,
    /// Of the chain.
    pub chain_rows: Rows,
    /// Of instances.
    pub instance_rows: Rows,
    /// The size of its files.
    pub bytes_on_disk: u64,
}

/// Reads the store in a controller's data folder. It is opened in place, as a controller opens it at its start: a torn end
/// is repaired, a replacement that was begun is finished, and nothing else is written.
pub fn inspect(folder: &Path) -> Result<Contents, InspectError> {
    let at = folder.join(FOLDER);
    let refused = |why| InspectError::Refused(at.clone(), why);
    finish_replacement(folder).map_err(refused)?;
    // Where there is none, opening would make one.
    let pages = at.join(PAGES);
    if !at.join("conf").is_file() || !pages.is_file() {
        return Err(InspectError::Nothing(folder.into()));
    }
    // `sled` writes before it asks for its lock.
    let file = File::options().read(true).write(true).open(pages);
    let file = file.map_err(refused)?;
    match file.try_lock() {
        Ok(()) => drop(file),
        Err(TryLockError::WouldBlock) => return Err(InspectError::InUse(at)),
        Err(TryLockError::Error(why)) => return Err(refused(why)),
    }
    let db = open_at(&at).map_err(|why| match why {
        why if is_in_use(&why) => InspectError::InUse(at.clone()),
        sled::Error::Io(why) if why.raw_os_error().is_some() => refused(why),
        why => InspectError::Corrupted(at.clone(), why),
    })?;
    let contents = catch_panic(|| contents(&db));
    let contents = contents.map_err(|why| InspectError::Corrupted(at.clone(), why))?;
    drop(db);
    sync_all(&at).map_err(refused)?;
    Ok(contents)
}

fn contents(db: &sled::Db) -> Result<Contents, sled::Error> {
    Ok(Contents {
        identity: identity(db)?,
        chain_rows: rows_of(db, CHAIN)?,
        instance_rows: rows_of(db, INSTANCES)?,
        bytes_on_disk: db.size_on_disk()?,
    })
}

/// A tree that isn't there is not made.
fn rows_of(db: &sled::Db, tree: &str) -> Result<Rows, sled::Error> {
    let is_there = db.tree_names().iter().any(|name| name == tree.as_bytes());
    if !is_there {
        return Ok(Rows::new());
    }
    let (rows, _) = RowWriter::read(&db.open_tree(tree)?)?;
    Ok(rows)
}

#[cfg(test)]
mod tests;
