//! The settings file while a program runs: a change brings other seeds.

use rookpulley_settings::Node;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The settings file of a running program.
pub struct SettingsFile {
    path: PathBuf,
    /// When it was changed, as last seen. None: it could not be looked at.
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// A file whose present text is known already.
    pub fn new(path: PathBuf) -> Self {
        let modified = modified(&path);
        Self { path, modified }
    }

    /// What it says, if it has changed since it was last looked at.
    pub fn read_if_changed(&mut self) -> Option<Node> {
        let now = modified(&self.path);
        if now.is_none() || now == self.modified {
            return None;
        }
        self.modified = now;
        self.read()
    }

    /// What it says now. None: it can't be used, and what was known holds.
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

fn modified(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path).ok()?;
    metadata.modified().ok()
}
