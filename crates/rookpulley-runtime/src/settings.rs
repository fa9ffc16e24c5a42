//! The settings file while a program runs: a change brings other seeds.

use rookpulley_settings::Node;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

pub struct File {
    path: PathBuf,
    changed: Option<SystemTime>,
}

impl File {
    pub fn new(path: PathBuf) -> File {
        let changed = changed(&path);
        File { path, changed }
    }

    /// What it says, if it has changed since it was last looked at.
    pub fn look(&mut self) -> Option<Node> {
        let now = changed(&self.path);
        if now.is_none() || now == self.changed {
            return None;
        }
        self.changed = now;
        self.read()
    }

    /// What it says now. Where it can't be used, what was known holds.
    pub fn read(&self) -> Option<Node> {
        match Node::read(&self.path) {
            Ok(node) => {
                tracing::info!("settings: read again, {} seeds", node.seeds.len());
                Some(node)
            }
            Err(why) => {
                tracing::warn!(
                    "settings: the changed file can't be used, the old ones hold: {why}"
                );
                None
            }
        }
    }
}

fn changed(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|about| about.modified())
        .ok()
}
