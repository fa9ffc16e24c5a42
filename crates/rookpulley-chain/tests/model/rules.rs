//! What may happen next in a state, by the rules that the code has, and what must hold.
//!
//! A network that loses, delays, doubles and reorders is one where all that was ever told may be heard at any time, or
//! never: what is told only grows, and nobody needs to hear it. So nothing here is sent; a member hears what stands in
//! `State::told`, `slots` and `views`, one piece at a time. Clocks and suspicion are gone the same way: whatever the
//! code does after a while may be done at once.
//!
//! Steps that nobody else can tell apart are one. That a smaller number of states still shows all that can go wrong:
//! - A vote or a promise `never` is one step with its sync: nothing is told before, and a crash in between leaves what
//!   a message that never came leaves.
//! - So is the install of a view with its sync: in between the controller takes no part in any view, as if it hadn't heard.
//! - An entry is synced, by all before and here, at the moment when that is told. Synced and not told is the same as
//!   a crash after which it happens to be there: a crash keeps any beginning of what isn't synced.
//! - A crash forgets all views above the one installed and the one voted after: they may be learned again at once, and
//!   a new incarnation is named in none of them.
//! - That a view is heard of by who isn't its source changes nothing but that the controller takes part in no earlier one,
//!   and who takes no part is one whose turn doesn't come. So it is one step with what needs it: an install, a promise,
//!   a vote.
//! - Of a number with one ballot only, the vote is cast when it is counted, or when its disk is about to go: nothing
//!   else depends on it. A first ballot needs no promises, since there is none below that they could tell of.
//! - Proposers are nobody: what a ballot needs is what it was begun with and what was answered. A proposer that dies is
//!   one that never goes on.
//! - What nobody can hear any more, or use, is put back to nothing (`tidy`).

use crate::state::{
    Controller, IDS, Known, NUMBERS, PLACES, Read, SLOTS, Slot, State, Told, Views, Vote, bit,
    member, place_of,
};
use rookpulley_chain::View;
use std::cell::{Cell, RefCell};

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// So many controllers are in the first view; the others are newcomers.
    pub first: usize,
    pub losses: usize,
    /// For each number from two on, none if there is no such view.
    pub ballots: [u8; NUMBERS - 1],
    pub updates: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub reads: bool,
    pub voters: bool,
    /// Each ballot has but one view, another than the rest: which ones they are is nothing to the agreement.
    pub one_each: bool,
}

/// What may be wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    VotesForgotten,
    WipedUnderItsOldIdentity,
    SourceWithoutTheViewBefore,
    DeadWithoutAPromise,
    AcknowledgedBeforeAllHaveSynced,
    LeftAndStillTaking,
    TailReadsAlone,
    SourceAppliesAtOnce,
    TooFewAcknowledge,
    AnyGroupDecides,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    TwoViewsOfANumber,
    ViewAtWorkWithoutWhatWasAcknowledged,
    AcknowledgedByAViewThatIsOver,
    AcknowledgedByTooFew,
    TwoOrders,
    AppliedAndNotAgreed,
    ReadWithoutWhatWasAcknowledged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Begin,
    Update { place: u8, view: u8 },
    Pass { place: u8, view: u8 },
    Sync { place: u8, view: u8 },
    Commit { place: u8, view: u8 },
    Read { place: u8, view: u8 },
    Propose { number: u8, ballot: u8, view: u16 },
    Promise { place: u8, number: u8, ballot: u8 },
    Send { number: u8, ballot: u8, view: u16 },
    Accept { place: u8, number: u8, ballot: u8 },
    Decide { number: u8, voices: u8 },
    Learn { place: u8, number: u8 },
    Install { place: u8, number: u8 },
    Never { place: u8, number: u8 },
    Crash { place: u8, keeps: u8 },
    Wipe { place: u8, voted: Option<u8> },
}

/// Turns that the search must have come by, or it has shown little.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub third_view_holds_what_the_first_acknowledged: bool,
    pub dead_view_passed_over: bool,
    pub unfinished_update_carried_on: bool,
    pub decided_by_all_that_are_left: bool,
    pub read_in_a_later_view: bool,
    pub newcomer_at_work: bool,
    pub at_work_after_a_second_loss: bool,
    pub view_at_work_after_a_later_one: bool,
    pub higher_ballot_bound_by_a_lower: bool,
}

