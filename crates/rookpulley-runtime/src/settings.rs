//! Reloads the settings file of a running process when it changes.

use rookpulley_settings::Node;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The settings file of a running program.
pub struct SettingsFile {
    path: PathBuf,
    /// The modification time last seen. None: the metadata could not be read.
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Watches a file whose current content has already been loaded.
    pub fn new(path: PathBuf) -> Self {
        let modified = modified(&path);
        Self { path, modified }
    }

    /// Loads the settings if the file was modified since the last check. None: it is unchanged or invalid.
    pub fn read_if_changed(&mut self) -> Option<Node> {
        let now = modified(&self.path);
        if now.is_none() || now == self.modified {
            return None;
        }
        self.modified = now;
        self.read()
    }

    /// Loads the settings. None: the file is invalid, and the settings in force remain.
    pub fn read(&self) -> Option<Node> {
        match Node::read(&self.path) {
            Ok(node) => {
                tracing::info!("settings: reloaded, {} seeds", node.seeds.len());
                Some(node)
            }
            Err(why) => {
                tracing::warn!(
                    "settings: the changed file is invalid, the previous settings remain in force: {why}"
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
