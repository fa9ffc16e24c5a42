//! What may be asked of a ledger, what it answers, and the bytes of both.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A call that changes something: it goes through the whole chain and is stamped with the ledger's time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Its caller has checked that the body is a valid configuration of this version.
    PutConfiguration {
        version: u64,
        body: Vec<u8>,
    },
    TakeLock {
        name: String,
        holder: String,
        hold_ms: u64,
    },
    RenewLock {
        name: String,
        holder: String,
        fence: u64,
        hold_ms: u64,
    },
    DropLock {
        name: String,
        holder: String,
        fence: u64,
    },
    NextNumber {
        name: String,
    },
    /// `active`: the revision that the key must have, 0 for none; without it the put goes through whatever is there.
    PutCell {
        name: String,
        value: String,
        active: Option<u64>,
    },
}

/// A call that changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    Configuration,
    Cell {
        name: String,
    },
    /// The group's name has its dot.
    Revision {
        group: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Taken, or not above the version held; either way this one holds now.
    Configured {
        version: u64,
    },
    Fence(u64),
    Renewed,
    /// Another has the lock, or the caller has lost it (409).
    Held,
    /// Whether it was held or not.
    Dropped,
    Number(u64),
    /// The one a put got, or the present one of a group.
    Revision(u64),
    /// The key has this revision and not the one asked for (412).
    Conflict {
        revision: u64,
    },
    Cell {
        value: String,
        revision: u64,
    },
    /// No such key, or no configuration yet (404).
    Nothing,
    Configuration {
        version: u64,
        body: Vec<u8>,
    },
    /// There is no room; nothing was done (503).
    Full,
    /// A name, a holder, a value or a body is beyond its bound (413).
    TooLong,
    /// The bytes are no call; only where the ledger reads them itself.
    Unreadable,
}

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CallError {
    #[error("the bytes can't be read as a call or an answer: {0}")]
    #[diagnostic(help(
        "send what `encode` of the same build gives; all controllers must run one build"
    ))]
    Spoilt(#[from] postcard::Error),
    #[error("{0} bytes follow the call")]
    #[diagnostic(help("send one call in one piece, with nothing behind it"))]
    Trailing(usize),
}

/// Writing into memory fails for no value of ours; if it did, the empty bytes could not be read and would do nothing.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(CallError::Trailing(rest.len())),
    }
}

impl Update {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, CallError> {
        decode(bytes)
    }
}

impl Ask {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, CallError> {
        decode(bytes)
    }
}

impl Answer {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, CallError> {
        decode(bytes)
    }
}
