//! Who is in the chain, and in which order.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A controller: the identity of its disk, the incarnation of its process, and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Minted with the disk. A machine whose disk was lost comes back with another one.
    pub id: u64,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Where it listens for other controllers.
    pub address: SocketAddrV4,
}

/// One configuration of the chain.
///
/// The first member is the head, the last one the tail; the head of a new view is also its source: the member whose
/// log the view begins with. Members hold the state. Members and voters together are the acceptors that decide the
/// next view. Voters were members and are out of the chain for now, slow or silent: without them, a chain that is as
/// short as it may be could not be repaired once it loses one more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Rises with each view. Views are decided in this order.
    pub number: u64,
    /// In the order of the chain.
    pub members: Vec<Member>,
    /// Acceptors that hold nothing.
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

    /// Those who decide the next view.
    pub fn acceptors(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.voters)
    }

    /// Whether this identity is an acceptor.
    pub fn is_acceptor(&self, id: u64) -> bool {
        self.acceptors().any(|m| m.id == id)
    }

    /// How many acceptors are more than half of them.
    pub fn majority(&self) -> usize {
        (self.members.len() + self.voters.len()) / 2 + 1
    }

    /// Whether those who responded suffice to decide the next view.
    ///
    /// A quorum is a majority of the acceptors, or all acceptors whose disks aren't lost for good (`lost`), where
    /// those lost are fewer than a majority. Any two quorums share an acceptor that still knows what it promised: a
    /// majority has one more than was lost, and the other kind has all that are left.
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

/// Orders the proposals for one view number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises with each proposal of one proposer.
    pub round: u64,
    /// The proposer's incarnation: one that has restarted has forgotten its rounds, and must never use a ballot twice.
    pub by: u64,
}
