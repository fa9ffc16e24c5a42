//! Another store in the place of one that no process uses.
//!
//! Invariant: it is written aside and synced whole, and that it gets its final name is one step. Before it the old store
//! counts, after it the new one, whichever of them is found where the store belongs.

use crate::database::{
    CHAIN, FOLDER, IDENTITY, INSTANCES, PAGES, RETRY, open_at, sync_all, sync_folder,
};
use crate::inspect::{Contents, InspectError};
use crate::placement::{NEXT, finish_replacement, replaced_store};
use crate::rows::RowWriter;
use rookpulley_chain::Record;
use std::fs::{File, TryLockError, remove_dir_all, rename};
use std::io::{Error, ErrorKind};
use std::path::Path;

/// A store that is half written.
const MAKING: &str = "store.making";
/// How often the lock is asked for, each time after a tenth of `RETRY`.
const LOCK_RETRIES: u32 = 100;

/// Nobody else may open the store as long as the file is held. `sled` may let go of its lock a little after its owner is
/// gone.
fn lock(pages: &Path) -> Result<File, Error> {
    let file = File::options().read(true).write(true).open(pages)?;
    for _ in 0..LOCK_RETRIES {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) => std::thread::sleep(RETRY / 10),
            Err(TryLockError::Error(why)) => return Err(why),
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

/// Gives the controller in this folder another identity and other rows of the chain. What it knows of instances stays;
/// `old` is what `inspect` has just shown. The store as it was is kept beside.
pub fn replace(
    folder: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), InspectError> {
    let at = folder.join(FOLDER);
    let failed = |why| InspectError::Unwritten(folder.into(), why);
    let replaced = replaced_store(folder);
    if replaced.exists() {
        return Err(InspectError::ReplacedStoreExists(replaced));
    }
    let _lock = lock(&at.join(PAGES)).map_err(|why| match why.kind() {
        ErrorKind::WouldBlock => InspectError::InUse(at.clone()),
        _ => failed(why),
    })?;
    write_next(folder, old, identity, chain).map_err(failed)?;
    finish_replacement(folder).map_err(failed)
}

fn write_next(folder: &Path, old: &Contents, identity: u64, chain: &[Record]) -> Result<(), Error> {
    let making = folder.join(MAKING);
    if making.exists() {
        remove_dir_all(&making)?;
    }
    write_store(&making, old, identity, chain)?;
    let _lock = lock(&making.join(PAGES))?;
    sync_all(&making)?;
    rename(&making, folder.join(NEXT))?;
    sync_folder(folder)
}

fn write_store(
    making: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), sled::Error> {
    let db = open_at(making)?;
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
