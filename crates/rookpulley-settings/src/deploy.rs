//! The deploy file: how the system is built, and which program runs on which machines.

use crate::faults::{SETTINGS, SettingsError};
use crate::fields::Table;
use crate::read::{CLIENTS, CONTROL, text, values};
use rookpulley_diagnostics::Faults;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use tinyjson::JsonValue;

/// The one class of machines that there is.
const CLASS: &str = "edge";
/// So many roles may run on one machine.
const ROLES_A_MACHINE: usize = 2;
const COUNT_MOST: f64 = 1e6;
/// What would start another program: the program itself is to be named.
const HELPERS: [&str; 13] = [
    "sh", "bash", "dash", "zsh", "fish", "env", "npx", "nohup", "nice", "sudo", "exec", "timeout",
    "setsid",
];
/// What only a shell would make something of.
const FOR_SHELLS: [char; 11] = ['|', '&', ';', '<', '>', '$', '`', '"', '\'', '\\', '*'];

/// Which program runs where.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deploy {
    pub build: String,
    /// System packages that a clean build needs, by the names under which the package manager knows them.
    pub packages: Vec<String>,
    pub roles: BTreeMap<String, Role>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// The program and its arguments.
    pub run: Vec<String>,
    pub on: String,
    pub amount: Amount,
    /// Taken from the end of a zone's machines instead of their start.
    pub apart: bool,
    pub serves: Vec<String>,
}

/// How many of a zone's machines run a role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// Over 0 and up to 1, rounded up to whole machines.
    Share(f64),
    Count(u32),
}

impl Amount {
    /// How many of a zone's machines that is.
    pub fn of(self, machines: u32) -> u32 {
        match self {
            Amount::Share(share) => (share * f64::from(machines)).ceil() as u32,
            Amount::Count(count) => count.min(machines),
        }
    }
}

impl Role {
    fn serves(&self, whom: &str) -> bool {
        self.serves.iter().any(|one| one == whom)
    }

    /// What carries the traffic runs on all machines, whatever it is given.
    fn everywhere(&self) -> bool {
        self.serves(CLIENTS) || self.amount == Amount::Share(1.0)
    }
}

impl Deploy {
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&text(path)?)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let (file, faults) = (values(text)?, RefCell::new(Faults::none(&SETTINGS)));
        let deploy = deploy(&Table::top(&file, &faults));
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(deploy)
        } else {
            Err(faults.into())
        }
    }
}

fn deploy(file: &Table) -> Deploy {
    file.only(&["build", "packages", "roles"]);
    let build = file.text_needed(
        "build",
        "the line that builds it, such as \"cargo build --release\"",
    );
    let packages = packages(file);
    let table = file.table("roles");
    let tables = table
        .names()
        .into_iter()
        .map(|name| (name.to_string(), table.table(name)));
    let tables: BTreeMap<String, Table> = tables.filter(|(_, table)| table.is_there()).collect();
    let roles: BTreeMap<String, Role> = tables
        .iter()
        .map(|(name, of)| (name.clone(), role(of)))
        .collect();
    if roles.is_empty() {
        file.note(
            "roles",
            "missing or empty",
            "a table [roles.NAME] for each program",
        );
    } else {
        serve_each_once(file, &tables, &roles);
    }
    fit_machines(file, &roles);
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
            file.note(
                "packages",
                &format!("a list that has {name:?} twice"),
                "each once",
            );
        }
    }
    packages
}

/// Whether this may be a package's name: two or more small letters, digits and `+-.`, the first a letter or digit.
fn is_package_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() >= 2 && name.starts_with(fits) && name.chars().all(|c| fits(c) || "+-.".contains(c))
}