pub struct Next {
    pub step: Step,
    pub state: State,
    pub rule: Result<(), Broken>,
}

pub struct Model {
    pub bounds: Bounds,
    pub fault: Option<Fault>,
    pub tidies: bool,
    pub views: RefCell<Views>,
    pub seen: Cell<Seen>,
}

type Rule = Result<(), Broken>;

impl Model {
    pub fn new(bounds: Bounds, fault: Option<Fault>, tidies: bool) -> Self {
        assert!(
            bounds
                .ballots
                .iter()
                .map(|n| usize::from(*n))
                .sum::<usize>()
                <= SLOTS
        );
        Self {
            bounds,
            fault,
            tidies,
            views: RefCell::default(),
            seen: Cell::default(),
        }
    }

    /// The first view at work, with nothing in it.
    pub fn begin(&self) -> State {
        let mut state = State::default();
        for (place, controller) in state.controllers.iter_mut().enumerate() {
            let within = u8::from(place < self.bounds.first);
            *controller = Controller {
                id: place as u8,
                incarnation: 1,
                known: within,
                installed: within,
                ..Controller::default()
            };
            state.told[0][place].installed = within > 0;
        }
        let first = state.controllers.iter().enumerate().take(self.bounds.first);
        let members = first
            .map(|(place, controller)| member(place, controller))
            .collect();
        state.views[0] = self.views.borrow_mut().keep(View {
            number: 1,
            members,
            voters: Vec::new(),
        });
        state.at_work = 1;
        state
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn note(&self, what: impl FnOnce(&mut Seen)) {
        let mut seen = self.seen.get();
        what(&mut seen);
        self.seen.set(seen);
    }

    fn ballots(&self, number: u8) -> u8 {
        if number < 2 {
            0
        } else {
            self.bounds
                .ballots
                .get(usize::from(number) - 2)
                .copied()
                .unwrap_or(0)
        }
    }

    /// Where a ballot of a number lies.
    fn slot(&self, number: u8, ballot: u8) -> usize {
        let before: u8 = (2..number).map(|n| self.ballots(n)).sum();
        usize::from(before + ballot - 1)
    }

    /// The decided view of a number.
    fn with_view<T>(&self, state: &State, number: u8, look: impl FnOnce(&Known) -> T) -> Option<T> {
        let at = *state.views.get(usize::from(number.checked_sub(1)?))?;
        self.views.borrow().get(at).map(look)
    }

    /// The place among the members of a view, where it names this incarnation.
    fn names(&self, state: &State, place: usize, number: u8) -> Option<usize> {
        self.with_view(state, number, |v| v.names(&state.controllers[place]))?
    }

    fn length(&self, state: &State, number: u8) -> usize {
        self.with_view(state, number, |v| v.length).unwrap_or(0)
    }

    /// The controller once it has heard of this view and of no later one. That its source hears of it is a step of its own.
    fn hears(&self, state: &State, place: usize, number: u8) -> Option<Controller> {
        let controller = state.controllers[place];
        let decided = number > 0 && state.views[usize::from(number) - 1] != 0;
        let may = controller.known == number
            || (controller.known < number
                && decided
                && self.names(state, place, number) != Some(0));
        may.then_some(Controller {
            known: number,
            ..controller
        })
    }

    /// The place among the members of a view in which this incarnation takes part.
    fn acting(&self, state: &State, place: usize, number: u8) -> Option<usize> {
        let controller = &state.controllers[place];
        let takes_part = if self.has(Fault::LeftAndStillTaking) {
            controller.installed >= number
        } else {
            controller.installed == number && controller.known == number
        };
        if takes_part {
            self.names(state, place, number)
        } else {
            None
        }
    }

    fn votes(&self, state: &State, place: usize, number: u8) -> bool {
        self.with_view(state, number, |v| {
            v.voters & bit(state.controllers[place].id) != 0
        })
        .unwrap_or(false)
    }

    fn decides(&self, state: &State, number: u8, voices: u8) -> bool {
        if self.has(Fault::AnyGroupDecides) {
            return voices != 0;
        }
        let Some(at) = state.views.get(usize::from(number) - 1) else {
            return false;
        };
        self.views.borrow_mut().decides(*at, voices, state.lost)
    }

    /// All that may happen next.
    pub fn steps(&self, state: &State, next: &mut Vec<Next>) {
        let mut push = |step: Step, mut state: State, rule: Rule| {
            let rule = rule.and_then(|()| self.all_applied_is_agreed(&state));
            if rule.is_ok() && self.tidies {
                self.tidy(&mut state);
            }
            next.push(Next { step, state, rule });
        };
        let newest = state.views.iter().filter(|v| **v != 0).count() as u8;
        for place in 0..PLACES {
            for view in 1..=newest {
                self.flow(state, place, view, &mut push);
            }
            for number in 2..=newest {
                self.learn(state, place, number, &mut push);
                self.install(state, place, number, &mut push);
                self.never(state, place, number, &mut push);
            }
            for number in 2..=newest + 1 {
                self.vote(state, place, number, &mut push);
            }
            self.trouble(state, place, &mut push);
        }
        for number in 2..=newest + 1 {
            for ballot in 1..=self.ballots(number) {
                self.propose(state, number, ballot, &mut push);
                self.send(state, number, ballot, &mut push);
            }
            self.decide(state, number, &mut push);
        }
    }

    // ---- updates and reads ------------------------------------------------------------------

    fn flow(
        &self,
        state: &State,
        place: usize,
        view: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let Some(at) = self.acting(state, place, view) else {
            return;
        };
        let (controller, told) = (state.controllers[place], state.told[usize::from(view) - 1]);
        let length = self.length(state, view);
        let enough = length > self.bounds.losses || self.has(Fault::TooFewAcknowledge);
        let is_tail = at + 1 == length;
        // Who hears that a later view is at work takes its own for one that was, as the code has it.
        let takes = at == 0 && view <= state.at_work && enough;

        if takes && state.updates < self.bounds.updates {
            let mut after = *state;
            after.updates += 1;
            after.controllers[place].log.add(after.updates);
            let rule = self.early(&mut after, place, view, is_tail);
            tell(&mut after, place, view, at);
            push(
                Step::Update {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        if at > 0 && told[at - 1].log.count() > controller.log.count() {
            let mut after = *state;
            after.controllers[place]
                .log
                .add(told[at - 1].log.at(controller.log.count()));
            let rule = self.early(&mut after, place, view, is_tail);
            tell(&mut after, place, view, at);
            push(
                Step::Pass {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        if controller.own < controller.log.count() && (at == 0 || told[at - 1].own > controller.own)
        {
            let mut after = *state;
            after.controllers[place].own += 1;
            let to = after.controllers[place].own;
            let rule = if is_tail {
                self.settle(&mut after, place, view, to)
            } else {
                Ok(())
            };
            tell(&mut after, place, view, at);
            push(
                Step::Sync {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        // An older commit is one that came earlier.
        let committed = told[length - 1].done.min(controller.log.count());
        if !is_tail && committed > controller.done {
            let mut after = *state;
            after.controllers[place].done = committed;
            tell(&mut after, place, view, at);
            push(
                Step::Commit {
                    place: place as u8,
                    view,
                },
                after,
                Ok(()),
            );
        }
        if self.bounds.reads {
            self.read(state, place, (view, at, is_tail, takes), push);
        }
    }

    fn early(&self, state: &mut State, place: usize, view: u8, is_tail: bool) -> Rule {
        if !is_tail || !self.has(Fault::AcknowledgedBeforeAllHaveSynced) {
            return Ok(());
        }
        let to = state.controllers[place].log.count();
        self.settle(state, place, view, to)
    }

    /// A read that is asked as the head takes it sees the most acknowledged. One at a time: they don't touch each other,
    /// and one that isn't answered is one that is never asked.
    fn read(
        &self,
        state: &State,
        place: usize,
        (view, at, is_tail, takes): (u8, usize, bool, bool),
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let alone = is_tail && self.has(Fault::TailReadsAlone);
        let asked_at = if (takes && state.read.view == 0) || alone {
            state.order.count()
        } else if at > 0 && state.read.view == view && usize::from(state.read.passed) + 1 == at {
            state.read.asked_at
        } else {
            return;
        };
        let mut after = *state;
        after.read = Read {
            view,
            asked_at,
            passed: at as u8,
        };
        let mut rule = Ok(());
        if is_tail {
            after.read = Read::default();
            if state.controllers[place].done < asked_at {
                rule = Err(Broken::ReadWithoutWhatWasAcknowledged);
            }
            self.note(|seen| seen.read_in_a_later_view |= view > 1 && asked_at > 0);
        }
        push(
            Step::Read {
                place: place as u8,
                view,
            },
            after,
            rule,
        );
    }

    /// The tail applies and acknowledges. What is new takes its place in the one order.
    fn settle(&self, state: &mut State, place: usize, view: u8, to: u8) -> Rule {
        let controller = state.controllers[place];
        for at in controller.done..to {
            let update = controller.log.at(at);
            if at < state.order.count() {
                if state.order.at(at) != update {
                    return Err(Broken::TwoOrders);
                }
                continue;
            }
            if state.at_work > view {
                return Err(Broken::AcknowledgedByAViewThatIsOver);
            }
            if self.length(state, view) <= self.bounds.losses {
                return Err(Broken::AcknowledgedByTooFew);
            }
            if state.order.count() == 0 {
                state.first_in = view;
            }
            state.order.add(update);
        }
        state.controllers[place].done = controller.done.max(to);
        Ok(())
    }

    fn all_applied_is_agreed(&self, state: &State) -> Rule {
        let agreed =
            |o: &Controller| o.done <= o.log.count() && o.log.first(o.done).begins(state.order);
        if state.controllers.iter().all(agreed) {
            Ok(())
        } else {
            Err(Broken::AppliedAndNotAgreed)
        }
    }

    // ---- a new view at work -----------------------------------------------------------------

    /// The source of a view hears of it, leaves the one before and takes stock. It may not have heard of views between.
    fn learn(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        if state.controllers[place].known >= number || self.names(state, place, number) != Some(0) {
            return;
        }
        let mut after = *state;
        let controller = &mut after.controllers[place];
        (controller.known, controller.installed, controller.own) =
            (number, number, controller.log.count());
        if self.has(Fault::SourceAppliesAtOnce) {
            controller.done = controller.log.count();
        }
        let rule = self.installed(&mut after, place, number, 0);
        push(
            Step::Learn {
                place: place as u8,
                number,
            },
            after,
            rule,
        );
    }

    /// The others install what the one before them passes, the whole of it at once. What is applied here stays.
    fn install(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let Some(controller) = self.hears(state, place, number) else {
            return;
        };
        if controller.installed >= number || controller.never >= number {
            return;
        }
        let Some(at) = self.names(state, place, number).filter(|at| *at > 0) else {
            return;
        };
        let from = state.told[usize::from(number) - 1][at - 1];
        if !from.installed {
            return;
        }
        let mut after = *state;
        let mut log = from.log;
        if controller.done > from.done {
            log = controller.log.first(controller.done);
            (controller.done..from.log.count()).for_each(|at| log.add(from.log.at(at)));
        }
        let (own, done) = (log.count(), controller.done.max(from.done));
        after.controllers[place] = Controller {
            installed: number,
            log,
            own,
            done,
            ..controller
        };
        let rule = self.installed(&mut after, place, number, at);
        push(
            Step::Install {
                place: place as u8,
                number,
            },
            after,
            rule,
        );
    }

    /// With the tail the view is at work, and all that came with it is committed.
    fn installed(&self, state: &mut State, place: usize, number: u8, at: usize) -> Rule {
        let mut rule = Ok(());
        if at + 1 == self.length(state, number) {
            let log = state.controllers[place].log;
            let newest = state.at_work;
            state.at_work = newest.max(number);
            if newest < number && !state.order.begins(log) {
                return Err(Broken::ViewAtWorkWithoutWhatWasAcknowledged);
            }
            let before = state.order.count();
            rule = self.settle(state, place, number, log.count());
            let newcomer = self.with_view(state, number, |v| {
                v.view.members.iter().any(|m| m.id >= PLACES as u64)
            });
            self.note(|seen| {
                seen.third_view_holds_what_the_first_acknowledged |=
                    number == 3 && state.first_in == 1;
                seen.dead_view_passed_over |= number == 3 && state.is_dead(2) && before > 0;
                seen.unfinished_update_carried_on |= state.order.count() > before;
                seen.newcomer_at_work |= newcomer == Some(true);
                seen.at_work_after_a_second_loss |= state.wipes > 1 && before > 0;
                seen.view_at_work_after_a_later_one |= newest > number;
            });
        }
        tell(state, place, number, at);
        rule
    }

    /// A member that hasn't installed a view promises never to. It matters to itself only where it still could.
    fn never(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let mut knows = number.max(state.controllers[place].known)..=NUMBERS as u8;
        let Some(controller) = knows.find_map(|n| self.hears(state, place, n)) else {
            return;
        };
        let is_member = self.with_view(state, number, |v| v.holds(&controller)) == Some(true);
        if !is_member || controller.installed >= number || state.is_dead(number) {
            return;
        }
        let mut after = *state;
        after.dead |= bit(number - 1);
        after.controllers[place] = Controller {
            never: controller.never.max(number),
            ..controller
        };
        push(
            Step::Never {
                place: place as u8,
                number,
            },
            after,
            Ok(()),
        );
    }

    // ---- the agreement on the next view -----------------------------------------------------

    /// Any view that could be proposed by who asks around now. Who is in it is anybody's choice, for anybody may be
    /// taken for lost; its source must have installed the newest view that isn't dead. What was answered holds as the
    /// ballot begins, and may be old when it is decided.
    fn propose(
        &self,
        state: &State,
        number: u8,
        ballot: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let slot = self.slot(number, ballot);
        let before = number - 1;
        let voices = self.voices(state, before, |_| true);
        let knows = self.voices(state, before, |p| self.hears(state, p, before).is_some());
        if state.slots[slot].wanted != 0 || state.views[usize::from(before) - 1] == 0 || knows == 0
        {
            return;
        }
        let decided = state.views[usize::from(number) - 1] != 0;
        if (decided && self.ballots(number) == 1) || !self.decides(state, before, voices) {
            return;
        }
        let mut views = Vec::new();
        for (source, controller) in state.controllers.iter().enumerate() {
            let dead = |n: u8| {
                state.is_dead(n) || (self.has(Fault::DeadWithoutAPromise) && n > state.at_work)
            };
            let may = controller.installed > 0 && (controller.installed + 1..number).all(dead);
            if !may && !self.has(Fault::SourceWithoutTheViewBefore) {
                continue;
            }
            for others in 0..1u8 << PLACES {
                if others & bit(source as u8) == 0 {
                    self.views_with(state, number, source, others, &mut views);
                }
            }
        }
        if self.bounds.one_each {
            views = views
                .into_iter()
                .skip(usize::from(ballot) - 1)
                .take(1)
                .collect();
        }
        for view in views {
            let mut after = *state;
            let slot = &mut after.slots[slot];
            slot.wanted = view;
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

    /// A source with these beside it, and without or with those as voters that are left out of it.
    fn views_with(&self, state: &State, number: u8, source: usize, others: u8, all: &mut Vec<u16>) {
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
        // The order stays, newcomers come last.
        let mut rest: Vec<_> = there
            .iter()
            .filter(|m| others & bit(place_of(m) as u8) != 0)
            .collect();
        rest.sort_by_key(|m| base.position(m.id).unwrap_or(PLACES));
        members.extend(rest);
        let few = members.len() <= self.bounds.losses && members.len() < base.members.len();
        if few {
            return;
        }
        let room = (2 * self.bounds.losses + 1).saturating_sub(members.len());
        let out = there
            .iter()
            .filter(|m| base.is_acceptor(m.id) && !members.contains(m));
        let voters: Vec<_> = out.take(room).copied().collect();
        for voters in [
            Some(Vec::new()),
            Some(voters).filter(|v| self.bounds.voters && !v.is_empty()),
        ] {
            let Some(voters) = voters else { continue };
            let view = View {
                number: number.into(),
                members: members.clone(),
                voters,
            };
            all.push(self.views.borrow_mut().keep(view));
        }
    }

    /// The identities of those in place that have a say after this view, as bits.
    fn voices(&self, state: &State, number: u8, which: impl Fn(usize) -> bool) -> u8 {
        let who = (0..PLACES).filter(|p| self.votes(state, *p, number) && which(*p));
        who.map(|p| bit(state.controllers[p].id))
            .fold(0, |a, b| a | b)
    }

    /// What is known of this number's votes, as `Chain::vote_for` has it.
    fn vote_for(controller: &Controller, number: u8) -> Option<Vote> {
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

    /// Promises and accepts, of numbers with several ballots.
    fn vote(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        if self.ballots(number) < 2 || !self.votes(state, place, number - 1) {
            return;
        }
        let Some(controller) = self.hears(state, place, number - 1) else {
            return;
        };
        let Some(vote) = Self::vote_for(&controller, number) else {
            return;
        };
        for ballot in vote.promised.max(1)..=self.ballots(number) {
            let at = self.slot(number, ballot);
            let slot = state.slots[at];
            if slot.wanted != 0 && ballot > 1 && promise(&slot, controller.id).is_none() {
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

    /// Some of those that promised, enough to decide, bind the proposal to what the highest ballot among them was for.
    fn send(
        &self,
        state: &State,
        number: u8,
        ballot: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let slot = state.slots[self.slot(number, ballot)];
        if slot.wanted == 0 || slot.sent != 0 {
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
            let value = bound.unwrap_or(slot.wanted);
            self.note(|seen| {
                seen.higher_ballot_bound_by_a_lower |= bound.is_some_and(|b| b != slot.wanted)
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

    /// Of a number with one ballot: as many as are needed have voted by now. Who needn't have, may do so unseen.
    fn decide(&self, state: &State, number: u8, push: &mut impl FnMut(Step, State, Rule)) {
        if self.ballots(number) != 1 {
            return;
        }
        let at = self.slot(number, 1);
        if state.slots[at].sent == 0 || state.views[usize::from(number) - 1] != 0 {
            return;
        }
        let can = |p: &usize| {
            self.votes(state, *p, number - 1) && self.hears(state, *p, number - 1).is_some()
        };
        let can = (0..PLACES).filter(can).map(|p| bit(p as u8)).sum::<u8>();
        let enough = |group: u8| {
            let voices = self.voices(state, number - 1, |p| group & bit(p as u8) != 0);
            self.decides(state, number - 1, voices | state.slots[at].accepted)
        };
        for group in (0..=can).filter(|group| group & !can == 0 && enough(*group)) {
            let within = (0..PLACES).filter(|p| group & bit(*p as u8) != 0);
            if within.clone().any(|p| enough(group & !bit(p as u8))) {
                continue;
            }
            let mut after = *state;
            for place in within {
                after.slots[at].accepted |= bit(state.controllers[place].id);
                after.controllers[place] = self
                    .hears(state, place, number - 1)
                    .unwrap_or(state.controllers[place]);
            }
            let rule = self.count_votes(&mut after, number);
            push(
                Step::Decide {
                    number,
                    voices: group,
                },
                after,
                rule,
            );
        }
    }

    fn count_votes(&self, state: &mut State, number: u8) -> Rule {
        for ballot in 1..=self.ballots(number) {
            let slot = state.slots[self.slot(number, ballot)];
            if slot.sent == 0 || !self.decides(state, number - 1, slot.accepted) {
                continue;
            }
            let majority = self
                .with_view(state, number - 1, |v| v.majority)
                .unwrap_or(0);
            let few = slot.accepted.count_ones() < majority;
            self.note(|seen| seen.decided_by_all_that_are_left |= few);
            let decided = &mut state.views[usize::from(number) - 1];
            if *decided != 0 && *decided != slot.sent {
                return Err(Broken::TwoViewsOfANumber);
            }
            *decided = slot.sent;
        }
        Ok(())
    }

    // ---- what goes wrong --------------------------------------------------------------------

    fn trouble(&self, state: &State, place: usize, push: &mut impl FnMut(Step, State, Rule)) {
        let controller = state.controllers[place];
        if state.crashes < self.bounds.crashes {
            for keeps in controller.own..=controller.log.count() {
                let mut after = *state;
                after.crashes += 1;
                let mut vote = controller.vote;
                if self.has(Fault::VotesForgotten) {
                    vote = Vote::default();
                }
                after.controllers[place] = Controller {
                    incarnation: controller.incarnation + 1,
                    known: controller.installed.max(vote.number.saturating_sub(1)),
                    never: 0,
                    log: controller.log.first(keeps),
                    own: keeps,
                    done: controller.done.min(keeps),
                    vote,
                    ..controller
                };
                push(
                    Step::Crash {
                        place: place as u8,
                        keeps,
                    },
                    after,
                    Ok(()),
                );
            }
        }
        if state.wipes < self.bounds.wipes && (state.wipes == 0 || self.is_mended(state)) {
            // With it goes what it may have said: nothing, or the one vote that was not yet counted.
            let begun = |n: &u8| {
                self.ballots(*n) == 1
                    && state.slots[self.slot(*n, 1)].sent != 0
                    && state.views[usize::from(*n) - 1] == 0
                    && self.votes(state, place, n - 1)
                    && self.hears(state, place, n - 1).is_some()
            };
            for voted in std::iter::once(None).chain((2..=NUMBERS as u8).filter(begun).map(Some)) {
                let mut after = *state;
                after.wipes += 1;
                if let Some(number) = voted {
                    after.slots[self.slot(number, 1)].accepted |= bit(controller.id);
                }
                let new = Controller {
                    id: PLACES as u8 + state.wipes,
                    incarnation: 1,
                    ..Controller::default()
                };
                after.controllers[place] = if self.has(Fault::WipedUnderItsOldIdentity) {
                    Controller {
                        id: controller.id,
                        incarnation: controller.incarnation + 1,
                        ..new
                    }
                } else {
                    after.lost |= bit(controller.id);
                    new
                };
                // One disk less may make the votes enough.
                let mut several = (2..=NUMBERS as u8).filter(|n| self.ballots(*n) > 1);
                let rule = several.try_for_each(|n| self.count_votes(&mut after, n));
                push(
                    Step::Wipe {
                        place: place as u8,
                        voted,
                    },
                    after,
                    rule,
                );
            }
        }
    }

    /// After a loss the chain is as long as it must be again, of disks that are there: another one may be lost.
    fn is_mended(&self, state: &State) -> bool {
        self.with_view(state, state.at_work, |v| {
            let kept = v
                .view
                .members
                .iter()
                .all(|m| state.lost & bit(m.id as u8) == 0);
            kept && v.length > self.bounds.losses
        })
        .unwrap_or(false)
    }

    // ---- what is over -----------------------------------------------------------------------

    /// Whether this place among a view's members may yet take part in it.
    fn may_act(&self, state: &State, number: u8, at: usize) -> bool {
        self.with_view(state, number, |v| {
            let controller = &state.controllers[v.places[at]];
            controller.known <= number && v.names(controller) == Some(at)
        })
        .unwrap_or(false)
    }

    /// Two states that differ only in what nobody can hear or use any more are one.
    fn tidy(&self, state: &mut State) {
        let newest = state.at_work;
        for number in 1..=NUMBERS as u8 {
            let at = usize::from(number) - 1;
            if state.views[at] == 0 {
                continue;
            }
            let length = self.length(state, number);
            let able: [bool; PLACES] =
                std::array::from_fn(|m| m < length && self.may_act(state, number, m));
            for m in 0..length {
                // The tail tells all of them what is committed, the others only the next one.
                let heard = if m + 1 < length {
                    able[m + 1]
                } else {
                    able[..m].contains(&true)
                };
                if !heard {
                    state.told[at][m] = Told::default();
                }
            }
            let settled = (number + 1..=newest).all(|n| self.ballots(n) == 1);
            if number < newest && settled {
                // Nobody goes on from a view before the newest at work.
                state.dead &= !bit(number - 1);
            }
            if state.read.view == number
                && able[usize::from(state.read.passed) + 1..length].contains(&false)
            {
                state.read = Read::default();
            }
            if self.ballots(number) == 1 {
                state.slots[self.slot(number, 1)] = Slot::default();
            }
        }
        for place in 0..PLACES {
            let controller = state.controllers[place];
            let named = self.names(state, place, controller.known).is_some();
            if controller.never != controller.known
                || controller.installed >= controller.never
                || !named
            {
                state.controllers[place].never = 0;
            }
            let acts = controller.known == controller.installed
                && self.names(state, place, controller.installed).is_some();
            if controller.installed < newest && !acts {
                let controller = &mut state.controllers[place];
                (controller.log, controller.own) =
                    (controller.log.first(controller.done), controller.done);
            }
        }
    }
}

fn tell(state: &mut State, place: usize, view: u8, at: usize) {
    let Controller { log, own, done, .. } = state.controllers[place];
    state.told[usize::from(view) - 1][at] = Told {
        installed: true,
        log,
        own,
        done,
    };
}

fn promise(slot: &Slot, id: u8) -> Option<u8> {
    (((slot.promises >> (3 * id)) & 7) as u8).checked_sub(1)
}
