//! Heartbeats of instances, and what controllers tell each other of them: taken, written to disk, passed on.

use super::Controller;
use super::drains::DrainCall;
use crate::effect::Effect;
use crate::peer_message::PeerMessage;
use crate::reply::{Acceptance, InstanceCall, Reply};
use rookpulley_chain::Record;
use rookpulley_registry::{Heartbeat, InstanceStatus, InstanceUpdate, Propagation, UpdateOutcome};

/// What waits for a write of instances to reach the disk.
pub(super) enum AfterInstanceSync {
    /// Answer another controller's question.
    Confirm { to: u64, query: u64 },
    /// A drain is on the disk here.
    DrainStored { query: u64 },
}

/// An incarnation, and the last that matters of it, as it stands on the disk.
fn record_of(update: &InstanceUpdate) -> Record {
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
        let call = InstanceCall {
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
        self.carry_out(now, outcome);
        if is_draining {
            self.confirm_drain(now, DrainCall { call, incarnation });
        } else {
            self.answer_instance(call, Acceptance::Durable);
        }
    }

    pub(super) fn handle_leave(&mut self, now: f64, token: u64, incarnation: &str) {
        let outcome = self.registry.leave(now, incarnation);
        self.carry_out(now, outcome);
        let call = InstanceCall {
            token,
            is_heartbeat: false,
        };
        let incarnation = incarnation.into();
        self.confirm_drain(now, DrainCall { call, incarnation });
    }

    pub(super) fn answer_instance(&mut self, call: InstanceCall, acceptance: Acceptance) {
        let reply = Reply::of_acceptance(acceptance, call.is_heartbeat);
        self.reply(call.token, reply);
    }

    /// Updates have come from another controller.
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
            self.carry_out(now, outcome);
        }
        let wants_answer = query > 0;
        if let Some(to) = sender.filter(|_| wants_answer) {
            let next = AfterInstanceSync::Confirm { to, query };
            self.write_instances(Vec::new(), Some(next));
        }
    }

    /// Writes and passes on what came of a heartbeat or an update, and tells proxies of a drain.
    fn carry_out(&mut self, now: f64, outcome: UpdateOutcome) {
        if let Propagation::Immediate(update) = outcome.propagation {
            self.write_instances(vec![record_of(&update)], None);
            self.send_updates(vec![update]);
        }
        self.announce_gone(now, outcome.newly_draining.into_iter().collect());
    }

    /// Writes what is known of instances. After a crash it is where the registry begins: heartbeats alone would take a
    /// while, and a drain that was acknowledged must hold.
    pub(super) fn write_instances(
        &mut self,
        records: Vec<Record>,
        next: Option<AfterInstanceSync>,
    ) {
        self.instance_ticket += 1;
        let ticket = self.instance_ticket;
        if let Some(next) = next {
            self.after_instance_sync.push((ticket, next));
        }
        self.effects
            .push(Effect::WriteInstances { ticket, records });
    }

    pub(super) fn handle_instances_synced(&mut self, now: f64, ticket: u64) {
        let is_due = |waiting: &mut (u64, AfterInstanceSync)| waiting.0 <= ticket;
        let due: Vec<_> = self.after_instance_sync.extract_if(.., is_due).collect();
        for (_, next) in due {
            match next {
                AfterInstanceSync::Confirm { to, query } => {
                    self.send_to_peer(to, &PeerMessage::UpdatesStored { query });
                }
                AfterInstanceSync::DrainStored { query } => self.handle_drain_stored(now, query),
            }
        }
    }

    /// Drops what the disk holds of incarnations that are unknown now: there was time for heartbeats to come.
    pub(super) fn tidy_stored_instances(&mut self) {
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
