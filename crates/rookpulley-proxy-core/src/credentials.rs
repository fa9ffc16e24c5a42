//! The credentials of a request, read from its `Authorization` headers.

use std::fmt::{self, Debug, Formatter};

/// The only accepted authentication scheme; its case does not matter.
const SCHEME: &str = "Bearer";

/// What the `Authorization` headers of a request hold.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credentials<'a> {
    /// There is no such header.
    None,
    /// An API key.
    Bearer(&'a str),
    /// Several headers, another scheme, or no key.
    Invalid,
}

/// Omits the key, so that it never reaches a log.
impl Debug for Credentials<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::None => "None",
            Self::Bearer(_) => "Bearer(not shown)",
            Self::Invalid => "Invalid",
        })
    }
}

impl<'a> Credentials<'a> {
    /// Reads the values of all `Authorization` headers of a request.
    pub fn from_headers(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut values = values.into_iter();
        match (values.next(), values.next()) {
            (None, _) => Self::None,
            (Some(value), None) => read_key(value).map_or(Self::Invalid, Self::Bearer),
            (Some(_), Some(_)) => Self::Invalid,
        }
    }
}

/// Reads `Bearer KEY`, with one or more spaces between the two and any around them.
fn read_key(value: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(value).ok()?.trim_matches(' ');
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim_start_matches(' ');
    let is_key = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case(SCHEME) && is_key).then_some(key)
}
