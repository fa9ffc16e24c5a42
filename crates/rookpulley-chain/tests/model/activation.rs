//! Installation, activation and abandonment of views.

use crate::replication::announce;
use crate::rules::{Fault, Model, Rule, Step, Violation};
use crate::state::{Controller, MACHINES, MAX_VIEWS, State, bit};

impl Model {
    /// The source learns a view, leaves its previous one and installs the new one with its own log. It may have missed
    /// views in between.
    pub(crate) fn learn(
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
    pub(crate) fn install(
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
    pub(crate) fn installed(&self, state: &mut State, place: usize, number: u8, at: usize) -> Rule {
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
    pub(crate) fn abandon(
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
}
