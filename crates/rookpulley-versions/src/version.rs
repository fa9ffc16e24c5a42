//! A version: a table as it was issued. Numbers rise over all tables of a start, so a number also names a
//! moment; the start tells two lives of one assigner apart.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// An assigner in one of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Issuer {
    pub assigner: Arc<str>,
    /// Told by the front: never the same for two starts.
    pub start: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub issuer: Arc<Issuer>,
    pub number: u64,
}

/// `n0~18f3a2c41b7e0042~17`: assigner, start (16 hexadecimal digits), number. None of it needs escaping in a
/// path or a shell, and an assigner's name may hold `~` itself.
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
        let wrong = |reason| ParseVersionError {
            text: text.into(),
            reason,
        };
        let mut parts = text.rsplitn(3, '~');
        let (number, start, assigner) = (parts.next(), parts.next(), parts.next());
        let assigner = assigner
            .filter(|a| !a.is_empty())
            .ok_or(wrong("it has no three parts"))?;
        let start = start.filter(|s| s.len() == 16 && !s.starts_with('+'));
        let start = start.and_then(|s| u64::from_str_radix(s, 16).ok());
        let start = start.ok_or(wrong("its start is not 16 hexadecimal digits"))?;
        let number = number.filter(|n| n.bytes().all(|b| b.is_ascii_digit()));
        let number = number
            .and_then(|n| n.parse().ok())
            .ok_or(wrong("its number is no whole number"))?;
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
    /// The number alone, `~17`: of the same issuer as another version that is known where it is read.
    pub fn short(&self) -> String {
        format!("~{}", self.number)
    }

    /// Reads a version, or a number alone where `of` tells the issuer.
    pub fn parse_relative(text: &str, of: Option<&Version>) -> Result<Self, ParseVersionError> {
        match (text.strip_prefix('~'), of) {
            (Some(number), Some(of)) => {
                let wrong = |reason| ParseVersionError {
                    text: text.into(),
                    reason,
                };
                let number = number
                    .parse()
                    .map_err(|_| wrong("its number is no whole number"))?;
                Ok(Self {
                    issuer: of.issuer.clone(),
                    number,
                })
            }
            _ => text.parse(),
        }
    }
}

/// The name of a start: the millisecond it began (44 bits) and 20 bits of chance, so that neither a clock
/// set back nor two starts in one millisecond give the same.
pub fn start_id(unix_ms: f64, random: u32) -> u64 {
    (unix_ms.max(0.0) as u64) << 20 | u64::from(random & 0xf_ffff)
}
