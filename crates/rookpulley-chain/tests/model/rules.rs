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

use crate::state::{Controller, MACHINES, MAX_VIEWS, SLOTS, State, ViewInfo, Views, bit, member};
use rookpulley_chain::View;
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

/// Whether a step keeps the rules.
pub type Rule = Result<(), Violation>;

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

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    pub(crate) fn record_coverage(&self, what: impl FnOnce(&mut Coverage)) {
        let mut coverage = self.coverage.get();
        what(&mut coverage);
        self.coverage.set(coverage);
    }

    pub(crate) fn ballots(&self, number: u8) -> u8 {
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
    pub(crate) fn slot(&self, number: u8, ballot: u8) -> usize {
        let before: u8 = (2..number).map(|n| self.ballots(n)).sum();
        usize::from(before + ballot - 1)
    }

    /// The decided view of a number.
    pub(crate) fn with_view<T>(
        &self,
        state: &State,
        number: u8,
        look: impl FnOnce(&ViewInfo) -> T,
    ) -> Option<T> {
        let at = *state.views.get(usize::from(number.checked_sub(1)?))?;
        self.views.borrow().get(at).map(look)
    }

    /// The position of this incarnation among the members of a view.
    pub(crate) fn position_of(&self, state: &State, place: usize, number: u8) -> Option<usize> {
        self.with_view(state, number, |v| v.position_of(&state.controllers[place]))?
    }

    pub(crate) fn length(&self, state: &State, number: u8) -> usize {
        self.with_view(state, number, |v| v.length).unwrap_or(0)
    }

    /// The controller after it learned this view and no later one, if it may. The source learns it in a separate step.
    pub(crate) fn after_learning(
        &self,
        state: &State,
        place: usize,
        number: u8,
    ) -> Option<Controller> {
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
    pub(crate) fn acting(&self, state: &State, place: usize, number: u8) -> Option<usize> {
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

    pub(crate) fn votes(&self, state: &State, place: usize, number: u8) -> bool {
        self.with_view(state, number, |v| {
            v.voters & bit(state.controllers[place].id) != 0
        })
        .unwrap_or(false)
    }

    pub(crate) fn decides(&self, state: &State, number: u8, voters: u8) -> bool {
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
}
