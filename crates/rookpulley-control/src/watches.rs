//! Those who wait for a put in a group.

use crate::calls::{Reply, later, shown, too_old};
use rookpulley_state::{Ledger, Watched};
use std::collections::BTreeMap;

const EVENTS: usize = 1_000;
/// Whether this controller is still in touch is looked at so often.
const LOOK_MS: f64 = 500.0;

struct Watch {
    group: String,
    after: u64,
    until_ms: f64,
    look_ms: f64,
}

#[derive(Default)]
pub(crate) struct Watches {
    waiting: BTreeMap<u64, Watch>,
}

impl Watches {
    pub fn add(&mut self, now: f64, token: u64, group: String, after: u64, wait_ms: u64) {
        let until_ms = now + wait_ms as f64;
        self.waiting.insert(
            token,
            Watch {
                group,
                after,
                until_ms,
                look_ms: now,
            },
        );
    }

    pub fn forget(&mut self, token: u64) {
        self.waiting.remove(&token);
    }

    /// Those that are answered now. `moved`: the ledger has; else only those are looked at whose time has come.
    pub fn due(
        &mut self,
        now: f64,
        moved: bool,
        serving: bool,
        ledger: &Ledger,
    ) -> Vec<(u64, Reply)> {
        let mut done = Vec::new();
        self.waiting.retain(|token, watch| {
            if !moved && now < watch.look_ms {
                return true;
            }
            watch.look_ms = watch.until_ms.min(now + LOOK_MS);
            let reply = match ledger.watch(&watch.group, watch.after, EVENTS) {
                Watched::Present { revision } => shown(Vec::new(), revision),
                Watched::TooOld => too_old(),
                Watched::Events { events, revision } => shown(events, revision),
                Watched::Nothing { .. } if !serving => later(),
                Watched::Nothing { revision } if now >= watch.until_ms => {
                    shown(Vec::new(), revision.max(watch.after))
                }
                Watched::Nothing { .. } => return true,
            };
            done.push((*token, reply));
            false
        });
        done
    }
}
