//! Pending watches for puts in a group of keys.

use crate::reply::Reply;
use rookpulley_state::{StateMachine, WatchResult};
use std::collections::BTreeMap;

const MAX_EVENTS: usize = 1_000;
/// Interval at which a pending watch is checked, because this controller may go out of touch.
const CHECK_INTERVAL_MS: f64 = 500.0;

struct Watch {
    group: String,
    after: u64,
    deadline_ms: f64,
    next_check_ms: f64,
}

/// All pending watches.
#[derive(Default)]
pub(crate) struct Watches {
    /// By request token.
    waiting: BTreeMap<u64, Watch>,
}

impl Watches {
    pub fn add(&mut self, now: f64, token: u64, group: String, after: u64, wait_ms: u64) {
        let watch = Watch {
            group,
            after,
            deadline_ms: now + wait_ms as f64,
            next_check_ms: now,
        };
        self.waiting.insert(token, watch);
    }

    pub fn remove(&mut self, token: u64) {
        self.waiting.remove(&token);
    }

    /// Removes the watches that can be answered and returns their replies. Unless the state has changed, only watches
    /// whose next check is due are examined.
    pub fn take_due(
        &mut self,
        now: f64,
        has_changed: bool,
        is_serving: bool,
        state: &StateMachine,
    ) -> Vec<(u64, Reply)> {
        let mut answered = Vec::new();
        self.waiting.retain(|token, watch| {
            if !has_changed && now < watch.next_check_ms {
                return true;
            }
            watch.next_check_ms = watch.deadline_ms.min(now + CHECK_INTERVAL_MS);
            let Some(reply) = watch.reply(now, is_serving, state) else {
                return true;
            };
            answered.push((*token, reply));
            false
        });
        answered
    }
}

impl Watch {
    /// Returns the reply, or `None` while the watch has to wait.
    fn reply(&self, now: f64, is_serving: bool, state: &StateMachine) -> Option<Reply> {
        match state.watch(&self.group, self.after, MAX_EVENTS) {
            WatchResult::CurrentRevision { revision } => Some(Reply::events(Vec::new(), revision)),
            WatchResult::TooOld => Some(Reply::too_old()),
            WatchResult::Events { events, revision } => Some(Reply::events(events, revision)),
            WatchResult::NoEvents { .. } if !is_serving => Some(Reply::not_in_touch()),
            WatchResult::NoEvents { revision } if now >= self.deadline_ms => {
                Some(Reply::events(Vec::new(), revision.max(self.after)))
            }
            WatchResult::NoEvents { .. } => None,
        }
    }
}
