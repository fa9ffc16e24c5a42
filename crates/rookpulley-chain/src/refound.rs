//! Recovery from the permanent loss of a quorum: one surviving store founds a new chain.
//!
//! The new store has a new identity, so its earlier promises no longer count, and a view number far above any that the
//! old chain can reach. A controller that learns of such a view discards its store. The numbers in between were never
//! decided, so no view of the old chain can be continued.

use crate::persisted::{self, PersistedState, Record};
use crate::view::{Member, View};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The refounded view number exceeds the newest known one by a multiple of this step. The factor, from 1 to
/// `VIEW_NUMBER_MULTIPLES`, is derived from the identity, so that if two stores are refounded by mistake, one view
/// number is higher and supersedes the other.
const VIEW_NUMBER_STEP: u64 = 1_000_000;
const VIEW_NUMBER_MULTIPLES: u64 = 1_000_000_000;
/// No process has this incarnation. The process that starts with a refounded store decides the next view under its own.
const NO_INCARNATION: u64 = 0;

/// Whether the chain was refounded between two views. State from before is then not a prefix of the new log, however
/// far it got.
pub(crate) fn is_refounded_between(known: u64, view: u64) -> bool {
    known > 0 && view >= known.saturating_add(VIEW_NUMBER_STEP / 2)
}

impl PersistedState {
    /// The highest view number on this disk, decided or not.
    pub fn newest(&self) -> u64 {
        let views = self.views.iter().map(|view| view.number);
        let others = [self.installed, self.abandoned, self.acceptor.number];
        views.chain(others).max().unwrap_or(0)
    }

    /// The refounded view, and the records to write to an empty store to refound the chain with this state and log.
    /// `old_identity` is the identity of this store. None: the store is unsound or has no installed view.
    pub fn refounded(&self, old_identity: u64, identity: u64) -> Option<(View, Vec<Record>)> {
        if !self.is_sound() || self.installed == 0 {
            return None;
        }
        let (header, snapshot) = self.snapshot.as_ref()?;
        let offset = VIEW_NUMBER_STEP * (1 + identity % VIEW_NUMBER_MULTIPLES);
        let number = self.newest().checked_add(offset)?;
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

    /// The address of this identity in the newest view that contains it. 0.0.0.0:0 if no retained view does.
    fn last_address(&self, identity: u64) -> SocketAddrV4 {
        let mut views = self.views.iter().rev();
        let known = views.find_map(|view| view.acceptors().find(|m| m.id == identity));
        known.map_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), |m| m.address)
    }
}