fn role(table: &Table) -> Role {
    table.only(&["run", "on", "share", "count", "apart", "serves"]);
    let on = table.text_needed("on", "the class of machines, \"edge\"");
    if !on.is_empty() && on != CLASS {
        table.note(
            "on",
            &format!("{on:?}, which is no class of machines"),
            "\"edge\"",
        );
    }
    let known = |item: &JsonValue| {
        item.get::<String>()
            .filter(|whom| [CLIENTS, CONTROL].contains(&whom.as_str()))
            .cloned()
    };
    let serves = table.list(
        "serves",
        "\"edge\" for clients, \"control_plane\" for tasks and operators",
        known,
    );
    for (at, whom) in serves.iter().enumerate() {
        if serves.iter().take(at).any(|before| before == whom) {
            table.note(
                "serves",
                &format!("a list that has {whom:?} twice"),
                "each once",
            );
        }
    }
    Role {
        run: run(table),
        on,
        amount: amount(table),
        apart: table.flag("apart", false),
        serves,
    }
}

fn run(table: &Table) -> Vec<String> {
    let line = table.text_needed("run", "a program and its arguments, split at spaces");
    let words: Vec<String> = line.split_whitespace().map(String::from).collect();
    let Some(program) = words.first() else {
        return words;
    };
    let name = program.rsplit('/').next().unwrap_or_default();
    if let Some(sign) = line.chars().find(|sign| FOR_SHELLS.contains(sign)) {
        let found = format!("a line with {sign}, which no shell reads: {line:?}");
        table.note("run", &found, "the program and plain arguments alone");
    } else if program.contains('=') {
        let found = format!("a line that begins with a variable: {line:?}");
        table.note(
            "run",
            &found,
            "the program first; of variables it gets PATH, HOME, JAVA_HOME and LANG",
        );
    } else if HELPERS.contains(&name) {
        let found = format!("a line that has a helper start the program: {line:?}");
        table.note("run", &found, "that program itself");
    }
    words
}

fn amount(table: &Table) -> Amount {
    let number = |least_out: f64, most: f64| {
        move |value: &JsonValue| {
            value
                .get::<f64>()
                .copied()
                .filter(|n| *n > least_out && *n <= most)
        }
    };
    let share = table.take("share", "a number over 0 and up to 1", number(0.0, 1.0));
    let whole =
        |value: &JsonValue| number(0.0, COUNT_MOST)(value).filter(|count| count.fract() == 0.0);
    let count = table.take("count", "a whole number from 1 on", whole);
    match (table.has("share"), table.has("count")) {
        (true, true) => table.note("count", "there beside share", "one of the two"),
        (false, false) => {
            table.note(
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

/// Callers of a class find one role there that serves them.
fn serve_each_once(file: &Table, tables: &BTreeMap<String, Table>, roles: &BTreeMap<String, Role>) {
    for whom in [CLIENTS, CONTROL] {
        let mut serving = roles.iter().filter(|(_, role)| role.serves(whom));
        let Some((first, held)) = serving.next() else {
            let found = format!("a table with no role that serves {whom:?}");
            file.note(
                "roles",
                &found,
                &format!("serves = [{whom:?}] in one of them"),
            );
            continue;
        };
        for (name, _) in serving.filter(|(_, role)| role.on == held.on) {
            let found =
                format!("a list with {whom:?}, which roles.{first} on the same class serves");
            let table = tables.get(name);
            table
                .into_iter()
                .for_each(|t| t.note("serves", &found, "what no other role on it serves"));
        }
    }
}

/// The machines of a zone are taken from the start, or from the end by what stands apart.
fn fit_machines(file: &Table, roles: &BTreeMap<String, Role>) {
    for (end, apart) in [("first", false), ("last", true)] {
        let there = roles.iter().filter(|(_, role)| role.on == CLASS);
        let there = there.filter(|(_, role)| role.apart == apart || role.everywhere());
        let names: Vec<&str> = there.map(|(name, _)| name.as_str()).collect();
        if names.len() > ROLES_A_MACHINE {
            let (count, names) = (names.len(), names.join(", "));
            let found = format!("a table that puts {count} on a zone's {end} machine ({names})");
            file.note(
                "roles",
                &found,
                "two roles a machine at most; apart = true takes the other end",
            );
        }
    }
}
