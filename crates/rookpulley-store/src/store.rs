//! Opening, recovery and writes of a running controller's store.

use crate::database::{
    BOOTSTRAP, CHAIN, FOLDER, IDENTITY, INSTANCES, PAGES, RETRY, catch_panic, corrupted, identity,
    is_in_use, is_os_error, open_at, sync_all, sync_folder,
};
use crate::placement::{finish_replacement, move_aside};
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
    /// A file operation in the folder failed.
    #[error("the folder {0} can't be used: {1}")]
    #[diagnostic(help("dataDirectory must name a folder that this process may write to"))]
    Folder(PathBuf, #[source] std::io::Error),
    /// Another process has the store open.
    #[error("the store in {0} is in use by another process")]
    #[diagnostic(help("only one process may use a dataDirectory; end the other one first"))]
    InUse(PathBuf),
    /// Neither the existing store can be opened nor a new one created.
    #[error("the store can't be opened or created: {0}")]
    Store(#[from] sled::Error),
    /// The writer thread can't be started.
    #[error("the store's writer thread can't be started: {0}")]
    Thread(#[source] std::io::Error),
}

/// A controller's store. A dedicated thread carries out the writes.
pub struct Store {
    requests: mpsc::Sender<WriteRequest>,
    /// The identity assigned when the store was created.
    pub identity: u64,
    /// Whether the store was created by this call of `open`.
    pub is_new: bool,
    /// The bootstrap data that the store was created with, if that was at the first start of the whole system. It says
    /// which controller creates the first view.
    pub bootstrap: Option<Vec<u8>>,
    /// Rows of the chain when the store was opened.
    pub chain_rows: Rows,
    /// Rows of the instances when the store was opened.
    pub instance_rows: Rows,
}

/// Maximum number of retries after a temporary error. The controller then runs without a store, and opens it later.
const OPEN_RETRIES: u32 = 10;
/// Marker file beside the store: the store is discarded when it is opened next.
const DISCARDED: &str = "spoilt";

/// An open database with its content.
struct OpenedStore {
    db: sled::Db,
    /// None if the store is new.
    identity: Option<u64>,
    chain_rows: Rows,
    chain: RowWriter,
    instance_rows: Rows,
    instances: RowWriter,
}

impl OpenedStore {
    /// Reads the whole store, and checks that the chain's rows are complete.
    fn read(db: sled::Db) -> Result<Self, sled::Error> {
        let identity = identity(&db)?;
        let (chain_rows, chain) = RowWriter::read(&db.open_tree(CHAIN)?)?;
        let (instance_rows, instances) = RowWriter::read(&db.open_tree(INSTANCES)?)?;
        let persisted = PersistedState::read(chain_rows.iter().cloned());
        if !persisted.is_sound() {
            return Err(corrupted("the chain's rows are incomplete"));
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
            // Without an identity the store was never in use, so its rows are ignored.
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

    fn write_identity(&self, identity: u64, bootstrap: Option<&[u8]>) -> Result<(), sled::Error> {
        let mut batch = sled::Batch::default();
        batch.insert(IDENTITY, &identity.to_le_bytes());
        if let Some(bootstrap) = bootstrap {
            batch.insert(BOOTSTRAP, bootstrap);
        }
        self.db.apply_batch(batch)
    }
}

impl Store {
    /// Opens the store in a data folder, or creates it with the identity `new_identity` and, at the first start of the
    /// whole system, the `bootstrap` data. A corrupted store is discarded and replaced by a new one.
    ///
    /// The results of writes are sent to `events`.
    pub fn open(
        folder: &Path,
        new_identity: u64,
        bootstrap: Option<&[u8]>,
        events: UnboundedSender<StoreEvent>,
    ) -> Result<Self, StoreError> {
        Self::open_with_retries(folder, new_identity, bootstrap, events, OPEN_RETRIES)
    }

    /// Marks the store in a folder as discarded. The marker survives a crash, and takes effect when the store is opened
    /// next.
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
        let io_error = |error| StoreError::Folder(folder.to_path_buf(), error);
        let at = folder.join(FOLDER);
        let discarded = folder.join(DISCARDED);
        finish_replacement(folder).map_err(io_error)?;
        std::fs::create_dir_all(&at).map_err(io_error)?;
        if discarded.exists() {
            tracing::error!("store: marked as discarded; creating an empty store");
            move_aside(folder).map_err(io_error)?;
            std::fs::create_dir_all(&at).map_err(io_error)?;
        }
        let db = open_database(&at, retries);
        let read = db.and_then(|db| catch_panic(|| OpenedStore::read(db)));
        let opened = match read {
            Ok(opened) => opened,
            Err(sled::Error::Io(error)) if error.raw_os_error().is_some() => {
                return Err(io_error(error));
            }
            // A store in use must not be deleted.
            Err(error) if is_in_use(&error) => return Err(StoreError::InUse(at)),
            Err(error) => {
                tracing::error!("store: can't be opened ({error}); creating an empty store");
                std::fs::remove_dir_all(&at).map_err(io_error)?;
                std::fs::create_dir_all(&at).map_err(io_error)?;
                OpenedStore::new(open_at(&at)?)
            }
        };
        if opened.identity.is_none() {
            opened.write_identity(new_identity, bootstrap)?;
        }
        let bootstrap = opened.db.get(BOOTSTRAP)?.map(|row| row.to_vec());
        opened.db.flush()?;
        sync_all(&at).map_err(io_error)?;
        if discarded.exists() {
            std::fs::remove_file(&discarded).map_err(io_error)?;
        }
        sync_folder(folder).map_err(io_error)?;
        let pages = File::open(at.join(PAGES)).map_err(io_error)?;
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

    /// Queues records to be written atomically, after all earlier writes, and synced. Returns false if the writer thread
    /// has ended, as after a failed write.
    pub fn write(&self, tree: StoreTree, ticket: u64, records: Vec<Record>) -> bool {
        let request = WriteRequest {
            tree,
            ticket,
            records,
        };
        self.requests.send(request).is_ok()
    }
}

/// Opens the database. Retries after operating system errors, which may be temporary, and while another process holds
/// the lock. Other errors mean that the store is corrupted, and are returned at once.
fn open_database(at: &Path, retries: u32) -> Result<sled::Db, sled::Error> {
    let mut opened = open_at(at);
    for _ in 0..retries {
        if !matches!(&opened, Err(error) if is_os_error(error) || is_in_use(error)) {
            break;
        }
        std::thread::sleep(RETRY);
        opened = open_at(at);
    }
    opened
}

#[cfg(test)]
mod tests;
