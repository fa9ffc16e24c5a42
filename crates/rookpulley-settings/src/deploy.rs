//! The deploy file: how the system is built and which program runs on which machines.

use crate::faults::{SETTINGS, SettingsError};
use crate::fields::Table;
use crate::read::{CLIENTS, CONTROL, text, values};
use rookpulley_diagnostics::Faults;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use tinyjson::JsonValue;

/// The only machine class.
const MACHINE_CLASS: &str = "edge";
/// The maximum number of roles on one machine.
const MAX_ROLES: usize = 2;
const MAX_COUNT: f64 = 1e6;
/// Programs that only start another one; the file has to name that one directly.
const WRAPPERS: [&str; 13] = [
    "sh", "bash", "dash", "zsh", "fish", "env", "npx", "nohup", "nice", "sudo", "exec", "timeout",
    "setsid",
];
/// Characters that only have a meaning in a shell.
const SHELL_CHARS: [char; 11] = ['|', '&', ';', '<', '>', '$', '`', '"', '\'', '\\', '*'];

/// The content of the deploy file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deploy {
    pub build: String,
    /// System packages that a clean build needs.
    pub packages: Vec<String>,
    pub roles: BTreeMap<String, Role>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// The program and its arguments.
    pub run: Vec<String>,
    pub on: String,
    pub amount: Amount,
    /// Placed on the last machines of a zone instead of the first.
    pub apart: bool,
    pub serves: Vec<String>,
}

/// The number of machines per zone that run a role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// A fraction above 0 and up to 1, rounded up to whole machines.
    Share(f64),
    Count(u32),
}

impl Amount {
    /// The number of machines in a zone of `machines` machines.
    pub fn machines_in_zone(self, machines: u32) -> u32 {
        match self {
            Amount::Share(share) => (share * f64::from(machines)).ceil() as u32,
            Amount::Count(count) => count.min(machines),
        }
    }
}

impl Role {
    fn serves(&self, audience: &str) -> bool {
        self.serves.iter().any(|one| one == audience)
    }

    /// Whether it runs on all machines. A role that serves clients does, whatever its share or count.
    fn runs_everywhere(&self) -> bool {
        self.serves(CLIENTS) || self.amount == Amount::Share(1.0)
    }
}

impl Deploy {
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&text(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let (file, faults) = (values(text)?, RefCell::new(Faults::new(&SETTINGS)));
        let deploy = deploy(&Table::root(&file, &faults));
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(deploy)
        } else {
            Err(faults.into())
        }
    }
}

fn deploy(file: &Table) -> Deploy {
    file.reject_unknown(&["build", "packages", "roles"]);
    let build = file.required_string(
        "build",
        "the build command, such as \"cargo build --release\"",
    );
    let packages = packages(file);
    let table = file.table("roles");
    let tables = table
        .names()
        .into_iter()
        .map(|name| (name.to_string(), table.table(name)));
    let tables: BTreeMap<String, Table> = tables.filter(|(_, table)| table.exists()).collect();
    let roles: BTreeMap<String, Role> = tables
        .iter()
        .map(|(name, of)| (name.clone(), role(of)))
        .collect();
    if roles.is_empty() {
        file.report(
            "roles",
            "missing or empty",
            "a table [roles.NAME] for each program",
        );
    } else {
        check_serves(file, &tables, &roles);
    }
    check_placement(file, &roles);
    Deploy {
        build,
        packages,
        roles,
    }
}

fn packages(file: &Table) -> Vec<String> {
    let named = |item: &JsonValue| {
        item.get::<String>()
            .filter(|name| is_package_name(name))
            .cloned()
    };
    let packages = file.list(
        "packages",
        "names of system packages, such as \"gcc\"",
        named,
    );
    for (at, name) in packages.iter().enumerate() {
        if packages.iter().take(at).any(|before| before == name) {
            file.report(
                "packages",
                &format!("a list that contains {name:?} twice"),
                "each once",
            );
        }
    }
    packages
}

/// Whether a name has two or more lower-case letters, digits and `+-.`, and begins with a letter or digit.
fn is_package_name(name: &str) -> bool {
    let alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() >= 2
        && name.starts_with(alphanumeric)
        && name.chars().all(|c| alphanumeric(c) || "+-.".contains(c))
}

