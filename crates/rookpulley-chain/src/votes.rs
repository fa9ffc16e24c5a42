//! The acceptor: promises and accepts for the view after the one decided. What it said it still knows after any
//! crash, since it says nothing before it is on the disk; one whose disk is new has another identity.

use crate::chain::{Chain, Then};
use crate::kept::{self, Vote};
use crate::message::Message;
use crate::view::{Ballot, View};
use crate::{Effect, State};

impl<S: State> Chain<S> {
    /// The vote for the view after the one decided.
    fn vote_for(&self, number: u64) -> Vote {
        if self.vote.number == number { self.vote.clone() } else { Vote { number, ..Vote::default() } }
    }

    pub(crate) fn prepare(&mut self, now: u64, from: u64, base: View, ballot: Ballot) {
        let number = base.number + 1;
        if self.decided() >= number {
            let views = self.views.iter().filter(|v| v.number >= number).cloned().collect();
            self.send(now, from, Message::Learn { views });
            return;
        }
        let voter = base.place(self.me.id).is_some();
        self.learn(now, base);
        if !voter {
            return;
        }
        let mut vote = self.vote_for(number);
        if ballot < vote.promised {
            self.send(now, from, Message::Outbid { number, ballot: vote.promised });
            return;
        }
        vote.promised = ballot;
        let message = Message::Promise { number, ballot, accepted: vote.accepted.clone() };
        self.write(vec![kept::put_vote(&vote)], Then::Send { to: from, message });
        self.vote = vote;
    }

    pub(crate) fn accept(&mut self, from: u64, ballot: Ballot, view: View) {
        let number = view.number;
        // A vote counts for the view right after the one that is known: only its members are asked.
        let voter = self.view().is_some_and(|v| v.number + 1 == number && v.place(self.me.id).is_some());
        if !voter {
            return;
        }
        let mut vote = self.vote_for(number);
        if ballot < vote.promised {
            self.out
                .push(Effect::Send { to: from, message: Message::Outbid { number, ballot: vote.promised } });
            return;
        }
        (vote.promised, vote.accepted) = (ballot, Some((ballot, view)));
        let message = Message::Accepted { number, ballot };
        self.write(vec![kept::put_vote(&vote)], Then::Send { to: from, message });
        self.vote = vote;
    }

    /// Promises never to install this view or an earlier one, unless that has been done already.
    pub(crate) fn bury(&mut self, from: u64, ask: u64, number: u64) {
        if number > self.decided() {
            return;
        }
        if number > self.never && self.installed < number {
            self.never = number;
            self.write(vec![kept::put_never(number)], Then::Buried { to: from, ask, number });
        } else {
            self.write(Vec::new(), Then::Buried { to: from, ask, number });
        }
    }
}
