//! Servers listed by a file: what the file and discovery say, turned into lists for the module.

use crate::driver::{Event, Front};
use crate::messages::{ELSEWHERE, List, Words, server_id};
use crate::say;
use rookpulley::interface::{ListScope, ServerEntry, Stage, Start};
use rookpulley_files::watch::{Found, follow};
use rookpulley_lists::{Deployment, ServerLists, ServerUpdate};
use rookpulley_operators::api::{ServerList, ServerRow};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc;

pub struct Servers {
    file: PathBuf,
    lists: ServerLists,
    not_taken: Option<String>,
    pass_at_ms: f64,
}

impl Servers {
    pub fn new(file: PathBuf, start: &Start, words: &Words) -> Self {
        let lists = ServerLists::new(
            Deployment::from_start(start, &words.machines),
            start.bounds.drain_grace_ms,
        );
        Self {
            file,
            lists,
            not_taken: None,
            pass_at_ms: 0.0,
        }
    }

    /// Follows the file from now on; what is found comes as events. Called within a `LocalSet`.
    pub fn begin(&self, front: &Rc<Front>) {
        let (sender, mut found) = mpsc::channel(1);
        tokio::task::spawn_local(follow(self.file.clone(), sender));
        let front = front.clone();
        tokio::task::spawn_local(async move {
            while let Some(found) = found.recv().await {
                front.tell(Event::File(found)).await;
            }
        });
    }

    /// What was found at the file's place: the list for the module, if it is taken.
    pub fn take(&mut self, now: f64, found: Found, front: &Front) -> Option<(ListScope, List)> {
        let why = match found {
            Found::List(candidate) => {
                let (generation, count) = (candidate.generation, candidate.entries.len());
                match self.lists.accept(now, candidate) {
                    Ok((scope, told)) => {
                        self.not_taken = None;
                        front.counters.one("server files taken");
                        say!(
                            front.log,
                            "servers",
                            "generation {generation} taken, {count} servers"
                        );
                        return Some((scope, list(told, &front.words)));
                    }
                    Err(refused) => format!("generation {generation} is refused: {refused}"),
                }
            }
            Found::Rejected(why) => why,
            Found::Missing(why) => format!("there is no file to read: {why}"),
        };
        front.counters.one("server files not taken");
        say!(
            front.log,
            "servers",
            "{}: {why}; the last good list stays",
            self.file.display()
        );
        self.not_taken = Some(why);
        None
    }

    /// Discovery's list: before a file was taken it counts as ever, after that for drains and starts alone.
    pub fn seen(
        &mut self,
        now: f64,
        scope: ListScope,
        seen: List,
        front: &Front,
    ) -> (ListScope, List) {
        let lines = seen
            .lines
            .iter()
            .zip(&seen.names)
            .map(|(l, n)| (n.as_str(), l.stage, l.started_ms));
        match self.lists.apply_discovery_list(now, lines) {
            Some(told) => (ListScope::Changes, list(told, &front.words)),
            None => (scope, seen),
        }
    }

    /// Whose grace is over.
    pub fn pass(&mut self, now: f64, front: &Front) -> Option<(ListScope, List)> {
        if now < self.pass_at_ms {
            return None;
        }
        self.pass_at_ms = now + self.lists.check_interval_ms();
        let told = self.lists.expire_drains(now);
        (!told.is_empty()).then(|| (ListScope::Changes, list(told, &front.words)))
    }

    pub fn shown(&self, now: f64) -> ServerList {
        let rows = self.lists.snapshot().into_iter().map(|t| ServerRow {
            server: t.entry.name,
            address: t.entry.address,
            zone: t.entry.zone,
            machine: t.entry.machine,
            bay: t.entry.bay,
            weight: t.entry.weight,
            stage: if t.stage == Stage::Ready {
                "ready"
            } else {
                "draining"
            }
            .into(),
            started_ms: t.entry.started_ms,
        });
        let held = self.lists.held();
        ServerList {
            file: self.file.display().to_string(),
            generation: held.map(|h| h.generation),
            age_ms: held.map(|_| (now - self.lists.accepted_ms()).round()),
            not_taken: self.not_taken.clone(),
            servers: rows.collect(),
        }
    }
}

fn list(told: Vec<ServerUpdate>, words: &Words) -> List {
    let mut list = List::default();
    for ServerUpdate { entry, stage } in told {
        let place = |of: &[String], name: &str| {
            of.iter()
                .position(|n| n == name)
                .map_or(ELSEWHERE, |p| p as u16)
        };
        list.lines.push(ServerEntry {
            server: server_id(&entry.name),
            zone: place(&words.zones, &entry.zone),
            machine: place(&words.machines, &entry.machine),
            bay: entry.bay,
            stage,
            weight: entry.weight,
            started_ms: entry.started_ms,
        });
        list.names.push(entry.name);
    }
    list
}
