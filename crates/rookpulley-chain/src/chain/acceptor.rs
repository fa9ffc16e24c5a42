//! The Paxos acceptor for the successor of the newest view.
//!
//! Invariant: no reply is sent before the state that it depends on is on disk, so promises survive a crash. A
//! controller with a new disk has a new identity.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::message::Message;
use crate::persisted::{self, AcceptorState};
use crate::state::State;
use crate::view::{Ballot, View};
use std::cmp::Ordering;

impl<S: State> Chain<S> {
    /// The acceptor state for this view number. None: it was replaced by that of a later number.
    fn acceptor_for(&self, number: u64) -> Option<AcceptorState> {
        match self.acceptor.number.cmp(&number) {
            Ordering::Less => Some(AcceptorState {
                number,
                ..AcceptorState::default()
            }),
            Ordering::Equal => Some(self.acceptor.clone()),
            Ordering::Greater => None,
        }
    }

    /// Writes the acceptor state, then sends `message`. The state replaces that of the previous view number, so the
    /// newest view is written in the same batch: without it on disk, a restarted acceptor would take part in deciding
    /// the earlier number again.
    fn persist_acceptor(&mut self, acceptor: AcceptorState, to: u64, message: Message) {
        let mut records: Vec<_> = self.view().map(persisted::put_view).into_iter().collect();
        records.push(persisted::put_acceptor(&acceptor));
        self.acceptor = acceptor;
        self.write(records, AfterSync::Send { to, message });
    }

    pub(super) fn handle_prepare(&mut self, now: u64, from: u64, base: View, ballot: Ballot) {
        let number = base.number + 1;
        if self.decided() >= number {
            return self.send_newer_views(now, from, base.number);
        }
        let is_acceptor = base.is_acceptor(self.me.id);
        self.learn_views(now, vec![base]);
        if !is_acceptor {
            return;
        }
        let Some(mut acceptor) = self.acceptor_for(number) else {
            return;
        };
        if ballot < acceptor.promised {
            let ballot = acceptor.promised;
            return self.send(now, from, Message::Preempted { number, ballot });
        }
        acceptor.promised = ballot;
        let accepted = acceptor.accepted.clone();
        let message = Message::Promise {
            number,
            ballot,
            accepted,
        };
        self.persist_acceptor(acceptor, from, message);
    }

    pub(super) fn handle_accept(&mut self, from: u64, ballot: Ballot, view: View) {
        let number = view.number;
        // Only acceptors of the immediately preceding view may accept.
        let is_acceptor = self
            .view()
            .is_some_and(|known| known.number + 1 == number && known.is_acceptor(self.me.id));
        if !is_acceptor {
            return;
        }
        let Some(mut acceptor) = self.acceptor_for(number) else {
            return;
        };
        if ballot < acceptor.promised {
            let ballot = acceptor.promised;
            return self.send_to_peer(from, Message::Preempted { number, ballot });
        }
        acceptor.promised = ballot;
        acceptor.accepted = Some((ballot, view));
        self.persist_acceptor(acceptor, from, Message::Accepted { number, ballot });
    }

    /// Promises not to install this view or an earlier one, unless it is installed already. The reply waits for an
    /// installation that is being written, and then reports the view as installed.
    pub(super) fn handle_abandon_view(&mut self, from: u64, query: u64, number: u64) {
        if number > self.decided() {
            return;
        }
        let is_new = number > self.abandoned
            && self.installed < number
            && self.replication.installing < number;
        let mut records = Vec::new();
        if is_new {
            self.abandoned = number;
            records.push(persisted::put_abandoned(number));
        }
        let next = AfterSync::ViewAbandoned {
            to: from,
            query,
            number,
        };
        self.write(records, next);
    }
}
