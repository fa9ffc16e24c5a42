//! How a new view comes about: somebody sees trouble, asks the others what they see, and proposes.
//!
//! There is no leader: whoever sees trouble first, after a pause by rank. Nothing is proposed before a majority of the
//! present members has answered, so one that can speak but not hear disturbs nobody.

use crate::catch_up::NEAR;
use crate::chain::{Chain, SILENT_MS};
use crate::message::{MemberStatus, Message};
use crate::view::{Ballot, Member, View};
use crate::{Effect, State};
use std::collections::{BTreeMap, BTreeSet};

/// Trouble must last so long before anything is done about it, and so much longer by each place among those in contact.
const PAUSE_MS: u64 = 40;
const RANK_MS: u64 = 130;
/// One that was held up itself hears what lay in its sockets before it takes others for lost.
const WAKING_MS: u64 = 150;
/// Newcomers are gathered for so long: several often come at once.
const GATHER_MS: u64 = 250;
/// A view that isn't at work after so long needs another.
const INSTALL_MS: u64 = 1_300;
/// One that has fallen silent keeps its vote for so long.
const SAY_MS: u64 = 4_000;
/// Opinions are waited for so long, as long as who is asked is in contact; votes so long.
const STEP_MS: u64 = 350;
const VOTE_MS: u64 = 400;
const AGAIN_MS: u64 = 250;

pub struct StatusReply {
    pub standing: MemberStatus,
    pub contacts: Vec<(u64, u64)>,
    pub never: u64,
}

enum Step {
    Idle,
    CollectingStatus {
        ask: u64,
        opinions: BTreeMap<u64, StatusReply>,
        of: BTreeSet<u64>,
    },
    AbandoningView {
        ask: u64,
        opinions: BTreeMap<u64, StatusReply>,
        members: Vec<Member>,
    },
    Preparing {
        ballot: Ballot,
        view: View,
        promises: BTreeMap<u64, Option<(Ballot, View)>>,
    },
    Accepting {
        ballot: Ballot,
        view: View,
        accepted: BTreeSet<u64>,
    },
}

pub struct Reconfiguration {
    step: Step,
    since_ms: u64,
    trouble_since: Option<u64>,
    not_before: u64,
    round: u64,
    asks: u64,
}

impl Default for Reconfiguration {
    fn default() -> Self {
        Self {
            step: Step::Idle,
            since_ms: 0,
            trouble_since: None,
            not_before: 0,
            round: 0,
            asks: 0,
        }
    }
}

impl Reconfiguration {
    /// A view was decided: whatever was on its way is over.
    pub fn calm(&mut self, now: u64) {
        (self.step, self.since_ms, self.trouble_since) = (Step::Idle, now, None);
        self.round = 0;
    }
}

impl<S: State> Chain<S> {
    pub(crate) fn mend(&mut self, now: u64) {
        let Some(view) = self.views.last() else {
            return;
        };
        if !view.votes(self.me.id) {
            return;
        }
        let waited = now.saturating_sub(self.mending.since_ms);
        match &self.mending.step {
            Step::Idle => {}
            Step::CollectingStatus { .. } if waited >= STEP_MS || self.all_answered(now) => {
                return self.weigh(now);
            }
            Step::AbandoningView { .. } | Step::Preparing { .. } | Step::Accepting { .. } => {
                // Longer with each round: a disk that is slow must get its vote through at last.
                if waited >= VOTE_MS * self.mending.round.clamp(1, 5) {
                    self.rest(now, AGAIN_MS);
                }
                return;
            }
            Step::CollectingStatus { .. } => return,
        }
        let Some(pause) = self.trouble(now) else {
            self.mending.trouble_since = None;
            return;
        };
        let since = *self.mending.trouble_since.get_or_insert(now);
        let wait = match pause {
            // Who has a slow disk knows it first, and for certain.
            _ if self.slow => 0,
            0 => self.rank(now) * RANK_MS,
            _ => pause + self.rank(now) * RANK_MS + self.jitter(now, 50),
        };
        if now >= since + wait && now >= self.mending.not_before {
            self.ask_around(now);
        }
    }

