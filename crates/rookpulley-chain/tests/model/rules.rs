//! Transitions of the model and the rules that must hold.
//!
//! A network that loses, delays, duplicates and reorders messages is modelled without sending any: announcements only
//! accumulate in `State::announced`, `slots` and `views`, and a member may read any of them at any time, or never.
//! Clocks and failure suspicion are left out in the same way: a step that the code takes after a timeout may be taken
//! at once.
//!
//! Steps that no other controller can tell apart are merged. Why the smaller number of states still shows every
//! violation:
//! - A vote, or a promise not to install a view, is one step with its sync. Nothing is announced before, and a crash in
//!   between is equivalent to a lost message.
//! - So is the install of a view: in between, the controller takes part in no view, as if it had not received it.
//! - An entry is synced, by all members up to this one, at the moment when that is announced. Synced but not announced
//!   is equivalent to a crash that happens to keep it, as a crash may keep any prefix of the unsynced entries.
//! - A crash forgets all views above the installed one and above the predecessor of the vote. They may be learned again
//!   at once, and they do not include the new incarnation.
//! - A controller other than the source that learns a view only stops taking part in earlier ones, which is equivalent
//!   to not being scheduled. Learning is therefore merged with the install, promise or vote that requires it.
//! - With a single ballot for a number, a vote is cast when it is counted or when its disk is lost; nothing else
//!   depends on it. A first ballot needs no promises, since no lower ballot exists.
//! - Proposers have no state: a ballot depends only on its proposal and the answers. A crashed proposer is one that
//!   never continues.
//! - State that no controller can observe or use any more is reset (`canonicalize`).

use crate::state::{
    Announced, Controller, IDS, MACHINES, MAX_VIEWS, Read, SLOTS, Slot, State, ViewInfo, Views,
    Vote, bit, machine_of, member,
};
use rookpulley_chain::{Member, View};
use std::cell::{Cell, RefCell};

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The number of controllers in the first view; the others may join later.
    pub first: usize,
    pub losses: usize,
    /// The number of ballots for each view number from two on; zero excludes the view.
    pub ballots: [u8; MAX_VIEWS - 1],
    pub updates: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub reads: bool,
    pub voters: VoterChoice,
    /// Each ballot proposes a single view that differs from the others, since agreement does not depend on their
    /// contents.
    pub one_view_per_ballot: bool,
}

/// Which controllers outside a new chain may become its voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChoice {
    None,
    /// Any choice: none, or the acceptors left out, with or without those whose disks are lost.
    Any,
    /// As the code fills the vacancies up to twice the tolerated losses plus one: with the acceptors left out, whether
    /// they are silent or not, except those whose disks are known to be lost, or with other controllers.
    Filled,
}

/// A deliberate protocol violation that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    VotesNotPersisted,
    IdentityKeptAfterWipe,
    SourceWithoutPreviousView,
    AbandonedWithoutPromise,
    AcknowledgedBeforeSync,
    AppendsAcceptedFromLeftView,
    LocalTailReads,
    SourceAppliesUncommitted,
    TooFewMembersAcknowledge,
    AnyGroupDecides,
    SilentAcceptorsDropped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    ConflictingDecisions,
    ActiveViewMissesAcknowledged,
    AcknowledgedByObsoleteView,
    AcknowledgedByTooFewMembers,
    ConflictingOrders,
    AppliedUncommitted,
    StaleRead,
    QuorumLostForGood,
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
    Decide { number: u8, voters: u8 },
    Learn { place: u8, number: u8 },
    Install { place: u8, number: u8 },
    Abandon { place: u8, number: u8 },
    Crash { place: u8, keeps: u8 },
    Wipe { place: u8, voted: Option<u8> },
}

