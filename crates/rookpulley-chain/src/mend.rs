//! How a new view comes about: somebody sees trouble, asks the others what they see, and proposes.
//!
//! There is no leader: whoever sees trouble first, after a pause by rank. Nothing is proposed before a majority of the
//! present members has answered, so one that can speak but not hear disturbs nobody.

use crate::chain::{Chain, SILENT_MS};
use crate::message::{Message, Standing};
use crate::view::{Ballot, Member, View};
use crate::{Effect, State};
use std::collections::{BTreeMap, BTreeSet};

/// Trouble must last so long before anything is done about it, and so much longer by each place in the view.
const PAUSE_MS: u64 = 60;
const RANK_MS: u64 = 130;
/// Newcomers are gathered for so long: several often come at once.
const GATHER_MS: u64 = 250;
/// A view that isn't at work after so long needs another.
const INSTALL_MS: u64 = 1_300;
/// A step of a proposal waits so long for answers.
const STEP_MS: u64 = 180;
const VOTE_MS: u64 = 500;
const AGAIN_MS: u64 = 250;

struct Opinion {
    standing: Standing,
    contacts: Vec<(u64, u64)>,
    never: u64,
}

enum Step {
    Rest,
    Asking { ask: u64, opinions: BTreeMap<u64, Opinion>, of: usize },
    Burying { ask: u64, opinions: BTreeMap<u64, Opinion>, members: Vec<Member> },
    Preparing { ballot: Ballot, view: View, promises: BTreeMap<u64, Option<(Ballot, View)>> },
    Accepting { ballot: Ballot, view: View, accepted: BTreeSet<u64> },
}

pub struct Mending {
    step: Step,
    since_ms: u64,
    trouble_since: Option<u64>,
    not_before: u64,
    round: u64,
    asks: u64,
}

impl Default for Mending {
    fn default() -> Self {
        Self { step: Step::Rest, since_ms: 0, trouble_since: None, not_before: 0, round: 0, asks: 0 }
    }
}

impl Mending {
    /// A view was decided: whatever was on its way is over.
    pub fn calm(&mut self, now: u64) {
        (self.step, self.since_ms, self.trouble_since) = (Step::Rest, now, None);
        self.round = 0;
    }
}

impl<S: State> Chain<S> {
    pub(crate) fn mend(&mut self, now: u64) {
        let Some(view) = self.views.last() else { return };
        if view.place(self.me.id).is_none() {
            return;
        }
        let waited = now.saturating_sub(self.mending.since_ms);
        match &self.mending.step {
            Step::Rest => {}
            Step::Asking { .. } if waited >= STEP_MS => return self.weigh(now),
            Step::Burying { .. } | Step::Preparing { .. } | Step::Accepting { .. } if waited >= VOTE_MS => {
                return self.rest(now, AGAIN_MS);
            }
            _ => return,
        }
        let Some(pause) = self.trouble(now) else {
            self.mending.trouble_since = None;
            return;
        };
        let since = *self.mending.trouble_since.get_or_insert(now);
        let rank = self.views.last().and_then(|v| v.place(self.me.id)).unwrap_or(0) as u64;
        let jitter = (self.seed ^ now).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 58;
        if now >= since + pause + rank * RANK_MS + jitter && now >= self.mending.not_before {
            self.ask_around(now);
        }
    }

    fn rest(&mut self, now: u64, pause: u64) {
        (self.mending.step, self.mending.since_ms) = (Step::Rest, now);
        let jitter = (self.seed ^ now).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 57;
        self.mending.not_before = now + pause + jitter;
    }

    /// Whether the view needs mending, and how long that may wait.
    fn trouble(&self, now: u64) -> Option<u64> {
        let view = self.views.last()?;
        let settled = now >= self.learned_ms + SILENT_MS;
        let lost = |m: &Member| {
            let restarted = self.known.get(&m.id).is_some_and(|k| k.standing.me.life != m.life);
            let self_restarted = m.id == self.me.id && m.life != self.me.life;
            restarted || self_restarted || (settled && !self.in_contact(now, m.id))
        };
        let unfinished = view.number > self.at_work && now >= self.learned_ms + INSTALL_MS;
        if view.members.iter().any(lost) || unfinished {
            return Some(PAUSE_MS);
        }
        let says_slow = |m: &Member| self.slow_one(m.id);
        let slow = view.members.iter().filter(|m| says_slow(m)).count();
        if slow > 0 && view.members.len() - slow > self.losses {
            return Some(PAUSE_MS);
        }
        let comes = |id: &u64| view.place(*id).is_none() && self.in_contact(now, *id) && !self.slow_one(*id);
        if view.number <= self.at_work && self.known.keys().any(comes) {
            return Some(if view.number == 1 { GATHER_MS } else { 2 * PAUSE_MS });
        }
        None
    }

    fn slow_one(&self, id: u64) -> bool {
        if id == self.me.id { self.slow } else { self.known.get(&id).is_some_and(|k| k.standing.slow) }
    }

