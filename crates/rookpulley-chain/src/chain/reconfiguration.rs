//! Detection of the need for a new view, and collection of the other members' status.
//!
//! There is no leader. A member that detects a fault waits for a delay that depends on its position in the chain, asks
//! all peers in contact for their status, and proposes a view. A proposal requires replies from a quorum, so a member
//! that can send but not receive is not disruptive.

use super::{Chain, SUSPECT_AFTER_MS};
use crate::message::{Contact, Message};
use crate::reconfiguration_state::{StatusReply, Step};
use crate::state::State;
use crate::view::{Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of missing entries with which a replica may be added to a view.
pub(super) const MAX_JOIN_LAG_ENTRIES: u64 = 256;
/// The time for which a fault must persist before a view is proposed.
const FAULT_CONFIRM_MS: u64 = 40;
/// The additional delay per reachable member earlier in the chain.
const RANK_DELAY_MS: u64 = 130;
/// The time after a stall in which no peer is suspected, so that buffered messages can be read first.
const STALL_GRACE_MS: u64 = 150;
/// The delay before members are added to the first view, so that several that start together join in one change.
const INITIAL_JOIN_DELAY_MS: u64 = 250;
/// A decided view that is not active after this long is replaced.
const INSTALL_TIMEOUT_MS: u64 = 1_300;
/// The delay before a silent voter is replaced. A new controller usually becomes a member sooner.
const VOTER_REPLACEMENT_DELAY_MS: u64 = 1_000;
/// The maximum wait for status replies of peers that are still in contact.
const STATUS_TIMEOUT_MS: u64 = 350;
/// The timeout of a proposal step in the first round; it grows linearly with the round.
const BALLOT_TIMEOUT_MS: u64 = 400;
const MAX_TIMEOUT_ROUNDS: u64 = 5;
/// The minimum delay after a failed proposal.
pub(super) const RETRY_MS: u64 = 250;
const RETRY_JITTER_MS: u64 = 128;
/// The delay after status replies that allowed no proposal, if the newest view is out of service. It is short because
/// restarted members reach two-way contact within a few messages. No ballot was started, so it disturbs no other
/// proposer.
const RETRY_WITHOUT_VIEW_MS: u64 = 20;
const DELAY_JITTER_MS: u64 = 50;

impl<S: State> Chain<S> {
    /// Continues the current proposal, or starts one if the newest view needs a successor.
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
                // The timeout grows with each round, so that acceptors with slow disks can eventually reply in time.
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
            // The member with the slow disk detects the fault first and with certainty.
            _ if self.disk_slow => 0,
            0 => self.rank(now) * RANK_DELAY_MS,
            _ => delay_ms + self.rank(now) * RANK_DELAY_MS + self.jitter(now, DELAY_JITTER_MS),
        };
        if now >= since_ms + wait_ms && now >= self.reconfiguration.not_before_ms {
            self.request_statuses(now);
        }
    }

    /// Whether the acceptors in contact can form a quorum. Without one, a proposal would only fail, and its back-off
    /// would delay the next attempt when contact is restored.
    fn can_reach_quorum(&self, now: u64) -> bool {
        let in_contact: BTreeSet<u64> = self.contacts(now).iter().map(|c| c.id).collect();
        let view = self.view();
        view.is_some_and(|view| view.is_quorum(&in_contact, &self.lost_disks(now)))
    }

    /// The number of reachable members before this one in the chain, which are expected to propose first.
    fn rank(&self, now: u64) -> u64 {
        let members = self.view().map_or(&[][..], |view| &view.members);
        let before = members.iter().take_while(|m| m.id != self.me.id);
        before.filter(|m| self.in_contact(now, m.id)).count() as u64
    }

    /// A pseudo-random number below `bound` that differs between members and over time.
    fn jitter(&self, now: u64, bound: u64) -> u64 {
        /// 2^64 divided by the golden ratio, for multiplicative hashing.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        ((self.seed ^ now).wrapping_mul(MULTIPLIER) >> 32) % bound
    }

    /// Schedules another status request after replies that allowed no proposal.
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

    /// Abandons the current proposal and delays the next one.
    pub(super) fn back_off(&mut self, now: u64) {
        self.reconfiguration.begin(now, Step::Idle);
        self.reconfiguration.not_before_ms = now + RETRY_MS + self.jitter(now, RETRY_JITTER_MS);
    }

    /// The delay before a successor of the newest view is proposed. None: it needs no successor.
    fn reconfiguration_delay(&self, now: u64) -> Option<u64> {
        let view = self.view()?;
        if view.members.iter().any(|m| self.has_restarted(m)) {
            // No delay is needed if all members are reachable and healthy, or if no reachable member still serves in
            // this view.
            let is_reachable = |m: &&Member| self.in_contact(now, m.id);
            let all_reachable = view.members.iter().all(|m| is_reachable(&m));
            let all_healthy = !view
                .members
                .iter()
                .filter(is_reachable)
                .any(|m| self.is_slow(m.id));
            let is_urgent = all_healthy && (all_reachable || self.is_out_of_service(now, view));
            return Some(if is_urgent { 0 } else { FAULT_CONFIRM_MS });
        }
        let install_failed =
            !self.is_view_active() && now >= self.view_learned_ms + INSTALL_TIMEOUT_MS;
        let has_lost_member = view.members.iter().any(|m| self.is_lost(now, m));
        if has_lost_member || install_failed {
            return Some(FAULT_CONFIRM_MS);
        }
        let slow = view.members.iter().filter(|m| self.is_slow(m.id)).count();
        if slow > 0 && view.members.len() - slow > self.tolerated_losses {
            return Some(FAULT_CONFIRM_MS);
        }
        if self.is_view_active() && self.peers.keys().any(|id| self.may_join(now, view, *id)) {
            let is_first_view = view.number == 1;
            return Some(if is_first_view {
                INITIAL_JOIN_DELAY_MS
            } else {
                2 * FAULT_CONFIRM_MS
            });
        }
        if self.is_view_active() && self.can_replace_voter(now, view) {
            return Some(VOTER_REPLACEMENT_DELAY_MS);
        }
        None
    }

    /// Whether no member in contact serves in this view: all of them have restarted since.
    fn is_out_of_service(&self, now: u64, view: &View) -> bool {
        let serves = |m: &Member| self.in_contact(now, m.id) && !self.has_restarted(m);
        !view.members.iter().any(serves)
    }

    /// Whether this member now runs with another incarnation than the one in the view.
    fn has_restarted(&self, member: &Member) -> bool {
        let present = if member.id == self.me.id {
            Some(self.me.incarnation)
        } else {
            let peer = self.peers.get(&member.id);
            peer.map(|peer| peer.status.member.incarnation)
        };
        present.is_some_and(|incarnation| incarnation != member.incarnation)
    }

    /// Whether contact with a member was lost in this view, or was not established in time.
    fn is_lost(&self, now: u64, member: &Member) -> bool {
        let had_time_to_connect = now >= self.view_learned_ms + SUSPECT_AFTER_MS;
        let is_past_stall_grace = now >= self.resumed_ms + STALL_GRACE_MS;
        let was_heard = self
            .peers
            .get(&member.id)
            .is_some_and(|peer| peer.contact_ms >= Some(self.view_learned_ms));
        (had_time_to_connect || was_heard)
            && is_past_stall_grace
            && !self.in_contact(now, member.id)
    }

    /// Whether too few acceptors are in contact to tolerate the configured losses, and a controller outside the view is
    /// more likely than a silent voter to be there for the next view.
    fn can_replace_voter(&self, now: u64, view: &View) -> bool {
        let silent = || view.voters.iter().filter(|m| self.is_lost(now, m));
        let reachable = view.acceptors().count() - silent().count();
        if reachable >= self.min_acceptors() {
            return false;
        }
        let has_one_left = silent().any(|m| self.has_left(m.id));
        let is_better = |id: &u64| self.in_contact(now, *id) || has_one_left && !self.has_left(*id);
        let mut outsiders = self.peers.keys().filter(|id| !view.is_acceptor(**id));
        outsiders.any(is_better)
    }

    /// Whether a peer that is not a member is reachable, healthy and nearly caught up.
    fn may_join(&self, now: u64, view: &View, id: u64) -> bool {
        let is_nearly_caught_up = self.peers.get(&id).is_some_and(|peer| {
            peer.status.committed + MAX_JOIN_LAG_ENTRIES >= self.replication.committed
        });
        view.position(id).is_none()
            && self.in_contact(now, id)
            && !self.is_slow(id)
            && is_nearly_caught_up
    }

    /// Whether this peer last reported that it was a member and has a slow disk, as a controller does that leaves the chain
    /// before it stops.
    pub(super) fn has_left(&self, id: u64) -> bool {
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| peer.status.slow && peer.status.installed > 0)
    }

    /// When a message was last received from this peer. None: it is unknown to this process.
    pub(super) fn last_heard_ms(&self, id: u64) -> Option<u64> {
        self.peers.get(&id).map(|peer| peer.last_heard_ms)
    }

    fn is_slow(&self, id: u64) -> bool {
        if id == self.me.id {
            self.disk_slow || !self.first_write_synced
        } else {
            self.peers.get(&id).is_some_and(|peer| peer.status.slow)
        }
    }

    /// The acceptors of the newest view whose disks are lost, shown by another identity at their address.
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
