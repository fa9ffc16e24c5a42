//! The settings file while the program runs: a change brings other seeds.

use crate::state::Courier;
use rookpulley_settings::Node;
use std::path::PathBuf;
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

    pub fn look(&mut self, courier: &Courier) {
        let now = changed(&self.path);
        if now.is_some() && now != self.changed {
            self.changed = now;
            self.read(courier);
        }
    }

    pub fn read(&self, courier: &Courier) {
        match Node::read(&self.path) {
            Ok(node) => {
                tracing::info!("settings: read again, {} seeds", node.seeds.len());
                courier.links.set_seeds(node.seeds);
            }
            Err(why) => tracing::warn!("settings: the changed file can't be used, the old ones hold: {why}"),
        }
    }
}

fn changed(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|about| about.modified()).ok()
}
