//! Whether a store is as a controller left it: how far it reaches, and all that is wrong with it.

use crate::call::CannotAsk;
use crate::gateway::check::Checked;
use rookpulley_chain::{PersistedState, StoredSnapshot, StoredUpdate, find_inconsistencies};
use rookpulley_diagnostics::{FaultFormat, Faults, pluralize};
use rookpulley_registry::InstanceUpdate;
use rookpulley_routes::RouteTable;
use rookpulley_state::{StateMachine, Update};
use rookpulley_store::{Contents, InspectError, inspect};
use serde_json::{Value, json};
use std::path::Path;

static STORE: FaultFormat = FaultFormat {
    max_faults: 64,
    max_chars: 160,
    heading: |faults| format!("{} in the store", pluralize(faults, "fault")),
    help: "let the controller start and be filled by the others, or found the chain anew from a better store",
};

/// A store that could be opened, with all that is wrong with it.
pub struct Examined {
    pub contents: Contents,
    pub kept: PersistedState,
    pub faults: Faults,
    /// Its state is whole and this build reads it: a controller that starts with it is a possible source.
    pub usable: bool,
    /// The newest configuration that it holds, also one in the log.
    configuration: u64,
}

/// Examines a store. One that can't be opened is at fault itself.
pub fn examined(folder: &Path) -> Result<Result<Examined, Faults>, CannotAsk> {
    match inspect(folder) {
        Ok(contents) => Ok(Ok(Examined::of(contents))),
        Err(InspectError::Corrupted(_, why)) => {
            let found = format!("spoilt ({why})");
            Ok(Err(Faults::one(
                &STORE,
                "the store",
                found,
                "one that can be opened",
            )))
        }
        Err(why) => Err(CannotAsk::Store(why)),
    }
}

impl Examined {
    fn of(contents: Contents) -> Self {
        let kept = PersistedState::read(contents.chain_rows.iter().cloned());
        let mut faults = Faults::new(&STORE);
        if contents.identity.is_none() {
            faults.add(
                "the identity",
                "missing",
                "there since the controller's first start",
            );
        }
        for inconsistency in find_inconsistencies(&contents.chain_rows, contents.identity) {
            faults.add(
                inconsistency.place,
                inconsistency.found,
                inconsistency.expected,
            );
        }
        let chain = kept.status();
        let (mut ledger, mut usable) = (
            StateMachine::default(),
            kept.is_sound() && contents.identity.is_some(),
        );
        if let Some(StoredSnapshot {
            seq: update, bytes, ..
        }) = chain.snapshot
        {
            if let Err(why) = ledger.restore(bytes) {
                let found = format!("up to update {update} and unreadable ({why})");
                faults.add("snapshot", found, "one that this build wrote");
                usable = false;
            }
            if let Some((version, body)) = ledger.configuration() {
                of_configuration(&mut faults, format!("configuration {version}"), body);
            }
        }
        let mut configuration = ledger.version();
        for StoredUpdate { seq, body, .. } in &chain.log {
            match Update::decode(body) {
                Ok(Update::PutConfiguration { version, body }) => {
                    configuration = configuration.max(version);
                    let place = format!("configuration {version} in update {seq}");
                    of_configuration(&mut faults, place, &body);
                }
                Ok(_) => {}
                Err(why) => {
                    let found = format!("unreadable ({why})");
                    faults.add(format!("update {seq}"), found, "one that this build knows");
                }
            }
        }
        for (incarnation, value) in &contents.instance_rows {
            if postcard::from_bytes::<InstanceUpdate>(value).is_err() {
                let place = format!("the note on task {}", incarnation.escape_ascii());
                faults.add(
                    place,
                    format!("unreadable ({} bytes)", value.len()),
                    "what was heard of it",
                );
            }
        }
        Self {
            usable,
            faults,
            configuration,
            kept,
            contents,
        }
    }

    /// The last update that it holds.
    pub fn update(&self) -> u64 {
        let chain = self.kept.status();
        let snapshot = chain.snapshot.map_or(0, |snapshot| snapshot.seq);
        chain.log.last().map_or(snapshot, |update| update.seq)
    }

    fn newest(&self) -> u64 {
        self.kept
            .status()
            .views
            .last()
            .map_or(0, |view| view.number)
    }

    fn reaches(&self) -> String {
        let goes_on = match (self.usable, self.kept.is_sound()) {
            (true, _) => "a controller goes on with it",
            (_, true) => "a controller starts with it, and its state is no source",
            _ => "unsound, a controller begins it anew as an empty disk",
        };
        format!(
            "installed view {} (newest known {}), update {}, configuration {}; {goes_on}",
            self.kept.status().installed,
            self.newest(),
            self.update(),
            self.configuration
        )
    }

    fn as_json(&self) -> Value {
        json!({"installed": self.kept.status().installed, "view": self.newest(), "update": self.update(),
            "configVersion": self.configuration, "sound": self.kept.is_sound(), "usable": self.usable})
    }
}

fn of_configuration(faults: &mut Faults, place: String, body: &[u8]) {
    let Err(told) = RouteTable::read(body) else {
        return;
    };
    for fault in told.faults {
        faults.add(
            format!("{place}, {}", fault.place),
            fault.found,
            fault.instead,
        );
    }
    faults.omitted += told.omitted;
}

/// What is printed of an examined store, and whether nothing is wrong with it. `refused`: why something else that was
/// asked of it isn't done.
pub fn told(
    json: bool,
    folder: &Path,
    examined: &Result<Examined, Faults>,
    refused: Option<&str>,
) -> (String, bool) {
    let (faults, reaches) = match examined {
        Ok(store) => (&store.faults, Some((store.reaches(), store.as_json()))),
        Err(faults) => (faults, None),
    };
    let what = reaches
        .as_ref()
        .map_or(String::new(), |(what, _)| what.clone());
    let verdict = if faults.is_empty() {
        Ok(what.clone())
    } else {
        Err(faults.clone())
    };
    let checked = Checked {
        file: folder.into(),
        verdict,
    };
    let well = checked.verdict.is_ok();
    if json {
        let mut said = checked.said();
        said["reaches"] = reaches.map_or(Value::Null, |(_, reaches)| reaches);
        if let Some(why) = refused {
            (said["done"], said["refused"]) = (false.into(), why.into());
        }
        return (said.to_string() + "\n", well);
    }
    let mut lines = checked.lines("it should be");
    if !well && !what.is_empty() {
        lines += &format!("{}: {what}\n", folder.display());
    }
    lines += &refused.map_or(String::new(), |why| {
        format!("{}: {why}\n", folder.display())
    });
    (lines, well)
}

pub fn checked(json: bool, folder: &Path) -> Result<(String, bool), CannotAsk> {
    Ok(told(json, folder, &examined(folder)?, None))
}
