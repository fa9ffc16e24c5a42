//! Acknowledgement of drains.
//!
//! Invariant: a drain or deregistration is acknowledged only after it is durable here and on as many other controllers
//! as machine failures are tolerated. All proxies then learn of it even if this machine is lost.

use super::Controller;
use super::instances::AfterInstanceSync;
use crate::peer_message::PeerMessage;
use crate::reply::{Acceptance, InstanceRequest};
use rookpulley_protocol::IncarnationId;
use rookpulley_registry::InstanceUpdate;

/// How long to wait for confirmations from other controllers.
const CONFIRM_TIMEOUT_MS: f64 = 700.0;

/// A request by which an instance drains or deregisters.
pub(super) struct DrainRequest {
    pub call: InstanceRequest,
    pub incarnation: IncarnationId,
}

/// A drain that is waiting for confirmations.
pub(super) struct PendingDrain {
    drain: DrainRequest,
    deadline_ms: f64,
    is_stored_here: bool,
    is_stored_elsewhere: bool,
}

impl Controller {
    /// Starts a confirmation query for a drain, also for a repeated request. An already confirmed drain is acknowledged
    /// immediately.
    pub(super) fn start_drain_confirmation(&mut self, now: f64, drain: DrainRequest) {
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
            deadline_ms: now + CONFIRM_TIMEOUT_MS,
            is_stored_here: false,
            is_stored_elsewhere: !is_asked,
        };
        self.pending_drains.insert(query, pending);
        self.send_to_all_peers(&PeerMessage::InstanceUpdates { query, updates });
        let after_sync = AfterInstanceSync::DrainStored { query };
        self.write_instances(Vec::new(), Some(after_sync));
    }

    /// Handles the confirmation that another controller has stored the drain.
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
        let DrainRequest { call, incarnation } = pending.drain;
        if self.in_touch(now) {
            self.drains.confirm(now, incarnation);
            self.answer_instance(call, Acceptance::Durable);
        } else {
            self.answer_instance(call, Acceptance::Local);
        }
    }

    /// Replies to drains that were not confirmed within the timeout.
    pub(super) fn expire_drains(&mut self, now: f64) {
        let is_expired = |_: &u64, pending: &mut PendingDrain| pending.deadline_ms <= now;
        let expired: Vec<(u64, PendingDrain)> =
            self.pending_drains.extract_if(.., is_expired).collect();
        for (query, pending) in expired {
            self.drains.finish_query(query);
            self.answer_instance(pending.drain.call, Acceptance::Local);
        }
    }
}
