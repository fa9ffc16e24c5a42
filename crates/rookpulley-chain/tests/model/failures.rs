//! Crashes and lost disks.

use crate::rules::{Fault, Model, Rule, Step};
use crate::state::{Controller, MACHINES, MAX_VIEWS, State, Vote, bit};

impl Model {
    pub(crate) fn crash_or_wipe(
        &self,
        state: &State,
        place: usize,
        push: &mut impl FnMut(Step, State, Rule),
    ) {
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
    pub(crate) fn is_recovered(&self, state: &State) -> bool {
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
}
