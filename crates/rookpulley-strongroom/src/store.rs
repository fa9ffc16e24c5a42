//! The disk: a thread that applies batches to `sled` and says which are synced.
//!
//! `flush` of sled 0.34 does not sync (measured: the last puts are lost with the power), so its file `db` is synced
//! after each flush, and the folder and all its files once after opening.

use crate::replace::settle;
use rookpulley_chain::Record;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StoreError {
    #[error("the folder {0} can't be used: {1}")]
    #[diagnostic(help("dataDirectory must name a folder that this process may write to"))]
    Folder(PathBuf, std::io::Error),
    #[error("the store in {0} is in use by another process")]
    #[diagnostic(help("let one process at a time have a dataDirectory; end the other one first"))]
    InUse(PathBuf),
    #[error("the store can't be opened, even as a new one: {0}")]
    Store(#[from] sled::Error),
    #[error("the store's thread can't be started: {0}")]
    Thread(std::io::Error),
}

/// What the store says.
#[derive(Debug)]
pub enum Said {
    /// All up to these tickets is on the disk, as far as there were any; syncing took so long.
    Synced {
        chain: Option<u64>,
        lives: Option<u64>,
        took: Duration,
    },
    Failed(String),
}

/// What a write belongs to: the chain's records, or what is known of tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    Chain,
    Lives,
}

type Job = (Part, u64, Vec<Record>);
pub(crate) type Rows = Vec<(Vec<u8>, Vec<u8>)>;

pub struct Store {
    jobs: mpsc::Sender<Job>,
    /// The identity that was minted with the disk, and whether that was just now.
    pub identity: u64,
    pub new: bool,
    pub held: Rows,
    pub lives: Rows,
}

/// A disk that refuses is asked again so often, after such a pause.
pub(crate) const PATIENCE: u32 = 100;
pub(crate) const AGAIN: Duration = Duration::from_millis(100);
pub(crate) const IDENTITY: &[u8] = b"identity";

/// Where in its data folder an office has its store.
pub(crate) const FOLDER: &str = "store";
pub(crate) const CHAIN: &str = "chain";
pub(crate) const LIVES: &str = "lives";

/// Another process has the store. `sled` tells it in words only.
pub(crate) fn in_use(why: &sled::Error) -> bool {
    let told = |why: &std::io::Error| why.to_string().starts_with("could not acquire lock");
    matches!(why, sled::Error::Io(io) if io.raw_os_error().is_none() && told(io))
}

pub(crate) fn sync_all(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            sync_all(&entry.path())?;
        } else {
            File::open(entry.path())?.sync_all()?;
        }
    }
    File::open(folder)?.sync_all()
}

/// What spoils `sled` may make it panic: that is an error as well.
pub(crate) fn open_at(folder: &Path) -> Result<sled::Db, sled::Error> {
    let open = || {
        sled::Config::new()
            .path(folder)
            .cache_capacity(2 << 20)
            .flush_every_ms(None)
            .mode(sled::Mode::LowSpace)
            .open()
    };
    std::panic::catch_unwind(open).unwrap_or(Err(sled::Error::ReportableBug(String::new())))
}

impl Store {
    /// Opens the store in a folder. One that can't be opened is an empty disk: it is set aside and begun anew.
    pub fn open(folder: &Path, mint: u64, said: UnboundedSender<Said>) -> Result<Self, StoreError> {
        Self::open_with(folder, mint, said, PATIENCE)
    }

