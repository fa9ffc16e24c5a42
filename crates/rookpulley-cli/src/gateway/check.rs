//! What is wrong with a file: the place, what was found there, what to write instead.

use rookpulley_diagnostics::{Fault, FaultFormat, Faults, Position, pluralize};
use rookpulley_routes::{MAX_BYTES, RouteTable};
use rookpulley_settings::{Amount, Deploy, Node, Role, SettingsError};
use serde_json::{Value, json};
use std::fmt::Display;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

/// How the faults of a file that can't be read are told: whole, as there is one.
static FILE: FaultFormat = FaultFormat {
    max_faults: 1,
    max_chars: usize::MAX,
    heading: |_| "the file can't be read".into(),
    help: "name a file of this kind",
};

fn one(place: impl Display, found: impl Display, instead: impl Display) -> Faults {
    Faults::one(&FILE, place, found, instead)
}

fn unreadable(why: &std::io::Error) -> Faults {
    one(
        "the file",
        format!("unreadable ({why})"),
        "the path of a file that you may read",
    )
}

fn untaken(error: SettingsError) -> Faults {
    match error {
        SettingsError::Invalid(told) => told,
        SettingsError::Unreadable { cause, .. } => unreadable(&cause),
        SettingsError::TooLong { bytes, max } => {
            let instead = format!("at most {max}; it takes a few kilobytes");
            one(
                "the file",
                format!("over {} bytes long", bytes.min(max)),
                instead,
            )
        }
        SettingsError::NotToml {
            line,
            column,
            cause,
        } => one(
            Position { line, column },
            format!("no TOML ({})", cause.lines().collect::<Vec<_>>().join(", ")),
            "one `field = value` a line, texts in quotes, tables under [name]",
        ),
        SettingsError::PathNotSet => one("the file", "not named", "its path"),
    }
}

/// What came of a check: a sentence on a good file, or all that is wrong with it.
pub struct Checked {
    pub file: PathBuf,
    pub verdict: Result<String, Faults>,
}

impl Checked {
    /// What is printed, and whether the file can be used.
    pub fn told(&self, json: bool) -> (String, bool) {
        let well = self.verdict.is_ok();
        let said = if json {
            self.said().to_string() + "\n"
        } else {
            self.lines("write")
        };
        (said, well)
    }

    pub fn said(&self) -> Value {
        match &self.verdict {
            Ok(what) => {
                json!({"file": self.file, "ok": true, "what": what, "faults": [], "more": 0})
            }
            Err(told) => {
                let each =
                    |f: &Fault| json!({"place": f.place, "found": f.found, "instead": f.instead});
                let faults: Vec<Value> = told.faults.iter().map(each).collect();
                json!({"file": self.file, "ok": false, "faults": faults, "more": told.omitted})
            }
        }
    }

    /// `mend` stands before what should be there.
    pub fn lines(&self, mend: &str) -> String {
        let file = self.file.display();
        match &self.verdict {
            Ok(what) => format!("{file}: {what}\n"),
            Err(told) => {
                let line = |f: &Fault| {
                    format!("{file}: {} is {}; {mend} {}\n", f.place, f.found, f.instead)
                };
                let more = if told.omitted > 0 {
                    format!("{file}: and {} more\n", told.omitted)
                } else {
                    String::new()
                };
                told.faults.iter().map(line).collect::<String>() + &more
            }
        }
    }
}

pub fn settings(file: &Path) -> Checked {
    let verdict = Node::read(file).map_err(untaken).map(|node| {
        let serves = if node.serves.is_empty() {
            "nobody".into()
        } else {
            node.serves.join(" and ")
        };
        let disk = match node.data {
            Some(_) => "a disk",
            None if node.serves("control_plane") => {
                "no disk, so that its controller only passes calls on,"
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
    Checked {
        file: file.into(),
        verdict,
    }
}

pub fn deploy(file: &Path) -> Checked {
    let verdict = Deploy::read(file).map_err(untaken).map(|deploy| {
        let names: Vec<&str> = deploy.roles.keys().map(String::as_str).collect();
        // Only the first machines of a zone have a disk, and the file doesn't say how many do.
        let beyond = |role: &Role| role.apart || role.amount != Amount::Count(1);
        let may: Vec<&str> = deploy
            .roles
            .iter()
            .filter(|(_, role)| {
                role.serves.iter().any(|whom| whom == "control_plane") && beyond(role)
            })
            .map(|(name, _)| name.as_str())
            .collect();
        let disks = match may.as_slice() {
            [] => String::new(),
            may => format!(
                "; on a machine without a disk, {} only passes calls on",
                may.join(", ")
            ),
        };
        format!(
            "{} ({}); can be used{disks}",
            pluralize(names.len(), "role"),
            names.join(", ")
        )
    });
    Checked {
        file: file.into(),
        verdict,
    }
}

pub fn configuration(file: &Path) -> Checked {
    let verdict = read(file).map(|book| {
        let mut hosts: Vec<&str> = book.routes().map(|route| route.host.as_str()).collect();
        hosts.dedup();
        format!(
            "version {}, {}, {}, {}; can be taken",
            book.version,
            pluralize(book.services.len(), "service"),
            pluralize(hosts.len(), "host"),
            pluralize(book.routes().len(), "route")
        )
    });
    Checked {
        file: file.into(),
        verdict,
    }
}

/// What is wrong with a configuration that something else was to be told of.
pub fn refused(file: &Path, faults: Faults) -> Checked {
    Checked {
        file: file.into(),
        verdict: Err(faults),
    }
}

pub fn read(file: &Path) -> Result<RouteTable, Faults> {
    let mut bytes = Vec::new();
    let opened = File::open(file).map_err(|why| unreadable(&why))?;
    let most = MAX_BYTES as u64 + 1;
    opened
        .take(most)
        .read_to_end(&mut bytes)
        .map_err(|why| unreadable(&why))?;
    RouteTable::read(&bytes)
}
