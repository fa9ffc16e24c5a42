//! Updates and reads along the chain, and what must hold of them.

use crate::rules::{Fault, Model, Rule, Step, Violation, VoterChoice};
use crate::state::{Announced, Controller, Read, State};

impl Model {
    pub(crate) fn replicate(
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

    pub(crate) fn acknowledge_early(
        &self,
        state: &mut State,
        place: usize,
        view: u8,
        is_tail: bool,
    ) -> Rule {
        if !is_tail || !self.has(Fault::AcknowledgedBeforeSync) {
            return Ok(());
        }
        let to = state.controllers[place].log.count();
        self.acknowledge(state, place, view, to)
    }

    /// A read begins when the head accepts it, the strictest point. One read at a time suffices, since reads do not
    /// interact and an unanswered read is equivalent to none.
    pub(crate) fn read(
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
    pub(crate) fn acknowledge(&self, state: &mut State, place: usize, view: u8, to: u8) -> Rule {
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

    pub(crate) fn applied_prefix_is_acknowledged(&self, state: &State) -> Rule {
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
    pub(crate) fn quorum_is_left(&self, state: &State) -> Rule {
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
}

/// Announces the log of a member to the others of its view.
pub fn announce(state: &mut State, place: usize, view: u8, at: usize) {
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
