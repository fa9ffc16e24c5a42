//! A table: servers and their weights. Two tables are the same where their canonical forms are.
//!
//! The canonical form, byte by byte (`docs/formats/table-digest.md` has it with an example):
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | the letters `RPT1` |
//! | 4 | the count of lines, big-endian |
//! | then for each line, by the bytes of the names | |
//! | 2 | the length of the name in bytes, big-endian |
//! | so many | the name in UTF-8 |
//! | 8 | the weight, IEEE 754 binary64, big-endian |
//!
//! The digest is the first 16 bytes of BLAKE3 over it. A weight is above 0 and finite, so that none has two
//! spellings in bits; a line of weight 0 is no line.

use data_encoding::BASE64URL_NOPAD;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

pub type Name = Arc<str>;

const MAGIC: &[u8; 4] = b"RPT1";
/// What a name's length in the canonical form can tell.
pub const MAX_NAME_LEN: usize = u16::MAX as usize;

/// What a table is known by, whoever issued it.
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
#[error("{0:?} is no digest: 22 letters of base64url are wanted")]
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

/// Why lines make no table.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TableError {
    #[error("{0:?} is named twice; write one line for it")]
    DuplicateName(Name),
    #[error("{name:?} has the weight {weight}; write a figure above 0, or 0 to leave it out")]
    InvalidWeight { name: Name, weight: f64 },
    #[error("a name of {0} bytes; {MAX_NAME_LEN} are the most")]
    NameTooLong(usize),
}

/// Servers and weights, by name; its digest is worked out once.
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
    /// Lines in any order; those of weight 0 are left out.
    pub fn from_lines(lines: impl IntoIterator<Item = (Name, f64)>) -> Result<Self, TableError> {
        let mut kept: Vec<(Name, f64)> = Vec::new();
        for (name, weight) in lines {
            if name.len() > MAX_NAME_LEN {
                return Err(TableError::NameTooLong(name.len()));
            }
            if !(weight >= 0.0 && weight.is_finite()) {
                return Err(TableError::InvalidWeight { name, weight });
            }
            kept.push((name, weight));
        }
        kept.sort_by(|a, b| a.0.as_bytes().cmp(b.0.as_bytes()));
        if let Some(pair) = kept.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(TableError::DuplicateName(pair[0].0.clone()));
        }
        kept.retain(|(_, weight)| *weight > 0.0);
        Ok(Self::from_sorted(kept))
    }

    /// Lines that are sorted, sound and above 0 already.
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

    pub(crate) fn slice(&self) -> &[(Name, f64)] {
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

    /// The length of the canonical form, without writing it.
    pub fn canonical_len(&self) -> usize {
        8 + self
            .lines
            .iter()
            .map(|(name, _)| line_len(name))
            .sum::<usize>()
    }

    /// About what it takes in memory; names are shared.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.lines)
    }
}

/// What a line takes in the canonical form.
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
