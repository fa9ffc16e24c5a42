//! Version identifiers. Numbers increase across all tables of one start, so a number also identifies a point
//! in time. The start distinguishes two runs of the same assigner.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// An assigner process: the name of the assigner and the identifier of one start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Issuer {
    pub assigner: Arc<str>,
    /// Supplied by the caller; unique for each start.
    pub start: u64,
}

/// The identifier of an issued table.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub issuer: Arc<Issuer>,
    pub number: u64,
}

/// Formats as `n0~18f3a2c41b7e0042~17`: assigner, start (16 hexadecimal digits) and number. The `~` separator
/// needs no escaping in a URL path; the name of the assigner may contain `~`.
impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}~{:016x}~{}",
            self.issuer.assigner, self.issuer.start, self.number
        )
    }
}

impl fmt::Debug for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is no version: {reason}; write it as `versions` shows it, such as n0~18f3a2c41b7e0042~17"
)]
pub struct ParseVersionError {
    pub text: String,
    pub reason: &'static str,
}

impl FromStr for Version {
    type Err = ParseVersionError;

    fn from_str(text: &str) -> Result<Self, ParseVersionError> {
        let error = |reason| ParseVersionError {
            text: text.into(),
            reason,
        };
        let mut parts = text.rsplitn(3, '~');
        let (number, start, assigner) = (parts.next(), parts.next(), parts.next());
        let assigner = assigner
            .filter(|a| !a.is_empty())
            .ok_or(error("it has no three parts"))?;
        let start = start.filter(|s| s.len() == 16 && !s.starts_with('+'));
        let start = start.and_then(|s| u64::from_str_radix(s, 16).ok());
        let start = start.ok_or(error("its start is not 16 hexadecimal digits"))?;
        let number = number.filter(|n| n.bytes().all(|b| b.is_ascii_digit()));
        let number = number
            .and_then(|n| n.parse().ok())
            .ok_or(error("its number is no whole number"))?;
        Ok(Self {
            issuer: Arc::new(Issuer {
                assigner: assigner.into(),
                start,
            }),
            number,
        })
    }
}

impl Version {
    /// The short form `~17`, for readers that know the issuer from an earlier version.
    pub fn short(&self) -> String {
        format!("~{}", self.number)
    }

    /// Parses a version, or its short form with the issuer of `of`.
    pub fn parse_relative(text: &str, of: Option<&Version>) -> Result<Self, ParseVersionError> {
        match (text.strip_prefix('~'), of) {
            (Some(number), Some(of)) => {
                let error = |reason| ParseVersionError {
                    text: text.into(),
                    reason,
                };
                let number = number
                    .parse()
                    .map_err(|_| error("its number is no whole number"))?;
                Ok(Self {
                    issuer: of.issuer.clone(),
                    number,
                })
            }
            _ => text.parse(),
        }
    }
}

/// Builds the identifier of a start from its time in milliseconds (44 bits) and 20 random bits. The random
/// bits separate starts in the same millisecond and starts after the clock was set back.
pub fn start_id(unix_ms: f64, random: u32) -> u64 {
    (unix_ms.max(0.0) as u64) << 20 | u64::from(random & 0xf_ffff)
}
