//! A new configuration while the assigner runs: at SIGHUP the file is read again.

use crate::config::{self, Told};
use crate::driver::Front;
use crate::roster::Roster;
use crate::say;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// What a running assigner holds of its configuration.
pub struct Held {
    pub path: PathBuf,
    pub fixed: BTreeMap<String, Value>,
}

impl Held {
    /// Takes each new configuration; where one can't be used, all stays as it was.
    pub async fn follow(self, mut asked: Signal, roster: Rc<Roster>, front: Rc<Front>) {
        while asked.recv().await.is_some() {
            let path = self.path.clone();
            // On a thread of its own: the disk may be slow, and proxies don't wait for it.
            let read =
                tokio::task::spawn_blocking(move || config::load(&path).map_err(|e| e.to_string()));
            match read.await.unwrap_or_else(|e| Err(e.to_string())) {
                Ok(told) => self.take(told, &roster, &front),
                Err(why) => {
                    front.counters.one("configurations refused");
                    say!(front.log, "configuration", "{why}; all stays as it was");
                }
            }
        }
    }

    fn take(&self, told: Told, roster: &Rc<Roster>, front: &Front) {
        let names = self
            .fixed
            .keys()
            .chain(told.fixed.keys().filter(|f| !self.fixed.contains_key(*f)));
        let differ: Vec<&str> = names
            .filter(|f| self.fixed.get(*f) != told.fixed.get(*f))
            .map(String::as_str)
            .collect();
        if !differ.is_empty() {
            let fields = differ.join(", ");
            say!(
                front.log,
                "configuration",
                "{fields} can't change while it runs: that takes a restart"
            );
        }
        front.counters.one("configurations taken");
        say!(
            front.log,
            "configuration",
            "taken, discovery is at {}",
            told.discovery
        );
        roster.move_to(told.discovery);
    }
}
