//! Why a settings file is not taken. All that is wrong with it is told at once.

use std::fmt::{self, Display};
use std::path::PathBuf;

/// Faults told of one file. More would not be read.
const TOLD: usize = 40;
/// Of what was found, so much is shown.
const SHOWN: usize = 100;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    #[error("no settings file is named")]
    #[diagnostic(help("set ROOKPULLEY_BOOT to the path of the settings file"))]
    NotTold,
    #[error("the settings file {} can't be read: {cause}", path.display())]
    #[diagnostic(help("let ROOKPULLEY_BOOT name a file that this user may read"))]
    Unreadable { path: PathBuf, cause: std::io::Error },
    #[error("the settings have {bytes} bytes; {most} are the most")]
    #[diagnostic(help("keep to the fields that the deployment's page names"))]
    TooLong { bytes: u64, most: u64 },
    #[error("the settings are no TOML, line {line}, column {column}: {cause}")]
    #[diagnostic(help("write one `field = value` a line, texts in quotes, tables under [name]"))]
    NotToml { line: usize, column: usize, cause: String },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] Faults),
}

/// Every field that can't be used.
#[derive(Clone, Debug, Default, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("{} of the settings can't be used: {}", counted(.faults.len() + .untold), listed(.faults, *.untold))]
#[diagnostic(help("mend the fields named and send SIGHUP, or start the process again"))]
pub struct Faults {
    #[related]
    pub faults: Vec<Fault>,
    /// How many more there are.
    pub untold: usize,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[error("{field} is {found}; write {instead}")]
#[diagnostic(help("write {instead}"))]
pub struct Fault {
    /// As in the file, with the table before it: `limits.cpuShare`.
    pub field: String,
    pub found: String,
    pub instead: String,
}

impl Faults {
    pub(crate) fn add(&mut self, field: impl Into<String>, found: impl Display, instead: impl Into<String>) {
        if self.faults.len() < TOLD {
            let found = shortened(found);
            self.faults.push(Fault { field: field.into(), found, instead: instead.into() });
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

fn counted(faults: usize) -> String {
    if faults == 1 { "1 field".into() } else { format!("{faults} fields") }
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
