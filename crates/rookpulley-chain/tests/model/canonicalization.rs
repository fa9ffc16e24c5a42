//! Merging of states that differ only in what no controller can observe or use any more.

use crate::rules::Model;
use crate::state::{Announced, MACHINES, MAX_VIEWS, Read, Slot, State, bit};

impl Model {
    /// Whether the member at this position of a view can still take part in it.
    pub(crate) fn may_participate(&self, state: &State, number: u8, at: usize) -> bool {
        self.with_view(state, number, |v| {
            let controller = &state.controllers[v.places[at]];
            controller.known <= number && v.position_of(controller) == Some(at)
        })
        .unwrap_or(false)
    }

    /// Merges states that differ only in what no controller can observe or use any more.
    pub(crate) fn canonicalize(&self, state: &mut State) {
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
