//! What the state may be asked, what it answers, and the bytes of both.
//!
//! They are encoded by `postcard`, which writes fields by position: their order is part of the format, their names are
//! not.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request that changes something. It goes through the whole chain and is stamped with the replicated time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Put a configuration in place of an older one.
    PutConfiguration {
        /// Its version.
        version: u64,
        /// The bytes as the operator sent them. The caller has checked that they are a valid configuration.
        body: Vec<u8>,
    },
    /// Take a lock, or take it again.
    AcquireLock {
        /// The lock.
        name: String,
        /// Who wants it.
        holder: String,
        /// For how long, in milliseconds.
        lease_ms: u64,
    },
    /// Keep a lock for longer.
    RenewLock {
        /// The lock.
        name: String,
        /// Who holds it.
        holder: String,
        /// Under which fencing token.
        fence: u64,
        /// For how long from now on, in milliseconds.
        lease_ms: u64,
    },
    /// Give a lock back.
    ReleaseLock {
        /// The lock.
        name: String,
        /// Who holds it.
        holder: String,
        /// Under which fencing token.
        fence: u64,
    },
    /// Get the next number of a counter.
    NextNumber {
        /// The counter.
        name: String,
    },
    /// Put a value under a key.
    PutKey {
        /// The key.
        name: String,
        /// The value.
        value: String,
        /// The revision that the key must have, 0 for none. None: whatever it has.
        expected: Option<u64>,
    },
}

/// A request that changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The newest configuration.
    Configuration,
    /// The value under a key.
    Key {
        /// The key.
        name: String,
    },
    /// The present revision of a group.
    Revision {
        /// The group's name, with its dot.
        group: String,
    },
}

/// What the state answers. In parentheses the status of the answer to the caller, where it is no success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The configuration was taken, or isn't newer than the one held.
    Configured {
        /// The version that holds now.
        version: u64,
    },
    /// The lock is held under this fencing token.
    Acquired(u64),
    /// The lock is held for longer.
    Renewed,
    /// Another has the lock, or the caller has lost it (409).
    LockHeld,
    /// The caller doesn't hold the lock any more, whether it did or not.
    Released,
    /// The counter's next number.
    Number(u64),
    /// The revision that a put got, or the present one of a group.
    Revision(u64),
    /// The key has another revision than the one expected (412).
    Conflict {
        /// The one that it has.
        revision: u64,
    },
    /// The value under a key.
    Value {
        /// The value.
        value: String,
        /// Its revision.
        revision: u64,
    },
    /// There is no such key, or no configuration yet (404).
    NotFound,
    /// The newest configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// The bytes as the operator sent them.
        body: Vec<u8>,
    },
    /// A limit is reached; nothing was done (503).
    CapacityExceeded,
    /// A name, a holder, a value or a body is too long (413).
    TooLong,
    /// The bytes are no request. Only where the state machine reads them itself.
    Malformed,
}

/// Why bytes are no request and no answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DecodeError {
    /// They can't be decoded.
    #[error("the bytes can't be read as a call or an answer: {0}")]
    #[diagnostic(help(
        "send what `encode` of the same build gives; all controllers must run one build"
    ))]
    Corrupted(#[from] postcard::Error),
    /// So many bytes follow.
    #[error("{0} bytes follow the call")]
    #[diagnostic(help("send one call in one piece, with nothing behind it"))]
    Trailing(usize),
}

/// Writing into memory fails for no value of ours; if it did, the empty bytes could not be read and would do nothing.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(DecodeError::Trailing(rest.len())),
    }
}

/// Gives a type its bytes, in both directions.
macro_rules! encoded {
    ($type:ty) => {
        impl $type {
            /// Its bytes.
            #[must_use]
            pub fn encode(&self) -> Vec<u8> {
                encode(self)
            }

            /// Reads what `encode` wrote.
            pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
                decode(bytes)
            }
        }
    };
}

encoded!(Update);
encoded!(Query);
encoded!(Answer);