/// Situations that the search must reach to be meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    pub third_view_holds_updates_of_first: bool,
    pub abandoned_view_skipped: bool,
    pub unacknowledged_update_carried_over: bool,
    pub decided_by_all_remaining: bool,
    pub read_in_a_later_view: bool,
    pub new_member_active: bool,
    pub active_after_second_loss: bool,
    pub view_active_after_later_one: bool,
    pub higher_ballot_bound_by_lower: bool,
    pub lost_disk_in_a_view_with_voters: bool,
}

pub struct Next {
    pub step: Step,
    pub state: State,
    pub rule: Result<(), Violation>,
}

pub struct Model {
    pub bounds: Bounds,
    pub fault: Option<Fault>,
    pub canonicalizes: bool,
    pub views: RefCell<Views>,
    pub coverage: Cell<Coverage>,
}

type Rule = Result<(), Violation>;

impl Model {
    pub fn new(bounds: Bounds, fault: Option<Fault>, canonicalizes: bool) -> Self {
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
            canonicalizes,
            views: RefCell::default(),
            coverage: Cell::default(),
        }
    }

    /// The first view is active and has no updates.
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
            state.announced[0][place].installed = within > 0;
        }
        let first = state.controllers.iter().enumerate().take(self.bounds.first);
        let members = first
            .map(|(place, controller)| member(place, controller))
            .collect();
        state.views[0] = self.views.borrow_mut().intern(View {
            number: 1,
            members,
            voters: Vec::new(),
        });
        state.active = 1;
        state
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn record_coverage(&self, what: impl FnOnce(&mut Coverage)) {
        let mut coverage = self.coverage.get();
        what(&mut coverage);
        self.coverage.set(coverage);
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

    /// The slot of a ballot for a view number.
    fn slot(&self, number: u8, ballot: u8) -> usize {
        let before: u8 = (2..number).map(|n| self.ballots(n)).sum();
        usize::from(before + ballot - 1)
    }

    /// The decided view of a number.
    fn with_view<T>(
        &self,
        state: &State,
        number: u8,
        look: impl FnOnce(&ViewInfo) -> T,
    ) -> Option<T> {
        let at = *state.views.get(usize::from(number.checked_sub(1)?))?;
        self.views.borrow().get(at).map(look)
    }

    /// The position of this incarnation among the members of a view.
    fn position_of(&self, state: &State, place: usize, number: u8) -> Option<usize> {
        self.with_view(state, number, |v| v.position_of(&state.controllers[place]))?
    }

    fn length(&self, state: &State, number: u8) -> usize {
        self.with_view(state, number, |v| v.length).unwrap_or(0)
    }

    /// The controller after it learned this view and no later one, if it may. The source learns it in a separate step.
    fn after_learning(&self, state: &State, place: usize, number: u8) -> Option<Controller> {
        let controller = state.controllers[place];
        let decided = number > 0 && state.views[usize::from(number) - 1] != 0;
        let may = controller.known == number
            || (controller.known < number
                && decided
                && self.position_of(state, place, number) != Some(0));
        may.then_some(Controller {
            known: number,
            ..controller
        })
    }

    /// The position in a view in which this incarnation takes part.
    fn acting(&self, state: &State, place: usize, number: u8) -> Option<usize> {
        let controller = &state.controllers[place];
        let takes_part = if self.has(Fault::AppendsAcceptedFromLeftView) {
            controller.installed >= number
        } else {
            controller.installed == number && controller.known == number
        };
        if takes_part {
            self.position_of(state, place, number)
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

    fn decides(&self, state: &State, number: u8, voters: u8) -> bool {
        if self.has(Fault::AnyGroupDecides) {
            return voters != 0;
        }
        let Some(at) = state.views.get(usize::from(number) - 1) else {
            return false;
        };
        self.views.borrow_mut().decides(*at, voters, state.lost)
    }

    /// Adds all possible transitions to `next`.
    pub fn steps(&self, state: &State, next: &mut Vec<Next>) {
        let mut push = |step: Step, mut state: State, rule: Rule| {
            let rule = rule
                .and_then(|()| self.applied_prefix_is_acknowledged(&state))
                .and_then(|()| self.quorum_is_left(&state));
            if rule.is_ok() && self.canonicalizes {
                self.canonicalize(&mut state);
            }
            next.push(Next { step, state, rule });
        };
        let newest = state.views.iter().filter(|v| **v != 0).count() as u8;
        for place in 0..MACHINES {
            for view in 1..=newest {
                self.replicate(state, place, view, &mut push);
            }
            for number in 2..=newest {
                self.learn(state, place, number, &mut push);
                self.install(state, place, number, &mut push);
                self.abandon(state, place, number, &mut push);
            }
            for number in 2..=newest + 1 {
                self.vote(state, place, number, &mut push);
            }
            self.crash_or_wipe(state, place, &mut push);
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

    fn replicate(
        &self,
        state: &State,
        place: usize,
        view: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let Some(at) = self.acting(state, place, view) else {
            return;
        };
        let (controller, announced) = (
            state.controllers[place],
            state.announced[usize::from(view) - 1],
        );
        let length = self.length(state, view);
        let enough = length > self.bounds.losses || self.has(Fault::TooFewMembersAcknowledge);
        let is_tail = at + 1 == length;
        // As in the code, a head that knows of a later active view assumes that its own was active.
        let accepts_requests = at == 0 && view <= state.active && enough;

        if accepts_requests && state.updates < self.bounds.updates {
            let mut after = *state;
            after.updates += 1;
            after.controllers[place].log.push(after.updates);
            let rule = self.acknowledge_early(&mut after, place, view, is_tail);
            announce(&mut after, place, view, at);
            push(
                Step::Update {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        if at > 0 && announced[at - 1].log.count() > controller.log.count() {
            let mut after = *state;
            after.controllers[place]
                .log
                .push(announced[at - 1].log.at(controller.log.count()));
            let rule = self.acknowledge_early(&mut after, place, view, is_tail);
            announce(&mut after, place, view, at);
            push(
                Step::Pass {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        if controller.synced < controller.log.count()
            && (at == 0 || announced[at - 1].synced > controller.synced)
        {
            let mut after = *state;
            after.controllers[place].synced += 1;
            let to = after.controllers[place].synced;
            let rule = if is_tail {
                self.acknowledge(&mut after, place, view, to)
            } else {
                Ok(())
            };
            announce(&mut after, place, view, at);
            push(
                Step::Sync {
                    place: place as u8,
                    view,
                },
                after,
                rule,
            );
        }
        // Delayed commits are covered by earlier steps.
        let committed = announced[length - 1].applied.min(controller.log.count());
        if !is_tail && committed > controller.applied {
            let mut after = *state;
            after.controllers[place].applied = committed;
            announce(&mut after, place, view, at);
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
            self.read(state, place, (view, at, is_tail, accepts_requests), push);
        }
    }

    fn acknowledge_early(&self, state: &mut State, place: usize, view: u8, is_tail: bool) -> Rule {
        if !is_tail || !self.has(Fault::AcknowledgedBeforeSync) {
            return Ok(());
        }
        let to = state.controllers[place].log.count();
        self.acknowledge(state, place, view, to)
    }

    /// A read begins when the head accepts it, the strictest point. One read at a time suffices, since reads do not
    /// interact and an unanswered read is equivalent to none.
    fn read(
        &self,
        state: &State,
        place: usize,
        (view, at, is_tail, accepts_requests): (u8, usize, bool, bool),
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let alone = is_tail && self.has(Fault::LocalTailReads);
        let asked_at = if (accepts_requests && state.read.view == 0) || alone {
            state.acknowledged.count()
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
            if state.controllers[place].applied < asked_at {
                rule = Err(Violation::StaleRead);
            }
            self.record_coverage(|coverage| {
                coverage.read_in_a_later_view |= view > 1 && asked_at > 0
            });
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

    /// The tail applies and acknowledges updates. New ones are appended to the global order.
    fn acknowledge(&self, state: &mut State, place: usize, view: u8, to: u8) -> Rule {
        let controller = state.controllers[place];
        for at in controller.applied..to {
            let update = controller.log.at(at);
            if at < state.acknowledged.count() {
                if state.acknowledged.at(at) != update {
                    return Err(Violation::ConflictingOrders);
                }
                continue;
            }
            if state.active > view {
                return Err(Violation::AcknowledgedByObsoleteView);
            }
            if self.length(state, view) <= self.bounds.losses {
                return Err(Violation::AcknowledgedByTooFewMembers);
            }
            if state.acknowledged.count() == 0 {
                state.first_acknowledged_in = view;
            }
            state.acknowledged.push(update);
        }
        state.controllers[place].applied = controller.applied.max(to);
        Ok(())
    }

    fn applied_prefix_is_acknowledged(&self, state: &State) -> Rule {
        let agreed = |o: &Controller| {
            o.applied <= o.log.count() && o.log.first(o.applied).is_prefix_of(state.acknowledged)
        };
        if state.controllers.iter().all(agreed) {
            Ok(())
        } else {
            Err(Violation::AppliedUncommitted)
        }
    }

    /// Once all controllers are back but those with lost disks, a majority of the newest view must be left, even if
    /// nobody knows which disks are lost. Holds from a first view with enough acceptors, within the tolerated losses.
    fn quorum_is_left(&self, state: &State) -> Rule {
        let is_promised = self.bounds.voters == VoterChoice::Filled
            && self.bounds.first > 2 * self.bounds.losses
            && usize::from(state.wipes) <= self.bounds.losses;
        let newest = state.views.iter().filter(|view| **view != 0).count() as u8;
        let is_left = self.with_view(state, newest, |v| {
            let gone = (v.voters & state.lost).count_ones();
            self.record_coverage(|coverage| {
                coverage.lost_disk_in_a_view_with_voters |= gone > 0 && !v.view.voters.is_empty();
            });
            v.voters.count_ones() - gone >= v.majority
        });
        if !is_promised || is_left != Some(false) {
            Ok(())
        } else {
            Err(Violation::QuorumLostForGood)
        }
    }

    // ---- activation of a new view -----------------------------------------------------------------

    /// The source learns a view, leaves its previous one and installs the new one with its own log. It may have missed
    /// views in between.
    fn learn(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        if state.controllers[place].known >= number
            || self.position_of(state, place, number) != Some(0)
        {
            return;
        }
        let mut after = *state;
        let controller = &mut after.controllers[place];
        (controller.known, controller.installed, controller.synced) =
            (number, number, controller.log.count());
        if self.has(Fault::SourceAppliesUncommitted) {
            controller.applied = controller.log.count();
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

    /// The other members install the complete log of their predecessor at once, keeping the updates they have applied.
    fn install(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let Some(controller) = self.after_learning(state, place, number) else {
            return;
        };
        if controller.installed >= number || controller.abandoned >= number {
            return;
        }
        let Some(at) = self.position_of(state, place, number).filter(|at| *at > 0) else {
            return;
        };
        let from = state.announced[usize::from(number) - 1][at - 1];
        if !from.installed {
            return;
        }
        let mut after = *state;
        let mut log = from.log;
        if controller.applied > from.applied {
            log = controller.log.first(controller.applied);
            (controller.applied..from.log.count()).for_each(|at| log.push(from.log.at(at)));
        }
        let (synced, applied) = (log.count(), controller.applied.max(from.applied));
        after.controllers[place] = Controller {
            installed: number,
            log,
            synced,
            applied,
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

    /// Once the tail installs a view, the view is active and the log that came with it is committed.
    fn installed(&self, state: &mut State, place: usize, number: u8, at: usize) -> Rule {
        let mut rule = Ok(());
        if at + 1 == self.length(state, number) {
            let log = state.controllers[place].log;
            let newest = state.active;
            state.active = newest.max(number);
            if newest < number && !state.acknowledged.is_prefix_of(log) {
                return Err(Violation::ActiveViewMissesAcknowledged);
            }
            let before = state.acknowledged.count();
            rule = self.acknowledge(state, place, number, log.count());
            let newcomer = self.with_view(state, number, |v| {
                v.view.members.iter().any(|m| m.id >= MACHINES as u64)
            });
            self.record_coverage(|coverage| {
                coverage.third_view_holds_updates_of_first |=
                    number == 3 && state.first_acknowledged_in == 1;
                coverage.abandoned_view_skipped |=
                    number == 3 && state.is_abandoned(2) && before > 0;
                coverage.unacknowledged_update_carried_over |= state.acknowledged.count() > before;
                coverage.new_member_active |= newcomer == Some(true);
                coverage.active_after_second_loss |= state.wipes > 1 && before > 0;
                coverage.view_active_after_later_one |= newest > number;
            });
        }
        announce(state, place, number, at);
        rule
    }

    /// A member promises not to install a view that it has not installed.
    fn abandon(
        &self,
        state: &State,
        place: usize,
        number: u8,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
        let mut knows = number.max(state.controllers[place].known)..=MAX_VIEWS as u8;
        let Some(controller) = knows.find_map(|n| self.after_learning(state, place, n)) else {
            return;
        };
        let is_member =
            self.with_view(state, number, |v| v.has_identity(&controller)) == Some(true);
        if !is_member || controller.installed >= number || state.is_abandoned(number) {
            return;
        }
        let mut after = *state;
        after.abandoned_views |= bit(number - 1);
        after.controllers[place] = Controller {
            abandoned: controller.abandoned.max(number),
            ..controller
        };
        push(
            Step::Abandon {
                place: place as u8,
                number,
            },
            after,
            Ok(()),
        );
    }

    // ---- the agreement on the next view -----------------------------------------------------

    /// Begins a ballot with any view that the current statuses permit. The members are arbitrary, since any controller
    /// may be suspected, but the source must have installed the newest view that is not abandoned. The statuses may be
    /// outdated when the ballot is decided.
    fn propose(
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

    fn voter_choices(
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
    fn voters_among(&self, state: &State, number: u8, which: impl Fn(usize) -> bool) -> u8 {
        let who = (0..MACHINES).filter(|p| self.votes(state, *p, number) && which(*p));
        who.map(|p| bit(state.controllers[p].id))
            .fold(0, |a, b| a | b)
    }

    /// The vote for this number, as in `Chain::acceptor_for`.
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

    /// Promises and accepts, for numbers with several ballots.
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
    fn send(
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
    fn decide(&self, state: &State, number: u8, push: &mut impl FnMut(Step, State, Rule)) {
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

    fn count_votes(&self, state: &mut State, number: u8) -> Rule {
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

    // ---- crashes and lost disks --------------------------------------------------------------------

    fn crash_or_wipe(&self, state: &State, place: usize, push: &mut impl FnMut(Step, State, Rule)) {
        let controller = state.controllers[place];
        if state.crashes < self.bounds.crashes {
            for keeps in controller.synced..=controller.log.count() {
                let mut after = *state;
                after.crashes += 1;
                let mut vote = controller.vote;
                if self.has(Fault::VotesNotPersisted) {
                    vote = Vote::default();
                }
                after.controllers[place] = Controller {
                    incarnation: controller.incarnation + 1,
                    known: controller.installed.max(vote.number.saturating_sub(1)),
                    abandoned: 0,
                    log: controller.log.first(keeps),
                    synced: keeps,
                    applied: controller.applied.min(keeps),
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
        if state.wipes < self.bounds.wipes && (state.wipes == 0 || self.is_recovered(state)) {
            // Before the loss it may have cast the one vote that was not yet counted.
            let begun = |n: &u8| {
                self.ballots(*n) == 1
                    && state.slots[self.slot(*n, 1)].sent != 0
                    && state.views[usize::from(*n) - 1] == 0
                    && self.votes(state, place, n - 1)
                    && self.after_learning(state, place, n - 1).is_some()
            };
            for voted in std::iter::once(None).chain((2..=MAX_VIEWS as u8).filter(begun).map(Some))
            {
                let mut after = *state;
                after.wipes += 1;
                if let Some(number) = voted {
                    after.slots[self.slot(number, 1)].accepted |= bit(controller.id);
                }
                let new = Controller {
                    id: MACHINES as u8 + state.wipes,
                    incarnation: 1,
                    ..Controller::default()
                };
                after.controllers[place] = if self.has(Fault::IdentityKeptAfterWipe) {
                    Controller {
                        id: controller.id,
                        incarnation: controller.incarnation + 1,
                        ..new
                    }
                } else {
                    after.lost |= bit(controller.id);
                    new
                };
                // With a lost disk, fewer votes may suffice.
                let mut several = (2..=MAX_VIEWS as u8).filter(|n| self.ballots(*n) > 1);
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

    /// Whether the active view again has enough members, none with a lost disk, to tolerate another loss.
    fn is_recovered(&self, state: &State) -> bool {
        self.with_view(state, state.active, |v| {
            let kept = v
                .view
                .members
                .iter()
                .all(|m| state.lost & bit(m.id as u8) == 0);
            kept && v.length > self.bounds.losses
        })
        .unwrap_or(false)
    }

    // ---- canonicalization -----------------------------------------------------------------------

    /// Whether the member at this position of a view can still take part in it.
    fn may_participate(&self, state: &State, number: u8, at: usize) -> bool {
        self.with_view(state, number, |v| {
            let controller = &state.controllers[v.places[at]];
            controller.known <= number && v.position_of(controller) == Some(at)
        })
        .unwrap_or(false)
    }

    /// Merges states that differ only in what no controller can observe or use any more.
    fn canonicalize(&self, state: &mut State) {
        let newest = state.active;
        for number in 1..=MAX_VIEWS as u8 {
            let at = usize::from(number) - 1;
            if state.views[at] == 0 {
                continue;
            }
            let length = self.length(state, number);
            let able: [bool; MACHINES] =
                std::array::from_fn(|m| m < length && self.may_participate(state, number, m));
            for m in 0..length {
                // All members read the commits of the tail; other announcements are read by the successor only.
                let heard = if m + 1 < length {
                    able[m + 1]
                } else {
                    able[..m].contains(&true)
                };
                if !heard {
                    state.announced[at][m] = Announced::default();
                }
            }
            let settled = (number + 1..=newest).all(|n| self.ballots(n) == 1);
            if number < newest && settled {
                // No view continues from one before the newest active view.
                state.abandoned_views &= !bit(number - 1);
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
        for place in 0..MACHINES {
            let controller = state.controllers[place];
            let named = self.position_of(state, place, controller.known).is_some();
            if controller.abandoned != controller.known
                || controller.installed >= controller.abandoned
                || !named
            {
                state.controllers[place].abandoned = 0;
            }
            let acts = controller.known == controller.installed
                && self
                    .position_of(state, place, controller.installed)
                    .is_some();
            if controller.installed < newest && !acts {
                let controller = &mut state.controllers[place];
                (controller.log, controller.synced) =
                    (controller.log.first(controller.applied), controller.applied);
            }
        }
    }
}

fn announce(state: &mut State, place: usize, view: u8, at: usize) {
    let Controller {
        log,
        synced,
        applied,
        ..
    } = state.controllers[place];
    state.announced[usize::from(view) - 1][at] = Announced {
        installed: true,
        log,
        synced,
        applied,
    };
}

fn promise(slot: &Slot, id: u8) -> Option<u8> {
    (((slot.promises >> (3 * id)) & 7) as u8).checked_sub(1)
}
