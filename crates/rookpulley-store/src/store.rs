//! The disk: a thread that applies batches to `sled` and says which are synced.
//!
//! `flush` of sled 0.34 does not sync (measured: the last puts are lost with the power), so its file `db` is synced
//! after each flush, and the folder and all its files once after opening.

use crate::replace::{put_aside, settle};
use crate::rows::{Long, Rows};
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
        incarnations: Option<u64>,
        took: Duration,
    },
    Failed(String),
}

/// What a write belongs to: the chain's records, or what is known of tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    Chain,
    Incarnations,
}

type Job = (Part, u64, Vec<Record>);

pub struct Store {
    jobs: mpsc::Sender<Job>,
    /// The identity that was minted with the disk, and whether that was just now.
    pub identity: u64,
    pub new: bool,
    /// It was minted at the first start of all, and what was noted then of who is to found the first view.
    pub founding: Option<Vec<u8>>,
    pub held: Rows,
    pub incarnations: Rows,
}

/// A store that another process is letting go of is asked for so often, after such a pause.
pub(crate) const PATIENCE: u32 = 100;
/// The same at the opening of a controller's own store. Who opens it goes on without it meanwhile, and asks again.
const OPEN_PATIENCE: u32 = 10;
pub(crate) const AGAIN: Duration = Duration::from_millis(100);
pub(crate) const IDENTITY: &[u8] = b"identity";
const FOUNDER: &[u8] = b"founder";
/// A file beside the store that says that it holds what it shouldn't: it is begun anew.
const SPOILT: &str = "spoilt";

/// Where in its data folder a controller has its store.
pub(crate) const FOLDER: &str = "store";
pub(crate) const CHAIN: &str = "chain";
pub(crate) const INCARNATIONS: &str = "lives";
/// Of this tree only that it is written to matters, see `sweep`.
const SWEEP: &str = "sweep";
/// A page is moved for so many bytes of chunks; so many of them with one write, so that none of them takes long; and what
/// is owed beyond this is forgotten, as sled moves pages by itself where many are written anew.
const SWEEP_EACH: usize = 2 << 10;
const SWEEP_AT_ONCE: usize = 8;
const SWEEP_OWED: usize = 1024;

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

/// What spoils `sled` may make it panic, when it is opened and also when it is read: that is an error as well.
pub(crate) fn caught<T>(work: impl FnOnce() -> Result<T, sled::Error>) -> Result<T, sled::Error> {
    let work = std::panic::AssertUnwindSafe(work);
    std::panic::catch_unwind(work)
        .unwrap_or(Err(sled::Error::ReportableBug("it can't be read".into())))
}

pub(crate) fn open_at(folder: &Path) -> Result<sled::Db, sled::Error> {
    let open = || {
        sled::Config::new()
            .path(folder)
            .cache_capacity(2 << 20)
            .flush_every_ms(None)
            .mode(sled::Mode::LowSpace)
            .open()
    };
    caught(open)
}

/// Has `sled` move pages out of segments of which little is in use: so many of them. It does so where it writes a page
/// anew, once for each, which is after ten changes of that page; that is too seldom where few rows of each page change.
/// What it has for that apart is a thread with a timer and syncs of its own.
fn sweep(tree: &sled::Tree, pages: usize) -> Result<(), sled::Error> {
    for change in 0..10 * pages as u64 {
        tree.insert(SWEEP, &change.to_le_bytes())?;
    }
    Ok(())
}

impl Store {
    /// Opens the store in a folder. One that can't be opened is an empty disk: it is begun anew. `founding`: what a new
    /// one keeps on who is to found the first view.
    pub fn open(
        folder: &Path,
        mint: u64,
        founding: Option<&[u8]>,
        said: UnboundedSender<Said>,
    ) -> Result<Self, StoreError> {
        Self::open_with(folder, mint, founding, said, OPEN_PATIENCE)
    }

    /// Has the store in a folder begun anew at the next opening, whatever happens till then.
    pub fn give_up(folder: &Path) -> std::io::Result<()> {
        File::create(folder.join(SPOILT))?.sync_all()?;
        File::open(folder)?.sync_all()
    }

