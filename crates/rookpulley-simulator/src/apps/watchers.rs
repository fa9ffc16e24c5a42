//! Applications that watch a group of keys, again and again from where the last answer ended.

use super::CALL_TIMEOUT;
use super::replies::{events_of, field};
use crate::MS;
use crate::callers::{Call, Who};
use crate::record::WatchPart;
use crate::world::{What, World};
use rookpulley_control::{Endpoint, Reply};

impl World {
    pub fn watcher_acts(&mut self, watcher: usize) {
        let of = &self.watchers[watcher];
        let (group, after) = (of.group.clone(), of.after);
        let query = vec![("after", after.to_string()), ("waitMs", "800".to_string())];
        self.call(
            Who::Watcher(watcher),
            Endpoint::Watch,
            &group,
            String::new(),
            query,
            (CALL_TIMEOUT, 800 * MS),
        );
    }

    pub fn watcher_answered(&mut self, watcher: usize, call: &Call, reply: Option<&Reply>) {
        let group = call.name.clone();
        if let Some(reply) = reply {
            let after = self.watchers[watcher].after;
            let revision = field(reply, "revision").unwrap_or(0);
            let status = reply.status;
            let events = events_of(reply);
            self.record.watches.push(WatchPart {
                group,
                after,
                revision,
                status,
                events,
                sent: call.first_us,
            });
            if status == 200 {
                self.watchers[watcher].after = revision;
            }
        }
        self.after(5 * MS, None, What::Watch(watcher));
    }
}
