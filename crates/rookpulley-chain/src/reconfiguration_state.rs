//! The progress of this member's proposal for the next view.

use crate::message::{Contact, MemberStatus};
use crate::view::{Ballot, Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// The reply of another controller to a status request.
pub struct StatusReply {
    pub status: MemberStatus,
    pub contacts: Vec<Contact>,
    /// It will not install views up to this number unless it already has.
    pub abandoned: u64,
}

/// Replies by identity.
pub type StatusReplies = BTreeMap<u64, StatusReply>;

/// The steps of a proposal, in order. Each may return to `Idle`.
pub enum Step {
    /// No proposal is in progress.
    Idle,
    /// Status requests were sent to all peers in contact.
    CollectingStatus {
        query: u64,
        replies: StatusReplies,
        asked: BTreeSet<u64>,
    },
    /// No chosen member has installed the newest view, so its members were asked to abandon it.
    AbandoningView {
        query: u64,
        replies: StatusReplies,
        members: Vec<Member>,
    },
    /// Paxos phase 1.
    Preparing {
        ballot: Ballot,
        view: View,
        promises: BTreeMap<u64, Option<(Ballot, View)>>,
    },
    /// Paxos phase 2.
    Accepting {
        ballot: Ballot,
        view: View,
        accepted: BTreeSet<u64>,
    },
}

pub struct Reconfiguration {
    pub step: Step,
    /// The start of the step.
    pub since_ms: u64,
    /// The time since which the newest view has needed a successor.
    pub needed_since_ms: Option<u64>,
    /// The earliest time of the next proposal.
    pub not_before_ms: u64,
    /// The round of the last ballot.
    pub round: u64,
    /// The identifier of the last request.
    pub queries: u64,
}

impl Default for Reconfiguration {
    fn default() -> Self {
        Self {
            step: Step::Idle,
            since_ms: 0,
            needed_since_ms: None,
            not_before_ms: 0,
            round: 0,
            queries: 0,
        }
    }
}

impl Reconfiguration {
    /// Ends any proposal in progress, because a view was decided.
    pub fn reset(&mut self, now: u64) {
        self.begin(now, Step::Idle);
        self.needed_since_ms = None;
        self.round = 0;
    }

    /// Enters a step.
    pub fn begin(&mut self, now: u64, step: Step) {
        self.step = step;
        self.since_ms = now;
    }

    /// Returns a new request identifier.
    pub fn next_query(&mut self) -> u64 {
        self.queries += 1;
        self.queries
    }

    /// Takes the collected replies and returns to `Idle`. None: another step is active.
    pub fn take_collected(&mut self) -> Option<StatusReplies> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::CollectingStatus { replies, .. } => Some(replies),
            other => {
                self.step = other;
                None
            }
        }
    }

    /// Takes the replies and members of the step `AbandoningView` and returns to `Idle`. None: another step is active.
    pub fn take_abandoned(&mut self) -> Option<(StatusReplies, Vec<Member>)> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::AbandoningView {
                replies, members, ..
            } => Some((replies, members)),
            other => {
                self.step = other;
                None
            }
        }
    }
}
