//! Why a configuration is invalid. All that is wrong with it is told at once, within bounds: it goes into an answer.

use std::fmt::{self, Display};

/// Faults told of one configuration.
const TOLD: usize = 16;
/// Of what was found, so many letters are shown.
const SHOWN: usize = 80;

/// Everything that makes a configuration invalid. Nothing of it is in force.
#[derive(Clone, Debug, Default, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("the configuration is invalid: {}", listed(.faults, *.untold))]
#[diagnostic(help("mend the places named and send the whole configuration again"))]
pub struct Faults {
    #[related]
    pub faults: Vec<Fault>,
    /// How many more there are.
    pub untold: usize,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("{place} is {found}; write {instead}")]
#[diagnostic(help("write {instead}"))]
pub struct Fault {
    /// The way to the value, such as `hostnames[2].pathRules[0].timeoutMs`, or a line and a column.
    pub place: String,
    pub found: String,
    pub instead: String,
}

impl Faults {
    pub(crate) fn one(place: impl Display, found: impl Display, instead: impl Display) -> Self {
        let mut faults = Self::default();
        faults.add(place, found, instead);
        faults
    }

    pub(crate) fn add(&mut self, place: impl Display, found: impl Display, instead: impl Display) {
        if self.faults.len() < TOLD {
            let (place, instead) = (place.to_string(), instead.to_string());
            self.faults.push(Fault { place, found: shortened(found), instead });
        } else {
            self.untold += 1;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }
}

fn shortened(found: impl Display) -> String {
    let found = found.to_string();
    match found.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}...", found.get(..end).unwrap_or_default()),
        None => found,
    }
}

fn listed(faults: &[Fault], untold: usize) -> impl Display {
    fmt::from_fn(move |f| {
        for (at, fault) in faults.iter().enumerate() {
            write!(f, "{}{fault}", if at > 0 { ". " } else { "" })?;
        }
        if untold > 0 {
            write!(f, ". And {untold} more")?;
        }
        Ok(())
    })
}