    fn contacts(&self, now: u64) -> Vec<(u64, u64)> {
        let near = self.known.iter().filter(|(id, _)| self.in_contact(now, **id));
        near.map(|(id, k)| (*id, k.standing.me.life)).chain([(self.me.id, self.me.life)]).collect()
    }

    pub(crate) fn say_seen(&mut self, now: u64, to: u64, ask: u64) {
        let (standing, contacts, never) = (self.standing(), self.contacts(now), self.never);
        self.send(now, to, Message::Seen { ask, standing, contacts, never });
    }

    fn ask_around(&mut self, now: u64) {
        self.mending.asks += 1;
        let ask = self.mending.asks;
        let to: Vec<u64> = self.contacts(now).into_iter().map(|(id, _)| id).collect();
        self.mending.step = Step::Asking { ask, opinions: BTreeMap::new(), of: to.len() };
        self.mending.since_ms = now;
        to.into_iter().for_each(|id| self.send(now, id, Message::Opinion { ask }));
        self.weigh_if_complete(now);
    }

    pub(crate) fn take_seen(
        &mut self,
        from: u64,
        ask: u64,
        standing: Standing,
        contacts: Vec<(u64, u64)>,
        never: u64,
    ) {
        if let Step::Asking { ask: asked, opinions, of } = &mut self.mending.step
            && *asked == ask
        {
            opinions.insert(from, Opinion { standing, contacts, never });
            // All have answered: the next tick weighs.
            if opinions.len() >= *of {
                self.mending.since_ms = 0;
            }
        }
    }

    fn weigh_if_complete(&mut self, now: u64) {
        if self.mending.since_ms == 0 {
            self.weigh(now);
        }
    }

    /// Who would be in the next view, by what all that answered see.
    fn weigh(&mut self, now: u64) {
        let Step::Asking { opinions, .. } = std::mem::replace(&mut self.mending.step, Step::Rest) else {
            return;
        };
        let Some(view) = self.views.last().cloned() else { return };
        if opinions.values().any(|o| o.standing.decided > view.number) {
            return self.rest(now, AGAIN_MS);
        }
        let answered = view.members.iter().filter(|m| opinions.contains_key(&m.id)).count();
        if answered < view.majority() {
            return self.rest(now, AGAIN_MS);
        }
        // The largest part in which all hear each other: whoever misses most of the others is left out first,
        // newcomers before old members.
        let hears = |a: &Opinion, b: &Opinion| a.contacts.contains(&(b.standing.me.id, b.standing.me.life));
        let mut chosen: Vec<u64> = opinions.keys().copied().collect();
        loop {
            let misses = |id: &u64| {
                let (Some(a), all) = (opinions.get(id), chosen.iter().filter_map(|o| opinions.get(o))) else {
                    return 0;
                };
                all.filter(|b| b.standing.me.id != *id && !(hears(a, b) && hears(b, a))).count()
            };
            let worst = chosen.iter().map(|id| (misses(id), view.place(*id).is_none(), *id)).max();
            match worst {
                Some((missed, _, id)) if missed > 0 => chosen.retain(|c| *c != id),
                _ => break,
            }
        }
        let slow = |id: &u64| opinions.get(id).is_some_and(|o| o.standing.slow);
        if chosen.iter().filter(|id| !slow(id)).count() > self.losses {
            chosen.retain(|id| !slow(id));
        }
        if !opinions.contains_key(&self.me.id) || (!chosen.contains(&self.me.id) && !self.slow) {
            return self.rest(now, AGAIN_MS);
        }
        let member = |id: &u64| opinions.get(id).map(|o| o.standing.me);
        let mut members: Vec<Member> =
            view.members.iter().filter(|m| chosen.contains(&m.id)).filter_map(|m| member(&m.id)).collect();
        members.extend(chosen.iter().filter(|id| view.place(**id).is_none()).filter_map(member));
        let at_work = view.number <= self.at_work;
        if members == view.members && at_work {
            return self.rest(now, AGAIN_MS);
        }
        // Never fewer than may be lost and one more, unless there were no more before.
        if members.len() <= self.losses && members.len() < view.members.len() {
            return self.rest(now, AGAIN_MS);
        }
        if opinions.values().any(|o| o.standing.installed == view.number && members.contains(&o.standing.me))
        {
            return self.propose_from(now, opinions, members, view.number);
        }
        // Nobody left has installed the present view. It may be passed over once a member of it that has not
        // installed it, either, has promised never to: then it never was at work and never will be.
        self.mending.asks += 1;
        let ask = self.mending.asks;
        let to: Vec<u64> = opinions.keys().copied().filter(|id| view.place(*id).is_some()).collect();
        self.mending.step = Step::Burying { ask, opinions, members };
        self.mending.since_ms = now;
        to.into_iter().for_each(|id| self.send(now, id, Message::Bury { ask, number: view.number }));
    }

