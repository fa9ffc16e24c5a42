//! Recovery when a majority of a view is lost for good: the store of one that is left founds the chain anew.
//!
//! The new store has another identity, so that nothing it promised counts again, and a view of its own whose number the
//! old chain never reaches. Whoever hears of that number gives its store up. The numbers in between were never decided,
//! so no view of the old chain can be gone on from.

use crate::persisted::{self, PersistedState, Record};
use crate::view::{Member, View};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of a view that founds the chain anew is above the newest one known by a multiple of this, at least one and
/// at most `VIEW_NUMBER_MULTIPLES`, drawn from its identity: of two that were founded anew by mistake one is higher, and
/// the other gives way.
const VIEW_NUMBER_STEP: u64 = 1_000_000;
const VIEW_NUMBER_MULTIPLES: u64 = 1_000_000_000;
/// No process has this incarnation. Whichever starts with a store founded anew decides the next view, under its own.
const NO_INCARNATION: u64 = 0;

/// Whether the chain was founded anew between two views. A state of before is then no beginning of the new order,
/// however far it got.
pub(crate) fn is_refounded_between(known: u64, view: u64) -> bool {
    known > 0 && view >= known.saturating_add(VIEW_NUMBER_STEP / 2)
}

impl PersistedState {
    /// The highest number of a view that this disk has heard of, decided or not.
    pub fn newest(&self) -> u64 {
        let views = self.views.iter().map(|view| view.number);
        let others = [self.installed, self.abandoned, self.acceptor.number];
        views.chain(others).max().unwrap_or(0)
    }

    /// What an empty disk must hold to found the chain anew with this state and log, in place of all that was there, and
    /// the view that it founds. `old_identity` is the one up to now. None: there is no state to found it with.
    pub fn refounded(&self, old_identity: u64, identity: u64) -> Option<(View, Vec<Record>)> {
        if !self.is_sound() || self.installed == 0 {
            return None;
        }
        let (header, snapshot) = self.snapshot.as_ref()?;
        let above = VIEW_NUMBER_STEP * (1 + identity % VIEW_NUMBER_MULTIPLES);
        let number = self.newest().checked_add(above)?;
        let founder = Member {
            id: identity,
            incarnation: NO_INCARNATION,
            address: self.last_address(old_identity),
        };
        let view = View {
            number,
            members: vec![founder],
            voters: Vec::new(),
        };
        let (mut records, _) = persisted::put_snapshot(header.seq, header.at_ms, snapshot, 0);
        let log = self.log.iter();
        records.extend(log.map(|entry| persisted::put_entry(number, entry)));
        records.extend([
            persisted::put_view(&view),
            persisted::put_installed(number),
            persisted::put_committed(self.committed.seq, self.committed.at_ms),
        ]);
        Some((view, records))
    }

    /// Where the newest view had this identity. 0.0.0.0:0: no view that is remembered had it.
    fn last_address(&self, identity: u64) -> SocketAddrV4 {
        let mut views = self.views.iter().rev();
        let known = views.find_map(|view| view.acceptors().find(|m| m.id == identity));
        known.map_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), |m| m.address)
    }
}