    fn open_with(
        folder: &Path,
        mint: u64,
        said: UnboundedSender<Said>,
        patience: u32,
    ) -> Result<Self, StoreError> {
        let at = folder.join(FOLDER);
        let troubled = |e| StoreError::Folder(folder.to_path_buf(), e);
        settle(folder).map_err(troubled)?;
        std::fs::create_dir_all(&at).map_err(troubled)?;
        let mut opened = open_at(&at);
        // What the system refuses now it may grant soon; only a store that is spoilt itself is given up.
        for _ in 0..patience {
            let refused =
                |why: &sled::Error| matches!(why, sled::Error::Io(io) if io.raw_os_error().is_some());
            if !matches!(&opened, Err(why) if refused(why) || in_use(why)) {
                break;
            }
            std::thread::sleep(AGAIN);
            opened = open_at(&at);
        }
        let read = |db: &sled::Db, name| -> Result<Rows, sled::Error> {
            let tree = db.open_tree(name)?;
            tree.iter().map(|row| row.map(|(k, v)| (k.to_vec(), v.to_vec()))).collect()
        };
        let opened = opened.and_then(|db| Ok((read(&db, CHAIN)?, read(&db, LIVES)?, db)));
        let whole = |rows: &Rows| rookpulley_chain::Kept::read(rows.iter().cloned()).sound();
        let opened = opened.and_then(|(held, lives, db)| match whole(&held) {
            true => Ok((held, lives, db)),
            false => Err(sled::Error::ReportableBug("the chain's rows are torn".into())),
        });
        let (held, lives, db) = match opened {
            Ok(opened) => opened,
            Err(sled::Error::Io(why)) if why.raw_os_error().is_some() => return Err(troubled(why)),
            // Not spoilt: who has it must not lose it.
            Err(why) if in_use(&why) => return Err(StoreError::InUse(at)),
            Err(why) => {
                tracing::error!("store: can't be opened ({why}); begun anew as an empty disk");
                std::fs::remove_dir_all(&at).map_err(troubled)?;
                std::fs::create_dir_all(&at).map_err(troubled)?;
                (Vec::new(), Vec::new(), open_at(&at)?)
            }
        };
        let kept = db.get(IDENTITY)?.and_then(|v| v.as_ref().try_into().ok().map(u64::from_le_bytes));
        let (held, lives) = if kept.is_some() { (held, lives) } else { (Vec::new(), Vec::new()) };
        if kept.is_none() {
            db.insert(IDENTITY, &mint.to_le_bytes())?;
        }
        db.flush()?;
        sync_all(&at).map_err(troubled)?;
        File::open(folder).and_then(|f| f.sync_all()).map_err(troubled)?;
        let file = File::open(at.join("db")).map_err(troubled)?;
        let (chain_tree, lives_tree) = (db.open_tree(CHAIN)?, db.open_tree(LIVES)?);
        let (jobs, queue) = mpsc::channel::<Job>();
        let work = move || {
            while let Ok(first) = queue.recv() {
                let mut batches = [sled::Batch::default(), sled::Batch::default()];
                let mut tickets = [None, None];
                for (part, ticket, records) in
                    std::iter::once(first).chain(std::iter::from_fn(|| queue.try_recv().ok()))
                {
                    let [chain, lives] = &mut batches;
                    let (batch, at) = if part == Part::Chain { (chain, 0) } else { (lives, 1) };
                    // A probe of the disk has ticket 0, and may come behind others.
                    tickets[at] = tickets[at].max(Some(ticket));
                    for record in records {
                        match record {
                            Record::Put { key, value } => batch.insert(key, value),
                            Record::Delete { key } => batch.remove(key),
                        }
                    }
                }
                let from = Instant::now();
                let [of_chain, of_lives] = batches;
                let applied =
                    chain_tree.apply_batch(of_chain).and_then(|()| lives_tree.apply_batch(of_lives));
                let done = applied.and_then(|()| db.flush()).map_err(|e| e.to_string());
                let done = done.and_then(|_| file.sync_data().map_err(|e| e.to_string()));
                let [chain, lives] = tickets;
                let word = match done {
                    Ok(()) => Said::Synced { chain, lives, took: from.elapsed() },
                    Err(why) => Said::Failed(why),
                };
                let failed = matches!(word, Said::Failed(_));
                if said.send(word).is_err() || failed {
                    return;
                }
            }
        };
        std::thread::Builder::new().name("store".into()).spawn(work).map_err(StoreError::Thread)?;
        Ok(Self { jobs, identity: kept.unwrap_or(mint), new: kept.is_none(), held, lives })
    }

    pub fn write(&self, part: Part, ticket: u64, records: Vec<Record>) -> bool {
        self.jobs.send((part, ticket, records)).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn opened(folder: &Path, mint: u64) -> (Store, tokio::sync::mpsc::UnboundedReceiver<Said>) {
        let (said, heard) = tokio::sync::mpsc::unbounded_channel();
        (Store::open(folder, mint, said).unwrap(), heard)
    }

    #[test]
    fn what_was_said_to_be_synced_is_there_again_under_the_same_identity() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = opened(folder.path(), 7);
        assert!(store.new);
        for n in 0..20u64 {
            let put = Record::Put { key: n.to_be_bytes().to_vec(), value: vec![n as u8; 1000] };
            assert!(store.write(Part::Chain, n, vec![put]));
        }
        assert!(store.write(Part::Chain, 20, vec![Record::Delete { key: 3u64.to_be_bytes().to_vec() }]));
        while let Some(Said::Synced { chain, .. }) = heard.blocking_recv() {
            if chain == Some(20) {
                break;
            }
        }
        drop(store);
        while heard.blocking_recv().is_some() {}
        let (again, _heard) = opened(folder.path(), 8);
        assert!(!again.new);
        assert_eq!(again.identity, 7);
        assert_eq!(again.held.len(), 19);
    }

    #[test]
    fn a_store_that_another_process_has_is_left_alone() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = opened(folder.path(), 7);
        let (said, _) = tokio::sync::mpsc::unbounded_channel();
        assert!(matches!(Store::open_with(folder.path(), 8, said, 0), Err(StoreError::InUse(_))));
        assert!(matches!(crate::look(folder.path()), Err(crate::LookError::InUse(_))));
        drop(store);
        while heard.blocking_recv().is_some() {}
        assert_eq!(opened(folder.path(), 9).0.identity, 7);
    }

    #[test]
    fn a_store_that_cant_be_opened_is_an_empty_disk_with_a_new_identity() {
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir_all(folder.path().join("store")).unwrap();
        std::fs::write(folder.path().join("store/db"), vec![0xa5; 4 << 20]).unwrap();
        std::fs::write(folder.path().join("store/conf"), b"nothing that sled wrote").unwrap();
        let (store, _heard) = opened(folder.path(), 9);
        assert!(store.new);
        assert_eq!(store.identity, 9);
        assert!(store.held.is_empty());
    }
}
