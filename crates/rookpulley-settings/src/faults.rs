//! Reasons for rejecting a settings file. All faults of a file are reported at once.

use rookpulley_diagnostics::{FaultFormat, Faults, pluralize};
use std::path::PathBuf;

#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    #[error("no settings file is configured")]
    #[diagnostic(help("set ROOKPULLEY_BOOT to the path of the settings file"))]
    PathNotSet,
    #[error("the settings file {} can't be read: {cause}", path.display())]
    #[diagnostic(help("set ROOKPULLEY_BOOT to a file that this user may read"))]
    Unreadable {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("the settings file has {bytes} bytes, the maximum is {max}")]
    #[diagnostic(help("remove what is not a documented field"))]
    TooLong { bytes: u64, max: u64 },
    #[error("the settings file is not valid TOML, line {line}, column {column}: {cause}")]
    #[diagnostic(help(
        "write one `field = value` per line, strings in quotes, tables under [name]"
    ))]
    NotToml {
        line: usize,
        column: usize,
        cause: String,
    },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] Faults),
}

pub(crate) static SETTINGS: FaultFormat = FaultFormat {
    max_faults: 40,
    max_chars: 100,
    heading: |faults| format!("the settings have {}", pluralize(faults, "invalid field")),
    help: "correct these fields and send SIGHUP, or restart the process",
};
