//! How far this member has come with a proposal for the next view.

use crate::message::{Contact, MemberStatus};
use crate::view::{Ballot, Member, View};
use std::collections::{BTreeMap, BTreeSet};

/// What another member sees.
pub struct StatusReply {
    pub status: MemberStatus,
    pub contacts: Vec<Contact>,
    /// It never installs this view or an earlier one, unless it has already.
    pub abandoned: u64,
}

/// Replies by identity.
pub type StatusReplies = BTreeMap<u64, StatusReply>;

/// The steps of a proposal, in their order. Each may end in `Idle`.
pub enum Step {
    /// Nothing is proposed.
    Idle,
    /// All peers in contact were asked what they see.
    CollectingStatus {
        query: u64,
        replies: StatusReplies,
        asked: BTreeSet<u64>,
    },
    /// Nobody left has installed the newest view: its members were asked never to.
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
    /// When the step began.
    pub since_ms: u64,
    /// Since when the newest view needs a successor.
    pub needed_since_ms: Option<u64>,
    /// Nothing is proposed before.
    pub not_before_ms: u64,
    /// The round of the last ballot.
    pub round: u64,
    /// The number of the last question.
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
    /// A view was decided: whatever was under way is over.
    pub fn reset(&mut self, now: u64) {
        self.begin(now, Step::Idle);
        self.needed_since_ms = None;
        self.round = 0;
    }

    /// Goes on to a step.
    pub fn begin(&mut self, now: u64, step: Step) {
        self.step = step;
        self.since_ms = now;
    }

    /// A number for the next question.
    pub fn next_query(&mut self) -> u64 {
        self.queries += 1;
        self.queries
    }

    /// Takes what was collected, and leaves `Idle`. None: another step is under way.
    pub fn take_collected(&mut self) -> Option<StatusReplies> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::CollectingStatus { replies, .. } => Some(replies),
            other => {
                self.step = other;
                None
            }
        }
    }

    /// Takes what was collected before the newest view was abandoned, and leaves `Idle`. None: another step is under way.
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