    fn open_with(
        folder: &Path,
        mint: u64,
        founding: Option<&[u8]>,
        said: UnboundedSender<Said>,
        patience: u32,
    ) -> Result<Self, StoreError> {
        let at = folder.join(FOLDER);
        let troubled = |e| StoreError::Folder(folder.to_path_buf(), e);
        settle(folder).map_err(troubled)?;
        std::fs::create_dir_all(&at).map_err(troubled)?;
        let spoilt = folder.join(SPOILT);
        if spoilt.exists() {
            tracing::error!("store: was given up; begun anew as an empty disk");
            put_aside(folder).map_err(troubled)?;
            std::fs::create_dir_all(&at).map_err(troubled)?;
        }
        let mut opened = open_at(&at);
        // What the system refuses now it may grant soon; only a store that is spoilt itself is given up.
        for _ in 0..patience {
            let refused = |why: &sled::Error| matches!(why, sled::Error::Io(io) if io.raw_os_error().is_some());
            if !matches!(&opened, Err(why) if refused(why) || in_use(why)) {
                break;
            }
            std::thread::sleep(AGAIN);
            opened = open_at(&at);
        }
        // What was written before must be found again whole, the identity too.
        let read = |db: sled::Db| {
            let identity = db
                .get(IDENTITY)?
                .and_then(|v| v.as_ref().try_into().ok().map(u64::from_le_bytes));
            let (held, incarnations) = (
                Long::read(&db.open_tree(CHAIN)?)?,
                Long::read(&db.open_tree(INCARNATIONS)?)?,
            );
            match rookpulley_chain::PersistedState::read(held.0.iter().cloned()).is_sound() {
                true => Ok((identity, held, incarnations, db)),
                false => Err(sled::Error::ReportableBug(
                    "the chain's rows are torn".into(),
                )),
            }
        };
        let opened = opened.and_then(|db| caught(|| read(db)));
        let (kept, (held, mut long), (incarnations, mut long_incarnations), db) = match opened {
            Ok(opened) => opened,
            Err(sled::Error::Io(why)) if why.raw_os_error().is_some() => return Err(troubled(why)),
            // Not spoilt: who has it must not lose it.
            Err(why) if in_use(&why) => return Err(StoreError::InUse(at)),
            Err(why) => {
                tracing::error!("store: can't be opened ({why}); begun anew as an empty disk");
                std::fs::remove_dir_all(&at).map_err(troubled)?;
                std::fs::create_dir_all(&at).map_err(troubled)?;
                (None, Default::default(), Default::default(), open_at(&at)?)
            }
        };
        let (held, incarnations) = if kept.is_some() {
            (held, incarnations)
        } else {
            (Vec::new(), Vec::new())
        };
        if kept.is_none() {
            let mut batch = sled::Batch::default();
            batch.insert(IDENTITY, &mint.to_le_bytes());
            if let Some(founding) = founding {
                batch.insert(FOUNDER, founding);
            }
            db.apply_batch(batch)?;
        }
        let founding = db.get(FOUNDER)?.map(|kept| kept.to_vec());
        db.flush()?;
        sync_all(&at).map_err(troubled)?;
        if spoilt.exists() {
            std::fs::remove_file(&spoilt).map_err(troubled)?;
        }
        File::open(folder)
            .and_then(|f| f.sync_all())
            .map_err(troubled)?;
        let file = File::open(at.join("db")).map_err(troubled)?;
        let (chain_tree, incarnations_tree) = (db.open_tree(CHAIN)?, db.open_tree(INCARNATIONS)?);
        let sweep_tree = db.open_tree(SWEEP)?;
        let (jobs, queue) = mpsc::channel::<Job>();
        let mut owed = 0;
        let work = move || {
            while let Ok(first) = queue.recv() {
                let mut batches = [sled::Batch::default(), sled::Batch::default()];
                let mut tickets = [None, None];
                for (part, ticket, records) in
                    std::iter::once(first).chain(std::iter::from_fn(|| queue.try_recv().ok()))
                {
                    let [chain, incarnations] = &mut batches;
                    let (batch, long, at) = match part {
                        Part::Chain => (chain, &mut long, 0),
                        Part::Incarnations => (incarnations, &mut long_incarnations, 1),
                    };
                    // A probe of the disk has ticket 0, and may come behind others.
                    tickets[at] = tickets[at].max(Some(ticket));
                    records
                        .into_iter()
                        .for_each(|record| long.write(record, batch));
                }
                let from = Instant::now();
                let [of_chain, of_incarnations] = batches;
                let applied = chain_tree
                    .apply_batch(of_chain)
                    .and_then(|()| incarnations_tree.apply_batch(of_incarnations));
                let written = long.written() + long_incarnations.written();
                owed = (owed + written / SWEEP_EACH).min(SWEEP_OWED);
                let pages = owed.min(SWEEP_AT_ONCE);
                owed -= pages;
                let applied = applied.and_then(|()| sweep(&sweep_tree, pages));
                let done = applied.and_then(|()| db.flush()).map_err(|e| e.to_string());
                let done = done.and_then(|_| file.sync_data().map_err(|e| e.to_string()));
                let [chain, incarnations] = tickets;
                let word = match done {
                    Ok(()) => Said::Synced {
                        chain,
                        incarnations,
                        took: from.elapsed(),
                    },
                    Err(why) => Said::Failed(why),
                };
                let failed = matches!(word, Said::Failed(_));
                if said.send(word).is_err() || failed {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("store".into())
            .spawn(work)
            .map_err(StoreError::Thread)?;
        Ok(Self {
            jobs,
            identity: kept.unwrap_or(mint),
            new: kept.is_none(),
            founding,
            held,
            incarnations,
        })
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
        (Store::open(folder, mint, None, said).unwrap(), heard)
    }

    #[test]
    fn what_was_said_to_be_synced_is_there_again_under_the_same_identity() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = opened(folder.path(), 7);
        assert!(store.new);
        for n in 0..20u64 {
            let put = Record::Put {
                key: n.to_be_bytes().to_vec(),
                value: vec![n as u8; 1000],
            };
            assert!(store.write(Part::Chain, n, vec![put]));
        }
        assert!(store.write(
            Part::Chain,
            20,
            vec![Record::Delete {
                key: 3u64.to_be_bytes().to_vec()
            }]
        ));
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
    fn nothing_goes_to_a_file_of_its_own_that_nobody_syncs() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = opened(folder.path(), 7);
        // Configurations of many routes as they come, and the state with them in pieces, again and again.
        for n in 0..60u64 {
            // Nothing is there twice, so each is written whole.
            let drawn = |at: u64, length: u64| -> Vec<u8> {
                let words = (0..length / 8)
                    .map(|word| (n << 40 | at << 32 | word).wrapping_mul(0x9e37_79b9_7f4a_7c15));
                words
                    .flat_map(|word| {
                        (word ^ word >> 29)
                            .wrapping_mul(0xbf58_476d_1ce4_e5b9)
                            .to_be_bytes()
                    })
                    .collect()
            };
            let mut records: Vec<Record> = (0..4u64)
                .map(|at| Record::Put {
                    key: (10 * n + at).to_be_bytes().to_vec(),
                    value: drawn(at, 90 << 10),
                })
                .collect();
            records.extend((0..20u8).map(|at| Record::Put {
                key: vec![b's', at],
                value: drawn(9 + u64::from(at), 32 << 10),
            }));
            if n % 8 == 7 {
                let old = 10 * (n - 7)..10 * (n + 1);
                records.extend(old.map(|at| Record::Delete {
                    key: at.to_be_bytes().to_vec(),
                }));
            }
            assert!(store.write(Part::Chain, n, records));
        }
        while let Some(Said::Synced { chain, .. }) = heard.blocking_recv() {
            if chain == Some(59) {
                break;
            }
        }
        drop(store);
        while heard.blocking_recv().is_some() {}
        let blobs =
            std::fs::read_dir(folder.path().join("store/blobs")).map_or(0, |files| files.count());
        assert_eq!(blobs, 0);
        let (again, _heard) = opened(folder.path(), 8);
        let (of, length) = (
            again.held.len(),
            again.held.iter().map(|(_, v)| v.len()).sum::<usize>(),
        );
        assert_eq!(
            (again.identity, of, length),
            (7, 20 + 16, 20 * (32 << 10) + 16 * (90 << 10))
        );
    }

    #[test]
    fn a_store_that_another_process_has_is_left_alone() {
        let folder = tempfile::tempdir().unwrap();
        let (store, mut heard) = opened(folder.path(), 7);
        let (said, _) = tokio::sync::mpsc::unbounded_channel();
        assert!(matches!(
            Store::open_with(folder.path(), 8, None, said, 0),
            Err(StoreError::InUse(_))
        ));
        assert!(matches!(
            crate::look(folder.path()),
            Err(crate::LookError::InUse(_))
        ));
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
    #[test]
    fn a_store_that_was_given_up_is_an_empty_disk_with_a_new_identity_once() {
        let folder = tempfile::tempdir().unwrap();
        let (said, mut heard) = tokio::sync::mpsc::unbounded_channel();
        let store = Store::open(folder.path(), 7, Some(&[1, 2]), said).unwrap();
        assert_eq!(store.founding.as_deref(), Some(&[1, 2][..]));
        Store::give_up(folder.path()).unwrap();
        drop(store);
        while heard.blocking_recv().is_some() {}
        let (store, mut heard) = opened(folder.path(), 8);
        assert_eq!(
            (store.identity, store.new, &store.founding),
            (8, true, &None)
        );
        drop(store);
        while heard.blocking_recv().is_some() {}
        let (store, _heard) = opened(folder.path(), 9);
        assert_eq!((store.identity, store.new), (8, false));
    }
}
