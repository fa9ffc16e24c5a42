//! A server list from a file, merged with discovery and converted into lists for the decision module.

use crate::driver::{Context, Event};
use crate::log_event;
use crate::messages::{Codec, List, UNKNOWN_INDEX, server_id};
use rookpulley::interface::{ListScope, ServerEntry, Stage, Start};
use rookpulley_files::watch::{Found, follow};
use rookpulley_lists::{Deployment, ServerLists, ServerUpdate};
use rookpulley_operators::api::{ServerList, ServerRow};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc;

pub struct ServerFile {
    file: PathBuf,
    lists: ServerLists,
    rejection: Option<String>,
    next_check_ms: f64,
}

impl ServerFile {
    pub fn new(file: PathBuf, start: &Start, codec: &Codec) -> Self {
        let lists = ServerLists::new(
            Deployment::from_start(start, &codec.machines),
            start.bounds.drain_grace_ms,
        );
        Self {
            file,
            lists,
            rejection: None,
            next_check_ms: 0.0,
        }
    }

    /// Watches the file and sends its contents as events. Must be called within a `LocalSet`.
    pub fn spawn_watch(&self, ctx: &Rc<Context>) {
        let (sender, mut found) = mpsc::channel(1);
        tokio::task::spawn_local(follow(self.file.clone(), sender));
        let ctx = ctx.clone();
        tokio::task::spawn_local(async move {
            while let Some(found) = found.recv().await {
                ctx.send(Event::ServerFile(found)).await;
            }
        });
    }

    /// Validates new file contents. Returns the list for the module if they are accepted.
    pub fn accept(&mut self, now: f64, found: Found, ctx: &Context) -> Option<(ListScope, List)> {
        let reason = match found {
            Found::List(candidate) => {
                let (generation, count) = (candidate.generation, candidate.entries.len());
                match self.lists.accept(now, candidate) {
                    Ok((scope, updates)) => {
                        self.rejection = None;
                        ctx.counters.inc("server files taken");
                        log_event!(
                            ctx.log,
                            "servers",
                            "generation {generation} accepted, {count} servers"
                        );
                        return Some((scope, to_list(updates, &ctx.codec)));
                    }
                    Err(refused) => format!("generation {generation} is refused: {refused}"),
                }
            }
            Found::Rejected(reason) => reason,
            Found::Missing(reason) => format!("there is no file to read: {reason}"),
        };
        ctx.counters.inc("server files not taken");
        log_event!(
            ctx.log,
            "servers",
            "{}: {reason}; keeping the last accepted list",
            self.file.display()
        );
        self.rejection = Some(reason);
        None
    }

    /// Merges a discovery list. It is used unchanged until a file is accepted; after that only its
    /// drains and starts count.
    pub fn merge_discovery(
        &mut self,
        now: f64,
        scope: ListScope,
        list: List,
        ctx: &Context,
    ) -> (ListScope, List) {
        let lines = list
            .lines
            .iter()
            .zip(&list.names)
            .map(|(l, n)| (n.as_str(), l.stage, l.started_ms));
        match self.lists.apply_discovery_list(now, lines) {
            Some(updates) => (ListScope::Changes, to_list(updates, &ctx.codec)),
            None => (scope, list),
        }
    }

    /// Returns changes for servers whose drain grace period has expired.
    pub fn expire_drains(&mut self, now: f64, ctx: &Context) -> Option<(ListScope, List)> {
        if now < self.next_check_ms {
            return None;
        }
        self.next_check_ms = now + self.lists.check_interval_ms();
        let updates = self.lists.expire_drains(now);
        (!updates.is_empty()).then(|| (ListScope::Changes, to_list(updates, &ctx.codec)))
    }

    pub fn snapshot(&self, now: f64) -> ServerList {
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
            not_taken: self.rejection.clone(),
            servers: rows.collect(),
        }
    }
}

fn to_list(updates: Vec<ServerUpdate>, codec: &Codec) -> List {
    let mut list = List::default();
    for ServerUpdate { entry, stage } in updates {
        let index = |of: &[String], name: &str| {
            of.iter()
                .position(|n| n == name)
                .map_or(UNKNOWN_INDEX, |p| p as u16)
        };
        list.lines.push(ServerEntry {
            server: server_id(&entry.name),
            zone: index(&codec.zones, &entry.zone),
            machine: index(&codec.machines, &entry.machine),
            bay: entry.bay,
            stage,
            weight: entry.weight,
            started_ms: entry.started_ms,
        });
        list.names.push(entry.name);
    }
    list
}
