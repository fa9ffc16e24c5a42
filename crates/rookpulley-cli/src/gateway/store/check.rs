//! Checks a controller's store: its latest view, update and configuration, and its faults.

use crate::call::CommandError;
use crate::gateway::check::FileCheck;
use rookpulley_chain::{PersistedState, StoredSnapshot, StoredUpdate, find_inconsistencies};
use rookpulley_diagnostics::{FaultFormat, Faults, pluralize};
use rookpulley_registry::InstanceUpdate;
use rookpulley_routes::RouteTable;
use rookpulley_state::{StateMachine, Update};
use rookpulley_store::{Contents, InspectError, inspect};
use serde_json::{Value, json};
use std::path::Path;

static STORE_FAULTS: FaultFormat = FaultFormat {
    max_faults: 64,
    max_chars: 160,
    heading: |faults| format!("{} in the store", pluralize(faults, "fault")),
    help: "start the controller so that the other members send it their state, or refound the chain from a better store",
};

/// A store that could be opened, with its faults.
pub struct ExaminedStore {
    pub contents: Contents,
    pub persisted: PersistedState,
    pub faults: Faults,
    /// The state is complete and readable by this build, so a controller that starts with it can be a recovery source.
    pub usable: bool,
    /// The newest configuration version in the snapshot or the log.
    configuration: u64,
}

/// Opens a store and looks for faults. A corrupted store that cannot be opened counts as one fault.
pub fn examine(folder: &Path) -> Result<Result<ExaminedStore, Faults>, CommandError> {
    match inspect(folder) {
        Ok(contents) => Ok(Ok(ExaminedStore::new(contents))),
        Err(InspectError::Corrupted(_, error)) => {
            let found = format!("corrupted ({error})");
            Ok(Err(Faults::one(
                &STORE_FAULTS,
                "the store",
                found,
                "one that can be opened",
            )))
        }
        Err(error) => Err(CommandError::Store(error)),
    }
}

impl ExaminedStore {
    fn new(contents: Contents) -> Self {
        let persisted = PersistedState::read(contents.chain_rows.iter().cloned());
        let mut faults = Faults::new(&STORE_FAULTS);
        if contents.identity.is_none() {
            faults.add(
                "the identity",
                "missing",
                "present since the controller's first start",
            );
        }
        for inconsistency in find_inconsistencies(&contents.chain_rows, contents.identity) {
            faults.add(
                inconsistency.place,
                inconsistency.found,
                inconsistency.expected,
            );
        }
        let chain = persisted.status();
        let (mut state_machine, mut usable) = (
            StateMachine::default(),
            persisted.is_sound() && contents.identity.is_some(),
        );
        if let Some(StoredSnapshot {
            seq: update, bytes, ..
        }) = chain.snapshot
        {
            if let Err(error) = state_machine.restore(bytes) {
                let found = format!("up to update {update} and unreadable ({error})");
                faults.add("snapshot", found, "one that this build wrote");
                usable = false;
            }
            if let Some((version, body)) = state_machine.configuration() {
                add_configuration_faults(&mut faults, format!("configuration {version}"), body);
            }
        }
        let mut configuration = state_machine.version();
        for StoredUpdate { seq, body, .. } in &chain.log {
            match Update::decode(body) {
                Ok(Update::PutConfiguration { version, body }) => {
                    configuration = configuration.max(version);
                    let place = format!("configuration {version} in update {seq}");
                    add_configuration_faults(&mut faults, place, &body);
                }
                Ok(_) => {}
                Err(error) => {
                    let found = format!("unreadable ({error})");
                    faults.add(format!("update {seq}"), found, "one that this build knows");
                }
            }
        }
        for (incarnation, value) in &contents.instance_rows {
            if postcard::from_bytes::<InstanceUpdate>(value).is_err() {
                let place = format!("the record of instance {}", incarnation.escape_ascii());
                faults.add(
                    place,
                    format!("unreadable ({} bytes)", value.len()),
                    "an instance update",
                );
            }
        }
        Self {
            usable,
            faults,
            configuration,
            persisted,
            contents,
        }
    }

    /// The last update in the log, or that of the snapshot if the log is empty.
    pub fn update(&self) -> u64 {
        let chain = self.persisted.status();
        let snapshot = chain.snapshot.map_or(0, |snapshot| snapshot.seq);
        chain.log.last().map_or(snapshot, |update| update.seq)
    }

    fn newest(&self) -> u64 {
        self.persisted
            .status()
            .views
            .last()
            .map_or(0, |view| view.number)
    }

    fn extent(&self) -> String {
        let startup = match (self.usable, self.persisted.is_sound()) {
            (true, _) => "a controller resumes from it",
            (_, true) => "a controller starts with it, but its state is not a recovery source",
            _ => "inconsistent, a controller treats it as an empty disk",
        };
        format!(
            "installed view {} (newest known {}), update {}, configuration {}; {startup}",
            self.persisted.status().installed,
            self.newest(),
            self.update(),
            self.configuration
        )
    }

    fn as_json(&self) -> Value {
        json!({"installed": self.persisted.status().installed, "view": self.newest(), "update": self.update(),
            "configVersion": self.configuration, "sound": self.persisted.is_sound(), "usable": self.usable})
    }
}

fn add_configuration_faults(faults: &mut Faults, place: String, body: &[u8]) {
    let Err(invalid) = RouteTable::read(body) else {
        return;
    };
    for fault in invalid.faults {
        faults.add(
            format!("{place}, {}", fault.place),
            fault.found,
            fault.instead,
        );
    }
    faults.omitted += invalid.omitted;
}

/// Formats the result of a check and returns whether the store has no faults. `rejection` is the reason why another
/// requested operation was not performed.
pub fn render(
    json: bool,
    folder: &Path,
    examined: &Result<ExaminedStore, Faults>,
    rejection: Option<&str>,
) -> (String, bool) {
    let (faults, extent) = match examined {
        Ok(store) => (&store.faults, Some((store.extent(), store.as_json()))),
        Err(faults) => (faults, None),
    };
    let what = extent
        .as_ref()
        .map_or(String::new(), |(what, _)| what.clone());
    let outcome = if faults.is_empty() {
        Ok(what.clone())
    } else {
        Err(faults.clone())
    };
    let file_check = FileCheck {
        file: folder.into(),
        outcome,
    };
    let valid = file_check.outcome.is_ok();
    if json {
        let mut output = file_check.to_json();
        output["reaches"] = extent.map_or(Value::Null, |(_, extent)| extent);
        if let Some(error) = rejection {
            (output["done"], output["refused"]) = (false.into(), error.into());
        }
        return (output.to_string() + "\n", valid);
    }
    let mut lines = file_check.to_text("it should be");
    if !valid && !what.is_empty() {
        lines += &format!("{}: {what}\n", folder.display());
    }
    lines += &rejection.map_or(String::new(), |error| {
        format!("{}: {error}\n", folder.display())
    });
    (lines, valid)
}

pub fn check(json: bool, folder: &Path) -> Result<(String, bool), CommandError> {
    Ok(render(json, folder, &examine(folder)?, None))
}
