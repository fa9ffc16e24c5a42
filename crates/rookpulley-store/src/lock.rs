//! The lock of a store's files against other processes, which `sled` holds as long as the store is open.

use std::fs::{File, TryLockError};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a lock is waited for. `sled` may release it shortly after the store was closed.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to take the lock.
const LOCK_RETRY: Duration = Duration::from_millis(10);

/// Why a lock was not taken.
#[derive(Debug)]
pub enum LockError {
    /// Another open file of the store held it all the time.
    Held,
    /// A system call failed.
    Io(std::io::Error),
}

/// Locks a store by the file of its pages, while the returned file is open.
pub fn lock(pages: &Path) -> Result<File, LockError> {
    let file = File::options().read(true).write(true).open(pages);
    let file = file.map_err(LockError::Io)?;
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::Error(error)) => return Err(LockError::Io(error)),
            Err(TryLockError::WouldBlock) if Instant::now() >= deadline => {
                return Err(LockError::Held);
            }
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY),
        }
    }
}
