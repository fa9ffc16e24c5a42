//! Another store in the place of one that no process uses.
//!
//! It is written aside and synced whole. That it gets its final name is one step: before it the old store counts,
//! after it the new one, whichever of them is found where the store belongs.

use crate::look::{Contents, LookError};
use crate::rows::Long;
use crate::store::{AGAIN, CHAIN, FOLDER, IDENTITY, INCARNATIONS, PATIENCE, open_at, sync_all};
use rookpulley_chain::Record;
use std::fs::{File, TryLockError, remove_dir_all, rename};
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};

/// Half written, whole and not in its place yet, and what it took the place of.
const MAKING: &str = "store.making";
const NEXT: &str = "store.next";
const BEFORE: &str = "store.before";

/// Puts a store that was written whole into its place, where a crash has kept that from being done.
pub(crate) fn settle(folder: &Path) -> Result<(), Error> {
    let (at, next) = (folder.join(FOLDER), folder.join(NEXT));
    if !next.exists() {
        return Ok(());
    }
    if at.exists() {
        rename(&at, folder.join(BEFORE))?;
    }
    rename(&next, &at)?;
    File::open(folder)?.sync_all()
}

/// Takes a store out of its place. The first that is put aside is kept beside it, as the operator may still want it.
pub(crate) fn put_aside(folder: &Path) -> Result<(), Error> {
    let (at, before) = (folder.join(FOLDER), folder.join(BEFORE));
    if before.exists() {
        remove_dir_all(at)
    } else {
        rename(at, before)
    }
}

/// Where the store is kept that another one took the place of.
pub fn before(folder: &Path) -> PathBuf {
    folder.join(BEFORE)
}

/// Has it to itself as long as the file is held. `sled` may let go of its lock a little after its owner is gone.
fn held(db: &Path) -> Result<File, Error> {
    let file = File::options().read(true).write(true).open(db)?;
    for _ in 0..PATIENCE {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) => std::thread::sleep(AGAIN / 10),
            Err(TryLockError::Error(why)) => return Err(why),
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

/// Gives the controller in this folder another identity and other rows of the chain. What it knows of tasks stays; `old` is
/// what `look` has just shown. The store as it was is kept beside.
pub fn replace(
    folder: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), LookError> {
    let at = folder.join(FOLDER);
    let failed = |why| LookError::Unwritten(folder.into(), why);
    if before(folder).exists() {
        return Err(LookError::Before(before(folder)));
    }
    // Nobody may open the old one meanwhile.
    let _held = held(&at.join("db")).map_err(|why| match why.kind() {
        ErrorKind::WouldBlock => LookError::InUse(at.clone()),
        _ => failed(why),
    })?;
    write_whole(folder, old, identity, chain).map_err(failed)?;
    settle(folder).map_err(failed)
}

fn write_whole(
    folder: &Path,
    old: &Contents,
    identity: u64,
    chain: &[Record],
) -> Result<(), Error> {
    let making = folder.join(MAKING);
    if making.exists() {
        remove_dir_all(&making)?;
    }
    fill(&making, old, identity, chain)?;
    let _held = held(&making.join("db"))?;
    sync_all(&making)?;
    rename(&making, folder.join(NEXT))?;
    File::open(folder)?.sync_all()
}

fn fill(making: &Path, old: &Contents, identity: u64, chain: &[Record]) -> Result<(), sled::Error> {
    let db = open_at(making)?;
    db.insert(IDENTITY, &identity.to_le_bytes())?;
    let incarnations = old.incarnations.iter().map(|(key, value)| Record::Put {
        key: key.clone(),
        value: value.clone(),
    });
    for (tree, records) in [
        (CHAIN, chain.to_vec()),
        (INCARNATIONS, incarnations.collect()),
    ] {
        let (mut long, mut batch) = (Long::default(), sled::Batch::default());
        records
            .into_iter()
            .for_each(|record| long.write(record, &mut batch));
        db.open_tree(tree)?.apply_batch(batch)?;
    }
    db.flush()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Part, Store, look};

    fn put(key: &str) -> Record {
        Record::Put {
            key: key.into(),
            value: vec![1; 9],
        }
    }

    /// What is in the store once nobody has it any more.
    fn looked(folder: &Path) -> Contents {
        loop {
            match look(folder) {
                Err(LookError::InUse(_)) => std::thread::yield_now(),
                seen => return seen.unwrap(),
            }
        }
    }

    fn a_store() -> (tempfile::TempDir, Contents) {
        let folder = tempfile::tempdir().unwrap();
        let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, None, said).unwrap();
        assert!(store.write(Part::Chain, 1, vec![put("a")]));
        assert!(store.write(Part::Incarnations, 1, vec![put("i-1")]));
        drop(store);
        while heard.blocking_recv().is_some() {}
        let old = looked(folder.path());
        (folder, old)
    }

    fn what(seen: &Contents) -> (Option<u64>, Vec<&[u8]>, Vec<&[u8]>) {
        fn keys(rows: &[(Vec<u8>, Vec<u8>)]) -> Vec<&[u8]> {
            rows.iter().map(|(key, _)| key.as_slice()).collect()
        }
        (seen.identity, keys(&seen.chain), keys(&seen.incarnations))
    }

    #[test]
    fn a_crash_at_any_step_of_a_replacement_leaves_the_old_store_or_the_new_one() {
        for step in 0..4 {
            let (folder, old) = a_store();
            let at = |name: &str| folder.path().join(name);
            let new = (Some(9), vec![&b"c"[..]], vec![&b"i-1"[..]]);
            let wanted = match step {
                // While it is written; what stands there already may be anything.
                0 => {
                    fill(&at(MAKING), &old, 9, &[put("b")]).unwrap();
                    what(&old)
                }
                // It is whole; the old one is still in its place, or it has left it.
                1 | 2 => {
                    write_whole(folder.path(), &old, 9, &[put("c")]).unwrap();
                    if step == 2 {
                        rename(at(FOLDER), at(BEFORE)).unwrap();
                    }
                    new.clone()
                }
                _ => {
                    replace(folder.path(), &old, 9, &[put("c")]).unwrap();
                    new.clone()
                }
            };
            let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
            let store = Store::open(folder.path(), 8, None, said).unwrap();
            assert_eq!(
                (Some(store.identity), store.new),
                (wanted.0, false),
                "step {step}"
            );
            drop(store);
            while heard.blocking_recv().is_some() {}
            assert_eq!(what(&looked(folder.path())), wanted, "step {step}");
            if step == 0 {
                replace(folder.path(), &old, 9, &[put("c")]).unwrap();
                assert_eq!(what(&looked(folder.path())), new);
            }
            assert!(at("store.before/db").is_file());
            let again = replace(folder.path(), &old, 10, &[put("d")]);
            assert!(matches!(again, Err(LookError::Before(_))), "{again:?}");
        }
    }

    #[test]
    fn a_store_in_use_is_not_replaced() {
        let (folder, old) = a_store();
        let (said, _heard) = tokio::sync::mpsc::unbounded_channel();
        let _store = Store::open(folder.path(), 8, None, said).unwrap();
        assert!(matches!(
            replace(folder.path(), &old, 9, &[put("c")]),
            Err(LookError::InUse(_))
        ));
        assert!(!folder.path().join(NEXT).exists() && !folder.path().join(BEFORE).exists());
    }
}
