//! Who is in the chain, and in which order.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A controller: its disk's identity, its process's incarnation, where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub id: u64,
    pub incarnation: u64,
    pub address: SocketAddrV4,
}

/// The source is the first member, and the head. The members hold everything; they and the voters agree on the next
/// view. Voters are those that were in the chain and are out of it for now, slow or silent: without their voice a
/// chain as short as it may be could not be mended once it loses one more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    pub members: Vec<Member>,
    pub voters: Vec<Member>,
}

impl View {
    pub fn place(&self, id: u64) -> Option<usize> {
        self.members.iter().position(|m| m.id == id)
    }

    pub fn names(&self, id: u64, incarnation: u64) -> bool {
        self.members
            .iter()
            .any(|m| m.id == id && m.incarnation == incarnation)
    }

    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    pub fn tail(&self) -> Option<&Member> {
        self.members.last()
    }

    pub fn acceptors(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.voters)
    }

    pub fn votes(&self, id: u64) -> bool {
        self.acceptors().any(|m| m.id == id)
    }

    pub fn majority(&self) -> usize {
        (self.members.len() + self.voters.len()) / 2 + 1
    }

    /// Whether these suffice to decide the next view: a majority, or everybody whose disk isn't lost for good where
    /// those lost are fewer than a majority. Any two such groups share one that still knows its votes: a majority
    /// has one more than was lost, and the other kind has all that are left.
    pub fn decides(&self, voices: &BTreeSet<u64>, lost: &BTreeSet<u64>) -> bool {
        let voted = self.acceptors().filter(|m| voices.contains(&m.id)).count();
        let gone = self
            .acceptors()
            .filter(|m| !voices.contains(&m.id) && lost.contains(&m.id))
            .count();
        voted >= self.majority()
            || (voted + gone == self.acceptors().count() && gone < self.majority())
    }
}

/// Orders proposals for one view number. `by` is the proposer's incarnation: one that has restarted and forgotten its rounds
/// must never use a ballot twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: u64,
}
