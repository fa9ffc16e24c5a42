//! Why a settings file is not taken. All that is wrong with it is told at once.

use rookpulley_diagnostics::{Faults, Manner, counted};
use std::path::PathBuf;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    #[error("no settings file is named")]
    #[diagnostic(help("set ROOKPULLEY_BOOT to the path of the settings file"))]
    NotTold,
    #[error("the settings file {} can't be read: {cause}", path.display())]
    #[diagnostic(help("let ROOKPULLEY_BOOT name a file that this user may read"))]
    Unreadable {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("the settings have {bytes} bytes; {most} are the most")]
    #[diagnostic(help("keep to the fields that the deployment's page names"))]
    TooLong { bytes: u64, most: u64 },
    #[error("the settings are no TOML, line {line}, column {column}: {cause}")]
    #[diagnostic(help("write one `field = value` a line, texts in quotes, tables under [name]"))]
    NotToml {
        line: usize,
        column: usize,
        cause: String,
    },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] Faults),
}

pub(crate) static SETTINGS: Manner = Manner {
    told: 40,
    shown: 100,
    heading: |faults| format!("{} of the settings can't be used", counted(faults, "field")),
    help: "mend the fields named and send SIGHUP, or start the process again",
};
