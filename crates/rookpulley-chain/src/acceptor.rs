//! The acceptor: promises and accepts for the view after the one decided. What it said it still knows after any
//! crash, since it says nothing before it is on the disk; one whose disk is new has another identity.

use crate::chain::{AfterSync, Chain};
use crate::message::Message;
use crate::persisted::{self, AcceptorState};
use crate::view::{Ballot, View};
use crate::{Effect, State};
use std::cmp::Ordering;

impl<S: State> Chain<S> {
    /// What was voted for this view. None: of an older one than was voted for since, nothing is known any more.
    fn vote_for(&self, number: u64) -> Option<AcceptorState> {
        let fresh = AcceptorState {
            number,
            ..AcceptorState::default()
        };
        match self.vote.number.cmp(&number) {
            Ordering::Less => Some(fresh),
            Ordering::Equal => Some(self.vote.clone()),
            Ordering::Greater => None,
        }
    }

    /// Votes take the place of those for the view before, so that one goes along: a disk that holds the votes and
    /// not the view would open the older number again.
    fn keep_vote(&mut self, vote: AcceptorState, to: u64, message: Message) {
        let mut records: Vec<_> = self.view().map(persisted::put_view).into_iter().collect();
        records.push(persisted::put_vote(&vote));
        self.vote = vote;
        self.write(records, AfterSync::Send { to, message });
    }

    pub(crate) fn prepare(&mut self, now: u64, from: u64, base: View, ballot: Ballot) {
        let number = base.number + 1;
        if self.decided() >= number {
            let views = self
                .views
                .iter()
                .filter(|v| v.number >= number)
                .cloned()
                .collect();
            self.send(now, from, Message::Learn { views });
            return;
        }
        let voter = base.votes(self.me.id);
        self.learn(now, vec![base]);
        if !voter {
            return;
        }
        let Some(mut vote) = self.vote_for(number) else {
            return;
        };
        if ballot < vote.promised {
            self.send(
                now,
                from,
                Message::Preempted {
                    number,
                    ballot: vote.promised,
                },
            );
            return;
        }
        vote.promised = ballot;
        let message = Message::Promise {
            number,
            ballot,
            accepted: vote.accepted.clone(),
        };
        self.keep_vote(vote, from, message);
    }

    pub(crate) fn accept(&mut self, from: u64, ballot: Ballot, view: View) {
        let number = view.number;
        // A vote counts for the view right after the one that is known: only its members are asked.
        let voter = self
            .view()
            .is_some_and(|v| v.number + 1 == number && v.votes(self.me.id));
        if !voter {
            return;
        }
        let Some(mut vote) = self.vote_for(number) else {
            return;
        };
        if ballot < vote.promised {
            self.out.push(Effect::Send {
                to: from,
                message: Message::Preempted {
                    number,
                    ballot: vote.promised,
                },
            });
            return;
        }
        (vote.promised, vote.accepted) = (ballot, Some((ballot, view)));
        let message = Message::Accepted { number, ballot };
        self.keep_vote(vote, from, message);
    }

    /// Promises never to install this view or an earlier one, unless that has been done or begun already: what is on
    /// its way to the disk is waited for, and told of as installed.
    pub(crate) fn bury(&mut self, from: u64, ask: u64, number: u64) {
        if number > self.decided() {
            return;
        }
        if number > self.never && self.installed < number && self.flow.installing < number {
            self.never = number;
            self.write(
                vec![persisted::put_never(number)],
                AfterSync::ViewAbandoned {
                    to: from,
                    ask,
                    number,
                },
            );
        } else {
            self.write(
                Vec::new(),
                AfterSync::ViewAbandoned {
                    to: from,
                    ask,
                    number,
                },
            );
        }
    }
}
