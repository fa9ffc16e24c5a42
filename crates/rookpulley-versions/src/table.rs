//! A table of servers and their weights. Two tables are equal if their canonical encodings are equal.
//!
//! The canonical encoding (`docs/formats/table-digest.md` shows an example):
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | the ASCII letters `RPT1` |
//! | 4 | the number of lines, big-endian |
//! | for each line, sorted by the bytes of the name: | |
//! | 2 | the length of the name in bytes, big-endian |
//! | length | the name in UTF-8 |
//! | 8 | the weight, IEEE 754 binary64, big-endian |
//!
//! The digest is the first 16 bytes of the BLAKE3 hash of the encoding. Weights are positive and finite, so
//! each has exactly one bit representation; lines with weight 0 are omitted.

use data_encoding::BASE64URL_NOPAD;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The name of a server.
pub type Name = Arc<str>;

const MAGIC: &[u8; 4] = b"RPT1";
/// The canonical encoding stores the length of a name in 16 bits.
pub const MAX_NAME_LEN: usize = u16::MAX as usize;

/// Identifies the content of a table independently of its issuer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 16]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&BASE64URL_NOPAD.encode(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a digest: expected 22 characters of base64url")]
pub struct ParseDigestError(pub String);

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).ok();
        bytes
            .and_then(|b| b.try_into().ok())
            .map(Self)
            .ok_or_else(|| ParseDigestError(text.into()))
    }
}

/// Why a set of lines is not a valid table.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TableError {
    #[error("{0:?} is listed twice; write one line for it")]
    DuplicateName(Name),
    #[error("{name:?} has the weight {weight}; write a number above 0, or 0 to omit the server")]
    InvalidWeight { name: Name, weight: f64 },
    #[error("a name has {0} bytes; the maximum is {MAX_NAME_LEN}")]
    NameTooLong(usize),
}

/// Servers and weights, sorted by name. The digest is computed once, on construction.
#[derive(Clone, PartialEq)]
pub struct Table {
    lines: Box<[(Name, f64)]>,
    digest: Digest,
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.lines()).finish()
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::from_sorted(Vec::new())
    }
}

impl Table {
    /// Builds a table from lines in any order and omits those with weight 0.
    pub fn from_lines(lines: impl IntoIterator<Item = (Name, f64)>) -> Result<Self, TableError> {
        let mut sorted: Vec<(Name, f64)> = Vec::new();
        for (name, weight) in lines {
            if name.len() > MAX_NAME_LEN {
                return Err(TableError::NameTooLong(name.len()));
            }
            if !(weight >= 0.0 && weight.is_finite()) {
                return Err(TableError::InvalidWeight { name, weight });
            }
            sorted.push((name, weight));
        }
        sorted.sort_by(|a, b| a.0.as_bytes().cmp(b.0.as_bytes()));
        if let Some(pair) = sorted.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(TableError::DuplicateName(pair[0].0.clone()));
        }
        sorted.retain(|(_, weight)| *weight > 0.0);
        Ok(Self::from_sorted(sorted))
    }

    /// Builds a table from lines that are already sorted, unique and of positive weight.
    pub(crate) fn from_sorted(lines: Vec<(Name, f64)>) -> Self {
        let digest = digest_of(&canonical(&lines));
        Self {
            lines: lines.into_boxed_slice(),
            digest,
        }
    }

    pub fn digest(&self) -> Digest {
        self.digest
    }

    pub fn lines(&self) -> impl ExactSizeIterator<Item = (&Name, f64)> {
        self.lines.iter().map(|(name, weight)| (name, *weight))
    }

    pub(crate) fn as_slice(&self) -> &[(Name, f64)] {
        &self.lines
    }

    pub fn weight(&self, name: &str) -> Option<f64> {
        let at = self
            .lines
            .binary_search_by(|(n, _)| n.as_bytes().cmp(name.as_bytes()))
            .ok()?;
        Some(self.lines[at].1)
    }

    pub fn len(&self) -> usize {
        self.lines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn canonical(&self) -> Vec<u8> {
        canonical(&self.lines)
    }

    /// The length of the canonical encoding, computed without encoding.
    pub fn canonical_len(&self) -> usize {
        8 + self
            .lines
            .iter()
            .map(|(name, _)| line_len(name))
            .sum::<usize>()
    }

    /// The approximate memory use, without the shared names.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.lines)
    }
}

/// The length of a line in the canonical encoding.
pub(crate) fn line_len(name: &str) -> usize {
    2 + name.len() + 8
}

fn canonical(lines: &[(Name, f64)]) -> Vec<u8> {
    let mut bytes =
        Vec::with_capacity(8 + lines.iter().map(|(name, _)| line_len(name)).sum::<usize>());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&(lines.len() as u32).to_be_bytes());
    for (name, weight) in lines {
        bytes.extend_from_slice(&(name.len() as u16).to_be_bytes());
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(&weight.to_bits().to_be_bytes());
    }
    bytes
}

fn digest_of(canonical: &[u8]) -> Digest {
    let hash = blake3::hash(canonical);
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.as_bytes()[..16]);
    Digest(digest)
}
