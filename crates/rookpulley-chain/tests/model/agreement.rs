//! The agreement on the next view: proposals, ballots and votes.

use crate::rules::{Fault, Model, Rule, Step, Violation, VoterChoice};
use crate::state::{Controller, IDS, MACHINES, Slot, State, Vote, bit, machine_of, member};
use rookpulley_chain::{Member, View};

impl Model {
    /// Begins a ballot with any view that the current statuses permit. The members are arbitrary, since any controller
    /// may be suspected, but the source must have installed the newest view that is not abandoned. The statuses may be
    /// outdated when the ballot is decided.
    pub(crate) fn propose(
        &self,
        state: &State,
        number: u8,
        ballot: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let slot = self.slot(number, ballot);
        let before = number - 1;
        let voters = self.voters_among(state, before, |_| true);
        let knows = self.voters_among(state, before, |p| {
            self.after_learning(state, p, before).is_some()
        });
        if state.slots[slot].proposed != 0
            || state.views[usize::from(before) - 1] == 0
            || knows == 0
        {
            return;
        }
        let decided = state.views[usize::from(number) - 1] != 0;
        if (decided && self.ballots(number) == 1) || !self.decides(state, before, voters) {
            return;
        }
        let mut views = Vec::new();
        for (source, controller) in state.controllers.iter().enumerate() {
            let is_abandoned = |n: u8| {
                state.is_abandoned(n)
                    || (self.has(Fault::AbandonedWithoutPromise) && n > state.active)
            };
            let may =
                controller.installed > 0 && (controller.installed + 1..number).all(is_abandoned);
            if !may && !self.has(Fault::SourceWithoutPreviousView) {
                continue;
            }
            for others in 0..1u8 << MACHINES {
                if others & bit(source as u8) == 0 {
                    self.views_with(state, number, source, others, &mut views);
                }
            }
        }
        if self.bounds.one_view_per_ballot {
            views = views
                .into_iter()
                .skip(usize::from(ballot) - 1)
                .take(1)
                .collect();
        }
        for view in views {
            let mut after = *state;
            let slot = &mut after.slots[slot];
            slot.proposed = view;
            if ballot == 1 {
                slot.sent = view;
            }
            push(
                Step::Propose {
                    number,
                    ballot,
                    view,
                },
                after,
                Ok(()),
            );
        }
    }

    /// Views with this source and these other members, for each permitted choice of voters.
    pub(crate) fn views_with(
        &self,
        state: &State,
        number: u8,
        source: usize,
        others: u8,
        all: &mut Vec<u16>,
    ) {
        let Some(base) = self.with_view(state, number - 1, |v| v.view.clone()) else {
            return;
        };
        let there: Vec<_> = state
            .controllers
            .iter()
            .enumerate()
            .map(|(place, o)| member(place, o))
            .collect();
        let mut members = vec![there[source]];
        // Members keep their order, and new ones come last.
        let mut rest: Vec<_> = there
            .iter()
            .filter(|m| others & bit(machine_of(m) as u8) != 0)
            .collect();
        rest.sort_by_key(|m| base.position(m.id).unwrap_or(MACHINES));
        members.extend(rest);
        let too_few = members.len() <= self.bounds.losses && members.len() < base.members.len();
        if too_few {
            return;
        }
        for voters in self.voter_choices(state, &base, &there, &members) {
            let view = View {
                number: number.into(),
                members: members.clone(),
                voters,
            };
            all.push(self.views.borrow_mut().intern(view));
        }
    }

    pub(crate) fn voter_choices(
        &self,
        state: &State,
        base: &View,
        there: &[Member],
        members: &[Member],
    ) -> Vec<Vec<Member>> {
        let vacancies = (2 * self.bounds.losses + 1).saturating_sub(members.len());
        let left_out = |m: &Member| !members.iter().any(|member| member.id == m.id);
        let fill = |candidates: &[Member]| -> Vec<Member> {
            let candidates = candidates.iter().filter(|m| left_out(m));
            candidates.take(vacancies).copied().collect()
        };
        let is_lost = |m: &Member| state.lost & bit(m.id as u8) != 0;
        let current = |m: &Member| there.iter().find(|o| o.id == m.id).copied().unwrap_or(*m);
        let acceptors: Vec<Member> = base.acceptors().map(current).collect();
        let (lost, kept): (Vec<Member>, Vec<Member>) = acceptors.iter().partition(|m| is_lost(m));
        let newcomers = there.iter().filter(|m| !base.is_acceptor(m.id)).copied();
        let mut choices = match self.bounds.voters {
            VoterChoice::None => vec![Vec::new()],
            VoterChoice::Any => vec![Vec::new(), fill(&kept), fill(&[lost, kept].concat())],
            VoterChoice::Filled => {
                let present: Vec<Member> = kept.iter().copied().chain(newcomers).collect();
                vec![fill(&kept), fill(&[lost, kept].concat()), fill(&present)]
            }
        };
        if self.has(Fault::SilentAcceptorsDropped) {
            choices.push(Vec::new());
        }
        choices.sort();
        choices.dedup();
        choices
    }

    /// The identities of the selected controllers that vote on the successor of this view, as a bit mask.
    pub(crate) fn voters_among(
        &self,
        state: &State,
        number: u8,
        which: impl Fn(usize) -> bool,
    ) -> u8 {
        let who = (0..MACHINES).filter(|p| self.votes(state, *p, number) && which(*p));
        who.map(|p| bit(state.controllers[p].id))
            .fold(0, |a, b| a | b)
    }

