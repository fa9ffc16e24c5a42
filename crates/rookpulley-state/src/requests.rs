//! Updates, queries and answers of the state machine, and their encoding.
//!
//! They are impl_encoding with `postcard`, which identifies fields and variants by position: their order is part of the
//! format, their names are not.

use rookpulley_usage::{ProxyUsage, Window};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A write request. It is replicated through the whole chain and stamped with the replicated time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Replace the configuration if the new version is higher.
    PutConfiguration {
        /// Version of the configuration.
        version: u64,
        /// The bytes as sent by the operator, already validated by the caller.
        body: Vec<u8>,
    },
    /// Acquire a lock, or extend a lease that the holder already has.
    AcquireLock {
        /// Name of the lock.
        name: String,
        /// Requesting holder.
        holder: String,
        /// Lease duration, in milliseconds.
        lease_ms: u64,
    },
    /// Extend a lease.
    RenewLock {
        /// Name of the lock.
        name: String,
        /// Current holder.
        holder: String,
        /// Fencing token of the lease.
        fence: u64,
        /// Lease duration from now, in milliseconds.
        lease_ms: u64,
    },
    /// Release a lock.
    ReleaseLock {
        /// Name of the lock.
        name: String,
        /// Current holder.
        holder: String,
        /// Fencing token of the lease.
        fence: u64,
    },
    /// Get the next number of a counter.
    NextNumber {
        /// Name of the counter.
        name: String,
    },
    /// Set the value of a key.
    PutKey {
        /// Name of the key.
        name: String,
        /// New value.
        value: String,
        /// Required current revision of the key, or 0 if the key must not exist. None for an unconditional put.
        expected: Option<u64>,
    },
    /// Merge counts of requests by proxy, window and tenant. Windows that are closed are ignored.
    RecordUsage {
        /// Cumulative counts.
        proxies: Vec<ProxyUsage>,
    },
    /// Fix the reports of a window and of all earlier ones that aren't closed.
    CloseUsage {
        /// Last window to close.
        window: Window,
    },
    /// Remove a fixed report, which the platform has accepted.
    UsageReported {
        /// Window of the report.
        window: Window,
    },
    /// Acquire a duty, or extend a lease that the holder already has.
    AcquireDuty {
        /// Name of the duty.
        duty: String,
        /// Requesting holder.
        holder: String,
        /// Lease duration, in milliseconds.
        lease_ms: u64,
        /// Highest token that the platform has refused: the lease's token must be above it.
        above: u64,
    },
    /// End a lease of a duty.
    ReleaseDuty {
        /// Name of the duty.
        duty: String,
        /// Current holder.
        holder: String,
        /// Fencing token of the lease.
        fence: u64,
    },
}

/// A read request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The newest configuration.
    Configuration,
    /// The value of a key.
    Key {
        /// Name of the key.
        name: String,
    },
    /// The current revision of a group.
    Revision {
        /// Name of the group, including its trailing dot.
        group: String,
    },
    /// The version of the newest configuration.
    ConfigurationVersion,
}

/// Answer of the state machine. The HTTP status of an unsuccessful answer is given in parentheses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The configuration was stored, or is not newer than the current one; or the answer to a read of the version.
    Configured {
        /// Current version after the update, or 0 if there is none.
        version: u64,
    },
    /// The lock was acquired with this fencing token.
    Acquired(u64),
    /// The lease was extended.
    Renewed,
    /// The lock is held by another holder, or the caller's lease is gone (409).
    LockHeld,
    /// The caller does not hold the lock (any more).
    Released,
    /// Next number of the counter.
    Number(u64),
    /// Revision assigned to a put, or current revision of a group.
    Revision(u64),
    /// The key does not have the expected revision (412).
    Conflict {
        /// Current revision of the key.
        revision: u64,
    },
    /// Value of a key.
    Value {
        /// Current value.
        value: String,
        /// Current revision.
        revision: u64,
    },
    /// The key does not exist, or there is no configuration yet (404).
    NotFound,
    /// The current configuration.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// The bytes as sent by the operator.
        body: Vec<u8>,
    },
    /// A capacity limit is reached; nothing was changed (503).
    CapacityExceeded,
    /// A name, holder, value or body exceeds its length limit (413).
    TooLong,
    /// The request could not be decoded. Returned only by `apply_bytes` and `read_bytes`.
    Malformed,
    /// The update of usage or of a duty was carried out, or had been before.
    Done,
    /// The holder has acquired the lock again so recently that the release may have been sent before; nothing was
    /// changed (503).
    ReleaseMayBeStale,
}

/// Error decoding a request or an answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DecodeError {
    /// The bytes are not a valid encoding.
    #[error("cannot decode the request or answer: {0}")]
    #[diagnostic(help("run the same build on all controllers"))]
    Corrupted(#[from] postcard::Error),
    /// The number of bytes after the value.
    #[error("{0} trailing bytes after the request or answer")]
    #[diagnostic(help("send exactly one encoded value"))]
    Trailing(usize),
}

/// Encoding these types into memory cannot fail. The fallback is an empty encoding, which every decoder rejects.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(DecodeError::Trailing(rest.len())),
    }
}

/// Implements `encode` and `decode` for a type.
macro_rules! impl_encoding {
    ($type:ty) => {
        impl $type {
            /// Encodes the value.
            #[must_use]
            pub fn encode(&self) -> Vec<u8> {
                encode(self)
            }

            /// Decodes a value written by `encode`.
            pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
                decode(bytes)
            }
        }
    };
}

impl_encoding!(Update);
impl_encoding!(Query);
impl_encoding!(Answer);