fn role(table: &Table) -> Role {
    table.reject_unknown(&["run", "on", "share", "count", "apart", "serves"]);
    let on = table.required_string("on", "the machine class, \"edge\"");
    if !on.is_empty() && on != MACHINE_CLASS {
        table.report(
            "on",
            &format!("{on:?}, which is not a machine class"),
            "\"edge\"",
        );
    }
    let known = |item: &JsonValue| {
        item.get::<String>()
            .filter(|audience| [CLIENTS, CONTROL].contains(&audience.as_str()))
            .cloned()
    };
    let serves = table.list(
        "serves",
        "\"edge\" for clients, \"control_plane\" for tasks and operators",
        known,
    );
    for (at, audience) in serves.iter().enumerate() {
        if serves.iter().take(at).any(|before| before == audience) {
            table.report(
                "serves",
                &format!("a list that contains {audience:?} twice"),
                "each once",
            );
        }
    }
    Role {
        run: run(table),
        on,
        amount: amount(table),
        apart: table.boolean("apart", false),
        serves,
    }
}

fn run(table: &Table) -> Vec<String> {
    let line = table.required_string("run", "a program and its arguments, split at spaces");
    let words: Vec<String> = line.split_whitespace().map(String::from).collect();
    let Some(program) = words.first() else {
        return words;
    };
    let name = program.rsplit('/').next().unwrap_or_default();
    if let Some(character) = line
        .chars()
        .find(|character| SHELL_CHARS.contains(character))
    {
        let found = format!("a command with {character}, which no shell interprets: {line:?}");
        table.report("run", &found, "the program and plain arguments alone");
    } else if program.contains('=') {
        let found = format!("a command that begins with a variable: {line:?}");
        table.report(
            "run",
            &found,
            "the program first; its environment has only PATH, HOME, JAVA_HOME and LANG",
        );
    } else if WRAPPERS.contains(&name) {
        let found = format!("a command that starts the program through a wrapper: {line:?}");
        table.report("run", &found, "the program itself");
    }
    words
}

fn amount(table: &Table) -> Amount {
    let number = |min_exclusive: f64, max: f64| {
        move |value: &JsonValue| {
            value
                .get::<f64>()
                .copied()
                .filter(|n| *n > min_exclusive && *n <= max)
        }
    };
    let share = table.optional("share", "a number above 0 and up to 1", number(0.0, 1.0));
    let whole =
        |value: &JsonValue| number(0.0, MAX_COUNT)(value).filter(|count| count.fract() == 0.0);
    let count = table.optional("count", "a whole number, at least 1", whole);
    match (table.has("share"), table.has("count")) {
        (true, true) => table.report("count", "there beside share", "one of the two"),
        (false, false) => {
            table.report(
                "share",
                "missing, and so is count",
                "a share such as 1.0, or a count such as 1",
            );
        }
        _ => {}
    }
    match (share, count) {
        (_, Some(count)) => Amount::Count(count as u32),
        (share, None) => Amount::Share(share.unwrap_or(1.0)),
    }
}

/// Checks that each audience is served, and by one role per machine class.
fn check_serves(file: &Table, tables: &BTreeMap<String, Table>, roles: &BTreeMap<String, Role>) {
    for audience in [CLIENTS, CONTROL] {
        let mut serving = roles.iter().filter(|(_, role)| role.serves(audience));
        let Some((first, held)) = serving.next() else {
            let found = format!("a table with no role that serves {audience:?}");
            file.report(
                "roles",
                &found,
                &format!("serves = [{audience:?}] in one of them"),
            );
            continue;
        };
        for (name, _) in serving.filter(|(_, role)| role.on == held.on) {
            let found =
                format!("a list with {audience:?}, which roles.{first} on the same class serves");
            let table = tables.get(name);
            table
                .into_iter()
                .for_each(|t| t.report("serves", &found, "what no other role on it serves"));
        }
    }
}

/// Checks the number of roles on the first and on the last machine of a zone, where roles accumulate.
fn check_placement(file: &Table, roles: &BTreeMap<String, Role>) {
    for (end, apart) in [("first", false), ("last", true)] {
        let there = roles.iter().filter(|(_, role)| role.on == MACHINE_CLASS);
        let there = there.filter(|(_, role)| role.apart == apart || role.runs_everywhere());
        let names: Vec<&str> = there.map(|(name, _)| name.as_str()).collect();
        if names.len() > MAX_ROLES {
            let (count, names) = (names.len(), names.join(", "));
            let found =
                format!("a table that places {count} roles on a zone's {end} machine ({names})");
            file.report(
                "roles",
                &found,
                "at most two roles per machine; apart = true places a role at the other end",
            );
        }
    }
}