    /// How many members before us may be expected to propose.
    fn rank(&self, now: u64) -> u64 {
        let Some(view) = self.views.last() else {
            return 0;
        };
        let before = view.members.iter().take_while(|m| m.id != self.me.id);
        before.filter(|m| self.in_contact(now, m.id)).count() as u64
    }

    fn jitter(&self, now: u64, most: u64) -> u64 {
        ((self.seed ^ now).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % most
    }

    fn rest(&mut self, now: u64, pause: u64) {
        (self.mending.step, self.mending.since_ms) = (Step::Idle, now);
        self.mending.not_before = now + pause + self.jitter(now, 128);
    }

    /// Whether the view needs mending, and how long that may wait.
    fn trouble(&self, now: u64) -> Option<u64> {
        let view = self.views.last()?;
        let settled = now >= self.learned_ms + SILENT_MS;
        let awake = now >= self.woke_ms + WAKING_MS;
        let restarted = |m: &Member| {
            let incarnation = if m.id == self.me.id {
                Some(self.me.incarnation)
            } else {
                self.incarnation_of(m.id)
            };
            incarnation.is_some_and(|incarnation| incarnation != m.incarnation)
        };
        let lost = |m: &Member| {
            // One that was heard in this view and is no longer, or that had time enough to be.
            let heard = self
                .known
                .get(&m.id)
                .is_some_and(|k| k.contact_ms >= Some(self.learned_ms));
            (settled || heard) && awake && !self.in_contact(now, m.id)
        };
        if view.members.iter().any(restarted) {
            // Where all are here again and well there is nothing to wait for.
            let well = |m: &Member| self.in_contact(now, m.id) && !self.slow_one(m.id);
            return Some(if view.members.iter().all(well) {
                0
            } else {
                PAUSE_MS
            });
        }
        let unfinished = !self.is_at_work() && now >= self.learned_ms + INSTALL_MS;
        // A silent voter matters once it may be gone for good, or where the majority would be smaller without it.
        let silent: Vec<&Member> = view.voters.iter().filter(|m| lost(m)).collect();
        let borne =
            usize::from((view.members.len() + view.voters.len() - silent.len()).is_multiple_of(2));
        let lasting = silent.len() > borne || silent.iter().any(|m| !self.spoke_lately(now, m.id));
        if view.members.iter().any(lost) || unfinished || lasting {
            return Some(PAUSE_MS);
        }
        let says_slow = |m: &Member| self.slow_one(m.id);
        let slow = view.members.iter().filter(|m| says_slow(m)).count();
        if slow > 0 && view.members.len() - slow > self.losses {
            return Some(PAUSE_MS);
        }
        let comes = |id: &u64| {
            view.place(*id).is_none()
                && self.in_contact(now, *id)
                && !self.slow_one(*id)
                && self
                    .known
                    .get(id)
                    .is_some_and(|k| k.standing.committed + NEAR >= self.flow.committed)
        };
        if self.is_at_work() && self.known.keys().any(comes) {
            return Some(if view.number == 1 {
                GATHER_MS
            } else {
                2 * PAUSE_MS
            });
        }
        None
    }

    fn spoke_lately(&self, now: u64, id: u64) -> bool {
        self.known
            .get(&id)
            .is_some_and(|k| now < k.heard_ms + SAY_MS)
    }

    fn incarnation_of(&self, id: u64) -> Option<u64> {
        self.known.get(&id).map(|k| k.standing.me.incarnation)
    }

    fn slow_one(&self, id: u64) -> bool {
        if id == self.me.id {
            self.slow || !self.proven
        } else {
            self.known.get(&id).is_some_and(|k| k.standing.slow)
        }
    }

    fn contacts(&self, now: u64) -> Vec<(u64, u64)> {
        let near = self
            .known
            .iter()
            .filter(|(id, _)| self.in_contact(now, **id));
        near.map(|(id, k)| (*id, k.standing.me.incarnation))
            .chain([(self.me.id, self.me.incarnation)])
            .collect()
    }

    /// Members of the newest view whose disks are lost: another identity lives at their address now.
    fn gone(&self, now: u64) -> BTreeSet<u64> {
        let Some(view) = self.views.last() else {
            return BTreeSet::new();
        };
        let at = |m: &&Member| {
            let mut others = self.known.iter().filter(|(id, _)| **id != m.id);
            !self.in_contact(now, m.id)
                && others
                    .any(|(id, k)| k.standing.me.address == m.address && self.in_contact(now, *id))
        };
        view.acceptors().filter(at).map(|m| m.id).collect()
    }

    pub(crate) fn say_seen(&mut self, now: u64, to: u64, ask: u64) {
        let (standing, contacts, never) = (self.standing(), self.contacts(now), self.never);
        let views = self.views.clone();
        self.send(
            now,
            to,
            Message::StatusReply {
                ask,
                standing,
                contacts,
                never,
                views,
            },
        );
    }

    fn ask_around(&mut self, now: u64) {
        self.mending.asks += 1;
        let ask = self.mending.asks;
        let to: Vec<u64> = self.contacts(now).into_iter().map(|(id, _)| id).collect();
        let of = to.iter().copied().collect();
        self.mending.step = Step::CollectingStatus {
            ask,
            opinions: BTreeMap::new(),
            of,
        };
        self.mending.since_ms = now;
        to.into_iter()
            .for_each(|id| self.send(now, id, Message::StatusRequest { ask }));
    }

    pub(crate) fn take_seen(&mut self, now: u64, from: u64, ask: u64, opinion: StatusReply) {
        if let Step::CollectingStatus {
            ask: asked,
            opinions,
            ..
        } = &mut self.mending.step
            && *asked == ask
        {
            opinions.insert(from, opinion);
            if self.all_answered(now) {
                self.weigh(now);
            }
        }
    }

    fn all_answered(&self, now: u64) -> bool {
        let Step::CollectingStatus { opinions, of, .. } = &self.mending.step else {
            return false;
        };
        of.iter()
            .all(|id| opinions.contains_key(id) || !self.in_contact(now, *id))
    }

    /// Who would be in the next view, by what all that answered see.
    fn weigh(&mut self, now: u64) {
        let Step::CollectingStatus { opinions, .. } =
            std::mem::replace(&mut self.mending.step, Step::Idle)
        else {
            return;
        };
        let Some(view) = self.views.last().cloned() else {
            return;
        };
        if opinions.values().any(|o| o.standing.decided > view.number) {
            return self.rest(now, AGAIN_MS);
        }
        if !view.decides(&opinions.keys().copied().collect(), &self.gone(now)) {
            return self.rest(now, AGAIN_MS);
        }
        // The largest part in which all hear each other: whoever misses most of the others is left out first,
        // newcomers before old members.
        let hears = |a: &StatusReply, b: &StatusReply| {
            a.contacts
                .contains(&(b.standing.me.id, b.standing.me.incarnation))
        };
        let mut chosen: Vec<u64> = opinions.keys().copied().collect();
        loop {
            let misses = |id: &u64| {
                let (Some(a), all) = (
                    opinions.get(id),
                    chosen.iter().filter_map(|o| opinions.get(o)),
                ) else {
                    return 0;
                };
                all.filter(|b| b.standing.me.id != *id && !(hears(a, b) && hears(b, a)))
                    .count()
            };
            let worst = chosen
                .iter()
                .map(|id| (misses(id), view.place(*id).is_none(), *id))
                .max();
            match worst {
                Some((missed, _, id)) if missed > 0 => chosen.retain(|c| *c != id),
                _ => break,
            }
        }
        let slow = |id: &u64| opinions.get(id).is_some_and(|o| o.standing.slow);
        if chosen.iter().filter(|id| !slow(id)).count() > self.losses {
            chosen.retain(|id| !slow(id));
        }
        // Who lacks much is filled first, beside the chain, as far as the chain is long enough without it.
        let newest = opinions
            .values()
            .map(|o| o.standing.committed)
            .max()
            .unwrap_or(0);
        let near = |id: &u64| {
            let holds = |o: &StatusReply| match o.standing.installed == view.number {
                true => o.standing.last,
                false => o.standing.committed,
            };
            opinions.get(id).is_some_and(|o| holds(o) + NEAR >= newest)
        };
        if chosen.iter().filter(|id| near(id)).count() > self.losses {
            chosen.retain(near);
        }
        if !opinions.contains_key(&self.me.id) || (!chosen.contains(&self.me.id) && !self.slow) {
            return self.rest(now, AGAIN_MS);
        }
        let member = |id: &u64| opinions.get(id).map(|o| o.standing.me);
        let mut members: Vec<Member> = view
            .members
            .iter()
            .filter(|m| chosen.contains(&m.id))
            .filter_map(|m| member(&m.id))
            .collect();
        members.extend(
            chosen
                .iter()
                .filter(|id| view.place(**id).is_none())
                .filter_map(member),
        );
        let voters = self.voters_beside(now, &view, &members, &opinions);
        if members == view.members && voters == view.voters && self.is_at_work() {
            return self.rest(now, AGAIN_MS);
        }
        // Never fewer than may be lost and one more, unless there were no more before.
        if members.len() <= self.losses && members.len() < view.members.len() {
            return self.rest(now, AGAIN_MS);
        }
        if opinions
            .values()
            .any(|o| o.standing.installed == view.number && members.contains(&o.standing.me))
        {
            return self.propose_from(now, opinions, members, view.number);
        }
        // Nobody left has installed the present view. It may be passed over once a member of it that has not
        // installed it, either, has promised never to: then it never was at work and never will be.
        self.mending.asks += 1;
        let ask = self.mending.asks;
        let to: Vec<u64> = opinions
            .keys()
            .copied()
            .filter(|id| view.place(*id).is_some())
            .collect();
        self.mending.step = Step::AbandoningView {
            ask,
            opinions,
            members,
        };
        self.mending.since_ms = now;
        to.into_iter().for_each(|id| {
            self.send(
                now,
                id,
                Message::AbandonView {
                    ask,
                    number: view.number,
                },
            )
        });
    }

    pub(crate) fn take_buried(
        &mut self,
        now: u64,
        from: u64,
        ask: u64,
        number: u64,
        installed: u64,
    ) {
        let Step::AbandoningView {
            ask: asked,
            opinions,
            ..
        } = &mut self.mending.step
        else {
            return;
        };
        if *asked != ask {
            return;
        }
        if let Some(opinion) = opinions.get_mut(&from) {
            (opinion.never, opinion.standing.installed) = (number.max(opinion.never), installed);
        }
        self.try_buried(now);
    }

    fn try_buried(&mut self, now: u64) {
        let Step::AbandoningView {
            opinions, members, ..
        } = &self.mending.step
        else {
            return;
        };
        let decided = self.decided();
        let newest = opinions
            .values()
            .filter(|o| members.contains(&o.standing.me))
            .map(|o| o.standing.installed)
            .max();
        let Some(newest) = newest.filter(|n| *n > 0) else {
            return;
        };
        // Each view above it must be dead: one of its members has not installed it and never will.
        let dead = |number: u64| {
            let Some(view) = self.views.iter().find(|v| v.number == number) else {
                return false;
            };
            let never = |o: &StatusReply| o.never >= number && o.standing.installed < number;
            opinions
                .iter()
                .any(|(id, o)| view.place(*id).is_some() && never(o))
        };
        if !(newest + 1..=decided).all(dead) {
            return;
        }
        if let Step::AbandoningView {
            opinions, members, ..
        } = std::mem::replace(&mut self.mending.step, Step::Idle)
        {
            self.log(format!(
                "view {decided} never came to work; the one before, {newest}, is gone on from"
            ));
            self.propose_from(now, opinions, members, newest);
        }
    }

    /// Puts a source first: one that has installed this view, the head where it is there, else the one that holds most.
    fn propose_from(
        &mut self,
        now: u64,
        opinions: BTreeMap<u64, StatusReply>,
        mut members: Vec<Member>,
        from: u64,
    ) {
        let holds = |m: &Member| {
            opinions
                .get(&m.id)
                .filter(|o| o.standing.installed == from)
                .map(|o| o.standing.last)
        };
        let first = members
            .iter()
            .enumerate()
            .filter_map(|(at, m)| Some((holds(m)?, std::cmp::Reverse(at))))
            .max();
        let Some((_, std::cmp::Reverse(at))) = first else {
            return self.rest(now, AGAIN_MS);
        };
        let source = members.remove(at);
        members.insert(0, source);
        let Some(base) = self.views.last().cloned() else {
            return;
        };
        let voters = self.voters_beside(now, &base, &members, &opinions);
        let view = View {
            number: base.number + 1,
            members,
            voters,
        };
        self.mending.round += 1;
        let ballot = Ballot {
            round: self.mending.round,
            by: self.me.incarnation,
        };
        let to: Vec<u64> = base.acceptors().map(|m| m.id).collect();
        self.mending.step = Step::Preparing {
            ballot,
            view,
            promises: BTreeMap::new(),
        };
        self.mending.since_ms = now;
        for id in to {
            self.send(
                now,
                id,
                Message::Prepare {
                    base: base.clone(),
                    ballot,
                },
            );
        }
    }

    /// Whoever had a say, is left out and still answers keeps it, as far as the chain is shorter than it would have to
    /// be to lose what it may lose and still be a majority. Of the silent one keeps it for a while, where that makes the
    /// majority no larger: most often it was only held up, and is back before another is lost.
    fn voters_beside(
        &self,
        now: u64,
        base: &View,
        members: &[Member],
        opinions: &BTreeMap<u64, StatusReply>,
    ) -> Vec<Member> {
        let gone = self.gone(now);
        let out = |m: &&Member| members.iter().all(|n| n.id != m.id) && !gone.contains(&m.id);
        let answer = |m: &Member| opinions.get(&m.id).map(|o| o.standing.me);
        let room = (2 * self.losses + 1).saturating_sub(members.len());
        let mut voters: Vec<Member> = base
            .acceptors()
            .filter(out)
            .filter_map(answer)
            .take(room)
            .collect();
        if voters.len() < room && (members.len() + voters.len()).is_multiple_of(2) {
            let silent = |m: &&Member| answer(m).is_none() && self.spoke_lately(now, m.id);
            voters.extend(base.acceptors().filter(out).find(silent));
        }
        voters
    }

    pub(crate) fn take_promise(
        &mut self,
        now: u64,
        from: u64,
        number: u64,
        given: Ballot,
        accepted: Option<(Ballot, View)>,
    ) {
        let (base, lost, decided) = (self.view().cloned(), self.gone(now), self.decided());
        let Step::Preparing {
            ballot,
            view,
            promises,
        } = &mut self.mending.step
        else {
            return;
        };
        if *ballot != given || view.number != number || number != decided + 1 {
            return;
        }
        promises.insert(from, accepted);
        let enough = base.is_some_and(|b| b.decides(&promises.keys().copied().collect(), &lost));
        if !enough {
            return;
        }
        // What may have been chosen already goes before what we wanted.
        let bound = promises
            .values()
            .flatten()
            .max_by_key(|(b, _)| *b)
            .map(|(_, v)| v.clone());
        let (ballot, view) = (*ballot, bound.unwrap_or_else(|| view.clone()));
        let to: Vec<u64> = self
            .view()
            .map_or(Vec::new(), |v| v.acceptors().map(|m| m.id).collect());
        self.mending.step = Step::Accepting {
            ballot,
            view: view.clone(),
            accepted: BTreeSet::new(),
        };
        for id in to {
            self.send(
                now,
                id,
                Message::Accept {
                    ballot,
                    view: view.clone(),
                },
            );
        }
    }

    pub(crate) fn take_accepted(&mut self, now: u64, from: u64, number: u64, given: Ballot) {
        let (base, lost, decided) = (self.view().cloned(), self.gone(now), self.decided());
        let Step::Accepting {
            ballot,
            view,
            accepted,
        } = &mut self.mending.step
        else {
            return;
        };
        if *ballot != given || view.number != number || number != decided + 1 {
            return;
        }
        accepted.insert(from);
        if !base.is_some_and(|b| b.decides(accepted, &lost)) {
            return;
        }
        let view = view.clone();
        let to: Vec<u64> = self.known.keys().copied().collect();
        for id in to {
            self.out.push(Effect::Send {
                to: id,
                message: Message::Learn {
                    views: vec![view.clone()],
                },
            });
        }
        self.learn(now, vec![view]);
    }

    pub(crate) fn outbid(&mut self, now: u64, number: u64, ballot: Ballot) {
        if number == self.decided() + 1 {
            self.mending.round = self.mending.round.max(ballot.round);
            if matches!(
                self.mending.step,
                Step::Preparing { .. } | Step::Accepting { .. }
            ) {
                self.rest(now, AGAIN_MS);
            }
        }
    }
}
