//! When a drain may be acknowledged.
//!
//! Invariant: a drain, or a message that an instance leaves, is acknowledged only once it is on the disk here and on
//! those of as many other controllers as may be lost. Then all proxies in touch get to know of it, whatever becomes of
//! this machine.

use super::Controller;
use super::instances::AfterInstanceSync;
use crate::peer_message::PeerMessage;
use crate::reply::{Acceptance, InstanceCall};
use rookpulley_protocol::IncarnationId;
use rookpulley_registry::InstanceUpdate;

/// How long the others' confirmations are waited for.
const CONFIRM_TIMEOUT_MS: f64 = 700.0;

/// A call by which an instance drains or leaves.
pub(super) struct DrainCall {
    pub call: InstanceCall,
    pub incarnation: IncarnationId,
}

/// A drain that waits to be acknowledged.
pub(super) struct PendingDrain {
    drain: DrainCall,
    until_ms: f64,
    is_stored_here: bool,
    is_stored_elsewhere: bool,
}

impl Controller {
    /// Asks the others to confirm a drain, also where the instance says it again. One that was confirmed is acknowledged
    /// at once.
    pub(super) fn confirm_drain(&mut self, now: f64, drain: DrainCall) {
        if self.drains.is_confirmed(&drain.incarnation) {
            return self.answer_instance(drain.call, Acceptance::Durable);
        }
        if !self.in_touch(now) {
            return self.answer_instance(drain.call, Acceptance::Local);
        }
        let members = self.chain.view().map_or(0, |view| view.members.len());
        let query = self.next_number();
        let is_asked = self.drains.start_query(query, members.saturating_sub(1));
        let updates = vec![InstanceUpdate::Gone {
            incarnation: drain.incarnation.clone(),
            age_ms: 0.0,
        }];
        let pending = PendingDrain {
            drain,
            until_ms: now + CONFIRM_TIMEOUT_MS,
            is_stored_here: false,
            is_stored_elsewhere: !is_asked,
        };
        self.pending_drains.insert(query, pending);
        self.send_to_all_peers(&PeerMessage::InstanceUpdates { query, updates });
        let next = AfterInstanceSync::DrainStored { query };
        self.write_instances(Vec::new(), Some(next));
    }

    /// Another controller has the drain on its disk.
    pub(super) fn handle_updates_stored(&mut self, now: f64, from: u64, query: u64) {
        if !self.drains.record_confirmation(query, from) {
            return;
        }
        if let Some(pending) = self.pending_drains.get_mut(&query) {
            pending.is_stored_elsewhere = true;
            self.acknowledge_if_confirmed(now, query);
        }
    }

    pub(super) fn handle_drain_stored(&mut self, now: f64, query: u64) {
        if let Some(pending) = self.pending_drains.get_mut(&query) {
            pending.is_stored_here = true;
            self.acknowledge_if_confirmed(now, query);
        }
    }

    fn acknowledge_if_confirmed(&mut self, now: f64, query: u64) {
        let is_confirmed = self
            .pending_drains
            .get(&query)
            .is_some_and(|pending| pending.is_stored_here && pending.is_stored_elsewhere);
        if !is_confirmed {
            return;
        }
        let Some(pending) = self.pending_drains.remove(&query) else {
            return;
        };
        self.drains.finish_query(query);
        let DrainCall { call, incarnation } = pending.drain;
        if self.in_touch(now) {
            self.drains.confirm(now, incarnation);
            self.answer_instance(call, Acceptance::Durable);
        } else {
            self.answer_instance(call, Acceptance::Local);
        }
    }

    /// Answers for the drains that took too long to be confirmed.
    pub(super) fn expire_drains(&mut self, now: f64) {
        let is_late = |_: &u64, pending: &mut PendingDrain| pending.until_ms <= now;
        let late: Vec<(u64, PendingDrain)> = self.pending_drains.extract_if(.., is_late).collect();
        for (query, pending) in late {
            self.drains.finish_query(query);
            self.answer_instance(pending.drain.call, Acceptance::Local);
        }
    }
}
