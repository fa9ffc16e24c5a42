//! The store of a running controller.

use crate::database::{
    BOOTSTRAP, CHAIN, FOLDER, IDENTITY, INSTANCES, PAGES, RETRY, catch_panic, corrupted, identity,
    is_in_use, is_refused, open_at, sync_all, sync_folder,
};
use crate::placement::{finish_replacement, put_aside};
use crate::rows::{RowWriter, Rows};
use crate::writer::{StoreEvent, StoreTree, TreeWriter, WriteRequest, Writer};
use rookpulley_chain::{PersistedState, Record};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;

/// Why a store can't be opened.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StoreError {
    /// The system refuses something in the folder.
    #[error("the folder {0} can't be used: {1}")]
    #[diagnostic(help("dataDirectory must name a folder that this process may write to"))]
    Folder(PathBuf, #[source] std::io::Error),
    /// Another process has it.
    #[error("the store in {0} is in use by another process")]
    #[diagnostic(help("let one process at a time have a dataDirectory; end the other one first"))]
    InUse(PathBuf),
    /// Not even a new one can be made.
    #[error("the store can't be opened, even as a new one: {0}")]
    Store(#[from] sled::Error),
    /// The system refuses a thread.
    #[error("the store's thread can't be started: {0}")]
    Thread(#[source] std::io::Error),
}

/// A controller's store. All writes go to a thread of its own.
pub struct Store {
    requests: mpsc::Sender<WriteRequest>,
    /// The identity that was minted with the store.
    pub identity: u64,
    /// The store was made just now.
    pub is_new: bool,
    /// What the store was minted with, where that was at the first start of the whole system: who makes the first view.
    pub bootstrap: Option<Vec<u8>>,
    /// What it held of the chain when it was opened.
    pub chain_rows: Rows,
    /// What it held of instances when it was opened.
    pub instance_rows: Rows,
}

/// How often a store that can't be opened now is tried again. Who opens it goes on without it meanwhile, and asks again.
const OPEN_RETRIES: u32 = 10;
/// A file beside the store that says that it is to be discarded.
const DISCARDED: &str = "spoilt";

/// A store that was opened, with what it held.
struct OpenedStore {
    db: sled::Db,
    /// None: it is new.
    identity: Option<u64>,
    chain_rows: Rows,
    chain: RowWriter,
    instance_rows: Rows,
    instances: RowWriter,
}

impl OpenedStore {
    /// Reads all of it. What was written before must be found again whole, the identity too.
    fn read(db: sled::Db) -> Result<Self, sled::Error> {
        let identity = identity(&db)?;
        let (chain_rows, chain) = RowWriter::read(&db.open_tree(CHAIN)?)?;
        let (instance_rows, instances) = RowWriter::read(&db.open_tree(INSTANCES)?)?;
        let persisted = PersistedState::read(chain_rows.iter().cloned());
        if !persisted.is_sound() {
            return Err(corrupted("the chain's rows are torn"));
        }
        let mut opened = Self {
            db,
            identity,
            chain_rows,
            chain,
            instance_rows,
            instances,
        };
        if identity.is_none() {
            // Whatever else it holds was written before it was a store.
            opened.chain_rows.clear();
            opened.instance_rows.clear();
        }
        Ok(opened)
    }

    fn new(db: sled::Db) -> Self {
        Self {
            db,
            identity: None,
            chain_rows: Rows::new(),
            chain: RowWriter::default(),
            instance_rows: Rows::new(),
            instances: RowWriter::default(),
        }
    }

    fn mint(&self, identity: u64, bootstrap: Option<&[u8]>) -> Result<(), sled::Error> {
        let mut batch = sled::Batch::default();
        batch.insert(IDENTITY, &identity.to_le_bytes());
        if let Some(bootstrap) = bootstrap {
            batch.insert(BOOTSTRAP, bootstrap);
        }
        self.db.apply_batch(batch)
    }
}

impl Store {
    /// Opens the store in a data folder. One that is corrupted is discarded: a new one is minted with this identity, and
    /// with who makes the first view, if this is the first start of the whole system.
    ///
    /// What the store says comes by `events`.
    pub fn open(
        folder: &Path,
        new_identity: u64,
        bootstrap: Option<&[u8]>,
        events: UnboundedSender<StoreEvent>,
    ) -> Result<Self, StoreError> {
        Self::open_with_retries(folder, new_identity, bootstrap, events, OPEN_RETRIES)
    }

    /// Has the store in a folder discarded at the next opening, whatever happens till then.
    pub fn discard(folder: &Path) -> std::io::Result<()> {
        File::create(folder.join(DISCARDED))?.sync_all()?;
        sync_folder(folder)
    }

    fn open_with_retries(
        folder: &Path,
        new_identity: u64,
        bootstrap: Option<&[u8]>,
        events: UnboundedSender<StoreEvent>,
        retries: u32,
    ) -> Result<Self, StoreError> {
        let refused = |why| StoreError::Folder(folder.to_path_buf(), why);
        let at = folder.join(FOLDER);
        let discarded = folder.join(DISCARDED);
        finish_replacement(folder).map_err(refused)?;
        std::fs::create_dir_all(&at).map_err(refused)?;
        if discarded.exists() {
            tracing::error!("store: was given up; begun anew as an empty disk");
            put_aside(folder).map_err(refused)?;
            std::fs::create_dir_all(&at).map_err(refused)?;
        }
        let db = open_patiently(&at, retries);
        let read = db.and_then(|db| catch_panic(|| OpenedStore::read(db)));
        let opened = match read {
            Ok(opened) => opened,
            Err(sled::Error::Io(why)) if why.raw_os_error().is_some() => return Err(refused(why)),
            // Whoever has it must not lose it.
            Err(why) if is_in_use(&why) => return Err(StoreError::InUse(at)),
            Err(why) => {
                tracing::error!("store: can't be opened ({why}); begun anew as an empty disk");
                std::fs::remove_dir_all(&at).map_err(refused)?;
                std::fs::create_dir_all(&at).map_err(refused)?;
                OpenedStore::new(open_at(&at)?)
            }
        };
        if opened.identity.is_none() {
            opened.mint(new_identity, bootstrap)?;
        }
        let bootstrap = opened.db.get(BOOTSTRAP)?.map(|row| row.to_vec());
        opened.db.flush()?;
        sync_all(&at).map_err(refused)?;
        if discarded.exists() {
            std::fs::remove_file(&discarded).map_err(refused)?;
        }
        sync_folder(folder).map_err(refused)?;
        let pages = File::open(at.join(PAGES)).map_err(refused)?;
        Self::start_writer(opened, new_identity, bootstrap, pages, events)
    }

    fn start_writer(
        opened: OpenedStore,
        new_identity: u64,
        bootstrap: Option<Vec<u8>>,
        pages: File,
        events: UnboundedSender<StoreEvent>,
    ) -> Result<Self, StoreError> {
        let OpenedStore {
            db,
            identity,
            chain_rows,
            chain,
            instance_rows,
            instances,
        } = opened;
        let chain = TreeWriter {
            tree: db.open_tree(CHAIN)?,
            rows: chain,
        };
        let instances = TreeWriter {
            tree: db.open_tree(INSTANCES)?,
            rows: instances,
        };
        let writer = Writer::new(db, pages, chain, instances)?;
        let (requests, queue) = mpsc::channel();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || writer.run(&queue, &events))
            .map_err(StoreError::Thread)?;
        Ok(Self {
            requests,
            identity: identity.unwrap_or(new_identity),
            is_new: identity.is_none(),
            bootstrap,
            chain_rows,
            instance_rows,
        })
    }

    /// Has records written as one batch, after all earlier writes, and synced. False: a write has failed before.
    pub fn write(&self, tree: StoreTree, ticket: u64, records: Vec<Record>) -> bool {
        let request = WriteRequest {
            tree,
            ticket,
            records,
        };
        self.requests.send(request).is_ok()
    }
}

/// What the system refuses now it may grant soon, and another process may be letting go of the store; only one that is
/// corrupted itself is given up.
fn open_patiently(at: &Path, retries: u32) -> Result<sled::Db, sled::Error> {
    let mut opened = open_at(at);
    for _ in 0..retries {
        if !matches!(&opened, Err(why) if is_refused(why) || is_in_use(why)) {
            break;
        }
        std::thread::sleep(RETRY);
        opened = open_at(at);
    }
    opened
}

#[cfg(test)]
mod tests;
