//! Offline replacement of a store.
//!
//! Invariant: the new store is written to a temporary directory, synced and renamed to `store.next` in one step. A crash
//! before the rename leaves the old store in effect, a crash after it the new one, whichever is at the final path.

use crate::database::{CHAIN, FOLDER, IDENTITY, INSTANCES, PAGES, open_at, sync_all, sync_folder};
use crate::inspect::{Contents, InspectError};
use crate::lock::{LockError, lock};
use crate::placement::{NEXT, finish_replacement, replaced_store};
use crate::rows::RowWriter;
use rookpulley_chain::Record;
use std::fs::{remove_dir_all, rename};
use std::io::{Error, ErrorKind};
use std::path::Path;

/// Temporary directory of a store that is being written.
const TEMPORARY: &str = "store.making";
/// Replaces the store in this folder by one with another identity and other chain rows. The instance rows are copied from
/// `old`, the result of `inspect`. The previous store is kept at `replaced_store`.
pub fn replace(
    folder: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), InspectError> {
    let at = folder.join(FOLDER);
    let failed = |error| InspectError::ReplaceFailed(folder.into(), error);
    let replaced = replaced_store(folder);
    if replaced.exists() {
        return Err(InspectError::ReplacedStoreExists(replaced));
    }
    let _lock = lock(&at.join(PAGES)).map_err(|error| match error {
        LockError::Held => InspectError::InUse(at.clone()),
        LockError::Io(error) => failed(error),
    })?;
    write_next(folder, old, identity, chain).map_err(failed)?;
    finish_replacement(folder).map_err(failed)
}

/// Writes and syncs the new store, and renames it to `store.next`.
fn write_next(folder: &Path, old: &Contents, identity: u64, chain: &[Record]) -> Result<(), Error> {
    let temporary = folder.join(TEMPORARY);
    if temporary.exists() {
        remove_dir_all(&temporary)?;
    }
    write_store(&temporary, old, identity, chain)?;
    let _lock = lock(&temporary.join(PAGES)).map_err(|error| match error {
        LockError::Held => ErrorKind::WouldBlock.into(),
        LockError::Io(error) => error,
    })?;
    sync_all(&temporary)?;
    rename(&temporary, folder.join(NEXT))?;
    sync_folder(folder)
}

fn write_store(
    temporary: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), sled::Error> {
    let db = open_at(temporary)?;
    db.insert(IDENTITY, &identity.to_le_bytes())?;
    let instances = old.instance_rows.iter().map(|(key, value)| Record::Put {
        key: key.clone(),
        value: value.clone(),
    });
    write_tree(&db, CHAIN, chain.iter().cloned())?;
    write_tree(&db, INSTANCES, instances)?;
    db.flush()?;
    Ok(())
}

fn write_tree(
    db: &sled::Db,
    tree: &str,
    records: impl Iterator<Item = Record>,
) -> Result<(), sled::Error> {
    let mut rows = RowWriter::default();
    let mut batch = sled::Batch::default();
    for record in records {
        rows.write(record, &mut batch);
    }
    db.open_tree(tree)?.apply_batch(batch)
}

#[cfg(test)]
mod tests;
