//! The way out when the majority of a view is gone for good: the store of one that is left founds anew.
//!
//! What it becomes has another identity, so that nothing it voted for counts again, and a view of its own with a number
//! that the chain it leaves never comes to. Whoever hears of that number gives way. The numbers between were never
//! decided, so no view of the old chain can be gone on from.

use crate::persisted::{self, PersistedState, Record};
use crate::view::{Member, View};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of a view that founds anew is a multiple of this above the newest one known, at least one and at most
/// `MULTIPLES`, by its identity: of two that were founded anew by mistake one is higher, and the other gives way.
const STEP: u64 = 1_000_000;
const MULTIPLES: u64 = 1_000_000_000;

/// Whether the chain was founded anew between two views: a state of before is then no beginning of its own, however far
/// it got.
pub(crate) fn apart(known: u64, view: u64) -> bool {
    known > 0 && view >= known.saturating_add(STEP / 2)
}

impl PersistedState {
    /// The highest number of a view that this disk has heard of, decided or not.
    pub fn newest(&self) -> u64 {
        let views = self.views.iter().map(|view| view.number);
        views
            .chain([self.installed, self.never, self.vote.number])
            .max()
            .unwrap_or(0)
    }

    /// What an empty disk must hold to found anew with this state and log: all of it in the place of what was there.
    /// `was` is the identity up to now, `id` the new one. None: there is no state to found with.
    pub fn refounded(&self, was: u64, id: u64) -> Option<(View, Vec<Record>)> {
        let (head, snapshot) = self
            .snapshot
            .as_ref()
            .filter(|_| self.sound() && self.installed > 0)?;
        let number = self.newest().checked_add(STEP * (1 + id % MULTIPLES))?;
        let known = self
            .views
            .iter()
            .rev()
            .find_map(|view| view.acceptors().find(|m| m.id == was));
        let address = known.map_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), |member| {
            member.address
        });
        // No process has incarnation 0: whichever starts with this disk makes the next view, with its own incarnation and address.
        let view = View {
            number,
            members: vec![Member {
                id,
                incarnation: 0,
                address,
            }],
            voters: Vec::new(),
        };
        let (mut records, _) = persisted::put_snapshot(head.seq, head.at_ms, snapshot, 0);
        records.extend(
            self.log
                .iter()
                .map(|entry| persisted::put_entry(number, entry)),
        );
        records.extend([
            persisted::put_view(&view),
            persisted::put_installed(number),
            persisted::put_agreed(self.agreed.0, self.agreed.1),
        ]);
        Some((view, records))
    }
}
