//! Selection of the members and voters of the next view from the collected status replies.

use super::Chain;
use super::reconfiguration::MAX_JOIN_LAG_ENTRIES;
use crate::reconfiguration_state::{StatusReplies, StatusReply};
use crate::state::State;
use crate::view::{Member, View};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The reason why no view is proposed.
#[derive(Debug, PartialEq)]
pub(super) enum NoCandidates {
    /// A reply reports a newer view than the one to be succeeded.
    ViewIsOld,
    /// The replies do not form a quorum.
    NoQuorum,
    /// This member would not be in the proposed view.
    NotAMember,
    /// The proposed view would equal the current one.
    Unchanged,
    /// The proposed view would have too few members to tolerate the configured losses.
    TooFewMembers,
}

impl<S: State> Chain<S> {
    /// Selects the members of the next view, in chain order.
    pub(super) fn choose_members(
        &self,
        now: u64,
        view: &View,
        replies: &StatusReplies,
    ) -> Result<Vec<Member>, NoCandidates> {
        if replies.values().any(|r| r.status.decided > view.number) {
            return Err(NoCandidates::ViewIsOld);
        }
        let responded: BTreeSet<u64> = replies.keys().copied().collect();
        if !view.is_quorum(&responded, &self.lost_disks(now)) {
            return Err(NoCandidates::NoQuorum);
        }
        let mut chosen = fully_connected(view, replies);
        let is_disk_healthy = |id: &u64| replies.get(id).is_some_and(|r| !r.status.slow);
        self.prefer(&mut chosen, is_disk_healthy);
        // Lagging replicas catch up outside the chain first, as long as it is long enough without them.
        let newest = replies.values().map(|r| r.status.committed).max();
        let is_nearly_caught_up = |id: &u64| {
            let last = replies.get(id).map(|r| last_usable_entry(r, view));
            last.is_some_and(|last| last + MAX_JOIN_LAG_ENTRIES >= newest.unwrap_or(0))
        };
        self.prefer(&mut chosen, is_nearly_caught_up);
        let is_selected = chosen.contains(&self.me.id) || self.disk_slow;
        if !replies.contains_key(&self.me.id) || !is_selected {
            return Err(NoCandidates::NotAMember);
        }
        let members = order_members(view, &chosen, replies);
        let voters = self.choose_voters(now, view, &members, replies);
        if members == view.members && voters == view.voters && self.is_view_active() {
            return Err(NoCandidates::Unchanged);
        }
        // A chain that is already this short may be replaced by one of the same length.
        if members.len() <= self.tolerated_losses && members.len() < view.members.len() {
            return Err(NoCandidates::TooFewMembers);
        }
        Ok(members)
    }

    /// Retains only the candidates that satisfy `fits`, if they suffice to tolerate the configured losses.
    fn prefer(&self, chosen: &mut Vec<u64>, fits: impl Fn(&u64) -> bool) {
        if chosen.iter().filter(|id| fits(id)).count() > self.tolerated_losses {
            chosen.retain(|id| fits(id));
        }
    }

    /// Selects the voters of the next view: as many as bring its acceptors to the smallest number of which a majority
    /// outlives the tolerated losses. Controllers that replied come first. Silent ones fill the remaining places, however
    /// long they have been silent, because a smaller set of acceptors could lose its quorum for good with fewer disks
    /// than that; but those that replied stay a majority.
    pub(super) fn choose_voters(
        &self,
        now: u64,
        base: &View,
        members: &[Member],
        replies: &StatusReplies,
    ) -> Vec<Member> {
        let lost = self.lost_disks(now);
        let may_vote = |candidate: &Member| {
            let is_member = members.iter().any(|member| member.id == candidate.id);
            !is_member && !lost.contains(&candidate.id)
        };
        let replied = replies.values().map(|reply| reply.status.member);
        let (mut voters, newcomers): (Vec<Member>, Vec<Member>) = replied
            .filter(may_vote)
            .partition(|candidate| base.is_acceptor(candidate.id));
        voters.extend(newcomers);
        let vacancies = self.min_acceptors().saturating_sub(members.len());
        voters.truncate(vacancies);
        let max_silent = (members.len() + voters.len()).saturating_sub(1);
        let silent = self.silent_controllers(base, replies);
        let silent = silent.into_iter().filter(may_vote);
        voters.extend(silent.take(max_silent.min(vacancies - voters.len())));
        voters
    }

    /// The acceptors of this view and the other known controllers that did not reply, beginning with those that are the
    /// most likely to return: those that had not left the chain in order, and those heard last.
    fn silent_controllers(&self, view: &View, replies: &StatusReplies) -> Vec<Member> {
        let peers = self.peers.values().map(|peer| peer.status.member);
        let outsiders = peers.filter(|peer| !view.is_acceptor(peer.id));
        let known = view.acceptors().copied().chain(outsiders);
        let mut silent: Vec<Member> = known
            .filter(|controller| !replies.contains_key(&controller.id))
            .collect();
        silent.sort_by_key(|controller| {
            let id = controller.id;
            (self.has_left(id), Reverse(self.last_heard_ms(id)))
        });
        silent
    }

    /// The smallest number of acceptors that has a majority left after the tolerated losses. More than these losses are
    /// needed to stop a view of this size, and then too few members remain to acknowledge updates as well.
    pub(super) fn min_acceptors(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// A subset of the replying controllers in which all are in two-way contact. Repeatedly removes the one that misses the
/// most others, and among equals a new one before a member.
fn fully_connected(view: &View, replies: &StatusReplies) -> Vec<u64> {
    let has_contact_with =
        |a: &StatusReply, b: &StatusReply| a.contacts.contains(&b.status.member.into());
    let mut chosen: Vec<u64> = replies.keys().copied().collect();
    loop {
        let count_missing = |id: &u64| {
            let Some(reply) = replies.get(id) else {
                return 0;
            };
            let others = chosen.iter().filter(|other| *other != id);
            others
                .filter_map(|other| replies.get(other))
                .filter(|other| !(has_contact_with(reply, other) && has_contact_with(other, reply)))
                .count()
        };
        let least_connected = chosen
            .iter()
            .map(|id| (count_missing(id), view.position(*id).is_none(), *id))
            .max();
        match least_connected {
            Some((missed, _, id)) if missed > 0 => chosen.retain(|other| *other != id),
            _ => return chosen,
        }
    }
}

/// The last entry that a member could contribute to the next view.
fn last_usable_entry(reply: &StatusReply, view: &View) -> u64 {
    if reply.status.installed == view.number {
        reply.status.last
    } else {
        reply.status.committed
    }
}

/// The remaining members in their current order, followed by the new ones.
fn order_members(view: &View, chosen: &[u64], replies: &StatusReplies) -> Vec<Member> {
    let remaining = view.members.iter().map(|m| m.id);
    let remaining = remaining.filter(|id| chosen.contains(id));
    let joining = chosen.iter().copied();
    let joining = joining.filter(|id| view.position(*id).is_none());
    remaining
        .chain(joining)
        .filter_map(|id| replies.get(&id).map(|r| r.status.member))
        .collect()
}
