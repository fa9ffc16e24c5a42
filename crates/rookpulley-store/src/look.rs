//! What is in a store that no process uses, read in place.

use crate::replace::settle;
use crate::rows::{Long, Rows};
use crate::store::{CHAIN, FOLDER, IDENTITY, INCARNATIONS, caught, in_use, open_at, sync_all};
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LookError {
    #[error("there is no controller's store in {0}")]
    #[diagnostic(help("give the dataDirectory of a controller's settings"))]
    Nothing(PathBuf),
    #[error("the store in {0} is in use by a process")]
    #[diagnostic(help("ask that controller by `rookpulley gateway show`, or end it first"))]
    InUse(PathBuf),
    #[error("the store in {0} can't be read: {1}")]
    #[diagnostic(help("read it as the user that the controller runs as"))]
    Refused(PathBuf, std::io::Error),
    #[error("the store in {0} is spoilt: {1}")]
    #[diagnostic(help(
        "let the controller start: it begins such a store anew and is filled by the others"
    ))]
    Spoilt(PathBuf, sled::Error),
    #[error("another store can't be put into {0}: {1}")]
    #[diagnostic(help(
        "write as the user that the controller runs as, and look at the disk; the store is the old one or the new one, whole"
    ))]
    Unwritten(PathBuf, std::io::Error),
    #[error("{0} is there from an earlier time, and would be lost")]
    #[diagnostic(help("move it elsewhere, and ask again"))]
    Before(PathBuf),
}

/// The rows as they stand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// None: no controller has begun to use it.
    pub identity: Option<u64>,
    pub chain: Rows,
    pub incarnations: Rows,
    pub bytes_on_disk: u64,
}

/// Reads the store in a controller's data folder. It is opened in place, as a controller opens it at its start: an end that
/// was torn is mended, a replacement that was begun is ended, and nothing else is written.
pub fn look(folder: &Path) -> Result<Contents, LookError> {
    let at = folder.join(FOLDER);
    let refused = |why| LookError::Refused(at.clone(), why);
    settle(folder).map_err(refused)?;
    // Where there is none, opening would make one.
    if !at.join("conf").is_file() || !at.join("db").is_file() {
        return Err(LookError::Nothing(folder.into()));
    }
    // `sled` writes before it asks for its lock.
    let file = File::options()
        .read(true)
        .write(true)
        .open(at.join("db"))
        .map_err(refused)?;
    match file.try_lock() {
        Ok(()) => drop(file),
        Err(TryLockError::WouldBlock) => return Err(LookError::InUse(at)),
        Err(TryLockError::Error(why)) => return Err(refused(why)),
    }
    let db = open_at(&at).map_err(|why| match why {
        why if in_use(&why) => LookError::InUse(at.clone()),
        sled::Error::Io(why) if why.raw_os_error().is_some() => refused(why),
        why => LookError::Spoilt(at.clone(), why),
    })?;
    let contents = caught(|| contents(&db)).map_err(|why| LookError::Spoilt(at.clone(), why))?;
    drop(db);
    sync_all(&at).map_err(refused)?;
    Ok(contents)
}

fn contents(db: &sled::Db) -> Result<Contents, sled::Error> {
    let names = db.tree_names();
    let rows = |name: &str| -> Result<Rows, sled::Error> {
        if !names.iter().any(|held| held == name.as_bytes()) {
            return Ok(Rows::new());
        }
        Ok(Long::read(&db.open_tree(name)?)?.0)
    };
    let identity = db
        .get(IDENTITY)?
        .and_then(|value| value.as_ref().try_into().ok());
    Ok(Contents {
        identity: identity.map(u64::from_le_bytes),
        chain: rows(CHAIN)?,
        incarnations: rows(INCARNATIONS)?,
        bytes_on_disk: db.size_on_disk()?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Part, Store};
    use rookpulley_chain::Record;

    /// `sled` may let go of its lock a little after its owner is gone.
    fn looked(folder: &Path) -> Contents {
        loop {
            match look(folder) {
                Err(LookError::InUse(_)) => std::thread::yield_now(),
                seen => return seen.unwrap(),
            }
        }
    }

    #[test]
    fn a_look_shows_what_was_written_and_changes_nothing_of_it() {
        let folder = tempfile::tempdir().unwrap();
        assert!(matches!(look(folder.path()), Err(LookError::Nothing(_))));
        assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
        let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, None, said).unwrap();
        let put = |key: &str| Record::Put {
            key: key.into(),
            value: vec![1; 9],
        };
        assert!(store.write(Part::Chain, 1, vec![put("a"), put("b")]));
        assert!(store.write(Part::Incarnations, 1, vec![put("i-1")]));
        drop(store);
        while heard.blocking_recv().is_some() {}
        let seen = looked(folder.path());
        assert_eq!(
            (seen.identity, seen.chain.len(), seen.incarnations.len()),
            (Some(7), 2, 1)
        );
        assert_eq!(looked(folder.path()), seen);
        let (said, _heard) = tokio::sync::mpsc::unbounded_channel();
        let again = Store::open(folder.path(), 8, None, said).unwrap();
        assert_eq!(
            (again.identity, again.new, &again.held),
            (7, false, &seen.chain)
        );
    }

    #[test]
    fn a_spoilt_store_is_told_of_and_stays() {
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir_all(folder.path().join("store")).unwrap();
        std::fs::write(folder.path().join("store/db"), vec![0xa5; 1 << 20]).unwrap();
        std::fs::write(folder.path().join("store/conf"), b"nothing that sled wrote").unwrap();
        assert!(matches!(look(folder.path()), Err(LookError::Spoilt(..))));
        assert!(folder.path().join("store/db").is_file());
    }
}
