//! Checks files and reports each fault with its place, the value found and the value expected.

use rookpulley_diagnostics::{Fault, FaultFormat, Faults, Position, pluralize};
use rookpulley_routes::{MAX_BYTES, RouteTable};
use rookpulley_settings::{Amount, Deploy, Node, Role, SettingsError};
use serde_json::{Value, json};
use std::fmt::Display;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Format for files that cannot be read: a single fault, never truncated.
static FILE_FAULTS: FaultFormat = FaultFormat {
    max_faults: 1,
    max_chars: usize::MAX,
    heading: |_| "the file cannot be read".into(),
    help: "name a file of this kind",
};

fn file_fault(place: impl Display, found: impl Display, instead: impl Display) -> Faults {
    Faults::one(&FILE_FAULTS, place, found, instead)
}

fn unreadable(why: &std::io::Error) -> Faults {
    file_fault(
        "the file",
        format!("unreadable ({why})"),
        "the path of a readable file",
    )
}

fn settings_faults(error: SettingsError) -> Faults {
    match error {
        SettingsError::Invalid(faults) => faults,
        SettingsError::Unreadable { cause, .. } => unreadable(&cause),
        SettingsError::TooLong { bytes, max } => {
            let instead = format!("at most {max}; a few kilobytes are usual");
            file_fault(
                "the file",
                format!("over {} bytes long", bytes.min(max)),
                instead,
            )
        }
        SettingsError::NotToml {
            line,
            column,
            cause,
        } => file_fault(
            Position { line, column },
            format!(
                "not TOML ({})",
                cause.lines().collect::<Vec<_>>().join(", ")
            ),
            "one `field = value` per line, strings in quotes, tables under [name]",
        ),
        SettingsError::PathNotSet => file_fault("the file", "not named", "its path"),
    }
}

/// The result of a check: a summary of a valid file, or its faults.
pub struct FileCheck {
    pub file: PathBuf,
    pub outcome: Result<String, Faults>,
}

impl FileCheck {
    /// Returns the output and whether the file is valid.
    pub fn render(&self, json: bool) -> (String, bool) {
        let valid = self.outcome.is_ok();
        let output = if json {
            self.to_json().to_string() + "\n"
        } else {
            self.to_text("write")
        };
        (output, valid)
    }

    pub fn to_json(&self) -> Value {
        match &self.outcome {
            Ok(what) => {
                json!({"file": self.file, "ok": true, "what": what, "faults": [], "more": 0})
            }
            Err(faults) => {
                let each =
                    |f: &Fault| json!({"place": f.place, "found": f.found, "instead": f.instead});
                let items: Vec<Value> = faults.faults.iter().map(each).collect();
                json!({"file": self.file, "ok": false, "faults": items, "more": faults.omitted})
            }
        }
    }

    /// One line per fault; `advice` precedes the expected value.
    pub fn to_text(&self, advice: &str) -> String {
        let file = self.file.display();
        match &self.outcome {
            Ok(what) => format!("{file}: {what}\n"),
            Err(faults) => {
                let line = |f: &Fault| {
                    format!(
                        "{file}: {} is {}; {advice} {}\n",
                        f.place, f.found, f.instead
                    )
                };
                let more = if faults.omitted > 0 {
                    format!("{file}: and {} more\n", faults.omitted)
                } else {
                    String::new()
                };
                faults.faults.iter().map(line).collect::<String>() + &more
            }
        }
    }
}

pub fn settings(file: &Path) -> FileCheck {
    let outcome = Node::read(file).map_err(settings_faults).map(|node| {
        let serves = if node.serves.is_empty() {
            "nobody".into()
        } else {
            node.serves.join(" and ")
        };
        let disk = match node.data {
            Some(_) => "a disk",
            None if node.serves("control_plane") => {
                "no disk, so that its controller only forwards calls,"
            }
            None => "no disk",
        };
        format!(
            "{} of {} serves {serves}, has {disk} and {}; can be used",
            node.name,
            node.zone,
            pluralize(node.seeds.len(), "seed")
        )
    });
    FileCheck {
        file: file.into(),
        outcome,
    }
}

pub fn deploy(file: &Path) -> FileCheck {
    let outcome = Deploy::read(file).map_err(settings_faults).map(|deploy| {
        let names: Vec<&str> = deploy.roles.keys().map(String::as_str).collect();
        // Only the first machines of a zone have a disk, and the file does not say how many.
        let may_lack_disk = |role: &Role| role.apart || role.amount != Amount::Count(1);
        let diskless: Vec<&str> = deploy
            .roles
            .iter()
            .filter(|(_, role)| {
                role.serves.iter().any(|whom| whom == "control_plane") && may_lack_disk(role)
            })
            .map(|(name, _)| name.as_str())
            .collect();
        let disks = match diskless.as_slice() {
            [] => String::new(),
            diskless => format!(
                "; on a machine without a disk, {} only forwards calls",
                diskless.join(", ")
            ),
        };
        format!(
            "{} ({}); can be used{disks}",
            pluralize(names.len(), "role"),
            names.join(", ")
        )
    });
    FileCheck {
        file: file.into(),
        outcome,
    }
}

pub fn configuration(file: &Path) -> FileCheck {
    let outcome = read(file).map(|route_table| {
        let mut hosts: Vec<&str> = route_table
            .routes()
            .map(|route| route.host.as_str())
            .collect();
        hosts.dedup();
        format!(
            "version {}, {}, {}, {}; can be used",
            route_table.version,
            pluralize(route_table.services.len(), "service"),
            pluralize(hosts.len(), "host"),
            pluralize(route_table.routes().len(), "route")
        )
    });
    FileCheck {
        file: file.into(),
        outcome,
    }
}

/// The result for a configuration that is too faulty for the requested command.
pub fn invalid_file(file: &Path, faults: Faults) -> FileCheck {
    FileCheck {
        file: file.into(),
        outcome: Err(faults),
    }
}

pub fn read(file: &Path) -> Result<RouteTable, Faults> {
    let mut bytes = Vec::new();
    let opened = File::open(file).map_err(|why| unreadable(&why))?;
    let limit = MAX_BYTES as u64 + 1;
    opened
        .take(limit)
        .read_to_end(&mut bytes)
        .map_err(|why| unreadable(&why))?;
    RouteTable::read(&bytes)
}
