//! When the newest view needs a successor, and what the other members see.
//!
//! There is no leader. Whoever notices a fault waits for a while that depends on its position in the chain, asks all
//! peers in contact what they see, and proposes. Nothing is proposed before a quorum has replied, so a member that can
//! send and not receive disturbs nobody.

use super::{Chain, SUSPECT_AFTER_MS};
use crate::message::{Contact, Message};
use crate::reconfiguration_state::{StatusReply, Step};
use crate::state::State;
use crate::view::{Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that lacks no more entries than this may be taken into a view.
pub(super) const NEAR_ENTRIES: u64 = 256;
/// A fault must last so long before anything is done about it.
const FAULT_CONFIRM_MS: u64 = 40;
/// Each member waits so much longer than the one before it in the chain.
const RANK_DELAY_MS: u64 = 130;
/// A process that did not run reads what lay in its sockets before it suspects others.
const WAKE_GRACE_MS: u64 = 150;
/// Newcomers are gathered for so long before the first of them is taken in: several often come at once.
const GATHER_MS: u64 = 250;
/// A decided view that isn't active after so long needs another one.
const INSTALL_TIMEOUT_MS: u64 = 1_300;
/// A voter that has fallen silent stays one for so long.
const SILENT_VOTER_MS: u64 = 4_000;
/// Replies of peers that are still in contact are waited for so long.
const STATUS_TIMEOUT_MS: u64 = 350;
/// One phase of Paxos may take so long in the first round, and as much longer in each later one.
const BALLOT_TIMEOUT_MS: u64 = 400;
const MAX_TIMEOUT_ROUNDS: u64 = 5;
/// After a proposal came to nothing.
pub(super) const RETRY_MS: u64 = 250;
const RETRY_JITTER_MS: u64 = 128;
/// After the replies allowed no proposal while the newest view serves nobody: those that have just come back are in
/// contact with each other a few messages later. No ballot was begun, so nobody else's is disturbed.
const RETRY_WITHOUT_VIEW_MS: u64 = 20;
const DELAY_JITTER_MS: u64 = 50;

impl<S: State> Chain<S> {
    /// Goes on with a proposal, or begins one where the newest view needs a successor.
    pub(super) fn reconfigure_if_needed(&mut self, now: u64) {
        let Some(view) = self.view() else {
            return;
        };
        if !view.is_acceptor(self.me.id) {
            return;
        }
        let waited_ms = now.saturating_sub(self.reconfiguration.since_ms);
        match &self.reconfiguration.step {
            Step::Idle => self.propose_if_due(now),
            Step::CollectingStatus { .. } => {
                if waited_ms >= STATUS_TIMEOUT_MS || self.all_have_replied(now) {
                    self.evaluate_replies(now);
                }
            }
            Step::AbandoningView { .. } | Step::Preparing { .. } | Step::Accepting { .. } => {
                // Longer with each round: a slow disk must get what its acceptor says written at last.
                let rounds = self.reconfiguration.round.clamp(1, MAX_TIMEOUT_ROUNDS);
                if waited_ms >= BALLOT_TIMEOUT_MS * rounds {
                    self.back_off(now);
                }
            }
        }
    }

    fn propose_if_due(&mut self, now: u64) {
        let delay_ms = self.reconfiguration_delay(now);
        let Some(delay_ms) = delay_ms.filter(|_| self.can_reach_quorum(now)) else {
            self.reconfiguration.needed_since_ms = None;
            return;
        };
        let since_ms = *self.reconfiguration.needed_since_ms.get_or_insert(now);
        let wait_ms = match delay_ms {
            // Who has a slow disk knows it first, and for certain.
            _ if self.disk_slow => 0,
            0 => self.rank(now) * RANK_DELAY_MS,
            _ => delay_ms + self.rank(now) * RANK_DELAY_MS + self.jitter(now, DELAY_JITTER_MS),
        };
        if now >= since_ms + wait_ms && now >= self.reconfiguration.not_before_ms {
            self.request_statuses(now);
        }
    }

    /// Whether those in contact suffice to decide the next view. While they don't, a proposal would only be given up,
    /// and the pause after it would still run when the last one that was missing comes into contact.
    fn can_reach_quorum(&self, now: u64) -> bool {
        let in_contact: BTreeSet<u64> = self.contacts(now).iter().map(|c| c.id).collect();
        let view = self.view();
        view.is_some_and(|view| view.is_quorum(&in_contact, &self.lost_disks(now)))
    }

    /// How many members before this one in the chain may be expected to propose.
    fn rank(&self, now: u64) -> u64 {
        let members = self.view().map_or(&[][..], |view| &view.members);
        let before = members.iter().take_while(|m| m.id != self.me.id);
        before.filter(|m| self.in_contact(now, m.id)).count() as u64
    }

    /// A number below `bound` that differs between members and over time.
    fn jitter(&self, now: u64, bound: u64) -> u64 {
        /// Spreads neighbouring numbers (the golden ratio in 64 bits).
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        ((self.seed ^ now).wrapping_mul(MULTIPLIER) >> 32) % bound
    }

    /// The replies allow no proposal: asks again after a while.
    pub(super) fn retry_statuses(&mut self, now: u64) {
        let is_urgent = self
            .view()
            .is_some_and(|view| self.is_out_of_service(now, view));
        if !is_urgent {
            return self.back_off(now);
        }
        self.reconfiguration.begin(now, Step::Idle);
        self.reconfiguration.not_before_ms = now + RETRY_WITHOUT_VIEW_MS;
    }

    /// Gives a proposal up, and waits before the next one.
    pub(super) fn back_off(&mut self, now: u64) {
        self.reconfiguration.begin(now, Step::Idle);
        self.reconfiguration.not_before_ms = now + RETRY_MS + self.jitter(now, RETRY_JITTER_MS);
    }

    /// Whether the newest view needs a successor, and how long that may wait.
    fn reconfiguration_delay(&self, now: u64) -> Option<u64> {
        let view = self.view()?;
        if view.members.iter().any(|m| self.has_restarted(m)) {
            // Where all are here again and healthy there is nothing to wait for. Nor is there where nobody that is here
            // serves in this view any more: each moment without a view is one without service.
            let is_here = |m: &&Member| self.in_contact(now, m.id);
            let all_here = view.members.iter().all(|m| is_here(&m));
            let all_well = !view
                .members
                .iter()
                .filter(is_here)
                .any(|m| self.is_slow(m.id));
            let is_urgent = all_well && (all_here || self.is_out_of_service(now, view));
            return Some(if is_urgent { 0 } else { FAULT_CONFIRM_MS });
        }
        let install_failed = !self.is_view_active() && now >= self.learned_ms + INSTALL_TIMEOUT_MS;
        let has_lost_member = view.members.iter().any(|m| self.is_lost(now, m));
        if has_lost_member || install_failed || self.needs_other_voters(now, view) {
            return Some(FAULT_CONFIRM_MS);
        }
        let slow = view.members.iter().filter(|m| self.is_slow(m.id)).count();
        if slow > 0 && view.members.len() - slow > self.tolerated_losses {
            return Some(FAULT_CONFIRM_MS);
        }
        if self.is_view_active() && self.peers.keys().any(|id| self.may_join(now, view, *id)) {
            let is_first_view = view.number == 1;
            return Some(if is_first_view {
                GATHER_MS
            } else {
                2 * FAULT_CONFIRM_MS
            });
        }
        None
    }

    /// Whether nobody in contact serves in this view any more: all that are here have restarted since.
    fn is_out_of_service(&self, now: u64, view: &View) -> bool {
        let serves = |m: &Member| self.in_contact(now, m.id) && !self.has_restarted(m);
        !view.members.iter().any(serves)
    }

    /// Whether another incarnation than the one in the view is there.
    fn has_restarted(&self, member: &Member) -> bool {
        let present = if member.id == self.me.id {
            Some(self.me.incarnation)
        } else {
            let peer = self.peers.get(&member.id);
            peer.map(|peer| peer.status.member.incarnation)
        };
        present.is_some_and(|incarnation| incarnation != member.incarnation)
    }

    /// Whether a member was heard in this view and is no longer, or had time enough to be heard.
    fn is_lost(&self, now: u64, member: &Member) -> bool {
        let had_time = now >= self.learned_ms + SUSPECT_AFTER_MS;
        let is_awake = now >= self.woke_ms + WAKE_GRACE_MS;
        let was_heard = self
            .peers
            .get(&member.id)
            .is_some_and(|peer| peer.contact_ms >= Some(self.learned_ms));
        (had_time || was_heard) && is_awake && !self.in_contact(now, member.id)
    }

    /// Whether a silent voter may be gone for good, or the majority would be smaller without it.
    fn needs_other_voters(&self, now: u64, view: &View) -> bool {
        let silent: Vec<&Member> = view
            .voters
            .iter()
            .filter(|m| self.is_lost(now, m))
            .collect();
        let others = view.members.len() + view.voters.len() - silent.len();
        // Beside an even number of others one more acceptor makes the majority no larger.
        let tolerated = usize::from(others.is_multiple_of(2));
        silent.len() > tolerated || silent.iter().any(|m| !self.was_heard_lately(now, m.id))
    }

    /// Whether a peer that is no member is there, healthy, and lacks little.
    fn may_join(&self, now: u64, view: &View, id: u64) -> bool {
        let lacks_little = self
            .peers
            .get(&id)
            .is_some_and(|peer| peer.status.committed + NEAR_ENTRIES >= self.replication.committed);
        view.position(id).is_none() && self.in_contact(now, id) && !self.is_slow(id) && lacks_little
    }

    pub(super) fn was_heard_lately(&self, now: u64, id: u64) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| now < peer.last_heard_ms + SILENT_VOTER_MS)
    }

    fn is_slow(&self, id: u64) -> bool {
        if id == self.me.id {
            self.disk_slow || !self.disk_proven
        } else {
            self.peers.get(&id).is_some_and(|peer| peer.status.slow)
        }
    }

    /// Acceptors of the newest view whose disks are lost: another identity is at their address now.
    pub(super) fn lost_disks(&self, now: u64) -> BTreeSet<u64> {
        let is_replaced = |member: &&Member| {
            let mut others = self.peers.iter().filter(|(id, _)| **id != member.id);
            !self.in_contact(now, member.id)
                && others.any(|(id, peer)| {
                    peer.status.member.address == member.address && self.in_contact(now, *id)
                })
        };
        let acceptors = self.view().into_iter().flat_map(View::acceptors);
        acceptors.filter(is_replaced).map(|m| m.id).collect()
    }

    fn contacts(&self, now: u64) -> Vec<Contact> {
        let in_contact = self
            .peers
            .iter()
            .filter(|(id, _)| self.in_contact(now, **id));
        in_contact
            .map(|(id, peer)| Contact {
                id: *id,
                incarnation: peer.status.member.incarnation,
            })
            .chain([Contact::from(self.me)])
            .collect()
    }

    pub(super) fn send_status_reply(&mut self, now: u64, to: u64, query: u64) {
        let message = Message::StatusReply {
            query,
            status: self.own_status(),
            contacts: self.contacts(now),
            abandoned: self.abandoned,
            views: self.views.clone(),
        };
        self.send(now, to, message);
    }

    fn request_statuses(&mut self, now: u64) {
        let query = self.reconfiguration.next_query();
        let to: Vec<u64> = self
            .contacts(now)
            .iter()
            .map(|contact| contact.id)
            .collect();
        let step = Step::CollectingStatus {
            query,
            replies: BTreeMap::new(),
            asked: to.iter().copied().collect(),
        };
        self.reconfiguration.begin(now, step);
        for id in to {
            self.send(now, id, Message::StatusRequest { query });
        }
    }

    pub(super) fn handle_status_reply(
        &mut self,
        now: u64,
        from: u64,
        query: u64,
        reply: StatusReply,
    ) {
        if let Step::CollectingStatus {
            query: asked,
            replies,
            ..
        } = &mut self.reconfiguration.step
            && *asked == query
        {
            replies.insert(from, reply);
            if self.all_have_replied(now) {
                self.evaluate_replies(now);
            }
        }
    }

    fn all_have_replied(&self, now: u64) -> bool {
        let Step::CollectingStatus { replies, asked, .. } = &self.reconfiguration.step else {
            return false;
        };
        asked
            .iter()
            .all(|id| replies.contains_key(id) || !self.in_contact(now, *id))
    }
}
