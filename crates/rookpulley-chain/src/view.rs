//! Chain membership: members, views and ballots.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A controller: the identity of its disk, the incarnation of its process, and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Generated when the disk is initialized. A machine whose disk was lost gets a new one.
    pub id: u64,
    /// Generated at each start of the process.
    pub incarnation: u64,
    /// The address on which it listens for other controllers.
    pub address: SocketAddrV4,
}

/// One configuration of the chain.
///
/// The first member is the head and the last one the tail. The head of a new view is also its source, whose log the
/// view starts with. Members hold the state. Members and voters together are the acceptors that decide the next view.
/// Voters are controllers that are currently out of the chain because they are slow, silent or not yet caught up; they
/// keep the acceptors numerous enough for a short chain to survive further losses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Increases with each view. Views are decided in this order.
    pub number: u64,
    /// The members from head to tail.
    pub members: Vec<Member>,
    /// Acceptors that do not hold the state.
    pub voters: Vec<Member>,
}

impl View {
    /// The position of a member in the chain, from the head at 0.
    pub fn position(&self, id: u64) -> Option<usize> {
        self.members.iter().position(|m| m.id == id)
    }

    /// Whether this incarnation is a member.
    pub fn has_member(&self, id: u64, incarnation: u64) -> bool {
        self.members
            .iter()
            .any(|m| m.id == id && m.incarnation == incarnation)
    }

    /// The member where updates and reads enter.
    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    /// The member that commits and answers.
    pub fn tail(&self) -> Option<&Member> {
        self.members.last()
    }

    /// The members and voters, which decide the next view.
    pub fn acceptors(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.voters)
    }

    /// Whether this identity is an acceptor.
    pub fn is_acceptor(&self, id: u64) -> bool {
        self.acceptors().any(|m| m.id == id)
    }

    /// The smallest number of acceptors that is more than half of them.
    pub fn majority(&self) -> usize {
        (self.members.len() + self.voters.len()) / 2 + 1
    }

    /// Whether the acceptors that responded can decide the next view.
    ///
    /// A quorum is a majority of the acceptors, or all acceptors except those whose disks are permanently lost
    /// (`lost`), provided that these are fewer than a majority. Any two quorums share an acceptor that still has its
    /// promises: a majority exceeds the number of lost acceptors, and the second kind contains all survivors.
    pub fn is_quorum(&self, responded: &BTreeSet<u64>, lost: &BTreeSet<u64>) -> bool {
        let present = self
            .acceptors()
            .filter(|m| responded.contains(&m.id))
            .count();
        let gone = self
            .acceptors()
            .filter(|m| !responded.contains(&m.id) && lost.contains(&m.id))
            .count();
        let all = self.acceptors().count();
        present >= self.majority() || (present + gone == all && gone < self.majority())
    }
}

/// A Paxos ballot, which orders the proposals for one view number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each proposal of one proposer.
    pub round: u64,
    /// The proposer's incarnation. It keeps ballots unique after a restart, when earlier rounds are forgotten.
    pub proposer: u64,
}
