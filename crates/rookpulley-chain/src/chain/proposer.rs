//! The Paxos proposer of the next view.
//!
//! Only a member that has installed the newest view may be the source of the next one, since it has every update that
//! the view acknowledged. If no such member is left, the newest view may be skipped once one of its members has
//! promised not to install it: then it never became active and never will.

use super::Chain;
use crate::message::Message;
use crate::reconfiguration_state::{StatusReplies, StatusReply, Step};
use crate::state::State;
use crate::view::{Ballot, Member, View};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl<S: State> Chain<S> {
    /// Continues the proposal with the collected replies.
    pub(super) fn evaluate_replies(&mut self, now: u64) {
        let Some(replies) = self.reconfiguration.take_collected() else {
            return;
        };
        let Some(view) = self.view().cloned() else {
            return;
        };
        let Ok(members) = self.choose_members(now, &view, &replies) else {
            return self.retry_statuses(now);
        };
        let has_installed = |r: &StatusReply| {
            r.status.installed == view.number && members.contains(&r.status.member)
        };
        if replies.values().any(has_installed) {
            self.propose(now, &replies, members, view.number);
        } else {
            self.request_abandonment(now, &view, replies, members);
        }
    }

    /// Asks the members of the newest view to abandon it.
    fn request_abandonment(
        &mut self,
        now: u64,
        view: &View,
        replies: StatusReplies,
        members: Vec<Member>,
    ) {
        let query = self.reconfiguration.next_query();
        let number = view.number;
        let asked: Vec<u64> = replies.keys().copied().collect();
        let step = Step::AbandoningView {
            query,
            replies,
            members,
        };
        self.reconfiguration.begin(now, step);
        for id in asked {
            if view.position(id).is_some() {
                self.send(now, id, Message::AbandonView { query, number });
            }
        }
    }

    pub(super) fn handle_view_abandoned(
        &mut self,
        now: u64,
        from: u64,
        query: u64,
        number: u64,
        installed: u64,
    ) {
        let Step::AbandoningView {
            query: asked,
            replies,
            ..
        } = &mut self.reconfiguration.step
        else {
            return;
        };
        if *asked != query {
            return;
        }
        if let Some(reply) = replies.get_mut(&from) {
            reply.abandoned = number.max(reply.abandoned);
            reply.status.installed = installed;
        }
        self.propose_from_older_view(now);
    }

    /// Proposes a view based on the newest one installed by a chosen member, once every later view is known never to
    /// have been active.
    fn propose_from_older_view(&mut self, now: u64) {
        let Step::AbandoningView {
            replies, members, ..
        } = &self.reconfiguration.step
        else {
            return;
        };
        let decided = self.decided();
        let of_members = replies
            .values()
            .filter(|r| members.contains(&r.status.member));
        let newest = of_members.map(|r| r.status.installed).max();
        let Some(newest) = newest.filter(|number| *number > 0) else {
            return;
        };
        if !(newest + 1..=decided).all(|number| self.never_active(number, replies)) {
            return;
        }
        let Some((replies, members)) = self.reconfiguration.take_abandoned() else {
            return;
        };
        self.log(format_args!(
            "view {decided} never became active; proposing a successor based on view {newest}"
        ));
        self.propose(now, &replies, members, newest);
    }

    /// Whether some member of this view has not installed it and promised not to.
    fn never_active(&self, number: u64, replies: &StatusReplies) -> bool {
        let Some(view) = self.views.iter().find(|view| view.number == number) else {
            return false;
        };
        replies.iter().any(|(id, reply)| {
            let will_not_install = reply.abandoned >= number && reply.status.installed < number;
            view.position(*id).is_some() && will_not_install
        })
    }

    /// Proposes a view with these members, based on view `base_number`. The source, which becomes the head, is the
    /// member with that view installed and the longest log, or the first of these in the given order.
    fn propose(
        &mut self,
        now: u64,
        replies: &StatusReplies,
        mut members: Vec<Member>,
        base_number: u64,
    ) {
        let last_entry = |member: &Member| {
            let status = &replies.get(&member.id)?.status;
            (status.installed == base_number).then_some(status.last)
        };
        let sources = members
            .iter()
            .enumerate()
            .filter_map(|(position, member)| Some((last_entry(member)?, Reverse(position))));
        let Some((_, Reverse(position))) = sources.max() else {
            return self.back_off(now);
        };
        let source = members.remove(position);
        members.insert(0, source);
        let Some(base) = self.view().cloned() else {
            return;
        };
        let voters = self.choose_voters(now, &base, &members, replies);
        let view = View {
            number: base.number + 1,
            members,
            voters,
        };
        self.prepare(now, &base, view);
    }

    /// Paxos phase 1a.
    fn prepare(&mut self, now: u64, base: &View, view: View) {
        self.reconfiguration.round += 1;
        let ballot = Ballot {
            round: self.reconfiguration.round,
            proposer: self.me.incarnation,
        };
        let promises = BTreeMap::new();
        let step = Step::Preparing {
            ballot,
            view,
            promises,
        };
        self.reconfiguration.begin(now, step);
        for acceptor in base.acceptors() {
            let base = base.clone();
            self.send(now, acceptor.id, Message::Prepare { base, ballot });
        }
    }

    /// Paxos phase 1b; starts phase 2a once a quorum has promised.
    pub(super) fn handle_promise(
        &mut self,
        now: u64,
        from: u64,
        number: u64,
        promised: Ballot,
        accepted: Option<(Ballot, View)>,
    ) {
        let lost = self.lost_disks(now);
        let Some(base) = self.view().cloned() else {
            return;
        };
        let Step::Preparing {
            ballot,
            view,
            promises,
        } = &mut self.reconfiguration.step
        else {
            return;
        };
        if *ballot != promised || view.number != number || number != base.number + 1 {
            return;
        }
        promises.insert(from, accepted);
        let responded: BTreeSet<u64> = promises.keys().copied().collect();
        if !base.is_quorum(&responded, &lost) {
            return;
        }
        // A view that may have been chosen already takes precedence over this member's own.
        let highest = promises
            .values()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot);
        let view = highest.map_or_else(|| view.clone(), |(_, accepted)| accepted.clone());
        let ballot = *ballot;
        self.reconfiguration.step = Step::Accepting {
            ballot,
            view: view.clone(),
            accepted: BTreeSet::new(),
        };
        for acceptor in base.acceptors() {
            let view = view.clone();
            self.send(now, acceptor.id, Message::Accept { ballot, view });
        }
    }

    /// Paxos phase 2b: the view is decided once a quorum has accepted it.
    pub(super) fn handle_accepted(
        &mut self,
        now: u64,
        from: u64,
        number: u64,
        ballot_accepted: Ballot,
    ) {
        let lost = self.lost_disks(now);
        let Some(base) = self.view().cloned() else {
            return;
        };
        let Step::Accepting {
            ballot,
            view,
            accepted,
        } = &mut self.reconfiguration.step
        else {
            return;
        };
        if *ballot != ballot_accepted || view.number != number || number != base.number + 1 {
            return;
        }
        accepted.insert(from);
        if !base.is_quorum(accepted, &lost) {
            return;
        }
        let view = view.clone();
        let peers: Vec<u64> = self.peers.keys().copied().collect();
        for id in peers {
            let views = vec![view.clone()];
            self.send_to_peer(id, Message::Learn { views });
        }
        self.learn_views(now, vec![view]);
    }

    /// Another proposer uses a higher ballot.
    pub(super) fn handle_preempted(&mut self, now: u64, number: u64, ballot: Ballot) {
        if number != self.decided() + 1 {
            return;
        }
        self.reconfiguration.round = self.reconfiguration.round.max(ballot.round);
        let step = &self.reconfiguration.step;
        if matches!(step, Step::Preparing { .. } | Step::Accepting { .. }) {
            self.back_off(now);
        }
    }
}
