//! The Paxos acceptor: promises and accepts for the view after the one decided.
//!
//! Invariant: nothing is said before it is on the disk. So an acceptor still knows after any crash what it said, and
//! one whose disk is new has another identity.

use super::Chain;
use crate::after_sync::AfterSync;
use crate::message::Message;
use crate::persisted::{self, AcceptorState};
use crate::state::State;
use crate::view::{Ballot, View};
use std::cmp::Ordering;

impl<S: State> Chain<S> {
    /// What was said for this view number. None: a later number has taken its place, and nothing is known any more.
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

    /// Writes what the acceptor says, then says it. The state for one number takes the place of that for the number
    /// before, so the view in between is written with it: a disk that had the new state and not the view would open the
    /// older number again.
    fn persist_acceptor(&mut self, acceptor: AcceptorState, to: u64, message: Message) {
        let mut records: Vec<_> = self.view().map(persisted::put_view).into_iter().collect();
        records.push(persisted::put_acceptor(&acceptor));
        self.acceptor = acceptor;
        self.write(records, AfterSync::Send { to, message });
    }

    pub(super) fn handle_prepare(&mut self, now: u64, from: u64, base: View, ballot: Ballot) {
        let number = base.number + 1;
        if self.decided() >= number {
            return self.teach_views(now, from, base.number);
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
        // Only the acceptors of the view right before are asked.
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

    /// Promises never to install this view or an earlier one, unless that has been done or begun: what is on its way to
    /// the disk is waited for, and reported as installed.
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