    /// The vote for this number, as in `Chain::acceptor_for`.
    pub(crate) fn vote_for(controller: &Controller, number: u8) -> Option<Vote> {
        let fresh = Vote {
            number,
            ..Vote::default()
        };
        match controller.vote.number.cmp(&number) {
            std::cmp::Ordering::Less => Some(fresh),
            std::cmp::Ordering::Equal => Some(controller.vote),
            std::cmp::Ordering::Greater => None,
        }
    }

    /// Promises and accepts, for numbers with several ballots.
    pub(crate) fn vote(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        if self.ballots(number) < 2 || !self.votes(state, place, number - 1) {
            return;
        }
        let Some(controller) = self.after_learning(state, place, number - 1) else {
            return;
        };
        let Some(vote) = Self::vote_for(&controller, number) else {
            return;
        };
        for ballot in vote.promised.max(1)..=self.ballots(number) {
            let at = self.slot(number, ballot);
            let slot = state.slots[at];
            if slot.proposed != 0 && ballot > 1 && promise(&slot, controller.id).is_none() {
                let mut after = *state;
                after.controllers[place] = Controller {
                    vote: Vote {
                        promised: ballot,
                        ..vote
                    },
                    ..controller
                };
                after.slots[at].promises |= u16::from(vote.accepted + 1) << (3 * controller.id);
                push(
                    Step::Promise {
                        place: place as u8,
                        number,
                        ballot,
                    },
                    after,
                    Ok(()),
                );
            }
            if slot.sent != 0 && slot.accepted & bit(controller.id) == 0 {
                let mut after = *state;
                let vote = Vote {
                    number,
                    promised: ballot,
                    accepted: ballot,
                };
                after.controllers[place] = Controller { vote, ..controller };
                after.slots[at].accepted |= bit(controller.id);
                let rule = self.count_votes(&mut after, number);
                push(
                    Step::Accept {
                        place: place as u8,
                        number,
                        ballot,
                    },
                    after,
                    rule,
                );
            }
        }
    }

    /// Sends the proposal for each quorum of promises, bound to the value of the highest ballot accepted among them.
    pub(crate) fn send(
        &self,
        state: &State,
        number: u8,
        ballot: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let slot = state.slots[self.slot(number, ballot)];
        if slot.proposed == 0 || slot.sent != 0 {
            return;
        }
        let promised = (0..IDS)
            .filter(|id| promise(&slot, *id).is_some())
            .fold(0, |all, id| all | bit(id));
        let mut values = Vec::new();
        for group in 1..=promised {
            if group & !promised != 0 || !self.decides(state, number - 1, group) {
                continue;
            }
            let said = (0..IDS)
                .filter(|id| group & bit(*id) != 0)
                .filter_map(|id| promise(&slot, id));
            let bound = said
                .max()
                .filter(|b| *b > 0)
                .map(|b| state.slots[self.slot(number, b)].sent);
            let value = bound.unwrap_or(slot.proposed);
            self.record_coverage(|coverage| {
                coverage.higher_ballot_bound_by_lower |= bound.is_some_and(|b| b != slot.proposed)
            });
            if values.contains(&value) {
                continue;
            }
            values.push(value);
            let mut after = *state;
            after.slots[self.slot(number, ballot)].sent = value;
            push(
                Step::Send {
                    number,
                    ballot,
                    view: value,
                },
                after,
                Ok(()),
            );
        }
    }

    /// For a number with one ballot, a minimal quorum votes in one step. Further votes have no effect.
    pub(crate) fn decide(
        &self,
        state: &State,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        if self.ballots(number) != 1 {
            return;
        }
        let at = self.slot(number, 1);
        if state.slots[at].sent == 0 || state.views[usize::from(number) - 1] != 0 {
            return;
        }
        let can = |p: &usize| {
            self.votes(state, *p, number - 1)
                && self.after_learning(state, *p, number - 1).is_some()
        };
        let can = (0..MACHINES).filter(can).map(|p| bit(p as u8)).sum::<u8>();
        let enough = |group: u8| {
            let voters = self.voters_among(state, number - 1, |p| group & bit(p as u8) != 0);
            self.decides(state, number - 1, voters | state.slots[at].accepted)
        };
        for group in (0..=can).filter(|group| group & !can == 0 && enough(*group)) {
            let within = (0..MACHINES).filter(|p| group & bit(*p as u8) != 0);
            if within.clone().any(|p| enough(group & !bit(p as u8))) {
                continue;
            }
            let mut after = *state;
            for place in within {
                after.slots[at].accepted |= bit(state.controllers[place].id);
                after.controllers[place] = self
                    .after_learning(state, place, number - 1)
                    .unwrap_or(state.controllers[place]);
            }
            let rule = self.count_votes(&mut after, number);
            push(
                Step::Decide {
                    number,
                    voters: group,
                },
                after,
                rule,
            );
        }
    }

    pub(crate) fn count_votes(&self, state: &mut State, number: u8) -> Rule {
        for ballot in 1..=self.ballots(number) {
            let slot = state.slots[self.slot(number, ballot)];
            if slot.sent == 0 || !self.decides(state, number - 1, slot.accepted) {
                continue;
            }
            let majority = self
                .with_view(state, number - 1, |v| v.majority)
                .unwrap_or(0);
            let too_few = slot.accepted.count_ones() < majority;
            self.record_coverage(|coverage| coverage.decided_by_all_remaining |= too_few);
            let decided = &mut state.views[usize::from(number) - 1];
            if *decided != 0 && *decided != slot.sent {
                return Err(Violation::ConflictingDecisions);
            }
            *decided = slot.sent;
        }
        Ok(())
    }
}

/// One more than the ballot that this identity had accepted when it promised. None: it has not promised.
fn promise(slot: &Slot, id: u8) -> Option<u8> {
    (((slot.promises >> (3 * id)) & 7) as u8).checked_sub(1)
}