    pub(crate) fn take_buried(&mut self, from: u64, ask: u64, number: u64, installed: u64) {
        let Step::Burying { ask: asked, opinions, .. } = &mut self.mending.step else { return };
        if *asked != ask {
            return;
        }
        if let Some(opinion) = opinions.get_mut(&from) {
            (opinion.never, opinion.standing.installed) = (number.max(opinion.never), installed);
        }
        self.try_buried();
    }

    fn try_buried(&mut self) {
        let Step::Burying { opinions, members, .. } = &self.mending.step else { return };
        let decided = self.decided();
        let newest = opinions
            .values()
            .filter(|o| members.contains(&o.standing.me))
            .map(|o| o.standing.installed)
            .max();
        let Some(newest) = newest.filter(|n| *n > 0) else { return };
        // Each view above it must be dead: one of its members has not installed it and never will.
        let dead = |number: u64| {
            let Some(view) = self.views.iter().find(|v| v.number == number) else { return false };
            let never = |o: &Opinion| o.never >= number && o.standing.installed < number;
            opinions.iter().any(|(id, o)| view.place(*id).is_some() && never(o))
        };
        if !(newest + 1..=decided).all(dead) {
            return;
        }
        let now = self.mending.since_ms;
        if let Step::Burying { opinions, members, .. } = std::mem::replace(&mut self.mending.step, Step::Rest)
        {
            self.log(format!("view {decided} never came to work; the one before, {newest}, is gone on from"));
            self.propose_from(now, opinions, members, newest);
        }
    }

    /// Puts a source first: one that has installed this view, the head where it is there, else the one that holds most.
    fn propose_from(
        &mut self,
        now: u64,
        opinions: BTreeMap<u64, Opinion>,
        mut members: Vec<Member>,
        from: u64,
    ) {
        let holds = |m: &Member| {
            opinions.get(&m.id).filter(|o| o.standing.installed == from).map(|o| o.standing.last)
        };
        let first =
            members.iter().enumerate().filter_map(|(at, m)| Some((holds(m)?, std::cmp::Reverse(at)))).max();
        let Some((_, std::cmp::Reverse(at))) = first else { return self.rest(now, AGAIN_MS) };
        let source = members.remove(at);
        members.insert(0, source);
        let Some(base) = self.views.last().cloned() else { return };
        let view = View { number: base.number + 1, members };
        self.mending.round += 1;
        let ballot = Ballot { round: self.mending.round, by: self.me.id };
        let to: Vec<u64> = base.members.iter().map(|m| m.id).collect();
        self.mending.step = Step::Preparing { ballot, view, promises: BTreeMap::new() };
        self.mending.since_ms = now;
        for id in to {
            self.send(now, id, Message::Prepare { base: base.clone(), ballot });
        }
    }

    pub(crate) fn take_promise(
        &mut self,
        now: u64,
        from: u64,
        number: u64,
        given: Ballot,
        accepted: Option<(Ballot, View)>,
    ) {
        let (majority, decided) = (self.view().map_or(usize::MAX, View::majority), self.decided());
        let Step::Preparing { ballot, view, promises } = &mut self.mending.step else { return };
        if *ballot != given || view.number != number || number != decided + 1 {
            return;
        }
        promises.insert(from, accepted);
        if promises.len() < majority {
            return;
        }
        // What may have been chosen already goes before what we wanted.
        let bound = promises.values().flatten().max_by_key(|(b, _)| *b).map(|(_, v)| v.clone());
        let (ballot, view) = (*ballot, bound.unwrap_or_else(|| view.clone()));
        let to: Vec<u64> = self.view().map_or(Vec::new(), |v| v.members.iter().map(|m| m.id).collect());
        self.mending.step = Step::Accepting { ballot, view: view.clone(), accepted: BTreeSet::new() };
        for id in to {
            self.send(now, id, Message::Accept { ballot, view: view.clone() });
        }
    }

    pub(crate) fn take_accepted(&mut self, now: u64, from: u64, number: u64, given: Ballot) {
        let (majority, decided) = (self.view().map_or(usize::MAX, View::majority), self.decided());
        let Step::Accepting { ballot, view, accepted } = &mut self.mending.step else { return };
        if *ballot != given || view.number != number || number != decided + 1 {
            return;
        }
        accepted.insert(from);
        if accepted.len() < majority {
            return;
        }
        let view = view.clone();
        let to: Vec<u64> = self.known.keys().copied().collect();
        for id in to {
            self.out.push(Effect::Send { to: id, message: Message::Learn { views: vec![view.clone()] } });
        }
        self.learn(now, view);
    }

    pub(crate) fn outbid(&mut self, now: u64, number: u64, ballot: Ballot) {
        if number == self.decided() + 1 {
            self.mending.round = self.mending.round.max(ballot.round);
            if matches!(self.mending.step, Step::Preparing { .. } | Step::Accepting { .. }) {
                self.rest(now, AGAIN_MS);
            }
        }
    }
}
