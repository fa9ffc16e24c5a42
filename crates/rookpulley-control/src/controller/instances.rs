//! Heartbeats of instances and updates from other controllers: processing, storage and propagation.

use super::Controller;
use super::drains::DrainRequest;
use crate::effect::Effect;
use crate::peer_message::PeerMessage;
use crate::reply::{Acceptance, InstanceRequest, Reply};
use rookpulley_chain::Record;
use rookpulley_registry::{Heartbeat, InstanceStatus, InstanceUpdate, Propagation, UpdateOutcome};

/// Action to perform after a write of instance records is synced.
pub(super) enum AfterInstanceSync {
    /// Confirm stored updates to another controller.
    Confirm { to: u64, query: u64 },
    /// Record that a drain is durable on this controller.
    DrainStored { query: u64 },
}

/// Builds the stored record of an incarnation from its latest update.
fn instance_record(update: &InstanceUpdate) -> Record {
    let incarnation = match update {
        InstanceUpdate::Heartbeat { heartbeat, .. } => heartbeat.incarnation.as_str(),
        InstanceUpdate::Gone { incarnation, .. } => incarnation.as_str(),
        InstanceUpdate::Refreshed { .. } => "",
    };
    Record::Put {
        key: incarnation.into(),
        value: postcard::to_allocvec(update).unwrap_or_default(),
    }
}

impl Controller {
    pub(super) fn handle_heartbeat(&mut self, now: f64, token: u64, heartbeat: Heartbeat) {
        let call = InstanceRequest {
            token,
            is_heartbeat: true,
        };
        if !self.registry.accepts_heartbeats(now) {
            return self.answer_instance(call, Acceptance::Rejected);
        }
        let is_draining = heartbeat.draining;
        self.counters.heartbeat(is_draining);
        let incarnation = heartbeat.incarnation.clone();
        let outcome = self.registry.heartbeat(now, heartbeat);
        self.apply_outcome(now, outcome);
        if is_draining {
            self.start_drain_confirmation(now, DrainRequest { call, incarnation });
        } else {
            self.answer_instance(call, Acceptance::Durable);
        }
    }

    pub(super) fn handle_leave(&mut self, now: f64, token: u64, incarnation: &str) {
        let outcome = self.registry.leave(now, incarnation);
        self.apply_outcome(now, outcome);
        let call = InstanceRequest {
            token,
            is_heartbeat: false,
        };
        let incarnation = incarnation.into();
        self.start_drain_confirmation(now, DrainRequest { call, incarnation });
    }

    pub(super) fn answer_instance(&mut self, call: InstanceRequest, acceptance: Acceptance) {
        let reply = Reply::of_acceptance(acceptance, call.is_heartbeat);
        self.reply(call.token, reply);
    }

    /// Handles updates from another controller.
    pub(super) fn handle_updates(
        &mut self,
        now: f64,
        sender: Option<u64>,
        query: u64,
        updates: &[InstanceUpdate],
    ) {
        self.counters.updates_received += updates.len() as u64;
        for update in updates {
            let outcome = self.registry.apply_update(now, update);
            self.apply_outcome(now, outcome);
        }
        let wants_answer = query > 0;
        if let Some(to) = sender.filter(|_| wants_answer) {
            let after_sync = AfterInstanceSync::Confirm { to, query };
            self.write_instances(Vec::new(), Some(after_sync));
        }
    }

    /// Stores and propagates an update if necessary, and announces a new drain to proxies.
    fn apply_outcome(&mut self, now: f64, outcome: UpdateOutcome) {
        if let Propagation::Immediate(update) = outcome.propagation {
            self.write_instances(vec![instance_record(&update)], None);
            self.send_updates(vec![update]);
        }
        self.announce_gone(now, outcome.newly_draining.into_iter().collect());
    }

    /// Writes instance records. They restore the registry after a crash without waiting for heartbeats, and preserve
    /// acknowledged drains.
    pub(super) fn write_instances(
        &mut self,
        records: Vec<Record>,
        after_sync: Option<AfterInstanceSync>,
    ) {
        self.instance_ticket += 1;
        let ticket = self.instance_ticket;
        if let Some(after_sync) = after_sync {
            self.after_instance_sync.push((ticket, after_sync));
        }
        self.effects
            .push(Effect::WriteInstances { ticket, records });
    }

    pub(super) fn handle_instances_synced(&mut self, now: f64, ticket: u64) {
        let is_due = |waiting: &mut (u64, AfterInstanceSync)| waiting.0 <= ticket;
        let due: Vec<_> = self.after_instance_sync.extract_if(.., is_due).collect();
        for (_, after_sync) in due {
            match after_sync {
                AfterInstanceSync::Confirm { to, query } => {
                    self.send_to_peer(to, &PeerMessage::UpdatesStored { query });
                }
                AfterInstanceSync::DrainStored { query } => self.handle_drain_stored(now, query),
            }
        }
    }

    /// Deletes the stored rows of incarnations that are still unknown to the registry.
    pub(super) fn prune_stored_instances(&mut self) {
        let mut deletions = Vec::new();
        for (key, _) in std::mem::take(&mut self.stored_instances) {
            let incarnation = std::str::from_utf8(&key).unwrap_or_default();
            if self.registry.status(incarnation) == InstanceStatus::Unknown {
                deletions.push(Record::Delete { key });
            }
        }
        if !deletions.is_empty() {
            self.write_instances(deletions, None);
        }
    }
}
