//! What is wrong with a file: the place, what was found there, what to write instead.

use rookpulley_addressbook::{BYTES_MOST, Book};
use rookpulley_settings::{Deploy, Node, SettingsError};
use serde_json::{Value, json};
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

pub struct Fault {
    place: String,
    found: String,
    instead: String,
}

impl Fault {
    fn new(place: impl ToString, found: impl ToString, instead: impl ToString) -> Self {
        Self { place: place.to_string(), found: found.to_string(), instead: instead.to_string() }
    }
}

#[derive(Default)]
pub struct Faults {
    faults: Vec<Fault>,
    /// How many more there are.
    more: usize,
}

impl Faults {
    fn one(fault: Fault) -> Self {
        Self { faults: vec![fault], more: 0 }
    }

    fn unreadable(why: &std::io::Error) -> Self {
        Self::one(Fault::new(
            "the file",
            format!("unreadable ({why})"),
            "the path of a file that you may read",
        ))
    }
}

impl From<SettingsError> for Faults {
    fn from(error: SettingsError) -> Self {
        match error {
            SettingsError::Faulty(told) => {
                let each = told.faults.into_iter().map(|f| Fault::new(f.field, f.found, f.instead));
                Self { faults: each.collect(), more: told.untold }
            }
            SettingsError::Unreadable { cause, .. } => Self::unreadable(&cause),
            SettingsError::TooLong { bytes, most } => {
                let instead = format!("at most {most}; it takes a few kilobytes");
                Self::one(Fault::new("the file", format!("over {} bytes long", bytes.min(most)), instead))
            }
            SettingsError::NotToml { line, column, cause } => Self::one(Fault::new(
                format!("line {line}, column {column}"),
                format!("no TOML ({})", cause.lines().collect::<Vec<_>>().join(", ")),
                "one `field = value` a line, texts in quotes, tables under [name]",
            )),
            SettingsError::NotTold => Self::one(Fault::new("the file", "not named", "its path")),
        }
    }
}

/// What came of a check: a sentence on a good file, or all that is wrong with it.
pub struct Checked {
    file: PathBuf,
    verdict: Result<String, Faults>,
}

impl Checked {
    /// What is printed, and whether the file can be used.
    pub fn told(&self, json: bool) -> (String, bool) {
        let well = self.verdict.is_ok();
        if json {
            let said = match &self.verdict {
                Ok(what) => json!({"file": self.file, "ok": true, "what": what, "faults": [], "more": 0}),
                Err(told) => {
                    let each = |f: &Fault| json!({"place": f.place, "found": f.found, "instead": f.instead});
                    let faults: Vec<Value> = told.faults.iter().map(each).collect();
                    json!({"file": self.file, "ok": false, "faults": faults, "more": told.more})
                }
            };
            return (said.to_string() + "\n", well);
        }
        let file = self.file.display();
        let said = match &self.verdict {
            Ok(what) => format!("{file}: {what}\n"),
            Err(told) => {
                let line = |f: &Fault| format!("{file}: {} is {}; write {}\n", f.place, f.found, f.instead);
                let more =
                    if told.more > 0 { format!("{file}: and {} more\n", told.more) } else { String::new() };
                told.faults.iter().map(line).collect::<String>() + &more
            }
        };
        (said, well)
    }
}

pub fn counted(count: usize, what: &str) -> String {
    if count == 1 { format!("1 {what}") } else { format!("{count} {what}s") }
}

pub fn settings(file: &Path) -> Checked {
    let verdict = Node::read(file).map_err(Faults::from).map(|node| {
        let serves = if node.serves.is_empty() { "nobody".into() } else { node.serves.join(" and ") };
        let disk = if node.data.is_some() { "a disk" } else { "no disk" };
        format!(
            "{} of {} serves {serves}, has {disk} and {}; can be used",
            node.name,
            node.zone,
            counted(node.seeds.len(), "seed")
        )
    });
    Checked { file: file.into(), verdict }
}

pub fn deploy(file: &Path) -> Checked {
    let verdict = Deploy::read(file).map_err(Faults::from).map(|deploy| {
        let names: Vec<&str> = deploy.roles.keys().map(String::as_str).collect();
        format!("{} ({}); can be used", counted(names.len(), "role"), names.join(", "))
    });
    Checked { file: file.into(), verdict }
}

pub fn configuration(file: &Path) -> Checked {
    let verdict = read(file).map(|book| {
        let mut hosts: Vec<&str> = book.routes().iter().map(|route| route.host.as_str()).collect();
        hosts.dedup();
        format!(
            "version {}, {}, {}, {}; can be taken",
            book.version,
            counted(book.services.len(), "service"),
            counted(hosts.len(), "host"),
            counted(book.routes().len(), "route")
        )
    });
    Checked { file: file.into(), verdict }
}

/// What is wrong with a configuration that something else was to be told of.
pub fn refused(file: &Path, faults: Faults) -> Checked {
    Checked { file: file.into(), verdict: Err(faults) }
}

pub fn read(file: &Path) -> Result<Book, Faults> {
    let mut bytes = Vec::new();
    let opened = File::open(file).map_err(|why| Faults::unreadable(&why))?;
    let most = BYTES_MOST as u64 + 1;
    opened.take(most).read_to_end(&mut bytes).map_err(|why| Faults::unreadable(&why))?;
    Book::read(&bytes).map_err(|told| {
        let each = told.faults.into_iter().map(|f| Fault::new(f.place, f.found, f.instead));
        Faults { faults: each.collect(), more: told.untold }
    })
}
